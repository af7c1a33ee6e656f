//! Orders on their way to runners: how many at once, and what a link that is full makes of them.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{step, Cell};
use currantgw::control::engine::{Action, RunnerKey};
use currantgw::control::leader::Orders;
use currantgw::control::model::{Attempt, JobId, JobState, StepId, TaskId};
use currantgw::control::ports::{Order, Refusal, RunnerCall};
use std::collections::VecDeque;

/// An order is waited for this long, ms.
const ORDER_MS: u64 = 400;

/// Time that an order and its answer take of a link of 2 Mbit/s, ms.
const LINK_MS: u64 = 4;

fn order(n: u64) -> Action {
    let step = StepId { job: JobId(n), occurrence: 0, step: 0 };
    let task = TaskId { step, index: 0 };
    let to = RunnerCall { addr: "127.0.0.1:1".parse().unwrap(), id: "r".into() };
    let order = Order { task, attempt: Attempt(1), fence: 1 };
    Action::Stop { runner: key(), to, order }
}

fn key() -> RunnerKey {
    let cell = Cell::new(1, 1);
    let first = cell.engine.runners().next().map(|(k, _)| k);
    first.expect("a cell of one runner")
}

/// Symptom: on a small link most starts are `not carried out`, by runners everywhere, and the more is
/// sent the less arrives, for good.
/// Sequence: a slow store lets a hundred placements go at once; their starts take the link 0.6 s and more,
/// each is waited for 0.4 s; those that are given up are sent again, and then stopped, again and again.
/// Cause: as many orders at once as there were.
#[test]
fn orders_do_not_wait_for_each_other_on_the_link_for_longer_than_for_an_answer() {
    let mut orders = Orders::default();
    (0..600).for_each(|n| orders.push(order(n)));
    // Orders on the link, in turn, by when they were sent.
    let mut link: VecDeque<u64> = VecDeque::new();
    let (mut answered, mut late) = (0, 0);
    for ms in 0..4_000 {
        while orders.next(ms).is_some() {
            link.push_back(ms);
        }
        if ms % LINK_MS == 0 {
            if let Some(sent) = link.pop_front() {
                answered += 1;
                late += usize::from(ms - sent > ORDER_MS);
                orders.ended(&Ok(1), sent, ms);
            }
        }
    }
    assert_eq!(answered, 600);
    assert!(late <= 600 / 50, "{late} of 600 orders were waited for in vain");
}

/// On a link that carries all at once nothing waits.
#[test]
fn a_quick_link_takes_all_orders_at_once() {
    let mut orders = Orders::default();
    let mut sent = 0;
    for ms in (0..2_000).step_by(8) {
        (0..10).for_each(|n| orders.push(order(n)));
        while orders.next(ms).is_some() {
            sent += 1;
        }
        (0..10).for_each(|_| orders.ended(&Ok(1), ms, ms + 7));
        assert_eq!(sent, (ms / 8 + 1) * 10);
    }
}

/// Runners that are cut off do not keep orders from the others.
#[test]
fn orders_without_an_answer_hold_up_no_others() {
    let mut orders = Orders::default();
    // Of ten runners one answers.
    (0..4_000).for_each(|n| orders.push(order(n)));
    let (mut sent, mut silent) = (0_u64, VecDeque::new());
    for ms in (0..4_000).step_by(8) {
        while orders.next(ms).is_some() {
            sent += 1;
            match sent % 10 {
                0 => orders.ended(&Ok(1), ms, ms + 7),
                _ => silent.push_back(ms),
            }
        }
        while silent.front().is_some_and(|at| at + ORDER_MS <= ms) {
            let at = silent.pop_front().unwrap_or_default();
            orders.ended(&Err(Refusal::NoAnswer), at, ms);
        }
    }
    assert!(sent >= 2_000, "{sent} of 4000 sent");
}

/// Symptom: hundreds of stops a second go to some eighty runners.
/// Sequence: a stop takes the link longer than 300 ms; it is sent again beside the first, and again.
/// Cause: a stop was repeated by the time since it was sent, whether or not it was still on its way.
#[test]
fn a_stop_is_repeated_only_after_it_had_no_answer() {
    let mut cell = Cell::new(1, 5);
    cell.run(300);
    let job = cell.submit(1, "patient", vec![step(1, 1_000, 60_000)]);
    cell.run(500);
    cell.cancel(job);
    // Its answer is lost: given up after 600 ms, then asked again.
    cell.faults.unanswered = 1.0;
    let before = cell.stops;
    cell.run(1_400);
    let stops = cell.stops - before;
    assert!((1..=2).contains(&stops), "{stops} stops in 1.4 s");
    cell.faults.unanswered = 0.0;
    cell.run(2_000);
    assert_eq!((cell.stored(job), cell.running()), (JobState::Cancelled, 0));
    cell.check();
}
