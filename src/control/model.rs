//! Data model of the control plane: jobs, steps, tasks, queues and the catalogue, with the bounds
//! on their fields.

use super::teams::Teams;
use crate::kernel::res::Resources;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// Hexadecimal digits of a job's id.
const ID_DIGITS: usize = 16;

/// Maximum number of steps of a job. It and [`MAX_WIDTH`] bound the memory that one request can
/// take; both are some ten times what callers send.
const MAX_STEPS: usize = 64;
/// Maximum number of tasks of a step, see [`MAX_STEPS`].
pub const MAX_WIDTH: u32 = 1_000;
/// Maximum number of tasks of a job over all its occurrences, so that its progress fits one row of
/// the store.
const MAX_TASKS: u64 = 2_000;

/// Longest duration that is accepted from a caller, the operator or a row, ms: 35 years. The sum of
/// the durations of all steps and occurrences of a job, and three times its objective, stay far
/// within 64 bits.
pub const MAX_MS: u64 = 1 << 40;

/// Latest time that is accepted, Unix ms: the year 10889.
pub const MAX_MOMENT: u64 = 1 << 48;

/// Maximum of each resource of a task, thousandths of a core and MiB: a thousand times the largest
/// machines there are. The sum over a million waiting jobs stays within 64 bits; without a bound
/// one job with an invalid value would corrupt the sum, which the plan for all others depends on.
pub const MAX_NEED: u64 = 1 << 32;

/// A job's id, chosen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// Error: a text is not an id of the expected form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a valid id")]
pub struct BadId;

impl FromStr for JobId {
    type Err = BadId;

    fn from_str(s: &str) -> Result<Self, BadId> {
        let lower = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if s.len() != ID_DIGITS || !s.bytes().all(lower) {
            return Err(BadId);
        }
        u64::from_str_radix(s, 16).map(Self).map_err(|_| BadId)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Index of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u32,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The step.
    pub step: StepId,
    /// Index within the step.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = BadId;

    fn from_str(s: &str) -> Result<Self, BadId> {
        let mut parts = s.split('.');
        let job = parts.next().ok_or(BadId)?.parse()?;
        let mut number = || parts.next().and_then(|p| p.parse().ok()).ok_or(BadId);
        let (occurrence, step, index) = (number()?, number()?, number()?);
        match parts.next() {
            None => Ok(Self { step: StepId { job, occurrence, step }, index }),
            Some(_) => Err(BadId),
        }
    }
}

/// Number of a start of a task: from 1, rising with each start; 0 before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "u32")]
pub struct Attempt(pub u32);

/// Error: a number beyond [`Attempt::LAST`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("attempt number beyond {}", Attempt::LAST)]
pub struct BadAttempt;

impl TryFrom<u32> for Attempt {
    type Error = BadAttempt;

    fn try_from(n: u32) -> Result<Self, BadAttempt> {
        match n <= Self::LAST {
            true => Ok(Self(n)),
            false => Err(BadAttempt),
        }
    }
}

impl Attempt {
    /// Highest attempt number that is accepted from outside. A task whose row holds the largest
    /// number of the type would have no next start and never run again.
    pub const LAST: u32 = 1 << 31;

    /// The next attempt number.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// When an incarnation of a runner started, Unix ms. A runner may start again under its id; two
/// incarnations of one id differ in this value. It is compared for equality only, since the time of
/// day of a machine may be set back between two starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u64")]
pub struct Born(pub u64);

/// Error: a start time beyond [`MAX_MOMENT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("start time beyond {MAX_MOMENT}")]
pub struct BadBorn;

impl TryFrom<u64> for Born {
    type Error = BadBorn;

    fn try_from(ms: u64) -> Result<Self, BadBorn> {
        match ms <= MAX_MOMENT {
            true => Ok(Self(ms)),
            false => Err(BadBorn),
        }
    }
}

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

/// Cost model of the advice requests that a queue's policy requires before a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Approval {
    /// Processing time of a request without runners, ms.
    pub base_ms: f64,
    /// Additional processing time for each runner named, ms.
    pub each_ms: f64,
    /// Validity of a ticket, ms.
    pub valid_ms: u64,
}

impl Approval {
    /// Processing time of a request that names `n` runners, ms.
    pub fn cost_ms(&self, n: usize) -> f64 {
        self.base_ms + self.each_ms * n as f64
    }
}

/// A queue of jobs: its address for callers, and the rules that its jobs run under.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Host name in requests.
    pub host: String,
    /// Path prefix in front of the job id.
    pub prefix: String,
    /// Service whose runners run its tasks.
    pub service: String,
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Number of failures of a task after which its job has failed.
    pub max_fails: u32,
    /// Objective of a job: this factor times its longest chain of work, plus [`Self::latency_ms`].
    pub slack: f64,
    /// Constant part of the objective, ms.
    pub latency_ms: u64,
    /// Maximum response time, ms.
    pub timeout_ms: u64,
    /// Cost of advice requests if the queue's policy must approve runners; none if it need not.
    pub approval: Option<Approval>,
    /// Whether calls need no key.
    pub open: bool,
}

/// The operator's configuration: all queues.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    /// Version; 0 before the first one is read.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<String, Queue>,
    /// Teams of callers.
    pub teams: Teams,
}

impl Catalogue {
    /// The queue for a host and path: of those whose prefix matches, the one with the longest.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or(host);
        let fits = |q: &&Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.prefix);
        self.queues.values().filter(fits).max_by_key(|q| q.prefix.len())
    }
}
