//! Runners that take time for starts, stops and lists, with leases, failures and gangs.

use super::judge::{How, Judge, RunKey, CALM_MS};
use super::{standing, Gaps};
use crate::common::users::advice::Advice;
use crate::common::users::{self, Platform};
use async_std::task;
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tide::Request;

/// Capacity of a runner: thousandths of a core, and MiB.
pub const CAPACITY: (u64, u64) = (64_000, 262_144);

/// Longest time that a stop takes, ms.
pub const STOP_MS: u64 = 400;

/// Longest lease, ms.
const HOLD_MAX_MS: u64 = 10_000;

/// Time that a member of a gang waits for the others, ms.
const GANG_WAIT_MS: u64 = 3_000;

/// Time without a heartbeat after which the platform removes a runner's entry, ms.
const ABSENT_MS: u64 = 4_500;

/// Time that a runner is down which does not come back.
pub const LOST: Duration = Duration::from_secs(86_400);

/// Interval between two checks of runs and waiting calls, ms.
const TICK_MS: u64 = 4;

/// Delay after which a call that gets no answer is dropped, ms: longer than any caller waits.
const NO_ANSWER_MS: u64 = 20_000;

/// A step of a submitted job.
#[derive(Clone, Debug)]
pub struct StepInfo {
    pub count: u64,
    pub need: (u64, u64),
    pub work_ms: u64,
    pub gang: bool,
}

/// What the runners know of a submitted job.
#[derive(Clone, Debug)]
pub struct JobInfo {
    pub steps: Vec<StepInfo>,
    /// Probability that a run fails.
    pub fail_share: f64,
    pub max_attempts: usize,
    pub is_advised: bool,
    pub accepted: bool,
    /// Its cancellation was sent.
    pub cancelled: bool,
}

pub struct Run {
    attempt: u64,
    key: RunKey,
    pub need: (u64, u64),
    started: Instant,
    listed_at: Instant,
    /// End of its work and how it ends; none while a gang waits.
    work: Option<(Instant, How)>,
    /// When its stop takes effect, and by when its completion is listed then.
    stop: Option<(Instant, Instant)>,
    /// Since it is no longer active: how it ended, when the completion is listed, and its number if
    /// it has one already.
    ended: Option<(How, Instant, Option<u64>)>,
}

/// A runner.
pub struct Runner {
    pub id: String,
    addr: SocketAddr,
    life: u32,
    began: Instant,
    /// Speed of its clock.
    rate: f64,
    fence: u64,
    lease_until: u64,
    pub runs: BTreeMap<String, Run>,
    completions: BTreeMap<u64, (RunKey, Value)>,
    last_seq: u64,
    /// Completions up to this number are forgotten.
    acked: u64,
    closed: BTreeMap<String, u64>,
    /// Since when and until when it receives nothing.
    cut_since: Instant,
    cut_until: Instant,
    /// Runs nothing before this time, since it has crashed.
    down_until: Instant,
    registered: bool,
}

impl Runner {
    fn clock(&self, now: Instant) -> u64 {
        5_000 + (now.duration_since(self.began).as_secs_f64() * 1_000.0 * self.rate) as u64
    }

    /// Whether it has crashed and does not come back.
    pub fn is_lost(&self, now: Instant) -> bool {
        self.down_until > now + LOST / 2
    }

    /// Whether it is registered and receives calls.
    pub fn is_live(&self, now: Instant) -> bool {
        self.registered && self.cut_until <= now && self.down_until <= now
    }
}

/// State of all runners.
pub struct World {
    pub runners: Vec<Runner>,
    pub jobs: BTreeMap<String, JobInfo>,
    pub judge: Judge,
    gaps: Gaps,
    pub advice: Advice,
    rng: StdRng,
    /// Gang runs (step and attempt) of which all members were present, and those that are over.
    formed: BTreeSet<(String, u64)>,
    broken: BTreeSet<(String, u64)>,
    /// Share of orders that are carried out late and of answers that are lost.
    pub late_share: f64,
    pub lost_share: f64,
    /// Number of faults at present, and when the last one began or was over.
    pub faults: usize,
    pub last_fault: Instant,
    /// Time from the last fault until LOST is judged, ms.
    pub calm_ms: u64,
}

/// The runners and their servers.
pub struct Fleet {
    pub world: Mutex<World>,
    platform: Arc<Platform>,
}

/// What becomes of a call.
enum Fate {
    Served,
    /// Executed after this time, ms, without an answer.
    Late(u64),
    AnswerLost,
}

fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or("", |(step, _)| step)
}

