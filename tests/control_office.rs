//! Standing by for the office, and fencing the parts of the progress.

mod common {
    pub mod table;
}

use async_std::task;
use common::table::Table;
use currantgw::control::model::JobId;
use currantgw::control::office::{Office, Term};
use currantgw::control::parts::{self, Part};
use currantgw::control::place::Placement;
use currantgw::control::ports::{Changes, Commit, CommitError, Page, ReadError, Row, Store, Txn};
use currantgw::control::rows::{self, FenceRow, HolderRow};
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
        cross_part: true,
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
    assert_eq!(term, Term { fence: FENCE, parts: [FENCE; parts::COUNT] });
    assert!(waited < TAKEN_MS, "taken {waited} ms after it could");
}

/// An instance that stands by at `store`, and can hold the office.
async fn stand_by(store: &Arc<Table>) -> Term {
    let office = Office::new(store.clone(), Clock::real(), &settings());
    office.stand_by(|| false, || true).await
}

/// Whether a transaction under a term's fence of a part would be applied.
async fn may_write(store: &Table, term: &Term, part: Part) -> bool {
    let expect = vec![(rows::fence_key(part), term.parts[part.index()])];
    let put = vec![(rows::progress_key(JobId(part.jobs().start().0 | 1)), Vec::new())];
    let txn = Txn { expect, put, remove: Vec::new() };
    matches!(store.commit(&txn, 1_000).await, Ok(Commit::Done(_)))
}

/// Symptom: a task runs twice after a takeover.
/// Sequence: a predecessor that does not know yet that it was replaced stores a placement after its
/// successor has read that part, and starts the task on a runner that the successor does not reach.
/// Cause: its transaction checked nothing that the successor had written.
#[async_std::test]
async fn a_successor_fences_every_part_against_its_predecessor() {
    let store = Arc::new(Table::default());
    let first = stand_by(&store).await;
    for part in Part::all() {
        assert!(may_write(&store, &first, part).await);
    }
    // Another life of the same node: it waits for no sign of life.
    let second = stand_by(&store).await;
    assert!(second.fence > first.fence && second.version() > first.version());
    for part in Part::all() {
        assert!(!may_write(&store, &first, part).await, "{}", part.name());
        assert!(may_write(&store, &second, part).await, "{}", part.name());
    }
}

/// A term does not begin before all parts are fenced.
#[async_std::test]
async fn a_part_that_is_away_keeps_a_term_from_beginning() {
    let store = Arc::new(Table::default());
    let lost = Part::all().nth(3).unwrap();
    store.lose([lost.name()]);
    let waiting = {
        let store = store.clone();
        task::spawn(async move { stand_by(&store).await })
    };
    task::sleep(Duration::from_millis(500)).await;
    assert!(store.row(&rows::holder_key()).is_some());
    assert!(store.row(&rows::fence_key(lost)).is_none());
    store.lose([]);
    let term = waiting.await;
    assert!(may_write(&store, &term, lost).await);
}

/// Symptom: two schedulers unseat each other again and again.
/// Sequence: an instance has taken the office and still fences parts, one of which is away; another one
/// takes the office and fences that part; the first goes on and takes it back.
#[async_std::test]
async fn a_fence_of_a_successor_is_left_alone() {
    let store = Arc::new(Table::default());
    let part = Part::all().nth(5).unwrap();
    store.lose([part.name()]);
    let waiting = {
        let store = store.clone();
        task::spawn(async move { stand_by(&store).await })
    };
    task::sleep(Duration::from_millis(300)).await;
    let other = HolderRow { node: "other".into(), life: 1, links: None, size: 1_000 };
    let token = store.put(rows::holder_key(), rows::encode(&other));
    let fenced = store.put(rows::fence_key(part), rows::encode(&FenceRow(token)));
    store.lose([]);
    task::sleep(Duration::from_millis(500)).await;
    assert_eq!(store.row(&rows::fence_key(part)).unwrap().version, fenced);
    waiting.cancel().await;
}

/// A token that cannot be true keeps a part from nobody.
#[async_std::test]
async fn a_fence_that_cannot_be_read_or_be_true_is_replaced() {
    for value in [rows::encode(&FenceRow(u64::MAX)), b"junk".to_vec()] {
        let store = Arc::new(Table::default());
        let part = Part::all().nth(5).unwrap();
        store.put(rows::fence_key(part), value);
        let term = stand_by(&store).await;
        assert!(may_write(&store, &term, part).await);
    }
}
