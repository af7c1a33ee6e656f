//! The order in which steps are served, without I/O.
//!
//! What a job earns falls when its objective passes and is gone at three times the objective.
//! Urgent queues come first; the rest by the latest moment at which a step can start and still
//! meet its job's objective, so that a tight job passes one with time to spare. A job that is late
//! goes by the moment at which its worth is gone: it lets fresh jobs pass at first, and is not
//! starved by them. Last come those whose worth is gone, which still have to be done.

/// Times the objective after which a job earns nothing.
const WORTHLESS: u64 = 3;

/// Where a step stands in the queue; lower is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Its job earns nothing any more.
    pub worthless: bool,
    /// It is not of an urgent queue.
    pub patient: bool,
    /// Latest start that meets the objective or, once that has passed, that still earns something,
    /// Unix ms.
    pub start_by: u64,
    /// Its job is late.
    pub late: bool,
}

/// What the order depends on.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Priority of the queue; 0 is urgent.
    pub priority: u32,
    /// When work could begin, Unix ms.
    pub begin: u64,
    /// Objective of the whole job, ms.
    pub objective: u64,
    /// Longest chain of work from this step to the end, ms.
    pub chain: u64,
    /// Time that its room takes to come free, ms.
    pub lead: u64,
}

/// Ranks a step at `now`, Unix ms.
pub fn rank(c: &Claim, now: u64) -> Rank {
    let (due, last) = (c.begin + c.objective, c.begin + WORTHLESS * c.objective);
    let end = now + c.chain;
    let late = end > due;
    let goal = if late { last } else { due };
    Rank {
        worthless: end > last,
        patient: c.priority > 0,
        start_by: goal.saturating_sub(c.chain + c.lead),
        late,
    }
}
