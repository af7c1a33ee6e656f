//! A cell in memory for tests of the scheduler's engine: runners as the platform's protocol has
//! them (fencing tokens, leases on their own clocks, lists of what runs and what has ended), a
//! store of progress rows, and a clock that the test advances. It checks the promises from what
//! its runners see.

#![allow(dead_code)]

use super::runner::{FakeRunner, Running};
use currantgw::control::engine::{Action, Batch, Engine, Now, Outcome, Rules, RunnerKey};
use currantgw::control::model::{
    Approval, Attempt, Catalogue, EndKind, JobId, JobSpec, JobState, Queue, Step, StepId, TaskId,
};
use currantgw::control::place::Placement;
use currantgw::control::ports::{
    Active, Advice, AdviceError, Hold, Order, Refusal, Report, RunnerEntry, Start, Ticket,
};
use currantgw::control::rows::{self, JobRow, ProgressRow};
use currantgw::kernel::res::Resources;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time between two steps of the cell, ms.
pub const STEP_MS: u64 = 5;

/// Way of a call in one direction, ms.
const WAY_MS: u64 = 5;

/// A call without an answer is given up after this long, ms.
const TIMEOUT_MS: u64 = 600;

/// Time a runner takes to stop a task, ms.
const STOP_MS: u64 = 100;

/// Resuming from a checkpoint takes this long, ms.
const RESTORE_MS: u64 = 250;

/// A member of a gang waits this long for the others, ms.
const GANG_WAIT_MS: u64 = 3_000;

/// Limits used by the tests.
pub const RULES: Rules =
    Rules { hold_ms: 8_000, yield_ms: 10_000, keep_ms: 120_000, placement: Placement::BestFit };

/// What the calls of a scheduler meet.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Share of orders that get no answer and are carried out 2 to 12 s later.
    pub late: f64,
    /// Share of orders that are carried out and get no answer.
    pub unanswered: f64,
    /// Share of commits that get no answer; half of them are applied, half up to 6 s later.
    pub commits: f64,
    /// The store takes nothing.
    pub store_down: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive { term: u64, act: Action, answered: bool },
    Started(RunnerKey, TaskId, Attempt, Result<u64, Refusal>),
    Stopped(RunnerKey, TaskId, Attempt, Result<u64, Refusal>),
    Looked(RunnerKey, Result<Report, Refusal>),
    Advised(StepId, Vec<String>, Advice),
    Apply { term: u64, batch: Batch, answered: bool },
    Committed(Batch, Outcome),
}

/// The cell.
pub struct Cell {
    /// The scheduler in office.
    pub engine: Engine,
    /// Its runners.
    pub runners: Vec<FakeRunner>,
    /// What calls meet.
    pub faults: Faults,
    /// The time, ms.
    pub now: u64,
    /// Broken promises.
    pub broken: Vec<String>,
    /// Starts carried out, by task.
    pub starts: BTreeMap<TaskId, u32>,
    /// Writes of each job's progress that the store applied.
    pub writes: BTreeMap<JobId, u32>,
    /// Questions about runners: how many were named in each.
    pub asked: Vec<usize>,
    /// What the approval service approves, by step and position of the runner.
    pub approves: fn(StepId, usize) -> bool,
    /// When each line to the approval service is free again, ms; none for answers at once.
    pub lines: Vec<f64>,
    /// Of these the first take no questions of more than 50 ms.
    pub spared: usize,
    /// Questions that may wait on a line; more are refused.
    pub depth: f64,
    /// Questions refused.
    pub refused: usize,
    /// Real work of a job's tasks, per cent of their estimate, where they differ.
    pub truth: BTreeMap<JobId, u64>,
    /// Share of runs that fail by their own fault.
    pub own_faults: f64,
    /// Most by which the work of a step's tasks differs from their mean, per cent.
    pub uneven: u64,
    /// When a job's end was stored, ms, and its state.
    pub ended: BTreeMap<JobId, (u64, JobState)>,
    /// When a task of a job first started, ms.
    pub began: BTreeMap<JobId, u64>,
    /// Time spent in planning rounds, one entry a round.
    pub planning: Vec<std::time::Duration>,
    room: Resources,
    cat: Arc<Catalogue>,
    jobs: BTreeMap<JobId, Arc<JobRow>>,
    cancelled: BTreeSet<JobId>,
    store: BTreeMap<JobId, (u64, Vec<u8>)>,
    version: u64,
    office: u64,
    events: BTreeMap<(u64, u64), (u64, Event)>,
    seq: u64,
    done: BTreeMap<TaskId, bool>,
    fails: BTreeSet<JobId>,
    rng: StdRng,
}

