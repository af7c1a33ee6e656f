//! Jobs, their steps, and how runs of tasks end.

use super::ids::ID_DIGITS;
use super::{MAX_MOMENT, MAX_MS, MAX_NEED};
use crate::kernel::res::Resources;
use serde::{Deserialize, Serialize};

/// Maximum number of steps of a job. It and [`MAX_WIDTH`] bound the memory that one request can
/// take; both are some ten times what callers send.
const MAX_STEPS: usize = 64;

/// Maximum number of tasks of a step, see [`MAX_STEPS`].
pub const MAX_WIDTH: u32 = 1_000;

/// Maximum number of tasks of a job over all its occurrences, so that its progress fits one row of
/// the store.
const MAX_TASKS: u64 = 2_000;

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndKind {
    /// It completed its work.
    Done,
    /// It failed, because of the task or of the runner.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The runner's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Not all other members of its gang started in time.
    Alone,
    /// It ended in a way that cannot be decoded: neither known to be done nor to have failed.
    Unknown,
}

impl EndKind {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
            Self::Unknown => "unknown",
        }
    }
}

/// A step of a job: `count` identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources of one task.
    pub need: Resources,
    /// Estimated duration of a task, ms; a rough figure from the caller.
    pub estimate: u64,
    /// Indices of earlier steps that must be completed first.
    pub after: Vec<u32>,
    /// Its tasks write checkpoints.
    pub saves: bool,
    /// Its tasks form a gang: they run all at the same time or not at all.
    pub gang: bool,
    /// It is slower when its tasks are spread over several racks.
    pub one_rack: bool,
    /// Label that the runner must have; empty for none.
    pub label: String,
    /// Rack that holds its data; empty for none.
    pub rack: String,
    /// Maximum number of its tasks on one runner; 0 for no limit.
    pub per_runner: u32,
    /// Speculative copies of a task may run at the same time.
    pub copies: bool,
    /// Its tasks run until the job is cancelled.
    pub lasts: bool,
    /// Image that its tasks run; tasks of one image behave alike.
    pub image: String,
    /// Bound on the tail latency of its tasks, ms; 0 for none.
    pub tail_ms: u64,
    /// It uses processor time that others leave idle; only its memory counts.
    pub fills: bool,
    /// Maximum number of tasks that the system may make unavailable at once; 0 where that does not
    /// apply.
    pub may_miss: u32,
}

impl Step {
    /// Resources of one task that count against its team's cap: all that it requests, also where it
    /// takes no processor capacity of its runner.
    pub fn charge(&self) -> Resources {
        self.need
    }

    /// Resources that must be available to its team at once for it to make progress: those of one
    /// task, or of all tasks of a gang.
    pub fn charge_at_once(&self) -> Resources {
        self.charge().times(if self.gang { self.count.into() } else { 1 })
    }

    /// Resources that one task occupies on a runner.
    pub fn demand(&self) -> Resources {
        match self.fills {
            true => Resources { cpu: 0, ..self.need },
            false => self.need,
        }
    }
}

/// A job as submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Payload that is passed to its tasks.
    pub payload: String,
    /// Its steps.
    pub steps: Vec<Step>,
    /// When occurrence 0 is due, Unix ms.
    pub first_ms: u64,
    /// Time between occurrences, ms.
    pub every_ms: u64,
    /// Number of occurrences; 0 for a job that runs once, at once.
    pub times: u32,
}

/// Error: why a submitted job is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// The body is not a job.
    #[error("body: {0}")]
    Body(String),
    /// The payload is too long.
    #[error("spec: longer than {max} bytes")]
    Payload {
        /// The limit.
        max: usize,
    },
    /// The number of steps is out of range.
    #[error("phases: must be 1 to {MAX_STEPS}")]
    Steps,
    /// The number of tasks of a step is out of range.
    #[error("phases[{0}].count: must be 1 to {MAX_WIDTH}")]
    Count(usize),
    /// A step depends on itself, on a later step or on one that does not exist.
    #[error("phases[{0}].after: must name earlier steps")]
    After(usize),
    /// More of a resource than any machine has.
    #[error("phases[{0}]: cpu, mem_mb and gpu must be at most {MAX_NEED}")]
    Need(usize),
    /// A duration that is too long.
    #[error("phases[{0}]: times must be at most {MAX_MS} ms")]
    Time(usize),
    /// A schedule that ends too late.
    #[error("first_run_ms must be at most {MAX_MOMENT}, interval_ms at most {MAX_MS}")]
    Schedule,
    /// Too many tasks over all steps and occurrences.
    #[error("more than {MAX_TASKS} tasks")]
    Tasks,
    /// The id in the path is invalid.
    #[error("id: must be {ID_DIGITS} hexadecimal digits, lower case")]
    Id,
    /// The body is too long.
    #[error("body: longer than {0} bytes")]
    TooLong(usize),
}

impl Step {
    /// Checks the step at index `i` of its job.
    fn check(&self, i: usize) -> Result<(), Invalid> {
        if self.count == 0 || self.count > MAX_WIDTH {
            return Err(Invalid::Count(i));
        }
        if self.after.iter().any(|&a| a as usize >= i) {
            return Err(Invalid::After(i));
        }
        if self.need.cpu.max(self.need.mem).max(self.need.acc) > MAX_NEED {
            return Err(Invalid::Need(i));
        }
        match self.estimate.max(self.tail_ms) > MAX_MS {
            true => Err(Invalid::Time(i)),
            false => Ok(()),
        }
    }
}

impl JobSpec {
    /// Number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }

    /// When an occurrence is due, Unix ms; none if at once.
    pub fn due(&self, occurrence: u32) -> Option<u64> {
        (self.times > 0).then(|| self.first_ms + u64::from(occurrence) * self.every_ms)
    }

    /// Whether the job runs until it is cancelled.
    pub fn lasts(&self) -> bool {
        self.steps.iter().any(|s| s.lasts)
    }

    /// Longest sum of `times`, one for each step, along the dependencies from each step to the end of
    /// the job.
    pub fn critical_paths(&self, times: &[u64]) -> Vec<u64> {
        let mut out = times.to_vec();
        for i in (0..self.steps.len()).rev() {
            for &a in &self.steps[i].after {
                let a = a as usize;
                out[a] = out[a].max(times[a] + out[i]);
            }
        }
        out
    }

    /// Checks everything that does not depend on the cell.
    pub fn check(&self) -> Result<(), Invalid> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(Invalid::Steps);
        }
        for (i, s) in self.steps.iter().enumerate() {
            s.check(i)?;
        }
        if self.first_ms > MAX_MOMENT || self.every_ms > MAX_MS {
            return Err(Invalid::Schedule);
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        match tasks * u64::from(self.occurrences()) > MAX_TASKS {
            true => Err(Invalid::Tasks),
            false => Ok(()),
        }
    }
}

/// A job's state as callers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks have completed.
    Completed,
    /// A task or gang failed too often.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl JobState {
    /// Whether the state is final.
    pub fn ended(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }

    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}