impl World {
    fn step(&self, task: &str) -> Option<(&JobInfo, &StepInfo)> {
        let mut parts = task.split('.');
        let job = self.jobs.get(parts.next()?)?;
        let step: usize = parts.nth(1)?.parse().ok()?;
        Some((job, job.steps.get(step)?))
    }

    fn between(&mut self, (least, most): (u64, u64)) -> Duration {
        Duration::from_millis(self.rng.gen_range(least..=most))
    }

    fn start(
        &mut self,
        n: usize,
        (task, attempt): (&str, u64),
        ticket: &str,
        now: Instant,
    ) -> Result<(), &str> {
        let r = &self.runners[n];
        if r.runs.get(task).is_some_and(|x| x.attempt == attempt && x.ended.is_none()) {
            return Ok(());
        }
        let is_old = r.closed.get(task).is_some_and(|a| attempt <= *a);
        if is_old || r.runs.get(task).is_some_and(|x| x.attempt >= attempt) {
            return Err("old");
        }
        let Some((job, step)) = self.step(task) else { return Err("late") };
        if job.is_advised && !self.advice.is_valid(ticket, step_of(task), &r.id) {
            return Err("ticket");
        }
        let (fails, share, step) = (job.max_attempts, job.fail_share, step.clone());
        let used = |part: fn((u64, u64)) -> u64| -> u64 {
            r.runs.values().map(|x| part(x.need)).sum::<u64>() + part(step.need)
        };
        let used = (used(|n| n.0), used(|n| n.1));
        let over = (used.0 > CAPACITY.0 || used.1 > CAPACITY.1).then(|| format!("uses {used:?}"));
        let max_fails = if step.gang { usize::MAX } else { fails };
        let key = self.judge.started((task, attempt, &r.id), max_fails, over);
        let work = self.between((step.work_ms / 2, step.work_ms * 3 / 2));
        let how = if self.rng.gen_bool(share) { How::Failed } else { How::Done };
        let listed_at = now + self.between(self.gaps.list_ms);
        let run = Run {
            attempt,
            key,
            need: step.need,
            started: now,
            listed_at,
            work: (!step.gang).then_some((now + work, how)),
            stop: None,
            ended: None,
        };
        // A run of a lower attempt that is still there keeps its capacity under another name.
        if let Some(old) = self.runners[n].runs.remove(task) {
            self.runners[n].runs.insert(format!("{task}#{}", old.attempt), old);
        }
        self.runners[n].runs.insert(task.into(), run);
        Ok(())
    }

    fn end(&mut self, n: usize, task: &str, how: How, now: Instant) {
        let gap = self.between(self.gaps.end_ms);
        let r = &mut self.runners[n];
        let Some(run) = r.runs.get_mut(task).filter(|x| x.ended.is_none()) else { return };
        r.last_seq += u64::from(self.gaps.early_number);
        let listed_at = run.stop.map_or(now + gap, |(_, latest)| latest.min(now + gap));
        run.ended = Some((how, listed_at, self.gaps.early_number.then_some(r.last_seq)));
        let (attempt, key) = (run.attempt, run.key);
        let name = task.split('#').next().unwrap_or(task);
        let closed = r.closed.entry(name.into()).or_default();
        *closed = attempt.max(*closed);
        self.judge.ended(key, how);
        if self.step(name).is_some_and(|(_, s)| s.gang) {
            self.broken.insert((step_of(name).into(), attempt));
        }
    }

    /// Moves all runs on.
    fn tick(&mut self, now: Instant) {
        self.form_gangs(now);
        // All members of a gang whose work is done end before the others are broken.
        for is_break in [false, true] {
            for n in 0..self.runners.len() {
                self.lapse(n, now);
                let due: Vec<(String, How)> = self.runners[n]
                    .runs
                    .iter()
                    .filter_map(|(t, x)| Some((t.clone(), self.due(t, x, is_break, now)?)))
                    .collect();
                due.into_iter().for_each(|(task, how)| self.end(n, &task, how, now));
            }
        }
        for n in 0..self.runners.len() {
            self.list_completions(n, now);
        }
    }

    fn due(&self, task: &str, run: &Run, is_break: bool, now: Instant) -> Option<How> {
        if run.ended.is_some() {
            return None;
        }
        let gang = (step_of(task).to_string(), run.attempt);
        match (is_break, run.work, run.stop) {
            (false, _, Some((at, _))) if at <= now => Some(How::Stopped),
            (false, Some((at, how)), _) if at <= now => Some(how),
            (false, None, _) if run.started + Duration::from_millis(GANG_WAIT_MS) <= now => {
                Some(How::Alone)
            }
            (true, _, _) if self.formed.contains(&gang) && self.broken.contains(&gang) => {
                Some(How::Broken)
            }
            _ => None,
        }
    }

