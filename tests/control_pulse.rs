//! How a process knows that the store has fallen silent, and that it is back, on a paused clock.

use currantgw::control::pulse::{Pulse, HOLD_MS};
use currantgw::kernel::clock::Clock;

fn heard_at_10() -> (Clock, Pulse) {
    let clock = Clock::manual();
    let pulse = Pulse::new(clock.clone());
    clock.advance(10);
    pulse.call(0).ended(true);
    (clock, pulse)
}

#[test]
fn a_store_never_heard_of_is_silent_after_its_first_second() {
    let clock = Clock::manual();
    let pulse = Pulse::new(clock.clone());
    clock.advance(1_001);
    assert!(pulse.silent());
    pulse.call(0).ended(true);
    assert!(!pulse.silent());
}

/// Symptom: a second's worth of submissions is in doubt whenever the store falls silent.
/// Sequence: the store stops answering; each instance goes on sending for as long as its last
/// read is fresh; every one of these writes ends in doubt.
/// Cause: only reads, and only their timeouts, told that something was wrong.
#[test]
fn an_answer_owed_shows_long_before_its_timeout() {
    let (clock, pulse) = heard_at_10();
    let call = pulse.call(0);
    assert_eq!(pulse.stalled_ms(), 0);
    clock.advance(HOLD_MS);
    assert_eq!(pulse.stalled_ms(), HOLD_MS);
    assert!(!pulse.silent());
    clock.advance(600 - HOLD_MS);
    assert!(pulse.silent());
    call.ended(true);
    assert!(!pulse.silent());
    assert_eq!(pulse.stalled_ms(), 0);
}

/// One answer that is lost, while others come, says nothing about the store.
#[test]
fn an_answer_lost_alone_is_no_stall() {
    let (clock, pulse) = heard_at_10();
    let _lost = pulse.call(0);
    for _ in 0..20 {
        clock.advance(90);
        pulse.call(0).ended(true);
        assert_eq!(pulse.stalled_ms(), 0);
    }
    assert!(!pulse.silent());
}

/// A feed that waits for changes owes nothing before its wait is over, and a call that its
/// caller has given up owes nothing any more.
#[test]
fn waits_and_dropped_calls_are_not_owed() {
    let (clock, pulse) = heard_at_10();
    let feed = pulse.call(500);
    drop(pulse.call(0));
    clock.advance(500);
    assert_eq!(pulse.stalled_ms(), 0);
    clock.advance(40);
    assert_eq!(pulse.stalled_ms(), 40);
    drop(feed);
    assert_eq!(pulse.stalled_ms(), 0);
}

/// A store that refuses promptly is as little use as one that is silent: the failures count from
/// the first, and are forgotten with the next call served.
#[test]
fn prompt_refusals_count_from_the_first() {
    let (clock, pulse) = heard_at_10();
    for _ in 0..6 {
        pulse.call(0).ended(false);
        clock.advance(100);
    }
    assert!(pulse.silent());
    pulse.call(0).ended(true);
    assert!(!pulse.silent());
    pulse.call(0).ended(false);
    clock.advance(100);
    assert_eq!(pulse.stalled_ms(), 100);
}
