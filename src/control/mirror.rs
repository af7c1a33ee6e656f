//! What an instance knows of the store: the catalogue, submitted jobs and their progress, kept
//! up to date by the store's feeds.
//!
//! Rows carry the version of their write, and an older one never replaces a newer one, so that
//! full reads, feeds and an instance's own commits can arrive in any order.

use super::health::Dependency;
use super::model::{Catalogue, JobId, JobState};
use super::ports::{Change, Key, ReadError, Row, RunnerEntry, Store};
use super::pulse::Pulse;
use super::rows::{self, JobKey, JobRow, ProgressRow};
use crate::kernel::clock::Clock;
use crate::platform::{catalogue, runners};
use async_std::channel::Sender;
use futures::stream::{StreamExt, TryStreamExt};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// A write is waited for this many times a read's answer: it waits for others of its part, too.
const LAG_TIMES: u64 = 10;

/// Parts of a table read at the same time: one after the other, 64 parts would take a starting
/// instance 15 s on a store that answers in 240 ms.
const READS: usize = 16;

/// How long a write is waited for while the store is silent, ms: many times its usual answer, and
/// a fraction of the takeover that a longer wait after its return would risk.
const PROBE_MS: u64 = 300;

/// Longest wait for a write, ms: leaves a caller's 3 s time for a second try.
const MAX_TRY_MS: u64 = 1_600;

/// Most unreadable registry entries that are logged, one line each: bounds the log, and the memory
/// that remembers them.
const BAD_ENTRIES: usize = 1_000;

/// What the scheduler in office has to hear of.
#[derive(Clone, Debug)]
pub enum News {
    /// A job was submitted.
    Job(JobId, Arc<JobRow>),
    /// A job was cancelled.
    Cancel(JobId),
    /// A catalogue is in force.
    Catalogue(Arc<Catalogue>),
    /// A runner's registry entry; none if it was removed.
    Runner(String, Option<RunnerEntry>),
    /// Every runner in the registry.
    Runners(BTreeSet<String>),
}

/// A job as a scheduler that takes office finds it.
#[derive(Clone, Debug)]
pub struct Found {
    /// Its id.
    pub id: JobId,
    /// As submitted.
    pub row: Arc<JobRow>,
    /// What became of it, with the version of that row.
    pub progress: Option<(u64, ProgressRow)>,
    /// Its caller has cancelled it.
    pub cancelled: bool,
}

/// Tables that an instance follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Table {
    /// The operator's configuration.
    Config,
    /// Submitted jobs and cancellations.
    Jobs,
    /// Progress of jobs.
    Progress,
    /// The registry of runners; only the scheduler follows it.
    Registry,
}

impl Table {
    /// Its name in the store.
    fn name(self) -> &'static str {
        match self {
            Self::Config => catalogue::CONFIG_TABLE,
            Self::Jobs => rows::JOBS,
            Self::Progress => rows::PROGRESS,
            Self::Registry => runners::REGISTRY_TABLE,
        }
    }
}

struct JobEntry {
    row: Option<Arc<JobRow>>,
    cancelled: bool,
}

struct Progress {
    version: u64,
    state: JobState,
    /// The row; none where only the state is known, from a link.
    value: Option<Vec<u8>>,
}

#[derive(Default)]
struct State {
    cat: Arc<Catalogue>,
    jobs: BTreeMap<JobId, JobEntry>,
    progress: BTreeMap<JobId, Progress>,
    at: BTreeMap<Table, u64>,
    /// When the last successful poll of a table began, local ms.
    checked: BTreeMap<Table, u64>,
    /// How long the store's last answer without changes took beyond the wait asked for, ms.
    lag: u64,
    news: Option<Sender<News>>,
    /// Registry entries that name no runner and were logged.
    bad: BTreeSet<String>,
}

/// The mirror of one instance.
pub struct Mirror {
    store: Arc<dyn Store>,
    /// Whether the store answers this process.
    pulse: Arc<Pulse>,
    clock: Clock,
    reads: Dependency,
    /// Held by the caller of [`Self::renew`] whose call serves the others.
    turn: async_std::sync::Mutex<()>,
    state: Mutex<State>,
}

impl Mirror {
    /// An empty mirror of `store`, whose calls `pulse` notes.
    pub fn new(store: Arc<dyn Store>, pulse: Arc<Pulse>, clock: Clock) -> Self {
        let reads = Dependency::new("store, reads", clock.clone());
        let turn = async_std::sync::Mutex::new(());
        Self { store, pulse, clock, reads, turn, state: Mutex::default() }
    }

    /// The catalogue in force here.
    pub fn catalogue(&self) -> Arc<Catalogue> {
        self.state.lock().unwrap().cat.clone()
    }

