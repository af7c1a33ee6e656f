//! Scheduling rounds: for each shard whose lease this instance holds, commit the round's
//! placements, releases and refusals in one fenced transaction (group commit), then start the
//! placed tasks on their workers under the lease's epoch.

use crate::entry::rows::{self, CommitRow, JobRow, JobState, TaskState};
use crate::kernel::arena::{Arena, WorkerKey};
use crate::kernel::clock::Millis;
use crate::kernel::registry::{self, Candidate};
use crate::platform::client::{Client, PlatformError};
use crate::platform::table::{Cond, Op, Outcome, Txn};
use crate::platform::workers::{Ended, StartRefusal, StartReq, WorkerInfo};
use crate::platform::{lease_key, place_key};
use serde::Serialize;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// Tries of a task before it fails for good.
pub const MAX_TRIES: u32 = 3;

/// Failures in a row after which a worker is avoided.
pub const AVOID_AFTER: u32 = 2;

/// How long a failing worker is avoided, ms.
pub const AVOID_MS: u64 = 30_000;

/// A worker as the scheduler sees it: what the platform says it has, what is committed on it.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerView {
    /// Description.
    pub info: WorkerInfo,
    /// Commitments, as last read or written.
    pub commit: CommitRow,
    /// Version of the commitment row.
    pub version: u64,
    /// Failures in a row.
    pub fails: u32,
    /// Avoided until this local time.
    pub avoid_until: Millis,
}

/// One shard: a rack of workers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Shard {
    /// Its workers.
    pub workers: Vec<WorkerKey>,
    /// Whether the commitment rows were read since the lease was taken.
    pub loaded: bool,
    /// Placed tasks whose start the workers have not yet answered.
    pub unstarted: Vec<StartReq>,
    /// Tasks a worker refused as not placed: (job, task index).
    pub unplaced: BTreeSet<(String, usize)>,
    /// Tasks reported ended, not yet committed.
    pub ended: Vec<Ended>,
}

/// What the scheduler has done, for metrics and the state dump.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    /// Rounds run.
    pub rounds: u64,
    /// Transactions committed.
    pub commits: u64,
    /// Transactions that met a conflict.
    pub conflicts: u64,
    /// Tasks placed.
    pub placed: u64,
    /// Tasks started.
    pub started: u64,
    /// Tasks ended well.
    pub finished: u64,
    /// Tasks that failed a try.
    pub failed: u64,
    /// Jobs refused as not run.
    pub refused: u64,
}

/// Scheduler state of one entry instance.
#[derive(Debug, Default, Serialize)]
pub struct Sched {
    /// Workers of the domain.
    pub workers: Arena<WorkerKey, WorkerView>,
    /// Worker name to key.
    pub names: BTreeMap<String, WorkerKey>,
    /// Shards of the domain, by name.
    pub shards: BTreeMap<String, Shard>,
    /// Cursor into the workers' report.
    pub cursor: u64,
    /// Counters.
    pub counts: Counts,
}

/// Name of the shard of a worker.
pub fn shard_of(info: &WorkerInfo) -> String {
    format!("{}-r{}", info.domain, info.rack)
}

/// What one shard's round asks the caller to do besides the table.
#[derive(Debug, Default)]
pub struct RoundResult {
    /// Shards whose lease turned out to be lost.
    pub lost: Vec<String>,
}

impl Sched {
    /// The scheduler for `domain`'s workers among `all`.
    pub fn new(domain: &str, all: &[WorkerInfo]) -> Self {
        let mut s = Self::default();
        for info in all.iter().filter(|w| w.domain == domain) {
            let view = WorkerView {
                info: info.clone(),
                commit: CommitRow::default(),
                version: 0,
                fails: 0,
                avoid_until: 0,
            };
            let k = s.workers.push(view);
            s.names.insert(info.name.clone(), k);
            s.shards.entry(shard_of(info)).or_default().workers.push(k);
        }
        s
    }

    /// Total capacity of a shard and the largest single worker in it.
    pub fn capacity(
        &self,
        shard: &str,
    ) -> Option<(crate::kernel::res::Resources, crate::kernel::res::Resources)> {
        let s = self.shards.get(shard)?;
        let caps = s.workers.iter().map(|&k| self.workers.get(k).info.cap);
        let total = caps.clone().fold(crate::kernel::res::Resources::ZERO, |a, c| a.add(&c));
        let largest = caps.max_by_key(|c| (c.cpu, c.mem, c.acc)).unwrap_or_default();
        Some((total, largest))
    }

    /// Forgets what was read of a shard, so that the next round reads its commitments anew.
    pub fn unload(&mut self, shard: &str) {
        if let Some(s) = self.shards.get_mut(shard) {
            s.loaded = false;
            s.unstarted.clear();
        }
    }

