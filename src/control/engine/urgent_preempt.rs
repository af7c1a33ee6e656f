//! Preemption for urgent steps: collects the tasks that may be stopped, has them stopped, and names
//! runners with such tasks in advice requests.

use super::gang_reservations::GangReservations;
use super::plan::StepView;
use super::runs::{Stage, StopReason};
use super::urgent::PREEMPTIBLE_MS;
use super::urgent_places::Place;
use super::{Engine, Now, RunnerKey};
use crate::control::model::TaskId;
use crate::control::policy::place::{self, Candidate};
use crate::control::policy::queue::{self, Rank, RankInput};
use crate::control::policy::urgent_preemption::{
    self, Order, Plan, RunState, RunnerCapacity, Standing, Victim,
};
use crate::kernel::res::Resources;
use std::cmp::Reverse;

/// Interval between two attempts to stop tasks for a step, ms: stops in progress end meanwhile, and
/// the state of its runners changes with each poll.
const ATTEMPT_MS: u64 = 100;

impl Engine {
    /// Reserves the places of an urgent step that it still needs for `missing` tasks, has tasks
    /// stopped for the rest, and returns for how many tasks there is no place.
    pub(super) fn secure_places(
        &mut self,
        v: &StepView<'_>,
        rank: Rank,
        mut places: Vec<Place>,
        missing: usize,
        reserved: &GangReservations,
        now: Now,
    ) -> usize {
        places.truncate(missing);
        let lacking = missing - places.len();
        if self.may_preempt_for(v, rank, lacking, now) {
            // The places that are kept must not be planned for again.
            self.reserve_places(v.id, places.clone());
            let candidates = self.preemption_candidates(v, reserved, now);
            let plan = self.plan_stops(v, &candidates, lacking, now);
            self.release_places(v.id);
            if let Some(plan) = plan {
                let until = self.place_end(now);
                let new = plan.keys.iter().map(|&runner| Place { runner, until });
                places.extend(new);
                self.stop_victims(v, &plan, missing, now);
            }
        }
        let unplaced = missing - places.len();
        self.reserve_places(v.id, places);
        unplaced
    }

    /// Has tasks stopped for an urgent gang, and reserves their capacity. Returns whether it did.
    pub(super) fn preempt_for_urgent_gang(
        &mut self,
        v: &StepView<'_>,
        rank: Rank,
        candidates: &[Candidate<RunnerKey>],
        now: Now,
    ) -> bool {
        let count = self.step(v.id).map_or(0, |s| s.tasks.len());
        if !self.may_preempt_for(v, rank, count, now) {
            return false;
        }
        let Some(plan) = self.plan_stops(v, candidates, count, now) else { return false };
        if plan.keys.len() < count {
            return false;
        }
        self.reserve_provisionally(v.id, plan.keys.clone(), v.step.demand(), now);
        let end = self.place_end(now);
        self.limit_provisional(v.id, end);
        self.stop_victims(v, &plan, count, now);
        true
    }

    /// Whether tasks may be stopped for a step that lacks capacity for some of its tasks.
    fn may_preempt_for(&mut self, v: &StepView<'_>, rank: Rank, lacking: usize, now: Now) -> bool {
        let valuable = !rank.non_urgent && !rank.no_value && !rank.excess;
        if !self.rules.features.urgent_preemption || !valuable || lacking == 0 {
            return false;
        }
        let Some(s) = self.step_mut(v.id) else { return false };
        let approved = v.queue.approval.is_none() || !s.approvals.tickets.is_empty();
        if !approved || s.preempt_tried + ATTEMPT_MS > now.mono {
            return false;
        }
        s.preempt_tried = now.mono;
        true
    }

    fn preemption_candidates(
        &mut self,
        v: &StepView<'_>,
        reserved: &GangReservations,
        now: Now,
    ) -> Vec<Candidate<RunnerKey>> {
        if v.queue.approval.is_some() {
            return self.candidates(v, reserved, now);
        }
        let all = self.runners_with_cpu(&v.queue.service, 0, now);
        self.candidates_among(v, &all, reserved, now)
    }

    /// Plans stops for `count` tasks; `None` if there is capacity for all of them, or if nothing
    /// may be stopped.
    fn plan_stops(
        &mut self,
        v: &StepView<'_>,
        candidates: &[Candidate<RunnerKey>],
        count: usize,
        now: Now,
    ) -> Option<Plan<RunnerKey, TaskId>> {
        let need = v.step.demand();
        if place::capacity(candidates, &need) >= count as u64 {
            return None;
        }
        self.record_urgent_shortage(now);
        let budget = self.stop_budget(&v.queue.service, now);
        if budget == 0 {
            return None;
        }
        let runners: Vec<RunnerCapacity<RunnerKey, TaskId>> = candidates
            .iter()
            .map(|c| RunnerCapacity { runner: c.clone(), victims: self.urgent_victims(c.key, now) })
            .collect();
        self.counts.looks += runners.iter().map(|r| r.victims.len() as u64).sum::<u64>();
        let plan = urgent_preemption::plan(runners, &need, count, budget);
        (!plan.stops.is_empty()).then_some(plan)
    }

