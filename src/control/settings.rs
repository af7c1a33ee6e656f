//! Settings of one instance of the control plane (JSON); they are checked before it starts.

use super::place::Placement;
use crate::options::SettingsError;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

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
    /// Share of a processor that the instance may use; at least 0.001, 1.0 by default.
    #[serde(default = "whole")]
    pub share: f64,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether one transaction of the store may write rows of several partitions.
    #[serde(default)]
    pub cross_part: bool,
    /// Address of the advice service, if there is one.
    pub advice: Option<SocketAddr>,
    /// Longest lease that a runner grants, ms; at least 1,000.
    pub hold_max_ms: u64,
    /// Time between a stop order and the kill of a task, ms; at least 1,000.
    pub grace_ms: u64,
    /// Time for which an ended job is kept and its state can be queried, ms; at least 1,000.
    pub keep_ms: u64,
    /// Placement policy: `best-fit`, or `first-fit` or `random` for comparison.
    #[serde(default)]
    pub placement: Placement,
}

fn whole() -> f64 {
    1.0
}

impl NodeSettings {
    /// [`Self::share`] in thousandths of a processor.
    pub fn millis(&self) -> u64 {
        (self.share * 1_000.0) as u64
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
        check_min("hold_max_ms", s.hold_max_ms, 1_000)?;
        check_min("grace_ms", s.grace_ms, 1_000)?;
        check_min("keep_ms", s.keep_ms, 1_000)?;
        Ok(s)
    }
}
