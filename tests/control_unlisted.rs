//! Runners that list a run some time after its start, and a completion some time after its end: in
//! between, an answer lists the run neither as active nor as ended.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{queue, step, Cell, Faults, RULES, STEP_MS};
use common::runner::Running;
use currantgw::control::model::{Attempt, JobId, JobState, Step, StepId, TaskId};
use currantgw::kernel::res::Resources;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of seeds for mixed faults.
const SEEDS: u64 = 40;

/// Times until a run or a completion is listed, ms. With the time that the runners take to stop a run,
/// the last one is longer than a stop takes at most.
const LAGS_MS: [u64; 5] = [10, 60, 150, 300, 450];

/// Longer than the scheduler waits for a run that is not listed, ms.
const NEVER_MS: u64 = 60_000;

fn task(job: JobId, index: u32) -> TaskId {
    TaskId { step: StepId { job, occurrence: 0, step: 0 }, index }
}

/// Sets the lags of all runners.
fn set_lags(cell: &mut Cell, start: u64, end: u64) {
    for r in &mut cell.runners {
        (r.start_lag, r.end_lag) = (start, end);
    }
}

/// Submits `jobs` jobs of three tasks, one each 70 ms.
fn submit(cell: &mut Cell, jobs: u64, gang: bool) -> Vec<JobId> {
    let mut ids = Vec::new();
    for n in 0..jobs {
        let work = Step { gang, ..step(3, 2_000, 300 + 37 * (n % 7)) };
        ids.push(cell.submit(n + 1, "patient", vec![work]));
        cell.run(70);
    }
    ids
}

/// Runs 40 jobs on runners with these lags, and checks that each task starts once.
fn check_starts(seed: u64, start_lag: u64, end_lag: u64, gang: bool) {
    let mut cell = Cell::new(4, seed);
    set_lags(&mut cell, start_lag, end_lag);
    let jobs = submit(&mut cell, 40, gang);
    cell.run(8_000);
    cell.check();
    let lags = (start_lag, end_lag, gang);
    assert!(jobs.iter().all(|id| cell.stored(*id) == JobState::Completed), "{lags:?}");
    assert!(cell.starts.values().all(|n| *n == 1), "{lags:?}");
}

/// Guards against tasks started again while the completions of their runs are not listed yet.
#[test]
fn a_run_whose_completion_is_listed_late_is_not_started_again() {
    for lag in LAGS_MS {
        check_starts(1, 0, lag, false);
        check_starts(1, 0, lag, true);
    }
}

/// Guards against tasks started twice because their runners do not list them yet.
#[test]
fn a_run_that_is_listed_some_time_after_its_start_is_not_started_again() {
    for lag in LAGS_MS {
        check_starts(2, lag, 0, false);
        check_starts(2, lag, 0, true);
    }
}

/// Guards against failures that do not count because they are listed late.
#[test]
fn failures_that_are_listed_late_count_against_the_limit() {
    for (lag, gang) in LAGS_MS.into_iter().flat_map(|lag| [(lag, false), (lag, true)]) {
        let mut cell = Cell::new(4, 3);
        set_lags(&mut cell, 0, lag);
        let job = cell.submit(1, "urgent", vec![Step { gang, ..step(3, 2_000, 300) }]);
        cell.poison(job);
        cell.run(10_000);
        cell.check();
        assert_eq!(cell.stored(job), JobState::Failed, "lag {lag}, gang {gang}");
        assert!(cell.starts.values().all(|n| *n <= 2), "lag {lag}, gang {gang}");
    }
}

/// Guards against runners overcommitted by runs whose completions are not listed yet.
#[test]
fn a_run_whose_completion_is_not_listed_yet_takes_its_capacity() {
    let mut cell = Cell::new(2, 4);
    set_lags(&mut cell, 0, 300);
    for n in 0..60 {
        cell.submit(n + 1, "patient", vec![step(1, 7_000, 400 + n * 13)]);
    }
    cell.run(25_000);
    cell.check();
    assert!((0..60).all(|n| cell.stored(JobId(n + 1)) == JobState::Completed));
}

