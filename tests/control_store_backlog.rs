//! Commits of the scheduler: batching of changes into transactions, and the effects of a slow
//! store.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{queue, step, Cell, StoreTimes, RULES};
use currantgw::control::leader::CommitBatching;
use currantgw::control::model::{Approval, JobId, JobState};
use currantgw::control::partitions::{Partition, PartitionScope};
use currantgw::control::rows::{self, ProgressRow};
use currantgw::kernel::res::Resources;

/// Times of a healthy store.
const HEALTHY: StoreTimes = StoreTimes { txn: 3, round_trip: 4 };

/// Times of a store that is sixty times too slow.
const SLOW: StoreTimes = StoreTimes { txn: 180, round_trip: 240 };

/// Upper bound of a commit of a healthy store, ms.
const QUICK_MS: u64 = 50;

/// Approval costs of the queue of lookups: a request takes 30 ms.
const LOOKUPS: Approval = Approval { base_ms: 20.0, each_ms: 1.0, valid_ms: 2_000 };

fn partition(n: usize) -> Partition {
    Partition::all().nth(n).unwrap()
}

/// Starts commits until no more may be sent at `now`.
fn start_commits(
    batching: &mut CommitBatching,
    wants: impl Fn(Partition) -> bool,
    now: u64,
) -> Vec<PartitionScope> {
    let mut out = Vec::new();
    while let Some(scope) = batching.next(&wants, now) {
        batching.record_sent(scope, now);
        out.push(scope);
    }
    out
}

#[test]
fn a_quick_store_takes_all_partitions_in_one_transaction() {
    let mut batching = CommitBatching::new(true, 0);
    assert!(batching.next(|_| false, 0).is_none());
    assert_eq!(start_commits(&mut batching, |_| true, 0), [PartitionScope::All; 3]);
    batching.record_outcome(PartitionScope::All, true, 0, QUICK_MS);
    assert_eq!(
        start_commits(&mut batching, |p| p == partition(3), QUICK_MS),
        [PartitionScope::All]
    );
}

/// Guards against placements that wait for seconds on a store sixty times too slow: a commit takes
/// 0.5 s, and transactions of different partitions need not wait for each other.
#[test]
fn a_slow_store_takes_each_partition_by_itself() {
    let mut batching = CommitBatching::new(true, 0);
    batching.record_sent(PartitionScope::All, 0);
    batching.record_outcome(PartitionScope::All, true, 0, QUICK_MS + 1);
    let now = 60;
    // One commit of each partition, a second one a moment later, and no more: further ones would
    // only queue in the store.
    let sent = start_commits(&mut batching, |_| true, now);
    assert_eq!(sent, Partition::all().map(PartitionScope::One).collect::<Vec<_>>());
    assert_eq!(start_commits(&mut batching, |_| true, now + 20).len(), sent.len());
    assert!(start_commits(&mut batching, |_| true, now + 100).is_empty());
    // Once the store has been quick for a while, all partitions go into one transaction again.
    for _ in 0..2 {
        Partition::all().for_each(|p| {
            batching.record_outcome(PartitionScope::One(p), true, now + 190, now + 200)
        });
    }
    assert_eq!(start_commits(&mut batching, |_| true, 2_060), [PartitionScope::All; 3]);
}

/// An unavailable partition delays only its own changes, and is tried again after a short delay.
#[test]
fn an_unavailable_partition_delays_only_itself() {
    let mut batching = CommitBatching::new(true, 0);
    batching.record_sent(PartitionScope::All, 0);
    batching.record_outcome(PartitionScope::All, false, 0, 900);
    assert_eq!(start_commits(&mut batching, |_| true, 960).len(), Partition::all().count());
    for p in Partition::all() {
        batching.record_outcome(PartitionScope::One(p), p != partition(0), 960, 970);
    }
    let sent = start_commits(&mut batching, |_| true, 1_000);
    assert!(
        !sent.contains(&PartitionScope::One(partition(0)))
            && sent.len() == Partition::all().count() - 1
    );
    assert!(start_commits(&mut batching, |p| p == partition(0), 1_030)
        .contains(&PartitionScope::One(partition(0))));
}

