//! Run-time model: predicts how long steps take from their estimates and the completed steps of
//! their queue. No I/O.
//!
//! Needed because callers' estimates are up to 90 percent off. If they were trusted without a
//! check, a job that claims a tenth of its work would appear late as soon as it arrives and would
//! wait behind all others. Run times of a queue's steps are regressed on their estimates, in
//! logarithms, since both errors are factors. Where estimates are accurate the slope is near one
//! and predictions equal them. Where they carry little information the prediction is near the
//! typical run time of the queue.

/// Number of steps before estimates are corrected: fewer say little about the variance.
const MIN_SAMPLES: u64 = 8;

/// Window of the moving averages, steps: some seconds of a queue of lookups, a minute of gangs.
const WINDOW_SAMPLES: u64 = 60;

/// Minimum variance of the logarithms of estimates for a slope: estimates that differ by 5 %.
const MIN_VARIANCE: f64 = 0.0025;

/// Regression of the run times of one queue on their estimates.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimes {
    samples: u64,
    /// Means of the logarithms of estimates and run times.
    mean: (f64, f64),
    /// Variance of the logarithms of estimates.
    variance: f64,
    /// Covariance of the logarithms of estimates and run times.
    covariance: f64,
}

/// A prediction of run times from estimates, linear in the logarithms of both.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Logarithm of the run time of a step that is estimated at 1 ms.
    pub offset: f64,
    /// Increase of the logarithm of run times with that of estimates.
    pub slope: f64,
}

impl Default for Fit {
    /// Estimates are right.
    fn default() -> Self {
        Self { offset: 0.0, slope: 1.0 }
    }
}

impl Fit {
    /// Predicted run time of a step that is estimated at `estimate` ms, ms.
    pub fn predict(&self, estimate: u64) -> u64 {
        (self.offset + self.slope * log(estimate)).exp().round() as u64
    }
}

fn log(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
}

impl RunTimes {
    /// Records a step that was estimated at `estimate` ms and took `took` ms.
    pub fn record(&mut self, estimate: u64, took: u64) {
        let weight = (1.0 / (self.samples + 1) as f64).max(1.0 / WINDOW_SAMPLES as f64);
        let (dx, dy) = (log(estimate) - self.mean.0, log(took) - self.mean.1);
        self.mean.0 += weight * dx;
        self.mean.1 += weight * dy;
        self.variance = (1.0 - weight) * (self.variance + weight * dx * dx);
        self.covariance = (1.0 - weight) * (self.covariance + weight * dx * dy);
        self.samples += 1;
    }

    /// Typical run time of the queue's steps, ms; 0 while there are too few samples.
    pub fn typical(&self) -> u64 {
        match self.samples < MIN_SAMPLES {
            true => 0,
            false => self.mean.1.exp() as u64,
        }
    }

    /// Predicted run time of a step that is estimated at `estimate` ms, ms.
    pub fn predict(&self, estimate: u64) -> u64 {
        if self.samples < MIN_SAMPLES {
            return estimate;
        }
        (self.mean.1 + self.slope() * (log(estimate) - self.mean.0)).exp() as u64
    }

    fn slope(&self) -> f64 {
        match self.variance > MIN_VARIANCE {
            true => (self.covariance / self.variance).clamp(0.0, 1.0),
            false => 1.0,
        }
    }

    /// The predictions of [`Self::predict`] for use elsewhere.
    pub fn fit(&self) -> Fit {
        if self.samples < MIN_SAMPLES {
            return Fit::default();
        }
        let slope = self.slope();
        Fit { offset: self.mean.1 - slope * self.mean.0, slope }
    }
}
