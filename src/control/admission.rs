//! The admission state of an instance: what the leader has sent last, while it is recent.

use super::policy::admission::State;
use crate::kernel::clock::Clock;
use std::sync::{Arc, Mutex};

/// A state is discarded this long after it was received, ms: the leader sends one a second, and a
/// stalled leader must not have jobs rejected for capacity that has long become free.
const MAX_AGE_MS: u64 = 1_500;

/// The state that this instance decides on submissions by. Set by the link to the leader, or by the
/// leader of this process.
pub struct AdmissionView {
    /// Whether states are used at all.
    enabled: bool,
    /// The last state, and when it was received, local ms.
    last: Mutex<Option<(u64, Arc<State>)>>,
    clock: Clock,
}

impl AdmissionView {
    /// No state yet; none is ever used unless `enabled`.
    pub fn new(enabled: bool, clock: Clock) -> Self {
        Self { enabled, last: Mutex::default(), clock }
    }

    /// Replaces the state.
    pub fn set(&self, state: Arc<State>) {
        if self.enabled {
            *self.last.lock().unwrap() = Some((self.clock.mono(), state));
        }
    }

    /// Discards the state: its leader may have been replaced, or cannot reach the store.
    pub fn clear(&self) {
        *self.last.lock().unwrap() = None;
    }

    /// The state, unless it is too old or there is none.
    pub fn current(&self) -> Option<Arc<State>> {
        let last = self.last.lock().unwrap();
        let (at, state) = last.as_ref()?;
        (self.clock.mono() <= at + MAX_AGE_MS).then(|| state.clone())
    }

    /// Names of the queues that are limited at present, for the state dump; `None` without a state.
    pub fn limited(&self) -> Option<Vec<String>> {
        Some(self.current()?.limited().map(str::to_string).collect())
    }
}
