//! Client side of links: an instance's link to the leader.

use super::{
    admission, decode, encode, websocket, write_frames, Candidate, EncodedFrame, Frame, Relay,
    LEADER_BYTES, LINK_TIMEOUT_MS, QUEUED_FRAMES,
};
use crate::control::access::Caller;
use crate::control::admission::AdmissionView;
use crate::control::election::Election;
use crate::control::mirror::{self, Mirror};
use crate::control::model::{JobId, JobState};
use crate::control::ports::Advisor;
use crate::control::store_health::StoreHealth;
use crate::control::submissions::WriteOutcome;
use crate::http;
use crate::kernel::clock::Clock;
use crate::kernel::traffic::Traffic;
use async_std::channel::{self, Receiver, Sender};
use futures::channel::oneshot;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// A link counts as alive while its last frame is younger than this, ms: nearly three heartbeat
/// intervals.
const FRESH_MS: u64 = 700;

/// Timeout of a request for the leader's catalogue, ms: covers the transfer of a large one over a
/// small link.
const CONFIG_TIMEOUT_MS: u64 = 1_000;

/// Delay before a link is opened again, ms.
const RECONNECT_MS: u64 = 100;

/// Interval between two checks which instance is the leader, ms; they make no calls.
const LEADER_CHECK_MS: u64 = 50;

/// Why a call over the link failed.
enum CallError {
    /// It was not sent.
    NotSent,
    /// It got no answer, and may have been executed.
    NoResponse,
}

/// An instance's link to the leader.
pub struct LinkClient {
    tx: Mutex<Option<Sender<EncodedFrame>>>,
    calls: Mutex<BTreeMap<u64, oneshot::Sender<Frame>>>,
    follows: AtomicBool,
    /// Whether this instance could become leader at once.
    able: AtomicBool,
    /// When the last frame was received, local ms; 0 if the link is closed.
    last_frame: AtomicU64,
    /// When the link was opened, local ms.
    opened: AtomicU64,
    open_count: AtomicU64,
    /// The leader reports that it cannot reach the store.
    store_unreachable: AtomicBool,
    /// Version of the catalogue that the leader has last announced.
    announced: AtomicU64,
    /// Wakes who waits for a newer catalogue.
    wakeup: (Sender<()>, Receiver<()>),
    /// Number of instances that are linked to the leader.
    instances: AtomicU64,
    next_id: AtomicU64,
    advisor: Option<Arc<dyn Advisor>>,
    mirror: Arc<Mirror>,
    election: Arc<Election>,
    store_health: Arc<StoreHealth>,
    admission: Arc<AdmissionView>,
    traffic: Arc<Traffic>,
    clock: Clock,
}

impl LinkClient {
    /// A link that is not open yet; [`Self::run`] opens it.
    pub fn new(
        advisor: Option<Arc<dyn Advisor>>,
        mirror: Arc<Mirror>,
        election: Arc<Election>,
        store_health: Arc<StoreHealth>,
        admission: Arc<AdmissionView>,
        traffic: Arc<Traffic>,
        clock: Clock,
    ) -> Self {
        Self {
            tx: Mutex::default(),
            calls: Mutex::default(),
            follows: AtomicBool::new(true),
            able: AtomicBool::new(false),
            last_frame: AtomicU64::new(0),
            opened: AtomicU64::new(0),
            open_count: AtomicU64::new(0),
            store_unreachable: AtomicBool::new(false),
            announced: AtomicU64::new(0),
            wakeup: channel::bounded(1),
            instances: AtomicU64::new(0),
            next_id: AtomicU64::new(1),
            advisor,
            mirror,
            election,
            store_health,
            admission,
            traffic,
            clock,
        }
    }

    /// Whether the link is alive and the leader can reach the store.
    pub fn is_live(&self) -> bool {
        self.is_linked() && !self.store_unreachable.load(Ordering::Relaxed)
    }

