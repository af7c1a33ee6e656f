//! Choosing runners for the tasks of a step, without I/O.
//!
//! Tasks are packed best fit: a runner left with the least processor room after the choice. The
//! load this answers is a cell at 80 % with gangs of some eight 4.5-core tasks on 16-core
//! runners, of which only some may run a step: spreading small tasks evenly would leave no runner
//! with room for a large one. First fit and random placing are there to be compared with.

use crate::kernel::res::Resources;
use serde::Deserialize;
use std::collections::BTreeSet;
use xxhash_rust::xxh3;

/// How a runner is chosen among those that fit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// The one that is left with the least processor room.
    #[default]
    BestFit,
    /// The first known.
    FirstFit,
    /// Any.
    Random,
}

/// A runner that may take tasks of the step.
#[derive(Clone, Debug)]
pub struct Place<K> {
    /// Its key.
    pub key: K,
    /// Room left.
    pub free: Resources,
    /// Its rack.
    pub rack: u32,
    /// Most further tasks of the step that it may take.
    pub limit: u32,
    /// A task has lately ended well there.
    pub proven: bool,
    /// Tasks there that are suspected of crashing their runners.
    pub suspects: u32,
    /// One of them has lost its runner more than once.
    pub risky: bool,
}

/// What the tasks of a step ask for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Room of one task.
    pub need: Resources,
    /// Rack with the data.
    pub rack: Option<u32>,
    /// All on one rack if that is possible.
    pub one_rack: bool,
    /// A run of the task was lost with its runner.
    pub suspect: bool,
    /// How to choose.
    pub how: Placement,
    /// Draws the choice of random placing.
    pub seed: u64,
}

/// Where a place stands among those that fit, by the way of choosing alone; lower is better.
fn order(ask: &Ask, index: usize, left: &Resources) -> (u64, u64) {
    match ask.how {
        Placement::BestFit => (left.cpu, left.mem),
        Placement::FirstFit => (0, 0),
        Placement::Random => {
            let drawn = [ask.seed, index as u64, left.cpu].map(u64::to_le_bytes).concat();
            (xxh3::xxh3_64(&drawn), 0)
        }
    }
}

/// How much a place exposes a task to suspects; lower is better. What runs beside one that has lost its runner
/// more than once is likely to be lost, and two suspects that are lost together cannot be told apart.
fn exposure<K>(ask: &Ask, p: &Place<K>) -> (bool, u32) {
    (p.risky, if ask.suspect { p.suspects } else { 0 })
}

/// How many more tasks fit.
pub fn slots<K>(p: &Place<K>, need: &Resources) -> u32 {
    let by = |have: u64, want: u64| have.checked_div(want).unwrap_or(u64::from(u32::MAX));
    let n = by(p.free.cpu, need.cpu).min(by(p.free.mem, need.mem)).min(by(p.free.acc, need.acc));
    p.limit.min(u32::try_from(n).unwrap_or(u32::MAX))
}

/// Number of tasks of the step that all of `places` together can take.
pub fn capacity<K>(places: &[Place<K>], need: &Resources) -> u64 {
    places.iter().map(|p| u64::from(slots(p, need))).sum()
}

/// The best place for one task: on a proven runner if it failed before, apart from suspects, near its data, then
/// where the least processor room is left. Takes its room.
pub fn one<K: Copy + Ord>(
    places: &mut [Place<K>],
    ask: &Ask,
    avoid: &BTreeSet<K>,
    failed: bool,
) -> Option<K> {
    let fits = |(_, p): &(usize, &mut Place<K>)| slots(p, &ask.need) > 0;
    let (_, best) = places.iter_mut().enumerate().filter(fits).min_by_key(|(index, p)| {
        let far = ask.rack.is_some_and(|r| r != p.rack);
        let left = p.free.sub(&ask.need);
        let unproven = failed && !p.proven;
        let order = order(ask, *index, &left);
        (avoid.contains(&p.key), unproven, exposure(ask, p), far, order, p.key)
    })?;
    best.suspects += u32::from(ask.suspect);
    best.free = best.free.sub(&ask.need);
    best.limit -= 1;
    Some(best.key)
}

/// Places for all `count` tasks at once, or none. A step that is slow across racks goes to the
/// rack with the least room that still takes all of it, if there is one.
pub fn all<K: Copy + Ord>(
    places: &mut Vec<Place<K>>,
    ask: &Ask,
    count: usize,
    avoid: &BTreeSet<K>,
) -> Option<Vec<K>> {
    if ask.one_rack {
        if let Some(rack) = one_rack(places, ask, count) {
            places.retain(|p| p.rack == rack);
        }
    }
    if capacity(places, &ask.need) < count as u64 {
        return None;
    }
    (0..count).map(|_| one(places, ask, avoid, false)).collect()
}

fn one_rack<K: Copy + Ord>(places: &[Place<K>], ask: &Ask, count: usize) -> Option<u32> {
    let racks: BTreeSet<u32> = places.iter().map(|p| p.rack).collect();
    let room = |rack: u32| -> u64 {
        let here = places.iter().filter(|p| p.rack == rack);
        here.map(|p| u64::from(slots(p, &ask.need))).sum()
    };
    let whole = racks.into_iter().filter(|&r| room(r) >= count as u64);
    whole.min_by_key(|&r| (ask.rack != Some(r), room(r)))
}
