//! Headroom: the share of a service's capacity that is kept from non-urgent steps. No I/O.
//!
//! Urgent work that arrives needs capacity at once, while capacity that other work uses becomes
//! free only after some time. The headroom is therefore what urgent work will probably request
//! within that time.

/// Least headroom, thousandths of the capacity: two bursts of urgent jobs as they occur on a calm
/// day.
pub const MIN_PERMILLE: u64 = 40;

/// Largest headroom, thousandths of the capacity: more would idle capacity that other work can use,
/// while a lasting burst is served by what urgent work itself frees.
pub const MAX_PERMILLE: u64 = 200;

/// Time over which the beginning of a burst is averaged, ms.
const SHORT_MS: f64 = 1_000.0;

/// Time over which a burst that pauses is averaged, ms.
const LONG_MS: f64 = 4_000.0;

/// Rate of arrivals, averaged with exponentially falling weights.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Average {
    /// Thousandths of a core requested per ms.
    rate: f64,
    /// When it was computed, local ms.
    at: u64,
}

impl Average {
    fn at(self, window: f64, now: u64) -> f64 {
        self.rate * (-(now.saturating_sub(self.at) as f64) / window).exp()
    }

    fn record(&mut self, window: f64, cpu: u64, age: u64, now: u64) {
        let weight = (-(age as f64) / window).exp();
        let rate = self.at(window, now) + weight * cpu as f64 / window;
        *self = Self { rate, at: now.max(self.at) };
    }
}

/// Rate at which urgent work requests processor capacity of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UrgentDemand {
    short: Average,
    long: Average,
}

impl UrgentDemand {
    /// Records an arrival that requests `cpu` thousandths of a core, at `now`, local ms.
    pub fn record(&mut self, cpu: u64, now: u64) {
        self.record_past(cpu, 0, now);
    }

    /// Records at `now`, local ms, an arrival of `age` ms ago.
    pub fn record_past(&mut self, cpu: u64, age: u64, now: u64) {
        self.short.record(SHORT_MS, cpu, age, now);
        self.long.record(LONG_MS, cpu, age, now);
    }

    /// Thousandths of a core that are requested per ms: the larger of both averages, so that a
    /// burst counts at once and a pause in it does not end it.
    pub fn rate(&self, now: u64) -> f64 {
        self.short.at(SHORT_MS, now).max(self.long.at(LONG_MS, now))
    }

    /// The headroom in thousandths of `capacity`, thousandths of a core, if capacity becomes free
    /// after `free_ms`.
    pub fn headroom_permille(&self, free_ms: u64, capacity: u64, now: u64) -> u64 {
        let requested = self.rate(now) * free_ms as f64;
        let share = (requested * 1_000.0 / capacity.max(1) as f64) as u64;
        share.clamp(MIN_PERMILLE, MAX_PERMILLE)
    }
}
