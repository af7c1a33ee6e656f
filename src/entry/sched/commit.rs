//! Commits a plan: one transaction for all shards that the plan changes, fenced by the lease of
//! each shard and conditional on the version of every row that it replaces. It carries an
//! idempotency key, so that it can be sent again after a lost answer.

use super::plan::{FailureCause, Plan};
use super::{Cached, Ctx, Sched, AVOID_AFTER, AVOID_MS};
use crate::entry::jobs;
use crate::entry::rows;
use crate::kernel::arena::WorkerKey;
use crate::standin::client::PlatformError;
use crate::standin::table::{Cond, Op, Outcome, Txn};
use crate::standin::tasks::shard_of;
use crate::standin::{lease_key, place_key, LEASE_PREFIX};
use std::collections::{BTreeMap, BTreeSet};

/// One worker in this many of a shard, rounded up, may be avoided at a time, so that a burst of
/// jobs that fail everywhere does not leave the shard without workers.
const AVOID_AT_MOST_ONE_IN: usize = 4;

/// Number of rounds after which the quota rows of teams that wait for quota are read again.
const REREAD_ROUNDS: u64 = 5;

/// Result of a commit.
pub(super) enum CommitResult {
    /// The plan was committed, or there was nothing to commit.
    Done,
    /// A row had changed; the caller must read it again and make a new plan.
    Conflict,
    /// The lease of this shard was lost.
    LeaseLost(String),
}

impl Sched {
    /// Commits `plan` and applies it to the caches.
    pub(super) async fn commit(
        &mut self,
        cx: &Ctx<'_>,
        plan: Plan,
    ) -> Result<CommitResult, PlatformError> {
        if !plan.has_writes() {
            self.apply_committed(cx, plan, &BTreeMap::new());
            return Ok(CommitResult::Done);
        }
        self.seq += 1;
        let txn = self.transaction(cx, &plan);
        match jobs::apply_with_retries(cx.platform, cx.clock, &txn).await {
            Ok(Outcome::Committed { versions, .. }) => {
                self.counts.commits += 1;
                metrics::counter!("entry_tasks_placed").increment(plan.counts.placed);
                self.apply_committed(cx, plan, &versions);
                Ok(CommitResult::Done)
            }
            Ok(Outcome::Conflict { key, .. }) => {
                self.counts.conflicts += 1;
                let row_kind = key.split('/').next().unwrap_or_default().to_string();
                metrics::counter!("entry_commit_conflicts", "row" => row_kind).increment(1);
                Ok(self.drop_stale(cx, &key))
            }
            Err(e) => {
                // The outcome is unknown, even after retries with the same key. Every shard that
                // the plan changes is read and reconciled before it is planned again, so that no
                // commitment counts twice and no placed task stays without a start.
                plan.leases.keys().for_each(|s| self.unload(s));
                plan.jobs.keys().for_each(|id| drop(self.jobs.remove(id)));
                plan.quotas.keys().for_each(|t| drop(self.quotas.remove(t)));
                Err(e)
            }
        }
    }

    fn transaction(&self, cx: &Ctx<'_>, plan: &Plan) -> Txn {
        let mut conds: Vec<Cond> = plan
            .leases
            .iter()
            .map(|(s, &epoch)| Cond::Lease { key: lease_key(s), holder: cx.me.into(), epoch })
            .collect();
        let mut ops = Vec::new();
        let mut put = |key: String, version: u64, value: serde_json::Value| {
            conds.push(Cond::Version { key: key.clone(), version });
            ops.push(Op::Put { key, value });
        };
        for (id, row) in &plan.jobs {
            let version = self.jobs.get(id).map_or(0, |c| c.version);
            put(rows::job_key(id), version, rows::encode(row));
        }
        for (team, row) in &plan.quotas {
            let version = self.quotas.get(team).map_or(0, |c| c.version);
            put(rows::quota_key(cx.domain, team), version, rows::encode(row));
        }
        ops.extend(plan.places.iter().map(|((shard, task), place)| match place {
            Some(p) => Op::Put { key: place_key(shard, task), value: p.value() },
            None => Op::Delete { key: place_key(shard, task) },
        }));
        ops.extend(plan.pending.iter().map(|((shard, id), set)| {
            let key = rows::pending_key(cx.domain, shard, id);
            match set {
                true => rows::put_marker(key),
                false => Op::Delete { key },
            }
        }));
        let done = |(shard, id): &(String, String)| {
            rows::put_marker(rows::done_key(cx.domain, shard, plan.now, id))
        };
        ops.extend(plan.done.iter().map(done));
        let idem = Some(format!("round/{}/{:x}/{}", cx.me, self.nonce, self.seq));
        Txn { conds, ops, idem }
    }

