//! Remaining work of jobs: run-time models, updated with completed steps, predict the run times of
//! the others.

use super::{progress, Engine, Job, Now};
use crate::control::model::{Attempt, JobId, Queue, Step, StepId, TaskId};
use crate::control::policy::run_times::RunTimes;

impl Job {
    /// Computes the critical paths, ms, from the run times of completed steps, the predicted run
    /// times of the others, and the time of an advice request for each.
    fn forecast(&mut self, model: &RunTimes, advice_ms: u64) {
        let run_time = |i: usize| self.steps.get(i).map_or(0, |s| s.run_ms);
        let time = |(i, s): (usize, &Step)| match run_time(i) {
            0 => model.predict(s.estimate) + advice_ms,
            took => took + advice_ms,
        };
        let times: Vec<u64> = self.row.spec.steps.iter().enumerate().map(time).collect();
        self.path_ms = self.row.spec.critical_paths(&times);
        self.longest = self.path_ms.iter().copied().max().unwrap_or(0);
    }
}

/// Time that an advice request adds to each step of a queue's jobs, ms.
pub(super) fn advice_ms(queue: &Queue) -> u64 {
    queue.approval.map_or(0, |a| a.cost_ms(super::advice_targets::MAX_NAMED_SINGLE) as u64)
}

impl Engine {
    /// Computes the remaining work of a job.
    pub(super) fn forecast(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let advice_ms = self.cat.queues.get(&job.row.queue).map_or(0, advice_ms);
        let model = self.run_times.get(&job.row.queue).copied().unwrap_or_default();
        job.forecast(&model, advice_ms);
    }

    /// Records the run time of a completed task, unless an earlier leader has started it. Called before
    /// its run is released.
    pub(super) fn record_run_time(&mut self, id: TaskId, gang: bool, now: Now) {
        let Some(step) = self.step_mut(id.step) else { return };
        let run = step.tasks.get(id.index as usize).and_then(|t| t.run.as_ref());
        if run.is_some_and(|r| r.inherited) {
            return;
        }
        let began = match gang {
            true => progress::all_running_since(step),
            false => run.map(|r| r.progress.began),
        };
        let Some(began) = began.filter(|&at| at > 0) else { return };
        step.run_ms = step.run_ms.max(now.mono - began);
    }

    /// Updates the queue's run-time model with a step that has just completed, unless one of its
    /// tasks was started more than once.
    pub(super) fn update_run_times(&mut self, id: StepId) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let Some(step) = job.step(id).filter(|s| s.run_ms > 0) else { return };
        if step.tasks.iter().all(|t| t.attempt <= Attempt::default().next()) {
            let (estimate, took) = (job.spec(id).estimate, step.run_ms);
            self.run_times.entry(job.row.queue.clone()).or_default().record(estimate, took);
        }
        self.forecast(id.job);
    }
}
