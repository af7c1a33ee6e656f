//! Answers of runners that are handled late, overtake each other, or list a run twice.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{step, Cell, Faults, STEP_MS};
use currantgw::control::engine::{Action, Now, Outcome, RunnerKey};
use currantgw::control::model::{Attempt, EndKind, JobState, Step, TaskId};
use currantgw::control::partitions::PartitionScope;
use currantgw::control::ports::{ActiveRun, End, Refusal, Report};
use currantgw::kernel::res::Resources;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of seeds for mixed faults.
const SEEDS: u64 = 40;

/// Longest additional delay of an answer, ms.
const ANSWER_MS: u64 = 500;

/// Duration of a planning round of a leader that is short of processor time, ms.
const PLAN_MS: u64 = 320;

/// Longest time for which the leader handles events between two rounds, ms.
const EVENTS_MS: u64 = 120;

/// Time for which a runner stands still, ms.
const STILL_MS: u64 = 3_000;

/// Time that the runner takes to list a completion, ms.
const LAG_MS: u64 = 50;

/// Guards against runs that are lost or started twice because answers on different connections
/// overtake each other, runners stand still, or their clocks run at different rates.
#[test]
fn answers_that_overtake_each_other_violate_no_invariant() {
    for seed in 0..SEEDS {
        let mut cell = Cell::new(6, seed);
        let mut rng = StdRng::seed_from_u64(seed ^ 0x0e47);
        for r in &mut cell.runners {
            r.clock_permille = rng.gen_range(980..=1_020);
            (r.start_lag, r.end_lag) = (rng.gen_range(0..100), rng.gen_range(0..150));
        }
        let mut jobs = Vec::new();
        for n in 0..60_u64 {
            cell.faults = Faults {
                late: if rng.gen_bool(0.3) { 0.1 } else { 0.0 },
                unanswered: if rng.gen_bool(0.3) { 0.1 } else { 0.0 },
                commits: if rng.gen_bool(0.3) { 0.3 } else { 0.0 },
                answer_ms: ANSWER_MS,
                ..Faults::default()
            };
            let gang = rng.gen_bool(0.3);
            let work = Step { gang, ..step(rng.gen_range(1..6), 2_500, rng.gen_range(20..4_000)) };
            let queue = ["urgent", "patient", "asked"][rng.gen_range(0..3)];
            jobs.push(cell.submit(n + 1, queue, vec![work]));
            if rng.gen_bool(0.1) {
                cell.poison(jobs[jobs.len() - 1]);
            }
            cell.run(rng.gen_range(10..600));
            let i = rng.gen_range(0..6);
            match rng.gen_range(0..8) {
                0 => cell.change_leader(),
                1 | 2 => cell.runners[i].unreachable_until = cell.now + rng.gen_range(500..12_000),
                3 => cell.starve(rng.gen_range(100..9_900)),
                4 => {
                    let now = cell.now;
                    cell.runners[i].stand_still(now, rng.gen_range(100..6_000));
                }
                _ => {}
            }
        }
        cell.faults = Faults { answer_ms: ANSWER_MS, ..Faults::default() };
        cell.run(60_000);
        cell.check();
        for id in jobs {
            assert!(cell.stored(id).ended(), "seed {seed}: {id} is {:?}", cell.stored(id));
        }
        assert_eq!(cell.running(), 0, "seed {seed}");
    }
}

/// Guards against completions that are never acknowledged because planning rounds are slow.
#[test]
fn completions_are_acknowledged_although_planning_is_slow() {
    let mut cell = Cell::new(2, 1);
    cell.run(300);
    cell.submit(1, "patient", vec![step(4, 1_000, 400)]);
    for _ in 0..20 {
        cell.starve(PLAN_MS);
        cell.freeze(EVENTS_MS - STEP_MS);
        cell.run(STEP_MS);
    }
    cell.check();
    let listed = cell.runners.iter().map(|r| r.listed.len()).sum::<usize>();
    let unacked = cell.runners.iter().map(|r| r.ends.len()).sum::<usize>();
    assert_eq!((listed, unacked), (4, 0));
}

/// Plans and stores the placement of the only task, and returns the order of its start.
fn start_of(cell: &mut Cell, now: Now) -> (RunnerKey, TaskId, Attempt) {
    cell.engine.plan(now);
    let batch = cell.engine.take_batch(PartitionScope::All, 46, now);
    cell.engine.committed(&batch, &Outcome::Done(7), now);
    let start = cell.engine.take_actions().into_iter().find_map(|act| match act {
        Action::Start { runner, start, .. } => Some((runner, start.task, start.attempt)),
        _ => None,
    });
    start.expect("the start of the task")
}

