//! Server side of links: connections to the advice service, job states for every instance, and
//! writes on behalf of instances whose calls the store refuses.

use super::advice_queues::{self, QueueLoad};
use super::{
    admission, choose_successor, decode, encode, websocket, write_frames, Candidate, EncodedFrame,
    Frame, Relay, CALL_BYTES, LINK_TIMEOUT_MS, QUEUED_FRAMES,
};
use crate::control::election::Election;
use crate::control::mirror::Mirror;
use crate::control::model::{JobId, JobState, StepId};
use crate::control::policy::admission::State;
use crate::control::policy::standbys::Applicant;
use crate::control::ports::{Advice, AdviceError, Advisor};
use crate::control::rows::{self, LeaderRow};
use crate::control::store_health::StoreHealth;
use crate::control::submissions::{SubmissionWriter, WriteOutcome};
use crate::ingress;
use crate::ingress::budget::{Budget, Place, Reason};
use crate::kernel::clock::Clock;
use crate::kernel::traffic::Traffic;
use async_std::channel::{self, Sender};
use async_std::net::{TcpListener, TcpStream};
use futures::channel::oneshot;
use futures::future::{self, Abortable};
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Margin over the computed time of an answer before it times out, ms.
const ANSWER_MARGIN_MS: u64 = 800;

/// Timeout of a write for another instance, ms: shorter than that instance's own timeout, so that
/// the answer whether the write was sent at all arrives in time.
const RELAY_TIMEOUT_MS: u64 = 700;

/// Maximum age of the data behind a count of waiting jobs, ms: the bound of the interface, less the
/// time over a link.
const MAX_COUNT_AGE_MS: u64 = 1_500;

/// The store counts as unreachable after it has refused all calls for this long, ms: a leader makes
/// many calls in that time.
const REFUSED_MS: u64 = 250;

/// Interval between two checks whether the store is reachable, ms; they make no calls.
const STORE_CHECK_MS: u64 = 50;

/// Interval between two checks whether there is a new catalogue, ms: the least time between two that
/// all linked instances are sent.
const CATALOGUE_CHECK_MS: u64 = 100;

/// Delay after a failure to accept a link, ms.
const RETRY_MS: u64 = 100;

/// Time for which a connection that did not reach the advice service is avoided, ms: several repeats
/// of a failed request, and short enough that it is soon used again.
const AVOID_MS: u64 = 1_000;

/// Memory of a handshake, bytes: the limit of the websocket library.
const HANDSHAKE_BYTES: usize = 64 * 1024;

/// Key of the queue of this instance's own connection to the advice service.
const LOCAL: u64 = 0;

/// A linked instance, or under [`LOCAL`] this instance, with its queue of advice requests.
#[derive(Default)]
struct Link {
    /// None for this instance itself.
    tx: Option<Sender<EncodedFrame>>,
    /// The other instance cannot reach the store.
    store_unreachable: bool,
    /// The other instance caches jobs, and is sent their states.
    follows: bool,
    /// What makes the other instance a successor, and when it was received, local ms.
    candidate: Option<(u64, Candidate)>,
    /// Advice requests in flight, by id.
    requests: BTreeMap<u64, Request>,
    /// Set while requests over the connection do not reach the advice service.
    failure: Option<Failure>,
}

/// Failure of a connection to the advice service.
#[derive(Clone, Copy)]
struct Failure {
    /// First and last failed request, local ms.
    since: u64,
    last: u64,
    /// Number of failed requests.
    calls: u64,
}

/// An advice request in flight.
struct Request {
    /// Estimated service time, ms.
    cost: f64,
    done: oneshot::Sender<Result<Advice, AdviceError>>,
}

impl Link {
    fn load(&self, now: u64) -> QueueLoad {
        let cost = self.requests.values().map(|r| r.cost).sum();
        let failing = self.failure.is_some_and(|f| f.last + AVOID_MS > now);
        QueueLoad { waiting: self.requests.len(), cost, failing }
    }
}

/// Link server: the connections to the advice service, each with a request queue. One is this
/// instance's own, and there is one for each linked instance.
pub struct LinkServer {
    local: Option<Arc<dyn Advisor>>,
    links: Mutex<BTreeMap<u64, Link>>,
    next_id: AtomicU64,
    /// When a linked instance last lost the store, local ms; 0 if none has.
    store_lost: AtomicU64,
    traffic: Arc<Traffic>,
    clock: Clock,
}

