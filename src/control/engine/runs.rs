//! Runs of tasks: start and stop orders, and the handling of their results.
//!
//! An order without an answer may still be carried out seconds later. If the capacity of its run
//! were released before, the runner could be overcommitted, or the task could start elsewhere and
//! run twice. A run therefore keeps its capacity until one of these:
//!
//! - its completion is reported;
//! - a stop of its attempt was acknowledged, and polls after the time that a stop takes at most do not
//!   list it for the time that the listing of a completion takes;
//! - the lease of its runner has expired;
//! - another incarnation has replaced the runner, and no order can start the run there.

use super::progress::Progress;
use super::{Action, Engine, Now, RunnerKey};
use crate::control::model::{Attempt, Born, StepId, TaskId};
use crate::control::ports::{Refusal, StartOrder, StopOrder};

/// Delay before an unanswered start is repeated, ms. A runner answers within a few ms, and a
/// repeated start of a run that already exists has no effect.
const START_RETRY_MS: u64 = 60;

/// Starts sent for an attempt before the attempt is stopped and the task goes elsewhere.
const MAX_START_TRIES: u32 = 3;

/// A ticket must be valid for this much longer when a start is sent, ms: several times the delay of
/// the advice service's answer and of the start.
const TICKET_START_MARGIN_MS: u64 = 20;

/// Interval between repetitions of an unanswered stop, ms.
const STOP_RETRY_MS: u64 = 300;

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its placement is being stored; no start has been sent.
    Storing {
        /// Revision of the job that contains the placement.
        rev: u64,
    },
    /// The start was sent.
    Sent,
    /// Read from the store by a new leader; the runner has not been polled yet.
    Inherited {
        /// Incarnation of the runner that it was placed on, if the row says so.
        born: Option<Born>,
    },
    /// The runner confirmed that it runs.
    Running {
        /// Time of the runner's clock when it confirmed the start, ms.
        clock: u64,
    },
    /// A stop was sent.
    Stopping {
        /// Time of the runner's clock when it acknowledged the stop, ms.
        answered: Option<u64>,
    },
}

impl Stage {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Storing { .. } => "storing",
            Self::Sent => "sent",
            Self::Inherited { .. } => "inherited",
            Self::Running { .. } => "running",
            Self::Stopping { .. } => "stopping",
        }
    }

    /// Time of the runner's clock when it acknowledged the stop, ms.
    pub fn stopped(self) -> Option<u64> {
        match self {
            Self::Stopping { answered } => answered,
            _ => None,
        }
    }
}

/// Reason for which a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job has ended or was cancelled.
    JobEnded,
    /// Its gang cannot continue: a member is lost, was stopped or did not start.
    GangBroken,
    /// It makes no progress.
    NoProgress,
    /// Its start was not answered and must not take effect later.
    NoAnswer,
    /// It is preempted by a gang.
    Preempted,
    /// It is preempted by an urgent step.
    PreemptedUrgent,
    /// An earlier stop was not answered.
    Repeated,
    /// Its runner has started again, and its start may take effect there.
    Restarted,
    /// Its runner lists it neither as active nor as completed.
    NotListed,
    /// An earlier run has completed its task.
    Done,
    /// Its start was refused because its attempt has ended or was stopped there.
    Superseded,
}

impl StopReason {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::JobEnded => "job ended",
            Self::GangBroken => "gang broken",
            Self::NoProgress => "no progress",
            Self::NoAnswer => "start not answered",
            Self::Preempted => "makes room for a gang",
            Self::PreemptedUrgent => "makes room for urgent work",
            Self::Repeated => "earlier stop not answered",
            Self::Restarted => "runner restarted",
            Self::NotListed => "not listed",
            Self::Done => "task done",
            Self::Superseded => "start superseded",
        }
    }
}

/// A run of a task on a runner.
#[derive(Clone, Debug)]
pub struct Run {
    /// The runner.
    pub runner: RunnerKey,
    /// Its state.
    pub stage: Stage,
    /// Whether an earlier leader has started it, at a time that is not known.
    pub inherited: bool,
    /// Number of starts sent.
    pub tries: u32,
    /// Whether a start was not answered: its outcome is unknown, and it may take effect later.
    pub outcome_unknown: bool,
    /// Whether the runner has listed it as active.
    pub listed: bool,
    /// Since when answers have not listed it although its start was confirmed, ms of the runner's
    /// clock.
    pub unlisted_since: Option<u64>,
    /// Since when answers have not listed it although its stop has to be over, ms of the runner's
    /// clock.
    pub ended_since: Option<u64>,
    /// Progress as reported by the runner.
    pub progress: Progress,
    /// When a new checkpoint was last reported, local ms; 0 before the first.
    pub saved_at: u64,
    /// When a stop was last sent, local ms.
    pub stop_at: u64,
    /// Ticket that the start carries.
    pub ticket: Option<String>,
}

