//! Team quotas across shards, without a counter that every placement writes. The quota of a team
//! in the failure domain is granted to shards in portions, recorded in one row. The holder of a
//! shard places tasks within its own grant, and writes the row only to enlarge or release it.
//!
//! Without grants, two holders that each check the team's sum as they last read it could both place
//! tasks, and the team would exceed its quota. The sum of the grants never exceeds the quota,
//! because a grant is a conditional write of the row.

use super::plan::Draft;
use super::{Cached, Ctx, Sched};
use crate::entry::rows::{self, JobState, QuotaRow};
use crate::kernel::res::Resources;
use crate::standin::client::PlatformError;
use std::collections::{BTreeMap, BTreeSet};

/// Divisor for the spare capacity of a grant: the quota divided by this and by the number of
/// shards. The spare is large enough that most placements need no new grant, and small enough that
/// little of the quota is unused.
const SPARE_DIVISOR: u64 = 8;

impl Resources {
    /// Returns how many times `demand` fits into `self`.
    fn times_fitting(&self, demand: &Self) -> u64 {
        let times = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        times(self.cpu, demand.cpu)
            .min(times(self.mem, demand.mem))
            .min(times(self.acc, demand.acc))
    }

    /// Returns `self` divided by `n`; 0 counts as 1.
    fn divided_by(&self, n: u64) -> Self {
        let n = n.max(1);
        Self { cpu: self.cpu / n, mem: self.mem / n, acc: self.acc / n }
    }

    /// Returns the minimum of each resource.
    fn min_each(&self, o: &Self) -> Self {
        Self { cpu: self.cpu.min(o.cpu), mem: self.mem.min(o.mem), acc: self.acc.min(o.acc) }
    }

    /// Returns the maximum of each resource.
    fn max_each(&self, o: &Self) -> Self {
        Self { cpu: self.cpu.max(o.cpu), mem: self.mem.max(o.mem), acc: self.acc.max(o.acc) }
    }
}

impl Sched {
    /// Reads the quota rows of the teams with jobs waiting in the shards of `plannable`, unless
    /// they are cached.
    pub(super) async fn read_quotas(
        &mut self,
        cx: &Ctx<'_>,
        plannable: &BTreeMap<String, u64>,
    ) -> Result<(), PlatformError> {
        let teams: BTreeSet<String> = plannable
            .keys()
            .filter_map(|s| self.pending.get(s))
            .flat_map(|m| m.keys())
            .filter_map(|id| self.jobs.get(id))
            .filter(|j| j.row.state == JobState::Pending)
            .map(|j| j.row.team.clone())
            .filter(|t| !self.quotas.contains_key(t))
            .collect();
        if teams.is_empty() {
            return Ok(());
        }
        let keys = teams.iter().map(|t| rows::quota_key(cx.domain, t)).collect();
        let read = cx.platform.get(keys).await?;
        for team in teams {
            let found = read.get(&rows::quota_key(cx.domain, &team));
            let row = found.and_then(|r| rows::decode::<QuotaRow>(&r.value)).unwrap_or_default();
            self.quotas.insert(team, Cached { version: found.map_or(0, |r| r.version), row });
        }
        Ok(())
    }
}

impl Draft<'_> {
    /// Returns the resources committed to tasks of `team` in `shard`, with the changes of the plan.
    fn team_used(&self, shard: &str, team: &str) -> Resources {
        let key = (shard.to_string(), team.to_string());
        if let Some(used) = self.used.borrow().get(&key) {
            return *used;
        }
        let used = self.sum_used(shard, team);
        self.used.borrow_mut().insert(key, used);
        used
    }

    /// Computes the value of [`Self::team_used`] without the cache.
    fn sum_used(&self, shard: &str, team: &str) -> Resources {
        let Some(s) = self.s.shards.get(shard) else { return Resources::ZERO };
        let tasks = s.workers.iter().flat_map(|&k| self.commitments(k).tasks.iter());
        let of_team = |task: &str| {
            let job = rows::task_parts(task).and_then(|(id, _)| self.job(id));
            job.is_some_and(|j| j.team == team)
        };
        tasks.filter(|(t, _)| of_team(t)).fold(Resources::ZERO, |sum, (_, r)| sum.add(r))
    }

    /// Returns the quota row of `team`, with the changes of the plan; empty if there is none.
    fn quota_row(&self, team: &str) -> QuotaRow {
        let planned = self.plan.quotas.get(team);
        planned
            .cloned()
            .unwrap_or_else(|| self.s.quotas.get(team).map(|c| c.row.clone()).unwrap_or_default())
    }

    /// Returns how many more tasks of `demand`, at most `count`, the quota allows `team` in
    /// `shard`.
    pub(super) fn quota_headroom(
        &self,
        shard: &str,
        team: &str,
        quota: &Resources,
        demand: &Resources,
        count: u64,
    ) -> u64 {
        let used = self.team_used(shard, team);
        let free = quota.sub(&self.quota_row(team).others(shard)).sub(&used);
        free.times_fitting(demand).min(count)
    }

    /// Enlarges the grant of `shard` from the quota of `team`, if it is too small for `added` on
    /// top of the resources in use. The caller has checked [`Self::quota_headroom`].
    pub(super) fn grant(&mut self, shard: &str, team: &str, quota: &Resources, added: &Resources) {
        let need = self.team_used(shard, team).add(added);
        let mut row = self.quota_row(team);
        let have = row.granted.get(shard).copied().unwrap_or_default();
        if need.fits(&have) {
            return;
        }
        let spare = quota.divided_by(SPARE_DIVISOR * self.s.shards.len() as u64);
        let limit = quota.sub(&row.others(shard));
        let grant = need.add(&spare).min_each(&limit).max_each(&need);
        row.granted.insert(shard.to_string(), grant);
        self.plan.quotas.insert(team.to_string(), row);
    }
}

impl Draft<'_> {
    /// Releases the grants of the shards in `plannable` whose team has no task and no waiting job
    /// there. A grant in use is kept as it is, with its spare.
    pub(super) fn release_grants(&mut self, plannable: &BTreeMap<String, u64>) {
        for (team, cached) in &self.s.quotas {
            if self.plan.quotas.contains_key(team) {
                continue;
            }
            let idle: Vec<(String, u64)> = cached
                .row
                .granted
                .keys()
                .filter(|shard| !self.has_work(shard, team))
                .filter_map(|shard| Some((shard.clone(), *plannable.get(shard)?)))
                .collect();
            if idle.is_empty() {
                continue;
            }
            let mut row = cached.row.clone();
            for (shard, epoch) in idle {
                row.granted.remove(&shard);
                self.plan.leases.insert(shard, epoch);
            }
            self.plan.quotas.insert(team.clone(), row);
        }
    }

    /// Returns whether `team` has committed tasks or waiting jobs in `shard`.
    fn has_work(&self, shard: &str, team: &str) -> bool {
        let of_team = |id: &str| self.job(id).is_some_and(|j| j.team == team);
        let waiting = self.s.pending.get(shard).is_some_and(|m| m.keys().any(|id| of_team(id)));
        waiting || self.team_used(shard, team) != Resources::ZERO
    }
}
