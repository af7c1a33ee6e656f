//! Runs of tasks: ordering starts and stops, and what their answers mean.
//!
//! An order without an answer may be carried out seconds later. What goes wrong otherwise: its
//! room is given away and the runner is oversold, or the task starts elsewhere and runs twice.
//! So a run holds its room until its end is listed, or a stop for its attempt was answered and a
//! later look does not show it, or the runner's lease or life is over.

use super::progress::Progress;
use super::{Action, Engine, Now, RunnerKey};
use crate::control::model::{Attempt, StepId, TaskId};
use crate::control::ports::{Order, Refusal, Start};

/// Wait before an unanswered start is repeated, ms: a runner answers in a few ms, and the
/// repetition meets a run already there without harm.
const RETRY_START_MS: u64 = 60;

/// Tries of a start before its attempt is stopped and the task goes elsewhere.
const START_TRIES: u32 = 3;

/// A ticket must be good for this much longer when a start goes out, ms: the way of its answer and of
/// the start, several times over.
const TICKET_WAY_MS: u64 = 20;

/// Time between repetitions of a stop that had no answer, ms.
const RETRY_STOP_MS: u64 = 300;

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its placement is being stored; nothing has been sent.
    Storing {
        /// Revision of the job that holds it.
        rev: u64,
    },
    /// The start was sent.
    Sent,
    /// Found in the store at a takeover; the runner has not been asked yet.
    Inherited,
    /// It ran at this time of the runner's clock, ms.
    Running {
        /// Runner's clock, ms.
        clock: u64,
    },
    /// A stop was sent.
    Stopping {
        /// Runner's clock when it answered, ms.
        answered: Option<u64>,
    },
}

impl Stage {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Storing { .. } => "storing",
            Self::Sent => "sent",
            Self::Inherited => "inherited",
            Self::Running { .. } => "running",
            Self::Stopping { .. } => "stopping",
        }
    }
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopWhy {
    /// Its job has ended or was cancelled.
    JobEnded,
    /// Its gang cannot go on.
    GangBroken,
    /// It makes no progress.
    Hangs,
    /// Its start was not answered: it must not happen any more.
    NoAnswer,
    /// It makes room for a gang.
    MakesRoom,
    /// An earlier stop was not answered.
    Again,
}

impl StopWhy {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::JobEnded => "job ended",
            Self::GangBroken => "gang broken",
            Self::Hangs => "no progress",
            Self::NoAnswer => "start not answered",
            Self::MakesRoom => "makes room for a gang",
            Self::Again => "earlier stop not answered",
        }
    }
}

/// A run of a task on a runner.
#[derive(Clone, Debug)]
pub struct Run {
    /// Where.
    pub runner: RunnerKey,
    /// How far.
    pub stage: Stage,
    /// Starts sent.
    pub tries: u32,
    /// A start had no answer: it may come into effect later.
    pub unsure: bool,
    /// How far it is known to have come.
    pub progress: Progress,
    /// When a stop was last sent, local ms.
    pub stop_at: u64,
    /// Ticket for the start.
    pub ticket: Option<String>,
}

impl Run {
    /// A run on `runner`.
    pub fn new(runner: RunnerKey, stage: Stage) -> Self {
        let progress = Progress::default();
        Self { runner, stage, tries: 0, unsure: false, progress, stop_at: 0, ticket: None }
    }
}

