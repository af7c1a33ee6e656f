//! Submission writer: writes submissions and cancellations to the store, in batches.
//!
//! Each partition of the jobs table has one writer with one transaction under way; requests that
//! arrive meanwhile go into the next transaction. A store that answers in 240 ms then costs latency
//! and not throughput. An instance that cannot reach the store relays its writes to the leader's
//! instance.

use super::access::Caller;
use super::health::Dependency;
use super::links::client::LinkClient;
use super::links::Relay;
use super::mirror::Mirror;
use super::model::JobId;
use super::ports::{Commit, CommitError, Key, Store, Txn};
use super::rows::{self, JobRow};
use super::store_health::{StoreHealth, STALL_HOLD_MS};
use crate::kernel::clock::Clock;
use async_std::channel::{self, Receiver, Sender};
use futures::channel::oneshot;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum number of writes in one transaction: the store takes 100 entries, and a new row needs
/// two.
const MAX_BATCH: usize = 45;

/// Minimum timeout of a transaction, ms: a hundred times the usual latency of the store, and short
/// enough for several tries within a caller's 3 s.
const MIN_COMMIT_TIMEOUT_MS: u64 = 450;

/// Timeout of a write over the link, ms: two tries of the leader's instance.
const RELAY_TIMEOUT_MS: u64 = 900;

/// Delay before a transaction that was refused is tried again, ms.
const RETRY_DELAY_MS: u64 = 60;

/// Capacity of the queue of one writer, requests: twenty batches, some 5 s at the store's slowest.
const QUEUE_CAPACITY: usize = 20 * MAX_BATCH;

/// Interval between checks whether a stalled store has answered, ms: a few times its usual latency.
const STALL_POLL_MS: u64 = 20;

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WriteOutcome {
    /// The row is stored.
    Stored,
    /// The row already existed.
    Known,
    /// A job of another team has this id.
    Taken,
    /// The row is not stored and will not be stored later.
    NotStored,
    /// The row may be stored, now or later.
    Unknown,
}

impl WriteOutcome {
    /// Whether the row exists in the store.
    pub fn is_stored(self) -> bool {
        matches!(self, Self::Stored | Self::Known)
    }
}

struct Request {
    job: JobId,
    /// The job's row; none for a cancellation.
    row: Option<Vec<u8>>,
    /// On whose behalf it is made; none if an instance that knows no teams has relayed it.
    caller: Option<Caller>,
    /// Local ms.
    deadline: u64,
    /// Whether the outcome of an earlier try is unknown.
    outcome_unknown: bool,
    /// Whether it was received from another instance; it must not be relayed again.
    relayed: bool,
    done: oneshot::Sender<WriteOutcome>,
}

impl Request {
    fn key(&self) -> Key {
        match self.row {
            Some(_) => rows::job_key(self.job),
            None => rows::cancel_key(self.job),
        }
    }
}

impl Request {
    fn outcome_if_given_up(&self) -> WriteOutcome {
        match self.outcome_unknown {
            true => WriteOutcome::Unknown,
            false => WriteOutcome::NotStored,
        }
    }

    /// Outcome of a submission whose id has the stored row `found`: the same job, if its caller may
    /// see that one. An unreadable row counts as the same job, since its team is not known.
    fn outcome_where_stored(&self, found: &[u8]) -> WriteOutcome {
        let hidden = match (&self.caller, rows::decode::<JobRow>(found)) {
            (Some(caller), Ok(job)) => !caller.may_see(&job),
            _ => false,
        };
        if hidden {
            WriteOutcome::Taken
        } else {
            WriteOutcome::Known
        }
    }
}

/// Sends the outcome to all requests of a batch. A caller that no longer waits is ignored.
fn answer_all(batch: Vec<Request>, out: WriteOutcome) {
    for r in batch {
        let _ = r.done.send(out);
    }
}

/// Gives up on a batch that is not stored now: an earlier try of a request whose outcome is unknown
/// may still be applied.
fn give_up(batch: Vec<Request>) {
    for r in batch {
        let out = r.outcome_if_given_up();
        let _ = r.done.send(out);
    }
}

