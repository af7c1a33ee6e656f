//! Runs that an answer of their runner lists neither as active nor as completed.
//!
//! A single such answer proves nothing: a runner may list a run some time after its start, and a
//! completion some time after the run has ended. A run is over once its attempt was stopped, and
//! answers after the time that a stop takes do not list it for the time that the listing takes. A
//! runner that stood still meanwhile has listed nothing, so that time counts from the first of them.
//! The answer that decides must list all completions: a runner lists a limited number at a time. A list
//! is known to be complete if it is empty or shorter than an earlier one. One that becomes no shorter,
//! since its first completion is not acknowledged, is complete by the protocol's limit.

use super::losses::Loss;
use super::runs::{Run, Stage, StopReason};
use super::{Engine, Now, Rules, RunnerKey, LISTING_MS};
use crate::control::model::{Attempt, TaskId};

/// What follows from an answer that does not list a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    /// Nothing yet. A further answer at this time of the runner's clock may tell more, ms.
    Inconclusive(Option<u64>),
    /// It may be over. Its attempt has to be stopped to know.
    Suspect,
    /// It is over, or has never begun.
    Over,
}

impl Run {
    /// What follows from an answer that does not list it, given at `clock`, ms of the runner's
    /// clock.
    fn judge_absence(&mut self, clock: u64, rules: &Rules) -> Absence {
        match self.stage {
            Stage::Storing { .. } | Stage::Sent | Stage::Stopping { answered: None } => {
                Absence::Inconclusive(None)
            }
            // The poll raised the fencing token, so that a predecessor's start that has not arrived
            // yet never takes effect; it may have arrived just before.
            Stage::Inherited { .. } => Absence::Suspect,
            Stage::Running { clock: confirmed } if clock <= confirmed => {
                Absence::Inconclusive(None)
            }
            // Its completion will be listed: runners list completions until they are acknowledged.
            Stage::Running { .. } => {
                let since = *self.unlisted_since.get_or_insert(clock);
                match clock < since + rules.lease_ms {
                    true => Absence::Inconclusive(None),
                    false => Absence::Suspect,
                }
            }
            // A start that arrives after the stop of its attempt is refused.
            Stage::Stopping { answered: Some(stopped) } => {
                let ended = stopped + rules.stop_ms;
                if clock <= ended {
                    return Absence::Inconclusive(Some(ended));
                }
                let listed = *self.ended_since.get_or_insert(clock) + LISTING_MS;
                match clock <= listed {
                    true => Absence::Inconclusive(Some(listed)),
                    false => Absence::Over,
                }
            }
        }
    }
}

impl Engine {
    /// Handles a run that an answer given at `clock`, ms of the runner's clock, does not list, while
    /// its capacity is still allocated. Nothing follows from an answer that does not list all
    /// completions.
    pub(super) fn run_not_listed(
        &mut self,
        k: RunnerKey,
        id: TaskId,
        attempt: Attempt,
        (clock, complete): (u64, bool),
        now: Now,
    ) {
        let rules = self.rules;
        let Some(run) = self.run_mut(k, id, attempt) else {
            let last_listed = self.runners.get(k).strays.get(&(id, attempt));
            if complete && last_listed.is_none_or(|at| at + rules.settle_ms() < clock) {
                self.deallocate(k, id, attempt);
            }
            return;
        };
        let stage = run.stage;
        let recheck_at = match run.judge_absence(clock, &rules) {
            Absence::Inconclusive(recheck_at) => recheck_at,
            _ if !complete => Some(clock),
            Absence::Suspect => {
                self.stop_unlisted(k, id, stage, now);
                Some(clock + rules.settle_ms())
            }
            Absence::Over => {
                self.write_off_unlisted(k, id, clock, now);
                None
            }
        };
        if let Some(at) = recheck_at {
            let runner = self.runners.get_mut(k);
            runner.recheck_at = Some(runner.recheck_at.map_or(at, |earlier| earlier.min(at)));
        }
    }

    /// Stops a run that may be over. One that was placed on an earlier incarnation of its runner
    /// was lost with it, unless a later answer lists it.
    fn stop_unlisted(&mut self, k: RunnerKey, id: TaskId, stage: Stage, now: Now) {
        match stage {
            Stage::Inherited { born } if born.is_some() && born != self.runners.get(k).born => {
                self.record_lost(k, &[id], Loss::OtherIncarnation, now);
            }
            _ => {}
        }
        self.order_stop(id, StopReason::NotListed, now);
    }

    fn write_off_unlisted(&mut self, k: RunnerKey, id: TaskId, clock: u64, now: Now) {
        let attempt = self.task(id).map_or(0, |t| t.attempt.0);
        let run = self.run_of(id);
        let confirmed = run.is_some_and(Run::confirmed);
        let (listed, stopped) =
            (run.is_some_and(|r| r.listed), run.and_then(|r| r.stage.stopped()));
        let runner = self.runners.get(k);
        log::info!(task:% = id, attempt, runner = runner.id, listed, clock, stopped:? = stopped,
            last_completion = runner.completions.highest; "run not listed: written off");
        self.note_lost(k, id, Loss::NotListed, now);
        if confirmed {
            self.runners.get_mut(k).health.strike(now.mono);
            if let Some(task) = self.task_mut(id) {
                task.avoid.insert(k);
            }
        }
        self.counts.written_off += 1;
        self.release(id, now);
        self.gang_broken(id, now);
        self.update_state(id.step.job, now);
    }
}