    /// Reads the commitment rows of `shard`'s workers.
    async fn load(&mut self, table: &Client, shard: &str) -> Result<(), PlatformError> {
        let Some(s) = self.shards.get(shard) else { return Ok(()) };
        let keys =
            s.workers.iter().map(|&k| rows::commit_key(&self.workers.get(k).info.name)).collect();
        let got = table.get(keys).await?;
        for &k in &s.workers {
            let w = self.workers.get_mut(k);
            match got.get(&rows::commit_key(&w.info.name)) {
                Some(r) => {
                    w.commit = rows::decode(&r.value).unwrap_or_default();
                    w.version = r.version;
                }
                None => {
                    w.commit = CommitRow::default();
                    w.version = 0;
                }
            }
        }
        self.shards.get_mut(shard).expect("checked above").loaded = true;
        Ok(())
    }

    /// Takes the lagging report of ended tasks and files each under its shard.
    pub fn file_ended(&mut self, ended: Vec<Ended>, next: u64) {
        for e in ended {
            let Some(&k) = self.names.get(&e.worker) else { continue };
            let shard = shard_of(&self.workers.get(k).info);
            if let Some(s) = self.shards.get_mut(&shard) {
                s.ended.push(e);
            }
        }
        self.cursor = self.cursor.max(next);
    }

    /// One round over the shards in `held` (shard → epoch): reads the pending jobs of the
    /// domain once, then commits and starts shard by shard.
    pub async fn round(
        &mut self,
        table: &Client,
        me: &str,
        domain: &str,
        held: &BTreeMap<String, u64>,
        now: Millis,
    ) -> Result<RoundResult, PlatformError> {
        self.counts.rounds += 1;
        let mut result = RoundResult::default();
        for shard in held.keys() {
            if !self.shards.get(shard).is_some_and(|s| s.loaded) {
                self.load(table, shard).await?;
            }
        }
        let pend = table.scan(&format!("pend/{domain}/")).await?;
        let mut want: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for key in pend.keys() {
            let mut parts = key.splitn(4, '/').skip(2);
            if let (Some(shard), Some(id)) = (parts.next(), parts.next()) {
                if held.contains_key(shard) {
                    want.entry(shard.to_string()).or_default().insert(id.to_string());
                }
            }
        }
        for (name, s) in &self.shards {
            if !held.contains_key(name) {
                continue;
            }
            let w = want.entry(name.clone()).or_default();
            w.extend(
                s.ended.iter().filter_map(|e| e.task.rsplit_once('.').map(|(j, _)| j.to_string())),
            );
            w.extend(s.unplaced.iter().map(|(j, _)| j.clone()));
        }
        let keys: Vec<String> = want.values().flatten().map(|id| rows::job_key(id)).collect();
        let jobs = if keys.is_empty() { BTreeMap::new() } else { table.get(keys).await? };
        for (shard, &epoch) in held {
            let ids = want.remove(shard).unwrap_or_default();
            let mine: BTreeMap<String, (u64, JobRow)> = ids
                .iter()
                .filter_map(|id| {
                    let r = jobs.get(&rows::job_key(id))?;
                    Some((id.clone(), (r.version, rows::decode::<JobRow>(&r.value)?)))
                })
                .collect();
            match self.shard_round(table, me, domain, shard, epoch, mine, now).await {
                Ok(true) => {}
                Ok(false) => result.lost.push(shard.clone()),
                Err(e) => return Err(e),
            }
        }
        Ok(result)
    }

    fn candidates(
        &self,
        shard: &Shard,
        now: Millis,
        job: &JobRow,
        room: &BTreeMap<WorkerKey, CommitRow>,
    ) -> Vec<Candidate> {
        shard
            .workers
            .iter()
            .map(|&k| (k, self.workers.get(k)))
            .filter(|(_, w)| w.avoid_until <= now)
            .map(|(k, w)| {
                let commit = room.get(&k).unwrap_or(&w.commit);
                let same_job =
                    commit.tasks.keys().filter(|t| t.starts_with(&format!("{}.", job.id))).count();
                Candidate {
                    key: k,
                    rack: w.info.rack,
                    free: w.info.cap.sub(&commit.used),
                    cap: w.info.cap,
                    same_job: same_job as u32,
                }
            })
            .collect()
    }

    /// One shard's round. Returns false when the lease turned out to be lost.
    #[allow(clippy::too_many_arguments)]
    async fn shard_round(
        &mut self,
        table: &Client,
        me: &str,
        domain: &str,
        shard: &str,
        epoch: u64,
        mut jobs: BTreeMap<String, (u64, JobRow)>,
        now: Millis,
    ) -> Result<bool, PlatformError> {
        let mut s = self.shards.remove(shard).unwrap_or_default();
        let out =
            self.plan_and_commit(table, me, domain, shard, epoch, &mut s, &mut jobs, now).await;
        let out = match out {
            Ok(true) => self.start(table, shard, &mut s).await,
            other => other,
        };
        self.shards.insert(shard.to_string(), s);
        out
    }

