//! Workers of one failure domain in the platform stand-in: they start tasks under the shard's
//! lease epoch, run them for their (mis-declared) time, fail them when broken, and report
//! finished tasks with a lag.

use crate::kernel::arena::{Arena, WorkerKey};
use crate::kernel::clock::Millis;
use crate::kernel::res::Resources;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What the platform says about one worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Its name, `<domain>-r<rack>-w<n>`.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Rack number within the domain.
    pub rack: u32,
    /// Capacity.
    pub cap: Resources,
}

/// A request to start one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartReq {
    /// Task id, `<job>.<n>`.
    pub task: String,
    /// Worker name.
    pub worker: String,
    /// Lease key of the shard whose holder placed it.
    pub lease: String,
    /// Fencing epoch of that lease.
    pub epoch: u64,
    /// Declared resources.
    pub demand: Resources,
    /// Declared run time in ms; 0 runs until stopped (services).
    pub run_ms: u64,
}

/// Why a worker would not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartRefusal {
    /// The lease epoch is no longer current: the placer lost its shard.
    StaleEpoch,
    /// The table holds no placement of this task on this worker under this epoch (refused,
    /// cancelled or placed elsewhere).
    NotPlaced,
    /// No such worker.
    UnknownWorker,
    /// Already running here (a repeated start is answered, not run again).
    AlreadyRunning,
}

/// The answer for one start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartResult {
    /// Task id.
    pub task: String,
    /// `None` when started.
    pub refused: Option<StartRefusal>,
}

/// One task that ended on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    /// Sequence number within the domain.
    pub seq: u64,
    /// When it ended, platform ms.
    pub at: Millis,
    /// Task id.
    pub task: String,
    /// Worker name.
    pub worker: String,
    /// Whether it succeeded (false for a broken worker or a stop).
    pub ok: bool,
}

/// The lagging report of a domain's workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Tasks that ended, oldest first.
    pub ended: Vec<Ended>,
    /// The sequence number to ask from next time.
    pub next: u64,
}

#[derive(Clone, Debug)]
struct Running {
    demand: Resources,
    end: Option<Millis>,
}

#[derive(Clone, Debug)]
struct Worker {
    info: WorkerInfo,
    running: BTreeMap<String, Running>,
    used: Resources,
    broken: bool,
}

/// The workers of one failure domain, with the oracle counters that tests read.
#[derive(Debug, Default)]
pub struct Workers {
    arena: Arena<WorkerKey, Worker>,
    names: BTreeMap<String, WorkerKey>,
    ends: BTreeSet<(Millis, WorkerKey, String)>,
    ended: Vec<Ended>,
    tasks: BTreeMap<String, WorkerKey>,
    seq: u64,
    /// Tasks started.
    pub started: u64,
    /// Workers that at some moment ran more than their capacity (must stay empty).
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
                let worker =
                    Worker { info, running: BTreeMap::new(), used: Resources::ZERO, broken: false };
                let key = w.arena.push(worker);
                w.names.insert(name, key);
            }
        }
        w
    }

    /// Every worker's description.
    pub fn list(&self) -> Vec<WorkerInfo> {
        self.arena.iter().map(|(_, w)| w.info.clone()).collect()
    }

    /// Marks a worker as one that fails everything it starts.
    pub fn set_broken(&mut self, name: &str, broken: bool) -> bool {
        let Some(&k) = self.names.get(name) else { return false };
        self.arena.get_mut(k).broken = broken;
        true
    }

    /// Ends every task whose time has come.
    pub fn tick(&mut self, now: Millis) {
        while let Some((at, k, task)) = self.ends.first().cloned() {
            if at > now {
                break;
            }
            self.ends.pop_first();
            self.finish(k, &task, at, true);
        }
    }

    fn finish(&mut self, k: WorkerKey, task: &str, at: Millis, ok: bool) {
        let w = self.arena.get_mut(k);
        let Some(run) = w.running.remove(task) else { return };
        w.used = w.used.sub(&run.demand);
        self.tasks.remove(task);
        let ok = ok && !w.broken;
        let worker = w.info.name.clone();
        self.seq += 1;
        self.ended.push(Ended { seq: self.seq, at, task: task.to_string(), worker, ok });
    }

    /// Starts one task whose fence and placement `checked` says are valid.
    ///
    /// `factor_pct` scales the declared run time (declared times are far off).
    pub fn start(&mut self, req: &StartReq, now: Millis, factor_pct: u64) -> Option<StartRefusal> {
        let Some(&k) = self.names.get(&req.worker) else {
            return Some(StartRefusal::UnknownWorker);
        };
        let w = self.arena.get_mut(k);
        if w.running.contains_key(&req.task) {
            return Some(StartRefusal::AlreadyRunning);
        }
        let end = match (w.broken, req.run_ms) {
            (true, _) => Some(now + 10),
            (false, 0) => None,
            (false, ms) => Some(now + (ms * factor_pct / 100).max(1)),
        };
        w.used = w.used.add(&req.demand);
        if !w.used.fits(&w.info.cap) {
            self.overcommitted.insert(w.info.name.clone());
        }
        w.running.insert(req.task.clone(), Running { demand: req.demand, end });
        self.tasks.insert(req.task.clone(), k);
        if let Some(at) = end {
            self.ends.insert((at, k, req.task.clone()));
        }
        self.started += 1;
        None
    }

    /// Stops a running task; it is reported as ended, not ok. Returns whether it ran.
    pub fn stop(&mut self, task: &str, worker: &str, now: Millis) -> bool {
        let Some(&k) = self.names.get(worker) else { return false };
        let Some(run) = self.arena.get(k).running.get(task).cloned() else { return false };
        if let Some(at) = run.end {
            self.ends.remove(&(at, k, task.to_string()));
        }
        self.finish(k, task, now, false);
        true
    }

    /// Ended tasks after `since` that are older than `lag` ms.
    pub fn report(&self, since: u64, now: Millis, lag: Millis) -> Report {
        let start = self.ended.partition_point(|e| e.seq <= since);
        let ended: Vec<Ended> =
            self.ended[start..].iter().take_while(|e| e.at + lag <= now).cloned().collect();
        let next = ended.last().map_or(since, |e| e.seq);
        Report { ended, next }
    }

    /// Whether `task` runs on some worker of this domain now.
    pub fn holds(&self, task: &str) -> bool {
        self.tasks.contains_key(task)
    }

    /// Tasks running now, by task id, with their worker.
    pub fn running(&self) -> impl Iterator<Item = (&String, &String)> {
        self.arena.iter().flat_map(|(_, w)| w.running.keys().map(move |t| (t, &w.info.name)))
    }

    /// Number of running tasks and committed resources per worker, for the state dump.
    pub fn usage(&self) -> Vec<(String, usize, Resources)> {
        self.arena.iter().map(|(_, w)| (w.info.name.clone(), w.running.len(), w.used)).collect()
    }
}
