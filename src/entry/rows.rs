//! Rows that entry instances keep in the platform's table, with their keys.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `member/<domain>/<entry>` | lease (membership heartbeat) | each entry, every heartbeat |
//! | `shard/<shard>` | lease with fencing epoch | the shard's holder |
//! | `catver` | [`CatVersion`] | catalogue edits |
//! | `cat/<name>` | catalogue entry | catalogue edits |
//! | `catlog/<version>` | the edit that made `version` | catalogue edits |
//! | `job/<id>` | [`JobRow`] | submission, the shard holder, cancellation |
//! | `pend/<domain>/<shard>/<id>` | `{}`: the job wants the shard holder's attention (tasks waiting, or a cancellation to carry out) | submission, cancellation, the holder |
//! | `place/<shard>/<task>` | `PlaceRow`: what is committed on a worker, checked by it before a start | the holder, cancellation |
//! | `quota/<domain>/<team>` | [`QuotaRow`]: the team's quota granted to shards | shard holders |
//! | `done/<domain>/<shard>/<ms>/<id>` | `{}`: the job ended then; swept to a report later | the holder |
//! | `write/<id>` | [`WriteRow`]: which runner a write was sent to, and its outcome | entries |
//! | `wrote/<domain>/<ms>/<id>` | `{}`: when the write was claimed, for the sweep | entries |

use crate::kernel::clock::Millis;
use crate::kernel::res::{Class, Resources};
use crate::standin::client::{Client, PlatformError};
use crate::standin::table::Op;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The catalogue version row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatVersion {
    /// Version of the catalogue; grows by one per accepted edit.
    pub version: u64,
}

/// What a caller submits: tasks of one catalogue entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Catalogue entry the work belongs to (gives owner, team, class and limits).
    pub entry: String,
    /// Number of tasks, 1 to [`MAX_TASKS`].
    pub tasks: u32,
    /// Declared resources of each task.
    pub demand: Resources,
    /// Declared run time of each task in ms; 0 for services that run until stopped.
    #[serde(default, skip_serializing_if = "is_default")]
    pub run_ms: u64,
    /// Time allowed before the job must have started, ms after submission; none waits for
    /// good (batch may queue overnight).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Idempotency key: the same key submits the same job once.
    pub key: String,
}

/// Most tasks in one job.
pub const MAX_TASKS: u32 = 10_000;

/// A job's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum JobState {
    /// Some tasks wait for a place.
    Pending,
    /// Every task placed; some run.
    Running,
    /// Every task ended.
    Finished {
        /// Tasks that failed for good.
        failed: u32,
    },
    /// Not run: no task of it was ever started, and none will be.
    Refused {
        /// Why.
        reason: String,
    },
    /// Cancelled by a caller.
    Cancelled,
}

/// A task's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waiting for a place.
    #[default]
    Pending,
    /// Placed and started (or being started) on `worker`.
    Placed,
    /// Ended well.
    Finished,
    /// Failed on every try.
    Failed,
    /// Refused before it ever started.
    Refused,
    /// Cancelled.
    Cancelled,
}

impl TaskState {
    /// Whether nothing more happens to the task.
    pub fn ended(self) -> bool {
        !matches!(self, Self::Pending | Self::Placed)
    }
}

/// Leaves fields at their default out of rows: job rows are most of what instances write.
fn is_default<T: Default + PartialEq>(v: &T) -> bool {
    *v == T::default()
}

/// One task of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow {
    /// State.
    pub state: TaskState,
    /// Worker it is placed on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<String>,
    /// Fencing epoch of the placement.
    #[serde(default, skip_serializing_if = "is_default")]
    pub epoch: u64,
    /// Number of starts so far; names the current one.
    #[serde(default, skip_serializing_if = "is_default")]
    pub attempt: u32,
    /// Starts that ended as failed.
    #[serde(default, skip_serializing_if = "is_default")]
    pub fails: u32,
    /// Share of the work done and checkpointed, percent.
    #[serde(default, skip_serializing_if = "is_default")]
    pub saved: u8,
}

/// The job row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// Job id.
    pub id: String,
    /// What was submitted.
    pub spec: JobSpec,
    /// Class, from the catalogue entry.
    pub class: Class,
    /// Team, from the catalogue entry.
    pub team: String,
    /// Catalogue version under which it was accepted.
    #[serde(default)]
    pub catalogue: u64,
    /// Shard that places it.
    pub shard: String,
    /// State.
    #[serde(flatten)]
    pub state: JobState,
    /// Its tasks.
    pub tasks: Vec<TaskRow>,
    /// When it was submitted, Unix ms.
    pub submitted: Millis,
    /// When the first task was placed, Unix ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<Millis>,
    /// How often the job moved to another shard for want of room.
    #[serde(default, skip_serializing_if = "is_default")]
    pub moves: u32,
    /// Workers on which its tasks failed last: others are tried first.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub shun: BTreeSet<String>,
    /// No task is placed before this, Unix ms: the wait after a failure.
    #[serde(default, skip_serializing_if = "is_default")]
    pub retry: Millis,
}

