//! Tickets that expire before the start that they are for.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{step, Cell, STEP_MS};
use currantgw::control::model::{JobId, JobState, Step};

/// Validity of a ticket, ms.
const VALID_MS: u64 = 2_000;

/// Submits a step to the queue with a policy while the store is down for longer than its tickets
/// are valid.
fn outage(step: Step) -> (Cell, JobId) {
    let mut cell = Cell::new(4, 5);
    cell.run(300);
    cell.faults.store_down = true;
    let job = cell.submit(1, "asked", vec![step]);
    cell.run(2 * VALID_MS);
    cell.faults.store_down = false;
    (cell, job)
}

/// Runs until the first start; returns the number of advice requests by then.
fn requests_at_start(cell: &mut Cell) -> usize {
    while cell.starts.is_empty() {
        cell.run(STEP_MS);
    }
    cell.requests.len()
}

/// Guards against starts with expired tickets: after an outage of the store 600 to 1,000 starts
/// were refused, with a slow store 2,800 in 12 s, and each refusal is charged and followed by
/// another write and another advice request. A placement is decided with a ticket that is valid for
/// 2 s, and stored later than that: the ticket has to be checked before the start as well.
#[test]
fn a_start_whose_ticket_expired_is_not_sent() {
    let (mut cell, job) = outage(step(2, 1_000, 500));
    assert!(requests_at_start(&mut cell) >= 2);
    cell.run(3_000);
    assert_eq!(cell.stored(job), JobState::Completed);
    assert!(cell.starts.values().all(|n| *n == 1), "{:?}", cell.starts);
    cell.check();
}

/// Guards against a gang of which only some members start, since the tickets of the others have
/// expired.
#[test]
fn a_gang_whose_tickets_expired_starts_as_a_whole() {
    let (mut cell, job) = outage(Step { gang: true, ..step(6, 6_000, 500) });
    assert!(requests_at_start(&mut cell) >= 2);
    cell.run(3_000);
    assert_eq!(cell.stored(job), JobState::Completed);
    assert!(cell.starts.values().all(|n| *n == 1), "{:?}", cell.starts);
    cell.check();
}

/// A ticket that is still valid when the placement is stored is used.
#[test]
fn a_start_with_a_valid_ticket_needs_no_other() {
    let mut cell = Cell::new(4, 5);
    cell.run(300);
    let job = cell.submit(1, "asked", vec![step(2, 1_000, 500)]);
    assert_eq!(requests_at_start(&mut cell), 1);
    cell.run(3_000);
    assert_eq!(cell.stored(job), JobState::Completed);
    cell.check();
}
