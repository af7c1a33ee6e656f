//! Provisional reservations: capacity kept for a gang while its tickets are requested.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{queue, step, Cell, RULES};
use currantgw::control::model::{Approval, JobState, Step};
use currantgw::kernel::res::Resources;

/// Capacity of a runner: one task of the tests fills it.
const CAPACITY: Resources = Resources { cpu: 16_000, mem: 64_000, acc: 0 };

/// Time until a request is answered when most connections to the service are in use, ms.
const ANSWER_MS: f64 = 2_700.0;

/// A cell of four runners whose policy takes long to answer.
fn cell() -> Cell {
    let slow = Approval { base_ms: ANSWER_MS, each_ms: 0.1, valid_ms: 2_000 };
    let queues = vec![queue("urgent", 0, 2, None), queue("asked", 1, 3, Some(slow))];
    let mut cell = Cell::with(RULES, 4, CAPACITY, queues, 7);
    cell.connections = vec![0.0; 4];
    cell.run(300);
    cell
}

/// Guards against a gang that waits for 25 s and longer and requests advice thirteen times,
/// although all its runners are approved. Its capacity is reserved and its tickets are requested;
/// the answer takes 2.7 s, but the reservation expired after 2.5 s and the capacity went to urgent
/// tasks. When there is capacity again, the tickets have expired. A reservation must last while its
/// request is pending.
#[test]
fn a_provisional_reservation_lasts_until_its_request_is_answered() {
    let mut cell = cell();
    for n in 0..4 {
        cell.submit(100 + n, "urgent", vec![step(1, 16_000, 5_000)]);
    }
    cell.run(300);
    let gang = Step { gang: true, ..step(4, 16_000, 2_000) };
    let job = cell.submit(1, "asked", vec![gang]);
    // Its first tickets have expired by the time the runners become free.
    cell.run(6_000);
    for n in 0..40 {
        cell.submit(200 + n, "urgent", vec![step(1, 16_000, 5_000)]);
    }
    cell.run(6_000);
    assert_eq!(cell.stored(job), JobState::Completed, "{} advice requests", cell.requests.len());
    cell.check();
}

/// A request without an answer keeps capacity from others for a bounded time only.
#[test]
fn a_provisional_reservation_without_an_answer_is_released() {
    let mut cell = cell();
    for n in 0..4 {
        cell.submit(100 + n, "urgent", vec![step(1, 16_000, 5_000)]);
    }
    cell.run(300);
    let gang = Step { gang: true, ..step(4, 16_000, 2_000) };
    cell.submit(1, "asked", vec![gang]);
    cell.run(4_000);
    cell.connections = vec![f64::from(u32::MAX); 4];
    cell.run(2_000);
    let other = cell.submit(200, "urgent", vec![step(1, 16_000, 500)]);
    cell.run(3_000);
    assert_eq!(cell.stored(other), JobState::Queued);
    cell.run(3_000);
    assert_eq!(cell.stored(other), JobState::Completed);
    cell.check();
}
