//! Accounting of the connections of one listener: how many there are, what memory they may need, and
//! which of them is closed at a limit.
//!
//! At a limit, the connection goes whose client has kept it waiting for the longest time, so that a
//! new caller is served however many connections stand still. A connection whose request is being
//! handled never goes.

use super::limits::{Limits, CONN_BYTES, REQUEST_BYTES};
use crate::kernel::clock::Clock;
use async_std::channel::{self, Receiver, Sender};
use futures::future::{AbortHandle, AbortRegistration};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// Longest time between two requests on a connection, ms.
const IDLE_MS: u64 = 60_000;

/// Longest time from the first byte of a request to its last one, ms: several times the longest
/// deadline of a caller.
const REQUEST_MS: u64 = 10_000;

/// Longest time for sending an answer and reading what is left of its request, ms.
const ANSWER_MS: u64 = 10_000;

/// Longest time that a new connection waits for room while all others are being served, ms: those who
/// wait for the store get their answers meanwhile.
const ROOM_MS: u64 = 1_000;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a request.
    Idle,
    /// It reads a request.
    Reading,
    /// The request has been read and is handled.
    Serving,
    /// It sends an answer, or reads what is left of a request that has been answered.
    Answering,
}

impl Phase {
    /// Longest time in this phase, ms; none if it does not depend on the client.
    fn limit_ms(self) -> Option<u64> {
        match self {
            Self::Idle => Some(IDLE_MS),
            Self::Reading => Some(REQUEST_MS),
            Self::Serving => None,
            Self::Answering => Some(ANSWER_MS),
        }
    }
}

/// Why a connection was closed, or a request refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// No request for too long.
    Idle,
    /// Its request took too long to arrive, or its client too long to take the answer.
    Slow,
    /// Another connection needed its place.
    Connections,
    /// Another request needed its memory.
    Memory,
    /// Nothing could be closed in favour of it: all others are being served.
    Full,
    /// The head of its request was too long or malformed.
    Head,
    /// The body of its request was too long.
    Body,
}

impl Reason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Slow => "slow",
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::Full => "full",
            Self::Head => "head",
            Self::Body => "body",
        }
    }
}

/// Id of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(u64);

#[derive(Debug)]
struct Conn {
    phase: Phase,
    /// When it began to wait for its client, local ms.
    since: u64,
    /// Memory that it may need, bytes; 0 once it is being closed.
    memory: usize,
    is_closing: bool,
    abort: AbortHandle,
}

#[derive(Debug, Default)]
struct State {
    conns: BTreeMap<ConnId, Conn>,
    /// All that are not being closed, longest wait first.
    waits: BTreeSet<(u64, ConnId)>,
    memory: usize,
    last_id: u64,
    /// Connections closed and requests refused since the last report.
    closed: BTreeMap<Reason, u64>,
}

impl State {
    fn set_memory(&mut self, id: ConnId, memory: usize) {
        if let Some(conn) = self.conns.get_mut(&id) {
            self.memory = self.memory + memory - conn.memory;
            conn.memory = memory;
        }
    }

    /// Returns false if the connection is being closed.
    fn enter(&mut self, id: ConnId, phase: Phase, since: u64) -> bool {
        let Some(conn) = self.conns.get_mut(&id).filter(|c| !c.is_closing) else { return false };
        self.waits.remove(&(conn.since, id));
        self.waits.insert((since, id));
        (conn.phase, conn.since) = (phase, since);
        true
    }

    /// Closes a connection. Its memory is free at once: the task ends before it reads any more.
    fn close(&mut self, id: ConnId, reason: Reason) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.is_closing = true;
        conn.abort.abort();
        self.waits.remove(&(conn.since, id));
        self.set_memory(id, 0);
        *self.closed.entry(reason).or_default() += 1;
    }

    /// Closes the connection that has waited longest for its client, of those that `filter` selects.
    fn close_longest_wait(
        &mut self,
        reason: Reason,
        filter: impl Fn(ConnId, &Conn) -> bool,
    ) -> bool {
        let able = |(_, id): &&(u64, ConnId)| {
            self.conns.get(id).is_some_and(|c| c.phase != Phase::Serving && filter(*id, c))
        };
        let found = self.waits.iter().find(able).map(|(_, id)| *id);
        found.inspect(|id| self.close(*id, reason)).is_some()
    }
}

/// Number of connections, the memory that they may need, and what was closed or refused since the last
/// report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of connections.
    pub connections: usize,
    /// Memory that they may need, bytes.
    pub memory: usize,
    /// Connections closed and requests refused, by reason.
    pub closed: BTreeMap<Reason, u64>,
}

/// The budget of one listener.
#[derive(Debug)]
pub struct Budget {
    limits: Limits,
    clock: Clock,
    state: Mutex<State>,
    /// Wakes who waits for room: a connection has ended or may be closed.
    changed: (Sender<()>, Receiver<()>),
}

impl Budget {
    /// A budget without connections.
    pub fn new(limits: Limits, clock: Clock) -> Self {
        Self { limits, clock, state: Mutex::default(), changed: channel::bounded(1) }
    }

