//! What the control plane keeps in the store: tables, keys and encodings (CBOR).
//!
//! | table | part | key | value | written by |
//! |---|---|---|---|---|
//! | `jobs` | leading bits of the id | id | the job as submitted | the instance that accepts it, once |
//! | `jobs` | leading bits of the id | id`.cancel` | when it was cancelled | any instance |
//! | `progress` | `p0` to `p7` | id | state, attempts, placements, ends | the scheduler in office |
//! | `office` | `cell` | `holder` | who is the scheduler | whoever takes office |
//! | `office` | `cell` | `beat` | a counter | the scheduler |
//! | `office` | `p0` to `p7` | `fence` | token of the scheduler that may write there | whoever takes office |

use super::model::{Attempt, Invalid, JobId, JobSpec, JobState, MAX_MOMENT};
use super::parts::Part;
use super::ports::Key;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Table of submitted jobs and cancellations.
pub const JOBS: &str = "jobs";

/// Table of what became of jobs.
pub const PROGRESS: &str = "progress";

/// Table of the scheduler's office.
pub const OFFICE: &str = "office";

/// Part of the holder's row and of its sign of life.
pub const CELL: &str = "cell";

/// Follows the id in the key of a cancellation.
const CANCEL: &str = ".cancel";

/// Most processor that a holder is believed to have, thousandths of a core: a thousand times the
/// largest machines there are.
const MAX_SIZE: u64 = 1 << 32;

/// Why a row cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRow {
    /// Not CBOR, a field is missing, of another type or out of bounds.
    #[error("row cannot be decoded: {0}")]
    Unreadable(String),
    /// Bytes follow the value.
    #[error("{0} bytes follow the row")]
    Trailing(usize),
}

/// A row that is well formed and cannot be true. A later version or another program may have
/// written it; taken at its word it would end one scheduler after the other, since each
/// successor reads it, too.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Absurd {
    /// A job that would not have been accepted.
    #[error("not a job: {0}")]
    Job(#[from] Invalid),
    /// A moment too far away.
    #[error("moment beyond {MAX_MOMENT}")]
    Moment,
    /// More failures than there are numbers of starts.
    #[error("more than {} failures", Attempt::LAST)]
    Fails,
    /// More processor than any machine has.
    #[error("size beyond {MAX_SIZE}")]
    Size,
}

fn moment(at: u64) -> Result<u64, Absurd> {
    match at <= MAX_MOMENT {
        true => Ok(at),
        false => Err(Absurd::Moment),
    }
}

fn fails(n: u32) -> Result<(), Absurd> {
    match n <= Attempt::LAST {
        true => Ok(()),
        false => Err(Absurd::Fails),
    }
}

/// A job as accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "WireJob")]
pub struct JobRow {
    /// Its queue.
    pub queue: String,
    /// When it was accepted, Unix ms on the clock of the accepting instance.
    pub at: u64,
    /// What was submitted.
    pub spec: JobSpec,
}

#[derive(Deserialize)]
struct WireJob {
    queue: String,
    at: u64,
    spec: JobSpec,
}

impl TryFrom<WireJob> for JobRow {
    type Error = Absurd;

    fn try_from(w: WireJob) -> Result<Self, Absurd> {
        w.spec.check()?;
        Ok(Self { queue: w.queue, at: moment(w.at)?, spec: w.spec })
    }
}

/// Who holds the scheduler's office.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "WireHolder")]
pub struct HolderRow {
    /// Its node; empty when the office was given up.
    pub node: String,
    /// Drawn at its process's start, so that a restarted process is somebody else.
    pub life: u64,
    /// Where other instances offer it help.
    pub links: Option<SocketAddr>,
    /// Thousandths of a processor that it may use; of the last holder once given up.
    pub size: u64,
}

#[derive(Deserialize)]
struct WireHolder {
    node: String,
    life: u64,
    links: Option<SocketAddr>,
    #[serde(default)]
    size: u64,
}

impl TryFrom<WireHolder> for HolderRow {
    type Error = Absurd;

    fn try_from(w: WireHolder) -> Result<Self, Absurd> {
        match w.size <= MAX_SIZE {
            true => Ok(Self { node: w.node, life: w.life, links: w.links, size: w.size }),
            false => Err(Absurd::Size),
        }
    }
}