    fn form_gangs(&mut self, now: Instant) {
        let mut present: BTreeMap<(String, u64), Vec<(usize, String)>> = BTreeMap::new();
        for (n, r) in self.runners.iter().enumerate() {
            for (task, run) in r.runs.iter().filter(|(_, x)| x.work.is_none() && x.ended.is_none())
            {
                let gang = (step_of(task).to_string(), run.attempt);
                present.entry(gang).or_default().push((n, task.clone()));
            }
        }
        for (gang, members) in present {
            let Some((job, step)) = self.step(&members[0].1) else { continue };
            let (share, work_ms, count) = (job.fail_share, step.work_ms, step.count);
            if members.len() as u64 != count || self.broken.contains(&gang) {
                continue;
            }
            let at = now + self.between((work_ms / 2, work_ms * 3 / 2));
            let fails = self.rng.gen_bool(share).then(|| self.rng.gen_range(0..members.len()));
            for (i, (n, task)) in members.into_iter().enumerate() {
                let run = self.runners[n].runs.get_mut(&task).expect("a member runs");
                let early = Duration::from_millis(20);
                run.work = Some(match fails == Some(i) {
                    true => (at - early, How::Failed),
                    false => (at, How::Done),
                });
            }
            self.formed.insert(gang);
        }
    }

    fn lapse(&mut self, n: usize, now: Instant) {
        let r = &self.runners[n];
        if r.lease_until == 0 || r.clock(now) <= r.lease_until || r.down_until > now {
            return;
        }
        let r = &mut self.runners[n];
        r.lease_until = 0;
        r.completions.values().for_each(|(key, _)| self.judge.void(*key));
        for run in r.runs.values().filter(|x| x.ended.is_some()) {
            self.judge.void(run.key);
        }
        let tasks: Vec<String> = r.runs.keys().cloned().collect();
        tasks.iter().for_each(|t| self.end(n, t, How::Lapsed, now));
    }

    fn list_completions(&mut self, n: usize, now: Instant) {
        let r = &mut self.runners[n];
        let is_due = |x: &Run| x.ended.is_some_and(|(_, at, _)| at <= now);
        let due: Vec<String> =
            r.runs.iter().filter(|(_, x)| is_due(x)).map(|(t, _)| t.clone()).collect();
        for task in due {
            let Some(run) = r.runs.remove(&task) else { continue };
            let Some((how, _, number)) = run.ended else { continue };
            r.last_seq += u64::from(number.is_none());
            let number = number.unwrap_or(r.last_seq);
            if number <= r.acked {
                self.judge.acknowledged(run.key);
                continue;
            }
            let name = task.split('#').next().unwrap_or(&task);
            let row = json!([number, name, run.attempt, how.name(), ""]);
            r.completions.insert(number, (run.key, row));
        }
    }

    /// Ends everything on a runner, which comes back under a new id after `down`.
    pub fn crash(&mut self, n: usize, down: Duration, now: Instant) -> String {
        let r = &mut self.runners[n];
        let (old, life) = (r.id.clone(), r.life + 1);
        for run in r.runs.values() {
            if run.ended.is_none() {
                self.judge.ended(run.key, How::Crashed);
            }
            self.judge.void(run.key);
        }
        r.completions.values().for_each(|(key, _)| self.judge.void(*key));
        let gangs: Vec<(String, u64)> =
            r.runs.iter().map(|(t, x)| (step_of(t).to_string(), x.attempt)).collect();
        self.broken.extend(gangs);
        let (rate, down_until) = (r.rate, r.down_until.max(now + down));
        let fresh = new_runner(n, life, r.addr, rate, now);
        self.runners[n] = Runner { down_until, ..fresh };
        old
    }

    /// Cuts a runner off; it runs on.
    pub fn cut(&mut self, n: usize, time: Duration, now: Instant) {
        let r = &mut self.runners[n];
        if r.cut_until <= now {
            (r.cut_since, r.cut_until) = (now, now + time);
        }
    }

