//! The dialling side of links: an instance's link to the scheduler.

use super::{decode, encode, pump, Frame, Relay, QUEUE, SILENT_MS};
use crate::control::intake::Written;
use crate::control::mirror::Mirror;
use crate::control::model::{JobId, JobState};
use crate::control::office::Office;
use crate::control::ports::Advisor;
use crate::control::pulse::Pulse;
use crate::http;
use crate::kernel::clock::Clock;
use async_std::channel::{self, Sender};
use async_tungstenite::tungstenite::Message;
use futures::channel::oneshot;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// A link counts as working while its last frame is younger than this, ms: nearly three signs of
/// life.
const FRESH_MS: u64 = 700;

/// Wait before a link is opened again, ms.
const REOPEN_MS: u64 = 100;

/// Time between two glances at who holds the office, ms; they cost no call.
const HOLDER_MS: u64 = 50;

/// Why a call over the link has no answer.
enum NoAnswer {
    /// It was not sent.
    NotSent,
    /// It may have been carried out.
    Lost,
}

/// An instance's link to the scheduler.
pub struct Peer {
    tx: Mutex<Option<Sender<Message>>>,
    calls: Mutex<BTreeMap<u64, oneshot::Sender<Frame>>>,
    follows: AtomicBool,
    heard: AtomicU64,
    opened: AtomicU64,
    dials: AtomicU64,
    deaf: AtomicBool,
    next: AtomicU64,
    advisor: Option<Arc<dyn Advisor>>,
    mirror: Arc<Mirror>,
    office: Arc<Office>,
    pulse: Arc<Pulse>,
    clock: Clock,
}

impl Peer {
    /// A link not yet open.
    pub fn new(
        advisor: Option<Arc<dyn Advisor>>,
        mirror: Arc<Mirror>,
        office: Arc<Office>,
        pulse: Arc<Pulse>,
        clock: Clock,
    ) -> Self {
        Self {
            tx: Mutex::default(),
            calls: Mutex::default(),
            follows: AtomicBool::new(true),
            heard: AtomicU64::new(0),
            opened: AtomicU64::new(0),
            dials: AtomicU64::new(0),
            deaf: AtomicBool::new(false),
            next: AtomicU64::new(1),
            advisor,
            mirror,
            office,
            pulse,
            clock,
        }
    }

    /// Whether the scheduler was heard of lately over the link, and hears of the store itself.
    pub fn fresh(&self) -> bool {
        self.linked() && !self.deaf.load(Ordering::Relaxed)
    }

    fn linked(&self) -> bool {
        let heard = self.heard.load(Ordering::Relaxed);
        heard > 0 && heard + FRESH_MS > self.clock.mono()
    }

    /// Whether the link has worked for at least `ms`, so that what was stored before it opened
    /// has been read from the store meanwhile.
    pub fn settled(&self, ms: u64) -> bool {
        self.fresh() && self.opened.load(Ordering::Relaxed) + ms < self.clock.mono()
    }

    /// Whether the scheduler's instance says that it does not hear of the store either.
    pub fn deaf(&self) -> bool {
        self.linked() && self.deaf.load(Ordering::Relaxed)
    }

    /// Links opened so far; many in a short time mean that each breaks at once.
    pub fn dials(&self) -> u64 {
        self.dials.load(Ordering::Relaxed)
    }

    fn send(&self, frame: Frame) -> bool {
        let tx = self.tx.lock().unwrap();
        tx.as_ref().is_some_and(|tx| tx.try_send(encode(&frame)).is_ok())
    }

    /// Tells the scheduler of a job that this instance has stored. If the link is down it learns
    /// of it from the store.
    pub fn tell_job(&self, id: JobId, row: Vec<u8>) {
        self.send(Frame::Job { id, row });
    }

    /// As [`Self::tell_job`], of a cancellation.
    pub fn tell_cancel(&self, id: JobId) {
        self.send(Frame::Cancel { id });
    }

    /// Says whether this instance follows jobs itself, and is to be told of their states.
    pub fn set_follows(&self, yes: bool) {
        if self.follows.swap(yes, Ordering::Relaxed) != yes {
            self.send(Frame::Follows { yes });
        }
    }

    /// Has the scheduler's instance store something; none if there is no answer within `ms`.
    pub async fn relay(&self, relay: Relay, ms: u64) -> Option<Written> {
        match self.call(|id| Frame::Write { id, relay }, ms).await {
            Ok(Frame::Written { out, .. }) => Some(out),
            Ok(_) | Err(NoAnswer::Lost) => None,
            Err(NoAnswer::NotSent) => Some(Written::NotStored),
        }
    }

    /// How far a job has come as the scheduler's instance knows; none if it does not know the job, or
    /// there is no answer within `ms`.
    pub async fn find(&self, job: JobId, ms: u64) -> Option<JobState> {
        match self.call(|id| Frame::Find { id, job }, ms).await {
            Ok(Frame::Found { state, .. }) => state,
            _ => None,
        }
    }

    /// How many jobs of a queue wait as the scheduler's instance knows; none if it does not know all,
    /// or there is no answer within `ms`.
    pub async fn count(&self, queue: &str, ms: u64) -> Option<u64> {
        let queue = queue.to_string();
        match self.call(|id| Frame::Count { id, queue }, ms).await {
            Ok(Frame::Counted { waiting, .. }) => waiting,
            _ => None,
        }
    }

