//! Queue order: ranks the steps that wait for placement. No I/O.
//!
//! What a job earns falls when its objective passes and is zero at three times the objective. Steps
//! of urgent queues come first. The others are ordered by the latest moment at which a step can
//! start and still meet its job's objective, so that a job with a tight objective passes one with
//! time to spare. A late job is ordered by the latest start that still earns something: fresh jobs
//! pass it at first, and cannot starve it. Jobs beyond the share of their team come behind the others,
//! and jobs that earn nothing any more come last; they still have to be run. While a service is
//! overloaded, late jobs also come behind jobs that can still meet their objective: these earn five
//! times as much for the same capacity.

/// Multiple of the objective after which a job earns nothing.
const NO_VALUE_FACTOR: u64 = 3;

/// Rank of a step in the queue; lower is served first. Compared field by field, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The job earns nothing any more.
    pub no_value: bool,
    /// The job is beyond its team's share.
    pub excess: bool,
    /// The queue is not urgent.
    pub non_urgent: bool,
    /// The job is late and its service is overloaded.
    pub yields: bool,
    /// Latest start that meets the objective or, for a late job, that still earns something, Unix
    /// ms.
    pub latest_start: u64,
    /// The job is late.
    pub late: bool,
}

impl Rank {
    /// The rank while the step's service is overloaded.
    pub fn under_overload(self) -> Self {
        Self { yields: self.late, ..self }
    }
}

/// Inputs of the rank.
#[derive(Clone, Copy, Debug)]
pub struct RankInput {
    /// Priority of the queue; 0 is urgent.
    pub priority: u32,
    /// Whether the job is beyond its team's share.
    pub excess: bool,
    /// When the step could start, Unix ms.
    pub begin: u64,
    /// Objective of the whole job, ms.
    pub objective: u64,
    /// Longest chain of work from this step to the end of the job, ms.
    pub chain: u64,
    /// Time until the resources it needs are free, ms.
    pub capacity_wait: u64,
}

/// Ranks a step at `now`, Unix ms.
pub fn rank(input: &RankInput, now: u64) -> Rank {
    let (due, no_value_at) =
        (input.begin + input.objective, input.begin + NO_VALUE_FACTOR * input.objective);
    let end = now + input.chain;
    let late = end > due;
    let deadline = if late { no_value_at } else { due };
    Rank {
        no_value: end > no_value_at,
        excess: input.excess,
        non_urgent: input.priority > 0,
        yields: false,
        latest_start: deadline.saturating_sub(input.chain + input.capacity_wait),
        late,
    }
}
