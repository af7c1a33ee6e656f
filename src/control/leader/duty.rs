//! When a scheduler writes to the store, and how long it may go on without an answer, without I/O.

use super::{BEAT_MS, RETRY_MS, YIELD_MS};

/// Transactions under way at once, of different jobs. A store 47 times too slow needs 140 ms
/// for each, one after the other, and 190 ms for the way: three keep it busy, and a fourth would
/// only wait there. One at a time, 330 ms each, is 145 rows a second, three are up to 340; placements
/// of lookups in a burst waited 0.5 s instead of up to 1.6 s (medians of each second, one day each).
const COMMITS: usize = 3;

/// What a scheduler has under way with the store.
#[derive(Clone, Copy, Debug)]
pub struct Duty {
    commits: usize,
    /// When the last write that the store acknowledged was sent, local ms.
    alive: u64,
    /// No commit before this, local ms.
    pause: u64,
    /// When a write that carries a sign of life was last sent, local ms.
    signed: u64,
}

impl Duty {
    /// The duty of a term that begins now.
    pub fn new(now: u64) -> Self {
        Self { commits: 0, alive: now, pause: 0, signed: 0 }
    }

    /// Whether another commit may be sent.
    pub fn may_commit(&self, now: u64) -> bool {
        self.commits < COMMITS && self.pause <= now
    }

    /// A commit is sent.
    pub fn commits(&mut self, now: u64) {
        self.commits += 1;
        self.signed = now;
    }

    /// A commit sent at `sent` ended, stored or not.
    pub fn committed(&mut self, stored: bool, sent: u64, now: u64) {
        self.commits -= 1;
        if stored {
            self.acknowledged(sent);
        } else {
            self.pause = now + RETRY_MS;
        }
    }

    /// The store acknowledged a write sent at `sent`.
    pub fn acknowledged(&mut self, sent: u64) {
        self.alive = self.alive.max(sent);
    }

    /// Whether a sign of life of its own is due. Commits carry one too, so that a slow store is
    /// spared this one.
    pub fn must_sign(&self, now: u64) -> bool {
        self.signed + BEAT_MS <= now
    }

    /// Whether the term is over for want of an answer of the store.
    pub fn over(&self, now: u64) -> bool {
        now > self.alive + YIELD_MS
    }
}
