//! The catalogue: queues of jobs, and the teams of callers.

use crate::control::teams::Teams;
use std::collections::BTreeMap;

/// Cost model of the advice requests that a queue's policy requires before a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Approval {
    /// Processing time of a request without runners, ms.
    pub base_ms: f64,
    /// Additional processing time for each runner named, ms.
    pub each_ms: f64,
    /// Validity of a ticket, ms.
    pub valid_ms: u64,
}

impl Approval {
    /// Processing time of a request that names `n` runners, ms.
    pub fn cost_ms(&self, n: usize) -> f64 {
        self.base_ms + self.each_ms * n as f64
    }
}

/// A queue of jobs: its address for callers, and the rules that its jobs run under.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Host name in requests.
    pub host: String,
    /// Path prefix in front of the job id.
    pub prefix: String,
    /// Service whose runners run its tasks.
    pub service: String,
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Number of failures of a task after which its job has failed.
    pub max_fails: u32,
    /// Objective of a job: this factor times its longest chain of work, plus [`Self::latency_ms`].
    pub slack: f64,
    /// Constant part of the objective, ms.
    pub latency_ms: u64,
    /// Maximum response time, ms.
    pub timeout_ms: u64,
    /// Cost of advice requests if the queue's policy must approve runners; none if it need not.
    pub approval: Option<Approval>,
    /// Whether calls need no key.
    pub open: bool,
}

impl Queue {
    /// Whether jobs have the same rank and the same runners in both queues.
    pub fn ranks_like(&self, other: &Self) -> bool {
        let order = |q: &Self| (q.priority, q.slack, q.latency_ms, q.approval);
        self.service == other.service && order(self) == order(other)
    }
}

/// The operator's configuration: all queues.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    /// Version; 0 before the first one is read.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<String, Queue>,
    /// Teams of callers.
    pub teams: Teams,
}

impl Catalogue {
    /// The queue for a host and path: of those whose prefix matches, the one with the longest.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or(host);
        let fits = |q: &&Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.prefix);
        self.queues.values().filter(fits).max_by_key(|q| q.prefix.len())
    }
}
