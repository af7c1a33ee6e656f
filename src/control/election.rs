//! Leader election: one row names the leader, and is replaced by a conditional write.
//!
//! Nothing in the store expires, so candidates watch a second row, the leader's heartbeat. A
//! candidate that sees it unchanged for `TAKEOVER_MS` writes itself as leader, under the
//! condition that both rows are still as it saw them; a leader that still sends heartbeats makes
//! that write fail. The version of the leader's row is the fencing token. A leader that has not
//! noticed its replacement cannot store a heartbeat, which has the leader's row as a condition, and
//! is refused by every runner that its successor has polled. Each term has a token of its own, also
//! one that follows another of the same process: otherwise late orders and commits of the first term
//! would be accepted in the second.
//!
//! Progress is stored in several partitions, whose transactions cannot all check the leader's row.
//! So each partition has a fence row with the token of the leader that may write there, which is a
//! condition of every commit to the partition. Without it, a replaced leader stores a placement
//! after its successor has read that partition, and the successor starts the task a second time. A
//! term begins once its token is in the fence row of every partition, so that the progress read
//! after that is final for all earlier terms.

use super::health::Dependency;
use super::leases;
use super::links::Candidate;
use super::partitions::{self, Partition};
use super::ports::{Change, Commit, CommitError, ReadError, Row, Store, Txn};
use super::rows::{self, FenceRow, LeaderRow, StandbysRow};
use super::settings::NodeSettings;
use crate::kernel::clock::Clock;
use async_std::channel::{self, Receiver, Sender};
use futures::future::{self, Either};
use rand::Rng;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Time between heartbeats of the leader, ms.
pub const HEARTBEAT_MS: u64 = 250;

/// A leader without a new heartbeat for this long is replaced, ms: four heartbeats, so that a lost
/// write or a store that takes 240 ms to answer does not cost it the leadership.
const TAKEOVER_MS: u64 = 1_050;

/// As [`TAKEOVER_MS`], for a leader whose address refuses connections, or that reports that it
/// cannot reach the store, ms: two heartbeats.
const TAKEOVER_SUSPECT_MS: u64 = 500;

/// Upper bound of the random delay of a candidate, ms, so that candidates do not all write at once.
const JITTER_MS: u64 = 80;

/// Delay of a candidate after a leader has stepped down, ms for each second that its process has
/// run, up to [`MAX_AGE_S`]. Instances are restarted in turn: the one restarted last is the last to
/// be restarted again, while an old one may have to step down within a second.
const AGE_DELAY_MS: u64 = 20;

/// Additional delay of a candidate that a leader which stepped down has not proposed as its successor,
/// ms: the time in which the successor is elected on a usual store, twice over.
const HANDOVER_MS: u64 = 150;

/// Age from which all candidates are equal, s: the duration of a rolling restart of about ten
/// instances.
const MAX_AGE_S: u64 = 12;

/// One processor, in thousandths: the size that candidates compare themselves with before there
/// has been a leader.
const ONE_CPU: u64 = 1_000;

/// Delay of a small candidate, ms: this long times `1 / size - 1 / size of the last leader`, with
/// sizes in processors. A small leader would fall behind under a load that a larger candidate could
/// carry. Candidates at least as large as the last leader don't wait.
const SMALL_DELAY_MS: u64 = 50;

/// Delay of a candidate of `size` where the last leader was of size `wanted`, ms; sizes are in
/// thousandths of a processor.
pub fn size_delay_ms(size: u64, wanted: u64) -> u64 {
    let delay = |s: u64| SMALL_DELAY_MS * ONE_CPU / s.max(1);
    delay(size).saturating_sub(delay(wanted.max(size)))
}

/// Longest time that a poll waits for a change of the election's rows, ms.
const WATCH_MS: u64 = 400;

/// Shortest interval between two polls of the election's rows, ms: each is a priced call.
const POLL_INTERVAL_MS: u64 = 150;

/// As [`POLL_INTERVAL_MS`], while the link to the leader shows that it is alive, ms.
const LINKED_INTERVAL_MS: u64 = 450;

/// As [`LINKED_INTERVAL_MS`], for an instance that is not eligible, ms.
const INELIGIBLE_INTERVAL_MS: u64 = 1_000;

/// Time without a heartbeat after which instances become eligible that are no standby instances, ms:
/// twice the duration of a takeover.
const STANDBYS_ABSENT_MS: u64 = 2_000;

