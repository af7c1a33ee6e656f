//! The entry instance: HTTP API for operators and callers, the catalogue watch, membership and
//! shard leases, scheduling rounds, and routing to runners. Stateless: everything it holds is
//! a cache of the platform's table that it can rebuild.

pub mod api;
pub mod catalogue;
pub mod jobs;
pub mod ledger;
pub mod members;
pub mod policy;
pub mod route;
pub mod rows;
pub mod sched;
mod snapshot;
pub mod writes;

use crate::admin::{self, Drain};
use crate::kernel::clock::{Clock, Millis};
use crate::kernel::stop::{self, Stop};
use crate::options::{Cell, EntryAddr, Timing};
use crate::platform::client::{Client, PlatformError};
use crate::platform::instances::InstanceState;
use crate::platform::workers::RackRoom;
use async_std::sync::Mutex as AsyncMutex;
use async_std::task;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

/// A round comes this many times more rarely while nothing waits, runs or is under way: most of
/// an idle instance's calls are polls. Urgent work waits that much longer for its first round,
/// well inside letter 1's 8.7 s.
const IDLE_FACTOR: u64 = 3;

/// The room of the domain's racks is read at every this many heartbeats; it only advises.
const ROOMS_EVERY: u64 = 3;

/// Wait before the worker list is asked for again, ms.
const BOOT_MS: u64 = 300;

/// One entry instance.
pub struct Entry {
    /// Its address, id and domain.
    pub addr: EntryAddr,
    /// Timers.
    pub timing: Timing,
    /// The process clock.
    pub clock: Clock,
    /// Client of the platform.
    pub platform: Client,
    /// The catalogue in force here.
    pub cat: Mutex<Arc<catalogue::Catalogue>>,
    /// Membership and shard leases.
    pub members: AsyncMutex<members::Membership>,
    /// Shards of the domain, once the worker list has been read.
    pub inventory: Mutex<Option<Arc<jobs::Inventory>>>,
    /// Lagging room per shard of the domain.
    pub rooms: Mutex<BTreeMap<String, RackRoom>>,
    /// What the scheduler last published for the dump.
    view: Mutex<serde_json::Value>,
    /// Runner connections.
    pub pool: Arc<route::Pool>,
    /// Write records.
    pub ledger: Arc<ledger::Ledger>,
    /// Fires when the process is told to stop.
    stop: Stop,
}

/// Errors that stop an entry instance from starting.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The settings name no such entry.
    #[error("no entry {0} in the settings")]
    Unknown(String),
}

impl Entry {
    /// Builds the instance `id` of `cell`. It needs nothing of the platform yet, so that an
    /// instance started while the platform is away serves lookups at once.
    pub fn new(cell: &Cell, id: &str, clock: Clock, stop: Stop) -> Result<Arc<Self>, EntryError> {
        let addr = cell.entry(id).ok_or_else(|| EntryError::Unknown(id.into()))?.clone();
        let timing = cell.timing.clone();
        let platform = Client::of_domain(cell.platform.listen, &addr.domain, clock.clone());
        let members = members::Membership {
            me: addr.id.clone(),
            domain: addr.domain.clone(),
            shards: Vec::new(),
            held: BTreeMap::new(),
            members: BTreeSet::new(),
            lease_ms: timing.lease_ms,
            epoch: 0,
        };
        let pool = route::Pool::new(&cell.runners, &addr.domain, timing.clone(), clock.clone());
        let ledger = ledger::Ledger::new(
            platform.clone(),
            clock.clone(),
            &addr.id,
            &addr.domain,
            timing.ledger_ms,
        );
        Ok(Arc::new(Self {
            addr,
            timing,
            clock,
            platform,
            cat: Mutex::default(),
            members: AsyncMutex::new(members),
            inventory: Mutex::default(),
            rooms: Mutex::default(),
            view: Mutex::default(),
            pool,
            ledger,
            stop,
        }))
    }

    /// Runs every loop and the HTTP API until stopped; joins them all before returning.
    ///
    /// The order of a graceful shutdown: `/ready` fails, then the listener closes, requests in
    /// flight end, and only then the runner connections and the ledger that they need.
    pub async fn run(self: Arc<Self>) -> eyre::Result<()> {
        let drain = Drain {
            linger_ms: self.timing.linger_ms,
            drain_ms: self.timing.write_ms.max(self.timing.lookup_ms),
        };
        let (bound, http) = admin::bind(
            api::app(self.clone()),
            self.addr.listen,
            self.stop.clone(),
            self.clock.clone(),
            drain,
        )
        .await?;
        log::info!("entry {} of domain {} listening on {bound}", self.addr.id, self.addr.domain);
        let (mut halt, halted) = stop::pair();
        let backs = [
            task::spawn(self.pool.clone().run(halted.clone())),
            task::spawn(self.ledger.clone().run(halted)),
        ];
        let loops = [
            task::spawn(self.clone().heartbeat()),
            task::spawn(self.clone().schedule()),
            task::spawn(self.clone().watch()),
            task::spawn(self.clone().follow_instances()),
        ];
        let leave = async {
            futures::future::join_all(loops).await;
            self.members.lock().await.leave(&self.platform).await;
        };
        let (served, ()) = futures::join!(http, leave);
        halt.fire();
        futures::future::join_all(backs).await;
        log::info!("entry {} stopped", self.addr.id);
        served?;
        Ok(())
    }

