//! Whether the store answers this process: noted at every call, whoever makes it.
//!
//! What goes wrong when it falls silent: each write sent into the silence ends in doubt, and a
//! caller in doubt must not be told that its job never runs, so that it loses a try and the time
//! of a timeout. A read that fails shows the silence only after its own timeout, and one that
//! succeeds shows its end only to its own caller. So every call, of any part of the process,
//! tells [`Pulse`], which knows at once when the store is heard of again and within
//! [`HOLD_MS`] that something is wrong.

use super::ports::{Changes, Commit, CommitError, Page, ReadError, Store, Txn};
use crate::kernel::clock::Clock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// A store that has stalled for this long, ms, gets no new submissions until it has given
/// one: forty times its usual answer. A slow store (240 ms) passes it too, which costs nothing,
/// since submissions of a part wait for each other anyway.
pub const HOLD_MS: u64 = 150;

/// ... and after this long it is taken to be silent, ms: longer than a transaction on a store
/// sixty times too slow (420 ms), and short against a caller's patience of 3 s.
const STALLED_MS: u64 = 600;

/// A store of which nothing was heard for this long, ms, is taken to be silent even if nothing is
/// owed. An idle instance hears of it every 500 ms and a slow answer.
const UNHEARD_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct State {
    /// When the store last served a call, local ms; 0 for never.
    heard: u64,
    /// Calls under way: when an answer could be expected at the earliest, local ms.
    owed: BTreeMap<u64, u64>,
    /// When the first call failed since one was last served, local ms.
    failing: Option<u64>,
    next: u64,
}

/// When the store was last heard of, and what it owes.
#[derive(Debug)]
pub struct Pulse {
    clock: Clock,
    state: Mutex<State>,
}

impl Pulse {
    /// A store not yet heard of.
    pub fn new(clock: Clock) -> Self {
        Self { clock, state: Mutex::default() }
    }

    /// When the store last served a call, local ms; 0 for never.
    pub fn heard(&self) -> u64 {
        self.state.lock().unwrap().heard
    }

    /// For how long the store has owed an answer, or failed calls, without serving any, ms. An
    /// answer that is lost alone does not count once later calls have been served.
    pub fn stalled_ms(&self) -> u64 {
        let now = self.clock.mono();
        let st = self.state.lock().unwrap();
        let owed = st.owed.values().copied().filter(|&due| due >= st.heard);
        let oldest = owed.chain(st.failing).min();
        oldest.map_or(0, |since| now.saturating_sub(since))
    }

    /// For how long the store has refused or failed calls without serving any, ms. Answers that are
    /// merely owed do not count.
    pub fn failing_ms(&self) -> u64 {
        let now = self.clock.mono();
        self.state.lock().unwrap().failing.map_or(0, |since| now.saturating_sub(since))
    }

    /// Whether the store is taken not to serve this process.
    pub fn silent(&self) -> bool {
        self.stalled_ms() >= STALLED_MS || self.heard() + UNHEARD_MS < self.clock.mono()
    }

    /// Notes a call that the store may hold for `wait_ms` before it answers.
    pub fn call(&self, wait_ms: u64) -> Call<'_> {
        let due = self.clock.mono() + wait_ms;
        let mut st = self.state.lock().unwrap();
        st.next += 1;
        let id = st.next;
        st.owed.insert(id, due);
        Call { pulse: self, id }
    }
}

/// A call under way; no longer owed an answer once dropped.
#[derive(Debug)]
pub struct Call<'a> {
    pulse: &'a Pulse,
    id: u64,
}

impl Call<'_> {
    /// The call ended; `served` if the store did what it was asked or said why it cannot.
    pub fn ended(self, served: bool) {
        let now = self.pulse.clock.mono();
        let mut st = self.pulse.state.lock().unwrap();
        if served {
            st.heard = now;
            st.failing = None;
        } else {
            st.failing.get_or_insert(now);
        }
    }
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        self.pulse.state.lock().unwrap().owed.remove(&self.id);
    }
}

/// A store whose calls are noted.
pub struct Watched {
    inner: Arc<dyn Store>,
    pulse: Arc<Pulse>,
}

impl Watched {
    /// Notes calls of `inner` in `pulse`.
    pub fn new(inner: Arc<dyn Store>, pulse: Arc<Pulse>) -> Self {
        Self { inner, pulse }
    }
}

/// Whether the store served a read: a history that is gone is an answer too.
fn served<T>(res: &Result<T, ReadError>) -> bool {
    matches!(res, Ok(_) | Err(ReadError::HistoryGone))
}

#[tide::utils::async_trait]
impl Store for Watched {
    async fn commit(&self, txn: &Txn, ms: u64) -> Result<Commit, CommitError> {
        let call = self.pulse.call(0);
        let res = self.inner.commit(txn, ms).await;
        call.ended(matches!(res, Ok(_) | Err(CommitError::Rejected(_))));
        res
    }

    async fn page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: Option<&str>,
        limit: usize,
    ) -> Result<Page, ReadError> {
        let call = self.pulse.call(0);
        let res = self.inner.page(table, part, from, to, limit).await;
        call.ended(served(&res));
        res
    }

    async fn changes(&self, table: &str, after: u64, wait_ms: u64) -> Result<Changes, ReadError> {
        let call = self.pulse.call(wait_ms);
        let res = self.inner.changes(table, after, wait_ms).await;
        call.ended(served(&res));
        res
    }
}
