//! Invariants that hold when whole processes are killed, paused, resumed or shut down. Each test
//! starts a small cell of separate processes on loopback.

mod common;

use common::procs::Procs;
use common::{catalogue, eventually, get, job, post, try_get};
use std::time::Duration;

async fn started(entries: usize, runners: usize, service_ms: u64) -> Procs {
    let mut cell = common::cell(entries, runners, 2);
    cell.runner.service_ms = service_ms;
    let p = Procs::start(cell).await;
    assert_eq!(post(&format!("{}/catalogue", p.url(0)), &catalogue(0)).await.0, 200);
    p
}

fn job_url(p: &Procs, entry: usize, key: &str) -> String {
    format!("{}/jobs/{}", p.url(entry), currantgw::entry::jobs::job_id(key))
}

async fn finished(url: &str) -> bool {
    eventually(300, || async { try_get(url).await.is_some_and(|j| j["state"] == "finished") }).await
}

async fn stats(p: &Procs) -> serde_json::Value {
    get(&format!("{}/stats", p.platform())).await.1
}

async fn add_fault(p: &Procs, fault: serde_json::Value) {
    let (status, body) =
        post(&format!("{}/faults", p.platform()), &serde_json::json!([fault])).await;
    assert_eq!(status, 200, "{body}");
}

/// Edits, submissions, lookups and dumps by the command line succeed; refused requests and
/// unreadable files fail with a message that gives the reason.
#[async_std::test]
async fn command_line_controls_a_cell() {
    let p = Procs::start(common::cell(1, 1, 1)).await;
    let addr = p.cell.entries[0].listen.to_string();
    let entry = ["--entry", addr.as_str()];
    let edit = p.file("edit.json", include_str!("../examples/catalogue.json"));
    let (ok, out) = p.command(&["catalogue", entry[0], entry[1], "apply", &edit]).await;
    assert!(ok && out.contains("\"version\":1"), "{out}");
    let (ok, out) = p.command(&["catalogue", entry[0], entry[1], "get"]).await;
    assert!(ok && out.contains("cronometria/splits"), "{out}");
    let good = p.file("job.json", &job("cronometria/splits", 1, 20, "cli").to_string());
    let (ok, out) = p.command(&["submit", entry[0], entry[1], &good]).await;
    assert!(ok && out.contains(&currantgw::entry::jobs::job_id("cli")), "{out}");
    assert!(finished(&job_url(&p, 0, "cli")).await);
    let (ok, out) = p.command(&["lookup", entry[0], entry[1], "medic-7"]).await;
    assert!(ok && out.contains(&currantgw::wire::value_for("medic-7")), "{out}");
    let (ok, out) = p.command(&["dump", &addr]).await;
    assert!(ok && out.contains("\"role\":\"entry\""), "{out}");
    let huge = p.file("huge.json", &job("cronometria/splits", 0, 20, "none").to_string());
    let (ok, out) = p.command(&["submit", entry[0], entry[1], &huge]).await;
    assert!(!ok && out.contains("tasks: must be 1 to 10000"), "{out}");
    let broken = p.file("broken.json", "{\"entry\":");
    let (ok, out) = p.command(&["submit", entry[0], entry[1], &broken]).await;
    assert!(!ok && out.contains("broken.json is not valid"), "{out}");
    let (ok, out) = p.command(&["entry", "--id", "absent"]).await;
    assert!(!ok && out.contains("no entry absent in the settings"), "{out}");
}

