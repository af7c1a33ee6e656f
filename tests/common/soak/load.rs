//! Clients that submit jobs, repeat submissions, cancel some jobs and ask for their states.

use super::instances::Instance;
use super::runner::{Fleet, JobInfo, StepInfo};
use async_std::task;
use currantgw::http::{ConnPool, Method};
use currantgw::kernel::clock::Clock;
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time that a client waits for an answer, ms.
const DEADLINE_MS: u64 = 3_000;

/// Most attempts of a submission.
const MAX_TRIES: u32 = 5;

/// A queue, its share of the jobs, and what its jobs are like.
pub struct Kind {
    pub name: &'static str,
    pub priority: u32,
    pub max_attempts: usize,
    /// Whether the advice service decides which runners may run its steps.
    pub is_advised: bool,
    per_s: f64,
    steps: f64,
    width: f64,
    cpu: f64,
    mem: f64,
    work_ms: f64,
    fail_share: f64,
    gang_share: f64,
    cancel_share: f64,
}

/// The queues of the deployment `sabgha-cards`.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "archive",
        priority: 1,
        max_attempts: 4,
        is_advised: true,
        per_s: 1.81,
        steps: 1.2,
        width: 8.0,
        cpu: 18_000.0,
        mem: 37_000.0,
        work_ms: 4_000.0,
        fail_share: 0.02,
        gang_share: 0.5,
        cancel_share: 0.0,
    },
    Kind {
        name: "convert",
        priority: 2,
        max_attempts: 3,
        is_advised: false,
        per_s: 6.81,
        steps: 1.5,
        width: 10.0,
        cpu: 3_900.0,
        mem: 11_000.0,
        work_ms: 2_200.0,
        fail_share: 0.02,
        gang_share: 0.0,
        cancel_share: 0.05,
    },
    Kind {
        name: "lookup",
        priority: 0,
        max_attempts: 4,
        is_advised: true,
        per_s: 30.8,
        steps: 1.0,
        width: 2.0,
        cpu: 5_600.0,
        mem: 21_000.0,
        work_ms: 1_000.0,
        fail_share: 0.05,
        gang_share: 0.3,
        cancel_share: 0.0,
    },
];

/// Share of the jobs of which all runs fail.
const POISON_SHARE: f64 = 0.01;

/// Share of the jobs that are submitted again after they were accepted.
const TWICE_SHARE: f64 = 0.1;

fn job_of(kind: &Kind, gangs: bool, rng: &mut StdRng) -> JobInfo {
    let mut around = |mean: f64| mean * rng.gen_range(0.5..1.5);
    let (cpu, mem, work) = (around(kind.cpu), around(kind.mem), around(kind.work_ms));
    let extra = usize::from(rng.gen_bool(kind.steps - 1.0));
    let step = |rng: &mut StdRng| StepInfo {
        count: (kind.width * rng.gen_range(0.2..1.8)).round().max(1.0) as u64,
        need: (cpu.min(30_000.0) as u64, mem.min(75_000.0) as u64),
        work_ms: work as u64,
        gang: gangs && rng.gen_bool(kind.gang_share),
    };
    let steps = (0..=extra).map(|_| step(rng)).collect();
    let poison = rng.gen_bool(POISON_SHARE);
    let fail_share = if poison { 1.0 } else { kind.fail_share };
    JobInfo {
        steps,
        fail_share,
        max_attempts: kind.max_attempts,
        is_advised: kind.is_advised,
        accepted: false,
        cancelled: false,
    }
}

fn body_of(job: &JobInfo) -> String {
    let phase = |(i, s): (usize, &StepInfo)| {
        let mut phase = json!({"count": s.count, "cpu": s.need.0, "mem_mb": s.need.1,
            "estimate_ms": s.work_ms});
        if i > 0 {
            phase["after"] = json!([i - 1]);
        }
        if s.gang {
            phase["gang"] = json!(true);
        }
        phase
    };
    let phases: Vec<Value> = job.steps.iter().enumerate().map(phase).collect();
    json!({"spec": "s", "phases": phases}).to_string()
}

/// What became of the jobs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub submitted: usize,
    pub accepted: usize,
    /// Accepted jobs that have not ended when the run ends.
    pub open: usize,
}

impl fmt::Display for Served {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} jobs accepted, {} open", self.accepted, self.submitted, self.open)
    }
}

/// The clients of a run.
pub struct Clients {
    pub instances: Arc<Vec<Instance>>,
    pub fleet: Arc<Fleet>,
    conns: ConnPool,
}

