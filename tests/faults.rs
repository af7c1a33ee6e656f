//! Tests of a cell in this process under platform outages, lost answers, broken workers,
//! cancellation waves, unresponsive connections and leaving runners.

mod common;

use common::{catalogue, eventually, get, job, post, TestCell};
use currantgw::standin::faults::{Fault, FaultKind, Target};
use currantgw::standin::instances::InstanceState;

/// Starts a cell with the example catalogue and waits until it is ready.
async fn ready_cell(entries: usize, runners: usize, racks: u32) -> TestCell {
    let c = TestCell::start(common::cell(entries, runners, racks)).await;
    c.ready().await;
    assert_eq!(post(&format!("{}/catalogue", c.url(0)), &catalogue(0)).await.0, 200);
    c
}

/// Guards against lookups that fail, or submissions that wait for their deadline, during a table
/// outage. Lookups must not need the table, submissions must be refused at once with a retry delay,
/// and placement must resume after the outage.
#[async_std::test]
async fn table_outage_serves_lookups_and_refuses_submissions_at_once() {
    let c = ready_cell(1, 2, 1).await;
    let outage = Fault::now(Target::Table, FaultKind::Outage, 1500);
    c.platform.add_faults(vec![outage]);
    for i in 0..20 {
        let (status, _) = get(&format!("{}/lookup?key=k{i}", c.url(0))).await;
        assert_eq!(status, 200, "lookups are served during the outage");
    }
    let (status, body) =
        post(&format!("{}/jobs", c.url(0)), &job("cronometria/splits", 2, 50, "during")).await;
    assert_eq!(status, 503, "{body}");
    assert!(body["retry_ms"].as_u64().is_some(), "the answer has a retry delay");
    let (status, body) =
        post(&format!("{}/jobs", c.url(0)), &job("cronometria/splits", 2, 50, "after")).await;
    let accepted = status == 200 || {
        let retried = eventually(100, || async {
            post(&format!("{}/jobs", c.url(0)), &job("cronometria/splits", 2, 50, "after")).await.0
                == 200
        });
        retried.await
    };
    assert!(accepted, "{body}");
    let url = format!("{}/jobs/{}", c.url(0), currantgw::entry::jobs::job_id("after"));
    assert!(eventually(200, || async { get(&url).await.1["state"] == "finished" }).await);
    assert_eq!(c.platform.stats().double_runs, 0);
    c.stop().await;
}

/// Guards against a second job, or tasks that run twice, after a retried submission. The table's
/// answers are lost after the writes took effect, and the entry retries with the same idempotency
/// key. The retry must return the first outcome.
#[async_std::test]
async fn lost_answers_to_a_submission_make_one_job() {
    let c = ready_cell(1, 1, 1).await;
    let lose = Fault::now(Target::Table, FaultKind::LoseAnswer, 150);
    c.platform.add_faults(vec![lose]);
    let (status, body) =
        post(&format!("{}/jobs", c.url(0)), &job("cronometria/splits", 3, 50, "lost-1")).await;
    assert!(status == 200 || status == 503, "{status} {body}");
    let url = format!("{}/jobs/{}", c.url(0), currantgw::entry::jobs::job_id("lost-1"));
    if status == 503 {
        // All attempts of the entry failed; the client retries with the same key.
        let ok = eventually(100, || async {
            post(&format!("{}/jobs", c.url(0)), &job("cronometria/splits", 3, 50, "lost-1")).await.0
                == 200
        });
        assert!(ok.await);
    }
    assert!(eventually(200, || async { get(&url).await.1["state"] == "finished" }).await);
    let stats = c.platform.stats();
    assert_eq!(stats.started, 3, "three tasks, each started once");
    assert_eq!(stats.double_runs, 0);
    c.stop().await;
}

