//! A small cell in the test process, on the loopback interface: the platform stand-in, runners and
//! entry instances, each with its own stop trigger. `stop` joins all of them.

#![allow(dead_code)]

pub mod ports;
pub mod procs;

pub use ports::free_addr;

use currantgw::entry::Entry;
use currantgw::kernel::clock::Clock;
use currantgw::kernel::res::Resources;
use currantgw::kernel::stop::{self, Trigger};
use currantgw::options::{
    Cell, DomainSpec, EntrySpec, PlatformSettings, RunnerSettings, RunnerSpec, Timing,
};
use currantgw::runner::Runner;
use currantgw::standin::Platform;
use std::sync::Arc;
use std::time::Duration;

/// Settings of a cell with one domain `a` of `racks` racks × 4 workers of 16 cores / 64 GiB.
pub fn cell(entries: usize, runners: usize, racks: u32) -> Cell {
    Cell {
        platform: PlatformSettings {
            listen: free_addr(),
            writes: 400,
            reads: 2000,
            usage_lag_ms: 100,
            instance_lag_ms: 200,
            domains: vec![DomainSpec {
                name: "a".into(),
                region: "andes".into(),
                racks,
                workers: 4,
                worker: Resources { cpu: 16000, mem: 65536, acc: 1 },
            }],
        },
        timing: Timing {
            lease_ms: 900,
            heartbeat_ms: 150,
            round_ms: 50,
            watch_ms: 100,
            lookup_ms: 1000,
            write_ms: 1000,
            hedge_ms: 100,
            retry_pct: 10,
            ping_ms: 100,
            idle_ms: 400,
            instances_ms: 100,
            hold_ms: 3000,
            linger_ms: 50,
            ledger_ms: 20,
            ..Timing::default()
        },
        entries: (0..entries)
            .map(|i| EntrySpec {
                id: format!("entry-{i}"),
                domain: "a".into(),
                listen: free_addr(),
            })
            .collect(),
        runners: (0..runners)
            .map(|i| RunnerSpec {
                id: format!("runner-{i}"),
                domain: "a".into(),
                listen: free_addr(),
                admin: free_addr(),
            })
            .collect(),
        runner: RunnerSettings { slots: 8, connections: 64, service_ms: 1 },
    }
}

/// A running cell in the test process.
pub struct TestCell {
    pub cell: Cell,
    pub platform: Arc<Platform>,
    pub runners: Vec<Arc<Runner>>,
    pub entries: Vec<Arc<Entry>>,
    triggers: Vec<Trigger>,
    tasks: Vec<async_std::task::JoinHandle<()>>,
}

impl TestCell {
    /// Starts every process of `cell` as tasks of this test process.
    pub async fn start(cell: Cell) -> Self {
        let clock = Clock::real();
        let names: Vec<String> = cell.runners.iter().map(|r| r.id.clone()).collect();
        let platform = Arc::new(Platform::new(cell.platform.clone(), &names, clock.clone()));
        let mut this = Self {
            cell: cell.clone(),
            platform: platform.clone(),
            runners: vec![],
            entries: vec![],
            triggers: vec![],
            tasks: vec![],
        };
        let (t, s) = stop::pair();
        let (_, serve) = currantgw::admin::bind(
            currantgw::standin::server::app(platform),
            cell.platform.listen,
            currantgw::ingress::limits::Limits::cell("platform"),
            s,
            clock.clone(),
            currantgw::admin::Drain { linger_ms: 0, drain_ms: 100 },
        )
        .unwrap();
        this.triggers.push(t);
        this.tasks.push(async_std::task::spawn(serve));
        for r in &cell.runners {
            let runner = Runner::new(r.clone(), cell.runner.clone(), clock.clone());
            let (t, s) = stop::pair();
            this.triggers.push(t);
            let run = runner.clone();
            this.tasks.push(async_std::task::spawn(async move { run.serve(s).await.unwrap() }));
            this.runners.push(runner);
        }
        for e in &cell.entries {
            this.add_entry(&e.id).await;
        }
        this
    }

