//! Routing lookups and writes to runners over pooled websocket connections.
//!
//! Each request carries a correlation id, so answers never cross. Lookups are idempotent:
//! after `hedge_ms` without an answer, or at once after a refusal, another runner is tried
//! within a retry budget; the first whole answer wins. Writes are not idempotent; see
//! [`crate::entry::writes`]. Runners that fail in a row are ejected for a while; runners that
//! are leaving get nothing new; a runner with too much in flight gets no more.

mod budget;
mod link;

use crate::kernel::arena::Arena;
use crate::kernel::clock::Clock;
use crate::kernel::stop::Stop;
use crate::options::{RunnerAddr, Timing};
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

/// Failures in a row after which a runner is ejected.
pub const EJECT_AFTER: u32 = 3;

/// How long an ejected runner gets nothing, ms.
pub const EJECT_MS: u64 = 5_000;

/// Requests in flight to one runner from one entry above which it gets no more: past this they
/// would only wait in its queue, and are better refused at once.
pub const MAX_IN_FLIGHT: usize = 256;

/// Shortest wait that a refused caller is asked for, ms.
const RETRY_MS: u64 = 100;

/// Why a request got no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No runner can take it now; come back after `retry_ms`.
    #[error("no runner available, retry in {retry_ms} ms")]
    NoRunner {
        /// When to come back.
        retry_ms: u64,
    },
    /// No answer within the deadline. For a write the outcome is unknown.
    #[error("no answer within {0} ms")]
    Timeout(u64),
    /// The runner refused (busy or stopping); nothing ran.
    #[error("runner busy, retry in {retry_ms} ms")]
    Busy {
        /// When to come back.
        retry_ms: u64,
    },
}

/// A whole answer to a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The key asked for.
    pub key: String,
    /// Its value.
    pub value: String,
    /// Runner that answered.
    pub runner: String,
}

/// Counters of the pool.
#[derive(Debug, Default, Serialize)]
pub struct PoolCounts {
    /// Requests sent, tries included.
    pub sent: AtomicU64,
    /// Second and later tries of lookups.
    pub hedged: AtomicU64,
    /// Connections dropped because they went silent.
    pub silent: AtomicU64,
    /// Bytes of frames received.
    pub received: AtomicU64,
}

/// Connections to every runner of the cell.
pub struct Pool {
    runners: Arena<RunnerKey, link::Slot>,
    domain: String,
    timing: Timing,
    clock: Clock,
    next: AtomicU64,
    budget: budget::Budget,
    /// Counters.
    pub counts: PoolCounts,
}

/// A request on its way: runner, correlation id, where its answer will come.
type Flight = (RunnerKey, u64, oneshot::Receiver<Frame>);

impl Pool {
    /// A pool of `runners`; call [`Pool::run`] to connect.
    pub fn new(runners: &[RunnerAddr], domain: &str, timing: Timing, clock: Clock) -> Arc<Self> {
        let mut arena = Arena::default();
        for r in runners {
            arena.push(link::Slot { addr: r.clone(), link: Mutex::default() });
        }
        Arc::new(Self {
            runners: arena,
            domain: domain.to_string(),
            budget: budget::Budget::new(timing.retry_pct),
            timing,
            clock,
            next: AtomicU64::new(1),
            counts: PoolCounts::default(),
        })
    }

    /// Keeps one connection to every runner until `stop`; the parent joins each link task.
    pub async fn run(self: Arc<Self>, stop: Stop) {
        let tasks: Vec<_> = self
            .runners
            .iter()
            .map(|(k, _)| async_std::task::spawn(self.clone().keep(k, stop.clone())))
            .collect();
        future::join_all(tasks).await;
    }

    /// Marks the runners named in `leaving` as leaving and the others as not.
    pub fn set_leaving(&self, leaving: &BTreeSet<String>) {
        for (_, r) in self.runners.iter() {
            let now = leaving.contains(&r.addr.id);
            let mut l = r.link.lock().unwrap();
            if l.listed != now {
                log::info!("runner {} leaving={now}", r.addr.id);
            }
            l.listed = now;
        }
    }

    /// Picks a runner for a new request: open, not saturated, not in `skip`; own failure domain
    /// first, then fewest requests in flight.
    pub fn pick(&self, skip: &[RunnerKey]) -> Option<RunnerKey> {
        let now = self.clock.now();
        let rank = |k: RunnerKey, r: &link::Slot| {
            let l = r.link.lock().unwrap();
            let ok = l.open(now) && l.pending.len() < MAX_IN_FLIGHT;
            ok.then(|| ((r.addr.domain != self.domain, l.pending.len()), k))
        };
        self.runners
            .iter()
            .filter(|(k, _)| !skip.contains(k))
            .filter_map(|(k, r)| rank(k, r))
            .min()
            .map(|(_, k)| k)
    }

    /// Name and incarnation of runner `k`, while connected.
    pub fn identity(&self, k: RunnerKey) -> Option<(String, u64)> {
        let r = self.runners.get(k);
        let incarnation = r.link.lock().unwrap().incarnation?;
        Some((r.addr.id.clone(), incarnation))
    }

    /// The connected runner named `id`, if it still lives under `incarnation`.
    pub fn find(&self, id: &str, incarnation: u64) -> Option<RunnerKey> {
        let lives = |r: &link::Slot| {
            r.addr.id == id && r.link.lock().unwrap().incarnation == Some(incarnation)
        };
        self.runners.iter().find(|(_, r)| lives(r)).map(|(k, _)| k)
    }

