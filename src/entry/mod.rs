//! The entry instance: HTTP API for operators and callers, catalogue updates, membership and
//! shard leases, scheduling rounds, and routing to runners. It is stateless: all its data is a
//! cache of the platform's table that it can rebuild.

pub mod api;
pub mod catalogue;
pub mod jobs;
pub mod ledger;
mod loops;
pub mod members;
pub mod policy;
pub mod route;
pub mod rows;
pub mod sched;
mod snapshot;
pub mod writes;

use crate::admin::{self, Drain};
use crate::ingress::limits::Limits;
use crate::kernel::clock::Clock;
use crate::kernel::stop::{self, Stop};
use crate::options::{Cell, EntrySpec, Timing};
use crate::standin::client::Client;
use crate::standin::tasks::RackCapacity;
use async_std::sync::Mutex as AsyncMutex;
use async_std::task;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// One entry instance.
pub struct Entry {
    /// Address, id and failure domain of the instance.
    pub addr: EntrySpec,
    /// Intervals and timeouts from the settings.
    pub timing: Timing,
    /// The process clock.
    pub clock: Clock,
    /// Client of the platform.
    pub platform: Client,
    /// Catalogue in force on this instance.
    pub cat: Mutex<Arc<catalogue::Catalogue>>,
    /// Membership and shard leases.
    pub members: AsyncMutex<members::Membership>,
    /// Shards of the failure domain; none until the worker list has been read.
    pub inventory: Mutex<Option<Arc<jobs::Inventory>>>,
    /// Free capacity of each shard of the domain, as the platform reports it with a delay.
    pub rack_capacities: Mutex<BTreeMap<String, RackCapacity>>,
    /// State of the scheduler after its last round, for the state dump.
    view: Mutex<serde_json::Value>,
    /// Connections to the runners.
    pub pool: Arc<route::Pool>,
    /// Write path with its ledger.
    pub writes: writes::Writes,
    /// Fires when the process is asked to stop.
    stop: Stop,
}

/// Errors that stop an entry instance from starting.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The settings contain no entry with this id.
    #[error("no entry {0} in the settings")]
    Unknown(String),
}

impl Entry {
    /// Builds instance `id` of `cell`. It makes no call to the platform, so that an instance
    /// started while the platform is unavailable serves lookups at once.
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
        let writes = writes::Writes {
            pool: pool.clone(),
            ledger,
            clock: clock.clone(),
            write_ms: timing.write_ms,
        };
        Ok(Arc::new(Self {
            addr,
            timing,
            clock,
            platform,
            cat: Mutex::default(),
            members: AsyncMutex::new(members),
            inventory: Mutex::default(),
            rack_capacities: Mutex::default(),
            view: Mutex::default(),
            writes,
            pool,
            stop,
        }))
    }

    /// Runs the loops and the HTTP API until stopped, and joins all of them before it returns.
    ///
    /// In a graceful shutdown `/ready` fails first, then the listener closes and the requests in
    /// flight end. The runner connections and the ledger, which these requests need, stop last.
    pub async fn run(self: Arc<Self>) -> eyre::Result<()> {
        let drain = Drain {
            linger_ms: self.timing.linger_ms,
            drain_ms: self.timing.write_ms.max(self.timing.lookup_ms),
        };
        let (bound, http) = admin::bind(
            api::app(self.clone()),
            self.addr.listen,
            Limits::cell("entry"),
            self.stop.clone(),
            self.clock.clone(),
            drain,
        )?;
        log::info!("entry {} of domain {} listening on {bound}", self.addr.id, self.addr.domain);
        let (mut final_trigger, final_stop) = stop::pair();
        let final_tasks = [
            task::spawn(self.pool.clone().run(final_stop.clone())),
            task::spawn(self.writes.ledger.clone().run(final_stop)),
        ];
        let loops = [
            task::spawn(self.clone().heartbeat()),
            task::spawn(self.clone().schedule()),
            task::spawn(self.clone().watch_catalogue()),
            task::spawn(self.clone().follow_instances()),
        ];
        let leave = async {
            futures::future::join_all(loops).await;
            self.members.lock().await.leave(&self.platform).await;
        };
        futures::join!(http, leave);
        final_trigger.fire();
        futures::future::join_all(final_tasks).await;
        log::info!("entry {} stopped", self.addr.id);
        Ok(())
    }

    /// Returns whether the load balancer should send new requests to this instance. It is ready
    /// once it has read the worker list, without which it refuses every submission, and until it is
    /// asked to stop.
    pub fn ready(&self) -> bool {
        !self.stop.fired() && self.inventory.lock().unwrap().is_some()
    }

    /// Sleeps for `ms` or until the stop. Returns false once stopped.
    async fn sleep_unless_stopped(&self, ms: u64) -> bool {
        self.stop.unless_fired(self.clock.sleep(ms)).await;
        !self.stop.fired()
    }

    /// Returns the catalogue in force on this instance.
    pub fn catalogue(&self) -> Arc<catalogue::Catalogue> {
        self.cat.lock().unwrap().clone()
    }

    /// Puts `cat` in force unless the current version is the same or later, so that a slow refresh
    /// never reverts an edit. Returns the catalogue in force.
    fn install_catalogue(&self, cat: catalogue::Catalogue) -> Arc<catalogue::Catalogue> {
        let mut current = self.cat.lock().unwrap();
        if cat.version > current.version {
            log::info!("catalogue version {} in force", cat.version);
            *current = Arc::new(cat);
        }
        current.clone()
    }

    /// Updates the catalogue to the table's version and returns the catalogue in force. The last
    /// one stays in force while the table is unavailable.
    pub async fn refresh_catalogue(&self) -> Arc<catalogue::Catalogue> {
        let mut cat = catalogue::Catalogue::clone(&self.catalogue());
        match catalogue::catch_up(&self.platform, &mut cat).await {
            Ok(true) => self.install_catalogue(cat),
            Ok(false) => self.catalogue(),
            Err(e) => {
                log::debug!("catalogue update failed: {e}");
                self.catalogue()
            }
        }
    }

    /// Returns the state dump that `/debug/state` answers.
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

/// State of the scheduler for the state dump.
fn view(s: &sched::Sched) -> serde_json::Value {
    let shards: BTreeMap<&String, serde_json::Value> = s
        .shards
        .iter()
        .filter(|(_, v)| v.loaded.is_some())
        .map(|(name, v)| {
            let shard = serde_json::json!({
                "epoch": v.loaded, "workers": v.workers.len(), "acked": v.acked,
                "unstarted": v.unstarted.len(), "stopping": v.stopping.len(),
                "waiting": s.pending.get(name).map_or(0, BTreeMap::len),
            });
            (name, shard)
        })
        .collect();
    let impaired: BTreeMap<&String, serde_json::Value> = s
        .workers
        .iter()
        .filter(|(_, w)| w.unreachable || w.avoid_until > 0 || !w.failures.is_empty())
        .map(|(_, w)| {
            let state = serde_json::json!({
                "cut": w.unreachable, "avoid_until": w.avoid_until, "blame": w.failures,
            });
            (&w.info.name, state)
        })
        .collect();
    serde_json::json!({
        "counts": s.counts, "jobs": s.jobs.len(), "shards": shards, "workers": impaired,
        "quotas": s.quotas,
    })
}
