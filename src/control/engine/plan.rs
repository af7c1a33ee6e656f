//! Planning rounds: the placement of waiting tasks on runners.

use super::advice::Kind;
use super::reserve::{Backlog, Claims};
use super::round::{Round, Sweep, MOST_AHEAD, MOST_LOOKS};
use super::runs::{Run, Stage};
use super::{Engine, Now, RunnerKey, StepRun};
use crate::control::crashes::Losses;
use crate::control::model::{Catalogue, Queue, Step, StepId, TaskId};
use crate::control::place::{self, Ask, Place};
use crate::control::queue::{self, Claim, Rank};
use crate::kernel::res::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// Processor capacity of a service kept free for urgent queues, in thousandths: two bursts of
/// lookups as they occur on a calm day, some 4 % of the capacity.
const URGENT_SHARE: u64 = 40;

/// A waiting step with the data of it that a planning round needs.
pub(super) struct View<'a> {
    pub id: StepId,
    pub step: &'a Step,
    pub queue: &'a Queue,
    waiting: usize,
    /// Whether its queue is not an urgent one.
    patient: bool,
}

impl View<'_> {
    /// Kind of the advice requests for this step.
    pub fn kind(&self) -> Kind {
        match (self.patient, self.step.gang) {
            (false, _) => Kind::Urgent,
            (true, true) => Kind::Gang,
            (true, false) => Kind::Patient,
        }
    }
}

impl Engine {
    /// Places the tasks that can be placed, and requests advice where a queue's policy requires it.
    /// Continues the current planning pass over the waiting steps, or begins a new one.
    pub fn plan(&mut self, now: Now) {
        self.counts.rounds += 1;
        self.round = Round::default();
        self.expire_bookings(now);
        let cat = self.cat.clone();
        let begin = self.counts.looks;
        let mut sweep = std::mem::take(&mut self.sweep);
        if sweep.over() {
            self.stirred.clear();
            sweep = self.sweep_anew(now);
        }
        let stirred = std::mem::take(&mut self.stirred);
        for (rank, id) in self.urgent(stirred, now) {
            if self.counts.looks < begin + MOST_AHEAD {
                self.visit(&cat, id, rank, &mut sweep.claims, now);
            } else {
                self.stirred.insert(id);
            }
        }
        while self.counts.looks < begin + MOST_LOOKS {
            let Some((rank, id)) = sweep.next() else { break };
            self.visit(&cat, id, rank, &mut sweep.claims, now);
        }
        self.sweep = sweep;
    }

    fn sweep_anew(&mut self, now: Now) -> Sweep {
        let order = self.ranked(self.open.iter().copied(), now);
        self.counts.looks += order.len() as u64;
        let claims = Claims::new(self.backlog(&order));
        Sweep::new(order, claims)
    }

    /// The given steps with their ranks, in the order in which they are planned.
    fn ranked(&self, ids: impl Iterator<Item = StepId>, now: Now) -> Vec<(Rank, StepId)> {
        let lead = self.lead();
        let of = |id: StepId| Some((self.rank(id, lead, now)?, id));
        let mut order: Vec<(Rank, StepId)> = ids.filter_map(of).collect();
        order.sort_unstable();
        order
    }

    /// The urgent ones of the given steps whose objective can still be met, in order of rank.
    fn urgent(&self, ids: BTreeSet<StepId>, now: Now) -> Vec<(Rank, StepId)> {
        let mut order = self.ranked(ids.into_iter(), now);
        order.retain(|(rank, _)| !rank.patient && !rank.worthless);
        order
    }

    fn visit(&mut self, cat: &Catalogue, id: StepId, rank: Rank, claims: &mut Claims, now: Now) {
        self.counts.looks += 1;
        let Some(job) = self.jobs.get(&id.job).filter(|_| self.open.contains(&id)) else { return };
        let (row, waits) = (job.row.clone(), job.step(id).is_some_and(|s| s.waits()));
        if !waits {
            self.open.remove(&id);
            return;
        }
        if self.store_busy(id.job, rank.patient, now) {
            return;
        }
        let Some(queue) = cat.queues.get(&row.queue) else { return };
        let step = &row.spec.steps[id.step as usize];
        let view = View { id, step, queue, waiting: self.waiting(id), patient: rank.patient };
        match step.gang {
            true => self.place_gang(&view, rank, claims, now),
            false => self.place_tasks(&view, claims, now),
        }
    }