/// As [`STANDBYS_ABSENT_MS`], for instances smaller than the last leader, ms: three times the duration
/// of a takeover.
const LEADER_ABSENT_MS: u64 = 3_000;

/// Interval between two checks whether this instance is able to lead, ms; they make no calls.
const ABLE_CHECK_MS: u64 = 20;

/// Interval between two checks whether the link is alive, ms; they make no calls.
const LINK_CHECK_MS: u64 = 150;

/// Timeout of a write of the election, ms.
const WRITE_MS: u64 = 900;

/// Timeout of a heartbeat, ms: longer than the slowest answers of a store that works, since leases count
/// from the last heartbeat that was acknowledged.
const HEARTBEAT_TIMEOUT_MS: u64 = 3_000;

/// Time in which all partitions have to be fenced, ms: several attempts on a slow store.
const FENCE_MS: u64 = 2_000;

/// Delay after a partition could not be fenced, ms.
const RETRY_MS: u64 = 60;

/// Rows of the election's own partition: heartbeat, leader and standby instances.
const ROWS: usize = 3;

/// End of earlier leases that is not known yet.
const UNKNOWN: u64 = u64::MAX;

/// A term of leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// Version of the leader's row: the fencing token.
    pub fence: u64,
    /// Versions of the fence rows: conditions of every commit.
    pub fence_versions: [u64; partitions::COUNT],
    /// When the leases that earlier leaders sent to runners have expired, local ms.
    pub prior_end: u64,
}

impl Term {
    /// Version up to which tables have to be read to include everything stored in earlier terms.
    pub fn version(&self) -> u64 {
        self.fence_versions.iter().copied().max().unwrap_or(0).max(self.fence)
    }
}

/// Leader election as seen by one instance.
pub struct Election {
    store: Arc<dyn Store>,
    clock: Clock,
    me: LeaderRow,
    domain: String,
    reads: Dependency,
    started: u64,
    seen: Mutex<Observed>,
    /// Fencing token of the last term of this process; 0 before the first.
    last_fence: AtomicU64,
    /// Number of terms of this process so far.
    terms: AtomicU64,
    /// See [`Term::prior_end`]; [`UNKNOWN`] until the partitions are fenced.
    prior_end: AtomicU64,
    /// See [`Self::renewed_at`].
    renewed_at: AtomicU64,
    lease_ms: u64,
    /// See [`Self::set_idle_ms`].
    idle_ms: AtomicU64,
    /// Wakes a waiting candidate when the leader becomes suspect.
    wakeup: (Sender<()>, Receiver<()>),
}

#[derive(Clone, Debug, Default)]
struct Observed {
    /// Position in the feed; none before the rows were read.
    position: Option<u64>,
    leader: Option<LeaderRow>,
    leader_version: u64,
    /// Version of the heartbeat row.
    heartbeat: u64,
    /// Versions of the fence rows; 0 where none was read.
    fences: [u64; partitions::COUNT],
    /// The standby instances; none if no leader has chosen any.
    standbys: Option<BTreeSet<String>>,
    /// When the leader or its heartbeat last changed, local ms.
    since: u64,
    /// When the leader last changed, local ms.
    leader_since: u64,
    /// When the leader was last named over a link, local ms. An instance that is not eligible polls
    /// the store so rarely that its heartbeats show later.
    named: u64,
    /// The leader's address refuses connections, or it reports that it cannot reach the store.
    suspect: bool,
}

/// The token in a fence row. None if the row is unreadable or its token impossible: a token is the
/// version of an earlier write. Such a row must not block its partition permanently.
fn token(row: &Row) -> Option<u64> {
    let FenceRow(token) = rows::decode(&row.value).ok()?;
    (token < row.version).then_some(token)
}

impl Election {
    /// Leader election for the instance of `settings`.
    pub fn new(store: Arc<dyn Store>, clock: Clock, settings: &NodeSettings) -> Self {
        let me = LeaderRow {
            node: settings.id.clone(),
            life: rand::thread_rng().gen(),
            links: Some(settings.links),
            size: settings.millis(),
            next: String::new(),
            prior_ms: None,
        };
        let reads = Dependency::new("store, office", clock.clone());
        let started = clock.mono();
        let wakeup = channel::bounded(1);
        let (seen, last_fence, terms, idle_ms) = Default::default();
        let (prior_end, renewed_at) = Default::default();
        let lease_ms = leases::lease_ms(settings);
        let domain = settings.domain.clone();
        Self {
            store,
            clock,
            me,
            domain,
            reads,
            started,
            seen,
            last_fence,
            terms,
            prior_end,
            renewed_at,
            lease_ms,
            idle_ms,
            wakeup,
        }
    }