/// A store that accepts no transactions over several partitions is sent none.
#[test]
fn partitions_are_written_separately_without_cross_partition_transactions() {
    let mut batching = CommitBatching::new(false, 0);
    assert_eq!(
        start_commits(&mut batching, |p| p.index() < 2, 0),
        [PartitionScope::One(partition(0)), PartitionScope::One(partition(1))]
    );
}

/// Only responses of the store prolong the term of a leader.
#[test]
fn a_term_ends_without_responses_of_the_store() {
    let mut batching = CommitBatching::new(true, 0);
    batching.record_sent(PartitionScope::All, 0);
    batching.record_outcome(PartitionScope::All, false, 0, 1_000);
    assert!(!batching.is_expired(10_000) && batching.is_expired(10_001));
    batching.record_ack(5_000);
    assert!(!batching.is_expired(15_000) && batching.is_expired(15_001));
}

/// A cell of 40 runners whose lookups need approval.
fn cell() -> Cell {
    let capacity = Resources { cpu: 16_000, mem: 64_000, acc: 0 };
    let queues = vec![queue("lookups", 0, 3, Some(LOOKUPS))];
    let mut cell = Cell::with(RULES, 40, capacity, queues, 3);
    cell.connections = vec![0.0; 8];
    cell.engine.advice_connections = 8;
    cell.times = Some(HEALTHY);
    cell.run(300);
    cell
}

/// Distribution of job ids over the partitions.
#[derive(Clone, Copy)]
enum Ids {
    /// Over all partitions in turn.
    Spread,
    /// In one partition.
    OnePartition,
}

/// Results of the lookups that arrived within one second.
struct SecondStats {
    /// Median time to the first start, ms.
    wait: u64,
    /// Number of advice requests.
    requests: usize,
}

/// Runs `seconds` of lookups, `per_s` of them in each.
fn run_lookups(cell: &mut Cell, ids: Ids, from: u64, seconds: u64, per_s: u64) -> Vec<SecondStats> {
    let mut jobs: Vec<Vec<(JobId, u64)>> = Vec::new();
    let mut requests = Vec::new();
    for s in 0..seconds {
        let before = cell.requests.len();
        let mut arrived = Vec::new();
        for n in 0..per_s {
            let number = (from + s) * 1_000 + n + 1;
            let id = match ids {
                Ids::Spread => number << 48 | number | (number % 8) << 61,
                Ids::OnePartition => number,
            };
            arrived.push((cell.submit(id, "lookups", vec![step(1, 1_000, 600)]), cell.now));
            cell.run(1_000 / per_s);
        }
        requests.push(cell.requests.len() - before);
        jobs.push(arrived);
    }
    cell.run(4_000);
    let second = |(arrived, requests): (Vec<(JobId, u64)>, usize)| {
        let waited = |(id, at): &(JobId, u64)| cell.began.get(id).map_or(u64::MAX, |b| b - at);
        let mut waits: Vec<u64> = arrived.iter().map(waited).collect();
        waits.sort_unstable();
        SecondStats { wait: waits[waits.len() / 2], requests }
    };
    jobs.into_iter().zip(requests).map(second).collect()
}

/// Guards against lookups that start after 2.4 s instead of 0.05 s in a burst on a slow store. A
/// store sixty times too slow carries out five transactions a second in each partition, some 240
/// rows, and twice as many change; with all progress in one partition they queue.
#[test]
fn a_burst_on_a_slow_store_is_stored_in_several_partitions() {
    let mut cell = cell();
    cell.times = Some(SLOW);
    let seconds = run_lookups(&mut cell, Ids::Spread, 0, 6, 200);
    let waits: Vec<u64> = seconds.iter().map(|s| s.wait).collect();
    assert!(waits[1..].iter().all(|w| *w <= 1_000), "{waits:?}");
    cell.check();
}

