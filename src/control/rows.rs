//! Schema of the control plane's rows in the store: tables, keys and encodings (CBOR).
//!
//! | table | partition | key | value | written by |
//! |---|---|---|---|---|
//! | `jobs` | leading bits of the id | id | the job as submitted | the accepting instance, once |
//! | `jobs` | leading bits of the id | id`.cancel` | when it was cancelled | any instance |
//! | `progress` | `p0` to `p7` | id | state, attempts, placements, completions | the leader |
//! | `office` | `cell` | `holder` | the leader | a new leader, or one that steps down |
//! | `office` | `cell` | `beat` | time of the last heartbeat, Unix ms | the leader |
//! | `office` | `cell` | `reserve` | ids of the standby instances | the leader |
//! | `office` | `cell` | `speeds` | speeds of runners, see [`super::speeds_row`] | the leader |
//! | `office` | `p0` to `p7` | `fence` | token of the leader that may write there | a new leader |

use super::model::{Attempt, Born, Invalid, JobId, JobSpec, JobState, MAX_MOMENT};
use super::partitions::Partition;
use super::ports::Key;
use super::queue_row::QueueRow;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Table of submitted jobs and cancellations.
pub const JOBS: &str = "jobs";

/// Table of the progress of jobs.
pub const PROGRESS: &str = "progress";

/// Table of the leader election.
pub const ELECTION: &str = "office";

/// Partition of the leader's row and of the heartbeat.
pub const ELECTION_PARTITION: &str = "cell";

/// Suffix of the job's id in the key of a cancellation.
const CANCEL_SUFFIX: &str = ".cancel";

/// Largest valid size of a leader, thousandths of a processor: a thousand times the largest
/// existing machines.
const MAX_SIZE: u64 = 1 << 32;

/// Why a row cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRow {
    /// Not CBOR, or a field is missing, of another type or out of bounds.
    #[error("row cannot be decoded: {0}")]
    Unreadable(String),
    /// The given number of bytes follow the value.
    #[error("{0} bytes follow the row")]
    Trailing(usize),
}

/// Why a row that decodes is invalid: it holds an impossible value, written by a later version or
/// another program. Without the check, such a row would crash one leader after the other, since
/// each successor reads it, too.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidValue {
    /// A job that would not have been accepted.
    #[error("not a job: {0}")]
    Job(#[from] Invalid),
    /// A time beyond [`MAX_MOMENT`].
    #[error("moment beyond {MAX_MOMENT}")]
    Moment,
    /// More failures than there are attempt numbers.
    #[error("more than {} failures", Attempt::LAST)]
    Fails,
    /// A definition of a queue that no catalogue could hold.
    #[error("not a queue")]
    Queue,
    /// A size beyond `MAX_SIZE`.
    #[error("size beyond {MAX_SIZE}")]
    Size,
}

fn check_time(at: u64) -> Result<u64, InvalidValue> {
    match at <= MAX_MOMENT {
        true => Ok(at),
        false => Err(InvalidValue::Moment),
    }
}

fn check_failures(n: u32) -> Result<(), InvalidValue> {
    match n <= Attempt::LAST {
        true => Ok(()),
        false => Err(InvalidValue::Fails),
    }
}

/// A job as it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "WireJob")]
pub struct JobRow {
    /// Queue that it was submitted to.
    pub queue: String,
    /// Team that it belongs to; none if it was submitted without a key.
    pub team: Option<String>,
    /// When it was accepted, Unix ms on the clock of the accepting instance.
    pub at: u64,
    /// The job's specification.
    pub spec: JobSpec,
    /// Definition of the queue when the job was accepted; none in rows of earlier versions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub definition: Option<QueueRow>,
}

#[derive(Deserialize)]
struct WireJob {
    queue: String,
    /// Missing in rows of versions that knew no teams.
    #[serde(default)]
    team: Option<String>,
    at: u64,
    spec: JobSpec,
    /// Missing in rows of versions that did not store it.
    #[serde(default)]
    definition: Option<QueueRow>,
}

