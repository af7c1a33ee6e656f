//! The loops of the load driver that send lookups, writes and catalogue edits, and check that
//! catalogue versions never decrease. Every call has a time limit.

use super::report::Report;
use crate::entry::api::ApiError;
use crate::entry::catalogue::Catalogue;
use crate::entry::route::Answer;
use crate::entry::writes::WriteDone;
use crate::wire;
use async_std::{future, task};
use hdrhistogram::Histogram;
use serde::{de::DeserializeOwned, Serialize};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Time limit of a call, so that a stopped process does not block the driver.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed call.
const BACKOFF: Duration = Duration::from_millis(20);

/// Attempts of a write that has not been acknowledged.
const WRITE_ATTEMPTS: u32 = 4;

/// Delay between two writes of one loop, and between two reads of a catalogue version.
const LOOP_INTERVAL: Duration = Duration::from_millis(20);

fn client() -> &'static surf::Client {
    static CLIENT: OnceLock<surf::Client> = OnceLock::new();
    CLIENT.get_or_init(crate::http::client)
}

/// Fetches JSON; `None` on any failure.
pub async fn get_json<T: DeserializeOwned>(url: &str) -> Option<T> {
    let call = async {
        let mut res = client().get(url).await.ok()?;
        res.status().is_success().then_some(())?;
        res.body_json().await.ok()
    };
    future::timeout(CALL_TIMEOUT, call).await.ok()?
}

/// Posts JSON; on failure the status of the answer, or 0 if there was no answer.
pub async fn post_json<T: DeserializeOwned>(url: &str, body: &impl Serialize) -> Result<T, u16> {
    let call = async {
        let req = client().post(url).body_json(body).map_err(|_| 0u16)?;
        let mut res = req.await.map_err(|_| 0u16)?;
        let status: u16 = res.status().into();
        match status {
            200 => res.body_json().await.map_err(|_| status),
            _ => {
                let _ = res.body_json::<ApiError>().await;
                Err(status)
            }
        }
    };
    future::timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(0))
}

/// Latencies in microseconds.
struct Latency(Mutex<Histogram<u64>>);

impl Latency {
    fn new() -> Self {
        Self(Mutex::new(Histogram::new(3).expect("3 significant figures are allowed")))
    }

    fn record(&self, since: Instant) {
        let us = since.elapsed().as_micros() as u64;
        let _ = self.0.lock().unwrap().record(us.max(1));
    }

