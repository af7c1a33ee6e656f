//! Jobs that have nothing running though a task of them could run, from what the runners know.

use super::judge::Task;
use super::runner::{JobInfo, Runner, StepInfo, World, CAPACITY};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Interval between two samples.
pub const SAMPLE: Duration = Duration::from_millis(200);

/// How many tasks of a need fit into what is free.
fn fitting(free: (u64, u64), need: (u64, u64)) -> u64 {
    (free.0 / need.0.max(1)).min(free.1 / need.1.max(1))
}

fn free(r: &Runner) -> (u64, u64) {
    let used = |part: fn((u64, u64)) -> u64| r.runs.values().map(|x| part(x.need)).sum::<u64>();
    (CAPACITY.0.saturating_sub(used(|n| n.0)), CAPACITY.1.saturating_sub(used(|n| n.1)))
}

impl World {
    /// Records that a fault begins.
    pub fn fault_begins(&mut self, now: Instant) {
        (self.faults, self.last_fault) = (self.faults + 1, now);
    }

    /// Records that a fault is over.
    pub fn fault_ends(&mut self, now: Instant) {
        (self.faults, self.last_fault) = (self.faults - 1, now);
    }

    /// Reports the jobs that have nothing running, at a calm time, to the judge.
    pub fn sample(&mut self, now: Instant) {
        let calm_ms = now.duration_since(self.last_fault).as_millis() as u64;
        let live: Vec<&Runner> = self.runners.iter().filter(|r| r.is_live(now)).collect();
        let sum = |part: fn((u64, u64)) -> u64| live.iter().map(|r| part(free(r))).sum::<u64>();
        let (total, all) = (live.len() as u64, (sum(|n| n.0), sum(|n| n.1)));
        let half_free = 2 * all.0 > total * CAPACITY.0 && 2 * all.1 > total * CAPACITY.1;
        let mut standing = BTreeMap::new();
        if self.faults == 0 && calm_ms >= self.calm_ms && half_free {
            for (id, job) in self.jobs.iter().filter(|(_, j)| j.accepted && !j.cancelled) {
                if let Some((step, room)) = self.could_run(id, job, &live) {
                    let text =
                        format!("{id}.0.{step} has room for {room}, last fault {calm_ms} ms ago");
                    standing.insert(id.clone(), text);
                }
            }
        }
        self.judge.sampled(standing, now);
    }

    /// The step of a job without runs whose turn has come, and how many of its tasks have room, if
    /// that is twice what it needs to go on.
    fn could_run(&self, id: &str, job: &JobInfo, live: &[&Runner]) -> Option<(usize, u64)> {
        let of = |n: usize, s: &StepInfo| -> Vec<_> {
            (0..s.count).map(|i| self.judge.task(&format!("{id}.0.{n}.{i}"))).collect()
        };
        let steps: Vec<_> = job.steps.iter().enumerate().map(|(n, s)| (n, s, of(n, s))).collect();
        let mut tasks = steps.iter().flat_map(|(.., tasks)| tasks);
        let is_over = |s: &StepInfo, tasks: &[Task]| match s.gang {
            // A gang fails with any of its members, once an attempt.
            true => tasks.iter().map(|t| t.failed).sum::<usize>() >= job.max_attempts,
            false => tasks.iter().any(|t| t.failed >= job.max_attempts),
        };
        if tasks.any(|t| t.is_active) || steps.iter().any(|(_, s, tasks)| is_over(s, tasks)) {
            return None;
        }
        // Each step is due after the one before it.
        let is_done = |s: &StepInfo, tasks: &[Task]| match s.gang {
            // The members of a gang end done together.
            true => tasks.iter().any(|t| t.is_done),
            false => tasks.iter().all(|t| t.is_done),
        };
        let (n, s, _) = steps.iter().find(|(_, s, tasks)| !is_done(s, tasks))?;
        let step = format!("{id}.0.{n}");
        let admitted = live.iter().filter(|r| !job.is_advised || self.advice.admits(&step, &r.id));
        let room = admitted.map(|r| fitting(free(r), s.need)).sum();
        let least = if s.gang { 2 * s.count } else { 2 };
        (room >= least).then_some((*n, room))
    }
}