    /// Whether the balancer should send this instance new requests.
    pub fn ready(&self) -> bool {
        !self.stop.fired()
    }

    /// Sleeps `ms` or until the stop; false once stopped.
    async fn nap(&self, ms: u64) -> bool {
        let nap = std::pin::pin!(self.clock.sleep(ms));
        let halt = std::pin::pin!(self.stop.wait());
        futures::future::select(nap, halt).await;
        !self.stop.fired()
    }

    /// Reads the worker list, again and again until the platform answers; none once stopped.
    async fn boot(&self) -> Option<sched::Sched> {
        loop {
            match self.platform.workers().await {
                Ok(all) => {
                    let sched = sched::Sched::new(&self.addr.domain, &all);
                    let caps = |n: &String| Some((n.clone(), sched.capacity(n)?));
                    let shards: Vec<_> = sched
                        .shards
                        .keys()
                        .filter_map(caps)
                        .map(|(n, (total, largest))| (n, total, largest))
                        .collect();
                    if !shards.is_empty() {
                        let names = shards.iter().map(|(n, _, _)| n.clone()).collect();
                        self.members.lock().await.shards = names;
                        let inventory = jobs::Inventory { shards };
                        *self.inventory.lock().unwrap() = Some(Arc::new(inventory));
                        return Some(sched);
                    }
                    log::debug!("domain {} has no workers yet", self.addr.domain);
                }
                Err(e) => log::debug!("worker list: {e}"),
            }
            if !self.nap(BOOT_MS).await {
                return None;
            }
        }
    }

    async fn heartbeat(self: Arc<Self>) {
        for beat in 0u64.. {
            let now = self.clock.now();
            let beaten = {
                let mut m = self.members.lock().await;
                let beaten = m.beat(&self.platform, now).await;
                // Every instance commits write records; the more there are, the rarer each.
                let gap = self.timing.ledger_ms * m.members.len().max(1) as u64;
                self.ledger.gap.store(gap, Ordering::Relaxed);
                beaten
            };
            if let Err(e) = beaten {
                log::debug!("heartbeat failed: {e}");
            }
            if beat.is_multiple_of(ROOMS_EVERY) {
                self.read_rooms().await;
            }
            if !self.nap(self.timing.heartbeat_ms).await {
                return;
            }
        }
    }

    async fn read_rooms(&self) {
        if let Ok(rooms) = self.platform.rooms(&self.addr.domain).await {
            let rooms = rooms.into_iter().map(|r| (r.shard.clone(), r)).collect();
            *self.rooms.lock().unwrap() = rooms;
        }
    }

    async fn schedule(self: Arc<Self>) {
        let Some(mut s) = self.boot().await else { return };
        let mut swept = self.clock.now();
        loop {
            if let Err(e) = self.round(&mut s).await {
                log::debug!("round failed: {e}");
            }
            *self.view.lock().unwrap() = view(&s);
            let now = self.clock.now();
            if now >= swept + self.timing.sweep_ms {
                swept = now;
                if let Err(e) = self.sweep(now).await {
                    log::debug!("sweep failed: {e}");
                }
            }
            let factor = if s.idle() { IDLE_FACTOR } else { 1 };
            if !self.nap(self.timing.round_ms * factor).await {
                return;
            }
        }
    }

    /// Epochs of the shards held, and which of them were renewed recently enough to be used.
    async fn held(&self) -> (BTreeMap<String, u64>, BTreeSet<String>) {
        let m = self.members.lock().await;
        let now = self.clock.now();
        let held: BTreeMap<String, u64> =
            m.held.iter().map(|(s, h)| (s.clone(), h.epoch)).collect();
        let usable = |s: &&String| m.usable(s, now, self.timing.heartbeat_ms).is_some();
        let usable = held.keys().filter(usable).cloned().collect();
        (held, usable)
    }

    async fn round(&self, s: &mut sched::Sched) -> Result<(), PlatformError> {
        let (held, usable) = self.held().await;
        if held.is_empty() {
            return Ok(());
        }
        s.rooms = self.rooms.lock().unwrap().clone();
        let cat = self.catalogue();
        let cx = sched::Ctx {
            platform: &self.platform,
            clock: &self.clock,
            me: &self.addr.id,
            domain: &self.addr.domain,
            cat: &cat,
            hold_ms: self.timing.hold_ms,
        };
        let out = s.round(&cx, &held, &usable).await?;
        let mut m = self.members.lock().await;
        for l in &out.lost {
            // Unless the heartbeat has taken it again meanwhile, under a new epoch.
            if m.held.get(l).map(|h| h.epoch) == held.get(l).copied() {
                log::warn!("shard {l} lost: fenced out");
                metrics::counter!("entry_shards_lost").increment(1);
                m.held.remove(l);
            }
        }
        Ok(())
    }

