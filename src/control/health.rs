//! Availability of dependencies: one log line when a dependency is lost and one when it is
//! regained, however many calls fail in between.

use crate::kernel::clock::Clock;
use std::sync::Mutex;

/// A dependency of this process: the store, a runner, the advice service, a feed.
#[derive(Debug)]
pub struct Dependency {
    name: String,
    clock: Clock,
    lost: Mutex<Option<Loss>>,
}

#[derive(Clone, Copy, Debug)]
struct Loss {
    since: u64,
    calls: u64,
}

impl Dependency {
    /// A dependency that counts as available until a call fails.
    pub fn new(name: impl Into<String>, clock: Clock) -> Self {
        Self { name: name.into(), clock, lost: Mutex::default() }
    }

    /// Whether the last call failed.
    pub fn lost(&self) -> bool {
        self.lost.lock().unwrap().is_some()
    }

    /// Its name in logs.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Records a successful call; logs the recovery if the dependency was lost.
    pub fn record_success(&self) {
        if let Some(loss) = self.lost.lock().unwrap().take() {
            let ms = self.clock.mono().saturating_sub(loss.since);
            log::info!(dependency = self.name, lost_ms = ms, failed_calls = loss.calls;
                "dependency regained");
        }
    }

    /// Records a failed call; logs the loss if the dependency was available.
    pub fn record_failure(&self, error: &dyn std::fmt::Display) {
        metrics::counter!("control_failed_calls", "dependency" => self.name.clone()).increment(1);
        let mut lost = self.lost.lock().unwrap();
        match lost.as_mut() {
            Some(loss) => loss.calls += 1,
            None => {
                *lost = Some(Loss { since: self.clock.mono(), calls: 1 });
                log::warn!(dependency = self.name, why:% = error; "dependency lost");
            }
        }
    }

    /// Records the outcome of a call.
    pub fn record<T, E: std::fmt::Display>(&self, res: &Result<T, E>) {
        match res {
            Ok(_) => self.record_success(),
            Err(e) => self.record_failure(e),
        }
    }
}
