//! The scheduler's state and decisions, without I/O.
//!
//! Whoever drives it ([`super::leader`]) hands in what happened (jobs, registry entries, answers
//! of runners, of the store and of the advice service) and carries out the [`Action`]s that come
//! of it. Everything a task's placement depends on is written to the store before the start is
//! ordered, and every end before it is acknowledged, so that a successor knows of every task that
//! may run anywhere.

mod advice;
mod ask;
mod booking;
mod commit;
mod forecast;
mod gangs;
mod jobs;
mod lifecycle;
mod losses;
mod plan;
mod preempt;
mod progress;
mod reports;
mod reserve;
mod round;
mod runners;
mod runs;
mod stored;
mod storing;

pub use commit::{Batch, Outcome, Write};
pub use jobs::{Job, StepRun, Task};
pub use round::MOST_LOOKS;
pub use runners::{Health, Runner};
pub use runs::{Run, Stage};

use super::crashes::LossRate;
use super::model::{Attempt, Catalogue, JobId, StepId, TaskId};
use super::pace::Pace;
use super::place::Placement;
use super::ports::{Hold, Order, RunnerCall, Start};
use crate::arena_key;
use crate::kernel::arena::Arena;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

arena_key!(
    /// A life of a runner in the scheduler's arena.
    RunnerKey
);

/// The time of an event on the clocks that decisions use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Local time that never jumps and counts suspended time, ms.
    pub mono: u64,
    /// Time of day, Unix ms: due times and objectives of jobs.
    pub wall: u64,
}

/// Limits that the platform's bounds set.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Lease that every call to a runner extends, ms.
    pub hold_ms: u64,
    /// A predecessor may have extended leases this long after its successor took office, ms.
    pub yield_ms: u64,
    /// Ended jobs are kept this long, ms.
    pub keep_ms: u64,
    /// How runners are chosen.
    pub placement: Placement,
}

/// Something to do for the scheduler.
#[derive(Clone, Debug)]
pub enum Action {
    /// Order a start; `after_ms` from now.
    Start {
        /// Which runner.
        runner: RunnerKey,
        /// Its address and id.
        to: RunnerCall,
        /// The order.
        start: Start,
        /// Delay, ms.
        after_ms: u64,
    },
    /// Order a stop.
    Stop {
        /// Which runner.
        runner: RunnerKey,
        /// Its address and id.
        to: RunnerCall,
        /// The order.
        order: Order,
    },
    /// Extend a runner's lease and look.
    Hold {
        /// Which runner.
        runner: RunnerKey,
        /// Its address and id.
        to: RunnerCall,
        /// The call.
        hold: Hold,
    },
    /// Ask which runners may run a step.
    Ask {
        /// The step.
        step: StepId,
        /// Runners to name.
        ids: Vec<String>,
        /// Time the service will take, ms.
        cost_ms: f64,
    },
}

/// Counts since the scheduler took office, for metrics and the state dump.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Counts {
    /// Starts ordered.
    pub starts: u64,
    /// Starts refused, by any reason.
    pub refused: u64,
    /// Ends of any kind.
    pub ends: u64,
    /// Tasks written off because a lease lapsed or a runner was replaced.
    pub written_off: u64,
    /// Tasks stopped to make room for gangs.
    pub evicted: u64,
    /// Questions to the advice service.
    pub asks: u64,
    /// Planning rounds.
    pub rounds: u64,
    /// Runners looked at and steps visited in planning rounds.
    pub looks: u64,
}