impl Run {
    /// A run on `runner` of which no start has been sent by this leader.
    pub fn new(runner: RunnerKey, stage: Stage) -> Self {
        let progress = Progress::default();
        let inherited = matches!(stage, Stage::Inherited { .. });
        Self {
            runner,
            stage,
            inherited,
            tries: 0,
            outcome_unknown: false,
            listed: false,
            unlisted_since: None,
            ended_since: None,
            progress,
            saved_at: 0,
            stop_at: 0,
            ticket: None,
        }
    }

    /// Moves it to another incarnation of its runner, which has confirmed nothing of it and whose
    /// clock is another one.
    pub(super) fn move_to(&mut self, to: RunnerKey) {
        self.runner = to;
        self.listed = false;
        self.unlisted_since = None;
        self.ended_since = None;
        self.progress = Progress::default();
        match &mut self.stage {
            Stage::Storing { .. } | Stage::Sent | Stage::Inherited { .. } => {}
            running @ Stage::Running { .. } => *running = Stage::Sent,
            Stage::Stopping { answered } => {
                *answered = None;
                self.stop_at = 0;
            }
        }
    }

    /// Whether no order is on its way that could start it a second time: its runner has listed it,
    /// and all its starts were answered. It is then over if that incarnation of the runner is.
    pub fn settled(&self) -> bool {
        self.listed && !self.outcome_unknown
    }

    /// Whether its runner has confirmed that it runs.
    pub fn confirmed(&self) -> bool {
        self.listed || self.unlisted_since.is_some()
    }
}

impl Engine {
    /// Orders the start of a task whose placement is stored.
    pub(super) fn order_start(&mut self, id: TaskId, after_ms: u64) {
        let (fence, lease_end) = (self.fence, self.next_lease_end());
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let urgent = self.cat.queues.get(&job.row.queue).is_some_and(|q| q.priority == 0);
        let payload = job.row.spec.payload.clone();
        let Some(step) = job.step_mut(id.step) else { return };
        let tickets = &step.approvals.tickets;
        let Some(task) = step.tasks.get_mut(id.index as usize) else { return };
        let Some(run) = task.run.as_mut() else { return };
        // A ticket that was issued after the placement was decided is valid for longer.
        run.ticket = tickets.get(&run.runner).map(|(t, _)| t.clone()).or(run.ticket.take());
        let runner = self.runners.get_mut(run.runner);
        let (Some(to), Some(until)) = (runner.call(), runner.extend(lease_end)) else {
            return;
        };
        self.order_backlog.leave(run.stage);
        run.stage = Stage::Sent;
        run.tries += 1;
        let start = StartOrder {
            task: id,
            attempt: task.attempt,
            payload,
            until,
            fence,
            saved: task.saved.clone(),
            ticket: run.ticket.clone(),
        };
        self.counts.starts += 1;
        log::info!(task:% = id, attempt = task.attempt.0, runner = to.id, fence = fence,
            tries = run.tries; "start ordered");
        self.acts.push(Action::Start { runner: run.runner, to, start, after_ms, urgent });
    }

    /// Orders the stop of a task's run, unless a stop was already acknowledged.
    pub(super) fn order_stop(&mut self, id: TaskId, why: StopReason, now: Now) {
        let fence = self.fence;
        let Some(task) = self.task_mut(id) else { return };
        let attempt = task.attempt;
        let Some(run) = task.run.as_mut() else { return };
        if matches!(run.stage, Stage::Stopping { answered: Some(_) }) {
            return;
        }
        let stage = run.stage;
        run.stage = Stage::Stopping { answered: None };
        run.ended_since = None;
        run.stop_at = now.mono;
        let k = run.runner;
        self.order_backlog.leave(stage);
        self.stopping.insert(id);
        let Some(to) = self.runners.get(k).call() else { return };
        log::info!(task:% = id, attempt = attempt.0, runner = to.id, why = why.name(); "stop ordered");
        let order = StopOrder { task: id, attempt, fence };
        self.acts.push(Action::Stop { runner: k, to, order });
    }

