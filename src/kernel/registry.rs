//! The plug-in registry: placement policies add themselves with `inventory::submit!` and the
//! scheduler finds the one for each class of work here.

use crate::kernel::arena::WorkerKey;
use crate::kernel::res::{Class, Resources};

/// A worker the policy may choose, with the room left on it by committed work.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The worker.
    pub key: WorkerKey,
    /// Rack number within the failure domain.
    pub rack: u32,
    /// Room not yet committed.
    pub free: Resources,
    /// Total capacity.
    pub cap: Resources,
    /// Tasks of the same job already on this worker.
    pub same_job: u32,
}

/// A placement policy: for `count` tasks of `demand` each, the workers to put them on.
///
/// It returns at most `count` workers, one per task, and never a worker where the sum of the
/// chosen tasks exceeds `free`; `None` when the policy places nothing (a gang that does not fit).
pub type Choose =
    fn(demand: &Resources, count: usize, pool: &[Candidate]) -> Option<Vec<WorkerKey>>;

/// One registered plug-in.
pub struct Policy {
    /// The class it serves.
    pub class: Class,
    /// Its name in logs and the state dump.
    pub name: &'static str,
    /// The decision itself.
    pub choose: Choose,
}

inventory::collect!(Policy);

/// The policy registered for `class`.
///
/// Panics if none registered: the plug-ins are part of this crate, so a missing one is a build
/// mistake that the first test shows.
pub fn policy(class: Class) -> &'static Policy {
    inventory::iter::<Policy>
        .into_iter()
        .find(|p| p.class == class)
        .unwrap_or_else(|| panic!("no placement policy registered for {class}"))
}
