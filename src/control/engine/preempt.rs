//! Preemption: which tasks may be stopped for a gang, and when.

use super::plan::View;
use super::progress::Progress;
use super::reserve::Claims;
use super::runs::{Stage, StopWhy};
use super::{Engine, Now, RunnerKey};
use crate::control::evict::{self, Spot, Victim};
use crate::control::model::TaskId;
use crate::control::place::Place;
use crate::control::queue::Rank;

/// Interval between two preemption attempts for a gang, ms: the state of its runners changes with
/// each poll, some five a second.
const TRY_MS: u64 = 200;

/// Nothing is preempted while the demand that waits beside the gang exceeds this share of the
/// cell's processors, per cent: preempted tasks would only join the waiting ones, and lookups would
/// wait for the capacity.
const MOST_BACKLOG: u64 = 60;

/// A task that has done more than this percentage of its work is not preempted, since it ends soon.
const NEARLY_DONE: f64 = 85.0;

/// Slack that the job of a preempted task must have, ms: twice the time for the stop, an advice
/// request for new tickets, the restore and the writes of its rows.
const SPARE_MS: u64 = 4_000;

impl Engine {
    /// Preempts tasks that can continue elsewhere for a gang without capacity, and reserves their
    /// capacity provisionally. Returns whether it did.
    pub(super) fn make_room(
        &mut self,
        v: &View<'_>,
        rank: Rank,
        known: &[Place<RunnerKey>],
        claims: &Claims,
        now: Now,
    ) -> bool {
        let Some(s) = self.step_mut(v.id) else { return false };
        let count = s.tasks.len();
        let need = v.step.demand();
        let asked = need.cpu * count as u64;
        if !rank.patient
            || rank.worthless
            || claims.beside(asked).over(MOST_BACKLOG)
            || s.tried_at + TRY_MS > now.mono
        {
            return false;
        }
        s.tried_at = now.mono;
        if self.unasked(v, claims, now) {
            return false;
        }
        let free = known.iter().filter(|p| !claims.has(p.key));
        let spots: Vec<Spot<RunnerKey, TaskId>> = free
            .map(|p| Spot {
                key: p.key,
                free: p.free,
                limit: p.limit,
                victims: self.victims(p.key, now),
            })
            .collect();
        let Some(plan) = evict::plan(spots, &need, count) else { return false };
        log::info!(step:% = v.id, members = count, stopped = plan.stops.len(), late = rank.late;
            "tasks stopped to make room for a gang");
        self.book(v.id, plan.keys, need, now);
        for (_, id) in plan.stops {
            self.counts.evicted += 1;
            if let Some(task) = self.task_mut(id) {
                task.yielded = true;
            }
            self.order_stop(id, StopWhy::MakesRoom, now);
        }
        true
    }

    /// Tasks on a runner that may be preempted: tasks of non-urgent queues that write checkpoints,
    /// whose job has enough slack and that were not preempted before.
    fn victims(&self, k: RunnerKey, now: Now) -> Vec<Victim<TaskId>> {
        let tasks = self.runners.get(k).tasks.iter();
        let yielding = tasks.filter(|((id, _), _)| self.may_yield(*id, now).unwrap_or(false));
        yielding.map(|((id, _), need)| Victim { id: *id, need: *need }).collect()
    }

    fn may_yield(&self, id: TaskId, now: Now) -> Option<bool> {
        let job = self.jobs.get(&id.step.job)?;
        let queue = self.cat.queues.get(&job.row.queue)?;
        let spec = job.spec(id.step);
        let task = job.step(id.step)?.tasks.get(id.index as usize)?;
        let run = task.run.as_ref()?;
        let runs = matches!(run.stage, Stage::Running { .. });
        let Progress { percent, .. } = run.progress;
        let kind = queue.priority > 0 && spec.saves && !spec.gang && !spec.lasts && !spec.fills;
        let due = job.begin(id.step.occurrence) + job.objective(queue);
        let spare = now.wall + job.tails[id.step.step as usize] + SPARE_MS <= due;
        Some(kind && runs && spare && !task.yielded && percent < NEARLY_DONE)
    }
}
