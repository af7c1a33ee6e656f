//! The scheduler of one entry instance.
//!
//! Each round polls the workers of the shards held, which extends task leases and returns
//! completions, and plans on cached rows (`plan`, `completions`, `serve` and the modules that
//! they call). It commits the changes of all shards in one fenced transaction (`commit`), because
//! the table's write budget is the scarcest resource, and then sends the starts and stops
//! (`orders`). A newly acquired shard is loaded (`load`) and reconciled with the tasks that its
//! workers report as running.

mod commit;
mod completions;
pub mod gc;
mod load;
mod migrate;
mod orders;
mod plan;
mod preempt;
mod quota;
mod serve;

use crate::entry::catalogue::Catalogue;
use crate::entry::rows::{JobRow, QuotaRow};
use crate::kernel::arena::{Arena, WorkerKey};
use crate::kernel::clock::{Clock, Millis};
use crate::kernel::res::Resources;
use crate::standin::api::StopReq;
use crate::standin::client::{Client, PlatformError};
use crate::standin::tasks::{shard_of, Completion, RackCapacity, StartReq, WorkerInfo};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Failed starts after which a task fails permanently. A service is restarted without limit.
pub const MAX_FAILS: u32 = 3;

/// Number of tasks that must fail on a worker, of jobs that failed on no other worker, before the
/// worker is avoided.
pub const AVOID_AFTER: usize = 2;

/// Time for which a failing worker is avoided, ms.
pub const AVOID_MS: u64 = 30_000;

/// Most commit attempts in one round; each conflict is followed by a new plan. After the last
/// attempt the shards are planned again in the next round.
const MAX_COMMIT_ATTEMPTS: u32 = 4;

/// The resources committed on one worker: the sum of its placement rows. Only the shard's holder
/// changes them, under its lease, so the sum needs no row of its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Commitments {
    /// Sum of the declared resources of all tasks.
    pub used: Resources,
    /// Declared resources by task id.
    pub tasks: BTreeMap<String, Resources>,
}

impl Commitments {
    /// Adds a task; a task that is already committed stays as it is.
    pub fn add(&mut self, task: &str, r: Resources) {
        if self.tasks.insert(task.to_string(), r).is_none() {
            self.used = self.used.add(&r);
        }
    }

    /// Removes a task; does nothing if it is not committed.
    pub fn remove(&mut self, task: &str) {
        if let Some(r) = self.tasks.remove(task) {
            self.used = self.used.sub(&r);
        }
    }
}

/// The scheduler's view of a worker: its inventory entry, commitments and failure history.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerView {
    /// Name, rack and capacity from the platform's worker list.
    pub info: WorkerInfo,
    /// Commitments as last read or written by this instance.
    #[serde(rename = "commit")]
    pub commitments: Commitments,
    /// Tasks that failed here, of jobs that have failed on no other worker so far.
    #[serde(rename = "blame")]
    pub failures: BTreeSet<String>,
    /// Local time until which the worker is avoided, ms; 0 when it is not avoided.
    #[serde(rename = "avoid")]
    pub avoid_until: Millis,
    /// Local time of the last contact, ms: a poll that reached the worker, or a poll or start that
    /// may have reached it. Its task leases may last until this time plus the lease period.
    #[serde(rename = "heard")]
    pub last_contact: Millis,
    /// Whether the last poll failed to reach the worker.
    #[serde(rename = "cut")]
    pub unreachable: bool,
}

/// One shard: a rack of workers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Shard {
    /// Workers of the rack.
    pub workers: Vec<WorkerKey>,
    /// Epoch under which the placement rows were read; they are read again under a new epoch.
    pub loaded: Option<u64>,
    /// Epoch under which its workers were last polled.
    pub polled: Option<u64>,
    /// Tasks that the workers reported as running at the takeover, by task id with attempt and
    /// worker; removed once reconciled.
    pub running: Option<BTreeMap<String, (u32, String)>>,
    /// Sequence number up to which completions are committed.
    pub acked: u64,
    /// Completions reported and not yet committed.
    pub ended: Vec<Completion>,
    /// Start orders that the workers have not yet answered, by task id.
    pub unstarted: BTreeMap<String, StartReq>,
    /// Stop orders, sent again until the completion that they cause is reported, by task id.
    pub stopping: BTreeMap<String, StopReq>,
}

