//! Teams with caps, and the check that no start brings a team over its cap.

use super::{Cell, Event};
use currantgw::control::engine::Action;
use currantgw::control::model::{Catalogue, JobId, Step, TaskId};
use currantgw::control::rows::JobRow;
use currantgw::control::teams::{Team, Teams};
use currantgw::kernel::res::Resources;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time for which a cap that was lowered still applies to starts that were ordered under it, ms: a
/// start that is carried out late arrives within it.
const FORMER_CAP_MS: u64 = 13_000;

/// Caps that were in force, and since when.
pub(super) type CapHistory = BTreeMap<String, Vec<(u64, Resources)>>;

/// A cap on processor capacity alone.
pub fn cores(n: u64) -> Resources {
    Resources { cpu: n * 1_000, mem: 0, acc: 0 }
}

impl Cell {
    /// Brings a catalogue into force that has these teams, with caps.
    pub fn set_caps(&mut self, caps: &[(&str, Resources)]) {
        let teams: Vec<_> = caps.iter().map(|(name, cap)| (*name, *cap, 0.0)).collect();
        self.set_teams(&teams);
    }

    /// Brings a catalogue into force that has these teams, with caps and weights.
    pub fn set_teams(&mut self, listed: &[(&str, Resources, f64)]) {
        let mut teams = Teams::default();
        for (name, cap, weight) in listed {
            let team = Team { name: name.to_string(), weight: *weight, cap: *cap };
            assert_eq!(teams.add(team, vec![format!("key-{name}")]), []);
            self.caps.entry(name.to_string()).or_default().push((self.now, *cap));
        }
        let cat = Catalogue { version: self.cat.version + 1, teams, ..(*self.cat).clone() };
        self.cat = Arc::new(cat);
        self.engine.set_catalogue(self.cat.clone());
    }

    /// Submits a job of a team.
    pub fn submit_for(&mut self, team: &str, id: u64, queue: &str, steps: Vec<Step>) -> JobId {
        let row = self.new_row(queue, steps);
        self.add(id, JobRow { team: Some(team.into()), ..row })
    }

    /// As [`Self::submit_for`], for a job that an instance accepted at `at` by its time of day, ms.
    pub fn submit_at(
        &mut self,
        at: u64,
        team: &str,
        id: u64,
        queue: &str,
        steps: Vec<Step>,
    ) -> JobId {
        let row = self.new_row(queue, steps);
        self.add(id, JobRow { team: Some(team.into()), at, ..row })
    }

    /// What a team has running on all runners.
    pub fn team_running(&self, team: &str) -> Resources {
        let is_team = |task: &TaskId| self.jobs[&task.step.job].team.as_deref() == Some(team);
        let runs = self.runners.iter().filter(|r| r.exists).flat_map(|r| &r.running);
        let of_team = runs.filter(|(task, _)| is_team(task));
        of_team.fold(Resources::ZERO, |sum, (_, run)| sum.add(&run.resources))
    }

    /// Whether any start of a team is on its way.
    pub fn start_in_flight(&self) -> bool {
        let is_start = |e: &Event| matches!(e, Event::Arrive { act: Action::Start { .. }, .. });
        self.events.values().any(|(_, e)| is_start(e))
    }

    /// The highest limit of each resource that may be in force for a team; none without limit.
    fn cap_in_force(&self, team: &str) -> Option<[Option<u64>; 2]> {
        let caps = self.caps.get(team)?;
        let since = self.now.saturating_sub(FORMER_CAP_MS);
        let newer = caps.iter().skip(1).map(|(at, _)| *at).chain([u64::MAX]);
        let in_force = caps.iter().zip(newer).filter(|(_, until)| *until >= since);
        let caps: Vec<Resources> = in_force.map(|((_, cap), _)| *cap).collect();
        let highest = |of: fn(&Resources) -> u64| {
            let limits: Vec<u64> = caps.iter().map(of).collect();
            limits.iter().all(|l| *l > 0).then(|| limits.into_iter().max().unwrap_or(0))
        };
        Some([highest(|c| c.cpu), highest(|c| c.mem)])
    }

    /// Records the start of a task that brings its team over its cap.
    pub(super) fn check_cap(&mut self, task: TaskId) {
        let Some(team) = self.jobs[&task.step.job].team.clone() else { return };
        let Some([cpu, mem]) = self.cap_in_force(&team) else { return };
        let running = self.team_running(&team);
        if cpu.is_some_and(|l| running.cpu > l) || mem.is_some_and(|l| running.mem > l) {
            let now = self.now;
            self.violations.push(format!("{now}: {task} brings {team} over its cap: {running:?}"));
        }
    }
}
