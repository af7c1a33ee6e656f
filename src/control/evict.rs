//! Which tasks are stopped to make room for a gang, without I/O.
//!
//! The load this answers: wide gangs that few runners may run, on a cell whose room is taken by
//! narrow tasks that write checkpoints and have time to spare. A gang needs room on several of its
//! runners at once; waiting until the tasks there end by themselves takes as long as the longest,
//! while one that is stopped saves its work and goes on elsewhere after a fraction of a second.

use crate::kernel::res::Resources;

/// A task that may be stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Victim<T> {
    /// The task.
    pub id: T,
    /// Its room.
    pub need: Resources,
}

/// A runner that may take members of the gang.
#[derive(Clone, Debug)]
pub struct Spot<K, T> {
    /// Its key.
    pub key: K,
    /// Room left.
    pub free: Resources,
    /// Most members that it may take.
    pub limit: u32,
    /// What may be stopped there.
    pub victims: Vec<Victim<T>>,
}

/// Where the members go, and what is stopped for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan<K, T> {
    /// A runner for each member.
    pub keys: Vec<K>,
    /// Tasks to stop, and where.
    pub stops: Vec<(K, T)>,
}

impl<K: Copy + Ord, T: Copy + Ord> Spot<K, T> {
    /// Positions of the victims that make room for one more member; none if they do not suffice.
    /// Each is the smallest that is enough, or else the largest, so that few are stopped.
    fn victims_for(&self, need: &Resources) -> Option<Vec<usize>> {
        let mut picked: Vec<usize> = Vec::new();
        let mut free = self.free;
        while !need.fits(&free) {
            let missing = need.sub(&free);
            let left = || {
                let all = self.victims.iter().enumerate();
                all.filter(|(i, _)| !picked.contains(i)).map(|(i, v)| (v.need.cpu, v.need.mem, i))
            };
            let enough = |(_, _, i): &(u64, u64, usize)| missing.fits(&self.victims[*i].need);
            let (_, _, i) = left().filter(enough).min().or_else(|| left().max())?;
            free = free.add(&self.victims[i].need);
            picked.push(i);
        }
        Some(picked)
    }

    /// Takes a member in, for which the victims at `picked` are stopped.
    fn take(&mut self, need: &Resources, mut picked: Vec<usize>, stops: &mut Vec<(K, T)>) {
        picked.sort_unstable_by_key(|i| std::cmp::Reverse(*i));
        for i in picked {
            let v = self.victims.swap_remove(i);
            self.free = self.free.add(&v.need);
            stops.push((self.key, v.id));
        }
        self.free = self.free.sub(need);
        self.limit -= 1;
    }
}

/// Places all `count` members at the least processor room stopped; none if there is no way.
pub fn plan<K: Copy + Ord, T: Copy + Ord>(
    mut spots: Vec<Spot<K, T>>,
    need: &Resources,
    count: usize,
) -> Option<Plan<K, T>> {
    let mut out = Plan { keys: Vec::with_capacity(count), stops: Vec::new() };
    for _ in 0..count {
        let cost = |s: &Spot<K, T>| {
            let picked = s.victims_for(need)?;
            let stopped: u64 = picked.iter().map(|&i| s.victims[i].need.cpu).sum();
            Some((stopped, s.free.cpu, s.key, picked))
        };
        let open = spots.iter().enumerate().filter(|(_, s)| s.limit > 0);
        let ways = open.filter_map(|(i, s)| Some((cost(s)?, i)));
        let ((_, _, key, picked), i) = ways.min()?;
        spots[i].take(need, picked, &mut out.stops);
        out.keys.push(key);
    }
    Some(out)
}
