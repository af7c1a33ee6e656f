//! Tasks that crash the runners that start them, and tasks on runners that crash for other reasons.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{step, Cell, Faults, STEP_MS};
use currantgw::control::engine::{RunnerKey, Stage};
use currantgw::control::model::{Attempt, JobId, JobState, Step, StepId, TaskId};
use currantgw::control::policy::crashes::{LossRate, Losses};
use currantgw::control::rows;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of losses from which on a task is in a crash loop.
const MAX_LOSSES: u64 = 5;

/// Least time from a crash to the next start of a task that lasts and is in a crash loop, ms.
const RESTART_DELAY_MS: u64 = 5_000;

/// Number of seeds for mixed faults.
const SEEDS: u64 = 10;

/// A cell with a steady load of jobs that crash nothing, ten a second.
struct Workload {
    cell: Cell,
    rng: StdRng,
    next: u64,
    harmless: Vec<JobId>,
}

impl Workload {
    fn new(runners: usize, seed: u64) -> Self {
        let mut cell = Cell::new(runners, seed);
        cell.crashes.after = 10;
        cell.run(300);
        Self { cell, rng: StdRng::seed_from_u64(seed), next: 1_000, harmless: Vec::new() }
    }

    /// Submits a job whose first task crashes its runners.
    fn crasher(&mut self, id: u64, steps: Vec<Step>) -> JobId {
        let id = JobId(id);
        self.cell.crashes.jobs.insert(id);
        self.cell.submit(id.0, "patient", steps)
    }

    /// Advances the time by `ms`, and submits a harmless job each 100 ms.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            let steps = vec![step(self.rng.gen_range(1..4), 1_000, self.rng.gen_range(200..4_000))];
            self.harmless.push(self.cell.submit(self.next, "patient", steps));
            self.next += 1;
            self.cell.run(100);
        }
    }

    /// Advances the time by `ms` without submissions. All harmless jobs must have completed by
    /// then.
    fn finish(&mut self, ms: u64) {
        self.cell.run(ms);
        self.cell.check();
        for &id in &self.harmless {
            assert_eq!(self.cell.stored(id), JobState::Completed, "job {id}");
        }
    }
}

fn gang(count: u32) -> Step {
    Step { gang: true, ..step(count, 4_000, 2_000) }
}

fn first(job: JobId) -> TaskId {
    TaskId { step: StepId { job, occurrence: 0, step: 0 }, index: 0 }
}

/// The losses of a task after runs of these times, in a cell where `lost` of 10,000 runs of a
/// second are lost.
fn losses(lost: u64, ran: &[u64]) -> Losses {
    let mut rate = LossRate::default();
    (0..10_000 - lost).for_each(|_| rate.record_end(1_000, 0));
    (0..lost).for_each(|_| rate.record_loss(1_000, 0));
    let mut out = Losses::default();
    for (n, ms) in (1..).zip(ran) {
        out.record_loss(Attempt(n), RunnerKey::from(n as usize), rate.chance(*ms));
    }
    out
}

/// Guards against losing more runners than necessary before a crash loop is detected, and against
/// mistaking losses by chance for a crash loop.
#[test]
fn a_crash_loop_is_detected_when_chance_does_not_explain_the_losses() {
    assert!(!losses(10, &[15]).crash_loop());
    assert!(losses(10, &[15, 15]).crash_loop());
    assert!(!losses(1_000, &[15, 15]).crash_loop());
    assert!(losses(1_000, &[15, 15, 15]).crash_loop());
    assert!(!losses(10, &[1_500, 1_500]).crash_loop());
    assert!(!losses(1_000, &[4_000; 4]).crash_loop());
    assert!(losses(1_000, &[4_000; 5]).crash_loop());
}

/// Guards against a crash loop that is missed since its task, after three losses, ends otherwise
/// than done; and against a loss that still counts after a completion of its run was reported.
#[test]
fn after_three_losses_every_end_counts_and_a_late_end_withdraws_its_loss() {
    let mut task = losses(1_000, &[4_000; 2]);
    task.record_end();
    assert_eq!(task.count, 2);
    task.withdraw(Attempt(1));
    assert_eq!(task.count, 2);
    task.withdraw(Attempt(2));
    assert_eq!(task.count, 1);
    let mut task = losses(1_000, &[4_000; 3]);
    task.record_end();
    assert!(!task.crash_loop());
    task.record_end();
    assert!(task.crash_loop());
}

/// Guards against a task that is restarted without limit although it crashes its runners.
#[test]
fn a_task_that_crashes_its_runners_fails_its_job() {
    let mut load = Workload::new(12, 1);
    let job = load.crasher(1, vec![step(1, 1_000, 3_000)]);
    load.run(30_000);
    load.finish(20_000);
    assert_eq!(load.cell.stored(job), JobState::Failed);
    assert!(load.cell.crashes.count(first(job)) >= 2);
}

