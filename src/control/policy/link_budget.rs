//! How much of its link the leader uses for orders to runners, and whether the link is busy.
//!
//! Needed for a leader on a small link. After a power loss of all instances, hundreds of starts are
//! due at once, and take seconds to send. If all were sent together, none would be answered before
//! it times out, and the repetitions would fill the link again: nothing starts any more. Visible as
//! `start not carried out` with `no response` or `unreachable` for most starts, while the runners are
//! well. So orders are sent no faster than the link carries them, and wait in order of urgency.

/// Share of the link that orders to runners may use, per mille. The rest is for commits, polls of the
/// store and links.
const ORDERS_PERMILLE: f64 = 600.0;

/// Most orders that are sent at once after a pause, ms of the link: short against the 400 ms after
/// which an order times out.
const BURST_MS: f64 = 100.0;

/// Share of the link, per mille, from which it is busy: messages of some hundred bytes then wait for
/// each other.
const BUSY_PERMILLE: f64 = 500.0;

/// Interval of the measurement whether the link is busy, ms.
const USAGE_INTERVAL_MS: u64 = 250;

/// Bytes a ms of a link.
fn bytes_a_ms(mbps: f64) -> f64 {
    mbps * 1_000_000.0 / 8.0 / 1_000.0
}

/// Limits the rate of orders.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    /// Bytes a ms that orders may use; none if the bandwidth of the link is not known.
    rate: Option<f64>,
    /// Bytes that may be sent now. Negative after an order that was larger than what was left.
    level: f64,
    /// When `level` was computed, local ms.
    at: u64,
}

impl LinkBudget {
    /// The budget of a link of `mbps` Mbit/s.
    pub fn new(mbps: Option<f64>, now: u64) -> Self {
        let rate = mbps.map(|mbps| bytes_a_ms(mbps) * ORDERS_PERMILLE / 1_000.0);
        Self { rate, level: rate.unwrap_or(0.0) * BURST_MS, at: now }
    }

    /// Whether an order of `bytes` may be sent now, which is then counted as sent.
    pub fn take(&mut self, bytes: usize, now: u64) -> bool {
        let Some(rate) = self.rate else { return true };
        let elapsed = now.saturating_sub(self.at) as f64;
        (self.level, self.at) = ((self.level + rate * elapsed).min(rate * BURST_MS), now);
        if self.level <= 0.0 {
            return false;
        }
        self.level -= bytes as f64;
        true
    }

    /// Time that sending orders of `bytes` in all takes, ms.
    pub fn duration_ms(&self, bytes: usize) -> f64 {
        self.rate.map_or(0.0, |rate| bytes as f64 / rate)
    }
}

/// Measures whether the link of this process is busy.
#[derive(Clone, Copy, Debug)]
pub struct LinkUsage {
    /// Bytes a ms of the link; none if its bandwidth is not known.
    rate: Option<f64>,
    /// Bytes sent at the last measurement, and when that was, local ms.
    last: (u64, u64),
    busy: bool,
}

impl LinkUsage {
    /// The usage of a link of `mbps` Mbit/s over which `sent` bytes were sent so far.
    pub fn new(mbps: Option<f64>, sent: u64, now: u64) -> Self {
        Self { rate: mbps.map(bytes_a_ms), last: (sent, now), busy: false }
    }

    /// Whether the link is busy, where `sent` bytes were sent so far.
    pub fn is_busy(&mut self, sent: u64, now: u64) -> bool {
        let (before, at) = self.last;
        let elapsed = now.saturating_sub(at);
        if elapsed >= USAGE_INTERVAL_MS {
            let used = sent.saturating_sub(before) as f64 / elapsed as f64;
            self.busy = self.rate.is_some_and(|rate| used * 1_000.0 >= rate * BUSY_PERMILLE);
            self.last = (sent, now);
        }
        self.busy
    }
}
