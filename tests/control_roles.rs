//! Instances that are too small to become leader: what they cache, and what they answer.

mod common {
    pub mod narrow;
    pub mod ports;
    pub mod table;
    pub mod users;
}

use async_std::task;
use common::narrow::Link;
use common::table::MemoryStore;
use common::users::{Cell, StoreMode};
use currantgw::control::access::Caller;
use currantgw::control::mirror::{Mirror, Table};
use currantgw::control::model::{JobId, JobSpec, JobState, Step};
use currantgw::control::ports::{Changes, Commit, CommitError, Page, ReadError, Store, Txn};
use currantgw::control::rows::{self, JobRow};
use currantgw::control::store_health::StoreHealth;
use currantgw::kernel::clock::Clock;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of jobs that wait in the store.
const JOBS: u64 = 1_500;

/// Payload of each job, bytes; its row is about 1,600 bytes on the wire.
const PAYLOAD: usize = 1_000;

/// Size of all jobs on the wire, bytes.
const TABLE: usize = JOBS as usize * 1_600;

/// Share of a processor of a small instance.
const SMALL: f64 = 0.1;

fn ids() -> Vec<JobId> {
    (1..=JOBS).map(|n| JobId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))).collect()
}

/// A cell of one large instance and no runners, with [`JOBS`] waiting jobs.
async fn backlog() -> Cell {
    let cell = Cell::start(1, 0, 0).await;
    cell.platform.store_jobs("plain", &ids(), PAYLOAD);
    let counted = || async { cell.call(0, "GET", "/plain/", "").await.1["pending"] == JOBS };
    cell.wait("all jobs are counted", counted).await;
    cell
}

/// Guards against small instances that show completed jobs seconds late and reset connections after
/// a power loss of all instances. Each of 45 instances read 6,500 jobs over a saturated link of 10
/// Mbit/s, although one that will not become leader needs only the rows of jobs that it is queried
/// for.
#[async_std::test]
async fn a_small_instance_serves_at_once_and_reads_no_table() {
    let mut cell = backlog().await;
    // Reading the table would take half a minute.
    let link = Link::open(cell.store, TABLE / 30).await;
    let began = Instant::now();
    let n = cell.add_sized(link.addr, SMALL);
    cell.wait("ready", || async { cell.ready(n).await }).await;
    let id = ids()[7].to_string();
    assert_eq!(cell.state(n, "plain", &id).await, "queued");
    assert!(began.elapsed() < Duration::from_millis(1_500), "{:?}", began.elapsed());
    let count = || async { cell.call(n, "GET", "/plain/", "").await.1["pending"] == JOBS };
    cell.wait("the leader's count", count).await;
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

/// An instance that doesn't cache jobs shows the current state of a job, and can cancel it.
#[async_std::test]
async fn a_small_instance_shows_what_the_leader_stored() {
    let mut cell = Cell::start(1, 1, 50).await;
    let n = cell.add_sized(cell.store, SMALL);
    cell.wait("ready", || async { cell.ready(n).await }).await;
    let done = "fc000000000000a1";
    assert_eq!(cell.submit(n, "plain", done, 1).await.0, 200);
    cell.wait_state(n, "plain", done, "completed").await;
    // More tasks than the runner has capacity for: the job can't complete and is cancelled.
    let waits = "fc000000000000a2";
    assert_eq!(cell.submit(n, "plain", waits, 20).await.0, 200);
    assert_eq!(cell.call(n, "DELETE", &format!("/plain/{waits}"), "").await.0, 200);
    cell.wait_state(n, "plain", waits, "canceled").await;
    assert_eq!(cell.dump(n).await["jobs"], 0);
    cell.end().await;
}

/// Guards against requests that a small instance gives up while it stops. It no longer followed the
/// election, took the leader for absent after 3 s, and read all jobs over its small link.
#[async_std::test]
async fn a_small_instance_that_stops_does_not_begin_to_cache_jobs() {
    let mut cell = backlog().await;
    let n = cell.add_sized(cell.store, SMALL);
    cell.wait("ready", || async { cell.ready(n).await }).await;
    cell.stop(n).await;
    cell.set_grace(n, 7_500);
    cell.boot(n);
    cell.wait("ready", || async { cell.ready(n).await }).await;
    cell.wait("linked", || async { cell.dump(n).await["link"]["fresh"] == true }).await;
    cell.signal(n);
    task::sleep(Duration::from_millis(4_000)).await;
    let dump = cell.dump(n).await;
    assert_eq!((&dump["follows"], &dump["jobs"]), (&false.into(), &0.into()), "{dump}");
    assert_eq!(cell.state(n, "plain", &ids()[7].to_string()).await, "queued");
    cell.end().await;
}

/// Guards against instances that fall further and further behind the feed, and have seconds of
/// changes to read when they become leader. An answer of the feed holds 500 rows at most, and the
/// next one was requested a second later.
#[async_std::test]
async fn a_follower_reads_a_full_feed_without_a_pause() {
    let cell = Cell::start(2, 0, 0).await;
    for n in 0..2 {
        let linked = || async { cell.dump(n).await["jobs"] == 0 };
        cell.wait("started", linked).await;
    }
    task::sleep(Duration::from_millis(1_000)).await;
    let many: Vec<JobId> =
        (1..=6_000u64).map(|n| JobId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))).collect();
    cell.platform.store_jobs("plain", &many, 10);
    let began = Instant::now();
    for n in 0..2 {
        cell.wait("all jobs are cached", || async { cell.dump(n).await["jobs"] == 6_000 }).await;
    }
    assert!(began.elapsed() < Duration::from_millis(6_000), "{:?}", began.elapsed());
    cell.end().await;
}

