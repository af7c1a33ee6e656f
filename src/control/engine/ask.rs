//! Which runners a question about a step names.
//!
//! The load this answers: hundreds of runners in a cell that is four fifths full, where each step may
//! run on a part of them that only a question tells. Questions cost mostly by the question, so
//! that the lines to the service bound how many runners a second can be asked about.
//!
//! Narrow steps name the runners whose room they fill up best: what is named is where tasks go, and
//! naming the emptiest would break up the room that gangs need. Gangs name the emptiest, in as many
//! questions side by side as are likely to find room for all members: a wide one that asks
//! about a hundred runners at a time has waited out its objective before it knows enough of them.

use super::advice::{Kind, MOST_NAMED};
use super::plan::View;
use super::reserve::Claims;
use super::{Engine, Now, RunnerKey};
use crate::control::place::{self, Place, Placement};
use crate::kernel::res::Resources;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;

/// Most runners named in a question about tasks that start one by one: a queue's objective allows for
/// a question about 30.
pub(super) const ASK_FIRST: usize = 30;

/// Approved runners with room that are named when tickets have run out, for each waiting task.
const ASK_AGAIN: usize = 2;

/// Room that a gang's questions should find, per cent of what it needs: others take part of it until
/// the answers are there.
const GANG_SPARE: u64 = 250;

impl Engine {
    /// Whether there are runners with room for a task of the step that its policy was not asked
    /// about.
    pub(super) fn unasked(&mut self, v: &View<'_>, claims: &Claims, now: Now) -> bool {
        let need = v.step.demand();
        let roomy = self.roomy(&v.queue.service, need.cpu, now);
        let on = self.spread(v);
        let fits = |k| self.place_on(v, k, &on, claims, now).is_some_and(|p| need.fits(&p.free));
        v.queue.approval.is_some() && roomy.into_iter().any(|k| !self.asked_about(v, k) && fits(k))
    }

    /// Whether the answer about a runner is known.
    fn asked_about(&self, v: &View<'_>, k: RunnerKey) -> bool {
        let approvals = self.step(v.id).map(|s| &s.approvals);
        approvals.is_some_and(|a| a.tickets.contains_key(&k) || a.denied.contains(&k))
    }

    /// Asks the policy about runners: those never asked about, or, where all are known, approved
    /// ones with room whose tickets have run out.
    pub(super) fn ask_for(&mut self, v: &View<'_>, claims: &Claims, missing: usize, now: Now) {
        let Some(a) = self.step(v.id).map(|s| &s.approvals) else { return };
        let held_back = self.lines_busy(v.kind());
        if v.queue.approval.is_none() || a.asking > 0 || a.retry_at > now.mono || held_back {
            return;
        }
        // A gang with room on approved runners has booked it and does not come here.
        let mut picked = match v.step.gang {
            true => Vec::new(),
            false => self.held_with_room(v, claims, now),
        };
        picked.truncate(missing * ASK_AGAIN);
        if picked.is_empty() {
            picked = self.strangers(v, claims, missing, now);
        }
        if v.kind() == Kind::Urgent {
            self.want(v, &picked, missing);
        }
        self.ask_about(v, &picked, now);
    }

    /// Notes the room that `missing` tasks will take of the runners named until the answer is there. In a
    /// burst of lookups all questions would name the same runners otherwise, whose room is gone with the
    /// first answers, and the others ask again, and again. Patient steps, whose questions take long,
    /// would spread lookups over the cell instead.
    fn want(&mut self, v: &View<'_>, named: &[RunnerKey], missing: usize) {
        let share = self.shares.get(&v.queue.name).copied().unwrap_or_default();
        let approved = share.of(named.len() as u64 * 100).max(100);
        let part = |all: u64| all * missing as u64 * 100 / approved;
        let need = v.step.demand();
        let each = Resources { cpu: part(need.cpu), mem: part(need.mem), acc: part(need.acc) };
        for k in named {
            let r = self.runners.get_mut(*k);
            r.wanted = r.wanted.add(&each);
        }
        self.questions.want(v.id, named.to_vec(), each);
    }

    /// Approved runners with room, whether or not their tickets have run out.
    fn held_with_room(&mut self, v: &View<'_>, claims: &Claims, now: Now) -> Vec<RunnerKey> {
        let need = v.step.demand();
        let known = self.known(v, claims, now);
        known.into_iter().filter(|p| need.fits(&p.free)).map(|p| p.key).collect()
    }

