//! State of what keeps capacity for urgent queues: their demand, the tasks being stopped for other
//! work, and the conditions under which more may be stopped. Without
//! [`Features::urgent_preemption`](crate::control::policy::features::Features::urgent_preemption)
//! none of it has an effect.
//!
//! No state is persisted. The successor of a leader finds the stopped runs ended, and places by
//! rank.

use super::runs::{Run, Stage};
use super::urgent_places::UrgentPlaces;
use super::{Engine, Now, RunnerKey};
use crate::control::model::{Attempt, StepId, TaskId};
use crate::control::policy::headroom::{self, UrgentDemand};
use crate::control::policy::urgent_preemption;
use crate::kernel::res::Resources;
use std::collections::BTreeMap;

/// A new leader stops nothing for this long, ms: it has not polled all runners, so that capacity
/// that is free looks used.
const FIRST_STOP_MS: u64 = 1_000;

/// Gangs have nothing stopped for themselves for this long after an urgent step found no capacity,
/// ms: several planning passes of a long queue.
const GANG_PAUSE_MS: u64 = 500;

/// Interval between two sums of what may be stopped on each runner, ms: the sum looks at every run
/// of the cell, and only decides which runners an advice request names.
pub(super) const PREEMPTIBLE_MS: u64 = 250;

/// Why nothing may be stopped now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Obstacle {
    /// The term has just begun.
    NewTerm,
    /// Stopped work could not be placed again.
    SlowStore,
    /// As much as allowed is being stopped.
    Stopping,
}

impl Obstacle {
    fn name(self) -> &'static str {
        match self {
            Self::NewTerm => "new term",
            Self::SlowStore => "slow store",
            Self::Stopping => "stops in progress",
        }
    }
}

/// A task that is being stopped for other work.
#[derive(Clone, Debug)]
struct Stopped {
    runner: RunnerKey,
    service: String,
    cpu: u64,
}

/// State of what keeps capacity for urgent queues.
#[derive(Debug, Default)]
pub(super) struct Urgent {
    /// Demand of the urgent queues of each service.
    demand: BTreeMap<String, UrgentDemand>,
    /// Tasks that were ordered to stop for other work and whose end is not listed.
    stopped: BTreeMap<(TaskId, Attempt), Stopped>,
    /// When an urgent step last found no capacity, local ms.
    short_at: Option<u64>,
    /// Capacity reserved for tasks of urgent steps.
    pub places: BTreeMap<StepId, UrgentPlaces>,
    /// Capacity of the runs on each runner that may be stopped, and when it was summed, local ms.
    pub preemptible: BTreeMap<RunnerKey, Resources>,
    /// When `preemptible` was computed, local ms.
    pub summed_at: Option<u64>,
    /// Obstacle that was logged last.
    obstacle: Option<Obstacle>,
}

impl Engine {
    /// Records the demand of a step that can be placed for the first time.
    pub(super) fn record_urgent_demand(&mut self, id: StepId, now: Now) {
        if !self.rules.features.urgent_preemption {
            return;
        }
        let Some(job) = self.jobs.get(&id.job) else { return };
        let Some(queue) = self.cat.queues.get(&job.row.queue) else { return };
        if queue.priority > 0 || job.excess {
            return;
        }
        let cpu = job.spec(id).demand().cpu * self.waiting(id) as u64;
        // Jobs that a new leader reads arrived before its term, and are no burst.
        let (begin, elected) =
            (job.begin(id.occurrence), now.wall.saturating_sub(now.mono - self.elected_at));
        let age = if begin < elected { now.wall.saturating_sub(begin) } else { 0 };
        let demand = self.urgent.demand.entry(queue.service.clone()).or_default();
        demand.record_past(cpu, age, now.mono);
    }

    /// Capacity of a service kept from non-urgent steps, in thousandths.
    pub(super) fn headroom_permille(&self, service: &str, total: u64, now: Now) -> u64 {
        if !self.rules.features.urgent_preemption {
            return headroom::MIN_PERMILLE;
        }
        let demand = self.urgent.demand.get(service).copied().unwrap_or_default();
        demand.headroom_permille(self.rules.settle_ms(), total, now.mono)
    }