    fn call(
        &mut self,
        n: usize,
        path: &str,
        body: &Value,
        first: bool,
        now: Instant,
    ) -> (u16, Value) {
        self.tick(now);
        let r = &mut self.runners[n];
        let clock = r.clock(now);
        let number = |f: &str| body[f].as_u64().unwrap_or(0);
        let refused = |reason: &str| (409, json!({"clock_ms": clock, "reason": reason}));
        if number("fencing_token") < r.fence {
            return refused("fence");
        }
        r.fence = number("fencing_token");
        let expires = number("expires_ms");
        if expires > 0 && expires <= clock && path == "start" {
            return refused("late");
        }
        if first && expires > clock {
            r.lease_until = r.lease_until.max(expires.min(clock + HOLD_MAX_MS));
        }
        let (task, attempt) = (body["task"].as_str().unwrap_or(""), number("attempt"));
        let ticket = body["ticket"].as_str().unwrap_or("");
        match path {
            "start" => match self.start(n, (task, attempt), ticket, now) {
                Ok(()) => (200, json!({"clock_ms": clock})),
                Err(reason) => refused(reason),
            },
            "stop" => {
                let stop = (now + self.between((0, STOP_MS)), now + Duration::from_millis(STOP_MS));
                let r = &mut self.runners[n];
                let closed = r.closed.entry(task.into()).or_default();
                *closed = attempt.max(*closed);
                if let Some(run) = r.runs.get_mut(task).filter(|x| x.attempt <= attempt) {
                    run.stop.get_or_insert(stop);
                }
                (200, json!({"clock_ms": clock}))
            }
            _ => {
                r.acked = r.acked.max(number("acked"));
                let rest = r.completions.split_off(&(r.acked + 1));
                for (key, _) in std::mem::replace(&mut r.completions, rest).values() {
                    self.judge.acknowledged(*key);
                }
                let is_active = |x: &Run| x.ended.is_none() && x.listed_at <= now;
                let active: Vec<Value> = r
                    .runs
                    .iter()
                    .filter(|(_, x)| is_active(x))
                    .map(|(t, x)| {
                        let name = t.split('#').next().unwrap_or(t);
                        json!([name, x.attempt, "", percent(x, now), 0.5])
                    })
                    .collect();
                let page = r.completions.values().take(self.gaps.page);
                let completions: Vec<&Value> =
                    page.inspect(|(key, _)| self.judge.told(*key)).map(|(_, row)| row).collect();
                (200, json!({"clock_ms": clock, "active": active, "finished": completions}))
            }
        }
    }

    fn fate(&mut self) -> Fate {
        if self.rng.gen_bool(self.late_share) {
            return Fate::Late(self.rng.gen_range(2_000..12_000));
        }
        match self.rng.gen_bool(self.lost_share) {
            true => Fate::AnswerLost,
            false => Fate::Served,
        }
    }
}

fn percent(run: &Run, now: Instant) -> u64 {
    let Some((end, _)) = run.work else { return 0 };
    let total = end.duration_since(run.started).as_millis().max(1);
    (now.duration_since(run.started).as_millis() * 100 / total).min(100) as u64
}

fn new_runner(n: usize, life: u32, addr: SocketAddr, rate: f64, now: Instant) -> Runner {
    Runner {
        id: format!("i-{n}-{life}"),
        addr,
        life,
        began: now,
        rate,
        fence: 0,
        lease_until: 0,
        runs: BTreeMap::new(),
        completions: BTreeMap::new(),
        last_seq: 0,
        acked: 0,
        closed: BTreeMap::new(),
        cut_since: now,
        cut_until: now,
        down_until: now,
        registered: false,
    }
}

impl Fleet {
    /// Runners that listen at `addrs`, not served yet.
    pub fn new(
        platform: Arc<Platform>,
        addrs: &[SocketAddr],
        gaps: Gaps,
        advice: Advice,
        mut rng: StdRng,
    ) -> Arc<Self> {
        let now = Instant::now();
        let runner =
            |(n, at): (usize, &SocketAddr)| new_runner(n, 0, *at, rng.gen_range(0.98..=1.0), now);
        let runners = addrs.iter().enumerate().map(runner).collect();
        let world = World {
            runners,
            jobs: BTreeMap::new(),
            judge: Judge::default(),
            gaps,
            advice,
            rng,
            formed: BTreeSet::new(),
            broken: BTreeSet::new(),
            late_share: 0.0,
            lost_share: 0.0,
            faults: 0,
            last_fault: now,
            calm_ms: CALM_MS,
        };
        Arc::new(Self { world: Mutex::new(world), platform })
    }

    /// Serves runner `n` until cancelled.
    pub fn serve(self: &Arc<Self>, n: usize) -> task::JoinHandle<()> {
        let mut app = tide::with_state((self.clone(), n));
        for path in ["/v1/run-start", "/v1/run-stop", "/v1/hold"] {
            app.at(path).post(answer);
        }
        let addr = self.world.lock().unwrap().runners[n].addr;
        users::serve(app, addr)
    }

