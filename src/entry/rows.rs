//! Rows that entry instances keep in the platform's table, with their keys.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `member/<domain>/<entry>` | membership lease | each entry instance, with every heartbeat |
//! | `shard/<shard>` | lease with fencing epoch | the shard's holder |
//! | `catver` | [`CatVersion`] | catalogue edits |
//! | `cat/<name>` | catalogue entry | catalogue edits |
//! | `catlog/<version>` | the edit that made `version` | catalogue edits |
//! | `job/<id>` | [`JobRow`] | submission, the shard's holder, cancellation |
//! | `pend/<domain>/<shard>/<id>` | `{}`: pending-job entry (tasks wait, or a cancellation is to be carried out) | submission, cancellation, the shard's holder |
//! | `place/<shard>/<task>` | `PlaceRow`: the resources of a task committed on a worker, which checks it before a start | the shard's holder, cancellation |
//! | `quota/<domain>/<team>` | [`QuotaRow`]: the portions of the team's quota granted to shards | the holders of the shards |
//! | `done/<domain>/<shard>/<ms>/<id>` | `{}`: the job ended at this time; removed later, after a report | submission, cancellation, the shard's holder |
//! | `write/<id>` | [`WriteRow`]: the runner to which a write was sent, and its outcome | entry instances |
//! | `wrote/<domain>/<ms>/<id>` | `{}`: time at which the write was recorded, for garbage collection | entry instances |

use crate::kernel::clock::Millis;
use crate::kernel::res::{Class, Resources};
use crate::standin::client::{Client, PlatformError};
use crate::standin::table::Op;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Row with the catalogue version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatVersion {
    /// Version of the catalogue; each accepted edit adds one.
    pub version: u64,
}

/// A job as submitted by a caller: tasks of one catalogue entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Name of the catalogue entry, which gives owner, team, class and limits.
    pub entry: String,
    /// Number of tasks, 1 to [`MAX_TASKS`].
    pub tasks: u32,
    /// Declared resources of each task.
    pub demand: Resources,
    /// Declared run time of each task, ms; 0 for services, which run until stopped.
    #[serde(default, skip_serializing_if = "is_default")]
    pub run_ms: u64,
    /// Time after the submission by which the job must have started, ms. Without it the job waits
    /// without limit; batch work may wait overnight.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Idempotency key, 1 to 128 bytes. Repeated submissions with the same key make one job.
    pub key: String,
}

/// Most tasks of one job.
pub const MAX_TASKS: u32 = 10_000;

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum JobState {
    /// Some tasks wait for placement.
    Pending,
    /// No task waits, and some are placed.
    Running,
    /// All tasks have ended.
    Finished {
        /// Number of tasks that failed permanently.
        failed: u32,
    },
    /// Not run: no task was ever placed, and none will be.
    Refused {
        /// Reason of the refusal, for the caller.
        reason: String,
    },
    /// Cancelled by a caller.
    Cancelled,
}

/// State of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waiting for placement.
    #[default]
    Pending,
    /// Placed on `worker`, where it runs or is being started.
    Placed,
    /// Finished successfully.
    Finished,
    /// Failed permanently.
    Failed,
    /// Refused before its first placement.
    Refused,
    /// Cancelled by a caller.
    Cancelled,
}

impl TaskState {
    /// Returns whether the state is final.
    pub fn ended(self) -> bool {
        !matches!(self, Self::Pending | Self::Placed)
    }
}

/// Used to leave out fields with their default value, because job rows are most of what instances
/// write.
fn is_default<T: Default + PartialEq>(v: &T) -> bool {
    *v == T::default()
}

/// One task of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow {
    /// State of the task.
    pub state: TaskState,
    /// Worker on which the task is placed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<String>,
    /// Fencing epoch under which the task was placed.
    #[serde(default, skip_serializing_if = "is_default")]
    pub epoch: u64,
    /// Number of placements so far, which identifies the current one.
    #[serde(default, skip_serializing_if = "is_default")]
    pub attempt: u32,
    /// Starts that ended as failed.
    #[serde(default, skip_serializing_if = "is_default")]
    pub fails: u32,
    /// Work done up to the last checkpoint, percent.
    #[serde(default, skip_serializing_if = "is_default")]
    pub saved: u8,
}

/// Row of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// Job id.
    pub id: String,
    /// The job as submitted.
    pub spec: JobSpec,
    /// Class of work, from the catalogue entry.
    pub class: Class,
    /// Team whose quota is used, from the catalogue entry.
    pub team: String,
    /// Catalogue version under which the job was accepted.
    #[serde(default)]
    pub catalogue: u64,
    /// Shard whose holder places the job.
    pub shard: String,
    /// State of the job.
    #[serde(flatten)]
    pub state: JobState,
    /// Tasks of the job, by number.
    pub tasks: Vec<TaskRow>,
    /// Time of the submission, Unix ms.
    pub submitted: Millis,
    /// Time of the first placement of a task, Unix ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<Millis>,
    /// Number of times that the job moved to another shard because it did not fit.
    #[serde(default, skip_serializing_if = "is_default")]
    pub moves: u32,
    /// Workers on which tasks of the job failed; other workers are preferred.
    #[serde(rename = "shun", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub failed_on: BTreeSet<String>,
    /// Earliest time of the next placement after a failure, Unix ms.
    #[serde(default, skip_serializing_if = "is_default")]
    pub retry: Millis,
}

