//! Resources, as declared by tasks and offered by workers, and the classes of work.

use serde::{Deserialize, Serialize};
use std::fmt;

/// An amount of each resource.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processors, in thousandths of a core (1000 = one core).
    pub cpu: u64,
    /// Memory in MiB.
    pub mem: u64,
    /// Accelerators, whole devices.
    #[serde(default)]
    pub acc: u64,
}

impl Resources {
    /// No resources.
    pub const ZERO: Self = Self { cpu: 0, mem: 0, acc: 0 };

    /// Whether `self` fits in `free` in every dimension.
    pub fn fits(&self, free: &Self) -> bool {
        self.cpu <= free.cpu && self.mem <= free.mem && self.acc <= free.acc
    }

    /// The sum, saturating.
    pub fn add(&self, o: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(o.cpu),
            mem: self.mem.saturating_add(o.mem),
            acc: self.acc.saturating_add(o.acc),
        }
    }

    /// The difference, not below zero in any dimension.
    pub fn sub(&self, o: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(o.cpu),
            mem: self.mem.saturating_sub(o.mem),
            acc: self.acc.saturating_sub(o.acc),
        }
    }

    /// `self` times `n`, saturating.
    pub fn times(&self, n: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(n),
            mem: self.mem.saturating_mul(n),
            acc: self.acc.saturating_mul(n),
        }
    }

    /// Sort key of best-fit placement: the largest share of `cap` that `self`, the free capacity,
    /// has in any dimension, in thousandths.
    pub fn slack(&self, cap: &Self) -> u64 {
        let share = |a: u64, c: u64| (a * 1000).checked_div(c).unwrap_or(0);
        share(self.cpu, cap.cpu).max(share(self.mem, cap.mem)).max(share(self.acc, cap.acc))
    }
}

/// The classes of work; each has its own placement policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Must start within seconds, such as medics' requests and background work of position lookups.
    Urgent,
    /// Long-running; its tasks are spread over workers and racks.
    Service,
    /// Has a deadline; is packed tightly and may be queued overnight.
    Batch,
    /// All its tasks are started together, or none.
    Gang,
}

impl Class {
    /// All classes, highest priority first.
    pub const ALL: [Self; 4] = [Self::Urgent, Self::Service, Self::Gang, Self::Batch];
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = match self {
            Self::Urgent => "urgent",
            Self::Service => "service",
            Self::Batch => "batch",
            Self::Gang => "gang",
        };
        f.write_str(s)
    }
}
