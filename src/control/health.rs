//! Dependencies lost and regained: one log line at each change, however often calls fail.

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
    /// A dependency that works as far as is known.
    pub fn new(name: impl Into<String>, clock: Clock) -> Self {
        Self { name: name.into(), clock, lost: Mutex::default() }
    }

    /// Whether it is lost.
    pub fn lost(&self) -> bool {
        self.lost.lock().unwrap().is_some()
    }

    /// Its name in logs.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// A call succeeded.
    pub fn works(&self) {
        if let Some(loss) = self.lost.lock().unwrap().take() {
            let ms = self.clock.mono().saturating_sub(loss.since);
            log::info!(dependency = self.name, lost_ms = ms, failed_calls = loss.calls;
                "dependency regained");
        }
    }

    /// A call failed.
    pub fn fails(&self, why: &dyn std::fmt::Display) {
        metrics::counter!("control_failed_calls", "dependency" => self.name.clone()).increment(1);
        let mut lost = self.lost.lock().unwrap();
        match lost.as_mut() {
            Some(loss) => loss.calls += 1,
            None => {
                *lost = Some(Loss { since: self.clock.mono(), calls: 1 });
                log::warn!(dependency = self.name, why:% = why; "dependency lost");
            }
        }
    }

    /// Notes how a call ended.
    pub fn note<T, E: std::fmt::Display>(&self, res: &Result<T, E>) {
        match res {
            Ok(_) => self.works(),
            Err(e) => self.fails(e),
        }
    }
}
