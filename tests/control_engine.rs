//! The scheduler's engine under failures, without a network: leader changes, orders that take
//! effect late, commits without an answer, and runners that are unreachable, crash, stall or fail.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{queue, step, Cell, Faults, RULES, STEP_MS};
use currantgw::control::engine::MAX_CHECKS_PER_ROUND;
use currantgw::control::model::{Approval, EndKind, JobId, JobState, Step, StepId, TaskId};
use currantgw::kernel::res::Resources;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn task(job: JobId, index: u32) -> TaskId {
    TaskId { step: StepId { job, occurrence: 0, step: 0 }, index }
}

fn first(cell: &Cell, job: JobId) -> usize {
    cell.runners_of(task(job, 0))[0]
}

#[test]
fn a_job_runs_its_steps_in_order_and_completes() {
    let mut cell = Cell::new(2, 1);
    let second = Step { after: vec![0], ..step(2, 500, 300) };
    let job = cell.submit(1, "patient", vec![step(3, 1_000, 200), second]);
    cell.run(250);
    let next = TaskId { step: StepId { job, occurrence: 0, step: 1 }, index: 0 };
    assert!(cell.runners_of(next).is_empty());
    cell.run(1_500);
    assert_eq!(cell.stored(job), JobState::Completed);
    cell.check();
}

/// Guards against overcommitted runners and tasks started twice after a leader change. The first
/// poll of a new leader reads a runner's clock and extends no lease, so that the end of the lease
/// is 0 on that clock: "no lease sent by this term" must not count as "all leases expired".
#[test]
fn a_leader_change_marks_no_running_task_as_lost() {
    let mut cell = Cell::new(2, 2);
    let job = cell.submit(1, "patient", vec![step(20, 1_500, 3_000)]);
    cell.run(500);
    assert_eq!(cell.running(), 20);
    cell.change_leader();
    cell.run(4_000);
    assert_eq!(cell.engine.counts.written_off, 0);
    assert_eq!(cell.stored(job), JobState::Completed);
    assert!(cell.starts.values().all(|n| *n == 1), "{:?}", cell.starts);
    cell.check();
}

/// Guards against a task that runs twice. An unreachable runner goes on working: its task must not
/// start elsewhere before the runner's lease has expired on its own clock.
#[test]
fn an_unreachable_runner_keeps_its_tasks_until_its_lease_expires() {
    let mut cell = Cell::new(2, 3);
    let job = cell.submit(1, "patient", vec![step(1, 1_000, 60_000)]);
    cell.run(300);
    let here = first(&cell, job);
    cell.runners[here].unreachable_until = cell.now + 60_000;
    cell.run(7_000);
    assert_eq!(cell.runners_of(task(job, 0)), vec![here]);
    cell.run(4_000);
    assert_eq!(cell.runners_of(task(job, 0)), vec![1 - here]);
    cell.check();
}

/// Guards against a queue that is reported without waiting jobs while six have waited for 5 s. Jobs
/// are placed on a runner that has just become unreachable, and their starts are not answered. A
/// job must not count as running from its placement on, before anything of it has started.
#[test]
fn a_job_whose_start_was_not_answered_still_counts_as_waiting() {
    let mut cell = Cell::new(1, 31);
    cell.run(300);
    cell.runners[0].unreachable_until = cell.now + 4_000;
    let job = cell.submit(1, "patient", vec![step(1, 1_000, 500)]);
    cell.run(1_500);
    assert!(cell.starts.is_empty());
    assert_eq!(cell.stored(job), JobState::Queued);
    cell.run(20_000);
    assert_eq!(cell.stored(job), JobState::Completed);
    cell.check();
}

