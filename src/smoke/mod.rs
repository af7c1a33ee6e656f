//! The smoke and load driver: sends lookups, writes, catalogue edits and jobs of every class to a
//! running cell for a given time, then reports outcomes and counters of broken invariants.

mod calls;
mod jobs;
mod report;

pub use report::Report;

use crate::options::Cell;
use crate::standin::api::Stats;
use crate::standin::faults::Fault;
use async_std::task;
use calls::{get_json, post_json, Load};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Size of the load.
#[derive(Clone, Debug)]
pub struct Options {
    /// Duration of the load, s.
    pub seconds: u64,
    /// Concurrent lookup loops.
    pub lookers: u32,
    /// Concurrent write loops.
    pub writers: u32,
    /// Jobs per second.
    pub jobs: u32,
    /// Catalogue edits per minute.
    pub edits: u32,
    /// Faults that are added to the platform's plan before the load.
    pub faults: Vec<Fault>,
}

/// Why the driver could not run. Faults of the cell are in the report instead.
#[derive(Debug, thiserror::Error)]
pub enum SmokeError {
    /// The platform stand-in did not answer.
    #[error("the platform at {0} does not answer")]
    Platform(String),
    /// The platform refused the fault plan.
    #[error("the fault plan was refused with status {0}")]
    Faults(u16),
}

async fn stats(platform: &str) -> Result<Stats, SmokeError> {
    let answer = get_json(&format!("{platform}/stats")).await;
    answer.ok_or_else(|| SmokeError::Platform(platform.to_string()))
}

/// Runs the load that `options` describe against `cell` and returns the report.
pub async fn run(cell: &Cell, options: &Options) -> Result<Report, SmokeError> {
    let start = Instant::now();
    let platform = format!("http://{}", cell.platform.listen);
    if !options.faults.is_empty() {
        post_json::<serde_json::Value>(&format!("{platform}/faults"), &options.faults)
            .await
            .map_err(SmokeError::Faults)?;
    }
    let before = stats(&platform).await?;
    let bases: Vec<String> = cell.entries.iter().map(|e| format!("http://{}", e.listen)).collect();
    let load = Arc::new(Load::new(bases.clone()));
    let mut loops = Vec::new();
    loops.extend((0..options.lookers).map(|n| task::spawn(load.clone().run_lookups(n as usize))));
    loops.extend((0..options.writers).map(|n| task::spawn(load.clone().run_writes(n as usize))));
    loops.extend((0..bases.len()).map(|n| task::spawn(load.clone().watch_versions(n))));
    if options.edits > 0 {
        let interval = Duration::from_secs(60) / options.edits;
        loops.push(task::spawn(load.clone().run_edits(interval)));
    }
    let until = start + Duration::from_secs(options.seconds);
    let mut submitted = jobs::submit(cell, options.jobs, until).await;
    task::sleep(until.saturating_duration_since(Instant::now())).await;
    load.done.store(true, Ordering::Relaxed);
    futures::future::join_all(loops).await;
    submitted.settle().await;
    let after = stats(&platform).await?;
    let mut report = Report::default();
    submitted.fill(&mut report);
    load.fill(&mut report);
    report.fill_platform(&before, &after);
    report.writes_executed_twice = executed_twice(cell).await;
    report.seconds = start.elapsed().as_secs_f64();
    Ok(report)
}

/// Number of write ids that ran more than once, summed over all runners of the cell.
async fn executed_twice(cell: &Cell) -> u64 {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for r in &cell.runners {
        let url = format!("http://{}/writes", r.admin);
        let ran: BTreeMap<String, u64> = get_json(&url).await.unwrap_or_default();
        for (id, n) in ran {
            *runs.entry(id).or_default() += n;
        }
    }
    runs.values().filter(|&&n| n > 1).count() as u64
}