    /// This instance as a candidate that is not able yet.
    pub fn candidate(&self) -> Candidate {
        Candidate {
            node: self.me.node.clone(),
            domain: self.domain.clone(),
            able: false,
            age: self.clock.mono().saturating_sub(self.started),
            size: self.me.size,
        }
    }

    /// Address of the leader's link server; none if there is no leader or this instance is it.
    pub fn leader_links(&self) -> Option<SocketAddr> {
        let seen = self.seen.lock().unwrap();
        seen.leader.as_ref().filter(|l| !self.is_me(l) && !l.node.is_empty())?.links
    }

    /// The last known leader, and the version of its row.
    pub fn leader(&self) -> Option<(LeaderRow, u64)> {
        let seen = self.seen.lock().unwrap();
        Some((seen.leader.clone()?, seen.leader_version))
    }

    /// Whether a row names this process as the leader.
    fn is_me(&self, row: &LeaderRow) -> bool {
        row.node == self.me.node && row.life == self.me.life
    }

    /// When the last heartbeat of the current term that the store has acknowledged was sent, or the
    /// write that won the term, local ms; 0 if none was acknowledged.
    pub fn renewed_at(&self) -> u64 {
        self.renewed_at.load(Ordering::Relaxed)
    }

    /// When the leases have expired that the leaders up to the one in `seen` sent, local ms. Until it is
    /// replaced, that leader stores no heartbeat after the one in `seen`. None if it is of a version
    /// whose commits, too, kept it extending leases: then only the end of the fencing bounds them.
    fn prior_leases_end(&self, seen: &Observed) -> Option<u64> {
        if seen.leader_version == 0 {
            return Some(0);
        }
        let prior_ms = seen.leader.as_ref().and_then(|l| l.prior_ms)?;
        let earlier = seen.leader_since + prior_ms.min(self.max_prior_ms());
        Some(earlier.max(seen.since + leases::expiry_ms(self.lease_ms)))
    }

    /// Longest time from the election of a leader until the leases of earlier ones have expired, ms.
    fn max_prior_ms(&self) -> u64 {
        FENCE_MS + leases::old_version_expiry_ms(self.lease_ms)
    }

    /// Number of terms that this process has won so far.
    pub fn terms(&self) -> u64 {
        self.terms.load(Ordering::Relaxed)
    }

    /// Records the leader named by another instance over a link, which arrives before a poll of the
    /// store, or while the store is unavailable.
    pub fn record_leader(&self, row: LeaderRow, version: u64) {
        let mut seen = self.seen.lock().unwrap();
        if version >= seen.leader_version {
            seen.named = self.clock.mono();
        }
        if version > seen.leader_version {
            log::info!(holder = row.node, fence = version; "new leader reported over a link");
            let vacant = row.node.is_empty();
            seen.leader_version = version;
            seen.leader = Some(row);
            seen.since = self.clock.mono();
            seen.leader_since = seen.since;
            seen.suspect = false;
            if vacant {
                // A full channel already holds a wakeup.
                let _ = self.wakeup.0.try_send(());
            }
        }
    }

    /// Marks the leader at `addr` as suspect: the address refuses connections, or the process there
    /// cannot reach the store.
    pub fn suspect_leader(&self, addr: SocketAddr) {
        let mut seen = self.seen.lock().unwrap();
        if seen.leader.as_ref().is_some_and(|l| l.links == Some(addr)) && !seen.suspect {
            seen.suspect = true;
            // A full channel already holds a wakeup.
            let _ = self.wakeup.0.try_send(());
        }
    }

    /// Version and age, ms, of the last heartbeat that this instance has stored as leader, or of what
    /// it found when its term began; none if it is not the leader.
    pub fn last_heartbeat(&self) -> Option<(u64, u64)> {
        let seen = self.seen.lock().unwrap();
        let is_leader = seen.leader.as_ref().is_some_and(|l| self.is_me(l));
        is_leader.then(|| (seen.heartbeat, self.clock.mono().saturating_sub(seen.since)))
    }

