//! Settings of one instance of the control plane (JSON), checked before it starts.

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
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where the balancer asks whether it takes new connections.
    pub ready: SocketAddr,
    /// Where other instances reach it.
    pub links: SocketAddr,
    /// Where metrics and the state dump are served.
    pub metrics: SocketAddr,
    /// Share of a processor that it may use.
    #[serde(default = "whole")]
    pub share: f64,
    /// The platform's store.
    pub store: SocketAddr,
    /// Whether one transaction of the store may take rows of several parts.
    #[serde(default)]
    pub cross_part: bool,
    /// The service that knows queues' policies, if there is one.
    pub advice: Option<SocketAddr>,
    /// Longest lease that a runner grants, ms.
    pub hold_max_ms: u64,
    /// Time between the order to stop and the kill, ms.
    pub grace_ms: u64,
    /// How long ended jobs are answered for, ms.
    pub keep_ms: u64,
    /// How runners are chosen: `best-fit`, or `first-fit` or `random` to compare with.
    #[serde(default)]
    pub placement: Placement,
}

fn whole() -> f64 {
    1.0
}

impl NodeSettings {
    /// Thousandths of a processor that it may use.
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
        let least = |field: &str, value: u64, min: u64| match value < min {
            true => Err(SettingsError::Range { field: field.into(), value, min, max: u64::MAX }),
            false => Ok(()),
        };
        least("share, in thousandths", s.millis(), 1)?;
        least("hold_max_ms", s.hold_max_ms, 1_000)?;
        least("grace_ms", s.grace_ms, 1_000)?;
        least("keep_ms", s.keep_ms, 1_000)?;
        Ok(s)
    }
}
