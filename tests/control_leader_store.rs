//! What a leader does while the store does not answer a read, or refuses to delete rows: stored
//! speeds of runners, and the rows of jobs that have ended.

mod common {
    pub mod late_store;
    pub mod leader;
    pub mod table;
}

use common::late_store::{pause, Feed, Late};
use common::leader::{config, leader, longest_poll, Empty};
use common::table::MemoryStore;
use currantgw::control::access::Caller;
use currantgw::control::election::Term;
use currantgw::control::mirror::Table;
use currantgw::control::model::{JobId, JobSpec, JobState, Step};
use currantgw::control::partitions::{self, Partition};
use currantgw::control::ports::{Changes, Commit, CommitError, Page, ReadError, Store, Txn};
use currantgw::control::rows::{self, JobRow, ProgressRow};
use currantgw::kernel::clock::Clock;
use currantgw::kernel::stop;
use std::sync::Arc;
use std::time::Duration;

/// A store that never answers a read of the election's rows.
#[derive(Default)]
struct Silent(Empty);

#[tide::utils::async_trait]
impl Store for Silent {
    async fn commit(&self, txn: &Txn, ms: u64) -> Result<Commit, CommitError> {
        self.0.commit(txn, ms).await
    }

    async fn page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: Option<&str>,
        limit: usize,
    ) -> Result<Page, ReadError> {
        if table == rows::ELECTION {
            return std::future::pending().await;
        }
        self.0.page(table, part, from, to, limit).await
    }

    async fn changes(&self, table: &str, after: u64, wait_ms: u64) -> Result<Changes, ReadError> {
        self.0.changes(table, after, wait_ms).await
    }
}

/// Guards against a term that does not begin because the stored speeds of runners are not read.
#[test]
fn a_term_begins_without_the_speeds_of_runners() {
    let clock = Clock::real();
    let (_trigger, stop) = stop::pair();
    let store = Arc::new(Silent::default());
    let mut leader = leader(&clock, store.clone());
    leader.rules.features.runner_speeds = true;
    let mut serve = Box::pin(
        leader
            .serve(Term { fence: 5, fence_versions: [5; partitions::COUNT], prior_end: 0 }, &stop),
    );
    longest_poll(&mut serve, Duration::from_millis(700));
    let spec = JobSpec { steps: vec![Step { count: 1, ..Step::default() }], ..JobSpec::default() };
    let row = JobRow { queue: "q".into(), team: None, at: clock.wall(), spec, definition: None };
    leader.mirror.put_job(JobId(1), Arc::new(row));
    leader.mirror.put_cancel(JobId(1));
    longest_poll(&mut serve, Duration::from_millis(500));
    let written = store.0.written.lock().unwrap();
    assert!(written.contains_key(&rows::progress_key(JobId(1)).key), "{written:?}");
}

/// Guards against a job that has completed and starts again. Its rows could not be deleted, and the
/// leader had removed it from its cache: a caller's request read its row from the store, and it
/// appeared to be a new job.
#[test]
fn an_ended_job_is_known_until_its_rows_are_deleted() {
    let clock = Clock::real();
    let (_trigger, stop) = stop::pair();
    let store = Arc::new(Late {
        inner: MemoryStore::default(),
        feed: Feed::Complete,
        polls: Default::default(),
        written: Default::default(),
    });
    let leader = leader(&clock, store.clone());
    let id = JobId(5);
    let spec = JobSpec { steps: vec![Step { count: 1, ..Step::default() }], ..JobSpec::default() };
    let row = JobRow { queue: "q".into(), team: None, at: 1, spec, definition: None };
    let ended = ProgressRow { state: JobState::Completed, ended: 1, ..ProgressRow::default() };
    let get = || async {
        match leader.mirror.job_state(id) {
            Some(state) => Some(state),
            None => leader.mirror.find_job(id, &Caller::Anyone).await.unwrap(),
        }
    };
    async_std::task::block_on(async {
        store.inner.put(config().key, config().value);
        leader.mirror.poll(Table::Config, 0).await.unwrap();
        store.inner.put(rows::job_key(id), rows::encode(&row));
        store.inner.put(rows::cancel_key(id), rows::encode(&1u64));
        store.inner.put(rows::progress_key(id), rows::encode(&ended));
        store.inner.set_unavailable([rows::job_partition(id)]);
        let fence = store.inner.put(rows::leader_key(), Vec::new());
        let fences: Vec<u64> =
            Partition::all().map(|p| store.inner.put(rows::fence_key(p), Vec::new())).collect();
        let term = Term { fence, fence_versions: fences.try_into().unwrap(), prior_end: 0 };
        let calls = async {
            pause(1_200).await;
            assert_eq!(get().await, Some(JobState::Completed));
            store.inner.set_unavailable([]);
            pause(1_200).await;
            assert_eq!(store.inner.row(&rows::job_key(id)), None, "deleted once that is possible");
            assert_eq!(store.inner.row(&rows::progress_key(id)), None);
            assert_eq!(get().await, None);
        };
        let serve = Box::pin(leader.serve(term, &stop));
        futures::future::select(Box::pin(calls), serve).await;
    });
    assert_eq!(*store.written.lock().unwrap(), Vec::<String>::new());
}