/// Removes an advice request from its queue when dropped, also if its future is cancelled at the
/// end of a term. Otherwise the queue would count as full permanently.
struct RequestGuard<'a> {
    server: &'a LinkServer,
    key: u64,
    id: u64,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.server.remove_request(self.key, self.id);
    }
}

impl LinkServer {
    /// No links yet; `local` is this instance's own connection, if there is an advice service.
    pub fn new(local: Option<Arc<dyn Advisor>>, traffic: Arc<Traffic>, clock: Clock) -> Self {
        let links = Mutex::new(BTreeMap::from([(LOCAL, Link::default())]));
        let (next_id, store_lost) = (AtomicU64::new(1), AtomicU64::new(0));
        Self { local, links, next_id, store_lost, traffic, clock }
    }

    /// Number of connections to the advice service, this instance's own included.
    pub fn advice_connections(&self) -> usize {
        self.links.lock().unwrap().len()
    }

    /// Requests advice over the connection that is expected to answer first; `cost` is the
    /// estimated service time, ms. Fails with [`AdviceError::Busy`] if the answer would come too
    /// late on all.
    pub async fn request(
        &self,
        step: StepId,
        ids: Vec<String>,
        cost: f64,
    ) -> Result<Advice, AdviceError> {
        let Some(local) = &self.local else { return Err(AdviceError::Unreachable) };
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (done, answer) = oneshot::channel();
        let (key, tx, ms) = {
            let now = self.clock.mono();
            let mut links = self.links.lock().unwrap();
            let loads: Vec<QueueLoad> = links.values().map(|l| l.load(now)).collect();
            let picked =
                advice_queues::pick_queue(&loads, cost).and_then(|n| links.iter_mut().nth(n));
            let (key, link) = picked.ok_or(AdviceError::Busy)?;
            link.requests.insert(id, Request { cost, done });
            (*key, link.tx.clone(), link.load(now).cost as u64 + ANSWER_MARGIN_MS)
        };
        let _guard = RequestGuard { server: self, key, id };
        let res = match tx {
            None => local.request(step, &ids, ms).await,
            Some(tx) => {
                let sent = tx.try_send(encode(&Frame::RequestAdvice { id, step, ids, ms })).is_ok();
                match self.clock.timeout(ms + ANSWER_MARGIN_MS, answer).await {
                    Ok(Ok(res)) if sent => res,
                    _ => Err(AdviceError::Unreachable),
                }
            }
        };
        self.record_outcome(key, res == Err(AdviceError::Unreachable));
        res
    }

    /// Records whether a request reached the advice service. A refusal did: it is a sign of load.
    fn record_outcome(&self, key: u64, failed: bool) {
        let now = self.clock.mono();
        self.update(key, |l| {
            let instance = l.candidate.as_ref().map_or("", |(_, c)| c.node.as_str());
            match l.failure.take() {
                last if failed => {
                    if last.is_none() {
                        log::warn!(line = key, instance = instance;
                            "advice service lost over a link");
                    }
                    let (since, calls) = last.map_or((now, 1), |f| (f.since, f.calls + 1));
                    l.failure = Some(Failure { since, last: now, calls });
                }
                Some(f) => {
                    log::info!(line = key, instance = instance, failed_calls = f.calls,
                        lost_ms = now.saturating_sub(f.since);
                        "advice service regained over a link");
                }
                None => {}
            }
        });
    }

    /// The linked instance that a leader of `size` proposes as its successor, empty if there is none.
    pub fn successor(&self, size: u64) -> String {
        let now = self.clock.mono();
        let links = self.links.lock().unwrap();
        let served = links.values().filter(|l| !l.store_unreachable);
        let aged = |(at, c): &(u64, Candidate)| Candidate {
            age: c.age.saturating_add(now - at),
            ..c.clone()
        };
        let candidates: Vec<Candidate> =
            served.filter_map(|l| l.candidate.as_ref()).map(aged).collect();
        choose_successor(candidates.iter(), size).unwrap_or_default().to_string()
    }

    /// Number of linked instances.
    pub fn linked_instances(&self) -> u64 {
        self.links.lock().unwrap().len() as u64 - 1
    }

