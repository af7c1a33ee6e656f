//! Bounds of a planning round, and the sums over all runners that a round computes.
//!
//! Needed for thousands of waiting steps on hundreds of runners. A round that planned all of them
//! would take longer than the interval between rounds: answers of runners and of the store would be
//! processed late, and urgent steps would start late when it matters most. Visible as rounds that
//! check more than a hundred thousand runners (`looks` in the state dump). Steps are therefore
//! planned in passes: a pass takes the waiting steps in order of rank, over as many rounds as
//! needed, and urgent steps that were opened or received advice meanwhile are planned before the
//! rest of it. No step starves, since each pass covers all.

use super::gang_reservations::GangReservations;
use super::{Engine, Now, Runner, RunnerKey};
use crate::control::model::StepId;
use crate::control::policy::deferral::ServiceUse;
use crate::control::policy::queue::Rank;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::vec;

/// Maximum number of runners and steps checked in a round, after which the planning pass continues
/// in the next one: takes a small part of the interval between rounds.
pub const MAX_CHECKS_PER_ROUND: u64 = 16_000;

/// Runners over which sums are computed a millisecond on average, at most. A cell of up to 800 has new
/// sums in each round.
const SUMMED_PER_MS: u64 = 100;

/// Part of [`MAX_CHECKS_PER_ROUND`] that urgent steps planned before the rest of a pass may use, so
/// that every pass ends.
pub(super) const MAX_URGENT_CHECKS: u64 = MAX_CHECKS_PER_ROUND / 2;

/// Waiting steps in order of rank, and the runners reserved by those planned so far.
#[derive(Default)]
pub(super) struct PlanningPass {
    remaining: vec::IntoIter<(Rank, StepId)>,
    pub reserved: GangReservations,
}

impl PlanningPass {
    /// A pass over steps in the given order.
    pub fn new(order: Vec<(Rank, StepId)>, reserved: GangReservations) -> Self {
        Self { remaining: order.into_iter(), reserved }
    }

    /// Whether every step has been planned.
    pub fn finished(&self) -> bool {
        self.remaining.len() == 0
    }
}

impl Iterator for PlanningPass {
    type Item = (Rank, StepId);

    fn next(&mut self) -> Option<Self::Item> {
        self.remaining.next()
    }
}

/// Capacity of a service's runners that take new tasks.
#[derive(Clone, Debug, Default)]
struct ServiceCapacity {
    /// Runners by their free processor capacity when the round began, largest first once
    /// [`Self::sorted`] is set. Placements only reduce it during the round.
    by_cpu: Arc<Vec<(u64, RunnerKey)>>,
    /// Whether the runners are in order. They are sorted when the order is first needed: after most
    /// placements only the sums are.
    sorted: bool,
    /// Free processor capacity of all runners.
    free: u64,
    /// Processor capacity of all runners.
    total: u64,
    /// Processor capacity allocated on all listed runners, and their capacity.
    listed: ServiceUse,
}

/// Sums over the runners of each service, computed once a round for all waiting steps. With thousands
/// of runners they serve several rounds: a walk in each of them would take a growing part of the
/// leader's processor. What is allocated meanwhile is part of the sums; capacity that becomes free
/// elsewhere is seen with the next walk.
#[derive(Debug, Default)]
pub(super) struct Round {
    capacities: BTreeMap<String, ServiceCapacity>,
    /// When the first round with these sums began.
    began: Now,
}

impl Round {
    /// Sums of which none is computed yet, as of now.
    pub fn new(began: Now) -> Self {
        Self { capacities: BTreeMap::new(), began }
    }

    /// Whether the sums over `runners` runners have to be computed again.
    pub fn is_outdated(&self, runners: usize, now: Now) -> bool {
        now.mono.saturating_sub(self.began.mono) >= runners as u64 / SUMMED_PER_MS
    }
}

