//! Detection of runs that make no progress, without I/O.
//!
//! A runner whose tasks are stalled answers its calls and reports them as running; only the missing
//! progress shows it. A run that is stopped by mistake loses its work, and so does its whole gang.
//! A run is therefore compared with its own rate of progress where it has one; a member of a gang
//! is checked only while all members run; and a member that has done its work only once all have.

use super::jobs::StepRun;
use super::runs::Stage;

/// Minimum time without progress after which a run is stalled, ms. Progress is reported in whole
/// percent (350 ms each for a 4 s task on a runner nine times too slow), and restoring a checkpoint
/// takes 600 ms.
const MIN_STALL_MS: u64 = 1_200;

/// A run whose rate is not known yet is stalled only after this fraction of its estimated run time,
/// one part in this many: many times the estimated time of 1 %.
const STALL_ESTIMATE_DIVISOR: u64 = 8;

/// A run whose rate is known is stalled only after this many times the average time of a percent so
/// far: a runner may become slower during the run.
const STALL_RATE_FACTOR: f64 = 12.0;

/// Progress of a run that has done all its work, per cent.
const COMPLETE_PERCENT: f64 = 100.0;

/// Progress of a run as its runner reports it. Times are local, ms.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Highest percentage reported.
    pub percent: f64,
    /// When it was first known to run; 0 before.
    pub began: u64,
    /// When its progress last increased.
    pub moved: u64,
    /// Percentage and time from which its rate is measured: those of its start or, if another leader
    /// has started it, of the first increase.
    since: Option<(f64, u64)>,
}

impl Progress {
    /// Records that the run has started.
    pub fn begin(&mut self, now: u64) {
        *self = Self { percent: 0.0, began: now, moved: now, since: Some((0.0, now)) };
    }

    /// Records a report that shows the run at `percent`.
    pub fn record(&mut self, percent: f64, now: u64) {
        if self.began == 0 {
            *self = Self { percent, began: now, moved: now, since: None };
        }
        if percent > self.percent {
            self.percent = percent;
            self.since.get_or_insert((percent, now));
            self.moved = now;
        }
    }

    /// Whether it has done all its work.
    pub fn work_done(&self) -> bool {
        self.percent >= COMPLETE_PERCENT
    }

    /// Time without progress after which the run is stalled, ms.
    fn stall_limit(&self, estimate: u64) -> u64 {
        let limit = match self.since {
            Some((from, at)) if self.percent > from => {
                let took = self.moved.saturating_sub(at) as f64;
                (took / (self.percent - from) * STALL_RATE_FACTOR) as u64
            }
            _ => estimate / STALL_ESTIMATE_DIVISOR,
        };
        limit.max(MIN_STALL_MS)
    }

    /// Whether the run is stalled, given that it was able to work since `able_since`.
    pub fn stalled(&self, able_since: u64, estimate: u64, now: u64) -> bool {
        self.moved.max(able_since) + self.stall_limit(estimate) <= now
    }
}

/// Since when all members of a gang are running, local ms; `None` while one is not.
pub fn all_running_since(step: &StepRun) -> Option<u64> {
    let began = |t: &super::Task| {
        let run = t.run.as_ref()?;
        matches!(run.stage, Stage::Running { .. }).then_some(run.progress.began)
    };
    step.tasks.iter().map(began).try_fold(0, |latest, at| Some(latest.max(at?)))
}

/// Whether a member of a gang is still at work, so that members that have done their work wait for
/// it.
pub fn any_working(step: &StepRun) -> bool {
    step.tasks.iter().filter_map(|t| t.run.as_ref()).any(|r| !r.progress.work_done())
}
