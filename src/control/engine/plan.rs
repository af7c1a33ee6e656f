//! Planning rounds: the order in which waiting steps are planned, and what a round needs of a step.
//! [`super::placement`] places their tasks.

use super::advice::Kind;
use super::gang_reservations::{Backlog, GangReservations};
use super::round::{PlanningPass, Round, MAX_CHECKS_PER_ROUND, MAX_URGENT_CHECKS};
use super::{Engine, Now};
use crate::control::model::{Catalogue, Queue, Step, StepId};
use crate::control::policy::queue::{self, Rank, RankInput};
use crate::control::policy::speeds::Preference;
use crate::control::ports::RunnerEntry;
use crate::kernel::res::Resources;
use std::collections::BTreeSet;

/// A waiting step, and the data that a planning round needs of it.
pub(super) struct StepView<'a> {
    pub id: StepId,
    pub step: &'a Step,
    pub queue: &'a Queue,
    pub waiting: usize,
    /// Whether its queue is not an urgent one, or its job is beyond its team's share.
    pub non_urgent: bool,
    /// Speed of runners that it prefers.
    pub speed: Preference,
    /// Whether it may use capacity that is reserved for gangs.
    pub uses_reserved: bool,
}

/// Nothing is placed once the leases that may be sent last for less than this, ms: until heartbeats are
/// acknowledged again, runs would lapse as soon as they start.
const MIN_LEASE_MS: u64 = 1_000;

impl StepView<'_> {
    /// Whether a runner with this registry entry is one of its service, has its label and is large
    /// enough for a task.
    pub fn runs_on(&self, entry: &RunnerEntry) -> bool {
        let has_label = self.step.label.is_empty() || entry.labels.contains(&self.step.label);
        let serves = entry.service == self.queue.service;
        serves && has_label && self.step.demand().fits(&entry.capacity)
    }

    /// Kind of the advice requests for this step.
    pub fn kind(&self) -> Kind {
        match (self.non_urgent, self.step.gang) {
            (false, _) => Kind::Urgent,
            (true, true) => Kind::Gang,
            (true, false) => Kind::Other,
        }
    }
}

impl Engine {
    /// Places the tasks that can be placed, and requests advice where a queue's policy requires it.
    /// Continues the current planning pass over the waiting steps, or begins a new one.
    pub fn plan(&mut self, now: Now) {
        self.counts.rounds += 1;
        if self.next_lease_end() < now.mono + MIN_LEASE_MS {
            return;
        }
        if self.round.is_outdated(self.runners.len(), now) {
            self.round = Round::new(now);
        }
        self.expire_provisional(now);
        self.expire_places(now);
        self.release_deferred(now);
        let cat = self.cat.clone();
        let checks_before = self.counts.looks;
        let mut pass = std::mem::take(&mut self.pass);
        if pass.finished() {
            self.updated.clear();
            pass = self.new_pass(now);
        }
        let updated = std::mem::take(&mut self.updated);
        for (rank, id) in self.urgent_steps(updated, now) {
            if self.counts.looks < checks_before + MAX_URGENT_CHECKS {
                self.plan_step(&cat, id, rank, &mut pass.reserved, now);
            } else {
                self.updated.insert(id);
            }
        }
        while self.counts.looks < checks_before + MAX_CHECKS_PER_ROUND {
            let Some((rank, id)) = pass.next() else { break };
            self.plan_step(&cat, id, rank, &mut pass.reserved, now);
        }
        self.plan_released(&cat, &mut pass.reserved, now);
        self.pass = pass;
    }

    fn new_pass(&mut self, now: Now) -> PlanningPass {
        let mut order = self.ranked(self.open.iter().copied(), now);
        self.begin_unplaceable_pass(order.len());
        self.counts.looks += order.len() as u64;
        self.defer_expired(&mut order, now);
        let reserved = GangReservations::new(self.backlog(&order));
        PlanningPass::new(order, reserved)
    }

    /// The given steps with their ranks, in the order in which they are planned.
    fn ranked(&self, ids: impl Iterator<Item = StepId>, now: Now) -> Vec<(Rank, StepId)> {
        let capacity_wait = self.gang_capacity_wait();
        let with_rank = |id: StepId| Some((self.rank(id, capacity_wait, now)?, id));
        let mut order: Vec<(Rank, StepId)> = ids.filter_map(with_rank).collect();
        order.sort_unstable();
        order
    }

