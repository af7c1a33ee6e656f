//! Access of callers: whether a request may be handled, on whose behalf, and which jobs it may see.
//! No I/O.
//!
//! A key that the catalogue does not have is refused, but only by a catalogue that is recent enough:
//! the key may have been added a moment ago. A key that the catalogue has is accepted, but not
//! forever: it may have been taken away while this instance could read no newer catalogue.

use super::model::Queue;
use super::rows::JobRow;
use super::teams::{ApiKey, Teams};
use serde::{Deserialize, Serialize};

/// Maximum age of a catalogue by which a key is refused without another read, ms: somewhat less
/// than a poll of the catalogue takes, so that wrong keys cause two reads a second at most.
const REFUSAL_AGE_MS: u64 = 500;

/// Settings of access.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccessRules {
    /// Whether calls need a key.
    pub teams: bool,
    /// A known key is accepted without another read while the catalogue is no older than this, ms.
    pub fresh_ms: u64,
    /// No key is accepted by a catalogue that is older than this, ms.
    pub max_age_ms: u64,
}

/// On whose behalf a request is handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// The deployment has no teams: all jobs are visible.
    Anyone,
    /// A team: its jobs, and those that belong to no team, are visible.
    Team(String),
    /// A call on an open queue: the jobs of the queue are visible. It belongs to a team if it
    /// carries a key.
    Open {
        /// Name of the queue.
        queue: String,
        /// The team of its key.
        team: Option<String>,
    },
}

impl Caller {
    /// The team that a job of this caller belongs to.
    pub fn team(&self) -> Option<&str> {
        match self {
            Self::Anyone => None,
            Self::Team(name) => Some(name),
            Self::Open { team, .. } => team.as_deref(),
        }
    }

    /// Whether the caller may see and cancel a job.
    pub fn may_see(&self, job: &JobRow) -> bool {
        let owns = |team: &str| job.team.as_deref().is_none_or(|t| t == team);
        match self {
            Self::Anyone => true,
            Self::Team(name) => owns(name),
            Self::Open { queue, team } => {
                job.queue == *queue || team.as_deref().map_or(job.team.is_none(), owns)
            }
        }
    }
}

/// Why a call is refused with the answer that it is not authorised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// It carries no key.
    #[error("no key")]
    NoKey,
    /// Its key belongs to no team.
    #[error("unknown key")]
    UnknownKey,
}

/// What to do with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// Handle it for this caller.
    Granted(Caller),
    /// Refuse it: it is not authorised.
    Denied(Denied),
    /// Read the catalogue again and decide anew.
    Reread,
    /// Refuse it: the catalogue is too old to tell.
    Stale,
}

/// Decides on a call on `queue` with `key` by a catalogue whose age is `age` ms, none if it is not
/// known. `reread` is whether the catalogue was read again for this call, or could not be.
pub fn decide(
    rules: &AccessRules,
    queue: &Queue,
    teams: &Teams,
    key: Option<&ApiKey>,
    age: Option<u64>,
    reread: bool,
) -> Access {
    if !rules.teams {
        return Access::Granted(Caller::Anyone);
    }
    let team = key.and_then(|k| teams.of_key(k)).map(|t| t.name.clone());
    let granted = match (queue.open, team) {
        (true, team) => Some(Caller::Open { queue: queue.name.clone(), team }),
        (false, Some(name)) => Some(Caller::Team(name)),
        (false, None) => None,
    };
    let fresh_ms = if granted.is_some() { rules.fresh_ms } else { REFUSAL_AGE_MS };
    let is_fresh = age.is_some_and(|ms| ms <= fresh_ms);
    match granted {
        _ if !is_fresh && !reread => Access::Reread,
        Some(caller) if age.is_some_and(|ms| ms <= rules.max_age_ms) => Access::Granted(caller),
        Some(_) => Access::Stale,
        None if is_fresh => Access::Denied(match key {
            Some(_) => Denied::UnknownKey,
            None => Denied::NoKey,
        }),
        None => Access::Stale,
    }
}
