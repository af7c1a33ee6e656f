//! The transactional table service of the platform stand-in: rows with versions, leases with
//! epochs, multi-row transactions with conditions, and idempotency keys. One budget of writes and
//! one of reads per second limit the calls of the whole cell.

use crate::kernel::clock::Millis;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A stored row. Versions start at 1 and grow by one with each write; 0 means "absent".
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The row's version.
    pub version: u64,
    /// The document.
    pub value: Value,
}

/// A lease on a key: its holder, fencing epoch and expiry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Holder id.
    pub holder: String,
    /// Fencing epoch; grows by one each time the lease changes hands.
    pub epoch: u64,
    /// Expiry, platform clock, ms.
    pub expires: Millis,
}

/// A condition that must hold for a transaction to commit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "if", rename_all = "snake_case")]
pub enum Cond {
    /// The row's version is exactly `version` (0: the row is absent).
    Version {
        /// Row key.
        key: String,
        /// Expected version.
        version: u64,
    },
    /// The lease at `key` is held by `holder` under `epoch` and has not expired (fencing).
    Lease {
        /// Lease key.
        key: String,
        /// Expected holder.
        holder: String,
        /// Expected epoch.
        epoch: u64,
    },
}

/// A change that a transaction makes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum Op {
    /// Writes `value` at `key`.
    Put {
        /// Row key.
        key: String,
        /// The new document.
        value: Value,
    },
    /// Removes the row.
    Delete {
        /// Row key.
        key: String,
    },
    /// Acquires a free or expired lease, or extends one already held by `holder`.
    Acquire {
        /// Lease key.
        key: String,
        /// New holder.
        holder: String,
        /// Lifetime in ms.
        ttl_ms: u64,
    },
    /// Extends a lease held by `holder` under `epoch`; fails once it has expired.
    Renew {
        /// Lease key.
        key: String,
        /// Holder.
        holder: String,
        /// Epoch held.
        epoch: u64,
        /// New lifetime in ms.
        ttl_ms: u64,
    },
    /// Expires a lease at once.
    Release {
        /// Lease key.
        key: String,
        /// Holder.
        holder: String,
        /// Epoch held.
        epoch: u64,
    },
}

/// A transaction: if all conditions hold, all operations are applied, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions, all of which must hold.
    #[serde(default)]
    pub conds: Vec<Cond>,
    /// Operations, applied in order.
    #[serde(default)]
    pub ops: Vec<Op>,
    /// An idempotency key: a second transaction with the same key returns the first outcome
    /// and changes nothing. The record is written in the same transaction as the effect.
    #[serde(default)]
    pub idem: Option<String>,
}

impl Txn {
    /// A transaction without conditions. Its lease operations are still checked.
    pub fn of(ops: Vec<Op>) -> Self {
        Self { ops, ..Self::default() }
    }
}

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// All operations were applied.
    Committed {
        /// Epochs of lease operations, in order.
        epochs: Vec<u64>,
        /// New version of each row written, by key; 0 for a deleted row.
        versions: BTreeMap<String, u64>,
        /// Whether this is the recorded outcome of an earlier transaction with the same key.
        replay: bool,
    },
    /// Nothing was applied: the condition or lease operation at `index` (conditions first, then
    /// operations) failed at `key`.
    Conflict {
        /// Index of the failed condition or operation.
        index: usize,
        /// Its key.
        key: String,
        /// Current version of the row at `key`; 0 if absent.
        version: u64,
        /// The lease at `key`, if any.
        lease: Option<Lease>,
    },
}

/// Changes under a prefix since a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Feed {
    /// Revision to pass to the next call.
    pub revision: u64,
    /// `rows` contains all rows under the prefix: all were requested, or the history since the
    /// requested revision is no longer kept.
    pub reset: bool,
    /// Rows written since the requested revision.
    pub rows: BTreeMap<String, Row>,
    /// Keys removed since the requested revision.
    pub gone: Vec<String>,
}

