//! Candidates of a step: the runners that may run its tasks, and the capacity that it may use there.

use super::gang_reservations::GangReservations;
use super::plan::StepView;
use super::{Engine, Now, RunnerKey};
use crate::control::policy::crashes::Losses;
use crate::control::policy::place::Candidate;
use std::collections::BTreeMap;

impl Engine {
    /// Number of tasks of a step on each runner; empty if the step does not limit it.
    pub(super) fn tasks_per_runner(&self, v: &StepView<'_>) -> BTreeMap<RunnerKey, u32> {
        let mut out = BTreeMap::new();
        if v.step.per_runner == 0 {
            return out;
        }
        for run in self.step(v.id).iter().flat_map(|s| &s.tasks).filter_map(|t| t.run.as_ref()) {
            *out.entry(run.runner).or_insert(0) += 1;
        }
        out
    }

    /// Candidate runners of a step, with the capacity that it may use on each. For a queue with a
    /// policy only the runners with a ticket are checked, expired or not, since most steps of a
    /// round wait for advice about a few runners.
    pub(super) fn candidates(
        &mut self,
        v: &StepView<'_>,
        reserved: &GangReservations,
        now: Now,
    ) -> Vec<Candidate<RunnerKey>> {
        let keys: Vec<RunnerKey> = match (v.queue.approval, self.step(v.id)) {
            (Some(_), Some(s)) => s.approvals.tickets.keys().copied().collect(),
            _ if v.step.gang => return self.all_candidates(v, reserved, now),
            _ => self.runners_with_cpu(&v.queue.service, v.step.demand().cpu, now),
        };
        self.candidates_among(v, &keys, reserved, now)
    }

    /// Every runner that could run tasks of the step, approved or not.
    fn all_candidates(
        &mut self,
        v: &StepView<'_>,
        reserved: &GangReservations,
        now: Now,
    ) -> Vec<Candidate<RunnerKey>> {
        let keys: Vec<RunnerKey> = self.runners.iter().map(|(k, _)| k).collect();
        self.candidates_among(v, &keys, reserved, now)
    }

    pub(super) fn candidates_among(
        &mut self,
        v: &StepView<'_>,
        keys: &[RunnerKey],
        reserved: &GangReservations,
        now: Now,
    ) -> Vec<Candidate<RunnerKey>> {
        self.counts.looks += keys.len() as u64;
        let task_counts = self.tasks_per_runner(v);
        keys.iter().filter_map(|&k| self.candidate_on(v, k, &task_counts, reserved, now)).collect()
    }

    /// The capacity that a runner has for a step; `None` if it may not run the step. `task_counts`
    /// is the number of the step's tasks on each runner, see [`Self::tasks_per_runner`].
    pub(super) fn candidate_on(
        &self,
        v: &StepView<'_>,
        k: RunnerKey,
        task_counts: &BTreeMap<RunnerKey, u32>,
        reserved: &GangReservations,
        now: Now,
    ) -> Option<Candidate<RunnerKey>> {
        let r = self.runners.get(k);
        let e = r.entry.as_ref().filter(|_| r.usable(now))?;
        if !v.runs_on(e) {
            return None;
        }
        let limit = match v.step.per_runner {
            0 => u32::MAX,
            n => n.saturating_sub(task_counts.get(&k).copied().unwrap_or(0)),
        };
        let excluded = v.non_urgent && !v.uses_reserved;
        let free = if excluded { reserved.available(k, r.free()) } else { r.free() };
        Some(Candidate {
            key: k,
            free,
            rack: r.rack,
            limit,
            proven: r.health.proven,
            suspects: r.suspects.len() as u32,
            repeat_suspect: r.suspects.values().any(Losses::repeated),
            speed_order: v.speed.order(self.speeds.slow(k)),
        })
    }

    /// The candidates for which the step has a valid ticket; all of them if the queue needs no
    /// approval.
    pub(super) fn with_valid_ticket(
        &self,
        v: &StepView<'_>,
        candidates: &[Candidate<RunnerKey>],
        now: Now,
    ) -> Vec<Candidate<RunnerKey>> {
        let margin = self.ticket_margin(v.id);
        let tickets = self.step(v.id).map(|s| &s.approvals.tickets);
        let valid = |c: &&Candidate<RunnerKey>| {
            let ticket = tickets.and_then(|t| t.get(&c.key));
            ticket.is_some_and(|(_, end)| *end > now.mono + margin)
        };
        let all = v.queue.approval.is_none();
        candidates.iter().filter(|c| all || valid(c)).cloned().collect()
    }
}