/// Guards against lookups placed on unreachable runners for most of two seconds after the
/// connection breaks, where they are blocked until the lease expires. A start has no answer after
/// 0.6 s, while the pending poll fails only after 1.4 s: an unanswered start must count against the
/// runner as well.
#[test]
fn an_unanswered_start_keeps_other_tasks_off_the_runner() {
    let mut cell = Cell::new(2, 32);
    cell.run(300);
    cell.runners[0].unreachable_until = cell.now + 30_000;
    for n in 0..40 {
        cell.submit(n + 1, "urgent", vec![step(1, 300, 200)]);
        cell.run(50);
    }
    cell.run(1_000);
    let stuck = (0..40).filter(|n| cell.stored(JobId(n + 1)) != JobState::Completed).count();
    assert!(stuck <= 13, "{stuck} of 40 are blocked");
    cell.check();
}

/// Guards against a task that runs twice after a leader change. A runner is unreachable for the new
/// leader, and its task runs on until the lease has expired that the predecessor sent last.
#[test]
fn a_new_leader_waits_for_leases_of_unreachable_runners() {
    for clock_permille in [980, 1_000, 1_020] {
        let mut cell = Cell::new(2, 4);
        cell.runners.iter_mut().for_each(|r| r.clock_permille = clock_permille);
        let job = cell.submit(1, "patient", vec![step(1, 1_000, 60_000)]);
        cell.run(300);
        let here = first(&cell, job);
        cell.runners[here].unreachable_until = cell.now + 60_000;
        cell.change_leader();
        let changed = cell.now;
        while cell.runners_of(task(job, 0)) == [here] {
            assert_eq!(cell.starts[&task(job, 0)], 1);
            cell.run(STEP_MS);
        }
        assert!(cell.now - changed >= 7_500, "the lease ended {} ms later", cell.now - changed);
        cell.run(1_000);
        assert_eq!(cell.runners_of(task(job, 0)), vec![1 - here]);
        cell.check();
    }
}

/// Another runner answers at the address of one that has crashed: the runs there are lost, and start
/// elsewhere at once instead of after the lease.
#[test]
fn another_runner_at_the_address_frees_the_tasks_at_once() {
    let mut cell = Cell::new(2, 5);
    let job = cell.submit(1, "patient", vec![step(1, 1_000, 60_000)]);
    cell.run(300);
    let here = first(&cell, job);
    cell.crash(here);
    cell.runners[here].replaced = true;
    cell.run(1_000);
    assert_eq!(cell.runners_of(task(job, 0)), vec![1 - here]);
    cell.check();
}

/// Guards against an overcommitted runner. A start gets no answer, the task goes elsewhere, its
/// capacity is allocated to others, and the start takes effect seconds later.
#[test]
fn an_unanswered_start_keeps_its_capacity_until_it_cannot_take_effect() {
    for seed in 0..20 {
        let mut cell = Cell::new(3, seed);
        cell.faults = Faults { late: 0.2, ..Faults::default() };
        for n in 0..30 {
            cell.submit(n + 1, "patient", vec![step(4, 3_500, 700)]);
            cell.run(200);
        }
        cell.faults = Faults::default();
        cell.run(60_000);
        cell.check();
        for n in 0..30 {
            assert_eq!(cell.stored(JobId(n + 1)), JobState::Completed, "seed {seed}");
        }
    }
}

/// Guards against a task that runs twice. A start gets no answer, its repetition is refused for its
/// ticket, the task goes elsewhere, and the first order takes effect seconds later. A refusal of
/// one order does not mean that earlier ones, still in flight, have no effect.
#[test]
fn a_refusal_after_an_unanswered_start_frees_no_capacity() {
    for seed in 0..40 {
        let mut cell = Cell::new(3, seed);
        cell.faults = Faults { late: 0.4, ..Faults::default() };
        cell.runners.iter_mut().for_each(|r| r.refuses_until = 2_500);
        for n in 0..6 {
            cell.submit(n + 1, "patient", vec![step(2, 9_000, 4_000)]);
            cell.run(300);
        }
        cell.faults = Faults::default();
        cell.run(60_000);
        cell.check();
    }
}

