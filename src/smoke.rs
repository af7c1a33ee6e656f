//! The smoke and load driver: drives a running cell with lookups, writes and jobs of every
//! class for a while, then reports outcomes and the three promise counters.

use crate::entry::route::Answer;
use crate::entry::rows::{JobRow, JobState, TaskState};
use crate::entry::writes::WriteDone;
use crate::kernel::res::Resources;
use crate::options::Cell;
use crate::platform::api::Stats;
use crate::platform::faults::Fault;
use crate::wire;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// How long the driver waits after the load for batch work to end, s.
pub const SETTLE_S: u64 = 12;

/// What to drive.
#[derive(Clone, Debug)]
pub struct Knobs {
    /// Seconds of load.
    pub seconds: u64,
    /// Concurrent lookup loops.
    pub lookers: u32,
    /// Jobs per second.
    pub jobs: u32,
    /// Faults to post first.
    pub faults: Vec<Fault>,
}

/// The report. The three promise counters must be 0.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Jobs submitted.
    pub jobs_submitted: u64,
    /// Tasks in them.
    pub tasks_submitted: u64,
    /// Tasks placed at least once.
    pub tasks_placed: u64,
    /// Tasks ended well.
    pub tasks_finished: u64,
    /// Tasks refused as not run.
    pub tasks_refused: u64,
    /// Tasks still running or waiting at the end (services run on).
    pub tasks_open: u64,
    /// Submissions the entries did not accept (unavailable).
    pub submit_errors: u64,
    /// Lookups answered whole and right.
    pub lookups_ok: u64,
    /// Lookups not answered, or answered wrong.
    pub lookups_failed: u64,
    /// Lookups answered with a value that is not the key's (crossed answers; must be 0).
    pub lookups_crossed: u64,
    /// Median lookup latency, ms.
    pub lookup_p50_ms: f64,
    /// 99th percentile lookup latency, ms.
    pub lookup_p99_ms: f64,
    /// Writes acknowledged.
    pub writes_ok: u64,
    /// Writes refused or unanswered.
    pub writes_failed: u64,
    /// Promise: workers ever committed beyond capacity.
    pub overcommitted_workers: u64,
    /// Promise: tasks started while already running.
    pub double_runs: u64,
    /// Promise: write ids executed more than once.
    pub writes_executed_twice: u64,
    /// Table write transactions per second during the run.
    pub table_writes_per_s: f64,
    /// Table reads per second during the run.
    pub table_reads_per_s: f64,
    /// Seconds the run took, load and settling.
    pub seconds: f64,
}

impl Report {
    /// Whether every promise counter is 0.
    pub fn promises_kept(&self) -> bool {
        self.overcommitted_workers == 0
            && self.double_runs == 0
            && self.writes_executed_twice == 0
            && self.lookups_crossed == 0
    }
}

fn client() -> &'static surf::Client {
    static CLIENT: OnceLock<surf::Client> = OnceLock::new();
    CLIENT.get_or_init(crate::http::client)
}

async fn get_json<T: serde::de::DeserializeOwned>(url: String) -> Option<T> {
    let mut res = client().get(url).await.ok()?;
    res.status().is_success().then_some(())?;
    res.body_json().await.ok()
}

async fn post_json<T: serde::de::DeserializeOwned>(
    url: String,
    body: &impl Serialize,
) -> Result<T, u16> {
    let req = client().post(url).body_json(body).map_err(|_| 0u16)?;
    let mut res = req.await.map_err(|_| 0u16)?;
    let status: u16 = res.status().into();
    if status == 200 {
        return res.body_json().await.map_err(|_| status);
    }
    Err(status)
}

/// One kind of job the driver submits.
struct Kind {
    entry: &'static str,
    domain: &'static str,
    tasks: u32,
    demand: Resources,
    run_ms: u64,
}

const fn r(cpu: u64, mem: u64, acc: u64) -> Resources {
    Resources { cpu, mem, acc }
}

