//! Places of urgent steps: capacity reserved for single tasks of a step until the tasks that were
//! stopped for them have ended.
//!
//! A place counts as provisionally reserved on its runner, so that other steps cannot take it. While
//! its own step is planned it is released, and what the step does not use is reserved again. A place
//! ends with its time, its runner, or when its step no longer waits; a new leader has none.

use super::gang_reservations::GangReservations;
use super::plan::StepView;
use super::teams::TeamKey;
use super::{Engine, Now, RunnerKey};
use crate::control::model::StepId;
use crate::control::policy::place::Candidate;
use crate::kernel::res::Resources;
use std::collections::BTreeSet;

/// Time beyond that of a stop for which a place is reserved, ms: the end is listed, stored, and the
/// ticket renewed.
const PLACE_MARGIN_MS: u64 = 1_000;

/// Capacity for one task on a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Place {
    /// The runner.
    pub runner: RunnerKey,
    /// When it is released, local ms.
    pub until: u64,
}

/// Places of a step.
#[derive(Clone, Debug)]
pub(super) struct UrgentPlaces {
    list: Vec<Place>,
    need: Resources,
    /// Its team, and what each place counts against the team's cap.
    team: Option<TeamKey>,
    charge: Resources,
}

impl Engine {
    /// When a place that is reserved now is released, local ms.
    pub(super) fn place_end(&self, now: Now) -> u64 {
        now.mono + self.rules.stop_ms + PLACE_MARGIN_MS
    }

    /// Reserves places for a step that has none.
    pub(super) fn reserve_places(&mut self, id: StepId, list: Vec<Place>) {
        let Some(job) = self.jobs.get(&id.job).filter(|_| !list.is_empty()) else { return };
        let (need, charge, team) = (job.spec(id).demand(), job.spec(id).charge(), job.team);
        for place in &list {
            self.change_runner(place.runner, |r| r.provisional = r.provisional.add(&need));
            self.team_reserve(team, &charge);
        }
        self.urgent.places.insert(id, UrgentPlaces { list, need, team, charge });
    }

    /// Releases the places of a step and returns them.
    pub(super) fn release_places(&mut self, id: StepId) -> Vec<Place> {
        let Some(places) = self.urgent.places.remove(&id) else { return Vec::new() };
        for place in &places.list {
            self.change_runner(place.runner, |r| r.provisional = r.provisional.sub(&places.need));
            self.team_unreserve(places.team, &places.charge);
        }
        places.list
    }

    /// Adds the runners of a step's places to its candidates. They are missing if the queue needs
    /// no approval, since they had no free capacity when the round began.
    pub(super) fn add_places(
        &mut self,
        v: &StepView<'_>,
        places: &[Place],
        candidates: &mut Vec<Candidate<RunnerKey>>,
        reserved: &GangReservations,
        now: Now,
    ) {
        let mut keys: BTreeSet<RunnerKey> = places.iter().map(|p| p.runner).collect();
        candidates.iter().for_each(|c| {
            keys.remove(&c.key);
        });
        let keys: Vec<RunnerKey> = keys.into_iter().collect();
        if !keys.is_empty() {
            candidates.append(&mut self.candidates_among(v, &keys, reserved, now));
        }
    }

    /// Requests advice about runners of a step's places whose tickets have expired.
    pub(super) fn renew_places(&mut self, v: &StepView<'_>, now: Now) {
        let Some(places) = self.urgent.places.get(&v.id) else { return };
        let Some(approvals) = self.step(v.id).map(|s| &s.approvals) else { return };
        let margin = self.ticket_margin(v.id);
        let valid = |k: &RunnerKey| {
            approvals.tickets.get(k).is_some_and(|(_, end)| *end > now.mono + margin)
        };
        let runners: BTreeSet<RunnerKey> = places.list.iter().map(|p| p.runner).collect();
        let expired: Vec<RunnerKey> = runners.into_iter().filter(|k| !valid(k)).collect();
        let blocked = approvals.pending > 0 || approvals.retry_at > now.mono;
        if v.queue.approval.is_some() && !expired.is_empty() && !blocked {
            self.request_advice_for(v, &expired, now);
        }
    }

    /// Releases places that have expired, whose runner takes no new tasks, whose step no longer
    /// waits, or whose team's cap has been lowered.
    pub(super) fn expire_places(&mut self, now: Now) {
        let ends = |id: &StepId, p: &Place| {
            let usable = self.runners.get(p.runner).usable(now);
            p.until <= now.mono || !usable || self.team_overbooked(id.job)
        };
        let over = |id: &StepId, p: &UrgentPlaces| {
            !self.open.contains(id) || p.list.iter().any(|p| ends(id, p))
        };
        let due: Vec<StepId> =
            self.urgent.places.iter().filter(|(id, p)| over(id, p)).map(|(id, _)| *id).collect();
        for id in due {
            let open = self.open.contains(&id) && !self.team_overbooked(id.job);
            let mut list = self.release_places(id);
            let before = list.len();
            let runners = &self.runners;
            list.retain(|p| open && p.until > now.mono && runners.get(p.runner).usable(now));
            log::info!(step:% = id, released = before - list.len(), kept = list.len(), waits = open;
                "places of an urgent step released");
            self.reserve_places(id, list);
        }
    }
}
