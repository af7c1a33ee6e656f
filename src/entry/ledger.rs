//! The ledger of writes: before a write is sent to a runner, a record that names the runner is
//! committed under the write's id, so that a repeat, through whichever entry instance, is
//! recognised and the write runs at most once. Records are committed in groups with a gap
//! between commits, because the table's write budget is shared by the whole cell.

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

/// Records that may wait for the next commit; more are refused at once.
const QUEUE: usize = 4_096;

/// Most records in one commit.
const GROUP: usize = 200;

/// Why a record was not made; nothing was sent.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LedgerError {
    /// The table could not be reached.
    #[error("table: {0}")]
    Platform(#[from] PlatformError),
    /// Too many records wait.
    #[error("too many writes wait")]
    Full,
    /// The instance is stopping.
    #[error("stopping")]
    Stopping,
}

/// What the ledger said to a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Claimed {
    /// Recorded, under this row version.
    Recorded(u64),
    /// The row is another than expected: this one, with its version.
    Other(Box<WriteRow>, u64),
}

type Reply = Result<Claimed, LedgerError>;

struct Record {
    id: String,
    row: WriteRow,
    expect: u64,
    reply: Option<oneshot::Sender<Reply>>,
}

/// The ledger of one entry instance; [`Ledger::run`] commits what [`Ledger::record`] hands in.
pub struct Ledger {
    table: Client,
    clock: Clock,
    me: String,
    domain: String,
    nonce: u64,
    seq: AtomicU64,
    /// Gap between commits, ms; the heartbeat scales it with the number of members.
    pub gap: AtomicU64,
    tx: channel::Sender<Record>,
    rx: channel::Receiver<Record>,
}

impl Ledger {
    /// A ledger of instance `me` in `domain`.
    pub fn new(table: Client, clock: Clock, me: &str, domain: &str, gap: Millis) -> Arc<Self> {
        let (tx, rx) = channel::bounded(QUEUE);
        Arc::new(Self {
            table,
            clock,
            me: me.to_string(),
            domain: domain.to_string(),
            nonce: rand::random(),
            seq: AtomicU64::new(0),
            gap: AtomicU64::new(gap),
            tx,
            rx,
        })
    }

    /// Records `row` for write `id` if its row is still at version `expect` (0: none).
    pub async fn record(&self, id: &str, row: WriteRow, expect: u64) -> Reply {
        let (reply, got) = oneshot::channel();
        let entry = Record { id: id.to_string(), row, expect, reply: Some(reply) };
        self.tx.try_send(entry).map_err(|_| LedgerError::Full)?;
        got.await.unwrap_or(Err(LedgerError::Stopping))
    }

    /// Notes an outcome with the next commit; losing the note only costs a query later.
    pub fn note(&self, id: &str, row: WriteRow, expect: u64) {
        let _ = self.tx.try_send(Record { id: id.to_string(), row, expect, reply: None });
    }

    /// Commits groups until `stop`, then what still waits.
    pub async fn run(self: Arc<Self>, stop: Stop) {
        loop {
            let first = match stop.unless_fired(self.rx.recv()).await {
                Some(Ok(e)) => e,
                Some(Err(_)) => return,
                None => break,
            };
            self.commit_waiting(Some(first)).await;
            stop.unless_fired(self.clock.sleep(self.gap.load(Ordering::Relaxed))).await;
        }
        while !self.rx.is_empty() {
            self.commit_waiting(None).await;
        }
    }

    async fn commit_waiting(&self, first: Option<Record>) {
        let mut group: Vec<Record> = first.into_iter().collect();
        while group.len() < GROUP {
            let Ok(e) = self.rx.try_recv() else { break };
            group.push(e);
        }
        while !group.is_empty() {
            group = self.commit(group).await;
        }
    }

    /// Commits a group. One record that meets another row fails the transaction: it is answered
    /// with that row, and the rest is returned to be committed again.
    async fn commit(&self, mut group: Vec<Record>) -> Vec<Record> {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        let txn = self.transaction(&group, seq);
        match jobs::apply(&self.table, &self.clock, &txn).await {
            Ok(Outcome::Committed { versions, .. }) => {
                for e in group {
                    let version = versions.get(&rows::write_key(&e.id)).copied();
                    let version = version.unwrap_or(e.expect + 1);
                    e.answer(Ok(Claimed::Recorded(version)));
                }
                Vec::new()
            }
            Ok(Outcome::Conflict { index, .. }) if index < group.len() => {
                let e = group.remove(index);
                if e.reply.is_some() {
                    let other = self.read(&e.id).await;
                    e.answer(other);
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
            .map(|e| Cond::Version { key: rows::write_key(&e.id), version: e.expect })
            .collect();
        let mut ops = Vec::with_capacity(group.len() * 2);
        for e in group {
            ops.push(Op::Put { key: rows::write_key(&e.id), value: rows::encode(&e.row) });
            if e.expect == 0 {
                ops.push(rows::put_marker(rows::wrote_key(&self.domain, now, &e.id)));
            }
        }
        Txn { conds, ops, idem: Some(format!("ledger/{}/{:x}/{seq}", self.me, self.nonce)) }
    }

    async fn read(&self, id: &str) -> Reply {
        let row = rows::read::<WriteRow>(&self.table, rows::write_key(id)).await?;
        row.map(|(row, v)| Claimed::Other(Box::new(row), v)).ok_or(LedgerError::Stopping)
    }
}

impl Record {
    fn answer(self, r: Reply) {
        if let Some(tx) = self.reply {
            let _ = tx.send(r);
        }
    }
}

fn fail(group: Vec<Record>, e: &LedgerError) -> Vec<Record> {
    group.into_iter().for_each(|g| g.answer(Err(e.clone())));
    Vec::new()
}
