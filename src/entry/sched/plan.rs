//! Planning one round, without I/O: from the cached rows and the workers' reports to the rows to
//! write, the starts and the stops. Nothing of the scheduler's state changes until the plan is
//! committed, so a plan that meets a conflict is simply dropped.

use super::{Commit, Counts, Ctx, Sched, Shard, MAX_FAILS};
use crate::entry::rows::{self, JobRow, JobState, QuotaRow, TaskState};
use crate::kernel::arena::WorkerKey;
use crate::kernel::clock::Millis;
use crate::kernel::registry::{self, Candidate};
use crate::kernel::res::{Class, Resources};
use crate::platform::api::StopReq;
use crate::platform::workers::{Ended, How, StartReq};
use crate::platform::{lease_key, PlaceRow};
use std::collections::{BTreeMap, BTreeSet};

/// Most tasks placed in one round, so that its transaction stays small.
const MAX_STARTS: u64 = 200;

/// A waiting gang this old keeps batch work off its shard, so that the shard drains for it, ms.
const GANG_DRAIN_MS: Millis = 5_000;

/// Idle quota parts are given back every this many rounds: rarely enough that a team with a
/// steady trickle of short tasks keeps its part, which saves a write and a likely conflict a job.
const GIVE_BACK_ROUNDS: u64 = 48;

/// Wait before a failed task is placed again, ms; doubles with each failure, so that a cause
/// that passes has time to, and tasks that fail at once do not flood the table.
const RETRY_MS: Millis = 100;

/// The wait doubles at most this often.
const MAX_DOUBLINGS: u32 = 6;

/// Clock drift and delay allowed for before a silent worker's task leases count as run out:
/// a twentieth of the lease, plus this many ms.
const LAPSE_MARGIN_MS: Millis = 1_000;

/// Whose fault an end was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nobody's: the task did its work.
    Nobody,
    /// The worker's, as far as is known: the job failed nowhere else.
    Worker,
    /// The job's: it failed on another worker too.
    Job,
}

/// What one round wants to write and order.
#[derive(Debug, Default)]
pub struct Plan {
    /// Shards it touches, with the epoch that fences the commit.
    pub leases: BTreeMap<String, u64>,
    /// What is committed then on the workers it touches.
    pub commits: BTreeMap<WorkerKey, Commit>,
    /// New job rows.
    pub jobs: BTreeMap<String, JobRow>,
    /// New quota rows, by team.
    pub quotas: BTreeMap<String, QuotaRow>,
    /// Placement rows by (shard, task): written when some, removed when none.
    pub places: BTreeMap<(String, String), Option<PlaceRow>>,
    /// Marks to set (true) or remove, by (shard, job).
    pub marks: BTreeMap<(String, String), bool>,
    /// Jobs that ended in this round, by (shard, job).
    pub done: BTreeSet<(String, String)>,
    /// Starts to send once committed, with their shard.
    pub starts: Vec<(String, StartReq)>,
    /// Stops to send, with their shard; they need no commit.
    pub stops: Vec<(String, StopReq)>,
    /// Ends taken in, by shard.
    pub acked: BTreeMap<String, u64>,
    /// Shards reconciled with what their workers run.
    pub reconciled: BTreeSet<String>,
    /// Ends on workers, by task, and whose fault they were.
    pub faults: Vec<(WorkerKey, String, Fault)>,
    /// Teams whose jobs waited for quota: their rows are read anew.
    pub blocked: BTreeSet<String>,
    /// When the round was planned, local ms.
    pub now: Millis,
    /// What it counts.
    pub counts: Counts,
}

impl Plan {
    /// Whether there is anything to write.
    pub fn writes(&self) -> bool {
        !self.places.is_empty()
            || !self.jobs.is_empty()
            || !self.quotas.is_empty()
            || !self.marks.is_empty()
    }
}