    /// The linked instances that reach the store, as far as they have said what they are.
    pub fn applicants(&self) -> Vec<Applicant> {
        let now = self.clock.mono();
        let links = self.links.lock().unwrap();
        let served = links.values().filter(|l| !l.store_unreachable);
        let applicant = |(at, c): &(u64, Candidate)| Applicant {
            node: c.node.clone(),
            domain: c.domain.clone(),
            size: c.size,
            age: c.age.saturating_add(now - at),
        };
        served.filter_map(|l| l.candidate.as_ref()).map(applicant).collect()
    }

    /// Reports a leader's row, with its version, to all linked instances.
    pub fn report_leader(&self, row: LeaderRow, version: u64) {
        let (catalogue, instances) = (None, self.linked_instances());
        let frame = Frame::Leader { row, version, catalogue, instances };
        self.broadcast(&encode(&frame), |_| true);
    }

    /// Sends what instances need to decide on submissions to all linked instances.
    pub fn publish_admission(&self, state: &State) {
        let (list, teams) = admission::lists(state);
        self.broadcast(&encode(&Frame::Admission { list, teams }), |_| true);
    }

    /// Whether other instances are linked, and none of them can reach the store.
    pub fn all_store_unreachable(&self) -> bool {
        let links = self.links.lock().unwrap();
        let mut others = links.iter().filter(|(key, _)| **key != LOCAL).peekable();
        others.peek().is_some() && others.all(|(_, l)| l.store_unreachable)
    }

    /// Whether a linked instance lost the store in the last `ms`.
    pub fn store_lost_within(&self, ms: u64) -> bool {
        let lost = self.store_lost.load(Ordering::Relaxed);
        lost > 0 && lost + ms > self.clock.mono()
    }

    /// Records whether a linked instance reaches the store.
    fn record_store(&self, key: u64, unreachable: bool) {
        self.update(key, |l| {
            if unreachable && !l.store_unreachable {
                self.store_lost.store(self.clock.mono(), Ordering::Relaxed);
            }
            l.store_unreachable = unreachable;
        });
    }

    fn is_open(&self, key: u64) -> bool {
        self.links.lock().unwrap().contains_key(&key)
    }

    fn update(&self, key: u64, change: impl FnOnce(&mut Link)) {
        if let Some(link) = self.links.lock().unwrap().get_mut(&key) {
            change(link);
        }
    }

    fn remove_request(&self, key: u64, id: u64) {
        if let Some(link) = self.links.lock().unwrap().get_mut(&key) {
            link.requests.remove(&id);
        }
    }

    fn complete_request(&self, key: u64, id: u64, res: Result<Advice, AdviceError>) {
        let request = self.links.lock().unwrap().get_mut(&key).and_then(|l| l.requests.remove(&id));
        if let Some(request) = request {
            let _ = request.done.send(res);
        }
    }

    /// Sends job states that have been stored to the linked instances that cache jobs. A link whose
    /// queue is full is closed, and its instance reads the missed states from the store.
    pub fn publish(&self, list: &[(JobId, u64, JobState)]) {
        let frame = encode(&Frame::States { list: list.to_vec() });
        self.broadcast(&frame, |l| l.follows);
    }

    /// Sends a frame over the links that `filter` selects, and closes those whose queue is full.
    fn broadcast(&self, frame: &EncodedFrame, filter: impl Fn(&Link) -> bool) {
        let sent = |l: &Link| l.tx.as_ref().is_none_or(|tx| tx.try_send(frame.clone()).is_ok());
        self.links.lock().unwrap().retain(|_, l| !filter(l) || sent(l));
    }
}

/// Accepts links of other instances and handles their frames.
pub struct LinkAcceptor {
    /// Link server, with the connections to the advice service.
    pub server: Arc<LinkServer>,
    /// Local cache, which receives jobs that other instances have stored.
    pub mirror: Arc<Mirror>,
    /// Submission writer, which stores relayed writes.
    pub submissions: Arc<SubmissionWriter>,
    /// Leader election, for the leader sent to other instances.
    pub election: Arc<Election>,
    /// Health of the store.
    pub store_health: Arc<StoreHealth>,
    /// Budget of the connections.
    pub budget: Arc<Budget>,
    /// The clock.
    pub clock: Clock,
}

