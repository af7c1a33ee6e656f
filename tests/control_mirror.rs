//! The local cache on a store that is slow or faulty.

use async_std::channel;
use async_std::task;
use currantgw::control::access::Caller;
use currantgw::control::mirror::{reading, Mirror, Table};
use currantgw::control::model::{JobId, JobSpec, JobState, Step};
use currantgw::control::ports::{
    Change, Changes, Commit, CommitError, Page, ReadError, Row, Store, Txn,
};
use currantgw::control::rows::{self, JobRow, ProgressRow};
use currantgw::control::store_health::StoreHealth;
use currantgw::kernel::clock::Clock;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Latency of a read, ms.
const ANSWER_MS: u64 = 40;

/// A slow store of jobs whose version rises with every read, as under concurrent writes.
struct Slow {
    partitions: BTreeMap<String, Vec<Row>>,
    version: AtomicU64,
}

impl Slow {
    fn with_jobs(ids: &[JobId]) -> Self {
        let mut partitions: BTreeMap<String, Vec<Row>> = BTreeMap::new();
        for &id in ids {
            let steps = vec![Step { count: 1, ..Step::default() }];
            let spec = JobSpec { steps, ..JobSpec::default() };
            let row = JobRow { queue: "q".into(), team: None, at: 1, spec, definition: None };
            let row = Row { key: rows::job_key(id), value: rows::encode(&row), version: 5 };
            partitions.entry(row.key.part.clone()).or_default().push(row);
        }
        Self { partitions, version: AtomicU64::new(10) }
    }
}

#[tide::utils::async_trait]
impl Store for Slow {
    async fn commit(&self, _: &Txn, _: u64) -> Result<Commit, CommitError> {
        Err(CommitError::NotDone("a store to read from".into()))
    }

    async fn page(
        &self,
        _: &str,
        partition: &str,
        from: &str,
        _: Option<&str>,
        _: usize,
    ) -> Result<Page, ReadError> {
        let version = self.version.fetch_add(1, Ordering::Relaxed);
        task::sleep(Duration::from_millis(ANSWER_MS)).await;
        let all = self.partitions.get(partition).into_iter().flatten();
        let rows = all.filter(|r| r.key.key.as_str() >= from).cloned().collect();
        Ok(Page { rows, has_more: false, version })
    }

    async fn changes(&self, _: &str, after: u64, _: u64) -> Result<Changes, ReadError> {
        Ok(Changes { rows: Vec::new(), version: after })
    }
}

/// One id in each partition of the jobs table.
fn one_per_partition() -> Vec<JobId> {
    (0..rows::JOB_PARTITIONS)
        .map(|n| JobId(n * (u64::MAX / rows::JOB_PARTITIONS + 1) + 7))
        .collect()
}

#[test]
fn ids_spread_over_all_partitions() {
    let partitions: BTreeSet<String> =
        one_per_partition().into_iter().map(rows::job_partition).collect();
    assert_eq!(partitions.len() as u64, rows::JOB_PARTITIONS);
}

/// Guards against an instance without jobs for many seconds when it starts while the store is slow:
/// each read takes 240 ms, and the partitions were read one after the other.
#[async_std::test]
async fn partitions_of_a_table_are_read_concurrently() {
    let ids = one_per_partition();
    let store = Arc::new(Slow::with_jobs(&ids));
    let clock = Clock::real();
    let mirror = Mirror::new(store, Arc::new(StoreHealth::new(clock.clone())), clock);
    let began = Instant::now();
    assert_eq!(mirror.poll(Table::Jobs, 0).await, Ok(ids.len()));
    let answers = began.elapsed().as_millis() as u64 / ANSWER_MS;
    assert!(answers < rows::JOB_PARTITIONS / 4, "took {answers} times the latency");
    assert!(ids.iter().all(|&id| mirror.job_state(id) == Some(JobState::Queued)));
    // Later changes are read from the feed, starting at the version of the oldest read.
    assert_eq!(mirror.cached_version(Table::Jobs), Some(10));
}

