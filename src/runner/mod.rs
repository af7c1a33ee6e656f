//! The runner stand-in: a backend server that answers lookups and executes writes over websocket
//! and CBOR, and counts the executions of each write id. Slots bound the requests served at once;
//! connections beyond the limit are refused.

mod conn;

use crate::admin;
use crate::ingress::limits::Limits;
use crate::kernel::clock::Clock;
use crate::kernel::stop::Stop;
use crate::options::{RunnerSettings, RunnerSpec};
use async_std::net::TcpListener;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// The admin listener stops accepting at once and waits up to 5 s for requests in flight.
const DRAIN: admin::Drain = admin::Drain { linger_ms: 0, drain_ms: 5_000 };

/// Counters of a runner, served at `/stats`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Lookups answered.
    pub lookups: u64,
    /// Writes executed.
    pub writes: u64,
    /// Write ids executed more than once (must be 0).
    pub writes_executed_twice: u64,
    /// Requests refused as busy.
    pub busy: u64,
    /// Open connections.
    pub connections: usize,
}

/// State of one write id in this incarnation of the runner. The first frame with the id decides
/// whether the write is accepted or permanently refused.
#[derive(Debug)]
enum WriteState {
    /// Accepted and not yet run; these queries wait for the outcome: (correlation id, connection).
    Accepted(Vec<(u64, async_std::channel::Sender<crate::wire::Frame>)>),
    /// Executed this many times; more than once is a fault.
    Ran(u64),
    /// Refused as busy; never executed by this incarnation.
    Refused,
}

/// Shared state of one runner process.
pub struct Runner {
    /// Addresses, id and failure domain.
    pub addr: RunnerSpec,
    settings: RunnerSettings,
    clock: Clock,
    /// One message for each free slot.
    slots: async_std::channel::Receiver<()>,
    slot_tx: async_std::channel::Sender<()>,
    writes: Mutex<BTreeMap<String, WriteState>>,
    /// Random number that identifies this incarnation of the runner.
    pub incarnation: u64,
    answers_to_lose: AtomicU64,
    lookups: AtomicU64,
    busy: AtomicU64,
    open_conns: AtomicUsize,
    /// Requests that have a slot.
    in_flight: AtomicUsize,
    /// Accepted requests that wait for a slot.
    queued: AtomicUsize,
    /// Number of the latest connection; connections are numbered from 1 as they are accepted.
    last_conn: AtomicU64,
    /// Connections up to this number are silenced.
    silenced_upto: AtomicU64,
}

impl Runner {
    /// A runner with `settings.slots` free slots.
    pub fn new(addr: RunnerSpec, settings: RunnerSettings, clock: Clock) -> Arc<Self> {
        let (slot_tx, slots) = async_std::channel::bounded(settings.slots as usize);
        for _ in 0..settings.slots {
            let _ = slot_tx.try_send(());
        }
        Arc::new(Self {
            addr,
            settings,
            clock,
            slots,
            slot_tx,
            writes: Mutex::new(BTreeMap::new()),
            incarnation: rand::random::<u64>() >> 1,
            answers_to_lose: AtomicU64::new(0),
            lookups: AtomicU64::new(0),
            busy: AtomicU64::new(0),
            open_conns: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
            queued: AtomicUsize::new(0),
            last_conn: AtomicU64::new(0),
            silenced_upto: AtomicU64::new(0),
        })
    }

    /// Present values of the counters.
    pub fn stats(&self) -> Stats {
        let runs = self.executions();
        Stats {
            lookups: self.lookups.load(Ordering::Relaxed),
            writes: runs.values().sum(),
            writes_executed_twice: runs.values().filter(|&&n| n > 1).count() as u64,
            busy: self.busy.load(Ordering::Relaxed),
            connections: self.open_conns.load(Ordering::Relaxed),
        }
    }

