//! Provisional reservations: capacity kept for a gang while its tickets are requested.
//!
//! Capacity that is free when an advice request for a gang is sent is usually gone when the answer
//! arrives. Without a reservation the gang repeats its request again and again, and loads the
//! service at the expense of all other steps. Reservations are bounded in time.

use super::{Engine, Now, RunnerKey};
use crate::control::model::StepId;
use crate::kernel::res::Resources;
use std::collections::BTreeSet;

/// Time after which a provisional reservation is released, ms, unless an advice request for its
/// step is pending.
const BOOKING_MS: u64 = 2_500;

/// Time after which a provisional reservation is released in any case, ms, so that a gang whose
/// requests are not answered does not keep capacity from others.
const LONGEST_MS: u64 = 5_000;

/// Minimum time that a provisional reservation is kept after an answer, ms: covers the rounds that
/// place the gang.
const ANSWERED_MS: u64 = 100;

/// The runners reserved for the members of a gang, one for each member, and the demand of a member.
#[derive(Clone, Debug)]
pub(super) struct Booking {
    /// Runner of each member.
    pub keys: Vec<RunnerKey>,
    need: Resources,
    until: u64,
    last: u64,
}

impl Booking {
    /// The reserved runners without duplicates.
    pub fn runners(&self) -> BTreeSet<RunnerKey> {
        self.keys.iter().copied().collect()
    }
}

impl Engine {
    /// Reserves capacity for a gang.
    pub(super) fn book(&mut self, id: StepId, keys: Vec<RunnerKey>, need: Resources, now: Now) {
        self.round.moves += 1;
        for k in &keys {
            let r = self.runners.get_mut(*k);
            r.booked = r.booked.add(&need);
        }
        log::info!(step:% = id, members = keys.len(); "room booked while tickets are asked for");
        let (until, last) = (now.mono + BOOKING_MS, now.mono + LONGEST_MS);
        self.bookings.insert(id, Booking { keys, need, until, last });
    }

    /// Removes a provisional reservation and frees its capacity.
    pub(super) fn unbook(&mut self, id: StepId) -> Option<Booking> {
        let b = self.bookings.remove(&id)?;
        self.round.moves += 1;
        for k in &b.keys {
            let r = self.runners.get_mut(*k);
            r.booked = r.booked.sub(&b.need);
        }
        Some(b)
    }

    /// Extends the reservations of steps with pending advice requests.
    fn hold_bookings(&mut self, now: Now) {
        let jobs = &self.jobs;
        let asking = |id: &StepId| {
            let step = jobs.get(&id.job).and_then(|j| j.step(*id));
            step.is_some_and(|s| s.approvals.asking > 0)
        };
        for (_, b) in self.bookings.iter_mut().filter(|(id, _)| asking(id)) {
            b.until = b.until.max(now.mono + ANSWERED_MS).min(b.last);
        }
    }

    /// Releases reservations that have expired, whose step no longer waits, or that include a
    /// runner that takes no new tasks.
    pub(super) fn expire_bookings(&mut self, now: Now) {
        self.hold_bookings(now);
        let over = |id: &StepId, b: &Booking| {
            let usable = b.keys.iter().all(|k| self.runners.get(*k).usable(now));
            b.until <= now.mono || !usable || !self.open.contains(id)
        };
        let due: Vec<StepId> =
            self.bookings.iter().filter(|(id, b)| over(id, b)).map(|(id, _)| *id).collect();
        for id in due {
            log::info!(step:% = id; "booking given back");
            self.unbook(id);
        }
    }
}
