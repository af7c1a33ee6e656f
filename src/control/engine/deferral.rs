//! Deferred steps: waiting steps of expired jobs, which planning passes do not visit. The decision
//! is in [`policy::deferral`](crate::control::policy::deferral).
//!
//! A waiting step is either open or deferred, never both. The state is derived from the jobs: a new
//! leader begins with all steps open and defers them in its first pass. A step that is deferred
//! keeps its approvals, and answers to its pending advice requests are recorded as usual.

use super::gang_reservations::GangReservations;
use super::plan::StepView;
use super::{Engine, Now};
use crate::control::model::{Catalogue, JobId, StepId};
use crate::control::policy::deferral::{
    self, WaitingStep, COUNTED_MS, RELEASE_INTERVAL_MS, RELEASE_MS,
};
use crate::control::policy::queue::Rank;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of steps that a pass or a release logs one by one; a last line has the number of
/// all. A burst defers thousands at once, and their lines would displace others.
const MAX_LOGGED: usize = 8;

/// Maximum number of runners and steps checked in a round for released steps, besides
/// [`MAX_CHECKS_PER_ROUND`](super::MAX_CHECKS_PER_ROUND): an eighth of that.
const MAX_RELEASED_CHECKS: u64 = super::MAX_CHECKS_PER_ROUND / 8;

/// Where a deferred step is in the queue of its service.
type Place = (String, u64);

/// Deferred steps, and those released that are not placed yet.
#[derive(Default)]
pub(super) struct Deferral {
    /// Deferred steps by service, longest-waiting first: since when each waits, Unix ms.
    queues: BTreeMap<String, BTreeSet<(u64, StepId)>>,
    /// Position of each deferred step in `queues`.
    places: BTreeMap<StepId, Place>,
    /// When each released step was released, local ms.
    released: BTreeMap<StepId, u64>,
    /// Released steps to be planned at the end of a round: released or answered since the last.
    due: BTreeSet<StepId>,
    /// Services that were overloaded at the beginning of the pass.
    overloaded: BTreeSet<String>,
    /// When steps are next released, local ms.
    next_release: u64,
}

impl Deferral {
    /// Whether a step is deferred.
    pub fn contains(&self, id: StepId) -> bool {
        self.places.contains_key(&id)
    }

    /// The deferred steps.
    pub fn steps(&self) -> impl Iterator<Item = StepId> + '_ {
        self.places.keys().copied()
    }

    /// Number of deferred steps.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Records an answer for a step. Returns whether its step is neither deferred nor released.
    pub fn record_answer(&mut self, id: StepId) -> bool {
        let released = self.released.contains_key(&id);
        if released {
            self.due.insert(id);
        }
        !released && !self.contains(id)
    }

    fn insert(&mut self, id: StepId, service: &str, since: u64) {
        self.released.remove(&id);
        self.queues.entry(service.to_string()).or_default().insert((since, id));
        self.places.insert(id, (service.to_string(), since));
    }

    /// Removes a step that is deferred or released.
    pub fn remove(&mut self, id: StepId) {
        self.released.remove(&id);
        let Some((service, since)) = self.places.remove(&id) else { return };
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.remove(&(since, id));
            if queue.is_empty() {
                self.queues.remove(&service);
            }
        }
    }

    /// The longest-waiting deferred step of a service.
    fn first(&self, service: &str) -> Option<StepId> {
        self.queues.get(service)?.first().map(|(_, id)| *id)
    }
}

impl Engine {
    /// Number of deferred steps, which [`Self::open_steps`] includes.
    pub fn deferred_steps(&self) -> usize {
        self.deferral.len()
    }

