//! Incarnations of runners. A runner may start again under the id that it had: it then runs
//! nothing, and has seen no fencing token and no order; its clock and the numbers of its
//! completions start anew.
//!
//! Everything that is known about a runner is therefore kept for one incarnation, under its own
//! [`RunnerKey`]. Which incarnation is alive follows only from the answers to polls: a runner has
//! one poll at a time, so that an answer with another start time comes from a later incarnation.
//! The registry may lag behind: its entry of another incarnation excludes the runner from new tasks
//! until a poll has been answered.

use super::losses::Loss;
use super::runs::Stage;
use super::{Engine, Now, RunnerKey};
use crate::control::model::{Attempt, Born, TaskId};
use crate::control::ports::Report;
use std::collections::BTreeSet;

impl Engine {
    /// The incarnation whose answer to a poll of `k` this is: `k`, or one that is new.
    pub(super) fn answering_incarnation(
        &mut self,
        k: RunnerKey,
        report: &Report,
        now: Now,
    ) -> RunnerKey {
        let runner = self.runners.get_mut(k);
        match (runner.born, report.born) {
            (Some(known), Some(born)) if known != born => self.replace(k, born, report, now),
            (known, born) => {
                runner.born = known.or(born);
                k
            }
        }
    }

    /// Puts a new incarnation in the place of `k`, with the runs that it reports. The other runs are
    /// lost.
    fn replace(&mut self, k: RunnerKey, born: Born, report: &Report, now: Now) -> RunnerKey {
        let hold_max_ms = self.rules.hold_max_ms;
        let last = self.runners.get_mut(k);
        log::info!(runner = last.id, tasks = last.tasks.len(), born = born.0,
            was_born:? = last.born.map(|b| b.0), clock = report.clock,
            was_clock:? = last.clock.map(|(c, _)| c), last_completion = last.last_completion;
            "runner replaced by another life");
        metrics::counter!("control_runner_restarts").increment(1);
        let next = last.successor(born, report.clock + hold_max_ms);
        last.listed = false;
        last.replaced = true;
        let id = next.id.clone();
        let next = self.runners.push(next);
        self.by_id.insert(id, next);
        let reported: BTreeSet<(TaskId, Attempt)> = report
            .active
            .iter()
            .map(|a| (a.task, a.attempt))
            .chain(report.ends.iter().map(|e| (e.task, e.attempt)))
            .collect();
        let mut lost = Vec::new();
        for (id, attempt) in self.runners.get(k).tasks.keys().copied().collect::<Vec<_>>() {
            let Some(run) = self.run_mut(k, id, attempt) else { continue };
            match run.stage == Stage::Inherited || reported.contains(&(id, attempt)) {
                true => self.move_run(id, next),
                false => lost.push(id),
            }
        }
        self.record_lost(k, &lost, Loss::OtherIncarnation, now);
        self.mark_lost(k, &lost, now);
        next
    }

    /// Moves a run, and the capacity allocated to it, to another incarnation of its runner.
    fn move_run(&mut self, id: TaskId, to: RunnerKey) {
        let Some(task) = self.task_mut(id) else { return };
        let (attempt, losses) = (task.attempt, task.losses);
        let Some(run) = task.run.as_mut() else { return };
        let from = std::mem::replace(&mut run.runner, to);
        if let Some(need) = self.runners.get_mut(from).deallocate(id, attempt) {
            self.runners.get_mut(to).allocate(id, attempt, need, losses);
        }
    }
}
