//! Answers of runners whose lists cannot be decoded in full: what follows for runs, and which
//! completions are acknowledged.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{step, Cell, RULES};
use currantgw::control::engine::{Action, Now, Outcome, RunnerKey};
use currantgw::control::model::{Attempt, JobId, JobState, StepId, TaskId};
use currantgw::control::partitions::PartitionScope;
use currantgw::control::ports::Report;
use currantgw::platform::reports;
use serde_json::{json, Value};

/// A cell of one runner with a job of one task, whose start is confirmed.
struct OneRun {
    cell: Cell,
    job: JobId,
    runner: RunnerKey,
    task: TaskId,
    attempt: Attempt,
    now: Now,
    clock: u64,
}

impl OneRun {
    fn new() -> Self {
        let mut cell = Cell::new(1, 2);
        cell.run(300);
        let now = Now { mono: cell.now, wall: cell.now };
        let clock = cell.runners[0].clock(cell.now);
        let job = cell.submit(1, "patient", vec![step(1, 1_000, 10)]);
        cell.engine.tick(now);
        let (runner, task, attempt) = start(&mut cell, now, 7).expect("a start");
        cell.engine.started(runner, task, attempt, Ok(clock), now);
        Self { cell, job, runner, task, attempt, now, clock }
    }

    /// Passes an answer with these completions to the scheduler `ms` after the last one.
    fn answer(&mut self, ms: u64, finished: Value) {
        self.clock += ms;
        let body = json!({"clock_ms": self.clock, "active": [], "finished": finished});
        let read = reports::report(body.to_string().as_bytes()).unwrap().report;
        self.receive(ms, read);
    }

    /// Passes an answer without any list to the scheduler `ms` after the last one.
    fn answer_without_lists(&mut self, ms: u64) {
        self.clock += ms;
        let body = json!({"clock_ms": self.clock});
        let read = reports::report(body.to_string().as_bytes()).unwrap().report;
        self.receive(ms, read);
    }

    /// Passes an answer with the run as active to the scheduler `ms` after the last one.
    fn answer_active(&mut self, ms: u64) {
        self.clock += ms;
        let active = json!([[self.task.to_string(), self.attempt.0, "", 10]]);
        let body = json!({"clock_ms": self.clock, "active": active, "finished": []});
        let read = reports::report(body.to_string().as_bytes()).unwrap().report;
        self.receive(ms, read);
    }

    /// Stops that the scheduler has ordered since the last call.
    fn stops(&mut self) -> Vec<TaskId> {
        let acts = self.cell.engine.take_actions().into_iter();
        acts.filter_map(|act| match act {
            Action::Stop { order, .. } => Some(order.task),
            _ => None,
        })
        .collect()
    }

    fn receive(&mut self, ms: u64, read: Report) {
        self.now = Now { mono: self.now.mono + ms, wall: self.now.wall + ms };
        let report = Report { born: Some(self.cell.runners[0].born), ..read };
        self.cell.engine.polled(self.runner, Ok(report), self.now);
    }

    /// The number that the next poll acknowledges.
    fn acknowledged(&mut self) -> u64 {
        let batch = self.cell.engine.take_batch(PartitionScope::All, 46, self.now);
        self.cell.engine.committed(&batch, &Outcome::Done(8), self.now);
        self.cell.engine.take_actions();
        self.now = Now { mono: self.now.mono + 250, wall: self.now.wall + 250 };
        self.clock += 250;
        self.cell.engine.tick(self.now);
        let mut acts = self.cell.engine.take_actions().into_iter();
        acts.find_map(|a| match a {
            Action::Poll { poll, .. } => Some(poll.acked),
            _ => None,
        })
        .expect("a poll")
    }

    fn state(&self) -> JobState {
        self.cell.engine.job(self.job).unwrap().state
    }
}

/// A new leader that knows one run of the last one, and has received no answer to a poll yet.
fn inherited() -> OneRun {
    let mut cell = Cell::new(1, 2);
    cell.run(300);
    let job = cell.submit(1, "patient", vec![step(1, 1_000, 60_000)]);
    cell.run(300);
    let task = TaskId { step: StepId { job, occurrence: 0, step: 0 }, index: 0 };
    let attempt = cell.engine.job(job).unwrap().steps[0].tasks[0].attempt;
    cell.change_leader();
    let now = Now { mono: cell.now, wall: cell.now };
    let (runner, _) = cell.engine.runners().next().unwrap();
    let clock = cell.runners[0].clock(cell.now);
    OneRun { cell, job, runner, task, attempt, now, clock }
}

/// Guards against a sound run that is stopped because of one answer without any list.
#[test]
fn one_answer_without_lists_stops_no_run() {
    let mut run = inherited();
    run.answer_without_lists(10);
    assert_eq!(run.stops(), []);
    run.answer_active(50);
    run.answer_without_lists(50);
    run.answer_active(50);
    assert_eq!(run.stops(), []);
    assert_eq!(run.state(), JobState::Running);
}

/// A runner that leaves out empty lists has lost the run if it does so twice.
#[test]
fn two_answers_without_lists_are_empty_lists() {
    let mut run = inherited();
    run.answer_without_lists(10);
    run.answer_without_lists(50);
    assert_eq!(run.stops(), [run.task]);
}

