//! The entry instance: HTTP API for operators and callers, the catalogue watch, membership and
//! shard leases, scheduling rounds, and routing to runners. Stateless: everything it holds is
//! a cache of the platform's table that it can rebuild.

pub mod api;
pub mod catalogue;
pub mod jobs;
pub mod members;
pub mod policy;
pub mod route;
pub mod rows;
pub mod sched;

use crate::kernel::clock::Clock;
use crate::kernel::res::Resources;
use crate::kernel::stop::Stop;
use crate::options::{Cell, EntryAddr, Timing};
use crate::platform::client::{Client, PlatformError};
use crate::platform::instances::InstanceState;
use async_std::sync::Mutex as AsyncMutex;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

/// Object-store name of the catalogue snapshot of a failure domain.
pub fn snapshot_name(domain: &str) -> String {
    format!("catalogue-{domain}.json")
}

/// One entry instance.
pub struct Entry {
    /// Its address, id and domain.
    pub addr: EntryAddr,
    /// Timers.
    pub timing: Timing,
    /// The process clock.
    pub clock: Clock,
    /// Client of the platform.
    pub table: Client,
    /// The catalogue in force here.
    pub cat: Mutex<catalogue::Catalogue>,
    /// Membership and shard leases.
    pub members: AsyncMutex<members::Membership>,
    /// Scheduler state.
    pub sched: AsyncMutex<sched::Sched>,
    /// Shards of the domain, in a fixed order.
    pub shards: Vec<String>,
    /// (total, largest worker) per shard.
    pub caps: Vec<(Resources, Resources)>,
    /// Runner connections.
    pub pool: Arc<route::Pool>,
}

/// Errors that stop an entry instance from starting.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The settings name no such entry.
    #[error("no entry {0} in the settings")]
    Unknown(String),
    /// The platform never answered the list of workers.
    #[error("platform: {0}")]
    Platform(#[from] PlatformError),
    /// The domain has no workers.
    #[error("failure domain {0} has no workers")]
    NoWorkers(String),
}

impl Entry {
    /// Builds the instance `id` of `cell`: reads the worker list (retrying until `stop`).
    pub async fn new(
        cell: &Cell,
        id: &str,
        clock: Clock,
        stop: &Stop,
    ) -> Result<Arc<Self>, EntryError> {
        let addr = cell.entry(id).ok_or_else(|| EntryError::Unknown(id.into()))?.clone();
        let table = Client::new(cell.platform.listen, clock.clone());
        let workers = loop {
            match table.workers().await {
                Ok(w) => break w,
                Err(e) if !stop.fired() => {
                    log::warn!("waiting for the platform: {e}");
                    clock.sleep(500).await;
                }
                Err(e) => return Err(e.into()),
            }
        };
        let sched = sched::Sched::new(&addr.domain, &workers);
        let shards: Vec<String> = sched.shards.keys().cloned().collect();
        if shards.is_empty() {
            return Err(EntryError::NoWorkers(addr.domain.clone()));
        }
        let caps = shards.iter().map(|s| sched.capacity(s).unwrap_or_default()).collect();
        let members = members::Membership {
            me: addr.id.clone(),
            domain: addr.domain.clone(),
            shards: shards.clone(),
            held: Default::default(),
            members: BTreeSet::new(),
            lease_ms: cell.timing.lease_ms,
        };
        let pool =
            route::Pool::new(&cell.runners, &addr.domain, cell.timing.clone(), clock.clone());
        Ok(Arc::new(Self {
            addr,
            timing: cell.timing.clone(),
            clock,
            table,
            cat: Mutex::new(catalogue::Catalogue::default()),
            members: AsyncMutex::new(members),
            sched: AsyncMutex::new(sched),
            shards,
            caps,
            pool,
        }))
    }

    /// Runs every loop and the HTTP API until `stop`; joins them all before returning.
    pub async fn run(self: Arc<Self>, stop: Stop) -> eyre::Result<()> {
        let (bound, http) = crate::admin::bind(
            api::app(self.clone()),
            self.addr.listen,
            stop.clone(),
            self.clock.clone(),
            self.timing.write_ms,
        )
        .await?;
        log::info!("entry {} of domain {} listening on {bound}", self.addr.id, self.addr.domain);
        let loops = [
            async_std::task::spawn(self.clone().heartbeat(stop.clone())),
            async_std::task::spawn(self.clone().schedule(stop.clone())),
            async_std::task::spawn(self.clone().watch(stop.clone())),
            async_std::task::spawn(self.clone().instances(stop.clone())),
            async_std::task::spawn(self.pool.clone().run(stop.clone())),
        ];
        let served = http.await;
        futures::future::join_all(loops).await;
        self.release().await;
        log::info!("entry {} stopped", self.addr.id);
        served?;
        Ok(())
    }

