//! Job submission and cancellation: each a conditional transaction on the job row, with an
//! idempotency key so that a retry after a lost answer returns the first outcome.

use crate::entry::catalogue::{CatEntry, Catalogue};
use crate::entry::rows::{self, JobRow, JobSpec, JobState, TaskRow, TaskState};
use crate::kernel::clock::Clock;
use crate::kernel::res::{Class, Resources};
use crate::standin::api::StopReq;
use crate::standin::client::{Client, PlatformError};
use crate::standin::table::{Cond, Op, Outcome, Txn};
use crate::standin::tasks::RackRoom;
use crate::standin::{place_key, PlaceRow};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3;

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

/// The job id for an idempotency key: 128 bits of its hash, so that two keys never meet.
pub fn job_id(key: &str) -> String {
    format!("j{:032x}", xxh3::xxh3_128(key.as_bytes()))
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

/// The shards of a failure domain with the capacity of each, in a fixed order.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    /// (shard, total capacity, largest worker).
    pub shards: Vec<(String, Resources, Resources)>,
}

impl Inventory {
    /// The shard for a new job: the better of two picked by the job's hash, by the workers'
    /// lagging room; two choices spread a burst that one "best" shard would attract whole.
    pub fn choose(&self, id: &str, spec: &JobSpec, rooms: &BTreeMap<String, RackRoom>) -> usize {
        let n = self.shards.len().max(1) as u64;
        let h = xxh3::xxh3_64(id.as_bytes());
        let (a, b) = ((h % n) as usize, ((h >> 32) % n) as usize);
        let rank = |i: usize| {
            let room = self.shards.get(i).and_then(|(s, _, _)| rooms.get(s));
            room.map(|r| (spec.demand.fits(&r.largest), r.free))
        };
        if rank(b) > rank(a) {
            b
        } else {
            a
        }
    }
}

/// Where and under what a job is accepted.
pub struct Accept<'a> {
    /// The table.
    pub table: &'a Client,
    /// The process clock.
    pub clock: &'a Clock,
    /// The catalogue in force here.
    pub cat: &'a Catalogue,
    /// Shards of the domain.
    pub inventory: &'a Inventory,
    /// Their lagging room.
    pub rooms: &'a BTreeMap<String, RackRoom>,
    /// The failure domain.
    pub domain: &'a str,
}

impl Accept<'_> {
    /// The row of a new job: waiting on the shard chosen for it, or refused if it can never run.
    fn row(&self, entry: &CatEntry, spec: JobSpec) -> JobRow {
        let id = job_id(&spec.key);
        let chosen = self.inventory.choose(&id, &spec, self.rooms);
        let (shard, total, largest) = &self.inventory.shards[chosen];
        let (state, task) = match never_runs(&spec, entry.class, total, largest) {
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
            shun: BTreeSet::new(),
            retry: 0,
            spec,
        }
    }
}

/// Deadline of work that names none.
fn usual_deadline(class: Class) -> Option<u64> {
    match class {
        Class::Urgent => Some(URGENT_DEADLINE_MS),
        Class::Gang => Some(GANG_DEADLINE_MS),
        Class::Service | Class::Batch => None,
    }
}

/// Why a job that is well formed can never run, if so.
fn never_runs(
    spec: &JobSpec,
    class: Class,
    total: &Resources,
    largest: &Resources,
) -> Option<&'static str> {
    if !spec.demand.fits(largest) {
        return Some("a task is larger than any worker");
    }
    let whole = spec.demand.times(spec.tasks.into());
    (class == Class::Gang && !whole.fits(total)).then_some("the gang is larger than its shard")
}

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

/// Checks and commits a job. A job that can never run is committed as refused ("not run")
/// at once; the caller reads the state in the answer.
pub async fn submit(a: &Accept<'_>, mut spec: JobSpec) -> Result<JobRow, SubmitError> {
    check(&spec)?;
    let entry = a
        .cat
        .entries
        .get(&spec.entry)
        .ok_or_else(|| SubmitError::UnknownEntry(spec.entry.clone()))?;
    if !spec.demand.fits(&entry.limits) {
        return Err(SubmitError::OverLimits(spec.entry.clone()));
    }
    spec.deadline_ms = spec.deadline_ms.or(usual_deadline(entry.class));
    let row = a.row(entry, spec);
    let key = rows::job_key(&row.id);
    let mark = match row.ended() {
        true => rows::done_key(a.domain, &row.shard, row.submitted, &row.id),
        false => rows::pend_key(a.domain, &row.shard, &row.id),
    };
    let txn = Txn {
        conds: vec![Cond::Version { key: key.clone(), version: 0 }],
        ops: vec![Op::Put { key, value: rows::encode(&row) }, rows::put_marker(mark)],
        // The row is part of the key: another entry's submission of the same key differs in
        // time or shard, and must meet the condition above, not this record.
        idem: Some(format!("submit/{}/{:x}", row.id, rand::random::<u64>())),
    };
    match apply(a.table, a.clock, &txn).await? {
        Outcome::Committed { .. } => {
            metrics::counter!("entry_jobs_submitted").increment(1);
            Ok(row)
        }
        Outcome::Conflict { .. } => known_job(a.table, row).await,
    }
}

/// The job that an earlier submission of the same key made, if it is this job.
async fn known_job(table: &Client, row: JobRow) -> Result<JobRow, SubmitError> {
    match rows::read::<JobRow>(table, rows::job_key(&row.id)).await? {
        Some((o, _)) if o.spec == row.spec => Ok(o),
        _ => Err(SubmitError::KeyReused(row.spec.key)),
    }
}

/// Marks a job and its tasks that have not ended as cancelled. Returns the operations that withdraw
/// their placements, and the stops of what may run.
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

/// Cancels a job: tasks not yet ended are marked cancelled and their placements withdrawn in
/// one transaction, so that a worker asked to start one later refuses. The job's mark tells the
/// shard's holder to stop what runs and to release its room, also if this instance dies now.
/// Returns the stops worth sending at once.
pub async fn cancel(
    table: &Client,
    clock: &Clock,
    id: &str,
) -> Result<(JobRow, Vec<StopReq>), CancelError> {
    for _ in 0..TRIES {
        let Some((mut row, version)) = rows::read::<JobRow>(table, rows::job_key(id)).await? else {
            return Err(CancelError::NotFound(id.into()));
        };
        if row.ended() {
            return Ok((row, Vec::new()));
        }
        let (mut ops, stops) = withdraw(&mut row);
        let domain = row.domain().to_string();
        let mark = rows::pend_key(&domain, &row.shard, id);
        ops.push(match stops.is_empty() {
            true => Op::Delete { key: mark },
            false => rows::put_marker(mark),
        });
        ops.push(rows::put_marker(rows::done_key(&domain, &row.shard, clock.now(), id)));
        ops.push(Op::Put { key: rows::job_key(id), value: rows::encode(&row) });
        let txn = Txn {
            conds: vec![Cond::Version { key: rows::job_key(id), version }],
            ops,
            idem: Some(format!("cancel/{id}/{version}")),
        };
        if let Outcome::Committed { .. } = apply(table, clock, &txn).await? {
            return Ok((row, stops));
        }
    }
    Err(CancelError::Busy(id.into()))
}
