//! Choice of the standby instances: those that cache jobs and their progress, so that they can become
//! leader at once.
//!
//! Needed for cells of tens to thousands of instances that are equally large. Each instance that
//! follows the tables reads everything that is stored, and is sent every state that the leader
//! stores. If all that could lead did so, both would grow with the number of instances, and a leader
//! on a small link would spend most of it on them. Visible as `link states` among the bytes of the
//! leader, and as reads of the tables of jobs and progress by every instance after a power loss.

use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Number of standby instances: a failure domain and two further instances may be lost together with
/// the leader, and one remains.
pub const STANDBYS: usize = 4;

/// An instance that may be chosen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applicant {
    /// Id of the instance.
    pub node: String,
    /// Its failure domain.
    pub domain: String,
    /// Thousandths of a processor that it may use.
    pub size: u64,
    /// Age of its process, ms.
    pub age: u64,
}

/// The standby instances of a leader of `size` in the failure domain `domain`. Those of `current` are
/// kept, as far as they are among the applicants, since a new one has to read the tables first. The
/// others are taken from the failure domains with fewest, where the largest go first, and of these
/// the youngest, since instances that are restarted in turn are stopped oldest first.
pub fn choose(
    current: &BTreeSet<String>,
    applicants: &[Applicant],
    domain: &str,
    size: u64,
) -> BTreeSet<String> {
    let able: Vec<&Applicant> = applicants.iter().filter(|a| a.size >= size).collect();
    let mut chosen: Vec<&Applicant> =
        able.iter().copied().filter(|a| current.contains(&a.node)).take(STANDBYS).collect();
    while chosen.len() < STANDBYS {
        let in_domain = |a: &Applicant| {
            let standbys = chosen.iter().filter(|c| c.domain == a.domain).count();
            standbys + usize::from(a.domain == domain)
        };
        let open = able.iter().copied().filter(|a| chosen.iter().all(|c| c.node != a.node));
        let Some(next) = open.min_by_key(|a| (in_domain(a), Reverse(a.size), a.age, &a.node))
        else {
            break;
        };
        chosen.push(next);
    }
    chosen.into_iter().map(|a| a.node.clone()).collect()
}