/// Guards against crashes of a gang's member that do not count since the gang breaks, and is
/// released, before the lease of the crashed runner expires.
#[test]
fn a_gang_whose_member_crashes_its_runners_fails_its_job() {
    let mut load = Workload::new(12, 2);
    let job = load.crasher(1, vec![gang(4)]);
    load.run(30_000);
    load.finish(20_000);
    assert_eq!(load.cell.stored(job), JobState::Failed);
}

/// Guards against a service that is shown as failed, although it runs until it is cancelled, and against
/// one that takes a runner with each of its restarts as fast as it can.
#[test]
fn a_long_running_task_that_crashes_its_runners_is_restarted_at_intervals() {
    let mut load = Workload::new(12, 3);
    let job = load.crasher(1, vec![Step { lasts: true, ..step(2, 1_000, 1 << 30) }]);
    load.run(40_000);
    let crashes = load.cell.crashes.count(first(job));
    assert!((5..=MAX_LOSSES + 40_000 / RESTART_DELAY_MS).contains(&crashes.into()), "{crashes}");
    load.cell.change_leader();
    load.run(20_000);
    assert!(load.cell.crashes.count(first(job)) > crashes);
    assert_eq!(load.cell.stored(job), JobState::Running);
    load.cell.cancel(job);
    load.finish(20_000);
    assert_eq!(load.cell.stored(job), JobState::Cancelled);
}

/// Guards against a task that is restarted without limit since the ends of its runs, after three
/// losses, do not count.
#[test]
fn after_three_losses_a_task_gets_two_more_runs() {
    let mut cell = Cell::new(1, 17);
    cell.runners[0].refuses_until = u64::MAX;
    let job = cell.submit(1, "patient", vec![step(1, 1_000, 200)]);
    cell.run(500);
    let mut row = cell.progress(job).unwrap();
    row.steps[0].2[0].5 = 3;
    cell.put_progress(job, rows::encode(&row));
    cell.change_leader();
    (cell.runners[0].failing, cell.runners[0].refuses_until) = (true, 0);
    cell.run(10_000);
    cell.check();
    assert_eq!((cell.stored(job), cell.starts[&first(job)]), (JobState::Failed, 2));
}

/// Guards against a job that fails as one whose task crashes its runners soon after each start: the
/// first run has lasted for long, and the leader has changed shortly before the crash.
#[test]
fn a_leader_change_before_a_crash_does_not_make_it_a_crash_loop() {
    let mut cell = Cell::new(4, 19);
    cell.run(300);
    let job = cell.submit(1, "patient", vec![step(1, 1_000, 60_000)]);
    cell.run(12_000);
    cell.change_leader();
    cell.run(65);
    for _ in 0..2 {
        let i = cell.runners_of(first(job))[0];
        cell.crash(i);
        cell.register(i, false);
        cell.runners[i].replaced = true;
        while cell.runners_of(first(job)).is_empty() && !cell.stored(job).ended() {
            cell.run(STEP_MS);
        }
        cell.run(15);
    }
    assert_eq!(cell.stored(job), JobState::Running);
}

/// Guards against crash counts that are lost at a leader change.
#[test]
fn crashes_count_across_leader_changes() {
    for seed in 0..10 {
        let mut load = Workload::new(12, seed);
        let jobs = [load.crasher(1, vec![step(1, 1_000, 3_000)]), load.crasher(2, vec![gang(3)])];
        for _ in 0..12 {
            let ms = load.rng.gen_range(1_000..6_000);
            load.run(ms);
            load.cell.change_leader();
        }
        load.finish(40_000);
        assert_eq!(jobs.map(|id| load.cell.stored(id)), [JobState::Failed; 2], "seed {seed}");
    }
}

/// Guards against crashes that do not count because the start was not answered.
#[test]
fn crashes_count_where_starts_are_not_answered() {
    for seed in 0..10 {
        let mut load = Workload::new(12, seed);
        load.cell.faults.unanswered = 0.3;
        load.cell.faults.late = 0.05;
        let job = load.crasher(1, vec![step(1, 1_000, 3_000)]);
        load.run(60_000);
        load.cell.faults.unanswered = 0.0;
        load.cell.faults.late = 0.0;
        load.finish(40_000);
        assert_eq!(load.cell.stored(job), JobState::Failed, "seed {seed}");
    }
}

/// Guards against a long-running task that stays suspect permanently for crashes that it did not
/// cause.
#[test]
fn a_task_that_has_run_for_long_is_no_longer_suspect() {
    let mut cell = Cell::new(4, 5);
    cell.run(300);
    let job = cell.submit(1, "patient", vec![Step { lasts: true, ..step(1, 1_000, 1 << 30) }]);
    cell.run(300);
    for _ in 0..2 {
        let on = cell.runners_of(first(job));
        cell.crash_for_a_while(on[0]);
        cell.run(4_500);
    }
    let suspects =
        |cell: &Cell| cell.engine.runners().map(|(_, r)| r.suspects.len()).sum::<usize>();
    let count = |cell: &Cell| cell.engine.job(job).unwrap().steps[0].tasks[0].losses.count;
    assert_eq!((count(&cell), suspects(&cell)), (2, 1));
    cell.run(31_000);
    assert_eq!((count(&cell), suspects(&cell)), (0, 0));
}

