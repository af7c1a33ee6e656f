//! The shape of the settings file. Defaults and ranges are documented in `examples/cell.json`.

use crate::kernel::res::Resources;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A whole cell: the platform stand-in, the entry instances and the runners.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    /// The platform stand-in (table service, object store, workers, instance list).
    pub platform: PlatformSettings,
    /// Timers and budgets shared by every entry instance.
    #[serde(default)]
    pub timing: Timing,
    /// Entry instances, each its own process.
    pub entries: Vec<EntryAddr>,
    /// Runner stand-ins (backend servers), each its own process.
    pub runners: Vec<RunnerAddr>,
    /// Sizes shared by every runner.
    #[serde(default)]
    pub runner: RunnerKnobs,
}

/// The platform stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// HTTP address of its API.
    pub listen: SocketAddr,
    /// Table write transactions allowed per second, for the whole cell (brief: several hundred).
    #[serde(default = "default_writes")]
    pub writes: u32,
    /// Table reads allowed per second, for the whole cell (brief: about two thousand).
    #[serde(default = "default_reads")]
    pub reads: u32,
    /// How far usage reports of workers lag behind, in ms.
    #[serde(default = "default_usage_lag")]
    pub usage_lag_ms: u64,
    /// How far the list of live and leaving instances lags behind, in ms.
    #[serde(default = "default_instance_lag")]
    pub instance_lag_ms: u64,
    /// Failure domains with their racks and workers.
    pub domains: Vec<DomainSpec>,
}

/// One failure domain of the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSpec {
    /// Its name, such as `a`.
    pub name: String,
    /// The region it lies in.
    pub region: String,
    /// Racks in it.
    pub racks: u32,
    /// Workers in each rack.
    pub workers: u32,
    /// What each worker offers.
    pub worker: Resources,
}

/// Timers of entry instances; all in ms.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Lifetime of a shard lease or membership row without renewal.
    pub lease_ms: u64,
    /// Interval of heartbeats that renew membership and shard leases.
    pub heartbeat_ms: u64,
    /// Interval of scheduling rounds of each shard held.
    pub round_ms: u64,
    /// Interval at which the catalogue version is read from the table.
    pub watch_ms: u64,
    /// Deadline of one lookup, end to end inside the entry.
    pub lookup_ms: u64,
    /// Deadline of one write.
    pub write_ms: u64,
    /// Wait before a hedged second try of a lookup.
    pub hedge_ms: u64,
    /// Retries allowed, in percent of requests (the retry budget).
    pub retry_pct: u64,
    /// Interval of pings on idle runner connections.
    pub ping_ms: u64,
    /// A connection with no frame for this long is dropped.
    pub idle_ms: u64,
    /// Interval at which the instance list is read.
    pub instances_ms: u64,
    /// Lifetime of task leases on workers without extension.
    pub hold_ms: u64,
    /// How long a stopping entry goes on accepting, so that the balancer sees it is not ready.
    pub linger_ms: u64,
    /// Gap between two commits of write records, per entry instance of the domain.
    pub ledger_ms: u64,
    /// How long outcomes stay in the table before they are swept to a report.
    pub keep_ms: u64,
    /// Interval of those sweeps.
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

/// One entry instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryAddr {
    /// Its id, unique in the cell.
    pub id: String,
    /// The failure domain it serves.
    pub domain: String,
    /// HTTP address for operators and callers.
    pub listen: SocketAddr,
}

/// One runner stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerAddr {
    /// Its id, unique in the cell; also its name in the instance list.
    pub id: String,
    /// The failure domain it lies in.
    pub domain: String,
    /// Websocket address for entry instances.
    pub listen: SocketAddr,
    /// HTTP address for `/metrics`, `/debug/state` and `/stats`.
    pub admin: SocketAddr,
}

/// Sizes of every runner.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RunnerKnobs {
    /// Requests served at once.
    pub slots: u32,
    /// Connections accepted at once.
    pub connections: u32,
    /// Service time of one lookup, in ms.
    pub service_ms: u64,
}

impl Default for RunnerKnobs {
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
    pub fn entry(&self, id: &str) -> Option<&EntryAddr> {
        self.entries.iter().find(|e| e.id == id)
    }

    /// The runner named `id`.
    pub fn runner_addr(&self, id: &str) -> Option<&RunnerAddr> {
        self.runners.iter().find(|r| r.id == id)
    }

    /// The failure domain named `name`.
    pub fn domain(&self, name: &str) -> Option<&DomainSpec> {
        self.platform.domains.iter().find(|d| d.name == name)
    }
}