/// Guards against decisions that outrun the store: ten times the advice requests, and starts that
/// are seconds late for twelve seconds after the store has recovered. If more is placed than the
/// store takes, tickets expire before the start, each is requested again, and what it approves is
/// placed and waits in turn.
#[test]
fn decisions_do_not_outrun_the_store() {
    let mut cell = cell();
    let baseline = run_lookups(&mut cell, Ids::OnePartition, 0, 2, 200);
    cell.times = Some(SLOW);
    let slow = run_lookups(&mut cell, Ids::OnePartition, 10, 6, 200);
    let most_requests = slow.iter().map(|s| s.requests).max().unwrap();
    assert!(
        most_requests <= 2 * baseline[0].requests,
        "{most_requests} requests, {} before",
        baseline[0].requests
    );
    cell.times = Some(HEALTHY);
    let after = run_lookups(&mut cell, Ids::OnePartition, 30, 3, 200);
    assert!(
        after[2].wait <= 2 * baseline[0].wait,
        "{} ms, {} before",
        after[2].wait,
        baseline[0].wait
    );
    cell.check();
}

/// An unavailable partition delays its own jobs, and they start once it is available again.
#[test]
fn jobs_of_an_unavailable_partition_start_when_it_recovers() {
    let mut cell = cell();
    cell.unavailable = Some(partition(0));
    let lost = cell.submit(1, "lookups", vec![step(1, 1_000, 600)]);
    let other = cell.submit(u64::MAX, "lookups", vec![step(1, 1_000, 600)]);
    cell.run(3_000);
    assert_eq!((cell.stored(lost), cell.stored(other)), (JobState::Queued, JobState::Completed));
    cell.unavailable = None;
    cell.run(2_500);
    assert_eq!(cell.stored(lost), JobState::Completed);
    cell.check();
}

/// A job with one running task, of whose progress another scheduler has stored `value`. Its
/// cancellation is to be stored next.
fn job_with_progress_of_another(value: Vec<u8>) -> (Cell, JobId) {
    let mut cell = Cell::new(2, 1);
    let job = cell.submit(1, "patient", vec![step(1, 1_000, 60_000)]);
    cell.run(1_500);
    assert_eq!(cell.stored(job), JobState::Running);
    cell.put_progress(job, value);
    cell.cancel(job);
    cell.run(500);
    (cell, job)
}

/// Guards against progress that is overwritten by a scheduler that has never read it, which starts
/// tasks again that have completed.
#[test]
fn progress_of_another_scheduler_ends_the_term_and_is_kept() {
    let row = ProgressRow { state: JobState::Completed, ended: 1, ..ProgressRow::default() };
    let (cell, job) = job_with_progress_of_another(rows::encode(&row));
    assert!(cell.engine.stale);
    assert_eq!(cell.stored(job), JobState::Completed);
}

/// Guards against progress that is overwritten by a scheduler that can't read it. That the next term
/// holds the job and doesn't end is tested in `control_held`.
#[test]
fn an_unreadable_progress_row_ends_the_term_and_is_kept() {
    let (cell, job) = job_with_progress_of_another(b"junk".to_vec());
    assert!(cell.engine.stale);
    assert_eq!(cell.progress_row(job), Some(&b"junk"[..]));
}

/// Guards against a term that ends because of a late write of its own.
#[test]
fn a_late_write_of_the_same_scheduler_keeps_the_term() {
    let mut cell = Cell::new(4, 1);
    cell.faults.commits = 0.5;
    let mut jobs = Vec::new();
    for n in 1..=100 {
        jobs.push(cell.submit(n << 56 | n, "patient", vec![step(2, 500, 2_000)]));
        cell.run(300);
    }
    cell.faults.commits = 0.0;
    cell.run(20_000);
    cell.check();
    assert!(jobs.iter().all(|j| cell.stored(*j) == JobState::Completed));
}
