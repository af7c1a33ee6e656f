//! The list of live and leaving instances (backend servers) of the platform stand-in; readers see
//! each change with a lag.

use crate::kernel::clock::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state of one instance as the list reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Serving.
    Live,
    /// Being removed: no new requests may be sent to it.
    Leaving,
}

/// The list; each change has a time stamp, so that readers see it only after the lag.
#[derive(Debug, Default)]
pub struct Instances {
    changes: BTreeMap<String, Vec<(Millis, InstanceState)>>,
}

impl Instances {
    /// Adds `name` as live since time 0; readers see it without the lag.
    pub fn add(&mut self, name: &str) {
        self.changes.insert(name.to_string(), vec![(0, InstanceState::Live)]);
    }

    /// Records a change at `now`; false for an unknown name.
    pub fn set(&mut self, name: &str, state: InstanceState, now: Millis) -> bool {
        let Some(c) = self.changes.get_mut(name) else { return false };
        c.push((now, state));
        true
    }

    /// The list as a reader sees it at `now`: each change is visible `lag` ms after it was made.
    pub fn view(&self, now: Millis, lag: Millis) -> BTreeMap<String, InstanceState> {
        self.changes
            .iter()
            .filter_map(|(name, c)| {
                let visible = c.iter().rev().find(|(at, _)| *at == 0 || at + lag <= now)?;
                Some((name.clone(), visible.1))
            })
            .collect()
    }
}
