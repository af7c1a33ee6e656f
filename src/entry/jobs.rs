//! Job submission and cancellation: each a conditional transaction on the job row, with an
//! idempotency key so that a retry after a lost answer returns the first outcome.

use crate::entry::catalogue::Catalogue;
use crate::entry::rows::{self, JobRow, JobSpec, JobState, TaskRow, TaskState};
use crate::kernel::clock::Clock;
use crate::kernel::res::{Class, Resources};
use crate::platform::client::{Client, PlatformError};
use crate::platform::place_key;
use crate::platform::table::{Cond, Op, Outcome, Txn};
use std::hash::{Hash, Hasher};

/// Tries of a submission or cancellation whose answer was lost.
pub const TRIES: u32 = 4;

/// Wait before the first retry, ms; doubles each time, with jitter.
pub const BACKOFF_MS: u64 = 50;

/// Deadline given to urgent work that names none: letter 1's "started within 8.7 s".
pub const URGENT_DEADLINE_MS: u64 = 8_700;

/// Deadline given to gangs that name none: a gang that cannot be placed whole by then is
/// refused rather than holding its place in the queue for good.
pub const GANG_DEADLINE_MS: u64 = 30_000;

/// Why a submission was not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SubmitError {
    /// Malformed; nothing was written.
    #[error("invalid job: {field}: {why}")]
    Invalid {
        /// Field.
        field: &'static str,
        /// What is wrong.
        why: &'static str,
    },
    /// The catalogue has no such entry; nothing was written.
    #[error("no catalogue entry {0}")]
    UnknownEntry(String),
    /// A task declares more than its entry's limits; nothing was written.
    #[error("tasks exceed the limits of entry {0}")]
    OverLimits(String),
    /// The key was used before for another job.
    #[error("idempotency key reused for another job {0}")]
    KeyReused(String),
    /// The table could not be reached; nothing is known to have been written.
    #[error("table: {0}")]
    Platform(#[from] PlatformError),
}

/// Why a cancellation failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CancelError {
    /// No such job.
    #[error("no job {0}")]
    NotFound(String),
    /// Other writers kept changing the job; try again.
    #[error("job {0} kept changing")]
    Busy(String),
    /// The table could not be reached.
    #[error("table: {0}")]
    Platform(#[from] PlatformError),
}

/// The job id for an idempotency key.
pub fn job_id(key: &str) -> String {
    let mut h = std::collections::hash_map::DefaultHasher::new();
    key.hash(&mut h);
    format!("j{:016x}", h.finish())
}

fn pick_shard<'a>(id: &str, shards: &'a [String]) -> &'a str {
    let mut h = std::collections::hash_map::DefaultHasher::new();
    id.hash(&mut h);
    &shards[(h.finish() % shards.len() as u64) as usize]
}

/// Applies `txn`, retrying with backoff and jitter while the answer is lost or the budget is
/// spent; safe because `txn` carries an idempotency key.
pub async fn apply(table: &Client, clock: &Clock, txn: &Txn) -> Result<Outcome, PlatformError> {
    let mut wait = BACKOFF_MS;
    let mut last = PlatformError::Timeout;
    for _ in 0..TRIES {
        match table.txn(txn).await {
            Ok(out) => return Ok(out),
            Err(
                e @ (PlatformError::Unavailable { .. }
                | PlatformError::Timeout
                | PlatformError::Transport { .. }),
            ) => last = e,
            Err(PlatformError::Throttled { retry_ms }) => {
                last = PlatformError::Throttled { retry_ms };
                wait = wait.max(retry_ms);
            }
            Err(e) => return Err(e),
        }
        let jitter = rand::random::<u64>() % wait.max(1);
        clock.sleep(wait + jitter).await;
        wait *= 2;
    }
    Err(last)
}

/// Where a job may go: the shards of the domain with the capacity of each.
pub struct Placement<'a> {
    /// Shard names.
    pub shards: &'a [String],
    /// (total, largest worker) per shard, in the same order.
    pub caps: &'a [(Resources, Resources)],
}

