//! When a run that makes no progress is taken for one that hangs, without I/O.
//!
//! A runner whose tasks stand still answers its calls and reports them as running: only progress
//! that does not come shows it. A run taken for hanging by mistake is stopped, which throws its work
//! away, and that of its whole gang. So a run is judged by its own pace where it has one, a member
//! of a gang only while the gang is whole, and one that is through with its work only when all are.

use super::jobs::StepRun;
use super::runs::Stage;

/// A run without progress for this long hangs, ms: progress is reported in whole percent (350 ms of
/// a 4 s task on a runner nine times too slow), and restoring a checkpoint takes 600 ms.
const STALL_MS: u64 = 1_200;

/// ... or for this share of its estimate, until it has moved: 1 % of it many times over.
const STALL_SHARE: u64 = 8;

/// ... or for this many times what each percent took so far: a runner may turn slow on the way.
const STALL_PACES: f64 = 12.0;

/// Percent of a run that has done all its work.
const THROUGH: f64 = 100.0;

/// Progress of a run as its runner reports it. Times are local, ms.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Highest percent seen.
    pub percent: f64,
    /// When it was first known to run; 0 before.
    pub began: u64,
    /// When it last moved.
    pub moved: u64,
}

impl Progress {
    /// The run is known to have started.
    pub fn begin(&mut self, now: u64) {
        *self = Self { percent: 0.0, began: now, moved: now };
    }

    /// A report shows the run at `percent`.
    pub fn note(&mut self, percent: f64, now: u64) {
        if self.began == 0 {
            self.begin(now);
        }
        if percent > self.percent {
            self.percent = percent;
            self.moved = now;
        }
    }

    /// Whether all its work is done.
    pub fn through(&self) -> bool {
        self.percent >= THROUGH
    }

    /// Longest time without progress that is still in order, ms.
    fn patience(&self, estimate: u64) -> u64 {
        let took = self.moved.saturating_sub(self.began) as f64;
        let usual = match self.percent > 0.0 {
            true => (took / self.percent * STALL_PACES) as u64,
            false => estimate / STALL_SHARE,
        };
        usual.max(STALL_MS)
    }

    /// Whether the run hangs, if it could work since `free`.
    pub fn hangs(&self, free: u64, estimate: u64, now: u64) -> bool {
        self.moved.max(free) + self.patience(estimate) <= now
    }
}

/// Since when the members of a gang can all work, local ms; none while one is missing.
pub fn whole_since(step: &StepRun) -> Option<u64> {
    let began = |t: &super::Task| {
        let run = t.run.as_ref()?;
        matches!(run.stage, Stage::Running { .. }).then_some(run.progress.began)
    };
    step.tasks.iter().map(began).try_fold(0, |latest, at| Some(latest.max(at?)))
}

/// Whether a member of a gang is still at work, so that others who are through wait for it.
pub fn waited_for(step: &StepRun) -> bool {
    step.tasks.iter().filter_map(|t| t.run.as_ref()).any(|r| !r.progress.through())
}