impl TryFrom<WireJob> for JobRow {
    type Error = InvalidValue;

    fn try_from(w: WireJob) -> Result<Self, InvalidValue> {
        w.spec.check()?;
        let at = check_time(w.at)?;
        let WireJob { queue, team, spec, definition, .. } = w;
        Ok(Self { queue, team, at, spec, definition })
    }
}

/// The row that names the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "WireLeader")]
pub struct LeaderRow {
    /// Id of the leader's instance; empty after it has stepped down.
    pub node: String,
    /// Incarnation: a random number drawn when the process starts, which distinguishes it from a
    /// previous process of the same instance.
    pub life: u64,
    /// Address of its link server.
    pub links: Option<SocketAddr>,
    /// Thousandths of a processor that it may use. Kept when the leader steps down.
    pub size: u64,
    /// Id of the instance that a leader which steps down proposes as its successor; empty for none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub next: String,
    /// Longest time from the write of this row until the leases that earlier leaders sent have
    /// expired, ms; none from versions whose leaders extended leases without heartbeats.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prior_ms: Option<u64>,
}

#[derive(Deserialize)]
struct WireLeader {
    node: String,
    life: u64,
    links: Option<SocketAddr>,
    #[serde(default)]
    size: u64,
    #[serde(default)]
    next: String,
    #[serde(default)]
    prior_ms: Option<u64>,
}

impl TryFrom<WireLeader> for LeaderRow {
    type Error = InvalidValue;

    fn try_from(w: WireLeader) -> Result<Self, InvalidValue> {
        match w.size <= MAX_SIZE {
            true => {
                let WireLeader { node, life, links, size, next, prior_ms } = w;
                Ok(Self { node, life, links, size, next, prior_ms })
            }
            false => Err(InvalidValue::Size),
        }
    }
}

/// Fencing token of the leader that may store progress in a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRow(pub u64);

/// Ids of the instances that cache jobs and their progress, to become leader when there is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandbysRow(pub BTreeSet<String>);

/// Progress of a task: attempt, failures, whether it is done, runner it may run on, checkpoint,
/// consecutive runs that were lost with their runners, incarnation of the runner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow(
    pub Attempt,
    pub u32,
    pub bool,
    pub String,
    pub String,
    #[serde(default)] pub u32,
    #[serde(default)] pub Option<Born>,
);

/// Progress of a step: failures of the gang and the attempt of the last one, its tasks, and
/// attempts of the gang whose completion was not reported. Decoders of older versions accept no
/// further field here; [`ProgressRow`] may have further keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRow(pub u32, pub Attempt, pub Vec<TaskRow>, #[serde(default)] pub BTreeSet<Attempt>);

/// Attempts of single tasks whose completion was not reported, by the index of the step and that of
/// the task.
pub type UnreportedAttempts = BTreeMap<u32, BTreeMap<u32, BTreeSet<Attempt>>>;

/// Progress of a job. Older versions ignore keys that they do not know.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "WireProgress")]
pub struct ProgressRow {
    /// State shown to callers.
    pub state: JobState,
    /// When the job ended, Unix ms; 0 while it has not.
    pub ended: u64,
    /// Progress of each step of each occurrence; empty once no task of the job can run again.
    pub steps: Vec<StepRow>,
    /// Attempts that were written off and may yet be reported.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub unreported: UnreportedAttempts,
    /// Last definition of the job's queue, if the catalogue no longer has the queue and the job was
    /// accepted under another one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub definition: Option<QueueRow>,
}

#[derive(Deserialize)]
struct WireProgress {
    state: JobState,
    ended: u64,
    steps: Vec<StepRow>,
    /// Missing in rows of older versions.
    #[serde(default)]
    unreported: UnreportedAttempts,
    /// Missing in most rows.
    #[serde(default)]
    definition: Option<QueueRow>,
}

