//! Admission by backlog: how long a new job of a queue would wait, and whether a job is rejected
//! because it could not earn anything any more. No I/O.
//!
//! Needed when more is submitted for some seconds than can be served. Every accepted job has to run
//! at some time, so that jobs accepted in vain take capacity from later ones and processor time from
//! the leader. A rejected job could have been served if the prediction was too long, while an
//! admitted one only adds to the backlog if it was too short: where an input is uncertain, the
//! prediction is the shorter one.

use super::run_times::Fit;
use crate::control::model::{JobId, JobSpec, Queue};
use crate::kernel::res::Resources;
use std::collections::BTreeMap;
use xxhash_rust::xxh3;

/// Multiple of the objective after which a job earns nothing.
const NO_VALUE_FACTOR: u64 = 3;

/// Part of the limit below which a limited queue is limited no more, as a divisor.
const RELEASE_DIVISOR: u64 = 2;

/// Shortest and longest `Retry-After` of a rejected job, s. Callers have few tries, and the
/// prediction says little about a later time.
const RETRY_AFTER_S: (u64, u64) = (1, 5);

/// Number of consecutive values of `Retry-After` over which callers are spread, s: within the range
/// of [`RETRY_AFTER_S`] for every prediction.
const RETRY_SPREAD_S: u64 = 3;

/// Most capacities that describe the runners of a service. There are a few kinds of runners.
const MAX_CAPACITIES: usize = 8;

/// Relative change of the wait of a limited queue that is reported, per cent.
const NOTICEABLE_PERCENT: u64 = 20;

/// Absolute change of the wait of a limited queue that is reported, ms.
const NOTICEABLE_MS: u64 = 100;

/// Part of the time that a job may wait, as a divisor, after which those that were submitted before
/// it are assumed to be served or late. A job passes late ones, so that a burst which has ended does
/// not make it wait; where more goes on being submitted than can be served, later jobs are ahead of
/// it as well.
const RECENT_DIVISOR: u64 = 2;

/// Demand ahead of a new job, and the rate at which demand is served. Both count in the same unit:
/// the processor capacity of the tasks, or that times their run time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    /// Demand of jobs that can meet their objective and are served before this one.
    pub ahead: f64,
    /// Part of [`Self::ahead`] that can wait for [`Self::recent_ms`].
    pub recent: f64,
    /// Demand that is served before the job once it is late.
    pub ahead_late: f64,
    /// Demand served per ms; 0 if it is not known.
    pub rate: f64,
    /// Time that the job may wait and still meet its objective, ms.
    pub in_time_ms: u64,
}

impl Line {
    /// Time after which only the jobs in [`Self::recent`] are ahead, ms.
    pub fn recent_ms(&self) -> u64 {
        self.in_time_ms / RECENT_DIVISOR
    }

    /// Predicted wait of the job, ms; 0 if the rate is not known.
    pub fn wait_ms(&self) -> u64 {
        if self.rate <= 0.0 {
            return 0;
        }
        let served_ms = |demand: f64| (demand / self.rate) as u64;
        let wait_ms = served_ms(self.ahead).min(self.recent_ms() + served_ms(self.recent));
        match wait_ms <= self.in_time_ms {
            true => wait_ms,
            false => served_ms(self.ahead_late).max(wait_ms),
        }
    }
}

/// Predicted wait of a typical new job, and whether it is too long.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wait {
    /// The prediction, ms.
    pub ms: u64,
    /// Longest time that the typical job may wait and still earn something, ms.
    pub limit_ms: u64,
    /// Whether jobs may be rejected for it.
    pub limited: bool,
}

impl Wait {
    /// The wait of a queue for which the last one was limited or not (`was`). A queue becomes limited
    /// when the wait exceeds `limit_ms`, and is so until the wait is below half of it.
    pub fn next(was: bool, ms: u64, limit_ms: u64) -> Self {
        let limited = match was {
            true => ms >= limit_ms / RELEASE_DIVISOR && ms > 0,
            false => ms > limit_ms,
        };
        Self { ms, limit_ms, limited }
    }

    fn worse(self, other: Self) -> Self {
        match (other.limited, other.ms) > (self.limited, self.ms) {
            true => other,
            false => self,
        }
    }

    fn differs(&self, last: &Self) -> bool {
        let change = self.ms.abs_diff(last.ms);
        let noticeable = change > NOTICEABLE_MS && change * 100 > last.ms * NOTICEABLE_PERCENT;
        self.limited != last.limited || (self.limited && noticeable)
    }
}

/// Longest time that a job may wait and still earn something, ms.
pub fn limit_ms(objective_ms: u64, chain_ms: u64) -> u64 {
    (NO_VALUE_FACTOR * objective_ms).saturating_sub(chain_ms)
}

/// What instances know of a queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueState {
    /// Wait of jobs of teams within their share.
    pub wait: Wait,
    /// Wait of jobs of teams beyond their share.
    pub excess: Wait,
    /// Run times of its steps by their estimates.
    pub fit: Fit,
    /// Time that an advice request adds to each step, ms.
    pub advice_ms: u64,
    /// Capacities of the runners of its service, without those that are no larger than another;
    /// empty if they are not known.
    pub largest: Vec<Resources>,
}

/// What instances know of a team that is beyond its share or at its cap.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamState {
    /// Whether it submits beyond its share.
    pub excess: bool,
    /// Waits for its cap, by queue.
    pub cap: BTreeMap<String, Wait>,
}

