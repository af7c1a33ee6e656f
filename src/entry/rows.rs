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
//! | `pend/<domain>/<shard>/<id>` | `{}`: the job has tasks waiting | submission, the holder |
//! | `commit/<worker>` | [`CommitRow`]: what is committed on a worker | the shard holder |
//! | `place/<task>` | `{worker, epoch}`: checked by the worker before a start | the holder |

use crate::kernel::clock::Millis;
use crate::kernel::res::{Class, Resources};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

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
    #[serde(default)]
    pub run_ms: u64,
    /// Time allowed before the job must have started, ms after submission; none waits for
    /// good (batch may queue overnight).
    #[serde(default)]
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waiting for a place.
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

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow {
    /// State.
    pub state: TaskState,
    /// Worker it is placed on.
    #[serde(default)]
    pub worker: Option<String>,
    /// Fencing epoch of the placement.
    #[serde(default)]
    pub epoch: u64,
    /// Tries so far.
    #[serde(default)]
    pub tries: u32,
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
    /// Shard that places it.
    pub shard: String,
    /// State.
    #[serde(flatten)]
    pub state: JobState,
    /// Its tasks.
    pub tasks: Vec<TaskRow>,
    /// When it was submitted, Unix ms.
    pub submitted: Millis,
    /// When the first task started, Unix ms.
    #[serde(default)]
    pub started: Option<Millis>,
}

impl JobRow {
    /// Task id of task `n`.
    pub fn task_id(&self, n: usize) -> String {
        format!("{}.{n}", self.id)
    }

    /// Whether some task was ever placed.
    pub fn ever_placed(&self) -> bool {
        self.tasks.iter().any(|t| t.tries > 0 || t.state != TaskState::Pending)
    }

    /// Whether the job has tasks waiting.
    pub fn waiting(&self) -> bool {
        self.tasks.iter().any(|t| t.state == TaskState::Pending)
    }
}

/// What is committed on one worker: the sum, and each task's share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitRow {
    /// Sum of the tasks' declared resources.
    pub used: Resources,
    /// Task id to its declared resources.
    pub tasks: BTreeMap<String, Resources>,
}

impl CommitRow {
    /// Adds a task.
    pub fn add(&mut self, task: &str, r: Resources) {
        if self.tasks.insert(task.to_string(), r).is_none() {
            self.used = self.used.add(&r);
        }
    }

    /// Removes a task; false when it was not there.
    pub fn remove(&mut self, task: &str) -> bool {
        match self.tasks.remove(task) {
            Some(r) => {
                self.used = self.used.sub(&r);
                true
            }
            None => false,
        }
    }
}

/// Key of a job row.
pub fn job_key(id: &str) -> String {
    format!("job/{id}")
}

/// Key of a pending marker.
pub fn pend_key(domain: &str, shard: &str, id: &str) -> String {
    format!("pend/{domain}/{shard}/{id}")
}

/// Key of a worker's commitment row.
pub fn commit_key(worker: &str) -> String {
    format!("commit/{worker}")
}

/// Key of a catalogue entry.
pub fn cat_key(name: &str) -> String {
    format!("cat/{name}")
}

/// Key of a catalogue log row.
pub fn catlog_key(version: u64) -> String {
    format!("catlog/{version:012}")
}

/// Key of a membership lease.
pub fn member_key(domain: &str, id: &str) -> String {
    format!("member/{domain}/{id}")
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
