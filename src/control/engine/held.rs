//! Jobs of which a row in the store cannot be decoded.
//!
//! Nothing is known about what has run of such a job, so that it is held: none of its tasks starts,
//! its rows are not written, its runs are left alone and take capacity, and its completions wait for
//! a leader that can read the rows.

use super::runners::Allocation;
use super::teams::TeamKey;
use super::{Action, Engine, RunnerKey};
use crate::control::model::{Attempt, JobId, StepId, TaskId};
use crate::control::policy::crashes::Losses;
use crate::control::ports::{End, StopOrder};
use crate::control::rows::JobRow;
use crate::kernel::res::Resources;
use std::sync::Arc;

/// A held job.
#[derive(Clone, Debug)]
pub(super) struct HeldJob {
    /// The job as submitted; none if that cannot be decoded.
    row: Option<Arc<JobRow>>,
    /// Its team; none if it has none, or that is not known.
    team: Option<TeamKey>,
    /// Whether a caller has cancelled it.
    cancelled: bool,
}

impl HeldJob {
    /// What a run of a step takes; none if that is not known.
    fn allocation(&self, step: StepId) -> Option<Allocation> {
        let step = self.row.as_ref()?.spec.steps.get(step.step as usize)?;
        let (need, charge, lasts) = (step.demand(), step.charge(), step.lasts);
        Some(Allocation { need, charge, team: self.team, lasts })
    }
}

impl Engine {
    /// Holds a job of which a row cannot be decoded.
    pub fn hold_job(&mut self, id: JobId, row: Option<Arc<JobRow>>) {
        let team = row.as_ref().and_then(|r| r.team.as_deref());
        let team = team.map(|name| self.teams.named(name, &self.cat.teams));
        self.held.entry(id).or_insert(HeldJob { row, team, cancelled: false });
    }

    /// Number of held jobs.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Records that a caller has cancelled a held job. Its listed runs are stopped from now on.
    pub(super) fn cancel_held(&mut self, id: JobId) {
        let Some(job) = self.held.get_mut(&id) else { return };
        if !job.cancelled {
            log::info!(job:% = id; "held job cancelled");
            job.cancelled = true;
        }
    }

    /// Handles a listed run of a held job, at `clock`, ms of the runner's clock. If its demand is not
    /// known, it takes all that is free.
    pub(super) fn held_run_listed(
        &mut self,
        k: RunnerKey,
        id: TaskId,
        attempt: Attempt,
        clock: u64,
    ) {
        let Some(job) = self.held.get(&id.step.job) else { return };
        let cancelled = job.cancelled;
        let runner = self.runners.get(k);
        if !runner.tasks.contains_key(&(id, attempt)) {
            let allocation = job.allocation(id.step).unwrap_or_else(|| Allocation {
                need: runner.free(),
                charge: Resources::ZERO,
                team: None,
                lasts: false,
            });
            self.put_allocation(k, id, attempt, allocation, Losses::default());
        }
        let runner = self.runners.get_mut(k);
        runner.strays.insert((id, attempt), clock);
        let Some(to) = runner.call().filter(|_| cancelled) else { return };
        log::info!(task:% = id, attempt = attempt.0, runner = to.id; "run of a held job stopped");
        let order = StopOrder { task: id, attempt, fence: self.fence };
        self.acts.push(Action::Stop { runner: k, to, order });
    }

    /// Handles the completion of a run of a held job.
    pub(super) fn held_run_ended(&mut self, k: RunnerKey, end: &End) {
        self.deallocate(k, end.task, end.attempt);
        log::info!(task:% = end.task, attempt = end.attempt.0, runner = self.runners.get(k).id,
            how = end.kind.name(), number = end.number; "run of a held job ended");
    }
}
