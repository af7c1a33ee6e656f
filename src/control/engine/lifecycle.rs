//! Life cycle of jobs: added, opened step by step, cancelled, ended and removed.

use super::runs::StopReason;
use super::{Engine, Job, Now, RunnerKey, StepRun, Task};
use crate::control::model::{Attempt, JobId, JobState, StepId, TaskId};
use crate::control::policy::crashes::Losses;
use crate::control::rows::{JobRow, ProgressRow};
use std::sync::Arc;

impl Engine {
    /// Adds a job, with the progress that is stored for it and the version of that row. A known job
    /// and one that is held are left unchanged. Jobs are added in the order of their submission, by
    /// which the shares of teams are counted.
    pub fn add_job(
        &mut self,
        id: JobId,
        row: Arc<JobRow>,
        progress: Option<(u64, ProgressRow)>,
        now: Now,
    ) {
        if self.jobs.contains_key(&id) || self.held.contains_key(&id) {
            return;
        }
        let mut job = Job::new(id, row);
        job.team = self.team_of_new(&job);
        // The clock of the accepting instance may be ahead.
        let at = job.row.at.min(now.wall);
        job.excess = job.team.is_some_and(|k| !self.record_submission(k, at));
        if let Some((version, row)) = &progress {
            job.version = *version;
            let leases_end = self.prior_end;
            job.load(row, leases_end, &mut |name| self.runner_named(name));
            if self.rules.features.urgent_preemption {
                job.assume_preempted();
            }
        }
        let tasks = job.steps.iter().flat_map(|s| s.ids().zip(&s.tasks));
        let run_of = |(task, t): (TaskId, &Task)| {
            t.run.as_ref().map(|run| (run.runner, task, t.attempt, t.losses))
        };
        let runs: Vec<(RunnerKey, TaskId, Attempt, Losses)> = tasks.filter_map(run_of).collect();
        // A new leader adds all jobs of the last minutes at once, most of which have ended: a log
        // line for each would displace those about the leader change.
        if job.state.ended() {
            self.ended_jobs.insert((job.ended, id));
        } else {
            log::info!(job:% = id, queue = job.row.queue, team = job.row.team.as_deref().unwrap_or_default(),
                excess = job.excess, state = job.state.name(), version = job.version;
                "job known to the scheduler");
        }
        self.jobs.insert(id, job);
        self.keep_queue_of(id);
        for (k, task, attempt, losses) in runs {
            self.allocate(k, task, attempt, losses);
        }
        self.forecast(id);
        self.open_steps_of(id, now);
        if progress.is_some() {
            self.update_state(id, now);
        }
    }

    /// Marks a job as running once the start of one of its tasks is confirmed, and not before:
    /// while its starts are unanswered, on a runner that has just become unreachable, the job must
    /// be included in the count of waiting jobs that callers read.
    pub(super) fn mark_running(&mut self, id: JobId, occurrence: u32, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state != JobState::Queued {
            return;
        }
        job.state = JobState::Running;
        let waited = now.wall.saturating_sub(job.begin(occurrence));
        metrics::histogram!("control_wait_seconds", "queue" => job.row.queue.clone())
            .record(waited as f64 / 1000.0);
        self.mark_state_changed(id, now);
    }

    /// Cancels a job, unless it has ended.
    pub fn cancel(&mut self, id: JobId, now: Now) {
        self.cancel_held(id);
        let Some(job) = self.jobs.get(&id) else { return };
        if !job.state.ended() {
            log::info!(job:% = id, state = job.state.name(); "job cancelled");
            self.finish(id, JobState::Cancelled, now);
        }
    }

    /// Opens the steps of a job that can be placed now.
    pub(super) fn open_steps_of(&mut self, id: JobId, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state.ended() {
            return;
        }
        let ids: Vec<StepId> = job.steps.iter().map(|s| s.id).collect();
        let mut first_opened = Vec::new();
        for step in ids {
            match job.row.spec.due(step.occurrence) {
                Some(due) if due > now.wall => {
                    self.not_due.insert((due, id, step.occurrence));
                    continue;
                }
                _ => {}
            }
            if !job.ready(step) {
                continue;
            }
            let Some(s) = job.step_mut(step) else { continue };
            // A deferred step stops waiting if a run of it that was written off is reported as done.
            if !s.waits() {
                self.deferral.remove(step);
                continue;
            }
            if self.deferral.contains(step) || !self.open.insert(step) {
                continue;
            }
            self.updated.insert(step);
            if s.opened == 0 {
                s.opened = now.mono;
                first_opened.push(step);
            }
        }
        first_opened.into_iter().for_each(|step| self.record_urgent_demand(step, now));
    }

