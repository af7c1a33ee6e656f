//! The fault plan of the platform stand-in: outages, delays, answers lost after the call took
//! effect, and broken workers. Each fault affects one interface for a period of platform time.

use crate::kernel::clock::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The interface that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Target {
    /// The table service.
    Table,
    /// The object store.
    Store,
    /// The workers' API.
    Workers,
    /// Start orders to workers, and no other calls to them.
    Starts,
    /// The instance list.
    Instances,
}

impl Target {
    /// Whether a fault on this target affects calls on `other`; a fault on the workers' API also
    /// affects start orders.
    fn covers(self, other: Self) -> bool {
        self == other || (self == Self::Workers && other == Self::Starts)
    }
}

/// The kind of a fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Every call fails with 503 and has no effect.
    Outage,
    /// Every call is delayed before it takes effect.
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
    /// The named worker cannot be reached, and its tasks go on running (target `workers`).
    Cut {
        /// Worker name.
        worker: String,
    },
    /// The named job's tasks fail on every worker (target `workers`).
    Poison {
        /// Job id.
        job: String,
    },
}

/// One fault, active from `from_ms` for `for_ms` (platform ms; `for_ms` 0 means permanently).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "WireFault", into = "WireFault")]
pub struct Fault {
    /// The interface affected.
    pub target: Target,
    /// What happens to the calls.
    pub kind: FaultKind,
    /// Start, platform ms; absent means the time at which the fault is added.
    pub from_ms: Option<Millis>,
    /// Duration, ms; 0 is permanent.
    pub for_ms: Millis,
    /// Affects only calls from this failure domain (a domain cut off from the platform); absent
    /// affects every caller.
    pub from: Option<String>,
}

/// Kinds of fault as written in a JSON plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireKind {
    /// [`FaultKind::Outage`].
    Outage,
    /// [`FaultKind::Delay`]; needs `ms`.
    Delay,
    /// [`FaultKind::LoseAnswer`].
    LoseAnswer,
    /// [`FaultKind::Broken`]; needs `worker`.
    Broken,
    /// [`FaultKind::Cut`]; needs `worker`.
    Cut,
    /// [`FaultKind::Poison`]; needs `job`.
    Poison,
}

/// A fault as written in a JSON plan: one flat object, unknown fields are refused.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WireFault {
    target: Target,
    kind: WireKind,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    worker: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    job: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    from_ms: Option<Millis>,
    #[serde(default)]
    for_ms: Millis,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    from: Option<String>,
}

/// Why a plan was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultError {
    /// This kind needs a field that is absent.
    #[error("fault of kind {kind:?} needs {field}")]
    Missing {
        /// The kind.
        kind: WireKind,
        /// The field.
        field: &'static str,
    },
}

impl TryFrom<WireFault> for Fault {
    type Error = FaultError;

    fn try_from(w: WireFault) -> Result<Self, Self::Error> {
        let kind = w.kind;
        let worker = w.worker.ok_or(FaultError::Missing { kind, field: "worker" });
        let kind = match kind {
            WireKind::Outage => FaultKind::Outage,
            WireKind::Delay => {
                FaultKind::Delay { ms: w.ms.ok_or(FaultError::Missing { kind, field: "ms" })? }
            }
            WireKind::LoseAnswer => FaultKind::LoseAnswer,
            WireKind::Broken => FaultKind::Broken { worker: worker? },
            WireKind::Cut => FaultKind::Cut { worker: worker? },
            WireKind::Poison => FaultKind::Poison {
                job: w.job.ok_or(FaultError::Missing { kind: w.kind, field: "job" })?,
            },
        };
        Ok(Self { target: w.target, kind, from_ms: w.from_ms, for_ms: w.for_ms, from: w.from })
    }
}

