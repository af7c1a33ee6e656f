//! A cell in memory for tests of the scheduler's engine: runners that follow the platform's
//! protocol (fencing tokens, leases on their own clocks, lists of active runs and completions), a
//! store of progress rows, and a clock that the test advances. It checks the scheduler's invariants
//! from the calls that its runners receive.

#![allow(dead_code)]

#[path = "control/calls.rs"]
mod calls;
#[path = "control/crashes.rs"]
mod crashes;
#[path = "control/ends.rs"]
mod ends;
#[path = "control/orders.rs"]
mod orders;
#[path = "control/setup.rs"]
mod setup;
#[path = "control/store.rs"]
mod store;
#[path = "control/teams.rs"]
pub mod teams;
#[path = "control/work.rs"]
mod work;

pub use crashes::Crashes;

use super::runner::FakeRunner;
use currantgw::control::engine::{Action, Batch, Engine, Now, Outcome, Rules, RunnerKey};
use currantgw::control::leader::CommitBatching;
use currantgw::control::leases;
use currantgw::control::model::{
    Approval, Attempt, Born, Catalogue, JobId, JobSpec, JobState, Queue, Step, StepId, TaskId,
};
use currantgw::control::partitions::{self, Partition, PartitionScope};
use currantgw::control::policy::features::Features;
use currantgw::control::policy::place::Placement;
use currantgw::control::ports::{Advice, Refusal, Report};
use currantgw::control::queue_row::QueueRow;
use currantgw::control::rows::{self, JobRow};
use currantgw::kernel::res::Resources;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time between two steps of the simulation, ms.
pub const STEP_MS: u64 = 5;

/// Limits used by the tests.
pub const RULES: Rules = Rules {
    lease_ms: 8_000,
    hold_max_ms: 10_000,
    stop_ms: 400,
    keep_ms: 120_000,
    placement: Placement::BestFit,
    features: Features { overload_control: false, urgent_preemption: false, runner_speeds: false },
};

/// Faults of the scheduler's calls.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Share of orders that get no answer and take effect 2 to 12 s later.
    pub late: f64,
    /// Share of orders that take effect and get no answer.
    pub unanswered: f64,
    /// Share of commits that get no answer; half of them are applied, half up to 6 s later.
    pub commits: f64,
    /// Whether the store accepts no writes.
    pub store_down: bool,
    /// Whether the store accepts no heartbeats.
    pub heartbeats: bool,
    /// Time after which a call to a crashed runner is sent again, ms; 0 if it is not. It reaches the
    /// runner's next incarnation if there is one by then.
    pub resent_after: u64,
    /// Longest additional delay of an answer, ms: answers overtake each other.
    pub answer_ms: u64,
}

/// Duration of transactions: each partition carries out one at a time.
#[derive(Clone, Copy, Debug)]
pub struct StoreTimes {
    /// A transaction of one partition, ms; one of several partitions takes twice as long.
    pub txn: u64,
    /// Round-trip time of a call, ms.
    pub round_trip: u64,
}

/// How a call is delivered to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// Sent once so far.
    Sent,
    /// Sent again.
    Resent,
    /// Held by an incarnation of the runner, which carries it out late unless it crashes.
    Held(Born),
}

#[derive(Clone, Debug)]
enum Event {
    Arrive { term: u64, act: Action, answered: bool, delivery: Delivery },
    Started(RunnerKey, TaskId, Attempt, Result<u64, Refusal>),
    Stopped(RunnerKey, TaskId, Attempt, Result<u64, Refusal>),
    Polled(RunnerKey, Result<Report, Refusal>),
    Advised(StepId, Vec<RunnerKey>, Advice),
    Apply { term: u64, scope: PartitionScope, batch: Batch, answered: bool, answer_delay: u64 },
    Committed(PartitionScope, Batch, Outcome),
    Restarted(usize),
}

