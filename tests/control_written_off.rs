//! Runs of which nothing proves that they are over: they keep their capacity, and their tasks are
//! not started again.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{queue, step, Cell, RULES};
use currantgw::control::model::{JobState, StepId, TaskId};
use currantgw::kernel::res::Resources;

/// More tasks than the completions that an answer of a runner lists.
const MANY_TASKS: u32 = 1_200;

/// Guards against tasks that run twice because their completions come after the 500 that one answer
/// lists.
#[test]
fn runs_whose_completions_are_not_listed_yet_are_not_lost() {
    let capacity = Resources { cpu: 64_000, mem: 256_000, acc: 0 };
    let mut cell = Cell::with(RULES, 1, capacity, vec![queue("patient", 2, 3, None)], 1);
    cell.run(300);
    let job = cell.submit(1, "patient", vec![step(MANY_TASKS, 10, 1_000)]);
    cell.run(4_000);
    cell.check();
    assert_eq!(cell.stored(job), JobState::Completed);
    let id = StepId { job, occurrence: 0, step: 0 };
    assert!((0..MANY_TASKS).all(|index| cell.starts[&TaskId { step: id, index }] == 1));
    assert_eq!(cell.engine.counts.written_off, 0);
}
