//! Which completions of a runner were received, and which of them may be acknowledged.
//!
//! A runner forgets all completions up to the acknowledged number. One that is listed after another
//! with a higher number would be forgotten before it is received, so a number that is missing holds
//! back the acknowledgement of those above it for a while.

use crate::control::model::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// Most missing numbers that are remembered: more than the runs that a runner ends at once.
const MAX_MISSING: u64 = 4_096;

/// Most missing numbers below the first one that is received: a new leader does not know which of
/// them an earlier one has received.
const MAX_MISSING_BEFORE: u64 = 64;

/// Longest time between two answers that counts as waiting for a missing number, ms. A runner that
/// stands still lists nothing.
const MAX_GAP_MS: u64 = 200;

/// Longest time between two prompt answers, ms: a poll waits 800 ms at the runner for a completion, and
/// the next one follows after a planning round.
const PROMPT_MS: u64 = 1_200;

/// Most received completions that wait for acknowledgement because one of them is of a held job: a
/// runner lists 500 at a time, and none beyond them until these are acknowledged.
const MAX_HELD_BACK: usize = 250;

/// Most completions that a runner lists at a time by the platform's protocol.
pub const MAX_LISTED: usize = 500;

/// Whether the effect of a completion is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is stored, or there is none.
    Stored,
    /// It is to be stored.
    Pending,
    /// It is not known, since a row of the job cannot be decoded.
    Held,
}

/// Received completions of one incarnation of a runner.
#[derive(Clone, Debug, Default)]
pub struct Completions {
    /// Highest number received.
    pub highest: u64,
    /// When the last answer was given, ms of the runner's clock.
    answered: u64,
    /// Time between the last two answers, ms of the runner's clock.
    gap: u64,
    /// Most completions that an answer has listed: one that lists fewer was not cut short.
    longest: usize,
    /// Lowest number that the last answer listed; 0 if none could be decoded.
    lowest: u64,
    /// Value of `waited` since when `lowest` is the same and waits for nothing that is to be stored.
    lowest_since: u64,
    /// Time between answers so far, ms of the runner's clock, without what is beyond [`MAX_GAP_MS`].
    waited: u64,
    /// Lower numbers that were not received, and the value of `waited` when a higher one first was.
    missing: BTreeMap<u64, u64>,
    /// Those that are not acknowledged: job, and its revision that must be stored before.
    unacked: BTreeMap<u64, (JobId, u64)>,
    /// Completions up to this number may be acknowledged.
    acked: u64,
}

impl Completions {
    /// Whether a completion was not received before.
    pub fn is_new(&self, number: u64) -> bool {
        number > self.highest || self.missing.contains_key(&number)
    }

    /// Records an answer that was given at `clock`, ms of the runner's clock, and lists this many
    /// completions. Returns whether it lists all that the runner had to list.
    pub fn record_answer(&mut self, clock: u64, listed: usize) -> bool {
        self.gap = clock.saturating_sub(self.answered);
        self.waited += self.gap.min(MAX_GAP_MS);
        self.answered = clock;
        self.longest = self.longest.max(listed);
        listed == 0 || listed < self.longest
    }

    /// Whether the last answer came soon after the one before, so that the runs whose completions it
    /// is the first to list have just ended.
    pub fn prompt(&self) -> bool {
        self.gap <= PROMPT_MS
    }

    /// Records the lowest number that the last answer lists, 0 if none could be decoded. `held` is
    /// whether a job is held. Returns for how long answers have begun with the same completion although
    /// nothing is to be stored before it is acknowledged, ms: it is not acknowledged soon.
    pub fn record_lowest(&mut self, number: u64, held: impl Fn(JobId) -> bool) -> u64 {
        let first = self.unacked.first_key_value();
        let awaits_store = first.is_some_and(|(_, (job, _))| !held(*job));
        if awaits_store || self.lowest != number {
            (self.lowest, self.lowest_since) = (number, self.waited);
        }
        self.waited - self.lowest_since
    }

    /// Records that the last answer lists a completion. Returns whether it is new.
    pub fn receive(&mut self, number: u64) -> bool {
        if number <= self.highest {
            return self.missing.remove(&number).is_some();
        }
        let before = if self.highest == 0 { MAX_MISSING_BEFORE } else { MAX_MISSING };
        let first = (self.highest + 1).max(number.saturating_sub(before));
        self.missing.extend((first..number).map(|n| (n, self.waited)));
        while self.missing.len() as u64 > MAX_MISSING {
            self.missing.pop_first();
        }
        self.highest = number;
        true
    }

    /// Records that a completion was processed. It may be acknowledged once revision `rev` of its job
    /// is stored.
    pub fn record_processed(&mut self, number: u64, job: JobId, rev: u64) {
        self.unacked.insert(number, (job, rev));
    }

    /// Jobs of the processed completions that may not be acknowledged yet.
    pub fn unacked_jobs(&self) -> BTreeSet<JobId> {
        self.unacked.values().map(|(job, _)| *job).collect()
    }

    /// Whether all processed completions may be acknowledged.
    pub fn all_acked(&self) -> bool {
        self.unacked.is_empty()
    }

    /// Number up to which completions may be acknowledged. `effect` is that of a revision of a job. A
    /// missing number is awaited until answers have not listed it for `wait_ms`. Completions of held
    /// jobs are acknowledged once too many wait with them.
    pub fn acknowledge(&mut self, effect: impl Fn(JobId, u64) -> Effect, wait_ms: u64) -> u64 {
        while let Some((&number, &(job, rev))) = self.unacked.first_key_value() {
            let awaited = self.missing.range(..number).any(|(_, at)| at + wait_ms >= self.waited);
            if awaited {
                break;
            }
            match effect(job, rev) {
                Effect::Stored => {}
                Effect::Held if self.unacked.len() > MAX_HELD_BACK => {
                    metrics::counter!("control_held_acked").increment(1);
                    log::warn!(job:% = job, number;
                        "completion of a held job acknowledged: too many wait with it");
                }
                Effect::Pending | Effect::Held => break,
            }
            self.unacked.pop_first();
            self.acked = self.acked.max(number);
        }
        self.acked
    }
}
