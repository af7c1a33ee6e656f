//! Local cache of the store's tables: the catalogue, submitted jobs and their progress, kept up to
//! date by the store's change feed.
//!
//! Rows carry the version of their write, and an older version never replaces a newer one, so that
//! full reads, feeds and an instance's own commits can be applied in any order.

pub mod reading;
mod state;

use super::access::Caller;
use super::health::Dependency;
use super::model::{Catalogue, JobId, JobState};
use super::partitions::Partition;
use super::ports::{Change, Page, ReadError, RunnerEntry, Store};
use super::rows::{self, JobRow, ProgressRow};
use super::store_health::StoreHealth;
use super::teams::ApiKey;
use crate::kernel::clock::Clock;
use crate::platform::{catalogue, runners};
use async_std::channel::Sender;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use reading::Reading;
use state::{JobEntry, Progress, State};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::sync::{Arc, Mutex};

/// Timeout of a write as a multiple of the latency of a read: a write queues behind others of its
/// partition.
const WRITE_LATENCY_FACTOR: u64 = 10;

/// Time within which a write in flight is applied, as a multiple of the latency of a read: it waits for
/// one other transaction of its partition, and takes longer than a read.
const WRITE_ROUNDS: u64 = 4;

/// Least time that a write is assumed to take, ms: ten times the usual latency of the store.
const MIN_WRITE_MS: u64 = 50;

/// Timeout of a write while the store is unresponsive, ms: many times its usual latency, and a
/// fraction of the takeover time. A longer attempt that is still in flight when the store recovers
/// could delay the leader's next write until the leader is replaced.
const PROBE_TIMEOUT_MS: u64 = 300;

/// Interval between two polls of the feed while a large table is read, ms: a fraction of the
/// shortest history that a store keeps.
const FEED_INTERVAL_MS: u64 = 1_000;

/// A poll of the feed that fails after this long, ms, was still receiving data, since a stalled one
/// times out sooner.
const FEED_TOO_LARGE_MS: u64 = 5_000;

/// Maximum number of rows of one job in a table.
const MAX_JOB_ROWS: usize = 8;

/// Longest timeout of a write, ms: leaves time for a second attempt within a caller's 3 s.
const MAX_WRITE_TIMEOUT_MS: u64 = 1_600;

/// A change of the cached tables that the scheduler is notified of.
#[derive(Clone, Debug)]
pub enum Update {
    /// A job was submitted.
    Job(JobId, Arc<JobRow>),
    /// A job was cancelled.
    Cancel(JobId),
    /// A new catalogue is in force.
    Catalogue(Arc<Catalogue>),
    /// A runner's registry entry; none if it was removed.
    Runner(String, Option<RunnerEntry>),
    /// Ids of all runners in the registry, after a full read of it.
    Runners(BTreeSet<String>),
}

/// A job as a new leader finds it.
#[derive(Clone, Debug)]
pub struct StoredJob {
    /// Id of the job.
    pub id: JobId,
    /// The job as submitted.
    pub row: Arc<JobRow>,
    /// Version and contents of its progress row; none if no such row is cached.
    pub progress: Option<(u64, ProgressRow)>,
    /// Whether a caller has cancelled it.
    pub cancelled: bool,
}

/// A job of which a row cannot be decoded, as a new leader finds it.
#[derive(Clone, Debug)]
pub struct UnreadableJob {
    /// Id of the job.
    pub id: JobId,
    /// The job as submitted; none if that cannot be decoded.
    pub row: Option<Arc<JobRow>>,
    /// Whether a caller has cancelled it.
    pub cancelled: bool,
}

/// All cached jobs at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Jobs whose rows are readable.
    pub jobs: Vec<StoredJob>,
    /// The others.
    pub unreadable: Vec<UnreadableJob>,
}

/// Tables that are cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Table {
    /// The operator's configuration, which holds the catalogue.
    Config,
    /// Submitted jobs and cancellations.
    Jobs,
    /// Progress of jobs.
    Progress,
    /// The registry of runners, read by the leader only.
    Registry,
}

impl Table {
    const ALL: [Self; 4] = [Self::Config, Self::Jobs, Self::Progress, Self::Registry];

