//! Conversion between a job's progress and its row in the store, which each commit writes and a new
//! leader reads.

use super::runs::{Run, Stage};
use super::{Job, Runner, RunnerKey, StepRun, Task};
use crate::control::policy::crashes::Losses;
use crate::control::rows::{ProgressRow, StepRow, TaskRow};
use std::collections::BTreeMap;

impl Job {
    /// Applies a stored row. The leases that predecessors sent have expired at `leases_end`, local
    /// ms.
    pub(super) fn load(
        &mut self,
        p: &ProgressRow,
        leases_end: u64,
        runner: &mut impl FnMut(&str) -> RunnerKey,
    ) {
        self.state = p.state;
        self.ended = p.ended;
        self.last_definition.clone_from(&p.definition);
        if p.steps.is_empty() && p.state.ended() {
            self.steps.clear();
        }
        for (step, row) in self.steps.iter_mut().zip(&p.steps) {
            let StepRow(fails, attempt, tasks, unreported) = row;
            step.unreported = unreported.iter().map(|a| (*a, leases_end)).collect();
            step.gang_fails = *fails;
            step.failed_attempt = *attempt;
            for (task, row) in step.tasks.iter_mut().zip(tasks) {
                let TaskRow(attempt, fails, done, id, saved, lost, born) = row;
                task.attempt = *attempt;
                task.fails = *fails;
                task.done = *done;
                task.saved.clone_from(saved);
                task.losses = Losses::with_count(*lost);
                task.run = (!id.is_empty())
                    .then(|| Run::new(runner(id), Stage::Inherited { born: *born }));
            }
        }
        for (step, tasks) in &p.unreported {
            let Some(step) = self.steps.get_mut(*step as usize) else { continue };
            for (task, attempts) in tasks {
                if let Some(task) = step.tasks.get_mut(*task as usize) {
                    task.unreported.clone_from(attempts);
                }
            }
        }
    }

    /// The row to store. It is written whole at each change, so that it holds no checkpoints that no
    /// start will need: those of tasks that are done, and of a gang all but the newest, from which
    /// every member may continue.
    pub(super) fn progress<'a>(&self, runner: impl Fn(RunnerKey) -> &'a Runner) -> ProgressRow {
        let task = |t: &Task, saved: String| {
            let on = t.run.as_ref().map(|r| runner(r.runner));
            let (id, born) = on.map_or((String::new(), None), |r| (r.id.clone(), r.born));
            TaskRow(t.attempt, t.fails, t.done, id, saved, t.losses.count, born)
        };
        let step = |s: &StepRun| {
            let gang = self.spec(s.id).gang;
            let newest = s.tasks.iter().filter(|t| !t.done).map(|t| &t.saved).max();
            let saved = |n: usize, t: &Task| match (gang, newest) {
                (true, Some(newest)) if n == 0 => newest.clone(),
                (false, _) if !t.done => t.saved.clone(),
                _ => String::new(),
            };
            let tasks = s.tasks.iter().enumerate().map(|(n, t)| task(t, saved(n, t))).collect();
            let unreported = s.unreported.keys().copied().collect();
            StepRow(s.gang_fails, s.failed_attempt, tasks, unreported)
        };
        let of_tasks = |s: &StepRun| {
            let tasks = s.tasks.iter().zip(0..).filter(|(t, _)| !t.unreported.is_empty());
            tasks.map(|(t, index)| (index, t.unreported.clone())).collect::<BTreeMap<_, _>>()
        };
        let unreported = self.steps.iter().map(of_tasks).zip(0..).filter(|(t, _)| !t.is_empty());
        ProgressRow {
            state: self.state,
            ended: self.ended,
            steps: self.steps.iter().map(step).collect(),
            unreported: unreported.map(|(tasks, index)| (index, tasks)).collect(),
            definition: self.last_definition.clone(),
        }
    }
}