    /// Whether the link is alive.
    pub fn is_linked(&self) -> bool {
        let last = self.last_frame.load(Ordering::Relaxed);
        last > 0 && last + FRESH_MS > self.clock.mono()
    }

    /// Whether the link is alive and has been open for at least `ms`, so that changes stored before
    /// it opened have been read from the store meanwhile.
    pub fn is_live_for(&self, ms: u64) -> bool {
        self.is_live() && self.opened.load(Ordering::Relaxed) + ms < self.clock.mono()
    }

    /// Whether the link is alive and the leader reports that it cannot reach the store.
    pub fn leader_store_unreachable(&self) -> bool {
        self.is_linked() && self.store_unreachable.load(Ordering::Relaxed)
    }

    /// Number of links opened so far. A fast growing number means that each breaks at once.
    pub fn open_count(&self) -> u64 {
        self.open_count.load(Ordering::Relaxed)
    }

    fn send(&self, frame: Frame) -> bool {
        let tx = self.tx.lock().unwrap();
        tx.as_ref().is_some_and(|tx| tx.try_send(encode(&frame)).is_ok())
    }

    /// Sends the leader a job that this instance has stored. If the link is down, the leader reads
    /// it from the store.
    pub fn send_job(&self, id: JobId, row: Vec<u8>) {
        self.send(Frame::Job { id, row });
    }

    /// As [`Self::send_job`], for a cancellation.
    pub fn send_cancel(&self, id: JobId) {
        self.send(Frame::Cancel { id });
    }

    /// Sets whether this instance caches jobs, and is to be sent their states, and whether it is able
    /// to become leader at once.
    pub fn set_role(&self, follows: bool, able: bool) {
        let changed = self.follows.swap(follows, Ordering::Relaxed) != follows;
        if self.able.swap(able, Ordering::Relaxed) != able || changed {
            self.send(self.role());
        }
    }

    fn role(&self) -> Frame {
        let able = self.able.load(Ordering::Relaxed);
        let candidate = Candidate { able, ..self.election.candidate() };
        Frame::Follows { yes: self.follows.load(Ordering::Relaxed), candidate }
    }

    /// Relays a write to the leader, which stores it. None if there is no answer within `ms`: the
    /// outcome is unknown.
    pub async fn relay(&self, relay: Relay, ms: u64) -> Option<WriteOutcome> {
        match self.call(|id| Frame::Write { id, relay }, ms).await {
            Ok(Frame::Written { out, .. }) => Some(out),
            Ok(_) | Err(CallError::NoResponse) => None,
            Err(CallError::NotSent) => Some(WriteOutcome::NotStored),
        }
    }

    /// Requests the state of a job from the leader; none if it has no entry that `caller` may see,
    /// or there is no answer within `ms`.
    pub async fn find(&self, job: JobId, caller: &Caller, ms: u64) -> Option<JobState> {
        let caller = Some(caller.clone());
        match self.call(|id| Frame::Find { id, job, caller }, ms).await {
            Ok(Frame::Found { state, checked: true, .. }) => state,
            _ => None,
        }
    }

    /// Requests the catalogue from the leader, unless it is not newer than `version`: the encoded
    /// catalogue, and how long ago, ms, the leader knew that it was the newest. None if the leader
    /// does not know, or there is no answer within `ms`.
    pub async fn config(&self, version: u64, ms: u64) -> Option<(Option<Vec<u8>>, u64)> {
        match self.call(|id| Frame::Config { id, version, deflated: true }, ms).await {
            Ok(Frame::ConfigIs { newer, age: Some(age), deflated, .. }) => match deflated {
                Some(deflated) => Some((Some(mirror::inflate(&deflated)?), age)),
                None => Some((newer, age)),
            },
            _ => None,
        }
    }

    /// Whether the leader has announced a newer catalogue than this instance has.
    pub fn newer_announced(&self) -> bool {
        self.announced.load(Ordering::Relaxed) > self.mirror.catalogue().version
    }