impl Clients {
    pub fn new(instances: Arc<Vec<Instance>>, fleet: Arc<Fleet>) -> Arc<Self> {
        Arc::new(Self { instances, fleet, conns: ConnPool::new(Clock::real()) })
    }

    async fn call(&self, n: usize, method: Method, path: &str, body: &str) -> (u16, Value) {
        let at: SocketAddr = self.instances[n % self.instances.len()].front;
        let deadline = DEADLINE_MS.to_string();
        let headers = [("Host", "h.example"), ("X-Deadline-Ms", deadline.as_str())];
        let body = (!body.is_empty()).then(|| body.as_bytes().to_vec());
        match self.conns.call(at, method, path, &headers, body, DEADLINE_MS).await {
            Ok(reply) => (reply.status, serde_json::from_slice(&reply.body).unwrap_or_default()),
            Err(_) => (0, Value::Null),
        }
    }

    /// Submits a job until it is accepted. Returns whether it was.
    async fn submit(&self, path: &str, body: &str, mut n: usize) -> bool {
        for attempt in 0..MAX_TRIES {
            if self.call(n, Method::Post, path, body).await.0 / 100 == 2 {
                return true;
            }
            n += 1;
            task::sleep(Duration::from_millis(200 << attempt)).await;
        }
        false
    }

    /// Serves one client's job. Returns its path if it was accepted.
    async fn client(
        self: Arc<Self>,
        kind: &Kind,
        id: u64,
        gangs: bool,
        mut rng: StdRng,
    ) -> Option<String> {
        let (job, name) = (job_of(kind, gangs, &mut rng), format!("{id:016x}"));
        let (body, path) = (body_of(&job), format!("/{}/{name}", kind.name));
        self.fleet.world.lock().unwrap().jobs.insert(name.clone(), job);
        let set = |change: fn(&mut JobInfo)| {
            self.fleet.world.lock().unwrap().jobs.entry(name.clone()).and_modify(change);
        };
        let accepted = self.submit(&path, &body, rng.gen()).await;
        if accepted {
            set(|job| job.accepted = true);
        }
        if rng.gen_bool(kind.cancel_share) {
            task::sleep(Duration::from_millis(rng.gen_range(0..3_000))).await;
            set(|job| job.cancelled = true);
            self.call(rng.gen(), Method::Delete, &path, "").await;
        }
        if rng.gen_bool(TWICE_SHARE) {
            task::sleep(Duration::from_millis(rng.gen_range(100..6_000))).await;
            self.submit(&path, &body, rng.gen()).await;
        }
        self.call(rng.gen(), Method::Get, &path, "").await;
        accepted.then_some(path)
    }

    /// Sends jobs at `scale` times the deployment's rate for `time`. Returns the accepted ones.
    pub async fn run(
        self: &Arc<Self>,
        scale: f64,
        gangs: bool,
        time: Duration,
        mut rng: StdRng,
    ) -> (usize, Vec<String>) {
        let rate = scale * KINDS.iter().map(|k| k.per_s).sum::<f64>();
        let (began, mut next, mut clients) = (Instant::now(), 0.0, Vec::new());
        while next < time.as_secs_f64() {
            let due = Duration::from_secs_f64(next);
            task::sleep(due.saturating_sub(began.elapsed())).await;
            let mut pick = rng.gen_range(0.0..rate / scale);
            let chosen = KINDS.iter().find(|k| {
                pick -= k.per_s;
                pick < 0.0
            });
            let kind = chosen.unwrap_or(&KINDS[2]);
            let own = rand::SeedableRng::seed_from_u64(rng.gen());
            clients.push(task::spawn(self.clone().client(kind, rng.gen(), gangs, own)));
            next += rng.gen_range(0.0..2.0) / rate;
        }
        let submitted = clients.len();
        let accepted = futures::future::join_all(clients).await.into_iter().flatten().collect();
        (submitted, accepted)
    }

    /// Number of jobs that have not ended, or are unknown, after `time` at most.
    pub async fn open(&self, mut paths: Vec<String>, time: Duration) -> usize {
        let ended = |s: &str| ["completed", "failed", "canceled"].contains(&s);
        let (began, mut n) = (Instant::now(), 0);
        loop {
            let mut open = Vec::new();
            for path in paths {
                n += 1;
                let (_, body) = self.call(n, Method::Get, &path, "").await;
                if !body["state"].as_str().is_some_and(ended) {
                    open.push(path);
                }
            }
            if open.is_empty() || began.elapsed() >= time {
                return open.len();
            }
            paths = open;
            task::sleep(Duration::from_millis(500)).await;
        }
    }
}
