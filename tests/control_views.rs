//! What an instance answers before it knows what the others know, and how it comes to know it over
//! a link that carries little.

mod common {
    pub mod narrow;
    pub mod ports;
    pub mod users;
}

use assert_matches::assert_matches;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::task;
use common::narrow::Link;
use common::ports;
use common::users::{Cell, Mood};
use currantgw::control::mirror::reading::Pace;
use currantgw::control::mirror::{Mirror, Table};
use currantgw::control::model::{JobId, JobState};
use currantgw::control::pulse::Pulse;
use currantgw::control::rows;
use currantgw::http::{CallError, Conns};
use currantgw::kernel::clock::Clock;
use currantgw::platform::store::RowStore;
use futures::AsyncReadExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Jobs that wait in the store.
const JOBS: u64 = 1_500;

/// Payload of each, bytes; its row is some 1,600 bytes on the wire.
const PAYLOAD: usize = 1_000;

/// What all of them take on the wire, bytes.
const TABLE: usize = JOBS as usize * 1_600;

/// Ids spread over all parts.
fn ids(count: u64) -> Vec<JobId> {
    (1..=count).map(|n| JobId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))).collect()
}

/// A cell of one instance without runners, where `JOBS` wait.
async fn backlog() -> Cell {
    let cell = Cell::start(1, 0, 0).await;
    cell.world.store_jobs("plain", &ids(JOBS), PAYLOAD);
    let known = || async { cell.call(0, "GET", "/plain/", "").await.1["pending"] == JOBS };
    cell.wait("all wait", known).await;
    cell
}

/// Symptom: a caller is told that 2 jobs of a queue wait, while thousands have waited for seconds.
/// Sequence: an instance is started again and begins to read what jobs there are, which takes its
/// link seconds; it takes two new jobs; it is asked how many wait.
/// Cause: it answered as soon as it had the catalogue, from the jobs that it had met so far. In the
/// evidence that instance had never logged that it had read the jobs, and the count was its own two.
#[async_std::test]
async fn no_count_is_given_before_all_jobs_are_known() {
    let mut cell = backlog().await;
    let link = Link::open(cell.store, TABLE / 20).await;
    let n = cell.add(link.addr);
    cell.wait("ready", || async { cell.ready(n).await }).await;
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        let (status, body) = cell.call(n, "GET", "/plain/", "").await;
        let count = body["pending"].as_u64();
        assert!(status == 503 || count >= Some(JOBS / 2), "{status} {body}");
        task::sleep(Duration::from_millis(100)).await;
    }
    cell.end().await;
    link.close().await;
}

/// What was known when the store fell silent is no count of now.
#[async_std::test]
async fn no_count_is_given_from_a_view_that_is_old() {
    let cell = backlog().await;
    cell.world.mood(Mood::Silent);
    task::sleep(Duration::from_millis(2_600)).await;
    let asked = Instant::now();
    let (status, body) = cell.call(0, "GET", "/plain/", "").await;
    assert_eq!(status, 503, "{body}");
    assert!(asked.elapsed() < Duration::from_millis(300), "{:?}", asked.elapsed());
    cell.world.mood(Mood::Well);
    let known = || async { cell.call(0, "GET", "/plain/", "").await.1["pending"] == JOBS };
    cell.wait("counted again", known).await;
    cell.end().await;
}

/// Slices of a table come to take some 300 ms on any link, and on a store that answers late they do
/// not shrink to nothing.
#[test]
fn slices_follow_what_the_link_carries() {
    let parts = rows::JOB_PARTS as usize;
    for (per_ms, answer_ms, least, most) in
        [(1_250, 5, 200, 400), (125, 5, 200, 400), (1_250, 240, 240, 500), (25_000, 240, 240, 400)]
    {
        let mut pace = Pace::default();
        let mut took = 0;
        for _ in 0..12 {
            let (reads, rows) = pace.ask(parts);
            let bytes = reads * rows * 1_300;
            took = answer_ms + (bytes / per_ms) as u64;
            pace.read(reads * rows, bytes, took);
        }
        assert!((least..=most).contains(&took), "{per_ms} bytes/ms, {answer_ms} ms: {took} ms");
    }
}

