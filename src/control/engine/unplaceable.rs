//! Waiting steps that cannot be placed although no other work is in the way: no runner could hold one
//! of their tasks, all runners together could not hold a gang, or their queue is not known.
//!
//! Such a step stays open, since runners and queues may be added, and is checked in every planning
//! pass. Until then it takes no part in decisions about others: it reserves nothing, requests no
//! advice, and does not count as demand that is going to be served.

use super::plan::StepView;
use super::{Engine, Runner};
use crate::control::model::StepId;
use crate::control::policy::place;
use std::collections::BTreeMap;

/// Maximum number of steps that a planning pass logs one by one; a last line has their number.
const MAX_LOGGED: usize = 8;

/// Why a step cannot be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// No catalogue that is known has its queue.
    UnknownQueue,
    /// No runner that may run its tasks is large enough.
    NoRunner,
    /// The runners that may run its tasks could not hold all members of the gang at once.
    GangTooLarge,
}

impl Reason {
    fn name(self) -> &'static str {
        match self {
            Self::UnknownQueue => "unknown queue",
            Self::NoRunner => "no suitable runner",
            Self::GangTooLarge => "gang too large for its runners",
        }
    }
}

/// Open steps that could not be placed when they were last planned.
#[derive(Debug, Default)]
pub(super) struct Unplaceable {
    steps: BTreeMap<StepId, Reason>,
    /// Number of steps that became unplaceable, or placeable again, in this planning pass.
    changes: usize,
}

impl Unplaceable {
    /// Counts a change, and returns whether it is to be logged.
    fn count_change(&mut self) -> bool {
        self.changes += 1;
        self.changes <= MAX_LOGGED
    }
}

impl Engine {
    /// Whether a step could not be placed when it was last planned.
    pub(super) fn is_unplaceable(&self, id: StepId) -> bool {
        self.unplaceable.steps.contains_key(&id)
    }

    /// Number of waiting steps that cannot be placed.
    pub fn unplaceable_steps(&self) -> usize {
        self.unplaceable.steps.len()
    }

    /// Begins a planning pass over `ranked` of the open steps; the others have no known queue.
    pub(super) fn begin_unplaceable_pass(&mut self, ranked: usize) {
        let changes = std::mem::take(&mut self.unplaceable.changes);
        if changes > MAX_LOGGED {
            log::warn!(changes, steps = self.unplaceable.steps.len();
                "steps that cannot be placed changed");
        }
        let (open, deferral) = (&self.open, &self.deferral);
        self.unplaceable.steps.retain(|id, _| open.contains(id) || deferral.contains(*id));
        if ranked < self.open.len() && self.cat.version > 0 {
            let unknown = |id: &StepId| {
                let job = self.jobs.get(&id.job);
                job.is_some_and(|j| !self.cat.queues.contains_key(&j.row.queue))
            };
            let ids: Vec<StepId> = self.open.iter().copied().filter(unknown).collect();
            ids.into_iter().for_each(|id| self.record_unplaceable(id, Reason::UnknownQueue));
        }
        metrics::gauge!("control_unplaceable_steps").set(self.unplaceable.steps.len() as f64);
    }

    /// Why `count` tasks of a step could not be placed at once even if all tasks ended that do not
    /// last; `None` if they could, or if the service has no runners at present.
    pub(super) fn unplaceable_reason(&mut self, v: &StepView<'_>, count: u64) -> Option<Reason> {
        let listed = |r: &Runner| r.listed && !r.replaced;
        if self.drained_slots(v, count, listed) >= count {
            return None;
        }
        let serves = |r: &Runner| r.entry.as_ref().is_some_and(|e| e.service == v.queue.service);
        if !self.runners.iter().any(|(_, r)| listed(r) && serves(r)) {
            return None;
        }
        Some(match v.step.gang {
            true => Reason::GangTooLarge,
            false => Reason::NoRunner,
        })
    }

    /// Number of tasks of a step, `wanted` at most, that those runners could hold at once which
    /// `counts` selects and the queue's policy has not denied, without their tasks that do not last.
    pub(super) fn drained_slots(
        &mut self,
        v: &StepView<'_>,
        wanted: u64,
        counts: impl Fn(&Runner) -> bool,
    ) -> u64 {
        let denied = self.step(v.id).map(|s| &s.approvals.denied);
        let limit = if v.step.per_runner > 0 { v.step.per_runner } else { u32::MAX };
        let need = v.step.demand();
        let (mut slots, mut checked) = (0, 0);
        for (k, r) in self.runners.iter() {
            checked += 1;
            let suitable = counts(r) && r.entry.as_ref().is_some_and(|e| v.runs_on(e));
            if !suitable || denied.is_some_and(|d| d.contains(&k)) {
                continue;
            }
            slots += u64::from(place::fitting(&r.drained(), &need).min(limit));
            if slots >= wanted {
                break;
            }
        }
        self.counts.looks += checked;
        slots.min(wanted)
    }

    /// Records that a step cannot be placed.
    pub(super) fn record_unplaceable(&mut self, id: StepId, why: Reason) {
        if self.unplaceable.steps.insert(id, why) == Some(why) || !self.unplaceable.count_change() {
            return;
        }
        let Some(job) = self.jobs.get(&id.job) else { return };
        let need = job.spec(id).demand();
        let service = self.cat.queues.get(&job.row.queue).map(|q| q.service.as_str());
        log::warn!(step:% = id, queue = job.row.queue, service:? = service,
            tasks = job.spec(id).count, cpu = need.cpu, mem = need.mem, acc = need.acc,
            label = job.spec(id).label, cat = self.cat.version, why = why.name();
            "step cannot be placed");
    }

    /// Records that a step can be placed once there is enough free capacity.
    pub(super) fn record_placeable(&mut self, id: StepId) {
        if self.unplaceable.steps.remove(&id).is_some() && self.unplaceable.count_change() {
            log::info!(step:% = id; "step can be placed again");
        }
    }
}
