//! Caps of teams: what each team has running on all runners, and how much more it may start.
//!
//! A run counts against its team's cap from its placement until it is over, as it does against the
//! capacity of its runner: while it is stored, ordered, running, being stopped, or unanswered, and
//! if an earlier leader placed it. A run that no scheduler expects, because its start took effect
//! late, counts from when its runner lists it.
//!
//! A new leader has read the placements of all earlier terms before it places anything, so that it
//! starts nothing for a team before it knows what may run for it.

use super::gang_reservations::GangReservations;
use super::plan::StepView;
use super::runners::Allocation;
use super::{Engine, Job, RunnerKey};
use crate::arena_key;
use crate::control::model::{Attempt, JobId, TaskId, MAX_WIDTH};
use crate::control::policy::crashes::Losses;
use crate::control::policy::fair_share::Share;
use crate::control::teams::{self, Teams};
use crate::kernel::arena::Arena;
use crate::kernel::res::Resources;
use std::collections::BTreeMap;

arena_key!(
    /// A team in the scheduler's arena.
    TeamKey
);

/// What a team has running, and its cap.
#[derive(Clone, Debug)]
pub struct TeamUse {
    /// Name.
    pub name: String,
    /// Maximum of each resource that it may have running; 0 for no limit. A team that the catalogue
    /// no longer lists keeps the last one.
    pub cap: Resources,
    /// Resources of its tasks that run or may run.
    pub used: Resources,
    /// Part of [`Self::used`] that is taken until jobs are cancelled.
    lasting: Resources,
    /// Resources provisionally reserved for its gangs.
    pub provisional: Resources,
    /// Its share when capacity is short, jobs a second.
    weight: f64,
    share: Share,
}

impl TeamUse {
    /// What it may start besides what it has running and reserved.
    pub fn room(&self) -> Resources {
        let left = self.cap.sub(&self.used).sub(&self.provisional);
        teams::limit(&self.cap, &left)
    }

    /// Whether what it has running is beyond its cap.
    pub fn over_cap(&self) -> bool {
        let cap = teams::limit(&self.cap, &self.cap);
        !self.used.fits(&cap)
    }

    /// Whether it submits beyond its share at `at`, Unix ms, see [`Share::exhausted`].
    pub(super) fn beyond_share(&self, was: bool, at: u64) -> bool {
        self.share.exhausted(was, self.weight, at)
    }

    /// Whether it can have `need` running once its tasks that do not last have ended.
    fn may_run_later(&self, need: &Resources) -> bool {
        need.fits(&teams::limit(&self.cap, &self.cap.sub(&self.lasting)))
    }
}

/// A team as the state dump and the metrics show it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct TeamView {
    /// Name.
    pub name: String,
    /// Processor capacity that its tasks take, thousandths of a core.
    pub used_cpu: u64,
    /// Memory that its tasks take, MiB.
    pub used_mem: u64,
    /// Its cap on processor capacity, thousandths of a core; 0 for none.
    pub cap_cpu: u64,
    /// Its cap on memory, MiB; 0 for none.
    pub cap_mem: u64,
    /// Number of its tasks that wait for placement.
    pub waiting: usize,
}

/// Teams with accepted jobs.
#[derive(Debug, Default)]
pub(super) struct TeamTable {
    teams: Arena<TeamKey, TeamUse>,
    by_name: BTreeMap<String, TeamKey>,
}

impl TeamTable {
    /// Applies the caps and weights of a newer catalogue.
    pub fn apply(&mut self, listed: &Teams) {
        for (_, team) in self.teams.iter_mut() {
            let Some(&teams::Team { cap, weight, .. }) = listed.get(&team.name) else { continue };
            if cap != team.cap {
                log::info!(team = team.name, cpu = cap.cpu, mem = cap.mem, acc = cap.acc,
                    was_cpu = team.cap.cpu, was_mem = team.cap.mem, used_cpu = team.used.cpu,
                    used_mem = team.used.mem; "cap of a team changed");
            }
            (team.cap, team.weight) = (cap, weight);
        }
    }

    /// The team with this name, created if it does not exist.
    pub fn named(&mut self, name: &str, listed: &Teams) -> TeamKey {
        if let Some(&k) = self.by_name.get(name) {
            return k;
        }
        let k = self.teams.push(TeamUse {
            name: name.to_string(),
            cap: listed.get(name).map_or(Resources::ZERO, |t| t.cap),
            used: Resources::ZERO,
            lasting: Resources::ZERO,
            provisional: Resources::ZERO,
            weight: listed.get(name).map_or(0.0, |t| t.weight),
            share: Share::default(),
        });
        self.by_name.insert(name.to_string(), k);
        k
    }
}

impl Engine {
    /// What teams with accepted jobs have running.
    pub fn teams(&self) -> impl Iterator<Item = (TeamKey, &TeamUse)> {
        self.teams.teams.iter()
    }

    /// All teams with accepted jobs, those that have most running and waiting first.
    pub fn team_views(&self) -> Vec<TeamView> {
        let mut waiting: BTreeMap<TeamKey, usize> = BTreeMap::new();
        for id in self.open.iter().copied().chain(self.deferral.steps()) {
            if let Some(team) = self.team_of(id.job) {
                *waiting.entry(team).or_default() += self.waiting(id);
            }
        }
        let view = |(k, t): (TeamKey, &TeamUse)| TeamView {
            name: t.name.clone(),
            used_cpu: t.used.cpu,
            used_mem: t.used.mem,
            cap_cpu: t.cap.cpu,
            cap_mem: t.cap.mem,
            waiting: waiting.get(&k).copied().unwrap_or(0),
        };
        let mut views: Vec<TeamView> = self.teams().map(view).collect();
        views.sort_by_key(|v| std::cmp::Reverse((v.used_cpu, v.waiting)));
        views
    }