    /// Notes how a request to `k` went.
    pub fn note(&self, k: RunnerKey, ok: bool) {
        let r = self.runners.get(k);
        let mut l = r.link.lock().unwrap();
        if ok {
            l.fails = 0;
            return;
        }
        l.fails += 1;
        if l.fails >= EJECT_AFTER && l.ejected <= self.clock.now() {
            // Outlier ejection: a runner that keeps failing is noticed by failures in a row and
            // gets nothing for a while, so that one bad backend does not eat every deadline.
            l.ejected = self.clock.now() + EJECT_MS;
            log::warn!("runner {} ejected for {EJECT_MS} ms", r.addr.id);
            metrics::counter!("entry_runner_ejections").increment(1);
        }
    }

    /// Sends a frame (made with a fresh id) to runner `k`, if it still lives under
    /// `incarnation` where one is given.
    fn send(
        &self,
        k: RunnerKey,
        incarnation: Option<u64>,
        make: impl FnOnce(u64) -> Frame,
    ) -> Option<Flight> {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        let mut l = self.runners.get(k).link.lock().unwrap();
        if incarnation.is_some() && l.incarnation != incarnation {
            return None;
        }
        let link = l.tx.clone()?;
        link.try_send(make(id)).ok()?;
        l.pending.insert(id, tx);
        self.counts.sent.fetch_add(1, Ordering::Relaxed);
        Some((k, id, rx))
    }

    fn forget(&self, k: RunnerKey, id: u64) {
        self.runners.get(k).link.lock().unwrap().pending.remove(&id);
    }

    /// Sends one frame to this life of runner `k` and waits up to `ms` for its answer.
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
        let got = self.clock.timeout(ms, rx).await;
        self.forget(k, id);
        match got {
            Ok(Ok(frame)) => Ok(frame),
            Ok(Err(_)) | Err(_) => Err(RouteError::Timeout(ms)),
        }
    }

    /// When a refused caller should come back, ms.
    pub fn retry_ms(&self) -> u64 {
        self.timing.hedge_ms.max(RETRY_MS)
    }

    /// Looks `key` up on some runner, trying others within the retry budget.
    pub async fn lookup(&self, key: &str) -> Result<Answer, RouteError> {
        self.budget.earn();
        let deadline = self.clock.now() + self.timing.lookup_ms;
        let mut tried: Vec<RunnerKey> = Vec::new();
        let mut flights: Vec<Flight> = Vec::new();
        let mut busy = None;
        let mut free = false;
        let out = loop {
            let now = self.clock.now();
            if now >= deadline {
                break Err(RouteError::Timeout(self.timing.lookup_ms));
            }
            if flights.len() < 2 {
                flights.extend(self.try_next(key, &mut tried, free));
                free = false;
            }
            if flights.is_empty() {
                // Given up: nothing is on its way, and no runner or no retry is left.
                let retry_ms = self.retry_ms();
                break Err(busy.unwrap_or(RouteError::NoRunner { retry_ms }));
            }
            let left = deadline - now;
            let wait = if flights.len() == 1 { left.min(self.timing.hedge_ms) } else { left };
            let rxs = flights.iter_mut().map(|(_, _, rx)| rx).collect::<Vec<_>>();
            let Ok((res, i, _)) = self.clock.timeout(wait, future::select_all(rxs)).await else {
                continue;
            };
            let (k, id, _) = flights.remove(i);
            self.forget(k, id);
            match res {
                Ok(Frame::Answer { key: got, value, .. }) if got == key => {
                    self.note(k, true);
                    let runner = self.runners.get(k).addr.id.clone();
                    break Ok(Answer { key: got, value, runner });
                }
                Ok(Frame::Busy { retry_ms, .. }) => {
                    busy = Some(RouteError::Busy { retry_ms });
                    // A runner that is leaving refuses only what crossed its notice on the way:
                    // trying elsewhere adds no load, so it costs no retry.
                    free = self.runners.get(k).link.lock().unwrap().said;
                }
                _ => self.note(k, false),
            }
        };
        for (k, id, _) in flights {
            self.forget(k, id);
            if out.is_err() {
                self.note(k, false);
            }
        }
        out
    }

    /// Sends the lookup to a runner not tried yet; every try after the first costs a retry,
    /// unless it is free.
    fn try_next(&self, key: &str, tried: &mut Vec<RunnerKey>, free: bool) -> Option<Flight> {
        let k = self.pick(tried)?;
        if !tried.is_empty() {
            if !free && !self.budget.take() {
                return None;
            }
            self.counts.hedged.fetch_add(1, Ordering::Relaxed);
        }
        tried.push(k);
        self.send(k, None, |id| Frame::Lookup { id, key: key.to_string() })
    }

    /// State of every link, for the dump.
    pub fn dump(&self) -> serde_json::Value {
        let links: BTreeMap<String, serde_json::Value> = self
            .runners
            .iter()
            .map(|(_, r)| {
                let l = r.link.lock().unwrap();
                let v = serde_json::json!({
                    "connected": l.incarnation.is_some(), "incarnation": l.incarnation,
                    "leaving": l.listed || l.said, "fails": l.fails, "ejected": l.ejected,
                    "in_flight": l.pending.len(), "drops": l.drops,
                });
                (r.addr.id.clone(), v)
            })
            .collect();
        serde_json::json!({ "links": links, "budget": self.budget, "counts": self.counts })
    }
}