/// Guards against tasks that start after the cancellation of their job was accepted. 1,000 jobs are
/// cancelled while they are being placed. A placement must not be committed over a cancellation,
/// which the condition on the job's version prevents, and a start sent after it must be refused by
/// the worker, which checks the placement row.
#[async_std::test]
async fn no_task_starts_after_its_cancellation() {
    let mut cell = common::cell(1, 1, 2);
    cell.platform.writes = 10_000;
    let c = TestCell::start(cell).await;
    c.ready().await;
    assert_eq!(post(&format!("{}/catalogue", c.url(0)), &catalogue(0)).await.0, 200);
    let keys: Vec<String> = (0..1_000).map(|i| format!("wave-{i}")).collect();
    for page in keys.chunks(50) {
        let jobs = page.iter().map(|k| job("sabgha/shades", 2, 60_000, k));
        let url = format!("{}/jobs", c.url(0));
        let posts = jobs.map(|j| {
            let url = url.clone();
            async move { post(&url, &j).await.0 }
        });
        assert!(futures::future::join_all(posts).await.iter().all(|&s| s == 200));
    }
    let placing = eventually(100, || async { c.platform.stats().started > 0 }).await;
    assert!(placing, "the cancellations arrive while jobs are being placed");
    for page in keys.chunks(50) {
        let cancels = page.iter().map(|k| {
            let id = currantgw::entry::jobs::job_id(k);
            let url = format!("{}/jobs/{id}/cancel", c.url(0));
            async move { post(&url, &serde_json::json!({})).await }
        });
        for (status, body) in futures::future::join_all(cancels).await {
            assert_eq!(status, 200, "{body}");
        }
    }
    let started_at_cancel = c.platform.stats().started;
    let all_stopped = eventually(40, || async { c.platform.stats().running == 0 }).await;
    assert!(all_stopped, "cancelled tasks were stopped: {:?}", c.platform.stats());
    // No task may start in later rounds.
    async_std::task::sleep(std::time::Duration::from_millis(300)).await;
    assert_eq!(c.platform.stats().started, started_at_cancel);
    for k in &keys {
        let url = format!("{}/jobs/{}", c.url(0), currantgw::entry::jobs::job_id(k));
        assert_eq!(get(&url).await.1["state"], "cancelled");
    }
    c.stop().await;
}

/// Guards against jobs that fail because their tasks are placed again and again on a broken worker.
/// Failed tasks must be retried on other workers, and the broken worker avoided.
#[async_std::test]
async fn broken_worker_is_avoided_and_its_tasks_move() {
    let c = ready_cell(1, 1, 1).await;
    let broken = Fault::now(Target::Workers, FaultKind::Broken { worker: "a-r0-w0".into() }, 0);
    c.platform.add_faults(vec![broken]);
    let keys: Vec<String> = (0..12).map(|i| format!("broken-{i}")).collect();
    for k in &keys {
        assert_eq!(
            post(&format!("{}/jobs", c.url(0)), &job("cronometria/splits", 1, 50, k)).await.0,
            200
        );
    }
    for k in &keys {
        let url = format!("{}/jobs/{}", c.url(0), currantgw::entry::jobs::job_id(k));
        let ok = eventually(200, || async { get(&url).await.1["state"] == "finished" }).await;
        assert!(ok, "{}", get(&url).await.1);
        assert_eq!(get(&url).await.1["failed"], 0, "every task finished successfully in the end");
    }
    c.stop().await;
}

/// Guards against lookups that time out permanently on a connection that is open but carries no
/// data. Connections without a frame for `idle_ms` must be closed and replaced.
#[async_std::test]
async fn unresponsive_connection_is_closed_and_replaced() {
    let c = ready_cell(1, 1, 1).await;
    c.runners[0].silence();
    let pool = &c.entries[0].pool;
    let closed = eventually(100, || async {
        pool.counts.unresponsive.load(std::sync::atomic::Ordering::Relaxed) > 0
    })
    .await;
    assert!(closed, "the unresponsive connection was not closed");
    let served =
        eventually(100, || async { get(&format!("{}/lookup?key=after", c.url(0))).await.0 == 200 })
            .await;
    assert!(served, "lookups use a new connection");
    c.stop().await;
}

