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
use super::runs::{Run, Stage, StopReason};
use super::{Engine, Now, RunnerKey};
use crate::control::model::{Attempt, Born, TaskId};
use crate::control::ports::Report;
use std::collections::BTreeSet;

/// What becomes of a run when another incarnation of its runner answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It is over: no order that could start it again is on its way.
    Over,
    /// The report of the new incarnation tells.
    Reported,
    /// An order may yet start it on the new incarnation.
    Undecided,
}

/// What becomes of `run`; `listed` is whether the report of the new incarnation lists it or its
/// completion.
fn fate(run: &Run, listed: bool) -> Fate {
    match run.stage {
        _ if listed => Fate::Reported,
        // The poll has fenced off the orders of predecessors.
        Stage::Inherited { .. } => Fate::Reported,
        Stage::Storing { .. } => Fate::Over,
        _ if run.settled() => Fate::Over,
        Stage::Sent | Stage::Running { .. } | Stage::Stopping { .. } => Fate::Undecided,
    }
}

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

    /// Puts a new incarnation in the place of `k`, with the runs that it reports or may yet start.
    /// The other runs are lost.
    fn replace(&mut self, k: RunnerKey, born: Born, report: &Report, now: Now) -> RunnerKey {
        let hold_max_ms = self.rules.hold_max_ms;
        let last = self.runners.get_mut(k);
        log::info!(runner = last.id, tasks = last.tasks.len(), born = born.0,
            was_born:? = last.born.map(|b| b.0), clock = report.clock,
            was_clock:? = last.clock.map(|(c, _)| c), last_completion = last.completions.highest;
            "runner replaced by another life");
        metrics::counter!("control_runner_restarts").increment(1);
        let successor = last.successor(born, report.clock + hold_max_ms);
        last.listed = false;
        last.replaced = true;
        let id = successor.id.clone();
        let next = self.runners.push(successor);
        self.by_id.insert(id, next);
        let reported: BTreeSet<(TaskId, Attempt)> = report
            .active
            .iter()
            .map(|a| (a.task, a.attempt))
            .chain(report.ends.iter().map(|e| (e.task, e.attempt)))
            .collect();
        let (mut over, mut undecided) = (Vec::new(), Vec::new());
        for (id, attempt) in self.runners.get(k).tasks.keys().copied().collect::<Vec<_>>() {
            let Some(run) = self.run_mut(k, id, attempt) else { continue };
            match fate(run, reported.contains(&(id, attempt))) {
                Fate::Over => over.push(id),
                Fate::Reported => self.move_run(id, next),
                Fate::Undecided => undecided.push(id),
            }
        }
        let lost: Vec<TaskId> = over.iter().chain(&undecided).copied().collect();
        self.record_lost(k, &lost, Loss::OtherIncarnation, now);
        for id in undecided {
            self.move_run(id, next);
            self.stop_undecided(id, now);
        }
        self.mark_lost(k, &over, now);
        next
    }

    /// Moves a run, and the capacity allocated to it, to another incarnation of its runner. What the
    /// last incarnation confirmed of the run does not hold for this one. A stop that it acknowledged
    /// is sent again.
    fn move_run(&mut self, id: TaskId, to: RunnerKey) {
        let Some(task) = self.task_mut(id) else { return };
        let (attempt, losses) = (task.attempt, task.losses);
        let Some(run) = task.run.as_mut() else { return };
        let from = run.runner;
        run.move_to(to);
        if run.stage == (Stage::Stopping { answered: None }) {
            self.stopping.insert(id);
        }
        if let Some(allocation) = self.deallocate(from, id, attempt) {
            self.put_allocation(to, id, attempt, allocation, losses);
        }
    }

    /// Stops a run that has not begun on the new incarnation of its runner, so that no order on its
    /// way starts it there. Its task may start elsewhere once the stop is acknowledged.
    fn stop_undecided(&mut self, id: TaskId, now: Now) {
        self.order_stop(id, StopReason::Restarted, now);
    }
}
