//! Reading tables from a store that answers late.

use async_std::task;
use currantgw::control::mirror::{Mirror, Table};
use currantgw::control::model::{JobId, JobSpec, JobState, Step};
use currantgw::control::ports::{
    Change, Changes, Commit, CommitError, Page, ReadError, Row, Store, Txn,
};
use currantgw::control::pulse::Pulse;
use currantgw::control::rows::{self, JobRow, ProgressRow};
use currantgw::kernel::clock::Clock;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time until a read is answered, ms.
const ANSWER_MS: u64 = 40;

/// A store of jobs whose version rises with every read, as if others wrote meanwhile.
struct Slow {
    parts: BTreeMap<String, Vec<Row>>,
    version: AtomicU64,
}

impl Slow {
    fn with_jobs(ids: &[JobId]) -> Self {
        let mut parts: BTreeMap<String, Vec<Row>> = BTreeMap::new();
        for &id in ids {
            let steps = vec![Step { count: 1, ..Step::default() }];
            let spec = JobSpec { steps, ..JobSpec::default() };
            let row = JobRow { queue: "q".into(), at: 1, spec };
            let row = Row { key: rows::job_key(id), value: rows::encode(&row), version: 5 };
            parts.entry(row.key.part.clone()).or_default().push(row);
        }
        Self { parts, version: AtomicU64::new(10) }
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
        part: &str,
        from: &str,
        _: Option<&str>,
        _: usize,
    ) -> Result<Page, ReadError> {
        let version = self.version.fetch_add(1, Ordering::Relaxed);
        task::sleep(Duration::from_millis(ANSWER_MS)).await;
        let all = self.parts.get(part).into_iter().flatten();
        let rows = all.filter(|r| r.key.key.as_str() >= from).cloned().collect();
        Ok(Page { rows, more: false, version })
    }

    async fn changes(&self, _: &str, after: u64, _: u64) -> Result<Changes, ReadError> {
        Ok(Changes { rows: Vec::new(), version: after })
    }
}

/// An id in each of the parts of the jobs table.
fn one_a_part() -> Vec<JobId> {
    (0..rows::JOB_PARTS).map(|n| JobId(n * (u64::MAX / rows::JOB_PARTS + 1) + 7)).collect()
}

#[test]
fn ids_spread_over_all_parts() {
    let parts: BTreeSet<String> = one_a_part().into_iter().map(rows::job_part).collect();
    assert_eq!(parts.len() as u64, rows::JOB_PARTS);
}

/// Symptom: an instance started while the store is slow knows no jobs for many seconds.
/// Sequence: after a power loss each instance reads every part of the jobs table, and each read
/// takes 240 ms.
/// Cause: the parts were read one after the other.
#[async_std::test]
async fn a_table_of_many_parts_is_read_in_few_answers_time() {
    let ids = one_a_part();
    let store = Arc::new(Slow::with_jobs(&ids));
    let clock = Clock::real();
    let mirror = Mirror::new(store, Arc::new(Pulse::new(clock.clone())), clock);
    let began = Instant::now();
    assert_eq!(mirror.poll(Table::Jobs, 0).await, Ok(ids.len()));
    let answers = began.elapsed().as_millis() as u64 / ANSWER_MS;
    assert!(answers < rows::JOB_PARTS / 4, "{answers} answers' time");
    assert!(ids.iter().all(|&id| mirror.job_state(id) == Some(JobState::Queued)));
    // What was written while the parts were read is followed from the oldest of the reads.
    assert_eq!(mirror.followed(Table::Jobs), Some(10));
}

