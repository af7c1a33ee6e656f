//! Answers of an instance that has not read all jobs yet, and reading them over a link of low
//! bandwidth.

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
use common::users::{Cell, StoreMode};
use currantgw::control::access::Caller;
use currantgw::control::mirror::reading::SliceSizer;
use currantgw::control::mirror::{Mirror, Table};
use currantgw::control::model::{JobId, JobState};
use currantgw::control::rows;
use currantgw::control::store_health::StoreHealth;
use currantgw::http::{CallError, ConnPool};
use currantgw::kernel::clock::Clock;
use currantgw::platform::store::RowStore;
use futures::AsyncReadExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of jobs that wait in the store.
const JOBS: u64 = 1_500;

/// Payload of each job, bytes; its row is about 1,600 bytes on the wire.
const PAYLOAD: usize = 1_000;

/// Size of all jobs on the wire, bytes.
const TABLE: usize = JOBS as usize * 1_600;

/// Ids spread over all partitions.
fn ids(count: u64) -> Vec<JobId> {
    (1..=count).map(|n| JobId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))).collect()
}

/// A cell of one instance and no runners, with [`JOBS`] waiting jobs.
async fn backlog() -> Cell {
    let cell = Cell::start(1, 0, 0).await;
    cell.platform.store_jobs("plain", &ids(JOBS), PAYLOAD);
    let all_counted = || async { cell.call(0, "GET", "/plain/", "").await.1["pending"] == JOBS };
    cell.wait("all jobs are counted", all_counted).await;
    cell
}

