//! Deferral: which waiting steps planning leaves out because their job can earn nothing any more,
//! and when they are released. No I/O.
//!
//! Needed when more was accepted than the cell could serve in time. Thousands of steps then wait
//! whose order no longer matters, and ranking them, planning them and requesting advice for them in
//! each pass takes the processor time of the leader that steps with a value need. They still have
//! to run: an accepted job must not stay without a running task while capacity is unused.

use super::queue::Rank;

/// Deferred steps are released, and their tasks placed, while less than this share of the service's
/// capacity is in use, per cent. An accepted job must not stay without a running task for 3 s while
/// under half of the capacity is in use: the difference covers requests for advice and commits.
const RELEASE_PERCENT: u64 = 60;

/// A service is overloaded while the demand that waits for it, without deferred steps, exceeds this
/// share of its capacity, per cent: the level at which gangs reserve fewer runners.
const OVERLOAD_PERCENT: u64 = 40;

/// Time after which a released step of which tasks still wait is deferred again, ms. It then waits
/// behind the others, so that a step that no runner can take does not keep them waiting.
pub const RELEASE_MS: u64 = 3_000;

/// Time that the demand of a released step counts as capacity in use, ms: covers a request for
/// advice and the placement. A step that is not placed by then has no approved runner with
/// capacity, and must not delay the release of others.
pub const COUNTED_MS: u64 = 500;

/// Interval between two releases, ms: a small part of the second within which a step has to be
/// placed once under half of the capacity is in use.
pub const RELEASE_INTERVAL_MS: u64 = 100;

/// Processor capacity of a service, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceUse {
    /// Allocated to tasks.
    pub in_use: u64,
    /// Capacity of all listed runners.
    pub total: u64,
}

impl ServiceUse {
    /// Whether a step may be released while released steps with a demand of `pending` are not
    /// placed.
    pub fn may_release(self, pending: u64) -> bool {
        (self.in_use + pending) * 100 < self.total * RELEASE_PERCENT
    }

    /// Capacity that tasks of a released step, each with a demand of `task`, may take. The last of
    /// them may exceed the limit, since a task can be larger than the share that remains.
    pub fn budget(self, task: u64) -> u64 {
        let left = (self.total * RELEASE_PERCENT / 100).saturating_sub(self.in_use);
        if left > 0 {
            left + task.saturating_sub(1)
        } else {
            0
        }
    }

    /// Whether `waiting` demand is more than the service can start soon.
    pub fn overloaded(self, waiting: u64) -> bool {
        waiting * 100 > self.total * OVERLOAD_PERCENT
    }
}

/// What decides whether a waiting step may be deferred.
#[derive(Clone, Copy, Debug)]
pub struct WaitingStep {
    /// Its rank.
    pub rank: Rank,
    /// Its tasks run until the job is cancelled.
    pub lasts: bool,
    /// It is a gang.
    pub gang: bool,
    /// Any of its tasks runs or may run.
    pub runs: bool,
    /// It was released, and the time of the release is not over.
    pub released: bool,
}

/// Whether a step is to be deferred.
pub fn defers(step: &WaitingStep) -> bool {
    let excluded = step.lasts || (step.gang && step.runs) || step.released;
    step.rank.no_value && !excluded
}