    /// Name of the table in the store.
    fn name(self) -> &'static str {
        match self {
            Self::Config => catalogue::CONFIG_TABLE,
            Self::Jobs => rows::JOBS,
            Self::Progress => rows::PROGRESS,
            Self::Registry => runners::REGISTRY_TABLE,
        }
    }

    /// Names of its partitions.
    fn partitions(self) -> Vec<String> {
        match self {
            // All possible partitions, rather than a listing: this instance would miss the jobs of
            // a partition that is first written to between the listing and the reads.
            Self::Jobs => (0..rows::JOB_PARTITIONS).map(rows::partition_name).collect(),
            Self::Progress => Partition::all().map(Partition::name).collect(),
            Self::Config | Self::Registry => vec![String::new()],
        }
    }
}

/// Largest size of an encoded catalogue that is accepted compressed, bytes: a thousand times that of
/// the largest known ones.
const MAX_INFLATED: u64 = 64 * 1024 * 1024;

/// Compresses an encoded catalogue.
fn deflate(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(bytes).and_then(|()| encoder.finish()).expect("memory does not fail")
}

/// Decompresses a catalogue; none if it is damaged or too large.
pub fn inflate(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let read = DeflateDecoder::new(bytes).take(MAX_INFLATED).read_to_end(&mut out).ok()?;
    ((read as u64) < MAX_INFLATED).then_some(out)
}

/// Local cache of the store's tables, one for each instance.
pub struct Mirror {
    store: Arc<dyn Store>,
    store_health: Arc<StoreHealth>,
    clock: Clock,
    reads: Dependency,
    /// Held by the caller of [`Self::renew`] whose poll also serves concurrent callers.
    renewing: async_std::sync::Mutex<()>,
    /// Held during a full read of the table.
    readers: BTreeMap<Table, async_std::sync::Mutex<()>>,
    state: Mutex<State>,
}

impl Mirror {
    /// An empty cache of `store`; `store_health` reports the store's health.
    pub fn new(store: Arc<dyn Store>, store_health: Arc<StoreHealth>, clock: Clock) -> Self {
        let reads = Dependency::new("store, reads", clock.clone());
        let renewing = Default::default();
        let readers = Table::ALL.into_iter().map(|t| (t, Default::default())).collect();
        Self { store, store_health, clock, reads, renewing, readers, state: Mutex::default() }
    }

    /// Time within which a write that is on its way to the store is applied, ms, as far as can be told
    /// from the latency of reads.
    pub fn write_ms(&self) -> u64 {
        (self.state.lock().unwrap().latency * WRITE_ROUNDS).max(MIN_WRITE_MS)
    }

    /// Whether a call of this instance to the store failed in the last `ms`.
    pub fn store_failed_within(&self, ms: u64) -> bool {
        self.store_health.failed_within(ms)
    }

    /// The catalogue in force on this instance.
    pub fn catalogue(&self) -> Arc<Catalogue> {
        self.state.lock().unwrap().catalogue.clone()
    }

    /// Time since the catalogue was known to be the newest one, ms; none before it was read.
    pub fn catalogue_age(&self) -> Option<u64> {
        let known = self.state.lock().unwrap().config_known?;
        Some(self.clock.mono().saturating_sub(known))
    }

    /// The encoded catalogue, for an instance that has `version`; none if that is as new.
    pub fn newer_config(&self, version: u64) -> Option<Vec<u8>> {
        let st = self.state.lock().unwrap();
        (st.catalogue.version > version).then(|| st.config_row.clone())
    }

    /// As [`Self::newer_config`], compressed. It is compressed once for all instances that need it.
    pub fn newer_config_deflated(&self, version: u64) -> Option<Arc<[u8]>> {
        let mut st = self.state.lock().unwrap();
        let newest = st.catalogue.version;
        if newest <= version {
            return None;
        }
        if st.config_deflated.as_ref().is_none_or(|(v, _)| *v != newest) {
            st.config_deflated = Some((newest, deflate(&st.config_row).into()));
        }
        st.config_deflated.as_ref().map(|(_, bytes)| bytes.clone())
    }

