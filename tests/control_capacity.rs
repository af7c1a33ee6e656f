//! Runners whose capacity shrinks and grows while they run.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{step, Cell};
use currantgw::control::model::{JobState, Step};

/// Changes a runner's capacity and its registry entry.
fn resize(cell: &mut Cell, i: usize, cpu: u64) {
    cell.runners[i].capacity.cpu = cpu;
    cell.register(i, true);
}

/// A cell of two runners of 16 cores on which four tasks of 6 cores are placed while the store is
/// down.
fn cell_with_unstored_placements(step: Step) -> Cell {
    let mut cell = Cell::new(2, 3);
    cell.run(300);
    cell.faults.store_down = true;
    cell.submit(1, "patient", vec![step]);
    cell.run(500);
    assert_eq!(cell.running(), 0);
    cell
}

/// Guards against a start on a runner whose capacity has shrunk since the placement was decided, so
/// that the task no longer fits.
#[test]
fn no_start_is_sent_to_a_runner_without_capacity_for_it() {
    for gang in [false, true] {
        let mut cell = cell_with_unstored_placements(Step { gang, ..step(4, 6_000, 1_000) });
        resize(&mut cell, 0, 7_000);
        cell.faults.store_down = false;
        cell.run(2_000);
        cell.check();
        resize(&mut cell, 0, 16_000);
        cell.run(4_000);
        cell.check();
        let job = currantgw::control::model::JobId(1);
        assert_eq!(cell.stored(job), JobState::Completed, "gang {gang}");
    }
}

/// Guards against placements based on an outdated capacity: a shrunk runner gets only what fits,
/// and a grown one gets more.
#[test]
fn placements_follow_a_changed_capacity() {
    let mut cell = Cell::new(1, 4);
    cell.run(300);
    cell.submit(1, "patient", vec![step(2, 6_000, 2_000)]);
    cell.run(300);
    resize(&mut cell, 0, 4_000);
    cell.submit(2, "patient", vec![step(2, 3_000, 5_000)]);
    cell.run(1_000);
    assert_eq!(cell.running(), 2);
    cell.run(1_500);
    assert_eq!(cell.running(), 1);
    resize(&mut cell, 0, 16_000);
    cell.run(300);
    assert_eq!(cell.running(), 2);
    cell.check();
}