/// Submission writer of one instance: a queue and a [`Writer`] for each partition.
pub struct SubmissionWriter {
    queues: Vec<Sender<Request>>,
    /// Health of each partition of the store. Some partitions can be unavailable while others
    /// serve; a single dependency for all of them would be lost and regained several times a
    /// second.
    dependencies: Vec<Arc<Dependency>>,
    clock: Clock,
}

impl SubmissionWriter {
    /// Creates the queues and the writers. The caller must run the writers.
    pub fn new(
        store: Arc<dyn Store>,
        store_health: Arc<StoreHealth>,
        mirror: Arc<Mirror>,
        link: Arc<LinkClient>,
        clock: Clock,
    ) -> (Self, Vec<Writer>) {
        let mut queues = Vec::new();
        let mut all_dependencies = Vec::new();
        let mut writers = Vec::new();
        for partition in 0..rows::JOB_PARTITIONS {
            let (tx, rx) = channel::bounded(QUEUE_CAPACITY);
            queues.push(tx);
            let name = format!("store, submissions, part {}", rows::partition_name(partition));
            let dependency = Arc::new(Dependency::new(name, clock.clone()));
            all_dependencies.push(dependency.clone());
            let (store, mirror, link) = (store.clone(), mirror.clone(), link.clone());
            let (store_health, clock) = (store_health.clone(), clock.clone());
            writers.push(Writer { rx, store, store_health, mirror, link, dependency, clock });
        }
        (Self { queues, dependencies: all_dependencies, clock }, writers)
    }

    /// Partitions of the store that accept no submissions at present, for the state dump.
    pub fn lost(&self) -> Vec<&str> {
        self.dependencies.iter().filter(|d| d.lost()).map(|d| d.name()).collect()
    }

    /// Stores a job of `caller` if its id is new; gives up after `ms`.
    pub async fn submit(&self, job: JobId, row: &JobRow, caller: &Caller, ms: u64) -> WriteOutcome {
        let relay = Relay { job, row: Some(rows::encode(row)), caller: Some(caller.clone()) };
        self.write(relay, ms, false).await
    }

    /// Stores a cancellation; gives up after `ms`.
    pub async fn cancel(&self, job: JobId, ms: u64) -> WriteOutcome {
        self.write(Relay { job, row: None, caller: None }, ms, false).await
    }

    /// Stores a write that another instance has relayed; gives up after `ms`.
    pub async fn relayed(&self, relay: &Relay, ms: u64) -> WriteOutcome {
        self.write(relay.clone(), ms, true).await
    }

    async fn write(&self, relay: Relay, ms: u64, relayed: bool) -> WriteOutcome {
        let Relay { job, row, caller } = relay;
        let (done, out) = oneshot::channel();
        let deadline = self.clock.mono() + ms;
        let req = Request { job, row, caller, deadline, outcome_unknown: false, relayed, done };
        let queue = &self.queues[rows::job_partition_index(job) as usize];
        if queue.try_send(req).is_err() {
            log::warn!(job:% = job; "submission queue is full");
            return WriteOutcome::NotStored;
        }
        out.await.unwrap_or(WriteOutcome::Unknown)
    }
}

/// Writer of one partition.
pub struct Writer {
    rx: Receiver<Request>,
    store: Arc<dyn Store>,
    store_health: Arc<StoreHealth>,
    mirror: Arc<Mirror>,
    link: Arc<LinkClient>,
    dependency: Arc<Dependency>,
    clock: Clock,
}

impl Writer {
    /// Runs until [`SubmissionWriter`] is dropped.
    pub async fn run(self) {
        let mut batch: Vec<Request> = Vec::new();
        loop {
            if batch.is_empty() {
                match self.rx.recv().await {
                    Ok(r) => batch.push(r),
                    Err(_) => return,
                }
            }
            while batch.len() < MAX_BATCH {
                match self.rx.try_recv() {
                    Ok(r) => batch.push(r),
                    Err(_) => break,
                }
            }
            batch = self.expire(batch);
            if self.store_health.unavailable() {
                batch = self.bypass_store(batch).await;
            } else if self.store_health.stalled_ms() >= STALL_HOLD_MS {
                self.clock.sleep(STALL_POLL_MS).await;
                continue;
            }
            if !batch.is_empty() {
                batch = self.commit_batch(batch).await;
            }
        }
    }

