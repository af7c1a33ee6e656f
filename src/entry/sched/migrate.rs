//! Moves a job that does not fit in its shard to a shard with free capacity, according to the
//! delayed usage reports of the workers. Without it, a job would wait on a full rack while
//! another one is empty.
//!
//! Only a job without placed tasks is moved. Its pending-job entry and its row change in one
//! transaction, so exactly one holder places it. As the usage may be out of date, the new holder
//! decides by its commitments, and the wait doubles with each move, which bounds the rate of
//! moves.

use super::plan::Draft;
use crate::entry::rows::JobRow;
use crate::kernel::clock::Millis;
use crate::kernel::res::Class;
use crate::standin::tasks::RackCapacity;

/// Time that an urgent job waits in a shard before its first move, ms.
const URGENT_WAIT_MS: Millis = 300;

/// Number of moves after which an urgent job preempts batch tasks where it is; it must start within
/// 8.7 s.
const URGENT_MOVES: u32 = 2;

/// Time that a job of another class waits in a shard before its first move, ms.
const WAIT_MS: Millis = 2_000;

/// Most times that the wait doubles; it does so with each move.
const MAX_DOUBLINGS: u32 = 5;

impl Draft<'_> {
    /// Moves job `id` out of shard `shard_name` if it has waited long enough and another shard has
    /// capacity for it. Returns whether the job was moved.
    pub(super) fn migrate(&mut self, shard_name: &str, epoch: u64, id: &str) -> bool {
        let Some(row) = self.job(id) else { return false };
        if row.placed() || !self.waited_enough(shard_name, row) {
            return false;
        }
        let Some(to) = self.shard_with_capacity(shard_name, row) else { return false };
        self.move_job(shard_name, epoch, id, &to);
        true
    }

    /// Returns the shard other than `shard_name` with the most free capacity into which `row` fits.
    /// There is none for an urgent job that has moved [`URGENT_MOVES`] times, as the capacity
    /// reported for its earlier targets was no longer free.
    pub(super) fn shard_with_capacity(&self, shard_name: &str, row: &JobRow) -> Option<String> {
        if row.moves >= URGENT_MOVES && row.class == Class::Urgent {
            return None;
        }
        let others =
            self.s.rack_capacities.values().filter(|r| r.shard != shard_name && row_fits(r, row));
        others.max_by_key(|r| (r.free, r.shard.clone())).map(|r| r.shard.clone())
    }

    /// Returns whether `row` has waited in shard `shard_name` long enough for its next move.
    fn waited_enough(&self, shard_name: &str, row: &JobRow) -> bool {
        let Some(since) = self.s.pending.get(shard_name).and_then(|m| m.get(&row.id)) else {
            return false;
        };
        let wait = if row.class == Class::Urgent { URGENT_WAIT_MS } else { WAIT_MS };
        self.plan.now >= since + (wait << row.moves.min(MAX_DOUBLINGS))
    }
}

/// Returns whether `row` fits into `rack`: all tasks of a gang, one task of any other job.
fn row_fits(rack: &RackCapacity, row: &JobRow) -> bool {
    let demand = &row.spec.demand;
    let whole_gang_fits =
        row.class != Class::Gang || demand.times(row.tasks.len() as u64).fits(&rack.free);
    whole_gang_fits && demand.fits(&rack.largest)
}
