//! The loops that drive lookups, writes and catalogue edits, and watch catalogue versions.

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

/// Longest wait for an answer; a process that is stopped must not stop the driver.
const CALL: Duration = Duration::from_secs(5);

/// Wait after a refusal.
const BACKOFF: Duration = Duration::from_millis(20);

/// Repeats of a write whose outcome is unknown.
const REPEATS: u32 = 4;

/// Gap between writes of one loop, and between looks at a catalogue version.
const GAP: Duration = Duration::from_millis(20);

fn client() -> &'static surf::Client {
    static CLIENT: OnceLock<surf::Client> = OnceLock::new();
    CLIENT.get_or_init(crate::http::client)
}

/// Fetches JSON; none on any failure.
pub async fn get_json<T: DeserializeOwned>(url: &str) -> Option<T> {
    let call = async {
        let mut res = client().get(url).await.ok()?;
        res.status().is_success().then_some(())?;
        res.body_json().await.ok()
    };
    future::timeout(CALL, call).await.ok()?
}

/// Posts JSON; the status on failure, 0 when there was none.
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
    future::timeout(CALL, call).await.unwrap_or(Err(0))
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
    /// Set when the load is over.
    pub done: AtomicBool,
    looks: Latency,
    writes: Latency,
    ok: AtomicU64,
    failed: AtomicU64,
    crossed: AtomicU64,
    written: AtomicU64,
    refused: AtomicU64,
    unknown: AtomicU64,
    edits: AtomicU64,
    edit_us: AtomicU64,
    reverts: AtomicU64,
    stamp: u64,
}

impl Load {
    /// Loops over the entries at `bases`.
    pub fn new(bases: Vec<String>) -> Self {
        Self {
            bases,
            done: AtomicBool::new(false),
            looks: Latency::new(),
            writes: Latency::new(),
            ok: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            crossed: AtomicU64::new(0),
            written: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            unknown: AtomicU64::new(0),
            edits: AtomicU64::new(0),
            edit_us: AtomicU64::new(0),
            reverts: AtomicU64::new(0),
            stamp: rand::random(),
        }
    }

    fn over(&self) -> bool {
        self.done.load(Ordering::Relaxed)
    }

    fn base(&self, n: usize) -> &str {
        &self.bases[n % self.bases.len()]
    }

    /// Looks keys up through entry `n`, one after the other.
    pub async fn look(self: Arc<Self>, n: usize) {
        let kind = if n.is_multiple_of(2) { "runner" } else { "card" };
        let mut i = 0u64;
        while !self.over() {
            i += 1;
            let key = format!("{kind}-{n}-{i}");
            let start = Instant::now();
            match get_json::<Answer>(&format!("{}/lookup?key={key}", self.base(n))).await {
                Some(a) if a.value == wire::value_for(&key) && a.key == key => {
                    self.ok.fetch_add(1, Ordering::Relaxed);
                    self.looks.record(start);
                }
                Some(_) => drop(self.crossed.fetch_add(1, Ordering::Relaxed)),
                None => {
                    self.failed.fetch_add(1, Ordering::Relaxed);
                    task::sleep(BACKOFF).await;
                }
            }
        }
    }

    /// Writes one id after the other, starting at entry `n`; a write whose outcome is unknown is
    /// repeated through the other entries, as a caller would.
    pub async fn write(self: Arc<Self>, n: usize) {
        let mut i = 0u64;
        while !self.over() {
            i += 1;
            let id = format!("split-{:x}-{n}-{i}", self.stamp);
            let body = serde_json::json!({ "id": id, "body": "checkpoint" });
            let start = Instant::now();
            let mut last = 0;
            for repeat in 0..REPEATS {
                let url = format!("{}/write", self.base(n + repeat as usize));
                match post_json::<WriteDone>(&url, &body).await {
                    Ok(_) => {
                        last = 200;
                        break;
                    }
                    Err(status) => last = status,
                }
                task::sleep(BACKOFF * 5).await;
            }
            let count = match last {
                200 => {
                    self.writes.record(start);
                    &self.written
                }
                503 => &self.refused,
                _ => &self.unknown,
            };
            count.fetch_add(1, Ordering::Relaxed);
            task::sleep(GAP).await;
        }
    }

    /// Watches entry `n`'s catalogue version, which must never go back.
    pub async fn watch_versions(self: Arc<Self>, n: usize) {
        let mut seen = 0;
        while !self.over() {
            if let Some(v) = self.version(n).await {
                if v < seen {
                    self.reverts.fetch_add(1, Ordering::Relaxed);
                }
                seen = v;
            }
            task::sleep(GAP * 10).await;
        }
    }

    async fn version(&self, n: usize) -> Option<u64> {
        let url = format!("{}/debug/state", self.base(n));
        get_json::<serde_json::Value>(&url).await?["catalogue"]["version"].as_u64()
    }

    /// Edits the catalogue every `gap` and measures how long each edit takes to be in force on
    /// every entry that answers.
    pub async fn edit(self: Arc<Self>, gap: Duration) {
        let mut n = 0;
        while !self.over() {
            task::sleep(gap).await;
            n += 1;
            let url = format!("{}/catalogue", self.base(n));
            let Some(cat) = get_json::<Catalogue>(&url).await else { continue };
            let Some(mut entry) = cat.entries.into_values().next() else { continue };
            entry.quota.mem += n as u64 % 2;
            let edit = serde_json::json!({ "base": cat.version, "entries": [entry] });
            let start = Instant::now();
            let Ok(done) = post_json::<serde_json::Value>(&url, &edit).await else { continue };
            self.edits.fetch_add(1, Ordering::Relaxed);
            let want = done["version"].as_u64().unwrap_or(0);
            for e in 0..self.bases.len() {
                while !self.over() && self.version(e).await.is_some_and(|v| v < want) {
                    task::sleep(GAP).await;
                }
            }
            self.edit_us.fetch_max(start.elapsed().as_micros() as u64, Ordering::Relaxed);
        }
    }

    /// Takes the counters into `report`.
    pub fn fill(&self, report: &mut Report) {
        let get = |n: &AtomicU64| n.load(Ordering::Relaxed);
        report.lookups_ok = get(&self.ok);
        report.lookups_failed = get(&self.failed);
        report.lookups_crossed = get(&self.crossed);
        report.lookup_p50_ms = self.looks.ms(0.5);
        report.lookup_p99_ms = self.looks.ms(0.99);
        report.writes_ok = get(&self.written);
        report.writes_refused = get(&self.refused);
        report.writes_unknown = get(&self.unknown);
        report.write_p50_ms = self.writes.ms(0.5);
        report.edits_ok = get(&self.edits);
        report.edit_max_ms = get(&self.edit_us) as f64 / 1000.0;
        report.catalogue_reverts = get(&self.reverts);
    }
}
