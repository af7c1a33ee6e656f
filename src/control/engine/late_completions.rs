//! Completions of runs that were marked as lost before.
//!
//! A completion that is acknowledged counts for the callers, so it must have its effect here, too,
//! whether or not the task has been started again meanwhile. A failure counts once: a new leader
//! finds in the row of a job which attempts may yet be reported, and a completion of any other
//! attempt is one that an earlier leader has processed.

use super::jobs::NO_WAIT;
use super::losses::Loss;
use super::runs::{Run, Stage, StopReason};
use super::{Engine, Now, RunnerKey};
use crate::control::model::{Attempt, EndKind, TaskId};
use crate::control::ports::End;

/// A run that was marked as lost and may yet be reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LostRun {
    why: Loss,
    /// When it was marked as lost, local ms.
    at: u64,
    /// Latest end of a lease that its runner had been sent, ms of the runner's clock.
    lease_until: u64,
}

impl Engine {
    /// Remembers that a task's run is marked as lost, in case its completion is reported later.
    pub(super) fn note_lost(&mut self, k: RunnerKey, id: TaskId, why: Loss, now: Now) {
        let Some(attempt) = self.task(id).map(|t| t.attempt) else { return };
        let keep_ms = self.rules.keep_ms;
        let runner = self.runners.get_mut(k);
        runner.lost.retain(|_, l| l.at + keep_ms > now.mono);
        let lost = LostRun { why, at: now.mono, lease_until: runner.lease_until() };
        if runner.lost.insert((id, attempt), lost).is_none() {
            metrics::counter!("control_runs_lost", "why" => why.name()).increment(1);
        }
        if why == Loss::NotListed {
            self.expect_completion(id, attempt);
        }
    }

    /// Records that the completion of an attempt may yet be reported, and counts then. A gang may have
    /// to wait for such completions, so those of members that were never confirmed are not expected.
    fn expect_completion(&mut self, id: TaskId, attempt: Attempt) {
        let Some(job) = self.jobs.get(&id.step.job) else { return };
        let (gang, lasts) = (job.spec(id.step).gang, job.spec(id.step).lasts);
        let confirmed = self.run_of(id).is_some_and(Run::confirmed);
        let Some(step) = self.step_mut(id.step) else { return };
        if gang {
            if confirmed && step.failed_attempt < attempt {
                step.unreported.entry(attempt).or_insert(NO_WAIT);
            }
        } else if let Some(task) = step.tasks.get_mut(id.index as usize).filter(|_| !lasts) {
            task.unreported.insert(attempt);
        }
    }

    /// Handles the completion of a run that is not its task's current one, reported at `clock`, ms
    /// of the runner's clock.
    pub(super) fn late_completion(&mut self, k: RunnerKey, end: &End, clock: u64, now: Now) {
        let lost = self.runners.get_mut(k).lost.remove(&(end.task, end.attempt));
        self.log_late(k, end, lost, now);
        // A runner whose lease has expired ends its runs, and failures before that do not count.
        let within_lease = lost.is_some_and(|l| l.why == Loss::LeaseOver && clock <= l.lease_until);
        let was_lost = self.task_mut(end.task).is_some_and(|t| t.losses.withdraw(end.attempt));
        let expected = self.take_expected(end);
        let Some(job) = self.jobs.get(&end.task.step.job).filter(|j| !j.state.ended()) else {
            return;
        };
        let spec = job.spec(end.task.step);
        let (gang, lasts) = (spec.gang, spec.lasts);
        let changed = match end.kind {
            EndKind::Done if !lasts => self.complete_late(end.task, gang, now),
            EndKind::Failed if expected || within_lease => self.fail_late(k, end, gang, expected),
            _ => false,
        };
        if changed || expected || was_lost {
            self.mark_changed(end.task.step.job);
            self.update_state(end.task.step.job, now);
        }
    }

    /// Expects the completion of an attempt no longer, and returns whether it was expected. After
    /// another end than a failure of one member of a gang, the failure of another member is still
    /// expected, but the gang does not wait for it.
    fn take_expected(&mut self, end: &End) -> bool {
        let Some(step) = self.step_mut(end.task.step) else { return false };
        let task = step.tasks.get_mut(end.task.index as usize);
        if task.is_some_and(|t| t.unreported.remove(&end.attempt)) {
            return true;
        }
        match end.kind {
            EndKind::Done | EndKind::Failed => step.unreported.remove(&end.attempt).is_some(),
            EndKind::Stopped
            | EndKind::Lapsed
            | EndKind::Broken
            | EndKind::Alone
            | EndKind::Unknown => {
                step.unreported.entry(end.attempt).and_modify(|wait| *wait = NO_WAIT);
                false
            }
        }
    }

    /// Marks a task as done by an earlier run than its current one, which is stopped. Returns whether
    /// it was not done before.
    fn complete_late(&mut self, id: TaskId, gang: bool, now: Now) -> bool {
        if self.task(id).is_none_or(|t| t.done) {
            return false;
        }
        self.mark_done(id, gang);
        if gang {
            self.stop_step(id.step, StopReason::Done, now);
            return true;
        }
        match self.run_of(id).map(|r| r.stage) {
            Some(Stage::Storing { .. }) => self.release(id, now),
            Some(_) => self.order_stop(id, StopReason::Done, now),
            None => {}
        }
        true
    }

    /// Counts a failure of an earlier run than the task's current one. Returns whether it counts: not
    /// for a task that is done, and once for each attempt of a gang; one that is expected has not
    /// been counted.
    fn fail_late(&mut self, k: RunnerKey, end: &End, gang: bool, expected: bool) -> bool {
        let Some(step) = self.step_mut(end.task.step) else { return false };
        let Some(task) = step.tasks.get_mut(end.task.index as usize) else { return false };
        if task.done {
            return false;
        }
        task.avoid.insert(k);
        if gang {
            if !expected && step.failed_attempt >= end.attempt {
                return false;
            }
            step.gang_fails += 1;
            step.failed_attempt = step.failed_attempt.max(end.attempt);
        } else {
            task.fails += 1;
        }
        true
    }

    fn log_late(&self, k: RunnerKey, end: &End, lost: Option<LostRun>, now: Now) {
        let why = lost.map_or("unknown", |l| l.why.name());
        let task = self.task(end.task);
        let stage = task.and_then(|t| t.run.as_ref()).map_or("none", |r| r.stage.name());
        metrics::counter!("control_late_completions", "how" => end.kind.name(), "why" => why)
            .increment(1);
        log::info!(task:% = end.task, attempt = end.attempt.0, runner = self.runners.get(k).id,
            how = end.kind.name(), number = end.number, why, stage,
            since_ms:? = lost.map(|l| now.mono.saturating_sub(l.at)),
            last_attempt:? = task.map(|t| t.attempt.0), done:? = task.map(|t| t.done);
            "completion of a run already marked as lost");
    }
}
