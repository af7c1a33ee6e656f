//! The runner stand-in: a backend server with slots and connections that answers lookups and
//! executes writes over websocket + CBOR, counting how often each write id ran.

mod conn;

use crate::admin;
use crate::kernel::clock::Clock;
use crate::kernel::stop::Stop;
use crate::options::{RunnerAddr, RunnerKnobs};
use async_std::net::TcpListener;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// The admin listener closes at once on stop.
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
    /// Connections open now.
    pub connections: usize,
}

/// What this life of the runner knows of one write id. The first frame that names the id
/// decides: it is taken and run, or refused for good.
#[derive(Debug)]
enum WriteState {
    /// Taken, not yet run; these queries wait for the outcome: (correlation id, connection).
    Taken(Vec<(u64, async_std::channel::Sender<crate::wire::Frame>)>),
    /// Executed this many times (once, unless something is broken).
    Ran(u64),
    /// Refused as busy: never run here.
    Refused,
}

/// Shared state of one runner process.
pub struct Runner {
    /// Its address and id.
    pub addr: RunnerAddr,
    knobs: RunnerKnobs,
    clock: Clock,
    slots: async_std::channel::Receiver<()>,
    slot_tx: async_std::channel::Sender<()>,
    writes: Mutex<BTreeMap<String, WriteState>>,
    /// Which life of the runner this is.
    pub incarnation: u64,
    lose: AtomicU64,
    lookups: AtomicU64,
    busy: AtomicU64,
    open: AtomicUsize,
    in_flight: AtomicUsize,
    queued: AtomicUsize,
    generation: AtomicU64,
    silent_upto: AtomicU64,
}

impl Runner {
    /// A runner with `knobs.slots` slots.
    pub fn new(addr: RunnerAddr, knobs: RunnerKnobs, clock: Clock) -> Arc<Self> {
        let (slot_tx, slots) = async_std::channel::bounded(knobs.slots as usize);
        for _ in 0..knobs.slots {
            let _ = slot_tx.try_send(());
        }
        Arc::new(Self {
            addr,
            knobs,
            clock,
            slots,
            slot_tx,
            writes: Mutex::new(BTreeMap::new()),
            incarnation: rand::random::<u64>() >> 1,
            lose: AtomicU64::new(0),
            lookups: AtomicU64::new(0),
            busy: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
            queued: AtomicUsize::new(0),
            generation: AtomicU64::new(0),
            silent_upto: AtomicU64::new(0),
        })
    }

    /// Counters now.
    pub fn stats(&self) -> Stats {
        let runs = self.executions();
        Stats {
            lookups: self.lookups.load(Ordering::Relaxed),
            writes: runs.values().sum(),
            writes_executed_twice: runs.values().filter(|&&n| n > 1).count() as u64,
            busy: self.busy.load(Ordering::Relaxed),
            connections: self.open.load(Ordering::Relaxed),
        }
    }

    /// How often each write id ran here.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        let writes = self.writes.lock().unwrap();
        let ran = |s: &WriteState| match s {
            WriteState::Ran(n) => Some(*n),
            WriteState::Taken(_) | WriteState::Refused => None,
        };
        writes.iter().filter_map(|(id, s)| Some((id.clone(), ran(s)?))).collect()
    }

    /// Fault injection: the answers to the next `n` requests are lost after they ran.
    pub fn lose_answers(&self, n: u64) {
        self.lose.store(n, Ordering::SeqCst);
    }

    /// Whether this answer is to be lost.
    fn loses(&self) -> bool {
        let take = |n: u64| n.checked_sub(1);
        self.lose.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok()
    }

    /// Fault injection: every connection open now goes silent for good (reads nothing, answers
    /// nothing, stays open), as when a middlebox loses track of it; new connections work.
    pub fn silence(&self) {
        self.silent_upto.store(self.generation.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "role": "runner",
            "id": self.addr.id,
            "domain": self.addr.domain,
            "knobs": self.knobs,
            "in_flight": self.in_flight.load(Ordering::Relaxed),
            "stats": self.stats(),
        })
    }

    /// Serves websocket connections and the admin HTTP API until `stop`, then lets requests in
    /// flight finish before returning.
    pub async fn serve(self: Arc<Self>, stop: Stop) -> eyre::Result<()> {
        let listener = crate::http::listen(self.addr.listen)?;
        let (admin_addr, admin) =
            admin::bind(self.admin_app(), self.addr.admin, stop.clone(), self.clock.clone(), DRAIN)
                .await?;
        log::info!("runner {} listening on {} admin {admin_addr}", self.addr.id, self.addr.listen);
        let accept = self.clone().accept(listener, stop.clone());
        let (a, b) = futures::join!(accept, admin);
        a?;
        b?;
        Ok(())
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, stop: Stop) -> eyre::Result<()> {
        let mut conns = Vec::new();
        loop {
            let Some(accepted) = stop.unless_fired(listener.accept()).await else { break };
            let (stream, _) = accepted?;
            if self.open.load(Ordering::SeqCst) >= self.knobs.connections as usize {
                metrics::counter!("runner_connections_refused").increment(1);
                continue;
            }
            let gen = self.generation.fetch_add(1, Ordering::SeqCst) + 1;
            conns.push(async_std::task::spawn(conn::serve(
                self.clone(),
                stream,
                gen,
                stop.clone(),
            )));
        }
        // Graceful shutdown: connections finish what they hold, then close; the parent joins them.
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
