//! Detection of an outage of the store and of its end, on a manual clock.

use currantgw::control::store_health::{StoreHealth, STALL_HOLD_MS};
use currantgw::kernel::clock::Clock;

fn served_at_10() -> (Clock, StoreHealth) {
    let clock = Clock::manual();
    let store_health = StoreHealth::new(clock.clone());
    clock.advance(10);
    store_health.call(0).ended(true);
    (clock, store_health)
}

#[test]
fn a_store_without_a_response_is_unavailable_after_one_second() {
    let clock = Clock::manual();
    let store_health = StoreHealth::new(clock.clone());
    clock.advance(1_001);
    assert!(store_health.unavailable());
    store_health.call(0).ended(true);
    assert!(!store_health.unavailable());
}

/// Guards against a second of submissions with an unknown outcome at the start of each outage. If
/// only timeouts of reads reveal an outage, each instance keeps sending writes until its last read
/// is stale, and none of them gets a response.
#[test]
fn an_overdue_response_shows_before_its_timeout() {
    let (clock, store_health) = served_at_10();
    let call = store_health.call(0);
    assert_eq!(store_health.stalled_ms(), 0);
    clock.advance(STALL_HOLD_MS);
    assert_eq!(store_health.stalled_ms(), STALL_HOLD_MS);
    assert!(!store_health.unavailable());
    clock.advance(600 - STALL_HOLD_MS);
    assert!(store_health.unavailable());
    call.ended(true);
    assert!(!store_health.unavailable());
    assert_eq!(store_health.stalled_ms(), 0);
}

/// One lost response among others that arrive does not mark the store as stalled.
#[test]
fn a_single_lost_response_is_no_stall() {
    let (clock, store_health) = served_at_10();
    let _lost = store_health.call(0);
    for _ in 0..20 {
        clock.advance(90);
        store_health.call(0).ended(true);
        assert_eq!(store_health.stalled_ms(), 0);
    }
    assert!(!store_health.unavailable());
}

/// A response to a feed request is not due before its wait has elapsed, and a call that its caller
/// has dropped awaits no response.
#[test]
fn waits_and_dropped_calls_are_not_overdue() {
    let (clock, store_health) = served_at_10();
    let feed = store_health.call(500);
    drop(store_health.call(0));
    clock.advance(500);
    assert_eq!(store_health.stalled_ms(), 0);
    clock.advance(40);
    assert_eq!(store_health.stalled_ms(), 40);
    drop(feed);
    assert_eq!(store_health.stalled_ms(), 0);
}

/// A store that refuses calls promptly is considered unavailable, too: failures count from the
/// first one, and the next served call resets them.
#[test]
fn prompt_refusals_count_from_the_first() {
    let (clock, store_health) = served_at_10();
    for _ in 0..6 {
        store_health.call(0).ended(false);
        clock.advance(100);
    }
    assert!(store_health.unavailable());
    store_health.call(0).ended(true);
    assert!(!store_health.unavailable());
    store_health.call(0).ended(false);
    clock.advance(100);
    assert_eq!(store_health.stalled_ms(), 100);
}

/// Guards against a leader that reports only after a second that the store refuses its calls. Polls
/// of the feed that the store had accepted before were answered meanwhile, each as if the store had
/// served the leader again.
#[test]
fn the_answer_to_a_poll_sent_before_the_refusals_does_not_end_them() {
    let (clock, store_health) = served_at_10();
    let held = [store_health.call(200), store_health.call(300)];
    clock.advance(10);
    store_health.call(0).ended(false);
    for poll in held {
        clock.advance(100);
        poll.ended(true);
        store_health.call(0).ended(false);
    }
    clock.advance(50);
    assert_eq!(store_health.failing_ms(), 250);
    store_health.call(0).ended(true);
    assert_eq!(store_health.failing_ms(), 0);
}