impl JobRow {
    /// Task id of task `n`.
    pub fn task_id(&self, n: usize) -> String {
        format!("{}.{n}", self.id)
    }

    /// Whether some task was ever placed.
    pub fn ever_placed(&self) -> bool {
        self.tasks.iter().any(|t| t.attempt > 0)
    }

    /// Whether some task is placed now.
    pub fn placed(&self) -> bool {
        self.tasks.iter().any(|t| t.state == TaskState::Placed)
    }

    /// Whether nothing more happens to the job.
    pub fn ended(&self) -> bool {
        !matches!(self.state, JobState::Pending | JobState::Running)
    }

    /// Failure domain of the job's shard.
    pub fn domain(&self) -> &str {
        self.shard.split_once("-r").map_or(self.shard.as_str(), |(d, _)| d)
    }

    /// Whether the job has tasks waiting.
    pub fn waiting(&self) -> bool {
        self.tasks.iter().any(|t| t.state == TaskState::Pending)
    }
}

/// A team's quota in one failure domain, granted in parts to its shards so that each holder can
/// place against its own part without asking the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// Shard to the part granted to it. The sum never exceeds the quota in force when granted.
    pub granted: BTreeMap<String, Resources>,
}

impl QuotaRow {
    /// The sum granted to shards other than `shard`.
    pub fn others(&self, shard: &str) -> Resources {
        self.granted
            .iter()
            .filter(|(s, _)| *s != shard)
            .fold(Resources::ZERO, |sum, (_, r)| sum.add(r))
    }
}

/// The record of a write: made before it is sent, so that a repeated write is recognised.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteRow {
    /// Runner it was sent to; a repeat asks there and nowhere else.
    pub runner: String,
    /// Which life of the runner.
    pub incarnation: u64,
    /// Executions reported by the runner, once known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub runs: Option<u64>,
}

/// Writes a row that says all it has to by its key.
pub fn put_marker(key: String) -> Op {
    Op::Put { key, value: serde_json::json!({}) }
}

/// Splits a task id into its job id and task number.
pub fn task_parts(task: &str) -> Option<(&str, usize)> {
    let (job, n) = task.rsplit_once('.')?;
    Some((job, n.parse().ok()?))
}

/// Reads one row and decodes it, with its version; none if it is absent or not a `T`. One read
/// of the table's budget.
pub async fn read<T: serde::de::DeserializeOwned>(
    table: &Client,
    key: String,
) -> Result<Option<(T, u64)>, PlatformError> {
    let got = table.get(vec![key.clone()]).await?;
    Ok(got.get(&key).and_then(|r| Some((decode(&r.value)?, r.version))))
}

/// Prefix of job rows.
pub const JOB_PREFIX: &str = "job/";

/// Key of a job row.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Prefix of the marks of a failure domain.
pub fn pend_prefix(domain: &str) -> String {
    format!("pend/{domain}/")
}

/// Key of a pending marker.
pub fn pend_key(domain: &str, shard: &str, id: &str) -> String {
    format!("{}{shard}/{id}", pend_prefix(domain))
}

/// Prefix of the quota rows of a failure domain.
pub fn quota_prefix(domain: &str) -> String {
    format!("quota/{domain}/")
}

/// Key of a team's quota row in a failure domain.
pub fn quota_key(domain: &str, team: &str) -> String {
    format!("{}{team}", quota_prefix(domain))
}

/// Prefix of the ended-job markers of a shard.
pub fn done_prefix(domain: &str, shard: &str) -> String {
    format!("done/{domain}/{shard}/")
}

/// Key of an ended-job marker.
pub fn done_key(domain: &str, shard: &str, at: Millis, id: &str) -> String {
    format!("{}{at:015}/{id}", done_prefix(domain, shard))
}

/// Key of a write record.
pub fn write_key(id: &str) -> String {
    format!("write/{id}")
}

/// Prefix of the write-claim markers of a failure domain.
pub fn wrote_prefix(domain: &str) -> String {
    format!("wrote/{domain}/")
}

/// Key of a write-claim marker.
pub fn wrote_key(domain: &str, at: Millis, id: &str) -> String {
    format!("{}{at:015}/{id}", wrote_prefix(domain))
}

/// Key of a catalogue entry.
pub fn cat_key(name: &str) -> String {
    format!("cat/{name}")
}

/// Key of a catalogue log row.
pub fn catlog_key(version: u64) -> String {
    format!("catlog/{version:012}")
}

/// Prefix of the membership leases of a failure domain.
pub fn member_prefix(domain: &str) -> String {
    format!("member/{domain}/")
}

/// Key of a membership lease.
pub fn member_key(domain: &str, id: &str) -> String {
    format!("{}{id}", member_prefix(domain))
}

/// Key of the catalogue version row.
pub const CATVER: &str = "catver";

/// Decodes a row's JSON value.
pub fn decode<T: serde::de::DeserializeOwned>(v: &serde_json::Value) -> Option<T> {
    serde_json::from_value(v.clone()).ok()
}

/// Encodes a value for a row.
pub fn encode<T: Serialize>(v: &T) -> serde_json::Value {
    serde_json::to_value(v).expect("row types always serialise")
}
