//! Definition of a queue in the rows of its jobs: what the scheduler needs of a queue that the
//! catalogue no longer has.

use super::model::{Approval, Queue, MAX_MS, MAX_SLACK};
use super::rows::InvalidValue;
use serde::{Deserialize, Serialize};

/// What a catalogue says about a queue, except how callers reach it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(into = "WireQueue", try_from = "WireQueue")]
pub struct QueueRow {
    /// Version of the catalogue.
    pub version: u64,
    /// See [`Queue::service`].
    pub service: String,
    /// See [`Queue::priority`].
    pub priority: u32,
    /// See [`Queue::max_fails`].
    pub max_fails: u32,
    /// See [`Queue::slack`].
    pub slack: f64,
    /// See [`Queue::latency_ms`], ms.
    pub latency_ms: u64,
    /// See [`Queue::approval`].
    pub approval: Option<Approval>,
}

/// Version, service, priority, failures allowed, slack factor, latency, and the cost model of advice
/// requests. A sequence is shorter than a map, and every job's row holds one.
#[derive(Serialize, Deserialize)]
struct WireQueue(u64, String, u32, u32, f64, u64, Option<(f64, f64, u64)>);

impl QueueRow {
    /// The definition of `queue` in the catalogue with this version.
    pub fn new(queue: &Queue, version: u64) -> Self {
        Self {
            version,
            service: queue.service.clone(),
            priority: queue.priority,
            max_fails: queue.max_fails,
            slack: queue.slack,
            latency_ms: queue.latency_ms,
            approval: queue.approval,
        }
    }

    /// The queue, which no caller can reach.
    pub fn queue(&self, name: &str) -> Queue {
        Queue {
            name: name.to_string(),
            host: String::new(),
            prefix: String::new(),
            service: self.service.clone(),
            priority: self.priority,
            max_fails: self.max_fails,
            slack: self.slack,
            latency_ms: self.latency_ms,
            timeout_ms: 0,
            approval: self.approval,
            open: false,
        }
    }

    /// Whether both say the same, possibly in different versions.
    pub fn same_terms(&self, other: &Self) -> bool {
        *self == Self { version: self.version, ..other.clone() }
    }
}

impl From<QueueRow> for WireQueue {
    fn from(q: QueueRow) -> Self {
        let approval = q.approval.map(|a| (a.base_ms, a.each_ms, a.valid_ms));
        Self(q.version, q.service, q.priority, q.max_fails, q.slack, q.latency_ms, approval)
    }
}

impl TryFrom<WireQueue> for QueueRow {
    type Error = InvalidValue;

    fn try_from(wire: WireQueue) -> Result<Self, InvalidValue> {
        let WireQueue(version, service, priority, max_fails, slack, latency_ms, approval) = wire;
        let valid_ms = |ms: f64| (0.0..=MAX_MS as f64).contains(&ms);
        let valid_approval = approval.is_none_or(|(base_ms, each_ms, end_ms)| {
            valid_ms(base_ms) && valid_ms(each_ms) && end_ms <= MAX_MS
        });
        let valid = !service.is_empty()
            && max_fails > 0
            && (0.0..=MAX_SLACK).contains(&slack)
            && latency_ms <= MAX_MS
            && valid_approval;
        if !valid {
            return Err(InvalidValue::Queue);
        }
        let approval =
            approval.map(|(base_ms, each_ms, valid_ms)| Approval { base_ms, each_ms, valid_ms });
        Ok(Self { version, service, priority, max_fails, slack, latency_ms, approval })
    }
}