/// Removed keys kept for feeds; a feed since an older revision is answered with a reset.
const TOMBSTONES_KEPT: usize = 20_000;

/// Idempotency records kept. Retries arrive within seconds, so the oldest records can be dropped.
const IDEM_RECORDS_KEPT: usize = 200_000;

/// Counters of transactions and reads.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Write transactions applied (replays excluded).
    pub writes: u64,
    /// Rows written by them.
    pub rows_written: u64,
    /// Read calls served.
    pub reads: u64,
    /// Calls refused by the budget.
    pub throttled: u64,
    /// Transactions that failed a condition.
    pub conflicts: u64,
    /// Transactions answered from an idempotency record.
    pub replays: u64,
}

/// Error of a call that would exceed the budget of this second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("table budget exhausted, retry in {retry_ms} ms")]
pub struct Throttled {
    /// Delay before a retry, ms.
    pub retry_ms: u64,
}

/// Limits of writes and reads per second, and their use in the present second.
#[derive(Clone, Debug, Default)]
struct Budget {
    writes: u32,
    reads: u32,
    window_start: Millis,
    used_writes: u32,
    used_reads: u32,
}

impl Budget {
    /// Counts one call in the present second, or refuses it if the limit is reached.
    fn charge(&mut self, now: Millis, is_write: bool) -> Result<(), Throttled> {
        if now >= self.window_start + 1000 {
            self.window_start = now - now % 1000;
            self.used_writes = 0;
            self.used_reads = 0;
        }
        let (used, limit) = if is_write {
            (&mut self.used_writes, self.writes)
        } else {
            (&mut self.used_reads, self.reads)
        };
        if *used >= limit {
            return Err(Throttled { retry_ms: self.window_start + 1000 - now });
        }
        *used += 1;
        Ok(())
    }
}

/// Entries of `map` whose key starts with `prefix`, in order.
fn with_prefix<'a, T>(
    map: &'a BTreeMap<String, T>,
    prefix: &'a str,
) -> impl Iterator<Item = (&'a String, &'a T)> {
    map.range(prefix.to_string()..).take_while(move |(k, _)| k.starts_with(prefix))
}

/// The table: rows, leases, idempotency records, change history, budget and counters.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
    leases: BTreeMap<String, Lease>,
    idem: BTreeMap<String, Outcome>,
    /// Keys of `idem`, oldest first.
    idem_order: VecDeque<String>,
    /// Revision of the latest change.
    revision: u64,
    /// Row keys, by the revision of their latest change.
    changed: BTreeMap<u64, String>,
    /// Revision of the latest change of each row key.
    last_change: BTreeMap<String, u64>,
    /// Revisions in `changed` that removed a row.
    tombstones: BTreeSet<u64>,
    /// Removals up to this revision may have been dropped from the history.
    history_start: u64,
    budget: Budget,
    /// Counters since start.
    pub counts: Counts,
}

impl Table {
    /// An empty table with a budget of `writes` transactions and `reads` reads per second.
    pub fn new(writes: u32, reads: u32) -> Self {
        Self { budget: Budget { writes, reads, ..Budget::default() }, ..Self::default() }
    }

    /// Applies `txn` at platform time `now`.
    pub fn apply(&mut self, txn: &Txn, now: Millis) -> Result<Outcome, Throttled> {
        if let Some(recorded) = txn.idem.as_ref().and_then(|k| self.idem.get(k)) {
            self.counts.replays += 1;
            let mut replayed = recorded.clone();
            if let Outcome::Committed { replay, .. } = &mut replayed {
                *replay = true;
            }
            return Ok(replayed);
        }
        self.budget.charge(now, true)?;
        let out = self.execute(txn, now);
        match &out {
            Outcome::Committed { .. } => {
                self.counts.writes += 1;
                self.counts.rows_written += txn.ops.len() as u64;
                if let Some(k) = &txn.idem {
                    self.idem.insert(k.clone(), out.clone());
                    self.idem_order.push_back(k.clone());
                    if self.idem_order.len() > IDEM_RECORDS_KEPT {
                        if let Some(old) = self.idem_order.pop_front() {
                            self.idem.remove(&old);
                        }
                    }
                }
            }
            Outcome::Conflict { .. } => self.counts.conflicts += 1,
        }
        Ok(out)
    }