impl LinkAcceptor {
    /// Accepts links on `listener`; never returns.
    pub async fn serve(&self, listener: TcpListener) {
        let announce = future::join(self.announce_store_health(), self.announce_catalogue());
        let accept = future::join(self.accept(listener), ingress::check(&self.budget, &self.clock));
        future::join(accept, announce).await;
    }

    async fn accept(&self, listener: TcpListener) {
        let mut open = FuturesUnordered::new();
        loop {
            // Kept while others are served: it may hold a connection that waits for room.
            let mut next = Box::pin(self.accept_one(&listener).fuse());
            let (stream, from) = loop {
                futures::select! {
                    conn = next => match conn {
                        Some(conn) => break conn,
                        None => next = Box::pin(self.accept_one(&listener).fuse()),
                    },
                    _ = open.next() => {}
                }
            };
            let (place, registration) = self.budget.open();
            open.push(Abortable::new(self.serve_link(stream, from, place), registration));
        }
    }

    /// The next connection for which there is room.
    async fn accept_one(&self, listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
        match listener.accept().await {
            Ok(conn) if self.budget.make_room().await => Some(conn),
            Ok(_) => {
                self.budget.refuse(Reason::Full);
                None
            }
            Err(e) => {
                log::warn!(why:% = e; "link not accepted");
                self.clock.sleep(RETRY_MS).await;
                None
            }
        }
    }

    /// Notifies all linked instances when this process loses or regains the store. Without it, an
    /// instance would relay its writes to a process that cannot store them either, and would treat
    /// as current a leader that was replaced while a network partition cut it off.
    ///
    /// The link stays open, since advice requests continue. An instance that reconnected would also
    /// relay writes from the first frame of each new link on, and their outcome would be unknown.
    async fn announce_store_health(&self) {
        let mut last = false;
        loop {
            let unreachable = self.store_unreachable();
            if unreachable != last {
                if let Some((version, age)) = self.election.last_heartbeat().filter(|_| unreachable)
                {
                    self.server
                        .broadcast(&encode(&Frame::LastHeartbeat { version, age }), |_| true);
                }
                self.server.broadcast(&encode(&self.idle_frame()), |_| true);
            }
            last = unreachable;
            self.clock.sleep(STORE_CHECK_MS).await;
        }
    }

    /// Notifies all linked instances when this process has a new catalogue. Several that follow each
    /// other within the interval are announced once.
    async fn announce_catalogue(&self) {
        let mut last = 0;
        loop {
            let version = self.mirror.catalogue().version;
            if version > last {
                self.server.broadcast(&encode(&self.idle_frame()), |_| true);
            }
            last = version;
            self.clock.sleep(CATALOGUE_CHECK_MS).await;
        }
    }

    /// Whether the store is unreachable for this instance. Refusals count sooner than timeouts,
    /// since each is a definite answer: instances link to the leader only, and a leader whose calls
    /// are refused can be replaced early.
    fn store_unreachable(&self) -> bool {
        self.store_health.unavailable() || self.store_health.failing_ms() >= REFUSED_MS
    }

    /// Frame sent on a new or idle link: the leader, or that the store is unreachable.
    fn idle_frame(&self) -> Frame {
        if self.store_unreachable() {
            return Frame::StoreUnreachable;
        }
        match self.election.leader() {
            Some((row, version)) => {
                let age = self.mirror.catalogue_age();
                let catalogue = age.map(|age| (self.mirror.catalogue().version, age));
                let instances = self.server.linked_instances();
                Frame::Leader { row, version, catalogue, instances }
            }
            None => Frame::Ping,
        }
    }

