//! Preemption: which tasks may be stopped for a gang, and when.

use super::gang_reservations::GangReservations;
use super::plan::StepView;
use super::progress::Progress;
use super::runs::{Stage, StopReason};
use super::{Engine, Now, RunnerKey};
use crate::control::model::TaskId;
use crate::control::policy::place::Candidate;
use crate::control::policy::preemption::{self, RunnerCapacity, Victim};
use crate::control::policy::queue::Rank;

/// Interval between two preemption attempts for a gang, ms: the state of its runners changes with
/// each poll, some five a second.
const PREEMPT_INTERVAL_MS: u64 = 200;

/// Nothing is preempted while the demand that waits beside the gang exceeds this share of the
/// cell's processors, per cent: preempted tasks would only join the waiting ones, and lookups would
/// wait for the capacity.
const MAX_BACKLOG_PERCENT: u64 = 60;

/// A task that has done more than this percentage of its work is not preempted, since it ends soon.
const MAX_PROGRESS_PERCENT: f64 = 85.0;

/// Slack that the job of a preempted task must have, ms: twice the time for the stop, an advice
/// request for new tickets, the restore and the writes of its rows.
const MIN_SLACK_MS: u64 = 4_000;

impl Engine {
    /// Preempts tasks that can continue elsewhere for a gang without capacity, and reserves their
    /// capacity provisionally. Returns whether it did.
    pub(super) fn preempt_for(
        &mut self,
        v: &StepView<'_>,
        rank: Rank,
        candidates: &[Candidate<RunnerKey>],
        reserved: &GangReservations,
        now: Now,
    ) -> bool {
        if !rank.non_urgent {
            return self.preempt_for_urgent_gang(v, rank, candidates, now);
        }
        let Some(s) = self.step_mut(v.id) else { return false };
        let count = s.tasks.len();
        let need = v.step.demand();
        let demand = need.cpu * count as u64;
        if !rank.non_urgent
            || rank.no_value
            || rank.excess
            || reserved.without(demand).exceeds(MAX_BACKLOG_PERCENT)
            || s.preempt_tried + PREEMPT_INTERVAL_MS > now.mono
        {
            return false;
        }
        s.preempt_tried = now.mono;
        if self.has_unnamed_runner(v, reserved, now) || !self.gang_may_stop(now) {
            return false;
        }
        let free = candidates.iter().filter(|p| !reserved.contains(p.key));
        let runners: Vec<RunnerCapacity<RunnerKey, TaskId>> = free
            .map(|p| RunnerCapacity {
                key: p.key,
                free: p.free,
                limit: p.limit,
                victims: self.victims(p.key, now),
            })
            .collect();
        let Some(plan) = preemption::plan(runners, &need, count) else { return false };
        log::info!(step:% = v.id, members = count, stopped = plan.stops.len(), late = rank.late;
            "tasks stopped to make room for a gang");
        self.reserve_provisionally(v.id, plan.keys, need, now);
        for (_, id) in plan.stops {
            self.counts.evicted += 1;
            if let Some(task) = self.task_mut(id) {
                task.preemptions += 1;
            }
            self.order_stop(id, StopReason::Preempted, now);
        }
        true
    }

    /// Tasks on a runner that may be preempted: tasks of non-urgent queues that write checkpoints,
    /// whose job has enough slack and that were not preempted before.
    fn victims(&self, k: RunnerKey, now: Now) -> Vec<Victim<TaskId>> {
        let tasks = self.runners.get(k).tasks.iter();
        let preemptible = tasks.filter(|((id, _), _)| self.may_preempt(*id, now).unwrap_or(false));
        preemptible.map(|((id, _), a)| Victim { id: *id, need: a.need }).collect()
    }

    fn may_preempt(&self, id: TaskId, now: Now) -> Option<bool> {
        let job = self.jobs.get(&id.step.job)?;
        let queue = self.cat.queues.get(&job.row.queue)?;
        let spec = job.spec(id.step);
        let task = job.step(id.step)?.tasks.get(id.index as usize)?;
        let run = task.run.as_ref()?;
        let running = matches!(run.stage, Stage::Running { .. });
        let Progress { percent, .. } = run.progress;
        let eligible = queue.priority > 0 && spec.saves && !spec.gang && !spec.lasts && !spec.fills;
        let due = job.begin(id.step.occurrence) + job.objective(queue);
        let has_slack = now.wall + job.path_ms[id.step.step as usize] + MIN_SLACK_MS <= due;
        Some(
            eligible
                && running
                && has_slack
                && task.preemptions == 0
                && percent < MAX_PROGRESS_PERCENT,
        )
    }
}
