//! Routes lookups and writes to runners over pooled WebSocket connections.
//!
//! A correlation id in each request matches answers to requests. Lookups are idempotent: after
//! `hedge_ms` without an answer, or at once after a refusal, another runner is tried within a
//! retry budget, and the first matching answer is used. Writes are not idempotent; see
//! [`crate::entry::writes`].
//!
//! Runners with [`EJECT_AFTER`] consecutive failures are ejected for [`EJECT_MS`]. Runners that are
//! leaving, or that have [`MAX_IN_FLIGHT`] requests in flight, get no new requests.

mod budget;
mod link;

use crate::kernel::arena::Arena;
use crate::kernel::clock::Clock;
use crate::kernel::stop::Stop;
use crate::options::{RunnerSpec, Timing};
use crate::wire::Frame;
use futures::channel::oneshot;
use futures::future;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

crate::arena_key!(
    /// A runner in the pool.
    RunnerKey
);

/// Consecutive failures after which a runner is ejected.
pub const EJECT_AFTER: u32 = 3;

/// Time for which an ejected runner gets no requests, ms.
pub const EJECT_MS: u64 = 5_000;

/// Most requests in flight from one entry instance to one runner. Further requests would only wait
/// in the runner's queue, so they are refused at once.
pub const MAX_IN_FLIGHT: usize = 256;

/// Shortest retry delay sent to a refused caller, ms.
const MIN_RETRY_MS: u64 = 100;

/// Reason why a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No runner is available now; the caller may retry after `retry_ms`.
    #[error("no runner available, retry in {retry_ms} ms")]
    NoRunner {
        /// Delay before a retry, ms.
        retry_ms: u64,
    },
    /// No answer within the deadline, in ms. The outcome of a write is unknown then.
    #[error("no answer within {0} ms")]
    Timeout(u64),
    /// The runner refused the request because it is busy or stopping; nothing was executed.
    #[error("runner busy, retry in {retry_ms} ms")]
    Busy {
        /// Delay before a retry, ms.
        retry_ms: u64,
    },
}

/// Answer to a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Key of the lookup.
    pub key: String,
    /// Value of the key.
    pub value: String,
    /// Id of the runner that answered.
    pub runner: String,
}

/// Counters of the pool.
#[derive(Debug, Default, Serialize)]
pub struct PoolCounts {
    /// Requests sent to runners, including retries.
    pub sent: AtomicU64,
    /// Second and later attempts of lookups.
    pub hedged: AtomicU64,
    /// Connections closed because no frame arrived for `idle_ms`.
    #[serde(rename = "silent")]
    pub unresponsive: AtomicU64,
    /// Bytes of frames received.
    pub received: AtomicU64,
}

/// Connections to all runners of the cell.
pub struct Pool {
    runners: Arena<RunnerKey, link::PooledRunner>,
    domain: String,
    timing: Timing,
    clock: Clock,
    next_id: AtomicU64,
    budget: budget::Budget,
    /// Counters since the process started.
    pub counts: PoolCounts,
}

/// A request in flight: runner, correlation id and receiver of the answer.
type InFlight = (RunnerKey, u64, oneshot::Receiver<Frame>);

impl Pool {
    /// Creates a pool of `runners`, which [`Pool::run`] connects.
    pub fn new(runners: &[RunnerSpec], domain: &str, timing: Timing, clock: Clock) -> Arc<Self> {
        let mut arena = Arena::default();
        for r in runners {
            arena.push(link::PooledRunner { addr: r.clone(), link: Mutex::default() });
        }
        Arc::new(Self {
            runners: arena,
            domain: domain.to_string(),
            budget: budget::Budget::new(timing.retry_pct),
            timing,
            clock,
            next_id: AtomicU64::new(1),
            counts: PoolCounts::default(),
        })
    }

    /// Keeps one connection to each runner until `stop`, and returns once all of them have ended.
    pub async fn run(self: Arc<Self>, stop: Stop) {
        let tasks: Vec<_> = self
            .runners
            .iter()
            .map(|(k, _)| async_std::task::spawn(self.clone().keep_connected(k, stop.clone())))
            .collect();
        future::join_all(tasks).await;
    }

