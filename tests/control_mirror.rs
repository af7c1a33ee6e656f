//! Reading tables from a store that answers late.

use async_std::task;
use currantgw::control::mirror::{Mirror, Table};
use currantgw::control::model::{JobId, JobSpec, JobState, Step};
use currantgw::control::ports::{Changes, Commit, CommitError, Page, ReadError, Row, Store, Txn};
use currantgw::control::pulse::Pulse;
use currantgw::control::rows::{self, JobRow};
use currantgw::kernel::clock::Clock;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
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
