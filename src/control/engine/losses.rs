//! Runs that are lost without a reported completion, and which of them may have crashed their
//! runner.

use super::runs::Stage;
use super::{Engine, Now, RunnerKey, Task};
use crate::control::model::{Attempt, TaskId};
use crate::control::policy::crashes::{Losses, STABLE_MS};
use crate::control::policy::place::Candidate;
use std::collections::BTreeSet;

/// Time from a crash to the next start of a task that lasts and is in a crash loop, ms: bounds the
/// runners that it costs. A task that lasts may not be absent for longer than 6 s where nothing else
/// is disturbed.
const RESTART_DELAY_MS: u64 = 5_000;

/// Reason for which runs without a reported completion are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// Another incarnation of their runner, or another runner, answers at its address.
    OtherIncarnation,
    /// Their runner's lease has expired.
    LeaseOver,
    /// The other members of their gang ended as broken, and their runner does not answer.
    GangBroken,
    /// Their runner lists them neither as active nor as completed.
    NotListed,
}

impl Loss {
    /// Name in log lines and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::OtherIncarnation => "another life",
            Self::LeaseOver => "lease over",
            Self::GangBroken => "gang broken",
            Self::NotListed => "not listed",
        }
    }
}

/// How long a task's run is known to have run up to the local time `until`, ms; `None` if it was
/// not seen running.
fn observed_run_ms(task: &Task, until: u64) -> Option<u64> {
    let began = task.run.as_ref().map(|r| r.progress.began).filter(|at| *at > 0)?;
    Some(until.saturating_sub(began))
}

impl Engine {
    /// Marks all runs on a runner that was replaced or whose lease has expired as lost.
    pub(super) fn lose_all(&mut self, k: RunnerKey, why: Loss, now: Now) {
        let tasks: Vec<(TaskId, Attempt)> = self.runners.get(k).tasks.keys().copied().collect();
        let lost: Vec<TaskId> = tasks
            .iter()
            .filter(|(id, attempt)| self.run_mut(k, *id, *attempt).is_some())
            .map(|(id, _)| *id)
            .collect();
        self.record_lost(k, &lost, why, now);
        self.mark_lost(k, &lost, now);
    }

    /// Releases lost runs, whose loss is recorded, and all other capacity allocated on their runner.
    pub(super) fn mark_lost(&mut self, k: RunnerKey, lost: &[TaskId], now: Now) {
        let allocated: Vec<(TaskId, Attempt)> = self.runners.get(k).tasks.keys().copied().collect();
        self.counts.written_off += allocated.len() as u64;
        for &id in lost {
            self.release(id, now);
            self.gang_broken(id, now);
            self.update_state(id.step.job, now);
        }
        for (id, attempt) in allocated {
            self.deallocate(k, id, attempt);
        }
    }

    /// Counts the loss of runs against their tasks, unless their runner was draining.
    pub(super) fn record_lost(&mut self, k: RunnerKey, lost: &[TaskId], why: Loss, now: Now) {
        let runner = self.runners.get(k);
        let unanswered_since = runner.unanswered_since.unwrap_or(now.mono);
        let draining = runner.entry.as_ref().is_some_and(|e| e.draining);
        // A runner that is still registered when its lease expires is unreachable and has not
        // crashed.
        let crashed = why != Loss::LeaseOver || !runner.listed;
        for id in lost {
            self.log_lost(k, *id, why, unanswered_since, now);
            self.note_lost(k, *id, why, now);
        }
        if !draining {
            self.count_lost(k, lost, unanswered_since, crashed, now);
        }
    }

