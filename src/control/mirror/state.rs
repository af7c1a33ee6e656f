//! Contents of the cache: decodes rows, and keeps the newer of two versions of a row.

use super::reading::{Reading, SliceSizer};
use super::{StoredJob, Table, UnreadableJob, Update};
use crate::control::model::{Catalogue, JobId, JobState};
use crate::control::ports::{Key, Page, Row};
use crate::control::rows::{self, BadRow, JobKey, JobRow, ProgressRow};
use crate::control::teams::RemovedKeys;
use crate::platform::{catalogue, runners};
use async_std::channel::Sender;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Most unreadable registry entries that are logged, once each: bounds the log and the memory of
/// the set of logged entries.
const MAX_LOGGED_ENTRIES: usize = 1_000;

/// Most jobs with unreadable rows that are logged, once for each table.
const MAX_LOGGED_JOBS: usize = 1_000;

/// Time for which deleted jobs are remembered, ms: longer than any read lasts.
const DELETED_MS: u64 = 30_000;

/// A submitted job. The row is none where only its cancellation was read.
pub(super) struct JobEntry {
    pub row: Option<Arc<JobRow>>,
    pub cancelled: bool,
}

/// Progress of a job.
pub(super) struct Progress {
    pub version: u64,
    pub state: JobState,
    /// The encoded row; none where only the state is known, from a link.
    pub value: Option<Vec<u8>>,
}

/// Cached contents of all tables.
#[derive(Default)]
pub(super) struct State {
    /// Jobs and their progress are not cached.
    pub without_jobs: bool,
    pub catalogue: Arc<Catalogue>,
    /// The row that the catalogue was read from, for instances that cannot read it.
    pub config_row: Vec<u8>,
    /// That row compressed, and the version of the catalogue.
    pub config_deflated: Option<(u64, Arc<[u8]>)>,
    /// When the catalogue was known to be the newest one, local ms; none before it was read.
    pub config_known: Option<u64>,
    /// Keys that newer catalogues no longer have.
    pub removed_keys: RemovedKeys,
    pub jobs: BTreeMap<JobId, JobEntry>,
    pub progress: BTreeMap<JobId, Progress>,
    /// Jobs of which the row cannot be decoded.
    unreadable_jobs: BTreeSet<JobId>,
    /// Jobs of which the newest progress row cannot be decoded, and the version of that row.
    unreadable_progress: BTreeMap<JobId, u64>,
    /// Jobs that were logged as unreadable.
    logged_jobs: BTreeSet<(Table, JobId)>,
    /// Unreadable rows are not logged.
    quiet: bool,
    /// Jobs that this instance has deleted: the version of the deletion, and when, local ms. A read
    /// that was in flight meanwhile may still bring their rows.
    deleted: BTreeMap<JobId, (u64, u64)>,
    /// Version up to which a table is cached.
    pub versions: BTreeMap<Table, u64>,
    /// Number of times that a table was discarded. Answers to polls sent before are of no use: these
    /// changes would be applied in the wrong order with the pages of the full read that follows.
    discards: BTreeMap<Table, u64>,
    /// Full reads in progress; the cached contents of these tables are incomplete.
    pub readings: BTreeMap<Table, Reading>,
    /// When the last successful poll of a table's feed was sent, local ms.
    pub polled: BTreeMap<Table, u64>,
    /// Latency of the last poll without changes, less the wait that it requested, ms.
    pub latency: u64,
    /// Chooses the size of slices of full reads.
    pub sizer: SliceSizer,
    pub subscriber: Option<Sender<Update>>,
    /// Registry entries that were logged as unreadable.
    logged: BTreeSet<String>,
}

impl State {
    /// An empty state that logs no unreadable rows.
    pub fn quiet() -> Self {
        Self { quiet: true, ..Self::default() }
    }

    /// Version up to which a table is cached; none until a full read has completed.
    pub fn cached_version(&self, table: Table) -> Option<u64> {
        let complete = !self.readings.contains_key(&table);
        self.versions.get(&table).copied().filter(|_| complete)
    }

    /// Number of times that a table was discarded so far.
    pub fn discards(&self, table: Table) -> u64 {
        self.discards.get(&table).copied().unwrap_or(0)
    }