/// A plan in the making over the scheduler's unchanged state.
pub(super) struct Draft<'a> {
    pub s: &'a Sched,
    pub cx: &'a Ctx<'a>,
    pub plan: Plan,
}

impl Sched {
    /// Plans a round over the shards in `live`.
    pub(super) fn plan(&self, cx: &Ctx<'_>, live: &BTreeMap<String, u64>) -> Plan {
        let now = cx.clock.now();
        let mut d = Draft { s: self, cx, plan: Plan { now, ..Plan::default() } };
        for (name, &epoch) in live {
            let Some(shard) = self.shards.get(name) else { continue };
            if shard.loaded != Some(epoch) {
                continue;
            }
            d.take_ends(name, epoch, shard);
            d.give_up_lost(name, epoch, shard);
            if let Some(running) = &shard.running {
                d.reconcile(name, epoch, shard, running);
            }
            // Before the catalogue is known here nothing can be judged by it.
            if cx.cat.version > 0 {
                d.serve_marks(name, epoch, shard);
            }
        }
        if self.counts.rounds.is_multiple_of(GIVE_BACK_ROUNDS) {
            d.give_back(live);
        }
        d.plan
    }
}

impl Draft<'_> {
    /// A job as the plan has it.
    pub fn job(&self, id: &str) -> Option<&JobRow> {
        self.plan.jobs.get(id).or_else(|| self.s.jobs.get(id).map(|c| &c.row))
    }

    /// A job to change.
    fn job_mut(&mut self, id: &str) -> Option<&mut JobRow> {
        if !self.plan.jobs.contains_key(id) {
            let row = self.s.jobs.get(id)?.row.clone();
            self.plan.jobs.insert(id.to_string(), row);
        }
        self.plan.jobs.get_mut(id)
    }

    /// What is committed on a worker as the plan has it.
    pub fn commit(&self, k: WorkerKey) -> &Commit {
        self.plan.commits.get(&k).unwrap_or(&self.s.workers.get(k).commit)
    }

    fn commit_mut(&mut self, k: WorkerKey) -> &mut Commit {
        let s = self.s;
        self.plan.commits.entry(k).or_insert_with(|| s.workers.get(k).commit.clone())
    }

    /// Releases a task's commitment and placement on `k`.
    fn release(&mut self, shard: &str, epoch: u64, k: WorkerKey, task: &str) {
        if self.commit(k).tasks.contains_key(task) {
            self.commit_mut(k).remove(task);
            self.plan.places.insert((shard.to_string(), task.to_string()), None);
            self.plan.leases.insert(shard.to_string(), epoch);
        }
    }

    /// Takes in the ends that the workers reported.
    fn take_ends(&mut self, name: &str, epoch: u64, shard: &Shard) {
        for e in &shard.ended {
            self.take_end(name, epoch, e);
            self.plan.acked.insert(name.to_string(), e.seq);
        }
    }

    fn take_end(&mut self, name: &str, epoch: u64, e: &Ended) {
        let Some(&k) = self.s.names.get(&e.worker) else { return };
        let Some((id, n)) = rows::task_parts(&e.task) else { return };
        let Some(t) = self.job(id).and_then(|j| j.tasks.get(n)) else {
            self.release(name, epoch, k, &e.task);
            return;
        };
        // An end of an earlier start says nothing about the current one, which may run on the
        // same worker: noticed by the attempt number, else the task would run twice.
        if t.attempt != e.attempt || t.worker.as_deref() != Some(e.worker.as_str()) {
            return;
        }
        let placed = t.state == TaskState::Placed;
        self.release(name, epoch, k, &e.task);
        if let Some(fault) = self.fault(id, e) {
            self.plan.faults.push((k, e.task.clone(), fault));
        }
        if placed {
            self.end_task(name, epoch, id, n, e.how, e.saved);
        }
    }

    /// Whose fault end `e` of job `id` was; none if it says nothing about either.
    fn fault(&self, id: &str, e: &Ended) -> Option<Fault> {
        let elsewhere = || self.job(id).is_some_and(|j| j.shun.iter().any(|w| *w != e.worker));
        match e.how {
            How::Done => Some(Fault::Nobody),
            How::Failed if elsewhere() => Some(Fault::Job),
            How::Failed => Some(Fault::Worker),
            How::Stopped | How::Lapsed => None,
        }
    }

    /// Moves task `n` of job `id` on after its start ended as `how`.
    fn end_task(&mut self, name: &str, epoch: u64, id: &str, n: usize, how: How, saved: u8) {
        let now = self.plan.now;
        let Some(row) = self.job_mut(id) else { return };
        let service = row.class == Class::Service;
        let t = &mut row.tasks[n];
        let worker = t.worker.take();
        t.saved = if how == How::Failed { 0 } else { saved };
        t.fails += u32::from(how == How::Failed);
        t.state = match how {
            How::Done => TaskState::Finished,
            How::Failed if t.fails >= MAX_FAILS && !service => TaskState::Failed,
            How::Failed | How::Stopped | How::Lapsed => TaskState::Pending,
        };
        if how == How::Failed {
            let doublings = row.tasks[n].fails.min(MAX_DOUBLINGS);
            row.retry = now + (RETRY_MS << doublings);
            row.shun.extend(worker);
        }
        settle(row, now);
        match how {
            How::Done => self.plan.counts.finished += 1,
            How::Failed => self.plan.counts.failed += 1,
            How::Lapsed => self.plan.counts.lost += 1,
            How::Stopped => {}
        }
        self.touched(name, epoch, id);
    }

    /// Keeps a job's mark and the fence in step with a change of its row.
    fn touched(&mut self, name: &str, epoch: u64, id: &str) {
        self.plan.leases.insert(name.to_string(), epoch);
        let Some(row) = self.job(id) else { return };
        let (waits, ended) = (row.waiting() && !row.ended(), row.ended());
        let key = (name.to_string(), id.to_string());
        let marked = self.s.marks.get(name).is_some_and(|m| m.contains_key(id));
        match (marked, waits) {
            (false, true) => drop(self.plan.marks.insert(key.clone(), true)),
            (true, false) => drop(self.plan.marks.insert(key.clone(), false)),
            _ => drop(self.plan.marks.remove(&key)),
        }
        let was = self.s.jobs.get(id).is_some_and(|c| c.row.ended());
        if ended && !was {
            self.plan.done.insert(key);
        }
    }

    /// Gives up for lost what runs on workers that nobody reached for longer than a task lease:
    /// by their own clock they have killed it, and every order that might still start it has
    /// expired (see [`super::orders`]), so it may be placed anew and runs in one place.
    fn give_up_lost(&mut self, name: &str, epoch: u64, shard: &Shard) {
        let hold = self.cx.hold_ms;
        let patience = hold + hold / 20 + LAPSE_MARGIN_MS;
        for &k in &shard.workers {
            let w = self.s.workers.get(k);
            if !w.cut || self.plan.now < w.heard + patience || self.commit(k).tasks.is_empty() {
                continue;
            }
            log::warn!("worker {} lost: silent for over {patience} ms", w.info.name);
            let tasks: Vec<String> = self.commit(k).tasks.keys().cloned().collect();
            for task in tasks {
                self.release(name, epoch, k, &task);
                let Some((id, n)) = rows::task_parts(&task) else { continue };
                let placed = self.job(id).and_then(|j| j.tasks.get(n)).is_some_and(|t| {
                    t.state == TaskState::Placed && t.worker.as_ref() == Some(&w.info.name)
                });
                if placed {
                    self.end_task(name, epoch, id, n, How::Lapsed, 0);
                }
            }
        }
    }

    /// After a takeover: adopts what runs, starts what the previous holder placed and did not
    /// start, and stops what should not run. Without this a task whose holder died between the
    /// commit and the start would stay placed for good and never run.
    fn reconcile(
        &mut self,
        name: &str,
        epoch: u64,
        shard: &Shard,
        running: &BTreeMap<String, (u32, String)>,
    ) {
        for &k in &shard.workers {
            let worker = self.s.workers.get(k).info.name.clone();
            let tasks: Vec<String> = self.commit(k).tasks.keys().cloned().collect();
            for task in tasks {
                let Some((id, n)) = rows::task_parts(&task) else { continue };
                let Some(row) = self.job(id) else {
                    if !running.contains_key(&task) {
                        self.release(name, epoch, k, &task);
                    }
                    continue;
                };
                let Some(t) = row.tasks.get(n) else { continue };
                let runs = running.get(&task).is_some_and(|(a, w)| *a == t.attempt && *w == worker);
                if t.state == TaskState::Placed && !runs {
                    self.restart(name, epoch, id, n, &worker);
                }
            }
        }
        self.plan.reconciled.insert(name.to_string());
    }

    /// Orders the start of a placed task again, under this holder's epoch and the same attempt:
    /// a worker that ran the attempt refuses it and reports its end.
    fn restart(&mut self, name: &str, epoch: u64, id: &str, n: usize, worker: &str) {
        let Some(row) = self.job_mut(id) else { return };
        row.tasks[n].epoch = epoch;
        self.plan.counts.recovered += 1;
        self.order_start(name, epoch, id, n, worker);
        self.touched(name, epoch, id);
    }

    fn order_start(&mut self, name: &str, epoch: u64, id: &str, n: usize, worker: &str) {
        let hold_ms = self.cx.hold_ms;
        let Some(row) = self.job(id) else { return };
        let (task, t) = (row.task_id(n), &row.tasks[n]);
        let req = StartReq {
            task: task.clone(),
            attempt: t.attempt,
            worker: worker.to_string(),
            lease: lease_key(name),
            epoch,
            demand: row.spec.demand,
            run_ms: row.spec.run_ms,
            saved: t.saved,
            by: 0,
            hold_ms,
        };
        let (worker, attempt, demand) = (worker.to_string(), t.attempt, row.spec.demand);
        let place = PlaceRow { worker, epoch, attempt, demand };
        self.plan.places.insert((name.to_string(), task), Some(place));
        self.plan.starts.push((name.to_string(), req));
    }

    /// Serves the jobs that want attention, most pressing first.
    fn serve_marks(&mut self, name: &str, epoch: u64, shard: &Shard) {
        let Some(marks) = self.s.marks.get(name) else { return };
        let mut order: Vec<(usize, Millis, Millis, &String)> = Vec::new();
        for id in marks.keys() {
            let Some(row) = self.job(id) else {
                self.plan.marks.insert((name.to_string(), id.clone()), false);
                self.plan.leases.insert(name.to_string(), epoch);
                continue;
            };
            if row.shard != name {
                continue;
            }
            let due = row.spec.deadline_ms.map_or(Millis::MAX, |d| row.submitted + d);
            let rank = Class::ALL.iter().position(|c| *c == row.class).unwrap_or(0);
            order.push((rank, due, row.submitted, id));
        }
        order.sort();
        let mut drains = false;
        for (_, _, _, id) in order {
            if self.plan.counts.placed >= MAX_STARTS {
                return;
            }
            let Some(row) = self.job(id) else { continue };
            let (class, gang_waits) = (row.class, self.gang_waits(row));
            match &row.state {
                JobState::Cancelled => self.carry_out_cancel(name, epoch, id),
                JobState::Pending if class == Class::Batch && drains => {}
                JobState::Pending => {
                    self.serve_pending(name, epoch, shard, id);
                    drains |= gang_waits && self.job(id).is_some_and(JobRow::waiting);
                }
                JobState::Running | JobState::Finished { .. } | JobState::Refused { .. } => {
                    self.touched(name, epoch, id);
                }
            }
        }
    }

    fn gang_waits(&self, row: &JobRow) -> bool {
        row.class == Class::Gang
            && row.state == JobState::Pending
            && self.plan.now >= row.submitted + GANG_DRAIN_MS
    }

    /// Stops what still runs of a cancelled job; once nothing is committed the mark goes.
    fn carry_out_cancel(&mut self, name: &str, epoch: u64, id: &str) {
        if self.stop_tasks(name, id, |t| t.worker.is_some()) == 0 {
            self.touched(name, epoch, id);
        }
    }

    /// Orders stops for the committed tasks of `id` that `which` picks; returns how many are
    /// still committed.
    fn stop_tasks(
        &mut self,
        name: &str,
        id: &str,
        which: impl Fn(&rows::TaskRow) -> bool,
    ) -> usize {
        let Some(row) = self.job(id) else { return 0 };
        let mut stops = Vec::new();
        for (n, t) in row.tasks.iter().enumerate().filter(|(_, t)| which(t)) {
            let task = row.task_id(n);
            let Some(worker) = &t.worker else { continue };
            let Some(&k) = self.s.names.get(worker) else { continue };
            if self.commit(k).tasks.contains_key(&task) {
                stops.push(StopReq { task, attempt: t.attempt, worker: worker.clone() });
            }
        }
        let left = stops.len();
        self.plan.stops.extend(stops.into_iter().map(|s| (name.to_string(), s)));
        left
    }

    /// Refuses, places, moves or makes room for a job with tasks waiting.
    fn serve_pending(&mut self, name: &str, epoch: u64, shard: &Shard, id: &str) {
        let Some(row) = self.job(id) else { return };
        if let Some(reason) = self.refusal(row) {
            return self.refuse(name, epoch, id, reason);
        }
        if row.class == Class::Gang && row.placed() {
            // One member ended early: a gang works only together, so the others are stopped
            // and the whole gang is placed again.
            self.stop_tasks(name, id, |t| t.state == TaskState::Placed);
            return;
        }
        if row.class == Class::Gang && row.tasks.iter().any(|t| t.state == TaskState::Failed) {
            self.fail_gang(name, epoch, id);
            return;
        }
        if row.retry > self.plan.now {
            return;
        }
        let Some(entry) = self.cx.cat.entries.get(&row.spec.entry) else { return };
        let (demand, class) = (row.spec.demand, row.class);
        let waiting: Vec<usize> = pending(row);
        let team = row.team.clone();
        let room = self.quota_room(name, &team, &entry.quota, &demand, waiting.len() as u64);
        let want = waiting.len().min(room as usize);
        if want < waiting.len() {
            self.plan.counts.over_quota += 1;
            self.plan.blocked.insert(team.clone());
            if class == Class::Gang || want == 0 {
                return;
            }
        }
        let shun = self.job(id).map(|j| j.shun.clone()).unwrap_or_default();
        let mut pool = self.candidates(shard, &demand, id, class);
        if class != Class::Gang {
            // A task that failed goes elsewhere first: if it fails there too the job is to
            // blame, if not the worker is, and either way it costs one try to know.
            let shunned = |c: &Candidate| shun.contains(&self.s.workers.get(c.key).info.name);
            if !pool.iter().all(shunned) {
                pool.retain(|c| !shunned(c));
            }
        }
        let chosen = (registry::policy(class).choose)(&demand, want, &pool).unwrap_or_default();
        let placed = chosen.len();
        if placed > 0 {
            self.grant(name, &team, &entry.quota, &demand.times(placed as u64));
            for (&n, k) in waiting.iter().zip(chosen) {
                self.place(name, epoch, id, n, k);
            }
            self.touched(name, epoch, id);
        }
        let left = want - placed;
        if left > 0 && !self.spill(name, epoch, id) && class == Class::Urgent {
            self.preempt(name, shard, &demand, left);
        }
    }

    /// Why a job can no longer be run, if so: only a job of which nothing was ever placed is
    /// refused as not run.
    fn refusal(&self, row: &JobRow) -> Option<&'static str> {
        if row.ever_placed() {
            return None;
        }
        if row.spec.deadline_ms.is_some_and(|d| self.plan.now > row.submitted + d) {
            return Some("deadline passed before a place was found");
        }
        if self.cx.cat.version < row.catalogue {
            // The job was accepted under a later catalogue than the one known here.
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

    /// "Not run" is committed before it is said: with the tasks refused and the mark gone,
    /// nothing of this job will ever be placed.
    fn refuse(&mut self, name: &str, epoch: u64, id: &str, reason: &str) {
        let Some(row) = self.job_mut(id) else { return };
        row.state = JobState::Refused { reason: reason.into() };
        row.tasks.iter_mut().for_each(|t| t.state = TaskState::Refused);
        self.plan.counts.refused += 1;
        self.touched(name, epoch, id);
    }

    fn fail_gang(&mut self, name: &str, epoch: u64, id: &str) {
        let now = self.plan.now;
        let Some(row) = self.job_mut(id) else { return };
        for t in row.tasks.iter_mut().filter(|t| t.state == TaskState::Pending) {
            t.state = TaskState::Failed;
        }
        settle(row, now);
        self.touched(name, epoch, id);
    }

    /// Workers of the shard on which a task of `demand` may be placed.
    fn candidates(
        &self,
        shard: &Shard,
        demand: &Resources,
        id: &str,
        class: Class,
    ) -> Vec<Candidate> {
        let own = format!("{id}.");
        let usable = |k: &WorkerKey| {
            let w = self.s.workers.get(*k);
            w.avoid <= self.plan.now && !w.cut
        };
        let candidate = |k: WorkerKey| {
            let (w, commit) = (self.s.workers.get(k), self.commit(k));
            let free = w.info.cap.sub(&commit.used);
            if !demand.fits(&free) {
                return None;
            }
            let same_job = match class {
                Class::Service => commit.tasks.keys().filter(|t| t.starts_with(&own)).count(),
                Class::Urgent | Class::Batch | Class::Gang => 0,
            };
            let (rack, cap) = (w.info.rack, w.info.cap);
            Some(Candidate { key: k, rack, free, cap, same_job: same_job as u32 })
        };
        shard.workers.iter().copied().filter(usable).filter_map(candidate).collect()
    }

    fn place(&mut self, name: &str, epoch: u64, id: &str, n: usize, k: WorkerKey) {
        let now = self.plan.now;
        let worker = self.s.workers.get(k).info.name.clone();
        let Some(row) = self.job_mut(id) else { return };
        let (task, demand) = (row.task_id(n), row.spec.demand);
        let t = &mut row.tasks[n];
        t.state = TaskState::Placed;
        t.worker = Some(worker.clone());
        t.epoch = epoch;
        t.attempt += 1;
        settle(row, now);
        self.commit_mut(k).add(&task, demand);
        self.plan.counts.placed += 1;
        self.order_start(name, epoch, id, n, &worker);
    }

    /// Rewrites a job's shard; see [`super::spill`].
    pub fn move_job(&mut self, from: &str, epoch: u64, id: &str, to: &str) {
        let Some(row) = self.job_mut(id) else { return };
        row.shard = to.to_string();
        row.moves += 1;
        self.plan.leases.insert(from.to_string(), epoch);
        self.plan.marks.insert((from.to_string(), id.to_string()), false);
        self.plan.marks.insert((to.to_string(), id.to_string()), true);
        self.plan.counts.spilled += 1;
    }
}

/// Numbers of the tasks that wait for a place.
fn pending(row: &JobRow) -> Vec<usize> {
    let waits = |t: &rows::TaskRow| t.state == TaskState::Pending;
    row.tasks.iter().enumerate().filter(|(_, t)| waits(t)).map(|(n, _)| n).collect()
}

/// Sets a job's state from its tasks after a round changed them.
fn settle(row: &mut JobRow, now: Millis) {
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