    /// Starts entry `id` of the settings and returns its index.
    pub async fn add_entry(&mut self, id: &str) -> usize {
        let (t, s) = stop::pair();
        let entry = Entry::new(&self.cell, id, Clock::real(), s).unwrap();
        self.triggers.push(t);
        let run = entry.clone();
        self.tasks.push(async_std::task::spawn(async move { run.run().await.unwrap() }));
        self.entries.push(entry);
        self.entries.len() - 1
    }

    /// Returns the base URL of entry `i`.
    pub fn url(&self, i: usize) -> String {
        format!("http://{}", self.cell.entries[i].listen)
    }

    /// Waits until all shards are held and all runners are connected to every entry; panics after
    /// 100 attempts at intervals of 50 ms.
    pub async fn ready(&self) {
        for _ in 0..100 {
            let mut held = 0;
            for e in &self.entries {
                held += e.members.lock().await.held.len();
            }
            let shards: u32 = self.cell.platform.domains.iter().map(|d| d.racks).sum();
            let linked = self.entries.iter().all(|e| {
                e.pool.dump()["links"].as_object().unwrap().values().all(|l| l["connected"] == true)
            });
            if held >= shards as usize && linked {
                return;
            }
            async_std::task::sleep(Duration::from_millis(50)).await;
        }
        panic!("cell did not become ready");
    }

    /// Stops all processes of the cell and joins their tasks.
    pub async fn stop(mut self) {
        for t in self.triggers.iter_mut().rev() {
            t.fire();
        }
        for t in self.tasks.drain(..) {
            t.await;
        }
    }
}

/// HTTP client shared by all tests of the process.
pub fn client() -> &'static surf::Client {
    static CLIENT: std::sync::OnceLock<surf::Client> = std::sync::OnceLock::new();
    CLIENT.get_or_init(currantgw::http::client)
}

/// POSTs JSON and returns status and body.
pub async fn post(url: &str, body: &serde_json::Value) -> (u16, serde_json::Value) {
    let mut res = client().post(url).body_json(body).unwrap().await.unwrap();
    let status: u16 = res.status().into();
    (status, res.body_json().await.unwrap_or(serde_json::Value::Null))
}

/// POSTs raw text and returns status and body.
pub async fn post_raw(url: &str, body: &str) -> (u16, serde_json::Value) {
    let mut res = client().post(url).body_string(body.to_string()).await.unwrap();
    let status: u16 = res.status().into();
    (status, res.body_json().await.unwrap_or(serde_json::Value::Null))
}

/// GETs JSON from a process that may not answer; none after 2 s or on an error.
pub async fn try_get(url: &str) -> Option<serde_json::Value> {
    let answer = client().get(url).recv_json();
    async_std::future::timeout(Duration::from_secs(2), answer).await.ok()?.ok()
}

/// A job with `tasks` tasks of one core and 1 GiB each.
pub fn job(entry: &str, tasks: u32, run_ms: u64, key: &str) -> serde_json::Value {
    serde_json::json!({
        "entry": entry, "tasks": tasks, "demand": { "cpu": 1000, "mem": 1024 },
        "run_ms": run_ms, "key": key,
    })
}

/// GETs JSON and returns status and body.
pub async fn get(url: &str) -> (u16, serde_json::Value) {
    let mut res = client().get(url).await.unwrap();
    let status: u16 = res.status().into();
    (status, res.body_json().await.unwrap_or(serde_json::Value::Null))
}

/// The example catalogue as an edit based on version `base`.
pub fn catalogue(base: u64) -> serde_json::Value {
    let mut v: serde_json::Value =
        serde_json::from_str(include_str!("../../examples/catalogue.json")).unwrap();
    v["base"] = base.into();
    v
}

/// Calls `f` up to `tries` times, at intervals of 50 ms, until it returns true.
pub async fn eventually<F, Fut>(tries: u32, mut f: F) -> bool
where
    F: FnMut() -> Fut,
    Fut: std::future::Future<Output = bool>,
{
    for _ in 0..tries {
        if f().await {
            return true;
        }
        async_std::task::sleep(Duration::from_millis(50)).await;
    }
    false
}