/// A small instance becomes leader once all larger instances have stopped.
#[async_std::test]
async fn a_small_instance_becomes_leader_when_no_other_is_left() {
    let mut cell = Cell::start(1, 1, 50).await;
    let n = cell.add_sized(cell.store, SMALL);
    cell.wait("ready", || async { cell.ready(n).await }).await;
    let before = "fc000000000000a1";
    assert_eq!(cell.submit(n, "plain", before, 1).await.0, 200);
    cell.wait_state(n, "plain", before, "completed").await;
    cell.stop(0).await;
    // Only the store still has the job.
    assert_eq!(cell.state(n, "plain", before).await, "completed");
    let after = "fc000000000000a2";
    assert_eq!(cell.submit(n, "plain", after, 1).await.0, 200);
    cell.wait_state(n, "plain", after, "completed").await;
    cell.end().await;
}

/// Without the store and a leader, queries get a 503 rather than an answer from incomplete data.
#[async_std::test]
async fn a_small_instance_without_store_and_leader_answers_503() {
    let mut cell = Cell::start(1, 0, 0).await;
    let n = cell.add_sized(cell.store, SMALL);
    cell.wait("ready", || async { cell.ready(n).await }).await;
    cell.stop(0).await;
    cell.platform.set_store_mode(StoreMode::Unresponsive);
    task::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(cell.call(n, "GET", "/plain/fc000000000000a1", "").await.0, 503);
    assert_eq!(cell.call(n, "GET", "/plain/", "").await.0, 503);
    cell.platform.set_store_mode(StoreMode::Healthy);
    cell.end().await;
}

/// Guards against callers in a failure domain that is cut off who use up all their tries before the load
/// balancer directs them to another one. Each instance that they reached told them to come back at
/// once, as one does that alone has lost the store.
#[async_std::test]
async fn callers_of_an_instance_that_is_cut_off_come_back_later() {
    let mut cell = Cell::start(1, 0, 0).await;
    let (gate, store) = cell.gate();
    let n = cell.add_sized(store, SMALL);
    cell.wait("ready", || async { cell.ready(n).await }).await;
    cell.wait("linked", || async { cell.dump(n).await["link"]["fresh"] == true }).await;
    let job = r#"{"spec": "s", "phases": [{"count": 1, "cpu": 1000}]}"#;
    gate.close();
    task::sleep(Duration::from_millis(1_500)).await;
    // The leader stores it, and answers for the store.
    let (status, _) = cell.try_submit(n, "/plain/00000000000000a1", job).await;
    assert_eq!(status, 200);
    cell.stop(0).await;
    task::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(cell.retry_after(n, "/plain/00000000000000a2", job).await, Some(1));
    gate.open();
    cell.wait("accepted again", || async {
        cell.try_submit(n, "/plain/00000000000000a2", job).await.0 == 200
    })
    .await;
    cell.end().await;
}

/// A store whose feed answers after 200 ms.
struct SlowFeed(MemoryStore);

#[tide::utils::async_trait]
impl Store for SlowFeed {
    async fn commit(&self, txn: &Txn, ms: u64) -> Result<Commit, CommitError> {
        self.0.commit(txn, ms).await
    }

    async fn page(
        &self,
        table: &str,
        partition: &str,
        from: &str,
        to: Option<&str>,
        limit: usize,
    ) -> Result<Page, ReadError> {
        self.0.page(table, partition, from, to, limit).await
    }

    async fn changes(&self, table: &str, after: u64, _: u64) -> Result<Changes, ReadError> {
        task::sleep(Duration::from_millis(200)).await;
        self.0.changes(table, after, 0).await
    }
}

/// Guards against an instance that answers for all jobs from a few of them. It drops its cached
/// jobs while a poll of their feed is in flight. The stale answer must not count as the whole table
/// once jobs are cached again.
#[async_std::test]
async fn a_feed_answer_from_before_jobs_were_dropped_is_ignored() {
    let rows = MemoryStore::default();
    let spec = JobSpec { steps: vec![Step { count: 1, ..Step::default() }], ..JobSpec::default() };
    let row =
        rows::encode(&JobRow { queue: "q".into(), team: None, at: 1, spec, definition: None });
    for id in ids() {
        rows.put(rows::job_key(id), row.clone());
    }
    let clock = Clock::real();
    let store_health = Arc::new(StoreHealth::new(clock.clone()));
    let mirror = Arc::new(Mirror::new(Arc::new(SlowFeed(rows)), store_health, clock));
    mirror.poll(Table::Jobs, 0).await.unwrap();
    assert_eq!(mirror.job_count() as u64, JOBS);
    let polling = {
        let mirror = mirror.clone();
        task::spawn(async move { mirror.poll(Table::Jobs, 0).await })
    };
    task::sleep(Duration::from_millis(50)).await;
    mirror.set_cache_jobs(false);
    mirror.set_cache_jobs(true);
    let _ = polling.await;
    assert_eq!(mirror.cached_version(Table::Jobs), None);
    mirror.poll(Table::Jobs, 0).await.unwrap();
    assert_eq!(mirror.job_count() as u64, JOBS);
    assert_eq!(mirror.find_job(ids()[3], &Caller::Anyone).await, Ok(Some(JobState::Queued)));
}