/// Guards against a stored job that a new leader never places. If the partitions to read were
/// listed first, the first job of another partition could be stored between the listing and the
/// reads, and would be in neither the reads nor the feed.
#[async_std::test]
async fn partitions_are_read_whether_they_have_rows_or_not() {
    let last = *one_per_partition().last().unwrap();
    let store = Arc::new(Slow::with_jobs(&[last]));
    let clock = Clock::real();
    let mirror = Mirror::new(store.clone(), Arc::new(StoreHealth::new(clock.clone())), clock);
    mirror.poll(Table::Jobs, 0).await.unwrap();
    assert_eq!(mirror.job_state(last), Some(JobState::Queued));
    let read = store.version.load(Ordering::Relaxed) - 10;
    assert_eq!(read, rows::JOB_PARTITIONS, "every partition is read, whether it has rows or not");
}

/// Fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The row of a job was deleted, then that of its progress, and the history of the jobs' feed
    /// has expired.
    JobRemoved,
    /// The rows of the first job and of its progress were deleted, and the history of both feeds has
    /// expired.
    FirstRemoved,
    /// Reads of one partition are refused.
    PartitionLost,
    /// Reads are slow, and every second one fails.
    ReadsFail,
    /// Answers of the feed take longer than the timeout.
    FeedTooLong,
}

/// A store of jobs or progress, with a fault that a test switches on.
struct Faulty {
    inner: Slow,
    fault: Fault,
    clock: Clock,
    active: AtomicBool,
    reads: AtomicU64,
    feeds: AtomicU64,
}

impl Faulty {
    fn new(inner: Slow, fault: Fault, clock: Clock) -> Arc<Self> {
        let (active, reads, feeds) = Default::default();
        Arc::new(Self { inner, fault, clock, active, reads, feeds })
    }

    fn has_fault(&self, fault: Fault) -> bool {
        self.fault == fault && self.active.load(Ordering::Relaxed)
    }
}

/// Whether a row belongs to the first job of the store.
fn is_first(row: &Row) -> bool {
    row.key.key == one_per_partition()[0].to_string()
}

/// Latency of a read under [`Fault::ReadsFail`], ms.
const SLOW_READ_MS: u64 = 400;

#[tide::utils::async_trait]
impl Store for Faulty {
    async fn commit(&self, _: &Txn, _: u64) -> Result<Commit, CommitError> {
        Err(CommitError::NotDone("a store to read from".into()))
    }

    async fn page(
        &self,
        table: &str,
        partition: &str,
        from: &str,
        _: Option<&str>,
        limit: usize,
    ) -> Result<Page, ReadError> {
        let n = self.reads.fetch_add(1, Ordering::Relaxed);
        if self.has_fault(Fault::JobRemoved) {
            return Ok(Page { version: 100, ..Page::default() });
        }
        if self.has_fault(Fault::PartitionLost) && partition == rows::partition_name(0) {
            return Err(ReadError::Refused(503));
        }
        if self.has_fault(Fault::ReadsFail) {
            task::sleep(Duration::from_millis(SLOW_READ_MS)).await;
            if n % 2 == 1 {
                return Err(ReadError::Unreachable("timed out".into()));
            }
        }
        let all = self.inner.partitions.get(partition).into_iter().flatten();
        let rest = all.filter(|r| r.key.table == table && r.key.key.as_str() >= from);
        let rest = rest.filter(|r| !self.has_fault(Fault::FirstRemoved) || !is_first(r));
        let rows: Vec<Row> = rest.cloned().collect();
        let has_more = rows.len() > limit;
        Ok(Page { rows: rows.into_iter().take(limit).collect(), has_more, version: 10 })
    }

    async fn changes(&self, table: &str, after: u64, _: u64) -> Result<Changes, ReadError> {
        self.feeds.fetch_add(1, Ordering::Relaxed);
        if self.has_fault(Fault::FeedTooLong) {
            self.clock.advance(5_500);
            return Err(ReadError::Unreachable("timed out".into()));
        }
        if self.has_fault(Fault::FirstRemoved) && after < 11 {
            return Err(ReadError::HistoryExpired);
        }
        if !self.has_fault(Fault::JobRemoved) {
            return Ok(Changes { rows: Vec::new(), version: after });
        }
        if table == rows::JOBS && after < 50 {
            return Err(ReadError::HistoryExpired);
        }
        let progress = self.inner.partitions.values().flatten();
        let progress = progress.filter(|r| r.key.table == rows::PROGRESS);
        let gone = progress.map(|r| Change::Removed(r.key.clone()));
        let rows = if table == rows::PROGRESS { gone.collect() } else { Vec::new() };
        Ok(Changes { rows, version: 100 })
    }
}

