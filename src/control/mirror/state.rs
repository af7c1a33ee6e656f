//! What a mirror knows, row by row: decoding rows, and which of two versions stays.

use super::reading::{Pace, Reading};
use super::{News, Table};
use crate::control::model::{Catalogue, JobId, JobState};
use crate::control::ports::{Key, Page, Row};
use crate::control::rows::{self, JobKey, JobRow, ProgressRow};
use crate::platform::{catalogue, runners};
use async_std::channel::Sender;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Most unreadable registry entries that are logged, one line each: bounds the log, and the memory
/// that remembers them.
const BAD_ENTRIES: usize = 1_000;

/// A submitted job.
pub(super) struct JobEntry {
    pub row: Option<Arc<JobRow>>,
    pub cancelled: bool,
}

/// How far a job has come.
pub(super) struct Progress {
    pub version: u64,
    pub state: JobState,
    /// The row; none where only the state is known, from a link.
    pub value: Option<Vec<u8>>,
}

/// What is known of each table.
#[derive(Default)]
pub(super) struct State {
    /// Jobs and their progress are not kept.
    pub lean: bool,
    pub cat: Arc<Catalogue>,
    pub jobs: BTreeMap<JobId, JobEntry>,
    pub progress: BTreeMap<JobId, Progress>,
    /// The version up to which a table is known.
    pub at: BTreeMap<Table, u64>,
    /// Tables that are being read as a whole; what is known of them is incomplete.
    pub readings: BTreeMap<Table, Reading>,
    /// When the last feed call that brought a table up to date was sent, local ms.
    pub checked: BTreeMap<Table, u64>,
    /// How long the store's last answer without changes took beyond the wait asked for, ms.
    pub lag: u64,
    /// How much of a table is asked for at once.
    pub pace: Pace,
    pub news: Option<Sender<News>>,
    /// Registry entries that name no runner and were logged.
    bad: BTreeSet<String>,
}

impl State {
    /// The version up to which a table is known; none before it was read to the end.
    pub fn followed(&self, table: Table) -> Option<u64> {
        let known = !self.readings.contains_key(&table);
        self.at.get(&table).copied().filter(|_| known)
    }

    /// Whether rows of a table are kept here.
    pub fn keeps(&self, table: Table) -> bool {
        !self.lean || !matches!(table, Table::Jobs | Table::Progress)
    }

    /// Drops jobs and their progress, which are not kept from now on.
    pub fn slim(&mut self) {
        self.lean = true;
        self.jobs.clear();
        self.progress.clear();
        for table in [Table::Jobs, Table::Progress] {
            self.forget(table);
            self.checked.remove(&table);
        }
    }

    /// A table is no longer known, and has to be read from its beginning.
    pub fn forget(&mut self, table: Table) {
        self.at.remove(&table);
        self.readings.remove(&table);
    }