    /// Opens occurrences that have come due.
    pub(super) fn open_due(&mut self, now: Now) {
        while let Some(&(due, id, k)) = self.not_due.first() {
            if due > now.wall {
                return;
            }
            self.not_due.remove(&(due, id, k));
            self.open_steps_of(id, now);
        }
    }

    /// Ends a job in `state`: its runs are stopped and no more tasks are placed.
    pub(super) fn finish(&mut self, id: JobId, state: JobState, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.state = state;
        job.ended = now.wall;
        self.ended_jobs.insert((now.wall, id));
        let steps: Vec<StepId> = job.steps.iter().map(|s| s.id).collect();
        self.forget_deferred(id);
        for step in steps {
            self.open.remove(&step);
            if state != JobState::Completed {
                self.stop_step(step, StopReason::JobEnded, now);
            }
        }
        self.mark_changed(id);
        self.drop_steps(id);
    }

    /// Drops the steps of an ended job once none of its tasks runs, so that its row contains only
    /// its state.
    fn drop_steps(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state.ended() && !job.runs() && !job.steps.is_empty() {
            job.steps.clear();
            self.mark_changed(id);
        }
    }

    /// Updates a job's state and open steps from the state of its tasks.
    pub(super) fn update_state(&mut self, id: JobId, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !job.state.ended() {
            let max_fails = self.cat.queues.get(&job.row.queue).map_or(u32::MAX, |q| q.max_fails);
            let spec = &job.row.spec;
            let failed_too_often = job.steps.iter().any(|s| {
                let step = &spec.steps[s.id.step as usize];
                let most_fails = s.tasks.iter().map(|t| t.fails).max().unwrap_or(0);
                !step.lasts && most_fails.max(s.gang_fails) >= max_fails
            });
            let ends = |id: &TaskId| !spec.steps[id.step.step as usize].lasts;
            let mut ids = job.steps.iter().flat_map(|s| s.ids().zip(&s.tasks));
            if failed_too_often {
                log::info!(job:% = id, limit = max_fails; "job failed: a task failed too often");
                self.finish(id, JobState::Failed, now);
            } else if let Some((task, t)) = ids.find(|(id, t)| t.crash_loop() && ends(id)) {
                let Losses { count, chance, .. } = t.losses;
                log::warn!(job:% = id, task:% = task, lost = count, chance;
                    "job failed: a task crashes its runners");
                metrics::counter!("control_crash_loops").increment(1);
                self.finish(id, JobState::Failed, now);
            } else if job.steps.iter().all(StepRun::done) {
                let took = now.wall.saturating_sub(job.row.at);
                metrics::histogram!("control_job_seconds").record(took as f64 / 1000.0);
                log::info!(job:% = id, queue = job.row.queue, ms = took; "job completed");
                self.finish(id, JobState::Completed, now);
            } else {
                self.open_steps_of(id, now);
            }
        }
        self.drop_steps(id);
    }

    /// Removes ended jobs whose retention time is over, at most `max`, and returns them.
    pub fn expire(&mut self, now: Now, max: usize) -> Vec<JobId> {
        let keep = self.rules.keep_ms;
        let due = self.ended_jobs.iter().take_while(|(at, _)| at + keep <= now.wall);
        let ids: Vec<(u64, JobId)> = due.take(max).copied().collect();
        let mut out = Vec::new();
        for entry in ids {
            let idle = self
                .jobs
                .get(&entry.1)
                .is_none_or(|j| !j.runs() && j.storing.is_none() && j.stored == j.rev);
            if idle {
                self.ended_jobs.remove(&entry);
                self.jobs.remove(&entry.1);
                self.unacked_on.remove(&entry.1);
                out.push(entry.1);
            }
        }
        out
    }
}