impl TryFrom<WireProgress> for ProgressRow {
    type Error = InvalidValue;

    fn try_from(w: WireProgress) -> Result<Self, InvalidValue> {
        for StepRow(gang, _, tasks, _) in &w.steps {
            check_failures(*gang)?;
            tasks.iter().try_for_each(|t| check_failures(t.1.max(t.5)))?;
        }
        let ended = check_time(w.ended)?;
        let WireProgress { state, steps, unreported, definition, .. } = w;
        Ok(Self { state, ended, steps, unreported, definition })
    }
}

/// Encodes a row as CBOR.
pub fn encode<T: Serialize>(v: &T) -> Vec<u8> {
    let mut out = Vec::new();
    ciborium::into_writer(v, &mut out).expect("rows are plain data and memory does not fail");
    out
}

/// Decodes a row. Fails if it is unreadable, holds an impossible value, or is followed by further
/// bytes.
pub fn decode<T: DeserializeOwned>(v: &[u8]) -> Result<T, BadRow> {
    let mut rest = v;
    let row = ciborium::from_reader(&mut rest).map_err(|e| BadRow::Unreadable(e.to_string()))?;
    match rest.len() {
        0 => Ok(row),
        n => Err(BadRow::Trailing(n)),
    }
}

/// Number of partitions of the jobs table, a power of two. A partition executes one transaction at
/// a time, and every instance writes transactions of its own: with few partitions, a burst on a
/// slow store would queue.
pub const JOB_PARTITIONS: u64 = 64;

/// Index of the partition of a job's rows: the leading bits of its id.
pub fn job_partition_index(id: JobId) -> u64 {
    id.0 >> (u64::BITS - JOB_PARTITIONS.ilog2())
}

/// Name in the store of a partition of the jobs table, by its index.
pub fn partition_name(index: u64) -> String {
    format!("{index:02x}")
}

/// Name of the partition of a job's rows.
pub fn job_partition(id: JobId) -> String {
    partition_name(job_partition_index(id))
}

/// Key of the row of a submitted job.
pub fn job_key(id: JobId) -> Key {
    Key::new(JOBS, &job_partition(id), &id.to_string())
}

/// Key of the row that cancels a job.
pub fn cancel_key(id: JobId) -> Key {
    Key::new(JOBS, &job_partition(id), &format!("{id}{CANCEL_SUFFIX}"))
}

/// Key of the row of a job's progress.
pub fn progress_key(id: JobId) -> Key {
    Key::new(PROGRESS, &Partition::of(id).name(), &id.to_string())
}

/// Key of the row that names the leader.
pub fn leader_key() -> Key {
    Key::new(ELECTION, ELECTION_PARTITION, "holder")
}

/// Key of the leader's heartbeat.
pub fn heartbeat_key() -> Key {
    Key::new(ELECTION, ELECTION_PARTITION, "beat")
}

/// Key of the row of the standby instances. It is between those of the leader and of the speeds:
/// earlier versions read the first two rows of the partition.
pub fn standbys_key() -> Key {
    Key::new(ELECTION, ELECTION_PARTITION, "reserve")
}

/// Key of the row of the speeds of runners.
pub fn speeds_key() -> Key {
    Key::new(ELECTION, ELECTION_PARTITION, "speeds")
}

/// Key of the row with the fencing token of a partition.
pub fn fence_key(partition: Partition) -> Key {
    Key::new(ELECTION, &partition.name(), "fence")
}

/// Meaning of a key of the jobs table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKey {
    /// Row of a submitted job.
    Job(JobId),
    /// Row that cancels a job.
    Cancel(JobId),
}

/// Parses a key of the jobs table; none if it is invalid.
pub fn parse_job_key(key: &str) -> Option<JobKey> {
    match key.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => id.parse().ok().map(JobKey::Cancel),
        None => key.parse().ok().map(JobKey::Job),
    }
}
