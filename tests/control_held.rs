//! Jobs of which a row cannot be decoded: nothing of them starts, is stopped or overwritten.

mod common {
    pub mod table;
}

use common::table::MemoryStore;
use currantgw::control::admission::AdmissionView;
use currantgw::control::election::{Election, Term};
use currantgw::control::engine::Rules;
use currantgw::control::leader::Leader;
use currantgw::control::links::server::LinkServer;
use currantgw::control::mirror::{Mirror, Table};
use currantgw::control::model::{Attempt, EndKind, JobId, JobSpec, Step, StepId, TaskId};
use currantgw::control::partitions::Partition;
use currantgw::control::policy::features::Features;
use currantgw::control::policy::place::Placement;
use currantgw::control::ports::{
    ActiveRun, End, Key, PollRequest, Refusal, Report, RunnerCall, Runners, StartOrder, StopOrder,
};
use currantgw::control::rows::{self, JobRow};
use currantgw::control::settings::NodeSettings;
use currantgw::control::store_health::StoreHealth;
use currantgw::kernel::clock::Clock;
use currantgw::kernel::res::Resources;
use currantgw::kernel::stop;
use futures::future::Either;
use serde_json::json;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Job whose row, or that of whose progress, cannot be decoded.
const HELD: JobId = JobId(5);

/// A job that can be decoded.
const OTHER: JobId = JobId(6);

/// How long a term lasts.
const TERM: Duration = Duration::from_millis(1_500);

fn task(job: JobId, index: u32) -> TaskId {
    TaskId { step: StepId { job, occurrence: 0, step: 0 }, index }
}

/// A runner on which a task of [`HELD`] runs and two more have ended, and what it was sent.
#[derive(Default)]
struct OneRunner {
    starts: Mutex<Vec<TaskId>>,
    stops: Mutex<Vec<TaskId>>,
    acked: Mutex<u64>,
}

#[tide::utils::async_trait]
impl Runners for OneRunner {
    async fn start(&self, _: &RunnerCall, order: &StartOrder) -> Result<u64, Refusal> {
        self.starts.lock().unwrap().push(order.task);
        Ok(1_000)
    }

    async fn stop(&self, _: &RunnerCall, order: &StopOrder) -> Result<u64, Refusal> {
        self.stops.lock().unwrap().push(order.task);
        Ok(1_000)
    }

    async fn poll(&self, _: &RunnerCall, request: &PollRequest) -> Result<Report, Refusal> {
        async_std::task::sleep(Duration::from_millis(50)).await;
        let mut acked = self.acked.lock().unwrap();
        *acked = request.acked.max(*acked);
        let run = ActiveRun {
            task: task(HELD, 0),
            attempt: Attempt(1),
            saved: String::new(),
            percent: 10.0,
            load: 0.0,
        };
        let end = |number, task, kind| End {
            number,
            task,
            attempt: Attempt(1),
            kind,
            saved: String::new(),
        };
        let done = end(1, task(HELD, 1), EndKind::Done);
        let ends = vec![done, end(2, task(JobId(9), 0), EndKind::Stopped)];
        Ok(Report { clock: 1_000, active: vec![run], ends, ..Report::default() })
    }
}

fn config() -> (Key, Vec<u8>) {
    let route = json!({"name": "q", "host": "h.example", "path_prefix": "/q/", "kind": "non_idempotent",
        "timeout_ms": 3000, "target_latency_ms": 250, "priority": 1, "service": "svc",
        "max_attempts": 2, "slack_factor": 2.0});
    let value = json!({"version": 3, "routes": [route], "services": [], "limits": {}});
    (Key::new("op", "", "config"), value.to_string().into_bytes())
}

