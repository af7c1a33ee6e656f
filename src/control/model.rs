//! Jobs, steps, tasks and queues as the control plane knows them.

use crate::kernel::res::Resources;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// Digits of a job's id.
const ID_DIGITS: usize = 16;

/// Most steps of a job, and most tasks of a step: bounds the memory that one request can take,
/// some ten times what callers send.
const MAX_STEPS: usize = 64;
/// See [`MAX_STEPS`].
const MAX_WIDTH: u32 = 1_000;
/// Most tasks of a job over all its occurrences, so that its progress fits one row of the store.
const MAX_TASKS: u64 = 2_000;

/// Longest time that a caller, the operator or a row may name, ms: 35 years. The sum of the times of
/// all steps and occurrences of a job, and three objectives of it, stay far within 64 bits.
pub const MAX_MS: u64 = 1 << 40;

/// Latest moment that is believed, Unix ms: the year 10889.
pub const MAX_MOMENT: u64 = 1 << 48;

/// Most that a task may ask for of each resource, thousandths of a core and MiB: a thousand times
/// the largest machines there are. What a million waiting jobs ask for together stays within 64
/// bits; without a bound one absurd job would spoil the sum that all others are planned by.
pub const MAX_NEED: u64 = 1 << 32;

/// A job's id, chosen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// A text that is not the id it should be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not an id")]
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
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
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

/// Number of a start of a task, from 1 and rising; 0 before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "u32")]
pub struct Attempt(pub u32);

/// A number that no start has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("attempt beyond {}", Attempt::LAST)]
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
    /// Highest number read from outside. Beyond the numbers there are no more starts: a task whose
    /// row said so would never run again.
    pub const LAST: u32 = 1 << 31;

    /// The one after.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndKind {
    /// It did its work.
    Done,
    /// It failed, by its own fault or the runner's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The runner's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
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

/// A step of a job: `count` like tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each takes.
    pub need: Resources,
    /// Rough duration of a task, ms.
    pub estimate: u64,
    /// Earlier steps that must be done first.
    pub after: Vec<u32>,
    /// It writes checkpoints.
    pub saves: bool,
    /// Its tasks work only all together.
    pub gang: bool,
    /// It is slower when spread over racks.
    pub one_rack: bool,
    /// Label that the runner must have; empty for none.
    pub label: String,
    /// Rack that holds its data; empty for none.
    pub rack: String,
    /// Most tasks on one runner; 0 for no limit.
    pub per_runner: u32,
    /// Copies of a task may run at the same time.
    pub copies: bool,
    /// Its tasks run until the job is cancelled.
    pub lasts: bool,
    /// What its tasks run; tasks of one image behave alike.
    pub image: String,
    /// Bound on the tail latency of its tasks, ms; 0 for none.
    pub tail_ms: u64,
    /// It takes the processor that others leave; only its memory counts.
    pub fills: bool,
    /// Most tasks that the system may make unavailable at once; 0 where that does not apply.
    pub may_miss: u32,
}

impl Step {
    /// What one task takes of a runner's room.
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
    /// What its tasks are given.
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

/// What is wrong with a submitted job.
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
    /// The number of steps.
    #[error("phases: must be 1 to {MAX_STEPS}")]
    Steps,
    /// The number of tasks of a step.
    #[error("phases[{0}].count: must be 1 to {MAX_WIDTH}")]
    Count(usize),
    /// A step waits for itself, for a later one or for one that does not exist.
    #[error("phases[{0}].after: must name earlier steps")]
    After(usize),
    /// More of a resource than any machine has.
    #[error("phases[{0}]: cpu, mem_mb and gpu must be at most {MAX_NEED}")]
    Need(usize),
    /// A duration that is too long.
    #[error("phases[{0}]: times must be at most {MAX_MS} ms")]
    Time(usize),
    /// A schedule that reaches too far.
    #[error("first_run_ms must be at most {MAX_MOMENT}, interval_ms at most {MAX_MS}")]
    Schedule,
    /// Too many tasks altogether.
    #[error("more than {MAX_TASKS} tasks")]
    Tasks,
    /// The id in the path.
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

    /// Whether it runs until cancelled.
    pub fn lasts(&self) -> bool {
        self.steps.iter().any(|s| s.lasts)
    }

    /// Checks what can be checked without knowing the cell.
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
    /// All tasks have ended done.
    Completed,
    /// A task or gang failed too often.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl JobState {
    /// Whether it will change no more.
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

/// What a queue's policy costs to ask.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Approval {
    /// Time of a question, ms.
    pub base_ms: f64,
    /// More for each runner named, ms.
    pub each_ms: f64,
    /// Life of a ticket, ms.
    pub valid_ms: u64,
}

impl Approval {
    /// Time that a question naming `n` runners takes of the service, ms.
    pub fn cost_ms(&self, n: usize) -> f64 {
        self.base_ms + self.each_ms * n as f64
    }
}

/// A queue of jobs: who may submit where, and under what rules they run.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Path prefix before the job's id.
    pub prefix: String,
    /// Service whose runners run its tasks.
    pub service: String,
    /// 0 comes first.
    pub priority: u32,
    /// Failures of a task after which its job has failed.
    pub max_fails: u32,
    /// Objective: this many times the longest chain of work ...
    pub slack: f64,
    /// ... and this much more, ms.
    pub latency_ms: u64,
    /// Longest answer time, ms.
    pub timeout_ms: u64,
    /// Whether the queue's policy must approve runners, and what asking costs.
    pub approval: Option<Approval>,
}

/// The operator's configuration: every queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    /// Version; 0 before the first is known.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<String, Queue>,
}

impl Catalogue {
    /// The queue for a host and path: the longest prefix that the path begins with.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or(host);
        let fits = |q: &&Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.prefix);
        self.queues.values().filter(fits).max_by_key(|q| q.prefix.len())
    }
}
