//! What the submission writer answers on a store that fails.

use async_std::task;
use currantgw::control::access::Caller;
use currantgw::control::admission::AdmissionView;
use currantgw::control::election::Election;
use currantgw::control::links::client::LinkClient;
use currantgw::control::mirror::Mirror;
use currantgw::control::model::{JobId, JobSpec};
use currantgw::control::policy::place::Placement;
use currantgw::control::ports::{Changes, Commit, CommitError, Page, ReadError, Store, Txn};
use currantgw::control::rows::JobRow;
use currantgw::control::settings::NodeSettings;
use currantgw::control::store_health::{MonitoredStore, StoreHealth};
use currantgw::control::submissions::{SubmissionWriter, WriteOutcome};
use currantgw::kernel::clock::Clock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Time that a caller waits, ms.
const CALLER_MS: u64 = 2_000;

/// A store that rejects all writes; the first one without an answer if `silent`.
struct Rejecting {
    silent: AtomicBool,
}

#[tide::utils::async_trait]
impl Store for Rejecting {
    async fn commit(&self, _: &Txn, _: u64) -> Result<Commit, CommitError> {
        match self.silent.swap(false, Ordering::Relaxed) {
            true => Err(CommitError::Unknown("timed out".into())),
            false => Err(CommitError::Rejected(413)),
        }
    }

    async fn page(
        &self,
        _: &str,
        _: &str,
        _: &str,
        _: Option<&str>,
        _: usize,
    ) -> Result<Page, ReadError> {
        Ok(Page::default())
    }

    async fn changes(&self, _: &str, _: u64, _: u64) -> Result<Changes, ReadError> {
        Err(ReadError::Refused(503))
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
        memory_mb: 256.0,
        max_fds: 4_096,
        link_mbps: None,
        store: at,
        cross_part: true,
        advice: None,
        hold_max_ms: 10_000,
        stop_ms: 400,
        checkpoint_s: None,
        restore_ms: None,
        scheduling: Default::default(),
        grace_ms: 2_600,
        keep_ms: 120_000,
        contracts: Default::default(),
        config_apply_ms: 2_000,
        max_stretch_ms: 5_000,
        revoke_strict: false,
        revoke_ms: 5_000,
        placement: Placement::default(),
    }
}

/// Outcome of a submission to a store that rejects all writes.
async fn submit(silent: bool) -> WriteOutcome {
    let clock = Clock::real();
    let health = Arc::new(StoreHealth::new(clock.clone()));
    let rejecting = Arc::new(Rejecting { silent: AtomicBool::new(silent) });
    let store: Arc<dyn Store> = Arc::new(MonitoredStore::new(rejecting, health.clone()));
    // The store counts as unavailable until it has served a call.
    store.page("jobs", "00", "", None, 1).await.unwrap();
    let mirror = Arc::new(Mirror::new(store.clone(), health.clone(), clock.clone()));
    let election = Arc::new(Election::new(store.clone(), clock.clone(), &settings()));
    let admission = Arc::new(AdmissionView::new(false, clock.clone()));
    let link = LinkClient::new(
        None,
        mirror.clone(),
        election,
        health.clone(),
        admission,
        Arc::default(),
        clock.clone(),
    );
    let (writer, writers) = SubmissionWriter::new(store, health, mirror, Arc::new(link), clock);
    let running: Vec<_> = writers.into_iter().map(|w| task::spawn(w.run())).collect();
    let row =
        JobRow { queue: "q".into(), team: None, at: 1, spec: JobSpec::default(), definition: None };
    let out = writer.submit(JobId(5), &row, &Caller::Anyone, CALLER_MS).await;
    drop(writer);
    for writer in running {
        writer.await;
    }
    out
}

#[async_std::test]
async fn a_rejected_submission_is_not_stored() {
    assert_eq!(submit(false).await, WriteOutcome::NotStored);
}

/// Guards against a refusal of a job that runs: its first write got no answer and was applied later,
/// and the store rejected the second one.
#[async_std::test]
async fn a_submission_of_unknown_outcome_is_never_refused() {
    assert_eq!(submit(true).await, WriteOutcome::Unknown);
}
