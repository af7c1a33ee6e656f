//! Placement policies, one per class of work, registered with the kernel's policy registry.

use crate::kernel::arena::WorkerKey;
use crate::kernel::registry::{Candidate, Policy};
use crate::kernel::res::{Class, Resources};

/// Chooses a worker for each of up to `count` tasks: the one with the lowest `rank` on which
/// `demand` fits. The capacity of each choice is subtracted before the next one, so that the
/// choices together never overcommit a worker.
fn greedy(
    demand: &Resources,
    count: usize,
    pool: &[Candidate],
    rank: impl Fn(&Candidate) -> (u64, u64),
) -> Vec<WorkerKey> {
    let mut pool = pool.to_vec();
    let mut out = Vec::with_capacity(count);
    for _ in 0..count {
        let best =
            pool.iter_mut().filter(|c| demand.fits(&c.free)).min_by_key(|c| (rank(c), c.key));
        let Some(c) = best else { break };
        c.free = c.free.sub(demand);
        c.same_job += 1;
        out.push(c.key);
    }
    out
}

/// Best fit, for batch work: the worker that is left with the least free capacity, so that tasks
/// are packed tightly.
fn best_fit(demand: &Resources, count: usize, pool: &[Candidate]) -> Option<Vec<WorkerKey>> {
    Some(greedy(demand, count, pool, |c| (c.free.sub(demand).slack(&c.cap), 0)))
}

/// Worst fit, for urgent work: the worker with the most free capacity, so that the work starts
/// without waiting.
fn worst_fit(demand: &Resources, count: usize, pool: &[Candidate]) -> Option<Vec<WorkerKey>> {
    Some(greedy(demand, count, pool, |c| (1000 - c.free.slack(&c.cap).min(1000), 0)))
}

/// Spread, for services: fewest tasks of the same job first, then the most free capacity.
fn spread(demand: &Resources, count: usize, pool: &[Candidate]) -> Option<Vec<WorkerKey>> {
    Some(greedy(demand, count, pool, |c| {
        (c.same_job.into(), 1000 - c.free.slack(&c.cap).min(1000))
    }))
}

/// All or nothing, for gangs: best fit for all tasks, or no placement at all.
fn all_or_nothing(demand: &Resources, count: usize, pool: &[Candidate]) -> Option<Vec<WorkerKey>> {
    let chosen = best_fit(demand, count, pool)?;
    (chosen.len() == count).then_some(chosen)
}

inventory::submit! { Policy { class: Class::Batch, name: "best-fit", choose: best_fit } }
inventory::submit! { Policy { class: Class::Urgent, name: "worst-fit", choose: worst_fit } }
inventory::submit! { Policy { class: Class::Service, name: "spread", choose: spread } }
inventory::submit! { Policy { class: Class::Gang, name: "all-or-nothing", choose: all_or_nothing } }
