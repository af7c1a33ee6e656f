//! The platform stand-in: a service with table, object store, workers, instance list and fault
//! plan, its HTTP server, and the client that entry instances use.

pub mod api;
pub mod client;
pub mod faults;
pub mod instances;
pub mod server;
pub mod store;
pub mod table;
pub mod tasks;
pub mod workers;

use crate::kernel::clock::Clock;
use crate::kernel::res::Resources;
use crate::options::PlatformSettings;
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Prefix of shard leases.
pub const LEASE_PREFIX: &str = "shard/";

/// Lease key of a shard, as used by entry instances and workers.
pub fn lease_key(shard: &str) -> String {
    format!("{LEASE_PREFIX}{shard}")
}

/// Prefix of the placement rows of a shard.
pub fn place_prefix(shard: &str) -> String {
    format!("place/{shard}/")
}

/// Row key of a task's placement; a task is started only if this row matches the start order.
pub fn place_key(shard: &str, task: &str) -> String {
    format!("{}{task}", place_prefix(shard))
}

/// A placement row: resources committed on a worker for one attempt of a task. A start order must
/// match it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRow {
    /// Worker name.
    pub worker: String,
    /// Fencing epoch of the placement. 0 once the placement is withdrawn: no start order matches
    /// it, and the resources stay committed until the shard's holder has read the completion.
    pub epoch: u64,
    /// Attempt number of the task.
    pub attempt: u32,
    /// Resources committed.
    pub demand: Resources,
}

impl PlaceRow {
    /// The row's JSON value.
    pub fn value(&self) -> serde_json::Value {
        json!(self)
    }
}

/// The platform stand-in; each interface has its own lock.
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
    started_at: crate::kernel::clock::Millis,
    refused: Mutex<BTreeMap<String, u64>>,
}

impl Platform {
    /// Builds the stand-in from its settings; `runners` are the names in the instance list.
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
            started_at: clock.now(),
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