    /// Applies the newest catalogue as another instance knew it `age` ms ago: an encoded one if it
    /// is newer than that of this instance, whose version was `version` when it asked.
    pub fn learn_config(&self, version: u64, newer: Option<&[u8]>, age: u64) {
        let mut st = self.state.lock().unwrap();
        if let Some(value) = newer {
            st.apply_config(value);
        }
        // An unreadable row confirms nothing.
        if newer.is_none() || st.catalogue.version > version {
            st.confirm_config(self.clock.mono().saturating_sub(age));
        }
    }

    /// The team that had a removed key, and the version of the catalogue that removed it.
    pub fn removed_key(&self, key: &ApiKey) -> Option<(String, u64)> {
        let st = self.state.lock().unwrap();
        st.removed_keys.get(key).map(|(team, version)| (team.to_string(), version))
    }

    /// Whether a caller may see a cached job; none if the job is not in the cache.
    pub fn visible(&self, id: JobId, caller: &Caller) -> Option<bool> {
        let st = self.state.lock().unwrap();
        let row = st.jobs.get(&id)?.row.as_ref()?;
        Some(caller.may_see(row))
    }

    /// Timeout of a write, ms: between `least` and `MAX_WRITE_TIMEOUT_MS`, many times the current
    /// latency of the store. A fixed timeout would be too long for an instance that has been cut
    /// off, or too short for a slow store, which would then execute both the write and its retry.
    /// While the store is unresponsive the timeout is short: an attempt still in flight when the
    /// store recovers delays the next one until it times out.
    pub fn write_timeout_ms(&self, least: u64) -> u64 {
        if self.store_health.unavailable() {
            return PROBE_TIMEOUT_MS;
        }
        let latency = self.state.lock().unwrap().latency;
        (latency * WRITE_LATENCY_FACTOR).clamp(least, MAX_WRITE_TIMEOUT_MS.max(least))
    }