    /// Records the version and age, ms, of the last heartbeat of the leader at `addr`, as reported by
    /// it. A poll shows a heartbeat up to [`LINKED_INTERVAL_MS`] later, as if it were new.
    pub fn record_heartbeat(&self, addr: SocketAddr, version: u64, age_ms: u64) {
        let mut seen = self.seen.lock().unwrap();
        let is_leader = seen.leader.as_ref().is_some_and(|l| l.links == Some(addr));
        if !is_leader || version < seen.heartbeat {
            return;
        }
        let stored = self.clock.mono().saturating_sub(age_ms);
        let since = if version > seen.heartbeat { stored } else { seen.since.min(stored) };
        // The report may be about an earlier term of the process at that address.
        seen.since = since.max(seen.leader_since);
        seen.heartbeat = version;
        if seen.suspect {
            // A full channel already holds a wakeup.
            let _ = self.wakeup.0.try_send(());
        }
    }

    /// The standby instances that a leader has stored.
    pub fn standbys(&self) -> BTreeSet<String> {
        self.seen.lock().unwrap().standbys.clone().unwrap_or_default()
    }

    /// Whether this instance is eligible: it is a standby instance or the last leader, or there has
    /// been no heartbeat for so long that these are presumed unavailable. Instances smaller than the
    /// last leader wait for longer. Where no leader has chosen standby instances, all that are no
    /// smaller are eligible. Where there has been no leader, smaller instances become eligible later
    /// than larger ones.
    pub fn is_eligible(&self) -> bool {
        let now = self.clock.mono();
        let seen = self.seen.lock().unwrap();
        match &seen.leader {
            Some(l) => {
                let silent = now.saturating_sub(seen.since.max(seen.named));
                let chosen = |s: &BTreeSet<String>| s.contains(&self.me.node);
                let standby = l.node == self.me.node || seen.standbys.as_ref().is_none_or(chosen);
                let large = self.me.size >= l.size;
                silent >= LEADER_ABSENT_MS || large && (standby || silent >= STANDBYS_ABSENT_MS)
            }
            None => {
                seen.position.is_some()
                    && now >= self.started + size_delay_ms(self.me.size, ONE_CPU)
            }
        }
    }

    /// Time without a heartbeat after which the leader is replaced, ms; none if the leadership is
    /// vacant.
    fn takeover_ms(&self, seen: &Observed) -> Option<u64> {
        let leader = seen.leader.as_ref().filter(|l| !l.node.is_empty())?;
        // The row names an earlier incarnation of this instance, which has ended.
        if leader.node == self.me.node {
            return None;
        }
        Some(if seen.suspect { TAKEOVER_SUSPECT_MS } else { TAKEOVER_MS })
    }

