//! Standing jobs: jobs of which nothing runs although the turn of a step has come, and what each of
//! them waits for. They are logged and counted; nothing is decided here.

use super::runs::Stage;
use super::{Engine, Job, Now, Task};
use crate::control::model::{JobId, StepId};
use std::collections::BTreeMap;

/// Interval between two checks, ms.
const CHECK_MS: u64 = 1_000;

/// A job counts as standing once nothing of it has run for this long, ms: callers may rely on a shorter
/// time where there is capacity.
const STANDING_MS: u64 = 3_000;

/// Maximum number of jobs that a check logs one by one.
const MAX_LOGGED: usize = 8;

/// What a standing job waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    /// The end of the leases of a runner that does not answer.
    Lease,
    /// The store, for a placement.
    Store,
    /// The confirmation of a start or a stop.
    Runner,
    /// A definition of its queue.
    Queue,
    /// The end of an overload.
    Deferred,
    /// Other runners, since no set of those there are could hold the step.
    Unplaceable,
    /// An answer of the advice service.
    Advice,
    /// The time of the next advice request.
    AdviceRetry,
    /// Free capacity on a runner that the step may use.
    Capacity,
}

impl Wait {
    const ALL: [Self; 9] = [
        Self::Lease,
        Self::Store,
        Self::Runner,
        Self::Queue,
        Self::Deferred,
        Self::Unplaceable,
        Self::Advice,
        Self::AdviceRetry,
        Self::Capacity,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Lease => "lease",
            Self::Store => "store",
            Self::Runner => "runner",
            Self::Queue => "queue",
            Self::Deferred => "deferred",
            Self::Unplaceable => "unplaceable",
            Self::Advice => "advice",
            Self::AdviceRetry => "advice retry",
            Self::Capacity => "capacity",
        }
    }
}

/// Jobs of which nothing runs.
#[derive(Debug, Default)]
pub(super) struct Standing {
    /// Since when nothing of a job runs, local ms, as far as checks have shown, and whether that was
    /// logged.
    jobs: BTreeMap<JobId, (u64, bool)>,
    /// Number of standing jobs by what they wait for.
    counts: BTreeMap<&'static str, usize>,
    next_check: u64,
}

impl Engine {
    /// Number of standing jobs, by what they wait for.
    pub fn standing_jobs(&self) -> &BTreeMap<&'static str, usize> {
        &self.standing.counts
    }

    /// Logs the jobs that have become standing, and counts all of them by what they wait for.
    pub(super) fn check_standing(&mut self, now: Now) {
        if now.mono < self.standing.next_check {
            return;
        }
        self.standing.next_check = now.mono + CHECK_MS;
        let waits: BTreeMap<JobId, (StepId, Wait)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.state.ended())
            .filter_map(|(id, job)| Some((*id, self.wait_of(job, now)?)))
            .collect();
        let mut standing = std::mem::take(&mut self.standing.jobs);
        standing.retain(|id, _| waits.contains_key(id));
        let (mut counts, mut logged) = (BTreeMap::new(), 0);
        for (id, (step, wait)) in waits {
            let (since, known) = standing.entry(id).or_insert((now.mono, false));
            if *since + STANDING_MS > now.mono {
                continue;
            }
            *counts.entry(wait.name()).or_default() += 1;
            if !*known && logged < MAX_LOGGED {
                (*known, logged) = (true, logged + 1);
                self.log_standing(step, wait, now.mono - *since, now);
            }
        }
        self.standing.jobs = standing;
        for wait in Wait::ALL {
            let jobs = counts.get(wait.name()).copied().unwrap_or(0);
            metrics::gauge!("control_standing_jobs", "wait" => wait.name()).set(jobs as f64);
        }
        self.standing.counts = counts;
    }

    fn log_standing(&self, step: StepId, wait: Wait, ms: u64, now: Now) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(s) = job.step(step) else { return };
        let lease_ms = s.tasks.iter().filter_map(|t| self.lease_remaining_ms(t, now)).max();
        log::warn!(step:% = step, queue = job.row.queue, wait = wait.name(), ms, lease_ms:?,
            tasks = s.tasks.iter().filter(|t| t.waits()).count(),
            approved = s.approvals.tickets.len(), denied = s.approvals.denied.len(),
            cat = self.cat.version; "nothing of a job runs");
    }

    /// Time until the leases have expired of the silent runner on which a task may run, ms; `None` if
    /// it may run on no such runner.
    fn lease_remaining_ms(&self, task: &Task, now: Now) -> Option<u64> {
        let runner = self.runners.get(task.run.as_ref()?.runner);
        let silent = runner.clock.is_none() || runner.unanswered_since.is_some();
        let end = runner.lease_end(self.prior_end);
        silent.then(|| end.saturating_sub(now.mono))
    }

    /// The first step of a job whose turn has come, and what it waits for; `None` if a task of the job
    /// runs, or no step's turn has come.
    fn wait_of(&self, job: &Job, now: Now) -> Option<(StepId, Wait)> {
        let mut first = None;
        for step in job.steps.iter().filter(|s| !s.done()) {
            for task in &step.tasks {
                let wait = match task.run.as_ref().map(|run| run.stage) {
                    None => continue,
                    Some(Stage::Storing { .. }) => Wait::Store,
                    Some(_) if self.lease_remaining_ms(task, now).is_some() => Wait::Lease,
                    Some(Stage::Running { .. }) => return None,
                    Some(_) => Wait::Runner,
                };
                first = first.or(Some((step.id, wait)));
            }
            let due = job.row.spec.due(step.id.occurrence).is_none_or(|due| due <= now.wall);
            if first.is_none() && due && step.waits() && job.ready(step.id) {
                first = Some((step.id, self.wait_of_step(job, step.id, now)));
            }
        }
        first
    }

    /// What a step waits for of which no task has a run.
    fn wait_of_step(&self, job: &Job, id: StepId, now: Now) -> Wait {
        let approvals = job.step(id).map(|s| &s.approvals);
        match approvals {
            _ if !self.cat.queues.contains_key(&job.row.queue) => Wait::Queue,
            _ if self.deferral.contains(id) => Wait::Deferred,
            _ if self.is_unplaceable(id) => Wait::Unplaceable,
            Some(a) if a.pending > 0 => Wait::Advice,
            Some(a) if a.retry_at > now.mono => Wait::AdviceRetry,
            _ => Wait::Capacity,
        }
    }
}
