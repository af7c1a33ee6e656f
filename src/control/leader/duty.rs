//! When a scheduler writes to the store, what goes into one transaction, and how long it may go on
//! without an answer, without I/O.
//!
//! Where the store is quick, one transaction takes whatever has changed, in all parts: fewest
//! calls. It takes twice the time of one in a single part, occupies all parts, and waits for the
//! slowest. So where the store is slow, or a part of it is away, each part has transactions of its own:
//! what goes wrong otherwise is that a busy cell changes more rows than are stored, decisions wait
//! for seconds, and tickets run out meanwhile; one notices by `ticket or room gone before the start`.

use super::{RETRY_MS, YIELD_MS};
use crate::control::parts::{self, Part, Scope};

/// Transactions over all parts under way at once: one to be carried out, one on its way there and one
/// on its way back.
const JOINT: usize = 3;

/// Transactions of one part under way at once: they are carried out one after the other, so that more
/// would only wait there.
const OF_PART: usize = 2;

/// A commit that takes longer, ms, shows a slow store: some five times the usual.
const SLOW_MS: u64 = 50;

/// Parts are written apart for this long after the last sign of a slow store or of a part that is away,
/// ms.
const APART_MS: u64 = 2_000;

/// Shortest time between two transactions of one part, ms: on a store that answers at once each round
/// would send one for each part, and the store's calls are limited and priced.
const PACE_MS: u64 = 20;

/// What a scheduler has under way with the store.
#[derive(Clone, Copy, Debug)]
pub struct Duty {
    /// Whether one transaction may take rows of several parts.
    cross_part: bool,
    joint: usize,
    of_part: [usize; parts::COUNT],
    /// No transaction of a part before this, local ms.
    pause: [u64; parts::COUNT],
    /// Parts are written apart until this, local ms.
    apart: u64,
    /// When the last write that the store acknowledged was sent, local ms.
    alive: u64,
}

impl Duty {
    /// The duty of a term that begins now; `cross_part` says whether transactions over several parts are
    /// possible.
    pub fn new(cross_part: bool, now: u64) -> Self {
        Self {
            cross_part,
            joint: 0,
            of_part: [0; parts::COUNT],
            pause: [0; parts::COUNT],
            apart: 0,
            alive: now,
        }
    }

    /// What the next commit takes; none if none may be sent. `wants` says whether a part has anything to
    /// store.
    pub fn next(&self, wants: impl Fn(Part) -> bool, now: u64) -> Option<Scope> {
        let free = |p: &Part| self.pause[p.index()] <= now && wants(*p);
        if self.cross_part && self.apart <= now {
            let some = Part::all().any(|p| free(&p));
            return (some && self.joint < JOINT).then_some(Scope::All);
        }
        let open = |p: &Part| self.of_part[p.index()] < OF_PART;
        Part::all().filter(open).find(free).map(Scope::One)
    }

    /// A commit is sent.
    pub fn commits(&mut self, scope: Scope, now: u64) {
        match scope {
            Scope::All => self.joint += 1,
            Scope::One(p) => {
                self.of_part[p.index()] += 1;
                self.pause[p.index()] = now + PACE_MS;
            }
        }
    }

    /// A commit sent at `sent` ended, stored or not.
    pub fn committed(&mut self, scope: Scope, stored: bool, sent: u64, now: u64) {
        if !stored || now - sent > SLOW_MS {
            self.apart = now + APART_MS;
        }
        if stored {
            self.acknowledged(sent);
        }
        match scope {
            Scope::All => self.joint -= 1,
            Scope::One(p) => self.of_part[p.index()] -= 1,
        }
        if let (Scope::One(p), false) = (scope, stored) {
            self.pause[p.index()] = now + RETRY_MS;
        }
    }

    /// The store acknowledged a write sent at `sent`.
    pub fn acknowledged(&mut self, sent: u64) {
        self.alive = self.alive.max(sent);
    }

    /// Whether the term is over for want of an answer of the store.
    pub fn over(&self, now: u64) -> bool {
        now > self.alive + YIELD_MS
    }
}