/// Registry entry of the runner, which has room for one task.
fn entry() -> (Key, Vec<u8>) {
    let value = json!({"service": "svc", "address": "127.0.0.1:9000", "zone": "z", "version": "v1",
        "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 7, "labels": ["a", "r1-3"],
        "capacity": {"cpu": 1_500, "mem_mb": 65_536}});
    (Key::new("servers", "", "i-1"), value.to_string().into_bytes())
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

fn leader(clock: &Clock, store: Arc<MemoryStore>, runners: Arc<OneRunner>) -> Leader {
    let store_health = Arc::new(StoreHealth::new(clock.clone()));
    let rules = Rules {
        lease_ms: 8_000,
        hold_max_ms: 10_000,
        stop_ms: 400,
        keep_ms: 120_000,
        placement: Placement::default(),
        features: Features::default(),
    };
    Leader {
        store: store.clone(),
        runners,
        server: Arc::new(LinkServer::new(None, Arc::default(), clock.clone())),
        mirror: Arc::new(Mirror::new(store.clone(), store_health, clock.clone())),
        election: Arc::new(Election::new(store, clock.clone(), &settings())),
        clock: clock.clone(),
        rules,
        cross_part: true,
        admission: Arc::new(AdmissionView::new(false, clock.clone())),
        link_mbps: None,
        traffic: Arc::default(),
        view: Arc::default(),
    }
}

/// Runs a term with a job whose rows have these values beside one that can be decoded, and the
/// runner. Returns what the runner was sent, and the value of the job's progress row afterwards.
fn term_with(
    job: Option<Vec<u8>>,
    progress: Option<Vec<u8>>,
    cancelled: bool,
) -> (Arc<OneRunner>, Option<Vec<u8>>) {
    let clock = Clock::real();
    let (_trigger, stop) = stop::pair();
    let (store, runner) = (Arc::new(MemoryStore::default()), Arc::new(OneRunner::default()));
    let leader = leader(&clock, store.clone(), runner.clone());
    let step = |count, cpu| Step {
        count,
        need: Resources { cpu, mem: 100, acc: 0 },
        estimate: 60_000,
        ..Step::default()
    };
    let row = |step| {
        let spec = JobSpec { steps: vec![step], ..JobSpec::default() };
        rows::encode(&JobRow {
            queue: "q".into(),
            team: None,
            at: clock.wall(),
            spec,
            definition: None,
        })
    };
    async_std::task::block_on(async {
        store.put(config().0, config().1);
        store.put(entry().0, entry().1);
        store.put(rows::job_key(HELD), job.unwrap_or_else(|| row(step(3, 1_000))));
        store.put(rows::job_key(OTHER), row(step(1, 1_000)));
        if let Some(value) = progress {
            store.put(rows::progress_key(HELD), value);
        }
        if cancelled {
            store.put(rows::cancel_key(HELD), rows::encode(&clock.wall()));
        }
        let fence = store.put(rows::leader_key(), Vec::new());
        let fences: Vec<u64> =
            Partition::all().map(|p| store.put(rows::fence_key(p), Vec::new())).collect();
        let term = Term { fence, fence_versions: fences.try_into().unwrap(), prior_end: 0 };
        for table in [Table::Config, Table::Jobs, Table::Progress] {
            leader.mirror.poll(table, 0).await.unwrap();
        }
        let serve = Box::pin(leader.serve(term, &stop));
        let end = Box::pin(async_std::task::sleep(TERM));
        let first = futures::future::select(serve, end).await;
        assert!(matches!(first, Either::Right(_)), "the term goes on");
    });
    (runner, store.row(&rows::progress_key(HELD)).map(|r| r.value))
}

/// Guards against tasks that run twice: a leader that cannot read the progress of a job takes it for
/// not begun, overwrites the row, and starts tasks that run or have run already.
#[test]
fn a_job_with_unreadable_progress_is_held() {
    let (runner, progress) = term_with(None, Some(b"junk".to_vec()), false);
    assert_eq!(progress, Some(b"junk".to_vec()), "the row is not overwritten");
    assert_eq!(*runner.starts.lock().unwrap(), [], "its run takes the capacity");
    assert_eq!(*runner.stops.lock().unwrap(), []);
    assert_eq!(*runner.acked.lock().unwrap(), 0, "its completion waits");
}

/// The same for a job of which the submission cannot be decoded.
#[test]
fn a_job_that_cannot_be_decoded_is_held() {
    let (runner, progress) = term_with(Some(b"junk".to_vec()), None, false);
    assert_eq!(progress, None);
    assert_eq!(*runner.starts.lock().unwrap(), [], "what its run takes is not known");
    assert_eq!(*runner.stops.lock().unwrap(), []);
    assert_eq!(*runner.acked.lock().unwrap(), 0);
}

/// A caller who cancels a held job must not wait for its row.
#[test]
fn runs_of_a_held_job_that_is_cancelled_are_stopped() {
    let (runner, progress) = term_with(None, Some(b"junk".to_vec()), true);
    assert_eq!(progress, Some(b"junk".to_vec()));
    assert!(runner.stops.lock().unwrap().contains(&task(HELD, 0)));
}

/// Guards against terms that end one after the other: one ends since another program has replaced the
/// progress of a job by a row that cannot be decoded, and the next one holds the job.
#[test]
fn a_term_after_one_that_found_an_unreadable_row_goes_on() {
    let clock = Clock::real();
    let (_trigger, stop) = stop::pair();
    let (store, runner) = (Arc::new(MemoryStore::default()), Arc::new(OneRunner::default()));
    let leader = leader(&clock, store.clone(), runner.clone());
    let step = Step { count: 1, estimate: 60_000, ..Step::default() };
    let spec = JobSpec { steps: vec![step], ..JobSpec::default() };
    let row = JobRow { queue: "q".into(), team: None, at: clock.wall(), spec, definition: None };
    let term = || {
        let fence = store.put(rows::leader_key(), Vec::new());
        let fences: Vec<u64> =
            Partition::all().map(|p| store.put(rows::fence_key(p), Vec::new())).collect();
        Term { fence, fence_versions: fences.try_into().unwrap(), prior_end: 0 }
    };
    async_std::task::block_on(async {
        store.put(config().0, config().1);
        store.put(rows::job_key(HELD), rows::encode(&row));
        for table in [Table::Config, Table::Jobs, Table::Progress] {
            leader.mirror.poll(table, 0).await.unwrap();
        }
        let replace = async {
            async_std::task::sleep(Duration::from_millis(300)).await;
            store.put(rows::progress_key(HELD), b"junk".to_vec());
            store.put(rows::cancel_key(HELD), rows::encode(&clock.wall()));
        };
        futures::join!(leader.serve(term(), &stop), replace);
        let end = Box::pin(async_std::task::sleep(TERM));
        let first = futures::future::select(Box::pin(leader.serve(term(), &stop)), end).await;
        assert!(matches!(first, Either::Right(_)), "the term goes on");
    });
    let progress = store.row(&rows::progress_key(HELD)).map(|r| r.value);
    assert_eq!(progress, Some(b"junk".to_vec()));
}
