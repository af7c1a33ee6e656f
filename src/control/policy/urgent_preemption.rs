//! Preemption for urgent steps: which tasks may be stopped, and which of them first. No I/O.
//!
//! An urgent job earns several times as much for a core-second as other jobs, and waits only for
//! part of a second without missing its objective. A task that writes checkpoints loses little when
//! it is stopped, and a task of a job that earns nothing any more loses nothing that counts.

use super::place;
use crate::kernel::res::Resources;
use std::cmp::Reverse;

/// Maximum number of times that a task is stopped for other work.
pub const MAX_STOPS: u32 = 2;

/// A task that has done more than this percentage of its work is not stopped, since it ends soon.
const MAX_PROGRESS_PERCENT: f64 = 85.0;

/// A task without checkpoints is stopped only before it has done this percentage of its work.
const MAX_LOST_PERCENT: f64 = 20.0;

/// Slack that the job of a stopped task must have unless it is late, ms: twice the time for the
/// stop, an advice request for new tickets, the restore and the writes of its rows. A job that
/// misses its objective because of the stop would lose more than the urgent one gains.
const MIN_SLACK_MS: u64 = 4_000;

/// Slacks that differ by less than this are equal in the order of victims, ms, so that among them
/// the task that loses least is stopped.
const SLACK_STEP_MS: u64 = 4_000;

/// Maximum share of a service's processors that are being stopped at a time, in thousandths.
const MAX_STOPPING_PERMILLE: u64 = 50;

/// Processor capacity of a service of `total` that may be stopped now, while tasks that use
/// `stopping` are being stopped, in thousandths of a core.
pub fn budget(total: u64, stopping: u64) -> u64 {
    (total * MAX_STOPPING_PERMILLE / 1_000).saturating_sub(stopping)
}

/// What a job can still earn; the first is stopped first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It earns nothing any more.
    Expired,
    /// It misses its objective and can still earn something.
    Late,
    /// It can meet its objective.
    InTime {
        /// Time by which it can be delayed, ms.
        slack_ms: Reverse<u64>,
    },
}

/// A running task of a non-urgent queue.
#[derive(Clone, Copy, Debug)]
pub struct RunState {
    /// What its job can still earn.
    pub standing: Standing,
    /// Whether it writes checkpoints.
    pub saves: bool,
    /// Whether it must not be stopped alone, or not at all: a gang member, a task that lasts, or
    /// one that uses leftover capacity.
    pub bound: bool,
    /// Number of times that it was stopped for other work.
    pub stops: u32,
    /// Share of its work that is done, per cent.
    pub percent: f64,
    /// Time since its last checkpoint or start, ms.
    pub unsaved_ms: u64,
    /// Its resources.
    pub need: Resources,
}

/// Position in the order of victims; the lowest is stopped first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    standing: Standing,
    /// Work that is lost, core-microseconds.
    loss: u64,
}

impl RunState {
    /// Its position in the order of victims; `None` if it must not be stopped.
    pub fn order(&self) -> Option<Order> {
        let expired = self.standing == Standing::Expired;
        let resumes = self.saves || expired && self.percent < MAX_LOST_PERCENT;
        let (enough_slack, standing) = match self.standing {
            Standing::InTime { slack_ms: Reverse(ms) } => {
                let slack_ms = Reverse(ms / SLACK_STEP_MS);
                (ms >= MIN_SLACK_MS, Standing::InTime { slack_ms })
            }
            Standing::Expired | Standing::Late => (true, self.standing),
        };
        let allowed = !self.bound
            && resumes
            && enough_slack
            && self.stops < MAX_STOPS
            && self.percent <= MAX_PROGRESS_PERCENT;
        allowed.then(|| Order { standing, loss: self.unsaved_ms * self.need.cpu })
    }
}

/// A task that may be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Victim<T> {
    /// The task.
    pub id: T,
    /// Resources that it uses.
    pub need: Resources,
    /// Its position in the order of victims.
    pub order: Order,
}

/// A runner that may take tasks of the urgent step.
#[derive(Clone, Debug)]
pub struct RunnerCapacity<K, T> {
    /// Its key, free capacity and limit.
    pub runner: place::Candidate<K>,
    /// Tasks that may be stopped there.
    pub victims: Vec<Victim<T>>,
}

/// Runners for tasks of an urgent step, and the tasks to stop there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan<K, T> {
    /// A runner for each task that gets capacity.
    pub keys: Vec<K>,
    /// Tasks to stop, each with its runner.
    pub stops: Vec<(K, Victim<T>)>,
}

/// What stopping some victims costs; compared field by field. Empty if nothing is stopped.
type Cost = (Option<Order>, u64, u64);

impl<K: Copy + Ord, T: Copy + Ord> RunnerCapacity<K, T> {
    /// Indices of the victims to stop to fit one more task, and what that costs; `None` if stopping
    /// all of them is not enough or exceeds the budget. The victims are in order.
    fn victims_for(&self, need: &Resources, budget: u64) -> Option<(Cost, Vec<usize>)> {
        let mut picked: Vec<usize> = Vec::new();
        let mut free = self.runner.free;
        for (i, v) in self.victims.iter().enumerate() {
            if need.fits(&free) {
                break;
            }
            free = free.add(&v.need);
            picked.push(i);
        }
        if !need.fits(&free) {
            return None;
        }
        // A victim that comes later may have made an earlier one needless.
        for n in (0..picked.len()).rev() {
            let without = free.sub(&self.victims[picked[n]].need);
            if need.fits(&without) {
                free = without;
                picked.remove(n);
            }
        }
        let stopped = || picked.iter().map(|&i| &self.victims[i]);
        let cpu: u64 = stopped().map(|v| v.need.cpu).sum();
        let loss: u64 = stopped().map(|v| v.order.loss).sum();
        let last = stopped().map(|v| v.order).max();
        (cpu <= budget).then_some(((last, loss, cpu), picked))
    }

    fn place_task(
        &mut self,
        need: &Resources,
        mut picked: Vec<usize>,
        stops: &mut Vec<(K, Victim<T>)>,
    ) {
        picked.sort_unstable();
        for i in picked.into_iter().rev() {
            let v = self.victims.remove(i);
            self.runner.free = self.runner.free.add(&v.need);
            stops.push((self.runner.key, v));
        }
        self.runner.free = self.runner.free.sub(need);
        self.runner.limit -= 1;
    }
}

/// Places up to `count` tasks one by one, each on the runner where the stops cost least, while the
/// stopped tasks use at most `budget` thousandths of a core.
pub fn plan<K: Copy + Ord, T: Copy + Ord>(
    mut runners: Vec<RunnerCapacity<K, T>>,
    need: &Resources,
    count: usize,
    mut budget: u64,
) -> Plan<K, T> {
    runners.iter_mut().for_each(|r| r.victims.sort_unstable_by_key(|v| (v.order, v.id)));
    let mut out = Plan { keys: Vec::with_capacity(count), stops: Vec::new() };
    for _ in 0..count {
        let available = runners.iter().enumerate().filter(|(_, r)| r.runner.limit > 0);
        let options = available.filter_map(|(i, r)| {
            let (cost, picked) = r.victims_for(need, budget)?;
            Some((cost, r.runner.key, i, picked))
        });
        let Some(((_, _, cpu), key, i, picked)) = options.min() else { break };
        budget -= cpu;
        runners[i].place_task(need, picked, &mut out.stops);
        out.keys.push(key);
    }
    out
}
