//! Whole instances on a stand-in of the users' platform, over HTTP on loopback: the path of a
//! job, what callers get when they or the store misbehave, and an instance that leaves.

mod common {
    pub mod ports;
    pub mod users;
}

use async_std::task;
use common::users::{self, Cell, Mood};
use currantgw::control::mirror::{Mirror, Table};
use currantgw::control::pulse::Pulse;
use currantgw::kernel::clock::Clock;
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ID: &str = "00000000000000a1";

#[async_std::test]
async fn a_job_is_served_end_to_end_on_any_instance() {
    let cell = Cell::start(2, 2, 150).await;
    assert_eq!(cell.submit(0, "plain", ID, 3).await.0, 200);
    cell.wait_state(0, "plain", ID, "completed").await;
    cell.wait_state(1, "plain", ID, "completed").await;
    assert_eq!(cell.world.starts().len(), 3);
    assert!(cell.world.starts().values().all(|n| *n == 1));
    cell.end().await;
}

#[async_std::test]
async fn queues_with_a_policy_are_asked_about_runners() {
    let cell = Cell::start(2, 2, 100).await;
    assert_eq!(cell.submit(1, "asked", ID, 2).await.0, 200);
    cell.wait_state(1, "asked", ID, "completed").await;
    assert!(!cell.world.questions().is_empty());
    cell.end().await;
}

#[async_std::test]
async fn one_id_submitted_to_every_instance_is_one_job() {
    let cell = Cell::start(3, 2, 100).await;
    let all = [0, 1, 2].map(|n| cell.submit(n, "plain", ID, 2));
    let answers = futures::future::join_all(all).await;
    assert!(answers.iter().all(|(status, _)| *status == 200), "{answers:?}");
    assert_eq!(cell.world.count("jobs"), 1);
    cell.wait_state(0, "plain", ID, "completed").await;
    assert!(cell.world.starts().values().all(|n| *n == 1));
    cell.end().await;
}

#[async_std::test]
async fn a_cancelled_job_is_shown_so_everywhere() {
    let cell = Cell::start(2, 1, 30_000).await;
    cell.submit(0, "plain", ID, 1).await;
    cell.wait_state(1, "plain", ID, "running").await;
    assert_eq!(cell.call(1, "DELETE", &format!("/plain/{ID}"), "").await.0, 200);
    cell.wait_state(0, "plain", ID, "canceled").await;
    assert_eq!(cell.call(0, "DELETE", "/plain/00000000000000ff", "").await.0, 410);
    cell.end().await;
}

/// A malformed request gets a 4xx that names the fault, and stores nothing.
#[async_std::test]
async fn malformed_jobs_are_refused_and_not_stored() {
    let cell = Cell::start(1, 1, 100).await;
    let step = json!({"count": 1, "cpu": 100, "mem_mb": 1});
    let long = "x".repeat(4_001);
    let huge = "x".repeat(70_000);
    let cases = [
        ("/plain/xyz", json!({"phases": [step]}).to_string(), 400, "id"),
        ("/plain/00000000000000A1", json!({"phases": [step]}).to_string(), 400, "id"),
        ("/plain/00000000000000a1", "{".into(), 400, "body"),
        ("/plain/00000000000000a1", json!({"phases": []}).to_string(), 400, "phases"),
        ("/plain/00000000000000a1", json!({"phases": [{"count": 0}]}).to_string(), 400, "count"),
        (
            "/plain/00000000000000a1",
            json!({"phases": [{"count": 1, "after": [1]}, step]}).to_string(),
            400,
            "after",
        ),
        (
            "/plain/00000000000000a1",
            json!({"spec": long, "phases": [step]}).to_string(),
            400,
            "spec",
        ),
        ("/plain/00000000000000a1", huge, 413, "body"),
        ("/none/00000000000000a1", json!({"phases": [step]}).to_string(), 404, "queue"),
    ];
    for (path, body, status, names) in cases {
        let (got, answer) = cell.call(0, "POST", path, &body).await;
        assert_eq!(got, status, "{path} {body:.80}");
        let error = answer["error"].as_str().unwrap_or("");
        assert!(error.contains(names), "{path}: {error}");
    }
    assert_eq!(cell.world.count("jobs"), 0);
    let unknown = json!({"spec": "s", "later": 1, "phases": [{"count": 1, "cpu": 1, "new": 2}]});
    let (got, _) = cell.call(0, "POST", &format!("/plain/{ID}"), &unknown.to_string()).await;
    assert_eq!(got, 200);
    cell.end().await;
}

#[async_std::test]
async fn pending_counts_jobs_of_which_nothing_has_started() {
    let cell = Cell::start(1, 1, 1_000).await;
    for n in 0..3 {
        cell.submit(0, "plain", &format!("00000000000000b{n}"), 4).await;
    }
    cell.wait("two wait", || async { cell.call(0, "GET", "/plain/", "").await.1["pending"] == 2 })
        .await;
    cell.end().await;
}

