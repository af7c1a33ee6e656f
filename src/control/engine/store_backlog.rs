//! Placements that wait for the store, and the limit on further decisions.
//!
//! Needed for a store that is slow, or lost a partition, during a burst of lookups. Without it, an
//! overload sustains itself: more is placed than is stored; tickets expire before the start; their
//! steps request advice again; those requests delay all others, and what they approve is stored
//! later still, until long after the store has recovered. Visible as an unusual number of advice
//! requests with few starts. The number of jobs that are being stored or have pending advice
//! requests is therefore limited to what a partition has recently stored in a fraction of a
//! ticket's validity, and nothing is decided while a placement has waited too long. Urgent queues
//! are stored first, and only their own jobs count against them.

use super::{Engine, Now};
use crate::control::model::JobId;
use crate::control::partitions::{self, Partition};
use std::collections::{BTreeMap, BTreeSet};

/// While a placement has waited longer than this for the store, nothing more is decided for its
/// partition, ms: several commits of a store sixty times too slow, and less than a ticket's
/// validity.
const STORE_LATE_MS: u64 = 1_400;

/// A store on which a commit takes longer than this, or a placement waits for longer, is slow, ms.
const STORE_SLOW_MS: u64 = 250;

/// A commit that ended longer ago than this says nothing about the store, ms.
const COMMIT_AGE_MS: u64 = 2_000;

/// Time in which the pending jobs should be stored, ms: a fraction of a ticket's validity.
const WINDOW_MS: u64 = 600;

/// Lower bound of the limit of pending jobs of a partition: the writes of one transaction.
const MIN_WINDOW: u64 = 46;

/// Placements of a job that are not stored.
#[derive(Clone, Copy, Debug)]
pub struct Unstored {
    /// When the first of them was decided, local ms.
    at: u64,
    /// Revision of the job that stores them.
    rev: u64,
    non_urgent: bool,
}

/// Jobs with placements that are not stored, by partition and whether their queue is non-urgent.
#[derive(Debug, Default)]
pub(super) struct StoreBacklog {
    waiting: BTreeMap<(Partition, bool), BTreeSet<(u64, JobId)>>,
    performance: [WritePerformance; partitions::COUNT],
}

/// Recent write performance of a partition.
#[derive(Clone, Copy, Debug, Default)]
struct WritePerformance {
    /// Duration of the last commit, ms.
    commit_ms: u64,
    /// When it ended, local ms.
    ended: u64,
    /// Rows a second, by the last commit.
    rate: u64,
}

impl StoreBacklog {
    /// Duration of the last commit to a partition, ms; 0 before the first.
    pub fn commit_ms(&self, partition: Partition) -> u64 {
        self.performance[partition.index()].commit_ms
    }

    /// Records that a commit sent at `sent` stored `rows` rows of a partition.
    pub fn record_commit(&mut self, partition: Partition, rows: usize, sent: u64, now: u64) {
        let latest = &mut self.performance[partition.index()];
        let commit_ms = now.saturating_sub(sent);
        // For transactions that are carried out one after the other, the time counts from the end
        // of the previous one.
        let span = commit_ms.min(now.saturating_sub(latest.ended)).max(1);
        *latest = WritePerformance { commit_ms, ended: now, rate: rows as u64 * 1_000 / span };
    }

    /// Whether any partition is slow or late, so that stopped work might not be placed again.
    pub fn slow(&self, now: u64) -> bool {
        let slow =
            |p: &WritePerformance| p.commit_ms > STORE_SLOW_MS && p.ended + COMMIT_AGE_MS > now;
        let waits = |jobs: &BTreeSet<(u64, JobId)>| {
            jobs.first().is_some_and(|(at, _)| at + STORE_SLOW_MS < now)
        };
        self.performance.iter().any(slow) || self.waiting.values().any(waits)
    }

    /// Maximum number of pending jobs of a partition; unlimited before the first commit.
    fn window(&self, partition: Partition) -> u64 {
        match self.performance[partition.index()] {
            WritePerformance { ended: 0, .. } => u64::MAX,
            latest => (latest.rate * WINDOW_MS / 1_000).max(MIN_WINDOW),
        }
    }

    /// Number of jobs of a partition with placements that wait, of non-urgent queues or of urgent
    /// ones.
    fn count(&self, partition: Partition, non_urgent: bool) -> usize {
        self.waiting.get(&(partition, non_urgent)).map_or(0, BTreeSet::len)
    }

    /// Whether a placement of a partition has waited too long.
    fn late(&self, partition: Partition, non_urgent: bool, now: u64) -> bool {
        let first = self.waiting.get(&(partition, non_urgent)).and_then(BTreeSet::first);
        first.is_some_and(|(at, _)| at + STORE_LATE_MS <= now)
    }
}

impl Engine {
    /// Whether nothing is decided for a job now, since earlier decisions wait for the store.
    pub(super) fn store_busy(&self, id: JobId, non_urgent: bool, now: Now) -> bool {
        let partition = Partition::of(id);
        let pending = |non_urgent| {
            self.store_backlog.count(partition, non_urgent)
                + self.advice_requests.steps(partition, non_urgent)
        };
        let all = pending(false) + if non_urgent { pending(true) } else { 0 };
        all as u64 >= self.store_backlog.window(partition)
            || self.store_backlog.late(partition, non_urgent, now.mono)
    }

    /// Records a placement that has to be stored with revision `rev` of its job.
    pub(super) fn record_unstored(&mut self, id: JobId, rev: u64, non_urgent: bool, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.unstored.is_none() {
            job.unstored = Some(Unstored { at: now.mono, rev, non_urgent });
            let waiting =
                self.store_backlog.waiting.entry((Partition::of(id), non_urgent)).or_default();
            waiting.insert((now.mono, id));
        }
    }

    /// Records that revision `rev` of a job is stored. Placements decided since then wait from now
    /// on.
    pub(super) fn record_stored(&mut self, id: JobId, rev: u64, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(unstored) = job.unstored.take_if(|u| u.rev <= rev) else { return };
        let newest = job.newest_placement();
        if let Some(waiting) =
            self.store_backlog.waiting.get_mut(&(Partition::of(id), unstored.non_urgent))
        {
            waiting.remove(&(unstored.at, id));
        }
        if let Some(later) = newest.filter(|r| *r > rev) {
            self.record_unstored(id, later, unstored.non_urgent, now);
        }
    }
}
