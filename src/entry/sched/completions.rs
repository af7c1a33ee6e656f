//! Applies the workers' reports to a plan: completions of tasks, workers considered lost, and the
//! tasks that run in a newly acquired shard.

use super::plan::{update_state, Draft, FailureCause};
use super::{Shard, MAX_FAILS};
use crate::entry::rows::{self, TaskState};
use crate::kernel::clock::Millis;
use crate::kernel::res::Class;
use crate::standin::tasks::{Completion, EndKind};
use std::collections::BTreeMap;

/// Delay before a failed task is placed again, ms. It doubles with each failure, so that a
/// temporary cause has time to pass and tasks that fail at once do not overload the table.
const RETRY_MS: Millis = 100;

/// Most times that the delay doubles.
const MAX_DOUBLINGS: u32 = 6;

/// Margin for clock drift and message delay before the task leases of an unreachable worker count
/// as expired, ms, in addition to a twentieth of the lease.
const LEASE_EXPIRY_MARGIN_MS: Millis = 1_000;

impl Draft<'_> {
    /// Applies the completions that the workers of a shard reported.
    pub fn apply_completions(&mut self, shard_name: &str, epoch: u64, shard: &Shard) {
        for completion in &shard.ended {
            self.apply_completion(shard_name, epoch, completion);
            self.plan.acked.insert(shard_name.to_string(), completion.seq);
        }
    }

    fn apply_completion(&mut self, shard_name: &str, epoch: u64, completion: &Completion) {
        let Some(&k) = self.s.names.get(&completion.worker) else { return };
        let Some((id, n)) = rows::task_parts(&completion.task) else { return };
        let Some(t) = self.job(id).and_then(|j| j.tasks.get(n)) else {
            self.release(shard_name, epoch, k, &completion.task);
            return;
        };
        // The completion of an earlier attempt says nothing about the current one, which may run
        // on the same worker. Without the check of the attempt the task would run twice.
        if t.attempt != completion.attempt
            || t.worker.as_deref() != Some(completion.worker.as_str())
        {
            return;
        }
        let placed = t.state == TaskState::Placed;
        self.release(shard_name, epoch, k, &completion.task);
        if let Some(failure_cause) = self.failure_cause(id, completion) {
            self.plan.causes.push((k, completion.task.clone(), failure_cause));
        }
        if placed {
            self.end_task(shard_name, epoch, id, n, completion.how, completion.saved);
        }
    }

    /// Returns the cause to record for `completion` of a task of job `id`; none if it says
    /// nothing about worker or job.
    fn failure_cause(&self, id: &str, completion: &Completion) -> Option<FailureCause> {
        let failed_elsewhere =
            || self.job(id).is_some_and(|j| j.failed_on.iter().any(|w| *w != completion.worker));
        match completion.how {
            EndKind::Done => Some(FailureCause::NotFailed),
            EndKind::Failed if failed_elsewhere() => Some(FailureCause::Job),
            EndKind::Failed => Some(FailureCause::Worker),
            EndKind::Stopped | EndKind::Lapsed => None,
        }
    }

    /// Sets the next state of task `n` of job `id` after its current attempt ended as `end_kind`.
    fn end_task(
        &mut self,
        shard_name: &str,
        epoch: u64,
        id: &str,
        n: usize,
        end_kind: EndKind,
        saved: u8,
    ) {
        let now = self.plan.now;
        let Some(row) = self.job_mut(id) else { return };
        let service = row.class == Class::Service;
        let t = &mut row.tasks[n];
        let worker = t.worker.take();
        t.saved = if end_kind == EndKind::Failed { 0 } else { saved };
        t.fails += u32::from(end_kind == EndKind::Failed);
        t.state = match end_kind {
            EndKind::Done => TaskState::Finished,
            EndKind::Failed if t.fails >= MAX_FAILS && !service => TaskState::Failed,
            EndKind::Failed | EndKind::Stopped | EndKind::Lapsed => TaskState::Pending,
        };
        if end_kind == EndKind::Failed {
            let doublings = row.tasks[n].fails.min(MAX_DOUBLINGS);
            row.retry = now + (RETRY_MS << doublings);
            row.failed_on.extend(worker);
        }
        update_state(row, now);
        match end_kind {
            EndKind::Done => self.plan.counts.finished += 1,
            EndKind::Failed => self.plan.counts.failed += 1,
            EndKind::Lapsed => self.plan.counts.lost += 1,
            EndKind::Stopped => {}
        }
        self.sync_pending(shard_name, epoch, id);
    }

    /// Marks tasks as lost on workers that were unreachable for longer than a task lease. By then
    /// the worker has killed them by its own clock, and every order that could still start them
    /// has expired (see [`super::orders`]), so they can be placed again and run in one place only.
    pub fn mark_lost(&mut self, shard_name: &str, epoch: u64, shard: &Shard) {
        let lease_ms = self.cx.hold_ms;
        let lost_after = lease_ms + lease_ms / 20 + LEASE_EXPIRY_MARGIN_MS;
        for &k in &shard.workers {
            let w = self.s.workers.get(k);
            if !w.unreachable
                || self.plan.now < w.last_contact + lost_after
                || self.commitments(k).tasks.is_empty()
            {
                continue;
            }
            log::warn!("worker {} lost: unreachable for over {lost_after} ms", w.info.name);
            let tasks: Vec<String> = self.commitments(k).tasks.keys().cloned().collect();
            for task in tasks {
                self.release(shard_name, epoch, k, &task);
                let Some((id, n)) = rows::task_parts(&task) else { continue };
                let placed = self.job(id).and_then(|j| j.tasks.get(n)).is_some_and(|t| {
                    t.state == TaskState::Placed && t.worker.as_ref() == Some(&w.info.name)
                });
                if placed {
                    self.end_task(shard_name, epoch, id, n, EndKind::Lapsed, 0);
                }
            }
        }
    }

    /// Reconciles a newly acquired shard with the tasks that its workers run. Running tasks are
    /// kept, tasks that the previous holder placed but did not start are started, and commitments
    /// of tasks that neither run nor have a job row are released. Without this, a task whose holder
    /// failed between the commit and the start would stay placed and never run.
    pub fn reconcile(
        &mut self,
        shard_name: &str,
        epoch: u64,
        shard: &Shard,
        running: &BTreeMap<String, (u32, String)>,
    ) {
        for &k in &shard.workers {
            let worker = self.s.workers.get(k).info.name.clone();
            let tasks: Vec<String> = self.commitments(k).tasks.keys().cloned().collect();
            for task in tasks {
                let Some((id, n)) = rows::task_parts(&task) else { continue };
                let Some(row) = self.job(id) else {
                    if !running.contains_key(&task) {
                        self.release(shard_name, epoch, k, &task);
                    }
                    continue;
                };
                let Some(t) = row.tasks.get(n) else { continue };
                let runs = running.get(&task).is_some_and(|(a, w)| *a == t.attempt && *w == worker);
                if t.state == TaskState::Placed && !runs {
                    self.restart(shard_name, epoch, id, n, &worker);
                }
            }
        }
        self.plan.reconciled.insert(shard_name.to_string());
    }

    /// Orders the start of a placed task again, under the epoch of this holder and with the same
    /// attempt. A worker that has already run the attempt refuses it and reports its completion.
    fn restart(&mut self, shard_name: &str, epoch: u64, id: &str, n: usize, worker: &str) {
        let Some(row) = self.job_mut(id) else { return };
        row.tasks[n].epoch = epoch;
        self.plan.counts.recovered += 1;
        self.order_start(shard_name, epoch, id, n, worker);
        self.sync_pending(shard_name, epoch, id);
    }
}
