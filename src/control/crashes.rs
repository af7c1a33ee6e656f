//! Tells tasks that crash their runners from tasks whose runners crash by themselves, without I/O.
//!
//! A run that is lost with its runner may have caused the crash, as may each run beside it. How often runs
//! are lost by chance is measured over all runs of the cell: a task is in a crash loop if chance does
//! not explain its losses, or if there are too many of them in any case. Without the second a
//! task that crashes its runners late would take one runner after the other out of service; without
//! the first each such task costs a few runners more, and what ran beside it.

use super::engine::RunnerKey;
use super::model::Attempt;

/// Losses with which a task is in a crash loop whatever their chance: the platform allows two more starts
/// after the third.
const MOST_LOSSES: u32 = 5;

/// From here on each run that ends otherwise than done counts as a loss, since it has been a start.
const COUNT_ALL: u32 = 3;

/// Fewest losses of a crash loop.
const FEWEST_LOSSES: u32 = 2;

/// Losses less likely than this are no chance: well under one in all tasks of a day.
const LEAST_CHANCE: f64 = 1e-6;

/// Losses are forgotten once a run has lasted for this long, ms.
pub const STABLE_MS: u64 = 30_000;

/// Time after which a loss or a run counts half in the rate, ms.
const HALF_LIFE_MS: f64 = 30_000.0;

/// When a run began and when its runner fell silent are known no better than this, ms: answers wait for a
/// planning round.
const RESOLUTION_MS: u64 = 50;

/// Time of runs, ms, with one loss in it, that the rate begins with.
const PRIOR_MS: f64 = 100_000.0;

/// How often runs are lost with their runners, weighted by how recent they are.
#[derive(Clone, Copy, Debug, Default)]
pub struct LossRate {
    losses: f64,
    /// Time that runs took, lost or not, ms.
    ran_ms: f64,
    /// When the sums were last brought up to date, local ms.
    at: u64,
}

impl LossRate {
    /// A run ended after `ran` ms.
    pub fn ended(&mut self, ran: u64, now: u64) {
        self.decay(now);
        self.ran_ms += ran as f64;
    }

    /// A run was lost with its runner after `ran` ms.
    pub fn lost(&mut self, ran: u64, now: u64) {
        self.ended(ran, now);
        self.losses += 1.0;
    }

    fn decay(&mut self, now: u64) {
        let past = now.saturating_sub(self.at) as f64;
        let share = 0.5_f64.powf(past / HALF_LIFE_MS);
        self.losses *= share;
        self.ran_ms *= share;
        self.at = now;
    }

    /// Chance that a run is lost within its first `ran` ms.
    pub fn chance(&self, ran: u64) -> f64 {
        let rate = (self.losses + 1.0) / (self.ran_ms + PRIOR_MS);
        -(-rate * ran.max(RESOLUTION_MS) as f64).exp_m1()
    }
}

/// Losses in a row of one task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Losses {
    /// How many.
    pub count: u32,
    /// Chance that all of them had other causes.
    pub chance: f64,
    /// Attempt that was lost last.
    last: Attempt,
    /// Life of a runner that was lost last, if this process has seen it.
    pub life: Option<RunnerKey>,
}

impl Default for Losses {
    fn default() -> Self {
        Self::of(0)
    }
}

impl Losses {
    /// `count` losses of which nothing else is known.
    pub fn of(count: u32) -> Self {
        Self { count, chance: 1.0, last: Attempt::default(), life: None }
    }

    /// An attempt was lost with `life`, which happens by chance with `chance`.
    pub fn add(&mut self, attempt: Attempt, life: RunnerKey, chance: f64) {
        self.count += 1;
        self.chance *= chance;
        self.last = attempt;
        self.life = Some(life);
    }

    /// An attempt ended otherwise than done.
    pub fn ended(&mut self, attempt: Attempt) {
        if self.count >= COUNT_ALL {
            self.count += 1;
            self.last = attempt;
        }
    }

    /// The end of an attempt that counted as lost is seen after all.
    pub fn withdraw(&mut self, attempt: Attempt) {
        if self.count > 0 && self.last == attempt {
            *self = Self::of(self.count - 1);
        }
    }

    /// Whether the task is suspected of crashing its runners.
    pub fn suspect(&self) -> bool {
        self.count > 0
    }

    /// Whether it was last lost together with another task.
    pub fn lost_together(&self, other: &Self) -> bool {
        self.life.is_some() && self.life == other.life
    }

    /// Whether it was lost more than once.
    pub fn repeated(&self) -> bool {
        self.count >= FEWEST_LOSSES
    }

    /// Whether the task crashes its runners.
    pub fn crash_loop(&self) -> bool {
        self.count >= MOST_LOSSES || self.repeated() && self.chance < LEAST_CHANCE
    }
}
