//! Ids of jobs, steps and tasks, and numbers of starts and incarnations.

use super::MAX_MOMENT;
use crate::arena_key;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

arena_key!(
    /// An incarnation of a runner in the scheduler's arena.
    RunnerKey
);

/// Hexadecimal digits of a job's id.
pub(super) const ID_DIGITS: usize = 16;

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