/// Guards against a task that is started again after one answer without any list, although the
/// completion of its run comes with the next one.
#[test]
fn one_answer_without_lists_writes_off_no_stopped_run() {
    let mut run = inherited();
    run.answer(10, json!([]));
    assert_eq!(run.stops(), [run.task]);
    run.cell.engine.stopped(run.runner, run.task, run.attempt, Ok(run.clock), run.now);
    run.answer_without_lists(RULES.stop_ms + 300);
    assert_eq!(run.cell.engine.counts.written_off, 0);
    run.answer(50, json!([[1, run.task.to_string(), run.attempt.0, "done", ""]]));
    assert_eq!((run.state(), run.cell.engine.counts.written_off), (JobState::Completed, 0));
}

/// Plans and stores placements, and returns the start that is ordered.
fn start(cell: &mut Cell, now: Now, version: u64) -> Option<(RunnerKey, TaskId, Attempt)> {
    cell.engine.plan(now);
    let batch = cell.engine.take_batch(PartitionScope::All, 46, now);
    cell.engine.committed(&batch, &Outcome::Done(version), now);
    cell.engine.take_actions().into_iter().find_map(|act| match act {
        Action::Start { runner, start, .. } => Some((runner, start.task, start.attempt)),
        _ => None,
    })
}

/// Guards against a completion that is acknowledged without an effect, so that its task waits for a
/// lease and a stop: its outcome is a word that the scheduler does not know.
#[test]
fn a_run_with_an_unknown_outcome_is_over_and_counts_neither_as_done_nor_as_failed() {
    let mut run = OneRun::new();
    let (task, attempt) = (run.task.to_string(), run.attempt.0);
    run.answer(20, json!([[1, task, attempt, "expired", "c"]]));
    let job = run.cell.engine.job(run.job).unwrap();
    let stored = &job.steps[0].tasks[0];
    assert!(stored.run.is_none(), "the run has ended: {:?}", stored.run);
    assert_eq!((stored.done, stored.fails, stored.saved.as_str()), (false, 0, "c"));
    assert_eq!(run.state(), JobState::Running);
    assert_eq!(run.acknowledged(), 1);
}

/// A completion of which the task cannot be decoded has its effect if a later answer lists it in
/// full; until then, those with higher numbers are not acknowledged.
#[test]
fn a_completion_that_cannot_be_decoded_holds_back_later_ones_for_a_while() {
    let mut run = OneRun::new();
    let (task, attempt) = (run.task.to_string(), run.attempt.0);
    let other = run.task.to_string().replace(".0.0.0", ".0.0.9");
    let bad = json!([[1, null, attempt, "done", ""], [2, other, 1, "stopped", ""]]);
    run.answer(20, bad.clone());
    assert_eq!(run.acknowledged(), 0);
    run.answer(20, json!([[1, task, attempt, "done", ""], [2, other, 1, "stopped", ""]]));
    assert_eq!(run.state(), JobState::Completed);
    assert_eq!(run.acknowledged(), 2);
}

/// A completion that stays unreadable must not keep the runner from listing later ones.
#[test]
fn a_completion_that_stays_unreadable_does_not_block_the_list() {
    let mut run = OneRun::new();
    let other = run.task.to_string().replace(".0.0.0", ".0.0.9");
    let bad = json!([[1, null, 1, "done", ""], [2, other, 1, "stopped", ""]]);
    run.answer(20, bad.clone());
    assert_eq!(run.acknowledged(), 0);
    // A longer pause between two answers would count as a runner that stood still.
    for _ in (0..RULES.stop_ms + 1_000).step_by(100) {
        run.answer(100, bad.clone());
    }
    run.acknowledged();
    run.answer(20, bad);
    assert_eq!(run.acknowledged(), 2);
    assert_eq!(run.state(), JobState::Running);
    assert!(run.cell.engine.job(run.job).unwrap().steps[0].tasks[0].run.is_some());
}

/// The completion of a held job waits for a leader that can read the job's rows, but not until the
/// runner lists no others any more.
#[test]
fn a_completion_of_a_held_job_waits_until_too_many_wait_with_it() {
    let mut run = OneRun::new();
    let held = JobId(77);
    run.cell.engine.hold_job(held, None);
    let of_held = run.task.to_string().replace(&run.job.to_string(), &held.to_string());
    let other = run.task.to_string().replace(".0.0.0", ".0.0.9");
    let ends = |n: u64| {
        let others = (2..=n).map(|i| json!([i, other, 1, "stopped", ""]));
        Value::Array([json!([1, of_held, 1, "done", ""])].into_iter().chain(others).collect())
    };
    // The first revision of the job that runs is to be stored first.
    for _ in 0..6 {
        run.answer(250, ends(250));
        assert_eq!(run.acknowledged(), 0);
    }
    run.answer(20, ends(251));
    assert_eq!(run.acknowledged(), 251);
}

/// Guards against a task that never runs again because its runner keeps listing a completion that
/// cannot be decoded, so that no list counts as complete.
#[test]
fn a_run_whose_completion_is_unreadable_is_stopped() {
    let mut run = OneRun::new();
    let bad = json!([[1, run.task.to_string(), "first", "done", ""]]);
    for _ in 0..3 * RULES.lease_ms / 200 {
        run.answer(200, bad.clone());
    }
    assert!(run.stops().contains(&run.task));
}
/// Guards against polls in quick succession: a runner answers at once while it lists completions, and
/// one that cannot be decoded stays in its list.
#[test]
fn a_list_of_unreadable_completions_is_not_polled_again_at_once() {
    let mut run = OneRun::new();
    run.answer(10, json!([[1, run.task.to_string(), "first", "done", ""]]));
    run.cell.engine.take_actions();
    run.now.mono += 150;
    run.cell.engine.tick(run.now);
    let acts = run.cell.engine.take_actions();
    assert!(!acts.iter().any(|a| matches!(a, Action::Poll { .. })));
}
