//! Fairness of the leader under load: towards the other tasks of its process, and between planning
//! and events.

use currantgw::control::election::{Election, Term};
use currantgw::control::engine::Rules;
use currantgw::control::leader::Leader;
use currantgw::control::links::server::LinkServer;
use currantgw::control::mirror::{Mirror, Table};
use currantgw::control::model::{JobId, JobSpec, Step};
use currantgw::control::partitions;
use currantgw::control::place::Placement;
use currantgw::control::ports::{
    Changes, Commit, CommitError, Key, Page, PollRequest, ReadError, Refusal, Report, Row,
    RunnerCall, Runners, StartOrder, StopOrder, Store, Txn,
};
use currantgw::control::rows::{self, JobRow};
use currantgw::control::settings::NodeSettings;
use currantgw::control::store_health::StoreHealth;
use currantgw::kernel::clock::Clock;
use currantgw::kernel::stop;
use futures::task;
use serde_json::json;
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Events queued for the scheduler: seconds of work.
const EVENTS: u64 = 1_000_000;

/// Longest time that one poll may block the process: a link times out after 1.2 s.
const MAX_POLL: Duration = Duration::from_millis(250);

/// Version of all answers of the store.
const VERSION: u64 = 7;

/// Number of cancellations of unknown jobs, which are cheap events.
const CHEAP_EVENTS: u64 = 300_000;

/// Number of jobs that wait for runners while there are none: planning takes many times the 8 ms of
/// a round.
const WAITING_JOBS: u64 = 6_000;

/// A store that holds only a configuration and answers at once.
#[derive(Default)]
struct Empty {
    /// Keys of the progress rows written, with the time.
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
        Ok(Page { rows, has_more: false, version: VERSION })
    }

    async fn changes(&self, _: &str, _: u64, wait_ms: u64) -> Result<Changes, ReadError> {
        async_std::task::sleep(Duration::from_millis(wait_ms)).await;
        Ok(Changes { rows: Vec::new(), version: VERSION })
    }
}

/// Runners that are all unreachable.
struct Unreachable;

#[tide::utils::async_trait]
impl Runners for Unreachable {
    async fn start(&self, _: &RunnerCall, _: &StartOrder) -> Result<u64, Refusal> {
        Err(Refusal::Unreachable)
    }

    async fn stop(&self, _: &RunnerCall, _: &StopOrder) -> Result<u64, Refusal> {
        Err(Refusal::Unreachable)
    }

    async fn poll(&self, _: &RunnerCall, _: &PollRequest) -> Result<Report, Refusal> {
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
        stop_ms: 400,
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

fn leader(clock: &Clock, store: Arc<Empty>) -> Leader {
    let store: Arc<dyn Store> = store;
    let store_health = Arc::new(StoreHealth::new(clock.clone()));
    let rules = Rules {
        lease_ms: 8_000,
        hold_max_ms: 10_000,
        stop_ms: 400,
        step_down_ms: 10_000,
        keep_ms: 120_000,
        placement: Placement::default(),
    };
    Leader {
        store: store.clone(),
        runners: Arc::new(Unreachable),
        server: Arc::new(LinkServer::new(None, clock.clone())),
        mirror: Arc::new(Mirror::new(store.clone(), store_health, clock.clone())),
        election: Arc::new(Election::new(store, clock.clone(), &settings())),
        clock: clock.clone(),
        rules,
        cross_part: true,
        view: Arc::default(),
    }
}

/// Polls the future for `span`, as an executor with one thread does, and returns the duration of
/// the longest poll.
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

/// Guards against all links to the leader closing at the same time, with all advice requests on
/// them lost. Under load there was always one more answer to handle, and the scheduler's task,
/// which yielded only when idle, blocked the only processor of its instance for 1.2 s, the timeout
/// of a link.
#[test]
fn a_busy_scheduler_lets_the_rest_of_its_process_run() {
    let clock = Clock::real();
    let (_trigger, stop) = stop::pair();
    let leader = leader(&clock, Arc::default());
    let mut serve =
        Box::pin(leader.serve(Term { fence: 5, fence_versions: [5; partitions::COUNT] }, &stop));
    longest_poll(&mut serve, Duration::from_millis(200));
    for id in 0..EVENTS {
        leader.mirror.put_cancel(JobId(id));
    }
    let longest = longest_poll(&mut serve, Duration::from_millis(500));
    assert!(longest < MAX_POLL, "one poll took {longest:?}");
}

/// Time until a cancellation that is queued behind [`CHEAP_EVENTS`] others is stored, while
/// `waiting` jobs wait for runners.
fn cancelled_after(waiting: u64) -> Duration {
    let clock = Clock::real();
    let (_trigger, stop) = stop::pair();
    let store = Arc::new(Empty::default());
    let leader = leader(&clock, store.clone());
    async_std::task::block_on(leader.mirror.poll(Table::Config, 0)).unwrap();
    let mut serve =
        Box::pin(leader.serve(Term { fence: 5, fence_versions: [5; partitions::COUNT] }, &stop));
    longest_poll(&mut serve, Duration::from_millis(100));
    let steps = vec![Step { count: 1, ..Step::default() }];
    let spec = JobSpec { steps, ..JobSpec::default() };
    let row = Arc::new(JobRow { queue: "q".into(), team: None, at: clock.wall(), spec });
    let last = JobId(u64::MAX);
    for id in (0..waiting).map(JobId).chain([last]) {
        leader.mirror.put_job(id, row.clone());
    }
    longest_poll(&mut serve, Duration::from_millis(1_500));
    let began = Instant::now();
    for id in 0..CHEAP_EVENTS {
        leader.mirror.put_cancel(JobId(WAITING_JOBS + id));
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

/// Guards against tickets that expire before their tasks start, while nearly all capacity is free.
/// With 3,000 open steps, planning took 70 ms, and between two rounds events were handled for a
/// fixed 8 ms, so that answers of the store waited behind 2,000 other events for ten rounds: a
/// placement was stored, and its start sent, a second after the decision.
#[test]
fn events_get_as_much_time_as_planning() {
    let idle = cancelled_after(0);
    let busy = cancelled_after(WAITING_JOBS);
    assert!(busy < 4 * idle, "{busy:?}, {idle:?} with nothing to plan");
}