    /// Sleeps `ms` or until `stop`; false once stopped.
    async fn nap(&self, ms: u64, stop: &Stop) -> bool {
        let nap = std::pin::pin!(self.clock.sleep(ms));
        let halt = std::pin::pin!(stop.wait());
        futures::future::select(nap, halt).await;
        !stop.fired()
    }

    async fn heartbeat(self: Arc<Self>, stop: Stop) {
        loop {
            let now = self.clock.now();
            let taken = self.members.lock().await.beat(&self.table, now).await;
            match taken {
                Ok(taken) => {
                    let mut s = self.sched.lock().await;
                    taken.iter().for_each(|t| s.unload(t));
                }
                Err(e) => log::debug!("heartbeat failed: {e}"),
            }
            if !self.nap(self.timing.heartbeat_ms, &stop).await {
                return;
            }
        }
    }

    /// Gives up held shard leases at shutdown so that others take them at once.
    async fn release(&self) {
        let m = self.members.lock().await;
        let ops = m
            .held
            .iter()
            .map(|(s, h)| crate::platform::table::Op::Release {
                key: crate::platform::lease_key(s),
                holder: m.me.clone(),
                epoch: h.epoch,
            })
            .collect();
        let _ =
            self.table.txn(&crate::platform::table::Txn { conds: vec![], ops, idem: None }).await;
    }

    async fn schedule(self: Arc<Self>, stop: Stop) {
        loop {
            let now = self.clock.now();
            let held = {
                let m = self.members.lock().await;
                m.held
                    .keys()
                    .filter_map(|s| Some((s.clone(), m.usable(s, now, self.timing.heartbeat_ms)?)))
                    .collect()
            };
            if let Err(e) = self.round(&held, now).await {
                log::debug!("round failed: {e}");
            }
            if !self.nap(self.timing.round_ms, &stop).await {
                return;
            }
        }
    }

    async fn round(
        &self,
        held: &std::collections::BTreeMap<String, u64>,
        now: u64,
    ) -> Result<(), PlatformError> {
        if held.is_empty() {
            return Ok(());
        }
        let mut s = self.sched.lock().await;
        let report = self.table.report(&self.addr.domain, s.cursor).await?;
        s.file_ended(report.ended, report.next);
        let out = s.round(&self.table, &self.addr.id, &self.addr.domain, held, now).await?;
        drop(s);
        if !out.lost.is_empty() {
            let mut m = self.members.lock().await;
            for l in &out.lost {
                log::warn!("shard {l} lost: fenced out");
                m.held.remove(l);
            }
        }
        Ok(())
    }

    /// Brings the catalogue held here up to the table's version and returns what is in force.
    /// While the table is down the last catalogue held stays in force.
    pub async fn refresh_catalogue(&self) -> catalogue::Catalogue {
        let mut cat = self.cat.lock().unwrap().clone();
        match catalogue::catch_up(&self.table, &mut cat).await {
            Ok(true) => {
                let mut held = self.cat.lock().unwrap();
                // Never back: a slower refresh must not overwrite a newer catalogue.
                if cat.version > held.version {
                    log::info!("catalogue version {} in force", cat.version);
                    *held = cat;
                }
                held.clone()
            }
            Ok(false) => cat,
            Err(e) => {
                log::debug!("catalogue watch: {e}");
                cat
            }
        }
    }

    async fn watch(self: Arc<Self>, stop: Stop) {
        loop {
            self.refresh_catalogue().await;
            if !self.nap(self.timing.watch_ms, &stop).await {
                return;
            }
        }
    }

    async fn instances(self: Arc<Self>, stop: Stop) {
        loop {
            if let Ok(list) = self.table.instances().await {
                let leaving: BTreeSet<String> = list
                    .into_iter()
                    .filter(|(_, s)| *s == InstanceState::Leaving)
                    .map(|(n, _)| n)
                    .collect();
                self.pool.set_leaving(&leaving);
            }
            if !self.nap(self.timing.instances_ms, &stop).await {
                return;
            }
        }
    }

    /// The state dump.
    pub async fn dump(&self) -> serde_json::Value {
        let m = self.members.lock().await;
        let s = self.sched.lock().await;
        let cat = self.cat.lock().unwrap().clone();
        serde_json::json!({
            "role": "entry",
            "id": self.addr.id,
            "domain": self.addr.domain,
            "catalogue": { "version": cat.version, "entries": cat.entries.len() },
            "members": m.members,
            "held": m.held,
            "sched": { "counts": s.counts, "cursor": s.cursor,
                       "shards": s.shards.iter().map(|(k, v)| (k.clone(), serde_json::json!({
                           "loaded": v.loaded, "unstarted": v.unstarted.len(), "workers": v.workers.len() })))
                           .collect::<std::collections::BTreeMap<_, _>>() },
            "pool": self.pool.dump(),
        })
    }
}
