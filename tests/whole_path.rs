//! End-to-end tests of a cell on loopback: catalogue edits, submissions, refusals and lookups.

mod common;

use assert_matches::assert_matches;
use common::{catalogue, eventually, get, post, post_raw, TestCell};

/// After a catalogue edit, the tasks of a submitted job are placed, started and finished.
#[async_std::test]
async fn edit_then_submit_places_tasks() {
    let c = TestCell::start(common::cell(2, 2, 2)).await;
    c.ready().await;
    let (status, body) = post(&format!("{}/catalogue", c.url(0)), &catalogue(0)).await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(body["version"], 1);
    let job = serde_json::json!({
        "entry": "cronometria/splits", "tasks": 3,
        "demand": { "cpu": 1000, "mem": 1024 }, "run_ms": 100, "key": "split-1",
    });
    let (status, body) = post(&format!("{}/jobs", c.url(1)), &job).await;
    assert_eq!(status, 200, "{body}");
    let id = body["id"].as_str().unwrap().to_string();
    let url = format!("{}/jobs/{id}", c.url(0));
    let done = eventually(200, || async { get(&url).await.1["state"] == "finished" }).await;
    assert!(done, "job did not finish: {}", get(&url).await.1);
    let stats = c.platform.stats();
    assert_eq!(stats.started, 3);
    assert_eq!(stats.double_runs, 0);
    assert_eq!(stats.overcommitted_workers, 0);
    c.stop().await;
}

/// A gang larger than its shard is refused as not run and starts no task. If its tasks were placed
/// one by one, a part of it would occupy workers while the rest can never be placed.
#[async_std::test]
async fn gang_too_large_places_nothing_and_is_not_run() {
    let c = TestCell::start(common::cell(1, 1, 1)).await;
    c.ready().await;
    post(&format!("{}/catalogue", c.url(0)), &catalogue(0)).await;
    let gang = serde_json::json!({
        "entry": "cronometria/ranking", "tasks": 9,
        "demand": { "cpu": 8000, "mem": 16384 }, "run_ms": 100, "key": "ranking-1",
    });
    let (status, body) = post(&format!("{}/jobs", c.url(0)), &gang).await;
    assert_eq!(status, 422, "{body}");
    assert_eq!(body["error"], "not_run");
    assert_eq!(body["job"]["state"], "refused");
    let id = body["job"]["id"].as_str().unwrap();
    let (_, row) = get(&format!("{}/jobs/{id}", c.url(0))).await;
    assert_eq!(row["state"], "refused", "the refusal is committed");
    assert_eq!(c.platform.stats().started, 0);
    c.stop().await;
}

/// A gang that fits the shard but not its free capacity starts no task and is refused at its
/// deadline. Here a long batch job occupies most workers, and a gang that needs all of them follows
/// with a short deadline; a partial placement would start some of its tasks.
#[async_std::test]
async fn gang_without_free_capacity_waits_then_is_refused_whole() {
    let c = TestCell::start(common::cell(1, 1, 1)).await;
    c.ready().await;
    post(&format!("{}/catalogue", c.url(0)), &catalogue(0)).await;
    let filler = serde_json::json!({
        "entry": "sabgha/archive", "tasks": 4,
        "demand": { "cpu": 12000, "mem": 8192 }, "run_ms": 60000, "key": "filler",
    });
    assert_eq!(post(&format!("{}/jobs", c.url(0)), &filler).await.0, 200);
    let ok = eventually(100, || async { c.platform.stats().started == 4 }).await;
    assert!(ok);
    let gang = serde_json::json!({
        "entry": "cronometria/ranking", "tasks": 4, "deadline_ms": 500,
        "demand": { "cpu": 8000, "mem": 8192 }, "run_ms": 100, "key": "ranking-2",
    });
    let (status, body) = post(&format!("{}/jobs", c.url(0)), &gang).await;
    assert_eq!(status, 200, "{body}");
    let url = format!("{}/jobs/{}", c.url(0), body["id"].as_str().unwrap());
    let refused = eventually(100, || async { get(&url).await.1["state"] == "refused" }).await;
    assert!(refused);
    assert_eq!(c.platform.stats().started, 4, "no task of the gang started");
    c.stop().await;
}