/// Symptom: no instance is ready until the configuration changes for the first time.
/// Sequence: an instance reads the empty configuration table at version 0 and follows its feed
/// from there; the operator's first row is written in transaction 1.
/// Cause: "read at version 0" and "not read" were the same, and the feed began after version 1.
#[async_std::test]
async fn the_first_row_written_after_an_empty_read_is_seen() {
    let world = Cell::empty().await;
    let pulse = Arc::new(Pulse::new(Clock::real()));
    let mirror = Mirror::new(world.store_client(), pulse, Clock::real());
    mirror.poll(Table::Config, 0).await.unwrap();
    let config = json!({"version": 3, "routes": [users::route("plain", false)]});
    world.world.put("op", "config", &config);
    mirror.poll(Table::Config, 1_000).await.unwrap();
    assert_eq!(mirror.catalogue().version, 3);
    world.end().await;
}

/// Symptom: a job that was refused runs, or one that was stored is refused as "not stored".
/// Sequence: the store carries a write out and its answer is lost; the caller must not be told
/// that the job never runs.
#[async_std::test]
async fn a_submission_without_an_answer_is_in_doubt_not_refused() {
    let cell = Cell::start(1, 1, 100).await;
    cell.world.mood(Mood::Mute);
    let (status, _) = cell.submit(0, "plain", ID, 1).await;
    assert_eq!(status, 504);
    cell.world.mood(Mood::Well);
    cell.wait_state(0, "plain", ID, "completed").await;
    cell.end().await;
}

/// While the store is known to be away a submission is refused at once, with the time after
/// which to come back; work goes on when it returns.
#[async_std::test]
async fn while_the_store_is_away_refusals_are_quick() {
    let cell = Cell::start(2, 1, 100).await;
    cell.submit(0, "plain", ID, 1).await;
    cell.wait_state(1, "plain", ID, "completed").await;
    cell.world.mood(Mood::Busy);
    task::sleep(Duration::from_millis(2_500)).await;
    for n in 0..2 {
        let began = Instant::now();
        let (status, body) = cell.submit(n, "plain", "00000000000000a2", 1).await;
        assert_eq!(status, 503, "{body}");
        assert!(began.elapsed() < Duration::from_millis(400), "{:?}", began.elapsed());
        // What is known stays known, and an unknown id is no "no such job".
        assert_eq!(cell.state(n, "plain", ID).await, "completed");
        assert_eq!(cell.state(n, "plain", "00000000000000ee").await, "503");
    }
    cell.world.mood(Mood::Well);
    cell.wait("accepted again", || async {
        cell.submit(0, "plain", "00000000000000a2", 1).await.0 == 200
    })
    .await;
    cell.wait_state(1, "plain", "00000000000000a2", "completed").await;
    assert_eq!(cell.world.count("jobs"), 2);
    cell.end().await;
}

/// Symptom: in an outage of the store some submissions are answered 504 instead of 503, after half
/// a second, and what the scheduler has asked the advice service is lost ten times a second.
/// Sequence: the store falls silent for everybody. The scheduler's instance closed every link,
/// the others dialled anew at once, and each greeting made the link look usable for a moment, so
/// that writes were handed over it and their answers lost with it.
/// Cause: a link's end, and not a message, told that the scheduler did not hear of the store.
#[async_std::test]
async fn while_the_store_is_silent_refusals_are_certain() {
    let cell = Cell::start(3, 1, 100).await;
    cell.submit(0, "plain", ID, 1).await;
    cell.wait_state(1, "plain", ID, "completed").await;
    cell.world.mood(Mood::Silent);
    // A write on its way when the silence begins may end in doubt; later ones must not.
    task::sleep(Duration::from_millis(1_500)).await;
    for round in 0..12u32 {
        for n in 0..3u32 {
            let id = format!("000000000000{round:02}{n:02}");
            let began = Instant::now();
            let (status, _) = cell.submit(n as usize, "plain", &id, 1).await;
            assert_eq!(status, 503, "round {round} at instance {n}");
            assert!(began.elapsed() < Duration::from_millis(300), "{:?}", began.elapsed());
        }
        task::sleep(Duration::from_millis(37)).await;
    }
    // Callers have 3 s and few tries: they are told to spread them.
    let job = r#"{"spec": "s", "phases": [{"count": 1, "cpu": 1000}]}"#;
    for n in 0..3 {
        let told = cell.retry_after(n, "/plain/00000000000000a3", job).await;
        assert_eq!(told, Some(2), "instance {n}");
    }
    for n in 0..3 {
        let opened = cell.dump(n).await["link"]["opened"].as_u64();
        assert!(opened.is_some_and(|n| n <= 3), "instance {n} opened {opened:?} links");
    }
    cell.world.mood(Mood::Well);
    cell.wait("accepted again", || async {
        cell.submit(1, "plain", "00000000000000a2", 1).await.0 == 200
    })
    .await;
    cell.wait_state(2, "plain", "00000000000000a2", "completed").await;
    assert_eq!(cell.world.count("jobs"), 2);
    cell.end().await;
}

