//! Tasks that crash the runners that start them, and runners that come back as another incarnation.

use super::{Cell, Event};
use currantgw::control::model::{JobId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Time after which a crashed runner is back, ms.
const RESTART_MS: u64 = 3_000;

/// Number of crashes after which a task may be started only [`EXTRA_STARTS`] more times.
const MAX_CRASHES: u32 = 3;
/// Number of starts allowed after [`MAX_CRASHES`] crashes.
const EXTRA_STARTS: u32 = 2;

/// Tasks that crash runners, and the crashes so far.
#[derive(Default)]
pub struct Crashes {
    /// Jobs of which the first task of each step crashes its runner.
    pub jobs: BTreeSet<JobId>,
    /// Time from the start of such a task to the crash, ms.
    pub after: u64,
    /// Whether crashed runners start again under their ids, with clocks that start at 0.
    pub same_id: bool,
    /// Number of crashes of runners on which each task ran, and of its starts after [`MAX_CRASHES`]
    /// of them.
    counts: BTreeMap<TaskId, (u32, u32)>,
}

impl Crashes {
    /// Number of crashes of runners on which a task ran.
    pub fn count(&self, task: TaskId) -> u32 {
        self.counts.get(&task).map_or(0, |(crashes, _)| *crashes)
    }

    fn crashes_runner(&self, task: &TaskId) -> bool {
        task.index == 0 && self.jobs.contains(&task.step.job)
    }
}

impl Cell {
    /// Crashes a runner, which later comes back with nothing running: another incarnation, under a
    /// new id or, with [`Crashes::same_id`], under the same.
    pub fn crash_for_a_while(&mut self, i: usize) {
        let tasks: Vec<TaskId> = self.runners[i].running.keys().copied().collect();
        for task in tasks {
            self.crashes.counts.entry(task).or_default().0 += 1;
        }
        self.crash(i);
        self.schedule(RESTART_MS, Event::Restarted(i));
    }

    /// Restarts a crashed runner: another incarnation answers at its address.
    pub(super) fn restart(&mut self, i: usize) {
        if self.crashes.same_id {
            return self.start_again(i, 0);
        }
        self.runners[i].replaced = true;
        self.register(i, false);
        self.add_runner();
    }

    /// Starts a crashed runner again under its id, with a clock that starts at `clock`, ms.
    pub fn start_again(&mut self, i: usize, clock: u64) {
        self.runners[i].start_again(self.now, clock);
        self.register(i, true);
    }

    /// Crashes the runners on which a task that crashes its runner has run for `Crashes::after`.
    pub(super) fn crash_runners(&mut self) {
        let due = self.now.saturating_sub(self.crashes.after);
        let hit: Vec<usize> = (0..self.runners.len())
            .filter(|&i| self.runners[i].exists)
            .filter(|&i| {
                let mut runs = self.runners[i].running.iter();
                runs.any(|(task, x)| x.started <= due && self.crashes.crashes_runner(task))
            })
            .collect();
        hit.into_iter().for_each(|i| self.crash_for_a_while(i));
    }

    /// Records a violation if a task that has crashed its runners too often is started.
    pub(super) fn check_crashes(&mut self, task: TaskId) {
        // Tasks that last have no such limit.
        let lasts = self.engine.job(task.step.job).is_some_and(|j| j.spec(task.step).lasts);
        if lasts || !self.crashes.crashes_runner(&task) {
            return;
        }
        let (crashes, starts) = self.crashes.counts.entry(task).or_default();
        if *crashes < MAX_CRASHES {
            return;
        }
        *starts += 1;
        if *starts > EXTRA_STARTS {
            self.violations.push(format!("{}: {task} started after {crashes} crashes", self.now));
        }
    }
}