    /// Stops all runs of a step. Runs whose start was not sent yet are released at once.
    pub(super) fn stop_step(&mut self, step: StepId, why: StopReason, now: Now) {
        let Some(s) = self.step(step) else { return };
        let ids: Vec<TaskId> = s.ids().collect();
        for id in ids {
            let Some(task) = self.task_mut(id) else { continue };
            match task.run.as_ref().map(|r| r.stage) {
                Some(Stage::Storing { .. }) => self.release(id, now),
                Some(_) => self.order_stop(id, why, now),
                None => {}
            }
        }
    }

    /// Removes a run that has ended or never started. Its capacity becomes free and its task waits
    /// again, unless it is done.
    pub(super) fn release(&mut self, id: TaskId, now: Now) {
        let Some(task) = self.task_mut(id) else { return };
        let attempt = task.attempt;
        let Some(run) = task.run.take() else { return };
        self.order_backlog.leave(run.stage);
        self.deallocate(run.runner, id, attempt);
        self.mark_run_ended(id.step.job, now);
        self.open_steps_of(id.step.job, now);
    }

    /// Handles a run whose ordered start had no effect. Members of a gang that did start are
    /// stopped at once, since they would wait for this one forever.
    fn release_unstarted(&mut self, id: TaskId, now: Now) {
        self.release(id, now);
        let gang = self.jobs.get(&id.step.job).is_some_and(|j| j.spec(id.step).gang);
        if gang {
            self.stop_step(id.step, StopReason::GangBroken, now);
        }
        self.update_state(id.step.job, now);
    }

    /// Handles the result of a start: the time of the runner's clock, ms, or the reason why it was
    /// not carried out.
    pub fn started(
        &mut self,
        k: RunnerKey,
        id: TaskId,
        attempt: Attempt,
        res: Result<u64, Refusal>,
        now: Now,
    ) {
        if res == Err(Refusal::Fenced) {
            self.record_fenced(k);
        }
        match res {
            Ok(clock) => self.runners.get_mut(k).record_answer(clock, now),
            Err(Refusal::NoResponse) => self.runners.get_mut(k).record_no_answer(now),
            Err(_) => {}
        }
        let Some(run) = self.run_mut(k, id, attempt) else { return };
        if run.stage != Stage::Sent {
            run.outcome_unknown |= res == Err(Refusal::NoResponse);
            return;
        }
        match res {
            Ok(clock) => {
                run.stage = Stage::Running { clock };
                run.progress.begin(now.mono);
                self.mark_running(id.step.job, id.step.occurrence, now);
            }
            Err(why) => self.start_refused(k, id, why, now),
        }
    }

    fn start_refused(&mut self, k: RunnerKey, id: TaskId, why: Refusal, now: Now) {
        self.counts.refused += 1;
        let name = self.runners.get(k).id.clone();
        log::warn!(task:% = id, runner = name, why:% = why; "start not carried out");
        let Some(task) = self.task_mut(id) else { return };
        let Some(run) = task.run.as_mut() else { return };
        run.outcome_unknown |= why == Refusal::NoResponse;
        let (outcome_unknown, tries) = (run.outcome_unknown, run.tries);
        match why {
            Refusal::Fenced => {}
            Refusal::OtherRunner => {
                if !outcome_unknown {
                    self.release_unstarted(id, now);
                }
                self.runner_replaced(k, now);
            }
            Refusal::NoResponse | Refusal::Unreachable if tries < MAX_START_TRIES => {
                self.order_start(id, START_RETRY_MS);
            }
            // The attempt has ended or was stopped there, and cannot start any more. The refusal does
            // not carry the runner's clock; the answer to a stop does.
            Refusal::Superseded => self.order_stop(id, StopReason::Superseded, now),
            Refusal::NoResponse => self.order_stop(id, StopReason::NoAnswer, now),
            _ => {
                self.record_refusal(k, id, why, now);
                match outcome_unknown {
                    true => self.order_stop(id, StopReason::NoAnswer, now),
                    false => self.release_unstarted(id, now),
                }
            }
        }
    }

    /// Records a refusal that affects further placements.
    fn record_refusal(&mut self, k: RunnerKey, id: TaskId, why: Refusal, now: Now) {
        let runner = self.runners.get_mut(k);
        match why {
            Refusal::Unhealthy | Refusal::Unreachable | Refusal::InsufficientCapacity => {
                runner.health.strike(now.mono);
            }
            // Its clock is not the one that the last poll read.
            Refusal::Expired => runner.unanswered = true,
            _ => {}
        }
        if why == Refusal::Ticket {
            if let Some(step) = self.step_mut(id.step) {
                step.approvals.tickets.entry(k).and_modify(|(_, end)| *end = 0);
            }
        }
    }