    /// A job's state as far as it is known here; none for an unknown job.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        let job = self.jobs.get(&id).filter(|j| j.row.is_some())?;
        let known = self.progress.get(&id).map_or(JobState::Queued, |p| p.state);
        Some(match job.cancelled && !known.ended() {
            true => JobState::Cancelled,
            false => known,
        })
    }

    /// The next slice of a table that is being read: parts, each with the key to read from, and rows
    /// to ask for.
    pub fn slice(&self, table: Table) -> Option<(Vec<(String, String)>, usize)> {
        let reading = self.readings.get(&table)?;
        let (reads, rows) = self.pace.ask(reading.todo.len());
        Some((reading.todo.iter().take(reads).cloned().collect(), rows))
    }

    /// The first slice is over: from its oldest page on the feed is followed.
    pub fn sliced(&mut self, table: Table) {
        let started = self.at.contains_key(&table);
        if let Some(reading) = self.readings.get_mut(&table) {
            reading.started = started;
        }
    }

    /// Takes in a page of a table that is being read.
    pub fn take_page(&mut self, table: Table, part: &str, page: Page) {
        if !self.readings.contains_key(&table) {
            // Forgotten while the page was on its way.
            return;
        }
        // Changes after the oldest of the first reads are followed from the feed.
        let first = self.readings.get(&table).is_some_and(|r| !r.started);
        let at = self.at.entry(table).or_insert(page.version);
        if first {
            *at = (*at).min(page.version);
        }
        let count = page.rows.len();
        let last = page.rows.last().map(|r| r.key.key.clone());
        // The next page repeats the last row of this one, which does no harm.
        let next = last.filter(|_| page.more && count > 1);
        for row in page.rows {
            self.put(table, row);
        }
        if let Some(reading) = self.readings.get_mut(&table) {
            reading.took(part, count, next);
        }
    }

    pub fn tell(&self, news: News) {
        if let Some(tx) = &self.news {
            // The scheduler's inbox is unbounded and closed only when it leaves office.
            let _ = tx.try_send(news);
        }
    }

    pub fn put(&mut self, table: Table, row: Row) {
        match table {
            Table::Config => self.put_config(&row),
            Table::Registry => self.put_runner(row),
            Table::Jobs => match rows::job_of(&row.key.key) {
                Some(JobKey::Job(id)) => match rows::decode::<JobRow>(&row.value) {
                    Ok(job) => self.put_job(id, Arc::new(job)),
                    Err(e) => log::error!(job:% = id, why:% = e; "job row unreadable"),
                },
                Some(JobKey::Cancel(id)) => self.put_cancel(id),
                None => log::error!(key = row.key.key; "unknown key among the jobs"),
            },
            Table::Progress => match (row.key.key.parse(), rows::decode(&row.value)) {
                (Ok(id), Ok(ProgressRow { state, .. })) => {
                    let (version, value) = (row.version, Some(row.value));
                    self.put_progress(id, Progress { version, state, value });
                }
                _ => log::error!(key = row.key.key; "progress row unreadable"),
            },
        }
    }

    /// An entry that cannot be read, or that another program has written, names no runner.
    fn put_runner(&mut self, row: Row) {
        let id = row.key.key;
        if let Some(reading) = self.readings.get_mut(&Table::Registry) {
            reading.keys.insert(id.clone());
        }
        let entry = runners::entry(&row.value);
        if let Err(why) = &entry {
            metrics::counter!("control_bad_entries").increment(1);
            // One line an entry and not one a heartbeat: its writer may be busy.
            if self.bad.len() < BAD_ENTRIES && self.bad.insert(id.clone()) {
                log::warn!(runner = id, version = row.version, why:% = why;
                    "registry entry names no runner");
            }
        }
        self.tell(News::Runner(id, entry.ok()));
    }

    pub fn gone(&mut self, table: Table, key: &Key) {
        match (table, rows::job_of(&key.key)) {
            (Table::Registry, _) => {
                if let Some(reading) = self.readings.get_mut(&Table::Registry) {
                    reading.keys.remove(&key.key);
                }
                self.tell(News::Runner(key.key.clone(), None));
            }
            (Table::Jobs, Some(JobKey::Job(id))) => drop(self.jobs.remove(&id)),
            // A job's own row is removed before that of its progress. Without its progress a job that
            // was kept, because this instance missed the first, would pass for one that waits.
            (Table::Progress, Some(JobKey::Job(id))) => {
                self.progress.remove(&id);
                self.jobs.remove(&id);
            }
            _ => {}
        }
    }

    fn put_config(&mut self, row: &Row) {
        if row.key.key != catalogue::CONFIG_KEY {
            return;
        }
        match catalogue::decode(&row.value) {
            Ok(cat) if cat.version > self.cat.version => {
                log::info!(version = cat.version, queues = cat.queues.len(),
                    row_version = row.version; "catalogue in force");
                self.cat = Arc::new(cat);
                self.tell(News::Catalogue(self.cat.clone()));
            }
            Ok(_) => {}
            Err(e) => log::error!(why:% = e; "catalogue unreadable, the last one stays in force"),
        }
    }

    fn entry(&mut self, id: JobId) -> &mut JobEntry {
        self.jobs.entry(id).or_insert(JobEntry { row: None, cancelled: false })
    }

    pub fn put_job(&mut self, id: JobId, row: Arc<JobRow>) {
        if self.lean {
            return;
        }
        let entry = self.entry(id);
        if entry.row.is_none() {
            entry.row = Some(row.clone());
            let cancelled = entry.cancelled;
            self.tell(News::Job(id, row));
            if cancelled {
                self.tell(News::Cancel(id));
            }
        }
    }

    pub fn put_cancel(&mut self, id: JobId) {
        if self.lean {
            return;
        }
        let entry = self.entry(id);
        if !entry.cancelled {
            entry.cancelled = true;
            self.tell(News::Cancel(id));
        }
    }

    pub fn put_progress(&mut self, id: JobId, p: Progress) {
        if self.lean {
            return;
        }
        match self.progress.get(&id) {
            Some(old) if old.version > p.version => {}
            Some(old) if old.version == p.version && old.value.is_some() => {}
            _ => drop(self.progress.insert(id, p)),
        }
    }
}