    /// Waits until the leader has announced a newer catalogue than this instance has, at most `ms`.
    pub async fn catalogue_announced(&self, ms: u64) {
        if !self.newer_announced() {
            // A full channel already holds a wakeup.
            let _ = self.clock.timeout(ms, self.wakeup.1.recv()).await;
        }
    }

    /// Number of instances that are linked to the leader; 0 if the link is not alive.
    pub fn instances(&self) -> u64 {
        if self.is_live() {
            self.instances.load(Ordering::Relaxed)
        } else {
            0
        }
    }

    /// Updates the catalogue from the leader's, if the link is alive.
    pub async fn learn_config(&self) {
        if !self.is_live() {
            return;
        }
        let (sent, version) = (self.clock.mono(), self.mirror.catalogue().version);
        if let Some((newer, age)) = self.config(version, CONFIG_TIMEOUT_MS).await {
            let age = age.saturating_add(self.clock.mono() - sent);
            self.mirror.learn_config(version, newer.as_deref(), age);
        }
    }

    /// Requests the number of waiting jobs of a queue from the leader; none if it lacks some
    /// jobs, or there is no answer within `ms`.
    pub async fn count(&self, queue: &str, ms: u64) -> Option<u64> {
        let queue = queue.to_string();
        match self.call(|id| Frame::Count { id, queue }, ms).await {
            Ok(Frame::Counted { waiting, .. }) => waiting,
            _ => None,
        }
    }

