//! Gang reservations: runners reserved for gangs that wait for capacity.
//!
//! Needed for wide gangs that few runners may run, on a cell where tasks of other steps arrive all
//! the time. Capacity for a gang becomes free task by task, and other tasks would take each piece.
//! A waiting gang therefore reserves runners, on which only urgent queues may place tasks. The
//! number of gangs with reservations is bounded, and a gang reserves nothing that would not be enough
//! for it. Services, and steps that have waited for long while much capacity is unused, are placed on
//! reserved runners, too.

use super::plan::StepView;
use super::teams::TeamKey;
use super::{Engine, Now, Runner, RunnerKey};
use crate::control::model::{Queue, StepId};
use crate::control::policy::place::{self, Candidate};
use crate::control::policy::queue::Rank;
use crate::kernel::res::Resources;
use std::collections::BTreeSet;

/// Maximum number of gangs with reservations, for gangs that are not late and while the cell keeps
/// up.
const MAX_RESERVING_GANGS: usize = 12;

/// Maximum number of gangs with reservations in a cell that does not keep up, or for gangs that are
/// late. Reserved capacity is unused capacity, which lookups lack then.
const MAX_RESERVING_GANGS_OVERLOADED: usize = 2;

/// A cell does not keep up while the waiting demand exceeds this share of its processors, per cent.
const OVERLOAD_PERCENT: u64 = 40;

/// Share of the allocated capacity of a runner that a waiting gang expects to become free, per
/// cent: its tasks end one by one, and a gang that expected all of it would wait for the last.
const EXPECTED_FREE_PERCENT: u64 = 25;

/// A step that has waited for this long uses reserved runners, ms, while its service has capacity for
/// deferred steps: an accepted job must not stay without a running task while capacity is unused.
const MAX_RESERVED_WAIT_MS: u64 = 5_000;

/// Processor demand of the waiting steps and capacity of the cell, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    /// Demand of the waiting steps.
    pub demand: u64,
    /// Capacity of all runners.
    pub capacity: u64,
}

impl Backlog {
    /// Whether the demand exceeds `share` per cent of the capacity.
    pub fn exceeds(self, share: u64) -> bool {
        self.demand * 100 > self.capacity * share
    }
}

/// Runners reserved so far in a planning pass, and for how many gangs.
#[derive(Default)]
pub(super) struct GangReservations {
    runners: BTreeSet<RunnerKey>,
    gangs: usize,
    backlog: Backlog,
    /// Teams of which a gang waits for the team's cap. Their other non-urgent steps of lower rank
    /// wait, too: else these would take each part of the cap that becomes free.
    teams: BTreeSet<TeamKey>,
}

impl GangReservations {
    /// No reservations yet, with `backlog` waiting.
    pub fn new(backlog: Backlog) -> Self {
        Self { backlog, ..Self::default() }
    }

    /// The part of a runner's free capacity that non-urgent steps may use.
    pub fn available(&self, k: RunnerKey, free: Resources) -> Resources {
        match self.contains(k) {
            true => Resources::ZERO,
            false => free,
        }
    }

    /// Records that a gang waits for the cap of its team.
    pub fn hold_team(&mut self, team: TeamKey) {
        self.teams.insert(team);
    }

    /// Whether a gang of higher rank waits for the cap of this team.
    pub fn holds_team(&self, team: TeamKey) -> bool {
        self.teams.contains(&team)
    }

    /// Whether a runner is reserved.
    pub fn contains(&self, k: RunnerKey) -> bool {
        self.runners.contains(&k)
    }

    /// The backlog without a gang whose own demand is `cpu`.
    pub fn without(&self, cpu: u64) -> Backlog {
        Backlog { demand: self.backlog.demand.saturating_sub(cpu), ..self.backlog }
    }

    /// Whether a gang of this rank may begin to reserve runners.
    pub fn allows(&self, rank: Rank) -> bool {
        let limit = if rank.late || self.backlog.exceeds(OVERLOAD_PERCENT) {
            MAX_RESERVING_GANGS_OVERLOADED
        } else {
            MAX_RESERVING_GANGS
        };
        rank.non_urgent && !rank.excess && self.gangs < limit
    }
}

impl Engine {
    /// Whether a step may use reserved runners.
    pub(super) fn may_use_reserved(&mut self, id: StepId, queue: &Queue, now: Now) -> bool {
        let Some((step, job)) = self.step(id).zip(self.jobs.get(&id.job)) else { return false };
        if job.spec(id).lasts {
            return true;
        }
        step.opened + MAX_RESERVED_WAIT_MS <= now.mono
            && self.service_use(&queue.service, now).may_release(0)
    }

    /// Reserves runners for a waiting gang out of its `candidates`, largest free capacity first,
    /// until the capacity that is free there or expected to become free is enough.
    pub(super) fn reserve(
        &mut self,
        v: &StepView<'_>,
        rank: Rank,
        candidates: &[Candidate<RunnerKey>],
        reserved: &mut GangReservations,
        now: Now,
    ) {
        let (need, count) = (v.step.demand(), v.waiting as u64);
        // Runners that take no tasks at present may be missing for long.
        let usable = |r: &Runner| r.usable(now);
        if !reserved.allows(rank) || self.drained_slots(v, count, usable) < count {
            return;
        }
        reserved.gangs += 1;
        let mut by_free: Vec<&Candidate<RunnerKey>> = candidates.iter().collect();
        by_free.sort_by_key(|p| std::cmp::Reverse((p.free.cpu, p.key)));
        let mut missing = count;
        for p in by_free {
            if missing == 0 {
                return;
            }
            let drained = Candidate { free: self.runners.get(p.key).drained(), ..p.clone() };
            let now = place::capacity(std::slice::from_ref(p), &need);
            let later = place::capacity(&[drained], &need).saturating_sub(now);
            missing = missing.saturating_sub((now + later * EXPECTED_FREE_PERCENT / 100).max(1));
            reserved.runners.insert(p.key);
        }
    }
}
