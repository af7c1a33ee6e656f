//! In-memory store for tests: versioned rows, conditional transactions, a change feed, and
//! partitions that can be made unavailable.

#![allow(dead_code)]

use async_std::task;
use currantgw::control::ports::{
    Change, Changes, Commit, CommitError, Key, Page, ReadError, Row, Store, Txn,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::Duration;

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    version: u64,
    unavailable: BTreeSet<String>,
}

/// In-memory implementation of [`Store`].
#[derive(Default)]
pub struct MemoryStore {
    state: Mutex<State>,
}

impl MemoryStore {
    /// Makes exactly these partitions unavailable: transactions that write to them fail.
    pub fn set_unavailable(&self, partitions: impl IntoIterator<Item = String>) {
        self.state.lock().unwrap().unavailable = partitions.into_iter().collect();
    }

    /// Writes a row without conditions, like another instance, and returns its version.
    pub fn put(&self, key: Key, value: Vec<u8>) -> u64 {
        let mut st = self.state.lock().unwrap();
        st.version += 1;
        let version = st.version;
        st.rows.insert(key.clone(), Row { key, value, version });
        version
    }

    /// Returns the current row of a key.
    pub fn row(&self, key: &Key) -> Option<Row> {
        self.state.lock().unwrap().rows.get(key).cloned()
    }

    /// Applies a transaction, or returns the current rows of its conditions if one does not hold.
    fn apply(&self, txn: &Txn) -> Result<Commit, CommitError> {
        let mut st = self.state.lock().unwrap();
        let written = txn.put.iter().map(|(k, _)| k).chain(&txn.remove);
        if written.map(|k| &k.part).any(|p| st.unavailable.contains(p)) {
            return Err(CommitError::NotDone("the partition is unavailable".into()));
        }
        let current = |k: &Key| st.rows.get(k).map_or(0, |r| r.version);
        if txn.expect.iter().any(|(k, v)| current(k) != *v) {
            let found = txn.expect.iter().filter_map(|(k, _)| st.rows.get(k).cloned());
            return Ok(Commit::Conflict(found.collect()));
        }
        st.version += 1;
        let version = st.version;
        for (key, value) in txn.put.iter().cloned() {
            st.rows.insert(key.clone(), Row { key, value, version });
        }
        txn.remove.iter().for_each(|k| drop(st.rows.remove(k)));
        Ok(Commit::Done(version))
    }

    /// Returns the rows of `table` written after version `after`; deletions are not included.
    pub fn changed(&self, table: &str, after: u64) -> Changes {
        let st = self.state.lock().unwrap();
        let mut rows: Vec<Row> = st.rows.values().cloned().collect();
        rows.retain(|r| r.key.table == table && r.version > after);
        rows.sort_by_key(|r| r.version);
        Changes { rows: rows.into_iter().map(Change::Put).collect(), version: st.version }
    }
}

#[tide::utils::async_trait]
impl Store for MemoryStore {
    async fn commit(&self, txn: &Txn, _: u64) -> Result<Commit, CommitError> {
        self.apply(txn)
    }

    async fn page(
        &self,
        table: &str,
        partition: &str,
        from: &str,
        to: Option<&str>,
        limit: usize,
    ) -> Result<Page, ReadError> {
        let st = self.state.lock().unwrap();
        let inside = |k: &Key| {
            k.table == table
                && k.part == partition
                && *k.key >= *from
                && to.is_none_or(|t| *k.key < *t)
        };
        let mut rows: Vec<Row> = st.rows.values().filter(|r| inside(&r.key)).cloned().collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        Ok(Page { rows, has_more, version: st.version })
    }

    async fn changes(&self, table: &str, after: u64, wait_ms: u64) -> Result<Changes, ReadError> {
        let found = self.changed(table, after);
        if found.rows.is_empty() {
            task::sleep(Duration::from_millis(wait_ms)).await;
            return Ok(self.changed(table, after));
        }
        Ok(found)
    }
}
