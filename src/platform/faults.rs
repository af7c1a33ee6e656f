//! The fault plan of the platform stand-in: outages, delays, answers lost after the write took
//! effect, and broken workers, each on one interface for a stretch of platform time.

use crate::kernel::clock::Millis;
use serde::{Deserialize, Serialize};

/// The interface a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Target {
    /// The table service.
    Table,
    /// The object store.
    Store,
    /// The workers' API.
    Workers,
    /// The instance list.
    Instances,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FaultKind {
    /// Every call fails with 503 and has no effect.
    Outage,
    /// Every call waits this long first.
    Delay {
        /// Added latency in ms.
        ms: u64,
    },
    /// Every call takes effect, then its answer is lost (503).
    LoseAnswer,
    /// The named worker fails every task it starts (target `workers`).
    Broken {
        /// Worker name.
        worker: String,
    },
}

/// One fault, active from `from_ms` for `for_ms` (platform ms; `for_ms` 0 means for good).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Where.
    pub target: Target,
    /// What.
    #[serde(flatten)]
    pub kind: FaultKind,
    /// Start, platform ms; absent means now.
    #[serde(default)]
    pub from_ms: Option<Millis>,
    /// Length in ms; 0 for good.
    #[serde(default)]
    pub for_ms: Millis,
}

/// What the plan does to one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effect {
    /// Fail the call without effect.
    pub outage: bool,
    /// Wait first, ms.
    pub delay: u64,
    /// Apply, then fail the answer.
    pub lose: bool,
}

/// The faults in force.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Every fault, past ones included.
    pub faults: Vec<Fault>,
}

impl Plan {
    fn active(f: &Fault, now: Millis) -> bool {
        let from = f.from_ms.unwrap_or(0);
        now >= from && (f.for_ms == 0 || now < from + f.for_ms)
    }

    /// The effect on a call to `target` at `now`.
    pub fn effect(&self, target: Target, now: Millis) -> Effect {
        let mut e = Effect::default();
        for f in self.faults.iter().filter(|f| f.target == target && Self::active(f, now)) {
            match f.kind {
                FaultKind::Outage => e.outage = true,
                FaultKind::Delay { ms } => e.delay = e.delay.max(ms),
                FaultKind::LoseAnswer => e.lose = true,
                FaultKind::Broken { .. } => {}
            }
        }
        e
    }

    /// Workers broken at `now`.
    pub fn broken(&self, now: Millis) -> Vec<String> {
        self.faults
            .iter()
            .filter(|f| Self::active(f, now))
            .filter_map(|f| match &f.kind {
                FaultKind::Broken { worker } => Some(worker.clone()),
                _ => None,
            })
            .collect()
    }

    /// Adds faults; those without a start begin at `now`.
    pub fn add(&mut self, faults: Vec<Fault>, now: Millis) {
        for mut f in faults {
            f.from_ms.get_or_insert(now);
            self.faults.push(f);
        }
    }
}