/// Fencing token of the scheduler that may store progress in a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRow(pub u64);

/// A task's progress: attempt, failures, done, runner it may run on, checkpoint, runs in a row that were
/// lost with their runners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow(
    pub Attempt,
    pub u32,
    pub bool,
    pub String,
    pub String,
    #[serde(default)] pub u32,
);

/// A step's progress: failures of the gang and the attempt of the last one, its tasks, and attempts
/// of the gang whose end was not seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRow(pub u32, pub Attempt, pub Vec<TaskRow>, #[serde(default)] pub BTreeSet<Attempt>);

/// A job's progress: its steps, occurrence by occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "WireProgress")]
pub struct ProgressRow {
    /// State shown to callers.
    pub state: JobState,
    /// When it ended, Unix ms; 0 before.
    pub ended: u64,
    /// Progress of each step of each occurrence; left out once nothing of the job can run.
    pub steps: Vec<StepRow>,
}

#[derive(Deserialize)]
struct WireProgress {
    state: JobState,
    ended: u64,
    steps: Vec<StepRow>,
}

impl TryFrom<WireProgress> for ProgressRow {
    type Error = Absurd;

    fn try_from(w: WireProgress) -> Result<Self, Absurd> {
        for StepRow(gang, _, tasks, _) in &w.steps {
            fails(*gang)?;
            tasks.iter().try_for_each(|t| fails(t.1.max(t.5)))?;
        }
        Ok(Self { state: w.state, ended: moment(w.ended)?, steps: w.steps })
    }
}

/// Encodes a row.
pub fn encode<T: Serialize>(v: &T) -> Vec<u8> {
    let mut out = Vec::new();
    ciborium::into_writer(v, &mut out).expect("rows are plain data and memory does not fail");
    out
}

/// Decodes a row.
pub fn decode<T: DeserializeOwned>(v: &[u8]) -> Result<T, BadRow> {
    let mut rest = v;
    let row = ciborium::from_reader(&mut rest).map_err(|e| BadRow::Unreadable(e.to_string()))?;
    match rest.len() {
        0 => Ok(row),
        n => Err(BadRow::Trailing(n)),
    }
}

/// Number of parts of the jobs table, a power of two. A part takes one transaction at a time, and every
/// instance writes its own: with few parts a burst on a slow store would wait in line.
pub const JOB_PARTS: u64 = 64;

/// Number of the part that a job's rows are in: its id's leading bits.
pub fn job_part_index(id: JobId) -> u64 {
    id.0 >> (u64::BITS - JOB_PARTS.ilog2())
}

/// Name of a part of the jobs table by its number.
pub fn part_name(index: u64) -> String {
    format!("{index:02x}")
}

/// The part of a job's rows.
pub fn job_part(id: JobId) -> String {
    part_name(job_part_index(id))
}

/// Key of a submitted job.
pub fn job_key(id: JobId) -> Key {
    Key::new(JOBS, &job_part(id), &id.to_string())
}

/// Key of a cancellation.
pub fn cancel_key(id: JobId) -> Key {
    Key::new(JOBS, &job_part(id), &format!("{id}{CANCEL}"))
}

/// Key of a job's progress.
pub fn progress_key(id: JobId) -> Key {
    Key::new(PROGRESS, &Part::of(id).name(), &id.to_string())
}

/// Key of the row that names the scheduler.
pub fn holder_key() -> Key {
    Key::new(OFFICE, CELL, "holder")
}

/// Key of the scheduler's sign of life.
pub fn beat_key() -> Key {
    Key::new(OFFICE, CELL, "beat")
}

/// Key of the row that says which scheduler may store progress in a part.
pub fn fence_key(part: Part) -> Key {
    Key::new(OFFICE, &part.name(), "fence")
}

/// What a key of the jobs table stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKey {
    /// A job.
    Job(JobId),
    /// A cancellation.
    Cancel(JobId),
}

/// Reads a key of the jobs table; none if it is neither.
pub fn job_of(key: &str) -> Option<JobKey> {
    match key.strip_suffix(CANCEL) {
        Some(id) => id.parse().ok().map(JobKey::Cancel),
        None => key.parse().ok().map(JobKey::Job),
    }
}