    /// Drops the cached row that a conflict at `key` showed to be stale.
    fn drop_stale(&mut self, cx: &Ctx<'_>, key: &str) -> CommitResult {
        if let Some(shard) = key.strip_prefix(LEASE_PREFIX) {
            return CommitResult::LeaseLost(shard.to_string());
        }
        if let Some(id) = key.strip_prefix(rows::JOB_PREFIX) {
            self.jobs.remove(id);
        }
        if let Some(team) = key.strip_prefix(&rows::quota_prefix(cx.domain)) {
            self.quotas.remove(team);
        }
        CommitResult::Conflict
    }

    /// Applies a committed plan to the caches and queues its orders.
    fn apply_committed(&mut self, cx: &Ctx<'_>, plan: Plan, versions: &BTreeMap<String, u64>) {
        let version = |key: String, old: u64| versions.get(&key).copied().unwrap_or(old + 1);
        for (k, commitments) in plan.commitments {
            self.workers.get_mut(k).commitments = commitments;
        }
        for (id, row) in plan.jobs {
            let old = self.jobs.get(&id).map_or(0, |c| c.version);
            let version = version(rows::job_key(&id), old);
            self.jobs.insert(id, Cached { version, row });
        }
        for (team, row) in plan.quotas {
            let old = self.quotas.get(&team).map_or(0, |c| c.version);
            let version = version(rows::quota_key(cx.domain, &team), old);
            self.quotas.insert(team, Cached { version, row });
        }
        for ((shard, id), set) in plan.pending {
            let m = self.pending.entry(shard).or_default();
            if set {
                m.entry(id).or_insert(plan.now);
            } else {
                m.remove(&id);
            }
        }
        for (name, seq) in plan.acked {
            let Some(s) = self.shards.get_mut(&name) else { continue };
            s.acked = seq;
            for completion in std::mem::take(&mut s.ended) {
                if s.stopping.get(&completion.task).is_some_and(|r| r.attempt <= completion.attempt)
                {
                    s.stopping.remove(&completion.task);
                }
                if s.unstarted
                    .get(&completion.task)
                    .is_some_and(|r| r.attempt <= completion.attempt)
                {
                    s.unstarted.remove(&completion.task);
                }
            }
        }
        for name in plan.reconciled {
            if let Some(s) = self.shards.get_mut(&name) {
                s.running = None;
            }
        }
        for (name, req) in plan.starts {
            if let Some(s) = self.shards.get_mut(&name) {
                s.unstarted.insert(req.task.clone(), req);
            }
        }
        for (name, req) in plan.stops {
            if let Some(s) = self.shards.get_mut(&name) {
                s.unstarted.remove(&req.task);
                s.stopping.entry(req.task.clone()).or_insert(req);
            }
        }
        if self.counts.rounds.is_multiple_of(REREAD_ROUNDS) {
            plan.blocked.iter().for_each(|t| drop(self.quotas.remove(t)));
        }
        for (k, task, cause) in plan.causes {
            self.record_completion(k, &task, cause, plan.now);
        }
        self.counts.add(&plan.counts);
    }

    /// Updates the failure record of worker `k` after a completion of `task`. A faulty worker shows
    /// by failed tasks of jobs that failed on no other worker, and is avoided for [`AVOID_MS`]. A
    /// job that fails on two workers is faulty itself, and its failures are removed from all
    /// workers.
    fn record_completion(&mut self, k: WorkerKey, task: &str, cause: FailureCause, now: u64) {
        match cause {
            FailureCause::NotFailed => {
                let w = self.workers.get_mut(k);
                (w.failures, w.avoid_until) = (BTreeSet::new(), 0);
            }
            FailureCause::Worker => self.record_failure(k, task, now),
            FailureCause::Job => {
                if let Some((job, _)) = rows::task_parts(task) {
                    self.clear_failures(&format!("{job}."));
                }
            }
        }
    }

    /// Records a failure of `task` on worker `k`, which is avoided from [`AVOID_AFTER`] such
    /// failures on, unless too many workers of its shard are avoided already.
    fn record_failure(&mut self, k: WorkerKey, task: &str, now: u64) {
        let shard = shard_of(&self.workers.get(k).info);
        let shard_workers = self.shards.get(&shard).map_or(&[][..], |s| &s.workers);
        let avoided =
            shard_workers.iter().filter(|&&p| self.workers.get(p).avoid_until > now).count();
        let allowed = avoided < shard_workers.len().div_ceil(AVOID_AT_MOST_ONE_IN);
        let w = self.workers.get_mut(k);
        w.failures.insert(task.to_string());
        if w.failures.len() >= AVOID_AFTER && allowed && w.avoid_until <= now {
            w.avoid_until = now + AVOID_MS;
            log::warn!("worker {} avoided for {AVOID_MS} ms", w.info.name);
            metrics::counter!("entry_workers_avoided").increment(1);
        }
    }

    /// Removes the tasks of a job, given by their common prefix, from the failures of all workers.
    fn clear_failures(&mut self, prefix: &str) {
        for (_, w) in self.workers.iter_mut() {
            w.failures.retain(|t| !t.starts_with(prefix));
            if w.failures.len() < AVOID_AFTER {
                w.avoid_until = 0;
            }
        }
    }
}