    /// Number of executions of each write id that ran here.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        let writes = self.writes.lock().unwrap();
        let ran = |s: &WriteState| match s {
            WriteState::Ran(n) => Some(*n),
            WriteState::Accepted(_) | WriteState::Refused => None,
        };
        writes.iter().filter_map(|(id, s)| Some((id.clone(), ran(s)?))).collect()
    }

    /// Fault injection: the next `n` requests are executed and their answers are lost.
    pub fn lose_answers(&self, n: u64) {
        self.answers_to_lose.store(n, Ordering::SeqCst);
    }

    /// Whether the next answer is to be lost; if so, one answer fewer is left to lose.
    fn lose_next_answer(&self) -> bool {
        let decrement = |n: u64| n.checked_sub(1);
        self.answers_to_lose.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_ok()
    }

    /// Fault injection: all present connections become permanently unresponsive. They stay open,
    /// but frames on them are ignored and no answers are sent, as when a middlebox loses its state
    /// of a connection. New connections are not affected.
    pub fn silence(&self) {
        self.silenced_upto.store(self.last_conn.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "role": "runner",
            "id": self.addr.id,
            "domain": self.addr.domain,
            "knobs": self.settings,
            "in_flight": self.in_flight.load(Ordering::Relaxed),
            "stats": self.stats(),
        })
    }

    /// Serves websocket connections and the admin HTTP API until `stop`, then returns once the
    /// requests in flight are finished.
    pub async fn serve(self: Arc<Self>, stop: Stop) -> eyre::Result<()> {
        let listener = crate::http::listen(self.addr.listen)?;
        let (halt, time) = (stop.clone(), self.clock.clone());
        let limits = Limits::cell("runner");
        let (admin_addr, admin) =
            admin::bind(self.admin_app(), self.addr.admin, limits, halt, time, DRAIN)?;
        log::info!("runner {} listening on {} admin {admin_addr}", self.addr.id, self.addr.listen);
        let accept = self.clone().accept(listener, stop.clone());
        let (accepted, ()) = futures::join!(accept, admin);
        accepted?;
        Ok(())
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, stop: Stop) -> eyre::Result<()> {
        let mut conns = Vec::new();
        loop {
            let Some(accepted) = stop.unless_fired(listener.accept()).await else { break };
            let (stream, _) = accepted?;
            if self.open_conns.load(Ordering::SeqCst) >= self.settings.connections as usize {
                metrics::counter!("runner_connections_refused").increment(1);
                continue;
            }
            let conn_number = self.last_conn.fetch_add(1, Ordering::SeqCst) + 1;
            conns.push(async_std::task::spawn(conn::serve(
                self.clone(),
                stream,
                conn_number,
                stop.clone(),
            )));
        }
        // Graceful shutdown: each connection finishes its requests in flight, then closes.
        for c in conns {
            c.await;
        }
        log::info!("runner {} stopped", self.addr.id);
        Ok(())
    }

    fn admin_app(self: &Arc<Self>) -> tide::Server<Arc<Self>> {
        let mut app = tide::with_state(self.clone());
        app.at("/stats").get(|r: tide::Request<Arc<Self>>| async move {
            Ok(admin::json(200, &r.state().stats()))
        });
        app.at("/debug/state").get(|r: tide::Request<Arc<Self>>| async move {
            Ok(admin::json(200, &r.state().dump()))
        });
        app.at("/faults/silence").post(|r: tide::Request<Arc<Self>>| async move {
            r.state().silence();
            Ok(admin::json(200, &"silenced"))
        });
        app.at("/writes").get(|r: tide::Request<Arc<Self>>| async move {
            Ok(admin::json(200, &r.state().executions()))
        });
        app.at("/faults/lose/:n").post(|r: tide::Request<Arc<Self>>| async move {
            let Ok(n) = r.param("n")?.parse() else { return Ok(admin::json(400, &"not a number")) };
            r.state().lose_answers(n);
            Ok(admin::json(200, &n))
        });
        app.at("/metrics").get(|_| async { Ok(admin::render()) });
        app
    }
}
