//! What an instance knows of the store: the catalogue, submitted jobs and their progress, kept
//! up to date by the store's feeds.
//!
//! Rows carry the version of their write, and an older one never replaces a newer one, so that
//! full reads, feeds and an instance's own commits can arrive in any order.

pub mod reading;
mod state;

use super::health::Dependency;
use super::model::{Catalogue, JobId, JobState};
use super::parts::Part;
use super::ports::{Change, Page, ReadError, RunnerEntry, Store};
use super::pulse::Pulse;
use super::rows::{self, JobRow, ProgressRow};
use crate::kernel::clock::Clock;
use crate::platform::{catalogue, runners};
use async_std::channel::Sender;
use reading::Reading;
use state::{JobEntry, Progress, State};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// A write is waited for this many times a read's answer: it waits for others of its part, too.
const LAG_TIMES: u64 = 10;

/// How long a write is waited for while the store is silent, ms: many times its usual answer, and
/// a fraction of the takeover that a longer wait after its return would risk.
const PROBE_MS: u64 = 300;

/// Time after which the feed is followed while a large table is read, ms: a fraction of the shortest
/// history that a store keeps.
const FOLLOW_MS: u64 = 1_000;

/// A feed that failed after this long, ms, was still arriving: one that stands still is given up sooner.
const FEED_MS: u64 = 5_000;

/// Most rows that one job has in a table.
const FOUND_ROWS: usize = 8;

/// Longest wait for a write, ms: leaves a caller's 3 s time for a second try.
const MAX_TRY_MS: u64 = 1_600;

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
    const ALL: [Self; 4] = [Self::Config, Self::Jobs, Self::Progress, Self::Registry];

    /// Its name in the store.
    fn name(self) -> &'static str {
        match self {
            Self::Config => catalogue::CONFIG_TABLE,
            Self::Jobs => rows::JOBS,
            Self::Progress => rows::PROGRESS,
            Self::Registry => runners::REGISTRY_TABLE,
        }
    }

    /// The parts that its rows are in.
    fn parts(self) -> Vec<String> {
        match self {
            // All there can be: a part first written to between a listing of the parts and the
            // first read would be in neither, and its jobs lost to this instance.
            Self::Jobs => (0..rows::JOB_PARTS).map(rows::part_name).collect(),
            Self::Progress => Part::all().map(Part::name).collect(),
            Self::Config | Self::Registry => vec![String::new()],
        }
    }
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
    /// Each held by whoever reads that table as a whole.
    readers: BTreeMap<Table, async_std::sync::Mutex<()>>,
    state: Mutex<State>,
}

impl Mirror {
    /// An empty mirror of `store`, whose calls `pulse` notes.
    pub fn new(store: Arc<dyn Store>, pulse: Arc<Pulse>, clock: Clock) -> Self {
        let reads = Dependency::new("store, reads", clock.clone());
        let turn = Default::default();
        let readers = Table::ALL.into_iter().map(|t| (t, Default::default())).collect();
        Self { store, pulse, clock, reads, turn, readers, state: Mutex::default() }
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
        self.state.lock().unwrap().job_state(id)
    }

    /// Whether a job's state is known here: not of a job that was never met, nor while it has not
    /// been read how far jobs have come.
    pub fn knows_state(&self, id: JobId) -> bool {
        let st = self.state.lock().unwrap();
        let met = st.jobs.get(&id).is_some_and(|j| j.row.is_some());
        met && (st.progress.contains_key(&id) || st.followed(Table::Progress).is_some())
    }

    /// Whether all jobs that others stored up to `max_age` ms ago, and how far they had come, are
    /// known here; what is older is brought up to date first. Without it an instance that has just
    /// started, or whose feed stands still, answers for a queue from the few jobs that it has met.
    pub async fn up_to_date(&self, max_age: u64) -> bool {
        // A scheduler writes progress itself, and follows it no further.
        let leads = self.state.lock().unwrap().news.is_some();
        let since = self.clock.mono().saturating_sub(max_age);
        for table in [Table::Jobs, Table::Progress] {
            if self.followed(table).is_none() {
                return false;
            }
            let fresh = (leads && table == Table::Progress) || self.checked_since(table, since);
            // A store known to be silent is not asked.
            if !fresh && (self.pulse.silent() || self.renew(table, since).await.is_err()) {
                return false;
            }
        }
        true
    }

