//! Who is the scheduler: an office named by one row, taken under a condition.
//!
//! Nothing in the store expires, so the others watch the holder's sign of life, a second row. Who
//! sees it unchanged for [`TAKEOVER_MS`] names itself holder under the condition that both rows
//! are still as seen: a holder that is alive after all makes that fail. The version of the
//! holder's row is the fencing token. A predecessor that does not know yet that it was replaced
//! cannot commit (its commits have the row as a condition) and is refused by every runner that
//! its successor has looked at.
//!
//! Progress is stored in several parts, whose transactions cannot all check the holder's row. So each
//! part has a fence row with the token of the scheduler that may write there. What goes wrong without:
//! a predecessor stores a placement after its successor has read that part, and the successor starts
//! the task a second time. A term begins once its token stands in every part, so that whatever it reads
//! after that is all there will be of its predecessors.

use super::health::Dependency;
use super::parts::{self, Part};
use super::ports::{Change, Commit, CommitError, ReadError, Row, Store, Txn};
use super::rows::{self, FenceRow, HolderRow};
use super::settings::NodeSettings;
use crate::kernel::clock::Clock;
use async_std::channel::{self, Receiver, Sender};
use futures::future::{self, Either};
use rand::Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Time between signs of life, ms.
pub const BEAT_MS: u64 = 250;

/// A holder without a sign of life for this long is replaced, ms: four beats, so that a lost
/// write or a store that takes 240 ms does not unseat it.
const TAKEOVER_MS: u64 = 1_050;

/// ... or for this long if nobody listens at its address any more, or it says that the store does not
/// serve it, ms: two beats.
const TAKEOVER_DEAD_MS: u64 = 500;

/// Candidates wait up to this much longer, at random, so that they do not all try at once, ms.
const STAGGER_MS: u64 = 80;

/// When the office was given up, candidates wait this much longer for each second that their
/// process has run, ms, up to [`AGE_S`]. Instances are restarted in turn: the one that was restarted last is the last to be
/// restarted again, while an old one may have to give the office up within a second.
const AGE_MS: u64 = 20;

/// Age from which all candidates are equal, s: a round of restarts of some ten instances.
const AGE_S: u64 = 12;

/// A whole processor, in thousandths: what candidates compare themselves with before anybody has held
/// the office.
const WHOLE: u64 = 1_000;

/// A candidate smaller than the last holder lets others go first, by this long for each time that a
/// whole processor is larger, ms: it would fall behind, and larger ones that could hold the office would
/// stand by. Among equals nobody waits.
const SMALL_MS: u64 = 50;

/// How long a candidate of `size` lets others go first where the office needs `wanted`, ms.
pub fn small_wait(size: u64, wanted: u64) -> u64 {
    let wait = |s: u64| SMALL_MS * WHOLE / s.max(1);
    wait(size).saturating_sub(wait(wanted.max(size)))
}

/// Longest wait for the office's rows to change, ms.
const WATCH_MS: u64 = 400;

/// Shortest time between two looks at the office, ms: each is a priced call.
const PACE_MS: u64 = 150;

/// As [`PACE_MS`] while the holder is heard of over the link.
const CALM_PACE_MS: u64 = 450;

/// As [`CALM_PACE_MS`] for an instance that is not to take the office, ms.
const AFAR_PACE_MS: u64 = 1_000;

/// Silence of the office after which smaller instances than the last holder make ready for it, too, ms:
/// three times what a takeover takes.
const LONELY_MS: u64 = 3_000;

/// Time between two glances at whether this instance could hold the office, ms; they cost no call.
const ABLE_MS: u64 = 20;

/// Longest an attempt to take the office is waited for, ms.
const TAKE_MS: u64 = 900;

/// Longest that the parts are tried to be fenced in one go, ms: some tries on a slow store.
const FENCE_MS: u64 = 2_000;

/// Wait after a part could not be fenced, ms.
const RETRY_MS: u64 = 60;

/// Rows of the office's own part: holder and sign of life.
const ROWS: usize = 2;

/// A term of office.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// Version of the holder's row: the fencing token.
    pub fence: u64,
    /// Versions of the fence rows: conditions of every commit.
    pub parts: [u64; parts::COUNT],
}

impl Term {
    /// The version up to which rows have to be read to know all that predecessors have stored.
    pub fn version(&self) -> u64 {
        self.parts.iter().copied().max().unwrap_or(0).max(self.fence)
    }
}

