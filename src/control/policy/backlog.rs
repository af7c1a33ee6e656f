//! The backlog of the queues, and how fast it is served: the inputs of [`super::admission`]. No I/O.
//!
//! Which of the waiting steps are served before a new job follows from the order of
//! [`super::queue`]; what serves them depends on the queue. Urgent jobs take what becomes free, the
//! others all capacity in use, jobs beyond their team's share what those within leave.

use super::admission::{self, Line, Wait};
use crate::control::model::Queue;
use crate::kernel::res::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// Nothing is limited while more than this share of a service's processor capacity is free,
/// thousandths.
const FREE_PERMILLE: u64 = 100;

/// Share of the capacity in use that jobs beyond their team's share are assumed to get at least, as a
/// divisor: what they were given in the last seconds varies by as much where tasks are long.
const EXCESS_DIVISOR: f64 = 4.0;

/// What changed on the runners of a service in some time. Work is processor capacity, thousandths of
/// a core, times the predicted run time, ms.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flow {
    /// Work that was placed for jobs within their team's share.
    pub placed: f64,
    /// Work that was placed for the others.
    pub placed_excess: f64,
    /// Processor capacity that became free.
    pub freed: f64,
}

impl Flow {
    /// Adds the changes of another time.
    pub fn add(&mut self, o: &Self) {
        self.placed += o.placed;
        self.placed_excess += o.placed_excess;
        self.freed += o.freed;
    }

    /// The changes per ms, of those in `ms`.
    pub fn per_ms(&self, ms: u64) -> Self {
        let ms = ms.max(1) as f64;
        Self {
            placed: self.placed / ms,
            placed_excess: self.placed_excess / ms,
            freed: self.freed / ms,
        }
    }
}

/// A waiting step that can still earn something.
pub struct Waiting<'a, T> {
    /// Its queue.
    pub queue: &'a str,
    /// Service of its queue.
    pub service: &'a str,
    /// Team of its job.
    pub team: Option<T>,
    /// Whether its queue is urgent.
    pub urgent: bool,
    /// Whether its job is beyond its team's share.
    pub excess: bool,
    /// Whether its tasks form a gang.
    pub gang: bool,
    /// Whether its job is late.
    pub late: bool,
    /// Its latest start by its rank, Unix ms.
    pub latest_start: u64,
    /// Processor capacity of its waiting tasks, thousandths of a core.
    pub cpu: f64,
    /// Run time of a task, ms.
    pub run_ms: f64,
}

/// Means over the waiting jobs of a queue, which stand for a new one.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalJob {
    /// Number of steps that the means are of.
    pub steps: u64,
    /// Number of gangs among them.
    pub gangs: u64,
    /// Objective, ms.
    pub objective_ms: u64,
    /// Chain of work, ms.
    pub chain_ms: u64,
}

impl TypicalJob {
    /// Whether most of them are gangs.
    pub fn is_gang(&self) -> bool {
        self.gangs * 2 > self.steps
    }

    /// Longest time that it may wait and still earn something, ms.
    pub fn limit_ms(&self) -> u64 {
        admission::limit_ms(self.objective_ms, self.chain_ms)
    }
}

/// Runners of a service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Processor capacity of those that take new tasks, thousandths of a core.
    pub total: u64,
    /// Part of [`Self::total`] that is free.
    pub free: u64,
    /// Changes per ms.
    pub flow: Flow,
    /// Longest typical run time of its queues' steps, ms.
    pub run_ms: u64,
    /// Capacity of each listed runner.
    pub capacities: Vec<Resources>,
}

impl Service {
    fn used(&self) -> f64 {
        self.total.saturating_sub(self.free) as f64
    }

    /// Whether jobs may be rejected: runners are known, and hardly any capacity is free besides what
    /// is kept from them, in thousandths.
    pub fn full(&self, kept_permille: u64) -> bool {
        self.total > 0 && self.free * 1_000 <= self.total * (FREE_PERMILLE + kept_permille)
    }

    /// Processor capacity that becomes free, thousandths of a core per ms.
    fn freed(&self) -> f64 {
        let typical = if self.run_ms > 0 { self.used() / self.run_ms as f64 } else { 0.0 };
        self.flow.freed.max(typical)
    }
}