    /// Cached state of a job; none if the job is not in the cache. Without a progress row it is
    /// `Queued`, see [`Self::has_state`].
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        self.state.lock().unwrap().job_state(id)
    }

    /// Whether a job's state is known: the job is in the cache, and so is its progress row or the
    /// whole progress table.
    pub fn has_state(&self, id: JobId) -> bool {
        let st = self.state.lock().unwrap();
        let has_job = st.jobs.get(&id).is_some_and(|j| j.row.is_some());
        has_job && (st.progress.contains_key(&id) || st.cached_version(Table::Progress).is_some())
    }

    /// Returns whether jobs and progress are cached as they were stored `max_age` ms ago or later,
    /// after polling tables whose last poll is older. Without it, an instance that has just
    /// started, or whose feed has stalled, would answer for a queue from the few jobs in its cache.
    pub async fn ensure_fresh(&self, max_age: u64) -> bool {
        // The leader writes all progress itself and doesn't poll it.
        let is_leader = self.state.lock().unwrap().subscriber.is_some();
        let since = self.clock.mono().saturating_sub(max_age);
        for table in [Table::Jobs, Table::Progress] {
            if self.cached_version(table).is_none() {
                return false;
            }
            let fresh = (is_leader && table == Table::Progress) || self.polled_since(table, since);
            // A store known to be unresponsive is not polled.
            if !fresh
                && (self.store_health.unavailable() || self.renew(table, since).await.is_err())
            {
                return false;
            }
        }
        true
    }

    /// Number of cached jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> u64 {
        let st = self.state.lock().unwrap();
        let is_queued =
            |id: &JobId| st.progress.get(id).is_none_or(|p| p.state == JobState::Queued);
        let in_queue =
            |j: &JobEntry| !j.cancelled && j.row.as_ref().is_some_and(|r| r.queue == queue);
        st.jobs.iter().filter(|(id, j)| in_queue(j) && is_queued(id)).count() as u64
    }

    /// Time since the start of the last successful poll of a table, ms; none if there was none.
    pub fn age(&self, table: Table) -> Option<u64> {
        let polled = self.state.lock().unwrap().polled.get(&table).copied()?;
        Some(self.clock.mono().saturating_sub(polled))
    }

    /// Sets whether jobs and their progress are cached. An instance that is not eligible for
    /// leadership needs neither: in a cell of a hundred instances, each would load the store, its
    /// own small link and its own small memory with all jobs that the others accept.
    pub fn set_cache_jobs(&self, yes: bool) {
        let mut st = self.state.lock().unwrap();
        match yes {
            true => st.without_jobs = false,
            false if st.without_jobs => {}
            false => st.drop_jobs(),
        }
    }

    /// Whether jobs and their progress are cached.
    pub fn caches_jobs(&self) -> bool {
        !self.state.lock().unwrap().without_jobs
    }

    /// Number of jobs in the cache.
    pub fn job_count(&self) -> usize {
        self.state.lock().unwrap().jobs.len()
    }

    /// Sends all later changes to `subscriber`, or stops sending them if it is none. Discards the
    /// registry, which only the leader polls, so that it is read again.
    pub fn subscribe(&self, subscriber: Option<Sender<Update>>) {
        let mut st = self.state.lock().unwrap();
        st.subscriber = subscriber;
        st.forget(Table::Registry);
    }

    /// Jobs of which a row cannot be decoded.
    pub fn unreadable_jobs(&self) -> Vec<UnreadableJob> {
        self.state.lock().unwrap().unreadable()
    }

    /// All cached jobs with their progress, for a new leader, but for [`Self::unreadable_jobs`].
    pub fn snapshot(&self) -> Vec<StoredJob> {
        self.state.lock().unwrap().stored_jobs()
    }

    /// All jobs for a new leader; none if one of the tables is not cached up to `version`. It may have
    /// been discarded since it was read.
    pub fn snapshot_at(&self, version: u64) -> Option<Snapshot> {
        let st = self.state.lock().unwrap();
        let is_cached = |table| st.cached_version(table) >= Some(version);
        let complete = is_cached(Table::Jobs) && is_cached(Table::Progress);
        complete.then(|| Snapshot { jobs: st.stored_jobs(), unreadable: st.unreadable() })
    }

    /// Adds a job that this instance has stored or read.
    pub fn put_job(&self, id: JobId, row: Arc<JobRow>) {
        self.state.lock().unwrap().put_job(id, row);
    }

    /// Adds a cancellation that this instance has stored.
    pub fn put_cancel(&self, id: JobId) {
        self.state.lock().unwrap().put_cancel(id);
    }

    /// Adds progress that this instance has stored.
    pub fn put_progress(&self, id: JobId, version: u64, state: JobState, value: Vec<u8>) {
        let value = Some(value);
        self.state.lock().unwrap().put_progress(id, Progress { version, state, value });
    }

    /// Adds a job's state that the leader has stored and sent over a link.
    pub fn put_state(&self, id: JobId, version: u64, state: JobState) {
        let value = None;
        self.state.lock().unwrap().put_progress(id, Progress { version, state, value });
    }

    /// Discards the positions in the feeds of jobs and progress, so that both tables are read again.
    pub fn discard_jobs(&self) {
        let mut st = self.state.lock().unwrap();
        st.forget(Table::Jobs);
        st.forget(Table::Progress);
    }

    /// Removes a job whose rows were deleted by transactions up to `version`.
    pub fn delete_job(&self, id: JobId, version: u64) {
        self.state.lock().unwrap().delete_job(id, version, self.clock.mono());
    }

    /// Version up to which a table is cached; none until a full read has completed.
    pub fn cached_version(&self, table: Table) -> Option<u64> {
        self.state.lock().unwrap().cached_version(table)
    }

    /// Updates a table by the changes since the last poll, waiting up to `wait_ms` for the first,
    /// or by a full read where the feed is not available. Returns the number of rows applied.
    pub async fn poll(&self, table: Table, wait_ms: u64) -> Result<usize, ReadError> {
        let res = self.update(table, wait_ms).await;
        self.reads.record(&res);
        let unreadable = self.state.lock().unwrap().unreadable().len();
        metrics::gauge!("control_unreadable_jobs").set(unreadable as f64);
        res
    }

    /// Updates a table unless it was polled at or after `since`, local ms. Concurrent callers share
    /// one poll.
    pub async fn renew(&self, table: Table, since: u64) -> Result<(), ReadError> {
        let _renewing = self.renewing.lock().await;
        if self.polled_since(table, since) {
            return Ok(());
        }
        self.poll(table, 0).await.map(drop)
    }

    fn polled_since(&self, table: Table, since: u64) -> bool {
        self.state.lock().unwrap().polled.get(&table).is_some_and(|at| *at >= since)
    }

    async fn update(&self, table: Table, wait_ms: u64) -> Result<usize, ReadError> {
        if !self.state.lock().unwrap().caches(table) {
            return Err(ReadError::HistoryExpired);
        }
        if self.cached_version(table).is_none() {
            return self.read_all(table).await;
        }
        // While the store is unresponsive, a poll is only a probe and doesn't wait for changes.
        let wait_ms = if self.store_health.unavailable() { 0 } else { wait_ms };
        match self.follow(table, wait_ms).await {
            Err(ReadError::HistoryExpired) => {
                log::info!(table = table.name(); "feed history is gone; reading the whole table again");
                self.read_all(table).await
            }
            res => res,
        }
    }

    /// Polls the feed of a table and applies its changes. Discards the position in the feed, so
    /// that the whole table is read again, if the feed's history no longer reaches back to it.
    async fn follow(&self, table: Table, wait_ms: u64) -> Result<usize, ReadError> {
        let position = |st: &State| Some((*st.versions.get(&table)?, st.discards(table)));
        let found = position(&self.state.lock().unwrap());
        let Some((after, discards)) = found else { return Ok(0) };
        let sent = self.clock.mono();
        let res = self.store.changes(table.name(), after, wait_ms).await;
        let mut st = self.state.lock().unwrap();
        let changes = res.inspect_err(|e| {
            // The changes are more than the link transfers within a read's timeout, and the next
            // poll would request even more: the table is read in slices instead.
            let too_large = self.clock.mono() - sent >= FEED_TOO_LARGE_MS;
            // Another caller may have begun a full read or polled meanwhile, which is then kept.
            if (*e == ReadError::HistoryExpired || too_large)
                && position(&st) == Some((after, discards))
            {
                st.forget(table);
            }
        })?;
        if st.discards(table) != discards {
            return Ok(0);
        }
        let n = changes.rows.len();
        if n == 0 {
            st.latency = self.clock.mono().saturating_sub(sent + wait_ms);
        }
        for c in changes.rows {
            match c {
                Change::Put(row) => st.put(table, row),
                Change::Removed(key) => st.remove(table, &key),
            }
        }
        let version = st.versions.entry(table).or_default();
        *version = changes.version.max(*version);
        st.polled.insert(table, sent);
        if table == Table::Config {
            st.confirm_config(sent);
        }
        if let Some(reading) = st.readings.get_mut(&table) {
            reading.feed_polled = sent;
        }
        Ok(n)
    }

    /// Reads a whole table, or the rest of a read that has begun. The feed is polled between
    /// slices, so that its history doesn't expire while a large table is read. It is not polled
    /// while pages are in flight, since these could bring back a row that the feed has removed.
    async fn read_all(&self, table: Table) -> Result<usize, ReadError> {
        let _reader = self.readers[&table].lock().await;
        if self.cached_version(table).is_some() {
            return self.follow(table, 0).await;
        }
        self.begin(table);
        loop {
            if self.feed_due(table) {
                self.follow(table, 0).await?;
            }
            let pause = self.read_slice(table).await?;
            if let Some(rows) = self.finish(table) {
                return Ok(rows);
            }
            self.clock.sleep(pause).await;
        }
    }

    /// Whether the feed of a table that is being read has not been polled for [`FEED_INTERVAL_MS`].
    fn feed_due(&self, table: Table) -> bool {
        let st = self.state.lock().unwrap();
        let reading = st.readings.get(&table).filter(|r| r.started);
        reading.is_some_and(|r| r.feed_polled + FEED_INTERVAL_MS <= self.clock.mono())
    }

    /// Begins a full read of a table, unless one has begun.
    fn begin(&self, table: Table) {
        let mut st = self.state.lock().unwrap();
        let now = self.clock.mono();
        st.readings.entry(table).or_insert_with(|| {
            let partitions = table.partitions();
            log::info!(table = table.name(), parts = partitions.len(); "reading a table");
            Reading::new(partitions, now)
        });
    }

    /// Reads the next slice of a table. Returns the pause before the following one, ms, which
    /// leaves the link free for other traffic.
    async fn read_slice(&self, table: Table) -> Result<u64, ReadError> {
        let slice = self.state.lock().unwrap().slice(table);
        let (partitions, limit) = slice.ok_or(ReadError::HistoryExpired)?;
        let sent = self.clock.mono();
        let name = table.name();
        let reads = partitions
            .iter()
            .map(|(partition, from)| self.store.page(name, partition, from, None, limit));
        let pages = futures::future::join_all(reads).await;
        let ms = self.clock.mono() - sent;
        let mut st = self.state.lock().unwrap();
        let (mut rows, mut bytes, mut failed) = (0, 0, None);
        for ((partition, _), page) in partitions.iter().zip(pages) {
            match page {
                Ok(page) => {
                    let sizes = page.rows.iter().map(|r| reading::wire_size(r.value.len()));
                    bytes += sizes.sum::<usize>();
                    rows += page.rows.len();
                    st.apply_page(table, partition, page);
                }
                Err(e) => {
                    if let Some(reading) = st.readings.get_mut(&table) {
                        reading.move_to_back(partition);
                    }
                    failed = Some(e);
                }
            }
        }
        st.mark_started(table);
        if let Some(why) = failed {
            // A refusal by the store gives no information on the capacity of the link.
            if matches!(why, ReadError::Unreachable(_)) {
                st.sizer.shrink();
            }
            let remaining = st.readings.get(&table).map_or(0, |r| r.remaining.len());
            log::warn!(table = name, rows = rows, parts_left = remaining, ms = ms, why:% = why;
                "part of a table not read");
            return Err(why);
        }
        Ok(st.sizer.record_slice(rows, bytes, ms))
    }

    /// Finishes the full read of a table if nothing remains to be read, and returns the number of
    /// rows read.
    fn finish(&self, table: Table) -> Option<usize> {
        let mut st = self.state.lock().unwrap();
        st.readings.get(&table).filter(|r| r.remaining.is_empty())?;
        let reading = st.readings.remove(&table)?;
        let removed = st.remove_unread(table, &reading.jobs);
        log::info!(table = table.name(), rows = reading.rows, version:? = st.versions.get(&table),
            removed, ms = self.clock.mono() - reading.began; "table read");
        match table {
            Table::Registry => st.notify(Update::Runners(reading.keys)),
            Table::Config => st.confirm_config(reading.began),
            Table::Jobs | Table::Progress => {}
        }
        Some(reading.rows)
    }

    /// Reads a job from the store, and its progress unless the progress table is cached. Returns
    /// the job's state, or none if there is no such job that `caller` may see.
    pub async fn find_job(
        &self,
        id: JobId,
        caller: &Caller,
    ) -> Result<Option<JobState>, ReadError> {
        let key = rows::job_key(id);
        let end = rows::cancel_key(id).key + "~";
        let job = self.store.page(&key.table, &key.part, &key.key, Some(&end), MAX_JOB_ROWS);
        let (job, progress) = futures::join!(job, self.find_progress(id));
        let (job, progress) = (job?, progress?);
        // If the cache holds no jobs, it ignores these rows, and the state is derived from them
        // alone.
        let mut found = State::quiet();
        let mut st = self.state.lock().unwrap();
        for (table, row) in progress
            .rows
            .into_iter()
            .map(|r| (Table::Progress, r))
            .chain(job.rows.into_iter().map(|r| (Table::Jobs, r)))
        {
            if st.is_deleted(id, &row) {
                continue;
            }
            found.put(table, row.clone());
            st.put(table, row);
        }
        let row_of = |st: &State| st.jobs.get(&id).and_then(|j| j.row.clone());
        let row = row_of(&found).or(row_of(&st));
        let visible = row.is_none_or(|row| caller.may_see(&row));
        Ok(st.job_state(id).or(found.job_state(id)).filter(|_| visible))
    }

    async fn find_progress(&self, id: JobId) -> Result<Page, ReadError> {
        if self.cached_version(Table::Progress).is_some() {
            return Ok(Page::default());
        }
        let key = rows::progress_key(id);
        let end = key.key.clone() + "~";
        self.store.page(&key.table, &key.part, &key.key, Some(&end), MAX_JOB_ROWS).await
    }
}
