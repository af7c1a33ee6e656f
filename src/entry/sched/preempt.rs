//! Preemption of batch tasks by urgent work. Batch tasks are stopped after a checkpoint, on the
//! worker where the fewest processors must be freed. The capacity is used only after the
//! completions of the stopped tasks are reported, so no worker is overcommitted in the meantime.

use super::plan::Draft;
use super::Shard;
use crate::entry::rows;
use crate::kernel::arena::WorkerKey;
use crate::kernel::res::{Class, Resources};
use crate::standin::api::StopReq;
use std::collections::BTreeSet;

/// Victims on one worker: the stops to send, and the sum of the processors that they free.
struct Victims {
    cost: u64,
    stops: Vec<StopReq>,
}

impl Draft<'_> {
    /// Orders stops until `count` urgent tasks of `demand` each fit on a worker of `shard`, as far
    /// as possible.
    pub(super) fn preempt(
        &mut self,
        shard_name: &str,
        shard: &Shard,
        demand: &Resources,
        count: usize,
    ) {
        let mut chosen: BTreeSet<WorkerKey> = BTreeSet::new();
        for _ in 0..count {
            let best = shard
                .workers
                .iter()
                .filter(|k| !chosen.contains(k))
                .filter_map(|&k| Some((k, self.victims(shard_name, shard, demand, k)?)))
                .min_by_key(|(k, v)| (v.cost, *k));
            let Some((k, v)) = best else { return };
            chosen.insert(k);
            self.plan.counts.preempted += v.stops.len() as u64;
            self.plan.stops.extend(v.stops.into_iter().map(|s| (shard_name.to_string(), s)));
        }
    }

    /// Returns the batch tasks to stop on worker `k` so that `demand` fits; none if it would not
    /// fit once all of them have ended.
    fn victims(
        &self,
        shard_name: &str,
        shard: &Shard,
        demand: &Resources,
        k: WorkerKey,
    ) -> Option<Victims> {
        let w = self.s.workers.get(k);
        if w.unreachable || w.avoid_until > self.plan.now {
            return None;
        }
        let commitments = self.commitments(k);
        let mut free = w.info.cap.sub(&commitments.used);
        let stops_already = |task: &str| {
            shard.stopping.contains_key(task)
                || self.plan.stops.iter().any(|(s, r)| s == shard_name && r.task == *task)
        };
        let stopping_tasks = commitments.tasks.iter().filter(|(t, _)| stops_already(t));
        free = stopping_tasks.fold(free, |sum, (_, r)| sum.add(r));
        let mut batch: Vec<(&String, &Resources, StopReq)> = commitments
            .tasks
            .iter()
            .filter(|(t, _)| !stops_already(t))
            .filter_map(|(t, r)| Some((t, r, self.batch_stop(t, &w.info.name)?)))
            .collect();
        // Largest first, so that fewer tasks are preempted.
        batch.sort_by_key(|(t, r, _)| (std::cmp::Reverse(r.cpu), *t));
        let mut victims_found = Victims { cost: 0, stops: Vec::new() };
        for (_, r, stop) in batch {
            if demand.fits(&free) {
                break;
            }
            free = free.add(r);
            victims_found.cost += r.cpu;
            victims_found.stops.push(stop);
        }
        demand.fits(&free).then_some(victims_found)
    }

    /// Returns the order that stops `task` if it is a batch task.
    fn batch_stop(&self, task: &str, worker: &str) -> Option<StopReq> {
        let (id, n) = rows::task_parts(task)?;
        let row = self.job(id).filter(|j| j.class == Class::Batch)?;
        let attempt = row.tasks.get(n)?.attempt;
        Some(StopReq { task: task.to_string(), attempt, worker: worker.to_string() })
    }
}