    /// Whether a table is cached.
    pub fn caches(&self, table: Table) -> bool {
        !self.without_jobs || !matches!(table, Table::Jobs | Table::Progress)
    }

    /// Drops jobs and their progress, and stops caching them.
    pub fn drop_jobs(&mut self) {
        self.without_jobs = true;
        self.jobs.clear();
        self.progress.clear();
        self.unreadable_jobs.clear();
        self.unreadable_progress.clear();
        for table in [Table::Jobs, Table::Progress] {
            self.forget(table);
            self.polled.remove(&table);
        }
    }

    /// Discards the position in a table's feed, so that the whole table is read again.
    pub fn forget(&mut self, table: Table) {
        *self.discards.entry(table).or_default() += 1;
        self.versions.remove(&table);
        self.readings.remove(&table);
    }

    /// Removes a job that was deleted by the transaction `version`; earlier rows of it are ignored
    /// from now on.
    pub fn delete_job(&mut self, id: JobId, version: u64, now: u64) {
        self.jobs.remove(&id);
        self.progress.remove(&id);
        self.unreadable_jobs.remove(&id);
        self.unreadable_progress.remove(&id);
        self.deleted.retain(|_, (_, at)| *at + DELETED_MS > now);
        self.deleted.insert(id, (version, now));
    }

    /// Whether a row of `id` was read before the job was deleted.
    pub fn is_deleted(&self, id: JobId, row: &Row) -> bool {
        self.deleted.get(&id).is_some_and(|(version, _)| row.version < *version)
    }