impl JobRow {
    /// Returns the id of task `n`.
    pub fn task_id(&self, n: usize) -> String {
        format!("{}.{n}", self.id)
    }

    /// Returns whether any task was ever placed.
    pub fn ever_placed(&self) -> bool {
        self.tasks.iter().any(|t| t.attempt > 0)
    }

    /// Returns whether any task is placed now.
    pub fn placed(&self) -> bool {
        self.tasks.iter().any(|t| t.state == TaskState::Placed)
    }

    /// Returns whether the state of the job is final.
    pub fn ended(&self) -> bool {
        !matches!(self.state, JobState::Pending | JobState::Running)
    }

    /// Returns the failure domain of the job's shard, whose name is `<domain>-r<rack>`.
    pub fn domain(&self) -> &str {
        self.shard.split_once("-r").map_or(self.shard.as_str(), |(d, _)| d)
    }

    /// Returns whether any task waits for placement.
    pub fn waiting(&self) -> bool {
        self.tasks.iter().any(|t| t.state == TaskState::Pending)
    }
}

/// Quota of a team in one failure domain, granted in portions to its shards, so that each holder
/// can place tasks within its own grant without contact to the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// Grants by shard. Their sum never exceeds the quota in force at the time of a grant.
    pub granted: BTreeMap<String, Resources>,
}

impl QuotaRow {
    /// Returns the sum of the grants to shards other than `shard`.
    pub fn others(&self, shard: &str) -> Resources {
        self.granted
            .iter()
            .filter(|(s, _)| *s != shard)
            .fold(Resources::ZERO, |sum, (_, r)| sum.add(r))
    }
}

/// Record of a write, committed before the write is sent, so that a repeat is recognised.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteRow {
    /// Runner to which the write is sent. A repeat queries only this runner.
    pub runner: String,
    /// Incarnation of the runner.
    pub incarnation: u64,
    /// Number of executions that the runner reported; none while unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub runs: Option<u64>,
}

/// Builds the operation that writes a marker: a row with an empty value.
pub fn put_marker(key: String) -> Op {
    Op::Put { key, value: serde_json::json!({}) }
}

/// Splits a task id into its job id and task number.
pub fn task_parts(task: &str) -> Option<(&str, usize)> {
    let (job, n) = task.rsplit_once('.')?;
    Some((job, n.parse().ok()?))
}

/// Reads and decodes one row, and returns it with its version; none if it is absent or not a `T`.
/// Counts as one read in the table's budget.
pub async fn read<T: serde::de::DeserializeOwned>(
    table: &Client,
    key: String,
) -> Result<Option<(T, u64)>, PlatformError> {
    let rows = table.get(vec![key.clone()]).await?;
    Ok(rows.get(&key).and_then(|r| Some((decode(&r.value)?, r.version))))
}

/// Prefix of job rows.
pub const JOB_PREFIX: &str = "job/";

/// Key of a job row.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Prefix of the pending-job entries of a failure domain.
pub fn pending_prefix(domain: &str) -> String {
    format!("pend/{domain}/")
}

/// Key of a pending-job entry.
pub fn pending_key(domain: &str, shard: &str, id: &str) -> String {
    format!("{}{shard}/{id}", pending_prefix(domain))
}

/// Prefix of the quota rows of a failure domain.
pub fn quota_prefix(domain: &str) -> String {
    format!("quota/{domain}/")
}

/// Key of a team's quota row in a failure domain.
pub fn quota_key(domain: &str, team: &str) -> String {
    format!("{}{team}", quota_prefix(domain))
}

/// Prefix of the markers of ended jobs of a shard.
pub fn done_prefix(domain: &str, shard: &str) -> String {
    format!("done/{domain}/{shard}/")
}

/// Key of the marker of a job that ended at time `at`.
pub fn done_key(domain: &str, shard: &str, at: Millis, id: &str) -> String {
    format!("{}{at:015}/{id}", done_prefix(domain, shard))
}

/// Key of a write record.
pub fn write_key(id: &str) -> String {
    format!("write/{id}")
}

/// Prefix of the markers of recorded writes in a failure domain.
pub fn wrote_prefix(domain: &str) -> String {
    format!("wrote/{domain}/")
}

/// Key of the marker of a write recorded at time `at`.
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

/// Decodes the JSON value of a row; none if it is not a `T`.
pub fn decode<T: serde::de::DeserializeOwned>(v: &serde_json::Value) -> Option<T> {
    serde_json::from_value(v.clone()).ok()
}

/// Encodes a value as the JSON value of a row.
pub fn encode<T: Serialize>(v: &T) -> serde_json::Value {
    serde_json::to_value(v).expect("row types always serialise")
}