/// A gang that runs.
struct Gang {
    present: u32,
    through: bool,
}

/// A number drawn from a task: its share of its step's uneven work.
fn uneven_of(task: TaskId) -> u64 {
    let seed = task.step.job.0 ^ u64::from(task.step.step) << 16 ^ u64::from(task.index);
    seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33
}

/// The queue that jobs of the tests go to.
pub fn queue(name: &str, priority: u32, max_fails: u32, approval: Option<Approval>) -> Queue {
    Queue {
        name: name.into(),
        host: "h.example".into(),
        prefix: format!("/{name}/"),
        service: "svc".into(),
        priority,
        max_fails,
        slack: 2.0,
        latency_ms: 1_000,
        timeout_ms: 3_000,
        approval,
    }
}

/// A step of `count` tasks.
pub fn step(count: u32, cpu: u64, estimate: u64) -> Step {
    Step { count, need: Resources { cpu, mem: 100, acc: 0 }, estimate, ..Step::default() }
}

impl Cell {
    /// A cell of `n` runners of 16 cores, with queues `urgent`, `patient` and `asked` (whose
    /// policy approves runners).
    pub fn new(n: usize, seed: u64) -> Self {
        let room = Resources { cpu: 16_000, mem: 64_000, acc: 0 };
        let ask = Approval { base_ms: 10.0, each_ms: 1.0, valid_ms: 2_000 };
        let queues = [
            queue("urgent", 0, 2, None),
            queue("patient", 2, 3, None),
            queue("asked", 1, 3, Some(ask)),
        ];
        Self::with(RULES, n, room, queues.into(), seed)
    }