    #[allow(clippy::too_many_arguments)]
    async fn plan_and_commit(
        &mut self,
        table: &Client,
        me: &str,
        domain: &str,
        shard: &str,
        epoch: u64,
        s: &mut Shard,
        jobs: &mut BTreeMap<String, (u64, JobRow)>,
        now: Millis,
    ) -> Result<bool, PlatformError> {
        let mut room: BTreeMap<WorkerKey, CommitRow> = BTreeMap::new();
        let mut touched: BTreeSet<String> = BTreeSet::new();
        let mut ops = Vec::new();
        let mut starts = Vec::new();
        let mut counts = Counts::default();
        let was_waiting: BTreeMap<String, bool> = jobs
            .iter()
            .map(|(id, (_, j))| (id.clone(), j.waiting() && j.state == JobState::Pending))
            .collect();
        // Ended tasks: release their commitments; retry failures elsewhere.
        let ended = std::mem::take(&mut s.ended);
        for e in &ended {
            let Some(&k) = self.names.get(&e.worker) else { continue };
            let commit = room.entry(k).or_insert_with(|| self.workers.get(k).commit.clone());
            let held = commit.remove(&e.task);
            let w = self.workers.get_mut(k);
            if e.ok {
                w.fails = 0;
            } else {
                w.fails += 1;
                if w.fails >= AVOID_AFTER {
                    // A worker that fails everything it starts: noticed by failures in a row,
                    // avoided for a while so that its tasks go elsewhere.
                    w.avoid_until = now + AVOID_MS;
                }
            }
            let Some((job, n)) =
                e.task.rsplit_once('.').and_then(|(j, n)| Some((j, n.parse::<usize>().ok()?)))
            else {
                continue;
            };
            if held {
                ops.push(Op::Delete { key: place_key(&e.task) });
            }
            let Some((_, row)) = jobs.get_mut(job) else { continue };
            let Some(t) = row.tasks.get_mut(n) else { continue };
            if t.state != TaskState::Placed || t.worker.as_deref() != Some(&e.worker) {
                continue;
            }
            touched.insert(job.to_string());
            t.worker = None;
            t.state = match (e.ok, t.tries < MAX_TRIES) {
                (true, _) => {
                    counts.finished += 1;
                    TaskState::Finished
                }
                (false, true) => {
                    counts.failed += 1;
                    TaskState::Pending
                }
                (false, false) => {
                    counts.failed += 1;
                    TaskState::Failed
                }
            };
        }
        // Tasks a worker would not start because their placement was withdrawn (cancelled).
        for (job, n) in std::mem::take(&mut s.unplaced) {
            let Some((_, row)) = jobs.get_mut(&job) else { continue };
            let Some(t) = row.tasks.get_mut(n) else { continue };
            let task = format!("{job}.{n}");
            if let Some(&k) = t.worker.as_ref().and_then(|w| self.names.get(w)) {
                room.entry(k).or_insert_with(|| self.workers.get(k).commit.clone()).remove(&task);
            }
            if t.state == TaskState::Placed {
                t.state = TaskState::Pending;
                t.worker = None;
            }
            touched.insert(job);
        }
        // Pending jobs: refuse those past their deadline, place the rest.
        for (id, (_, row)) in jobs.iter_mut() {
            if row.state != JobState::Pending || !row.waiting() {
                continue;
            }
            let late = row.spec.deadline_ms.is_some_and(|d| now > row.submitted + d);
            if late && !row.ever_placed() {
                // "Not run" is committed before it is said: no task of this job was ever
                // placed, and with the pending marker gone none will be.
                row.state =
                    JobState::Refused { reason: "deadline passed before a place was found".into() };
                row.tasks.iter_mut().for_each(|t| t.state = TaskState::Refused);
                counts.refused += 1;
                touched.insert(id.clone());
                continue;
            }
            let waiting: Vec<usize> = row
                .tasks
                .iter()
                .enumerate()
                .filter(|(_, t)| t.state == TaskState::Pending)
                .map(|(i, _)| i)
                .collect();
            let pool = self.candidates(s, now, row, &room);
            let policy = registry::policy(row.class);
            let Some(chosen) = (policy.choose)(&row.spec.demand, waiting.len(), &pool) else {
                continue;
            };
            for (&n, k) in waiting.iter().zip(chosen) {
                let task = row.task_id(n);
                let w = self.workers.get(k);
                let name = w.info.name.clone();
                room.entry(k).or_insert_with(|| w.commit.clone()).add(&task, row.spec.demand);
                let t = &mut row.tasks[n];
                t.state = TaskState::Placed;
                t.worker = Some(name.clone());
                t.epoch = epoch;
                t.tries += 1;
                ops.push(Op::Put {
                    key: place_key(&task),
                    value: json!({ "worker": name, "epoch": epoch }),
                });
                starts.push(StartReq {
                    task,
                    worker: name,
                    lease: lease_key(shard),
                    epoch,
                    demand: row.spec.demand,
                    run_ms: row.spec.run_ms,
                });
                counts.placed += 1;
                touched.insert(id.clone());
            }
        }
        if touched.is_empty() && room.is_empty() {
            return Ok(true);
        }
        let mut conds = vec![Cond::Lease { key: lease_key(shard), holder: me.to_string(), epoch }];
        for id in &touched {
            let (version, row) = jobs.get_mut(id).expect("touched jobs were read");
            settle(row, now);
            conds.push(Cond::Version { key: rows::job_key(id), version: *version });
            ops.push(Op::Put { key: rows::job_key(id), value: rows::encode(row) });
            let waiting = row.state == JobState::Pending && row.waiting();
            let pend = rows::pend_key(domain, shard, id);
            match (was_waiting.get(id).copied().unwrap_or(false), waiting) {
                (false, true) => ops.push(Op::Put { key: pend, value: json!({}) }),
                (true, false) => ops.push(Op::Delete { key: pend }),
                _ => {}
            }
        }
        for (&k, commit) in &room {
            let w = self.workers.get(k);
            conds.push(Cond::Version { key: rows::commit_key(&w.info.name), version: w.version });
            ops.push(Op::Put { key: rows::commit_key(&w.info.name), value: rows::encode(commit) });
        }
        match table.txn(&Txn { conds, ops, idem: None }).await {
            Ok(Outcome::Committed { versions, .. }) => {
                for (k, commit) in room {
                    let w = self.workers.get_mut(k);
                    w.version = versions
                        .get(&rows::commit_key(&w.info.name))
                        .copied()
                        .unwrap_or(w.version + 1);
                    w.commit = commit;
                }
                self.counts.commits += 1;
                self.counts.placed += counts.placed;
                self.counts.finished += counts.finished;
                self.counts.failed += counts.failed;
                self.counts.refused += counts.refused;
                metrics::counter!("entry_tasks_placed").increment(counts.placed);
                s.unstarted.extend(starts);
                Ok(true)
            }
            Ok(Outcome::Conflict { key, .. }) => {
                self.counts.conflicts += 1;
                metrics::counter!("entry_commit_conflicts").increment(1);
                // Nothing was written. Ended reports go back in line; a stale commitment row
                // means the shard must be read again; a stale lease means it is lost.
                s.ended = ended;
                if key.starts_with("commit/") {
                    s.loaded = false;
                }
                Ok(!key.starts_with("shard/"))
            }
            Err(e) => {
                // The answer may be lost after the write took effect: read everything again
                // before the next placement, so that no commitment is counted twice.
                s.ended = ended;
                s.loaded = false;
                Err(e)
            }
        }
    }

