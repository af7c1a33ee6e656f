//! Which line to the advice service takes a question, without I/O.
//!
//! The service answers the calls of one machine one after the other, so that a line's answers come as
//! late as all that waits on it takes. The load this answers: many short questions about lookups beside
//! long ones about gangs. Lines filled by number, whatever each question takes, keep the short ones
//! waiting while other lines are shorter, and take long ones whose answers come too late to be used.

/// Questions that take the service longer than this are kept off the first lines, where lookups'
/// questions of some 10 ms would wait behind them, ms.
const LONG_MS: f64 = 50.0;

/// Lines kept free of long questions at least, while there are twice as many.
const SHORT_LINES: usize = 2;

/// ... and one line in this many, since lookups come with the size of the cell, and so do lines.
const SHORT_PART: usize = 4;

/// Questions that may wait on one line; the service refuses more than 32.
const DEPTH: usize = 30;

/// A line takes a question only if its answer comes within this, ms, unless nothing else waits there.
/// Later the room that it was asked for is gone: tickets live some 2 s, bookings up to 5 s. The question
/// is then refused at once, and its step asks again when it is its turn.
const LATEST_MS: f64 = 2_500.0;

/// What waits on a line.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Questions.
    pub waiting: usize,
    /// Time of service of all of them, ms.
    pub cost: f64,
}

impl Load {
    fn takes(&self, cost: f64) -> bool {
        self.waiting == 0 || (self.waiting < DEPTH && self.cost + cost <= LATEST_MS)
    }
}

/// Lines that take no long questions, of `lines`.
pub fn short_lines(lines: usize) -> usize {
    match lines < 2 * SHORT_LINES {
        true => 1,
        false => SHORT_LINES.max(lines / SHORT_PART),
    }
}

/// Picks the line that answers a question of `cost` ms first; none if its answer would come too late
/// on all. `loads` are in the order of the lines' age; the first is the instance's own.
pub fn pick(loads: &[Load], cost: f64) -> Option<usize> {
    let long = cost > LONG_MS && loads.len() > 1;
    let first = if long { short_lines(loads.len()) } else { 0 };
    let open = loads.iter().enumerate().skip(first).filter(|(_, l)| l.takes(cost));
    // Among equals short questions prefer the lines that take no long ones.
    open.min_by(|(_, a), (_, b)| a.cost.total_cmp(&b.cost)).map(|(n, _)| n)
}