/// Rows of progress of jobs that have ended, by partition.
fn ended_jobs(ids: impl Iterator<Item = JobId>) -> BTreeMap<String, Vec<Row>> {
    let progress = ProgressRow { state: JobState::Completed, ended: 1, ..ProgressRow::default() };
    let value = rows::encode(&progress);
    let mut out: BTreeMap<String, Vec<Row>> = BTreeMap::new();
    for id in ids {
        let row = Row { key: rows::progress_key(id), value: value.clone(), version: 6 };
        out.entry(row.key.part.clone()).or_default().push(row);
    }
    out
}

fn mirror_of(store: &Arc<Faulty>) -> Mirror {
    let clock = store.clock.clone();
    Mirror::new(store.clone(), Arc::new(StoreHealth::new(clock.clone())), clock)
}

/// Guards against a job that ended minutes ago being shown as queued, and started again by a new
/// leader. The job's row is deleted before its progress. The history of the jobs' feed expires
/// before this instance reads the deletion, and a full read, which adds rows and removes none,
/// doesn't remove the job either. Then the feed of the progress reports the deletion of its
/// progress.
#[async_std::test]
async fn a_job_deleted_while_the_feed_history_expires_is_removed() {
    let id = one_per_partition()[3];
    let mut inner = Slow::with_jobs(&[id]);
    inner.partitions.extend(ended_jobs([id].into_iter()));
    let store = Faulty::new(inner, Fault::JobRemoved, Clock::real());
    let mirror = mirror_of(&store);
    for table in [Table::Jobs, Table::Progress] {
        mirror.poll(table, 0).await.unwrap();
    }
    assert_eq!(mirror.job_state(id), Some(JobState::Completed));
    store.active.store(true, Ordering::Relaxed);
    for table in [Table::Jobs, Table::Progress] {
        mirror.poll(table, 0).await.unwrap();
    }
    assert_eq!(mirror.job_state(id), None);
    assert!(mirror.snapshot().is_empty());
}

/// Guards against a job that ended long ago and is started again by a new leader that was cut off from
/// the store for the whole time from before its end until after its deletion.
#[async_std::test]
async fn a_full_read_removes_the_jobs_that_were_deleted() {
    let ids = &one_per_partition()[..2];
    let mut inner = Slow::with_jobs(ids);
    let running = ProgressRow { state: JobState::Running, ended: 0, ..ProgressRow::default() };
    for &id in ids {
        let row = Row { key: rows::progress_key(id), value: rows::encode(&running), version: 6 };
        inner.partitions.entry(row.key.part.clone()).or_default().push(row);
    }
    let store = Faulty::new(inner, Fault::FirstRemoved, Clock::real());
    let mirror = mirror_of(&store);
    for table in [Table::Jobs, Table::Progress] {
        mirror.poll(table, 0).await.unwrap();
    }
    assert_eq!(mirror.snapshot().len(), 2);
    store.active.store(true, Ordering::Relaxed);
    for table in [Table::Progress, Table::Jobs] {
        mirror.poll(table, 0).await.unwrap();
        assert_eq!(mirror.job_state(ids[0]), None);
    }
    let left: Vec<JobId> = mirror.snapshot().into_iter().map(|job| job.id).collect();
    assert_eq!(left, ids[1..]);
    assert_eq!(mirror.job_state(ids[1]), Some(JobState::Running));
}

/// A job that is stored while a table is read stays in the cache, although no page holds it.
#[async_std::test]
async fn a_full_read_keeps_the_jobs_that_are_stored_meanwhile() {
    let id = one_per_partition()[9];
    let store = Arc::new(Slow::with_jobs(&[]));
    let clock = Clock::real();
    let mirror = Mirror::new(store, Arc::new(StoreHealth::new(clock.clone())), clock);
    let row =
        JobRow { queue: "q".into(), team: None, at: 1, spec: JobSpec::default(), definition: None };
    let put = async {
        task::sleep(Duration::from_millis(ANSWER_MS / 2)).await;
        mirror.put_job(id, Arc::new(row));
        mirror.put_state(id, 40, JobState::Running);
    };
    let _ = futures::join!(mirror.poll(Table::Jobs, 0), mirror.poll(Table::Progress, 0), put);
    assert_eq!(mirror.job_state(id), Some(JobState::Running));
}