/// The office as one instance sees it.
pub struct Office {
    store: Arc<dyn Store>,
    clock: Clock,
    me: HolderRow,
    reads: Dependency,
    started: u64,
    seen: Mutex<Seen>,
    /// Tells whoever stands by that the holder has become suspect: it need not wait for a change.
    alarm: (Sender<()>, Receiver<()>),
}

#[derive(Clone, Debug, Default)]
struct Seen {
    /// Feed position; none before the rows were read.
    at: Option<u64>,
    holder: Option<HolderRow>,
    holder_version: u64,
    beat: u64,
    /// Versions of the fence rows as far as they were heard of.
    fences: [u64; parts::COUNT],
    /// Since when the sign of life has been the same, local ms.
    since: u64,
    /// Nobody listens at the holder's address, or it says that the store does not serve it.
    dead: bool,
}

/// The token in a fence row; none if nobody can have written it, which must not keep a part from
/// everybody for good: a token is the version of an earlier write.
fn token(row: &Row) -> Option<u64> {
    let FenceRow(token) = rows::decode(&row.value).ok()?;
    (token < row.version).then_some(token)
}

impl Office {
    /// The office for the instance of `settings`.
    pub fn new(store: Arc<dyn Store>, clock: Clock, settings: &NodeSettings) -> Self {
        let me = HolderRow {
            node: settings.id.clone(),
            life: rand::thread_rng().gen(),
            links: Some(settings.links),
            size: settings.millis(),
        };
        let reads = Dependency::new("store, office", clock.clone());
        let started = clock.mono();
        let alarm = channel::bounded(1);
        Self { store, clock, me, reads, started, seen: Mutex::default(), alarm }
    }

    /// Where the holder takes offers of help, unless this instance holds the office.
    pub fn holder_links(&self) -> Option<SocketAddr> {
        let seen = self.seen.lock().unwrap();
        seen.holder.as_ref().filter(|h| **h != self.me && !h.node.is_empty())?.links
    }

    /// Who holds the office as far as is known here, and the version of that row.
    pub fn holder(&self) -> Option<(HolderRow, u64)> {
        let seen = self.seen.lock().unwrap();
        Some((seen.holder.clone()?, seen.holder_version))
    }

    /// Another instance says who holds the office: known before the store is heard of, or while
    /// it cannot be.
    pub fn hear(&self, row: HolderRow, version: u64) {
        let mut seen = self.seen.lock().unwrap();
        if version > seen.holder_version {
            log::info!(holder = row.node, fence = version; "office changed hands, says a link");
            seen.holder_version = version;
            seen.holder = Some(row);
            seen.since = self.clock.mono();
            seen.dead = false;
        }
    }

    /// Nobody listens at `addr` any more, or whoever does is not served by the store.
    pub fn suspect(&self, addr: SocketAddr) {
        let mut seen = self.seen.lock().unwrap();
        if seen.holder.as_ref().is_some_and(|h| h.links == Some(addr)) && !seen.dead {
            seen.dead = true;
            // One that is not taken yet says the same.
            let _ = self.alarm.0.try_send(());
        }
    }

    /// Whether this instance is to be ready to take the office: it is as large as the last holder, or
    /// nobody has held the office for so long that the larger ones seem to be gone.
    pub fn may_lead(&self) -> bool {
        let now = self.clock.mono();
        let seen = self.seen.lock().unwrap();
        match &seen.holder {
            Some(h) => self.me.size >= h.size || now.saturating_sub(seen.since) >= LONELY_MS,
            None => seen.at.is_some() && now >= self.started + small_wait(self.me.size, WHOLE),
        }
    }

    /// How long the holder may be silent before it is replaced, ms; none for at once.
    fn patience(&self, seen: &Seen) -> Option<u64> {
        let holder = seen.holder.as_ref().filter(|h| !h.node.is_empty())?;
        // An earlier life of this very process holds it: nobody is there any more.
        if holder.node == self.me.node {
            return None;
        }
        Some(if seen.dead { TAKEOVER_DEAD_MS } else { TAKEOVER_MS })
    }

