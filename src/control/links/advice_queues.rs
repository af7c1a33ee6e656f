//! Assigns advice requests to the request queues of connections to the advice service. No I/O.
//!
//! The service answers the calls of one machine one after the other, so that a new request waits
//! for the total service time of its queue. Needed for many short requests for lookups beside long
//! ones for gangs. With queues limited by the number of requests alone, short requests wait while
//! other queues are shorter, and long requests are queued whose answers come too late to be used.

/// Service time above which a request is long, ms. Long requests are kept out of the first queues,
/// where requests for lookups, of about 10 ms, would wait behind them.
const LONG_REQUEST_MS: f64 = 50.0;

/// Minimum number of queues kept free of long requests, if there are twice as many queues.
const MIN_SHORT_QUEUES: usize = 2;

/// One queue in this many is kept free of long requests: the rate of lookups grows with the size of
/// the cell, as does the number of queues.
const SHORT_QUEUE_RATIO: usize = 4;

/// Most requests in one queue; the service refuses more than 32.
const MAX_QUEUED: usize = 30;

/// Longest total service time of a queue, ms, unless it holds a single request. A later answer is
/// useless, since what it was requested for has expired: tickets are valid for about 2 s,
/// provisional reservations for up to 5 s. A request that fits into no queue is refused at once,
/// and its step requests advice again in a later round.
const MAX_QUEUE_MS: f64 = 2_500.0;

/// Load of a queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueLoad {
    /// Number of requests in the queue.
    pub waiting: usize,
    /// Total service time of these requests, ms.
    pub cost: f64,
    /// The connection did not reach the service lately.
    pub failing: bool,
}

impl QueueLoad {
    fn has_capacity(&self, cost: f64) -> bool {
        self.waiting == 0 || (self.waiting < MAX_QUEUED && self.cost + cost <= MAX_QUEUE_MS)
    }
}

/// Number of queues, of `queues` in all, that take no long requests.
pub fn short_queues(queues: usize) -> usize {
    match queues < 2 * MIN_SHORT_QUEUES {
        true => 1,
        false => MIN_SHORT_QUEUES.max(queues / SHORT_QUEUE_RATIO),
    }
}

/// Returns the index of the queue that would answer a request of `cost` ms first; none if the
/// answer would come too late in all. `loads` is ordered by the age of the queues; the first one is
/// that of the leader itself. A failing connection takes a request only if no other can: its queue
/// is always short, since each request fails at once.
pub fn pick_queue(loads: &[QueueLoad], cost: f64) -> Option<usize> {
    let long = cost > LONG_REQUEST_MS && loads.len() > 1;
    let mut first = if long { short_queues(loads.len()) } else { 0 };
    if loads[first..].iter().all(|l| l.failing) && loads.iter().any(|l| !l.failing) {
        // Otherwise long requests would get no advice at all.
        first = 0;
    }
    let open = loads.iter().enumerate().skip(first).filter(|(_, l)| l.has_capacity(cost));
    // Of equally loaded queues the first is chosen, which for a short request takes no long ones.
    let order = |a: &QueueLoad, b: &QueueLoad| {
        a.failing.cmp(&b.failing).then_with(|| a.cost.total_cmp(&b.cost))
    };
    open.min_by(|(_, a), (_, b)| order(a, b)).map(|(n, _)| n)
}