/// Guards against a task that starts again after it was done. A commit gets no answer and is
/// applied seconds later: an unconditional write would overwrite a newer row.
#[test]
fn commits_without_an_answer_never_undo_newer_ones() {
    for seed in 0..20 {
        let mut cell = Cell::new(3, seed);
        cell.faults = Faults { commits: 0.35, ..Faults::default() };
        for n in 0..15 {
            cell.submit(n + 1, "patient", vec![step(4, 1_500, 400)]);
            cell.run(300);
            if n % 5 == 4 {
                cell.change_leader();
            }
        }
        cell.faults = Faults::default();
        cell.run(30_000);
        cell.check();
        for n in 0..15 {
            assert_eq!(cell.stored(JobId(n + 1)), JobState::Completed, "seed {seed}");
        }
    }
}

/// While the store is down, no task starts, since its placement is not stored, and running tasks go
/// on for as long as a lease lasts.
#[test]
fn while_the_store_is_down_tasks_run_on_and_none_starts() {
    let mut cell = Cell::new(2, 6);
    let old = cell.submit(1, "patient", vec![step(2, 1_000, 12_000)]);
    cell.run(300);
    cell.faults.store_down = true;
    let new = cell.submit(2, "patient", vec![step(2, 1_000, 500)]);
    cell.run(7_500);
    assert_eq!(cell.running(), 2);
    assert!(!cell.starts.contains_key(&task(new, 0)));
    cell.faults.store_down = false;
    cell.run(5_000);
    assert_eq!((cell.stored(old), cell.stored(new)), (JobState::Completed, JobState::Completed));
    cell.check();
}

/// A cancelled job's tasks are stopped, also those whose start was not answered yet.
#[test]
fn a_cancelled_job_stops_and_starts_nothing_more() {
    let mut cell = Cell::new(2, 7);
    cell.faults.unanswered = 0.5;
    let job = cell.submit(1, "patient", vec![step(20, 1_500, 30_000)]);
    cell.run(100);
    cell.cancel(job);
    cell.run(3_000);
    assert_eq!((cell.running(), cell.stored(job)), (0, JobState::Cancelled));
    cell.check();
}

/// A job whose tasks always fail ends as failed after the queue's limit, and not before.
#[test]
fn a_job_whose_tasks_always_fail_ends_at_its_limit() {
    let mut cell = Cell::new(4, 8);
    let job = cell.submit(1, "patient", vec![step(1, 1_000, 100)]);
    cell.poison(job);
    cell.run(5_000);
    assert_eq!(cell.stored(job), JobState::Failed);
    assert_eq!(cell.starts[&task(job, 0)], 3);
    cell.check();
}

/// A runner that fails every task is avoided after few failures, so that urgent jobs, which have
/// two attempts, do not fail there.
#[test]
fn a_runner_that_fails_every_task_is_avoided() {
    let mut cell = Cell::new(6, 9);
    cell.runners[0].failing = true;
    for n in 0..100 {
        cell.submit(n + 1, "urgent", vec![step(2, 1_000, 200)]);
        cell.run(60);
    }
    cell.run(3_000);
    let failed = (0..100).filter(|n| cell.stored(JobId(n + 1)) == JobState::Failed).count();
    assert_eq!(failed, 0);
    // If it were not avoided, a sixth of the 200 tasks would start there.
    assert!(cell.runners[0].started <= 16, "{} starts there", cell.runners[0].started);
    cell.check();
}

/// Tasks that make no progress are stopped and started elsewhere; a stop does not count as a
/// failure.
#[test]
fn a_stalled_task_is_moved() {
    let mut cell = Cell::new(2, 10);
    let job = cell.submit(1, "urgent", vec![step(1, 1_000, 500)]);
    cell.run(100);
    let here = first(&cell, job);
    cell.runners[here].stalled = true;
    cell.run(5_000);
    assert_eq!(cell.stored(job), JobState::Completed);
    cell.check();
}