    /// Those of the given steps that are urgent and whose result still has a value, in order of
    /// rank.
    fn urgent_steps(&self, ids: BTreeSet<StepId>, now: Now) -> Vec<(Rank, StepId)> {
        let mut order = self.ranked(ids.into_iter(), now);
        order.retain(|(rank, _)| !rank.non_urgent && !rank.no_value && !rank.excess);
        order
    }

    pub(super) fn plan_step(
        &mut self,
        cat: &Catalogue,
        id: StepId,
        rank: Rank,
        reserved: &mut GangReservations,
        now: Now,
    ) {
        self.counts.looks += 1;
        let Some(job) = self.jobs.get(&id.job).filter(|_| self.open.contains(&id)) else { return };
        let (row, waits) = (job.row.clone(), job.step(id).is_some_and(|s| s.waits()));
        if !waits {
            self.open.remove(&id);
            return;
        }
        let non_urgent = rank.non_urgent || rank.excess;
        if self.store_busy(id.job, non_urgent, now) || self.orders_late(non_urgent) {
            return;
        }
        let Some(queue) = cat.queues.get(&row.queue) else { return };
        let step = &row.spec.steps[id.step as usize];
        let speed = self.speed_preference(id, queue, rank, now);
        let waiting = self.waiting(id);
        let uses_reserved = self.may_use_reserved(id, queue, now);
        let view = StepView { id, step, queue, waiting, non_urgent, speed, uses_reserved };
        match step.gang {
            true => self.place_gang(&view, rank, reserved, now),
            false => self.place_tasks(&view, rank, reserved, now),
        }
    }

    /// Whether a step needs a ticket and has no valid one.
    pub(super) fn needs_ticket(&self, v: &StepView<'_>, now: Now) -> bool {
        let margin = self.ticket_margin(v.id);
        let tickets = self.step(v.id).into_iter().flat_map(|s| s.approvals.tickets.values());
        let mut expiries = tickets.map(|(_, end)| *end);
        v.queue.approval.is_some() && !expiries.any(|end| end > now.mono + margin)
    }

    /// Whether an advice request for a step is pending.
    pub(super) fn advice_pending(&self, id: StepId) -> bool {
        self.step(id).is_some_and(|s| s.approvals.pending > 0)
    }

    /// Whether no advice request for a step may be sent now: one is pending, or its retry delay has
    /// not passed.
    pub(super) fn advice_blocked(&self, id: StepId, now: Now) -> bool {
        self.advice_pending(id) || self.step(id).is_some_and(|s| s.approvals.retry_at > now.mono)
    }

    /// Time in which capacity for a gang is expected to become free, ms: the usual run time of
    /// steps of non-urgent queues.
    pub(super) fn gang_capacity_wait(&self) -> u64 {
        let non_urgent = |name: &String| self.cat.queues.get(name).is_some_and(|q| q.priority > 0);
        let run_times = self.run_times.iter().filter(|(name, _)| non_urgent(name));
        run_times.map(|(_, model)| model.typical()).max().unwrap_or(0)
    }

    pub(super) fn rank(&self, id: StepId, capacity_wait: u64, now: Now) -> Option<Rank> {
        let job = self.jobs.get(&id.job)?;
        let queue = self.cat.queues.get(&job.row.queue)?;
        let input = RankInput {
            priority: queue.priority,
            excess: job.excess,
            begin: job.begin(id.occurrence),
            objective: job.objective(queue),
            chain: job.path_ms[id.step as usize],
            capacity_wait: if job.spec(id).gang { capacity_wait } else { 0 },
        };
        Some(self.rank_under_load(queue::rank(&input, now.wall), &queue.service))
    }

    /// Demand of the waiting steps that can be placed, and the capacity of the cell.
    fn backlog(&self, order: &[(Rank, StepId)]) -> Backlog {
        let placeable = order.iter().filter(|(_, id)| !self.is_unplaceable(*id));
        let demand = |&(_, id): &(Rank, StepId)| {
            let demand = self.jobs.get(&id.job).map_or(Resources::ZERO, |j| j.spec(id).demand());
            demand.cpu * self.waiting(id) as u64
        };
        let demand: u64 = placeable.map(demand).sum();
        let listed = self.runners.iter().filter(|(_, r)| r.listed && !r.replaced);
        let capacity: u64 = listed.map(|(_, r)| r.capacity().cpu).sum();
        Backlog { demand, capacity }
    }

    pub(super) fn waiting(&self, id: StepId) -> usize {
        self.step(id).map_or(0, |s| s.tasks.iter().filter(|t| t.waits()).count())
    }
}