    fn conflict(&self, index: usize, key: &str) -> Outcome {
        Outcome::Conflict {
            index,
            key: key.to_string(),
            version: self.rows.get(key).map_or(0, |r| r.version),
            lease: self.leases.get(key).cloned(),
        }
    }

    fn lease_held(&self, key: &str, holder: &str, epoch: u64, now: Millis) -> bool {
        self.leases
            .get(key)
            .is_some_and(|l| l.holder == holder && l.epoch == epoch && l.expires > now)
    }

    /// Whether the lease at `key` has this `epoch` and has not expired, for any holder. Checked
    /// before a task is started (fencing on the workers' side).
    pub fn epoch_valid(&self, key: &str, epoch: u64, now: Millis) -> bool {
        self.leases.get(key).is_some_and(|l| l.epoch == epoch && l.expires > now)
    }

    /// Whether `epoch` is the latest one of the lease at `key`, expired or not. Checked before task
    /// leases are extended, so that tasks survive an outage of the table, during which the lease
    /// can neither be renewed nor be acquired by another instance.
    pub fn epoch_latest(&self, key: &str, epoch: u64) -> bool {
        self.leases.get(key).is_some_and(|l| l.epoch == epoch)
    }

    /// Records in the change history that `key` was written or removed.
    fn record_change(&mut self, key: &str, removed: bool) {
        self.revision += 1;
        if let Some(old) = self.last_change.insert(key.to_string(), self.revision) {
            self.changed.remove(&old);
            self.tombstones.remove(&old);
        }
        self.changed.insert(self.revision, key.to_string());
        if removed {
            self.tombstones.insert(self.revision);
        }
        if self.tombstones.len() > TOMBSTONES_KEPT {
            if let Some(old) = self.tombstones.pop_first() {
                self.history_start = old;
                if let Some(k) = self.changed.remove(&old) {
                    self.last_change.remove(&k);
                }
            }
        }
    }

    /// Checks the conditions and lease operations of `txn`, then applies all its operations.
    fn execute(&mut self, txn: &Txn, now: Millis) -> Outcome {
        for (i, c) in txn.conds.iter().enumerate() {
            let ok = match c {
                Cond::Version { key, version } => {
                    self.rows.get(key).map_or(0, |r| r.version) == *version
                }
                Cond::Lease { key, holder, epoch } => self.lease_held(key, holder, *epoch, now),
            };
            if !ok {
                let key = match c {
                    Cond::Version { key, .. } | Cond::Lease { key, .. } => key,
                };
                return self.conflict(i, key);
            }
        }
        // All lease operations are checked before any operation is applied, so a failed one leaves
        // the table unchanged.
        let base = txn.conds.len();
        for (i, op) in txn.ops.iter().enumerate() {
            let ok = match op {
                Op::Acquire { key, holder, .. } => {
                    self.leases.get(key).is_none_or(|l| l.expires <= now || l.holder == *holder)
                }
                Op::Renew { key, holder, epoch, .. } | Op::Release { key, holder, epoch } => {
                    self.lease_held(key, holder, *epoch, now)
                }
                Op::Put { .. } | Op::Delete { .. } => true,
            };
            if !ok {
                let key = match op {
                    Op::Acquire { key, .. } | Op::Renew { key, .. } | Op::Release { key, .. } => {
                        key
                    }
                    Op::Put { key, .. } | Op::Delete { key } => key,
                };
                return self.conflict(base + i, key);
            }
        }
        let mut epochs = Vec::new();
        let mut versions = BTreeMap::new();
        for op in &txn.ops {
            match op {
                Op::Put { key, value } => {
                    let version = self.rows.get(key).map_or(0, |r| r.version) + 1;
                    self.rows.insert(key.clone(), Row { version, value: value.clone() });
                    versions.insert(key.clone(), version);
                    self.record_change(key, false);
                }
                Op::Delete { key } => {
                    if self.rows.remove(key).is_some() {
                        self.record_change(key, true);
                    }
                    versions.insert(key.clone(), 0);
                }
                Op::Acquire { key, holder, ttl_ms } => {
                    let prev = self.leases.get(key);
                    let epoch = match prev {
                        Some(l) if l.holder == *holder && l.expires > now => l.epoch,
                        Some(l) => l.epoch + 1,
                        None => 1,
                    };
                    let lease = Lease { holder: holder.clone(), epoch, expires: now + ttl_ms };
                    self.leases.insert(key.clone(), lease);
                    epochs.push(epoch);
                }
                Op::Renew { key, ttl_ms, epoch, .. } => {
                    if let Some(l) = self.leases.get_mut(key) {
                        l.expires = now + ttl_ms;
                    }
                    epochs.push(*epoch);
                }
                Op::Release { key, epoch, .. } => {
                    // The expired lease is kept, so that the next holder gets a higher epoch.
                    if let Some(l) = self.leases.get_mut(key) {
                        l.expires = now;
                    }
                    epochs.push(*epoch);
                }
            }
        }
        Outcome::Committed { epochs, versions, replay: false }
    }

