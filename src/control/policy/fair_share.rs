//! Fair share of teams: which jobs a team submits beyond its weight. No I/O.
//!
//! Needed when one team sends many times its usual load: its jobs would fill the cell, and the jobs
//! of all teams would wait together. A team's weight is its share in jobs a second when capacity is
//! short. Jobs beyond it keep their place in the queue only behind those of teams within theirs, so
//! that the team's own queue grows and not the others'. With capacity for all, they run at once.

/// Time for which a team may save up unused share, s: covers the bursts of an ordinary load, and is
/// short against the time for which a team sends far beyond its share.
const BURST_S: f64 = 2.0;

/// Smallest number of jobs that a team may submit at once, so that one with a small weight can submit
/// any.
const MIN_BURST: f64 = 2.0;

/// Unused share of a team: a token bucket that is filled by the team's weight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Jobs that it may submit at once; none before the first one.
    tokens: Option<f64>,
    /// When they were counted, Unix ms.
    at: u64,
}

impl Share {
    /// Whether a team of the given weight submits beyond its share at `at`, Unix ms, if it did so
    /// (`was`) or not a moment ago. One that did has to save up half of what it may first: else it
    /// would count as within its share each time that the next job is.
    pub fn exhausted(&self, was: bool, weight: f64, at: u64) -> bool {
        let full = (weight * BURST_S).max(MIN_BURST);
        let passed = at.saturating_sub(self.at) as f64 / 1_000.0;
        let tokens = self.tokens.map_or(full, |n| n + passed * weight);
        weight > 0.0 && tokens < if was { full / 2.0 } else { 1.0 }
    }

    /// Records a job submitted at `at`, Unix ms, by a team of the given weight, jobs a second. Returns
    /// whether it is within the team's share. A team of weight 0 has no share of its own, and none of
    /// its jobs is beyond it.
    pub fn record(&mut self, weight: f64, at: u64) -> bool {
        if weight <= 0.0 {
            return true;
        }
        let full = (weight * BURST_S).max(MIN_BURST);
        let passed = at.saturating_sub(self.at) as f64 / 1_000.0;
        let tokens = self.tokens.map_or(full, |n| (n + passed * weight).min(full));
        self.at = self.at.max(at);
        let within = tokens >= 1.0;
        self.tokens = Some(if within { tokens - 1.0 } else { tokens });
        within
    }
}