/// Guards against new lookups to a runner that is taken out of service. Once the entry has read the
/// runner as leaving from the instance list, which lags, the runner must get no new lookup.
#[async_std::test]
async fn leaving_runner_gets_no_new_lookups() {
    let c = ready_cell(1, 2, 1).await;
    assert!(c.platform.set_instance("runner-0", InstanceState::Leaving));
    let pool = &c.entries[0].pool;
    let seen =
        eventually(100, || async { pool.dump()["links"]["runner-0"]["leaving"] == true }).await;
    assert!(seen, "the entry did not see the runner leave");
    let before = c.runners[0].stats().lookups;
    for i in 0..50 {
        assert_eq!(get(&format!("{}/lookup?key=l{i}", c.url(0))).await.0, 200);
    }
    assert_eq!(c.runners[0].stats().lookups, before, "no new lookup reached the leaving runner");
    c.stop().await;
}

/// Guards against a failure domain that stops serving, or whose tasks are killed, while only this
/// domain cannot reach the platform. Lookups must be served, and a request that needs the table
/// must be refused at once as not run. After the fault, writes and jobs must run, each once.
#[async_std::test]
async fn domain_without_platform_access_serves_lookups_and_recovers() {
    let c = ready_cell(2, 2, 1).await;
    let outage =
        |target| Fault { from: Some("a".into()), ..Fault::now(target, FaultKind::Outage, 6_000) };
    c.platform.add_faults([Target::Table, Target::Workers, Target::Instances].map(outage).into());
    for i in 0..20 {
        assert_eq!(get(&format!("{}/lookup?key=cut{i}", c.url(i % 2))).await.0, 200);
    }
    let write = serde_json::json!({ "id": "cut-write", "body": "x" });
    let (status, body) = post(&format!("{}/write", c.url(0)), &write).await;
    assert_eq!((status, body["error"].as_str()), (503, Some("unavailable")), "{body}");
    assert!(body["retry_ms"].as_u64() > Some(0), "the answer has a retry delay");
    let url = format!("{}/write", c.url(1));
    assert!(eventually(190, || async { post(&url, &write).await.0 == 200 }).await);
    let ran: u64 = c.runners.iter().filter_map(|r| r.executions().get("cut-write").copied()).sum();
    assert_eq!(ran, 1, "refused during the fault, run once after it");
    let jobs = format!("{}/jobs", c.url(1));
    let j = job("cronometria/splits", 2, 50, "healed");
    assert!(eventually(100, || async { post(&jobs, &j).await.0 == 200 }).await);
    let url = format!("{}/jobs/{}", c.url(0), currantgw::entry::jobs::job_id("healed"));
    assert!(eventually(200, || async { get(&url).await.1["state"] == "finished" }).await);
    assert_eq!(c.platform.stats().double_runs, 0);
    c.stop().await;
}

/// Guards against an entry that serves no lookups because it starts while the platform is
/// unavailable. Its start must not wait for the worker list or the catalogue, which lookups do not
/// need.
#[async_std::test]
async fn entry_started_during_an_outage_serves_lookups_at_once() {
    let mut cell = common::cell(2, 1, 1);
    let late_entry = cell.entries.pop().unwrap();
    let mut c = TestCell::start(cell).await;
    c.ready().await;
    assert_eq!(post(&format!("{}/catalogue", c.url(0)), &catalogue(0)).await.0, 200);
    let down = |target| Fault::now(target, FaultKind::Outage, 2_000);
    c.platform.add_faults([Target::Table, Target::Workers].map(down).into());
    c.cell.entries.push(late_entry.clone());
    let i = c.add_entry(&late_entry.id).await;
    let url = format!("{}/lookup?key=early", c.url(i));
    assert!(eventually(20, || async { common::try_get(&url).await.is_some() }).await);
    let (status, body) =
        post(&format!("{}/jobs", c.url(i)), &job("cronometria/splits", 1, 50, "early")).await;
    assert_eq!((status, body["error"].as_str()), (503, Some("unavailable")), "{body}");
    let (_, cat) = get(&format!("{}/catalogue", c.url(i))).await;
    assert_eq!(cat["version"], 0, "no catalogue without the table");
    c.ready().await;
    let caught_up = eventually(100, || async {
        get(&format!("{}/catalogue", c.url(i))).await.1["version"] == 1
    });
    assert!(caught_up.await);
    c.stop().await;
}
