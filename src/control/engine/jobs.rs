//! What is known of a job: its steps, their tasks and where they run.

use super::gangs::Broken;
use super::runs::{Run, Stage};
use super::storing::Unstored;
use super::RunnerKey;
use crate::control::crashes::Losses;
use crate::control::model::{Attempt, JobId, JobState, Queue, Step, StepId, TaskId};
use crate::control::rows::JobRow;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A task of a job.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Number of its last start.
    pub attempt: Attempt,
    /// Runs that ended failed.
    pub fails: u32,
    /// It has ended done, or its gang has.
    pub done: bool,
    /// Newest checkpoint; empty for none.
    pub saved: String,
    /// Where it runs, may run or is about to run.
    pub run: Option<Run>,
    /// Runners on which it failed or stood still; it goes elsewhere if it can.
    pub avoid: BTreeSet<RunnerKey>,
    /// Runs in a row that were lost with their runners.
    pub losses: Losses,
    /// It has been stopped once to make room for others.
    pub yielded: bool,
}

impl Task {
    /// Whether it has to be placed.
    pub fn waits(&self) -> bool {
        !self.done && self.run.is_none()
    }
}

/// What is known of a queue's policy for a step.
#[derive(Clone, Debug, Default)]
pub struct Approvals {
    /// Approved runners: their ticket and its end, local ms.
    pub tickets: BTreeMap<RunnerKey, (String, u64)>,
    /// Runners that may not run the step.
    pub denied: BTreeSet<RunnerKey>,
    /// Questions on their way.
    pub asking: u32,
    /// Questions in a row that were refused because too many waited.
    pub refusals: u32,
    /// No question before this, local ms.
    pub retry_at: u64,
}

/// A step of one occurrence of a job.
#[derive(Clone, Debug)]
pub struct StepRun {
    /// Its id.
    pub id: StepId,
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Failures of the gang.
    pub gang_fails: u32,
    /// Attempt of the gang's last failure.
    pub failed_attempt: Attempt,
    /// Members of the gang that ended because another had.
    pub broken: Broken,
    /// Attempts of the gang whose end was not seen, each of which may have been a failure, and
    /// when the lease of the runner that did not show it is over, local ms.
    pub unseen: BTreeMap<Attempt, u64>,
    /// What the queue's policy allows.
    pub approvals: Approvals,
    /// When it could first be placed, local ms.
    pub opened: u64,
    /// When room was last tried to be made for it, local ms.
    pub tried_at: u64,
    /// Longest that one of its tasks took so far, ms; of a gang, from when it was whole.
    pub took: u64,
}

impl StepRun {
    fn new(id: StepId, count: u32) -> Self {
        Self {
            id,
            tasks: vec![Task::default(); count as usize],
            gang_fails: 0,
            failed_attempt: Attempt::default(),
            broken: Broken::default(),
            unseen: BTreeMap::new(),
            approvals: Approvals::default(),
            opened: 0,
            tried_at: 0,
            took: 0,
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

/// A job and how far it has come.
#[derive(Clone, Debug)]
pub struct Job {
    /// As submitted.
    pub row: Arc<JobRow>,
    /// State shown to callers once stored.
    pub state: JobState,
    /// When it ended, Unix ms.
    pub ended: u64,
    /// Steps, occurrence by occurrence; empty once an ended job has nothing left running.
    pub steps: Vec<StepRun>,
    /// Rises with every change.
    pub rev: u64,
    /// Newest revision known to be stored.
    pub stored: u64,
    /// Revision being stored.
    pub storing: Option<u64>,
    /// Its placements that are not stored.
    pub unstored: Option<Unstored>,
    /// Version of its row in the store.
    pub version: u64,
    /// Longest chain of work expected from each step on, ms.
    pub tails: Vec<u64>,
    /// Longest chain of all, ms.
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
            state,
            ended,
            steps,
            rev: 0,
            stored: 0,
            storing: None,
            unstored: None,
            version: 0,
            tails: Vec::new(),
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

    /// What a step asks for.
    pub fn spec(&self, id: StepId) -> &Step {
        &self.row.spec.steps[id.step as usize]
    }

    /// Whether the steps that `id` waits for are done.
    pub fn ready(&self, id: StepId) -> bool {
        let after = &self.spec(id).after;
        after.iter().all(|&step| self.step(StepId { step, ..id }).is_some_and(StepRun::done))
    }

    /// Revision that stores the last of its placements that are not stored, if there are any.
    pub fn newest_placement(&self) -> Option<u64> {
        let runs = self.steps.iter().flat_map(|s| &s.tasks).filter_map(|t| t.run.as_ref());
        let unstored = runs.filter_map(|r| match r.stage {
            Stage::Storing { rev } => Some(rev),
            _ => None,
        });
        unstored.max()
    }

    /// Whether any task runs or may run.
    pub fn runs(&self) -> bool {
        self.steps.iter().any(|s| s.tasks.iter().any(|t| t.run.is_some()))
    }

    /// Time in which it earns all it can, ms.
    pub fn objective(&self, queue: &Queue) -> u64 {
        (self.longest as f64 * queue.slack) as u64 + queue.latency_ms
    }

    /// When work on an occurrence could begin, Unix ms.
    pub fn begin(&self, occurrence: u32) -> u64 {
        self.row.spec.due(occurrence).unwrap_or(self.row.at)
    }
}
