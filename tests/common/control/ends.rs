//! Starts that must not follow the end of a run: after one that is done, or after as many failed
//! ones as the queue allows. An end counts once it is acknowledged, also if that is after the start.

use super::Cell;
use currantgw::control::model::{Attempt, Born, EndKind, TaskId};
use currantgw::control::ports;
use std::collections::BTreeMap;

/// A run that has ended.
struct EndedRun {
    born: Born,
    runner: usize,
    attempt: Attempt,
    kind: EndKind,
    acknowledged: bool,
}

/// Runs that have ended, and starts after them.
#[derive(Default)]
pub struct Ends {
    runs: BTreeMap<TaskId, Vec<EndedRun>>,
    /// Starts of tasks of which runs had ended: time, ms, task, and the number of those runs.
    restarts: Vec<(u64, TaskId, usize)>,
}

impl Cell {
    /// Collects the runs that have ended on the runners.
    fn collect_ended(&mut self) {
        for (runner, r) in self.runners.iter_mut().enumerate() {
            for (task, attempt, kind) in r.ended.drain(..) {
                let run = EndedRun { born: r.born, runner, attempt, kind, acknowledged: false };
                self.ends.runs.entry(task).or_default().push(run);
            }
        }
    }

    /// Records the start of a task of which other runs may have ended.
    pub(super) fn record_restart(&mut self, task: TaskId) {
        self.collect_ended();
        if let Some(runs) = self.ends.runs.get(&task) {
            self.ends.restarts.push((self.now, task, runs.len()));
        }
    }

    /// Records acknowledged completions of runner `i`.
    pub(super) fn note_ends(&mut self, i: usize, ends: &[ports::End]) {
        self.collect_ended();
        let born = self.runners[i].born;
        for end in ends {
            let runs = self.ends.runs.get_mut(&end.task).into_iter().flatten();
            runs.filter(|r| (r.runner, r.born, r.attempt) == (i, born, end.attempt))
                .for_each(|r| r.acknowledged = true);
        }
    }

    /// Starts after an acknowledged end that forbids them.
    pub(super) fn forbidden_starts(&self) -> Vec<String> {
        let forbidden = |(at, task, ended): &(u64, TaskId, usize)| {
            let row = &self.jobs[&task.step.job];
            let step = &row.spec.steps[task.step.step as usize];
            if step.lasts || step.copies {
                return None;
            }
            let runs = &self.ends.runs[task][..*ended];
            let count = |kind| runs.iter().filter(|r| r.acknowledged && r.kind == kind).count();
            let limit = self.cat.queues[&row.queue].max_fails as usize;
            if count(EndKind::Done) > 0 {
                Some(format!("{at}: {task} starts after a run that was done"))
            } else if count(EndKind::Failed) >= limit {
                Some(format!("{at}: {task} starts after {limit} failures"))
            } else {
                None
            }
        };
        self.ends.restarts.iter().filter_map(forbidden).collect()
    }
}
