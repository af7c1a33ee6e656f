//! Commit batching policy: when the scheduler writes to the store, which rows one transaction
//! takes, and when the term ends because no write is acknowledged. No I/O.
//!
//! While the store is fast, one transaction takes the changes of all partitions, which needs the
//! fewest calls. It takes twice as long as a transaction in a single partition, occupies all
//! partitions, and waits for the slowest. So while the store is slow, or a partition is
//! unavailable, each partition has transactions of its own. Without that, a busy cell changes more
//! rows than are stored, decisions wait for seconds, and tickets expire meanwhile, visible as
//! `ticket or room gone before the start`.

use super::{RETRY_MS, STEP_DOWN_MS};
use crate::control::partitions::{self, Partition, PartitionScope};

/// Most transactions over all partitions in flight: one in transit to the store, one being
/// executed, and one whose answer is in transit.
const JOINT_IN_FLIGHT: usize = 3;

/// Most transactions of one partition in flight. The store executes them one after the other, so
/// that more would only queue there.
const PARTITION_IN_FLIGHT: usize = 2;

/// A commit that takes longer than this, ms, marks the store as slow: about five times the usual
/// duration.
const SLOW_COMMIT_MS: u64 = 50;

/// Time after the last slow or failed commit for which partitions are written separately, ms.
const SEPARATE_MS: u64 = 2_000;

/// Shortest interval between two transactions of one partition, ms. On a fast store each round
/// would otherwise send one for each partition, and the store's calls are rate limited and priced.
const PARTITION_INTERVAL_MS: u64 = 20;

/// While the link is busy, the next transaction follows after this fraction of the duration of the
/// last one, so that rows that change again meanwhile are sent once.
const BUSY_INTERVAL_FRACTION: u64 = 2;

/// Commits of a term that are in flight, and when the next one may be sent.
#[derive(Clone, Copy, Debug)]
pub struct CommitBatching {
    /// Whether one transaction may take rows of several partitions.
    cross_part: bool,
    /// Transactions over all partitions in flight.
    joint: usize,
    /// Transactions in flight, by partition.
    in_flight: [usize; partitions::COUNT],
    /// Earliest time of the next transaction, by partition, local ms.
    not_before: [u64; partitions::COUNT],
    link_busy: bool,
    /// Earliest time of the next transaction over all partitions, local ms.
    joint_not_before: u64,
    /// Interval between two transactions over all partitions, ms.
    joint_interval: u64,
    /// Partitions are written separately until this time, local ms.
    separate_until: u64,
    /// When the last acknowledged write was sent, local ms.
    last_ack: u64,
}

impl CommitBatching {
    /// The policy for a term that begins at `now`, local ms. `cross_part` enables transactions over
    /// several partitions.
    pub fn new(cross_part: bool, now: u64) -> Self {
        Self {
            cross_part,
            joint: 0,
            in_flight: [0; partitions::COUNT],
            not_before: [0; partitions::COUNT],
            link_busy: false,
            joint_not_before: 0,
            joint_interval: 0,
            separate_until: 0,
            last_ack: now,
        }
    }

    /// The partitions of the next commit, or none if no commit may be sent now. `is_dirty` returns
    /// whether a partition has rows to store.
    pub fn next(&self, is_dirty: impl Fn(Partition) -> bool, now: u64) -> Option<PartitionScope> {
        let due = |p: &Partition| self.not_before[p.index()] <= now && is_dirty(*p);
        if self.cross_part && self.separate_until <= now {
            let any_due = self.joint_not_before <= now && Partition::all().any(|p| due(&p));
            return (any_due && self.joint < JOINT_IN_FLIGHT).then_some(PartitionScope::All);
        }
        let open = |p: &Partition| self.in_flight[p.index()] < PARTITION_IN_FLIGHT;
        Partition::all().filter(open).find(due).map(PartitionScope::One)
    }

    /// Records that a commit is sent.
    pub fn record_sent(&mut self, scope: PartitionScope, now: u64) {
        match scope {
            PartitionScope::All => {
                self.joint += 1;
                self.joint_not_before = now + self.joint_interval;
            }
            PartitionScope::One(p) => {
                self.in_flight[p.index()] += 1;
                self.not_before[p.index()] = now + PARTITION_INTERVAL_MS;
            }
        }
    }

    /// Records whether the link of this instance is busy: commits then wait for it, and take longer
    /// although the store is fast.
    pub fn set_link_busy(&mut self, busy: bool) {
        self.link_busy = busy;
    }

    /// Records the outcome of a commit that was sent at `sent`, local ms. `stored` is false if it
    /// failed or its outcome is unknown.
    pub fn record_outcome(&mut self, scope: PartitionScope, stored: bool, sent: u64, now: u64) {
        if !stored || now - sent > SLOW_COMMIT_MS && !self.link_busy {
            self.separate_until = now + SEPARATE_MS;
        }
        self.joint_interval =
            if self.link_busy { (now - sent) / BUSY_INTERVAL_FRACTION } else { 0 };
        if stored {
            self.record_ack(sent);
        }
        match scope {
            PartitionScope::All => self.joint -= 1,
            PartitionScope::One(p) => self.in_flight[p.index()] -= 1,
        }
        if let (PartitionScope::One(p), false) = (scope, stored) {
            self.not_before[p.index()] = now + RETRY_MS;
        }
    }

    /// Records that the store acknowledged a write that was sent at `sent`, local ms.
    pub fn record_ack(&mut self, sent: u64) {
        self.last_ack = self.last_ack.max(sent);
    }

    /// Whether the term has to end because the store has acknowledged no write for
    /// [`STEP_DOWN_MS`].
    pub fn is_expired(&self, now: u64) -> bool {
        now > self.last_ack + STEP_DOWN_MS
    }
}
