//! Plans one round without I/O: computes the rows to write, the starts and the stops from the
//! cached rows and the workers' reports. The state of the scheduler does not change until the plan
//! is committed, so a plan that meets a conflict is dropped.

use super::{Commitments, Counts, Ctx, Sched};
use crate::entry::rows::{JobRow, JobState, QuotaRow, TaskState};
use crate::kernel::arena::WorkerKey;
use crate::kernel::clock::Millis;
use crate::kernel::res::Resources;
use crate::standin::api::StopReq;
use crate::standin::tasks::StartReq;
use crate::standin::{lease_key, PlaceRow};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// Number of rounds from one release of unused quota grants to the next. The interval is long
/// enough that a team with a low, steady rate of short tasks keeps its grant, which saves a write
/// and a likely conflict for each job.
const GRANT_RELEASE_ROUNDS: u64 = 48;

/// Cause of a completion, as far as the failure record of the worker is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The task finished successfully.
    NotFailed,
    /// The worker is assumed to be faulty: the job has failed on no other worker.
    Worker,
    /// The job is faulty: it has failed on another worker too.
    Job,
}

/// Rows to write and orders to send for one round.
#[derive(Debug, Default)]
pub struct Plan {
    /// Shards that the plan changes, with the epoch that fences the commit.
    pub leases: BTreeMap<String, u64>,
    /// New commitments of the workers that the plan changes.
    pub commitments: BTreeMap<WorkerKey, Commitments>,
    /// New job rows, by job id.
    pub jobs: BTreeMap<String, JobRow>,
    /// New quota rows, by team.
    pub quotas: BTreeMap<String, QuotaRow>,
    /// Placement rows by (shard, task): written if some, deleted if none.
    pub places: BTreeMap<(String, String), Option<PlaceRow>>,
    /// Pending-job entries to set (true) or remove (false), by (shard, job).
    pub pending: BTreeMap<(String, String), bool>,
    /// Jobs that ended in this round, by (shard, job).
    pub done: BTreeSet<(String, String)>,
    /// Starts to send after the commit, with their shard.
    pub starts: Vec<(String, StartReq)>,
    /// Stops to send, with their shard. They need no commit.
    pub stops: Vec<(String, StopReq)>,
    /// Highest sequence number of the completions applied, by shard.
    pub acked: BTreeMap<String, u64>,
    /// Shards reconciled with the tasks that their workers run.
    pub reconciled: BTreeSet<String>,
    /// Completions to add to the failure records: worker, task and cause.
    pub causes: Vec<(WorkerKey, String, FailureCause)>,
    /// Teams whose jobs wait for quota; their quota rows are read again.
    pub blocked: BTreeSet<String>,
    /// Local time at which the round was planned, ms.
    pub now: Millis,
    /// Increments of the scheduler's counters.
    pub counts: Counts,
}

impl Plan {
    /// Returns whether the plan has rows to write.
    pub fn has_writes(&self) -> bool {
        !self.places.is_empty()
            || !self.jobs.is_empty()
            || !self.quotas.is_empty()
            || !self.pending.is_empty()
    }
}

/// A plan under construction, on top of the unchanged state of the scheduler.
pub(super) struct Draft<'a> {
    pub s: &'a Sched,
    pub cx: &'a Ctx<'a>,
    pub plan: Plan,
    /// Cached resources of teams, by (shard, team), cleared when a commitment changes. Thousands of
    /// waiting jobs need the same few sums.
    pub used: RefCell<BTreeMap<(String, String), Resources>>,
}

impl Sched {
    /// Plans a round over the shards in `plannable`.
    pub(super) fn plan(&self, cx: &Ctx<'_>, plannable: &BTreeMap<String, u64>) -> Plan {
        let now = cx.clock.now();
        let plan = Plan { now, ..Plan::default() };
        let mut d = Draft { s: self, cx, plan, used: RefCell::default() };
        for (shard_name, &epoch) in plannable {
            let Some(shard) = self.shards.get(shard_name) else { continue };
            if shard.loaded != Some(epoch) {
                continue;
            }
            d.apply_completions(shard_name, epoch, shard);
            d.mark_lost(shard_name, epoch, shard);
            if let Some(running) = &shard.running {
                d.reconcile(shard_name, epoch, shard, running);
            }
            // Jobs are served only once this instance has a catalogue.
            if cx.cat.version > 0 {
                d.serve_jobs(shard_name, epoch, shard);
            }
        }
        if self.counts.rounds.is_multiple_of(GRANT_RELEASE_ROUNDS) {
            d.release_grants(plannable);
        }
        d.plan
    }
}

