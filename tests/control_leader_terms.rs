//! Begin and end of a leader's term: what it has read before it begins, and that it ends once it
//! finds progress that it has not read.

mod common {
    pub mod late_store;
    pub mod leader;
    pub mod table;
}

use common::late_store::{pause, Feed, Late};
use common::leader::{config, leader};
use common::table::MemoryStore;
use currantgw::control::election::Term;
use currantgw::control::mirror::Table;
use currantgw::control::model::{JobId, JobSpec, JobState, Step};
use currantgw::control::partitions::Partition;
use currantgw::control::ports::{Changes, Commit, CommitError, Page, ReadError, Store, Txn};
use currantgw::control::rows::{self, JobRow, ProgressRow};
use currantgw::kernel::clock::Clock;
use currantgw::kernel::stop;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Time that the leader of a test runs, ms: many of its rounds, and several polls of the jobs.
const TERM_MS: u64 = 700;

/// Runs a leader in a cell with one job, which a caller has cancelled and which ended before that.
/// The leader has cached the tables as they were before the end. With `stored_late`, the job was
/// stored after the leader had been elected and before the progress was fenced. Returns the jobs
/// whose progress the leader tried to store: none if it has read the end.
fn jobs_written_by_a_new_leader(feed: Feed, stored_late: bool) -> Vec<String> {
    let clock = Clock::real();
    let (_trigger, stop) = stop::pair();
    let inner = MemoryStore::default();
    let store =
        Arc::new(Late { inner, feed, polls: Default::default(), written: Default::default() });
    let leader = leader(&clock, store.clone());
    let id = JobId(5);
    let spec = JobSpec { steps: vec![Step { count: 1, ..Step::default() }], ..JobSpec::default() };
    let row = JobRow { queue: "q".into(), team: None, at: clock.wall(), spec, definition: None };
    let put_job = || {
        store.inner.put(rows::job_key(id), rows::encode(&row));
        store.inner.put(rows::cancel_key(id), rows::encode(&clock.wall()));
    };
    async_std::task::block_on(async {
        store.inner.put(config().key, config().value);
        if !stored_late {
            put_job();
        }
        let fence = store.inner.put(rows::leader_key(), Vec::new());
        for table in [Table::Config, Table::Jobs, Table::Progress] {
            leader.mirror.poll(table, 0).await.unwrap();
        }
        if stored_late {
            put_job();
        }
        let ended = ProgressRow {
            state: JobState::Completed,
            ended: clock.wall(),
            ..ProgressRow::default()
        };
        store.inner.put(rows::progress_key(id), rows::encode(&ended));
        let fences: Vec<u64> =
            Partition::all().map(|p| store.inner.put(rows::fence_key(p), Vec::new())).collect();
        let term = Term { fence, fence_versions: fences.try_into().unwrap(), prior_end: 0 };
        // An instance polls its tables also while a term of its own begins.
        let own = async {
            if feed == Feed::Expires {
                let _ = leader.mirror.poll(Table::Progress, 0).await;
            } else if feed == Feed::Dropped {
                pause(50).await;
                leader.mirror.set_cache_jobs(false);
                leader.mirror.set_cache_jobs(true);
            }
        };
        let serve = futures::future::join(own, leader.serve(term, &stop));
        let _ = async_std::future::timeout(Duration::from_millis(TERM_MS), serve).await;
        assert_eq!(leader.view.lock().unwrap()["fence"], fence, "the term has begun");
    });
    let written = store.written.lock().unwrap().clone();
    written
}

#[test]
fn a_new_leader_stores_nothing_for_a_job_that_has_ended() {
    assert_eq!(jobs_written_by_a_new_leader(Feed::Complete, false), Vec::<String>::new());
}

/// Guards against a term that begins without the newest progress because the table was discarded
/// while the leader's poll was in flight.
#[test]
fn a_term_begins_on_complete_tables_if_one_is_discarded_meanwhile() {
    assert_eq!(jobs_written_by_a_new_leader(Feed::Expires, false), Vec::<String>::new());
}

/// Guards against a term that begins without the newest progress because the feed answers without
/// rows although it is behind.
#[test]
fn a_term_begins_once_the_feed_has_reached_its_version() {
    assert_eq!(jobs_written_by_a_new_leader(Feed::Behind, false), Vec::<String>::new());
}