/// An entry is killed after it committed placements whose start orders were blocked; another
/// entry takes its shards over. It must compare the placement rows with the tasks that the workers
/// run and start the missing ones, or the tasks stay placed permanently and never run.
#[async_std::test]
async fn killed_between_commit_and_start_loses_no_task() {
    let p = started(2, 1, 1).await;
    add_fault(&p, serde_json::json!({ "target": "starts", "kind": "outage", "for_ms": 1500 }))
        .await;
    let keys: Vec<String> = (0..12).map(|i| format!("kill-{i}")).collect();
    for k in &keys {
        let (status, body) =
            post(&format!("{}/jobs", p.url(1)), &job("cronometria/splits", 2, 50, k)).await;
        assert_eq!(status, 200, "{body}");
    }
    async_std::task::sleep(Duration::from_millis(400)).await;
    p.signal("entry-0", "KILL");
    assert_eq!(stats(&p).await["started"], 0, "the fault blocked every start order");
    for k in &keys {
        assert!(finished(&job_url(&p, 1, k)).await, "{:?}", try_get(&job_url(&p, 1, k)).await);
    }
    let s = stats(&p).await;
    assert_eq!(s["double_runs"], 0);
    assert_eq!(s["started"], 24, "each task started once");
}

/// An entry is not ready until it can accept submissions. If it were ready once it listens, the
/// first submission would be answered 503 while the platform is slow to answer (paused here; a busy
/// machine has the same effect).
#[async_std::test]
async fn entry_is_not_ready_before_it_accepts_submissions() {
    let mut p = started(2, 1, 1).await;
    p.signal("entry-1", "KILL");
    p.signal("platform", "STOP");
    p.spawn("entry-1-again", &["entry", "--id", "entry-1"]);
    let ready = format!("{}/ready", p.url(1));
    let answers = eventually(100, || async { try_get(&ready).await.is_some() }).await;
    assert!(answers, "the entry does not listen");
    assert_eq!(get(&ready).await.0, 503);
    p.signal("platform", "CONT");
    assert!(eventually(200, || async { get(&ready).await.0 == 200 }).await);
    let job = job("cronometria/splits", 1, 50, "first");
    let (status, body) = post(&format!("{}/jobs", p.url(1)), &job).await;
    assert_eq!(status, 200, "{body}");
}

/// An entry is paused (SIGSTOP) while jobs are being placed, for longer than its lease. The other
/// entry takes its shards over, and the first one resumes (SIGCONT) with placements and start
/// orders in progress. If it relied on its expired lease, a task would run on two workers at once.
#[async_std::test]
async fn resumed_entry_starts_no_task_twice() {
    let p = started(2, 1, 1).await;
    let mut keys = Vec::new();
    for i in 0..60 {
        let k = format!("pause-{i}");
        let url = format!("{}/jobs", p.url(1));
        let (status, body) = post(&url, &job("cronometria/splits", 2, 100, &k)).await;
        assert_eq!(status, 200, "{k}: {body}");
        keys.push(k);
        if i == 10 {
            p.signal("entry-0", "STOP");
        }
    }
    let taken_over = eventually(200, || async { p.shards_held(&[1]).await == 2 }).await;
    assert!(taken_over, "the other entry did not take the paused one's shards over");
    p.signal("entry-0", "CONT");
    for k in &keys {
        assert!(finished(&job_url(&p, 1, k)).await, "{:?}", try_get(&job_url(&p, 1, k)).await);
    }
    let s = stats(&p).await;
    assert_eq!((&s["double_runs"], &s["overcommitted_workers"]), (&0.into(), &0.into()));
    assert_eq!(s["started"], 120, "each task started once");
}

/// An entry shut down (SIGTERM) with lookups and a write in flight answers all of them (its
/// `/ready` fails first), exits with status 0 and releases its shards at once. If it closed its
/// runner connections or its listener first, callers would get broken answers whenever an entry is
/// replaced.
#[async_std::test]
async fn entry_shut_down_finishes_requests_in_flight() {
    let mut p = started(2, 2, 300).await;
    let base = p.url(0);
    let body = serde_json::json!({ "id": "split-term", "body": "x" });
    let write = async_std::task::spawn({
        let url = format!("{base}/write");
        async move { post(&url, &body).await }
    });
    let lookups: Vec<_> = (0..8)
        .map(|i| {
            let url = format!("{base}/lookup?key=t{i}");
            async_std::task::spawn(async move { get(&url).await.0 })
        })
        .collect();
    async_std::task::sleep(Duration::from_millis(120)).await;
    p.signal("entry-0", "TERM");
    for l in lookups {
        assert_eq!(l.await, 200, "a lookup in flight failed");
    }
    let (status, done) = write.await;
    assert_eq!((status, &done["runs"]), (200, &1.into()), "{done}");
    assert!(p.exited("entry-0").await, "the entry did not exit with status 0");
    let taken_over = eventually(60, || async { p.shards_held(&[1]).await == 2 }).await;
    assert!(taken_over, "its shards were not released at once");
}

