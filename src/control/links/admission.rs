//! The admission state as it is sent over links.

use crate::control::policy::admission::{QueueState, State, TeamState, Wait};
use crate::control::policy::run_times::Fit;
use crate::kernel::res::Resources;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A predicted wait.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WireWait {
    ms: u64,
    limit_ms: u64,
    limited: bool,
}

/// The admission state of a queue.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct QueueAdmission {
    queue: String,
    wait: WireWait,
    excess: WireWait,
    /// Logarithm of the run time of a step that is estimated at 1 ms, and its increase with that of
    /// estimates; none if estimates are right.
    fit: Option<(f64, f64)>,
    advice_ms: u64,
    /// Processor capacity, memory and accelerators of runners.
    largest: Vec<(u64, u64, u64)>,
}

/// The admission state of a team.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TeamAdmission {
    team: String,
    excess: bool,
    cap: BTreeMap<String, WireWait>,
}

impl From<Wait> for WireWait {
    fn from(w: Wait) -> Self {
        Self { ms: w.ms, limit_ms: w.limit_ms, limited: w.limited }
    }
}

impl From<WireWait> for Wait {
    fn from(w: WireWait) -> Self {
        Self { ms: w.ms, limit_ms: w.limit_ms, limited: w.limited }
    }
}

/// Encodes a state.
pub fn lists(state: &State) -> (Vec<QueueAdmission>, Vec<TeamAdmission>) {
    let queue = |(name, q): (&String, &QueueState)| QueueAdmission {
        queue: name.clone(),
        wait: q.wait.into(),
        excess: q.excess.into(),
        fit: (q.fit != Fit::default()).then_some((q.fit.offset, q.fit.slope)),
        advice_ms: q.advice_ms,
        largest: q.largest.iter().map(|r| (r.cpu, r.mem, r.acc)).collect(),
    };
    let team = |(name, t): (&String, &TeamState)| TeamAdmission {
        team: name.clone(),
        excess: t.excess,
        cap: t.cap.iter().map(|(queue, w)| (queue.clone(), (*w).into())).collect(),
    };
    (state.queues.iter().map(queue).collect(), state.teams.iter().map(team).collect())
}

/// Decodes a state.
pub fn state(queues: Vec<QueueAdmission>, teams: Vec<TeamAdmission>) -> State {
    let queue = |q: QueueAdmission| {
        let finite = |(offset, slope): &(f64, f64)| offset.is_finite() && slope.is_finite();
        let fit = q.fit.filter(finite).map(|(offset, slope)| Fit { offset, slope });
        let resources = |(cpu, mem, acc)| Resources { cpu, mem, acc };
        let state = QueueState {
            wait: q.wait.into(),
            excess: q.excess.into(),
            fit: fit.unwrap_or_default(),
            advice_ms: q.advice_ms,
            largest: q.largest.into_iter().map(resources).collect(),
        };
        (q.queue, state)
    };
    let team = |t: TeamAdmission| {
        let cap = t.cap.into_iter().map(|(queue, w)| (queue, w.into())).collect();
        (t.team, TeamState { excess: t.excess, cap })
    };
    State {
        queues: queues.into_iter().map(queue).collect(),
        teams: teams.into_iter().map(team).collect(),
    }
}