/// Guards against runners overcommitted by stopped runs that no scheduler expects there, and whose
/// completions are not listed yet.
#[test]
fn stray_runs_on_a_full_runner_take_their_capacity_until_they_are_listed() {
    let mut cell = Cell::new(1, 11);
    set_lags(&mut cell, 0, 300);
    cell.run(300);
    let job = cell.submit(1, "patient", vec![step(2, 6_000, 60_000)]);
    cell.cancel(job);
    cell.start_stray(0, task(job, 0));
    cell.start_stray(0, task(job, 1));
    cell.run(60);
    cell.submit(2, "patient", vec![step(2, 6_000, 500)]);
    cell.run(3_000);
    cell.check();
    assert_eq!(cell.stored(JobId(2)), JobState::Completed);
}

/// Guards against tasks started twice after a leader change because their runs are not listed.
#[test]
fn a_new_leader_waits_for_runs_that_are_not_listed_yet() {
    for (start, end) in [(150, 0), (0, 150), (300, 300)] {
        let mut cell = Cell::new(4, 5);
        set_lags(&mut cell, start, end);
        let mut jobs = Vec::new();
        for n in 0..40 {
            jobs.push(cell.submit(n + 1, "patient", vec![step(3, 2_000, 400 + 31 * (n % 7))]));
            cell.run(130);
            if n % 4 == 3 {
                cell.change_leader();
            }
        }
        cell.run(20_000);
        cell.check();
        assert!(jobs.iter().all(|id| cell.stored(*id) == JobState::Completed), "{start} {end}");
    }
}

/// A cell of one runner, on which a run of a job's only task was written off. The run has ended, its
/// completion is not listed, and the runner refuses starts.
fn cell_with_unlisted_end(fails: bool) -> (Cell, JobId) {
    let mut cell = Cell::new(1, 6);
    set_lags(&mut cell, 0, NEVER_MS);
    let job = cell.submit(1, "urgent", vec![step(1, 1_000, 500)]);
    if fails {
        cell.poison(job);
    }
    cell.run(300);
    cell.runners[0].refuses_until = NEVER_MS;
    while cell.engine.counts.written_off == 0 && cell.now < NEVER_MS {
        cell.run(STEP_MS);
    }
    cell.run(300);
    (cell, job)
}

/// Lists the completions of all runs that have ended.
fn list_ended(cell: &mut Cell) {
    let now = cell.now;
    let r = &mut cell.runners[0];
    r.end_lag = 0;
    r.ending.iter_mut().for_each(|(at, ..)| *at = now);
}

/// Guards against completions that are acknowledged and have no effect.
#[test]
fn a_completion_that_is_listed_after_its_run_was_written_off_counts() {
    for (fails, state, starts) in [(false, JobState::Completed, 1), (true, JobState::Failed, 2)] {
        let (mut cell, job) = cell_with_unlisted_end(fails);
        list_ended(&mut cell);
        cell.run(500);
        cell.runners[0].refuses_until = 0;
        cell.run(5_000);
        cell.check();
        assert_eq!((cell.stored(job), cell.starts[&task(job, 0)]), (state, starts));
    }
}

/// Guards against tasks that are placed again and again on a runner that never lists their ends.
#[test]
fn a_task_moves_away_from_a_runner_that_lists_no_ends() {
    let mut cell = Cell::new(2, 13);
    cell.runners[0].end_lag = NEVER_MS;
    cell.register(1, false);
    cell.run(300);
    let job = cell.submit(1, "patient", vec![step(1, 1_000, 500)]);
    cell.run(300);
    cell.register(1, true);
    cell.run(15_000);
    assert_eq!(cell.stored(job), JobState::Completed);
}

/// Guards against a late failure that is forgotten, or counted twice, after a change of leader.
#[test]
fn a_late_failure_counts_once_across_leader_changes() {
    let (mut cell, job) = cell_with_unlisted_end(true);
    cell.change_leader();
    list_ended(&mut cell);
    cell.run(40);
    cell.change_leader();
    cell.runners[0].refuses_until = 0;
    cell.run(8_000);
    cell.check();
    assert_eq!((cell.stored(job), cell.starts[&task(job, 0)]), (JobState::Failed, 2));
}

