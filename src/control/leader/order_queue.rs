//! Orders to runners that wait until the link can carry them.

use super::MAX_ROUND_MS;
use crate::control::engine::Action;
use crate::control::policy::link_budget::LinkBudget;
use std::collections::BTreeMap;

/// Bytes of an order besides the payload and the ticket of a start: head of the call, names of the
/// fields, headers of the segments and of their acknowledgements.
const ORDER_BYTES: usize = 350;

/// First polls that a leader with a whole processor sends a millisecond: with a new connection, a poll
/// takes some 0.1 ms, so that half of the processor is left. A new leader polls thousands of runners; if
/// it did so at once, it would handle no other answer, and start nothing, until it had polled the last.
const FIRST_POLLS_PER_MS: f64 = 5.0;

/// Payload of a start for which nothing more is known, bytes.
const USUAL_PAYLOAD: usize = 500;

/// Order in which waiting actions are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Polls extend leases, and show that a runner can be used.
    Poll,
    /// A start for an urgent queue.
    UrgentStart,
    /// Stops free capacity.
    Stop,
    /// Any other start.
    Start,
    /// A poll that only reads the clock and the lists of a runner.
    FirstPoll,
}

/// Class of an order, and its size on the link; none for calls that do not go to runners.
fn order(action: &Action) -> Option<(Class, usize)> {
    match action {
        Action::Start { start, urgent, .. } => {
            let ticket = start.ticket.as_ref().map_or(0, String::len);
            let bytes = ORDER_BYTES + start.payload.len() + start.saved.len() + ticket;
            Some((if *urgent { Class::UrgentStart } else { Class::Start }, bytes))
        }
        Action::Stop { .. } => Some((Class::Stop, ORDER_BYTES)),
        Action::Poll { poll, .. } => match poll.until {
            Some(_) => Some((Class::Poll, ORDER_BYTES)),
            // Limited by processor time, and not part of the backlog.
            None => Some((Class::FirstPoll, 0)),
        },
        Action::RequestAdvice { .. } => None,
    }
}

/// Waiting orders, by class and age.
pub struct OrderQueue {
    budget: LinkBudget,
    waiting: BTreeMap<(Class, u64), (usize, Action)>,
    /// Number of orders so far.
    count: u64,
    /// Size of the waiting orders on the link.
    bytes: usize,
    /// First polls that may be sent a millisecond, and those that may be sent now.
    first_polls: (f64, f64),
    /// When the round began, local ms.
    round_at: u64,
}

impl OrderQueue {
    /// An empty queue of a leader that may use `size` thousandths of a processor.
    pub fn new(budget: LinkBudget, size: u64) -> Self {
        let first_polls = (FIRST_POLLS_PER_MS * size as f64 / 1_000.0, 0.0);
        Self { budget, waiting: BTreeMap::new(), count: 0, bytes: 0, first_polls, round_at: 0 }
    }

    /// Adds an action. Returns it if it need not wait for the link.
    pub fn push(&mut self, action: Action) -> Option<Action> {
        let Some((class, bytes)) = order(&action) else { return Some(action) };
        self.count += 1;
        self.bytes += bytes;
        self.waiting.insert((class, self.count), (bytes, action));
        None
    }

    /// Begins a planning round.
    pub fn begin_round(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.round_at).min(MAX_ROUND_MS);
        let (rate, left) = &mut self.first_polls;
        *left = left.min(1.0) + *rate * elapsed as f64;
        self.round_at = now;
    }

    /// The next order to send in this round, if the link can carry one now.
    pub fn next(&mut self, now: u64) -> Option<Action> {
        let first_poll = match self.first_polls.1 >= 1.0 {
            true => self.waiting.range((Class::FirstPoll, 0)..).next(),
            false => None,
        };
        let others = || self.waiting.range(..(Class::FirstPoll, 0)).next();
        let (&key, &(bytes, _)) = first_poll.or_else(others)?;
        if !self.budget.take(bytes, now) {
            return None;
        }
        if key.0 == Class::FirstPoll {
            self.first_polls.1 -= 1.0;
        }
        self.bytes -= bytes;
        self.waiting.remove(&key).map(|(_, action)| action)
    }

    /// Time that sending the waiting orders takes, ms.
    pub fn backlog_ms(&self) -> f64 {
        self.budget.duration_ms(self.bytes)
    }

    /// Time that sending a start takes, ms.
    pub fn start_ms(&self) -> f64 {
        self.budget.duration_ms(ORDER_BYTES + USUAL_PAYLOAD)
    }
}
