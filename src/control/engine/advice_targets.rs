//! Selection of the runners that an advice request names.
//!
//! Needed for cells of hundreds of runners that are four fifths full, where each step may run on a
//! part of them that only an advice request reveals. The cost of a request depends little on the
//! number of runners that it names, so that the connections to the service bound how many runners a
//! second can be checked.
//!
//! Steps of single tasks name the runners whose free capacity they fill up best. Tasks can only be
//! placed on runners that were named, and naming the emptiest ones would fragment the capacity that
//! gangs need. Gangs name the emptiest runners, in as many concurrent requests as are likely to
//! find capacity for all members: a wide gang that names a hundred runners at a time misses its
//! objective before enough of them are known.

use super::advice::{Kind, MAX_NAMED};
use super::gang_reservations::GangReservations;
use super::plan::StepView;
use super::{Engine, Now, RunnerKey};
use crate::control::policy::place::{self, Candidate, Placement};
use crate::control::policy::speeds::Preference;
use crate::kernel::res::Resources;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use std::cell::Cell;

/// Maximum number of runners named in a request for single tasks: a queue's objective allows for a
/// request that names 30.
pub(super) const MAX_NAMED_SINGLE: usize = 30;

/// Number of approved runners with free capacity that are named for each waiting task when tickets
/// have expired.
const RENEWALS_PER_TASK: usize = 2;

/// Capacity that a gang's requests should find, per cent of its demand: other tasks take part of it
/// before the answers arrive.
const GANG_SEARCH_PERCENT: u64 = 250;

impl Engine {
    /// Whether there are runners with capacity for a task of the step that no advice request for
    /// the step has named yet.
    pub(super) fn has_unnamed_runner(
        &mut self,
        v: &StepView<'_>,
        reserved: &GangReservations,
        now: Now,
    ) -> bool {
        let need = v.step.demand();
        let all = self.runners_by_cpu(&v.queue.service, now);
        let task_counts = self.tasks_per_runner(v);
        let fits = |k| {
            self.candidate_on(v, k, &task_counts, reserved, now).is_some_and(|p| need.fits(&p.free))
        };
        let mut checks = 0;
        let with_cpu = all.iter().take_while(|(cpu, _)| *cpu >= need.cpu).inspect(|_| checks += 1);
        let found = v.queue.approval.is_some()
            && with_cpu.map(|(_, k)| *k).any(|k| !self.advice_known(v, k) && fits(k));
        self.counts.looks += checks;
        found
    }

    /// Whether a runner was approved or denied for the step.
    pub(super) fn advice_known(&self, v: &StepView<'_>, k: RunnerKey) -> bool {
        let approvals = self.step(v.id).map(|s| &s.approvals);
        approvals.is_some_and(|a| a.tickets.contains_key(&k) || a.denied.contains(&k))
    }

    /// Requests advice about approved runners with free capacity, whose tickets have expired, or,
    /// if there are none, about runners not named yet. Gangs name only the latter.
    pub(super) fn request_advice(
        &mut self,
        v: &StepView<'_>,
        reserved: &GangReservations,
        missing: usize,
        now: Now,
    ) {
        let Some(a) = self.step(v.id).map(|s| &s.approvals) else { return };
        let held_back = self.connections_busy(v.kind());
        if v.queue.approval.is_none() || a.pending > 0 || a.retry_at > now.mono || held_back {
            return;
        }
        // A gang for which the approved runners have capacity has a provisional reservation and
        // does not get here.
        let mut picked = match v.step.gang {
            true => Vec::new(),
            false => self.approved_with_capacity(v, reserved, now),
        };
        picked.truncate(missing * RENEWALS_PER_TASK);
        if picked.is_empty() {
            picked = self.unnamed_runners(v, reserved, missing, now);
        }
        if picked.is_empty() {
            picked = self.unnamed_with_victims(v, reserved, missing, now);
        }
        if v.kind() == Kind::Urgent {
            self.record_demand(v, &picked, missing);
        }
        self.request_advice_for(v, &picked, now);
    }

    /// Records the capacity that `missing` tasks will probably use on the named runners, until the
    /// answer arrives. Without it, all requests of a burst of lookups would name the same runners,
    /// whose capacity is used up after the first answers, and the other steps would repeat their
    /// requests again and again. Non-urgent steps are left out: their requests take long, and would
    /// spread lookups over the cell.
    fn record_demand(&mut self, v: &StepView<'_>, named: &[RunnerKey], missing: usize) {
        let rate = self.approval_rates.get(&v.queue.name).copied().unwrap_or_default();
        let approved = rate.expected(named.len() as u64 * 100).max(100);
        let per_runner = |all: u64| all * missing as u64 * 100 / approved;
        let need = v.step.demand();
        let each = Resources {
            cpu: per_runner(need.cpu),
            mem: per_runner(need.mem),
            acc: per_runner(need.acc),
        };
        for k in named {
            let r = self.runners.get_mut(*k);
            r.anticipated = r.anticipated.add(&each);
        }
        self.advice_requests.record_demand(v.id, named.to_vec(), each);
    }

    /// Approved runners with free capacity, whether or not their tickets have expired.
    fn approved_with_capacity(
        &mut self,
        v: &StepView<'_>,
        reserved: &GangReservations,
        now: Now,
    ) -> Vec<RunnerKey> {
        let need = v.step.demand();
        let candidates = self.candidates(v, reserved, now);
        candidates.into_iter().filter(|p| need.fits(&p.free)).map(|p| p.key).collect()
    }

