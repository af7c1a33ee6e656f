//! Routing lookups and writes to runners over pooled websocket connections.
//!
//! Each request carries a correlation id, so answers never cross. Lookups are idempotent:
//! after `hedge_ms` without an answer a second try goes to another runner, within a retry
//! budget; the first whole answer wins. Writes are not idempotent: a write is sent once, and
//! is tried elsewhere only when the runner said it did not run it (busy) or the frame never
//! left. Connections are pinged when idle and dropped when silent; runners that fail in a row
//! are ejected for a while; runners marked leaving get nothing new.

use crate::kernel::arena::Arena;
use crate::kernel::clock::{Clock, Millis};
use crate::kernel::stop::Stop;
use crate::options::{RunnerAddr, Timing};
use crate::wire::{self, Frame};
use async_std::channel;
use async_tungstenite::tungstenite::Message;
use futures::channel::oneshot;
use futures::future::{self, Either};
use futures::StreamExt;
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

/// Wait between reconnection attempts, ms (doubles up to [`RECONNECT_MAX_MS`]).
pub const RECONNECT_MS: u64 = 50;

/// Longest wait between reconnection attempts, ms.
pub const RECONNECT_MAX_MS: u64 = 2_000;

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

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteDone {
    /// Write id.
    pub write: String,
    /// Executions of this id on that runner.
    pub runs: u64,
    /// Runner that ran it.
    pub runner: String,
}

#[derive(Debug, Default, Serialize)]
struct Link {
    #[serde(skip)]
    tx: Option<channel::Sender<Frame>>,
    #[serde(skip)]
    pending: BTreeMap<u64, oneshot::Sender<Frame>>,
    connected: bool,
    leaving: bool,
    fails: u32,
    ejected_until: Millis,
    last_frame: Millis,
    drops: u64,
}

#[derive(Debug)]
struct RunnerSlot {
    addr: RunnerAddr,
    link: Mutex<Link>,
}

/// Counters of the pool.
#[derive(Debug, Default, Serialize)]
pub struct PoolCounts {
    /// Requests sent, tries included.
    pub sent: AtomicU64,
    /// Hedged second tries.
    pub hedged: AtomicU64,
    /// Connections dropped because they went silent.
    pub silent_drops: AtomicU64,
    /// Retry tokens, in hundredths.
    pub tokens: AtomicU64,
}

/// Connections to every runner of the cell.
pub struct Pool {
    runners: Arena<RunnerKey, RunnerSlot>,
    domain: String,
    timing: Timing,
    clock: Clock,
    next_id: AtomicU64,
    /// Counters.
    pub counts: PoolCounts,
}

/// Most retry tokens saved up, in hundredths.
const MAX_TOKENS: u64 = 1000;

impl Pool {
    /// A pool of `runners`; call [`Pool::run`] to connect.
    pub fn new(runners: &[RunnerAddr], domain: &str, timing: Timing, clock: Clock) -> Arc<Self> {
        let mut arena = Arena::default();
        for r in runners {
            arena.push(RunnerSlot { addr: r.clone(), link: Mutex::new(Link::default()) });
        }
        Arc::new(Self {
            runners: arena,
            domain: domain.to_string(),
            timing,
            clock,
            next_id: AtomicU64::new(1),
            counts: PoolCounts { tokens: AtomicU64::new(MAX_TOKENS / 2), ..PoolCounts::default() },
        })
    }

    /// Marks the runners named in `leaving` as leaving and the others as not.
    pub fn set_leaving(&self, leaving: &BTreeSet<String>) {
        for (_, r) in self.runners.iter() {
            let now = leaving.contains(&r.addr.id);
            let mut l = r.link.lock().unwrap();
            if l.leaving != now {
                log::info!("runner {} leaving={now}", r.addr.id);
            }
            l.leaving = now;
        }
    }

    /// Picks a runner for a new request: connected, not leaving, not ejected, not in `skip`;
    /// own failure domain first, then fewest requests in flight.
    fn pick(&self, skip: &[RunnerKey]) -> Option<RunnerKey> {
        let now = self.clock.now();
        self.runners
            .iter()
            .filter(|(k, _)| !skip.contains(k))
            .filter_map(|(k, r)| {
                let l = r.link.lock().unwrap();
                let ok = l.connected && !l.leaving && l.ejected_until <= now;
                ok.then(|| ((r.addr.domain != self.domain, l.pending.len()), k))
            })
            .min()
            .map(|(_, k)| k)
    }

    fn note(&self, k: RunnerKey, ok: bool) {
        let r = self.runners.get(k);
        let mut l = r.link.lock().unwrap();
        if ok {
            l.fails = 0;
            return;
        }
        l.fails += 1;
        if l.fails >= EJECT_AFTER && l.ejected_until <= self.clock.now() {
            // Outlier ejection: a runner that keeps failing is noticed by failures in a row and
            // gets nothing for a while, so that one bad backend does not eat every deadline.
            l.ejected_until = self.clock.now() + EJECT_MS;
            log::warn!("runner {} ejected for {EJECT_MS} ms", r.addr.id);
            metrics::counter!("entry_runner_ejections").increment(1);
        }
    }