    /// Sends a frame that is answered under its number, and waits at most `ms` for that.
    async fn call(&self, frame: impl FnOnce(u64) -> Frame, ms: u64) -> Result<Frame, NoAnswer> {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (done, answer) = oneshot::channel();
        self.calls.lock().unwrap().insert(id, done);
        let out = match self.send(frame(id)) {
            true => self.clock.timeout(ms, answer).await.ok().and_then(Result::ok),
            false => {
                self.calls.lock().unwrap().remove(&id);
                return Err(NoAnswer::NotSent);
            }
        };
        self.calls.lock().unwrap().remove(&id);
        out.ok_or(NoAnswer::Lost)
    }

    /// Keeps a link to whoever holds the office, for good.
    pub async fn run(&self) {
        loop {
            match self.office.holder_links() {
                Some(addr) => self.link(addr).await,
                None => self.clock.sleep(HOLDER_MS).await,
            }
            *self.tx.lock().unwrap() = None;
            self.heard.store(0, Ordering::Relaxed);
            self.deaf.store(false, Ordering::Relaxed);
            // Writes on the way get no answer: dropping them says so.
            self.calls.lock().unwrap().clear();
        }
    }

    /// One link, until it breaks or the office changes hands. A scheduler that was replaced keeps
    /// its links open, since its process lives on; an instance that stayed with it would hear of
    /// no states, and its successor would ask everything on one line.
    async fn link(&self, addr: SocketAddr) {
        let opened = self.clock.timeout(SILENT_MS, async {
            let stream = http::connect(addr).await?;
            let shake = async_tungstenite::client_async(format!("ws://{addr}/"), stream).await;
            shake.map_err(|e| std::io::Error::other(e.to_string()))
        });
        let ws = match opened.await {
            Ok(Ok((ws, _))) => ws,
            Ok(Err(e)) => {
                // Nobody listens there: the process is gone, whatever its sign of life says.
                if e.kind() == std::io::ErrorKind::ConnectionRefused {
                    self.office.suspect(addr);
                }
                return self.clock.sleep(REOPEN_MS).await;
            }
            Err(_) => return,
        };
        let (out, mut inc) = ws.split();
        let (tx, rx) = channel::bounded(QUEUE);
        *self.tx.lock().unwrap() = Some(tx.clone());
        self.opened.store(self.clock.mono(), Ordering::Relaxed);
        self.dials.fetch_add(1, Ordering::Relaxed);
        let _ = tx.try_send(encode(&Frame::Follows { yes: self.follows.load(Ordering::Relaxed) }));
        log::info!(scheduler:% = addr; "linked to the scheduler");
        let broke = {
            let write = pump(out, rx, &self.clock, || self.sign_of_life());
            let read = async {
                let mut asks = FuturesUnordered::new();
                loop {
                    futures::select! {
                        m = self.clock.timeout(SILENT_MS, inc.next()).fuse() => match m {
                            Ok(Some(Ok(m))) => {
                                self.heard.store(self.clock.mono(), Ordering::Relaxed);
                                match (decode(&m), &self.advisor) {
                                    (Some(Frame::Ask { id, step, ids, ms }), Some(own)) => {
                                        let own = own.clone();
                                        asks.push(async move {
                                            let res = own.ask(step, &ids, ms).await;
                                            Frame::Answer { id, res }
                                        });
                                    }
                                    (Some(f), _) => self.take(f, addr),
                                    (None, _) => {}
                                }
                            }
                            _ => return,
                        },
                        done = asks.next() => if let Some(frame) = done {
                            let _ = tx.try_send(encode(&frame));
                        }
                    }
                }
            };
            let linked = futures::future::select(Box::pin(write), Box::pin(read));
            let over = futures::future::select(linked, Box::pin(self.replaced(addr))).await;
            matches!(over, futures::future::Either::Left(_))
        };
        log::info!(scheduler:% = addr, broke = broke; "link to the scheduler closed");
    }

    /// What an idle link says. The scheduler's instance learns from it whether the store is
    /// silent towards everybody or towards itself alone.
    fn sign_of_life(&self) -> Frame {
        if self.pulse.silent() {
            Frame::Deaf
        } else {
            Frame::Ping
        }
    }

    async fn replaced(&self, addr: SocketAddr) {
        while self.office.holder_links() == Some(addr) {
            self.clock.sleep(HOLDER_MS).await;
        }
    }

    fn take(&self, frame: Frame, from: SocketAddr) {
        match frame {
            Frame::States { list } => {
                for (id, version, state) in list {
                    self.mirror.put_state(id, version, state);
                }
            }
            Frame::Written { id, .. } | Frame::Found { id, .. } | Frame::Counted { id, .. } => {
                if let Some(done) = self.calls.lock().unwrap().remove(&id) {
                    let _ = done.send(frame);
                }
            }
            Frame::Holder { row, version } => {
                self.deaf.store(false, Ordering::Relaxed);
                self.office.hear(row, version);
            }
            Frame::Deaf => {
                self.deaf.store(true, Ordering::Relaxed);
                // The store serves this instance: it has turned the scheduler's away, and whoever may
                // need not wait for a silence that long.
                if !self.pulse.silent() {
                    self.office.suspect(from);
                }
            }
            _ => {}
        }
    }
}