    /// Runners to name of those never asked about.
    fn strangers(
        &mut self,
        v: &View<'_>,
        claims: &Claims,
        missing: usize,
        now: Now,
    ) -> Vec<RunnerKey> {
        let Some(a) = self.step(v.id).map(|s| &s.approvals) else { return Vec::new() };
        let all_known = a.tickets.len() + a.denied.len() >= self.runners.len();
        let some_held = !a.tickets.is_empty();
        if all_known || (!v.step.gang && some_held && !self.unasked(v, claims, now)) {
            return Vec::new();
        }
        let need = v.step.demand();
        // Roomiest first.
        let all = self.roomy(&v.queue.service, 0, now);
        let on = self.spread(v);
        let strange = |k: &RunnerKey| !self.asked_about(v, *k);
        let place = |k: RunnerKey| self.place_on(v, k, &on, claims, now);
        let places = all.iter().copied().filter(strange).filter_map(place);
        match v.kind() {
            Kind::Gang => self.names_of_gang(v, places, missing),
            Kind::Urgent | Kind::Patient => {
                let left = |p: &Place<RunnerKey>| p.free.sub(&self.runners.get(p.key).wanted);
                let (mut fit, full): (Vec<_>, Vec<_>) = places.partition(|p| need.fits(&left(p)));
                self.order(v, &mut fit);
                self.names(v, fit.into_iter().chain(full), missing)
            }
        }
    }

    /// Brings runners that fit, roomiest first, into the order in which they are named: tasks can go only
    /// where a question has led them, so that it is the order of placing.
    fn order(&self, v: &View<'_>, fit: &mut [Place<RunnerKey>]) {
        match self.rules.placement {
            Placement::BestFit => fit.reverse(),
            Placement::FirstFit => fit.sort_unstable_by_key(|p| p.key),
            Placement::Random => fit.shuffle(&mut StdRng::seed_from_u64(v.id.job.0)),
        }
    }

    /// Runners to name so that in all likelihood enough are approved for `missing` tasks, each as
    /// many as it has room for.
    fn names(
        &self,
        v: &View<'_>,
        places: impl Iterator<Item = Place<RunnerKey>>,
        missing: usize,
    ) -> Vec<RunnerKey> {
        let share = self.shares.get(&v.queue.name).copied().unwrap_or_default();
        let most = if v.step.gang { MOST_NAMED } else { ASK_FIRST };
        let (mut left, mut wanted) = (missing as u64, 0);
        let mut out = Vec::new();
        for p in places.take(most) {
            if left == 0 && out.len() >= share.name(wanted) {
                break;
            }
            if left > 0 {
                wanted += 1;
                left = left.saturating_sub(place::slots(&p, &v.step.demand()).max(1).into());
            }
            out.push(p.key);
        }
        out
    }

    /// Runners to name for a gang of `count`: whole questions, since naming more costs little more.
    fn names_of_gang(
        &self,
        v: &View<'_>,
        mut places: impl Iterator<Item = Place<RunnerKey>>,
        count: usize,
    ) -> Vec<RunnerKey> {
        let share = self.shares.get(&v.queue.name).copied().unwrap_or_default();
        let wanted = count as u64 * GANG_SPARE;
        let mut slots = 0;
        let mut out = Vec::new();
        while share.of(slots * 100) < wanted {
            let question: Vec<_> = places.by_ref().take(MOST_NAMED).collect();
            if question.is_empty() {
                break;
            }
            let found = |p: &Place<RunnerKey>| u64::from(place::slots(p, &v.step.demand()));
            slots += question.iter().map(found).sum::<u64>();
            out.extend(question.iter().map(|p| p.key));
        }
        out
    }

    /// Asks about runners, in as many questions as the service needs.
    pub(super) fn ask_about(&mut self, v: &View<'_>, runners: &[RunnerKey], now: Now) {
        let Some(approval) = v.queue.approval else { return };
        for named in runners.chunks(MOST_NAMED) {
            let cost = approval.cost_ms(named.len());
            let ids = named.iter().map(|k| self.runners.get(*k).id.clone()).collect();
            self.ask(v.id, ids, v.kind(), cost, now);
        }
    }
}