/// A gang starts as a whole, with one attempt number for all members. Guards against gangs that are
/// stopped as stalled shortly before they end, and again after each restart tens of seconds later.
/// The members have unequal amounts of work, and those that have done theirs stay at 100 percent
/// until the slowest has: they must not count as stalled.
#[test]
fn members_that_wait_for_the_slowest_of_their_gang_are_not_stopped() {
    let mut cell = Cell::new(6, 21);
    cell.work_spread = 40;
    let job = cell.submit(1, "patient", vec![Step { gang: true, ..step(6, 9_000, 8_000) }]);
    cell.run(13_000);
    assert_eq!(cell.stored(job), JobState::Completed);
    assert!(cell.starts.values().all(|n| *n == 1), "{:?}", cell.starts);
    cell.check();
}

/// Guards against forecasts by run times that a new leader counts from when it first saw the runs.
#[test]
fn run_times_do_not_count_from_a_leader_change() {
    let mut cell = Cell::new(4, 32);
    for n in 0..16 {
        cell.submit(n + 1, "patient", vec![step(1, 1_000, 4_000)]);
    }
    cell.run(3_500);
    cell.change_leader();
    cell.run(3_000);
    assert!((0..16).all(|n| cell.stored(JobId(n + 1)) == JobState::Completed));
    let job = cell.submit(100, "patient", vec![step(1, 1_000, 4_000)]);
    assert_eq!(cell.engine.job(job).map(|j| j.longest), Some(4_000));
}

/// Guards against long runs that a new leader stops as stalled, since it takes the progress that they
/// had when it first saw them for progress of that moment.
#[test]
fn a_long_run_is_not_stalled_after_a_leader_change() {
    for gang in [false, true] {
        let mut cell = Cell::new(2, 31);
        cell.submit(1, "patient", vec![Step { gang, ..step(2, 9_000, 300_000) }]);
        for _ in 0..8 {
            cell.run(10_700);
            cell.change_leader();
        }
        cell.run(10_000);
        cell.check();
        assert!(cell.starts.values().all(|n| *n == 1), "gang {gang}: {:?}", cell.starts);
    }
}

/// Guards against a gang that is stopped as stalled while it waits for a member. The start of one
/// member has no answer and is repeated; the others run and cannot work yet. Their time without
/// progress must count from when all members run, not from their own start.
#[test]
fn members_that_wait_for_one_to_start_are_not_stopped() {
    let mut cell = Cell::new(6, 5);
    let slow = 3;
    cell.run(500);
    cell.runners[slow].unreachable_until = cell.now + 1_300;
    let job = cell.submit(1, "patient", vec![Step { gang: true, ..step(6, 9_000, 4_000) }]);
    cell.run(12_000);
    assert_eq!(cell.stored(job), JobState::Completed);
    assert!(cell.starts.values().all(|n| *n == 1), "{:?}", cell.starts);
    cell.check();
}

/// Guards against a gang that stays on a stalled runner permanently. All members run, one of them
/// makes no progress from the start, and the others have done their work and wait for it. The
/// stalled member has to be detected, and the gang has to start again without that runner.
#[test]
fn a_stalled_member_moves_its_gang() {
    let mut cell = Cell::new(7, 8);
    cell.runners[2].stalled = true;
    let job = cell.submit(1, "patient", vec![Step { gang: true, ..step(6, 9_000, 1_500) }]);
    cell.run(9_000);
    assert_eq!(cell.stored(job), JobState::Completed);
    assert!(cell.runners[2].started >= 1);
    cell.check();
}

/// Guards against a gang that starts again only 9 s after it broke, past its objective, although
/// there is capacity. A member's runner leaves, and the other members end as broken within 0.2 s,
/// which shows that the missing member has ended: the gang must not wait until its lease expires.
#[test]
fn a_gang_restarts_once_its_missing_member_is_known_to_have_ended() {
    let mut cell = Cell::new(8, 12);
    let job = cell.submit(1, "patient", vec![Step { gang: true, ..step(6, 9_000, 4_000) }]);
    cell.run(2_000);
    let crashed = cell.runners_of(task(job, 3))[0];
    cell.crash(crashed);
    cell.run(6_000);
    assert_eq!(cell.stored(job), JobState::Completed);
    cell.check();
}

