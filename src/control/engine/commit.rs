//! Storing of progress: which rows are written, and the handling of the store's answers.
//!
//! A write without an answer may be applied seconds later if its conditions still hold. Each row is
//! therefore written under the condition that it has the version last known to this scheduler: a
//! late write finds a newer version and has no effect.
//!
//! A row with another version than expected is therefore an earlier write of this scheduler without
//! an answer, or not its own. A row that is not its own is never overwritten: it shows that this
//! scheduler lacks progress of the job, and ends the term.

use super::runs::Stage;
use super::{Engine, Now};
use crate::control::model::{JobId, JobState, StepId};
use crate::control::partitions::{self, Partition, PartitionScope};
use crate::control::ports::Row;
use crate::control::rows::{self, ProgressRow};

/// Delay before a change of only the state shown to callers is stored, ms, unless another change of
/// the job is stored earlier. Most lookups end within it, which saves them one write of three.
/// Counts of waiting jobs may be 2 s old, including the poll and the write.
const STATE_DELAY_MS: u64 = 1_000;

/// While the link is busy, completions of single tasks wait for this long for more of the same job
/// before they are stored, ms: shorter than the interval of polls that list them again. Each write
/// takes the whole row of a job, which for hundreds of tasks is many times as large as the change.
const COALESCE_MS: u64 = 150;

/// One part in this many of a batch goes to the changes that have waited longest, so that none
/// starves. The rest goes by rank.
const OLDEST_FRACTION: usize = 4;

/// Most rows of a conflict that are logged.
const MAX_LOGGED_ROWS: usize = 5;

/// What an unstored change delays; lower values are stored first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// A start or a completion of an urgent job.
    Urgent,
    /// A start.
    StartOrder,
    /// A completion, whose capacity is free already.
    Rest,
}

/// Progress of one job to be stored.
#[derive(Clone, Debug)]
pub struct Write {
    /// The job.
    pub job: JobId,
    /// Revision of its progress.
    pub rev: u64,
    /// Version that the stored row must have.
    pub version: u64,
    /// The encoded row.
    pub value: Vec<u8>,
    /// State shown to callers once it is stored.
    pub state: JobState,
}

/// Writes of one transaction.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// When the batch was taken, local ms.
    pub at: u64,
    /// The writes.
    pub writes: Vec<Write>,
}

/// Result of a batch.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// Stored; the rows have this version.
    Done(u64),
    /// Nothing was stored; the store holds these rows.
    Conflict(Vec<Row>),
    /// Nothing was stored, or the outcome is unknown.
    Unknown,
}

impl Engine {
    /// Takes the next writes of a scope, at most `max`.
    pub fn take_batch(&mut self, scope: PartitionScope, max: usize, now: Now) -> Batch {
        let ids = self.next_ids(scope, max);
        let mut writes = Vec::with_capacity(ids.len());
        for id in ids {
            self.dirty.remove(&id);
            self.coalesced.remove(&id);
            let runners = &self.runners;
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let row = job.progress(|k| runners.get(k));
            job.storing = Some(job.rev);
            writes.push(Write {
                job: id,
                rev: job.rev,
                version: job.version,
                value: rows::encode(&row),
                state: job.state,
            });
        }
        Batch { at: now.mono, writes }
    }

    /// Jobs to store next. On a store that accepts few rows a second more are waiting than fit into
    /// a batch: without an order, the start of a lookup would wait for seconds behind completions
    /// of batch tasks.
    fn next_ids(&self, scope: PartitionScope, max: usize) -> Vec<JobId> {
        let waiting = self.unstored(scope).map(|(id, at)| (at, id));
        let mut oldest: Vec<(u64, JobId)> = waiting.collect();
        if oldest.len() > max {
            oldest.sort_unstable();
            let by_rank = oldest.split_off(max / OLDEST_FRACTION);
            let mut by_rank: Vec<(Rank, u64, JobId)> =
                by_rank.into_iter().map(|(at, id)| (self.rank_of(id), at, id)).collect();
            by_rank.sort_unstable();
            let remaining = max - oldest.len();
            oldest.extend(by_rank.into_iter().take(remaining).map(|(_, at, id)| (at, id)));
        }
        oldest.into_iter().map(|(_, id)| id).collect()
    }

    fn rank_of(&self, id: JobId) -> Rank {
        let Some(job) = self.jobs.get(&id) else { return Rank::Rest };
        if self.cat.queues.get(&job.row.queue).is_some_and(|q| q.priority == 0) {
            return Rank::Urgent;
        }
        let mut runs = job.steps.iter().flat_map(|s| &s.tasks).filter_map(|t| t.run.as_ref());
        match runs.any(|r| matches!(r.stage, Stage::Storing { .. })) {
            true => Rank::StartOrder,
            false => Rank::Rest,
        }
    }

