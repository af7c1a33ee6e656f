//! Placement of the waiting tasks of a step, and of gangs as a whole: with free capacity, on capacity
//! that is reserved for the step, or by preemption; advice is requested where it is missing.

use super::gang_reservations::GangReservations;
use super::plan::StepView;
use super::runs::{Run, Stage};
use super::urgent_places::Place;
use super::{Engine, Now, RunnerKey, StepRun, Task};
use crate::control::model::{StepId, TaskId};
use crate::control::policy::place::{self, Candidate, PlacementRequest};
use crate::control::policy::queue::Rank;
use std::collections::BTreeSet;

impl Engine {
    /// Processor capacity of the service that non-urgent steps may use now.
    fn non_urgent_capacity(&mut self, v: &StepView<'_>, now: Now) -> u64 {
        let (free, total) = self.service_capacity(&v.queue.service, now);
        let headroom = self.headroom_permille(&v.queue.service, total, now);
        free.saturating_sub(total * headroom / 1000)
    }

    fn placement_request(&self, v: &StepView<'_>) -> PlacementRequest {
        let rack = self.racks.get(&v.step.rack).copied();
        PlacementRequest {
            need: v.step.demand(),
            rack,
            one_rack: v.step.one_rack,
            suspect: false,
            apart: false,
            policy: self.rules.placement,
            seed: v.id.job.0 ^ self.counts.rounds,
        }
    }

    pub(super) fn place_tasks(
        &mut self,
        v: &StepView<'_>,
        rank: Rank,
        reserved: &GangReservations,
        now: Now,
    ) {
        // Nothing can be placed or requested, as for most steps when thousands are waiting.
        if self.advice_blocked(v.id, now) && self.needs_ticket(v, now) {
            return;
        }
        let mut places = self.release_places(v.id);
        let missing = self.place_free(v, &mut places, reserved, now);
        let missing = self.secure_places(v, rank, places, missing, reserved, now);
        self.renew_places(v, now);
        if missing == 0 {
            return;
        }
        match self.unplaceable_reason(v, 1) {
            Some(why) => self.record_unplaceable(v.id, why),
            None => {
                self.record_placeable(v.id);
                self.request_advice(v, reserved, missing, now);
            }
        }
    }

    /// Places the waiting tasks for which there is free capacity, on the step's own `places` as
    /// well, and removes those that it uses. Returns how many more tasks need capacity.
    fn place_free(
        &mut self,
        v: &StepView<'_>,
        places: &mut Vec<Place>,
        reserved: &GangReservations,
        now: Now,
    ) -> usize {
        let Some(allowed) = self.tasks_allowed(v, reserved) else { return 0 };
        let mut candidates = self.candidates(v, reserved, now);
        self.add_places(v, places, &mut candidates, reserved, now);
        let mut approved = self.with_valid_ticket(v, &candidates, now);
        let mut budget = if v.non_urgent { self.non_urgent_capacity(v, now) } else { u64::MAX };
        budget = budget.min(self.release_budget(v, now).unwrap_or(u64::MAX));
        let request = self.placement_request(v);
        let mut waiting: Vec<TaskId> = self.waiting_ids(v.id, now);
        waiting.truncate(allowed);
        let mut missing = waiting.len();
        for id in waiting {
            if request.need.cpu > budget {
                return 0;
            }
            let avoid = self.runners_to_avoid([id], &approved);
            let Some(task) = self.task(id) else { continue };
            let (suspect, apart) = (task.losses.suspect(), task.losses.crash_loop());
            let request = PlacementRequest { suspect, apart, ..request.clone() };
            let chosen = place::place_one(&mut approved, &request, &avoid, task.fails > 0);
            let Some(k) = chosen else { break };
            budget -= request.need.cpu;
            missing -= 1;
            if let Some(used) = places.iter().position(|p| p.runner == k) {
                places.remove(used);
            }
            self.decide_placement(v, id, k, now);
        }
        missing
    }

    pub(super) fn place_gang(
        &mut self,
        v: &StepView<'_>,
        rank: Rank,
        reserved: &mut GangReservations,
        now: Now,
    ) {
        let count = self.step(v.id).map_or(0, |s| s.tasks.len());
        // A gang is restarted as a whole, once no run of its last attempt is left.
        if v.waiting < count {
            return;
        }
        if self.step(v.id).is_some_and(|s| s.tasks.iter().any(|t| t.restart_delayed(now))) {
            return;
        }
        self.forget_lapsed(v.id, now);
        if !self.may_retry(v.id, now) {
            return;
        }
        if self.provisional.contains_key(&v.id) {
            return self.place_reserved(v, now);
        }
        if self.release_budget(v, now) == Some(0) || !self.gang_allowed(v, count, reserved) {
            return;
        }
        // Nothing can be placed, requested or reserved.
        if self.advice_pending(v.id) && self.needs_ticket(v, now) && !reserved.allows(rank) {
            return;
        }
        let need = v.step.demand();
        let mut request = self.placement_request(v);
        request.suspect =
            self.step(v.id).is_some_and(|s| s.tasks.iter().any(|t| t.losses.suspect()));
        let candidates = self.candidates(v, reserved, now);
        let ids: Vec<TaskId> = self.step(v.id).into_iter().flat_map(StepRun::ids).collect();
        let avoid = self.runners_to_avoid(ids, &candidates);
        let mut approved = self.with_valid_ticket(v, &candidates, now);
        if let Some(keys) = place::place_all(&mut approved, &request, count, &avoid) {
            self.decide_gang(v, &keys, now);
            return;
        }
        // It would keep runners reserved, ask for advice and hold up others without end.
        if let Some(why) = self.unplaceable_reason(v, count as u64) {
            return self.record_unplaceable(v.id, why);
        }
        self.record_placeable(v.id);
        if !self.advice_pending(v.id) {
            if let Some(keys) = place::place_all(&mut candidates.clone(), &request, count, &avoid) {
                self.reserve_provisionally(v.id, keys, need, now);
                return self.place_reserved(v, now);
            }
            if self.preempt_for(v, rank, &candidates, reserved, now) {
                return self.place_reserved(v, now);
            }
        }
        self.reserve(v, rank, &candidates, reserved, now);
        self.request_advice(v, reserved, count, now);
    }