    /// Waits as a candidate until the leadership is vacant or the leader has to be replaced, and
    /// returns the term that this instance has won. `linked` returns whether a link shows that the
    /// leader is alive, `able` whether this instance has read enough to lead. An instance that is
    /// not able yet follows the election, too: its link needs the address of the leader.
    pub async fn campaign(&self, linked: impl Fn() -> bool, able: impl Fn() -> bool) -> Term {
        let mut jitter = rand::thread_rng().gen_range(0..JITTER_MS);
        // The first poll doesn't wait for a change: it may already show that there is no leader.
        let mut wait_ms = 0;
        loop {
            if !able() {
                // The tables are no longer followed, since the leader has chosen other instances.
                self.watch(&linked, &able).await;
            }
            let began = self.clock.mono();
            let poll = Box::pin(self.poll(wait_ms));
            let polled = match future::select(poll, self.wakeup.1.recv()).await {
                Either::Left((polled, _)) => polled,
                Either::Right(_) => Ok(()),
            };
            self.reads.record(&polled);
            if polled.is_err() {
                // Time without a successful poll doesn't count as time without a heartbeat.
                self.seen.lock().unwrap().since = self.clock.mono();
                self.clock.sleep(POLL_INTERVAL_MS).await;
                continue;
            }
            let seen = self.seen.lock().unwrap().clone();
            let now = self.clock.mono();
            if seen.leader.as_ref().is_some_and(|l| self.is_me(l)) {
                let elapsed = now.saturating_sub(seen.since);
                let term = match seen.leader_version > self.last_fence.load(Ordering::Relaxed) {
                    // Won by a write whose answer was lost, or not all partitions could be fenced.
                    true => self.fence(seen.leader_version).await,
                    false => self.acquire(&seen, elapsed).await,
                };
                match term {
                    Some(term) => return term,
                    None => continue,
                }
            }
            let elapsed = now.saturating_sub(seen.since);
            let takeover = self.takeover_ms(&seen);
            let delay = jitter + self.size_delay(&seen);
            if takeover.is_none_or(|ms| elapsed >= ms + delay) {
                let seen = match takeover {
                    Some(_) => seen,
                    None => {
                        self.clock.sleep(self.vacancy_delay(&seen, delay)).await;
                        // The vacancy may have been reported over a link, after a heartbeat that no
                        // poll has shown yet.
                        self.reads.record(&self.poll(0).await);
                        self.seen.lock().unwrap().clone()
                    }
                };
                if takeover.is_none() && self.takeover_ms(&seen).is_some() {
                    // Another instance was elected meanwhile.
                    continue;
                }
                if let Some(term) = self.acquire(&seen, elapsed).await {
                    return term;
                }
                jitter = rand::thread_rng().gen_range(0..JITTER_MS);
                continue;
            }
            // Neither the pause nor the next poll lasts beyond the time of the takeover.
            let remaining = takeover.map_or(0, |ms| ms + delay - elapsed);
            let spent = self.clock.mono() - began;
            let interval = if linked() { LINKED_INTERVAL_MS } else { POLL_INTERVAL_MS };
            let pause = Box::pin(self.clock.sleep(interval.saturating_sub(spent).min(remaining)));
            wait_ms = match future::select(pause, self.wakeup.1.recv()).await {
                Either::Left(_) => WATCH_MS.min(remaining.saturating_sub(interval)),
                // The takeover may be due earlier than that.
                Either::Right(_) => 0,
            };
        }
    }

    /// Follows the election until this instance is able to lead.
    async fn watch(&self, linked: &impl Fn() -> bool, able: &impl Fn() -> bool) {
        while !able() {
            let polled = self.poll(0).await;
            self.reads.record(&polled);
            if polled.is_err() {
                self.seen.lock().unwrap().since = self.clock.mono();
            }
            let interval = if linked() { LINKED_INTERVAL_MS } else { POLL_INTERVAL_MS };
            if !self.is_eligible() {
                self.pause_ineligible(linked, interval).await;
                continue;
            }
            let until = self.clock.mono() + interval;
            while !able() && self.clock.mono() < until {
                self.clock.sleep(ABLE_CHECK_MS).await;
            }
        }
    }

    /// Waits until an instance that is not eligible polls the election again: for `interval` ms, or
    /// for longer while its link is alive.
    async fn pause_ineligible(&self, linked: &impl Fn() -> bool, interval: u64) {
        let began = self.clock.mono();
        let linked_ms = INELIGIBLE_INTERVAL_MS.max(self.idle_ms.load(Ordering::Relaxed));
        loop {
            let spent = self.clock.mono() - began;
            let remaining = if linked() { linked_ms } else { interval }.saturating_sub(spent);
            if remaining == 0 {
                return;
            }
            self.clock.sleep(remaining.min(LINK_CHECK_MS)).await;
        }
    }

    /// Sets the interval at which an instance that is not eligible polls the election while its link is
    /// alive, ms, where that is longer than usual.
    pub fn set_idle_ms(&self, ms: u64) {
        self.idle_ms.store(ms, Ordering::Relaxed);
    }

    /// Delay by which this candidate gives way to larger ones, ms.
    fn size_delay(&self, seen: &Observed) -> u64 {
        let wanted = seen.leader.as_ref().map_or(ONE_CPU, |l| l.size);
        size_delay_ms(self.me.size, wanted)
    }

    /// Delay of this candidate after a leader has stepped down, ms, where it would be `delay` without
    /// a proposed successor. The successor does not wait, and the others give way to it.
    fn vacancy_delay(&self, seen: &Observed, delay: u64) -> u64 {
        match seen.leader.as_ref().map_or("", |l| l.next.as_str()) {
            "" => delay + self.age_delay(),
            next if next == self.me.node => 0,
            _ => delay + self.age_delay() + HANDOVER_MS,
        }
    }