/// The simulated cell.
pub struct Cell {
    /// The current leader's scheduler.
    pub engine: Engine,
    /// Its runners.
    pub runners: Vec<FakeRunner>,
    /// Faults of calls.
    pub faults: Faults,
    /// The time, ms.
    pub now: u64,
    /// When a leader last stored a heartbeat, ms.
    pub heartbeat: u64,
    /// Violated invariants.
    pub violations: Vec<String>,
    /// Number of starts carried out, by task.
    pub starts: BTreeMap<TaskId, u32>,
    /// Number of answers that listed each completion, by runner and number.
    pub listed: BTreeMap<(usize, u64), u32>,
    /// Number of writes of each job's progress that the store applied.
    pub writes: BTreeMap<JobId, u32>,
    /// Number of runners named in each advice request.
    pub requests: Vec<usize>,
    /// Approvals of the approval service, by step and position of the runner.
    pub approves: fn(StepId, usize) -> bool,
    /// When each connection to the approval service is free again, ms; empty for immediate answers.
    pub connections: Vec<f64>,
    /// Number of connections, counted from the first, that accept no requests of more than 50 ms.
    pub short_connections: usize,
    /// Number of requests that may queue on a connection; more are refused.
    pub queue_limit: f64,
    /// Number of refused requests.
    pub refused: usize,
    /// Number of starts that were refused for a ticket of another incarnation.
    pub stale_tickets: usize,
    /// A partition of the store that accepts no writes.
    pub unavailable: Option<Partition>,
    /// Duration of transactions; `None` for a constant delay.
    pub times: Option<StoreTimes>,
    /// Actual work of a job's tasks, per cent of their estimate, for jobs where it differs.
    pub work_percent: BTreeMap<JobId, u64>,
    /// Share of runs that fail by a fault of their own.
    pub own_faults: f64,
    /// Maximum deviation of the work of a step's tasks from their mean, per cent.
    pub work_spread: u64,
    /// Share of the tasks that take seven times as long, per cent.
    pub long_tail: u64,
    /// Row of the speeds of runners, if one was stored.
    pub speeds_row: Option<Vec<u8>>,
    /// Tasks that crash their runners.
    pub crashes: Crashes,
    /// When a job's end was stored, ms, and its state.
    pub ended: BTreeMap<JobId, (u64, JobState)>,
    /// When a task of a job first started, ms.
    pub began: BTreeMap<JobId, u64>,
    /// Duration of each planning round.
    pub planning: Vec<std::time::Duration>,
    caps: teams::CapHistory,
    capacity: Resources,
    cat: Arc<Catalogue>,
    jobs: BTreeMap<JobId, Arc<JobRow>>,
    cancelled: BTreeSet<JobId>,
    store: BTreeMap<JobId, (u64, Vec<u8>)>,
    version: u64,
    batching: CommitBatching,
    /// When each partition of the store is free again, ms.
    free: [u64; partitions::COUNT],
    term: u64,
    /// Scheduled events, each with the term in which it was scheduled, by time, ms, and `seq`.
    events: BTreeMap<(u64, u64), (u64, Event)>,
    /// Number of scheduled events, which orders those of the same time.
    seq: u64,
    /// Runs that have ended, and starts that may not follow them.
    ends: ends::Ends,
    /// Tasks whose completion as done was acknowledged.
    done: BTreeMap<TaskId, bool>,
    /// Jobs whose tasks all fail.
    poisoned: BTreeSet<JobId>,
    rng: StdRng,
}

/// A queue with the settings that vary between tests.
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
        open: false,
    }
}

/// A step of `count` tasks.
pub fn step(count: u32, cpu: u64, estimate: u64) -> Step {
    Step { count, need: Resources { cpu, mem: 100, acc: 0 }, estimate, ..Step::default() }
}

impl Cell {
    fn clocks(&self) -> Now {
        Now { mono: self.now, wall: self.now }
    }

    /// Submits a job.
    pub fn submit(&mut self, id: u64, queue: &str, steps: Vec<Step>) -> JobId {
        let row = self.new_row(queue, steps);
        self.add(id, row)
    }

    /// Submits a job as if it had been submitted at `at`, ms.
    pub fn submit_past(&mut self, id: u64, queue: &str, steps: Vec<Step>, at: u64) -> JobId {
        let row = JobRow { at, ..self.new_row(queue, steps) };
        self.add(id, row)
    }

    /// Adds a job as another instance has accepted it.
    pub fn submit_row(&mut self, id: u64, row: JobRow) -> JobId {
        self.add(id, row)
    }

    /// The row of a job that is accepted now.
    pub fn new_row(&self, queue: &str, steps: Vec<Step>) -> JobRow {
        let spec = JobSpec { payload: "p".into(), steps, ..JobSpec::default() };
        let version = self.cat.version;
        let definition = self.cat.queues.get(queue).map(|q| QueueRow::new(q, version));
        JobRow { queue: queue.into(), team: None, at: self.now, spec, definition }
    }

    fn add(&mut self, id: u64, row: JobRow) -> JobId {
        let (id, row) = (JobId(id), Arc::new(row));
        self.jobs.insert(id, row.clone());
        self.engine.add_job(id, row, None, self.clocks());
        id
    }

    /// Makes all tasks of `id` fail.
    pub fn poison(&mut self, id: JobId) {
        self.poisoned.insert(id);
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: JobId) {
        self.cancelled.insert(id);
        self.engine.cancel(id, self.clocks());
    }

    /// Number of tasks that run anywhere.
    pub fn running(&self) -> usize {
        self.runners.iter().filter(|r| r.exists).map(|r| r.running.len()).sum()
    }

    /// Positions of the runners on which a task runs.
    pub fn runners_of(&self, task: TaskId) -> Vec<usize> {
        let on = |r: &FakeRunner| r.exists && r.running.contains_key(&task);
        (0..self.runners.len()).filter(|&i| on(&self.runners[i])).collect()
    }

    /// Replaces the scheduler by that of a new leader; orders of the previous one may still be in
    /// flight.
    pub fn change_leader(&mut self) {
        self.change_leader_with_held(&[]);
    }