    /// Handles a batch while the store is unavailable: relays it over the link if there is one,
    /// else refuses it at once. A write to an unresponsive store could only end with an unknown
    /// outcome, and its caller could not retry in time. The change feeds keep polling, and writes
    /// go to the store again once a poll has been answered.
    async fn bypass_store(&self, batch: Vec<Request>) -> Vec<Request> {
        let remaining = if self.link.is_live() { self.relay(batch).await } else { batch };
        if self.link.is_live() {
            return remaining;
        }
        give_up(remaining);
        Vec::new()
    }

    /// Answers the requests that are past their deadline and returns the others.
    fn expire(&self, batch: Vec<Request>) -> Vec<Request> {
        let now = self.clock.mono();
        let (remaining, expired): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|r| r.deadline > now);
        give_up(expired);
        remaining
    }

    /// Relays requests to the leader's instance; returns those to try again here.
    async fn relay(&self, batch: Vec<Request>) -> Vec<Request> {
        let (relayed, local): (Vec<_>, Vec<_>) = batch.into_iter().partition(|r| r.relayed);
        let send = |r: &Request| {
            let relay = Relay { job: r.job, row: r.row.clone(), caller: r.caller.clone() };
            self.link.relay(relay, RELAY_TIMEOUT_MS)
        };
        let outs = futures::future::join_all(local.iter().map(send)).await;
        let mut remaining = relayed;
        for (r, out) in local.into_iter().zip(outs) {
            match out {
                Some(w) if w.is_stored() || w == WriteOutcome::Taken => {
                    let _ = r.done.send(w);
                }
                Some(WriteOutcome::NotStored) => remaining.push(r),
                _ => remaining.push(Request { outcome_unknown: true, ..r }),
            }
        }
        remaining
    }

    /// Commits one transaction; returns the requests to try again.
    async fn commit_batch(&self, batch: Vec<Request>) -> Vec<Request> {
        let mut txn = Txn::default();
        for r in &batch {
            if r.row.is_some() {
                txn.expect.push((r.key(), 0));
            }
            let value = r.row.clone().unwrap_or_else(|| rows::encode(&self.clock.wall()));
            txn.put.push((r.key(), value));
        }
        let sent = self.clock.mono();
        let out =
            self.store.commit(&txn, self.mirror.write_timeout_ms(MIN_COMMIT_TIMEOUT_MS)).await;
        let ms = self.clock.mono() - sent;
        metrics::histogram!("control_intake_commit_seconds").record(ms as f64 / 1000.0);
        match out {
            Ok(Commit::Done(_)) => {
                self.dependency.record_success();
                answer_all(batch, WriteOutcome::Stored);
                Vec::new()
            }
            Ok(Commit::Conflict(found)) => {
                let known = |r: &Request| found.iter().any(|f| f.key == r.key());
                let (existing, remaining): (Vec<_>, Vec<_>) = batch.into_iter().partition(known);
                for r in existing {
                    let row = found.iter().find(|f| f.key == r.key());
                    let out = row.map_or(WriteOutcome::Known, |f| r.outcome_where_stored(&f.value));
                    let _ = r.done.send(out);
                }
                remaining
            }
            Err(CommitError::Rejected(status)) => {
                log::error!(status = status, rows = batch.len(); "store rejects submissions");
                give_up(batch);
                Vec::new()
            }
            Err(e) => {
                self.dependency.record_failure(&e);
                let outcome_unknown = !matches!(e, CommitError::NotDone(_));
                self.retry_or_relay(batch, outcome_unknown).await
            }
        }
    }

    /// Handles a failed transaction: relays the requests if there is a link, and else delays the
    /// next try.
    async fn retry_or_relay(&self, batch: Vec<Request>, outcome_unknown: bool) -> Vec<Request> {
        let mut batch: Vec<Request> = batch
            .into_iter()
            .map(|r| Request { outcome_unknown: r.outcome_unknown || outcome_unknown, ..r })
            .collect();
        if self.link.is_live() {
            batch = self.relay(batch).await;
        }
        if !batch.is_empty() {
            self.clock.sleep(RETRY_DELAY_MS).await;
        }
        batch
    }
}
