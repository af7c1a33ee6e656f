//! Speeds of runners, learned from the run times of tasks, and which steps prefer slow runners.
//! No I/O.
//!
//! No runner reports its speed. The tasks of a step do about the same work, so that a task that took
//! longer than the others of its step shows a slow runner. Single comparisons say little: tasks of a
//! step differ by up to 30 %, and some take many times as long. A speed is therefore averaged over
//! many tasks, in logarithms, with outliers clipped.
//!
//! Steps that prefer fast runners run mostly beside each other on fast ones. Run times are therefore
//! multiplied by the known speeds of their runners before they are compared: otherwise a fast runner
//! would look average once most tasks that it is compared with run on fast ones.

use std::collections::{BTreeMap, VecDeque};

/// Fewest other tasks of a step with which a task is compared.
const MIN_OTHERS: usize = 3;

/// Shortest run time that is compared, ms: completions are listed up to some 30 ms late.
const MIN_RUN_MS: u64 = 200;

/// Samples kept of a runner: their mean is accurate to some 4 %.
const WINDOW: usize = 24;

/// Samples of a runner from which its speed is known.
const MIN_SAMPLES: usize = 5;

/// A speed without a sample for this long is unknown again, ms.
pub const EXPIRY_MS: u64 = 60_000;

/// Largest deviation of a sample from the median that counts, as a logarithm: a task that takes seven
/// times as long counts like one that takes a third longer.
const CLIP: f64 = 0.3;

/// Standard deviation of a sample, as a logarithm: tasks of a step that differ by 30 %, compared with
/// the median of a few others.
const DEVIATION: f64 = 0.2;

/// A runner is slow if its speed is below the average divided by this.
const SLOW_DIVISOR: f64 = 1.15;

/// One in this many steps that prefer other runners goes to slow ones, so that a wrong speed is
/// corrected.
const PROBE_INTERVAL: u64 = 50;

/// Run time of a task of a step.
#[derive(Clone, Copy, Debug)]
pub struct Timing<K> {
    /// Its runner.
    pub runner: K,
    /// Time that it took, ms.
    pub took: u64,
}

/// Samples from the tasks of one step: the logarithm of the speed of each task's runner. `factor` is
/// the speed of a runner against the average, as known so far; 1 if it is unknown.
pub fn samples<K: Copy>(timings: &[Timing<K>], factor: impl Fn(K) -> f64) -> Vec<(K, f64)> {
    let work = |t: &Timing<K>| (t.took as f64 * factor(t.runner), *t);
    let long_enough = timings.iter().filter(|t| t.took >= MIN_RUN_MS);
    let mut sorted: Vec<(f64, Timing<K>)> = long_enough.map(work).collect();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let others = sorted.len().saturating_sub(1);
    if others < MIN_OTHERS {
        return Vec::new();
    }
    let sample = |(position, (_, t)): (usize, &(f64, Timing<K>))| {
        let other = |i: usize| sorted[if i >= position { i + 1 } else { i }].0;
        let median = (other((others - 1) / 2) + other(others / 2)) / 2.0;
        (t.runner, (median / t.took as f64).ln())
    };
    sorted.iter().enumerate().map(sample).collect()
}

/// Estimated speed of a runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Its logarithm.
    pub log: f64,
    /// Number of samples.
    pub samples: usize,
}

/// The last samples of a runner.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    logs: VecDeque<f64>,
    /// When the newest was recorded, local ms.
    newest: u64,
}

impl Samples {
    /// Samples from an estimate of an earlier leader whose newest sample was recorded at `newest`,
    /// local ms.
    pub fn restored(estimate: Estimate, newest: u64) -> Self {
        let count = estimate.samples.min(WINDOW);
        Self { logs: std::iter::repeat_n(estimate.log, count).collect(), newest }
    }

    /// Adds a sample.
    pub fn record(&mut self, log: f64, now: u64) {
        if self.expired(now) {
            self.logs.clear();
        }
        if self.logs.len() == WINDOW {
            self.logs.pop_front();
        }
        self.logs.push_back(log);
        self.newest = now;
    }

    /// Drops the older half: the runner may have changed.
    pub fn halve(&mut self) {
        self.logs.drain(..self.logs.len().div_ceil(2));
    }