    /// Sends a call with a new id, and waits at most `ms` for the answer with the same id.
    async fn call(&self, frame: impl FnOnce(u64) -> Frame, ms: u64) -> Result<Frame, CallError> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (done, answer) = oneshot::channel();
        self.calls.lock().unwrap().insert(id, done);
        let out = match self.send(frame(id)) {
            true => self.clock.timeout(ms, answer).await.ok().and_then(Result::ok),
            false => {
                self.calls.lock().unwrap().remove(&id);
                return Err(CallError::NotSent);
            }
        };
        self.calls.lock().unwrap().remove(&id);
        out.ok_or(CallError::NoResponse)
    }

    /// Keeps a link to the current leader open; never returns.
    pub async fn run(&self) {
        loop {
            match self.election.leader_links() {
                Some(addr) => self.run_link(addr).await,
                None => self.clock.sleep(LEADER_CHECK_MS).await,
            }
            *self.tx.lock().unwrap() = None;
            self.last_frame.store(0, Ordering::Relaxed);
            self.store_unreachable.store(false, Ordering::Relaxed);
            // Calls in flight get no answer any more; dropping them fails them at once.
            self.calls.lock().unwrap().clear();
        }
    }

    /// Runs one link until it breaks or the leader changes. A replaced leader keeps its links open,
    /// since its process continues. An instance that stayed linked to it would receive no job
    /// states, and the new leader would have to send all advice requests over its own connection.
    async fn run_link(&self, addr: SocketAddr) {
        let opened = self.clock.timeout(LINK_TIMEOUT_MS, async {
            let stream = http::connect(addr).await?;
            let config = websocket(LEADER_BYTES);
            let url = format!("ws://{addr}/");
            let opened = async_tungstenite::client_async_with_config(url, stream, config).await;
            opened.map_err(|e| std::io::Error::other(e.to_string()))
        });
        let ws = match opened.await {
            Ok(Ok((ws, _))) => ws,
            Ok(Err(e)) => {
                // A refused connection shows that the process has ended, however recent its
                // heartbeat.
                if e.kind() == std::io::ErrorKind::ConnectionRefused {
                    self.election.suspect_leader(addr);
                }
                return self.clock.sleep(RECONNECT_MS).await;
            }
            Err(_) => return,
        };
        let (out, mut inc) = ws.split();
        let (tx, rx) = channel::bounded(QUEUED_FRAMES);
        *self.tx.lock().unwrap() = Some(tx.clone());
        self.opened.store(self.clock.mono(), Ordering::Relaxed);
        self.open_count.fetch_add(1, Ordering::Relaxed);
        let _ = tx.try_send(encode(&self.role()));
        log::info!(scheduler:% = addr; "linked to the leader");
        let broke = {
            let write = write_frames(out, rx, &self.clock, &self.traffic, || self.idle_frame());
            let read = async {
                let mut requests = FuturesUnordered::new();
                loop {
                    futures::select! {
                        m = self.clock.timeout(LINK_TIMEOUT_MS, inc.next()).fuse() => match m {
                            Ok(Some(Ok(m))) => {
                                self.last_frame.store(self.clock.mono(), Ordering::Relaxed);
                                match (decode(&m, &self.traffic), &self.advisor) {
                                    (
                                        Some(Frame::RequestAdvice { id, step, ids, ms }),
                                        Some(local),
                                    ) => {
                                        let local = local.clone();
                                        requests.push(async move {
                                            let res = local.request(step, &ids, ms).await;
                                            Frame::Answer { id, res }
                                        });
                                    }
                                    (Some(f), _) => self.handle_frame(f, addr),
                                    (None, _) => {}
                                }
                            }
                            _ => return,
                        },
                        answer = requests.next() => if let Some(frame) = answer {
                            let _ = tx.try_send(encode(&frame));
                        }
                    }
                }
            };
            let linked = futures::future::select(Box::pin(write), Box::pin(read));
            let ended = futures::future::select(linked, Box::pin(self.leader_changed(addr))).await;
            matches!(ended, futures::future::Either::Left(_))
        };
        self.admission.clear();
        log::info!(scheduler:% = addr, broke = broke; "link to the leader closed");
    }

    /// Frame sent on an idle link. It lets the leader distinguish a store that is unavailable to
    /// all instances from one that is unavailable to itself alone.
    fn idle_frame(&self) -> Frame {
        if self.store_health.unavailable() {
            Frame::StoreUnreachable
        } else {
            Frame::Ping
        }
    }

    /// Waits until `addr` is no longer the address of the leader.
    async fn leader_changed(&self, addr: SocketAddr) {
        while self.election.leader_links() == Some(addr) {
            self.clock.sleep(LEADER_CHECK_MS).await;
        }
    }

    /// Records the version of the leader's catalogue, which was the newest one `age` ms ago.
    fn record_catalogue(&self, version: u64, age: u64) {
        self.announced.store(version, Ordering::Relaxed);
        let known = self.mirror.catalogue().version;
        if version > known {
            let _ = self.wakeup.0.try_send(());
        } else if version == known {
            self.mirror.learn_config(version, None, age);
        }
    }

    fn handle_frame(&self, frame: Frame, from: SocketAddr) {
        match frame {
            Frame::States { list } => {
                for (id, version, state) in list {
                    self.mirror.put_state(id, version, state);
                }
            }
            Frame::Written { id, .. }
            | Frame::Found { id, .. }
            | Frame::Counted { id, .. }
            | Frame::ConfigIs { id, .. } => {
                if let Some(done) = self.calls.lock().unwrap().remove(&id) {
                    let _ = done.send(frame);
                }
            }
            Frame::Admission { list, teams } => {
                self.admission.set(Arc::new(admission::state(list, teams)));
            }
            Frame::Leader { row, version, catalogue, instances } => {
                self.store_unreachable.store(false, Ordering::Relaxed);
                self.election.record_leader(row, version);
                self.instances.store(instances, Ordering::Relaxed);
                if let Some((announced, age)) = catalogue {
                    self.record_catalogue(announced, age);
                }
            }
            Frame::LastHeartbeat { version, age } => {
                self.election.record_heartbeat(from, version, age);
            }
            Frame::StoreUnreachable => {
                self.store_unreachable.store(true, Ordering::Relaxed);
                self.admission.clear();
                // The store serves this instance but not the leader, which can be replaced early.
                if !self.store_health.unavailable() {
                    self.election.suspect_leader(from);
                }
            }
            _ => {}
        }
    }
}
