//! State and decisions of the scheduler, without I/O.
//!
//! The driver ([`super::leader`]) passes in events (jobs, registry entries, answers of runners, of
//! the store and of the advice service) and carries out the [`Action`]s that result. A task's
//! placement is written to the store before its start is ordered, and every completion before it is
//! acknowledged, so that the next leader finds every task that may run anywhere.

mod admission;
mod advice;
mod advice_targets;
mod candidates;
mod commit;
mod completions;
mod deferral;
mod forecast;
mod gang_reservations;
mod gangs;
mod held;
mod incarnations;
mod jobs;
mod late_completions;
mod lifecycle;
mod losses;
mod order_backlog;
mod placement;
mod plan;
mod preempt;
mod progress;
mod progress_row;
mod provisional;
mod registry;
mod removed_queues;
mod reports;
mod round;
mod runners;
mod runs;
mod speeds;
mod standing;
mod store_backlog;
mod teams;
mod unlisted;
mod unplaceable;
mod urgent;
mod urgent_places;
mod urgent_preempt;

pub use super::model::RunnerKey;
pub use admission::HOLD_MS;
pub use commit::{Batch, Outcome, Write};
pub use jobs::{Job, StepRun, Task};
pub use order_backlog::OrderBacklog;
pub use round::MAX_CHECKS_PER_ROUND;
pub use runners::{Runner, RunnerHealth};
pub use runs::{Run, Stage};
pub use teams::{TeamKey, TeamUse, TeamView};

use super::model::{Attempt, Catalogue, JobId, StepId, TaskId};
use super::policy::crashes::LossRate;
use super::policy::features::Features;
use super::policy::place::Placement;
use super::policy::run_times::RunTimes;
use super::ports::{PollRequest, RunnerCall, StartOrder, StopOrder};
use crate::kernel::arena::Arena;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The time of an event on the clocks that decisions use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Local time that never jumps and counts suspended time, ms.
    pub mono: u64,
    /// Time of day, Unix ms: used for due times and objectives of jobs.
    pub wall: u64,
}

/// Limits that follow from the platform's bounds.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Length of a lease on a runner, from the last heartbeat that the store has acknowledged, ms.
    pub lease_ms: u64,
    /// Longest lease that a runner grants, ms.
    pub hold_max_ms: u64,
    /// Longest time from a stop order that a runner acknowledged until the run has ended, ms.
    pub stop_ms: u64,
    /// Time that ended jobs are kept, ms.
    pub keep_ms: u64,
    /// How runners are selected for tasks.
    pub placement: Placement,
    /// Features that are on.
    pub features: Features,
}

/// Longest time from the end of a run until its runner lists the completion, ms.
const LISTING_MS: u64 = 200;

impl Rules {
    /// Time from the acknowledgement of a stop until the runner has listed the end of its run, ms.
    fn settle_ms(&self) -> u64 {
        self.stop_ms + LISTING_MS
    }
}

/// A call for the driver to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Order the start of a task, `after_ms` from now.
    Start {
        /// The runner.
        runner: RunnerKey,
        /// Its address and id.
        to: RunnerCall,
        /// The order.
        start: StartOrder,
        /// Delay, ms.
        after_ms: u64,
        /// Whether the task is of an urgent queue.
        urgent: bool,
    },
    /// Order the stop of a run.
    Stop {
        /// The runner.
        runner: RunnerKey,
        /// Its address and id.
        to: RunnerCall,
        /// The order.
        order: StopOrder,
    },
    /// Poll a runner and extend its lease.
    Poll {
        /// The runner.
        runner: RunnerKey,
        /// Its address and id.
        to: RunnerCall,
        /// The call.
        poll: PollRequest,
    },
    /// Request advice on which runners may run a step.
    RequestAdvice {
        /// The step.
        step: StepId,
        /// The runners to name.
        runners: Vec<RunnerKey>,
        /// Their ids.
        ids: Vec<String>,
        /// Time that the advice service will take, ms.
        cost_ms: f64,
    },
}