    fn ms(&self, quantile: f64) -> f64 {
        self.0.lock().unwrap().value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Counters shared by the loops.
pub struct Load {
    bases: Vec<String>,
    /// Set at the end of the load; the loops then return.
    pub done: AtomicBool,
    lookup_latency: Latency,
    write_latency: Latency,
    lookups_ok: AtomicU64,
    lookups_failed: AtomicU64,
    lookups_crossed: AtomicU64,
    writes_ok: AtomicU64,
    writes_refused: AtomicU64,
    writes_unknown: AtomicU64,
    edits: AtomicU64,
    slowest_edit_us: AtomicU64,
    reverts: AtomicU64,
    /// Random number in the write ids of this run.
    run_id: u64,
}

impl Load {
    /// Counters for loops that call the entry instances at the URLs `bases`.
    pub fn new(bases: Vec<String>) -> Self {
        Self {
            bases,
            done: AtomicBool::new(false),
            lookup_latency: Latency::new(),
            write_latency: Latency::new(),
            lookups_ok: AtomicU64::new(0),
            lookups_failed: AtomicU64::new(0),
            lookups_crossed: AtomicU64::new(0),
            writes_ok: AtomicU64::new(0),
            writes_refused: AtomicU64::new(0),
            writes_unknown: AtomicU64::new(0),
            edits: AtomicU64::new(0),
            slowest_edit_us: AtomicU64::new(0),
            reverts: AtomicU64::new(0),
            run_id: rand::random(),
        }
    }

    fn is_done(&self) -> bool {
        self.done.load(Ordering::Relaxed)
    }

    fn base(&self, n: usize) -> &str {
        &self.bases[n % self.bases.len()]
    }

    /// Sends lookups to entry `n`, one after the other, until the load ends.
    pub async fn run_lookups(self: Arc<Self>, n: usize) {
        let kind = if n.is_multiple_of(2) { "runner" } else { "card" };
        let mut i = 0u64;
        while !self.is_done() {
            i += 1;
            let key = format!("{kind}-{n}-{i}");
            let start = Instant::now();
            match get_json::<Answer>(&format!("{}/lookup?key={key}", self.base(n))).await {
                Some(a) if a.value == wire::value_for(&key) && a.key == key => {
                    self.lookups_ok.fetch_add(1, Ordering::Relaxed);
                    self.lookup_latency.record(start);
                }
                Some(_) => drop(self.lookups_crossed.fetch_add(1, Ordering::Relaxed)),
                None => {
                    self.lookups_failed.fetch_add(1, Ordering::Relaxed);
                    task::sleep(BACKOFF).await;
                }
            }
        }
    }

    /// Sends writes one after the other, first to entry `n`. A write that is not acknowledged is
    /// repeated at the other entries, as a caller would do.
    pub async fn run_writes(self: Arc<Self>, n: usize) {
        let mut i = 0u64;
        while !self.is_done() {
            i += 1;
            let id = format!("split-{:x}-{n}-{i}", self.run_id);
            let body = serde_json::json!({ "id": id, "body": "checkpoint" });
            let start = Instant::now();
            let mut last_status = 0;
            for attempt in 0..WRITE_ATTEMPTS {
                let url = format!("{}/write", self.base(n + attempt as usize));
                match post_json::<WriteDone>(&url, &body).await {
                    Ok(_) => {
                        last_status = 200;
                        break;
                    }
                    Err(status) => last_status = status,
                }
                task::sleep(BACKOFF * 5).await;
            }
            let count = match last_status {
                200 => {
                    self.write_latency.record(start);
                    &self.writes_ok
                }
                503 => &self.writes_refused,
                _ => &self.writes_unknown,
            };
            count.fetch_add(1, Ordering::Relaxed);
            task::sleep(LOOP_INTERVAL).await;
        }
    }

    /// Reads the catalogue version of entry `n` and counts each decrease, which is a fault.
    pub async fn watch_versions(self: Arc<Self>, n: usize) {
        let mut latest = 0;
        while !self.is_done() {
            if let Some(v) = self.version(n).await {
                if v < latest {
                    self.reverts.fetch_add(1, Ordering::Relaxed);
                }
                latest = v;
            }
            task::sleep(LOOP_INTERVAL * 10).await;
        }
    }

    async fn version(&self, n: usize) -> Option<u64> {
        let url = format!("{}/debug/state", self.base(n));
        get_json::<serde_json::Value>(&url).await?["catalogue"]["version"].as_u64()
    }

    /// Edits the catalogue every `interval` and measures the time until each edit is in force on
    /// every entry that answers.
    pub async fn run_edits(self: Arc<Self>, interval: Duration) {
        let mut n = 0;
        while !self.is_done() {
            task::sleep(interval).await;
            n += 1;
            let url = format!("{}/catalogue", self.base(n));
            let Some(cat) = get_json::<Catalogue>(&url).await else { continue };
            let Some(mut entry) = cat.entries.into_values().next() else { continue };
            entry.quota.mem += n as u64 % 2;
            let edit = serde_json::json!({ "base": cat.version, "entries": [entry] });
            let start = Instant::now();
            let Ok(done) = post_json::<serde_json::Value>(&url, &edit).await else { continue };
            self.edits.fetch_add(1, Ordering::Relaxed);
            let edited = done["version"].as_u64().unwrap_or(0);
            for e in 0..self.bases.len() {
                while !self.is_done() && self.version(e).await.is_some_and(|v| v < edited) {
                    task::sleep(LOOP_INTERVAL).await;
                }
            }
            self.slowest_edit_us.fetch_max(start.elapsed().as_micros() as u64, Ordering::Relaxed);
        }
    }

    /// Copies the counters into `report`.
    pub fn fill(&self, report: &mut Report) {
        let get = |n: &AtomicU64| n.load(Ordering::Relaxed);
        report.lookups_ok = get(&self.lookups_ok);
        report.lookups_failed = get(&self.lookups_failed);
        report.lookups_crossed = get(&self.lookups_crossed);
        report.lookup_p50_ms = self.lookup_latency.ms(0.5);
        report.lookup_p99_ms = self.lookup_latency.ms(0.99);
        report.writes_ok = get(&self.writes_ok);
        report.writes_refused = get(&self.writes_refused);
        report.writes_unknown = get(&self.writes_unknown);
        report.write_p50_ms = self.write_latency.ms(0.5);
        report.edits_ok = get(&self.edits);
        report.edit_max_ms = get(&self.slowest_edit_us) as f64 / 1000.0;
        report.catalogue_reverts = get(&self.reverts);
    }
}