/// The scheduler of the cell.
pub struct Engine {
    /// Limits.
    pub rules: Rules,
    /// Fencing token of this term of office.
    pub fence: u64,
    /// When office was taken, local ms.
    pub since: u64,
    /// Set once a runner has seen a higher token: this term is over.
    pub deposed: bool,
    /// Counts.
    pub counts: Counts,
    /// Lines to the advice service; 0 if their number is not known.
    pub lines: usize,
    cat: Arc<Catalogue>,
    runners: Arena<RunnerKey, Runner>,
    by_id: BTreeMap<String, RunnerKey>,
    jobs: BTreeMap<JobId, Job>,
    /// Steps with tasks to place.
    open: BTreeSet<StepId>,
    /// The sweep of the open steps that is under way.
    sweep: round::Sweep,
    /// Open steps that opened or heard an answer since the last round.
    stirred: BTreeSet<StepId>,
    /// What the round has worked out of the runners.
    round: round::Round,
    /// Tasks that were ordered to stop, until the stop is answered.
    stopping: BTreeSet<TaskId>,
    /// Occurrences not yet due, by due time.
    timed: BTreeSet<(u64, JobId, u32)>,
    /// Jobs whose progress is to be stored, by when that was first so.
    dirty: BTreeMap<JobId, u64>,
    /// Counts entries of `dirty`.
    touched: u64,
    /// Jobs of which only the state shown has changed, by when it is to be stored, local ms.
    lazy: BTreeSet<(u64, JobId)>,
    /// Ended jobs by the time of their end, Unix ms.
    old: BTreeSet<(u64, JobId)>,
    acts: Vec<Action>,
    /// Room kept for gangs whose tickets are being asked for.
    bookings: BTreeMap<StepId, booking::Booking>,
    /// Steps of which a member ended because another had.
    torn: BTreeSet<StepId>,
    /// Questions about steps of patient queues that are on their way.
    questions: advice::Questions,
    /// Placements that wait for the store.
    storing: storing::Storing,
    /// What queues' policies approve on average.
    shares: BTreeMap<String, advice::Share>,
    /// What queues' estimates are worth.
    paces: BTreeMap<String, Pace>,
    /// How often runs are lost with their runners.
    loss_rate: LossRate,
    /// Racks by name; runners and steps carry their number.
    racks: BTreeMap<String, u32>,
}

impl Engine {
    /// A scheduler that has just taken office with `fence`.
    pub fn new(rules: Rules, fence: u64, now: Now) -> Self {
        Self {
            rules,
            fence,
            since: now.mono,
            deposed: false,
            counts: Counts::default(),
            lines: 0,
            cat: Arc::default(),
            runners: Arena::default(),
            by_id: BTreeMap::new(),
            jobs: BTreeMap::new(),
            open: BTreeSet::new(),
            sweep: round::Sweep::default(),
            stirred: BTreeSet::new(),
            round: round::Round::default(),
            stopping: BTreeSet::new(),
            timed: BTreeSet::new(),
            dirty: BTreeMap::new(),
            touched: 0,
            lazy: BTreeSet::new(),
            old: BTreeSet::new(),
            acts: Vec::new(),
            bookings: BTreeMap::new(),
            torn: BTreeSet::new(),
            questions: advice::Questions::default(),
            storing: storing::Storing::default(),
            shares: BTreeMap::new(),
            paces: BTreeMap::new(),
            loss_rate: LossRate::default(),
            racks: BTreeMap::new(),
        }
    }

    /// Puts a catalogue in force; an older one is ignored.
    pub fn set_catalogue(&mut self, cat: Arc<Catalogue>) {
        if cat.version > self.cat.version {
            self.cat = cat;
        }
    }

    /// What to do now; each action is handed out once.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.acts)
    }

    /// Time passes: occurrences come due, leases lapse, looks and stops are repeated.
    pub fn tick(&mut self, now: Now) {
        self.open_due(now);
        self.store_due(now);
        self.lapse(now);
        self.mend_torn(now);
        self.repeat_stops(now);
        self.look(now);
    }

    /// Number of jobs known.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// A job, for tests and the state dump.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Runners known, for tests and the state dump.
    pub fn runners(&self) -> impl Iterator<Item = (RunnerKey, &Runner)> {
        self.runners.iter()
    }

    /// Steps with tasks to place.
    pub fn open_steps(&self) -> usize {
        self.open.len()
    }

    fn step(&self, id: StepId) -> Option<&StepRun> {
        self.jobs.get(&id.job)?.step(id)
    }

    fn step_mut(&mut self, id: StepId) -> Option<&mut StepRun> {
        self.jobs.get_mut(&id.job)?.step_mut(id)
    }

    fn task(&self, id: TaskId) -> Option<&Task> {
        self.step(id.step)?.tasks.get(id.index as usize)
    }

    fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id.step)?.tasks.get_mut(id.index as usize)
    }

    /// The run of a task's attempt on a runner, if it is the task's current one.
    fn run_mut(&mut self, k: RunnerKey, id: TaskId, attempt: Attempt) -> Option<&mut Run> {
        let task = self.task_mut(id)?;
        let current = task.attempt == attempt;
        task.run.as_mut().filter(|r| current && r.runner == k)
    }

    /// Marks a job's progress as not yet stored.
    fn touch(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.rev += 1;
            self.mark(id);
        }
    }

    /// Has a job's progress stored with one of the next commits.
    fn mark(&mut self, id: JobId) {
        self.touched += 1;
        self.dirty.entry(id).or_insert(self.touched);
    }
}