    /// Runners to name out of those that no request for the step has named yet.
    fn unnamed_runners(
        &mut self,
        v: &StepView<'_>,
        reserved: &GangReservations,
        missing: usize,
        now: Now,
    ) -> Vec<RunnerKey> {
        let Some(a) = self.step(v.id).map(|s| &s.approvals) else { return Vec::new() };
        let all_known = a.tickets.len() + a.denied.len() >= self.runners.len();
        let some_approved = !a.tickets.is_empty();
        if all_known
            || (!v.step.gang && some_approved && !self.has_unnamed_runner(v, reserved, now))
        {
            return Vec::new();
        }
        let need = v.step.demand();
        let all = self.runners_by_cpu(&v.queue.service, now);
        let task_counts = self.tasks_per_runner(v);
        let checks = Cell::new(0);
        let candidate = |&(_, k): &(u64, RunnerKey)| {
            checks.set(checks.get() + 1);
            match self.advice_known(v, k) {
                true => None,
                false => self.candidate_on(v, k, &task_counts, reserved, now),
            }
        };
        let remaining = |p: &Candidate<RunnerKey>| p.free.sub(&self.runners.get(p.key).anticipated);
        let candidates = all.iter().filter_map(candidate);
        let picked = match v.kind() {
            Kind::Gang if v.speed == Preference::Any => {
                self.select_gang_runners(v, candidates, missing)
            }
            Kind::Gang => {
                let mut ordered: Vec<_> = candidates.collect();
                ordered.sort_by_key(|p| p.speed_order);
                self.select_gang_runners(v, ordered.into_iter(), missing)
            }
            Kind::Urgent | Kind::Other => {
                // The same runners as the first ones of all that fit, without a look at the others.
                let best_first = all.iter().rev().skip_while(|(cpu, _)| *cpu < need.cpu);
                let fitting = best_first.filter_map(candidate).filter(|p| need.fits(&remaining(p)));
                let best: Vec<_> = match (self.rules.placement, v.speed) {
                    (Placement::BestFit, Preference::Any) => {
                        fitting.take(MAX_NAMED_SINGLE).collect()
                    }
                    _ => Vec::new(),
                };
                if best.len() == MAX_NAMED_SINGLE {
                    self.select_runners(v, best.into_iter(), missing)
                } else {
                    let (mut fit, mut full): (Vec<_>, Vec<_>) =
                        candidates.partition(|p| need.fits(&remaining(p)));
                    self.sort_by_policy(v, &mut fit);
                    self.victims_first(v, &mut full, now);
                    fit.sort_by_key(|p| p.speed_order);
                    self.select_runners(v, fit.into_iter().chain(full), missing)
                }
            }
        };
        self.counts.looks += checks.get();
        picked
    }

    /// Orders runners with enough capacity, given largest first, by the placement policy: tasks can
    /// only be placed on runners that were named.
    fn sort_by_policy(&self, v: &StepView<'_>, fit: &mut [Candidate<RunnerKey>]) {
        match self.rules.placement {
            Placement::BestFit => fit.reverse(),
            Placement::FirstFit => fit.sort_unstable_by_key(|p| p.key),
            Placement::Random => fit.shuffle(&mut StdRng::seed_from_u64(v.id.job.0)),
        }
    }

    /// Runners to name so that enough are probably approved for `missing` tasks, each counted with
    /// as many tasks as it has capacity for.
    pub(super) fn select_runners(
        &self,
        v: &StepView<'_>,
        candidates: impl Iterator<Item = Candidate<RunnerKey>>,
        missing: usize,
    ) -> Vec<RunnerKey> {
        let rate = self.approval_rates.get(&v.queue.name).copied().unwrap_or_default();
        let limit = if v.step.gang { MAX_NAMED } else { MAX_NAMED_SINGLE };
        let (mut unplaced, mut needed) = (missing as u64, 0);
        let mut out = Vec::new();
        for p in candidates.take(limit) {
            if unplaced == 0 && out.len() >= rate.runners_to_name(needed) {
                break;
            }
            if unplaced > 0 {
                needed += 1;
                unplaced =
                    unplaced.saturating_sub(place::slots(&p, &v.step.demand()).max(1).into());
            }
            out.push(p.key);
        }
        out
    }

    /// Runners to name for a gang of `count` tasks: requests are filled up, since naming more
    /// runners costs little more.
    fn select_gang_runners(
        &self,
        v: &StepView<'_>,
        mut candidates: impl Iterator<Item = Candidate<RunnerKey>>,
        count: usize,
    ) -> Vec<RunnerKey> {
        let rate = self.approval_rates.get(&v.queue.name).copied().unwrap_or_default();
        let target = count as u64 * GANG_SEARCH_PERCENT;
        let mut slots = 0;
        let mut out = Vec::new();
        while rate.expected(slots * 100) < target {
            let batch: Vec<_> = candidates.by_ref().take(MAX_NAMED).collect();
            if batch.is_empty() {
                break;
            }
            let found = |p: &Candidate<RunnerKey>| u64::from(place::slots(p, &v.step.demand()));
            slots += batch.iter().map(found).sum::<u64>();
            out.extend(batch.iter().map(|p| p.key));
        }
        out
    }

    /// Requests advice about runners, in as many requests as the service's limit requires.
    pub(super) fn request_advice_for(&mut self, v: &StepView<'_>, runners: &[RunnerKey], now: Now) {
        let Some(approval) = v.queue.approval else { return };
        for named in runners.chunks(MAX_NAMED) {
            let cost = approval.cost_ms(named.len());
            self.send_advice_request(v.id, named, v.kind(), cost, now);
        }
    }
}