/// Guards against a task that fails once more than its queue allows. A gang whose queue allows two
/// failures has failed once; in its second run a member fails on a runner that then becomes
/// unreachable, and the others end as broken. The gang must not start a third time before the
/// failure is reported: it waits for the runner, or for the end of its lease.
#[test]
fn a_gang_with_one_failure_left_waits_for_a_missing_completion() {
    let mut cell = Cell::new(8, 12);
    let job = cell.submit(1, "urgent", vec![Step { gang: true, ..step(6, 9_000, 4_000) }]);
    cell.run(1_000);
    let first = cell.runners_of(task(job, 0))[0];
    let now = cell.now;
    cell.runners[first].end(task(job, 0), EndKind::Failed, now);
    cell.break_gang(job, 0);
    cell.run(1_000);
    let second = cell.runners_of(task(job, 1))[0];
    let now = cell.now;
    cell.runners[second].end(task(job, 1), EndKind::Failed, now);
    cell.runners[second].unreachable_until = cell.now + 4_000;
    cell.break_gang(job, 0);
    cell.run(3_500);
    assert_eq!(cell.running(), 0, "a third run");
    cell.run(3_000);
    assert_eq!(cell.stored(job), JobState::Failed);
    cell.check();
}

/// Guards against a gang whose queue allows three failures and that runs a fourth time. Each run
/// fails on a runner that becomes unreachable before the completion is reported. Missing
/// completions must be counted together, not one at a time.
#[test]
fn missing_completions_count_against_the_limit_together() {
    let mut cell = Cell::new(10, 12);
    let job = cell.submit(1, "patient", vec![Step { gang: true, ..step(6, 9_000, 30_000) }]);
    let mut runs = 0;
    for _ in 0..6 {
        cell.run(2_000);
        let Some(&i) = cell.runners_of(task(job, 0)).first() else { continue };
        runs += 1;
        assert!(runs <= 3, "a run after three failures");
        let now = cell.now;
        cell.runners[i].end(task(job, 0), EndKind::Failed, now);
        cell.runners[i].unreachable_until = cell.now + 7_000;
        cell.break_gang(job, 0);
    }
    assert_eq!(runs, 3);
    cell.run(9_000);
    assert_eq!(cell.stored(job), JobState::Failed);
    cell.check();
}

/// Expected run time of a job with one step of `estimate` ms, ms.
fn expected(cell: &mut Cell, id: u64, estimate: u64) -> u64 {
    let job = cell.submit(id, "patient", vec![step(1, 1_000, estimate)]);
    cell.engine.job(job).map_or(0, |j| j.longest)
}

/// Guards against a wide gang that weighs as much as one step for each member in the run-time
/// model. Seven single tasks end on time, then a gang of eight takes four times its estimate:
/// afterwards all jobs of the queue were expected to take more than twice their estimates.
#[test]
fn a_wide_gang_counts_as_one_step_in_the_run_time_model() {
    let mut cell = Cell::new(8, 41);
    for n in 1..=7 {
        cell.submit(n, "patient", vec![step(1, 1_000, 2_000)]);
    }
    cell.run(3_000);
    cell.work_percent.insert(JobId(8), 400);
    let gang = cell.submit(8, "patient", vec![Step { gang: true, ..step(8, 2_000, 2_000) }]);
    cell.run(10_000);
    assert_eq!(cell.stored(gang), JobState::Completed);
    // Mean of the logarithms: 4 to the power of 1/8 is 1.19; counted by members, 4 to the power of
    // 8/15 is 2.09.
    let expected = expected(&mut cell, 9, 2_000);
    assert!((2_200..2_700).contains(&expected), "{expected} ms");
    cell.check();
}