/// Counts since this leader was elected, for metrics and the state dump.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Counts {
    /// Starts ordered.
    pub starts: u64,
    /// Starts that were not carried out, for any reason.
    pub refused: u64,
    /// Completions of any kind.
    pub ends: u64,
    /// Runs marked as lost: the lease expired, the runner was replaced, or the run was not listed.
    pub written_off: u64,
    /// Tasks preempted by gangs.
    pub evicted: u64,
    /// Tasks preempted by urgent steps.
    pub urgent_stops: u64,
    /// Advice requests.
    pub asks: u64,
    /// Planning rounds.
    pub rounds: u64,
    /// Runners and steps checked in planning rounds.
    pub looks: u64,
}

/// The scheduler of the cell.
pub struct Engine {
    /// Limits that follow from the platform's bounds.
    pub rules: Rules,
    /// Fencing token of this term.
    pub fence: u64,
    /// When this leader was elected, local ms.
    pub elected_at: u64,
    /// When the last heartbeat that the store has acknowledged was sent, local ms: leases that are
    /// sent to runners count from then.
    pub renewed_at: u64,
    /// When the leases that earlier leaders sent have expired, local ms.
    prior_end: u64,
    /// Set once a runner has seen a higher fencing token: this term is over.
    pub superseded: bool,
    /// Set once the store holds progress that this scheduler has neither read nor stored: this term
    /// is over.
    pub stale: bool,
    /// Counts of events in this term.
    pub counts: Counts,
    /// Connections to the advice service; 0 if their number is not known.
    pub advice_connections: usize,
    /// Orders that wait for the link.
    pub order_backlog: OrderBacklog,
    /// Whether the link of this instance is busy.
    pub link_busy: bool,
    /// Whether the registry was read in full in this term.
    registry_read: bool,
    /// Time of the current round, local ms.
    round_at: u64,
    /// The newest catalogue, with the queues of `removed_queues`.
    cat: Arc<Catalogue>,
    /// Queues that the catalogue no longer has, and the version of the one that had them last.
    removed_queues: BTreeMap<String, u64>,
    runners: Arena<RunnerKey, Runner>,
    /// The newest known incarnation of each runner.
    by_id: BTreeMap<String, RunnerKey>,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs of which a row cannot be decoded.
    held: BTreeMap<JobId, held::HeldJob>,
    /// Steps with tasks to place.
    open: BTreeSet<StepId>,
    /// The current planning pass over the open steps.
    pass: round::PlanningPass,
    /// Open steps that were opened or received advice since the last round.
    updated: BTreeSet<StepId>,
    /// Waiting steps of expired jobs, which are not open.
    deferral: deferral::Deferral,
    /// Open steps that cannot be placed.
    unplaceable: unplaceable::Unplaceable,
    /// Jobs of which nothing runs.
    standing: standing::Standing,
    /// Sums over the runners that the current round has computed.
    round: round::Round,
    /// Tasks that were ordered to stop, until the stop is acknowledged.
    stopping: BTreeSet<TaskId>,
    /// Occurrences that are not yet due, by due time.
    not_due: BTreeSet<(u64, JobId, u32)>,
    /// Jobs whose progress is to be stored, with the value of `dirty_seq` when they were added.
    dirty: BTreeMap<JobId, u64>,
    /// Runners with completions that are acknowledged once progress of the job is stored.
    unacked_on: BTreeMap<JobId, BTreeSet<RunnerKey>>,
    /// Jobs of which only completions of single tasks have changed, and the time until which their
    /// progress waits for more of them, local ms.
    coalesced: BTreeMap<JobId, u64>,
    /// Counts additions to `dirty`.
    dirty_seq: u64,
    /// Jobs of which only the state shown to callers has changed, by the time when it is to be
    /// stored, local ms.
    deferred: BTreeSet<(u64, JobId)>,
    /// Ended jobs, by the time when they ended, Unix ms.
    ended_jobs: BTreeSet<(u64, JobId)>,
    acts: Vec<Action>,
    /// Provisional reservations of gangs whose tickets are being requested.
    provisional: BTreeMap<StepId, provisional::ProvisionalReservation>,
    /// Gangs of which a member ended because another had.
    broken_gangs: BTreeSet<StepId>,
    /// Pending advice requests.
    advice_requests: advice::AdviceRequests,
    /// Placements that are not stored yet.
    store_backlog: store_backlog::StoreBacklog,
    /// Share of the named runners that each queue's policy approves on average.
    approval_rates: BTreeMap<String, advice::ApprovalRate>,
    /// Run-time model of each queue.
    run_times: BTreeMap<String, RunTimes>,
    /// Learned speeds of runners.
    speeds: speeds::Speeds,
    /// Rate at which runs are lost with their runners.
    loss_rate: LossRate,
    /// Racks by name; runners and steps use their numbers.
    racks: BTreeMap<String, u32>,
    /// What teams have running.
    teams: teams::TeamTable,
    /// What keeps capacity for urgent queues.
    urgent: urgent::Urgent,
    /// What instances need to decide on submissions.
    admission: admission::AdmissionTracker,
}