    /// A cell of `n` runners of `room`, with the given queues, under `rules`.
    pub fn with(rules: Rules, n: usize, room: Resources, queues: Vec<Queue>, seed: u64) -> Self {
        let queues = queues.into_iter().map(|q| (q.name.clone(), q)).collect();
        let cat = Arc::new(Catalogue { version: 1, queues });
        let now = 1_000;
        let mut cell = Self {
            engine: Engine::new(rules, 1, Now { mono: now, wall: now }),
            room,
            runners: Vec::new(),
            faults: Faults::default(),
            now,
            broken: Vec::new(),
            starts: BTreeMap::new(),
            writes: BTreeMap::new(),
            asked: Vec::new(),
            approves: |_, _| true,
            lines: Vec::new(),
            spared: 0,
            depth: f64::INFINITY,
            refused: 0,
            truth: BTreeMap::new(),
            own_faults: 0.0,
            uneven: 0,
            ended: BTreeMap::new(),
            began: BTreeMap::new(),
            planning: Vec::new(),
            cat,
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            store: BTreeMap::new(),
            version: 1,
            office: 1,
            events: BTreeMap::new(),
            seq: 0,
            done: BTreeMap::new(),
            fails: BTreeSet::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        for _ in 0..n {
            cell.add_runner();
        }
        cell.engine.set_catalogue(cell.cat.clone());
        cell
    }

    /// Adds a runner and registers it.
    pub fn add_runner(&mut self) -> usize {
        let i = self.runners.len();
        self.runners.push(FakeRunner::new(i, self.room));
        self.register(i, true);
        i
    }

    /// Puts a runner into the registry, or takes it out.
    pub fn register(&mut self, i: usize, listed: bool) {
        let r = &self.runners[i];
        let entry = RunnerEntry {
            service: "svc".into(),
            addr: format!("127.0.0.1:{}", 1000 + i).parse().unwrap(),
            draining: false,
            room: r.room,
            rack: format!("rack{}", i / 6),
            labels: BTreeSet::new(),
        };
        let id = r.id.clone();
        self.engine.register(&id, listed.then_some(entry));
    }

    fn clocks(&self) -> Now {
        Now { mono: self.now, wall: self.now }
    }

    /// Submits a job.
    pub fn submit(&mut self, id: u64, queue: &str, steps: Vec<Step>) -> JobId {
        let id = JobId(id);
        let spec = JobSpec { payload: "p".into(), steps, ..JobSpec::default() };
        let row = Arc::new(JobRow { queue: queue.into(), at: self.now, spec });
        self.jobs.insert(id, row.clone());
        self.engine.add_job(id, row, None, self.clocks());
        id
    }

    /// Tasks of `id` all fail.
    pub fn poison(&mut self, id: JobId) {
        self.fails.insert(id);
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: JobId) {
        self.cancelled.insert(id);
        self.engine.cancel(id, self.clocks());
    }

    /// State of a job in the store.
    pub fn stored(&self, id: JobId) -> JobState {
        let row = self.store.get(&id).map(|(_, v)| rows::decode::<ProgressRow>(v).unwrap());
        row.map_or(JobState::Queued, |r| r.state)
    }

    /// Number of tasks that run anywhere.
    pub fn running(&self) -> usize {
        self.runners.iter().filter(|r| r.up).map(|r| r.running.len()).sum()
    }

    /// Where a task runs.
    pub fn whereabouts(&self, task: TaskId) -> Vec<usize> {
        let on = |r: &FakeRunner| r.up && r.running.contains_key(&task);
        (0..self.runners.len()).filter(|&i| on(&self.runners[i])).collect()
    }

    /// Another scheduler takes office; orders of the last one may still be on their way.
    pub fn take_over(&mut self) {
        self.version += 1;
        self.office = self.version;
        let mut next = Engine::new(RULES, self.office, self.clocks());
        next.set_catalogue(self.cat.clone());
        for (id, row) in &self.jobs {
            let p = self.store.get(id).map(|(v, row)| (*v, rows::decode(row).unwrap()));
            next.add_job(*id, row.clone(), p, Now { mono: self.now, wall: self.now });
            if self.cancelled.contains(id) {
                next.cancel(*id, Now { mono: self.now, wall: self.now });
            }
        }
        self.engine = next;
        for i in 0..self.runners.len() {
            if self.runners[i].up {
                self.register(i, true);
            }
        }
        // Answers to the last scheduler's calls reach nobody.
        self.events.retain(|_, (_, e)| matches!(e, Event::Arrive { .. } | Event::Apply { .. }));
    }

    fn at(&mut self, delay: u64, e: Event) {
        self.seq += 1;
        self.events.insert((self.now + delay, self.seq), (self.office, e));
    }

    /// Lets `ms` pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.work();
            while let Some((&(at, seq), _)) = self.events.first_key_value() {
                if at > self.now {
                    break;
                }
                if let Some((office, e)) = self.events.remove(&(at, seq)) {
                    self.event(office, e);
                }
            }
            self.engine.tick(self.clocks());
            let began = std::time::Instant::now();
            self.engine.plan(self.clocks());
            self.planning.push(began.elapsed());
            self.commit();
            for act in self.engine.take_actions() {
                self.send(act);
            }
        }
    }

    fn commit(&mut self) {
        if !self.engine.wants_commit() {
            return;
        }
        let batch = self.engine.take_batch(48);
        let term = self.office;
        if self.faults.store_down {
            return self.at(TIMEOUT_MS, Event::Committed(batch, Outcome::Unknown));
        }
        if !self.rng.gen_bool(self.faults.commits) {
            return self.at(WAY_MS, Event::Apply { term, batch, answered: true });
        }
        self.at(TIMEOUT_MS, Event::Committed(batch.clone(), Outcome::Unknown));
        if self.rng.gen_bool(0.75) {
            let late = if self.rng.gen() { WAY_MS } else { self.rng.gen_range(1_000..6_000) };
            self.at(late, Event::Apply { term, batch, answered: false });
        }
    }

    fn send(&mut self, act: Action) {
        let term = self.office;
        match &act {
            Action::Ask { step, ids, cost_ms } => {
                self.asked.push(ids.len());
                let ok = |id: &&String| (self.approves)(*step, id[1..].parse().unwrap());
                let approved = ids
                    .iter()
                    .filter(ok)
                    .map(|id| Ticket { id: id.clone(), ticket: "t".into() })
                    .collect();
                let advice = Advice { approved, valid_ms: 2_000 };
                let (step, ids, cost) = (*step, ids.clone(), *cost_ms);
                let now = self.now as f64;
                if !self.lines.is_empty() && self.lines.iter().all(|l| l - now > self.depth * cost)
                {
                    self.refused += 1;
                    let busy = Err(AdviceError::Busy);
                    return self.engine.advised(step, &ids, busy, self.clocks());
                }
                if let Some(delay) = self.on_a_line(cost) {
                    return self.at(delay, Event::Advised(step, ids, advice));
                }
                self.engine.advised(step, &ids, Ok(advice), self.clocks());
            }
            Action::Hold { .. } => self.at(WAY_MS, Event::Arrive { term, act, answered: true }),
            Action::Start { after_ms, .. } => self.order(*after_ms, act),
            Action::Stop { .. } => self.order(0, act),
        }
    }

    /// Time until the line that is free first has answered a question, ms.
    fn on_a_line(&mut self, cost: f64) -> Option<u64> {
        let now = self.now as f64;
        let spared = if cost > 50.0 { self.spared } else { 0 };
        let line = self.lines.iter_mut().skip(spared).min_by(|a, b| a.total_cmp(b))?;
        *line = line.max(now) + cost;
        Some((*line - now) as u64 + 2 * WAY_MS)
    }

    fn order(&mut self, after: u64, act: Action) {
        let term = self.office;
        if self.rng.gen_bool(self.faults.late) {
            self.no_answer(&act);
            let delay = self.rng.gen_range(2_000..12_000);
            return self.at(delay, Event::Arrive { term, act, answered: false });
        }
        let answered = !self.rng.gen_bool(self.faults.unanswered);
        if !answered {
            self.no_answer(&act);
        }
        self.at(after + WAY_MS, Event::Arrive { term, act, answered });
    }

    fn no_answer(&mut self, act: &Action) {
        let e = match act {
            Action::Start { runner, start, .. } => {
                Event::Started(*runner, start.task, start.attempt, Err(Refusal::NoAnswer))
            }
            Action::Stop { runner, order, .. } => {
                Event::Stopped(*runner, order.task, order.attempt, Err(Refusal::NoAnswer))
            }
            Action::Hold { runner, .. } => Event::Looked(*runner, Err(Refusal::NoAnswer)),
            Action::Ask { .. } => return,
        };
        self.at(TIMEOUT_MS, e);
    }

    fn event(&mut self, office: u64, e: Event) {
        let (now, current) = (self.clocks(), office == self.office);
        match e {
            Event::Arrive { act, answered, .. } => self.arrive(act, answered && current),
            Event::Apply { term, batch, answered } => {
                let out = self.apply(term, &batch);
                if answered && current {
                    self.at(WAY_MS, Event::Committed(batch, out));
                }
            }
            _ if !current => {}
            Event::Started(k, id, attempt, res) => self.engine.started(k, id, attempt, res, now),
            Event::Stopped(k, id, attempt, res) => self.engine.stopped(k, id, attempt, res, now),
            Event::Looked(k, res) => self.engine.looked(k, res, now),
            Event::Advised(step, ids, a) => self.engine.advised(step, &ids, Ok(a), now),
            Event::Committed(batch, out) => self.engine.committed(&batch, &out, now),
        }
    }

    fn apply(&mut self, term: u64, batch: &Batch) -> Outcome {
        let stands = |id: &JobId| self.store.get(id).map_or(0, |(v, _)| *v);
        if term != self.office || batch.writes.iter().any(|w| stands(&w.job) != w.version) {
            let found = batch.writes.iter().filter_map(|w| {
                let (version, value) = self.store.get(&w.job)?.clone();
                let key = rows::progress_key(w.job);
                Some(currantgw::control::ports::Row { key, value, version })
            });
            return Outcome::Conflict(found.collect());
        }
        self.version += 1;
        for w in &batch.writes {
            self.store.insert(w.job, (self.version, w.value.clone()));
            *self.writes.entry(w.job).or_default() += 1;
            if w.state.ended() {
                self.ended.entry(w.job).or_insert((self.now, w.state));
            }
        }
        Outcome::Done(self.version)
    }

    fn arrive(&mut self, act: Action, answered: bool) {
        let (k, id) = match &act {
            Action::Start { runner, to, .. }
            | Action::Stop { runner, to, .. }
            | Action::Hold { runner, to, .. } => (*runner, to.id.clone()),
            Action::Ask { .. } => return,
        };
        let Some(i) = self.runners.iter().position(|r| r.id == id) else { return };
        let r = &self.runners[i];
        let lost = r.cut_until > self.now || (!r.up && !r.replaced);
        if lost {
            if answered {
                self.no_answer(&act);
            }
            return;
        }
        let other = r.replaced.then_some(Refusal::OtherLife);
        let e = match act {
            Action::Start { start, .. } => {
                let res = other.map_or_else(|| self.start(i, &start), Err);
                Event::Started(k, start.task, start.attempt, res)
            }
            Action::Stop { order, .. } => {
                let res = other.map_or_else(|| self.stop(i, &order), Err);
                Event::Stopped(k, order.task, order.attempt, res)
            }
            Action::Hold { hold, .. } => {
                let res = other.map_or_else(|| self.hold(i, &hold), Err);
                Event::Looked(k, res)
            }
            Action::Ask { .. } => return,
        };
        if answered {
            let wait =
                if matches!(e, Event::Looked(_, Ok(ref r)) if r.ends.is_empty()) { 50 } else { 0 };
            self.at(WAY_MS + wait, e);
        }
    }

    fn need(&self, task: TaskId) -> Resources {
        self.jobs[&task.step.job].spec.steps[task.step.step as usize].need
    }

    fn start(&mut self, i: usize, s: &Start) -> Result<u64, Refusal> {
        let now = self.now;
        let need = self.need(s.task);
        let poison = self.fails.contains(&s.task.step.job)
            || (self.own_faults > 0.0 && self.rng.gen_bool(self.own_faults));
        let step = &self.jobs[&s.task.step.job].spec.steps[s.task.step.step as usize];
        let truth = self.truth.get(&s.task.step.job).copied().unwrap_or(100);
        let share = 100 - self.uneven + uneven_of(s.task) % (2 * self.uneven + 1);
        let work = step.estimate * truth * share / 10_000;
        let (copies, gang, saves) = (step.copies, step.gang.then_some(step.count), step.saves);
        self.began.entry(s.task.step.job).or_insert(now);
        let r = &mut self.runners[i];
        if s.fence < r.fence {
            return Err(Refusal::Fenced);
        }
        r.fence = s.fence;
        let clock = r.clock(now);
        if r.running.get(&s.task).is_some_and(|x| x.attempt == s.attempt) {
            r.lease = r.lease.max(s.until);
            return Ok(clock);
        }
        if r.closed.get(&s.task).is_some_and(|a| s.attempt <= *a) {
            return Err(Refusal::Superseded);
        }
        if s.until <= clock {
            return Err(Refusal::Expired);
        }
        if r.refuses_until > now {
            return Err(Refusal::Ticket);
        }
        r.started += 1;
        r.lease = r.lease.max(s.until);
        let run = Running {
            attempt: s.attempt,
            began: now,
            work,
            worked: s.saved.parse::<u64>().unwrap_or(0).saturating_sub(RESTORE_MS),
            stopping: None,
            need,
            fails: poison || r.fails,
            gang,
            saves,
        };
        r.running.insert(s.task, run);
        let over = !r.used().fits(&r.room);
        if over {
            self.broken.push(format!("{now}: {} oversells r{i}", s.task));
        }
        if self.done.get(&s.task) == Some(&true) && !copies {
            self.broken.push(format!("{now}: {} starts after it was done", s.task));
        }
        if self.whereabouts(s.task).len() > 1 && !copies {
            self.broken.push(format!("{now}: {} runs twice", s.task));
        }
        *self.starts.entry(s.task).or_default() += 1;
        Ok(clock)
    }

    fn stop(&mut self, i: usize, o: &Order) -> Result<u64, Refusal> {
        let now = self.now;
        let r = &mut self.runners[i];
        if o.fence < r.fence {
            return Err(Refusal::Fenced);
        }
        r.fence = o.fence;
        let closed = r.closed.entry(o.task).or_default();
        *closed = (*closed).max(o.attempt);
        if let Some(run) = r.running.get_mut(&o.task).filter(|x| x.attempt <= o.attempt) {
            run.stopping.get_or_insert(now + STOP_MS);
        }
        Ok(r.clock(now))
    }

    fn hold(&mut self, i: usize, h: &Hold) -> Result<Report, Refusal> {
        let now = self.now;
        let r = &mut self.runners[i];
        if h.fence < r.fence {
            return Err(Refusal::Fenced);
        }
        r.fence = h.fence;
        r.lease = r.lease.max(h.until.unwrap_or(0));
        for end in r.ends.iter().filter(|e| e.number <= h.acked && e.kind == EndKind::Done) {
            self.done.insert(end.task, true);
        }
        r.ends.retain(|e| e.number > h.acked);
        let active = r.running.iter().map(|(task, x)| Active {
            task: *task,
            attempt: x.attempt,
            saved: String::new(),
            percent: x.percent(),
            load: 0.0,
        });
        Ok(Report { clock: r.clock(now), active: active.collect(), ends: r.ends.clone() })
    }

    /// Runners work: tasks end, leases lapse. Members of a gang work while all are there, and end
    /// done together once the slowest is through; where one is gone the others break.
    fn work(&mut self) {
        let now = self.now;
        let gangs = self.gangs();
        let mut broken: BTreeSet<(StepId, Attempt)> = BTreeSet::new();
        for r in self.runners.iter_mut().filter(|r| r.up) {
            let lapsed = r.clock(now) > r.lease;
            let tasks: Vec<TaskId> = r.running.keys().copied().collect();
            for task in tasks {
                let hangs = r.hangs;
                let Some(x) = r.running.get_mut(&task) else { continue };
                let key = (task.step, x.attempt);
                let whole = x.gang.is_none_or(|n| gangs.get(&key).is_some_and(|g| g.present == n));
                let through = x.gang.is_none() || gangs.get(&key).is_some_and(|g| g.through);
                if whole && !hangs && x.stopping.is_none() {
                    x.worked = (x.worked + STEP_MS).min(x.work);
                }
                let kind = if lapsed {
                    EndKind::Lapsed
                } else if x.stopping.is_some_and(|at| at <= now) {
                    EndKind::Stopped
                } else if x.worked >= x.work && (through || x.fails) && x.stopping.is_none() {
                    if x.fails {
                        EndKind::Failed
                    } else {
                        EndKind::Done
                    }
                } else if !whole && x.worked == 0 && x.began + GANG_WAIT_MS <= now {
                    EndKind::Alone
                } else {
                    continue;
                };
                if x.gang.is_some() && kind != EndKind::Done {
                    broken.insert(key);
                }
                r.end(task, kind);
            }
        }
        self.break_gangs(&broken);
    }

    /// Members present of each gang that runs, and whether all are through with their work.
    fn gangs(&self) -> BTreeMap<(StepId, Attempt), Gang> {
        let mut out: BTreeMap<(StepId, Attempt), Gang> = BTreeMap::new();
        let up = self.runners.iter().filter(|r| r.up);
        for (task, x) in up.flat_map(|r| &r.running).filter(|(_, x)| x.gang.is_some()) {
            let gang =
                out.entry((task.step, x.attempt)).or_insert(Gang { present: 0, through: true });
            gang.present += 1;
            gang.through &= x.worked >= x.work;
        }
        out
    }

    fn break_gangs(&mut self, broken: &BTreeSet<(StepId, Attempt)>) {
        for r in self.runners.iter_mut().filter(|r| r.up && !broken.is_empty()) {
            let of = |(task, x): (&TaskId, &Running)| {
                let hit = x.gang.is_some() && broken.contains(&(task.step, x.attempt));
                hit.then_some(*task)
            };
            let tasks: Vec<TaskId> = r.running.iter().filter_map(of).collect();
            tasks.into_iter().for_each(|t| r.end(t, EndKind::Broken));
        }
    }

    /// A runner crashes: what ran there is gone and nobody answers.
    pub fn crash(&mut self, i: usize) {
        let of = |(task, x): (&TaskId, &Running)| x.gang.map(|_| (task.step, x.attempt));
        let broken = self.runners[i].running.iter().filter_map(of).collect();
        self.runners[i].up = false;
        self.runners[i].running.clear();
        self.break_gangs(&broken);
    }

    /// Ends what is left of a gang of which a member has ended.
    pub fn break_off(&mut self, job: JobId, step: u32) {
        let id = StepId { job, occurrence: 0, step };
        let running = self.runners.iter().flat_map(|r| &r.running);
        let of = |(task, x): (&TaskId, &Running)| (task.step == id).then_some((id, x.attempt));
        let broken = running.filter_map(of).collect();
        self.break_gangs(&broken);
    }

    /// Panics if a promise was broken.
    pub fn check(&self) {
        assert!(self.broken.is_empty(), "{:#?}", self.broken);
    }
}