    /// Marks the runners named in `leaving` as leaving and all others as not leaving.
    pub fn set_leaving(&self, leaving: &BTreeSet<String>) {
        for (_, r) in self.runners.iter() {
            let listed = leaving.contains(&r.addr.id);
            let mut l = r.link.lock().unwrap();
            if l.listed_leaving != listed {
                log::info!("runner {} leaving={listed}", r.addr.id);
            }
            l.listed_leaving = listed;
        }
    }

    /// Picks a runner for a new request: one that accepts requests, has fewer than
    /// [`MAX_IN_FLIGHT`] in flight and is not in `skip`. Runners of the own failure domain are
    /// preferred, then those with the fewest requests in flight.
    pub fn pick(&self, skip: &[RunnerKey]) -> Option<RunnerKey> {
        let now = self.clock.now();
        let rank = |k: RunnerKey, r: &link::PooledRunner| {
            let l = r.link.lock().unwrap();
            let ok = l.accepts_requests(now) && l.pending.len() < MAX_IN_FLIGHT;
            ok.then(|| ((r.addr.domain != self.domain, l.pending.len()), k))
        };
        self.runners
            .iter()
            .filter(|(k, _)| !skip.contains(k))
            .filter_map(|(k, r)| rank(k, r))
            .min()
            .map(|(_, k)| k)
    }

    /// Returns the id and incarnation of runner `k`; none while it is not connected.
    pub fn identity(&self, k: RunnerKey) -> Option<(String, u64)> {
        let r = self.runners.get(k);
        let incarnation = r.link.lock().unwrap().incarnation?;
        Some((r.addr.id.clone(), incarnation))
    }

    /// Returns the connected runner `id` if it still has this `incarnation`.
    pub fn find(&self, id: &str, incarnation: u64) -> Option<RunnerKey> {
        let matches = |r: &link::PooledRunner| {
            r.addr.id == id && r.link.lock().unwrap().incarnation == Some(incarnation)
        };
        self.runners.iter().find(|(_, r)| matches(r)).map(|(k, _)| k)
    }

    /// Records whether a request to `k` succeeded, and ejects the runner after [`EJECT_AFTER`]
    /// consecutive failures.
    pub fn record_result(&self, k: RunnerKey, ok: bool) {
        let r = self.runners.get(k);
        let mut l = r.link.lock().unwrap();
        if ok {
            l.fails = 0;
            return;
        }
        l.fails += 1;
        if l.fails >= EJECT_AFTER && l.ejected_until <= self.clock.now() {
            // Outlier ejection: a failing runner gets no requests for a limited time, so that
            // requests do not spend their deadlines on it.
            l.ejected_until = self.clock.now() + EJECT_MS;
            log::warn!("runner {} ejected for {EJECT_MS} ms", r.addr.id);
            metrics::counter!("entry_runner_ejections").increment(1);
        }
    }

