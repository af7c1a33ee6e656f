//! How long tasks really take against their estimates, learned from those that ended, without I/O.
//!
//! The load this answers: callers whose estimates are up to 90 percent off. Taken at their word, a
//! job that claims a tenth of its work looks late when it has just come, and waits behind all
//! others. What a queue's steps took is regressed on their estimates, in logarithms, since both
//! errors are factors: where estimates are good the slope is near one and nothing changes, where
//! they say little the prediction is near what the queue's steps usually take.

/// Steps seen before estimates are corrected: fewer say little about a spread.
const ENOUGH: u64 = 8;

/// Steps that the averages go back over: some seconds of a queue of lookups, a minute of gangs.
const WINDOW: u64 = 60;

/// Least variance of logarithms that says anything about a slope: estimates that differ by 5 %.
const LEAST_SPREAD: f64 = 0.0025;

/// What the ended steps of one queue tell.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    seen: u64,
    /// Means of the logarithms of estimates and times taken.
    mean: (f64, f64),
    /// Variance of the logarithms of estimates.
    spread: f64,
    /// Their covariance with those of the times taken.
    common: f64,
}

fn log(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
}

impl Pace {
    /// A step estimated at `estimate` ms took `took` ms.
    pub fn note(&mut self, estimate: u64, took: u64) {
        let weight = (1.0 / (self.seen + 1) as f64).max(1.0 / WINDOW as f64);
        let (dx, dy) = (log(estimate) - self.mean.0, log(took) - self.mean.1);
        self.mean.0 += weight * dx;
        self.mean.1 += weight * dy;
        self.spread = (1.0 - weight) * (self.spread + weight * dx * dx);
        self.common = (1.0 - weight) * (self.common + weight * dx * dy);
        self.seen += 1;
    }

    /// What the queue's steps usually take, ms; 0 while too few were seen.
    pub fn usual(&self) -> u64 {
        match self.seen < ENOUGH {
            true => 0,
            false => self.mean.1.exp() as u64,
        }
    }

    /// What a step estimated at `estimate` ms is expected to take, ms.
    pub fn expect(&self, estimate: u64) -> u64 {
        if self.seen < ENOUGH {
            return estimate;
        }
        let slope = match self.spread > LEAST_SPREAD {
            true => (self.common / self.spread).clamp(0.0, 1.0),
            false => 1.0,
        };
        (self.mean.1 + slope * (log(estimate) - self.mean.0)).exp() as u64
    }
}
