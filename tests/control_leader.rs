//! The scheduler in office beside the other tasks of its process.

use currantgw::control::engine::Rules;
use currantgw::control::leader::Leader;
use currantgw::control::links::desk::Desk;
use currantgw::control::mirror::{Mirror, Table};
use currantgw::control::model::{JobId, JobSpec, Step};
use currantgw::control::office::{Office, Term};
use currantgw::control::parts;
use currantgw::control::place::Placement;
use currantgw::control::ports::{
    Changes, Commit, CommitError, Hold, Key, Order, Page, ReadError, Refusal, Report, Row,
    RunnerCall, Runners, Start, Store, Txn,
};
use currantgw::control::pulse::Pulse;
use currantgw::control::rows::{self, JobRow};
use currantgw::control::settings::NodeSettings;
use currantgw::kernel::clock::Clock;
use currantgw::kernel::stop;
use futures::task;
use serde_json::json;
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Events that wait for the scheduler: seconds of work for it.
const EVENTS: u64 = 1_000_000;

/// Longest that it may keep its process from anything else: a link is given up after 1.2 s.
const LONGEST: Duration = Duration::from_millis(250);

/// Version of whatever is read.
const VERSION: u64 = 7;

/// Cancellations of unknown jobs: events that cost little.
const CHEAP: u64 = 300_000;

/// Jobs that wait for runners while there are none: planning rounds of many times 8 ms.
const WAITING: u64 = 6_000;

/// A store with nothing but a configuration in it that answers at once.
#[derive(Default)]
struct Empty {
    /// Keys of progress written, and when.
    written: Mutex<BTreeMap<String, Instant>>,
}

#[tide::utils::async_trait]
impl Store for Empty {
    async fn commit(&self, txn: &Txn, _: u64) -> Result<Commit, CommitError> {
        let mut written = self.written.lock().unwrap();
        for (key, _) in txn.put.iter().filter(|(k, _)| k.table == rows::PROGRESS) {
            written.insert(key.key.clone(), Instant::now());
        }
        Ok(Commit::Done(VERSION))
    }

    async fn page(
        &self,
        table: &str,
        _: &str,
        _: &str,
        _: Option<&str>,
        _: usize,
    ) -> Result<Page, ReadError> {
        let rows = if table == "op" { vec![config()] } else { Vec::new() };
        Ok(Page { rows, more: false, version: VERSION })
    }

    async fn changes(&self, _: &str, _: u64, wait_ms: u64) -> Result<Changes, ReadError> {
        async_std::task::sleep(Duration::from_millis(wait_ms)).await;
        Ok(Changes { rows: Vec::new(), version: VERSION })
    }
}

/// Runners that are not there.
struct Nobody;

#[tide::utils::async_trait]
impl Runners for Nobody {
    async fn start(&self, _: &RunnerCall, _: &Start) -> Result<u64, Refusal> {
        Err(Refusal::Unreachable)
    }

    async fn stop(&self, _: &RunnerCall, _: &Order) -> Result<u64, Refusal> {
        Err(Refusal::Unreachable)
    }

    async fn hold(&self, _: &RunnerCall, _: &Hold) -> Result<Report, Refusal> {
        Err(Refusal::Unreachable)
    }
}

fn config() -> Row {
    let route = json!({"name": "q", "host": "h.example", "path_prefix": "/q/", "kind": "non_idempotent",
        "timeout_ms": 3000, "target_latency_ms": 250, "priority": 1, "service": "svc",
        "max_attempts": 2, "slack_factor": 2.0});
    let value = json!({"version": 3, "routes": [route], "services": [], "limits": {}});
    let key = Key::new("op", "", "config");
    Row { key, value: value.to_string().into_bytes(), version: 1 }
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
        share: 0.5,
        store: at,
        cross_part: true,
        advice: None,
        hold_max_ms: 10_000,
        grace_ms: 2_600,
        keep_ms: 120_000,
        placement: Placement::default(),
    }
}

