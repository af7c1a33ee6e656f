//! State of a job: its steps, their tasks and where they run.

use super::gangs::Broken;
use super::runs::{Run, Stage};
use super::store_backlog::Unstored;
use super::teams::TeamKey;
use super::RunnerKey;
use crate::control::model::{Attempt, JobId, JobState, Queue, Step, StepId, TaskId};
use crate::control::policy::crashes::Losses;
use crate::control::policy::speeds::Timing;
use crate::control::queue_row::QueueRow;
use crate::control::rows::JobRow;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A task of a job.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Number of its last start.
    pub attempt: Attempt,
    /// Number of runs that failed.
    pub fails: u32,
    /// Whether it, or its gang, has completed.
    pub done: bool,
    /// Newest checkpoint; empty if there is none.
    pub saved: String,
    /// Its current run, from the placement until the run is over; `None` if there is none.
    pub run: Option<Run>,
    /// Runners on which it failed or made no progress; others are preferred.
    pub avoid: BTreeSet<RunnerKey>,
    /// Consecutive runs that were lost with their runners.
    pub losses: Losses,
    /// When the latest of [`Self::losses`] was recorded, local ms.
    pub lost_at: u64,
    /// Number of times that it was preempted, at most; see [`Job::assume_preempted`].
    pub preemptions: u32,
    /// Attempts that were written off and whose completion may yet be reported. Empty for a member
    /// of a gang, see [`StepRun::unreported`].
    pub unreported: BTreeSet<Attempt>,
}

impl Task {
    /// Whether it has to be placed.
    pub fn waits(&self) -> bool {
        !self.done && self.run.is_none()
    }
}

/// Results of advice requests for a step.
#[derive(Clone, Debug, Default)]
pub struct Approvals {
    /// Approved runners: their ticket and its end, local ms.
    pub tickets: BTreeMap<RunnerKey, (String, u64)>,
    /// Runners that may not run the step.
    pub denied: BTreeSet<RunnerKey>,
    /// Number of pending advice requests.
    pub pending: u32,
    /// Consecutive advice requests that were refused because the service was busy.
    pub refusals: u32,
    /// No advice request is sent before this time, local ms.
    pub retry_at: u64,
}

/// In [`StepRun::unreported`]: the gang does not wait for the completion, which counts all the same.
pub const NO_WAIT: u64 = 0;

/// A step of one occurrence of a job.
#[derive(Clone, Debug)]
pub struct StepRun {
    /// Its id.
    pub id: StepId,
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Number of failed attempts of the gang.
    pub gang_fails: u32,
    /// Attempt of the gang's last failure.
    pub failed_attempt: Attempt,
    /// Members of the gang that ended because another had.
    pub broken: Broken,
    /// Attempts of the gang with a member whose completion was not received, each of which may have
    /// been a failure, and until when the gang waits for it, local ms: the end of the lease of that
    /// member's runner, or [`NO_WAIT`].
    pub unreported: BTreeMap<Attempt, u64>,
    /// Results of advice requests.
    pub approvals: Approvals,
    /// When it could first be placed, local ms.
    pub opened: u64,
    /// When preemption for it was last attempted, local ms.
    pub preempt_tried: u64,
    /// Longest run time of its completed tasks so far, ms; for a gang, since all members were
    /// running.
    pub run_ms: u64,
    /// Run times of its completed tasks, by runner, from which speeds are learned.
    pub timings: Vec<Timing<RunnerKey>>,
}

impl StepRun {
    fn new(id: StepId, count: u32) -> Self {
        Self {
            id,
            tasks: vec![Task::default(); count as usize],
            gang_fails: 0,
            failed_attempt: Attempt::default(),
            broken: Broken::default(),
            unreported: BTreeMap::new(),
            approvals: Approvals::default(),
            opened: 0,
            preempt_tried: 0,
            run_ms: 0,
            timings: Vec::new(),
        }
    }

    /// Whether all its tasks are done.
    pub fn done(&self) -> bool {
        self.tasks.iter().all(|t| t.done)
    }

    /// Whether any task has to be placed.
    pub fn waits(&self) -> bool {
        self.tasks.iter().any(Task::waits)
    }

    /// Ids of its tasks.
    pub fn ids(&self) -> impl Iterator<Item = TaskId> {
        let step = self.id;
        (0..self.tasks.len() as u32).map(move |index| TaskId { step, index })
    }
}

