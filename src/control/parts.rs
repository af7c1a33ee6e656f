//! Parts of the progress table.
//!
//! A part of the store takes one transaction at a time, whatever other parts do. With all progress
//! in one part, a store that is slow stores less than a busy cell changes, and one that has lost this part
//! stores nothing: jobs are spread over several, each of which has a fence of its own
//! ([`super::rows::fence_key`]).

use super::model::JobId;
use std::ops::RangeInclusive;

/// Number of parts, a power of two.
pub const COUNT: usize = 8;

/// Bits of a job's id after those that say its part.
const REST_BITS: u32 = u64::BITS - COUNT.ilog2();

/// A part of the progress table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Part(u8);

impl Part {
    /// Every part.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..COUNT as u8).map(Self)
    }

    /// The part of a job's progress: its id's leading bits.
    pub fn of(id: JobId) -> Self {
        Self((id.0 >> REST_BITS) as u8)
    }

    /// The jobs whose progress is in it.
    pub fn jobs(self) -> RangeInclusive<JobId> {
        let first = u64::from(self.0) << REST_BITS;
        JobId(first)..=JobId(first | ((1 << REST_BITS) - 1))
    }

    /// Its position among all.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Its name in the store.
    pub fn name(self) -> String {
        format!("p{}", self.0)
    }
}

/// Jobs whose progress goes into one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Of any parts.
    All,
    /// Of one part.
    One(Part),
}

impl Scope {
    /// The jobs in it.
    pub fn jobs(self) -> RangeInclusive<JobId> {
        match self {
            Self::All => JobId(0)..=JobId(u64::MAX),
            Self::One(part) => part.jobs(),
        }
    }
}
