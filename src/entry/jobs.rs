//! Job submission and cancellation. Each is a conditional transaction on the job row with an
//! idempotency key, so that a retry after a lost answer returns the first outcome.

use crate::entry::catalogue::{CatEntry, Catalogue};
use crate::entry::rows::{self, JobRow, JobSpec, JobState, TaskRow, TaskState};
use crate::kernel::clock::Clock;
use crate::kernel::res::{Class, Resources};
use crate::standin::api::StopReq;
use crate::standin::client::{Client, PlatformError};
use crate::standin::table::{Cond, Op, Outcome, Txn};
use crate::standin::tasks::RackCapacity;
use crate::standin::{place_key, PlaceRow};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3;

/// Most attempts of a transaction without an answer, and of a cancellation that meets conflicts.
pub const MAX_ATTEMPTS: u32 = 4;

/// Delay before the first retry, ms. It doubles with each retry and has jitter.
pub const BACKOFF_MS: u64 = 50;

/// Default deadline of urgent work, ms: it must start within 8.7 s.
pub const URGENT_DEADLINE_MS: u64 = 8_700;

/// Default deadline of gangs, ms. A gang that cannot be placed whole by then is refused, so that it
/// does not wait in the queue permanently.
pub const GANG_DEADLINE_MS: u64 = 30_000;

/// Reason why a submission was not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SubmitError {
    /// The job is malformed. Nothing was written.
    #[error("invalid job: {field}: {why}")]
    Invalid {
        /// Name of the invalid field.
        field: &'static str,
        /// Rule that the field violates.
        why: &'static str,
    },
    /// The catalogue has no such entry. Nothing was written.
    #[error("no catalogue entry {0}")]
    UnknownEntry(String),
    /// A task declares more than the limits of its entry. Nothing was written.
    #[error("tasks exceed the limits of entry {0}")]
    OverLimits(String),
    /// The idempotency key was used before for a job with another specification.
    #[error("idempotency key reused for another job {0}")]
    KeyReused(String),
    /// The table could not be reached. No write is confirmed.
    #[error("table: {0}")]
    Platform(#[from] PlatformError),
}

/// Reason why a cancellation failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CancelError {
    /// There is no job with this id.
    #[error("no job {0}")]
    NotFound(String),
    /// All attempts met a conflict with another writer; the caller may retry.
    #[error("job {0} kept changing")]
    Busy(String),
    /// The table could not be reached.
    #[error("table: {0}")]
    Platform(#[from] PlatformError),
}

/// Returns the job id for an idempotency key: its 128-bit hash, so that collisions are not to be
/// expected.
pub fn job_id(key: &str) -> String {
    format!("j{:032x}", xxh3::xxh3_128(key.as_bytes()))
}

/// Applies `txn`, with retries while the table is unavailable, throttles or does not answer.
/// Retries are safe because `txn` carries an idempotency key.
pub async fn apply_with_retries(
    table: &Client,
    clock: &Clock,
    txn: &Txn,
) -> Result<Outcome, PlatformError> {
    let mut wait = BACKOFF_MS;
    let mut last_error = PlatformError::Timeout;
    for _ in 0..MAX_ATTEMPTS {
        match table.txn(txn).await {
            Ok(out) => return Ok(out),
            Err(
                e @ (PlatformError::Unavailable { .. }
                | PlatformError::Timeout
                | PlatformError::Transport { .. }),
            ) => last_error = e,
            Err(PlatformError::Throttled { retry_ms }) => {
                last_error = PlatformError::Throttled { retry_ms };
                wait = wait.max(retry_ms);
            }
            Err(e) => return Err(e),
        }
        let jitter = rand::random::<u64>() % wait.max(1);
        clock.sleep(wait + jitter).await;
        wait *= 2;
    }
    Err(last_error)
}

/// Shards of a failure domain with their capacities, in a fixed order.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    /// Name, total capacity and capacity of the largest worker of each shard.
    pub shards: Vec<(String, Resources, Resources)>,
}