    /// Accepted jobs of a queue of which no task has started, as far as is known here.
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

    /// Says whether jobs and their progress are kept here. An instance that is not to take the office needs
    /// none of them: on a cell of a hundred instances each would carry all that the others take in,
    /// over a link and in memory that are small, and at the store.
    pub fn keep_jobs(&self, yes: bool) {
        let mut st = self.state.lock().unwrap();
        match yes {
            true => st.lean = false,
            false if st.lean => {}
            false => st.slim(),
        }
    }

    /// Whether jobs and their progress are kept here.
    pub fn keeps_jobs(&self) -> bool {
        !self.state.lock().unwrap().lean
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
        st.forget(Table::Registry);
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

    /// The version up to which a table is known; none before it was read to the end.
    pub fn followed(&self, table: Table) -> Option<u64> {
        self.state.lock().unwrap().followed(table)
    }

    /// Brings a table up to date: changes since the last time, waiting up to `wait_ms` for the
    /// first, or all of it where that is not possible. Returns the number of changes.
    pub async fn poll(&self, table: Table, wait_ms: u64) -> Result<usize, ReadError> {
        let res = self.catch_up(table, wait_ms).await;
        self.reads.note(&res);
        res
    }

    /// Brings a table up to what the store held at `since`, local ms. Callers that come together
    /// share one call.
    pub async fn renew(&self, table: Table, since: u64) -> Result<(), ReadError> {
        let _turn = self.turn.lock().await;
        if self.checked_since(table, since) {
            return Ok(());
        }
        self.poll(table, 0).await.map(drop)
    }

    fn checked_since(&self, table: Table, since: u64) -> bool {
        self.state.lock().unwrap().checked.get(&table).is_some_and(|at| *at >= since)
    }

    async fn catch_up(&self, table: Table, wait_ms: u64) -> Result<usize, ReadError> {
        if !self.state.lock().unwrap().keeps(table) {
            return Err(ReadError::HistoryGone);
        }
        if self.followed(table).is_none() {
            return self.read_all(table).await;
        }
        // While the store is silent a poll only finds out whether it is back.
        let wait_ms = if self.pulse.silent() { 0 } else { wait_ms };
        match self.follow(table, wait_ms).await {
            Err(ReadError::HistoryGone) => {
                log::info!(table = table.name(); "feed history gone, reading anew");
                self.read_all(table).await
            }
            res => res,
        }
    }

    /// Takes in what the feed says of a table. History that is gone makes it unknown.
    async fn follow(&self, table: Table, wait_ms: u64) -> Result<usize, ReadError> {
        let after = self.state.lock().unwrap().at.get(&table).copied().unwrap_or(0);
        let asked = self.clock.mono();
        let res = self.store.changes(table.name(), after, wait_ms).await;
        let mut st = self.state.lock().unwrap();
        let changes = res.inspect_err(|e| {
            // A feed that has more to say than the link carries in the time of an answer would only
            // be asked for more: the table is read in slices instead.
            let too_much = self.clock.mono() - asked >= FEED_MS;
            // Unless another caller has begun to read it anew meanwhile.
            if (*e == ReadError::HistoryGone || too_much) && st.at.get(&table) == Some(&after) {
                st.forget(table);
            }
        })?;
        if !st.at.contains_key(&table) {
            // Forgotten while the changes were on their way: they are not all there is.
            return Ok(0);
        }
        let n = changes.rows.len();
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
        *at = changes.version.max(*at);
        st.checked.insert(table, asked);
        if let Some(reading) = st.readings.get_mut(&table) {
            reading.followed = asked;
        }
        Ok(n)
    }

    /// Reads a whole table, or what is left of it. In between the feed is followed, so that its
    /// history does not go while a large table is read; never while pages are on their way, which
    /// could bring back a row that the feed had removed.
    async fn read_all(&self, table: Table) -> Result<usize, ReadError> {
        let _reader = self.readers[&table].lock().await;
        if self.followed(table).is_some() {
            return self.follow(table, 0).await;
        }
        self.begin(table);
        loop {
            if self.feed_due(table) {
                self.follow(table, 0).await?;
            }
            let rest = self.read_slice(table).await?;
            if let Some(rows) = self.ended(table) {
                return Ok(rows);
            }
            self.clock.sleep(rest).await;
        }
    }

    /// Whether the feed of a table that is being read has not been followed for [`FOLLOW_MS`].
    fn feed_due(&self, table: Table) -> bool {
        let st = self.state.lock().unwrap();
        let reading = st.readings.get(&table).filter(|r| r.started);
        reading.is_some_and(|r| r.followed + FOLLOW_MS <= self.clock.mono())
    }

    fn begin(&self, table: Table) {
        let mut st = self.state.lock().unwrap();
        let now = self.clock.mono();
        st.readings.entry(table).or_insert_with(|| {
            let parts = table.parts();
            log::info!(table = table.name(), parts = parts.len(); "reading a table");
            Reading::new(parts, now)
        });
    }

    /// Reads the next pages of a table; returns how long to leave the link to others, ms.
    async fn read_slice(&self, table: Table) -> Result<u64, ReadError> {
        let slice = self.state.lock().unwrap().slice(table);
        let (parts, limit) = slice.ok_or(ReadError::HistoryGone)?;
        let asked = self.clock.mono();
        let name = table.name();
        let reads = parts.iter().map(|(part, from)| self.store.page(name, part, from, None, limit));
        let pages = futures::future::join_all(reads).await;
        let ms = self.clock.mono() - asked;
        let mut st = self.state.lock().unwrap();
        let (mut rows, mut bytes, mut failed) = (0, 0, None);
        for ((part, _), page) in parts.iter().zip(pages) {
            match page {
                Ok(page) => {
                    let sizes = page.rows.iter().map(|r| reading::wire_size(r.value.len()));
                    bytes += sizes.sum::<usize>();
                    rows += page.rows.len();
                    st.take_page(table, part, page);
                }
                Err(e) => {
                    if let Some(reading) = st.readings.get_mut(&table) {
                        reading.put_back(part);
                    }
                    failed = Some(e);
                }
            }
        }
        st.sliced(table);
        if let Some(why) = failed {
            // A store that refuses says nothing of what the link carries.
            if matches!(why, ReadError::Unreachable(_)) {
                st.pace.shrink();
            }
            let left = st.readings.get(&table).map_or(0, |r| r.todo.len());
            log::warn!(table = name, rows = rows, parts_left = left, ms = ms, why:% = why;
                "part of a table not read");
            return Err(why);
        }
        Ok(st.pace.read(rows, bytes, ms))
    }

    /// Ends the reading of a table of which nothing is left; the number of rows read if it did.
    fn ended(&self, table: Table) -> Option<usize> {
        let mut st = self.state.lock().unwrap();
        st.readings.get(&table).filter(|r| r.todo.is_empty())?;
        let reading = st.readings.remove(&table)?;
        log::info!(table = table.name(), rows = reading.rows, version:? = st.at.get(&table),
            ms = self.clock.mono() - reading.began; "table read");
        if table == Table::Registry {
            st.tell(News::Runners(reading.keys));
        }
        Some(reading.rows)
    }

    /// Looks a job up in the store, past the mirror, and how far it has come unless that is known; none
    /// if there is no such job.
    pub async fn find_job(&self, id: JobId) -> Result<Option<JobState>, ReadError> {
        let key = rows::job_key(id);
        let end = rows::cancel_key(id).key + "~";
        let job = self.store.page(&key.table, &key.part, &key.key, Some(&end), FOUND_ROWS);
        let (job, progress) = futures::join!(job, self.find_progress(id));
        let (job, progress) = (job?, progress?);
        // What was read is all there is of this job: it is told from these rows, with what is known here.
        let mut found = State::default();
        let mut st = self.state.lock().unwrap();
        for (table, row) in progress
            .rows
            .into_iter()
            .map(|r| (Table::Progress, r))
            .chain(job.rows.into_iter().map(|r| (Table::Jobs, r)))
        {
            found.put(table, row.clone());
            st.put(table, row);
        }
        Ok(st.job_state(id).or(found.job_state(id)))
    }

    async fn find_progress(&self, id: JobId) -> Result<Page, ReadError> {
        if self.followed(Table::Progress).is_some() {
            return Ok(Page::default());
        }
        let key = rows::progress_key(id);
        let end = key.key.clone() + "~";
        self.store.page(&key.table, &key.part, &key.key, Some(&end), FOUND_ROWS).await
    }
}