    /// Watches until this instance should try for the office, and tries. Returns a term once it
    /// holds it. `calm` says whether the holder is heard of otherwise, `able` whether this instance
    /// knows enough to hold the office. One that does not yet watches all the same: where the
    /// scheduler takes links is known from here.
    pub async fn stand_by(&self, calm: impl Fn() -> bool, able: impl Fn() -> bool) -> Term {
        self.watch(&calm, &able).await;
        let mut jitter = rand::thread_rng().gen_range(0..STAGGER_MS);
        // Whether to try is known from the first look: it does not wait for a change.
        let mut wait_ms = 0;
        loop {
            let began = self.clock.mono();
            let look = Box::pin(self.look(wait_ms));
            let looked = match future::select(look, self.alarm.1.recv()).await {
                Either::Left((looked, _)) => looked,
                Either::Right(_) => Ok(()),
            };
            self.reads.note(&looked);
            if looked.is_err() {
                // What was not watched does not count as silence.
                self.seen.lock().unwrap().since = self.clock.mono();
                self.clock.sleep(PACE_MS).await;
                continue;
            }
            let seen = self.seen.lock().unwrap().clone();
            let now = self.clock.mono();
            if seen.holder.as_ref() == Some(&self.me) {
                // Taken by a write without an answer, or not all parts could be fenced.
                if let Some(term) = self.fence(seen.holder_version).await {
                    return term;
                }
                continue;
            }
            let silent = now.saturating_sub(seen.since);
            let patience = self.patience(&seen);
            let wait = jitter + self.smallness(&seen);
            if patience.is_none_or(|ms| silent >= ms + wait) {
                if patience.is_none() {
                    self.clock.sleep(wait + self.deference()).await;
                }
                if let Some(term) = self.take(&seen, silent).await {
                    return term;
                }
                jitter = rand::thread_rng().gen_range(0..STAGGER_MS);
                continue;
            }
            // Neither the next look nor the pause before it outlasts the holder's time.
            let left = patience.map_or(0, |ms| ms + wait - silent);
            let spent = self.clock.mono() - began;
            let pace = if calm() { CALM_PACE_MS } else { PACE_MS };
            let rest = Box::pin(self.clock.sleep(pace.saturating_sub(spent).min(left)));
            future::select(rest, self.alarm.1.recv()).await;
            wait_ms = WATCH_MS.min(left.saturating_sub(pace));
        }
    }

    /// Watches until this instance is able to hold the office.
    async fn watch(&self, calm: &impl Fn() -> bool, able: &impl Fn() -> bool) {
        while !able() {
            let looked = self.look(0).await;
            self.reads.note(&looked);
            if looked.is_err() {
                self.seen.lock().unwrap().since = self.clock.mono();
            }
            let pace = if calm() { CALM_PACE_MS } else { PACE_MS };
            if !self.may_lead() {
                self.clock.sleep(if calm() { AFAR_PACE_MS } else { pace }).await;
                continue;
            }
            let until = self.clock.mono() + pace;
            while !able() && self.clock.mono() < until {
                self.clock.sleep(ABLE_MS).await;
            }
        }
    }

    /// How long this candidate lets larger ones go first, ms.
    fn smallness(&self, seen: &Seen) -> u64 {
        let wanted = seen.holder.as_ref().map_or(WHOLE, |h| h.size);
        small_wait(self.me.size, wanted)
    }

    /// How long this candidate lets younger ones go first when the office was given up, ms.
    fn deference(&self) -> u64 {
        let age_s = (self.clock.mono() - self.started) / 1_000;
        age_s.min(AGE_S) * AGE_MS
    }

    async fn look(&self, wait_ms: u64) -> Result<(), ReadError> {
        let at = self.seen.lock().unwrap().at;
        let got = match at {
            None => None,
            Some(at) => match self.store.changes(rows::OFFICE, at, wait_ms).await {
                Ok(changes) => Some(changes),
                Err(ReadError::HistoryGone) => None,
                Err(e) => return Err(e),
            },
        };
        let (found, version) = match got {
            Some(c) => {
                let put = c.rows.into_iter().filter_map(|c| match c {
                    Change::Put(row) => Some(row),
                    Change::Gone(_) => None,
                });
                (put.collect(), c.version)
            }
            None => {
                let page = self.store.page(rows::OFFICE, rows::CELL, "", None, ROWS).await?;
                (page.rows, page.version)
            }
        };
        self.note(found, version);
        Ok(())
    }

    fn note(&self, found: Vec<Row>, version: u64) {
        let now = self.clock.mono();
        let mut seen = self.seen.lock().unwrap();
        if seen.at.is_none() {
            seen.since = now;
        }
        seen.at = Some(version);
        for row in found {
            if row.key == rows::holder_key() && row.version > seen.holder_version {
                seen.holder_version = row.version;
                seen.holder = rows::decode(&row.value).ok();
                seen.since = now;
                seen.dead = false;
                if let Some(h) = &seen.holder {
                    log::info!(holder = h.node, fence = row.version; "office changed hands");
                }
            } else if row.key == rows::beat_key() && row.version > seen.beat {
                seen.beat = row.version;
                seen.since = now;
                seen.dead = false;
            } else if let Some(part) = Part::all().find(|p| row.key == rows::fence_key(*p)) {
                let known = &mut seen.fences[part.index()];
                *known = row.version.max(*known);
            }
        }
    }