    /// The team of a job; `None` if it has none.
    pub(super) fn team_of(&self, id: JobId) -> Option<TeamKey> {
        self.jobs.get(&id)?.team
    }

    /// Whether what the team of a job has running is beyond its cap.
    pub(super) fn team_over_cap(&self, id: JobId) -> bool {
        self.team_of(id).is_some_and(|k| self.teams.teams.get(k).over_cap())
    }

    /// Whether what the team of a job has running and reserved is beyond its cap.
    pub(super) fn team_overbooked(&self, id: JobId) -> bool {
        self.team_of(id).is_some_and(|k| {
            let t = self.teams.teams.get(k);
            TeamUse { used: t.used.add(&t.provisional), ..t.clone() }.over_cap()
        })
    }

    /// Adds to the provisional reservations of a team.
    pub(super) fn team_reserve(&mut self, team: Option<TeamKey>, amount: &Resources) {
        if let Some(k) = team {
            let team = self.teams.teams.get_mut(k);
            team.provisional = team.provisional.add(amount);
        }
    }

    /// Takes from the provisional reservations of a team.
    pub(super) fn team_unreserve(&mut self, team: Option<TeamKey>, amount: &Resources) {
        if let Some(k) = team {
            let team = self.teams.teams.get_mut(k);
            team.provisional = team.provisional.sub(amount);
        }
    }

    /// Allocates capacity of a runner, and of the cap of the job's team, for a run.
    pub(super) fn allocate(&mut self, k: RunnerKey, id: TaskId, attempt: Attempt, losses: Losses) {
        let Some(job) = self.jobs.get(&id.step.job) else { return };
        let allocation = Allocation {
            need: job.spec(id.step).demand(),
            charge: job.spec(id.step).charge(),
            team: job.team,
            lasts: job.spec(id.step).lasts,
        };
        self.put_allocation(k, id, attempt, allocation, losses);
    }

    pub(super) fn put_allocation(
        &mut self,
        k: RunnerKey,
        id: TaskId,
        attempt: Attempt,
        allocation: Allocation,
        losses: Losses,
    ) {
        let added = self.change_runner(k, |r| r.allocate(id, attempt, allocation, losses));
        if let Some(team) = allocation.team.filter(|_| added) {
            let team = self.teams.teams.get_mut(team);
            team.used = team.used.add(&allocation.charge);
            if allocation.lasts {
                team.lasting = team.lasting.add(&allocation.charge);
            }
        }
    }

    /// Frees the capacity of a run that is over, and returns what was allocated.
    pub(super) fn deallocate(
        &mut self,
        k: RunnerKey,
        id: TaskId,
        attempt: Attempt,
    ) -> Option<Allocation> {
        let allocation = self.change_runner(k, |r| r.deallocate(id, attempt))?;
        self.record_freed(k, &allocation);
        if let Some(team) = allocation.team {
            let team = self.teams.teams.get_mut(team);
            team.used = team.used.sub(&allocation.charge);
            if allocation.lasts {
                team.lasting = team.lasting.sub(&allocation.charge);
            }
        }
        Some(allocation)
    }

    /// Number of tasks of a step that its team's cap allows now; `None` if none.
    pub(super) fn tasks_allowed(
        &self,
        v: &StepView<'_>,
        reserved: &GangReservations,
    ) -> Option<usize> {
        let Some(team) = self.team_of(v.id.job) else { return Some(usize::MAX) };
        if v.non_urgent && reserved.holds_team(team) {
            return None;
        }
        let (room, charge) = (self.teams.teams.get(team).room(), v.step.charge());
        let times = |room: u64, charge: u64| room.checked_div(charge).unwrap_or(u64::MAX);
        let allowed = times(room.cpu, charge.cpu)
            .min(times(room.mem, charge.mem))
            .min(times(room.acc, charge.acc));
        (allowed > 0).then_some(allowed.min(MAX_WIDTH.into()) as usize)
    }

    /// Whether the cap of its team allows a gang of `count` tasks to start now. A gang that waits
    /// for the cap is preferred to the team's other non-urgent steps, unless it would not fit if all
    /// tasks of the team ended that do not last.
    pub(super) fn gang_allowed(
        &self,
        v: &StepView<'_>,
        count: usize,
        reserved: &mut GangReservations,
    ) -> bool {
        let Some(team) = self.team_of(v.id.job) else { return true };
        if v.non_urgent && reserved.holds_team(team) {
            return false;
        }
        let (team_use, need) = (self.teams.teams.get(team), v.step.charge().times(count as u64));
        let allowed = need.fits(&team_use.room());
        if !allowed && v.non_urgent && team_use.may_run_later(&need) {
            reserved.hold_team(team);
        }
        allowed
    }

    /// Records a job that a team submitted at `at`, Unix ms. Returns whether it is within its share.
    pub(super) fn record_submission(&mut self, team: TeamKey, at: u64) -> bool {
        let team = self.teams.teams.get_mut(team);
        team.share.record(team.weight, at)
    }

    /// The team of a job that is about to be added.
    pub(super) fn team_of_new(&mut self, job: &Job) -> Option<TeamKey> {
        let name = job.row.team.as_deref()?;
        Some(self.teams.named(name, &self.cat.teams))
    }
}
