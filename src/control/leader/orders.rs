//! How many orders to runners are on their way at once, without I/O.
//!
//! The load this answers: a scheduler on a small link, or behind a slow store that lets a hundred placements
//! go at once. What goes wrong otherwise: all starts are sent together, the link takes longer for them
//! than an answer is waited for, most are sent again and then stopped, which fills the link anew; one
//! notices by `start not carried out` from runners everywhere while their looks succeed. So orders wait
//! here, and as many are on their way as are answered soon: a window that grows with quick answers and
//! shrinks with slow ones. Orders that have waited for long count only while no others are answered soon:
//! else it is their runner that does not answer, which may be cut off, and not the link.

use crate::control::engine::Action;
use crate::control::ports::Refusal;
use std::collections::VecDeque;

/// Orders on their way at first: together a fraction of the time that an answer is waited for on a link
/// of 2 Mbit/s.
const FIRST: f64 = 32.0;

/// Fewest and most orders on their way.
const BOUNDS: (f64, f64) = (8.0, 512.0);

/// An answer within this, ms, came soon.
const SOON_MS: u64 = 100;

/// ... and after this, ms, late: half of the time that it is waited for.
const LATE_MS: u64 = 200;

/// Share of the window that is kept after a late answer.
const SHRINK: f64 = 0.8;

/// Shortest time between two reductions, ms: answers to what was sent before come late, too.
const SHRINK_MS: u64 = 100;

/// An order on its way for longer, ms, waits for its runner and not for the link, if another was answered
/// soon within this time.
const YOUNG_MS: u64 = 150;

/// Orders that wait to be sent, and those on their way.
#[derive(Debug)]
pub struct Orders {
    waiting: VecDeque<Action>,
    /// When the orders on their way were sent, local ms.
    sent: VecDeque<u64>,
    window: f64,
    /// When the window was last reduced, local ms.
    shrunk: u64,
    /// When an order was last answered soon, local ms.
    soon: u64,
}

impl Default for Orders {
    fn default() -> Self {
        let (waiting, sent) = Default::default();
        Self { waiting, sent, window: FIRST, shrunk: 0, soon: 0 }
    }
}

impl Orders {
    /// Takes an order that is to be sent.
    pub fn push(&mut self, order: Action) {
        self.waiting.push_back(order);
    }

    /// The next order that may be sent now.
    pub fn next(&mut self, now: u64) -> Option<Action> {
        if self.on_way(now) as f64 >= self.window {
            return None;
        }
        let order = self.waiting.pop_front()?;
        self.sent.push_back(now);
        Some(order)
    }

    /// Orders on their way that take the link.
    fn on_way(&self, now: u64) -> usize {
        let old = match self.soon + YOUNG_MS > now {
            true => self.sent.partition_point(|sent| sent + YOUNG_MS <= now),
            false => 0,
        };
        self.sent.len() - old
    }

    /// An order sent at `sent` is over.
    pub fn ended(&mut self, res: &Result<u64, Refusal>, sent: u64, now: u64) {
        self.forget(sent);
        match res {
            Err(Refusal::NoAnswer | Refusal::Unreachable) => {}
            _ => self.answered(now.saturating_sub(sent), now),
        }
    }

    fn forget(&mut self, sent: u64) {
        if let Ok(at) = self.sent.binary_search(&sent) {
            self.sent.remove(at);
        }
    }

    /// An order was answered after `took` ms, whatever the runner said.
    fn answered(&mut self, took: u64, now: u64) {
        if took <= SOON_MS {
            self.window = (self.window + 1.0).min(BOUNDS.1);
            self.soon = now;
        } else if took > LATE_MS && self.shrunk + SHRINK_MS <= now {
            self.window = (self.window * SHRINK).max(BOUNDS.0);
            self.shrunk = now;
        }
    }
}
