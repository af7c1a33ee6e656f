//! Standing by for the office.

use async_std::task;
use currantgw::control::office::{Office, Term};
use currantgw::control::place::Placement;
use currantgw::control::ports::{Changes, Commit, CommitError, Page, ReadError, Row, Store, Txn};
use currantgw::control::rows::{self, HolderRow};
use currantgw::control::settings::NodeSettings;
use currantgw::kernel::clock::Clock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// When the instance of the test has read what it needs, ms.
const ABLE_AT_MS: u64 = 330;

/// Time in which it is to hold the office then, ms: the wait between candidates and room to spare.
const TAKEN_MS: u64 = 250;

/// Fencing token of the term that is taken.
const FENCE: u64 = 9;

/// A store in whose office sits an earlier life of the instance.
struct Left;

#[tide::utils::async_trait]
impl Store for Left {
    async fn commit(&self, _: &Txn, _: u64) -> Result<Commit, CommitError> {
        Ok(Commit::Done(FENCE))
    }

    async fn page(
        &self,
        _: &str,
        _: &str,
        _: &str,
        _: Option<&str>,
        _: usize,
    ) -> Result<Page, ReadError> {
        let row = HolderRow { node: "n".into(), life: 1, links: None, size: 1_000 };
        let row = Row { key: rows::holder_key(), value: rows::encode(&row), version: 5 };
        Ok(Page { rows: vec![row], more: false, version: 7 })
    }

    async fn changes(&self, _: &str, _: u64, wait_ms: u64) -> Result<Changes, ReadError> {
        task::sleep(Duration::from_millis(wait_ms)).await;
        Ok(Changes { rows: Vec::new(), version: 7 })
    }
}

fn settings() -> NodeSettings {
    let at = "127.0.0.1:1".parse().unwrap();
    NodeSettings {
        id: "n".into(),
        domain: "z".into(),
        front: at,
        ready: at,
        links: at,
        metrics: at,
        share: 1.0,
        store: at,
        advice: None,
        hold_max_ms: 10_000,
        grace_ms: 2_600,
        keep_ms: 120_000,
        placement: Placement::default(),
    }
}

/// Symptom: after a power loss of all instances the office is taken 0.4 s later than the first of
/// them could.
/// Sequence: an instance has read all that it needs while it sits in a wait for the office to
/// change, which nobody changes.
/// Cause: the look that shows that nobody holds the office waited like the later ones.
#[async_std::test]
async fn an_instance_that_becomes_able_decides_at_once() {
    let office = Office::new(Arc::new(Left), Clock::real(), &settings());
    let able = Arc::new(AtomicBool::new(false));
    let told = able.clone();
    let teller = task::spawn(async move {
        task::sleep(Duration::from_millis(ABLE_AT_MS)).await;
        told.store(true, Ordering::Relaxed);
        Instant::now()
    });
    let term = office.stand_by(|| false, || able.load(Ordering::Relaxed)).await;
    let waited = teller.await.elapsed().as_millis() as u64;
    assert_eq!(term, Term { fence: FENCE });
    assert!(waited < TAKEN_MS, "taken {waited} ms after it could");
}
