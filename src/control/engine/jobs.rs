//! Jobs: taking them in, cancelling them, and what their state follows from.

use super::gangs::Broken;
use super::runs::{Run, Stage, StopWhy};
use super::{Engine, Now, RunnerKey};
use crate::control::model::{Attempt, JobId, JobState, Queue, Step, StepId, TaskId};
use crate::control::rows::{JobRow, ProgressRow, StepRow, TaskRow};
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
    /// A question is on its way.
    pub asking: bool,
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
    /// Version of its row in the store.
    pub version: u64,
    /// Longest chain of work expected from each step on, ms.
    pub tails: Vec<u64>,
    /// Longest chain of all, ms.
    pub longest: u64,
}

impl Job {
    fn new(id: JobId, row: Arc<JobRow>) -> Self {
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

    /// Takes over what the store knows; leases that a predecessor gave are over at `over`.
    fn load(&mut self, p: &ProgressRow, over: u64, runner: &mut impl FnMut(&str) -> RunnerKey) {
        self.state = p.state;
        self.ended = p.ended;
        if p.steps.is_empty() && p.state.ended() {
            self.steps.clear();
        }
        for (step, row) in self.steps.iter_mut().zip(&p.steps) {
            let StepRow(fails, attempt, tasks, unseen) = row;
            step.unseen = unseen.iter().map(|a| (*a, over)).collect();
            step.gang_fails = *fails;
            step.failed_attempt = *attempt;
            for (task, row) in step.tasks.iter_mut().zip(tasks) {
                let TaskRow(attempt, fails, done, id, saved) = row;
                task.attempt = *attempt;
                task.fails = *fails;
                task.done = *done;
                task.saved.clone_from(saved);
                task.run = (!id.is_empty()).then(|| Run::new(runner(id), Stage::Inherited));
            }
        }
    }

    /// The row to store.
    pub(super) fn progress(&self, name: impl Fn(RunnerKey) -> String) -> ProgressRow {
        let task = |t: &Task| {
            let id = t.run.as_ref().map_or(String::new(), |r| name(r.runner));
            TaskRow(t.attempt, t.fails, t.done, id, t.saved.clone())
        };
        let step = |s: &StepRun| {
            let tasks = s.tasks.iter().map(task).collect();
            let unseen = s.unseen.keys().copied().collect();
            StepRow(s.gang_fails, s.failed_attempt, tasks, unseen)
        };
        let steps = self.steps.iter().map(step).collect();
        ProgressRow { state: self.state, ended: self.ended, steps }
    }
}

impl Engine {
    /// Takes a job in, with what the store knows of its progress. A known job is left alone.
    pub fn add_job(
        &mut self,
        id: JobId,
        row: Arc<JobRow>,
        p: Option<(u64, ProgressRow)>,
        now: Now,
    ) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let mut job = Job::new(id, row);
        if let Some((version, p)) = &p {
            job.version = *version;
            let over = self.foreign_over();
            job.load(p, over, &mut |name| self.runner_named(name));
        }
        for step in &job.steps {
            for task in step.ids() {
                let t = &step.tasks[task.index as usize];
                if let Some(run) = &t.run {
                    let need = job.spec(step.id).demand();
                    self.runners.get_mut(run.runner).occupy(task, t.attempt, need);
                }
            }
        }
        // A successor comes to know all jobs of the last minutes at once, of which most have ended: a
        // line for each would take the place of those that tell of the takeover.
        if job.state.ended() {
            self.old.insert((job.ended, id));
        } else {
            log::info!(job:% = id, queue = job.row.queue, state = job.state.name(),
                version = job.version; "job known to the scheduler");
        }
        self.jobs.insert(id, job);
        self.forecast(id);
        self.open_steps_of(id, now);
        if p.is_some() {
            self.settle(id, now);
        }
    }

    /// A task of a job is known to have started. Only now the job counts as running: while its
    /// starts go unanswered, on a runner that has just been cut off, callers who ask how many jobs
    /// wait must be told of it.
    pub(super) fn begin(&mut self, id: JobId, occurrence: u32, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state != JobState::Queued {
            return;
        }
        job.state = JobState::Running;
        let waited = now.wall.saturating_sub(job.begin(occurrence));
        metrics::histogram!("control_wait_seconds", "queue" => job.row.queue.clone())
            .record(waited as f64 / 1000.0);
        self.touch_later(id, now);
    }

    /// Cancels a job, unless it has ended.
    pub fn cancel(&mut self, id: JobId, now: Now) {
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
        for step in ids {
            match job.row.spec.due(step.occurrence) {
                Some(due) if due > now.wall => {
                    self.timed.insert((due, id, step.occurrence));
                    continue;
                }
                _ => {}
            }
            if !job.ready(step) {
                continue;
            }
            let Some(s) = job.step_mut(step) else { continue };
            if !s.waits() || !self.open.insert(step) {
                continue;
            }
            self.stirred.insert(step);
            if s.opened == 0 {
                s.opened = now.mono;
            }
        }
    }

    /// Opens occurrences that have come due.
    pub(super) fn open_due(&mut self, now: Now) {
        while let Some(&(due, id, k)) = self.timed.first() {
            if due > now.wall {
                return;
            }
            self.timed.remove(&(due, id, k));
            self.open_steps_of(id, now);
        }
    }

    /// Ends a job in `state`: what runs is stopped, nothing more is placed.
    pub(super) fn finish(&mut self, id: JobId, state: JobState, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.state = state;
        job.ended = now.wall;
        self.old.insert((now.wall, id));
        let steps: Vec<StepId> = job.steps.iter().map(|s| s.id).collect();
        for step in steps {
            self.open.remove(&step);
            if state != JobState::Completed {
                self.stop_step(step, StopWhy::JobEnded, now);
            }
        }
        self.touch(id);
        self.shed(id);
    }

    /// Drops the steps of an ended job once nothing of it runs: its row shrinks to its state.
    fn shed(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state.ended() && !job.runs() && !job.steps.is_empty() {
            job.steps.clear();
            self.touch(id);
        }
    }

    /// Brings a job's state and open steps in line with its tasks.
    pub(super) fn settle(&mut self, id: JobId, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !job.state.ended() {
            let failed = self.cat.queues.get(&job.row.queue).map_or(u32::MAX, |q| q.max_fails);
            let spec = &job.row.spec;
            let hopeless = job.steps.iter().any(|s| {
                let step = &spec.steps[s.id.step as usize];
                let worst = s.tasks.iter().map(|t| t.fails).max().unwrap_or(0);
                !step.lasts && worst.max(s.gang_fails) >= failed
            });
            if hopeless {
                log::info!(job:% = id, limit = failed; "job failed: a task failed too often");
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
        self.shed(id);
    }

    /// Ended jobs whose time is up, at most `max`; they are forgotten here.
    pub fn expire(&mut self, now: Now, max: usize) -> Vec<JobId> {
        let keep = self.rules.keep_ms;
        let due = self.old.iter().take_while(|(at, _)| at + keep <= now.wall);
        let ids: Vec<(u64, JobId)> = due.take(max).copied().collect();
        let mut out = Vec::new();
        for entry in ids {
            let idle = self
                .jobs
                .get(&entry.1)
                .is_none_or(|j| !j.runs() && j.storing.is_none() && j.stored == j.rev);
            if idle {
                self.old.remove(&entry);
                self.jobs.remove(&entry.1);
                out.push(entry.1);
            }
        }
        out
    }
}