    /// Delay by which this candidate gives way to younger ones after a leader has stepped down, ms.
    fn age_delay(&self) -> u64 {
        let age_s = (self.clock.mono() - self.started) / 1_000;
        age_s.min(MAX_AGE_S) * AGE_DELAY_MS
    }

    /// Reads the election's rows, or waits up to `wait_ms` for a change of them.
    async fn poll(&self, wait_ms: u64) -> Result<(), ReadError> {
        let position = self.seen.lock().unwrap().position;
        let changes = match position {
            None => None,
            Some(after) => match self.store.changes(rows::ELECTION, after, wait_ms).await {
                Ok(changes) => Some(changes),
                Err(ReadError::HistoryExpired) => None,
                Err(e) => return Err(e),
            },
        };
        let (rows, version) = match changes {
            Some(c) => {
                let put = c.rows.into_iter().filter_map(|c| match c {
                    Change::Put(row) => Some(row),
                    Change::Removed(_) => None,
                });
                (put.collect(), c.version)
            }
            None => {
                let page = self
                    .store
                    .page(rows::ELECTION, rows::ELECTION_PARTITION, "", None, ROWS)
                    .await?;
                (page.rows, page.version)
            }
        };
        self.observe(rows, version);
        Ok(())
    }

    /// Applies rows of the election that were read up to `version`.
    fn observe(&self, rows: Vec<Row>, version: u64) {
        let now = self.clock.mono();
        let mut seen = self.seen.lock().unwrap();
        if seen.position.is_none() {
            seen.since = now;
        }
        seen.position = Some(version);
        for row in rows {
            if row.key == rows::leader_key() && row.version > seen.leader_version {
                seen.leader_version = row.version;
                seen.leader = rows::decode(&row.value).ok();
                seen.since = now;
                seen.leader_since = now;
                seen.suspect = false;
                if let Some(l) = &seen.leader {
                    log::info!(holder = l.node, fence = row.version; "office changed hands");
                }
            } else if row.key == rows::heartbeat_key() && row.version > seen.heartbeat {
                seen.heartbeat = row.version;
                seen.since = now;
                seen.suspect = false;
            } else if row.key == rows::standbys_key() {
                seen.standbys = rows::decode(&row.value).ok().map(|StandbysRow(nodes)| nodes);
            } else if let Some(partition) =
                Partition::all().find(|p| row.key == rows::fence_key(*p))
            {
                let known = &mut seen.fences[partition.index()];
                *known = row.version.max(*known);
            }
        }
    }

    /// Writes this instance as leader on the condition that leader and heartbeat are as in `seen`.
    async fn acquire(&self, seen: &Observed, elapsed: u64) -> Option<Term> {
        let node = seen.leader.as_ref().map_or("", |l| l.node.as_str());
        log::info!(holder = node, silent_ms = elapsed, beat = seen.heartbeat;
            "trying to acquire leadership");
        let (sent, prior_end) = (self.clock.mono(), self.prior_leases_end(seen));
        self.prior_end.store(prior_end.unwrap_or(UNKNOWN), Ordering::Relaxed);
        let prior_ms = prior_end.map(|end| end.saturating_sub(sent));
        let prior_ms = Some(prior_ms.unwrap_or(self.max_prior_ms()));
        let row = rows::encode(&LeaderRow { prior_ms, ..self.me.clone() });
        let txn = Txn {
            expect: vec![
                (rows::leader_key(), seen.leader_version),
                (rows::heartbeat_key(), seen.heartbeat),
            ],
            put: vec![(rows::leader_key(), row.clone())],
            remove: Vec::new(),
        };
        match self.store.commit(&txn, WRITE_MS).await {
            Ok(Commit::Done(fence)) => {
                let row = Row { key: rows::leader_key(), value: row, version: fence };
                self.observe(vec![row], fence);
                self.renewed_at.store(sent, Ordering::Relaxed);
                log::info!(fence = fence, silent_ms = elapsed; "office taken");
                self.fence(fence).await
            }
            Ok(Commit::Conflict(found)) => {
                self.observe(found, seen.position.unwrap_or(0));
                None
            }
            Err(e) => {
                log::warn!(why:% = e; "leadership not acquired");
                None
            }
        }
    }