    /// The limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Makes room for one more connection, and waits until it is free; false if there is none in time
    /// because all connections are being served.
    pub async fn make_room(&self) -> bool {
        let room = async {
            while !self.has_room() {
                let _ = self.changed.1.recv().await;
            }
        };
        self.clock.timeout(ROOM_MS, room).await.is_ok()
    }

    /// Whether there is room for one more connection. If not, one is being closed, unless all are
    /// being served.
    fn has_room(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.conns.len() < self.limits.connections {
            return true;
        }
        let is_closing = state.conns.len() > state.waits.len();
        if !is_closing {
            state.close_longest_wait(Reason::Connections, |_, _| true);
        }
        false
    }

    /// Adds a connection, whose task ends when the registration is aborted.
    pub fn open(self: &Arc<Self>) -> (Place, AbortRegistration) {
        let (abort, registration) = AbortHandle::new_pair();
        let since = self.clock.mono();
        let mut state = self.state.lock().unwrap();
        state.last_id += 1;
        let id = ConnId(state.last_id);
        state
            .conns
            .insert(id, Conn { phase: Phase::Idle, since, memory: 0, is_closing: false, abort });
        state.waits.insert((since, id));
        state.set_memory(id, CONN_BYTES);
        (Place { id, budget: self.clone() }, registration)
    }

    /// Closes connections whose clients have kept them waiting for too long.
    pub fn close_overdue(&self) {
        let now = self.clock.mono();
        let mut state = self.state.lock().unwrap();
        let overdue: Vec<_> = state
            .conns
            .iter()
            .filter(|(_, c)| !c.is_closing)
            .filter(|(_, c)| c.phase.limit_ms().is_some_and(|ms| c.since + ms < now))
            .map(|(id, c)| (*id, if c.phase == Phase::Idle { Reason::Idle } else { Reason::Slow }))
            .collect();
        overdue.into_iter().for_each(|(id, reason)| state.close(id, reason));
    }

    /// Counts a refusal.
    pub fn refuse(&self, reason: Reason) {
        *self.state.lock().unwrap().closed.entry(reason).or_default() += 1;
    }

    /// What there is now, and what was closed since the last call.
    pub fn report(&self) -> Report {
        let mut state = self.state.lock().unwrap();
        let closed = std::mem::take(&mut state.closed);
        Report { connections: state.conns.len(), memory: state.memory, closed }
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.state.lock().unwrap().conns.len()
    }

    /// Number of connections with a request.
    pub fn busy(&self) -> usize {
        let state = self.state.lock().unwrap();
        state.conns.values().filter(|c| c.phase != Phase::Idle).count()
    }

    /// Closes all connections.
    pub fn close_all(&self) {
        self.state.lock().unwrap().conns.values().for_each(|c| c.abort.abort());
    }
}

/// The place of a connection in its budget, given back when dropped.
#[derive(Debug)]
pub struct Place {
    id: ConnId,
    budget: Arc<Budget>,
}

impl Place {
    /// The budget.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// What the connection does.
    pub fn phase(&self) -> Phase {
        let state = self.budget.state.lock().unwrap();
        state.conns.get(&self.id).map_or(Phase::Idle, |c| c.phase)
    }

    /// A request begins; false if there is no memory for it, and it must be refused.
    pub fn begin_request(&self) -> bool {
        self.enter(Phase::Reading) && self.reserve(REQUEST_BYTES)
    }

    /// Reserves `bytes` more until the next request; false if there is no memory for them.
    pub fn reserve(&self, bytes: usize) -> bool {
        let mut state = self.budget.state.lock().unwrap();
        let conn = state.conns.get(&self.id).filter(|c| !c.is_closing);
        let Some(own) = conn.map(|c| c.memory) else { return false };
        while state.memory + bytes > self.budget.limits.memory {
            // Closing a connection without a request would not help.
            let frees = |id, c: &Conn| id != self.id && c.memory > CONN_BYTES;
            if !state.close_longest_wait(Reason::Memory, frees) {
                return false;
            }
        }
        state.set_memory(self.id, own + bytes);
        true
    }

    /// The request has been read; false if the connection is being closed, and the request must not
    /// be handled any more.
    pub fn begin_serving(&self) -> bool {
        self.enter(Phase::Serving)
    }

    /// The answer is to be sent.
    pub fn begin_answer(&self) {
        self.enter(Phase::Answering);
        let _ = self.budget.changed.0.try_send(());
    }

    /// The connection waits for the next request.
    pub fn end_request(&self) {
        if self.enter(Phase::Idle) {
            self.budget.state.lock().unwrap().set_memory(self.id, CONN_BYTES);
        }
    }

    fn enter(&self, phase: Phase) -> bool {
        let now = self.budget.clock.mono();
        self.budget.state.lock().unwrap().enter(self.id, phase, now)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.budget.state.lock().unwrap();
        state.set_memory(self.id, 0);
        if let Some(conn) = state.conns.remove(&self.id) {
            state.waits.remove(&(conn.since, self.id));
        }
        let _ = self.budget.changed.0.try_send(());
    }
}