/// Guards against estimates that are corrected after a single gang of eight, although eight steps
/// have to be observed before. The gang takes four times its estimate, and nothing else has ended.
#[test]
fn one_gang_alone_does_not_correct_estimates() {
    let mut cell = Cell::new(8, 42);
    cell.work_percent.insert(JobId(1), 400);
    let gang = cell.submit(1, "patient", vec![Step { gang: true, ..step(8, 2_000, 2_000) }]);
    cell.run(10_000);
    assert_eq!(cell.stored(gang), JobState::Completed);
    assert_eq!(expected(&mut cell, 2, 2_000), 2_000);
    cell.check();
}

#[test]
fn a_gang_waits_until_all_of_it_fits() {
    let mut cell = Cell::new(2, 11);
    let filler = cell.submit(1, "patient", vec![step(2, 9_000, 1_000)]);
    cell.run(200);
    let gang = Step { gang: true, ..step(4, 6_000, 500) };
    let job = cell.submit(2, "patient", vec![gang]);
    cell.run(500);
    assert!(!cell.starts.contains_key(&task(job, 0)));
    cell.run(3_000);
    let ends = (cell.stored(filler), cell.stored(job));
    assert_eq!(ends, (JobState::Completed, JobState::Completed));
    cell.check();
}

/// Advice about runners is requested, tickets expire, and approvals are remembered.
#[test]
fn only_approved_runners_get_tasks() {
    let mut cell = Cell::new(12, 12);
    cell.approves = |_, i| i % 3 == 0;
    let job = cell.submit(1, "asked", vec![step(8, 6_000, 500)]);
    cell.run(200);
    assert!((0..8).flat_map(|i| cell.runners_of(task(job, i))).all(|r| r % 3 == 0));
    cell.run(5_000);
    assert_eq!(cell.stored(job), JobState::Completed);
    cell.check();
}

