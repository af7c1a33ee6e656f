//! Writing submissions and cancellations to the store, in groups.
//!
//! One writer for each part of the jobs table has one transaction on its way and puts into the
//! next whatever came meanwhile: a store that answers in 240 ms costs latency and not throughput.
//! An instance that the store turns away has the scheduler's instance write for it.

use super::health::Dependency;
use super::links::peer::Peer;
use super::links::Relay;
use super::mirror::Mirror;
use super::model::JobId;
use super::ports::{Commit, CommitError, Key, Store, Txn};
use super::pulse::{Pulse, HOLD_MS};
use super::rows::{self, JobRow};
use crate::kernel::clock::Clock;
use async_std::channel::{self, Receiver, Sender};
use futures::channel::oneshot;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Most writes of one transaction; the store takes 100 entries, and a new row needs two.
const GROUP: usize = 45;

/// A transaction is waited for at least this long, ms: a hundred times the store's usual answer,
/// and short enough for several tries within a caller's 3 s.
const TRY_MS: u64 = 450;

/// Longest a write over the link is waited for, ms: two tries of the scheduler's instance.
const RELAY_MS: u64 = 900;

/// Wait before a transaction that was refused is tried again, ms.
const RETRY_MS: u64 = 60;

/// Requests that may wait for one writer: twenty groups, some 5 s at the store's slowest.
const QUEUE: usize = 20 * GROUP;

/// Time between two looks at whether a store that owes an answer has given one, ms: a few of its
/// usual answers.
const GLANCE_MS: u64 = 20;

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Written {
    /// It is stored.
    Stored,
    /// The row was there before.
    Known,
    /// It is not stored and never will be.
    NotStored,
    /// It may be stored, now or later.
    Unknown,
}

impl Written {
    /// Whether the row stands in the store.
    pub fn stands(self) -> bool {
        matches!(self, Self::Stored | Self::Known)
    }
}

struct Request {
    job: JobId,
    /// The job's row, or none for a cancellation.
    row: Option<Vec<u8>>,
    until: u64,
    /// An earlier try had no answer.
    unsure: bool,
    /// Written for another instance: not passed on again.
    foreign: bool,
    done: oneshot::Sender<Written>,
}

impl Request {
    fn key(&self) -> Key {
        match self.row {
            Some(_) => rows::job_key(self.job),
            None => rows::cancel_key(self.job),
        }
    }
}

/// Answers requests; a caller that has gone needs none.
fn answer(group: Vec<Request>, out: Written) {
    for r in group {
        let _ = r.done.send(out);
    }
}

/// The writers of one instance.
pub struct Intake {
    parts: Vec<Sender<Request>>,
    /// The store's parts, each a dependency of its own: some can be away while others serve, and
    /// one dependency for all would be lost and regained several times a second.
    writes: Vec<Arc<Dependency>>,
    clock: Clock,
}

impl Intake {
    /// The intake, and its writers to be run.
    pub fn new(
        store: Arc<dyn Store>,
        pulse: Arc<Pulse>,
        mirror: Arc<Mirror>,
        peer: Arc<Peer>,
        clock: Clock,
    ) -> (Self, Vec<Writer>) {
        let mut parts = Vec::new();
        let mut all_writes = Vec::new();
        let mut writers = Vec::new();
        for part in 0..rows::JOB_PARTS {
            let (tx, rx) = channel::bounded(QUEUE);
            parts.push(tx);
            let name = format!("store, submissions, part {}", rows::part_name(part));
            let writes = Arc::new(Dependency::new(name, clock.clone()));
            all_writes.push(writes.clone());
            let (store, mirror, peer) = (store.clone(), mirror.clone(), peer.clone());
            let (pulse, clock) = (pulse.clone(), clock.clone());
            writers.push(Writer { rx, store, pulse, mirror, peer, writes, clock });
        }
        (Self { parts, writes: all_writes, clock }, writers)
    }

    /// Parts of the store that take no submissions now, for the state dump.
    pub fn lost(&self) -> Vec<&str> {
        self.writes.iter().filter(|w| w.lost()).map(|w| w.name()).collect()
    }

    /// Stores a job if its id is new, giving up after `ms`.
    pub async fn submit(&self, job: JobId, row: &JobRow, ms: u64) -> Written {
        self.write(job, Some(rows::encode(row)), ms, false).await
    }

    /// Stores a cancellation, giving up after `ms`.
    pub async fn cancel(&self, job: JobId, ms: u64) -> Written {
        self.write(job, None, ms, false).await
    }

    /// Stores something for another instance, giving up after `ms`.
    pub async fn relayed(&self, relay: &Relay, ms: u64) -> Written {
        self.write(relay.job, relay.row.clone(), ms, true).await
    }

    async fn write(&self, job: JobId, row: Option<Vec<u8>>, ms: u64, foreign: bool) -> Written {
        let (done, out) = oneshot::channel();
        let until = self.clock.mono() + ms;
        let req = Request { job, row, until, unsure: false, foreign, done };
        let part = &self.parts[rows::job_part_index(job) as usize];
        if part.try_send(req).is_err() {
            log::warn!(job:% = job; "writer's queue is full");
            return Written::NotStored;
        }
        out.await.unwrap_or(Written::Unknown)
    }
}