    /// Whether a step needs a ticket and has no valid one.
    fn unticketed(&self, v: &View<'_>, now: Now) -> bool {
        let margin = self.ticket_margin(v.id);
        let tickets = self.step(v.id).into_iter().flat_map(|s| s.approvals.tickets.values());
        let mut ends = tickets.map(|(_, end)| *end);
        v.queue.approval.is_some() && !ends.any(|end| end > now.mono + margin)
    }

    /// Whether an advice request for a step is pending.
    fn asking(&self, id: StepId) -> bool {
        self.step(id).is_some_and(|s| s.approvals.asking > 0)
    }

    /// Whether no advice request for a step may be sent now: one is pending, or its retry delay has
    /// not passed.
    fn may_not_ask(&self, id: StepId, now: Now) -> bool {
        self.asking(id) || self.step(id).is_some_and(|s| s.approvals.retry_at > now.mono)
    }

    /// Time in which capacity for a gang is expected to become free, ms: the usual run time of
    /// steps of non-urgent queues.
    fn lead(&self) -> u64 {
        let patient = |name: &String| self.cat.queues.get(name).is_some_and(|q| q.priority > 0);
        let paces = self.paces.iter().filter(|(name, _)| patient(name));
        paces.map(|(_, p)| p.usual()).max().unwrap_or(0)
    }

    fn rank(&self, id: StepId, lead: u64, now: Now) -> Option<Rank> {
        let job = self.jobs.get(&id.job)?;
        let queue = self.cat.queues.get(&job.row.queue)?;
        let claim = Claim {
            priority: queue.priority,
            begin: job.begin(id.occurrence),
            objective: job.objective(queue),
            chain: job.tails[id.step as usize],
            lead: if job.spec(id).gang { lead } else { 0 },
        };
        Some(queue::rank(&claim, now.wall))
    }

    /// Demand of the waiting steps, and the capacity of the cell.
    fn backlog(&self, order: &[(Rank, StepId)]) -> Backlog {
        let asked = |&(_, id): &(Rank, StepId)| {
            let demand = self.jobs.get(&id.job).map_or(Resources::ZERO, |j| j.spec(id).demand());
            demand.cpu * self.waiting(id) as u64
        };
        let asked: u64 = order.iter().map(asked).sum();
        let listed = self.runners.iter().filter(|(_, r)| r.listed && !r.over);
        let room: u64 = listed.map(|(_, r)| r.room().cpu).sum();
        Backlog { asked, room }
    }

    fn waiting(&self, id: StepId) -> usize {
        self.step(id).map_or(0, |s| s.tasks.iter().filter(|t| t.waits()).count())
    }