    async fn take(&self, seen: &Seen, silent: u64) -> Option<Term> {
        let was = seen.holder.as_ref().map_or("", |h| h.node.as_str());
        log::info!(holder = was, silent_ms = silent, beat = seen.beat; "trying for the office");
        let txn = Txn {
            expect: vec![(rows::holder_key(), seen.holder_version), (rows::beat_key(), seen.beat)],
            put: vec![(rows::holder_key(), rows::encode(&self.me))],
            remove: Vec::new(),
        };
        match self.store.commit(&txn, TAKE_MS).await {
            Ok(Commit::Done(fence)) => {
                let row =
                    Row { key: rows::holder_key(), value: rows::encode(&self.me), version: fence };
                self.note(vec![row], fence);
                log::info!(fence = fence, silent_ms = silent; "office taken");
                self.fence(fence).await
            }
            Ok(Commit::Conflict(found)) => {
                self.note(found, seen.at.unwrap_or(0));
                None
            }
            Err(e) => {
                log::warn!(why:% = e; "office not taken");
                None
            }
        }
    }

    /// Fences every part of the progress, so that no predecessor stores anything there any more.
    async fn fence(&self, fence: u64) -> Option<Term> {
        let until = self.clock.mono() + FENCE_MS;
        let all = Part::all().map(|part| self.fence_part(part, fence, until));
        let versions: Option<Vec<u64>> = future::join_all(all).await.into_iter().collect();
        let parts = versions?.try_into().ok()?;
        Some(Term { fence, parts })
    }

    /// Fences a part, and returns the version of its row; none if that was not possible until `until`,
    /// or a successor has fenced it.
    async fn fence_part(&self, part: Part, fence: u64, until: u64) -> Option<u64> {
        let key = rows::fence_key(part);
        let mut version = self.seen.lock().unwrap().fences[part.index()];
        loop {
            let put = vec![(key.clone(), rows::encode(&FenceRow(fence)))];
            let txn = Txn { expect: vec![(key.clone(), version)], put, remove: Vec::new() };
            let why = match self.store.commit(&txn, TAKE_MS).await {
                Ok(Commit::Done(version)) => return Some(version),
                Ok(Commit::Conflict(found)) => {
                    let row = found.into_iter().find(|r| r.key == key);
                    version = row.as_ref().map_or(0, |r| r.version);
                    match row.and_then(|r| token(&r)) {
                        Some(token) if token > fence => return None,
                        // An earlier try of ours that had no answer.
                        Some(token) if token == fence => return Some(version),
                        _ => continue,
                    }
                }
                Err(e) => e,
            };
            if self.clock.mono() >= until {
                log::warn!(part = part.name(), fence = fence, why:% = why; "part not fenced");
                return None;
            }
            self.clock.sleep(RETRY_MS).await;
        }
    }

    /// Signs of life under the term's condition. False once somebody else holds the office.
    pub async fn beat(&self, term: Term) -> Result<bool, CommitError> {
        let txn = Txn {
            expect: vec![(rows::holder_key(), term.fence)],
            put: vec![(rows::beat_key(), rows::encode(&self.clock.wall()))],
            remove: Vec::new(),
        };
        match self.store.commit(&txn, TAKE_MS).await? {
            Commit::Done(_) => Ok(true),
            Commit::Conflict(found) => {
                let at = self.seen.lock().unwrap().at.unwrap_or(0);
                self.note(found, at);
                Ok(false)
            }
        }
    }

    /// Gives the office up, so that a successor need not wait for the silence.
    pub async fn resign(&self, term: Term) {
        let nobody =
            HolderRow { node: String::new(), life: self.me.life, links: None, size: self.me.size };
        let txn = Txn {
            expect: vec![(rows::holder_key(), term.fence)],
            put: vec![(rows::holder_key(), rows::encode(&nobody))],
            remove: Vec::new(),
        };
        match self.store.commit(&txn, TAKE_MS).await {
            Ok(out) => log::info!(fence = term.fence, out:? = out; "office given up"),
            Err(e) => log::warn!(fence = term.fence, why:% = e; "office not given up"),
        }
    }

    /// Forgets what was seen: after a term the rows are read anew.
    pub fn forget(&self) {
        *self.seen.lock().unwrap() = Seen::default();
    }
}