    /// Whether the term has just begun: what predecessors ordered may still be on its way.
    fn term_begins(&self, now: Now) -> bool {
        now.mono < self.elected_at + FIRST_STOP_MS
    }

    /// Processor capacity of a service whose runs may be stopped now; 0 if there is an obstacle.
    pub(super) fn stop_budget(&mut self, service: &str, now: Now) -> u64 {
        let runners = &self.runners;
        let holds = |k: RunnerKey, run: &(TaskId, Attempt)| runners.get(k).tasks.contains_key(run);
        self.urgent.stopped.retain(|run, s| holds(s.runner, run));
        // On a runner that is lost the stopped tasks are lost too, and nothing becomes free until its
        // lease expires: counting them would keep others from being stopped for that long.
        let answers = |s: &&Stopped| {
            let r = runners.get(s.runner);
            r.listed && !r.replaced && !r.unanswered && r.reachable(now)
        };
        let in_service = self.urgent.stopped.values().filter(|s| s.service == service);
        let in_service = in_service.filter(answers);
        let stopping = in_service.map(|s| s.cpu).sum();
        let (_, total) = self.service_capacity(service, now);
        let budget = urgent_preemption::budget(total, stopping);
        let obstacle = if self.term_begins(now) {
            Some(Obstacle::NewTerm)
        } else if self.store_backlog.slow(now.mono) {
            Some(Obstacle::SlowStore)
        } else if budget == 0 {
            Some(Obstacle::Stopping)
        } else {
            None
        };
        if self.urgent.obstacle != obstacle {
            self.urgent.obstacle = obstacle;
            log::info!(service, stopping_cpu = stopping, total_cpu = total,
                why = obstacle.map_or("none", Obstacle::name); "obstacle to preemption");
        }
        if obstacle.is_some() {
            0
        } else {
            budget
        }
    }

    /// Records that a task is being stopped for an urgent step.
    pub(super) fn record_urgent_stop(&mut self, id: TaskId, service: &str) {
        let Some(task) = self.task_mut(id) else { return };
        task.preemptions += 1;
        let Some(task) = self.task(id) else { return };
        let (attempt, run) = (task.attempt, task.run.as_ref());
        let Some(runner) = run.map(|r| r.runner) else { return };
        let allocated = self.runners.get(runner).tasks.get(&(id, attempt));
        let cpu = allocated.map_or(0, |a| a.need.cpu);
        let service = service.to_string();
        self.urgent.stopped.insert((id, attempt), Stopped { runner, service, cpu });
    }

    /// Records that a run has been stopped which an earlier leader had started and this one has not
    /// ordered to stop: its predecessor may have preempted it.
    pub(super) fn record_inherited_stop(&mut self, id: TaskId) {
        let on = self.rules.features.urgent_preemption;
        let Some(task) = self.task_mut(id).filter(|_| on) else { return };
        let stopped_by_other = |r: &Run| r.inherited && !matches!(r.stage, Stage::Stopping { .. });
        task.preemptions += u32::from(task.run.as_ref().is_some_and(stopped_by_other));
    }

    /// Records that an urgent step found no capacity.
    pub(super) fn record_urgent_shortage(&mut self, now: Now) {
        self.urgent.short_at = Some(now.mono);
    }

    /// Whether a gang may have tasks stopped for itself. With urgent preemption it may not while
    /// urgent steps wait for capacity: both would stop each other's work, and the gang would take
    /// what was freed for them. A gang needs capacity for all its members at once, so that the bound
    /// on what urgent steps have stopped at a time does not apply to it.
    pub(super) fn gang_may_stop(&mut self, now: Now) -> bool {
        if !self.rules.features.urgent_preemption {
            return true;
        }
        let short = self.urgent.short_at.is_some_and(|at| at + GANG_PAUSE_MS > now.mono);
        let slow = self.store_backlog.slow(now.mono);
        !short && self.urgent.places.is_empty() && !slow && !self.term_begins(now)
    }
}