    /// Starts the placed tasks of a shard; keeps those the workers did not answer.
    async fn start(
        &mut self,
        table: &Client,
        shard: &str,
        s: &mut Shard,
    ) -> Result<bool, PlatformError> {
        if s.unstarted.is_empty() {
            return Ok(true);
        }
        let batch = std::mem::take(&mut s.unstarted);
        let answers = match table.start(batch.clone()).await {
            Ok(a) => a,
            Err(e) => {
                s.unstarted = batch;
                return Err(e);
            }
        };
        let mut lost = false;
        for a in answers {
            match a.refused {
                None | Some(StartRefusal::AlreadyRunning) => self.counts.started += 1,
                Some(StartRefusal::StaleEpoch) => lost = true,
                Some(StartRefusal::NotPlaced) | Some(StartRefusal::UnknownWorker) => {
                    if let Some((job, n)) = a
                        .task
                        .rsplit_once('.')
                        .and_then(|(j, n)| Some((j.to_string(), n.parse().ok()?)))
                    {
                        s.unplaced.insert((job, n));
                    }
                }
            }
        }
        if lost {
            log::warn!("shard {shard}: workers refused a stale epoch");
        }
        Ok(!lost)
    }
}

/// Sets a job's state from its tasks after a round changed them.
fn settle(row: &mut JobRow, now: Millis) {
    if matches!(row.state, JobState::Refused { .. } | JobState::Cancelled) {
        return;
    }
    if row.started.is_none() && row.tasks.iter().any(|t| t.state == TaskState::Placed) {
        row.started = Some(now);
    }
    row.state = if row.tasks.iter().all(|t| t.state.ended()) {
        JobState::Finished {
            failed: row.tasks.iter().filter(|t| t.state == TaskState::Failed).count() as u32,
        }
    } else if row.waiting() {
        JobState::Pending
    } else {
        JobState::Running
    };
}
