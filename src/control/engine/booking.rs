//! Room kept for a gang while its tickets are asked for.
//!
//! Room that is free when a question about a gang's runners is sent is gone by the time of its answer.
//! Without a booking the gang asks again and again, and keeps the service busy for everybody.

use super::{Engine, Now, RunnerKey};
use crate::control::model::StepId;
use crate::kernel::res::Resources;
use std::collections::BTreeSet;

/// A booking is given up after this long, ms, unless its question is under way.
const BOOKING_MS: u64 = 2_500;

/// ... and after this long in any case, ms, so that a gang whose questions get no answer does not
/// keep room from others.
const LONGEST_MS: u64 = 5_000;

/// What an answer leaves of its booking at least, ms: rounds to place the gang in.
const ANSWERED_MS: u64 = 100;

/// Runners for the members of a gang, one each, and the room of a member.
#[derive(Clone, Debug)]
pub(super) struct Booking {
    /// Where the members go.
    pub keys: Vec<RunnerKey>,
    need: Resources,
    until: u64,
    last: u64,
}

impl Booking {
    /// The runners booked, each once.
    pub fn runners(&self) -> BTreeSet<RunnerKey> {
        self.keys.iter().copied().collect()
    }
}

impl Engine {
    /// Books room for a gang.
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

    /// Gives a booking back.
    pub(super) fn unbook(&mut self, id: StepId) -> Option<Booking> {
        let b = self.bookings.remove(&id)?;
        self.round.moves += 1;
        for k in &b.keys {
            let r = self.runners.get_mut(*k);
            r.booked = r.booked.sub(&b.need);
        }
        Some(b)
    }

    /// Keeps the bookings whose questions are under way.
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

    /// Gives back bookings whose time is up, whose step no longer waits, or that name a runner
    /// that takes no tasks any more.
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