    /// Number of tasks of a step on each runner; empty if the step does not limit it.
    pub(super) fn spread(&self, v: &View<'_>) -> BTreeMap<RunnerKey, u32> {
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
    /// policy these are the approved runners, not all: most of the waiting steps that a round plans
    /// are waiting for advice about a few.
    pub(super) fn known(
        &mut self,
        v: &View<'_>,
        claims: &Claims,
        now: Now,
    ) -> Vec<Place<RunnerKey>> {
        let keys: Vec<RunnerKey> = match (v.queue.approval, self.step(v.id)) {
            (Some(_), Some(s)) => s.approvals.tickets.keys().copied().collect(),
            _ if v.step.gang => return self.everywhere(v, claims, now),
            _ => self.roomy(&v.queue.service, v.step.demand().cpu, now),
        };
        self.places(v, &keys, claims, now)
    }

    /// Every runner that could run tasks of the step, approved or not.
    fn everywhere(&mut self, v: &View<'_>, claims: &Claims, now: Now) -> Vec<Place<RunnerKey>> {
        let keys: Vec<RunnerKey> = self.runners.iter().map(|(k, _)| k).collect();
        self.places(v, &keys, claims, now)
    }

    fn places(
        &mut self,
        v: &View<'_>,
        keys: &[RunnerKey],
        claims: &Claims,
        now: Now,
    ) -> Vec<Place<RunnerKey>> {
        self.counts.looks += keys.len() as u64;
        let on = self.spread(v);
        keys.iter().filter_map(|&k| self.place_on(v, k, &on, claims, now)).collect()
    }

    /// The capacity that a runner has for a step of which `on` tasks run on each runner; `None` if
    /// the runner may not run the step.
    pub(super) fn place_on(
        &self,
        v: &View<'_>,
        k: RunnerKey,
        on: &BTreeMap<RunnerKey, u32>,
        claims: &Claims,
        now: Now,
    ) -> Option<Place<RunnerKey>> {
        let r = self.runners.get(k);
        let e = r.entry.as_ref().filter(|_| r.usable(now))?;
        let labelled = v.step.label.is_empty() || e.labels.contains(&v.step.label);
        if e.service != v.queue.service || !labelled || !v.step.demand().fits(&e.room) {
            return None;
        }
        let limit = match v.step.per_runner {
            0 => u32::MAX,
            n => n.saturating_sub(on.get(&k).copied().unwrap_or(0)),
        };
        let free = if v.patient { claims.left(k, r.free()) } else { r.free() };
        Some(Place {
            key: k,
            free,
            rack: r.rack,
            limit,
            proven: r.health.proven,
            suspects: r.suspects.len() as u32,
            risky: r.suspects.values().any(Losses::repeated),
        })
    }

    /// The candidates for which the step has a valid ticket; all of them if the queue needs no
    /// approval.
    fn ticketed(
        &self,
        v: &View<'_>,
        known: &[Place<RunnerKey>],
        now: Now,
    ) -> Vec<Place<RunnerKey>> {
        let margin = self.ticket_margin(v.id);
        let tickets = self.step(v.id).map(|s| &s.approvals.tickets);
        let good = |p: &&Place<RunnerKey>| {
            let ticket = tickets.and_then(|t| t.get(&p.key));
            ticket.is_some_and(|(_, end)| *end > now.mono + margin)
        };
        let all = v.queue.approval.is_none();
        known.iter().filter(|p| all || good(p)).cloned().collect()
    }

    /// Processor capacity of the service that non-urgent steps may use now.
    fn patient_room(&mut self, v: &View<'_>, now: Now) -> u64 {
        let (free, room) = self.service_room(&v.queue.service, now);
        free.saturating_sub(room * URGENT_SHARE / 1000)
    }

    fn demand(&self, v: &View<'_>) -> Ask {
        let rack = self.racks.get(&v.step.rack).copied();
        Ask {
            need: v.step.demand(),
            rack,
            one_rack: v.step.one_rack,
            suspect: false,
            how: self.rules.placement,
            seed: v.id.job.0 ^ self.counts.rounds,
        }
    }

    fn place_tasks(&mut self, v: &View<'_>, claims: &Claims, now: Now) {
        // Nothing can be placed or requested, as for most steps when thousands are waiting.
        if self.may_not_ask(v.id, now) && self.unticketed(v, now) {
            return;
        }
        let known = self.known(v, claims, now);
        let mut good = self.ticketed(v, &known, now);
        let mut budget = if v.patient { self.patient_room(v, now) } else { u64::MAX };
        let ask = self.demand(v);
        let waiting: Vec<TaskId> = self.waiting_ids(v.id);
        let mut left = waiting.len();
        for id in waiting {
            if ask.need.cpu > budget {
                return;
            }
            let avoid = self.avoided([id], &good);
            let Some(task) = self.task(id) else { continue };
            let ask = Ask { suspect: task.losses.suspect(), ..ask.clone() };
            let chosen = place::one(&mut good, &ask, &avoid, task.fails > 0);
            let Some(k) = chosen else { break };
            budget -= ask.need.cpu;
            left -= 1;
            self.commit_place(v, id, k, now);
        }
        if left > 0 {
            self.ask_for(v, claims, left, now);
        }
    }

    fn place_gang(&mut self, v: &View<'_>, rank: Rank, claims: &mut Claims, now: Now) {
        let count = self.step(v.id).map_or(0, |s| s.tasks.len());
        // A gang is restarted as a whole, once no run of its last attempt is left.
        if v.waiting < count || !self.may_retry(v.id, now) {
            return;
        }
        if self.bookings.contains_key(&v.id) {
            return self.place_booked(v, now);
        }
        // Nothing can be placed, requested or reserved.
        if self.asking(v.id) && self.unticketed(v, now) && !claims.open(rank) {
            return;
        }
        let need = v.step.demand();
        let mut ask = self.demand(v);
        ask.suspect = self.step(v.id).is_some_and(|s| s.tasks.iter().any(|t| t.losses.suspect()));
        let known = self.known(v, claims, now);
        let ids: Vec<TaskId> = self.step(v.id).into_iter().flat_map(StepRun::ids).collect();
        let avoid = self.avoided(ids, &known);
        let mut good = self.ticketed(v, &known, now);
        if let Some(keys) = place::all(&mut good, &ask, count, &avoid) {
            self.commit_gang(v, &keys, now);
            return;
        }
        if !self.asking(v.id) {
            if let Some(keys) = place::all(&mut known.clone(), &ask, count, &avoid) {
                self.book(v.id, keys, need, now);
                return self.place_booked(v, now);
            }
            if self.make_room(v, rank, &known, claims, now) {
                return self.place_booked(v, now);
            }
        }
        self.reserve(v.id, rank, &known, &need, claims);
        self.ask_for(v, claims, count, now);
    }

    /// Runners that the given tasks use only if no other has capacity: those where one of the tasks
    /// failed or made no progress, or would run beside a task with which it was lost.
    fn avoided(
        &self,
        ids: impl IntoIterator<Item = TaskId>,
        places: &[Place<RunnerKey>],
    ) -> BTreeSet<RunnerKey> {
        let mut out = BTreeSet::new();
        for id in ids {
            out.extend(self.task(id).into_iter().flat_map(|t| &t.avoid));
            out.append(&mut self.with_companions(id, places));
        }
        out
    }

    /// Places a gang that has a provisional reservation once it has valid tickets for the reserved
    /// runners, else requests them.
    fn place_booked(&mut self, v: &View<'_>, now: Now) {
        let Some(runners) = self.bookings.get(&v.id).map(super::booking::Booking::runners) else {
            return;
        };
        let Some(a) = self.step(v.id).map(|s| &s.approvals) else { return };
        let margin = self.ticket_margin(v.id);
        let good =
            |k: &RunnerKey| a.tickets.get(k).is_some_and(|(_, end)| *end > now.mono + margin);
        if v.queue.approval.is_none() || runners.iter().all(good) {
            // Preempted tasks may still run there.
            if !runners.iter().all(|k| self.runners.get(*k).clear()) {
                return;
            }
            if let Some(b) = self.unbook(v.id) {
                self.commit_gang(v, &b.keys, now);
            }
            return;
        }
        if a.asking == 0 && a.retry_at <= now.mono {
            let runners: Vec<RunnerKey> = runners.into_iter().collect();
            self.ask_about(v, &runners, now);
        }
    }

    fn waiting_ids(&self, id: StepId) -> Vec<TaskId> {
        let Some(s) = self.step(id) else { return Vec::new() };
        s.ids().zip(&s.tasks).filter(|(_, t)| t.waits()).map(|(id, _)| id).collect()
    }

    /// Decides the placement of a task. Its start is ordered once the placement is stored.
    fn commit_place(&mut self, v: &View<'_>, id: TaskId, k: RunnerKey, now: Now) {
        let need = v.step.demand();
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
        let (attempt, losses) = (task.attempt, task.losses);
        self.runners.get_mut(k).occupy(id, attempt, need, losses);
        self.round.moves += 1;
        log::info!(task:% = id, attempt = attempt.0, runner = name, free_cpu = free.cpu,
            free_mem = free.mem, cat = self.cat.version; "task placed");
        self.touch(id.step.job);
        self.note_unstored(id.step.job, rev, v.patient, now);
    }

    /// Decides the placements of a gang. All members get the same attempt number and the same
    /// checkpoint.
    fn commit_gang(&mut self, v: &View<'_>, keys: &[RunnerKey], now: Now) {
        let Some(step) = self.step_mut(v.id) else { return };
        let last = step.tasks.iter().map(|t| t.attempt).max().unwrap_or_default();
        let saved = step.tasks.iter().map(|t| t.saved.clone()).max().unwrap_or_default();
        for task in &mut step.tasks {
            task.attempt = last;
            task.saved.clone_from(&saved);
        }
        let ids: Vec<TaskId> = step.ids().collect();
        for (id, k) in ids.into_iter().zip(keys) {
            self.commit_place(v, id, *k, now);
        }
    }
}