/// Checks and commits a job. A job that can never run is committed as refused ("not run")
/// at once; the caller reads the state in the answer.
pub async fn submit(
    table: &Client,
    clock: &Clock,
    cat: &Catalogue,
    place: &Placement<'_>,
    domain: &str,
    mut spec: JobSpec,
) -> Result<JobRow, SubmitError> {
    if spec.tasks == 0 || spec.tasks > rows::MAX_TASKS {
        return Err(SubmitError::Invalid { field: "tasks", why: "must be 1 to 10000" });
    }
    if spec.key.is_empty() || spec.key.len() > 128 {
        return Err(SubmitError::Invalid { field: "key", why: "must be 1 to 128 bytes" });
    }
    if spec.demand.cpu == 0 || spec.demand.mem == 0 {
        return Err(SubmitError::Invalid { field: "demand", why: "cpu and mem must be above 0" });
    }
    let entry = cat
        .entries
        .get(&spec.entry)
        .ok_or_else(|| SubmitError::UnknownEntry(spec.entry.clone()))?;
    if !spec.demand.fits(&entry.limits) {
        return Err(SubmitError::OverLimits(spec.entry.clone()));
    }
    if spec.deadline_ms.is_none() {
        spec.deadline_ms = match entry.class {
            Class::Urgent => Some(URGENT_DEADLINE_MS),
            Class::Gang => Some(GANG_DEADLINE_MS),
            Class::Service | Class::Batch => None,
        };
    }
    let id = job_id(&spec.key);
    let i = place.shards.iter().position(|s| s == pick_shard(&id, place.shards)).unwrap_or(0);
    let shard = place.shards[i].clone();
    let (total, largest) = place.caps[i];
    let never = if !spec.demand.fits(&largest) {
        Some("a task is larger than any worker")
    } else if entry.class == Class::Gang && !spec.demand.times(spec.tasks.into()).fits(&total) {
        Some("the gang is larger than its shard")
    } else {
        None
    };
    let state = match never {
        Some(r) => JobState::Refused { reason: r.to_string() },
        None => JobState::Pending,
    };
    let task_state = if never.is_some() { TaskState::Refused } else { TaskState::Pending };
    let row = JobRow {
        id: id.clone(),
        class: entry.class,
        team: entry.team.clone(),
        shard: shard.clone(),
        state,
        tasks: (0..spec.tasks)
            .map(|_| TaskRow { state: task_state, worker: None, epoch: 0, tries: 0 })
            .collect(),
        submitted: clock.now(),
        started: None,
        spec,
    };
    let mut ops = vec![Op::Put { key: rows::job_key(&id), value: rows::encode(&row) }];
    if never.is_none() {
        ops.push(Op::Put {
            key: rows::pend_key(domain, &shard, &id),
            value: serde_json::json!({}),
        });
    }
    let txn = Txn {
        conds: vec![Cond::Version { key: rows::job_key(&id), version: 0 }],
        ops,
        idem: Some(format!("submit/{}", row.spec.key)),
    };
    match apply(table, clock, &txn).await? {
        Outcome::Committed { .. } => {
            metrics::counter!("entry_jobs_submitted").increment(1);
            Ok(row)
        }
        Outcome::Conflict { .. } => {
            // The key was seen before: answer with the job it made, if it is this job.
            let got = table.get(vec![rows::job_key(&id)]).await?;
            let old: Option<JobRow> =
                got.get(&rows::job_key(&id)).and_then(|r| rows::decode(&r.value));
            match old {
                Some(o) if o.spec.entry == row.spec.entry && o.spec.tasks == row.spec.tasks => {
                    Ok(o)
                }
                _ => Err(SubmitError::KeyReused(row.spec.key)),
            }
        }
    }
}

/// Cancels a job: tasks not yet ended are marked cancelled and their placements withdrawn in
/// one transaction, so that a worker asked to start one later refuses; then running ones are
/// stopped. Returns the tasks to stop as (task, worker).
pub async fn cancel(
    table: &Client,
    clock: &Clock,
    domain: &str,
    id: &str,
) -> Result<(JobRow, Vec<(String, String)>), CancelError> {
    for _ in 0..TRIES {
        let got = table.get(vec![rows::job_key(id)]).await?;
        let Some(r) = got.get(&rows::job_key(id)) else {
            return Err(CancelError::NotFound(id.into()));
        };
        let Some(mut row) = rows::decode::<JobRow>(&r.value) else {
            return Err(CancelError::NotFound(id.into()));
        };
        if !matches!(row.state, JobState::Pending | JobState::Running) {
            return Ok((row, Vec::new()));
        }
        let mut ops = vec![Op::Delete { key: rows::pend_key(domain, &row.shard, id) }];
        let mut stop = Vec::new();
        for n in 0..row.tasks.len() {
            let task = row.task_id(n);
            let t = &mut row.tasks[n];
            if t.state == TaskState::Placed {
                ops.push(Op::Delete { key: place_key(&task) });
                stop.push((task, t.worker.clone().unwrap_or_default()));
            }
            if !t.state.ended() {
                t.state = TaskState::Cancelled;
            }
        }
        row.state = JobState::Cancelled;
        ops.push(Op::Put { key: rows::job_key(id), value: rows::encode(&row) });
        let txn = Txn {
            conds: vec![Cond::Version { key: rows::job_key(id), version: r.version }],
            ops,
            idem: Some(format!("cancel/{id}/{}", r.version)),
        };
        if let Outcome::Committed { .. } = apply(table, clock, &txn).await? {
            return Ok((row, stop));
        }
    }
    Err(CancelError::Busy(id.into()))
}