    /// Rows under a prefix that changed since a revision.
    pub fn feed(&self, prefix: &str, since: u64) -> Result<table::Feed, table::Throttled> {
        let now = self.clock.now();
        self.table.lock().unwrap().feed(prefix, since, now)
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

    /// Bodies of the objects whose names start with `prefix`.
    pub fn objects(&self, prefix: &str) -> Vec<String> {
        self.store.lock().unwrap().bodies(prefix)
    }

    /// Lists the workers of all domains.
    pub fn workers(&self) -> Vec<tasks::WorkerInfo> {
        self.domains.values().flat_map(|d| d.lock().unwrap().list()).collect()
    }

    /// Failure domain of a worker or shard: its name up to the first hyphen.
    fn domain_of(name: &str) -> &str {
        name.split('-').next().unwrap_or(name)
    }

    /// Ends the tasks that are due and applies the fault plan to the workers of all domains.
    fn tick_all(&self) {
        let now = self.clock.now();
        let faults = {
            let plan = self.plan.lock().unwrap();
            plan.names_targets().then(|| plan.affected(now))
        };
        for d in self.domains.values() {
            let mut d = d.lock().unwrap();
            d.tick(now);
            if let Some(affected) = &faults {
                d.set_faults(affected);
            }
        }
    }

    /// Starts tasks. A task is started only if its shard's lease epoch is current and the table
    /// has its placement on that worker under that epoch and attempt. This refuses orders of a
    /// process that lost its lease while it was paused, and tasks that were refused or cancelled.
    pub fn start(&self, reqs: &[tasks::StartReq]) -> Vec<tasks::StartResult> {
        self.tick_all();
        let now = self.clock.now();
        let refusals: Vec<Option<tasks::StartRefusal>> = {
            let t = self.table.lock().unwrap();
            reqs.iter()
                .map(|r| {
                    if !t.epoch_valid(&r.lease, r.epoch, now) {
                        return Some(tasks::StartRefusal::StaleEpoch);
                    }
                    let (worker, demand) = (r.worker.clone(), r.demand);
                    let expected =
                        PlaceRow { worker, epoch: r.epoch, attempt: r.attempt, demand }.value();
                    let shard = r.lease.strip_prefix(LEASE_PREFIX).unwrap_or(&r.lease);
                    match t.peek(&place_key(shard, &r.task)) {
                        Some(row) if row.value == expected => None,
                        _ => Some(tasks::StartRefusal::NotPlaced),
                    }
                })
                .collect()
        };
        let mut rng = rand::thread_rng();
        reqs.iter()
            .zip(refusals)
            .map(|(r, refused)| {
                let refused = refused.or_else(|| {
                    let Some(d) = self.domains.get(Self::domain_of(&r.worker)) else {
                        return Some(tasks::StartRefusal::UnknownWorker);
                    };
                    // Invariant: a task runs at most once in the cell. A start while it runs on
                    // any worker counts as a double run; a repeated start of the same attempt on
                    // the same worker is refused and not counted.
                    let already_running =
                        self.domains.values().any(|d| d.lock().unwrap().runs_task(&r.task));
                    let refused = d.lock().unwrap().start(r, now, rng.gen_range(50..=200));
                    if already_running && refused.is_none() {
                        self.double_runs.fetch_add(1, Ordering::Relaxed);
                    }
                    refused
                });
                if let Some(why) = refused {
                    *self.refused.lock().unwrap().entry(format!("{why:?}")).or_default() += 1;
                    metrics::counter!("platform_starts_refused").increment(1);
                }
                tasks::StartResult { task: r.task.clone(), refused }
            })
            .collect()
    }

    /// Stops attempts of tasks; each result is whether the worker was reached.
    pub fn stop(&self, reqs: &[api::StopReq]) -> Vec<bool> {
        self.tick_all();
        let now = self.clock.now();
        let stop = |r: &api::StopReq| {
            let d = self.domains.get(Self::domain_of(&r.worker))?;
            Some(d.lock().unwrap().stop(&r.task, r.attempt, &r.worker, now))
        };
        reqs.iter().map(|r| stop(r).unwrap_or(false)).collect()
    }

    /// Polls shards. A poll under an epoch that a later one has superseded is answered as stale.
    pub fn poll(&self, polls: &[tasks::ShardPoll]) -> Vec<tasks::ShardReport> {
        self.tick_all();
        let now = self.clock.now();
        let current: Vec<bool> = {
            let t = self.table.lock().unwrap();
            polls.iter().map(|p| t.epoch_latest(&lease_key(&p.shard), p.epoch)).collect()
        };
        polls
            .iter()
            .zip(current)
            .map(|(p, current)| match self.domains.get(Self::domain_of(&p.shard)) {
                Some(d) if current => d.lock().unwrap().poll(p, now, self.settings.usage_lag_ms),
                _ => tasks::ShardReport { stale: true, ..tasks::ShardReport::default() },
            })
            .collect()
    }

    /// Free capacity per rack of a failure domain; `None` for an unknown domain.
    pub fn rack_capacity(&self, domain: &str) -> Option<Vec<tasks::RackCapacity>> {
        self.tick_all();
        Some(self.domains.get(domain)?.lock().unwrap().rack_capacity())
    }

    /// The instance list as readers see it, after the configured lag.
    pub fn instances(&self) -> BTreeMap<String, instances::InstanceState> {
        let now = self.clock.now();
        self.instances.lock().unwrap().view(now, self.settings.instance_lag_ms)
    }

    /// Changes an instance's state; false for an unknown one.
    pub fn set_instance(&self, name: &str, state: instances::InstanceState) -> bool {
        let now = self.clock.now();
        self.instances.lock().unwrap().set(name, state, now)
    }

    /// Adds faults to the plan.
    pub fn add_faults(&self, faults: Vec<faults::Fault>) {
        self.plan.lock().unwrap().add(faults, self.clock.now());
    }

    /// The plan's present effect on a call to `target` by a process of failure domain `caller`.
    pub fn effect(&self, target: faults::Target, caller: &str) -> faults::Effect {
        self.plan.lock().unwrap().effect(target, caller, self.clock.now())
    }

    /// Counters, among them those of broken invariants.
    pub fn stats(&self) -> api::Stats {
        self.tick_all();
        let up = self.clock.now() - self.started_at;
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
            s.lapsed += d.lapsed;
            s.running += d.running().count() as u64;
            s.overcommitted.extend(d.overcommitted.iter().cloned());
        }
        s.refused = self.refused.lock().unwrap().clone();
        s.overcommitted_workers = s.overcommitted.len() as u64;
        s
    }

    /// The state dump: sizes, usage per worker, fault plan, instance list and counters.
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