/// Guards against an instance that has read only a few jobs while one partition is unavailable.
/// Reads of that partition were refused, each refusal halved the next slice, and every slice began
/// with the unavailable partition.
#[async_std::test]
async fn the_other_partitions_are_read_while_one_is_unavailable() {
    let ids = one_per_partition();
    let store = Faulty::new(Slow::with_jobs(&ids), Fault::PartitionLost, Clock::real());
    store.active.store(true, Ordering::Relaxed);
    let mirror = mirror_of(&store);
    for _ in 0..12 {
        assert!(mirror.poll(Table::Jobs, 0).await.is_err());
    }
    assert_eq!(mirror.job_count(), ids.len() - 1);
    store.active.store(false, Ordering::Relaxed);
    mirror.poll(Table::Jobs, 0).await.unwrap();
    assert_eq!(mirror.job_count(), ids.len());
    assert!(mirror.cached_version(Table::Jobs).is_some());
}

/// Guards against a table that is repeatedly read from its beginning. Each failed read ends an
/// attempt, and the time of the last poll of the feed was kept for one attempt only, so that the
/// feed was not polled for longer than the store keeps its history.
#[async_std::test]
async fn the_feed_is_polled_although_reads_fail() {
    let mut inner = Slow::with_jobs(&[]);
    inner.partitions.extend(ended_jobs((1..8_000).map(JobId)));
    let store = Faulty::new(inner, Fault::ReadsFail, Clock::real());
    store.active.store(true, Ordering::Relaxed);
    let mirror = mirror_of(&store);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        let _ = mirror.poll(Table::Progress, 0).await;
    }
    assert!(mirror.cached_version(Table::Progress).is_none(), "the table is still being read");
    assert!(store.feeds.load(Ordering::Relaxed) >= 2);
}

/// If the changes are more than the link transfers within a read's timeout, the table is read in
/// slices. Another poll of the feed would return even more.
#[async_std::test]
async fn a_feed_answer_that_is_too_large_is_replaced_by_a_full_read() {
    let ids = one_per_partition();
    let clock = Clock::manual();
    let store = Faulty::new(Slow::with_jobs(&ids), Fault::FeedTooLong, clock);
    let mirror = mirror_of(&store);
    mirror.poll(Table::Jobs, 0).await.unwrap();
    store.active.store(true, Ordering::Relaxed);
    assert!(mirror.poll(Table::Jobs, 0).await.is_err());
    assert!(mirror.cached_version(Table::Jobs).is_none());
    let read = store.reads.load(Ordering::Relaxed);
    mirror.poll(Table::Jobs, 0).await.unwrap();
    assert!(store.reads.load(Ordering::Relaxed) > read);
}

/// Guards against polls without a pause while a store repeats the same answer.
#[test]
fn only_a_feed_that_advances_is_polled_without_a_pause() {
    assert!(reading::polls_on(500, Some(7), Some(90)) && reading::polls_on(250, None, Some(1)));
    assert!(!reading::polls_on(249, Some(7), Some(90)));
    assert!(!reading::polls_on(500, Some(7), Some(7)) && !reading::polls_on(500, Some(7), None));
}

/// Guards against a job that has completed and starts again: the leader deletes its rows while it
/// reads the whole table, and a page that was requested before brings the job back.
#[async_std::test]
async fn a_page_that_was_requested_before_a_deletion_brings_no_job_back() {
    let id = one_per_partition()[3];
    let store = Arc::new(Slow::with_jobs(&[id]));
    let clock = Clock::real();
    let mirror = Mirror::new(store, Arc::new(StoreHealth::new(clock.clone())), clock);
    let (tx, updates) = channel::unbounded();
    mirror.subscribe(Some(tx));
    let delete = async {
        task::sleep(Duration::from_millis(ANSWER_MS / 2)).await;
        mirror.delete_job(id, 20);
    };
    let (read, ()) = futures::join!(mirror.poll(Table::Jobs, 0), delete);
    assert_eq!(read, Ok(1));
    assert_eq!(mirror.job_state(id), None);
    assert!(updates.try_recv().is_err(), "the scheduler is told of no job");
    let found = mirror.find_job(id, &Caller::Anyone).await;
    assert_eq!(found, Ok(None), "a late answer to a request for the job");
    assert!(mirror.snapshot().is_empty());
}

