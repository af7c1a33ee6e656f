//! Promises of the brief when whole processes are killed, stopped, resumed or told to stop: each
//! test starts a small cell of real processes on loopback.

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

async fn fault(p: &Procs, fault: serde_json::Value) {
    let (status, body) =
        post(&format!("{}/faults", p.platform()), &serde_json::json!([fault])).await;
    assert_eq!(status, 200, "{body}");
}

/// The command line drives a cell: edits, submissions, lookups and dumps succeed, and what is
/// refused or cannot be read fails with a message that says why.
#[async_std::test]
async fn command_line_drives_a_cell() {
    let p = Procs::start(common::cell(1, 1, 1)).await;
    let at = p.cell.entries[0].listen.to_string();
    let entry = ["--entry", at.as_str()];
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
    let (ok, out) = p.command(&["dump", &at]).await;
    assert!(ok && out.contains("\"role\":\"entry\""), "{out}");
    let huge = p.file("huge.json", &job("cronometria/splits", 0, 20, "none").to_string());
    let (ok, out) = p.command(&["submit", entry[0], entry[1], &huge]).await;
    assert!(!ok && out.contains("tasks: must be 1 to 10000"), "{out}");
    let broken = p.file("broken.json", "{\"entry\":");
    let (ok, out) = p.command(&["submit", entry[0], entry[1], &broken]).await;
    assert!(!ok && out.contains("broken.json is not valid"), "{out}");
    let (ok, out) = p.command(&["entry", "--id", "nobody"]).await;
    assert!(!ok && out.contains("no entry nobody in the settings"), "{out}");
}

/// Symptom: tasks of an accepted job stay "placed" for good and never run.
/// Sequence: entries commit placements while no start order gets through; one entry is killed (SIGKILL); the interface comes back; another entry takes over.
/// Cause: a takeover that trusts the placement rows. It must compare them with what the workers
/// run and start what the dead holder placed and did not start.
#[async_std::test]
async fn killed_between_commit_and_start_loses_no_task() {
    let p = started(2, 1, 1).await;
    fault(&p, serde_json::json!({ "target": "starts", "kind": "outage", "for_ms": 1500 })).await;
    let keys: Vec<String> = (0..12).map(|i| format!("kill-{i}")).collect();
    for k in &keys {
        let (status, body) =
            post(&format!("{}/jobs", p.url(1)), &job("cronometria/splits", 2, 50, k)).await;
        assert_eq!(status, 200, "{body}");
    }
    async_std::task::sleep(Duration::from_millis(400)).await;
    p.signal("entry-0", "KILL");
    assert_eq!(stats(&p).await["started"], 0, "the fault held back every start");
    for k in &keys {
        assert!(finished(&job_url(&p, 1, k)).await, "{:?}", try_get(&job_url(&p, 1, k)).await);
    }
    let s = stats(&p).await;
    assert_eq!(s["double_runs"], 0);
    assert_eq!(s["started"], 24, "each task started once");
}

/// Symptom: the first submission to an entry that has just started is answered 503, although its
/// `/ready` answered 200. Sequence: the entry listens, and the platform takes a while to answer it
/// (paused here; a busy machine does the same). Cause: an entry called itself ready from the start.
#[async_std::test]
async fn entry_is_not_ready_before_it_takes_submissions() {
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

/// Symptom: a task runs on two workers at once after its scheduler woke from a pause.
/// Sequence: an entry is stopped (SIGSTOP) while jobs are being placed, for longer than its
/// lease; the other entry takes its shards over and places on; the first is resumed (SIGCONT)
/// and goes on with the placements and starts it had in hand.
/// Cause: a holder that trusts a lease it no longer has.
#[async_std::test]
async fn paused_entry_wakes_and_doubles_nothing() {
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
    let over = eventually(200, || async { p.held(&[1]).await == 2 }).await;
    assert!(over, "the live entry did not take the paused one's shards over");
    p.signal("entry-0", "CONT");
    for k in &keys {
        assert!(finished(&job_url(&p, 1, k)).await, "{:?}", try_get(&job_url(&p, 1, k)).await);
    }
    let s = stats(&p).await;
    assert_eq!((&s["double_runs"], &s["overcommitted_workers"]), (&0.into(), &0.into()));
    assert_eq!(s["started"], 120, "each task started once");
}

/// Symptom: callers see broken answers whenever an entry is replaced.
/// Sequence: lookups and a write are in flight through an entry that is told to stop (SIGTERM).
/// Cause: closing runner connections or the listener under requests in flight. Each must get its
/// whole answer, `/ready` must fail first, and the process must exit by itself with status 0.
#[async_std::test]
async fn entry_told_to_stop_finishes_requests_in_flight() {
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
        assert_eq!(l.await, 200, "a lookup in flight was cut");
    }
    let (status, done) = write.await;
    assert_eq!((status, &done["runs"]), (200, &1.into()), "{done}");
    assert!(p.exited("entry-0").await, "the entry did not stop by itself");
    let over = eventually(60, || async { p.held(&[1]).await == 2 }).await;
    assert!(over, "its shards were not given up at once");
}

/// Symptom: callers see broken answers whenever a runner is replaced.
/// Sequence: lookups are in flight on a runner that is told to stop (SIGTERM), others follow.
/// Cause: a runner that drops its connections, or an entry that goes on sending to it until the
/// lagging instance list says so. The runner says that it is leaving, ahead of the list.
#[async_std::test]
async fn runner_told_to_stop_cuts_no_lookup() {
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
        assert_eq!(status, 200, "a lookup was cut: {body}");
    }
    assert!(p.exited("runner-0").await, "the runner did not stop by itself");
}

/// Symptom: one split write is executed on two runners.
/// Sequence: a write runs, its answer is lost; the caller repeats it through another entry, which
/// prefers another runner.
/// Cause: at most once per try instead of per write id. The repeat must find the first record,
/// ask that runner, and return the first outcome.
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

/// Symptom: after a runner was replaced, a write repeated by its caller runs again.
/// Sequence: a write runs and its answer is lost; the runner is killed and another life of it
/// starts at the same address; the caller repeats the write.
/// Cause: taking the new life for the old one. The outcome is unknown and must be said so.
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
