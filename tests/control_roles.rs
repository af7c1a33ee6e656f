//! Instances that are too small to take the office: what they know, and what they answer.

mod common {
    pub mod narrow;
    pub mod ports;
    pub mod table;
    pub mod users;
}

use async_std::task;
use common::narrow::Link;
use common::table::Table as Rows;
use common::users::{Cell, Mood};
use currantgw::control::mirror::{Mirror, Table};
use currantgw::control::model::{JobId, JobSpec, JobState, Step};
use currantgw::control::ports::{Changes, Commit, CommitError, Page, ReadError, Store, Txn};
use currantgw::control::pulse::Pulse;
use currantgw::control::rows::{self, JobRow};
use currantgw::kernel::clock::Clock;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Jobs that wait in the store.
const JOBS: u64 = 1_500;

/// Payload of each, bytes; its row is some 1,600 bytes on the wire.
const PAYLOAD: usize = 1_000;

/// What all of them take on the wire, bytes.
const TABLE: usize = JOBS as usize * 1_600;

/// Share of a processor of a small instance.
const SMALL: f64 = 0.1;

fn ids() -> Vec<JobId> {
    (1..=JOBS).map(|n| JobId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))).collect()
}

/// A cell of one large instance, where `JOBS` wait.
async fn backlog() -> Cell {
    let cell = Cell::start(1, 0, 0).await;
    cell.world.store_jobs("plain", &ids(), PAYLOAD);
    let known = || async { cell.call(0, "GET", "/plain/", "").await.1["pending"] == JOBS };
    cell.wait("all wait", known).await;
    cell
}

/// Symptom: after a power loss of all instances callers of the small ones see their jobs done seconds late,
/// and connections are reset.
/// Sequence: 45 instances start; each reads 6,500 jobs over a link of 10 Mbit/s, which carries nothing else
/// meanwhile.
/// Cause: each kept all jobs, though it needs one row of a job that it is asked for, and will not be
/// the scheduler.
#[async_std::test]
async fn a_small_instance_serves_at_once_and_reads_no_table() {
    let mut cell = backlog().await;
    // The table would take half a minute.
    let link = Link::open(cell.store, TABLE / 30).await;
    let began = Instant::now();
    let n = cell.add_sized(link.addr, SMALL);
    cell.wait("ready", || async { cell.ready(n).await }).await;
    let id = ids()[7].to_string();
    assert_eq!(cell.state(n, "plain", &id).await, "queued");
    assert!(began.elapsed() < Duration::from_millis(1_500), "{:?}", began.elapsed());
    let count = || async { cell.call(n, "GET", "/plain/", "").await.1["pending"] == JOBS };
    cell.wait("the scheduler's count", count).await;
    let new = "00000000000000aa";
    assert_eq!(cell.submit(n, "plain", new, 1).await.0, 200);
    assert_eq!(cell.state(n, "plain", new).await, "queued");
    assert_eq!(cell.state(0, "plain", new).await, "queued");
    let (status, _) = cell.call(n, "GET", "/plain/00000000000000ab", "").await;
    assert_eq!(status, 410);
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    assert_eq!(cell.dump(n).await["jobs"], 0);
    cell.end().await;
    link.close().await;
}

/// A job is shown as far as it has come, and can be cancelled, at an instance that keeps no jobs.
#[async_std::test]
async fn a_small_instance_shows_what_the_scheduler_stored() {
    let mut cell = Cell::start(1, 1, 50).await;
    let n = cell.add_sized(cell.store, SMALL);
    cell.wait("ready", || async { cell.ready(n).await }).await;
    let done = "fc000000000000a1";
    assert_eq!(cell.submit(n, "plain", done, 1).await.0, 200);
    cell.wait_state(n, "plain", done, "completed").await;
    // Too wide for the runner: it waits until it is cancelled.
    let waits = "fc000000000000a2";
    assert_eq!(cell.submit(n, "plain", waits, 20).await.0, 200);
    assert_eq!(cell.call(n, "DELETE", &format!("/plain/{waits}"), "").await.0, 200);
    cell.wait_state(n, "plain", waits, "canceled").await;
    assert_eq!(cell.dump(n).await["jobs"], 0);
    cell.end().await;
}