    /// Sweeps old outcomes of the shards held, and the domain's old write records if its first
    /// shard is among them.
    async fn sweep(&self, now: Millis) -> Result<(), PlatformError> {
        let (held, usable) = self.held().await;
        let first = self.inventory.lock().unwrap().as_ref().map(|i| i.shards[0].0.clone());
        let sweep = sched::sweep::Sweep {
            platform: &self.platform,
            me: &self.addr.id,
            domain: &self.addr.domain,
            before: now.saturating_sub(self.timing.keep_ms),
        };
        for (shard, &epoch) in held.iter().filter(|(s, _)| usable.contains(*s)) {
            let mut swept = sweep.jobs(shard, epoch).await?;
            if Some(shard) == first.as_ref() {
                swept += sweep.writes(shard, epoch).await?;
                snapshot::save(&self.platform, &self.addr.domain, &self.catalogue()).await?;
            }
            metrics::counter!("entry_rows_swept").increment(swept as u64);
        }
        Ok(())
    }

    /// The catalogue in force here.
    pub fn catalogue(&self) -> Arc<catalogue::Catalogue> {
        self.cat.lock().unwrap().clone()
    }

    /// Puts `cat` in force unless a newer one is: a slower refresh never takes back an edit.
    fn adopt(&self, cat: catalogue::Catalogue) -> Arc<catalogue::Catalogue> {
        let mut held = self.cat.lock().unwrap();
        if cat.version > held.version {
            log::info!("catalogue version {} in force", cat.version);
            *held = Arc::new(cat);
        }
        held.clone()
    }

    /// Brings the catalogue held here up to the table's version and returns what is in force.
    /// While the table is down the last catalogue held stays in force.
    pub async fn refresh_catalogue(&self) -> Arc<catalogue::Catalogue> {
        let mut cat = catalogue::Catalogue::clone(&self.catalogue());
        match catalogue::catch_up(&self.platform, &mut cat).await {
            Ok(true) => self.adopt(cat),
            Ok(false) => self.catalogue(),
            Err(e) => {
                log::debug!("catalogue watch: {e}");
                self.catalogue()
            }
        }
    }

    async fn watch(self: Arc<Self>) {
        loop {
            let cat = self.refresh_catalogue().await;
            if cat.version == 0 {
                // Started while the table is away: the last snapshot beats no catalogue.
                if let Some(cat) = snapshot::load(&self.platform, &self.addr.domain).await {
                    self.adopt(cat);
                }
            }
            if !self.nap(self.timing.watch_ms).await {
                return;
            }
        }
    }

    async fn follow_instances(self: Arc<Self>) {
        loop {
            if let Ok(list) = self.platform.instances().await {
                let leaving: BTreeSet<String> = list
                    .into_iter()
                    .filter(|(_, s)| *s == InstanceState::Leaving)
                    .map(|(n, _)| n)
                    .collect();
                self.pool.set_leaving(&leaving);
            }
            if !self.nap(self.timing.instances_ms).await {
                return;
            }
        }
    }

    /// The state dump.
    pub async fn dump(&self) -> serde_json::Value {
        let m = self.members.lock().await;
        let cat = self.catalogue();
        serde_json::json!({
            "role": "entry",
            "id": self.addr.id,
            "domain": self.addr.domain,
            "ready": self.ready(),
            "catalogue": { "version": cat.version, "entries": cat.entries.len() },
            "members": m.members,
            "held": m.held,
            "sched": *self.view.lock().unwrap(),
            "pool": self.pool.dump(),
            "platform": self.platform.traffic(),
        })
    }
}

/// What the dump shows of the scheduler.
fn view(s: &sched::Sched) -> serde_json::Value {
    let shards: BTreeMap<&String, serde_json::Value> = s
        .shards
        .iter()
        .filter(|(_, v)| v.loaded.is_some())
        .map(|(name, v)| {
            let shard = serde_json::json!({
                "epoch": v.loaded, "workers": v.workers.len(), "acked": v.acked,
                "unstarted": v.unstarted.len(), "stopping": v.stopping.len(),
                "waiting": s.marks.get(name).map_or(0, BTreeMap::len),
            });
            (name, shard)
        })
        .collect();
    let odd: BTreeMap<&String, serde_json::Value> = s
        .workers
        .iter()
        .filter(|(_, w)| w.cut || w.avoid > 0 || !w.blame.is_empty())
        .map(|(_, w)| {
            let state =
                serde_json::json!({ "cut": w.cut, "avoid_until": w.avoid, "blame": w.blame });
            (&w.info.name, state)
        })
        .collect();
    serde_json::json!({
        "counts": s.counts, "jobs": s.jobs.len(), "shards": shards, "workers": odd,
        "quotas": s.quotas,
    })
}