/// Writes the rows of one part.
pub struct Writer {
    rx: Receiver<Request>,
    store: Arc<dyn Store>,
    pulse: Arc<Pulse>,
    mirror: Arc<Mirror>,
    peer: Arc<Peer>,
    writes: Arc<Dependency>,
    clock: Clock,
}

impl Writer {
    /// Runs until the intake is dropped.
    pub async fn run(self) {
        let mut group: Vec<Request> = Vec::new();
        loop {
            if group.is_empty() {
                match self.rx.recv().await {
                    Ok(r) => group.push(r),
                    Err(_) => return,
                }
            }
            while group.len() < GROUP {
                match self.rx.try_recv() {
                    Ok(r) => group.push(r),
                    Err(_) => break,
                }
            }
            group = self.give_up(group);
            if self.pulse.silent() {
                group = self.without_store(group).await;
            } else if self.pulse.stalled_ms() >= HOLD_MS {
                self.clock.sleep(GLANCE_MS).await;
                continue;
            }
            if !group.is_empty() {
                group = self.attempt(group).await;
            }
        }
    }

    /// The store is known to be away: over the link if there is one, else refused at once. A
    /// write sent into the silence could only end in doubt, and keeps its caller from coming back
    /// in time. The feeds go on asking; with their first answer writes go to the store again.
    async fn without_store(&self, group: Vec<Request>) -> Vec<Request> {
        let left = if self.peer.fresh() { self.relay(group).await } else { group };
        if self.peer.fresh() {
            return left;
        }
        let (unsure, lost): (Vec<_>, Vec<_>) = left.into_iter().partition(|r| r.unsure);
        answer(lost, Written::NotStored);
        answer(unsure, Written::Unknown);
        Vec::new()
    }

    /// Answers requests whose time is up.
    fn give_up(&self, group: Vec<Request>) -> Vec<Request> {
        let now = self.clock.mono();
        let (left, late): (Vec<_>, Vec<_>) = group.into_iter().partition(|r| r.until > now);
        for r in late {
            let out = if r.unsure { Written::Unknown } else { Written::NotStored };
            let _ = r.done.send(out);
        }
        left
    }

    /// Has the scheduler's instance write; returns the requests to try again here.
    async fn relay(&self, group: Vec<Request>) -> Vec<Request> {
        let (foreign, own): (Vec<_>, Vec<_>) = group.into_iter().partition(|r| r.foreign);
        let ask = |r: &Request| {
            let relay = Relay { job: r.job, row: r.row.clone() };
            self.peer.relay(relay, RELAY_MS)
        };
        let outs = futures::future::join_all(own.iter().map(ask)).await;
        let mut left = foreign;
        for (r, out) in own.into_iter().zip(outs) {
            match out {
                Some(w) if w.stands() => drop(r.done.send(w).is_err()),
                Some(Written::NotStored) => left.push(r),
                _ => left.push(Request { unsure: true, ..r }),
            }
        }
        left
    }

    /// One transaction; returns the requests to try again.
    async fn attempt(&self, group: Vec<Request>) -> Vec<Request> {
        let mut txn = Txn::default();
        for r in &group {
            if r.row.is_some() {
                txn.expect.push((r.key(), 0));
            }
            let value = r.row.clone().unwrap_or_else(|| rows::encode(&self.clock.wall()));
            txn.put.push((r.key(), value));
        }
        let sent = self.clock.mono();
        let out = self.store.commit(&txn, self.mirror.patience(TRY_MS)).await;
        let ms = self.clock.mono() - sent;
        metrics::histogram!("control_intake_commit_seconds").record(ms as f64 / 1000.0);
        match out {
            Ok(Commit::Done(_)) => {
                self.writes.works();
                answer(group, Written::Stored);
                Vec::new()
            }
            Ok(Commit::Conflict(found)) => {
                let known = |r: &Request| found.iter().any(|f| f.key == r.key());
                let (there, left): (Vec<_>, Vec<_>) = group.into_iter().partition(known);
                answer(there, Written::Known);
                left
            }
            Err(CommitError::Rejected(status)) => {
                log::error!(status = status, rows = group.len(); "store rejects submissions");
                answer(group, Written::NotStored);
                Vec::new()
            }
            Err(e) => {
                self.writes.fails(&e);
                let unsure = !matches!(e, CommitError::NotDone(_));
                self.failed(group, unsure).await
            }
        }
    }

    /// After a transaction without success: over the link if there is one, else again in a moment.
    async fn failed(&self, group: Vec<Request>, unsure: bool) -> Vec<Request> {
        let mut group: Vec<Request> =
            group.into_iter().map(|r| Request { unsure: r.unsure || unsure, ..r }).collect();
        if self.peer.fresh() {
            group = self.relay(group).await;
        }
        if !group.is_empty() {
            self.clock.sleep(RETRY_MS).await;
        }
        group
    }
}
