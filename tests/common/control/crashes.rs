//! Tasks that crash the runners that start them, and runners that come back as another life.

use super::{Cell, Event};
use currantgw::control::model::{JobId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// A crashed runner is back after this long, ms.
const BACK_MS: u64 = 3_000;

/// Crashes after which a task may be started [`MORE_STARTS`] times more.
const CRASHES: u32 = 3;
/// See [`CRASHES`].
const MORE_STARTS: u32 = 2;

/// What crashes runners, and what has been crashed.
#[derive(Default)]
pub struct Crashes {
    /// Jobs of which the first task of each step crashes its runner.
    pub jobs: BTreeSet<JobId>,
    /// ... this long after its start, ms.
    pub after: u64,
    /// Crashes under each task, and its starts after the third.
    under: BTreeMap<TaskId, (u32, u32)>,
}

impl Crashes {
    /// Crashes under a task.
    pub fn under(&self, task: TaskId) -> u32 {
        self.under.get(&task).map_or(0, |(crashes, _)| *crashes)
    }

    fn crashes(&self, task: &TaskId) -> bool {
        task.index == 0 && self.jobs.contains(&task.step.job)
    }
}

impl Cell {
    /// A runner crashes and comes back with nothing running, as another life.
    pub fn crash_for_a_while(&mut self, i: usize) {
        let tasks: Vec<TaskId> = self.runners[i].running.keys().copied().collect();
        for task in tasks {
            self.crashes.under.entry(task).or_default().0 += 1;
        }
        self.crash(i);
        self.at(BACK_MS, Event::Back(i));
    }

    /// The runner's machine is up again: another life answers at its address.
    pub(super) fn comes_back(&mut self, i: usize) {
        self.runners[i].replaced = true;
        self.register(i, false);
        self.add_runner();
    }

    /// Crashes runners under the tasks that do so.
    pub(super) fn crash_runners(&mut self) {
        let due = self.now.saturating_sub(self.crashes.after);
        let hit: Vec<usize> = (0..self.runners.len())
            .filter(|&i| self.runners[i].up)
            .filter(|&i| {
                let mut runs = self.runners[i].running.iter();
                runs.any(|(task, x)| x.began <= due && self.crashes.crashes(task))
            })
            .collect();
        hit.into_iter().for_each(|i| self.crash_for_a_while(i));
    }

    /// Notes the start of a task that has crashed its runners too often.
    pub(super) fn judge_crashes(&mut self, task: TaskId) {
        if !self.crashes.crashes(&task) {
            return;
        }
        let (crashes, starts) = self.crashes.under.entry(task).or_default();
        if *crashes < CRASHES {
            return;
        }
        *starts += 1;
        if *starts > MORE_STARTS {
            self.broken.push(format!("{}: {task} started after {crashes} crashes", self.now));
        }
    }
}
