//! Preemption: chooses the tasks to stop to free capacity for a gang. No I/O.
//!
//! Needed for wide gangs that few runners may run, on a cell whose capacity is taken by narrow
//! tasks that write checkpoints and have time to spare. A gang needs capacity on several of its
//! runners at once. Waiting until the tasks there complete takes as long as the longest of them,
//! while a preempted task saves its work and continues on another runner after a fraction of a
//! second.

use crate::kernel::res::Resources;

/// A task that may be preempted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Victim<T> {
    /// The task.
    pub id: T,
    /// Resources that it uses.
    pub need: Resources,
}

/// A runner that may take members of the gang.
#[derive(Clone, Debug)]
pub struct RunnerCapacity<K, T> {
    /// Its key.
    pub key: K,
    /// Free capacity.
    pub free: Resources,
    /// Maximum number of members that it may take.
    pub limit: u32,
    /// Tasks that may be preempted there.
    pub victims: Vec<Victim<T>>,
}

/// Placement of the members, and the tasks to preempt for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan<K, T> {
    /// A runner for each member.
    pub keys: Vec<K>,
    /// Tasks to preempt, each with its runner.
    pub stops: Vec<(K, T)>,
}

impl<K: Copy + Ord, T: Copy + Ord> RunnerCapacity<K, T> {
    /// Indices of the victims to stop to fit one more member; none if stopping all of them is not
    /// enough. Picks the smallest victim that is enough, or else the largest, so that few are
    /// stopped.
    fn victims_for(&self, need: &Resources) -> Option<Vec<usize>> {
        let mut picked: Vec<usize> = Vec::new();
        let mut free = self.free;
        while !need.fits(&free) {
            let missing = need.sub(&free);
            let remaining = || {
                let all = self.victims.iter().enumerate();
                all.filter(|(i, _)| !picked.contains(i)).map(|(i, v)| (v.need.cpu, v.need.mem, i))
            };
            let sufficient = |(_, _, i): &(u64, u64, usize)| missing.fits(&self.victims[*i].need);
            let (_, _, i) = remaining().filter(sufficient).min().or_else(|| remaining().max())?;
            free = free.add(&self.victims[i].need);
            picked.push(i);
        }
        Some(picked)
    }

    /// Places a member, for which the victims at the indices `picked` are stopped.
    fn place_member(&mut self, need: &Resources, mut picked: Vec<usize>, stops: &mut Vec<(K, T)>) {
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

/// Places all `count` members one by one, each on the runner where its victims use the least
/// processor capacity; none if not all of them fit.
pub fn plan<K: Copy + Ord, T: Copy + Ord>(
    mut runners: Vec<RunnerCapacity<K, T>>,
    need: &Resources,
    count: usize,
) -> Option<Plan<K, T>> {
    let mut out = Plan { keys: Vec::with_capacity(count), stops: Vec::new() };
    for _ in 0..count {
        let cost = |r: &RunnerCapacity<K, T>| {
            let picked = r.victims_for(need)?;
            let stopped: u64 = picked.iter().map(|&i| r.victims[i].need.cpu).sum();
            Some((stopped, r.free.cpu, r.key, picked))
        };
        let available = runners.iter().enumerate().filter(|(_, r)| r.limit > 0);
        let candidates = available.filter_map(|(i, r)| Some((cost(r)?, i)));
        let ((_, _, key, picked), i) = candidates.min()?;
        runners[i].place_member(need, picked, &mut out.stops);
        out.keys.push(key);
    }
    Some(out)
}
