//! Choice of the runners that advice requests name.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{queue, step, Cell, RULES};
use currantgw::control::model::{Approval, JobId, Step, StepId, TaskId};
use currantgw::kernel::res::Resources;

/// Capacity of a runner.
const CAPACITY: Resources = Resources { cpu: 16_000, mem: 64_000, acc: 0 };

/// Maximum number of runners that the service accepts in a request.
const MAX_NAMED: usize = 100;

/// Number of runners of the cell.
const RUNNERS: usize = 400;

/// Number of instances, each with one connection to the advice service.
const CONNECTIONS: usize = 20;

/// Approval costs of a queue of non-urgent gangs: a request takes up to 1 s.
const GANGS: Approval = Approval { base_ms: 500.0, each_ms: 5.0, valid_ms: 2_000 };

/// Approval costs of a queue of urgent jobs.
const LOOKUPS: Approval = Approval { base_ms: 20.0, each_ms: 0.3, valid_ms: 2_000 };

/// Approves three runners of ten for any step.
fn three_of_ten(step: StepId, runner: usize) -> bool {
    (runner as u64 + step.job.0) % 10 < 3
}

fn cell() -> Cell {
    let queues = vec![
        queue("gangs", 1, 3, Some(GANGS)),
        queue("lookups", 0, 3, Some(LOOKUPS)),
        queue("urgent", 0, 3, None),
    ];
    let mut cell = Cell::with(RULES, RUNNERS, CAPACITY, queues, 7);
    cell.approves = three_of_ten;
    cell.connections = vec![0.0; CONNECTIONS];
    cell.engine.advice_connections = CONNECTIONS;
    cell.run(300);
    cell
}

fn gang(count: u32) -> Step {
    Step { gang: true, ..step(count, 16_000, 3_000) }
}

/// Guards against wide gangs on hundreds of runners that start after 5 to 25 s, past their
/// objective, although there is capacity for them. A gang that needs 100 runners, of which three of
/// ten are approved, requests advice about 100; the response, 1 s later, approves 30. With one
/// request for each gang at a time it then names the next 100, and so on.
#[test]
fn a_wide_gang_names_all_runners_it_needs_in_parallel_requests() {
    let mut cell = cell();
    let job = cell.submit(1, "gangs", vec![gang(100)]);
    cell.run(1_300);
    assert!(cell.began.contains_key(&job), "{} requests", cell.requests.len());
    cell.check();
}

/// A narrow gang occupies no more than one connection.
#[test]
fn a_narrow_gang_sends_one_request() {
    let mut cell = cell();
    let job = cell.submit(1, "gangs", vec![gang(4)]);
    cell.run(1_300);
    assert!(cell.began.contains_key(&job));
    assert_eq!(cell.requests.len(), 1);
    cell.check();
}

/// Guards against a gang of more than 100 members that never starts and causes `no advice` in the
/// log again and again. Its tickets have expired while it waited for capacity on its approved
/// runners; the capacity comes free and is reserved provisionally. If all reserved runners are
/// named in one request, the service refuses it.
#[test]
fn a_large_provisional_reservation_is_split_into_accepted_requests() {
    let mut cell = cell();
    cell.approves = |_, _| true;
    for n in 0..RUNNERS as u64 {
        cell.submit(1_000 + n, "urgent", vec![step(1, 16_000, 6_000)]);
    }
    cell.run(500);
    let job = cell.submit(1, "gangs", vec![gang(110)]);
    cell.run(10_000);
    assert!(cell.began.contains_key(&job), "{} requests", cell.requests.len());
    let most_named = cell.requests.iter().max().copied().unwrap_or(0);
    assert!(most_named <= MAX_NAMED, "a request names {most_named} runners");
    cell.check();
}

/// Guards against gangs that wait while a quarter of the cell is free, a little on each runner.
/// Tasks can go only to runners that a request has named: lookups that name the emptiest runners
/// are spread over the cell, whatever the choice among the approved runners.
#[test]
fn lookups_fill_runners_that_are_in_use() {
    let mut cell = cell();
    // Four tasks fit on a runner.
    for n in 0..200 {
        cell.submit(1_000 + n, "lookups", vec![step(1, 4_000, 60_000)]);
        cell.run(100);
    }
    assert_eq!(cell.running(), 200);
    let used_runners = cell.runners.iter().filter(|r| !r.running.is_empty()).count();
    assert!(used_runners <= 75, "200 tasks, four of which fill a runner, are on {used_runners}");
    let task = |n: u64| TaskId { step: StepId { job: JobId(n), occurrence: 0, step: 0 }, index: 0 };
    assert!((0..200).all(|n| cell.runners_of(task(1_000 + n)).len() == 1));
    cell.check();
}

/// Guards against lookups of a burst that send up to eight requests each and start seconds late
/// although there is capacity for all of them; of 200 only 71 ran after 1.5 s. They arrive faster
/// than requests are answered, and each names the runners that it would fill best, which are the
/// same for all unless the pending requests are taken into account.
#[test]
fn lookups_of_a_burst_name_different_runners() {
    let mut cell = cell();
    for n in 0..200 {
        cell.submit(1_000 + n, "lookups", vec![step(1, 12_000, 60_000)]);
    }
    cell.run(1_500);
    assert_eq!(cell.running(), 200);
    assert!(cell.requests.len() <= 3 * 200, "{} requests for 200 lookups", cell.requests.len());
    cell.check();
}