    /// Like [`Self::change_leader`], with a leader that cannot decode the progress of these jobs.
    pub fn change_leader_with_held(&mut self, held: &[JobId]) {
        self.version += 1;
        self.term = self.version;
        let rules = self.engine.rules;
        let prior_end = self.heartbeat + leases::expiry_ms(rules.lease_ms);
        let mut next = Engine::new(rules, self.term, prior_end, self.clocks());
        next.set_catalogue(self.cat.clone());
        if let Some(row) = &self.speeds_row {
            next.restore_speeds(row, self.clocks());
        }
        let mut jobs: Vec<_> = self.jobs.iter().collect();
        jobs.sort_by_key(|(_, row)| row.at);
        for (id, row) in jobs {
            if held.contains(id) {
                next.hold_job(*id, Some(row.clone()));
                continue;
            }
            let p = self.store.get(id).map(|(v, row)| (*v, rows::decode(row).unwrap()));
            next.add_job(*id, row.clone(), p, Now { mono: self.now, wall: self.now });
            if self.cancelled.contains(id) {
                next.cancel(*id, Now { mono: self.now, wall: self.now });
            }
        }
        self.engine = next;
        self.batching = CommitBatching::new(true, self.now);
        for i in 0..self.runners.len() {
            if self.runners[i].exists {
                self.register(i, true);
            }
        }
        // Answers to the previous scheduler's calls are dropped.
        self.events.retain(|_, (_, e)| {
            matches!(e, Event::Arrive { .. } | Event::Apply { .. } | Event::Restarted(_))
        });
    }

    /// Schedules an event in `delay` ms.
    fn schedule(&mut self, delay: u64, e: Event) {
        self.seq += 1;
        self.events.insert((self.now + delay, self.seq), (self.term, e));
    }

    /// Advances the time by `ms`.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.work();
            self.crash_runners();
            while let Some((&(at, seq), _)) = self.events.first_key_value() {
                if at > self.now {
                    break;
                }
                if let Some((term, e)) = self.events.remove(&(at, seq)) {
                    self.handle_event(term, e);
                }
            }
            if !self.faults.store_down && !self.faults.heartbeats {
                self.heartbeat = self.now;
                self.engine.renewed_at = self.now;
            }
            self.engine.tick(self.clocks());
            let began = std::time::Instant::now();
            self.engine.plan(self.clocks());
            self.planning.push(began.elapsed());
            self.commit();
            self.store_speeds();
            for act in self.engine.take_actions() {
                self.send(act);
            }
        }
    }

    /// Advances the time by `ms` while the leader is frozen: it decides nothing, and what it is sent
    /// arrives afterwards.
    pub fn freeze(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.work();
        }
    }

    /// Advances the time by `ms` while the leader gets no processor time: runners and store go on, and
    /// all that they answer meanwhile is handled afterwards, in any order.
    pub fn starve(&mut self, ms: u64) {
        let end = self.now + ms;
        let mut answers = Vec::new();
        while self.now < end {
            self.now += STEP_MS;
            self.work();
            self.crash_runners();
            while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= self.now) {
                let (term, e) = entry.remove();
                match e {
                    Event::Arrive { .. } | Event::Apply { .. } | Event::Restarted(_) => {
                        self.handle_event(term, e)
                    }
                    answer => answers.push((term, answer)),
                }
            }
        }
        answers.shuffle(&mut self.rng);
        answers.into_iter().for_each(|(term, e)| self.handle_event(term, e));
    }

    fn handle_event(&mut self, term: u64, e: Event) {
        let (now, current) = (self.clocks(), term == self.term);
        match e {
            Event::Arrive { act, answered, delivery, .. } => {
                self.arrive(act, answered && current, delivery)
            }
            Event::Apply { term, scope, batch, answered, answer_delay } => {
                let out = self.apply(term, &batch);
                if answered && current {
                    self.schedule(answer_delay, Event::Committed(scope, batch, out));
                }
            }
            Event::Restarted(i) => self.restart(i),
            _ if !current => {}
            Event::Started(k, id, attempt, res) => self.engine.started(k, id, attempt, res, now),
            Event::Stopped(k, id, attempt, res) => self.engine.stopped(k, id, attempt, res, now),
            Event::Polled(k, res) => self.engine.polled(k, res, now),
            Event::Advised(step, runners, a) => {
                self.engine.advice_received(step, &runners, Ok(a), now)
            }
            Event::Committed(scope, batch, out) => self.commit_answered(scope, &batch, &out),
        }
    }

    /// Panics if an invariant was violated.
    pub fn check(&self) {
        assert!(!self.engine.superseded, "nobody else has been elected");
        assert!(!self.engine.stale, "nobody else has stored progress");
        let violations: Vec<String> =
            self.violations.iter().cloned().chain(self.forbidden_starts()).collect();
        assert!(violations.is_empty(), "{violations:#?}");
    }
}
