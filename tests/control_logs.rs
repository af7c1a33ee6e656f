//! What a scheduler logs of the jobs that it finds.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{step, Cell};
use currantgw::control::model::JobState;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Lines that tell of a job come to be known.
static KNOWN: AtomicUsize = AtomicUsize::new(0);

/// Counts lines.
struct Counter;

impl log::Log for Counter {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.args().to_string() == "job known to the scheduler" {
            KNOWN.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Symptom: the logs of a takeover lack its first lines: when the term begins, how long loading
/// took, the first starts; they look as if nothing started until the next whole second.
/// Sequence: a successor takes in all jobs of the last two minutes, 6,500, with a line for each; no
/// more than 4,000 lines a second are written.
/// Cause: jobs that have ended were told of as if they could be placed.
#[test]
fn a_successor_tells_only_of_jobs_that_have_not_ended() {
    log::set_boxed_logger(Box::new(Counter)).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let mut cell = Cell::new(2, 1);
    let ended: Vec<_> =
        (1..=20).map(|n| cell.submit(n, "patient", vec![step(1, 100, 200)])).collect();
    cell.run(2_000);
    assert!(ended.iter().all(|id| cell.stored(*id) == JobState::Completed));
    cell.submit(30, "patient", vec![step(1, 100, 60_000)]);
    cell.run(500);
    KNOWN.store(0, Ordering::Relaxed);
    cell.take_over();
    assert_eq!(KNOWN.load(Ordering::Relaxed), 1);
}