    fn stop_victims(
        &mut self,
        v: &StepView<'_>,
        plan: &Plan<RunnerKey, TaskId>,
        missing: usize,
        now: Now,
    ) {
        let cpu: u64 = plan.stops.iter().map(|(_, victim)| victim.need.cpu).sum();
        log::info!(step:% = v.id, missing, places = plan.keys.len(), stopped = plan.stops.len(), cpu;
            "tasks stopped for an urgent step");
        for (_, victim) in &plan.stops {
            self.counts.urgent_stops += 1;
            metrics::counter!("control_preempted", "by" => "urgent").increment(1);
            self.record_urgent_stop(victim.id, &v.queue.service);
            self.order_stop(victim.id, StopReason::PreemptedUrgent, now);
        }
    }

    /// Tasks on a runner that may be stopped for an urgent step.
    fn urgent_victims(&self, k: RunnerKey, now: Now) -> Vec<Victim<TaskId>> {
        let tasks = self.runners.get(k).tasks.iter();
        let victim = |((id, _), a): (&(TaskId, _), &super::runners::Allocation)| {
            Some(Victim { id: *id, need: a.need, order: self.victim_order(*id, now)? })
        };
        tasks.filter_map(victim).collect()
    }

    fn victim_order(&self, id: TaskId, now: Now) -> Option<Order> {
        let job = self.jobs.get(&id.step.job).filter(|j| !j.state.ended())?;
        let queue = self.cat.queues.get(&job.row.queue).filter(|q| q.priority > 0)?;
        let spec = job.spec(id.step);
        let task = job.step(id.step)?.tasks.get(id.index as usize)?;
        let run = task.run.as_ref().filter(|r| matches!(r.stage, Stage::Running { .. }))?;
        let done_ms = (spec.estimate as f64 * run.progress.percent / 100.0) as u64;
        let input = RankInput {
            priority: queue.priority,
            excess: job.excess,
            begin: job.begin(id.step.occurrence),
            objective: job.objective(queue),
            chain: job.path_ms[id.step.step as usize].saturating_sub(done_ms),
            capacity_wait: 0,
        };
        let rank = queue::rank(&input, now.wall);
        let standing = match rank {
            Rank { no_value: true, .. } => Standing::Expired,
            Rank { late: true, .. } => Standing::Late,
            rank => {
                Standing::InTime { slack_ms: Reverse(rank.latest_start.saturating_sub(now.wall)) }
            }
        };
        let state = RunState {
            standing,
            saves: spec.saves,
            bound: spec.gang || spec.lasts || spec.fills,
            stops: task.preemptions,
            percent: run.progress.percent,
            unsaved_ms: now.mono.saturating_sub(run.progress.began.max(run.saved_at)),
            need: spec.demand(),
        };
        state.order()
    }

    /// Runners that were not named yet and on which tasks may be stopped for an urgent step, if
    /// that is the only way to capacity.
    pub(super) fn unnamed_with_victims(
        &mut self,
        v: &StepView<'_>,
        reserved: &GangReservations,
        missing: usize,
        now: Now,
    ) -> Vec<RunnerKey> {
        let off = !self.rules.features.urgent_preemption || v.non_urgent || v.step.gang;
        if off || self.stop_budget(&v.queue.service, now) == 0 {
            return Vec::new();
        }
        let all = self.runners_with_cpu(&v.queue.service, 0, now);
        let unnamed: Vec<RunnerKey> =
            all.into_iter().filter(|k| !self.advice_known(v, *k)).collect();
        let mut candidates = self.candidates_among(v, &unnamed, reserved, now);
        self.sum_preemptible(now);
        let need = v.step.demand();
        candidates.retain(|c| self.fits_after_stops(c, &need));
        self.select_runners(v, candidates.into_iter(), missing)
    }

    /// Puts runners on which tasks may be stopped first, if urgent steps may have tasks stopped.
    pub(super) fn victims_first(
        &mut self,
        v: &StepView<'_>,
        full: &mut [Candidate<RunnerKey>],
        now: Now,
    ) {
        if self.rules.features.urgent_preemption && !v.non_urgent && !full.is_empty() {
            self.sum_preemptible(now);
            let need = v.step.demand();
            full.sort_by_key(|c| !self.fits_after_stops(c, &need));
        }
    }

    fn fits_after_stops(&self, c: &Candidate<RunnerKey>, need: &Resources) -> bool {
        let stoppable = self.urgent.preemptible.get(&c.key);
        stoppable.is_some_and(|s| need.fits(&c.free.add(s)))
    }

    /// Sums what may be stopped on each runner, unless that was done lately.
    fn sum_preemptible(&mut self, now: Now) {
        if self.urgent.summed_at.is_some_and(|at| at + PREEMPTIBLE_MS > now.mono) {
            return;
        }
        let sum = |k| {
            let victims = self.urgent_victims(k, now);
            victims.iter().fold(Resources::ZERO, |sum, v| sum.add(&v.need))
        };
        let keys = self.runners.iter().filter(|(_, r)| r.usable(now)).map(|(k, _)| k);
        let sums: Vec<(RunnerKey, Resources)> = keys.map(|k| (k, sum(k))).collect();
        self.urgent.preemptible = sums.into_iter().filter(|(_, s)| *s != Resources::ZERO).collect();
        self.urgent.summed_at = Some(now.mono);
        self.counts.looks += self.runners.iter().map(|(_, r)| r.tasks.len() as u64).sum::<u64>();
    }
}
