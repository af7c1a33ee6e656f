//! Health of the store as seen by this process, from the outcome of every call.
//!
//! A write that is sent to an unresponsive store ends with an unknown outcome. Its caller must not
//! be answered that the job never runs, and so loses a try and the time of a timeout. A failed
//! read reveals an outage only after its own timeout, and a successful read reveals the end of the
//! outage only to its caller.
//!
//! Therefore every call of any part of the process is recorded in [`StoreHealth`]: a response marks
//! the store as available at once, and an overdue response shows within [`STALL_HOLD_MS`].

use super::ports::{Changes, Commit, CommitError, Page, ReadError, Store, Txn};
use crate::kernel::clock::Clock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// After the store has stalled for this long, ms, it gets no new submissions until it has answered
/// a call: forty times its usual latency. A slow store (240 ms) exceeds it too, which costs
/// nothing, since the submissions of a partition wait for each other anyway.
pub const STALL_HOLD_MS: u64 = 150;

/// After the store has stalled for this long, ms, it is considered unavailable: longer than a
/// transaction on a store sixty times too slow (420 ms), and short against the 3 s that callers
/// wait.
const MAX_STALL_MS: u64 = 600;

/// Time without a response after which the store is considered unavailable even if no call is under
/// way, ms. An idle instance gets a response every 500 ms plus the latency of a slow store.
const NO_CONTACT_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct State {
    /// When the store last served a call, local ms; 0 for never.
    last_served: u64,
    /// Calls under way, by id: when a response is due at the earliest, local ms.
    awaited: BTreeMap<u64, u64>,
    /// Time of the first failed call since the last served one, local ms.
    failing_since: Option<u64>,
    /// Time of the first failed call since the last served one that was sent after a failure, local
    /// ms.
    refusing_since: Option<u64>,
    /// Time of the last failed call, local ms.
    last_failed: Option<u64>,
    /// Interval at which this process calls the store without other need, ms, where that is longer
    /// than usual.
    idle_ms: u64,
    next_id: u64,
}

/// Time of the last response of the store, and the calls under way.
#[derive(Debug)]
pub struct StoreHealth {
    clock: Clock,
    state: Mutex<State>,
}

impl StoreHealth {
    /// Creates the state before the first response.
    pub fn new(clock: Clock) -> Self {
        Self { clock, state: Mutex::default() }
    }

    /// When the store last served a call, local ms; 0 for never.
    pub fn last_served(&self) -> u64 {
        self.state.lock().unwrap().last_served
    }

    /// Time for which responses have been due, or calls have failed, without any call being served,
    /// ms. A single lost response does not count once later calls have been served.
    pub fn stalled_ms(&self) -> u64 {
        let now = self.clock.mono();
        let st = self.state.lock().unwrap();
        let awaited = st.awaited.values().copied().filter(|&due| due >= st.last_served);
        let earliest = awaited.chain(st.failing_since).min();
        earliest.map_or(0, |since| now.saturating_sub(since))
    }

    /// Time for which the store has refused or failed calls without serving any that was sent
    /// meanwhile, ms. A poll that the store accepted before it began to refuse calls, and answers
    /// at the end of its wait, does not show that it serves calls again. Calls without a response
    /// so far do not count.
    pub fn failing_ms(&self) -> u64 {
        let now = self.clock.mono();
        self.state.lock().unwrap().refusing_since.map_or(0, |since| now.saturating_sub(since))
    }

    /// Whether a call failed in the last `ms`, or has been without a response for longer than
    /// [`STALL_HOLD_MS`].
    pub fn failed_within(&self, ms: u64) -> bool {
        let failed = self.state.lock().unwrap().last_failed;
        let recently = failed.is_some_and(|at| at + ms > self.clock.mono());
        recently || self.stalled_ms() > STALL_HOLD_MS
    }

    /// Whether the store is considered unavailable to this process.
    pub fn unavailable(&self) -> bool {
        let idle_ms = self.state.lock().unwrap().idle_ms;
        self.stalled_ms() >= MAX_STALL_MS
            || self.last_served() + NO_CONTACT_MS + idle_ms < self.clock.mono()
    }

    /// Sets the interval at which this process calls the store without other need, ms, where that is
    /// longer than usual; 0 else.
    pub fn set_idle_ms(&self, ms: u64) {
        self.state.lock().unwrap().idle_ms = ms;
    }

    /// Records the start of a call that the store may hold for `wait_ms` before it answers.
    pub fn call(&self, wait_ms: u64) -> Call<'_> {
        let sent = self.clock.mono();
        let mut st = self.state.lock().unwrap();
        st.next_id += 1;
        let id = st.next_id;
        st.awaited.insert(id, sent + wait_ms);
        Call { store_health: self, id, sent }
    }
}

/// A call under way; dropping it removes it from the calls that await a response.
#[derive(Debug)]
pub struct Call<'a> {
    store_health: &'a StoreHealth,
    id: u64,
    /// When the call was sent, local ms.
    sent: u64,
}

impl Call<'_> {
    /// Records the end of the call; `served` if the store carried it out or rejected it
    /// permanently.
    pub fn ended(self, served: bool) {
        let now = self.store_health.clock.mono();
        let mut st = self.store_health.state.lock().unwrap();
        if served {
            st.last_served = now;
            st.failing_since = None;
            st.refusing_since = st.refusing_since.filter(|&since| self.sent < since);
        } else {
            st.failing_since.get_or_insert(now);
            st.refusing_since.get_or_insert(now);
            st.last_failed = Some(now);
        }
    }
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        self.store_health.state.lock().unwrap().awaited.remove(&self.id);
    }
}

/// A store whose calls are recorded in a [`StoreHealth`].
pub struct MonitoredStore {
    inner: Arc<dyn Store>,
    store_health: Arc<StoreHealth>,
}

impl MonitoredStore {
    /// Records the calls of `inner` in `store_health`.
    pub fn new(inner: Arc<dyn Store>, store_health: Arc<StoreHealth>) -> Self {
        Self { inner, store_health }
    }
}

/// Whether the store served a read: that changes are no longer available is a valid response, too.
fn served<T>(res: &Result<T, ReadError>) -> bool {
    matches!(res, Ok(_) | Err(ReadError::HistoryExpired))
}

#[tide::utils::async_trait]
impl Store for MonitoredStore {
    async fn commit(&self, txn: &Txn, ms: u64) -> Result<Commit, CommitError> {
        let call = self.store_health.call(0);
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
        let call = self.store_health.call(0);
        let res = self.inner.page(table, part, from, to, limit).await;
        call.ended(served(&res));
        res
    }

    async fn changes(&self, table: &str, after: u64, wait_ms: u64) -> Result<Changes, ReadError> {
        let call = self.store_health.call(wait_ms);
        let res = self.inner.changes(table, after, wait_ms).await;
        call.ended(served(&res));
        res
    }
}