/// Symptom: small instances that were started again serve nobody for the rest of the day: what they
/// are sent is neither stored nor looked up in time, and their links are full.
/// Sequence: thousands of jobs are known; an instance on a link of 10 Mbit/s starts and reads all
/// parts of their table at once; each answer has to be whole within 900 ms; none is.
/// Cause: a fixed time for an answer of any size, and all that was read thrown away with the first
/// part that failed. In the evidence such links brought in all they could for minutes, and memory
/// did not grow.
#[async_std::test]
async fn a_small_link_reads_all_jobs_and_serves_meanwhile() {
    let mut cell = backlog().await;
    let link = Link::open(cell.store, TABLE / 4).await;
    let n = cell.add(link.addr);
    cell.wait("ready", || async { cell.ready(n).await }).await;
    let began = Instant::now();
    let mut taken = 0;
    while cell.call(n, "GET", "/plain/", "").await.1["pending"].as_u64() < Some(JOBS) {
        assert!(began.elapsed() < Duration::from_secs(16), "four times the table's own time");
        let id = format!("000000000000{taken:04x}");
        let sent = Instant::now();
        assert_eq!(cell.submit(n, "plain", &id, 1).await.0, 200, "after {:?}", began.elapsed());
        assert!(sent.elapsed() < Duration::from_millis(1_000), "{:?}", sent.elapsed());
        taken += 1;
        task::sleep(Duration::from_millis(100)).await;
    }
    cell.end().await;
    link.close().await;
}

/// Symptom: a job that is over is shown as waiting.
/// Sequence: a job is done; another instance starts, and is asked for the job before it has read how
/// far jobs have come; it finds the job in the store.
/// Cause: it looked up only whether the job exists, and took what it did not know for "waits".
#[async_std::test]
async fn a_job_found_in_the_store_is_shown_as_far_as_it_has_come() {
    let cell = Cell::start(1, 1, 50).await;
    let done = "fc000000000000a1";
    assert_eq!(cell.submit(0, "plain", done, 1).await.0, 200);
    cell.wait_state(0, "plain", done, "completed").await;
    let clock = Clock::real();
    let mirror = Mirror::new(cell.store_client(), Arc::new(Pulse::new(clock.clone())), clock);
    let id = done.parse().unwrap();
    assert_matches!(mirror.find_job(id).await, Ok(Some(_)));
    assert_eq!(mirror.job_state(id), Some(JobState::Completed));
    cell.end().await;
}

/// Symptom: an instance that is told to stop is killed when its time is up.
/// Sequence: it is told to stop before it has read how far jobs have come.
/// Cause: until then it did not look whether it was to stop.
#[async_std::test]
async fn an_instance_that_still_reads_stops_when_told() {
    let mut cell = backlog().await;
    let link = Link::open(cell.store, TABLE / 200).await;
    let n = cell.add(link.addr);
    cell.wait("ready", || async { cell.ready(n).await }).await;
    let stopped = async_std::future::timeout(Duration::from_secs(5), cell.stop(n)).await;
    assert!(stopped.is_ok(), "5 s, of which its grace is 2.6 s");
    cell.end().await;
    link.close().await;
}

/// Symptom: an instance that was cut off for seconds never hears of changes again.
/// Sequence: more changes wait for it than its link carries in the time that a feed's answer has; it
/// asks again, for more than before.
/// Cause: that of the tables read on a small link, in the feed.
#[async_std::test]
async fn a_small_link_catches_up_with_the_feed() {
    let cell = Cell::empty().await;
    let link = Link::open(cell.store, TABLE / 4).await;
    let clock = Clock::real();
    let store = Arc::new(RowStore::new(Conns::new(clock.clone()), link.addr));
    let mirror = Mirror::new(store, Arc::new(Pulse::new(clock.clone())), clock);
    mirror.poll(Table::Jobs, 0).await.unwrap();
    cell.world.store_jobs("plain", &ids(JOBS), PAYLOAD);
    let began = Instant::now();
    while mirror.job_count() < JOBS as usize {
        assert!(began.elapsed() < Duration::from_secs(12), "{} known", mirror.job_count());
        let _ = mirror.poll(Table::Jobs, 0).await;
    }
    cell.end().await;
    link.close().await;
}

/// A server that sends a body in `pieces`, one every `pause_ms`, of `length` announced.
async fn dribbles(pieces: usize, pause_ms: u64, length: usize) -> SocketAddr {
    let addr = ports::free_addr();
    let listener = TcpListener::bind(addr).await.unwrap();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut asked = [0; 1_024];
        let _ = stream.read(&mut asked).await;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes()).await;
        for _ in 0..pieces {
            task::sleep(Duration::from_millis(pause_ms)).await;
            let _ = stream.write_all(b"x").await;
        }
        task::sleep(Duration::from_secs(5)).await;
    });
    addr
}

/// An answer that keeps arriving is waited for; one that stops arriving is given up.
#[async_std::test]
async fn an_answer_is_given_up_when_it_stands_still() {
    let conns = Conns::new(Clock::real());
    let slow = dribbles(8, 150, 8).await;
    let reply = conns.fetch(slow, "/", 1_000).await.unwrap();
    assert_eq!(reply.body.len(), 8);
    let stops = dribbles(3, 150, 8).await;
    let began = Instant::now();
    let given_up = conns.fetch(stops, "/", 1_000).await;
    assert_eq!(given_up.unwrap_err(), CallError::Timeout);
    assert!(began.elapsed() < Duration::from_millis(3_000), "{:?}", began.elapsed());
}
