//! Settings of one instance of the control plane (JSON); they are checked before it starts.

use super::access::AccessRules;
use super::model::MAX_MS;
use super::policy::features::{self, Features, Modes};
use super::policy::place::Placement;
use crate::ingress::limits::Machine;
use crate::options::SettingsError;
use crate::platform::contracts;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

/// Minimum of the bounds on configuration, ms: an instance learns of a new catalogue within some
/// 300 ms.
const MIN_CONFIG_MS: u64 = 500;

/// Smallest memory of a process, MB: an idle instance needs some 20.
const MIN_MEMORY_MB: u64 = 32;

/// Smallest number of descriptors of a process: some 200 are for files.
const MIN_FDS: u64 = 256;

/// Smallest bandwidth of a link, Mbit/s: the heartbeats of a leader alone need a part of it.
const MIN_LINK_MBPS: f64 = 0.1;

/// Longest interval between two checkpoints, s: a day.
const MAX_CHECKPOINT_S: f64 = 86_400.0;

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the instance.
    pub id: String,
    /// Its failure domain.
    pub domain: String,
    /// Listening address for callers.
    pub front: SocketAddr,
    /// Listening address of the readiness check of the load balancer.
    pub ready: SocketAddr,
    /// Listening address of the links of other instances.
    pub links: SocketAddr,
    /// Listening address of metrics and the state dump.
    pub metrics: SocketAddr,
    /// Share of a processor that the instance may use; by default a whole one.
    #[serde(default = "whole")]
    pub share: f64,
    /// Memory that the process may use, MB; at least 32.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Descriptors that the process may use; at least 256.
    #[serde(default = "default_max_fds")]
    pub max_fds: u64,
    /// Bandwidth of the instance's network link, Mbit/s; none if it is not known.
    pub link_mbps: Option<f64>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether one transaction of the store may write rows of several partitions.
    #[serde(default)]
    pub cross_part: bool,
    /// Address of the advice service, if there is one.
    pub advice: Option<SocketAddr>,
    /// Longest lease that a runner grants, ms; at least 1,000.
    pub hold_max_ms: u64,
    /// Longest time that a runner takes to stop a run, ms.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
    /// Interval between two checkpoints of a task, s; none if it is not known.
    pub checkpoint_s: Option<f64>,
    /// Time to restore a checkpoint, ms; none if it is not known.
    pub restore_ms: Option<u64>,
    /// Scheduling features.
    #[serde(default)]
    pub scheduling: Modes,
    /// Time between a stop order and the kill of a task, ms; at least 1,000.
    pub grace_ms: u64,
    /// Time for which an ended job is kept and its state can be queried, ms; at least 1,000.
    pub keep_ms: u64,
    /// Parts of the platform's interface that are in force, by its names for them.
    #[serde(default)]
    pub contracts: BTreeSet<String>,
    /// Time within which a new catalogue has to be in force, ms; at least 500.
    #[serde(default = "default_apply_ms")]
    pub config_apply_ms: u64,
    /// Additional time while the store does not serve this instance, ms.
    #[serde(default = "default_stretch_ms")]
    pub max_stretch_ms: u64,
    /// Whether keys are accepted for no longer than `revoke_ms` by an instance that cannot learn
    /// whether they were taken away. Else they are for as long as the catalogue may be old.
    #[serde(default)]
    pub revoke_strict: bool,
    /// See [`Self::revoke_strict`], ms; at least 500.
    #[serde(default = "default_revoke_ms")]
    pub revoke_ms: u64,
    /// Placement policy: `best-fit`, or `first-fit` or `random` for comparison.
    #[serde(default)]
    pub placement: Placement,
}

fn whole() -> f64 {
    1.0
}

fn default_memory_mb() -> f64 {
    256.0
}

fn default_max_fds() -> u64 {
    4_096
}

fn default_stop_ms() -> u64 {
    1_000
}

fn default_apply_ms() -> u64 {
    2_000
}

fn default_stretch_ms() -> u64 {
    5_000
}

fn default_revoke_ms() -> u64 {
    5_000
}

impl NodeSettings {
    /// [`Self::share`] in thousandths of a processor.
    pub fn millis(&self) -> u64 {
        (self.share * 1_000.0) as u64
    }

    /// What the process may use.
    pub fn machine(&self) -> Machine {
        let memory = (self.memory_mb * f64::from(1 << 20)) as usize;
        Machine { memory, fds: self.max_fds as usize }
    }

    /// Scheduling features that are on.
    pub fn features(&self) -> Features {
        let cost = |(restore_ms, checkpoint_s)| {
            features::interruption_ms(self.stop_ms, restore_ms, checkpoint_s)
        };
        self.scheduling.features(self.restore_ms.zip(self.checkpoint_s).map(cost))
    }

    /// Rules of access that follow from the bounds on configuration.
    pub fn access_rules(&self) -> AccessRules {
        let stretched = self.config_apply_ms + self.max_stretch_ms;
        AccessRules {
            teams: contracts::has_teams(&self.contracts),
            fresh_ms: self.config_apply_ms / 2,
            max_age_ms: if self.revoke_strict { self.revoke_ms.min(stretched) } else { stretched },
        }
    }

    /// Reads and checks the file at `path`.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.into(), source })?;
        Self::parse(&text)
    }

    /// Parses and checks settings.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let s: Self = serde_json::from_str(text)?;
        let check_min = |field: &str, value: u64, min: u64| match value < min {
            true => Err(SettingsError::Range { field: field.into(), value, min, max: u64::MAX }),
            false => Ok(()),
        };
        check_min("share, in thousandths", s.millis(), 1)?;
        if s.link_mbps.is_some_and(|mbps| mbps.is_nan() || mbps < MIN_LINK_MBPS) {
            let (field, value) = ("link_mbps".into(), s.link_mbps.unwrap_or(0.0) as u64);
            return Err(SettingsError::Range { field, value, min: 1, max: u64::MAX });
        }
        check_min("memory_mb", s.memory_mb as u64, MIN_MEMORY_MB)?;
        check_min("max_fds", s.max_fds, MIN_FDS)?;
        check_min("hold_max_ms", s.hold_max_ms, 1_000)?;
        check_min("grace_ms", s.grace_ms, 1_000)?;
        check_min("keep_ms", s.keep_ms, 1_000)?;
        check_min("config_apply_ms", s.config_apply_ms, MIN_CONFIG_MS)?;
        check_min("revoke_ms", s.revoke_ms, MIN_CONFIG_MS)?;
        let max = MAX_MS;
        let too_long = |(_, value): &(&str, u64)| *value > max;
        let spans = [
            ("config_apply_ms", s.config_apply_ms),
            ("max_stretch_ms", s.max_stretch_ms),
            ("revoke_ms", s.revoke_ms),
            ("stop_ms", s.stop_ms),
            ("restore_ms", s.restore_ms.unwrap_or(0)),
        ];
        if let Some((field, value)) = spans.into_iter().find(too_long) {
            return Err(SettingsError::Range { field: field.into(), value, min: 0, max });
        }
        match s.checkpoint_s {
            Some(value) if !(0.0..=MAX_CHECKPOINT_S).contains(&value) => {
                let (field, value) = ("checkpoint_s".into(), value as u64);
                Err(SettingsError::Range { field, value, min: 0, max: MAX_CHECKPOINT_S as u64 })
            }
            _ => Ok(s),
        }
    }
}