    /// Serves one link until it closes.
    async fn serve_link(&self, stream: TcpStream, from: SocketAddr, place: Place) {
        if !place.reserve(HANDSHAKE_BYTES) {
            return self.budget.refuse(Reason::Full);
        }
        let config = websocket(CALL_BYTES);
        let handshake = async_tungstenite::accept_async_with_config(stream, config);
        let Ok(Ok(ws)) = self.clock.timeout(LINK_TIMEOUT_MS, handshake).await else {
            return self.budget.refuse(Reason::Head);
        };
        place.end_request();
        if !place.begin_serving() {
            return;
        }
        let key = self.server.next_id.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = channel::bounded(QUEUED_FRAMES);
        let _ = tx.try_send(encode(&self.idle_frame()));
        let link = Link { tx: Some(tx.clone()), ..Link::default() };
        self.server.links.lock().unwrap().insert(key, link);
        log::info!(peer:% = from, line = key; "instance linked");
        let (out, mut inc) = ws.split();
        {
            let write =
                write_frames(out, rx, &self.clock, &self.server.traffic, || self.idle_frame());
            let read = async {
                let mut calls = FuturesUnordered::new();
                loop {
                    futures::select! {
                        m = self.clock.timeout(LINK_TIMEOUT_MS, inc.next()).fuse() => match m {
                            Ok(Some(Ok(m))) => match decode(&m, &self.server.traffic) {
                                // Closed because its queue was full.
                                _ if !self.server.is_open(key) => return,
                                Some(f) if f.is_call() => calls.push(self.handle_call(f)),
                                Some(f) => self.handle_frame(key, f),
                                None => {}
                            },
                            _ => return,
                        },
                        answer = calls.next() => if let Some(frame) = answer {
                            let _ = tx.try_send(encode(&frame));
                        }
                    }
                }
            };
            future::select(Box::pin(write), Box::pin(read)).await;
        }
        // Removing the link fails its advice requests at once; the scheduler sends them elsewhere.
        self.server.links.lock().unwrap().remove(&key);
        log::info!(peer:% = from, line = key; "link closed");
    }

    fn handle_frame(&self, key: u64, frame: Frame) {
        match frame {
            Frame::Answer { id, res } => self.server.complete_request(key, id, res),
            Frame::Job { id, row } => match rows::decode(&row) {
                Ok(row) => self.mirror.put_job(id, Arc::new(row)),
                Err(e) => {
                    log::error!(job:% = id, why:% = e; "job received over a link is unreadable")
                }
            },
            Frame::Cancel { id } => self.mirror.put_cancel(id),
            Frame::StoreUnreachable => self.server.record_store(key, true),
            Frame::Ping => self.server.record_store(key, false),
            Frame::Follows { yes, candidate } => {
                let now = self.clock.mono();
                self.server.update(key, |l| {
                    l.follows = yes;
                    l.candidate = Some((now, candidate));
                });
            }
            _ => {}
        }
    }

    /// Executes a call of the other instance and returns the answer.
    async fn handle_call(&self, call: Frame) -> Frame {
        match call {
            Frame::Write { id, relay } => self.store_relayed(id, relay).await,
            Frame::Find { id, job, caller } => {
                let visible = caller.is_none_or(|c| self.mirror.visible(job, &c) == Some(true));
                let known = visible && self.mirror.has_state(job);
                let state = self.mirror.job_state(job).filter(|_| known);
                Frame::Found { id, state, checked: true }
            }
            Frame::Config { id, version, deflated } => {
                // The age goes first: a newer catalogue may be read in between.
                let age = self.mirror.catalogue_age();
                let (newer, deflated) = match deflated {
                    true => (None, self.mirror.newer_config_deflated(version)),
                    false => (self.mirror.newer_config(version), None),
                };
                let deflated = deflated.map(|c| serde_bytes::ByteBuf::from(c.to_vec()));
                Frame::ConfigIs { id, newer, age, deflated }
            }
            Frame::Count { id, queue } => {
                let complete = self.mirror.ensure_fresh(MAX_COUNT_AGE_MS).await;
                let waiting = complete.then(|| self.mirror.pending(&queue));
                Frame::Counted { id, waiting }
            }
            other => other,
        }
    }

    async fn store_relayed(&self, id: u64, relay: Relay) -> Frame {
        let out = self.submissions.relayed(&relay, RELAY_TIMEOUT_MS).await;
        log::info!(job:% = relay.job, cancels = relay.row.is_none(), out:? = out;
            "write stored for another instance");
        match &relay.row {
            // The row that was known before may be another one, of another team.
            Some(row) if out == WriteOutcome::Stored => {
                self.handle_frame(LOCAL, Frame::Job { id: relay.job, row: row.clone() })
            }
            None if out.is_stored() => self.mirror.put_cancel(relay.job),
            _ => {}
        }
        Frame::Written { id, out }
    }
}
