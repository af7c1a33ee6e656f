//! Full read of a table in slices: the partitions that remain, and the size of the next slice.
//!
//! Without slices, a table of 9 MB is requested all at once over a link of 10 Mbit/s. No answer
//! completes within its timeout, the next attempt starts from the beginning, and the instance's
//! link is saturated permanently: writes and lookups wait behind rows that are discarded. Visible
//! as repeated `part of a table not read`, saturated links, and instances that never log `table
//! read`. So pages that were read are kept, the size of a slice is about what the link has recently
//! transferred in `SLICE_MS`, and the link is left free between slices.

use crate::control::model::JobId;
use std::collections::{BTreeSet, VecDeque};

/// Most concurrent reads: one after the other, 64 partitions would take a starting instance 15 s on
/// a store that answers in 240 ms.
const MAX_READS: usize = 16;

/// Fewest rows requested in one read: with fewer, the overhead of calls would exceed the data.
const MIN_ROWS: usize = 16;

/// Most rows requested in one read: the store's limit of a page.
const MAX_ROWS: usize = 500;

/// Target duration of a slice, ms: longer than the 240 ms that a store takes for any answer when
/// sixty times slower than usual, so that slices don't shrink because of latency alone, and short
/// against a caller's timeout of 3 s, since answers to callers share the link.
const SLICE_MS: u64 = 300;

/// A slice that took no longer than this, ms, is not followed by a pause.
const NO_PAUSE_MS: u64 = 100;

/// Size of the first slice, bytes: 200 ms of the smallest link, 10 Mbit/s.
const FIRST_SLICE: usize = 256 * 1024;

/// Minimum size of a slice, bytes.
const MIN_SLICE: usize = 16 * 1024;

/// Maximum size of a slice, bytes: 160 ms of a link of 200 Mbit/s, and small enough for the memory
/// of every instance.
const MAX_SLICE: usize = 4 * 1024 * 1024;

/// Assumed size of a row on the wire before the first one was read, bytes.
const FIRST_ROW: usize = 1_000;

/// Overhead of a row on the wire besides its value, bytes: names, version and delimiters.
const ROW_OVERHEAD: usize = 150;

/// Inverse weight of a new slice in the moving average of the row size.
const ROW_WEIGHT: usize = 4;

/// A poll of the feed with this many rows may not have brought all changes: an answer of the feed holds
/// 500 rows or 1 MB.
const MANY_ROWS: usize = 250;

/// Whether the next poll of a feed follows at once one that brought `rows` and moved the position in
/// the feed from `before` to `after`. An instance that pauses after each such poll falls behind.
pub fn polls_on(rows: usize, before: Option<u64>, after: Option<u64>) -> bool {
    rows >= MANY_ROWS && after > before
}

/// Chooses the size of slices, adapted to the throughput of earlier ones.
#[derive(Clone, Copy, Debug)]
pub struct SliceSizer {
    /// Size of the next slice, bytes.
    budget: usize,
    /// Moving average of the size of a row on the wire, bytes.
    row: usize,
}

impl Default for SliceSizer {
    fn default() -> Self {
        Self { budget: FIRST_SLICE, row: FIRST_ROW }
    }
}

/// Size on the wire of a row with a value of `len` bytes, in the store's base64 encoding.
pub fn wire_size(len: usize) -> usize {
    len * 4 / 3 + ROW_OVERHEAD
}

impl SliceSizer {
    /// Number of reads of the next slice with `partitions` remaining, and rows to request in each.
    pub fn next_reads(&self, partitions: usize) -> (usize, usize) {
        let reads = (self.budget / (MIN_ROWS * self.row)).min(partitions).clamp(1, MAX_READS);
        let rows = (self.budget / reads / self.row).clamp(MIN_ROWS, MAX_ROWS);
        (reads, rows)
    }

    /// Records a slice that was read in `ms`. Returns the pause before the next one, ms. The
    /// throughput of a slice smaller than half the budget is not representative and doesn't reduce
    /// the budget.
    pub fn record_slice(&mut self, rows: usize, bytes: usize, ms: u64) -> u64 {
        if let Some(size) = bytes.checked_div(rows) {
            self.row = (self.row * (ROW_WEIGHT - 1) + size) / ROW_WEIGHT;
        }
        let full = bytes >= self.budget / 2;
        let sustained = bytes * SLICE_MS as usize / ms.max(1) as usize;
        let next = if full { sustained } else { usize::MAX };
        self.budget = next.clamp(self.budget / 2, self.budget * 2).clamp(MIN_SLICE, MAX_SLICE);
        match full && ms > NO_PAUSE_MS {
            true => ms,
            false => 0,
        }
    }

    /// Halves the size of slices after one that timed out.
    pub fn shrink(&mut self) {
        self.budget = (self.budget / 2).max(MIN_SLICE);
    }
}

/// Progress of the full read of a table.
#[derive(Debug, Default)]
pub struct Reading {
    /// Partitions that remain, each with the key to continue from.
    pub remaining: VecDeque<(String, String)>,
    /// Number of rows read.
    pub rows: usize,
    /// The first slice has been read, and the feed is polled from its version on.
    pub started: bool,
    /// When the feed was last polled, local ms. Kept across attempts: a failed read ends an
    /// attempt, and if each began to count anew, the history of the feed could expire between polls.
    pub feed_polled: u64,
    /// When the full read began, local ms.
    pub began: u64,
    /// Keys of the registry's rows. The scheduler drops the runners that are not among them.
    pub keys: BTreeSet<String>,
    /// Jobs of which a row was read or stored since the read began. The others have been deleted.
    pub jobs: BTreeSet<JobId>,
}

impl Reading {
    /// A full read of `partitions` that begins at `now`, local ms.
    pub fn new(partitions: Vec<String>, now: u64) -> Self {
        let remaining = partitions.into_iter().map(|p| (p, String::new())).collect();
        Self { remaining, feed_polled: now, began: now, ..Self::default() }
    }

    /// Moves a partition whose read failed behind the others: an unavailable partition must not
    /// keep the rest of the table from being read.
    pub fn move_to_back(&mut self, partition: &str) {
        if let Some(at) = self.remaining.iter().position(|(p, _)| p == partition) {
            let failed = self.remaining.remove(at);
            self.remaining.extend(failed);
        }
    }

    /// Records a page of a partition; `next` is the key of its last row if more rows follow.
    pub fn record_page(&mut self, partition: &str, rows: usize, next: Option<String>) {
        self.rows += rows;
        let Some(at) = self.remaining.iter().position(|(p, _)| p == partition) else { return };
        match next {
            Some(key) => self.remaining[at].1 = key,
            None => drop(self.remaining.remove(at)),
        }
    }
}