    /// Defers those of the ranked steps whose result has no value any more, and removes them from
    /// `order`. Determines which services are overloaded by the others.
    pub(super) fn defer_expired(&mut self, order: &mut Vec<(Rank, StepId)>, now: Now) {
        if !self.rules.features.overload_control {
            return;
        }
        let mut deferred = Vec::new();
        order.retain(|&(rank, id)| {
            if !rank.no_value {
                self.deferral.released.remove(&id);
            }
            let defers = self.defers(id, rank, now);
            if defers {
                deferred.push(id);
            }
            !defers
        });
        for (n, &id) in deferred.iter().enumerate() {
            self.defer(id, n < MAX_LOGGED, now);
        }
        if deferred.len() > MAX_LOGGED {
            log::info!(steps = deferred.len(), deferred = self.deferral.len();
                "expired steps deferred");
        }
        let (jobs, open) = (&self.jobs, &self.open);
        self.deferral.released.retain(|id, _| {
            let step = jobs.get(&id.job).and_then(|j| j.step(*id));
            open.contains(id) && step.is_some_and(super::StepRun::waits)
        });
        metrics::gauge!("control_deferred_steps").set(self.deferral.len() as f64);
        self.find_overloaded(order, now);
    }

    fn defers(&self, id: StepId, rank: Rank, now: Now) -> bool {
        if !rank.no_value {
            return false;
        }
        let Some(job) = self.jobs.get(&id.job) else { return false };
        let Some(step) = job.step(id).filter(|s| s.waits()) else { return false };
        let released = self.deferral.released.get(&id);
        deferral::defers(&WaitingStep {
            rank,
            lasts: job.spec(id).lasts,
            gang: job.spec(id).gang,
            runs: step.tasks.iter().any(|t| t.run.is_some()),
            released: released.is_some_and(|at| at + RELEASE_MS > now.mono),
        })
    }