/// What waits, by the time of one computation.
pub struct Backlog<'a, T> {
    /// Waiting steps.
    pub waiting: Vec<Waiting<'a, T>>,
    /// A typical job of each queue that has any waiting.
    pub typical: BTreeMap<&'a str, TypicalJob>,
    /// Services by name.
    pub services: BTreeMap<&'a str, Service>,
    /// Teams at their cap.
    pub capped: BTreeSet<T>,
    /// Time in which capacity for a gang is expected to become free, ms.
    pub gang_wait: u64,
    /// The time, Unix ms.
    pub now: u64,
}

impl<T: Copy + Ord> Backlog<'_, T> {
    /// The demand ahead of a new job of `queue` among the waiting steps that `counts` selects.
    fn line(&self, queue: &Queue, counts: impl Fn(&Waiting<'_, T>) -> bool, in_cpu: bool) -> Line {
        let Some(job) = self.typical.get(queue.name.as_str()) else { return Line::default() };
        let wait = if job.is_gang() { self.gang_wait } else { 0 };
        let latest = |limit: u64| self.now + limit.saturating_sub(wait);
        let in_time_ms = job.objective_ms.saturating_sub(job.chain_ms);
        let (in_time, late) = (latest(in_time_ms), latest(job.limit_ms()));
        let mut line = Line { in_time_ms, ..Line::default() };
        let recent = latest(line.recent_ms());
        // Urgent steps pass the others. Small tasks pass a gang that does not fit yet.
        let passes = |w: &&Waiting<'_, T>| {
            (queue.priority > 0 || w.urgent) && (job.is_gang() || !w.gang) && counts(w)
        };
        let service = |w: &&Waiting<'_, T>| w.service == queue.service;
        for w in self.waiting.iter().filter(service).filter(passes) {
            let demand = if in_cpu { w.cpu } else { w.cpu * w.run_ms };
            if !w.late && w.latest_start <= in_time {
                line.ahead += demand;
                line.recent += if w.latest_start >= recent { demand } else { 0.0 };
            }
            line.ahead_late += if w.latest_start <= late { demand } else { 0.0 };
        }
        line
    }

    /// Wait of a new job of a team within its share. Neither demand beyond a team's share nor that of
    /// a team at its cap is served before it.
    pub fn within(&self, queue: &Queue, service: &Service) -> Line {
        let counts = |w: &Waiting<'_, T>| {
            !w.excess && w.team.is_none_or(|team| !self.capped.contains(&team))
        };
        let urgent = queue.priority == 0;
        let line = self.line(queue, counts, urgent);
        match urgent {
            true => {
                let left = |demand: f64| (demand - service.free as f64).max(0.0);
                Line {
                    ahead: left(line.ahead),
                    recent: left(line.recent),
                    ahead_late: left(line.ahead_late),
                    rate: service.freed(),
                    ..line
                }
            }
            false => {
                let placed = service.flow.placed + service.flow.placed_excess;
                Line { rate: placed.max(service.used()), ..line }
            }
        }
    }

    /// Wait of a new job beyond its team's share: what is left over is served.
    pub fn beyond(&self, queue: &Queue, service: &Service) -> Line {
        let line = self.line(queue, |w| w.excess, false);
        let left = (service.used() - service.flow.placed).max(service.used() / EXCESS_DIVISOR);
        Line { rate: service.flow.placed_excess.max(left), ..line }
    }

    /// Wait of a new job of a team at its cap, of which `rate` runs at a time, thousandths of a core.
    pub fn capped(&self, queue: &Queue, team: T, rate: u64) -> Line {
        let line = self.line(queue, |w| w.team == Some(team), false);
        Line { rate: rate as f64, ..line }
    }

    /// Wait of a new job, of a queue whose last one was `was`.
    pub fn wait(&self, queue: &Queue, line: &Line, was: Wait) -> Wait {
        let limit_ms = self.typical.get(queue.name.as_str()).map_or(u64::MAX, |j| j.limit_ms());
        Wait::next(was.limited, line.wait_ms(), limit_ms)
    }
}