    /// Longest a write should be waited for, ms: between `least` and [`MAX_TRY_MS`], many times
    /// what the store takes to answer now. A fixed bound is either too long for an instance that
    /// has been cut off, or gives up on a slow store, which then carries the write out as well as
    /// its repetition. Into a silence only short tries are sent: one that was on its way when the
    /// store came back would hold up the next for as long as it is waited for.
    pub fn patience(&self, least: u64) -> u64 {
        if self.pulse.silent() {
            return PROBE_MS;
        }
        let lag = self.state.lock().unwrap().lag;
        (lag * LAG_TIMES).clamp(least, MAX_TRY_MS.max(least))
    }

    /// A job's state as far as it is known here; none for an unknown job.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        let st = self.state.lock().unwrap();
        let job = st.jobs.get(&id).filter(|j| j.row.is_some())?;
        let known = st.progress.get(&id).map_or(JobState::Queued, |p| p.state);
        Some(match job.cancelled && !known.ended() {
            true => JobState::Cancelled,
            false => known,
        })
    }

    /// Accepted jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> u64 {
        let st = self.state.lock().unwrap();
        let waits = |id: &JobId| st.progress.get(id).is_none_or(|p| p.state == JobState::Queued);
        let of = |j: &JobEntry| !j.cancelled && j.row.as_ref().is_some_and(|r| r.queue == queue);
        st.jobs.iter().filter(|(id, j)| of(j) && waits(id)).count() as u64
    }

    /// How long ago the last successful poll of a table began, ms; none if it was never read.
    pub fn age(&self, table: Table) -> Option<u64> {
        let checked = self.state.lock().unwrap().checked.get(&table).copied()?;
        Some(self.clock.mono().saturating_sub(checked))
    }

    /// Jobs known.
    pub fn job_count(&self) -> usize {
        self.state.lock().unwrap().jobs.len()
    }

    /// Sends what changes from now on to `news`, or to nobody. The registry, which only a
    /// scheduler follows, is read anew.
    pub fn watch(&self, news: Option<Sender<News>>) {
        let mut st = self.state.lock().unwrap();
        st.news = news;
        st.at.remove(&Table::Registry);
    }

    /// Everything known, for a scheduler that takes office.
    pub fn snapshot(&self) -> Vec<Found> {
        let st = self.state.lock().unwrap();
        let found = |(id, job): (&JobId, &JobEntry)| {
            let row = job.row.clone()?;
            let progress = st.progress.get(id).and_then(|p| {
                let row = rows::decode(p.value.as_ref()?).ok()?;
                Some((p.version, row))
            });
            Some(Found { id: *id, row, progress, cancelled: job.cancelled })
        };
        st.jobs.iter().filter_map(found).collect()
    }

    /// Notes a job that this instance has just stored or read.
    pub fn put_job(&self, id: JobId, row: Arc<JobRow>) {
        self.state.lock().unwrap().put_job(id, row);
    }

    /// Notes a cancellation that this instance has just stored.
    pub fn put_cancel(&self, id: JobId) {
        self.state.lock().unwrap().put_cancel(id);
    }

    /// Notes progress that this instance has just stored.
    pub fn put_progress(&self, id: JobId, version: u64, state: JobState, value: Vec<u8>) {
        let value = Some(value);
        self.state.lock().unwrap().put_progress(id, Progress { version, state, value });
    }

    /// Notes a state that the scheduler has stored, heard of over a link.
    pub fn put_state(&self, id: JobId, version: u64, state: JobState) {
        let value = None;
        self.state.lock().unwrap().put_progress(id, Progress { version, state, value });
    }

    /// Forgets a job whose rows have been removed.
    pub fn forget(&self, id: JobId) {
        let mut st = self.state.lock().unwrap();
        st.jobs.remove(&id);
        st.progress.remove(&id);
    }

    /// The version up to which a table has been followed; none before it was first read.
    pub fn followed(&self, table: Table) -> Option<u64> {
        self.state.lock().unwrap().at.get(&table).copied()
    }

    /// Brings a table up to date: changes since the last time, waiting up to `wait_ms` for the
    /// first, or all of it where that is not possible. Returns the number of changes.
    pub async fn poll(&self, table: Table, wait_ms: u64) -> Result<usize, ReadError> {
        let began = self.clock.mono();
        let res = self.catch_up(table, wait_ms).await;
        self.reads.note(&res);
        if res.is_ok() {
            self.state.lock().unwrap().checked.insert(table, began);
        }
        res
    }

    /// Brings a table up to what the store held at `since`, local ms. Callers that come together
    /// share one call.
    pub async fn renew(&self, table: Table, since: u64) -> Result<(), ReadError> {
        let _turn = self.turn.lock().await;
        let checked = self.state.lock().unwrap().checked.get(&table).copied();
        if checked.is_some_and(|at| at >= since) {
            return Ok(());
        }
        self.poll(table, 0).await.map(drop)
    }

    async fn catch_up(&self, table: Table, wait_ms: u64) -> Result<usize, ReadError> {
        let Some(after) = self.followed(table) else {
            return self.load(table).await;
        };
        // While the store is silent a poll only finds out whether it is back.
        let wait_ms = if self.pulse.silent() { 0 } else { wait_ms };
        let asked = self.clock.mono();
        match self.store.changes(table.name(), after, wait_ms).await {
            Ok(changes) => {
                let n = changes.rows.len();
                let mut st = self.state.lock().unwrap();
                if n == 0 {
                    st.lag = self.clock.mono().saturating_sub(asked + wait_ms);
                }
                for c in changes.rows {
                    match c {
                        Change::Put(row) => st.put(table, row),
                        Change::Gone(key) => st.gone(table, &key),
                    }
                }
                let at = st.at.entry(table).or_default();
                *at = (*at).max(changes.version);
                Ok(n)
            }
            Err(ReadError::HistoryGone) => {
                log::info!(table = table.name(), after = after; "feed history gone, reading anew");
                self.load(table).await
            }
            Err(e) => Err(e),
        }
    }

    /// Reads the rows of a part; the version is that of the first page.
    async fn load_part(&self, table: Table, part: String) -> Result<(Vec<Row>, u64), ReadError> {
        let (mut seen, mut start) = (Vec::new(), None);
        let mut from = String::new();
        loop {
            let page = self.store.page(table.name(), &part, &from, None).await?;
            let version = *start.get_or_insert(page.version);
            // The next page repeats the last row of this one, which does no harm.
            from = page.rows.last().map_or(String::new(), |r| r.key.key.clone());
            let more = page.more && page.rows.len() > 1;
            seen.extend(page.rows);
            if !more {
                return Ok((seen, version));
            }
        }
    }

    /// Reads a whole table.
    async fn load(&self, table: Table) -> Result<usize, ReadError> {
        let parts = match table {
            // All there can be: a part first written to between a listing of the parts and the
            // first read would be in neither, and its jobs lost to this instance.
            Table::Jobs => (0..rows::JOB_PARTS).map(rows::part_name).collect(),
            Table::Progress => vec![rows::CELL.to_string()],
            Table::Config | Table::Registry => vec![String::new()],
        };
        let (began, count) = (self.clock.mono(), parts.len());
        log::info!(table = table.name(), parts = count; "reading a table");
        let reads = futures::stream::iter(parts.into_iter().map(|p| self.load_part(table, p)));
        let read = reads.buffer_unordered(READS).try_collect::<Vec<(Vec<Row>, u64)>>().await;
        let ms = self.clock.mono() - began;
        let read = read.inspect_err(|e| {
            log::warn!(table = table.name(), parts = count, ms = ms, why:% = e; "table not read");
        })?;
        // Changes after the oldest of the reads are followed from the feed.
        let start = read.iter().map(|(_, version)| *version).min();
        let seen: Vec<Row> = read.into_iter().flat_map(|(rows, _)| rows).collect();
        let n = seen.len();
        let mut st = self.state.lock().unwrap();
        if table == Table::Registry {
            let ids = seen.iter().map(|r| r.key.key.clone()).collect();
            st.tell(News::Runners(ids));
        }
        for row in seen {
            st.put(table, row);
        }
        st.at.insert(table, start.unwrap_or(0));
        log::info!(table = table.name(), rows = n, version = start.unwrap_or(0), ms = ms; "table read");
        Ok(n)
    }

    /// Looks a job up in the store, past the mirror.
    pub async fn find_job(&self, id: JobId) -> Result<bool, ReadError> {
        let key = rows::job_key(id);
        let end = rows::cancel_key(id).key + "~";
        let page = self.store.page(&key.table, &key.part, &key.key, Some(&end)).await?;
        let mut st = self.state.lock().unwrap();
        for row in page.rows {
            st.put(Table::Jobs, row);
        }
        Ok(st.jobs.get(&id).is_some_and(|j| j.row.is_some()))
    }
}

impl State {
    fn tell(&self, news: News) {
        if let Some(tx) = &self.news {
            // The scheduler's inbox is unbounded and closed only when it leaves office.
            let _ = tx.try_send(news);
        }
    }

    fn put(&mut self, table: Table, row: Row) {
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

    fn gone(&mut self, table: Table, key: &Key) {
        match (table, rows::job_of(&key.key)) {
            (Table::Registry, _) => self.tell(News::Runner(key.key.clone(), None)),
            (Table::Jobs, Some(JobKey::Job(id))) => drop(self.jobs.remove(&id)),
            (Table::Progress, Some(JobKey::Job(id))) => drop(self.progress.remove(&id)),
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

    fn put_job(&mut self, id: JobId, row: Arc<JobRow>) {
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

    fn put_cancel(&mut self, id: JobId) {
        let entry = self.entry(id);
        if !entry.cancelled {
            entry.cancelled = true;
            self.tell(News::Cancel(id));
        }
    }

    fn put_progress(&mut self, id: JobId, p: Progress) {
        match self.progress.get(&id) {
            Some(old) if old.version > p.version => {}
            Some(old) if old.version == p.version && old.value.is_some() => {}
            _ => drop(self.progress.insert(id, p)),
        }
    }
}