    /// Cached state of a job; none if the job is not in the cache.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        let job = self.jobs.get(&id).filter(|j| j.row.is_some())?;
        let state = self.progress.get(&id).map_or(JobState::Queued, |p| p.state);
        Some(match job.cancelled && !state.ended() {
            true => JobState::Cancelled,
            false => state,
        })
    }

    /// All jobs with their progress, but for [`Self::unreadable`].
    pub fn stored_jobs(&self) -> Vec<StoredJob> {
        let stored_job = |(id, job): (&JobId, &JobEntry)| {
            let row = job.row.clone()?;
            let progress = self.progress.get(id).and_then(|p| {
                let row = rows::decode(p.value.as_ref()?).ok()?;
                Some((p.version, row))
            });
            Some(StoredJob { id: *id, row, progress, cancelled: job.cancelled })
        };
        let readable =
            self.jobs.iter().filter(|(id, _)| !self.unreadable_progress.contains_key(id));
        readable.filter_map(stored_job).collect()
    }

    /// The next slice of a table that is being read: partitions, each with the key to read from,
    /// and the number of rows to request from each.
    pub fn slice(&self, table: Table) -> Option<(Vec<(String, String)>, usize)> {
        let reading = self.readings.get(&table)?;
        let (reads, rows) = self.sizer.next_reads(reading.remaining.len());
        Some((reading.remaining.iter().take(reads).cloned().collect(), rows))
    }

    /// Records that the first slice was read: the feed is polled from the version of its oldest
    /// page.
    pub fn mark_started(&mut self, table: Table) {
        let started = self.versions.contains_key(&table);
        if let Some(reading) = self.readings.get_mut(&table) {
            reading.started = started;
        }
    }

    /// Applies a page of a table that is being read.
    pub fn apply_page(&mut self, table: Table, partition: &str, page: Page) {
        if !self.readings.contains_key(&table) {
            // The table was discarded while the page was in flight.
            return;
        }
        // Later changes come from the feed, starting at the oldest page of the first slice.
        let first = self.readings.get(&table).is_some_and(|r| !r.started);
        let version = self.versions.entry(table).or_insert(page.version);
        if first {
            *version = (*version).min(page.version);
        }
        let count = page.rows.len();
        let last = page.rows.last().map(|r| r.key.key.clone());
        // The next page starts with the last row of this one, which is harmless.
        let next = last.filter(|_| page.has_more && count > 1);
        for row in page.rows {
            self.put(table, row);
        }
        if let Some(reading) = self.readings.get_mut(&table) {
            reading.record_page(partition, count, next);
        }
    }

    /// Records a row of a job in a table that is being read.
    fn mark_read(&mut self, table: Table, id: JobId) {
        if let Some(reading) = self.readings.get_mut(&table) {
            reading.jobs.insert(id);
        }
    }

    /// Removes the jobs of which a full read of a table has found no row, and returns their number.
    /// A job whose progress is gone has been deleted, too.
    pub fn remove_unread(&mut self, table: Table, read: &BTreeSet<JobId>) -> usize {
        let before = self.jobs.len();
        match table {
            Table::Jobs => {
                self.jobs.retain(|id, _| read.contains(id));
                self.unreadable_jobs.retain(|id| read.contains(id));
            }
            Table::Progress => {
                self.unreadable_progress.retain(|id, _| read.contains(id));
                let gone = |id: &JobId| !read.contains(id);
                for id in self.progress.keys().copied().filter(gone).collect::<Vec<JobId>>() {
                    self.progress.remove(&id);
                    self.jobs.remove(&id);
                }
            }
            Table::Config | Table::Registry => {}
        }
        before - self.jobs.len()
    }

    /// Records that the catalogue was the newest one at `at`, local ms.
    pub fn confirm_config(&mut self, at: u64) {
        self.config_known = self.config_known.max(Some(at));
    }

    /// Sends a change to the scheduler, if it runs on this instance.
    pub fn notify(&self, update: Update) {
        if let Some(tx) = &self.subscriber {
            // The scheduler's channel is unbounded and closed only when it steps down.
            let _ = tx.try_send(update);
        }
    }

    pub fn put(&mut self, table: Table, row: Row) {
        match table {
            Table::Config => self.put_config(&row),
            Table::Registry => self.put_runner(row),
            Table::Jobs => match rows::parse_job_key(&row.key.key) {
                Some(JobKey::Job(id) | JobKey::Cancel(id)) if self.is_deleted(id, &row) => {}
                Some(JobKey::Job(id)) => match rows::decode::<JobRow>(&row.value) {
                    Ok(job) => self.put_job(id, Arc::new(job)),
                    Err(e) => self.put_unreadable(table, id, row.version, &e),
                },
                Some(JobKey::Cancel(id)) => self.put_cancel(id),
                None => log::error!(key = row.key.key; "unknown key in the jobs table"),
            },
            Table::Progress => match (row.key.key.parse(), rows::decode(&row.value)) {
                (Ok(id), _) if self.is_deleted(id, &row) => {}
                (Ok(id), Ok(ProgressRow { state, .. })) => {
                    let (version, value) = (row.version, Some(row.value));
                    self.put_progress(id, Progress { version, state, value });
                }
                (Ok(id), Err(e)) => self.put_unreadable(table, id, row.version, &e),
                (Err(_), _) => {
                    log::error!(key = row.key.key; "unknown key in the progress table")
                }
            },
        }
    }

    /// Records a row of a job that cannot be decoded. What is known from an earlier row is kept.
    fn put_unreadable(&mut self, table: Table, id: JobId, version: u64, why: &BadRow) {
        if self.without_jobs {
            return;
        }
        self.mark_read(table, id);
        if table == Table::Jobs {
            if self.jobs.get(&id).is_some_and(|j| j.row.is_some()) {
                return;
            }
            self.unreadable_jobs.insert(id);
        } else {
            let known = self.progress.get(&id).filter(|p| p.value.is_some());
            if known.is_some_and(|p| p.version >= version) {
                return;
            }
            let newest = self.unreadable_progress.entry(id).or_default();
            *newest = version.max(*newest);
        }
        let logged = self.quiet || self.logged_jobs.len() >= MAX_LOGGED_JOBS;
        if !logged && self.logged_jobs.insert((table, id)) {
            log::error!(job:% = id, table = table.name(), version, why:% = why; "row unreadable");
        }
    }

    /// Jobs of which a row cannot be decoded: their submission, if that can be, and whether they are
    /// cancelled. Of a job without any row only the progress may be left, which is not such a job.
    pub fn unreadable(&self) -> Vec<UnreadableJob> {
        let jobs = self.unreadable_jobs.iter().map(|id| (*id, None));
        let progress = self.unreadable_progress.keys().filter_map(|id| {
            let row = self.jobs.get(id)?.row.clone()?;
            Some((*id, Some(row)))
        });
        let cancelled = |id| self.jobs.get(&id).is_some_and(|j| j.cancelled);
        jobs.chain(progress)
            .map(|(id, row)| UnreadableJob { id, row, cancelled: cancelled(id) })
            .collect()
    }

    /// Sends a registry entry to the scheduler. One that is unreadable, or was written by another
    /// program, counts as removed.
    fn put_runner(&mut self, row: Row) {
        let id = row.key.key;
        if let Some(reading) = self.readings.get_mut(&Table::Registry) {
            reading.keys.insert(id.clone());
        }
        let entry = runners::named_entry(&id, &row.value);
        if let Err(why) = &entry {
            metrics::counter!("control_bad_entries").increment(1);
            // Logged once for each entry: a runner rewrites its entry with each heartbeat.
            if self.logged.len() < MAX_LOGGED_ENTRIES && self.logged.insert(id.clone()) {
                log::warn!(runner = id, version = row.version, why:% = why;
                    "registry entry names no runner");
            }
        }
        self.notify(Update::Runner(id, entry.ok()));
    }

    pub fn remove(&mut self, table: Table, key: &Key) {
        match (table, rows::parse_job_key(&key.key)) {
            (Table::Registry, _) => {
                if let Some(reading) = self.readings.get_mut(&Table::Registry) {
                    reading.keys.remove(&key.key);
                }
                self.notify(Update::Runner(key.key.clone(), None));
            }
            (Table::Jobs, Some(JobKey::Job(id))) => {
                self.jobs.remove(&id);
                self.unreadable_jobs.remove(&id);
            }
            // A job's own row is deleted before its progress. If this instance missed the first
            // deletion, the job would stay in the cache without progress and appear queued.
            (Table::Progress, Some(JobKey::Job(id))) => {
                self.progress.remove(&id);
                self.jobs.remove(&id);
                self.unreadable_progress.remove(&id);
            }
            _ => {}
        }
    }

    fn put_config(&mut self, row: &Row) {
        if row.key.key != catalogue::CONFIG_KEY {
            return;
        }
        self.apply_config(&row.value);
    }

    /// Applies an encoded catalogue. One that is not newer, or is unreadable, has no effect.
    pub fn apply_config(&mut self, value: &[u8]) {
        match catalogue::decode(value) {
            Ok(cat) if cat.version > self.catalogue.version => {
                log::info!(version = cat.version, queues = cat.queues.len(),
                    teams = cat.teams.len(), keys = cat.teams.key_count(); "catalogue in force");
                self.removed_keys.record(&self.catalogue.teams, &cat.teams, cat.version);
                self.catalogue = Arc::new(cat);
                self.config_row = value.to_vec();
                self.notify(Update::Catalogue(self.catalogue.clone()));
            }
            Ok(_) => {}
            Err(e) => {
                metrics::counter!("control_bad_catalogues").increment(1);
                log::error!(why:% = e; "catalogue unreadable; the previous one stays in force")
            }
        }
    }

    fn entry(&mut self, id: JobId) -> &mut JobEntry {
        self.jobs.entry(id).or_insert(JobEntry { row: None, cancelled: false })
    }

    pub fn put_job(&mut self, id: JobId, row: Arc<JobRow>) {
        if self.without_jobs {
            return;
        }
        self.mark_read(Table::Jobs, id);
        self.unreadable_jobs.remove(&id);
        let entry = self.entry(id);
        if entry.row.is_none() {
            entry.row = Some(row.clone());
            let cancelled = entry.cancelled;
            self.notify(Update::Job(id, row));
            if cancelled {
                self.notify(Update::Cancel(id));
            }
        }
    }

    pub fn put_cancel(&mut self, id: JobId) {
        if self.without_jobs {
            return;
        }
        self.mark_read(Table::Jobs, id);
        let entry = self.entry(id);
        if !entry.cancelled {
            entry.cancelled = true;
            self.notify(Update::Cancel(id));
        }
    }

    pub fn put_progress(&mut self, id: JobId, p: Progress) {
        if self.without_jobs {
            return;
        }
        self.mark_read(Table::Progress, id);
        if p.value.is_some() && self.unreadable_progress.get(&id).is_some_and(|v| *v <= p.version) {
            self.unreadable_progress.remove(&id);
        }
        match self.progress.get(&id) {
            Some(old) if old.version > p.version => {}
            Some(old) if old.version == p.version && old.value.is_some() => {}
            _ => drop(self.progress.insert(id, p)),
        }
    }
}