/// A job whose id was in use before is a job like any other.
#[async_std::test]
async fn a_job_stored_after_a_deletion_is_read() {
    let id = one_per_partition()[3];
    let store = Arc::new(Slow::with_jobs(&[id]));
    let clock = Clock::real();
    let mirror = Mirror::new(store, Arc::new(StoreHealth::new(clock.clone())), clock);
    mirror.delete_job(id, 4);
    mirror.poll(Table::Jobs, 0).await.unwrap();
    assert_eq!(mirror.job_state(id), Some(JobState::Queued));
}

/// Version up to which the table was read first, in [`Interleaved`].
const FIRST_READ: u64 = 10;

/// Version of the deletion of a job, in [`Interleaved`].
const DELETION: u64 = 30;

/// A store of one job. Two polls of the feed are sent at the same time: the history that the second
/// one requests has expired, and the answer to the first one, with the deletion of the job, arrives
/// during the full read. The page with the job is from before the deletion and arrives last.
struct Interleaved {
    inner: Slow,
    job: JobId,
    polls: AtomicU64,
}

async fn pause(ms: u64) {
    task::sleep(Duration::from_millis(ms)).await;
}

#[tide::utils::async_trait]
impl Store for Interleaved {
    async fn commit(&self, _: &Txn, _: u64) -> Result<Commit, CommitError> {
        Err(CommitError::NotDone("a store to read from".into()))
    }

    async fn page(
        &self,
        _: &str,
        partition: &str,
        _: &str,
        _: Option<&str>,
        _: usize,
    ) -> Result<Page, ReadError> {
        let again = self.polls.load(Ordering::Relaxed) > 0;
        let rows = self.inner.partitions.get(partition).cloned().unwrap_or_default();
        if again && !rows.is_empty() {
            pause(300).await;
        }
        let version = if again { FIRST_READ + 10 } else { FIRST_READ };
        Ok(Page { rows, has_more: false, version })
    }

    async fn changes(&self, _: &str, after: u64, _: u64) -> Result<Changes, ReadError> {
        match self.polls.fetch_add(1, Ordering::Relaxed) {
            0 => pause(100).await,
            1 => return Err(ReadError::HistoryExpired),
            _ => {}
        }
        let gone = Change::Removed(rows::job_key(self.job));
        let rows = if after < DELETION { vec![gone] } else { Vec::new() };
        Ok(Changes { rows, version: DELETION + 10 })
    }
}

/// Guards against a deleted job that comes back and is started again: a poll that was in flight when
/// the table was discarded moved the position in the feed beyond the deletion, and a page that was
/// read before the deletion arrived after it.
#[async_std::test]
async fn a_poll_sent_before_the_table_was_discarded_has_no_effect() {
    let job = one_per_partition()[40];
    let inner = Slow::with_jobs(&[job]);
    let store = Arc::new(Interleaved { inner, job, polls: AtomicU64::new(0) });
    let clock = Clock::real();
    let mirror = Mirror::new(store, Arc::new(StoreHealth::new(clock.clone())), clock);
    mirror.poll(Table::Jobs, 0).await.unwrap();
    assert_eq!(mirror.cached_version(Table::Jobs), Some(FIRST_READ));
    let second = async {
        pause(20).await;
        mirror.poll(Table::Jobs, 0).await
    };
    let (first, second) = futures::join!(mirror.poll(Table::Jobs, 0), second);
    first.unwrap();
    second.unwrap();
    mirror.poll(Table::Jobs, 0).await.unwrap();
    assert_eq!(mirror.job_state(job), None);
    assert_eq!(mirror.cached_version(Table::Jobs), Some(DELETION + 10));
}
