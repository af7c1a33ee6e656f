//! Detection of an outage of the store and of its end, on a manual clock.

use currantgw::control::store_health::{Pulse, HOLD_MS};
use currantgw::kernel::clock::Clock;

fn served_at_10() -> (Clock, Pulse) {
    let clock = Clock::manual();
    let pulse = Pulse::new(clock.clone());
    clock.advance(10);
    pulse.call(0).ended(true);
    (clock, pulse)
}

#[test]
fn a_store_without_a_response_is_unavailable_after_one_second() {
    let clock = Clock::manual();
    let pulse = Pulse::new(clock.clone());
    clock.advance(1_001);
    assert!(pulse.silent());
    pulse.call(0).ended(true);
    assert!(!pulse.silent());
}

/// Guards against a second of submissions with an unknown outcome at the start of each outage. If
/// only timeouts of reads reveal an outage, each instance keeps sending writes until its last read
/// is stale, and none of them gets a response.
#[test]
fn an_overdue_response_shows_before_its_timeout() {
    let (clock, pulse) = served_at_10();
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

/// One lost response among others that arrive does not mark the store as stalled.
#[test]
fn a_single_lost_response_is_no_stall() {
    let (clock, pulse) = served_at_10();
    let _lost = pulse.call(0);
    for _ in 0..20 {
        clock.advance(90);
        pulse.call(0).ended(true);
        assert_eq!(pulse.stalled_ms(), 0);
    }
    assert!(!pulse.silent());
}

/// A response to a feed request is not due before its wait is over, and a call that its caller has
/// dropped awaits no response.
#[test]
fn waits_and_dropped_calls_are_not_overdue() {
    let (clock, pulse) = served_at_10();
    let feed = pulse.call(500);
    drop(pulse.call(0));
    clock.advance(500);
    assert_eq!(pulse.stalled_ms(), 0);
    clock.advance(40);
    assert_eq!(pulse.stalled_ms(), 40);
    drop(feed);
    assert_eq!(pulse.stalled_ms(), 0);
}

/// A store that refuses calls promptly is considered unavailable, too: failures count from the
/// first one, and the next served call resets them.
#[test]
fn prompt_refusals_count_from_the_first() {
    let (clock, pulse) = served_at_10();
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
