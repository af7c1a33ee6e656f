//! Placements that wait for the store, and when nothing more is decided.
//!
//! The load this answers: a store that is slow, or has lost a part, beside a burst of lookups. What goes
//! wrong otherwise keeps itself up: more is placed than is stored; tickets run out before the start;
//! their steps are asked about again, those questions make all others late, and what they approve is
//! stored later still, until long after the store is well. One notices by many times the usual number of
//! questions beside few starts. So no more is on its way to the store, or asked about, than a part has
//! lately stored in a fraction of a ticket's life, and nothing while what is on its way has waited too
//! long. Urgent queues, which are stored first, are judged by their own.

use super::{Engine, Now};
use crate::control::model::JobId;
use crate::control::parts::{self, Part};
use std::collections::{BTreeMap, BTreeSet};

/// Placements that have waited longer for the store, ms, hold up others: several commits of a store
/// sixty times too slow, and less than a ticket's life.
const LATE_MS: u64 = 1_400;

/// Time in which what is on its way should be stored, ms: a fraction of a ticket's life.
const HORIZON_MS: u64 = 600;

/// Jobs that may always be on their way to a part: one transaction.
const LEAST_WINDOW: u64 = 46;

/// Placements of a job that are not stored.
#[derive(Clone, Copy, Debug)]
pub struct Unstored {
    /// Since when, local ms.
    at: u64,
    /// Revision of the job that stores them.
    rev: u64,
    patient: bool,
}

/// Jobs with placements that are not stored, by part and whether their queue is patient.
#[derive(Debug, Default)]
pub(super) struct Storing {
    waiting: BTreeMap<(Part, bool), BTreeSet<(u64, JobId)>>,
    parts: [Speed; parts::COUNT],
}

/// What a part of the store has lately stored.
#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    /// What the last commit took, ms.
    took: u64,
    /// When it ended, local ms.
    ended: u64,
    /// Rows a second, by the last commit.
    rate: u64,
}

impl Storing {
    /// What storing takes in a part as far as is known, ms.
    pub fn took(&self, part: Part) -> u64 {
        self.parts[part.index()].took
    }

    /// Notes that a commit sent at `sent` stored `rows` of a part.
    pub fn note(&mut self, part: Part, rows: usize, sent: u64, now: u64) {
        let speed = &mut self.parts[part.index()];
        let took = now.saturating_sub(sent);
        // Of transactions that are carried out one after the other each counts from the last one's end.
        let span = took.min(now.saturating_sub(speed.ended)).max(1);
        *speed = Speed { took, ended: now, rate: rows as u64 * 1_000 / span };
    }

    /// Jobs of a part that may be on their way to the store; any number before the first commit.
    fn window(&self, part: Part) -> u64 {
        match self.parts[part.index()] {
            Speed { ended: 0, .. } => u64::MAX,
            speed => (speed.rate * HORIZON_MS / 1_000).max(LEAST_WINDOW),
        }
    }

    /// Jobs of a part with placements that wait, of urgent queues or of patient ones.
    fn count(&self, part: Part, patient: bool) -> usize {
        self.waiting.get(&(part, patient)).map_or(0, BTreeSet::len)
    }

    /// Whether placements of a part have waited too long.
    fn late(&self, part: Part, patient: bool, now: u64) -> bool {
        let first = self.waiting.get(&(part, patient)).and_then(BTreeSet::first);
        first.is_some_and(|(at, _)| at + LATE_MS <= now)
    }
}

impl Engine {
    /// Whether nothing of a job is decided now, since earlier decisions wait for the store.
    pub(super) fn store_busy(&self, id: JobId, patient: bool, now: Now) -> bool {
        let part = Part::of(id);
        let under_way =
            |patient| self.storing.count(part, patient) + self.questions.steps(part, patient);
        let all = under_way(false) + if patient { under_way(true) } else { 0 };
        all as u64 >= self.storing.window(part) || self.storing.late(part, patient, now.mono)
    }

    /// Notes a placement that has to be stored with revision `rev` of its job.
    pub(super) fn note_unstored(&mut self, id: JobId, rev: u64, patient: bool, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.unstored.is_none() {
            job.unstored = Some(Unstored { at: now.mono, rev, patient });
            let waiting = self.storing.waiting.entry((Part::of(id), patient)).or_default();
            waiting.insert((now.mono, id));
        }
    }

    /// Notes that revision `rev` of a job is stored. Placements decided since then wait from now on.
    pub(super) fn note_stored(&mut self, id: JobId, rev: u64, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(unstored) = job.unstored.take_if(|u| u.rev <= rev) else { return };
        let newest = job.newest_placement();
        if let Some(waiting) = self.storing.waiting.get_mut(&(Part::of(id), unstored.patient)) {
            waiting.remove(&(unstored.at, id));
        }
        if let Some(later) = newest.filter(|r| *r > rev) {
            self.note_unstored(id, later, unstored.patient, now);
        }
    }
}