/// A job and its progress.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job as submitted.
    pub row: Arc<JobRow>,
    /// Last definition of its queue, see [`ProgressRow::definition`].
    ///
    /// [`ProgressRow::definition`]: crate::control::rows::ProgressRow::definition
    pub(super) last_definition: Option<QueueRow>,
    /// Its team; none if it was submitted without a key.
    pub team: Option<TeamKey>,
    /// Whether it is beyond its team's share.
    pub excess: bool,
    /// State shown to callers once it is stored.
    pub state: JobState,
    /// When it ended, Unix ms; 0 before.
    pub ended: u64,
    /// Steps, ordered by occurrence; empty once a job has ended and none of its tasks runs.
    pub steps: Vec<StepRun>,
    /// Revision of its progress; increases with every change.
    pub rev: u64,
    /// Newest revision known to be stored.
    pub stored: u64,
    /// Revision that is being stored.
    pub storing: Option<u64>,
    /// Its placements that are not stored.
    pub unstored: Option<Unstored>,
    /// Version of its progress row in the store.
    pub version: u64,
    /// Whether a write of its progress got no answer, and may have been applied.
    pub unanswered: bool,
    /// Length of the critical path from each step on, ms.
    pub path_ms: Vec<u64>,
    /// Length of the critical path of the whole job, ms.
    pub longest: u64,
}

impl Job {
    /// A job of which nothing has started.
    pub(super) fn new(id: JobId, row: Arc<JobRow>) -> Self {
        let steps = (0..row.spec.occurrences())
            .flat_map(|k| (0..row.spec.steps.len()).map(move |s| (k, s)))
            .map(|(occurrence, s)| {
                let id = StepId { job: id, occurrence, step: s as u32 };
                StepRun::new(id, row.spec.steps[s].count)
            })
            .collect();
        let (state, ended) = (JobState::Queued, 0);
        Self {
            row,
            last_definition: None,
            team: None,
            excess: false,
            state,
            ended,
            steps,
            rev: 0,
            stored: 0,
            storing: None,
            unstored: None,
            version: 0,
            unanswered: false,
            path_ms: Vec::new(),
            longest: 0,
        }
    }

    fn index(&self, id: StepId) -> usize {
        id.occurrence as usize * self.row.spec.steps.len() + id.step as usize
    }

    /// A step by its id.
    pub fn step(&self, id: StepId) -> Option<&StepRun> {
        self.steps.get(self.index(id)).filter(|s| s.id == id)
    }

    /// A step by its id, mutably.
    pub fn step_mut(&mut self, id: StepId) -> Option<&mut StepRun> {
        let i = self.index(id);
        self.steps.get_mut(i).filter(|s| s.id == id)
    }

    /// Specification of a step.
    pub fn spec(&self, id: StepId) -> &Step {
        &self.row.spec.steps[id.step as usize]
    }

    /// Whether the steps that `id` depends on are done.
    pub fn ready(&self, id: StepId) -> bool {
        let after = &self.spec(id).after;
        after.iter().all(|&step| self.step(StepId { step, ..id }).is_some_and(StepRun::done))
    }

    /// Latest revision that stores one of its unstored placements; `None` if all are stored.
    pub fn newest_placement(&self) -> Option<u64> {
        let runs = self.steps.iter().flat_map(|s| &s.tasks).filter_map(|t| t.run.as_ref());
        let unstored = runs.filter_map(|r| match r.stage {
            Stage::Storing { rev } => Some(rev),
            _ => None,
        });
        unstored.max()
    }

    /// Counts each start of earlier leaders whose run is over, but for failures, as a preemption: how
    /// many there were is not stored.
    pub(super) fn assume_preempted(&mut self) {
        for task in self.steps.iter_mut().flat_map(|s| &mut s.tasks) {
            let not_preempted = task.fails + u32::from(task.run.is_some());
            task.preemptions = task.attempt.0.saturating_sub(not_preempted);
        }
    }

    /// Whether any task runs or may run.
    pub fn runs(&self) -> bool {
        self.steps.iter().any(|s| s.tasks.iter().any(|t| t.run.is_some()))
    }

    /// Time from its begin within which it has to end to meet its objective, ms.
    pub fn objective(&self, queue: &Queue) -> u64 {
        (self.longest as f64 * queue.slack) as u64 + queue.latency_ms
    }

    /// When work on an occurrence could begin, Unix ms.
    pub fn begin(&self, occurrence: u32) -> u64 {
        self.row.spec.due(occurrence).unwrap_or(self.row.at)
    }
}