impl Engine {
    /// The scheduler of a newly elected leader with the fencing token `fence`. The leases that earlier
    /// leaders sent have expired at `prior_end`, local ms.
    pub fn new(rules: Rules, fence: u64, prior_end: u64, now: Now) -> Self {
        Self {
            rules,
            fence,
            elected_at: now.mono,
            renewed_at: 0,
            prior_end,
            superseded: false,
            stale: false,
            counts: Counts::default(),
            advice_connections: 0,
            order_backlog: OrderBacklog::default(),
            link_busy: false,
            registry_read: false,
            round_at: now.mono,
            cat: Arc::default(),
            removed_queues: BTreeMap::new(),
            runners: Arena::default(),
            by_id: BTreeMap::new(),
            jobs: BTreeMap::new(),
            held: BTreeMap::new(),
            open: BTreeSet::new(),
            pass: round::PlanningPass::default(),
            updated: BTreeSet::new(),
            deferral: deferral::Deferral::default(),
            unplaceable: unplaceable::Unplaceable::default(),
            standing: standing::Standing::default(),
            round: round::Round::default(),
            stopping: BTreeSet::new(),
            not_due: BTreeSet::new(),
            dirty: BTreeMap::new(),
            unacked_on: BTreeMap::new(),
            coalesced: BTreeMap::new(),
            dirty_seq: 0,
            deferred: BTreeSet::new(),
            ended_jobs: BTreeSet::new(),
            acts: Vec::new(),
            provisional: BTreeMap::new(),
            broken_gangs: BTreeSet::new(),
            advice_requests: advice::AdviceRequests::default(),
            store_backlog: store_backlog::StoreBacklog::default(),
            approval_rates: BTreeMap::new(),
            run_times: BTreeMap::new(),
            speeds: speeds::Speeds::default(),
            loss_rate: LossRate::default(),
            racks: BTreeMap::new(),
            teams: teams::TeamTable::default(),
            urgent: urgent::Urgent::default(),
            admission: admission::AdmissionTracker::default(),
        }
    }

    /// Applies a catalogue; one that is not newer is ignored.
    pub fn set_catalogue(&mut self, cat: Arc<Catalogue>) {
        if cat.version > self.cat.version {
            self.teams.apply(&cat.teams);
            let last = std::mem::replace(&mut self.cat, cat);
            let removed = self.keep_removed_queues(&last);
            self.open_deferred(&last, &removed);
        }
    }

    /// The actions to carry out; each is returned once.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.acts)
    }

    /// Handles the passing of time: opens occurrences that come due, marks runs as lost when leases
    /// expire, repeats stops and polls runners.
    pub fn tick(&mut self, now: Now) {
        self.round_at = now.mono;
        self.open_due(now);
        self.queue_deferred(now);
        self.expire_leases(now);
        self.release_broken_gangs(now);
        self.repeat_stops(now);
        self.refresh_speeds(now);
        self.poll_runners(now);
        self.check_standing(now);
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

    /// Number of steps with tasks to place, deferred ones included.
    pub fn open_steps(&self) -> usize {
        self.open.len() + self.deferral.len()
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

    /// Counts a new revision of a job's progress, to be stored with one of the next commits.
    fn mark_changed(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.rev += 1;
            self.coalesced.remove(&id);
            self.queue_commit(id);
        }
    }

    /// Queues a job's progress to be stored with one of the next commits.
    fn queue_commit(&mut self, id: JobId) {
        self.dirty_seq += 1;
        self.dirty.entry(id).or_insert(self.dirty_seq);
    }
}
