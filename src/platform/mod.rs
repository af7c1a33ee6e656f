//! The platform: the stand-in service (table, object store, workers, instance list, fault
//! plan), its HTTP server, and the client that entry instances use.

pub mod api;
pub mod client;
pub mod faults;
pub mod instances;
pub mod server;
pub mod store;
pub mod table;
pub mod workers;

use crate::kernel::clock::Clock;
use crate::options::PlatformSettings;
use rand::Rng;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Lease key of a shard, as placements and workers name it.
pub fn lease_key(shard: &str) -> String {
    format!("shard/{shard}")
}

/// Row key of a task's placement, which workers check before they start it.
pub fn place_key(task: &str) -> String {
    format!("place/{task}")
}

/// The platform stand-in: every interface, each under its own lock.
pub struct Platform {
    /// The platform's clock (lease expiry, task run times, lags).
    pub clock: Clock,
    settings: PlatformSettings,
    table: Mutex<table::Table>,
    store: Mutex<store::Store>,
    domains: BTreeMap<String, Mutex<workers::Workers>>,
    instances: Mutex<instances::Instances>,
    plan: Mutex<faults::Plan>,
    double_runs: AtomicU64,
    born: crate::kernel::clock::Millis,
    refused: Mutex<BTreeMap<String, u64>>,
}

impl Platform {
    /// Builds the stand-in from its settings; `runners` become the instance list.
    pub fn new(settings: PlatformSettings, runners: &[String], clock: Clock) -> Self {
        let domains = settings
            .domains
            .iter()
            .map(|d| {
                (
                    d.name.clone(),
                    Mutex::new(workers::Workers::new(&d.name, d.racks, d.workers, d.worker)),
                )
            })
            .collect();
        let mut list = instances::Instances::default();
        runners.iter().for_each(|r| list.add(r));
        Self {
            clock: clock.clone(),
            table: Mutex::new(table::Table::new(settings.writes, settings.reads)),
            store: Mutex::new(store::Store::default()),
            domains,
            instances: Mutex::new(list),
            plan: Mutex::new(faults::Plan::default()),
            double_runs: AtomicU64::new(0),
            born: clock.now(),
            refused: Mutex::new(BTreeMap::new()),
            settings,
        }
    }

    /// Applies a transaction.
    pub fn txn(&self, t: &table::Txn) -> Result<table::Outcome, table::Throttled> {
        let now = self.clock.now();
        self.table.lock().unwrap().apply(t, now)
    }

    /// Reads rows by key.
    pub fn get(&self, keys: &[String]) -> Result<api::Rows, table::Throttled> {
        let now = self.clock.now();
        self.table.lock().unwrap().get(keys, now)
    }

    /// Reads rows by prefix.
    pub fn scan(&self, prefix: &str) -> Result<api::Rows, table::Throttled> {
        let now = self.clock.now();
        self.table.lock().unwrap().scan(prefix, now)
    }

    /// Reads unexpired leases by prefix.
    pub fn leases(&self, prefix: &str) -> Result<api::Leases, table::Throttled> {
        let now = self.clock.now();
        self.table.lock().unwrap().leases(prefix, now)
    }

    /// Stores an object.
    pub fn put_object(&self, name: &str, body: String) -> u64 {
        self.store.lock().unwrap().put(name, body)
    }

    /// Fetches an object.
    pub fn get_object(&self, name: &str) -> Option<store::Object> {
        self.store.lock().unwrap().get(name)
    }

    /// Every worker of every domain.
    pub fn workers(&self) -> Vec<workers::WorkerInfo> {
        self.domains.values().flat_map(|d| d.lock().unwrap().list()).collect()
    }

    fn domain_of(name: &str) -> &str {
        name.split('-').next().unwrap_or(name)
    }

    fn tick_all(&self) {
        let now = self.clock.now();
        self.domains.values().for_each(|d| d.lock().unwrap().tick(now));
    }