/// A cached row with the version at which it was read or written.
#[derive(Clone, Debug, Serialize)]
pub struct Cached<T> {
    /// Row version; 0 for a row that does not exist yet.
    pub version: u64,
    /// Decoded content of the row.
    pub row: T,
}

/// Counters of the scheduler since the process started, for metrics and the state dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
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
    /// Tasks that finished successfully.
    pub finished: u64,
    /// Starts of tasks that ended as failed.
    pub failed: u64,
    /// Tasks placed again because their worker was lost or their lease expired.
    pub lost: u64,
    /// Batch tasks preempted by urgent work.
    pub preempted: u64,
    /// Jobs moved to another shard.
    #[serde(rename = "spilled")]
    pub migrated: u64,
    /// Times that a job had to wait in a round for its team's quota.
    pub over_quota: u64,
    /// Jobs refused before any task was placed.
    pub refused: u64,
    /// Tasks found placed but not running after a takeover, for which a start was ordered.
    pub recovered: u64,
}

impl Counts {
    fn add(&mut self, o: &Self) {
        self.placed += o.placed;
        self.finished += o.finished;
        self.failed += o.failed;
        self.lost += o.lost;
        self.preempted += o.preempted;
        self.migrated += o.migrated;
        self.over_quota += o.over_quota;
        self.refused += o.refused;
        self.recovered += o.recovered;
    }
}

/// Inputs of a round besides the state of the scheduler.
pub struct Ctx<'a> {
    /// Client of the platform.
    pub platform: &'a Client,
    /// The process clock.
    pub clock: &'a Clock,
    /// Id of this instance.
    pub me: &'a str,
    /// Failure domain of this instance.
    pub domain: &'a str,
    /// Catalogue in force on this instance.
    pub cat: &'a Catalogue,
    /// Lifetime of task leases, ms.
    pub hold_ms: u64,
}

/// Scheduler state of one entry instance.
#[derive(Debug, Default, Serialize)]
pub struct Sched {
    /// Workers of the failure domain.
    pub workers: Arena<WorkerKey, WorkerView>,
    /// Worker keys by name.
    pub names: BTreeMap<String, WorkerKey>,
    /// Shards of the failure domain, by name.
    pub shards: BTreeMap<String, Shard>,
    /// Rows of the jobs that wait or run in the shards held, by job id.
    pub jobs: BTreeMap<String, Cached<JobRow>>,
    /// Pending-job entries: the ids of jobs to serve in each shard, with the local time at which
    /// each was first seen, ms.
    #[serde(rename = "marks")]
    pub pending: BTreeMap<String, BTreeMap<String, Millis>>,
    /// Revision of the table up to which `pending` is current.
    pub revision: u64,
    /// Quota rows of the teams that have work in the shards held, by team.
    pub quotas: BTreeMap<String, Cached<QuotaRow>>,
    /// Free capacity of each shard of the domain, as the platform reports it with a delay.
    #[serde(rename = "rooms")]
    pub rack_capacities: BTreeMap<String, RackCapacity>,
    /// Platform time of the last poll, ms.
    pub polled: Millis,
    /// Counters.
    pub counts: Counts,
    /// Sequence number in the idempotency key of the last commit.
    seq: u64,
    /// Random number that keeps the idempotency keys of this process unique.
    nonce: u64,
}

/// Load of a scheduler, from which the interval to its next round follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Activity {
    /// No job waits or runs, and no order or completion is outstanding.
    Idle,
    /// Tasks run; only their completions are expected.
    Running,
    /// Jobs wait, or orders or completions are outstanding.
    Busy,
}

/// Result of a round.
#[derive(Debug, Default)]
pub struct RoundResult {
    /// Shards whose lease was found to be lost during the round.
    pub lost: Vec<String>,
}

impl Sched {
    /// Creates a scheduler for the workers in `all` that belong to `domain`.
    pub fn new(domain: &str, all: &[WorkerInfo]) -> Self {
        let mut s = Self { nonce: rand::random(), ..Self::default() };
        for info in all.iter().filter(|w| w.domain == domain) {
            let view = WorkerView {
                info: info.clone(),
                commitments: Commitments::default(),
                failures: BTreeSet::new(),
                avoid_until: 0,
                last_contact: 0,
                unreachable: false,
            };
            let k = s.workers.push(view);
            s.names.insert(info.name.clone(), k);
            s.shards.entry(shard_of(info)).or_default().workers.push(k);
        }
        s
    }