fn leader(clock: &Clock, store: Arc<Empty>) -> Leader {
    let store: Arc<dyn Store> = store;
    let pulse = Arc::new(Pulse::new(clock.clone()));
    let rules = Rules {
        hold_ms: 8_000,
        yield_ms: 10_000,
        keep_ms: 120_000,
        placement: Placement::default(),
    };
    Leader {
        store: store.clone(),
        runners: Arc::new(Nobody),
        desk: Arc::new(Desk::new(None, clock.clone())),
        mirror: Arc::new(Mirror::new(store.clone(), pulse, clock.clone())),
        office: Arc::new(Office::new(store, clock.clone(), &settings())),
        clock: clock.clone(),
        rules,
        cross_part: true,
        view: Arc::default(),
    }
}

/// Polls for `span`, as an executor with one thread does; returns how long the longest poll took.
fn longest_poll(serve: &mut (impl Future<Output = ()> + Unpin), span: Duration) -> Duration {
    let waker = task::noop_waker();
    let (began, mut longest) = (Instant::now(), Duration::ZERO);
    while began.elapsed() < span {
        let polled = Instant::now();
        let res = std::pin::Pin::new(&mut *serve).poll(&mut Context::from_waker(&waker));
        assert_eq!(res, Poll::Pending, "the term is not over");
        longest = longest.max(polled.elapsed());
        std::thread::sleep(Duration::from_millis(1));
    }
    longest
}

/// Symptom: again and again all links to the scheduler close at the same moment, also those of calm
/// instances with large links, and all questions on them are lost.
/// Sequence: so many answers and refusals come in that there is always one more to take; an instance
/// has one processor, on which the scheduler's task never waits; nothing reads or writes the links
/// for 1.2 s, and both sides take the other for gone.
/// Cause: the loop of the scheduler gives way only when it has nothing to do.
#[test]
fn a_busy_scheduler_lets_the_rest_of_its_process_run() {
    let clock = Clock::real();
    let (_trigger, stop) = stop::pair();
    let leader = leader(&clock, Arc::default());
    let mut serve = Box::pin(leader.serve(Term { fence: 5, parts: [5; parts::COUNT] }, &stop));
    longest_poll(&mut serve, Duration::from_millis(200));
    for id in 0..EVENTS {
        leader.mirror.put_cancel(JobId(id));
    }
    let longest = longest_poll(&mut serve, Duration::from_millis(500));
    assert!(longest < LONGEST, "one poll took {longest:?}");
}

/// Time from a cancellation that comes behind [`CHEAP`] others to its being stored, while `waiting` jobs
/// wait for runners.
fn cancelled_after(waiting: u64) -> Duration {
    let clock = Clock::real();
    let (_trigger, stop) = stop::pair();
    let store = Arc::new(Empty::default());
    let leader = leader(&clock, store.clone());
    async_std::task::block_on(leader.mirror.poll(Table::Config, 0)).unwrap();
    let mut serve = Box::pin(leader.serve(Term { fence: 5, parts: [5; parts::COUNT] }, &stop));
    longest_poll(&mut serve, Duration::from_millis(100));
    let steps = vec![Step { count: 1, ..Step::default() }];
    let spec = JobSpec { steps, ..JobSpec::default() };
    let row = Arc::new(JobRow { queue: "q".into(), at: clock.wall(), spec });
    let last = JobId(u64::MAX);
    for id in (0..waiting).map(JobId).chain([last]) {
        leader.mirror.put_job(id, row.clone());
    }
    longest_poll(&mut serve, Duration::from_millis(1_500));
    let began = Instant::now();
    for id in 0..CHEAP {
        leader.mirror.put_cancel(JobId(WAITING + id));
    }
    leader.mirror.put_cancel(last);
    let key = rows::progress_key(last).key;
    loop {
        longest_poll(&mut serve, Duration::from_millis(1));
        if let Some(at) = store.written.lock().unwrap().get(&key) {
            return at.duration_since(began);
        }
    }
}

/// Symptom: with 3,000 steps open a placement is stored, and its start goes out, a second after it was
/// decided; tickets have run out by then, so that nothing starts at all, though nearly all room is free.
/// Sequence: a planning round takes 70 ms; between two rounds answers are taken in for 8 ms; those of
/// the store wait behind 2,000 others for ten rounds.
/// Cause: a fixed time for events between rounds whose length grows with what waits.
#[test]
fn events_get_as_much_time_as_planning() {
    let idle = cancelled_after(0);
    let busy = cancelled_after(WAITING);
    assert!(busy < 4 * idle, "{busy:?}, {idle:?} with nothing to plan");
}
