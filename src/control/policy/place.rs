//! Placement: chooses runners for the tasks of a step. No I/O.
//!
//! Tasks are packed best fit: on the runner that is left with the least free processor capacity.
//! Needed for a cell at 80 % with gangs of some eight 4.5-core tasks on 16-core runners, of which
//! only some may run a step. Spreading small tasks evenly would leave no runner with capacity for a
//! large one. First fit and random placement exist for comparison.

use crate::kernel::res::Resources;
use serde::Deserialize;
use std::collections::BTreeSet;
use xxhash_rust::xxh3;

/// Placement policy among the runners that fit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// The runner that is left with the least free processor capacity.
    #[default]
    BestFit,
    /// The first runner in the list.
    FirstFit,
    /// A runner drawn from the seed.
    Random,
}

/// A candidate runner for tasks of the step.
#[derive(Clone, Debug)]
pub struct Candidate<K> {
    /// Its key.
    pub key: K,
    /// Free capacity.
    pub free: Resources,
    /// Its rack.
    pub rack: u32,
    /// Maximum number of further tasks of the step that it may take.
    pub limit: u32,
    /// A task has recently completed there without an error.
    pub proven: bool,
    /// Number of tasks there that are suspected of crashing their runners.
    pub suspects: u32,
    /// One of the suspects has lost its runner more than once.
    pub repeat_suspect: bool,
    /// Order by the speed that the step prefers; lower is better, equal for all without a
    /// preference.
    pub speed_order: u8,
}

/// Requirements of the tasks of a step.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Resources of one task.
    pub need: Resources,
    /// Rack that holds the data.
    pub rack: Option<u32>,
    /// Place all tasks on one rack if possible.
    pub one_rack: bool,
    /// A run of the task was lost with its runner.
    pub suspect: bool,
    /// The task crashes its runners: it gets the runner with the largest free capacity, where least
    /// runs beside it.
    pub apart: bool,
    /// Placement policy.
    pub policy: Placement,
    /// Seed of random placement.
    pub seed: u64,
}

/// Sort key of the placement policy among the candidates that fit; lower is better. `remaining` is
/// the capacity that the task would leave free.
fn order(request: &PlacementRequest, index: usize, remaining: &Resources) -> (u64, u64) {
    match request.policy {
        _ if request.apart => (u64::MAX - remaining.cpu, u64::MAX - remaining.mem),
        Placement::BestFit => (remaining.cpu, remaining.mem),
        Placement::FirstFit => (0, 0),
        Placement::Random => {
            let bytes = [request.seed, index as u64, remaining.cpu].map(u64::to_le_bytes).concat();
            (xxh3::xxh3_64(&bytes), 0)
        }
    }
}

/// Exposure of a task to suspects on a candidate; lower is better. A run beside a suspect that has
/// lost its runner more than once is likely to be lost, and two suspects that are lost together
/// cannot be told apart.
fn exposure<K>(request: &PlacementRequest, c: &Candidate<K>) -> (bool, u32) {
    (c.repeat_suspect, if request.suspect { c.suspects } else { 0 })
}

/// Number of further tasks of the step that fit on a candidate.
pub fn slots<K>(c: &Candidate<K>, need: &Resources) -> u32 {
    fitting(&c.free, need).min(c.limit)
}

/// Number of tasks that fit into `free`.
pub fn fitting(free: &Resources, need: &Resources) -> u32 {
    let fit = |free: u64, each: u64| free.checked_div(each).unwrap_or(u64::from(u32::MAX));
    let n = fit(free.cpu, need.cpu).min(fit(free.mem, need.mem)).min(fit(free.acc, need.acc));
    u32::try_from(n).unwrap_or(u32::MAX)
}

/// Number of tasks of the step that fit on all of `candidates` together.
pub fn capacity<K>(candidates: &[Candidate<K>], need: &Resources) -> u64 {
    candidates.iter().map(|c| u64::from(slots(c, need))).sum()
}

/// Chooses the best runner for one task and subtracts its resources there. The order of preference
/// is: a proven runner if the task failed before, away from suspects, near its data, of the preferred
/// speed, then the placement policy.
pub fn place_one<K: Copy + Ord>(
    candidates: &mut [Candidate<K>],
    request: &PlacementRequest,
    avoid: &BTreeSet<K>,
    failed: bool,
) -> Option<K> {
    let fits = |(_, c): &(usize, &mut Candidate<K>)| slots(c, &request.need) > 0;
    let (_, best) = candidates.iter_mut().enumerate().filter(fits).min_by_key(|(index, c)| {
        let far = request.rack.is_some_and(|r| r != c.rack);
        let remaining = c.free.sub(&request.need);
        let unproven = failed && !c.proven;
        let order = order(request, *index, &remaining);
        let exposure = exposure(request, c);
        (avoid.contains(&c.key), unproven, exposure, far, c.speed_order, order, c.key)
    })?;
    best.suspects += u32::from(request.suspect);
    best.free = best.free.sub(&request.need);
    best.limit -= 1;
    Some(best.key)
}

/// Chooses runners for all `count` tasks, or for none of them. A step that is slower across racks
/// goes to the rack with the least free capacity that still takes all of it, if there is one. Tasks
/// are placed on runners of like speed if enough of them have capacity.
pub fn place_all<K: Copy + Ord>(
    candidates: &mut Vec<Candidate<K>>,
    request: &PlacementRequest,
    count: usize,
    avoid: &BTreeSet<K>,
) -> Option<Vec<K>> {
    if request.one_rack {
        if let Some(rack) = one_rack(candidates, request, count) {
            candidates.retain(|c| c.rack == rack);
        }
    }
    if capacity(candidates, &request.need) < count as u64 {
        return None;
    }
    // Data and runners to avoid come before speed.
    if request.rack.is_none() {
        if let Some(order) = like_speed(candidates, request, count, avoid) {
            candidates.retain(|c| c.speed_order == order);
        }
    }
    (0..count).map(|_| place_one(candidates, request, avoid, false)).collect()
}

fn one_rack<K: Copy + Ord>(
    candidates: &[Candidate<K>],
    request: &PlacementRequest,
    count: usize,
) -> Option<u32> {
    let racks: BTreeSet<u32> = candidates.iter().map(|c| c.rack).collect();
    let rack_slots = |rack: u32| -> u64 {
        let here = candidates.iter().filter(|c| c.rack == rack);
        here.map(|c| u64::from(slots(c, &request.need))).sum()
    };
    let large_enough = racks.into_iter().filter(|&r| rack_slots(r) >= count as u64);
    large_enough.min_by_key(|&r| (request.rack != Some(r), rack_slots(r)))
}

/// The best order of speed of which the candidates that need not be avoided have capacity for all
/// tasks.
fn like_speed<K: Copy + Ord>(
    candidates: &[Candidate<K>],
    request: &PlacementRequest,
    count: usize,
    avoid: &BTreeSet<K>,
) -> Option<u8> {
    let orders: BTreeSet<u8> = candidates.iter().map(|c| c.speed_order).collect();
    let like_slots = |order: u8| -> u64 {
        let harmless = |c: &&Candidate<K>| !avoid.contains(&c.key) && !c.repeat_suspect;
        let like = candidates.iter().filter(|c| c.speed_order == order).filter(harmless);
        like.map(|c| u64::from(slots(c, &request.need))).sum()
    };
    orders.into_iter().find(|&order| like_slots(order) >= count as u64)
}
