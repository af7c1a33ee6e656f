//! Seeded runs of instances as processes, on stand-ins of the store and of runners, with faults from
//! outside.

pub mod faults;
pub mod instances;
pub mod judge;
pub mod load;
pub mod runner;
pub mod standing;

use super::ports::free_addr;
use super::users::advice::Advice;
use super::users::{Platform, StoreMode};
use async_std::task;
use currantgw::http::ConnPool;
use currantgw::kernel::clock::Clock;
use faults::{Fault, Target};
use instances::Instance;
use judge::{Rule, Violation};
use load::{Clients, Served, KINDS};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use runner::Fleet;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How the store answers while there is no fault.
pub const STORE: StoreMode = StoreMode::Slow(4);

/// Log messages that are counted.
const MESSAGES: [&str; 8] = [
    "run not listed: written off",
    "completion of a run already marked as lost",
    "lease over: tasks written off",
    "stray run stopped",
    "term begins",
    "runner does not answer",
    "runner replaced by another life",
    "no progress: task stopped",
];

/// Number of the next run of this process: runs with one seed have directories of their own.
static NEXT_RUN: AtomicU32 = AtomicU32::new(0);

/// Times that a runner takes, each as a range in ms, and the size of its answers.
#[derive(Clone, Copy, Debug)]
pub struct Gaps {
    /// From the answer to a start until the run is listed as active.
    pub list_ms: (u64, u64),
    /// From the time a run is no longer active until its completion is listed.
    pub end_ms: (u64, u64),
    /// Whether completions are numbered before that time, and then listed in another order.
    pub early_number: bool,
    /// From the time of the lists of an answer to the time of its clock.
    pub stamp_ms: (u64, u64),
    /// Most completions in an answer.
    pub page: usize,
    /// From the time an answer is computed until it is sent; answers overtake each other.
    pub answer_ms: (u64, u64),
}

impl Gaps {
    /// A runner that moves runs between its lists in one instant.
    pub const NONE: Self = Self {
        list_ms: (0, 0),
        end_ms: (0, 0),
        early_number: false,
        stamp_ms: (0, 0),
        page: 500,
        answer_ms: (0, 0),
    };
}

/// What a run is like.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub instances: usize,
    pub runners: usize,
    pub traffic_s: u64,
    pub tail_s: u64,
    pub gaps: Gaps,
    pub gangs: bool,
    pub faults: BTreeSet<Fault>,
    /// Faults before those, each at a time from the beginning of the traffic, ms.
    pub script: &'static [(u64, Fault)],
    /// Time from the last fault until LOST is judged, ms.
    pub calm_ms: u64,
}

/// What a run has shown.
#[derive(Debug)]
pub struct Outcome {
    pub violations: Vec<Violation>,
    pub starts: usize,
    pub served: Served,
    /// Number of log lines with each of the counted messages.
    pub messages: BTreeMap<&'static str, usize>,
    pub dir: PathBuf,
}

impl Outcome {
    /// Number of violations by rule.
    pub fn counts(&self) -> BTreeMap<Rule, usize> {
        let mut out = BTreeMap::new();
        self.violations.iter().for_each(|v| *out.entry(v.rule).or_default() += 1);
        out
    }
}

fn config(advice: Advice) -> Value {
    let route = |k: &load::Kind| {
        let mut route = json!({"name": k.name, "host": "h.example", "path_prefix": format!("/{}/", k.name),
            "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 250,
            "priority": k.priority, "service": "svc", "max_attempts": k.max_attempts,
            "slack_factor": 2.0});
        if k.is_advised {
            route["recommendation"] = json!({"decision_ms": advice.decision_ms, "validity_ms": advice.validity_ms,
                "per_item_ms": advice.per_item_ms});
        }
        route
    };
    let routes: Vec<Value> = KINDS.iter().map(route).collect();
    json!({"version": 3, "services": [], "limits": {}, "routes": routes})
}

fn count_messages(dir: &Path) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for file in std::fs::read_dir(dir).unwrap().map(|f| f.unwrap().path()) {
        if file.extension().is_none_or(|e| e != "log") {
            continue;
        }
        let log = String::from_utf8_lossy(&std::fs::read(file).unwrap()).into_owned();
        for message in MESSAGES {
            let lines = log.lines().filter(|l| l.contains(message)).count();
            *counts.entry(message).or_default() += lines;
        }
    }
    counts
}

/// Runs a plan to its end.
pub async fn run(plan: &Plan) -> Outcome {
    let run = NEXT_RUN.fetch_add(1, Ordering::Relaxed);
    let name = format!("soak-{}-{}-{run}", plan.seed, std::process::id());
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&dir).unwrap();
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut fork = || StdRng::seed_from_u64(rng.gen());
    let platform = Arc::new(Platform::default());
    platform.set_store_mode(STORE);
    let advice = Advice::new(60);
    let config = config(advice);
    platform.put("op", "config", &config);
    let addrs: Vec<_> = (0..plan.runners).map(|_| free_addr()).collect();
    let fleet = Fleet::new(platform.clone(), &addrs, plan.gaps, advice, fork());
    fleet.world.lock().unwrap().calm_ms = plan.calm_ms;
    let mut servers: Vec<_> = (0..plan.runners).map(|n| fleet.serve(n)).collect();
    servers.push(task::spawn(fleet.clone().run()));
    let new = |n| Instance::new(n, &platform, advice, &dir);
    let instances: Arc<Vec<Instance>> = Arc::new((0..plan.instances).map(new).collect());
    instances.iter().for_each(Instance::boot);
    wait_ready(&instances).await;

    let scale = plan.runners as f64 / 48.0;
    let time = Duration::from_secs(plan.traffic_s);
    let target = Target {
        instances: instances.clone(),
        fleet: fleet.clone(),
        platform,
        runners: plan.runners,
        config: Arc::new(Mutex::new(config)),
    };
    let faults = task::spawn(target.run(plan.faults.clone(), plan.script, time, fork()));
    let clients = Clients::new(instances.clone(), fleet.clone());
    let (submitted, accepted) = clients.run(scale, plan.gangs, time, fork()).await;
    faults.await;
    task::sleep(Duration::from_secs(plan.tail_s)).await;
    let served = Served {
        submitted,
        accepted: accepted.len(),
        open: clients.open(accepted, Duration::from_secs(plan.tail_s)).await,
    };
    for instance in instances.iter() {
        instance.end().await;
    }
    for server in servers {
        server.cancel().await;
    }
    let world = fleet.world.lock().unwrap();
    let violations = world.judge.violations();
    let text: Vec<String> =
        violations.iter().map(|v| format!("{} {:?} {}", v.at, v.rule, v.text)).collect();
    std::fs::write(dir.join("violations.txt"), text.join("\n")).unwrap();
    Outcome {
        violations,
        starts: world.judge.starts(),
        served,
        messages: count_messages(&dir),
        dir,
    }
}

async fn wait_ready(instances: &[Instance]) {
    let (conns, began) = (ConnPool::new(Clock::real()), Instant::now());
    for instance in instances {
        while !instance.ready(&conns).await {
            assert!(began.elapsed() < Duration::from_secs(20), "an instance is not ready");
            task::sleep(Duration::from_millis(50)).await;
        }
    }
}