    /// Counts a new revision of a job of which only the state shown to callers has changed, which
    /// the next leader does not need.
    pub(super) fn mark_state_changed(&mut self, id: JobId, now: Now) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.rev += 1;
            self.deferred.insert((now.mono + STATE_DELAY_MS, id));
        }
    }

    /// Queues the deferred states that are due and were not stored with another change.
    pub(super) fn queue_deferred(&mut self, now: Now) {
        while let Some(&(due, id)) = self.deferred.first() {
            if due > now.mono {
                return;
            }
            self.deferred.remove(&(due, id));
            if self.jobs.get(&id).is_some_and(|j| j.storing.unwrap_or(j.stored) < j.rev) {
                self.queue_commit(id);
            }
        }
    }

    /// Counts a new revision of a job's progress of which only the end of one task's run has changed.
    /// Any other change of the job is stored at once, with this one.
    pub(super) fn mark_run_ended(&mut self, id: JobId, now: Now) {
        let until = match self.dirty.contains_key(&id) {
            true => self.coalesced.get(&id).copied(),
            false => self.link_busy.then_some(now.mono + COALESCE_MS),
        };
        self.mark_changed(id);
        if let Some(until) = until {
            self.coalesced.insert(id, until);
        }
    }

    /// Whether a partition has changes to store of which no write is pending.
    pub fn wants_commit(&self, partition: Partition) -> bool {
        self.unstored(PartitionScope::One(partition)).next().is_some()
    }

    /// Jobs with changes to store of which no write is pending, each with its position in the order
    /// of changes.
    fn unstored(&self, scope: PartitionScope) -> impl Iterator<Item = (JobId, u64)> + '_ {
        let waits = |id: &JobId| self.coalesced.get(id).is_some_and(|at| *at > self.round_at);
        let free =
            move |id: &JobId| !waits(id) && self.jobs.get(id).is_some_and(|j| j.storing.is_none());
        let dirty = self.dirty.range(scope.jobs());
        dirty.filter(move |(id, _)| free(id)).map(|(id, at)| (*id, *at))
    }

    /// Handles the store's answer to a batch, or its absence.
    pub fn committed(&mut self, batch: &Batch, out: &Outcome, now: Now) {
        match out {
            Outcome::Done(version) => self.stored(batch, *version, now),
            Outcome::Conflict(found) => self.conflict(batch, found),
            Outcome::Unknown => {
                for w in &batch.writes {
                    if let Some(job) = self.jobs.get_mut(&w.job) {
                        job.unanswered = true;
                    }
                }
                self.store_again(batch);
            }
        }
    }

    fn stored(&mut self, batch: &Batch, version: u64, now: Now) {
        let mut rows = [0; partitions::COUNT];
        batch.writes.iter().for_each(|w| rows[Partition::of(w.job).index()] += 1);
        for partition in Partition::all().filter(|p| rows[p.index()] > 0) {
            self.store_backlog.record_commit(
                partition,
                rows[partition.index()],
                batch.at,
                now.mono,
            );
        }
        for w in &batch.writes {
            let Some(job) = self.jobs.get_mut(&w.job) else { continue };
            job.version = version;
            job.stored = w.rev;
            job.storing = None;
            job.unanswered = false;
            self.record_stored(w.job, w.rev, now);
            let Some(job) = self.jobs.get(&w.job) else { continue };
            let steps: Vec<StepId> = job.steps.iter().map(|s| s.id).collect();
            for step in steps {
                self.start_stored(step, w.rev, now);
            }
            self.poll_unacked(w.job, now);
        }
    }

    /// Polls the runners whose completions may be acknowledged now that progress of a job is stored.
    fn poll_unacked(&mut self, job: JobId, now: Now) {
        for k in self.unacked_on.remove(&job).unwrap_or_default() {
            self.acknowledgeable(k);
            let runner = self.runners.get_mut(k);
            if runner.completions.all_acked() {
                runner.next_poll = runner.next_poll.min(now.mono);
            }
        }
    }

    fn store_again(&mut self, batch: &Batch) {
        for w in &batch.writes {
            if let Some(job) = self.jobs.get_mut(&w.job) {
                job.storing = None;
                self.queue_commit(w.job);
            }
        }
    }

    /// Handles a batch of which nothing was stored because some rows have other versions than
    /// expected. Of an earlier write without an answer only the version is copied, since this
    /// scheduler's own state is newer. An unreadable row is not its own.
    fn conflict(&mut self, batch: &Batch, found: &[Row]) {
        let (mut changed, mut foreign) = (Vec::new(), Vec::new());
        for w in &batch.writes {
            let key = rows::progress_key(w.job);
            let row = found.iter().find(|r| r.key == key);
            let version = row.map_or(0, |r| r.version);
            let Some(job) = self.jobs.get_mut(&w.job) else { continue };
            if version == w.version {
                continue;
            }
            let entry = format!("{}: expected {}, found {version}", w.job, w.version);
            let readable = row.is_none_or(|r| rows::decode::<ProgressRow>(&r.value).is_ok());
            if !readable || !job.unanswered {
                foreign.push(entry);
                continue;
            }
            changed.push(entry);
            job.version = version;
            job.unanswered = false;
        }
        let rows = batch.writes.len();
        if !changed.is_empty() {
            let total = changed.len();
            changed.truncate(MAX_LOGGED_ROWS);
            log::info!(fence = self.fence, rows, changed = total, jobs:? = changed;
                "commit conflicts with an earlier write of this scheduler");
        }
        if !foreign.is_empty() {
            let total = foreign.len();
            foreign.truncate(MAX_LOGGED_ROWS);
            log::error!(fence = self.fence, rows, foreign = total, jobs:? = foreign;
                "commit conflicts with progress that this scheduler did not store");
            self.stale = true;
        }
        self.store_again(batch);
    }
}