impl Draft<'_> {
    /// Returns the row of a job, with the changes of the plan.
    pub fn job(&self, id: &str) -> Option<&JobRow> {
        self.plan.jobs.get(id).or_else(|| self.s.jobs.get(id).map(|c| &c.row))
    }

    /// Returns the row of a job for changes within the plan.
    pub fn job_mut(&mut self, id: &str) -> Option<&mut JobRow> {
        if !self.plan.jobs.contains_key(id) {
            let row = self.s.jobs.get(id)?.row.clone();
            self.plan.jobs.insert(id.to_string(), row);
        }
        self.plan.jobs.get_mut(id)
    }

    /// Returns the commitments of a worker, with the changes of the plan.
    pub fn commitments(&self, k: WorkerKey) -> &Commitments {
        self.plan.commitments.get(&k).unwrap_or(&self.s.workers.get(k).commitments)
    }

    /// Returns the commitments of a worker for changes within the plan.
    pub fn commitments_mut(&mut self, k: WorkerKey) -> &mut Commitments {
        self.used.get_mut().clear();
        let s = self.s;
        self.plan.commitments.entry(k).or_insert_with(|| s.workers.get(k).commitments.clone())
    }

    /// Releases the commitment and the placement row of a task on worker `k`.
    pub fn release(&mut self, shard: &str, epoch: u64, k: WorkerKey, task: &str) {
        if self.commitments(k).tasks.contains_key(task) {
            self.commitments_mut(k).remove(task);
            self.plan.places.insert((shard.to_string(), task.to_string()), None);
            self.plan.leases.insert(shard.to_string(), epoch);
        }
    }

    /// Makes the commit conditional on the lease of the shard, and updates the pending-job entry of
    /// a job after a change of its row.
    pub fn sync_pending(&mut self, shard_name: &str, epoch: u64, id: &str) {
        self.plan.leases.insert(shard_name.to_string(), epoch);
        let Some(row) = self.job(id) else { return };
        let (waits, ended) = (row.waiting() && !row.ended(), row.ended());
        let key = (shard_name.to_string(), id.to_string());
        let listed = self.s.pending.get(shard_name).is_some_and(|m| m.contains_key(id));
        match (listed, waits) {
            (false, true) => drop(self.plan.pending.insert(key.clone(), true)),
            (true, false) => drop(self.plan.pending.insert(key.clone(), false)),
            _ => drop(self.plan.pending.remove(&key)),
        }
        let ended_before = self.s.jobs.get(id).is_some_and(|c| c.row.ended());
        if ended && !ended_before {
            self.plan.done.insert(key);
        }
    }

    /// Adds the placement row and the start order of task `n` of job `id`.
    pub fn order_start(&mut self, shard_name: &str, epoch: u64, id: &str, n: usize, worker: &str) {
        let hold_ms = self.cx.hold_ms;
        let Some(row) = self.job(id) else { return };
        let (task, t) = (row.task_id(n), &row.tasks[n]);
        let req = StartReq {
            task: task.clone(),
            attempt: t.attempt,
            worker: worker.to_string(),
            lease: lease_key(shard_name),
            epoch,
            demand: row.spec.demand,
            run_ms: row.spec.run_ms,
            saved: t.saved,
            valid_until: 0,
            hold_ms,
        };
        let (worker, attempt, demand) = (worker.to_string(), t.attempt, row.spec.demand);
        let place = PlaceRow { worker, epoch, attempt, demand };
        self.plan.places.insert((shard_name.to_string(), task), Some(place));
        self.plan.starts.push((shard_name.to_string(), req));
    }

    /// Moves a job from shard `from` to shard `to`; see [`super::migrate`].
    pub fn move_job(&mut self, from: &str, epoch: u64, id: &str, to: &str) {
        let Some(row) = self.job_mut(id) else { return };
        row.shard = to.to_string();
        row.moves += 1;
        self.plan.leases.insert(from.to_string(), epoch);
        self.plan.pending.insert((from.to_string(), id.to_string()), false);
        self.plan.pending.insert((to.to_string(), id.to_string()), true);
        self.plan.counts.migrated += 1;
    }
}

/// Derives the state of a job from the states of its tasks.
pub(super) fn update_state(row: &mut JobRow, now: Millis) {
    if matches!(row.state, JobState::Refused { .. } | JobState::Cancelled) {
        return;
    }
    if row.started.is_none() && row.placed() {
        row.started = Some(now);
    }
    row.state = if row.tasks.iter().all(|t| t.state.ended()) {
        let failed = row.tasks.iter().filter(|t| t.state == TaskState::Failed).count();
        JobState::Finished { failed: failed as u32 }
    } else if row.waiting() {
        JobState::Pending
    } else {
        JobState::Running
    };
}