impl Inventory {
    /// Returns the index of the shard for a new job: of two shards selected by the hash of the job
    /// id, the one with more free capacity as reported in `rack_capacities`. The report is delayed,
    /// so a choice of the best of all shards would send a whole burst to one of them.
    pub fn choose(
        &self,
        id: &str,
        spec: &JobSpec,
        rack_capacities: &BTreeMap<String, RackCapacity>,
    ) -> usize {
        let n = self.shards.len().max(1) as u64;
        let h = xxh3::xxh3_64(id.as_bytes());
        let (a, b) = ((h % n) as usize, ((h >> 32) % n) as usize);
        let rank = |i: usize| {
            let rack = self.shards.get(i).and_then(|(s, _, _)| rack_capacities.get(s));
            rack.map(|r| (spec.demand.fits(&r.largest), r.free))
        };
        if rank(b) > rank(a) {
            b
        } else {
            a
        }
    }
}

/// Inputs of a submission besides the job.
pub struct SubmitContext<'a> {
    /// Client of the table.
    pub table: &'a Client,
    /// The process clock.
    pub clock: &'a Clock,
    /// Catalogue in force on this instance.
    pub cat: &'a Catalogue,
    /// Shards of the failure domain.
    pub inventory: &'a Inventory,
    /// Free capacity of the shards, as the platform reports it with a delay.
    pub rack_capacities: &'a BTreeMap<String, RackCapacity>,
    /// Failure domain of this instance.
    pub domain: &'a str,
}

impl SubmitContext<'_> {
    /// Builds the row of a new job: pending in the shard chosen for it, or refused if it can never
    /// run.
    fn new_row(&self, entry: &CatEntry, spec: JobSpec) -> JobRow {
        let id = job_id(&spec.key);
        let chosen = self.inventory.choose(&id, &spec, self.rack_capacities);
        let (shard, total, largest) = &self.inventory.shards[chosen];
        let (state, task) = match refusal_reason(&spec, entry.class, total, largest) {
            Some(r) => (JobState::Refused { reason: r.to_string() }, TaskState::Refused),
            None => (JobState::Pending, TaskState::Pending),
        };
        JobRow {
            id,
            class: entry.class,
            team: entry.team.clone(),
            catalogue: self.cat.version,
            shard: shard.clone(),
            state,
            tasks: vec![TaskRow { state: task, ..TaskRow::default() }; spec.tasks as usize],
            submitted: self.clock.now(),
            started: None,
            moves: 0,
            failed_on: BTreeSet::new(),
            retry: 0,
            spec,
        }
    }
}

/// Default deadline of a class of work, ms.
fn default_deadline(class: Class) -> Option<u64> {
    match class {
        Class::Urgent => Some(URGENT_DEADLINE_MS),
        Class::Gang => Some(GANG_DEADLINE_MS),
        Class::Service | Class::Batch => None,
    }
}

/// Returns the reason if a valid job can never run.
fn refusal_reason(
    spec: &JobSpec,
    class: Class,
    total: &Resources,
    largest: &Resources,
) -> Option<&'static str> {
    if !spec.demand.fits(largest) {
        return Some("a task is larger than any worker");
    }
    let gang_demand = spec.demand.times(spec.tasks.into());
    (class == Class::Gang && !gang_demand.fits(total))
        .then_some("the gang is larger than its shard")
}

/// Checks the ranges of a job's fields.
fn check(spec: &JobSpec) -> Result<(), SubmitError> {
    if spec.tasks == 0 || spec.tasks > rows::MAX_TASKS {
        return Err(SubmitError::Invalid { field: "tasks", why: "must be 1 to 10000" });
    }
    if spec.key.is_empty() || spec.key.len() > 128 {
        return Err(SubmitError::Invalid { field: "key", why: "must be 1 to 128 bytes" });
    }
    if spec.demand.cpu == 0 || spec.demand.mem == 0 {
        return Err(SubmitError::Invalid { field: "demand", why: "cpu and mem must be above 0" });
    }
    Ok(())
}