/// Guards against a crash loop that is missed since each crash comes late in the run, and so
/// resembles an occasional loss of a runner.
#[test]
fn a_task_that_crashes_its_runners_late_fails_its_job() {
    let mut load = Workload::new(12, 4);
    load.cell.crashes.after = 2_500;
    let job = load.crasher(1, vec![step(1, 1_000, 3_000)]);
    load.run(60_000);
    load.finish(20_000);
    assert_eq!(load.cell.stored(job), JobState::Failed);
}

/// Guards against failing jobs whose tasks ran beside others that crash their runners.
#[test]
fn tasks_beside_crashing_ones_complete() {
    for seed in 0..20 {
        let mut load = Workload::new(16, seed);
        for n in 1..6 {
            let steps = if n % 2 == 0 { vec![gang(3)] } else { vec![step(2, 1_000, 3_000)] };
            load.crasher(n, steps);
            load.run(2_000);
        }
        load.run(30_000);
        load.finish(30_000);
        for n in 1..6 {
            assert_eq!(load.cell.stored(JobId(n)), JobState::Failed, "seed {seed}, job {n}");
        }
    }
}

/// Guards against failing jobs whose runners crash for other reasons.
#[test]
fn tasks_whose_runners_crash_for_other_reasons_complete() {
    for seed in 0..20 {
        let mut load = Workload::new(24, seed);
        for _ in 0..30 {
            load.run(1_500);
            let up = (0..load.cell.runners.len()).filter(|&i| load.cell.runners[i].exists);
            let up: Vec<usize> = up.collect();
            let i = up[load.rng.gen_range(0..up.len())];
            load.cell.crash_for_a_while(i);
        }
        load.finish(40_000);
    }
}

/// Guards against counting a start that another runner, at the address of the first, refused.
#[test]
fn a_start_refused_by_another_runner_is_no_loss() {
    let mut cell = Cell::new(2, 1);
    cell.run(300);
    let job = cell.submit(1, "patient", vec![step(1, 1_000, 3_000)]);
    let task = |cell: &Cell| cell.engine.job(job).unwrap().steps[0].tasks[0].clone();
    let sent = |cell: &Cell| task(cell).run.is_some_and(|r| r.stage == Stage::Sent);
    while !sent(&cell) {
        cell.run(STEP_MS);
    }
    let id = cell.engine.runners().find(|(k, _)| Some(*k) == task(&cell).run.map(|r| r.runner));
    let id = id.map(|(_, r)| r.id.clone()).unwrap();
    let i = cell.runners.iter().position(|r| r.id == id).unwrap();
    cell.crash(i);
    cell.runners[i].replaced = true;
    cell.run(500);
    assert_eq!(cell.running(), 1);
    assert_eq!(task(&cell).losses.count, 0);
}

/// Draws the faults of the next interval.
fn draw_faults(rng: &mut StdRng) -> Faults {
    let mut drawn = |share: f64| if rng.gen_bool(0.3) { share } else { 0.0 };
    let (late, unanswered, commits) = (drawn(0.1), drawn(0.2), drawn(0.3));
    Faults { late, unanswered, commits, store_down: rng.gen_bool(0.1), ..Faults::default() }
}

/// Causes a random disturbance: a leader change, an unreachable runner, a crash, or none.
fn cause_fault(load: &mut Workload) {
    let up: Vec<usize> =
        (0..load.cell.runners.len()).filter(|&i| load.cell.runners[i].exists).collect();
    let i = up[load.rng.gen_range(0..up.len())];
    match load.rng.gen_range(0..8) {
        0 => load.cell.change_leader(),
        1 => {
            load.cell.runners[i].unreachable_until = load.cell.now + load.rng.gen_range(500..9_000)
        }
        2 => load.cell.crash_for_a_while(i),
        _ => {}
    }
}

/// Guards against crash loops that are missed under faults of the store, of calls and of
/// schedulers.
#[test]
fn crash_loops_end_under_mixed_faults() {
    for seed in 0..SEEDS {
        let mut load = Workload::new(14, seed);
        let mut jobs = Vec::new();
        for n in 1..60 {
            if n % 12 == 1 {
                let steps = match load.rng.gen_range(0..3) {
                    0 => vec![gang(3)],
                    1 => vec![Step { lasts: true, ..step(1, 1_000, 1 << 30) }],
                    _ => vec![step(2, 1_000, 3_000)],
                };
                load.cell.crashes.after = [10, 100, 1_500][load.rng.gen_range(0..3)];
                let state = if steps[0].lasts { JobState::Running } else { JobState::Failed };
                jobs.push((load.crasher(n, steps), state));
            }
            load.cell.faults = draw_faults(&mut load.rng);
            let ms = load.rng.gen_range(100..1_500);
            load.run(ms);
            cause_fault(&mut load);
        }
        load.cell.faults = Faults::default();
        load.cell.run(90_000);
        load.cell.check();
        for (id, state) in jobs {
            assert_eq!(load.cell.stored(id), state, "seed {seed}: {id}");
        }
    }
}