/// An edit with malformed JSON, an unknown field or a value out of range is answered with a typed
/// 400 and leaves the catalogue and its version unchanged. Lenient parsing would accept it.
#[async_std::test]
async fn malformed_edits_are_typed_400_and_change_nothing() {
    let c = TestCell::start(common::cell(1, 1, 1)).await;
    c.ready().await;
    let url = format!("{}/catalogue", c.url(0));
    assert_eq!(post(&url, &catalogue(0)).await.0, 200);
    let (status, body) = post_raw(&url, "{\"base\": 1, \"entries\": [").await;
    assert_eq!((status, body["error"].as_str()), (400, Some("bad_request")));
    let mut unknown = catalogue(1);
    unknown["entries"][0]["colour"] = "red".into();
    let (status, body) = post(&url, &unknown).await;
    assert_eq!((status, body["error"].as_str()), (400, Some("bad_request")), "{body}");
    let mut bad = catalogue(1);
    bad["entries"][0]["limits"]["cpu"] = 0.into();
    let (status, body) = post(&url, &bad).await;
    assert_eq!((status, body["error"].as_str()), (400, Some("invalid")), "{body}");
    let (_, cat) = get(&url).await;
    assert_eq!(cat["version"], 1);
    assert_eq!(cat["entries"].as_object().unwrap().len(), 7);
    c.stop().await;
}

/// Two edits of the same base version at the same time: one is applied, the other is answered 409
/// with the present version. An unconditional write would overwrite one of them silently.
#[async_std::test]
async fn one_of_two_concurrent_edits_is_applied_the_other_conflicts() {
    let c = TestCell::start(common::cell(2, 1, 1)).await;
    c.ready().await;
    assert_eq!(post(&format!("{}/catalogue", c.url(0)), &catalogue(0)).await.0, 200);
    let mut a = catalogue(1);
    a["entries"][0]["team"] = "alpha".into();
    let mut b = catalogue(1);
    b["entries"][0]["team"] = "beta".into();
    let (url_a, url_b) = (format!("{}/catalogue", c.url(0)), format!("{}/catalogue", c.url(1)));
    let ((status_a, _), (status_b, body_b)) = futures::join!(post(&url_a, &a), post(&url_b, &b));
    let mut statuses = [status_a, status_b];
    statuses.sort();
    assert_eq!(statuses, [200, 409]);
    let winner = if status_a == 200 { "alpha" } else { "beta" };
    if status_b == 409 {
        assert_eq!(body_b["current"], 2);
    }
    let (status, body) = post(&url_a, &a).await;
    assert_eq!((status, &body["current"]), (409, &2.into()), "an edit of an old version, later");
    for i in 0..2 {
        let url = format!("{}/catalogue", c.url(i));
        let same = eventually(100, || async {
            let (_, cat) = get(&url).await;
            cat["version"] == 2 && cat["entries"]["cronometria/splits"]["team"] == winner
        })
        .await;
        assert!(same, "entry {i} did not converge on the winner");
    }
    c.stop().await;
}

/// Concurrent lookups are each answered with the value of their own key.
#[async_std::test]
async fn lookups_answer_their_own_key() {
    let c = TestCell::start(common::cell(1, 2, 1)).await;
    c.ready().await;
    let keys: Vec<String> = (0..50).map(|i| format!("runner-{i}")).collect();
    let answers = futures::future::join_all(keys.iter().map(|k| lookup_value(&c, k))).await;
    for (k, a) in keys.iter().zip(answers) {
        assert_matches!(a, Some(v) if v == currantgw::wire::value_for(k));
    }
    c.stop().await;
}

async fn lookup_value(c: &TestCell, key: &str) -> Option<String> {
    let (status, body) = get(&format!("{}/lookup?key={key}", c.url(0))).await;
    (status == 200).then(|| body["value"].as_str().unwrap().to_string())
}