impl From<Fault> for WireFault {
    fn from(f: Fault) -> Self {
        let Fault { target, kind, from_ms, for_ms, from } = f;
        let (mut ms, mut worker, mut job) = (None, None, None);
        let kind = match kind {
            FaultKind::Outage => WireKind::Outage,
            FaultKind::Delay { ms: delay } => {
                ms = Some(delay);
                WireKind::Delay
            }
            FaultKind::LoseAnswer => WireKind::LoseAnswer,
            FaultKind::Broken { worker: name } => {
                worker = Some(name);
                WireKind::Broken
            }
            FaultKind::Cut { worker: name } => {
                worker = Some(name);
                WireKind::Cut
            }
            FaultKind::Poison { job: id } => {
                job = Some(id);
                WireKind::Poison
            }
        };
        Self { target, kind, ms, worker, job, from_ms, for_ms, from }
    }
}

impl Fault {
    /// A fault that starts when it is added, lasts `for_ms` (0: permanent) and affects all callers.
    pub fn now(target: Target, kind: FaultKind, for_ms: Millis) -> Self {
        Self { target, kind, from_ms: None, for_ms, from: None }
    }
}

/// The effect of the fault plan on one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effect {
    /// The call fails without effect.
    pub outage: bool,
    /// Delay before the call takes effect, ms.
    pub delay: u64,
    /// The call takes effect and its answer is lost.
    pub lose_answer: bool,
}

/// Workers and jobs that active faults name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Affected {
    /// Workers that fail everything they start.
    pub broken: BTreeSet<String>,
    /// Workers that cannot be reached.
    pub cut: BTreeSet<String>,
    /// Jobs whose tasks fail on every worker.
    pub poison: BTreeSet<String>,
}

/// The fault plan.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Plan {
    /// All faults, expired ones included.
    pub faults: Vec<Fault>,
}

impl Plan {
    fn active(f: &Fault, now: Millis) -> bool {
        let from = f.from_ms.unwrap_or(0);
        now >= from && (f.for_ms == 0 || now < from + f.for_ms)
    }

    /// The effect on a call to `target` at `now` by a process of failure domain `caller`.
    pub fn effect(&self, target: Target, caller: &str, now: Millis) -> Effect {
        let mut e = Effect::default();
        let applies = |f: &&Fault| {
            f.target.covers(target)
                && Self::active(f, now)
                && f.from.as_ref().is_none_or(|from| from == caller)
        };
        for f in self.faults.iter().filter(applies) {
            match f.kind {
                FaultKind::Outage => e.outage = true,
                FaultKind::Delay { ms } => e.delay = e.delay.max(ms),
                FaultKind::LoseAnswer => e.lose_answer = true,
                FaultKind::Broken { .. } | FaultKind::Cut { .. } | FaultKind::Poison { .. } => {}
            }
        }
        e
    }

    /// Workers and jobs named by the faults that are active at `now`.
    pub fn affected(&self, now: Millis) -> Affected {
        let mut s = Affected::default();
        for f in self.faults.iter().filter(|f| Self::active(f, now)) {
            match &f.kind {
                FaultKind::Broken { worker } => s.broken.insert(worker.clone()),
                FaultKind::Cut { worker } => s.cut.insert(worker.clone()),
                FaultKind::Poison { job } => s.poison.insert(job.clone()),
                FaultKind::Outage | FaultKind::Delay { .. } | FaultKind::LoseAnswer => continue,
            };
        }
        s
    }

    /// Whether any fault of the plan, active or not, names a worker or a job.
    pub fn names_targets(&self) -> bool {
        let names_target = |f: &Fault| match f.kind {
            FaultKind::Broken { .. } | FaultKind::Cut { .. } | FaultKind::Poison { .. } => true,
            FaultKind::Outage | FaultKind::Delay { .. } | FaultKind::LoseAnswer => false,
        };
        self.faults.iter().any(names_target)
    }

    /// Adds faults; those without a start begin at `now`.
    pub fn add(&mut self, faults: Vec<Fault>, now: Millis) {
        for mut f in faults {
            f.from_ms.get_or_insert(now);
            self.faults.push(f);
        }
    }
}
