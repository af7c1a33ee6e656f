//! Log lines of a scheduler about the jobs that it loads and the runs that it loses.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{step, Cell};
use currantgw::control::model::JobState;
use std::cell::RefCell;
use std::collections::BTreeMap;

thread_local! {
    /// Number of lines logged by the current test, by message.
    static LINES: RefCell<BTreeMap<String, usize>> = const { RefCell::new(BTreeMap::new()) };
}

/// A logger that counts lines by message.
struct Counter;

impl log::Log for Counter {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = record.args().to_string();
        LINES.with(|lines| *lines.borrow_mut().entry(line).or_default() += 1);
    }

    fn flush(&self) {}
}

/// Installs the counting logger and resets the counts of this thread.
fn count_lines() {
    // Another test of this file may have installed it before.
    let _ = log::set_boxed_logger(Box::new(Counter));
    log::set_max_level(log::LevelFilter::Info);
    LINES.with(|lines| lines.borrow_mut().clear());
}

fn lines(message: &str) -> usize {
    LINES.with(|lines| lines.borrow().get(message).copied().unwrap_or(0))
}

/// Guards against a takeover whose first log lines are dropped: the beginning of the term, the time
/// of loading, the first starts. A new leader loads all jobs of the last two minutes, 6,500, and no
/// more than 4,000 lines a second are written, so that only jobs that can be placed get a line.
#[test]
fn a_new_leader_logs_only_jobs_that_have_not_ended() {
    let mut cell = Cell::new(2, 1);
    let ended: Vec<_> =
        (1..=20).map(|n| cell.submit(n, "patient", vec![step(1, 100, 200)])).collect();
    cell.run(2_000);
    assert!(ended.iter().all(|id| cell.stored(*id) == JobState::Completed));
    cell.submit(30, "patient", vec![step(1, 100, 60_000)]);
    cell.run(500);
    count_lines();
    cell.change_leader();
    assert_eq!(lines("job known to the scheduler"), 1);
}

/// Guards against runs that are missing from the log when they are lost with their runner.
#[test]
fn each_run_lost_with_its_runner_is_logged() {
    let mut cell = Cell::new(2, 1);
    cell.submit(1, "patient", vec![step(5, 100, 60_000)]);
    cell.run(500);
    count_lines();
    for i in 0..2 {
        cell.crash(i);
        cell.runners[i].replaced = true;
    }
    cell.run(2_000);
    assert_eq!(lines("run lost with its runner"), 5);
}