impl Engine {
    /// Sums for a service.
    fn current_capacity(&mut self, service: &str, now: Now) -> &ServiceCapacity {
        if !self.round.capacities.contains_key(service) {
            let capacity = self.sum_capacity(service, now);
            self.round.capacities.insert(service.to_string(), capacity);
        }
        &self.round.capacities[service]
    }

    /// Changes what is allocated or reserved on a runner during a round, and the sums with it. If the
    /// sums were computed anew after each placement, a round on thousands of runners would place
    /// two or three tasks before it reaches [`MAX_CHECKS_PER_ROUND`].
    pub(super) fn change_runner<T>(
        &mut self,
        k: RunnerKey,
        change: impl FnOnce(&mut Runner) -> T,
    ) -> T {
        let began = self.round.began;
        let r = self.runners.get_mut(k);
        let (free, used) = (r.free().cpu, r.used.cpu);
        let out = change(r);
        let service = r.entry.as_ref().map_or("", |e| e.service.as_str());
        if let Some(capacity) = self.round.capacities.get_mut(service) {
            if r.usable(began) {
                capacity.free = (capacity.free + r.free().cpu).saturating_sub(free);
            }
            if r.listed && !r.replaced {
                let in_use = &mut capacity.listed.in_use;
                *in_use = (*in_use + r.used.cpu).saturating_sub(used);
            }
        }
        out
    }

    fn sum_capacity(&mut self, service: &str, now: Now) -> ServiceCapacity {
        self.counts.looks += self.runners.len() as u64;
        let (mut capacity, mut by_cpu) = (ServiceCapacity::default(), Vec::new());
        for (k, r) in self.runners.iter() {
            let serves = r.entry.as_ref().is_some_and(|e| e.service == service);
            if serves && r.listed && !r.replaced {
                capacity.listed.in_use += r.used.cpu;
                capacity.listed.total += r.capacity().cpu;
            }
            if serves && r.usable(now) {
                capacity.free += r.free().cpu;
                capacity.total += r.capacity().cpu;
                by_cpu.push((r.free().cpu, k));
            }
        }
        capacity.by_cpu = Arc::new(by_cpu);
        capacity
    }

    /// Free and total processor capacity of a service's runners.
    pub(super) fn service_capacity(&mut self, service: &str, now: Now) -> (u64, u64) {
        let capacity = self.current_capacity(service, now);
        (capacity.free, capacity.total)
    }

    /// What is in use of a service's listed runners, whether or not they take new tasks.
    pub(super) fn service_use(&mut self, service: &str, now: Now) -> ServiceUse {
        self.current_capacity(service, now).listed
    }

    /// Sums for a service as a walk over all runners gives them, and as this round has kept them: free
    /// and total capacity, and what is in use.
    pub fn capacity_sums(&mut self, service: &str) -> [(u64, u64, u64); 2] {
        let now = self.round.began;
        let sums = |c: &ServiceCapacity| (c.free, c.total, c.listed.in_use);
        [sums(&self.sum_capacity(service, now)), sums(self.current_capacity(service, now))]
    }

    /// Runners of a service with their free processor capacity when the round began, largest first.
    pub(super) fn runners_by_cpu(&mut self, service: &str, now: Now) -> Arc<Vec<(u64, RunnerKey)>> {
        self.current_capacity(service, now);
        let Some(capacity) = self.round.capacities.get_mut(service) else { return Arc::default() };
        if !capacity.sorted {
            Arc::make_mut(&mut capacity.by_cpu).sort_unstable_by(|a, b| b.cmp(a));
            capacity.sorted = true;
        }
        capacity.by_cpu.clone()
    }

    /// Runners of a service that may have `cpu` free, largest free capacity first.
    pub(super) fn runners_with_cpu(&mut self, service: &str, cpu: u64, now: Now) -> Vec<RunnerKey> {
        let all = self.runners_by_cpu(service, now);
        let fitting = all.iter().take_while(|(c, _)| *c >= cpu);
        let keys: Vec<RunnerKey> = fitting.map(|(_, k)| *k).collect();
        self.counts.looks += keys.len() as u64;
        keys
    }
}