    /// Fences every partition of the progress table against writes of earlier terms.
    async fn fence(&self, fence: u64) -> Option<Term> {
        let deadline = self.clock.mono() + FENCE_MS;
        let all =
            Partition::all().map(|partition| self.fence_partition(partition, fence, deadline));
        let versions: Option<Vec<u64>> = future::join_all(all).await.into_iter().collect();
        let fence_versions = versions?.try_into().ok()?;
        self.last_fence.store(fence, Ordering::Relaxed);
        self.terms.fetch_add(1, Ordering::Relaxed);
        let prior_end = match self.prior_end.load(Ordering::Relaxed) {
            UNKNOWN => self.clock.mono() + leases::old_version_expiry_ms(self.lease_ms),
            end => end,
        };
        Some(Term { fence, fence_versions, prior_end })
    }

    /// Fences a partition, and returns the version of its fence row; none if all attempts until
    /// `deadline`, local ms, failed, or a later term has fenced it.
    async fn fence_partition(
        &self,
        partition: Partition,
        fence: u64,
        deadline: u64,
    ) -> Option<u64> {
        let key = rows::fence_key(partition);
        let mut version = self.seen.lock().unwrap().fences[partition.index()];
        loop {
            let put = vec![(key.clone(), rows::encode(&FenceRow(fence)))];
            let txn = Txn { expect: vec![(key.clone(), version)], put, remove: Vec::new() };
            let why = match self.store.commit(&txn, WRITE_MS).await {
                Ok(Commit::Done(version)) => return Some(version),
                Ok(Commit::Conflict(found)) => {
                    let row = found.into_iter().find(|r| r.key == key);
                    version = row.as_ref().map_or(0, |r| r.version);
                    match row.and_then(|r| token(&r)) {
                        Some(token) if token > fence => return None,
                        // An earlier write of this term whose answer was lost.
                        Some(token) if token == fence => return Some(version),
                        _ => continue,
                    }
                }
                Err(e) => e,
            };
            if self.clock.mono() >= deadline {
                log::warn!(part = partition.name(), fence = fence, why:% = why; "part not fenced");
                return None;
            }
            self.clock.sleep(RETRY_MS).await;
        }
    }

    /// Sends a heartbeat on the condition that the term is still current. Returns false once
    /// another instance is leader.
    pub async fn send_heartbeat(&self, term: Term) -> Result<bool, CommitError> {
        let txn = Txn {
            expect: vec![(rows::leader_key(), term.fence)],
            put: vec![(rows::heartbeat_key(), rows::encode(&self.clock.wall()))],
            remove: Vec::new(),
        };
        let sent = self.clock.mono();
        match self.store.commit(&txn, HEARTBEAT_TIMEOUT_MS).await? {
            Commit::Done(version) => {
                self.renewed_at.fetch_max(sent, Ordering::Relaxed);
                let mut seen = self.seen.lock().unwrap();
                if version > seen.heartbeat {
                    seen.heartbeat = version;
                    seen.since = self.clock.mono();
                }
                Ok(true)
            }
            Commit::Conflict(found) => {
                let position = self.seen.lock().unwrap().position.unwrap_or(0);
                self.observe(found, position);
                Ok(false)
            }
        }
    }

    /// Steps down, so that a successor need not wait for missing heartbeats, and proposes `next`, if
    /// that is not empty. Returns the row that was stored, and its version.
    pub async fn step_down(&self, term: Term, next: String) -> Option<(LeaderRow, u64)> {
        let (life, size) = (self.me.life, self.me.size);
        let prior_ms = Some(term.prior_end.saturating_sub(self.clock.mono()));
        let vacant = LeaderRow { node: String::new(), life, links: None, size, next, prior_ms };
        let txn = Txn {
            expect: vec![(rows::leader_key(), term.fence)],
            put: vec![(rows::leader_key(), rows::encode(&vacant))],
            remove: Vec::new(),
        };
        match self.store.commit(&txn, WRITE_MS).await {
            Ok(out) => {
                log::info!(fence = term.fence, out:? = out, next = vacant.next; "office given up");
                match out {
                    Commit::Done(version) => Some((vacant, version)),
                    Commit::Conflict(_) => None,
                }
            }
            Err(e) => {
                log::warn!(fence = term.fence, why:% = e; "stepping down failed");
                None
            }
        }
    }

    /// Discards the observed state, so that the rows are read again after a term.
    pub fn reset(&self) {
        *self.seen.lock().unwrap() = Observed::default();
        self.renewed_at.store(0, Ordering::Relaxed);
    }
}