    /// Counts the loss of runs against their tasks. The probability that a loss is a coincidence is
    /// estimated only if the runner crashed, for the tasks seen running that this leader has started
    /// and that have the most earlier losses; else it is 1. The other tasks only ran beside them.
    fn count_lost(
        &mut self,
        k: RunnerKey,
        lost: &[TaskId],
        unanswered_since: u64,
        crashed: bool,
        now: Now,
    ) {
        let before = |id: &TaskId| self.task(*id).map_or(0, |t| t.losses.count);
        let most_losses = lost.iter().map(before).max().unwrap_or(0);
        let rate = self.loss_rate;
        for &id in lost {
            let Some(task) = self.task_mut(id).filter(|t| t.was_sent()) else { continue };
            let ran = observed_run_ms(task, unanswered_since);
            let started_here = task.run.as_ref().is_some_and(|r| !r.inherited);
            let conclusive =
                ran.filter(|_| crashed && started_here && task.losses.count == most_losses);
            let chance = conclusive.map_or(1.0, |ms| rate.chance(ms));
            task.losses.record_loss(task.attempt, k, chance);
            task.lost_at = now.mono;
            self.mark_changed(id.step.job);
            self.loss_rate.record_loss(ran.unwrap_or(0), now.mono);
        }
    }

    fn log_lost(&self, k: RunnerKey, id: TaskId, why: Loss, unanswered_since: u64, now: Now) {
        let runner = self.runners.get(k);
        let Some(task) = self.task(id) else { return };
        let Some(run) = &task.run else { return };
        log::info!(task:% = id, attempt = task.attempt.0, runner = runner.id, why = why.name(),
            stage = run.stage.name(), ran_ms:? = observed_run_ms(task, unanswered_since),
            silent_ms = now.mono - unanswered_since, beside = runner.tasks.len().saturating_sub(1),
            lost_before = task.losses.count; "run lost with its runner");
    }

    /// Records that a run ended with a completion that its runner reported.
    pub(super) fn record_ended(&mut self, id: TaskId, done: bool, now: Now) {
        let Some(task) = self.task_mut(id) else { return };
        let ran = observed_run_ms(task, now.mono);
        if !done {
            task.losses.record_end();
        }
        self.loss_rate.record_end(ran.unwrap_or(0), now.mono);
    }

    /// Of these candidates, the runners on which a task runs that was last lost together with this
    /// one: if both were lost again, the cause could still not be attributed to one of them.
    pub(super) fn runners_with_companions(
        &self,
        id: TaskId,
        candidates: &[Candidate<RunnerKey>],
    ) -> BTreeSet<RunnerKey> {
        let Some(losses) = self.task(id).map(|t| t.losses).filter(Losses::suspect) else {
            return BTreeSet::new();
        };
        let has_companion = |k: &RunnerKey| {
            let mut suspects = self.runners.get(*k).suspects.values();
            suspects.any(|other| other.lost_together(&losses))
        };
        candidates.iter().map(|c| c.key).filter(has_companion).collect()
    }

    /// Clears the losses of a task whose run has lasted long enough: it does not crash its runner.
    pub(super) fn clear_if_stable(&mut self, id: TaskId, now: Now) {
        let Some(task) = self.task_mut(id).filter(|t| t.losses.suspect()) else { return };
        if observed_run_ms(task, now.mono).is_none_or(|ran| ran < STABLE_MS) {
            return;
        }
        task.losses = Losses::default();
        if let Some(k) = task.run.as_ref().map(|r| r.runner) {
            self.runners.get_mut(k).suspects.remove(&id);
        }
    }
}

impl Task {
    /// Whether its next start waits. Only tasks that last start again after a crash loop: their job
    /// runs until it is cancelled.
    pub(super) fn restart_delayed(&self, now: Now) -> bool {
        self.losses.crash_loop() && self.lost_at + RESTART_DELAY_MS > now.mono
    }

    /// Whether it crashes its runners. The loss of a run that its runner may yet list is no evidence.
    pub(super) fn crash_loop(&self) -> bool {
        let uncertain = self.run.is_some() && self.losses.lost(self.attempt);
        !self.done && !uncertain && self.losses.crash_loop()
    }

    /// Whether its run may have begun.
    fn was_sent(&self) -> bool {
        self.run.as_ref().is_some_and(|r| !matches!(r.stage, Stage::Storing { .. }))
    }
}