/// Guards against a term that begins without jobs that another thread has dropped from the cache while
/// the last table was read.
#[test]
fn a_term_begins_on_complete_tables_if_jobs_are_dropped_meanwhile() {
    assert_eq!(jobs_written_by_a_new_leader(Feed::Dropped, false), Vec::<String>::new());
}

/// Guards against a job that is started a second time after a change of leader: it was stored after
/// the election, and started by the old leader before its partition was fenced.
#[test]
fn a_term_begins_with_the_jobs_that_were_stored_until_the_last_fence() {
    assert_eq!(jobs_written_by_a_new_leader(Feed::Complete, true), Vec::<String>::new());
}

/// Guards against terms that end one after the other because the cache permanently lacks a row.
#[test]
fn a_term_after_one_that_found_unknown_progress_reads_the_tables_again() {
    let clock = Clock::real();
    let (_trigger, stop) = stop::pair();
    let store = Arc::new(Late {
        inner: MemoryStore::default(),
        feed: Feed::Skips,
        polls: Default::default(),
        written: Default::default(),
    });
    let leader = leader(&clock, store.clone());
    let id = JobId(5);
    let spec = JobSpec { steps: vec![Step { count: 1, ..Step::default() }], ..JobSpec::default() };
    let row = JobRow { queue: "q".into(), team: None, at: clock.wall(), spec, definition: None };
    let term = || {
        let fence = store.inner.put(rows::leader_key(), Vec::new());
        let fences: Vec<u64> =
            Partition::all().map(|p| store.inner.put(rows::fence_key(p), Vec::new())).collect();
        Term { fence, fence_versions: fences.try_into().unwrap(), prior_end: 0 }
    };
    async_std::task::block_on(async {
        store.inner.put(config().key, config().value);
        store.inner.put(rows::job_key(id), rows::encode(&row));
        store.inner.put(rows::cancel_key(id), rows::encode(&clock.wall()));
        for table in [Table::Config, Table::Jobs, Table::Progress] {
            leader.mirror.poll(table, 0).await.unwrap();
        }
        let ended = ProgressRow {
            state: JobState::Completed,
            ended: clock.wall(),
            ..ProgressRow::default()
        };
        store.inner.put(rows::progress_key(id), rows::encode(&ended));
        leader.serve(term(), &stop).await;
        assert_eq!(store.written.lock().unwrap().len(), 1);
        let serve = leader.serve(term(), &stop);
        let _ = async_std::future::timeout(Duration::from_millis(TERM_MS), serve).await;
        assert_eq!(leader.mirror.job_state(id), Some(JobState::Completed));
        assert_eq!(store.written.lock().unwrap().len(), 1);
    });
}

/// A store that panics at the first write.
#[derive(Default)]
struct Panics {
    inner: MemoryStore,
    panicked: AtomicBool,
}

#[tide::utils::async_trait]
impl Store for Panics {
    async fn commit(&self, txn: &Txn, ms: u64) -> Result<Commit, CommitError> {
        assert!(self.panicked.swap(true, Ordering::Relaxed), "first write");
        self.inner.commit(txn, ms).await
    }

    async fn page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: Option<&str>,
        limit: usize,
    ) -> Result<Page, ReadError> {
        self.inner.page(table, part, from, to, limit).await
    }

    async fn changes(&self, table: &str, after: u64, wait_ms: u64) -> Result<Changes, ReadError> {
        self.inner.changes(table, after, wait_ms).await
    }
}

/// Guards against a process that accepts jobs and never leads again after its scheduler has panicked.
#[test]
fn a_panic_of_the_scheduler_ends_only_its_term() {
    let clock = Clock::real();
    let (_trigger, stop) = stop::pair();
    let store = Arc::new(Panics::default());
    let leader = leader(&clock, store.clone());
    let term = || {
        let fence = store.inner.put(rows::leader_key(), Vec::new());
        let fences: Vec<u64> =
            Partition::all().map(|p| store.inner.put(rows::fence_key(p), Vec::new())).collect();
        Term { fence, fence_versions: fences.try_into().unwrap(), prior_end: 0 }
    };
    async_std::task::block_on(async {
        store.inner.put(config().key, config().value);
        leader.serve(term(), &stop).await;
        let second = term();
        let serve = leader.serve(second, &stop);
        let served = async_std::future::timeout(Duration::from_millis(TERM_MS), serve).await;
        assert!(served.is_err(), "the second term goes on");
        assert_eq!(leader.view.lock().unwrap()["fence"], second.fence);
    });
}
