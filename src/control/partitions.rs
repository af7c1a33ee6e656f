//! Partitions of the progress table.
//!
//! A partition of the store executes one transaction at a time, independently of the others. With
//! all progress in one partition, a slow store could not keep up with a busy cell, and no progress
//! could be stored while this partition is unavailable. So jobs are spread over several partitions,
//! each with a fence row of its own ([`super::rows::fence_key`]).

use super::model::JobId;
use std::ops::RangeInclusive;

/// Number of partitions, a power of two.
pub const COUNT: usize = 8;

/// Number of bits of a job's id below those that select the partition.
const REST_BITS: u32 = u64::BITS - COUNT.ilog2();

/// A partition of the progress table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Partition(u8);

impl Partition {
    /// All partitions, by index.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..COUNT as u8).map(Self)
    }

    /// The partition of a job's progress, selected by the leading bits of its id.
    pub fn of(id: JobId) -> Self {
        Self((id.0 >> REST_BITS) as u8)
    }

    /// Ids of the jobs whose progress is in this partition.
    pub fn jobs(self) -> RangeInclusive<JobId> {
        let first = u64::from(self.0) << REST_BITS;
        JobId(first)..=JobId(first | ((1 << REST_BITS) - 1))
    }

    /// Index of this partition, below [`COUNT`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Name of this partition in the store.
    pub fn name(self) -> String {
        format!("p{}", self.0)
    }
}

/// Partitions whose rows one transaction may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionScope {
    /// All partitions.
    All,
    /// One partition.
    One(Partition),
}

impl PartitionScope {
    /// Ids of the jobs in scope.
    pub fn jobs(self) -> RangeInclusive<JobId> {
        match self {
            Self::All => JobId(0)..=JobId(u64::MAX),
            Self::One(partition) => partition.jobs(),
        }
    }
}