/// Where all larger instances are gone a small one makes ready, and takes the office.
#[async_std::test]
async fn a_small_instance_takes_the_office_when_nobody_else_does() {
    let mut cell = Cell::start(1, 1, 50).await;
    let n = cell.add_sized(cell.store, SMALL);
    cell.wait("ready", || async { cell.ready(n).await }).await;
    let before = "fc000000000000a1";
    assert_eq!(cell.submit(n, "plain", before, 1).await.0, 200);
    cell.wait_state(n, "plain", before, "completed").await;
    cell.stop(0).await;
    // Nobody knows of its jobs but the store.
    assert_eq!(cell.state(n, "plain", before).await, "completed");
    let after = "fc000000000000a2";
    assert_eq!(cell.submit(n, "plain", after, 1).await.0, 200);
    cell.wait_state(n, "plain", after, "completed").await;
    cell.end().await;
}

/// What nobody can tell is refused, and not guessed.
#[async_std::test]
async fn a_small_instance_without_store_and_scheduler_answers_503() {
    let mut cell = Cell::start(1, 0, 0).await;
    let n = cell.add_sized(cell.store, SMALL);
    cell.wait("ready", || async { cell.ready(n).await }).await;
    cell.stop(0).await;
    cell.world.mood(Mood::Silent);
    task::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(cell.call(n, "GET", "/plain/fc000000000000a1", "").await.0, 503);
    assert_eq!(cell.call(n, "GET", "/plain/", "").await.0, 503);
    cell.world.mood(Mood::Well);
    cell.end().await;
}

/// A store whose feeds answer after 200 ms.
struct Late(Rows);

#[tide::utils::async_trait]
impl Store for Late {
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
        self.0.page(table, part, from, to, limit).await
    }

    async fn changes(&self, table: &str, after: u64, _: u64) -> Result<Changes, ReadError> {
        task::sleep(Duration::from_millis(200)).await;
        self.0.changes(table, after, 0).await
    }
}

/// Symptom: an instance answers for all jobs from a few of them.
/// Sequence: it asks the feed of the jobs; it drops them, since it is not to take the office; the
/// feed's answer arrives, and what it says is taken for all there is once jobs are kept again.
/// Cause: an answer to a question from before.
#[async_std::test]
async fn an_answer_from_before_jobs_were_dropped_is_not_taken_for_all() {
    let rows = Rows::default();
    let spec = JobSpec { steps: vec![Step { count: 1, ..Step::default() }], ..JobSpec::default() };
    let row = rows::encode(&JobRow { queue: "q".into(), at: 1, spec });
    for id in ids() {
        rows.put(rows::job_key(id), row.clone());
    }
    let clock = Clock::real();
    let pulse = Arc::new(Pulse::new(clock.clone()));
    let mirror = Arc::new(Mirror::new(Arc::new(Late(rows)), pulse, clock));
    mirror.poll(Table::Jobs, 0).await.unwrap();
    assert_eq!(mirror.job_count() as u64, JOBS);
    let asking = {
        let mirror = mirror.clone();
        task::spawn(async move { mirror.poll(Table::Jobs, 0).await })
    };
    task::sleep(Duration::from_millis(50)).await;
    mirror.keep_jobs(false);
    mirror.keep_jobs(true);
    let _ = asking.await;
    assert_eq!(mirror.followed(Table::Jobs), None);
    mirror.poll(Table::Jobs, 0).await.unwrap();
    assert_eq!(mirror.job_count() as u64, JOBS);
    assert_eq!(mirror.find_job(ids()[3]).await, Ok(Some(JobState::Queued)));
}