/// Symptom: a scheduler that has just started never places a job, although it is stored.
/// Sequence: the instance lists the parts of the jobs table; the first job of another part is
/// stored; the instance reads the parts listed and follows the feed from that moment on.
/// Cause: a listing and the reads are not of one moment. Now no listing is needed.
#[async_std::test]
async fn a_part_that_was_empty_a_moment_ago_is_read() {
    let last = *one_a_part().last().unwrap();
    let store = Arc::new(Slow::with_jobs(&[last]));
    let clock = Clock::real();
    let mirror = Mirror::new(store.clone(), Arc::new(Pulse::new(clock.clone())), clock);
    mirror.poll(Table::Jobs, 0).await.unwrap();
    assert_eq!(mirror.job_state(last), Some(JobState::Queued));
    let read = store.version.load(Ordering::Relaxed) - 10;
    assert_eq!(read, rows::JOB_PARTS, "every part is read, whether it has rows or not");
}

/// What a stand-in store does when it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The row of a job has been removed, then that of its progress, and the jobs' history is gone.
    JobRemoved,
    /// Reads of one part are refused.
    PartAway,
    /// Every second read fails, and each takes its time.
    ReadsFail,
    /// The feed's answer arrives for too long.
    FeedTooLong,
}

/// A store of jobs, or of progress, with a fault that begins when a test says so.
struct Faulty {
    inner: Slow,
    fault: Fault,
    clock: Clock,
    begun: AtomicBool,
    reads: AtomicU64,
    feeds: AtomicU64,
}

impl Faulty {
    fn new(inner: Slow, fault: Fault, clock: Clock) -> Arc<Self> {
        let (begun, reads, feeds) = Default::default();
        Arc::new(Self { inner, fault, clock, begun, reads, feeds })
    }

    fn shows(&self, fault: Fault) -> bool {
        self.fault == fault && self.begun.load(Ordering::Relaxed)
    }
}

/// A read of [`Fault::ReadsFail`] takes this long, ms.
const LONG_MS: u64 = 400;

#[tide::utils::async_trait]
impl Store for Faulty {
    async fn commit(&self, _: &Txn, _: u64) -> Result<Commit, CommitError> {
        Err(CommitError::NotDone("a store to read from".into()))
    }

    async fn page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        _: Option<&str>,
        limit: usize,
    ) -> Result<Page, ReadError> {
        let n = self.reads.fetch_add(1, Ordering::Relaxed);
        if self.shows(Fault::JobRemoved) {
            return Ok(Page { version: 100, ..Page::default() });
        }
        if self.shows(Fault::PartAway) && part == rows::part_name(0) {
            return Err(ReadError::Refused(503));
        }
        if self.shows(Fault::ReadsFail) {
            task::sleep(Duration::from_millis(LONG_MS)).await;
            if n % 2 == 1 {
                return Err(ReadError::Unreachable("timed out".into()));
            }
        }
        let all = self.inner.parts.get(part).into_iter().flatten();
        let rest = all.filter(|r| r.key.table == table && r.key.key.as_str() >= from);
        let rows: Vec<Row> = rest.cloned().collect();
        let more = rows.len() > limit;
        Ok(Page { rows: rows.into_iter().take(limit).collect(), more, version: 10 })
    }

    async fn changes(&self, table: &str, after: u64, _: u64) -> Result<Changes, ReadError> {
        self.feeds.fetch_add(1, Ordering::Relaxed);
        if self.shows(Fault::FeedTooLong) {
            self.clock.advance(5_500);
            return Err(ReadError::Unreachable("timed out".into()));
        }
        if !self.shows(Fault::JobRemoved) {
            return Ok(Changes { rows: Vec::new(), version: after });
        }
        if table == rows::JOBS && after < 50 {
            return Err(ReadError::HistoryGone);
        }
        let progress = self.inner.parts.values().flatten();
        let progress = progress.filter(|r| r.key.table == rows::PROGRESS);
        let gone = progress.map(|r| Change::Gone(r.key.clone()));
        let rows = if table == rows::PROGRESS { gone.collect() } else { Vec::new() };
        Ok(Changes { rows, version: 100 })
    }
}

/// Progress of jobs that have ended, by part.
fn ended(ids: impl Iterator<Item = JobId>) -> BTreeMap<String, Vec<Row>> {
    let progress = ProgressRow { state: JobState::Completed, ended: 1, steps: Vec::new() };
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
    Mirror::new(store.clone(), Arc::new(Pulse::new(clock.clone())), clock)
}