    /// Starts tasks, each only if its shard's lease epoch is current and the table holds its
    /// placement on that worker under that epoch: a placer that lost its lease while paused, or
    /// a task refused or cancelled, is not started.
    pub fn start(&self, reqs: &[workers::StartReq]) -> Vec<workers::StartResult> {
        self.tick_all();
        let now = self.clock.now();
        let fenced: Vec<Option<workers::StartRefusal>> = {
            let t = self.table.lock().unwrap();
            reqs.iter()
                .map(|r| {
                    if !t.epoch_valid(&r.lease, r.epoch, now) {
                        return Some(workers::StartRefusal::StaleEpoch);
                    }
                    let want = json!({ "worker": r.worker, "epoch": r.epoch });
                    match t.peek(&place_key(&r.task)) {
                        Some(row) if row.value == want => None,
                        _ => Some(workers::StartRefusal::NotPlaced),
                    }
                })
                .collect()
        };
        let mut rng = rand::thread_rng();
        reqs.iter()
            .zip(fenced)
            .map(|(r, refused)| {
                let refused = refused.or_else(|| {
                    let Some(d) = self.domains.get(Self::domain_of(&r.worker)) else {
                        return Some(workers::StartRefusal::UnknownWorker);
                    };
                    // The oracle: a task started while it already runs anywhere in the cell is
                    // a double run. A repeated start on the same worker is refused, not counted.
                    let before = self.domains.values().any(|d| d.lock().unwrap().holds(&r.task));
                    let refused = d.lock().unwrap().start(r, now, rng.gen_range(50..=200));
                    if before && refused.is_none() {
                        self.double_runs.fetch_add(1, Ordering::Relaxed);
                    }
                    refused
                });
                if let Some(why) = refused {
                    *self.refused.lock().unwrap().entry(format!("{why:?}")).or_default() += 1;
                    metrics::counter!("platform_starts_refused").increment(1);
                }
                workers::StartResult { task: r.task.clone(), refused }
            })
            .collect()
    }

    /// Stops a running task.
    pub fn stop(&self, task: &str, worker: &str) -> bool {
        let now = self.clock.now();
        let Some(d) = self.domains.get(Self::domain_of(worker)) else { return false };
        d.lock().unwrap().stop(task, worker, now)
    }

    /// The lagging report of a domain's ended tasks after `since`.
    pub fn report(&self, domain: &str, since: u64) -> Option<workers::Report> {
        let now = self.clock.now();
        let d = self.domains.get(domain)?;
        let mut d = d.lock().unwrap();
        d.tick(now);
        Some(d.report(since, now, self.settings.usage_lag_ms))
    }

    /// The lagging instance list.
    pub fn instances(&self) -> BTreeMap<String, instances::InstanceState> {
        let now = self.clock.now();
        self.instances.lock().unwrap().view(now, self.settings.instance_lag_ms)
    }

    /// Changes an instance's state; false for an unknown one.
    pub fn set_instance(&self, name: &str, state: instances::InstanceState) -> bool {
        let now = self.clock.now();
        self.instances.lock().unwrap().set(name, state, now)
    }

    /// Adds faults to the plan; broken workers break at once.
    pub fn add_faults(&self, faults: Vec<faults::Fault>) {
        let now = self.clock.now();
        for f in &faults {
            if let faults::FaultKind::Broken { worker } = &f.kind {
                if let Some(d) = self.domains.get(Self::domain_of(worker)) {
                    d.lock().unwrap().set_broken(worker, true);
                }
            }
        }
        self.plan.lock().unwrap().add(faults, now);
    }

    /// What the plan does to a call on `target` now.
    pub fn effect(&self, target: faults::Target) -> faults::Effect {
        self.plan.lock().unwrap().effect(target, self.clock.now())
    }

    /// Counters and oracle figures.
    pub fn stats(&self) -> api::Stats {
        self.tick_all();
        let up = self.clock.now() - self.born;
        let secs = (up as f64 / 1000.0).max(0.001);
        let table = self.table.lock().unwrap().counts.clone();
        let mut s = api::Stats {
            writes_per_s: table.writes as f64 / secs,
            reads_per_s: table.reads as f64 / secs,
            table,
            double_runs: self.double_runs.load(Ordering::Relaxed),
            uptime_ms: up,
            ..api::Stats::default()
        };
        for d in self.domains.values() {
            let d = d.lock().unwrap();
            s.started += d.started;
            s.running += d.running().count() as u64;
            s.overcommitted.extend(d.overcommitted.iter().cloned());
        }
        s.refused = self.refused.lock().unwrap().clone();
        s.overcommitted_workers = s.overcommitted.len() as u64;
        s
    }

    /// The state dump: sizes, usage per worker, faults, instance list.
    pub fn dump(&self) -> serde_json::Value {
        let (rows, leases, idem) = self.table.lock().unwrap().sizes();
        let (objects, bytes) = self.store.lock().unwrap().size();
        let usage: BTreeMap<String, serde_json::Value> = self
            .domains
            .values()
            .flat_map(|d| d.lock().unwrap().usage())
            .map(|(w, n, used)| (w, json!({ "tasks": n, "used": used })))
            .collect();
        json!({
            "role": "platform",
            "table": { "rows": rows, "leases": leases, "idempotency_records": idem },
            "store": { "objects": objects, "bytes": bytes },
            "workers": usage,
            "instances": self.instances(),
            "faults": self.plan.lock().unwrap().clone(),
            "stats": self.stats(),
        })
    }
}
