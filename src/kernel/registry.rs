//! The registry of placement policies. Each policy registers itself with `inventory::submit!`, and
//! the scheduler looks up the policy for each class of work here.

use crate::kernel::arena::WorkerKey;
use crate::kernel::res::{Class, Resources};

/// A worker that a policy may choose, with its free capacity.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The worker.
    pub key: WorkerKey,
    /// Rack number within the failure domain.
    pub rack: u32,
    /// Capacity that is not committed.
    pub free: Resources,
    /// Total capacity.
    pub cap: Resources,
    /// Tasks of the same job already on this worker.
    pub same_job: u32,
}

/// A placement policy: chooses workers for `count` tasks of `demand` each.
///
/// It returns at most `count` workers, one per task; the tasks chosen for a worker must fit in its
/// `free` together. `None` if the policy places no task, as for a gang that does not fit.
pub type Choose =
    fn(demand: &Resources, count: usize, pool: &[Candidate]) -> Option<Vec<WorkerKey>>;

/// A registered placement policy.
pub struct Policy {
    /// The class of work that it places.
    pub class: Class,
    /// Name in logs and the state dump.
    pub name: &'static str,
    /// The placement function.
    pub choose: Choose,
}

inventory::collect!(Policy);

/// The policy registered for `class`.
///
/// Panics if there is none: the policies are part of this crate, so a missing one is a
/// programming error that any test run shows.
pub fn policy(class: Class) -> &'static Policy {
    inventory::iter::<Policy>
        .into_iter()
        .find(|p| p.class == class)
        .unwrap_or_else(|| panic!("no placement policy registered for {class}"))
}