    /// Charges one read to the budget.
    fn charge_read(&mut self, now: Millis) -> Result<(), Throttled> {
        self.budget.charge(now, false)?;
        self.counts.reads += 1;
        Ok(())
    }

    /// Reads the rows at `keys`, absent ones left out; costs one read of the budget.
    pub fn get(
        &mut self,
        keys: &[String],
        now: Millis,
    ) -> Result<BTreeMap<String, Row>, Throttled> {
        self.charge_read(now)?;
        Ok(keys.iter().filter_map(|k| self.rows.get(k).map(|r| (k.clone(), r.clone()))).collect())
    }

    /// Reads every row whose key starts with `prefix`; costs one read of the budget.
    pub fn scan(&mut self, prefix: &str, now: Millis) -> Result<BTreeMap<String, Row>, Throttled> {
        self.charge_read(now)?;
        let found = with_prefix(&self.rows, prefix);
        Ok(found.map(|(k, r)| (k.clone(), r.clone())).collect())
    }

    /// Changes under `prefix` since revision `since` (0: all rows); costs one read of the
    /// budget.
    pub fn feed(&mut self, prefix: &str, since: u64, now: Millis) -> Result<Feed, Throttled> {
        if since == 0 || since < self.history_start {
            let rows = self.scan(prefix, now)?;
            return Ok(Feed { revision: self.revision, reset: true, rows, gone: vec![] });
        }
        self.charge_read(now)?;
        let mut out = Feed { revision: self.revision.max(since), ..Feed::default() };
        for key in self.changed.range(since + 1..).map(|(_, k)| k) {
            if !key.starts_with(prefix) {
                continue;
            }
            match self.rows.get(key) {
                Some(r) => {
                    out.rows.insert(key.clone(), r.clone());
                }
                None => out.gone.push(key.clone()),
            }
        }
        Ok(out)
    }

    /// Reads every unexpired lease whose key starts with `prefix`; costs one read of the budget.
    pub fn leases(
        &mut self,
        prefix: &str,
        now: Millis,
    ) -> Result<BTreeMap<String, Lease>, Throttled> {
        self.charge_read(now)?;
        let unexpired = with_prefix(&self.leases, prefix).filter(|(_, l)| l.expires > now);
        Ok(unexpired.map(|(k, l)| (k.clone(), l.clone())).collect())
    }

    /// Reads a row without charging the budget, for the platform's own checks.
    pub fn peek(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Numbers of rows, leases and idempotency records, for the state dump.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.rows.len(), self.leases.len(), self.idem.len())
    }
}
