//! Submits jobs of every class at a constant rate and collects their outcomes.

use super::calls::post_json;
use super::report::Report;
use crate::entry::rows::{JobRow, JobState, TaskState};
use crate::kernel::res::{Class, Resources};
use crate::options::Cell;
use async_std::task;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Longest wait for the submitted jobs to end after the load.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Job ids in one status call.
const STATUS_PAGE: usize = 200;

/// One of this many jobs is a gang.
const GANG_EVERY: usize = 25;

/// One kind of job that the driver submits.
struct Kind {
    entry: &'static str,
    tasks: u32,
    demand: Resources,
    run_ms: u64,
}

const fn kind(
    entry: &'static str,
    tasks: u32,
    (cpu, mem, acc): (u64, u64, u64),
    run_ms: u64,
) -> Kind {
    Kind { entry, tasks, demand: Resources { cpu, mem, acc }, run_ms }
}

/// Jobs other than gangs: split recomputations, medic requests, archive recalculations, shade
/// conversions and tracker services.
const KINDS: [Kind; 5] = [
    kind("cronometria/splits", 2, (1000, 2048, 0), 1500),
    kind("cronometria/medic", 1, (500, 1024, 0), 800),
    kind("sabgha/archive", 4, (8000, 32768, 1), 4000),
    kind("sabgha/shades", 2, (4000, 16384, 0), 2000),
    kind("cronometria/tracker", 1, (1000, 2048, 0), 0),
];

/// A ranking refresh, whose tasks must all run at the same time.
const GANG: Kind = kind("cronometria/ranking", 4, (4000, 8192, 0), 2500);

/// The submitted jobs and their outcomes.
#[derive(Default)]
pub struct Submitted {
    jobs: u64,
    tasks: u64,
    tasks_refused: u64,
    submit_errors: u64,
    /// Ids of accepted jobs, by the URL of the entry instance.
    accepted: BTreeMap<String, Vec<String>>,
    rows: Vec<JobRow>,
}

/// Pairs of a kind of job and a failure domain whose workers have capacity for one of its tasks.
fn targets<'a>(cell: &'a Cell, kinds: &'static [Kind]) -> Vec<(&'static Kind, &'a str)> {
    let fits = |k: &Kind, d: &str| cell.domain(d).is_some_and(|d| k.demand.fits(&d.worker));
    let domains: Vec<&str> = cell.platform.domains.iter().map(|d| d.name.as_str()).collect();
    domains.iter().flat_map(|d| kinds.iter().filter(|k| fits(k, d)).map(|k| (k, *d))).collect()
}

/// Submits `rate` jobs per second until `until`; a submission does not wait for the answer to the
/// previous one.
pub async fn submit(cell: &Cell, rate: u32, until: Instant) -> Submitted {
    let mut submitted = Submitted::default();
    if rate == 0 {
        return submitted;
    }
    let (kinds, gangs) = (targets(cell, &KINDS), targets(cell, std::slice::from_ref(&GANG)));
    let run_id: u64 = rand::random();
    let interval = Duration::from_secs(1) / rate;
    let start = Instant::now();
    let mut submissions = Vec::new();
    for n in 0.. {
        let due = start + interval * n as u32;
        if due >= until {
            break;
        }
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        let pool = if n % GANG_EVERY == GANG_EVERY - 1 { &gangs } else { &kinds };
        let Some((kind, domain)) = pool.get(n % pool.len().max(1)) else { continue };
        let entries: Vec<_> = cell.entries.iter().filter(|e| e.domain == *domain).collect();
        let Some(entry) = entries.get(n / pool.len() % entries.len().max(1)) else { continue };
        let base = format!("http://{}", entry.listen);
        let spec = serde_json::json!({
            "entry": kind.entry, "tasks": kind.tasks, "demand": kind.demand,
            "run_ms": kind.run_ms, "key": format!("smoke-{run_id:x}-{n}"),
        });
        submitted.jobs += 1;
        submitted.tasks += u64::from(kind.tasks);
        let tasks = u64::from(kind.tasks);
        submissions.push(task::spawn(async move {
            let answer = post_json::<JobRow>(&format!("{base}/jobs"), &spec).await;
            (base, tasks, answer)
        }));
    }
    for (base, tasks, answer) in futures::future::join_all(submissions).await {
        match answer {
            Ok(row) => submitted.accepted.entry(base).or_default().push(row.id),
            Err(422) => submitted.tasks_refused += tasks,
            Err(_) => submitted.submit_errors += 1,
        }
    }
    submitted
}

impl Submitted {
    /// Waits up to [`SETTLE_TIMEOUT`] until all jobs except services have ended, and reads their
    /// outcomes.
    pub async fn settle(&mut self) {
        let start = Instant::now();
        while start.elapsed() < SETTLE_TIMEOUT {
            self.read().await;
            let all_read = self.rows.len() == self.accepted.values().map(Vec::len).sum::<usize>();
            let open = |j: &JobRow| !j.ended() && j.class != Class::Service;
            if all_read && !self.rows.iter().any(open) {
                return;
            }
            task::sleep(Duration::from_millis(500)).await;
        }
    }

    async fn read(&mut self) {
        self.rows.clear();
        let bases: Vec<&String> = self.accepted.keys().collect();
        for (base, ids) in &self.accepted {
            for page in ids.chunks(STATUS_PAGE) {
                let body = serde_json::json!({ "ids": page });
                // Any entry can answer; the one that accepted the job may have been replaced.
                for target in std::iter::once(&base).chain(bases.iter()) {
                    let url = format!("{target}/jobs/status");
                    if let Ok(answer) = post_json::<Vec<JobRow>>(&url, &body).await {
                        self.rows.extend(answer);
                        break;
                    }
                }
            }
        }
    }

    /// Copies the outcomes into `report`.
    pub fn fill(&self, report: &mut Report) {
        let accepted = self.accepted.values().map(|v| v.len() as u64).sum::<u64>();
        report.jobs_submitted = self.jobs;
        report.jobs_accepted = accepted;
        report.tasks_submitted = self.tasks;
        report.tasks_refused = self.tasks_refused;
        report.submit_errors = self.submit_errors;
        report.jobs_lost = accepted.saturating_sub(self.rows.len() as u64);
        for t in self.rows.iter().flat_map(|j| &j.tasks) {
            report.tasks_placed += u64::from(t.attempt > 0);
            match t.state {
                TaskState::Finished => report.tasks_finished += 1,
                TaskState::Refused => report.tasks_refused += 1,
                TaskState::Failed => report.tasks_failed += 1,
                TaskState::Pending | TaskState::Placed => report.tasks_open += 1,
                TaskState::Cancelled => {}
            }
        }
        let urgent = self.rows.iter().filter(|j| j.class == Class::Urgent);
        let mut waits: Vec<u64> = urgent
            .filter(|j| !matches!(j.state, JobState::Refused { .. }))
            .filter_map(|j| Some(j.started?.saturating_sub(j.submitted)))
            .collect();
        waits.sort_unstable();
        report.urgent_wait_p50_ms = waits.get(waits.len() / 2).copied().unwrap_or(0) as f64;
        report.urgent_wait_max_ms = waits.last().copied().unwrap_or(0) as f64;
    }
}