    /// When the newest was recorded, local ms.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Whether no sample was recorded for [`EXPIRY_MS`].
    pub fn expired(&self, now: u64) -> bool {
        self.newest + EXPIRY_MS <= now
    }

    /// The speed, if it is known.
    pub fn estimate(&self, now: u64) -> Option<Estimate> {
        if self.logs.len() < MIN_SAMPLES || self.expired(now) {
            return None;
        }
        let mut sorted: Vec<f64> = self.logs.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let n = sorted.len();
        let median = (sorted[(n - 1) / 2] + sorted[n / 2]) / 2.0;
        let clipped = sorted.iter().map(|log| log.clamp(median - CLIP, median + CLIP));
        Some(Estimate { log: clipped.sum::<f64>() / n as f64, samples: n })
    }
}

/// Speeds of runners against the average of those that are known.
pub fn factors<K: Copy + Ord>(estimates: &BTreeMap<K, Estimate>) -> BTreeMap<K, f64> {
    let sum: f64 = estimates.values().map(|e| e.log.exp()).sum();
    let average = sum / estimates.len().max(1) as f64;
    estimates.iter().map(|(k, e)| (*k, e.log.exp() / average)).collect()
}

/// Whether a runner is slow. It becomes slow only if its speed is below the limit by the standard
/// error of the estimate, and stays slow until it is above the limit.
pub fn slow(factor: f64, samples: usize, was_slow: bool) -> bool {
    let error = if was_slow { 0.0 } else { DEVIATION / (samples as f64).sqrt() };
    factor.ln() + error < -SLOW_DIVISOR.ln()
}

/// Speed of runners that a step prefers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Preference {
    /// None.
    #[default]
    Any,
    /// Runners that are not slow.
    NotSlow,
    /// Slow runners of at least this speed against the average; next, those that are not slow.
    Slow {
        /// The speed.
        least: f64,
    },
}

impl Preference {
    /// Sort key of a runner among those that fit; lower is better. `slow` is the speed of a slow
    /// runner against the average, `None` for any other.
    pub fn order(self, slow: Option<f64>) -> u8 {
        match (self, slow) {
            (Self::Any, _) | (Self::NotSlow, None) => 0,
            (Self::NotSlow, Some(_)) => 1,
            (Self::Slow { least }, Some(factor)) if factor >= least => 0,
            (Self::Slow { .. }, None) => 1,
            (Self::Slow { .. }, Some(_)) => 2,
        }
    }
}

/// A gang has no preference if it meets its objective on the slowest runners even if it takes this
/// much longer than predicted: fewer runners to choose from delay its start, and its slowest member
/// is often one from the long tail.
const GANG_MARGIN: f64 = 1.5;

/// What the preference of a step depends on.
#[derive(Clone, Copy, Debug)]
pub struct PreferenceInput {
    /// Whether its queue is urgent and its job within its team's share.
    pub urgent: bool,
    /// Whether its tasks form a gang.
    pub gang: bool,
    /// Whether its tasks run until the job is cancelled.
    pub lasts: bool,
    /// Number of its tasks.
    pub tasks: usize,
    /// The job earns nothing any more.
    pub no_value: bool,
    /// Longest chain of work from this step to the end of the job, ms.
    pub chain: u64,
    /// Time until the job's objective passes, ms; 0 if it has passed.
    pub remaining: u64,
    /// Speed of the slowest runner against the average.
    pub slowest: f64,
    /// A hash of the step.
    pub hash: u64,
}

/// The speed of runners that a step prefers.
pub fn preference(input: &PreferenceInput) -> Preference {
    let slow = Preference::Slow { least: 0.0 };
    // Only steps with enough tasks give samples.
    let probes = input.tasks > MIN_OTHERS && input.hash.is_multiple_of(PROBE_INTERVAL);
    match input {
        i if i.no_value => slow,
        i if i.gang && i.remaining as f64 * i.slowest >= i.chain as f64 * GANG_MARGIN => {
            Preference::Any
        }
        i if i.gang => Preference::NotSlow,
        i if i.urgent && probes => slow,
        i if i.urgent => Preference::NotSlow,
        i if i.lasts || i.remaining < i.chain => Preference::Any,
        i => Preference::Slow { least: i.chain as f64 / i.remaining.max(1) as f64 },
    }
}
