//! The types of the settings file. `examples/cell.json` has every field with its default; the
//! ranges are in `check`.

use crate::kernel::res::Resources;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of a cell: the platform stand-in, the entry instances and the runners.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    /// The platform stand-in (table service, object store, workers, instance list).
    pub platform: PlatformSettings,
    /// Timers and budgets shared by every entry instance.
    #[serde(default)]
    pub timing: Timing,
    /// Entry instances; each is a process of its own.
    pub entries: Vec<EntrySpec>,
    /// Runner stand-ins (backend servers); each is a process of its own.
    pub runners: Vec<RunnerSpec>,
    /// Limits and service time of every runner.
    #[serde(default)]
    pub runner: RunnerSettings,
}

/// Settings of the platform stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of its HTTP API.
    pub listen: SocketAddr,
    /// Table write transactions allowed per second, for the whole cell; the real
    /// platform allows several hundred.
    #[serde(default = "default_writes")]
    pub writes: u32,
    /// Table reads allowed per second, for the whole cell; the real platform allows about
    /// two thousand.
    #[serde(default = "default_reads")]
    pub reads: u32,
    /// Lag of the workers' reports, ms.
    #[serde(default = "default_usage_lag")]
    pub usage_lag_ms: u64,
    /// Lag of the list of live and leaving instances, ms.
    #[serde(default = "default_instance_lag")]
    pub instance_lag_ms: u64,
    /// Failure domains with their racks and workers.
    pub domains: Vec<DomainSpec>,
}

/// One failure domain of the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSpec {
    /// Name, such as `a`; without a hyphen, because names of shards and workers begin with it.
    pub name: String,
    /// Region.
    pub region: String,
    /// Number of racks.
    pub racks: u32,
    /// Number of workers per rack.
    pub workers: u32,
    /// Capacity of each worker.
    pub worker: Resources,
}

/// Timers of entry instances; in ms, except for `retry_pct`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Time after which a shard lease or membership row expires unless renewed.
    pub lease_ms: u64,
    /// Interval of heartbeats that renew membership and shard leases.
    pub heartbeat_ms: u64,
    /// Interval of scheduling rounds.
    pub round_ms: u64,
    /// Interval at which the catalogue version is read from the table.
    pub watch_ms: u64,
    /// Time limit of one lookup, retries included.
    pub lookup_ms: u64,
    /// Time limit of one write.
    pub write_ms: u64,
    /// Delay before a lookup is sent to a second runner (hedging).
    pub hedge_ms: u64,
    /// Retries allowed, in percent of requests (the retry budget).
    pub retry_pct: u64,
    /// Interval of pings on idle runner connections.
    pub ping_ms: u64,
    /// A runner connection without a frame for this time is closed.
    pub idle_ms: u64,
    /// Interval at which the instance list is read.
    pub instances_ms: u64,
    /// Time after which a task lease expires unless extended; the worker then kills the task.
    pub hold_ms: u64,
    /// Time for which a stopping entry accepts requests, until the load balancer has seen that it
    /// is not ready.
    pub linger_ms: u64,
    /// Interval between two commits of write records, per entry instance of the domain.
    pub ledger_ms: u64,
    /// Time for which outcomes are kept in the table before garbage collection moves them to a
    /// report.
    pub keep_ms: u64,
    /// Interval of garbage collection.
    pub sweep_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 3000,
            heartbeat_ms: 1000,
            round_ms: 200,
            watch_ms: 1000,
            lookup_ms: 1000,
            write_ms: 2000,
            hedge_ms: 150,
            retry_pct: 10,
            ping_ms: 500,
            idle_ms: 2000,
            instances_ms: 500,
            hold_ms: 10_000,
            linger_ms: 1000,
            ledger_ms: 40,
            keep_ms: 86_400_000,
            sweep_ms: 60_000,
        }
    }
}

/// Id, failure domain and address of an entry instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySpec {
    /// Id, unique in the cell.
    pub id: String,
    /// The failure domain that it serves.
    pub domain: String,
    /// HTTP address for operators and callers.
    pub listen: SocketAddr,
}

/// Id, failure domain and addresses of a runner stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerSpec {
    /// Id, unique in the cell; also the name in the instance list.
    pub id: String,
    /// The failure domain in which it runs.
    pub domain: String,
    /// Websocket address for entry instances.
    pub listen: SocketAddr,
    /// HTTP address for `/metrics`, `/debug/state` and `/stats`.
    pub admin: SocketAddr,
}

/// Limits and service time of every runner.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RunnerSettings {
    /// Maximum number of requests served at the same time.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Service time of one request, ms.
    pub service_ms: u64,
}

impl Default for RunnerSettings {
    fn default() -> Self {
        Self { slots: 8, connections: 64, service_ms: 2 }
    }
}

fn default_writes() -> u32 {
    400
}

fn default_reads() -> u32 {
    2000
}

fn default_usage_lag() -> u64 {
    500
}

fn default_instance_lag() -> u64 {
    1000
}

impl Cell {
    /// The entry instance named `id`.
    pub fn entry(&self, id: &str) -> Option<&EntrySpec> {
        self.entries.iter().find(|e| e.id == id)
    }

    /// The runner named `id`.
    pub fn runner(&self, id: &str) -> Option<&RunnerSpec> {
        self.runners.iter().find(|r| r.id == id)
    }

    /// The failure domain named `name`.
    pub fn domain(&self, name: &str) -> Option<&DomainSpec> {
        self.platform.domains.iter().find(|d| d.name == name)
    }
}
