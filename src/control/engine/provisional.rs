//! Provisional reservations: capacity kept for a gang while its tickets are requested.
//!
//! Capacity that is free when an advice request for a gang is sent is usually in use by the time
//! the answer arrives. Without a reservation the gang repeats its request again and again, and
//! loads the service at the expense of all other steps. The time of a reservation is bounded.

use super::teams::TeamKey;
use super::{Engine, Now, RunnerKey};
use crate::control::model::StepId;
use crate::kernel::res::Resources;
use std::collections::BTreeSet;

/// Time after which a provisional reservation is released, ms, unless an advice request for its
/// step is pending.
const PROVISIONAL_MS: u64 = 2_500;

/// Time after which a provisional reservation is released in any case, ms, so that a gang whose
/// requests are not answered does not keep capacity from others.
const MAX_PROVISIONAL_MS: u64 = 5_000;

/// Minimum time that a provisional reservation is kept after an answer, ms: covers the rounds that
/// place the gang.
const AFTER_ANSWER_MS: u64 = 100;

/// The runners reserved for the members of a gang, one for each member, and the demand of a member.
#[derive(Clone, Debug)]
pub(super) struct ProvisionalReservation {
    /// Runner of each member.
    pub keys: Vec<RunnerKey>,
    need: Resources,
    /// Its team, and what counts against the team's cap.
    team: Option<TeamKey>,
    charge: Resources,
    /// When it expires, local ms; extended while an advice request for the step is pending.
    until: u64,
    /// Latest time to which `until` may be extended, local ms.
    limit: u64,
}

impl ProvisionalReservation {
    /// The reserved runners without duplicates.
    pub fn runners(&self) -> BTreeSet<RunnerKey> {
        self.keys.iter().copied().collect()
    }
}

impl Engine {
    /// Reserves capacity for a gang.
    pub(super) fn reserve_provisionally(
        &mut self,
        id: StepId,
        keys: Vec<RunnerKey>,
        need: Resources,
        now: Now,
    ) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let (team, charge) = (job.team, job.spec(id).charge().times(keys.len() as u64));
        self.team_reserve(team, &charge);
        for k in &keys {
            self.change_runner(*k, |r| r.provisional = r.provisional.add(&need));
        }
        log::info!(step:% = id, members = keys.len(); "room booked while tickets are asked for");
        let (until, limit) = (now.mono + PROVISIONAL_MS, now.mono + MAX_PROVISIONAL_MS);
        let reservation = ProvisionalReservation { keys, need, team, charge, until, limit };
        self.provisional.insert(id, reservation);
    }

    /// Has a reservation expire at `end`, local ms, at the latest.
    pub(super) fn limit_provisional(&mut self, id: StepId, end: u64) {
        if let Some(b) = self.provisional.get_mut(&id) {
            (b.until, b.limit) = (b.until.min(end), b.limit.min(end));
        }
    }

    /// Removes a provisional reservation and frees its capacity.
    pub(super) fn release_provisional(&mut self, id: StepId) -> Option<ProvisionalReservation> {
        let b = self.provisional.remove(&id)?;
        self.team_unreserve(b.team, &b.charge);
        for k in &b.keys {
            self.change_runner(*k, |r| r.provisional = r.provisional.sub(&b.need));
        }
        Some(b)
    }

    /// Extends the reservations of steps with pending advice requests.
    fn extend_provisional(&mut self, now: Now) {
        let jobs = &self.jobs;
        let pending = |id: &StepId| {
            let step = jobs.get(&id.job).and_then(|j| j.step(*id));
            step.is_some_and(|s| s.approvals.pending > 0)
        };
        for (_, b) in self.provisional.iter_mut().filter(|(id, _)| pending(id)) {
            b.until = b.until.max(now.mono + AFTER_ANSWER_MS).min(b.limit);
        }
    }

    /// Releases reservations that have expired, whose step no longer waits, that include a
    /// runner that takes no new tasks, or whose team's cap has been lowered.
    pub(super) fn expire_provisional(&mut self, now: Now) {
        self.extend_provisional(now);
        let expired = |id: &StepId, b: &ProvisionalReservation| {
            let usable = b.keys.iter().all(|k| self.runners.get(*k).usable(now));
            let over_cap = self.team_overbooked(id.job);
            b.until <= now.mono || !usable || over_cap || !self.open.contains(id)
        };
        let due: Vec<StepId> =
            self.provisional.iter().filter(|(id, b)| expired(id, b)).map(|(id, _)| *id).collect();
        for id in due {
            log::info!(step:% = id; "booking given back");
            self.release_provisional(id);
        }
    }
}