    /// Runners that the given tasks use only if no other has capacity: those where one of the tasks
    /// failed or made no progress, or would run beside a task with which it was lost.
    fn runners_to_avoid(
        &self,
        ids: impl IntoIterator<Item = TaskId>,
        candidates: &[Candidate<RunnerKey>],
    ) -> BTreeSet<RunnerKey> {
        let mut out = BTreeSet::new();
        for id in ids {
            out.extend(self.task(id).into_iter().flat_map(|t| &t.avoid));
            out.append(&mut self.runners_with_companions(id, candidates));
        }
        out
    }

    /// Places a gang that has a provisional reservation once it has valid tickets for the reserved
    /// runners, else requests them.
    fn place_reserved(&mut self, v: &StepView<'_>, now: Now) {
        let Some(runners) =
            self.provisional.get(&v.id).map(super::provisional::ProvisionalReservation::runners)
        else {
            return;
        };
        let Some(approvals) = self.step(v.id).map(|s| &s.approvals) else { return };
        let margin = self.ticket_margin(v.id);
        let valid = |k: &RunnerKey| {
            approvals.tickets.get(k).is_some_and(|(_, end)| *end > now.mono + margin)
        };
        if v.queue.approval.is_none() || runners.iter().all(valid) {
            // Preempted tasks may still run there.
            if !runners.iter().all(|k| self.runners.get(*k).reservation_fits()) {
                return;
            }
            if let Some(reservation) = self.release_provisional(v.id) {
                self.decide_gang(v, &reservation.keys, now);
            }
            return;
        }
        if approvals.pending == 0 && approvals.retry_at <= now.mono {
            let runners: Vec<RunnerKey> = runners.into_iter().collect();
            self.request_advice_for(v, &runners, now);
        }
    }

    /// Tasks of a step that may be placed now.
    fn waiting_ids(&self, id: StepId, now: Now) -> Vec<TaskId> {
        let Some(s) = self.step(id) else { return Vec::new() };
        let due = |t: &Task| t.waits() && !t.restart_delayed(now);
        s.ids().zip(&s.tasks).filter(|(_, t)| due(t)).map(|(id, _)| id).collect()
    }

    /// Decides the placement of a task. Its start is ordered once the placement is stored.
    fn decide_placement(&mut self, v: &StepView<'_>, id: TaskId, k: RunnerKey, now: Now) {
        let name = self.runners.get(k).id.clone();
        let free = self.runners.get(k).free();
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let rev = job.rev + 1;
        let Some(step) = job.step_mut(id.step) else { return };
        let ticket = step.approvals.tickets.get(&k).map(|(t, _)| t.clone());
        let Some(task) = step.tasks.get_mut(id.index as usize) else { return };
        task.attempt = task.attempt.next();
        let mut run = Run::new(k, Stage::Storing { rev });
        run.ticket = ticket;
        task.run = Some(run);
        self.order_backlog.unstarted += 1;
        let (attempt, losses) = (task.attempt, task.losses);
        self.allocate(k, id, attempt, losses);
        self.record_placed(v);
        log::info!(task:% = id, attempt = attempt.0, runner = name, free_cpu = free.cpu,
            free_mem = free.mem, cat = self.cat.version; "task placed");
        self.mark_changed(id.step.job);
        self.record_unstored(id.step.job, rev, v.non_urgent, now);
    }

    /// Decides the placements of a gang. All members get the same attempt number and the same
    /// checkpoint.
    fn decide_gang(&mut self, v: &StepView<'_>, keys: &[RunnerKey], now: Now) {
        let Some(step) = self.step_mut(v.id) else { return };
        let last = step.tasks.iter().map(|t| t.attempt).max().unwrap_or_default();
        let saved = step.tasks.iter().map(|t| t.saved.clone()).max().unwrap_or_default();
        for task in &mut step.tasks {
            task.attempt = last;
            task.saved.clone_from(&saved);
        }
        let ids: Vec<TaskId> = step.ids().collect();
        for (id, k) in ids.into_iter().zip(keys) {
            self.decide_placement(v, id, *k, now);
        }
    }
}