/// Guards against tasks that never run again because an answer does not list a run that never began.
#[test]
fn a_placement_that_was_never_started_starts_elsewhere_after_a_leader_change() {
    let mut cell = Cell::new(2, 8);
    cell.run(300);
    cell.faults.late = 1.0;
    let job = cell.submit(1, "patient", vec![step(2, 1_000, 500)]);
    cell.run(60);
    cell.faults.late = 0.0;
    cell.change_leader();
    cell.run(3_500);
    assert_eq!(cell.stored(job), JobState::Completed);
    cell.run(15_000);
    cell.check();
}

/// Guards against tasks that never run again because their runner keeps listing the completion of a
/// held job, so that no list counts as complete.
#[test]
fn a_completion_of_a_held_job_does_not_keep_unlisted_runs() {
    for held in [1, 3] {
        let mut cell = Cell::new(1, 8);
        cell.run(300);
        let other = cell.submit(1, "patient", vec![step(held, 1_000, 60_000)]);
        cell.faults.late = 1.0;
        let job = cell.submit(2, "patient", vec![step(2, 1_000, 500)]);
        cell.run(60);
        cell.faults.late = 0.0;
        for index in 0..held {
            cell.run_stray(0, task(other, index));
        }
        cell.change_leader_with_held(&[other]);
        cell.run(25_000);
        assert_eq!(cell.runners[0].ends.first().map(|e| e.task.step.job), Some(other));
        assert_eq!(cell.stored(job), JobState::Completed, "{held} completions");
    }
}

/// Lists that lag, beside leader changes, late and unanswered orders, commits without an answer,
/// unreachable runners, crashes and cancellations.
#[test]
fn lists_that_lag_under_mixed_faults_violate_no_invariant() {
    for seed in 0..SEEDS {
        let mut cell = Cell::new(5, seed);
        let mut rng = StdRng::seed_from_u64(seed ^ 0x115_7ed);
        let (start, end) = (rng.gen_range(0..450), rng.gen_range(0..450));
        cell.own_faults = 0.1;
        let mut jobs = Vec::new();
        for n in 0..60_u64 {
            set_lags(&mut cell, start, end);
            cell.faults = Faults {
                late: if rng.gen_bool(0.2) { 0.1 } else { 0.0 },
                unanswered: if rng.gen_bool(0.2) { 0.1 } else { 0.0 },
                commits: if rng.gen_bool(0.2) { 0.3 } else { 0.0 },
                store_down: rng.gen_bool(0.05),
                ..Faults::default()
            };
            let gang = rng.gen_bool(0.3);
            let work = Step { gang, ..step(rng.gen_range(1..6), 2_500, rng.gen_range(100..2_500)) };
            let queue = ["urgent", "patient", "asked"][rng.gen_range(0..3)];
            jobs.push(cell.submit(n + 1, queue, vec![work]));
            cell.run(rng.gen_range(50..600));
            let i = rng.gen_range(0..cell.runners.len());
            match rng.gen_range(0..14) {
                0 => cell.change_leader(),
                1 => cell.runners[i].unreachable_until = cell.now + rng.gen_range(500..9_000),
                2 => {
                    cell.crash(i);
                    cell.runners[i].replaced = rng.gen();
                    cell.register(i, false);
                    cell.add_runner();
                }
                3 => {
                    let id = jobs[rng.gen_range(0..jobs.len())];
                    cell.cancel(id);
                }
                _ => {}
            }
        }
        cell.faults = Faults::default();
        cell.run(60_000);
        cell.check();
        for id in jobs {
            assert!(cell.stored(id).ended(), "seed {seed}: {id} is {:?}", cell.stored(id));
        }
        assert_eq!(cell.running(), 0, "seed {seed}");
    }
}

/// Guards against completions that are never processed because later ones were listed before.
#[test]
fn completions_that_are_listed_out_of_order_are_all_processed() {
    for lag in LAGS_MS {
        let mut cell = Cell::new(4, 9);
        set_lags(&mut cell, 0, lag);
        cell.runners.iter_mut().for_each(|r| r.out_of_order = true);
        let jobs = submit(&mut cell, 40, false);
        cell.run(10_000);
        cell.check();
        assert!(jobs.iter().all(|id| cell.stored(*id) == JobState::Completed), "lag {lag}");
        assert!(cell.starts.values().all(|n| *n == 1), "lag {lag}");
    }
}