impl Engine {
    /// Orders the start of a task whose placement is stored.
    pub(super) fn order_start(&mut self, id: TaskId, now: Now, after_ms: u64) {
        let (fence, hold) = (self.fence, self.rules.hold_ms);
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let payload = job.row.spec.payload.clone();
        let Some(step) = job.step_mut(id.step) else { return };
        let tickets = &step.approvals.tickets;
        let Some(task) = step.tasks.get_mut(id.index as usize) else { return };
        let Some(run) = task.run.as_mut() else { return };
        // One given since the placement was decided is good for longer.
        run.ticket = tickets.get(&run.runner).map(|(t, _)| t.clone()).or(run.ticket.take());
        let runner = self.runners.get_mut(run.runner);
        let (Some(to), Some(until)) = (runner.call(), runner.extend(hold, now)) else { return };
        run.stage = Stage::Sent;
        run.tries += 1;
        let start = Start {
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
        self.acts.push(Action::Start { runner: run.runner, to, start, after_ms });
    }

    /// Orders a stop of a task's run.
    pub(super) fn order_stop(&mut self, id: TaskId, why: StopWhy, now: Now) {
        let fence = self.fence;
        let Some(task) = self.task_mut(id) else { return };
        let attempt = task.attempt;
        let Some(run) = task.run.as_mut() else { return };
        if matches!(run.stage, Stage::Stopping { answered: Some(_) }) {
            return;
        }
        run.stage = Stage::Stopping { answered: None };
        run.stop_at = now.mono;
        let k = run.runner;
        self.stopping.insert(id);
        let Some(to) = self.runners.get(k).call() else { return };
        log::info!(task:% = id, attempt = attempt.0, runner = to.id, why = why.name(); "stop ordered");
        let order = Order { task: id, attempt, fence };
        self.acts.push(Action::Stop { runner: k, to, order });
    }

    /// Stops whatever runs of a step. What was not sent yet is taken back at once.
    pub(super) fn stop_step(&mut self, step: StepId, why: StopWhy, now: Now) {
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

    /// A run is over or never was: its room is free and the task waits, unless it is done.
    pub(super) fn release(&mut self, id: TaskId, now: Now) {
        let Some(task) = self.task_mut(id) else { return };
        let attempt = task.attempt;
        let Some(run) = task.run.take() else { return };
        self.runners.get_mut(run.runner).vacate(id, attempt);
        self.touch(id.step.job);
        self.open_steps_of(id.step.job, now);
    }

    /// A run never took place although its start was ordered. Members of a gang that did start
    /// are stopped at once: they would wait in vain for this one.
    fn never_ran(&mut self, id: TaskId, now: Now) {
        self.release(id, now);
        let gang = self.jobs.get(&id.step.job).is_some_and(|j| j.spec(id.step).gang);
        if gang {
            self.stop_step(id.step, StopWhy::GangBroken, now);
        }
        self.settle(id.step.job, now);
    }

    /// The answer to a start.
    pub fn started(
        &mut self,
        k: RunnerKey,
        id: TaskId,
        attempt: Attempt,
        res: Result<u64, Refusal>,
        now: Now,
    ) {
        if res == Err(Refusal::Fenced) {
            self.fenced_off(k);
        }
        match res {
            Ok(clock) => self.runners.get_mut(k).heard(clock, now),
            Err(Refusal::NoAnswer) => self.runners.get_mut(k).unheard(now),
            Err(_) => {}
        }
        let Some(run) = self.run_mut(k, id, attempt) else { return };
        if run.stage != Stage::Sent {
            run.unsure |= res == Err(Refusal::NoAnswer);
            return;
        }
        match res {
            Ok(clock) => {
                run.stage = Stage::Running { clock };
                run.progress.begin(now.mono);
                self.begin(id.step.job, id.step.occurrence, now);
            }
            Err(why) => self.not_started(k, id, why, now),
        }
    }

    fn not_started(&mut self, k: RunnerKey, id: TaskId, why: Refusal, now: Now) {
        self.counts.refused += 1;
        let name = self.runners.get(k).id.clone();
        log::warn!(task:% = id, runner = name, why:% = why; "start not carried out");
        let Some(task) = self.task_mut(id) else { return };
        let Some(run) = task.run.as_mut() else { return };
        run.unsure |= why == Refusal::NoAnswer;
        let (unsure, tries) = (run.unsure, run.tries);
        match why {
            Refusal::Fenced => {}
            Refusal::OtherLife => {
                if !unsure {
                    self.never_ran(id, now);
                }
                self.runner_over(k, now);
            }
            Refusal::NoAnswer | Refusal::Unreachable if tries < START_TRIES => {
                self.order_start(id, now, RETRY_START_MS);
            }
            Refusal::Superseded => run.stage = Stage::Running { clock: 0 },
            Refusal::NoAnswer => self.order_stop(id, StopWhy::NoAnswer, now),
            _ => {
                self.blame(k, id, why, now);
                match unsure {
                    true => self.order_stop(id, StopWhy::NoAnswer, now),
                    false => self.never_ran(id, now),
                }
            }
        }
    }

    /// Takes a refusal into account in where tasks go next.
    fn blame(&mut self, k: RunnerKey, id: TaskId, why: Refusal, now: Now) {
        let runner = self.runners.get_mut(k);
        match why {
            Refusal::Unhealthy | Refusal::Unreachable | Refusal::NoRoom => {
                runner.health.strike(now.mono);
            }
            _ => {}
        }
        if why == Refusal::Ticket {
            if let Some(step) = self.step_mut(id.step) {
                step.approvals.tickets.entry(k).and_modify(|(_, end)| *end = 0);
            }
        }
    }

    /// The answer to a stop.
    pub fn stopped(
        &mut self,
        k: RunnerKey,
        id: TaskId,
        attempt: Attempt,
        res: Result<u64, Refusal>,
        now: Now,
    ) {
        match res {
            Err(Refusal::Fenced) => self.fenced_off(k),
            Err(Refusal::OtherLife) => self.runner_over(k, now),
            Ok(clock) => {
                if let Some(run) = self.run_mut(k, id, attempt) {
                    run.stage = Stage::Stopping { answered: Some(clock) };
                }
                // The end shows in the lists within the runner's time to stop: look soon.
                self.runners.get_mut(k).hold_at = now.mono;
            }
            Err(_) => {}
        }
    }

    /// A runner has seen a higher fencing token than this term's.
    pub(super) fn fenced_off(&mut self, k: RunnerKey) {
        if !self.deposed {
            log::warn!(runner = self.runners.get(k).id, fence = self.fence;
                "a runner has seen a higher fencing token: this term is over");
        }
        self.deposed = true;
    }

    /// Repeats stops that had no answer, in the order of runners.
    pub(super) fn repeat_stops(&mut self, now: Now) {
        let mut due = Vec::new();
        for id in std::mem::take(&mut self.stopping) {
            let Some(run) = self.run_of(id) else { continue };
            if run.stage != (Stage::Stopping { answered: None }) {
                continue;
            }
            let late = run.stop_at + RETRY_STOP_MS <= now.mono;
            if late && self.runners.get(run.runner).reached(now) {
                due.push((run.runner, id));
            }
            self.stopping.insert(id);
        }
        due.sort_unstable();
        for (_, id) in due {
            self.order_stop(id, StopWhy::Again, now);
        }
    }

    fn run_of(&self, id: TaskId) -> Option<&Run> {
        self.task(id)?.run.as_ref()
    }

    /// Whether the ticket with which a task would start has run out. What approves no runners has none.
    fn ticket_over(&self, id: TaskId, now: Now) -> bool {
        let Some(run) = self.run_of(id) else { return false };
        let ticket = self.step(id.step).and_then(|s| s.approvals.tickets.get(&run.runner));
        ticket.is_some_and(|(_, end)| *end <= now.mono + TICKET_WAY_MS)
    }

    /// Whether a task's runner has shrunk below what is taken there since the task was placed.
    fn room_gone(&self, id: TaskId) -> bool {
        let Some(run) = self.run_of(id) else { return false };
        let runner = self.runners.get(run.runner);
        !runner.used.fits(&runner.room())
    }

    /// A placement has been stored: its start may go out. While the store was slow or away its ticket may
    /// have run out, or its runner shrunk: it is given up then, a gang's for all members.
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
        let (mut over, mut good): (Vec<_>, Vec<_>) =
            due.into_iter().partition(|id| self.ticket_over(*id, now) || self.room_gone(*id));
        if gang && !over.is_empty() {
            over.append(&mut good);
        }
        if !over.is_empty() {
            let shrunk = over.iter().filter(|id| self.room_gone(**id)).count();
            log::info!(step:% = step, tasks = over.len(), shrunk;
                "ticket or room gone before the start");
        }
        for id in over {
            self.release(id, now);
        }
        for id in good {
            self.order_start(id, now, 0);
        }
    }
}