/// Split recomputations, ranking refreshes (a gang), tracker services, medic requests, archive
/// recalculations and shade conversions.
const KINDS: [Kind; 6] = [
    Kind {
        entry: "cronometria/splits",
        domain: "a",
        tasks: 2,
        demand: r(1000, 2048, 0),
        run_ms: 1500,
    },
    Kind {
        entry: "cronometria/medic",
        domain: "a",
        tasks: 1,
        demand: r(500, 1024, 0),
        run_ms: 800,
    },
    Kind {
        entry: "sabgha/archive",
        domain: "b",
        tasks: 4,
        demand: r(8000, 32768, 1),
        run_ms: 4000,
    },
    Kind { entry: "sabgha/shades", domain: "b", tasks: 2, demand: r(4000, 16384, 0), run_ms: 2000 },
    Kind {
        entry: "cronometria/tracker",
        domain: "a",
        tasks: 1,
        demand: r(1000, 2048, 0),
        run_ms: 0,
    },
    Kind {
        entry: "cronometria/ranking",
        domain: "a",
        tasks: 4,
        demand: r(4000, 8192, 0),
        run_ms: 2500,
    },
];

/// Drives `cell` as `knobs` say and reports.
pub async fn run(cell: &Cell, knobs: &Knobs) -> eyre::Result<Report> {
    let t0 = Instant::now();
    let platform = format!("http://{}", cell.platform.listen);
    if !knobs.faults.is_empty() {
        post_json::<serde_json::Value>(format!("{platform}/faults"), &knobs.faults)
            .await
            .map_err(|s| eyre::eyre!("posting faults: {s}"))?;
    }
    let before: Stats = get_json(format!("{platform}/stats"))
        .await
        .ok_or_else(|| eyre::eyre!("platform unreachable"))?;
    let entries: Vec<(String, String)> =
        cell.entries.iter().map(|e| (e.domain.clone(), format!("http://{}", e.listen))).collect();
    let done = Arc::new(AtomicBool::new(false));
    let hist = Arc::new(Mutex::new(Histogram::<u64>::new(3)?));
    let ok = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let crossed = Arc::new(AtomicU64::new(0));
    let mut loops = Vec::new();
    for n in 0..knobs.lookers {
        let (done, hist, ok, failed, crossed) =
            (done.clone(), hist.clone(), ok.clone(), failed.clone(), crossed.clone());
        let base = entries[n as usize % entries.len()].1.clone();
        loops.push(async_std::task::spawn(async move {
            let mut i = 0u64;
            while !done.load(Ordering::Relaxed) {
                i += 1;
                let key =
                    if n % 2 == 0 { format!("runner-{n}-{i}") } else { format!("card-{n}-{i}") };
                let start = Instant::now();
                let got: Option<Answer> = get_json(format!("{base}/lookup?key={key}")).await;
                let ms = start.elapsed().as_micros() as u64;
                match got {
                    Some(a) if a.value == wire::value_for(&key) && a.key == key => {
                        ok.fetch_add(1, Ordering::Relaxed);
                        let _ = hist.lock().unwrap().record(ms.max(1));
                    }
                    Some(_) => {
                        crossed.fetch_add(1, Ordering::Relaxed);
                    }
                    None => {
                        failed.fetch_add(1, Ordering::Relaxed);
                        async_std::task::sleep(Duration::from_millis(20)).await;
                    }
                }
            }
        }));
    }
    let writes_ok = Arc::new(AtomicU64::new(0));
    let writes_failed = Arc::new(AtomicU64::new(0));
    {
        let (done, wok, wfail) = (done.clone(), writes_ok.clone(), writes_failed.clone());
        let base = entries[0].1.clone();
        let run = t0.elapsed().as_nanos();
        loops.push(async_std::task::spawn(async move {
            let mut i = 0u64;
            while !done.load(Ordering::Relaxed) {
                i += 1;
                let body =
                    serde_json::json!({ "id": format!("split-{run}-{i}"), "body": "checkpoint" });
                match post_json::<WriteDone>(format!("{base}/write"), &body).await {
                    Ok(_) => wok.fetch_add(1, Ordering::Relaxed),
                    Err(_) => wfail.fetch_add(1, Ordering::Relaxed),
                };
                async_std::task::sleep(Duration::from_millis(20)).await;
            }
        }));
    }
    let mut report = Report::default();
    let mut ids = Vec::new();
    let gap = Duration::from_millis(1000 / u64::from(knobs.jobs.max(1)));
    let stamp = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?.as_millis();
    let mut n = 0usize;
    let mut gangs = 0;
    while t0.elapsed() < Duration::from_secs(knobs.seconds) {
        n += 1;
        let mut kind = &KINDS[n % (KINDS.len() - 1)];
        if n.is_multiple_of(25) && gangs < 3 {
            kind = &KINDS[5];
            gangs += 1;
        }
        let base = entries
            .iter()
            .filter(|(d, _)| d == kind.domain)
            .map(|(_, b)| b)
            .nth(n % 2)
            .or_else(|| entries.iter().find(|(d, _)| d == kind.domain).map(|(_, b)| b));
        let Some(base) = base else { continue };
        let spec = serde_json::json!({
            "entry": kind.entry, "tasks": kind.tasks, "demand": kind.demand,
            "run_ms": kind.run_ms, "key": format!("smoke-{stamp}-{n}"),
        });
        report.jobs_submitted += 1;
        report.tasks_submitted += u64::from(kind.tasks);
        match post_json::<JobRow>(format!("{base}/jobs"), &spec).await {
            Ok(row) => ids.push((base.clone(), row.id)),
            Err(422) => report.tasks_refused += u64::from(kind.tasks),
            Err(_) => report.submit_errors += 1,
        }
        async_std::task::sleep(gap).await;
    }
    done.store(true, Ordering::Relaxed);
    futures::future::join_all(loops).await;
    // Let batch work end, then read every job's outcome.
    let settle = Instant::now();
    let mut rows: Vec<JobRow> = Vec::new();
    while settle.elapsed() < Duration::from_secs(SETTLE_S) {
        rows.clear();
        for chunk in ids.chunks(200) {
            let base = &chunk[0].0;
            let body =
                serde_json::json!({ "ids": chunk.iter().map(|(_, id)| id).collect::<Vec<_>>() });
            if let Ok(got) = post_json::<Vec<JobRow>>(format!("{base}/jobs/status"), &body).await {
                rows.extend(got);
            }
        }
        let open = rows
            .iter()
            .filter(|j| {
                j.class != crate::kernel::res::Class::Service
                    && matches!(j.state, JobState::Pending | JobState::Running)
            })
            .count();
        if open == 0 && rows.len() == ids.len() {
            break;
        }
        async_std::task::sleep(Duration::from_millis(500)).await;
    }
    for j in &rows {
        for t in &j.tasks {
            report.tasks_placed += u64::from(t.attempt > 0);
            match t.state {
                TaskState::Finished => report.tasks_finished += 1,
                TaskState::Refused => report.tasks_refused += 1,
                TaskState::Pending | TaskState::Placed => report.tasks_open += 1,
                TaskState::Failed | TaskState::Cancelled => {}
            }
        }
    }
    let after: Stats = get_json(format!("{platform}/stats"))
        .await
        .ok_or_else(|| eyre::eyre!("platform unreachable"))?;
    for r in &cell.runners {
        let s: Option<crate::runner::Stats> = get_json(format!("http://{}/stats", r.admin)).await;
        report.writes_executed_twice += s.map_or(0, |s| s.writes_executed_twice);
    }
    let secs = (after.uptime_ms.saturating_sub(before.uptime_ms) as f64 / 1000.0).max(0.001);
    report.table_writes_per_s = (after.table.writes - before.table.writes) as f64 / secs;
    report.table_reads_per_s = (after.table.reads - before.table.reads) as f64 / secs;
    report.overcommitted_workers = after.overcommitted_workers;
    report.double_runs = after.double_runs;
    report.lookups_ok = ok.load(Ordering::Relaxed);
    report.lookups_failed = failed.load(Ordering::Relaxed);
    report.lookups_crossed = crossed.load(Ordering::Relaxed);
    report.writes_ok = writes_ok.load(Ordering::Relaxed);
    report.writes_failed = writes_failed.load(Ordering::Relaxed);
    let h = hist.lock().unwrap();
    report.lookup_p50_ms = h.value_at_quantile(0.5) as f64 / 1000.0;
    report.lookup_p99_ms = h.value_at_quantile(0.99) as f64 / 1000.0;
    report.seconds = t0.elapsed().as_secs_f64();
    Ok(report)
}
