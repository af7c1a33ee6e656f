//! Serves the jobs of a shard that have a pending-job entry: cancels, refuses or places them, moves
//! them to another shard, or preempts batch tasks for them.

use super::plan::{update_state, Draft};
use super::Shard;
use crate::entry::rows::{self, JobRow, JobState, TaskState};
use crate::kernel::arena::WorkerKey;
use crate::kernel::clock::Millis;
use crate::kernel::registry::{self, Candidate};
use crate::kernel::res::Class;
use crate::standin::api::StopReq;

/// Number of tasks placed in a round after which no further job is served, so that the
/// transaction stays small.
const MAX_PLACED_PER_ROUND: u64 = 200;

/// Age from which a waiting gang keeps batch work off its shard, so that capacity becomes free for
/// it, ms.
const GANG_DRAIN_MS: Millis = 5_000;

impl Draft<'_> {
    /// Serves the jobs with a pending-job entry by class, deadline and submission time.
    pub fn serve_jobs(&mut self, shard_name: &str, epoch: u64, shard: &Shard) {
        let Some(entries) = self.s.pending.get(shard_name) else { return };
        let mut order: Vec<(usize, Millis, Millis, &String)> = Vec::new();
        for id in entries.keys() {
            let Some(row) = self.job(id) else {
                self.plan.pending.insert((shard_name.to_string(), id.clone()), false);
                self.plan.leases.insert(shard_name.to_string(), epoch);
                continue;
            };
            if row.shard != shard_name {
                continue;
            }
            let due = row.spec.deadline_ms.map_or(Millis::MAX, |d| row.submitted + d);
            let rank = Class::ALL.iter().position(|c| *c == row.class).unwrap_or(0);
            order.push((rank, due, row.submitted, id));
        }
        order.sort();
        let mut gang_drains = false;
        for (_, _, _, id) in order {
            if self.plan.counts.placed >= MAX_PLACED_PER_ROUND {
                return;
            }
            let Some(row) = self.job(id) else { continue };
            let (class, gang_waits) = (row.class, self.gang_waits(row));
            match &row.state {
                JobState::Cancelled => self.finish_cancellation(shard_name, epoch, id),
                JobState::Pending if class == Class::Batch && gang_drains => {}
                JobState::Pending => {
                    self.serve_pending(shard_name, epoch, shard, id);
                    gang_drains |= gang_waits && self.job(id).is_some_and(JobRow::waiting);
                }
                JobState::Running | JobState::Finished { .. } | JobState::Refused { .. } => {
                    self.sync_pending(shard_name, epoch, id);
                }
            }
        }
    }

    /// Returns whether `row` is a gang that has waited for at least [`GANG_DRAIN_MS`].
    fn gang_waits(&self, row: &JobRow) -> bool {
        row.class == Class::Gang
            && row.state == JobState::Pending
            && self.plan.now >= row.submitted + GANG_DRAIN_MS
    }

    /// Stops the committed tasks of a cancelled job, and removes its pending-job entry once it
    /// has no committed tasks.
    fn finish_cancellation(&mut self, shard_name: &str, epoch: u64, id: &str) {
        if self.stop_tasks(shard_name, id, |t| t.worker.is_some()) == 0 {
            self.sync_pending(shard_name, epoch, id);
        }
    }

    /// Orders stops for the committed tasks of `id` that `selects` picks, and returns their number.
    fn stop_tasks(
        &mut self,
        shard_name: &str,
        id: &str,
        selects: impl Fn(&rows::TaskRow) -> bool,
    ) -> usize {
        let Some(row) = self.job(id) else { return 0 };
        let mut stops = Vec::new();
        for (n, t) in row.tasks.iter().enumerate().filter(|(_, t)| selects(t)) {
            let task = row.task_id(n);
            let Some(worker) = &t.worker else { continue };
            let Some(&k) = self.s.names.get(worker) else { continue };
            if self.commitments(k).tasks.contains_key(&task) {
                stops.push(StopReq { task, attempt: t.attempt, worker: worker.clone() });
            }
        }
        let committed = stops.len();
        self.plan.stops.extend(stops.into_iter().map(|s| (shard_name.to_string(), s)));
        committed
    }

    /// Refuses, places or moves a job with waiting tasks, or preempts batch tasks for it.
    fn serve_pending(&mut self, shard_name: &str, epoch: u64, shard: &Shard, id: &str) {
        let Some(row) = self.job(id) else { return };
        if let Some(reason) = self.refusal(row) {
            return self.refuse(shard_name, epoch, id, reason);
        }
        if row.class == Class::Gang && row.placed() {
            // A member ended early. The members of a gang only work together, so the others are
            // stopped and the whole gang is placed again.
            self.stop_tasks(shard_name, id, |t| t.state == TaskState::Placed);
            return;
        }
        if row.class == Class::Gang && row.tasks.iter().any(|t| t.state == TaskState::Failed) {
            self.fail_gang(shard_name, epoch, id);
            return;
        }
        if row.retry > self.plan.now {
            return;
        }
        let unplaced = self.place_waiting(shard_name, epoch, shard, id);
        if unplaced > 0 {
            self.migrate_or_preempt(shard_name, epoch, shard, id, unplaced);
        }
    }

    /// Places as many waiting tasks of a job as quota and free capacity allow. Returns the number
    /// of tasks that the quota allows but that do not fit.
    fn place_waiting(&mut self, shard_name: &str, epoch: u64, shard: &Shard, id: &str) -> usize {
        let Some(row) = self.job(id) else { return 0 };
        let Some(entry) = self.cx.cat.entries.get(&row.spec.entry) else { return 0 };
        let (demand, class, team) = (row.spec.demand, row.class, row.team.clone());
        let waiting: Vec<usize> = waiting_tasks(row);
        let pool = self.candidates(shard, row);
        let allowed =
            self.quota_headroom(shard_name, &team, &entry.quota, &demand, waiting.len() as u64);
        let wanted = waiting.len().min(allowed as usize);
        if wanted < waiting.len() {
            self.plan.counts.over_quota += 1;
            self.plan.blocked.insert(team.clone());
            if class == Class::Gang || wanted == 0 {
                return 0;
            }
        }
        let chosen = (registry::policy(class).choose)(&demand, wanted, &pool).unwrap_or_default();
        let placed = chosen.len();
        if placed > 0 {
            self.grant(shard_name, &team, &entry.quota, &demand.times(placed as u64));
            for (&n, k) in waiting.iter().zip(chosen) {
                self.place(shard_name, epoch, id, n, k);
            }
            self.sync_pending(shard_name, epoch, id);
        }
        wanted - placed
    }

    /// Moves a job that does not fit here to another shard, or preempts batch tasks for `unplaced`
    /// of its tasks. Urgent work preempts only if no other shard has capacity for it.
    fn migrate_or_preempt(
        &mut self,
        shard_name: &str,
        epoch: u64,
        shard: &Shard,
        id: &str,
        unplaced: usize,
    ) {
        if self.migrate(shard_name, epoch, id) {
            return;
        }
        let Some(row) = self.job(id) else { return };
        let demand = row.spec.demand;
        if row.class == Class::Urgent && self.shard_with_capacity(shard_name, row).is_none() {
            self.preempt(shard_name, shard, &demand, unplaced);
        }
    }

    /// Returns the reason if a job can no longer run. A job is refused only if none of its tasks
    /// was ever placed.
    fn refusal(&self, row: &JobRow) -> Option<&'static str> {
        if row.ever_placed() {
            return None;
        }
        if row.spec.deadline_ms.is_some_and(|d| self.plan.now > row.submitted + d) {
            return Some("deadline passed before a place was found");
        }
        if self.cx.cat.version < row.catalogue {
            // The job was accepted under a later catalogue than the one on this instance.
            return None;
        }
        match self.cx.cat.entries.get(&row.spec.entry) {
            None => Some("its catalogue entry was removed"),
            Some(e) if !row.spec.demand.fits(&e.limits) => {
                Some("its catalogue entry's limits were lowered below what a task declares")
            }
            Some(_) => None,
        }
    }

    /// Refuses a job as not run. The refusal is committed before a caller can read it: with its
    /// tasks refused and its pending-job entry removed, no task of the job is placed afterwards.
    fn refuse(&mut self, shard_name: &str, epoch: u64, id: &str, reason: &str) {
        let Some(row) = self.job_mut(id) else { return };
        row.state = JobState::Refused { reason: reason.into() };
        row.tasks.iter_mut().for_each(|t| t.state = TaskState::Refused);
        self.plan.counts.refused += 1;
        self.sync_pending(shard_name, epoch, id);
    }

    /// Fails the waiting tasks of a gang of which a member has failed permanently.
    fn fail_gang(&mut self, shard_name: &str, epoch: u64, id: &str) {
        let now = self.plan.now;
        let Some(row) = self.job_mut(id) else { return };
        for t in row.tasks.iter_mut().filter(|t| t.state == TaskState::Pending) {
            t.state = TaskState::Failed;
        }
        update_state(row, now);
        self.sync_pending(shard_name, epoch, id);
    }

    /// Returns the workers of the shard on which a task of `row` may be placed. Workers on which
    /// the job has failed are left out as long as others fit. A second failure elsewhere shows that
    /// the job is faulty, a success that the worker is, at the cost of one attempt.
    fn candidates(&self, shard: &Shard, row: &JobRow) -> Vec<Candidate> {
        let usable = |k: &WorkerKey| {
            let w = self.s.workers.get(*k);
            w.avoid_until <= self.plan.now && !w.unreachable
        };
        let fits = |c: &Candidate| row.spec.demand.fits(&c.free);
        let workers = shard.workers.iter().copied().filter(usable);
        let mut pool: Vec<_> = workers.map(|k| self.candidate(k, row)).filter(fits).collect();
        let failed_here =
            |c: &Candidate| row.failed_on.contains(&self.s.workers.get(c.key).info.name);
        if row.class != Class::Gang && !pool.iter().all(failed_here) {
            pool.retain(|c| !failed_here(c));
        }
        pool
    }

    /// Describes worker `key` to the placement policy as a candidate for a task of `row`.
    fn candidate(&self, key: WorkerKey, row: &JobRow) -> Candidate {
        let (w, commitments) = (self.s.workers.get(key), self.commitments(key));
        let own = format!("{}.", row.id);
        let same_job = match row.class {
            Class::Service => {
                commitments.tasks.keys().filter(|t| t.starts_with(&own)).count() as u32
            }
            Class::Urgent | Class::Batch | Class::Gang => 0,
        };
        let (rack, cap) = (w.info.rack, w.info.cap);
        Candidate { key, rack, free: cap.sub(&commitments.used), cap, same_job }
    }

    /// Places task `n` of job `id` on worker `k` and orders its start.
    fn place(&mut self, shard_name: &str, epoch: u64, id: &str, n: usize, k: WorkerKey) {
        let now = self.plan.now;
        let worker = self.s.workers.get(k).info.name.clone();
        let Some(row) = self.job_mut(id) else { return };
        let (task, demand) = (row.task_id(n), row.spec.demand);
        let t = &mut row.tasks[n];
        t.state = TaskState::Placed;
        t.worker = Some(worker.clone());
        t.epoch = epoch;
        t.attempt += 1;
        update_state(row, now);
        self.commitments_mut(k).add(&task, demand);
        self.plan.counts.placed += 1;
        self.order_start(shard_name, epoch, id, n, &worker);
    }
}

/// Returns the numbers of the tasks that wait for placement.
fn waiting_tasks(row: &JobRow) -> Vec<usize> {
    let waits = |t: &rows::TaskRow| t.state == TaskState::Pending;
    row.tasks.iter().enumerate().filter(|(_, t)| waits(t)).map(|(n, _)| n).collect()
}