    /// Moves the runs on and keeps the registry, as long as it is polled.
    pub async fn run(self: Arc<Self>) {
        let mut sampled = Instant::now();
        loop {
            let now = Instant::now();
            let changed = {
                let mut world = self.world.lock().unwrap();
                world.tick(now);
                if now >= sampled + standing::SAMPLE {
                    sampled = now;
                    world.sample(now);
                }
                let mut changed = Vec::new();
                for r in &mut world.runners {
                    let silent = now.duration_since(r.cut_since).as_millis() as u64;
                    let absent = r.cut_until > now && silent >= ABSENT_MS;
                    let up = r.down_until <= now && !absent;
                    if up != r.registered {
                        r.registered = up;
                        changed.push((r.id.clone(), r.addr, up));
                    }
                }
                changed
            };
            for (n, (id, addr, up)) in changed.into_iter().enumerate() {
                match up {
                    true => self.platform.put("servers", &id, &entry(addr, n)),
                    false => self.platform.remove("servers", &id),
                }
            }
            task::sleep(Duration::from_millis(TICK_MS)).await;
        }
    }

    /// Crashes a runner, which comes back under a new id; its old entry is removed later.
    pub async fn crash(&self, n: usize, down: Duration) {
        let old = self.world.lock().unwrap().crash(n, down, Instant::now());
        task::sleep(Duration::from_millis(ABSENT_MS)).await;
        self.platform.remove("servers", &old);
    }

    /// Whether a call to a runner is held up, since it is cut off or down.
    fn held_up(&self, n: usize) -> bool {
        let world = self.world.lock().unwrap();
        let now = Instant::now();
        world.runners[n].cut_until > now || world.runners[n].down_until > now
    }
}

fn entry(addr: SocketAddr, n: usize) -> Value {
    json!({"service": "svc", "address": addr, "zone": format!("z{}", n % 3), "version": "v1",
        "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        "capacity": {"cpu": CAPACITY.0, "mem_mb": CAPACITY.1},
        "labels": ["a", format!("r{}", n / 8)]})
}

async fn answer(mut req: Request<(Arc<Fleet>, usize)>) -> tide::Result {
    let body: Value = req.body_json().await?;
    let expected = req.header("X-Expected-Instance").map(|v| v.as_str().to_string());
    let (fleet, n) = req.state().clone();
    let path = req.url().path().rsplit(['/', '-']).next().unwrap_or("").to_string();
    let no_answer = || async {
        task::sleep(Duration::from_millis(NO_ANSWER_MS)).await;
        Ok(users::text(503, &json!({})))
    };
    if fleet.held_up(n) {
        // Half of what is sent to a runner that is cut off arrives when the cut ends.
        let arrives = fleet.world.lock().unwrap().rng.gen_bool(0.5);
        let since = Instant::now();
        while fleet.held_up(n) && since.elapsed() < Duration::from_millis(NO_ANSWER_MS) {
            task::sleep(Duration::from_millis(20)).await;
        }
        if !arrives {
            return no_answer().await;
        }
    }
    let fate = fleet.world.lock().unwrap().fate();
    if let Fate::Late(ms) = fate {
        task::sleep(Duration::from_millis(ms)).await;
    }
    let deadline = Instant::now() + Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
    let (mut status, mut res, mut first) = (503, json!({}), true);
    while first || Instant::now() < deadline {
        {
            let mut world = fleet.world.lock().unwrap();
            if Some(&world.runners[n].id) != expected.as_ref() {
                return Ok(users::text(421, &json!({})));
            }
            (status, res) = world.call(n, &path, &body, first, Instant::now());
        }
        first = false;
        if path != "hold" || status != 200 || res["finished"] != json!([]) {
            break;
        }
        task::sleep(Duration::from_millis(TICK_MS)).await;
        if fleet.held_up(n) {
            return no_answer().await;
        }
    }
    if !matches!(fate, Fate::Served) {
        return no_answer().await;
    }
    let (stamp, delay) = {
        let mut world = fleet.world.lock().unwrap();
        let gaps = world.gaps;
        (world.between(gaps.stamp_ms), world.between(gaps.answer_ms))
    };
    if path == "hold" && !stamp.is_zero() && status == 200 {
        task::sleep(stamp).await;
        let world = fleet.world.lock().unwrap();
        res["clock_ms"] = json!(world.runners[n].clock(Instant::now()));
    }
    task::sleep(delay).await;
    Ok(users::text(status, &res))
}