    /// Returns the total capacity of a shard and the capacity of its largest worker.
    pub fn capacity(&self, shard: &str) -> Option<(Resources, Resources)> {
        let s = self.shards.get(shard)?;
        let caps = s.workers.iter().map(|&k| self.workers.get(k).info.cap);
        let total = caps.clone().fold(Resources::ZERO, |a, c| a.add(&c));
        let largest = caps.max_by_key(|c| (c.cpu, c.mem, c.acc)).unwrap_or_default();
        Some((total, largest))
    }

    /// Drops the cached state of a shard, so that the next round reads and reconciles it again.
    ///
    /// The rows of its jobs are dropped too, because another holder may have changed them. With a
    /// stale row, a completion of the current attempt looks like one of another attempt; it would
    /// be acknowledged without effect, and the task would stay placed and never end.
    pub fn unload(&mut self, shard: &str) {
        self.jobs.retain(|_, j| j.row.shard != shard);
        if let Some(s) = self.shards.get_mut(shard) {
            let (workers, polled) = (std::mem::take(&mut s.workers), s.polled);
            *s = Shard { workers, polled, ..Shard::default() };
        }
    }

    /// Runs one round over the shards in `held` (shard → epoch). Only the shards in `usable`, whose
    /// leases were renewed recently enough by the local clock, are planned. All shards are polled,
    /// so that running tasks keep their leases while the table cannot be reached.
    pub async fn round(
        &mut self,
        cx: &Ctx<'_>,
        held: &BTreeMap<String, u64>,
        usable: &BTreeSet<String>,
    ) -> Result<RoundResult, PlatformError> {
        self.counts.rounds += 1;
        let superseded: Vec<String> = self
            .shards
            .iter()
            .filter(|(n, s)| s.loaded.is_some() && s.loaded != held.get(*n).copied())
            .map(|(n, _)| n.clone())
            .collect();
        superseded.iter().for_each(|n| self.unload(n));
        let mut result = RoundResult { lost: self.poll(cx, held).await? };
        let plannable: BTreeMap<String, u64> = held
            .iter()
            .filter(|(s, _)| usable.contains(*s) && !result.lost.contains(*s))
            .map(|(s, e)| (s.clone(), *e))
            .collect();
        if plannable.is_empty() {
            return Ok(result);
        }
        self.follow_pending(cx).await?;
        self.load(cx, &plannable).await?;
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            self.read_jobs(cx, &plannable).await?;
            self.read_quotas(cx, &plannable).await?;
            let plan = self.plan(cx, &plannable);
            match self.commit(cx, plan).await? {
                commit::CommitResult::Done => break,
                commit::CommitResult::Conflict => continue,
                commit::CommitResult::LeaseLost(shard) => {
                    result.lost.push(shard);
                    return Ok(result);
                }
            }
        }
        let lost = self.send_orders(cx).await?;
        result.lost.extend(lost);
        self.prune_jobs(held);
        Ok(result)
    }

    /// Returns the highest activity among the loaded shards.
    pub fn activity(&self) -> Activity {
        let of_shard = |(name, s): (&String, &Shard)| {
            let has_pending = self.pending.get(name).is_some_and(|m| !m.is_empty());
            if has_pending
                || !(s.unstarted.is_empty() && s.stopping.is_empty() && s.ended.is_empty())
            {
                Activity::Busy
            } else if s.workers.iter().any(|&k| !self.workers.get(k).commitments.tasks.is_empty()) {
                Activity::Running
            } else {
                Activity::Idle
            }
        };
        let loaded = self.shards.iter().filter(|(_, s)| s.loaded.is_some());
        loaded.map(of_shard).max().unwrap_or(Activity::Idle)
    }

    /// Drops the cached rows of jobs that no longer wait or run in a held shard.
    fn prune_jobs(&mut self, held: &BTreeMap<String, u64>) {
        let committed: BTreeSet<&str> = self
            .workers
            .iter()
            .flat_map(|(_, w)| w.commitments.tasks.keys())
            .filter_map(|t| Some(crate::entry::rows::task_parts(t)?.0))
            .collect();
        let pending = &self.pending;
        self.jobs.retain(|id, j| {
            let shard = &j.row.shard;
            held.contains_key(shard)
                && (committed.contains(id.as_str())
                    || pending.get(shard).is_some_and(|m| m.contains_key(id)))
        });
    }
}