    /// Handles the result of a stop: the time of the runner's clock, ms, or the reason why it was
    /// not carried out.
    pub fn stopped(
        &mut self,
        k: RunnerKey,
        id: TaskId,
        attempt: Attempt,
        res: Result<u64, Refusal>,
        now: Now,
    ) {
        match res {
            Err(Refusal::Fenced) => self.record_fenced(k),
            Err(Refusal::OtherRunner) => self.runner_replaced(k, now),
            Ok(clock) => {
                if let Some(run) = self.run_mut(k, id, attempt) {
                    run.stage = Stage::Stopping { answered: Some(clock) };
                }
                // The completion is reported within the time that the runner takes to stop: poll at
                // once.
                self.runners.get_mut(k).next_poll = now.mono;
            }
            Err(_) => {}
        }
    }

    /// Records that a runner has seen a higher fencing token than this term's: the term has
    /// ended.
    pub(super) fn record_fenced(&mut self, k: RunnerKey) {
        if !self.superseded {
            log::warn!(runner = self.runners.get(k).id, fence = self.fence;
                "a runner has seen a higher fencing token: this term is over");
        }
        self.superseded = true;
    }

    /// Repeats unanswered stops that are due, ordered by runner.
    pub(super) fn repeat_stops(&mut self, now: Now) {
        let mut due = Vec::new();
        for id in std::mem::take(&mut self.stopping) {
            let Some(run) = self.run_of(id) else { continue };
            if run.stage != (Stage::Stopping { answered: None }) {
                continue;
            }
            let retry_due = run.stop_at + STOP_RETRY_MS <= now.mono;
            if retry_due && self.runners.get(run.runner).reachable(now) {
                due.push((run.runner, id));
            }
            self.stopping.insert(id);
        }
        due.sort_unstable();
        for (_, id) in due {
            self.order_stop(id, StopReason::Repeated, now);
        }
    }

    pub(super) fn run_of(&self, id: TaskId) -> Option<&Run> {
        self.task(id)?.run.as_ref()
    }

    /// Whether the ticket for a task's start has expired. A queue without approval has no tickets.
    fn ticket_expired(&self, id: TaskId, now: Now) -> bool {
        let Some(run) = self.run_of(id) else { return false };
        let ticket = self.step(id.step).and_then(|s| s.approvals.tickets.get(&run.runner));
        ticket.is_some_and(|(_, end)| *end <= now.mono + TICKET_START_MARGIN_MS)
    }

    /// Whether the capacity of a task's runner has fallen below what is allocated there since the
    /// task was placed.
    fn capacity_shrunk(&self, id: TaskId) -> bool {
        let Some(run) = self.run_of(id) else { return false };
        let runner = self.runners.get(run.runner);
        !runner.used.fits(&runner.capacity())
    }

    /// Orders the starts of a step whose placements are stored up to revision `stored`. While the
    /// store was slow or unavailable, a ticket may have expired or a runner's capacity may have
    /// shrunk, or the cap of the team been lowered. Such a placement is released, and for a gang the
    /// placements of all its members.
    pub(super) fn start_stored(&mut self, step: StepId, stored: u64, now: Now) {
        let Some(s) = self.step(step) else { return };
        let due: Vec<TaskId> = s
            .ids()
            .zip(&s.tasks)
            .filter(|(_, t)| match t.run.as_ref().map(|r| r.stage) {
                Some(Stage::Storing { rev }) => rev <= stored,
                _ => false,
            })
            .map(|(id, _)| id)
            .collect();
        let gang = self.jobs.get(&step.job).is_some_and(|j| j.spec(step).gang);
        let lease_over = self.next_lease_end() <= now.mono;
        let (mut expired, mut valid): (Vec<_>, Vec<_>) = due.into_iter().partition(|id| {
            lease_over || self.ticket_expired(*id, now) || self.capacity_shrunk(*id)
        });
        let over_cap = self.team_over_cap(step.job);
        if gang && (!expired.is_empty() || over_cap) {
            expired.append(&mut valid);
        }
        if !expired.is_empty() {
            let shrunk = expired.iter().filter(|id| self.capacity_shrunk(**id)).count();
            log::info!(step:% = step, tasks = expired.len(), shrunk, over_cap, lease_over;
                "ticket or room gone before the start");
        }
        for id in expired {
            self.release(id, now);
        }
        for id in valid {
            // Only a cap that was lowered since the placement can be exceeded here.
            if self.team_over_cap(step.job) {
                log::info!(task:% = id; "cap of the team lowered before the start");
                self.release(id, now);
            } else {
                self.order_start(id, 0);
            }
        }
    }
}
