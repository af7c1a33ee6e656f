//! The report of a smoke run.

use crate::standin::api::Stats;
use serde::{Deserialize, Serialize};

/// The report. The counters of broken invariants must be 0.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Jobs submitted.
    pub jobs_submitted: u64,
    /// Jobs that an entry instance accepted.
    pub jobs_accepted: u64,
    /// Tasks in the jobs submitted.
    pub tasks_submitted: u64,
    /// Tasks placed at least once.
    pub tasks_placed: u64,
    /// Tasks that completed their work.
    pub tasks_finished: u64,
    /// Tasks that failed on every attempt.
    pub tasks_failed: u64,
    /// Tasks refused without being run.
    pub tasks_refused: u64,
    /// Tasks still running or waiting at the end, services included.
    pub tasks_open: u64,
    /// Submissions that failed for another reason than a refusal, such as an unavailable entry.
    pub submit_errors: u64,
    /// Median wait of urgent jobs from submission to their first placement, ms.
    pub urgent_wait_p50_ms: f64,
    /// Longest wait of urgent jobs from submission to their first placement, ms.
    pub urgent_wait_max_ms: f64,
    /// Lookups answered with the value of their key.
    pub lookups_ok: u64,
    /// Lookups not answered.
    pub lookups_failed: u64,
    /// Median lookup latency, ms.
    pub lookup_p50_ms: f64,
    /// 99th percentile lookup latency, ms.
    pub lookup_p99_ms: f64,
    /// Writes acknowledged.
    pub writes_ok: u64,
    /// Writes refused without being run.
    pub writes_refused: u64,
    /// Writes whose outcome is unknown after the last attempt.
    pub writes_unknown: u64,
    /// Median write latency, ms.
    pub write_p50_ms: f64,
    /// Catalogue edits accepted.
    pub edits_ok: u64,
    /// Longest time until an accepted edit was in force on every entry that answered, ms.
    pub edit_max_ms: f64,
    /// Invariant: workers that ran beyond their capacity at any time.
    pub overcommitted_workers: u64,
    /// Invariant: tasks started while already running.
    pub double_runs: u64,
    /// Invariant: write ids executed more than once in the cell.
    pub writes_executed_twice: u64,
    /// Invariant: lookups answered with the value of another key.
    pub lookups_crossed: u64,
    /// Invariant: accepted jobs that no entry has a record of.
    pub jobs_lost: u64,
    /// Invariant: changes of an entry to an older catalogue version.
    pub catalogue_reverts: u64,
    /// Tasks killed because their task lease expired.
    pub tasks_lapsed: u64,
    /// Start orders that the workers refused (expired, fenced or repeated).
    pub starts_refused: u64,
    /// Task starts per second during the run.
    pub starts_per_s: f64,
    /// Table write transactions per second during the run.
    pub table_writes_per_s: f64,
    /// Table reads per second during the run.
    pub table_reads_per_s: f64,
    /// Table transactions that failed a condition, per second.
    pub table_conflicts_per_s: f64,
    /// Calls refused because the table's budget was used up, per second.
    pub table_throttled_per_s: f64,
    /// Duration of the run, s: the load and the wait for jobs to end.
    pub seconds: f64,
}

impl Report {
    /// Whether all counters of broken invariants are 0.
    pub fn invariants_hold(&self) -> bool {
        self.overcommitted_workers == 0
            && self.double_runs == 0
            && self.writes_executed_twice == 0
            && self.lookups_crossed == 0
            && self.jobs_lost == 0
            && self.catalogue_reverts == 0
    }

    /// Adds the platform's counters: rates between two readings, and the invariants of the later
    /// one.
    pub fn fill_platform(&mut self, before: &Stats, after: &Stats) {
        let ms = after.uptime_ms.saturating_sub(before.uptime_ms).max(1);
        let rate = |a: u64, b: u64| a.saturating_sub(b) as f64 * 1000.0 / ms as f64;
        self.starts_per_s = rate(after.started, before.started);
        self.table_writes_per_s = rate(after.table.writes, before.table.writes);
        self.table_reads_per_s = rate(after.table.reads, before.table.reads);
        self.table_conflicts_per_s = rate(after.table.conflicts, before.table.conflicts);
        self.table_throttled_per_s = rate(after.table.throttled, before.table.throttled);
        self.tasks_lapsed = after.lapsed - before.lapsed;
        let refused = |s: &Stats| s.refused.values().sum::<u64>();
        self.starts_refused = refused(after) - refused(before);
        self.overcommitted_workers = after.overcommitted_workers;
        self.double_runs = after.double_runs;
    }
}