/// All faults together, over many seeds: leader changes, late and unanswered orders, commits
/// without an answer, unreachable runners, crashes with and without another runner at the address,
/// cancellations.
#[test]
fn mixed_faults_violate_no_invariant() {
    for seed in 0..60 {
        let mut cell = Cell::new(5, seed);
        let mut rng = StdRng::seed_from_u64(seed ^ 0xfa17);
        let mut jobs = Vec::new();
        for n in 0..60_u64 {
            cell.faults = Faults {
                late: if rng.gen_bool(0.3) { 0.1 } else { 0.0 },
                unanswered: if rng.gen_bool(0.3) { 0.1 } else { 0.0 },
                commits: if rng.gen_bool(0.3) { 0.3 } else { 0.0 },
                store_down: rng.gen_bool(0.1),
                ..Faults::default()
            };
            let gang = rng.gen_bool(0.3);
            let work = Step { gang, ..step(rng.gen_range(1..6), 2_500, rng.gen_range(100..2_500)) };
            let queue = ["urgent", "patient", "asked"][rng.gen_range(0..3)];
            jobs.push(cell.submit(n + 1, queue, vec![work]));
            cell.run(rng.gen_range(50..600));
            match rng.gen_range(0..14) {
                0 => cell.change_leader(),
                1 => {
                    let i = rng.gen_range(0..cell.runners.len());
                    cell.runners[i].unreachable_until = cell.now + rng.gen_range(500..9_000);
                }
                2 => {
                    let i = rng.gen_range(0..cell.runners.len());
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

/// Guards against planning rounds of 20 ms, where the interval between rounds is 8 ms, with
/// thousands of steps waiting on 350 runners: lookups start late, and so does everything else.
/// 3,000 jobs arrive at once, half of them of a queue that needs advice, while the cell has
/// capacity for a quarter; lookups arrive one by one. A round must not plan every waiting step and
/// check all runners for each.
#[test]
fn a_backlog_keeps_rounds_bounded_and_lookups_first_and_starves_no_step() {
    let mut cell = Cell::new(350, 1);
    cell.connections = vec![0.0; 29];
    cell.run(300);
    let queue = |id: u64| if id.is_multiple_of(2) { "patient" } else { "asked" };
    let backlog: Vec<JobId> =
        (1..=3_000).map(|id| cell.submit(id, queue(id), vec![step(2, 4_000, 150)])).collect();
    let mut lookups = Vec::new();
    while cell.now < 25_000 && (cell.now < 2_500 || cell.ended.len() < 3_000 + lookups.len()) {
        if cell.now < 2_500 && cell.now.is_multiple_of(50) {
            let id = cell.submit(10_000 + cell.now, "urgent", vec![step(1, 1_000, 200)]);
            lookups.push((id, cell.now));
        }
        let before = cell.engine.counts.looks;
        let open = cell.engine.open_steps() as u64;
        cell.run(STEP_MS);
        let checks = cell.engine.counts.looks - before;
        // A pass ranks all waiting steps when it begins, and the last step planned checks all
        // runners a few times.
        let limit = MAX_CHECKS_PER_ROUND + open + 4 * 350;
        assert!(checks <= limit, "{} ms: {checks} checks, {open} steps wait", cell.now);
    }
    cell.check();
    for (id, at) in lookups {
        let began = cell.began.get(&id).map(|b| b - at);
        assert!(began.is_some_and(|ms| ms <= 100), "lookup of {at} ms: {began:?}");
    }
    for id in backlog {
        assert_eq!(cell.stored(id), JobState::Completed, "{id}");
    }
}

/// Guards against single tasks of non-urgent queues that wait to the end of the day after a power
/// loss, with most of the cell empty. Advice is needed again for all waiting steps; gangs come
/// first by rank, and their long requests fill the connections as fast as they become free.
/// Requests must not be ordered by rank alone.
#[test]
fn gangs_leave_connections_to_other_non_urgent_steps() {
    let slow = Approval { base_ms: 455.0, each_ms: 6.5, valid_ms: 2_000 };
    let quick = Approval { base_ms: 156.0, each_ms: 2.34, valid_ms: 2_000 };
    let queues = vec![queue("gangs", 1, 3, Some(slow)), queue("others", 2, 3, Some(quick))];
    let capacity = Resources { cpu: 16_000, mem: 64_000, acc: 0 };
    let mut cell = Cell::with(RULES, 100, capacity, queues, 3);
    cell.connections = vec![0.0; 4];
    cell.engine.advice_connections = 4;
    cell.run(300);
    let others: Vec<JobId> =
        (1..=20).map(|id| cell.submit(id, "others", vec![step(2, 1_000, 20_000)])).collect();
    for n in 0..80 {
        cell.submit(1_000 + n, "gangs", vec![Step { gang: true, ..step(6, 3_000, 300) }]);
    }
    for n in 0..60 {
        cell.run(100);
        let gang = Step { gang: true, ..step(6, 3_000, 300) };
        cell.submit(2_000 + n, "gangs", vec![gang.clone()]);
        cell.submit(3_000 + n, "gangs", vec![gang]);
    }
    let begun = others.iter().filter(|id| cell.stored(**id) != JobState::Queued).count();
    assert!(begun >= 15, "{begun} of 20 begun");
    cell.check();
}

/// Guards against requests that queue for 3 s on a cell that needs more advice than its connections
/// provide: tickets and reservations expire meanwhile, and requests are repeated. Requests must not
/// be sent for every waiting step at once, and the queue must be bounded.
#[test]
fn advice_requests_of_non_urgent_steps_do_not_pile_up() {
    let mut cell = Cell::new(350, 1);
    cell.connections = vec![0.0; 4];
    cell.engine.advice_connections = 4;
    cell.run(300);
    let jobs: Vec<JobId> =
        (1..=600).map(|id| cell.submit(id, "asked", vec![step(3, 2_000, 400)])).collect();
    while cell.now < 20_000 && cell.ended.len() < 600 {
        cell.run(STEP_MS);
        let longest =
            cell.connections.iter().fold(0.0, |max: f64, busy| max.max(busy - cell.now as f64));
        assert!(longest <= 1_000.0, "{} ms: a connection is busy for {longest} ms", cell.now);
    }
    cell.check();
    for id in jobs {
        assert_eq!(cell.stored(id), JobState::Completed, "{id}");
    }
}
