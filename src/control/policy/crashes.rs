//! Crash-loop detection: separates tasks that crash their runners from tasks whose runners crash
//! for other reasons. No I/O.
//!
//! A run that is lost with its runner may have caused the crash, and so may each run beside it. The
//! rate of losses by chance is estimated over all runs of the cell. A task is in a crash loop if
//! chance does not explain its losses, or if it has too many of them in any case. Without the limit
//! on the count, a task that crashes its runners late in its run would take one runner after the
//! other out of service. Without the test against chance, each such task would cost a few more
//! runners and the runs beside it.

use crate::control::model::{Attempt, RunnerKey};

/// Number of losses that make a crash loop whatever their chance: the platform allows two more
/// starts after the third loss.
const MAX_LOSSES: u32 = 5;

/// From this number of losses on, each run that does not complete its work counts as a loss, since
/// it has used up a start.
const COUNT_ALL_FROM: u32 = 3;

/// Minimum number of losses of a crash loop.
const MIN_LOSSES: u32 = 2;

/// Losses less likely than this are not attributed to chance: well under one false positive in all
/// tasks of a day.
const CHANCE_THRESHOLD: f64 = 1e-6;

/// Losses are reset once a run has lasted for this long, ms.
pub const STABLE_MS: u64 = 30_000;

/// Half-life of losses and run times in the loss rate, ms.
const HALF_LIFE_MS: f64 = 30_000.0;

/// Resolution of the times at which a run starts and its runner is lost, ms: the responses of
/// runners wait for a planning round.
const RESOLUTION_MS: u64 = 50;

/// Prior of the loss rate: one loss in this much run time, ms.
const PRIOR_MS: f64 = 100_000.0;

/// Rate at which runs are lost with their runners; recent runs have more weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct LossRate {
    losses: f64,
    /// Total time of runs, lost or not, ms.
    ran_ms: f64,
    /// When the sums were last decayed, local ms.
    at: u64,
}

impl LossRate {
    /// Records a run that ended after `ran` ms.
    pub fn record_end(&mut self, ran: u64, now: u64) {
        self.decay(now);
        self.ran_ms += ran as f64;
    }

    /// Records a run that was lost with its runner after `ran` ms.
    pub fn record_loss(&mut self, ran: u64, now: u64) {
        self.record_end(ran, now);
        self.losses += 1.0;
    }

    fn decay(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.at) as f64;
        let factor = 0.5_f64.powf(elapsed / HALF_LIFE_MS);
        self.losses *= factor;
        self.ran_ms *= factor;
        self.at = now;
    }

    /// Probability that a run is lost by chance within its first `ran` ms.
    pub fn chance(&self, ran: u64) -> f64 {
        let rate = (self.losses + 1.0) / (self.ran_ms + PRIOR_MS);
        -(-rate * ran.max(RESOLUTION_MS) as f64).exp_m1()
    }
}

/// Consecutive losses of one task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Losses {
    /// Number of losses.
    pub count: u32,
    /// Probability that all of them had other causes.
    pub chance: f64,
    /// Attempt of the latest loss.
    last: Attempt,
    /// Runner incarnation of the latest loss, if this process has seen it.
    pub incarnation: Option<RunnerKey>,
}

impl Default for Losses {
    fn default() -> Self {
        Self::with_count(0)
    }
}

impl Losses {
    /// `count` losses with no further details, for example from a stored row.
    pub fn with_count(count: u32) -> Self {
        Self { count, chance: 1.0, last: Attempt::default(), incarnation: None }
    }

    /// Records the loss of an attempt on a runner incarnation; `chance` is the probability that
    /// it had another cause. An attempt is lost once.
    pub fn record_loss(&mut self, attempt: Attempt, incarnation: RunnerKey, chance: f64) {
        if self.lost(attempt) {
            return;
        }
        self.count += 1;
        self.chance *= chance;
        self.last = attempt;
        self.incarnation = Some(incarnation);
    }

    /// Records a run that ended without completing its work.
    pub fn record_end(&mut self) {
        if self.count >= COUNT_ALL_FROM {
            self.count += 1;
            self.last = Attempt::default();
        }
    }

    /// Whether the latest loss is that of an attempt.
    pub fn lost(&self, attempt: Attempt) -> bool {
        self.count > 0 && self.last == attempt
    }

    /// Reverts the loss of an attempt that its runner reported later. Returns whether it was the
    /// latest one.
    pub fn withdraw(&mut self, attempt: Attempt) -> bool {
        let lost = self.lost(attempt);
        if lost {
            *self = Self::with_count(self.count - 1);
        }
        lost
    }

    /// Whether the task is suspected of crashing its runners.
    pub fn suspect(&self) -> bool {
        self.count > 0
    }

    /// Whether the latest loss of both tasks was on the same runner incarnation.
    pub fn lost_together(&self, other: &Self) -> bool {
        self.incarnation.is_some() && self.incarnation == other.incarnation
    }

    /// Whether the task has been lost more than once.
    pub fn repeated(&self) -> bool {
        self.count >= MIN_LOSSES
    }

    /// Whether the task is in a crash loop.
    pub fn crash_loop(&self) -> bool {
        self.count >= MAX_LOSSES || self.repeated() && self.chance < CHANCE_THRESHOLD
    }
}