/// Guards against an answer that 2 jobs of a queue wait while thousands have waited for seconds. A
/// restarted instance, whose link takes seconds to read all jobs, accepted two new jobs. It
/// answered counts as soon as it had the catalogue, from the jobs that it had so far. It had not
/// logged `table read` for the jobs, and the count was its own two jobs.
#[async_std::test]
async fn no_count_is_given_before_all_jobs_are_read() {
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

/// Counts are refused once the data from before the store became unresponsive is too old.
#[async_std::test]
async fn no_count_is_given_from_outdated_data() {
    let cell = backlog().await;
    cell.platform.set_store_mode(StoreMode::Unresponsive);
    task::sleep(Duration::from_millis(2_600)).await;
    let sent = Instant::now();
    let (status, body) = cell.call(0, "GET", "/plain/", "").await;
    assert_eq!(status, 503, "{body}");
    assert!(sent.elapsed() < Duration::from_millis(300), "{:?}", sent.elapsed());
    cell.platform.set_store_mode(StoreMode::Healthy);
    let all_counted = || async { cell.call(0, "GET", "/plain/", "").await.1["pending"] == JOBS };
    cell.wait("counted again", all_counted).await;
    cell.end().await;
}

/// Slices of a table converge to a duration of about 300 ms on any link, and don't shrink because
/// of the latency of a slow store.
#[test]
fn slices_adapt_to_the_throughput_of_the_link() {
    let partitions = rows::JOB_PARTITIONS as usize;
    for (per_ms, answer_ms, least, most) in
        [(1_250, 5, 200, 400), (125, 5, 200, 400), (1_250, 240, 240, 500), (25_000, 240, 240, 400)]
    {
        let mut sizer = SliceSizer::default();
        let mut took = 0;
        for _ in 0..12 {
            let (reads, rows) = sizer.next_reads(partitions);
            let bytes = reads * rows * 1_300;
            took = answer_ms + (bytes / per_ms) as u64;
            sizer.record_slice(reads * rows, bytes, took);
        }
        assert!((least..=most).contains(&took), "{per_ms} bytes/ms, {answer_ms} ms: {took} ms");
    }
}

/// Guards against restarted small instances that serve no calls for hours, their links saturated.
/// With thousands of jobs stored, an instance on a link of 10 Mbit/s read all partitions of their
/// table at once. No answer completed within the fixed timeout of 900 ms, and everything read was
/// discarded with the first partition that failed: links were at full rate for minutes, and memory
/// didn't grow.
#[async_std::test]
async fn a_small_link_reads_all_jobs_and_serves_meanwhile() {
    let mut cell = backlog().await;
    let link = Link::open(cell.store, TABLE / 4).await;
    let n = cell.add(link.addr);
    cell.wait("ready", || async { cell.ready(n).await }).await;
    let began = Instant::now();
    let mut accepted = 0;
    while cell.call(n, "GET", "/plain/", "").await.1["pending"].as_u64() < Some(JOBS) {
        assert!(
            began.elapsed() < Duration::from_secs(16),
            "four times the transfer time of the table"
        );
        let id = format!("000000000000{accepted:04x}");
        let sent = Instant::now();
        assert_eq!(cell.submit(n, "plain", &id, 1).await.0, 200, "after {:?}", began.elapsed());
        assert!(sent.elapsed() < Duration::from_millis(1_000), "{:?}", sent.elapsed());
        accepted += 1;
        task::sleep(Duration::from_millis(100)).await;
    }
    cell.end().await;
    link.close().await;
}

/// Guards against a completed job being shown as queued. A starting instance that has not read the
/// progress table reads a queried job from the store. It read only the job's own row, and a job
/// without progress counts as queued.
#[async_std::test]
async fn a_job_found_in_the_store_is_shown_with_its_state() {
    let cell = Cell::start(1, 1, 50).await;
    let done = "fc000000000000a1";
    assert_eq!(cell.submit(0, "plain", done, 1).await.0, 200);
    cell.wait_state(0, "plain", done, "completed").await;
    let clock = Clock::real();
    let mirror = Mirror::new(cell.store_client(), Arc::new(StoreHealth::new(clock.clone())), clock);
    let id = done.parse().unwrap();
    assert_matches!(mirror.find_job(id, &Caller::Anyone).await, Ok(Some(_)));
    assert_eq!(mirror.job_state(id), Some(JobState::Completed));
    cell.end().await;
}

/// Guards against an instance that is killed at the end of its grace period. It was signalled to
/// stop before it had read the progress of jobs, and didn't check for the signal until it had.
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

/// Guards against an instance that gets no changes any more after it was cut off for seconds. The
/// changes were more than its link transfers within the timeout of a poll, and each further poll
/// requested even more.
#[async_std::test]
async fn a_small_link_catches_up_with_the_feed() {
    let cell = Cell::empty().await;
    let link = Link::open(cell.store, TABLE / 4).await;
    let clock = Clock::real();
    let store = Arc::new(RowStore::new(ConnPool::new(clock.clone()), link.addr));
    let mirror = Mirror::new(store, Arc::new(StoreHealth::new(clock.clone())), clock);
    mirror.poll(Table::Jobs, 0).await.unwrap();
    cell.platform.store_jobs("plain", &ids(JOBS), PAYLOAD);
    let began = Instant::now();
    while mirror.job_count() < JOBS as usize {
        assert!(began.elapsed() < Duration::from_secs(12), "{} jobs read", mirror.job_count());
        let _ = mirror.poll(Table::Jobs, 0).await;
    }
    cell.end().await;
    link.close().await;
}

/// A server that sends `pieces` bytes of a body, one every `pause_ms`, and announces `length`.
async fn slow_server(pieces: usize, pause_ms: u64, length: usize) -> SocketAddr {
    let addr = ports::free_addr();
    let listener = TcpListener::bind(addr).await.unwrap();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
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

/// An answer that keeps arriving is waited for; one that stalls times out.
#[async_std::test]
async fn an_answer_times_out_when_it_stalls() {
    let conns = ConnPool::new(Clock::real());
    let slow = slow_server(8, 150, 8).await;
    let reply = conns.fetch(slow, "/", 1_000).await.unwrap();
    assert_eq!(reply.body.len(), 8);
    let stalled = slow_server(3, 150, 8).await;
    let began = Instant::now();
    let timed_out = conns.fetch(stalled, "/", 1_000).await;
    assert_eq!(timed_out.unwrap_err(), CallError::Timeout);
    assert!(began.elapsed() < Duration::from_millis(3_000), "{:?}", began.elapsed());
}