/// Checks and commits a job, and returns its row. A job that can never run is committed as refused
/// at once, which shows in the state of the row.
pub async fn submit(cx: &SubmitContext<'_>, mut spec: JobSpec) -> Result<JobRow, SubmitError> {
    check(&spec)?;
    let entry = cx
        .cat
        .entries
        .get(&spec.entry)
        .ok_or_else(|| SubmitError::UnknownEntry(spec.entry.clone()))?;
    if !spec.demand.fits(&entry.limits) {
        return Err(SubmitError::OverLimits(spec.entry.clone()));
    }
    spec.deadline_ms = spec.deadline_ms.or(default_deadline(entry.class));
    let row = cx.new_row(entry, spec);
    let key = rows::job_key(&row.id);
    let index_key = match row.ended() {
        true => rows::done_key(cx.domain, &row.shard, row.submitted, &row.id),
        false => rows::pending_key(cx.domain, &row.shard, &row.id),
    };
    let txn = Txn {
        conds: vec![Cond::Version { key: key.clone(), version: 0 }],
        ops: vec![Op::Put { key, value: rows::encode(&row) }, rows::put_marker(index_key)],
        // The key has a random part: the row of another submission with the same job key can differ
        // in time or shard, and must fail the condition above instead of replaying this outcome.
        idem: Some(format!("submit/{}/{:x}", row.id, rand::random::<u64>())),
    };
    match apply_with_retries(cx.table, cx.clock, &txn).await? {
        Outcome::Committed { .. } => {
            metrics::counter!("entry_jobs_submitted").increment(1);
            Ok(row)
        }
        Outcome::Conflict { .. } => existing_job(cx.table, row).await,
    }
}

/// Returns the job of an earlier submission with the same key, if its specification is the same.
async fn existing_job(table: &Client, row: JobRow) -> Result<JobRow, SubmitError> {
    match rows::read::<JobRow>(table, rows::job_key(&row.id)).await? {
        Some((existing, _)) if existing.spec == row.spec => Ok(existing),
        _ => Err(SubmitError::KeyReused(row.spec.key)),
    }
}

/// Marks a job and its tasks that have not ended as cancelled. Returns the operations that withdraw
/// their placements, and the stops of tasks that may run.
fn withdraw(row: &mut JobRow) -> (Vec<Op>, Vec<StopReq>) {
    let mut ops = Vec::new();
    let mut stops = Vec::new();
    for n in 0..row.tasks.len() {
        let task = row.task_id(n);
        let t = &mut row.tasks[n];
        if let (TaskState::Placed, Some(worker)) = (t.state, t.worker.clone()) {
            let (attempt, demand) = (t.attempt, row.spec.demand);
            let withdrawn = PlaceRow { worker: worker.clone(), epoch: 0, attempt, demand };
            ops.push(Op::Put { key: place_key(&row.shard, &task), value: withdrawn.value() });
            stops.push(StopReq { task, attempt, worker });
        }
        if !t.state.ended() {
            t.state = TaskState::Cancelled;
        }
    }
    row.state = JobState::Cancelled;
    (ops, stops)
}

/// Cancels a job. Tasks that have not ended are marked as cancelled and their placements withdrawn
/// in one transaction, so that a worker refuses to start them later. Through the job's pending-job
/// entry, the shard's holder stops the running tasks and releases their resources even if this
/// instance fails. Returns the row and the stops, which the caller may send at once.
pub async fn cancel(
    table: &Client,
    clock: &Clock,
    id: &str,
) -> Result<(JobRow, Vec<StopReq>), CancelError> {
    for _ in 0..MAX_ATTEMPTS {
        let Some((mut row, version)) = rows::read::<JobRow>(table, rows::job_key(id)).await? else {
            return Err(CancelError::NotFound(id.into()));
        };
        if row.ended() {
            return Ok((row, Vec::new()));
        }
        let (mut ops, stops) = withdraw(&mut row);
        let domain = row.domain().to_string();
        let index_key = rows::pending_key(&domain, &row.shard, id);
        ops.push(match stops.is_empty() {
            true => Op::Delete { key: index_key },
            false => rows::put_marker(index_key),
        });
        ops.push(rows::put_marker(rows::done_key(&domain, &row.shard, clock.now(), id)));
        ops.push(Op::Put { key: rows::job_key(id), value: rows::encode(&row) });
        let txn = Txn {
            conds: vec![Cond::Version { key: rows::job_key(id), version }],
            ops,
            idem: Some(format!("cancel/{id}/{version}")),
        };
        if let Outcome::Committed { .. } = apply_with_retries(table, clock, &txn).await? {
            return Ok((row, stops));
        }
    }
    Err(CancelError::Busy(id.into()))
}
