//! Orders that wait for the leader's link, and the limit on further decisions.
//!
//! Needed for a leader on a small link, see [`crate::control::policy::link_budget`]. Tickets of
//! placements whose starts wait expire meanwhile, and the steps would request advice again and
//! again. So nothing more is placed than can be started soon.

use super::runs::Stage;
use super::Engine;

/// No non-urgent task is placed while the starts of those placed so far take longer than this to send,
/// ms: a few planning rounds, and a fraction of a ticket's validity.
const NON_URGENT_MS: f64 = 150.0;

/// As [`NON_URGENT_MS`], for urgent tasks, whose starts are sent before those of other queues.
const URGENT_MS: f64 = 600.0;

/// What waits for the link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OrderBacklog {
    /// Time that sending the orders given so far takes, ms.
    pub ms: f64,
    /// Time that sending a start takes, ms; 0 if the bandwidth of the link is not known.
    pub start_ms: f64,
    /// Tasks that are placed, and whose start was not ordered yet.
    pub(super) unstarted: usize,
}

impl OrderBacklog {
    /// Records that a run leaves a stage, by its start or without one.
    pub(super) fn leave(&mut self, stage: Stage) {
        if matches!(stage, Stage::Storing { .. }) {
            self.unstarted = self.unstarted.saturating_sub(1);
        }
    }

    /// Time from now until a start that is decided now is sent, besides storing it, ms.
    pub fn wait_ms(&self) -> f64 {
        self.ms + self.unstarted as f64 * self.start_ms
    }
}

impl Engine {
    /// Whether no task is placed now, since orders wait for the link.
    pub(super) fn orders_late(&self, non_urgent: bool) -> bool {
        self.order_backlog.wait_ms() > if non_urgent { NON_URGENT_MS } else { URGENT_MS }
    }
}