    /// Sends `frame` (with a fresh id) to runner `k`; the receiver gets the answer.
    fn send(
        &self,
        k: RunnerKey,
        make: impl FnOnce(u64) -> Frame,
    ) -> Option<(u64, oneshot::Receiver<Frame>)> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        let r = self.runners.get(k);
        let mut l = r.link.lock().unwrap();
        let link = l.tx.clone()?;
        link.try_send(make(id)).ok()?;
        l.pending.insert(id, tx);
        self.counts.sent.fetch_add(1, Ordering::Relaxed);
        Some((id, rx))
    }

    fn forget(&self, k: RunnerKey, id: u64) {
        self.runners.get(k).link.lock().unwrap().pending.remove(&id);
    }

    fn take_token(&self) -> bool {
        self.counts
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |t| t.checked_sub(100))
            .is_ok()
    }

    fn earn_token(&self) {
        let _ = self.counts.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |t| {
            Some((t + self.timing.retry_pct).min(MAX_TOKENS))
        });
    }

    fn retry_after(&self) -> u64 {
        self.timing.hedge_ms.max(100)
    }

    /// Looks `key` up on some runner, hedging once within the retry budget.
    pub async fn lookup(&self, key: &str) -> Result<Answer, RouteError> {
        self.earn_token();
        let deadline = self.clock.now() + self.timing.lookup_ms;
        let mut tried = Vec::new();
        let mut flights: Vec<(RunnerKey, u64, oneshot::Receiver<Frame>)> = Vec::new();
        loop {
            let now = self.clock.now();
            if now >= deadline {
                break;
            }
            if flights.is_empty() || (flights.len() == 1 && tried.len() < 2 && self.take_token()) {
                if let Some(k) = self.pick(&tried) {
                    tried.push(k);
                    if let Some((id, rx)) =
                        self.send(k, |id| Frame::Lookup { id, key: key.to_string() })
                    {
                        if !flights.is_empty() {
                            self.counts.hedged.fetch_add(1, Ordering::Relaxed);
                        }
                        flights.push((k, id, rx));
                    }
                } else if flights.is_empty() {
                    return Err(RouteError::NoRunner { retry_ms: self.retry_after() });
                }
            }
            if flights.is_empty() {
                continue;
            }
            let wait = if flights.len() == 1 { self.timing.hedge_ms } else { deadline - now };
            let wait = wait.min(deadline - now);
            let rxs = flights.iter_mut().map(|(_, _, rx)| rx).collect::<Vec<_>>();
            match self.clock.timeout(wait, future::select_all(rxs)).await {
                Err(_) => continue,
                Ok((res, i, _)) => {
                    let (k, id, _) = flights.remove(i);
                    self.forget(k, id);
                    match res {
                        Ok(Frame::Answer { key: got, value, .. }) if got == key => {
                            self.note(k, true);
                            flights.iter().for_each(|(k, id, _)| self.forget(*k, *id));
                            let runner = self.runners.get(k).addr.id.clone();
                            return Ok(Answer { key: got, value, runner });
                        }
                        Ok(Frame::Busy { .. }) => {}
                        _ => self.note(k, false),
                    }
                }
            }
        }
        flights.iter().for_each(|(k, id, _)| {
            self.forget(*k, *id);
            self.note(*k, false);
        });
        Err(RouteError::Timeout(self.timing.lookup_ms))
    }

    /// Runs write `write` once on some runner. Tried elsewhere only when a runner answered
    /// busy (it did not run it) or the frame could not be handed to a connection.
    pub async fn write(&self, write: &str, body: &str) -> Result<WriteDone, RouteError> {
        let deadline = self.clock.now() + self.timing.write_ms;
        let mut tried = Vec::new();
        let mut busy_ms = None;
        while self.clock.now() < deadline {
            let Some(k) = self.pick(&tried) else { break };
            tried.push(k);
            let make = |id| Frame::Write { id, write: write.to_string(), body: body.to_string() };
            let Some((id, rx)) = self.send(k, make) else { continue };
            let left = deadline.saturating_sub(self.clock.now());
            let got = self.clock.timeout(left, rx).await;
            self.forget(k, id);
            match got {
                Ok(Ok(Frame::Done { write: w, runs, .. })) if w == write => {
                    self.note(k, true);
                    let runner = self.runners.get(k).addr.id.clone();
                    return Ok(WriteDone { write: w, runs, runner });
                }
                Ok(Ok(Frame::Busy { retry_ms, .. })) => busy_ms = Some(retry_ms),
                // Sent, and no answer: it may have run. Not retried: a write runs at most once.
                _ => {
                    self.note(k, false);
                    return Err(RouteError::Timeout(self.timing.write_ms));
                }
            }
        }
        Err(match busy_ms {
            Some(retry_ms) => RouteError::Busy { retry_ms },
            None => RouteError::NoRunner { retry_ms: self.retry_after() },
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

    async fn keep(self: Arc<Self>, k: RunnerKey, stop: Stop) {
        let mut backoff = RECONNECT_MS;
        while !stop.fired() {
            let addr = self.runners.get(k).addr.listen;
            let conn = self.clock.timeout(self.timing.idle_ms, async {
                let tcp = async_std::net::TcpStream::connect(addr).await.ok()?;
                async_tungstenite::client_async(format!("ws://{addr}/"), tcp).await.ok()
            });
            match conn.await {
                Ok(Some((ws, _))) => {
                    backoff = RECONNECT_MS;
                    self.serve_link(k, ws, &stop).await;
                }
                _ => {
                    let nap = std::pin::pin!(self.clock.sleep(backoff));
                    let halt = std::pin::pin!(stop.wait());
                    future::select(nap, halt).await;
                    backoff = (backoff * 2).min(RECONNECT_MAX_MS);
                }
            }
        }
    }

    async fn serve_link<S>(
        &self,
        k: RunnerKey,
        ws: async_tungstenite::WebSocketStream<S>,
        stop: &Stop,
    ) where
        S: futures::AsyncRead + futures::AsyncWrite + Unpin + Send + 'static,
    {
        let (mut sink, mut source) = ws.split();
        let (tx, rx) = channel::bounded::<Frame>(1024);
        {
            let mut l = self.runners.get(k).link.lock().unwrap();
            l.tx = Some(tx.clone());
            l.connected = true;
            l.last_frame = self.clock.now();
        }
        let writer = async_std::task::spawn(async move {
            while let Ok(f) = rx.recv().await {
                if sink.send(Message::binary(wire::encode(f))).await.is_err() {
                    break;
                }
            }
            let _ = sink.close(None).await;
        });
        let mut nonce = 0;
        loop {
            let read = std::pin::pin!(self.clock.timeout(self.timing.ping_ms, source.next()));
            let halt = std::pin::pin!(stop.wait());
            let next = match future::select(read, halt).await {
                Either::Left((r, _)) => r,
                Either::Right(_) => break,
            };
            let now = self.clock.now();
            match next {
                Err(_) => {
                    let last = self.runners.get(k).link.lock().unwrap().last_frame;
                    if now.saturating_sub(last) >= self.timing.idle_ms {
                        // A connection that stays open but carries nothing: something between
                        // the ends lost track of it. Noticed by unanswered pings past idle_ms;
                        // dropped so that requests go over a fresh connection.
                        self.counts.silent_drops.fetch_add(1, Ordering::Relaxed);
                        log::warn!(
                            "runner {} connection silent, dropped",
                            self.runners.get(k).addr.id
                        );
                        break;
                    }
                    nonce += 1;
                    let _ = tx.try_send(Frame::Ping { nonce });
                }
                Ok(None) | Ok(Some(Err(_))) => break,
                Ok(Some(Ok(Message::Binary(bytes)))) => {
                    let Ok(frame) = wire::decode(&bytes) else {
                        metrics::counter!("entry_bad_frames").increment(1);
                        continue;
                    };
                    let mut l = self.runners.get(k).link.lock().unwrap();
                    l.last_frame = now;
                    let id = match &frame {
                        Frame::Answer { id, .. }
                        | Frame::Done { id, .. }
                        | Frame::Busy { id, .. } => *id,
                        _ => continue,
                    };
                    if let Some(waiter) = l.pending.remove(&id) {
                        let _ = waiter.send(frame);
                    }
                }
                Ok(Some(Ok(_))) => {}
            }
        }
        {
            let mut l = self.runners.get(k).link.lock().unwrap();
            l.tx = None;
            l.connected = false;
            l.drops += 1;
            // Waiters of this connection learn at once that no answer will come.
            l.pending.clear();
        }
        drop(tx);
        writer.await;
    }

    /// State of every link, for the dump.
    pub fn dump(&self) -> serde_json::Value {
        let links: BTreeMap<String, serde_json::Value> = self
            .runners
            .iter()
            .map(|(_, r)| {
                let l = r.link.lock().unwrap();
                let v = serde_json::json!({
                    "connected": l.connected, "leaving": l.leaving, "fails": l.fails,
                    "ejected_until": l.ejected_until, "in_flight": l.pending.len(), "drops": l.drops,
                });
                (r.addr.id.clone(), v)
            })
            .collect();
        serde_json::json!({ "links": links, "counts": self.counts })
    }
}