    fn defer(&mut self, id: StepId, logged: bool, now: Now) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let Some(queue) = self.cat.queues.get(&job.row.queue) else { return };
        // A step that was not placed after its release waits behind the others.
        let was_released = self.deferral.released.contains_key(&id);
        let begin = job.begin(id.occurrence);
        let since = if was_released { now.wall } else { begin };
        if logged {
            log::info!(step:% = id, queue = queue.name, objective_ms = job.objective(queue),
                waited_ms = now.wall.saturating_sub(begin), was_released;
                "step deferred: its job can earn nothing any more");
        }
        let service = queue.service.clone();
        self.deferral.insert(id, &service, since);
        metrics::counter!("control_steps_deferred").increment(1);
        self.open.remove(&id);
        self.updated.remove(&id);
        if self.release_provisional(id).is_some() {
            log::info!(step:% = id; "booking given back");
        }
    }

    /// Determines the services for which more demand waits than they can start soon.
    fn find_overloaded(&mut self, order: &[(Rank, StepId)], now: Now) {
        let cat = self.cat.clone();
        let mut waiting: BTreeMap<&str, u64> = BTreeMap::new();
        for &(_, id) in order.iter().filter(|(rank, _)| !rank.no_value) {
            if let Some((service, demand)) = self.waiting_demand(&cat, id) {
                *waiting.entry(service).or_default() += demand;
            }
        }
        self.deferral.overloaded.clear();
        for (service, demand) in waiting {
            if self.service_use(service, now).overloaded(demand) {
                self.deferral.overloaded.insert(service.to_string());
            }
        }
    }

    /// Service of a step and the demand of its waiting tasks; none if they cannot be placed.
    fn waiting_demand<'a>(&self, cat: &'a Catalogue, id: StepId) -> Option<(&'a str, u64)> {
        let job = self.jobs.get(&id.job).filter(|_| !self.is_unplaceable(id))?;
        let queue = cat.queues.get(&job.row.queue)?;
        Some((&queue.service, job.spec(id).demand().cpu * self.waiting(id) as u64))
    }

    /// The rank of a step under the present load: a late job yields while its service is overloaded.
    pub(super) fn rank_under_load(&self, rank: Rank, service: &str) -> Rank {
        match self.deferral.overloaded.contains(service) {
            true => rank.under_overload(),
            false => rank,
        }
    }

    /// Releases deferred steps of services with enough unused capacity.
    pub(super) fn release_deferred(&mut self, now: Now) {
        if self.deferral.places.is_empty() || self.deferral.next_release > now.mono {
            return;
        }
        self.deferral.next_release = now.mono + RELEASE_INTERVAL_MS;
        let services: Vec<String> = self.deferral.queues.keys().cloned().collect();
        for service in services {
            self.release_from(&service, now);
        }
        metrics::gauge!("control_deferred_steps").set(self.deferral.len() as f64);
    }

    fn release_from(&mut self, service: &str, now: Now) {
        let (cat, capacity) = (self.cat.clone(), self.service_use(service, now));
        let counted = self.deferral.released.iter().filter(|(_, at)| **at + COUNTED_MS > now.mono);
        let demands = counted.filter_map(|(id, _)| self.waiting_demand(&cat, *id));
        let mut pending: u64 = demands.filter(|(s, _)| *s == service).map(|(_, d)| d).sum();
        let mut count = 0;
        while capacity.may_release(pending) {
            let Some(id) = self.deferral.first(service) else { break };
            let demand = self.waiting_demand(&cat, id).map_or(0, |(_, d)| d);
            self.deferral.remove(id);
            self.open.insert(id);
            self.deferral.released.insert(id, now.mono);
            self.deferral.due.insert(id);
            metrics::counter!("control_steps_released").increment(1);
            if count < MAX_LOGGED {
                log::info!(step:% = id, cpu = demand, pending, used_cpu = capacity.in_use,
                    total_cpu = capacity.total; "deferred step released");
            }
            count += 1;
            pending += demand;
        }
        if count > MAX_LOGGED {
            log::info!(steps = count, deferred = self.deferral.len(); "deferred steps released");
        }
    }

    /// Plans steps that were released, or answered after their release, since the last round. They
    /// rank last, and a pass over thousands of steps can take longer than [`RELEASE_MS`].
    pub(super) fn plan_released(
        &mut self,
        cat: &Catalogue,
        reserved: &mut GangReservations,
        now: Now,
    ) {
        if self.deferral.due.is_empty() {
            return;
        }
        let checks_before = self.counts.looks;
        let capacity_wait = self.gang_capacity_wait();
        while self.counts.looks < checks_before + MAX_RELEASED_CHECKS {
            let Some(id) = self.deferral.due.pop_first() else { return };
            if let Some(rank) = self.rank(id, capacity_wait, now) {
                self.plan_step(cat, id, rank, reserved, now);
            }
        }
    }

    /// Opens the deferred steps of queues whose objective or service differs from the `last`
    /// catalogue, or that are `removed`. Those still expired are deferred again in the next pass.
    pub(super) fn open_deferred(&mut self, last: &Catalogue, removed: &BTreeSet<String>) {
        let (jobs, cat) = (&self.jobs, &self.cat);
        let changed = |id: &StepId| {
            let Some(job) = jobs.get(&id.job) else { return true };
            let queue = |cat: &'_ Catalogue| cat.queues.get(&job.row.queue).cloned();
            match (queue(last), queue(cat)) {
                (Some(a), Some(b)) => !a.ranks_like(&b) || removed.contains(&b.name),
                _ => true,
            }
        };
        let steps: Vec<StepId> = self.deferral.steps().filter(changed).collect();
        for id in steps {
            self.deferral.remove(id);
            self.open.insert(id);
        }
    }

    /// Forgets the steps of a job that has ended.
    pub(super) fn forget_deferred(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        for step in &job.steps {
            self.deferral.remove(step.id);
        }
    }

    /// Capacity that tasks of a released step may take now; `None` if the step was not released.
    pub(super) fn release_budget(&mut self, v: &StepView<'_>, now: Now) -> Option<u64> {
        self.deferral.released.get(&v.id)?;
        Some(self.service_use(&v.queue.service, now).budget(v.step.demand().cpu))
    }
}
