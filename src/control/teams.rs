//! Teams of callers: the keys that they call with, their weight, and what each may have running.
//! No I/O.

use super::model::{JobSpec, MAX_NEED};
use crate::kernel::res::Resources;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Mutex;

/// Largest accepted weight, jobs a second: far beyond what a cell can start.
pub const MAX_WEIGHT: f64 = 1e9;

/// Largest accepted cap of a resource: a million of the largest tasks.
pub const MAX_CAP: u64 = MAX_NEED << 20;

/// Maximum length of a key, bytes: of a header that a caller may send.
pub const MAX_KEY: usize = 200;

/// Maximum number of removed keys that are remembered, so that the refusal of one can be explained.
const MAX_REMOVED: usize = 1_000;

/// Key that a caller proves its team with. It is a secret: it has no `Display`, and `Debug` hides
/// it.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApiKey(String);

/// Error: a key that is empty or longer than [`MAX_KEY`] bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key must have 1 to {MAX_KEY} bytes")]
pub struct BadKey;

impl TryFrom<String> for ApiKey {
    type Error = BadKey;

    fn try_from(text: String) -> Result<Self, BadKey> {
        match (1..=MAX_KEY).contains(&text.len()) {
            true => Ok(Self(text)),
            false => Err(BadKey),
        }
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(hidden)")
    }
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Its share when capacity is short, jobs a second.
    pub weight: f64,
    /// Maximum of each resource that it may have running on all runners; 0 for no limit.
    pub cap: Resources,
}

/// `amount` in each resource that `cap` limits, and the largest value in the others.
pub fn limit(cap: &Resources, amount: &Resources) -> Resources {
    let limited = |cap: u64, amount: u64| if cap == 0 { u64::MAX } else { amount };
    Resources {
        cpu: limited(cap.cpu, amount.cpu),
        mem: limited(cap.mem, amount.mem),
        acc: limited(cap.acc, amount.acc),
    }
}

impl Team {
    /// Index of the first step of a job that can never run under the team's cap: a task or a gang
    /// that is larger.
    pub fn step_beyond_cap(&self, job: &JobSpec) -> Option<usize> {
        let cap = limit(&self.cap, &self.cap);
        job.steps.iter().position(|step| !step.charge_at_once().fits(&cap))
    }
}

/// Error: why a team, or one of its keys, is ignored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadTeam {
    /// A field is missing, of another type or out of bounds.
    #[error("cannot be decoded: {0}")]
    Unreadable(String),
    /// It has no name.
    #[error("name is empty")]
    Name,
    /// An earlier team has the same name.
    #[error("duplicate team name {0:?}")]
    Duplicate(String),
    /// A weight that is negative or beyond [`MAX_WEIGHT`].
    #[error("weight of team {0:?} is not between 0 and {MAX_WEIGHT}")]
    Weight(String),
    /// A cap beyond [`MAX_CAP`].
    #[error("cap of team {0:?} is beyond {MAX_CAP}")]
    Cap(String),
    /// A key that is empty or too long; the team keeps its other keys.
    #[error("a key of team {0:?} has not 1 to {MAX_KEY} bytes")]
    Key(String),
    /// A key that an earlier team has; the earlier team keeps it.
    #[error("a key of team {0:?} is a key of team {1:?}")]
    SharedKey(String, String),
}

/// The teams of a catalogue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Teams {
    teams: BTreeMap<String, Team>,
    /// Name of the team of each key.
    keys: BTreeMap<ApiKey, String>,
}

impl Teams {
    /// Adds a team with its keys. A team that is invalid is not added, and does not affect the
    /// others; of a valid one only its invalid keys are left out. Returns what was left out.
    pub fn add(&mut self, team: Team, keys: Vec<String>) -> Vec<BadTeam> {
        let name = team.name.clone();
        let bad = if name.is_empty() {
            Some(BadTeam::Name)
        } else if self.teams.contains_key(&name) {
            Some(BadTeam::Duplicate(name.clone()))
        } else if !(0.0..=MAX_WEIGHT).contains(&team.weight) {
            Some(BadTeam::Weight(name.clone()))
        } else if team.cap.cpu.max(team.cap.mem).max(team.cap.acc) > MAX_CAP {
            Some(BadTeam::Cap(name.clone()))
        } else {
            None
        };
        if let Some(bad) = bad {
            return vec![bad];
        }
        self.teams.insert(name.clone(), team);
        keys.into_iter().filter_map(|key| self.add_key(&name, key).err()).collect()
    }

    fn add_key(&mut self, name: &str, key: String) -> Result<(), BadTeam> {
        let key = ApiKey::try_from(key).map_err(|BadKey| BadTeam::Key(name.to_string()))?;
        let holder = self.keys.entry(key).or_insert_with(|| name.to_string());
        match holder == name {
            true => Ok(()),
            false => Err(BadTeam::SharedKey(name.to_string(), holder.clone())),
        }
    }

    /// The team of a key.
    pub fn of_key(&self, key: &ApiKey) -> Option<&Team> {
        self.teams.get(self.keys.get(key)?)
    }

    /// A team by its name.
    pub fn get(&self, name: &str) -> Option<&Team> {
        self.teams.get(name)
    }

    /// All teams, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Team> {
        self.teams.values()
    }

    /// Number of teams.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Whether there are no teams.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Number of keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }
}

/// Maximum number of teams with metrics of their own.
const MAX_LABELS: usize = 64;

/// Teams with metrics of their own: the first ones of this process.
static LABELS: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

/// Whether a team has metrics of its own. The number of those that have is bounded.
pub fn has_label(team: &str) -> bool {
    let mut labels = LABELS.lock().unwrap();
    labels.contains(team) || (labels.len() < MAX_LABELS && labels.insert(team.to_string()))
}

/// Keys that a newer catalogue no longer has: their team, and the version that removed them. Used
/// to explain refusals only.
#[derive(Clone, Debug, Default)]
pub struct RemovedKeys(BTreeMap<ApiKey, (String, u64)>);

impl RemovedKeys {
    /// Records the keys of `last` that `next`, of the given version, no longer has.
    pub fn record(&mut self, last: &Teams, next: &Teams, version: u64) {
        self.0.retain(|key, _| !next.keys.contains_key(key));
        for (key, team) in last.keys.iter().filter(|(key, _)| !next.keys.contains_key(key)) {
            if self.0.len() < MAX_REMOVED {
                self.0.insert(key.clone(), (team.clone(), version));
            }
        }
    }

    /// The team that had a removed key, and the version that removed it.
    pub fn get(&self, key: &ApiKey) -> Option<(&str, u64)> {
        self.0.get(key).map(|(team, version)| (team.as_str(), *version))
    }
}