/// Symptom: a job that ended minutes ago is shown as waiting, and a scheduler that takes office here
/// starts its tasks again.
/// Sequence: its rows are removed, that of the job first; the history of the jobs' feed is gone before
/// this instance hears of it, and the jobs are read anew, where it no longer is; then the progress'
/// feed says that its progress is gone.
/// Cause: reading anew adds what is there, and forgets nothing.
#[async_std::test]
async fn a_job_removed_while_the_history_went_is_forgotten() {
    let id = one_a_part()[3];
    let mut inner = Slow::with_jobs(&[id]);
    inner.parts.extend(ended([id].into_iter()));
    let store = Faulty::new(inner, Fault::JobRemoved, Clock::real());
    let mirror = mirror_of(&store);
    for table in [Table::Jobs, Table::Progress] {
        mirror.poll(table, 0).await.unwrap();
    }
    assert_eq!(mirror.job_state(id), Some(JobState::Completed));
    store.begun.store(true, Ordering::Relaxed);
    for table in [Table::Jobs, Table::Progress] {
        mirror.poll(table, 0).await.unwrap();
    }
    assert_eq!(mirror.job_state(id), None);
    assert!(mirror.snapshot().is_empty());
}

/// Symptom: an instance that starts knows none but a few jobs while one part of the store is away.
/// Sequence: the reads of that part are refused; each refusal made the next slice smaller, and slices
/// began with the part that is away.
/// Cause: a part that fails stayed the first to be read.
#[async_std::test]
async fn the_other_parts_are_read_while_one_is_away() {
    let ids = one_a_part();
    let store = Faulty::new(Slow::with_jobs(&ids), Fault::PartAway, Clock::real());
    store.begun.store(true, Ordering::Relaxed);
    let mirror = mirror_of(&store);
    for _ in 0..12 {
        assert!(mirror.poll(Table::Jobs, 0).await.is_err());
    }
    assert_eq!(mirror.job_count(), ids.len() - 1);
    store.begun.store(false, Ordering::Relaxed);
    mirror.poll(Table::Jobs, 0).await.unwrap();
    assert_eq!(mirror.job_count(), ids.len());
    assert!(mirror.followed(Table::Jobs).is_some());
}

/// Symptom: a table is read from its beginning again and again.
/// Sequence: reads fail now and then, each failure ends a try; for longer than the store keeps its
/// history the feed is not followed, since every try began to count anew.
/// Cause: when the feed was last followed was known to the try, not to the reading.
#[async_std::test]
async fn the_feed_is_followed_though_reads_fail() {
    let mut inner = Slow::with_jobs(&[]);
    inner.parts.extend(ended((1..8_000).map(JobId)));
    let store = Faulty::new(inner, Fault::ReadsFail, Clock::real());
    store.begun.store(true, Ordering::Relaxed);
    let mirror = mirror_of(&store);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        let _ = mirror.poll(Table::Progress, 0).await;
    }
    assert!(mirror.followed(Table::Progress).is_none(), "it is still being read");
    assert!(store.feeds.load(Ordering::Relaxed) >= 2);
}

/// A feed that has more to say than the link carries in the time of an answer is not asked again for
/// more than before: the table is read in slices.
#[async_std::test]
async fn a_feed_that_never_ends_in_time_is_replaced_by_a_read() {
    let ids = one_a_part();
    let clock = Clock::manual();
    let store = Faulty::new(Slow::with_jobs(&ids), Fault::FeedTooLong, clock);
    let mirror = mirror_of(&store);
    mirror.poll(Table::Jobs, 0).await.unwrap();
    store.begun.store(true, Ordering::Relaxed);
    assert!(mirror.poll(Table::Jobs, 0).await.is_err());
    assert!(mirror.followed(Table::Jobs).is_none());
    let read = store.reads.load(Ordering::Relaxed);
    mirror.poll(Table::Jobs, 0).await.unwrap();
    assert!(store.reads.load(Ordering::Relaxed) > read);
}
