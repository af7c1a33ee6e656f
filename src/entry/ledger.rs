//! The ledger of writes. Before a write is sent to a runner, a record that names the runner is
//! committed under the id of the write. A repeat through any entry instance is recognised by this
//! record, so the write runs at most once. Records are committed in groups, with an interval
//! between commits, because the whole cell shares the table's write budget.

use crate::entry::jobs;
use crate::entry::rows::{self, WriteRow};
use crate::kernel::clock::{Clock, Millis};
use crate::kernel::stop::Stop;
use crate::standin::client::{Client, PlatformError};
use crate::standin::table::{Cond, Op, Outcome, Txn};
use async_std::channel;
use futures::channel::oneshot;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Maximum number of records that wait for a commit; further records are refused at once.
const MAX_QUEUED: usize = 4_096;

/// Maximum number of records in one commit.
const MAX_GROUP: usize = 200;

/// Reason why a record was not committed. Nothing was sent to a runner.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LedgerError {
    /// The table could not be reached.
    #[error("table: {0}")]
    Platform(#[from] PlatformError),
    /// Too many records wait for a commit.
    #[error("too many writes wait")]
    Full,
    /// The instance is stopping.
    #[error("stopping")]
    Stopping,
}

/// Result of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordResult {
    /// The record was committed; its row has this version.
    Recorded(u64),
    /// The row had another version than expected: its content and version.
    VersionMismatch(Box<WriteRow>, u64),
}

type Reply = Result<RecordResult, LedgerError>;

/// A record that waits for a commit.
struct Record {
    id: String,
    row: WriteRow,
    /// Expected version of the row; 0 if it must not exist.
    expected_version: u64,
    /// Channel to the caller that waits for the result; none for the outcome of a write.
    reply: Option<oneshot::Sender<Reply>>,
}

/// Ledger of one entry instance. [`Ledger::run`] commits the records of [`Ledger::record`] and
/// [`Ledger::record_outcome`].
pub struct Ledger {
    table: Client,
    clock: Clock,
    me: String,
    domain: String,
    nonce: u64,
    seq: AtomicU64,
    /// Interval between commits, ms. The heartbeat scales it with the number of members.
    pub interval_ms: AtomicU64,
    tx: channel::Sender<Record>,
    rx: channel::Receiver<Record>,
}

impl Ledger {
    /// Creates the ledger of instance `me` in failure domain `domain`.
    pub fn new(
        table: Client,
        clock: Clock,
        me: &str,
        domain: &str,
        interval_ms: Millis,
    ) -> Arc<Self> {
        let (tx, rx) = channel::bounded(MAX_QUEUED);
        Arc::new(Self {
            table,
            clock,
            me: me.to_string(),
            domain: domain.to_string(),
            nonce: rand::random(),
            seq: AtomicU64::new(0),
            interval_ms: AtomicU64::new(interval_ms),
            tx,
            rx,
        })
    }

    /// Commits `row` for write `id` if the stored row has version `expected_version`; 0 if there
    /// must be none.
    pub async fn record(&self, id: &str, row: WriteRow, expected_version: u64) -> Reply {
        let (reply, result) = oneshot::channel();
        let record = Record { id: id.to_string(), row, expected_version, reply: Some(reply) };
        self.tx.try_send(record).map_err(|_| LedgerError::Full)?;
        result.await.unwrap_or(Err(LedgerError::Stopping))
    }

    /// Queues the outcome of a write for the next commit. If it is lost, a repeat of the write
    /// costs one query to the runner.
    pub fn record_outcome(&self, id: &str, row: WriteRow, expected_version: u64) {
        let _ = self.tx.try_send(Record { id: id.to_string(), row, expected_version, reply: None });
    }

    /// Commits groups of records until `stop`, then the records that still wait.
    pub async fn run(self: Arc<Self>, stop: Stop) {
        loop {
            let first = match stop.unless_fired(self.rx.recv()).await {
                Some(Ok(record)) => record,
                Some(Err(_)) => return,
                None => break,
            };
            self.commit_waiting(Some(first)).await;
            stop.unless_fired(self.clock.sleep(self.interval_ms.load(Ordering::Relaxed))).await;
        }
        while !self.rx.is_empty() {
            self.commit_waiting(None).await;
        }
    }

    /// Commits `first` and the records that wait, up to [`MAX_GROUP`], in one or more transactions.
    async fn commit_waiting(&self, first: Option<Record>) {
        let mut group: Vec<Record> = first.into_iter().collect();
        while group.len() < MAX_GROUP {
            let Ok(record) = self.rx.try_recv() else { break };
            group.push(record);
        }
        while !group.is_empty() {
            group = self.commit(group).await;
        }
    }

    /// Commits a group. A record whose row has another version fails the transaction: it is
    /// answered with the stored row, and the other records are returned to be committed again.
    async fn commit(&self, mut group: Vec<Record>) -> Vec<Record> {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        let txn = self.transaction(&group, seq);
        match jobs::apply_with_retries(&self.table, &self.clock, &txn).await {
            Ok(Outcome::Committed { versions, .. }) => {
                for record in group {
                    let version = versions.get(&rows::write_key(&record.id)).copied();
                    let version = version.unwrap_or(record.expected_version + 1);
                    record.answer(Ok(RecordResult::Recorded(version)));
                }
                Vec::new()
            }
            Ok(Outcome::Conflict { index, .. }) if index < group.len() => {
                let record = group.remove(index);
                if record.reply.is_some() {
                    let stored = self.read(&record.id).await;
                    record.answer(stored);
                }
                group
            }
            Ok(Outcome::Conflict { .. }) => fail(group, &LedgerError::Stopping),
            Err(e) => fail(group, &LedgerError::Platform(e)),
        }
    }

    fn transaction(&self, group: &[Record], seq: u64) -> Txn {
        let now = self.clock.now();
        let conds = group
            .iter()
            .map(|r| Cond::Version { key: rows::write_key(&r.id), version: r.expected_version })
            .collect();
        let mut ops = Vec::with_capacity(group.len() * 2);
        for record in group {
            ops.push(Op::Put {
                key: rows::write_key(&record.id),
                value: rows::encode(&record.row),
            });
            if record.expected_version == 0 {
                ops.push(rows::put_marker(rows::wrote_key(&self.domain, now, &record.id)));
            }
        }
        Txn { conds, ops, idem: Some(format!("ledger/{}/{:x}/{seq}", self.me, self.nonce)) }
    }

    /// Reads the stored row of write `id` after a conflict.
    async fn read(&self, id: &str) -> Reply {
        let row = rows::read::<WriteRow>(&self.table, rows::write_key(id)).await?;
        row.map(|(row, v)| RecordResult::VersionMismatch(Box::new(row), v))
            .ok_or(LedgerError::Stopping)
    }
}

impl Record {
    fn answer(self, r: Reply) {
        if let Some(tx) = self.reply {
            let _ = tx.send(r);
        }
    }
}

/// Answers all records of a group with an error; no record remains to be committed.
fn fail(group: Vec<Record>, e: &LedgerError) -> Vec<Record> {
    group.into_iter().for_each(|record| record.answer(Err(e.clone())));
    Vec::new()
}
