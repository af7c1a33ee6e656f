//! Request and answer bodies of the platform's HTTP API (JSON), shared by server and client.

use crate::standin::table::{Counts, Lease, Row};
use crate::standin::tasks::{ShardPoll, StartReq};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Rows by key.
pub type Rows = BTreeMap<String, Row>;

/// Leases by key.
pub type Leases = BTreeMap<String, Lease>;

/// `POST /table/get`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetReq {
    /// Keys to read.
    pub keys: Vec<String>,
}

/// `POST /table/scan` and `POST /table/leases`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanReq {
    /// Key prefix.
    pub prefix: String,
}

/// `POST /workers/start`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartBatch {
    /// Tasks to start.
    pub starts: Vec<StartReq>,
}

/// One attempt of a task, to be stopped.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StopReq {
    /// Task id.
    pub task: String,
    /// Attempt number of the task.
    pub attempt: u32,
    /// Worker name.
    pub worker: String,
}

/// `POST /workers/stop`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StopBatch {
    /// Attempts to stop.
    pub stops: Vec<StopReq>,
}

/// `POST /workers/poll`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PollBatch {
    /// Shards to poll.
    pub polls: Vec<ShardPoll>,
}

/// `POST /table/feed`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FeedReq {
    /// Key prefix.
    pub prefix: String,
    /// Revision of the last answer received; 0 requests all rows.
    pub since: u64,
}

/// The answer to `POST /objects/:name`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PutAnswer {
    /// New version of the object.
    pub version: u64,
}

/// The body of every error answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// `throttled`, `unavailable`, `answer_lost`, `not_found` or `bad_request`.
    pub error: String,
    /// Delay before a retry, ms; absent if a retry would not help.
    #[serde(default)]
    pub retry_ms: Option<u64>,
}

/// `GET /stats`: counters, among them those of broken invariants that the smoke report checks.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Table counters.
    pub table: Counts,
    /// Write transactions per second since start.
    pub writes_per_s: f64,
    /// Reads per second since start.
    pub reads_per_s: f64,
    /// Tasks started.
    pub started: u64,
    /// Tasks killed because their task lease expired.
    #[serde(default)]
    pub lapsed: u64,
    /// Tasks running now.
    pub running: u64,
    /// Starts refused, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Workers that ran beyond their capacity at any time (must be empty).
    pub overcommitted: BTreeSet<String>,
    /// Number of workers in `overcommitted`.
    pub overcommitted_workers: u64,
    /// Starts of a task that was already running on some worker (must be 0).
    pub double_runs: u64,
    /// Time since the platform started, ms.
    pub uptime_ms: u64,
}
