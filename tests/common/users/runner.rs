//! Runners of the stand-in: starts, stops and polls.

use super::{text, Platform, LATE_MS, UNRESPONSIVE_MS};
use async_std::task;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tide::Request;

/// Interval between two checks whether a waiting call can be answered, ms.
const POLL_MS: u64 = 5;

pub(super) struct Run {
    attempt: u64,
    ends_at: Instant,
}

pub(super) struct Runner {
    /// When it started: the origin of its clock, and the same as its registry entry shows it.
    pub(super) began: Instant,
    pub(super) born: u64,
    pub(super) fence: u64,
    pub(super) lease: u64,
    pub(super) running: BTreeMap<String, Run>,
    /// Completions that are not acknowledged yet.
    pub(super) completions: Vec<Value>,
    /// Sequence number of the last completion.
    pub(super) last_seq: u64,
    pub(super) starts: BTreeMap<String, u64>,
    /// Last attempt of each task that has ended or was stopped; starts up to it are refused.
    pub(super) closed: BTreeMap<String, u64>,
    pub(super) work_ms: u64,
}

impl Runner {
    pub(super) fn new(born: u64, work_ms: u64) -> Self {
        Self {
            began: Instant::now(),
            born,
            fence: 0,
            lease: 0,
            running: BTreeMap::new(),
            completions: Vec::new(),
            last_seq: 0,
            starts: BTreeMap::new(),
            closed: BTreeMap::new(),
            work_ms,
        }
    }
}

/// Server of one runner.
pub(super) struct RunnerServer {
    pub(super) platform: Arc<Platform>,
    pub(super) id: String,
}

impl RunnerServer {
    /// Start time of the current incarnation.
    fn born(&self) -> u64 {
        self.platform.runners.lock().unwrap()[&self.id].born
    }

    /// Ends runs whose work is done.
    fn end_finished(&self, r: &mut Runner) {
        let now = Instant::now();
        let finished: Vec<String> =
            r.running.iter().filter(|(_, x)| x.ends_at <= now).map(|(t, _)| t.clone()).collect();
        for t in finished {
            self.end(r, &t, "done");
        }
    }

    fn end(&self, r: &mut Runner, task: &str, how: &str) {
        let Some(run) = r.running.remove(task) else { return };
        r.last_seq += 1;
        r.closed.insert(task.into(), run.attempt);
        r.completions.push(json!([r.last_seq, task, run.attempt, how, ""]));
    }

    fn call(&self, path: &str, body: &Value) -> (u16, Value) {
        let mut runners = self.platform.runners.lock().unwrap();
        let r = runners.get_mut(&self.id).expect("the runner exists");
        self.end_finished(r);
        let clock = r.began.elapsed().as_millis() as u64 + 5_000;
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        if fence < r.fence {
            return (409, json!({"clock_ms": clock, "reason": "fence"}));
        }
        r.fence = fence;
        r.lease = r.lease.max(body["expires_ms"].as_u64().unwrap_or(0));
        let task = body["task"].as_str().unwrap_or("").to_string();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        match path {
            "start" if r.running.contains_key(&task) => {}
            "start" if r.closed.get(&task).is_some_and(|a| attempt <= *a) => {
                return (409, json!({"clock_ms": clock, "reason": "old"}));
            }
            "start" => {
                let ends_at = Instant::now() + Duration::from_millis(r.work_ms);
                r.running.insert(task.clone(), Run { attempt, ends_at });
                *r.starts.entry(task).or_default() += 1;
            }
            "stop" => {
                r.closed.insert(task.clone(), attempt);
                self.end(r, &task, "stopped");
            }
            _ => {
                let acked = body["acked"].as_u64().unwrap_or(0);
                r.completions.retain(|e| e[0].as_u64() > Some(acked));
                let active: Vec<Value> = r
                    .running
                    .iter()
                    .map(|(t, x)| json!([t, x.attempt, "", percent(x, r.work_ms), 0.5]))
                    .collect();
                return (
                    200,
                    json!({"clock_ms": clock, "born": r.born, "active": active,
                        "finished": r.completions}),
                );
            }
        }
        (200, json!({"clock_ms": clock}))
    }
}

/// Percentage of its work that a run has done.
fn percent(run: &Run, work_ms: u64) -> u64 {
    let remaining = run.ends_at.saturating_duration_since(Instant::now()).as_millis() as u64;
    (work_ms.saturating_sub(remaining) * 100).checked_div(work_ms).unwrap_or(100)
}

pub(super) async fn runner_call(mut req: Request<Arc<RunnerServer>>) -> tide::Result {
    let body: Value = req.body_json().await?;
    let server = req.state().clone();
    let path = req.url().path().rsplit(['/', '-']).next().unwrap_or("").to_string();
    if path == "start" && server.platform.next_start_is_late() {
        task::sleep(Duration::from_millis(LATE_MS)).await;
        let _ = server.call(&path, &body);
        task::sleep(Duration::from_millis(UNRESPONSIVE_MS)).await;
    }
    let deadline = Instant::now() + Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
    let born = server.born();
    loop {
        if server.born() != born {
            // The incarnation that received the call is gone.
            return Ok(text(503, &json!({})));
        }
        let (status, answer) = server.call(&path, &body);
        let idle = answer["finished"].as_array().is_some_and(Vec::is_empty);
        if status != 200 || !idle || Instant::now() >= deadline {
            return Ok(text(status, &answer));
        }
        task::sleep(Duration::from_millis(POLL_MS)).await;
    }
}