/// Guards against capacity that is taken, and stops that are sent, for a run that has ended: its
/// runner had listed the active runs before the completions.
#[test]
fn a_run_listed_as_active_and_as_ended_is_over() {
    let mut cell = Cell::new(1, 2);
    cell.run(300);
    let now = Now { mono: cell.now, wall: cell.now };
    let (born, clock) = (Some(cell.runners[0].born), cell.runners[0].clock(cell.now));
    cell.submit(1, "patient", vec![step(1, 1_000, 10)]);
    let (k, task, attempt) = start_of(&mut cell, now);
    cell.engine.started(k, task, attempt, Ok(clock), now);
    let active = vec![ActiveRun { task, attempt, saved: String::new(), percent: 99.0, load: 0.0 }];
    let ends = vec![End { number: 1, task, attempt, kind: EndKind::Done, saved: String::new() }];
    let report = Report { born, clock: clock + 1, active, ends, ..Report::default() };
    cell.engine.polled(k, Ok(report), now);
    let stops = cell.engine.take_actions().into_iter().filter(|a| matches!(a, Action::Stop { .. }));
    let used = cell.engine.runners().map(|(_, r)| r.used).collect::<Vec<_>>();
    assert_eq!((stops.count(), used), (0, vec![Resources::ZERO]));
}

/// Guards against a task that starts again although it is done: its runner stood still after a stop,
/// and its first answer afterwards does not list the completion yet.
#[test]
fn a_run_is_not_lost_by_the_first_answer_of_a_runner_that_stood_still() {
    let mut cell = Cell::new(1, 3);
    cell.run(300);
    let now = Now { mono: cell.now, wall: cell.now };
    let (born, clock) = (Some(cell.runners[0].born), cell.runners[0].clock(cell.now));
    let job = cell.submit(1, "patient", vec![step(1, 1_000, 10)]);
    let (k, task, attempt) = start_of(&mut cell, now);
    for _ in 0..3 {
        cell.engine.started(k, task, attempt, Err(Refusal::NoResponse), now);
    }
    cell.engine.stopped(k, task, attempt, Ok(clock), now);
    let later = Now { mono: now.mono + STILL_MS, wall: now.wall + STILL_MS };
    let resumed = clock + STILL_MS;
    let report = Report { born, clock: resumed, ..Report::default() };
    cell.engine.polled(k, Ok(report.clone()), later);
    let ends = vec![End { number: 1, task, attempt, kind: EndKind::Done, saved: String::new() }];
    cell.engine.polled(k, Ok(Report { clock: resumed + LAG_MS, ends, ..report }), later);
    let state = cell.engine.job(job).map(|j| j.state);
    assert_eq!((state, cell.engine.counts.written_off), (Some(JobState::Completed), 0));
}

/// Guards against a completion that is forgotten before it is listed: its runner stood still, and the
/// first answer afterwards lists only one with a higher number.
#[test]
fn a_completion_is_awaited_from_a_runner_that_stood_still() {
    let mut cell = Cell::new(1, 4);
    cell.run(300);
    let now = Now { mono: cell.now, wall: cell.now };
    let (born, clock) = (Some(cell.runners[0].born), cell.runners[0].clock(cell.now));
    cell.submit(1, "patient", vec![step(1, 1_000, 10)]);
    let (k, task, attempt) = start_of(&mut cell, now);
    cell.engine.started(k, task, attempt, Ok(clock), now);
    let ends = vec![End { number: 2, task, attempt, kind: EndKind::Done, saved: String::new() }];
    let report = Report { born, clock: clock + 1, ends, ..Report::default() };
    cell.engine.polled(k, Ok(report.clone()), now);
    let batch = cell.engine.take_batch(PartitionScope::All, 46, now);
    cell.engine.committed(&batch, &Outcome::Done(8), now);
    let later = Now { mono: now.mono + STILL_MS, wall: now.wall + STILL_MS };
    cell.engine.polled(k, Ok(Report { clock: clock + STILL_MS, ..report }), later);
    let next = Now { mono: later.mono + 200, wall: later.wall + 200 };
    cell.engine.tick(next);
    let acked = cell.engine.take_actions().into_iter().find_map(|act| match act {
        Action::Poll { poll, .. } => Some(poll.acked),
        _ => None,
    });
    assert_eq!(acked, Some(0));
}