/// What an instance needs to decide on submissions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// Queues by name.
    pub queues: BTreeMap<String, QueueState>,
    /// Teams by name; one that is not listed is within its share and its cap.
    pub teams: BTreeMap<String, TeamState>,
}

/// What becomes of a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is accepted.
    Admit,
    /// It would earn nothing.
    Reject {
        /// Its predicted wait, ms.
        wait_ms: u64,
        /// Longest wait with which it is accepted, ms.
        limit_ms: u64,
        /// Its chain of work, ms.
        chain_ms: u64,
        /// Its objective, ms.
        objective_ms: u64,
    },
    /// No runner could hold a task of the step with this index.
    TooLarge(usize),
}

impl State {
    /// Wait of a new job of a queue and a team.
    fn wait(&self, queue: &str, team: Option<&str>) -> Wait {
        let Some(q) = self.queues.get(queue) else { return Wait::default() };
        let Some(t) = team.and_then(|t| self.teams.get(t)) else { return q.wait };
        let wait = if t.excess { q.wait.worse(q.excess) } else { q.wait };
        t.cap.get(queue).map_or(wait, |cap| wait.worse(*cap))
    }

    /// Decides on a job that is submitted at `now`, Unix ms. Jobs with an occurrence in the future,
    /// and those that run until they are cancelled, are never rejected by backlog: the wait says
    /// nothing about them.
    pub fn decide(&self, queue: &Queue, team: Option<&str>, job: &JobSpec, now: u64) -> Decision {
        let Some(q) = self.queues.get(&queue.name) else { return Decision::Admit };
        if job.due(job.occurrences() - 1).is_some_and(|due| due > now) {
            return Decision::Admit;
        }
        if let Some(step) = step_too_large(job, &q.largest) {
            return Decision::TooLarge(step);
        }
        let wait = self.wait(&queue.name, team);
        if !wait.limited || job.lasts() {
            return Decision::Admit;
        }
        let times: Vec<u64> =
            job.steps.iter().map(|s| q.fit.predict(s.estimate) + q.advice_ms).collect();
        let chain_ms = job.critical_paths(&times).into_iter().max().unwrap_or(0);
        let objective_ms = (chain_ms as f64 * queue.slack) as u64 + queue.latency_ms;
        // A job with less time than the typical one has less ahead of it, as the order is by time left.
        let limit_ms = limit_ms(objective_ms, chain_ms).max(wait.limit_ms);
        match wait.ms > limit_ms {
            true => Decision::Reject { wait_ms: wait.ms, limit_ms, chain_ms, objective_ms },
            false => Decision::Admit,
        }
    }

    /// Whether this state has changed so much since `last` that instances need it now.
    pub fn differs(&self, last: &Self) -> bool {
        let same_queues = self.queues.keys().eq(last.queues.keys());
        let queue_differs = |(a, b): (&QueueState, &QueueState)| {
            a.wait.differs(&b.wait) || a.excess.differs(&b.excess) || a.largest != b.largest
        };
        let flags = |t: &TeamState| {
            let limited = t.cap.iter().filter(|(_, w)| w.limited).map(|(q, _)| q.clone());
            (t.excess, limited.collect::<Vec<String>>())
        };
        let teams = |s: &Self| -> Vec<_> {
            s.teams.iter().map(|(name, t)| (name.clone(), flags(t))).collect()
        };
        !same_queues
            || self.queues.values().zip(last.queues.values()).any(queue_differs)
            || teams(self) != teams(last)
    }

    /// Names of the queues for which jobs of teams within their share may be rejected.
    pub fn limited(&self) -> impl Iterator<Item = &str> {
        self.queues.iter().filter(|(_, q)| q.wait.limited).map(|(name, _)| name.as_str())
    }
}

/// Index of the first step of which no runner of these capacities could hold a task.
fn step_too_large(job: &JobSpec, largest: &[Resources]) -> Option<usize> {
    if largest.is_empty() {
        return None;
    }
    let held = |need: &Resources| largest.iter().any(|capacity| need.fits(capacity));
    job.steps.iter().position(|step| !held(&step.demand()))
}

/// The given capacities without those that are no larger than another. Of many different ones only
/// the maximum of each resource is returned, which is at least as large.
pub fn largest(capacities: impl IntoIterator<Item = Resources>) -> Vec<Resources> {
    let mut out: Vec<Resources> = Vec::new();
    for capacity in capacities {
        if !out.iter().any(|c| capacity.fits(c)) {
            out.retain(|c| !c.fits(&capacity));
            out.push(capacity);
        }
    }
    out.sort_unstable();
    if out.len() > MAX_CAPACITIES {
        let max = |a: Resources, b: &Resources| Resources {
            cpu: a.cpu.max(b.cpu),
            mem: a.mem.max(b.mem),
            acc: a.acc.max(b.acc),
        };
        return vec![out.iter().fold(Resources::ZERO, max)];
    }
    out
}

/// `Retry-After` of a rejected job, s: the time until its wait would be short enough, if that falls
/// by a second each second. Callers that were rejected together return at different times, since the
/// id of a job shifts its value.
pub fn retry_after_s(excess_ms: u64, id: JobId) -> u64 {
    let (min, max) = RETRY_AFTER_S;
    let first = excess_ms.div_ceil(1_000).clamp(min, max + 1 - RETRY_SPREAD_S);
    first + xxh3::xxh3_64(&id.0.to_le_bytes()) % RETRY_SPREAD_S
}
