//! Steps that cannot be placed, and what they must not do to the others.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{queue, step, Cell, RULES};
use currantgw::control::engine::Rules;
use currantgw::control::model::{EndKind, JobId, JobState, Step, StepId, TaskId};
use currantgw::control::policy::features::Features;
use currantgw::control::rows::JobRow;
use currantgw::kernel::res::Resources;

/// Capacity of a runner.
const CAPACITY: Resources = Resources { cpu: 16_000, mem: 64_000, acc: 0 };

/// Number of runners of a cell.
const RUNNERS: usize = 4;

/// Time within which a small job starts in a cell with unused capacity, ms: an accepted job must not
/// stay without a running task for longer.
const SOON_MS: u64 = 3_000;

fn gang(count: u32, cpu: u64, estimate: u64) -> Step {
    Step { gang: true, ..step(count, cpu, estimate) }
}

fn lasting(cpu: u64) -> Step {
    Step { lasts: true, ..step(1, cpu, 600_000) }
}

fn task(job: JobId) -> TaskId {
    TaskId { step: StepId { job, occurrence: 0, step: 0 }, index: 0 }
}

fn state(cell: &Cell, id: JobId) -> JobState {
    cell.engine.job(id).unwrap().state
}

/// Submits ten small jobs, later than what waits already.
fn submit_small(cell: &mut Cell, first: u64) -> Vec<JobId> {
    (first..first + 10).map(|n| cell.submit(n, "patient", vec![step(1, 500, 10_000)])).collect()
}

fn assert_running(cell: &Cell, ids: &[JobId]) {
    for id in ids {
        assert_eq!(cell.runners_of(task(*id)).len(), 1, "{id}");
    }
}

/// Guards against a gang larger than the cell that keeps all runners reserved: other jobs wait in an
/// idle cell, and a service is not started again after a failure.
#[test]
fn a_gang_larger_than_the_cell_holds_up_nothing() {
    for queue in ["patient", "asked", "urgent"] {
        let mut cell = Cell::new(RUNNERS, 1);
        let service = cell.submit(1, "patient", vec![lasting(1_000)]);
        cell.run(500);
        let widest = cell.submit(2, queue, vec![gang(RUNNERS as u32 + 1, 15_000, 10_000)]);
        cell.run(500);
        let before = submit_small(&mut cell, 10);
        cell.run(SOON_MS);
        assert_running(&cell, &before);
        // The service is now late by the objective of its job.
        cell.run(40_000);
        cell.change_leader();
        let after = submit_small(&mut cell, 20);
        cell.run(SOON_MS);
        assert_running(&cell, &after);
        let (on, now) = (cell.runners_of(task(service))[0], cell.now);
        cell.runners[on].end(task(service), EndKind::Failed, now);
        cell.run(SOON_MS);
        assert_running(&cell, &[service]);
        assert_eq!(state(&cell, widest), JobState::Queued);
        assert_eq!(cell.engine.unplaceable_steps(), 1);
        cell.cancel(widest);
        cell.run(200);
        assert_eq!(cell.engine.unplaceable_steps(), 0);
        cell.check();
    }
}

/// Guards against a gang that reserves runners until services end, which run until they are cancelled.
#[test]
fn a_gang_that_only_services_keep_from_starting_reserves_nothing() {
    let mut cell = Cell::new(RUNNERS, 1);
    let services: Vec<JobId> =
        (0..RUNNERS as u64).map(|n| cell.submit(n, "patient", vec![lasting(9_000)])).collect();
    cell.run(1_000);
    let blocked = cell.submit(100, "patient", vec![gang(RUNNERS as u32, 8_000, 10_000)]);
    cell.run(500);
    let small = submit_small(&mut cell, 10);
    cell.run(SOON_MS);
    assert_running(&cell, &small);
    for id in services {
        cell.cancel(id);
    }
    cell.run(20_000);
    assert_eq!(state(&cell, blocked), JobState::Completed);
    cell.check();
}

/// Guards against a gang that fits the empty cell and keeps it empty for as long as one task runs.
#[test]
fn reservations_yield_to_jobs_that_wait_in_an_idle_cell() {
    let mut cell = Cell::new(RUNNERS, 1);
    let long = cell.submit(1, "patient", vec![step(1, 2_000, 60_000)]);
    let service = cell.submit(2, "patient", vec![lasting(1_000)]);
    cell.run(500);
    let wide = cell.submit(3, "patient", vec![gang(RUNNERS as u32, 15_000, 5_000)]);
    cell.run(500);
    let small = submit_small(&mut cell, 10);
    let (on, now) = (cell.runners_of(task(service))[0], cell.now);
    cell.runners[on].end(task(service), EndKind::Failed, now);
    cell.run(SOON_MS);
    assert_running(&cell, &[service]);
    cell.run(SOON_MS);
    assert_running(&cell, &small);
    cell.cancel(long);
    cell.run(40_000);
    assert_eq!(state(&cell, wide), JobState::Completed);
    cell.check();
}