    /// Sends to runner `k` the frame that `make` returns for a new correlation id. Returns none if
    /// nothing was sent: the runner is not connected, its queue is full, or it has another
    /// incarnation than the given one.
    fn send(
        &self,
        k: RunnerKey,
        incarnation: Option<u64>,
        make: impl FnOnce(u64) -> Frame,
    ) -> Option<InFlight> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        let mut l = self.runners.get(k).link.lock().unwrap();
        if incarnation.is_some() && l.incarnation != incarnation {
            return None;
        }
        let queue = l.tx.clone()?;
        queue.try_send(make(id)).ok()?;
        l.pending.insert(id, tx);
        self.counts.sent.fetch_add(1, Ordering::Relaxed);
        Some((k, id, rx))
    }

    /// Removes a request from the list of those that wait for an answer.
    fn drop_request(&self, k: RunnerKey, id: u64) {
        self.runners.get(k).link.lock().unwrap().pending.remove(&id);
    }

    /// Sends one frame to this incarnation of runner `k` and waits up to `ms` for its answer.
    /// [`RouteError::NoRunner`] means that nothing was sent.
    pub async fn exchange(
        &self,
        k: RunnerKey,
        incarnation: u64,
        ms: u64,
        make: impl FnOnce(u64) -> Frame,
    ) -> Result<Frame, RouteError> {
        let no_runner = RouteError::NoRunner { retry_ms: self.retry_ms() };
        let (k, id, rx) = self.send(k, Some(incarnation), make).ok_or(no_runner)?;
        let reply = self.clock.timeout(ms, rx).await;
        self.drop_request(k, id);
        match reply {
            Ok(Ok(frame)) => Ok(frame),
            Ok(Err(_)) | Err(_) => Err(RouteError::Timeout(ms)),
        }
    }

    /// Retry delay for a refused caller, ms.
    pub fn retry_ms(&self) -> u64 {
        self.timing.hedge_ms.max(MIN_RETRY_MS)
    }

    /// Looks up `key` on a runner, with retries on other runners within the retry budget.
    pub async fn lookup(&self, key: &str) -> Result<Answer, RouteError> {
        self.budget.earn();
        let deadline = self.clock.now() + self.timing.lookup_ms;
        let mut tried: Vec<RunnerKey> = Vec::new();
        let mut in_flight: Vec<InFlight> = Vec::new();
        let mut busy_error = None;
        let mut free_retry = false;
        let out = loop {
            let now = self.clock.now();
            if now >= deadline {
                break Err(RouteError::Timeout(self.timing.lookup_ms));
            }
            if in_flight.len() < 2 {
                in_flight.extend(self.try_next(key, &mut tried, free_retry));
                free_retry = false;
            }
            if in_flight.is_empty() {
                // No request is in flight, and no runner or no retry is left.
                let retry_ms = self.retry_ms();
                break Err(busy_error.unwrap_or(RouteError::NoRunner { retry_ms }));
            }
            let remaining = deadline - now;
            let wait =
                if in_flight.len() == 1 { remaining.min(self.timing.hedge_ms) } else { remaining };
            let rxs = in_flight.iter_mut().map(|(_, _, rx)| rx).collect::<Vec<_>>();
            let Ok((res, i, _)) = self.clock.timeout(wait, future::select_all(rxs)).await else {
                continue;
            };
            let (k, id, _) = in_flight.remove(i);
            self.drop_request(k, id);
            match res {
                Ok(Frame::Answer { key: answered, value, .. }) if answered == key => {
                    self.record_result(k, true);
                    let runner = self.runners.get(k).addr.id.clone();
                    break Ok(Answer { key: answered, value, runner });
                }
                Ok(Frame::Busy { retry_ms, .. }) => {
                    busy_error = Some(RouteError::Busy { retry_ms });
                    // A leaving runner refuses only requests that were sent before its notice
                    // arrived. A retry elsewhere adds no load, so it does not use the budget.
                    free_retry = self.runners.get(k).link.lock().unwrap().announced_leaving;
                }
                _ => self.record_result(k, false),
            }
        };
        for (k, id, _) in in_flight {
            self.drop_request(k, id);
            if out.is_err() {
                self.record_result(k, false);
            }
        }
        out
    }

    /// Sends the lookup to a runner not tried yet. Every attempt after the first takes a retry from
    /// the budget, unless `free_retry` is set.
    fn try_next(
        &self,
        key: &str,
        tried: &mut Vec<RunnerKey>,
        free_retry: bool,
    ) -> Option<InFlight> {
        let k = self.pick(tried)?;
        if !tried.is_empty() {
            if !free_retry && !self.budget.try_take() {
                return None;
            }
            self.counts.hedged.fetch_add(1, Ordering::Relaxed);
        }
        tried.push(k);
        self.send(k, None, |id| Frame::Lookup { id, key: key.to_string() })
    }

    /// Returns the state of all connections, for the state dump.
    pub fn dump(&self) -> serde_json::Value {
        let links: BTreeMap<String, serde_json::Value> = self
            .runners
            .iter()
            .map(|(_, r)| {
                let l = r.link.lock().unwrap();
                let v = serde_json::json!({
                    "connected": l.incarnation.is_some(), "incarnation": l.incarnation,
                    "leaving": l.listed_leaving || l.announced_leaving,
                    "fails": l.fails, "ejected": l.ejected_until,
                    "in_flight": l.pending.len(), "drops": l.drops,
                });
                (r.addr.id.clone(), v)
            })
            .collect();
        serde_json::json!({ "links": links, "budget": self.budget, "counts": self.counts })
    }
}
