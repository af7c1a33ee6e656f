//! Workers of one failure domain in the platform stand-in. A worker runs a task for a time that
//! differs from the declared one, under a task lease that the shard's holder extends. Completions
//! are reported with a lag, and repeated until they are acknowledged.

use crate::kernel::arena::{Arena, WorkerKey};
use crate::kernel::clock::Millis;
use crate::kernel::res::Resources;
use crate::standin::faults::Affected;
use crate::standin::tasks::{
    shard_of, Completion, EndKind, RackCapacity, ShardPoll, ShardReport, StartRefusal, StartReq,
    WorkerInfo, COMPLETIONS_PAGE,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Run time of a task on a broken worker before it fails, ms.
const BROKEN_MS: Millis = 10;

#[derive(Clone, Debug)]
struct Running {
    attempt: u32,
    demand: Resources,
    start: Millis,
    /// Time at which the task completes; `None` if it runs until it is stopped.
    end: Option<Millis>,
    /// Share of the work done and checkpointed before this attempt, percent.
    saved: u8,
}

impl Running {
    /// Share of the work done by `now`, percent.
    fn progress(&self, now: Millis) -> u8 {
        let Some(end) = self.end else { return self.saved };
        let total = end.saturating_sub(self.start).max(1);
        let ran = now.saturating_sub(self.start).min(total);
        let remaining = u64::from(100 - self.saved.min(100));
        self.saved + (remaining * ran / total) as u8
    }
}

#[derive(Clone, Debug)]
struct Worker {
    info: WorkerInfo,
    running: BTreeMap<String, Running>,
    used: Resources,
    broken: bool,
    cut: bool,
    /// Expiry of the leases of all tasks of the worker; `None` if they have none.
    lease_until: Option<Millis>,
    /// Latest attempt of each task started or stopped here, until its completion is acknowledged.
    latest_attempt: BTreeMap<String, u32>,
    /// Completions while the worker cannot be reached.
    backlog: Vec<Completion>,
}

impl Worker {
    /// Extends the leases of all tasks of the worker; never shortens them.
    fn extend(&mut self, until: Millis) {
        self.lease_until = Some(self.lease_until.map_or(until, |present| present.max(until)));
    }
}

/// Completions of one shard that have not been acknowledged, oldest first.
#[derive(Debug, Default)]
struct Reports {
    /// Sequence number of the latest completion.
    seq: u64,
    ended: VecDeque<Completion>,
}

/// The workers of one failure domain, with counters of broken invariants that tests read.
#[derive(Debug, Default)]
pub struct Workers {
    arena: Arena<WorkerKey, Worker>,
    names: BTreeMap<String, WorkerKey>,
    /// Running tasks by the time at which they complete.
    due: BTreeSet<(Millis, WorkerKey, String)>,
    reports: BTreeMap<String, Reports>,
    /// Workers of the running tasks, by task id.
    tasks: BTreeMap<String, WorkerKey>,
    poison: BTreeSet<String>,
    /// Tasks started.
    pub started: u64,
    /// Tasks killed because their task lease expired.
    pub lapsed: u64,
    /// Workers that ran beyond their capacity at any time (must stay empty).
    pub overcommitted: BTreeSet<String>,
}

impl Workers {
    /// Builds `racks` × `per_rack` workers of capacity `cap` in domain `domain`.
    pub fn new(domain: &str, racks: u32, per_rack: u32, cap: Resources) -> Self {
        let mut w = Self::default();
        for rack in 0..racks {
            for n in 0..per_rack {
                let name = format!("{domain}-r{rack}-w{n}");
                let info = WorkerInfo { name: name.clone(), domain: domain.to_string(), rack, cap };
                w.reports.entry(shard_of(&info)).or_default();
                let key = w.arena.push(Worker {
                    info,
                    running: BTreeMap::new(),
                    used: Resources::ZERO,
                    broken: false,
                    cut: false,
                    lease_until: None,
                    latest_attempt: BTreeMap::new(),
                    backlog: Vec::new(),
                });
                w.names.insert(name, key);
            }
        }
        w
    }

    /// Descriptions of all workers.
    pub fn list(&self) -> Vec<WorkerInfo> {
        self.arena.iter().map(|(_, w)| w.info.clone()).collect()
    }

    /// Sets the workers and jobs affected by faults. A worker that is reachable again reports the
    /// completions that it kept meanwhile.
    pub fn set_faults(&mut self, affected: &Affected) {
        self.poison.clone_from(&affected.poison);
        for (_, w) in self.arena.iter_mut() {
            w.broken = affected.broken.contains(&w.info.name);
            let reconnected = w.cut && !affected.cut.contains(&w.info.name);
            w.cut = affected.cut.contains(&w.info.name);
            if reconnected {
                let delayed = std::mem::take(&mut w.backlog);
                let shard = shard_of(&w.info);
                let r = self.reports.entry(shard).or_default();
                delayed.into_iter().for_each(|e| r.push(e));
            }
        }
    }

    /// Ends all tasks that complete by `now`, and kills those whose task lease expired.
    pub fn tick(&mut self, now: Millis) {
        while let Some((at, k, task)) = self.due.first().cloned() {
            if at > now {
                break;
            }
            // A lease that expired before the end of the run killed the task at that time.
            match self.arena.get(k).lease_until {
                Some(expiry) if expiry < at => self.expire_lease(k, expiry),
                _ => self.finish(k, &task, at, EndKind::Done),
            }
        }
        let expired: Vec<(WorkerKey, Millis)> = self
            .arena
            .iter()
            .filter(|(_, w)| !w.running.is_empty())
            .filter_map(|(k, w)| Some((k, w.lease_until.filter(|&expiry| expiry <= now)?)))
            .collect();
        expired.into_iter().for_each(|(k, expiry)| self.expire_lease(k, expiry));
    }

    fn expire_lease(&mut self, k: WorkerKey, at: Millis) {
        let tasks: Vec<String> = self.arena.get(k).running.keys().cloned().collect();
        self.lapsed += tasks.len() as u64;
        tasks.iter().for_each(|t| self.finish(k, t, at, EndKind::Lapsed));
    }

    /// Removes a running task and queues the report of its completion.
    fn finish(&mut self, k: WorkerKey, task: &str, at: Millis, how: EndKind) {
        let w = self.arena.get_mut(k);
        let Some(run) = w.running.remove(task) else { return };
        if let Some(end) = run.end {
            self.due.remove(&(end, k, task.to_string()));
        }
        w.used = w.used.sub(&run.demand);
        self.tasks.remove(task);
        let poisoned = self.poison.iter().any(|j| task.starts_with(j));
        let how = match how {
            EndKind::Done if w.broken || poisoned => EndKind::Failed,
            other => other,
        };
        let saved = match how {
            EndKind::Done => 100,
            EndKind::Failed => 0,
            EndKind::Stopped => run.progress(at),
            EndKind::Lapsed => run.saved,
        };
        let completion = Completion {
            seq: 0,
            at,
            task: task.to_string(),
            attempt: run.attempt,
            worker: w.info.name.clone(),
            how,
            saved,
        };
        if w.cut {
            w.backlog.push(completion);
        } else {
            let shard = shard_of(&w.info);
            self.reports.entry(shard).or_default().push(completion);
        }
    }

    /// Starts one task. The caller has checked the lease epoch and the placement.
    ///
    /// `factor_pct` scales the declared run time, because declared times are far from real ones.
    pub fn start(&mut self, req: &StartReq, now: Millis, factor_pct: u64) -> Option<StartRefusal> {
        let Some(&k) = self.names.get(&req.worker) else {
            return Some(StartRefusal::UnknownWorker);
        };
        let w = self.arena.get_mut(k);
        if w.cut {
            return Some(StartRefusal::Unreachable);
        }
        if req.valid_until > 0 && now > req.valid_until {
            return Some(StartRefusal::Late);
        }
        if w.running.get(&req.task).is_some_and(|r| r.attempt >= req.attempt) {
            return Some(StartRefusal::AlreadyRunning);
        }
        if w.latest_attempt.get(&req.task).is_some_and(|&a| a >= req.attempt) {
            return Some(StartRefusal::AlreadyEnded);
        }
        let total = (req.run_ms * factor_pct / 100).max(1);
        let remaining = total * u64::from(100 - req.saved.min(100)) / 100;
        let end = match (w.broken, req.run_ms) {
            (true, _) => Some(now + BROKEN_MS),
            (false, 0) => None,
            (false, _) => Some(now + remaining.max(1)),
        };
        w.used = w.used.add(&req.demand);
        if !w.used.fits(&w.info.cap) {
            self.overcommitted.insert(w.info.name.clone());
        }
        if req.hold_ms > 0 {
            w.extend(now + req.hold_ms);
        }
        let run = Running {
            attempt: req.attempt,
            demand: req.demand,
            start: now,
            end,
            saved: req.saved.min(100),
        };
        w.running.insert(req.task.clone(), run);
        w.latest_attempt.insert(req.task.clone(), req.attempt);
        self.tasks.insert(req.task.clone(), k);
        if let Some(at) = end {
            self.due.insert((at, k, req.task.clone()));
        }
        self.started += 1;
        None
    }

    /// Stops attempt `attempt` of a task after a checkpoint; false if the worker cannot be reached.
    /// [`EndKind::Stopped`] is reported even if the start order of the attempt never arrived; a
    /// start order that arrives later is refused.
    pub fn stop(&mut self, task: &str, attempt: u32, worker: &str, now: Millis) -> bool {
        let Some(&k) = self.names.get(worker) else { return false };
        let w = self.arena.get_mut(k);
        if w.cut {
            return false;
        }
        if w.running.get(task).is_some_and(|r| r.attempt == attempt) {
            self.finish(k, task, now, EndKind::Stopped);
        } else if w.latest_attempt.get(task).is_none_or(|&a| a < attempt) {
            w.latest_attempt.insert(task.to_string(), attempt);
            let unstarted = Completion {
                seq: 0,
                at: now,
                task: task.to_string(),
                attempt,
                worker: worker.to_string(),
                how: EndKind::Stopped,
                saved: 0,
            };
            let shard = shard_of(&w.info);
            self.reports.entry(shard).or_default().push(unstarted);
        }
        true
    }

    /// Handles the poll of one shard: extends task leases, drops acknowledged completions and
    /// returns the others that are older than `lag`.
    pub fn poll(&mut self, p: &ShardPoll, now: Millis, lag: Millis) -> ShardReport {
        let mut out = ShardReport { now, ..ShardReport::default() };
        for (_, w) in self.arena.iter_mut().filter(|(_, w)| shard_of(&w.info) == p.shard) {
            if w.cut {
                out.unreachable.push(w.info.name.clone());
                continue;
            }
            w.extend(now + p.hold_ms);
            if p.inventory {
                let listed =
                    w.running.iter().map(|(t, r)| (t.clone(), r.attempt, w.info.name.clone()));
                out.running.extend(listed);
            }
        }
        let r = self.reports.entry(p.shard.clone()).or_default();
        while r.ended.front().is_some_and(|e| e.seq <= p.acked) {
            if let Some(e) = r.ended.pop_front() {
                if let Some(&k) = self.names.get(&e.worker) {
                    // The completion is committed and the placement row of this attempt removed,
                    // so the placement check refuses any start order of it.
                    let latest_attempt = &mut self.arena.get_mut(k).latest_attempt;
                    if latest_attempt.get(&e.task) == Some(&e.attempt) {
                        latest_attempt.remove(&e.task);
                    }
                }
            }
        }
        let visible = r.ended.iter().take_while(|e| e.at + lag <= now).take(COMPLETIONS_PAGE);
        out.ended = visible.cloned().collect();
        out
    }

    /// Free capacity per rack of the reachable workers.
    pub fn rack_capacity(&self) -> Vec<RackCapacity> {
        let mut racks: BTreeMap<String, RackCapacity> = BTreeMap::new();
        for (_, w) in self.arena.iter().filter(|(_, w)| !w.cut) {
            let free = w.info.cap.sub(&w.used);
            let shard = shard_of(&w.info);
            let r = racks.entry(shard.clone()).or_insert(RackCapacity {
                shard,
                free: Resources::ZERO,
                largest: Resources::ZERO,
            });
            r.free = r.free.add(&free);
            r.largest = r.largest.max(free);
        }
        racks.into_values().collect()
    }

    /// Whether `task` runs on any worker of this domain.
    pub fn runs_task(&self, task: &str) -> bool {
        self.tasks.contains_key(task)
    }

    /// Running tasks as (task id, worker name).
    pub fn running(&self) -> impl Iterator<Item = (&String, &String)> {
        self.arena.iter().flat_map(|(_, w)| w.running.keys().map(move |t| (t, &w.info.name)))
    }

    /// Name, number of running tasks and resources in use of each worker, for the state dump.
    pub fn usage(&self) -> Vec<(String, usize, Resources)> {
        self.arena.iter().map(|(_, w)| (w.info.name.clone(), w.running.len(), w.used)).collect()
    }
}

impl Reports {
    fn push(&mut self, mut e: Completion) {
        self.seq += 1;
        e.seq = self.seq;
        self.ended.push_back(e);
    }
}