/// A job that is not known here cannot be looked up while the store is silent: its caller hears
/// so at once instead of after a read's timeout, and is told when to come back.
#[async_std::test]
async fn an_unknown_job_is_not_looked_up_in_a_silence() {
    let cell = Cell::start(2, 1, 100).await;
    cell.world.mood(Mood::Silent);
    task::sleep(Duration::from_millis(1_500)).await;
    let began = Instant::now();
    assert_eq!(cell.state(0, "plain", "00000000000000ee").await, "503");
    assert!(began.elapsed() < Duration::from_millis(300), "{:?}", began.elapsed());
    cell.world.mood(Mood::Well);
    cell.end().await;
}

/// Symptom: in an outage of some parts of the store the log of each instance has it lost and
/// regained ten times a second, and nobody can tell what is away.
/// Sequence: writes to parts that serve alternate with writes to parts that do not.
/// Cause: one dependency stood for all parts.
#[async_std::test]
async fn a_part_that_is_away_is_lost_alone() {
    let cell = Cell::start(1, 1, 100).await;
    cell.world.lose_part(Some("3f"));
    let lost = "fc000000000000a1";
    let (refused, _) = futures::future::join(cell.submit(0, "plain", lost, 1), async {
        for n in 0..5 {
            assert_eq!(cell.submit(0, "plain", &format!("00000000000000f{n}"), 1).await.0, 200);
        }
        let parts = cell.dump(0).await["parts_lost"].clone();
        assert_eq!(parts, json!(["store, submissions, part 3f"]));
    })
    .await;
    assert_eq!(refused.0, 503);
    cell.world.lose_part(None);
    assert_eq!(cell.submit(0, "plain", lost, 1).await.0, 200);
    assert_eq!(cell.dump(0).await["parts_lost"], json!([]));
    cell.end().await;
}

/// The feed's history is dropped: everything is read anew, nothing is lost.
#[async_std::test]
async fn a_store_that_forgets_its_history_is_read_anew() {
    let cell = Cell::start(2, 1, 50).await;
    for n in 0..4 {
        let id = format!("00000000000000c{n}");
        assert_eq!(cell.submit(n % 2, "plain", &id, 1).await.0, 200);
        cell.world.forget();
        cell.wait_state((n + 1) % 2, "plain", &id, "completed").await;
    }
    cell.end().await;
}

/// An instance told to stop hands the scheduler's office over first, answers what it has begun,
/// and what runs meanwhile starts only once.
#[async_std::test]
async fn an_instance_that_leaves_hands_its_office_over() {
    let mut cell = Cell::start(3, 2, 1_500).await;
    for n in 0..3 {
        assert_eq!(cell.submit(n, "plain", &format!("00000000000000d{n}"), 2).await.0, 200);
    }
    cell.wait_state(1, "plain", "00000000000000d2", "running").await;
    // Whoever holds the office: stopping each in turn makes it change hands at least once.
    for n in 0..2 {
        cell.stop(n).await;
        cell.boot(n);
        cell.wait("ready again", || async { cell.ready(n).await }).await;
    }
    for n in 0..3 {
        cell.wait_state(2, "plain", &format!("00000000000000d{n}"), "completed").await;
    }
    assert!(cell.world.starts().values().all(|n| *n == 1), "{:?}", cell.world.starts());
    assert_eq!(cell.submit(0, "plain", "00000000000000e0", 1).await.0, 200);
    cell.wait_state(1, "plain", "00000000000000e0", "completed").await;
    cell.end().await;
}

/// Symptom: a task runs twice, on two runners.
/// Sequence: every try of a start goes unanswered; the task is placed elsewhere and does its work;
/// seconds later the first runner carries out the starts it was sent.
/// Cause guarded against: giving a run up without a stop that refuses its late start.
#[async_std::test]
async fn starts_carried_out_late_run_nothing_twice() {
    let cell = Cell::start(2, 2, 4_000).await;
    cell.world.start_late(3);
    assert_eq!(cell.submit(0, "plain", ID, 1).await.0, 200);
    cell.wait_state(1, "plain", ID, "running").await;
    task::sleep(Duration::from_millis(users::LATE_MS + 500)).await;
    assert_eq!(cell.world.starts().values().sum::<u64>(), 1, "{:?}", cell.world.starts());
    cell.wait_state(0, "plain", ID, "completed").await;
    assert_eq!(cell.world.starts().values().sum::<u64>(), 1, "{:?}", cell.world.starts());
    cell.end().await;
}

/// Metrics are real histograms with buckets, which add up over instances.
#[async_std::test]
async fn metrics_have_buckets() {
    let cell = Cell::start(1, 1, 50).await;
    cell.submit(0, "plain", ID, 1).await;
    cell.wait_state(0, "plain", ID, "completed").await;
    let text = cell.metrics(0).await;
    assert!(text.contains("control_answer_seconds_bucket"), "{text}");
    assert!(text.contains("control_answers"), "{text}");
    cell.end().await;
}