/// Guards against runners that are polled without a pause because a number never arrives.
#[test]
fn a_missing_number_does_not_keep_completions_from_being_acknowledged() {
    let mut cell = Cell::new(1, 10);
    cell.runners[0].out_of_order = true;
    set_lags(&mut cell, 0, NEVER_MS);
    cell.submit(1, "patient", vec![step(2, 1_000, 300)]);
    cell.run(3_000);
    assert_eq!(cell.runners[0].acked, 2);
}

/// Guards against completions that are acknowledged before they are listed because more numbers are
/// missing than are remembered.
#[test]
fn many_completions_that_are_listed_out_of_order_are_all_processed() {
    const MANY_TASKS: u32 = 140;
    let mut cell = Cell::new(1, 11);
    cell.runners[0].out_of_order = true;
    set_lags(&mut cell, 0, 60);
    cell.run(300);
    let job = cell.submit(1, "patient", vec![step(MANY_TASKS, 10, 1_000)]);
    cell.run(25_000);
    cell.check();
    assert_eq!(cell.stored(job), JobState::Completed);
    assert!((0..MANY_TASKS).all(|index| cell.starts[&task(job, index)] == 1));
}

/// Guards against a runner overcommitted by a stray run that was stopped and whose completion is not
/// listed yet.
#[test]
fn a_stray_run_whose_completion_is_not_listed_yet_takes_its_capacity() {
    let mut cell = Cell::new(1, 12);
    set_lags(&mut cell, 0, 150);
    cell.run(300);
    let ended = cell.submit(1, "patient", vec![step(1, 9_000, 5_000)]);
    cell.cancel(ended);
    let resources = Resources { cpu: 9_000, mem: 100, acc: 0 };
    let stray = Running {
        attempt: Attempt(9),
        started: cell.now,
        total_work: 60_000,
        work_done: 0,
        stopping: None,
        resources,
        fails: false,
        gang: None,
        checkpoints: false,
    };
    cell.runners[0].running.insert(task(ended, 0), stray);
    cell.run(150);
    let job = cell.submit(2, "patient", vec![step(1, 9_000, 500)]);
    cell.run(5_000);
    cell.check();
    assert_eq!(cell.stored(job), JobState::Completed);
}

/// Orders that no runner receives: a leader places a task `starts` more times, and the next one finds
/// placements that never began.
fn place_in_vain(cell: &mut Cell, starts: u64) {
    let ordered = cell.engine.counts.starts + starts;
    cell.faults.late = 1.0;
    while cell.engine.counts.starts < ordered && cell.now < NEVER_MS {
        cell.run(STEP_MS);
    }
    cell.faults.late = 0.0;
    cell.change_leader();
    cell.runners.iter_mut().for_each(|r| r.refuses_until = NEVER_MS);
    while cell.engine.counts.written_off < starts && cell.now < NEVER_MS {
        cell.run(STEP_MS);
    }
    cell.run(100);
    cell.runners.iter_mut().for_each(|r| r.refuses_until = 0);
}

/// Guards against a gang that is held back after a leader change by attempts that never began, which
/// count as failures that may yet be reported.
#[test]
fn attempts_of_a_gang_that_never_began_do_not_hold_it_back() {
    for gang in [false, true] {
        let capacity = Resources { cpu: 16_000, mem: 64_000, acc: 0 };
        let mut cell = Cell::with(RULES, 2, capacity, vec![queue("q", 2, 3, None)], 1);
        cell.run(300);
        let job = cell.submit(1, "q", vec![Step { gang, ..step(2, 10_000, 500) }]);
        place_in_vain(&mut cell, 2);
        place_in_vain(&mut cell, 2);
        cell.runners.iter_mut().for_each(|r| r.refuses_until = NEVER_MS);
        cell.run(200);
        cell.change_leader();
        cell.runners.iter_mut().for_each(|r| r.refuses_until = 0);
        cell.run(3_000);
        assert_eq!(cell.stored(job), JobState::Completed, "gang {gang}");
        cell.check();
    }
}