/// No lookup fails when a runner is shut down (SIGTERM) with lookups in flight and more to come.
/// They would fail if the runner dropped its connections, or if the entry sent requests to it until
/// the instance list, which lags, shows the change; the runner therefore announces its shutdown.
#[async_std::test]
async fn runner_shut_down_fails_no_lookup() {
    let mut p = started(1, 2, 200).await;
    let base = p.url(0);
    let lookups: Vec<_> = (0..40)
        .map(|i| {
            let url = format!("{base}/lookup?key=t{i}");
            async_std::task::spawn(async move {
                async_std::task::sleep(Duration::from_millis(i * 20)).await;
                get(&url).await
            })
        })
        .collect();
    async_std::task::sleep(Duration::from_millis(300)).await;
    p.signal("runner-0", "TERM");
    for l in lookups {
        let (status, body) = l.await;
        assert_eq!(status, 200, "a lookup failed: {body}");
    }
    assert!(p.exited("runner-0").await, "the runner did not exit with status 0");
}

/// A write runs and its answer is lost; the caller repeats it at another entry, which prefers
/// another runner. The repeat must find the record of the first attempt, query that runner and
/// return its outcome. If writes ran at most once per attempt instead of per write id, two runners
/// would execute the write.
#[async_std::test]
async fn repeated_write_after_lost_answer_runs_once() {
    let p = started(2, 2, 5).await;
    for r in &p.cell.runners {
        post(&format!("http://{}/faults/lose/1", r.admin), &serde_json::json!({})).await;
    }
    let body = serde_json::json!({ "id": "split-1", "body": "checkpoint" });
    let (status, first) = post(&format!("{}/write", p.url(0)), &body).await;
    assert_eq!((status, first["error"].as_str()), (504, Some("unknown")), "{first}");
    let (status, again) = post(&format!("{}/write", p.url(1)), &body).await;
    assert_eq!((status, &again["runs"]), (200, &1.into()), "{again}");
    let mut runs = 0;
    for r in &p.cell.runners {
        let (_, ran) = get(&format!("http://{}/writes", r.admin)).await;
        runs += ran["split-1"].as_u64().unwrap_or(0);
    }
    assert_eq!(runs, 1, "the write ran once in the whole cell");
}

/// A write runs and its answer is lost; the runner is killed and restarted at the same address, and
/// the caller repeats the write. The outcome is unknown and is reported as such. If the new
/// incarnation were taken for the old one, the write would run again.
#[async_std::test]
async fn repeated_write_after_runner_restart_is_not_run_again() {
    let mut p = started(1, 1, 5).await;
    let admin = p.cell.runners[0].admin;
    post(&format!("http://{admin}/faults/lose/1"), &serde_json::json!({})).await;
    let body = serde_json::json!({ "id": "card-1", "body": "formula" });
    assert_eq!(post(&format!("{}/write", p.url(0)), &body).await.0, 504);
    p.signal("runner-0", "KILL");
    assert!(!p.exited("runner-0").await);
    p.spawn("runner-0", &["runner", "--id", "runner-0"]);
    let url = format!("{}/lookup?key=k", p.url(0));
    assert!(eventually(100, || async { get(&url).await.0 == 200 }).await, "runner is back");
    let (status, again) = post(&format!("{}/write", p.url(0)), &body).await;
    assert_eq!((status, again["error"].as_str()), (504, Some("unknown")), "{again}");
    assert_eq!(get(&format!("http://{admin}/writes")).await.1["card-1"], serde_json::Value::Null);
}
