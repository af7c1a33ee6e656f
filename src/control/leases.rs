//! Leases on runners: how long they last, and when those of earlier leaders have expired.
//!
//! A leader extends a lease to `lease_ms` after it sent the last heartbeat that the store has
//! acknowledged. While it cannot store heartbeats it extends no lease, however many runners it
//! reaches. So its successor, which has seen the last heartbeat, knows when the leases on the runners
//! that it cannot reach itself have expired.

use super::leader::STEP_DOWN_MS;
use super::settings::NodeSettings;

/// Length of a lease, ms: longer than a takeover and most outages of the store and of a runner's link.
const LEASE_MS: u64 = 8_000;

/// Slowest rate of a runner's clock, per mille of the local clock's: the platform's bound is 2 %.
pub const SLOWEST_CLOCK_PERMILLE: u64 = 980;

/// Margin added to the computed end of a lease, ms: several times the error of the estimated clock
/// between two polls (2 % of about a second) and the time that an answer travels.
pub const LEASE_MARGIN_MS: u64 = 200;

/// Length of a lease within the platform's maximum, ms.
pub fn lease_ms(settings: &NodeSettings) -> u64 {
    LEASE_MS.min(settings.hold_max_ms)
}

/// Time from the last heartbeat of a leader until its leases have expired by the slowest clock, ms.
pub fn expiry_ms(lease_ms: u64) -> u64 {
    (lease_ms * 1000).div_ceil(SLOWEST_CLOCK_PERMILLE) + LEASE_MARGIN_MS
}

/// As [`expiry_ms`], for a leader of a version that extended leases without heartbeats until it
/// stepped down.
pub fn old_version_expiry_ms(lease_ms: u64) -> u64 {
    STEP_DOWN_MS + expiry_ms(lease_ms)
}
