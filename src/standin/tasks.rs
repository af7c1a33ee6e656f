//! Messages between the holder of a shard and its workers: start orders, polls and reports of
//! completions.

use crate::kernel::clock::Millis;
use crate::kernel::res::Resources;
use serde::{Deserialize, Serialize};

/// Maximum number of completions in one poll answer of a shard.
pub const COMPLETIONS_PAGE: usize = 500;

/// The platform's description of one worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Worker name, `<domain>-r<rack>-w<n>`.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Rack number within the domain.
    pub rack: u32,
    /// Capacity.
    pub cap: Resources,
}

/// A request to start one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartReq {
    /// Task id, `<job>.<n>`.
    pub task: String,
    /// Number of this start of the task, from 1; a worker starts each at most once.
    pub attempt: u32,
    /// Worker name.
    pub worker: String,
    /// Lease key of the shard whose holder placed the task.
    pub lease: String,
    /// Fencing epoch of that lease.
    pub epoch: u64,
    /// Declared resources.
    pub demand: Resources,
    /// Declared run time, ms; 0 for a task that runs until it is stopped (services).
    pub run_ms: u64,
    /// Share of the work already done and checkpointed, percent.
    #[serde(default)]
    pub saved: u8,
    /// Expiry of this order, platform ms; 0 for none. Without it, an order delayed in the network
    /// could start a task on a worker that has been considered lost in the meantime.
    #[serde(rename = "by", default)]
    pub valid_until: Millis,
    /// Duration of the task lease, ms; 0 for none. The worker kills the task if the shard's holder
    /// does not extend the lease in time.
    #[serde(default)]
    pub hold_ms: u64,
}

/// Why a start order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartRefusal {
    /// The lease epoch is no longer current: the sender has lost its shard.
    StaleEpoch,
    /// The table has no placement of this task on this worker under this epoch and attempt: the
    /// task was refused, cancelled or placed on another worker.
    NotPlaced,
    /// The platform has no worker of this name.
    UnknownWorker,
    /// This attempt, or a later one, is already running on the worker.
    AlreadyRunning,
    /// This attempt, or a later one, has already ended on the worker; its completion is reported.
    AlreadyEnded,
    /// The worker cannot be reached; the task was not started.
    Unreachable,
    /// The order had expired; the task was not started.
    Late,
}

/// The answer for one start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartResult {
    /// Task id.
    pub task: String,
    /// Why the task was not started; `None` if it was.
    pub refused: Option<StartRefusal>,
}

/// How a task ended on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndKind {
    /// It completed its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped by an order, after a checkpoint.
    Stopped,
    /// Its task lease expired.
    Lapsed,
}

/// The completion of an attempt of a task on a worker, successful or not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Sequence number within the shard.
    pub seq: u64,
    /// End of the task, platform ms; the report is sent after the usage lag.
    pub at: Millis,
    /// Task id.
    pub task: String,
    /// Attempt number of the task.
    pub attempt: u32,
    /// Worker name.
    pub worker: String,
    /// How the attempt ended.
    pub how: EndKind,
    /// Share of the work done and checkpointed, percent.
    pub saved: u8,
}

/// The request that the holder of a shard sends to its workers in each round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardPoll {
    /// Shard name, `<domain>-r<rack>`.
    pub shard: String,
    /// Fencing epoch held.
    pub epoch: u64,
    /// Completions up to this sequence number are committed; the workers drop them.
    pub acked: u64,
    /// Every task lease of the shard is extended to this time from now, ms.
    pub hold_ms: u64,
    /// Whether to list the running tasks; set after a takeover.
    pub inventory: bool,
}

/// The workers' answer for one shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardReport {
    /// The epoch was superseded; no lease was extended and no completion acknowledged.
    pub stale: bool,
    /// Platform time of the answer, ms.
    pub now: Millis,
    /// Completions not yet acknowledged, oldest first, at most [`COMPLETIONS_PAGE`].
    pub ended: Vec<Completion>,
    /// Workers that could not be reached, whose task leases were not extended.
    #[serde(rename = "cut")]
    pub unreachable: Vec<String>,
    /// Running tasks as (task, attempt, worker), if the poll requested an inventory.
    pub running: Vec<(String, u32, String)>,
}

/// Free capacity of one rack.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RackCapacity {
    /// Shard name.
    pub shard: String,
    /// Sum over the rack's workers.
    pub free: Resources,
    /// Largest free capacity of one worker, per resource.
    pub largest: Resources,
}

/// Name of a worker's shard; a shard is one rack of one failure domain.
pub fn shard_of(info: &WorkerInfo) -> String {
    format!("{}-r{}", info.domain, info.rack)
}