/// Guards against gangs that can never start and count as gangs with reservations: one that fits would
/// reserve nothing, and small tasks would take each piece of capacity that becomes free.
#[test]
fn unplaceable_gangs_leave_reservations_to_those_that_fit() {
    let mut cell = Cell::new(RUNNERS, 1);
    for n in 0..20 {
        cell.submit(n, "patient", vec![gang(RUNNERS as u32 + 1, 15_000, 5_000)]);
    }
    let fits = cell.submit(50, "patient", vec![gang(RUNNERS as u32, 14_000, 10_000)]);
    // Ranked behind the gangs by their estimates, and done after 2.4 s.
    for n in 100..110 {
        let small = cell.submit(n, "patient", vec![step(4, 2_000, 12_000)]);
        cell.work_percent.insert(small, 20);
        cell.run(500);
    }
    assert!(cell.began.contains_key(&fits));
    cell.check();
}

/// Guards against a gang that still waits after runners were added that can hold it.
#[test]
fn an_unplaceable_gang_starts_once_there_are_runners_for_it() {
    let mut cell = Cell::new(RUNNERS, 1);
    let wide = cell.submit(1, "asked", vec![gang(RUNNERS as u32 + 2, 15_000, 1_000)]);
    cell.run(5_000);
    assert_eq!(cell.engine.unplaceable_steps(), 1);
    cell.add_runner();
    cell.add_runner();
    cell.run(8_000);
    assert_eq!(state(&cell, wide), JobState::Completed);
    assert_eq!(cell.engine.unplaceable_steps(), 0);
    cell.check();
}

/// Guards against a gang that is taken for larger than the cell because its runners are away.
#[test]
fn a_gang_starts_although_all_runners_were_away_for_a_while() {
    let mut cell = Cell::new(RUNNERS, 1);
    let wide = cell.submit(1, "patient", vec![gang(RUNNERS as u32, 15_000, 1_000)]);
    for runner in 0..RUNNERS {
        cell.register(runner, false);
    }
    cell.run(2_000);
    assert_eq!(cell.engine.unplaceable_steps(), 0);
    cell.register(0, true);
    cell.run(1_000);
    assert_eq!(cell.engine.unplaceable_steps(), 1);
    for runner in 1..RUNNERS {
        cell.register(runner, true);
    }
    cell.run(5_000);
    assert_eq!(state(&cell, wide), JobState::Completed);
    cell.check();
}

/// Guards against demand that can never be served and keeps other jobs waiting.
#[test]
fn tasks_that_no_runner_could_hold_are_no_demand() {
    let features = Features { overload_control: true, ..Features::default() };
    let queues = vec![queue("patient", 2, 3, None), queue("urgent", 0, 2, None)];
    let mut cell = Cell::with(Rules { features, ..RULES }, RUNNERS, CAPACITY, queues, 1);
    cell.run(6_000);
    let too_large = cell.submit(1, "patient", vec![step(100, 17_000, 30_000)]);
    let unlabelled = Step { label: "nowhere".into(), ..step(100, 1_000, 30_000) };
    let unlabelled = cell.submit(2, "patient", vec![unlabelled]);
    cell.submit(3, "patient", vec![gang(100, 15_000, 30_000)]);
    cell.run(1_000);
    assert_eq!(cell.engine.unplaceable_steps(), 3);
    let small = submit_small(&mut cell, 10);
    cell.run(SOON_MS);
    assert_running(&cell, &small);
    for id in [too_large, unlabelled] {
        assert_eq!(state(&cell, id), JobState::Queued);
    }
    cell.check();
}

/// Guards against a job of an earlier version, of a queue that was removed before this leader was
/// elected, that waits unseen and does not start when the operator restores the queue.
#[test]
fn a_job_of_an_unknown_queue_is_reported_and_starts_once_the_queue_is_known() {
    let mut cell = Cell::new(RUNNERS, 1);
    let row = cell.new_row("patient", vec![step(1, 500, 1_000)]);
    let row = JobRow { queue: "forgotten".into(), definition: None, ..row };
    let id = cell.submit_row(1, row);
    cell.run(1_000);
    assert_eq!((state(&cell, id), cell.engine.unplaceable_steps()), (JobState::Queued, 1));
    cell.configure(vec![queue("forgotten", 1, 3, None)]);
    cell.run(3_000);
    assert_eq!((state(&cell, id), cell.engine.unplaceable_steps()), (JobState::Completed, 0));
    cell.check();
}
