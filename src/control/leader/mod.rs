//! The scheduler in office: carries out what the engine decides, and tells it what came of it.
//!
//! Everything it has under way is a future in one set that it polls itself: when the term ends
//! the set is dropped, and nothing of it goes on.

mod calls;
mod duty;

pub use duty::Duty;

use super::engine::{Batch, Engine, Now, Outcome, Rules, RunnerKey};
use super::health::Dependency;
use super::links::desk::Desk;
use super::mirror::{Mirror, News, Table};
use super::model::{Attempt, JobId, JobState, StepId, TaskId};
use super::office::{Office, Term, BEAT_MS};
use super::parts::{self, Scope};
use super::ports::{Advice, AdviceError, CommitError, Refusal, Report, Runners, Store};
use crate::kernel::clock::Clock;
use crate::kernel::stop::Stop;
use async_std::channel::{self, Receiver};
use async_std::task;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use futures::FutureExt;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Time between rounds, ms: short against the 250 ms that a lookup may lose in all, and long
/// enough that a round takes in several events.
const ROUND_MS: u64 = 8;

/// Longest time between rounds, ms: a sign of life is due every 250 ms.
const LONGEST_ROUND_MS: u64 = 120;

/// Writes of one transaction: each needs a condition and a write, and the store takes 100
/// entries, of which one for each part checks its fence.
const BATCH: usize = (100 - parts::COUNT) / 2;

/// Wait after a call to the store without success, ms.
const RETRY_MS: u64 = 60;

/// Shortest time between two polls of the jobs feed, ms: a priced call, against the delay of a
/// submission whose instance is not linked; the others tell of theirs at once.
const JOBS_PACE_MS: u64 = 100;

/// Shortest time between two polls of the registry, ms: a runner that leaves must get nothing
/// new within 2 s.
const REGISTRY_PACE_MS: u64 = 200;

/// Without a stored sign of life for this long the term ends, ms: leases are not extended any
/// further, so that a successor can compute when those of runners it cannot reach are over.
pub const YIELD_MS: u64 = 10_000;

/// Lease that calls extend, ms: longer than a takeover and most outages of a runner's link, and
/// under the platform's longest.
pub const HOLD_MS: u64 = 8_000;

/// Ended jobs removed from the store in one go.
const SWEEP: usize = 20;

enum Event {
    Started(RunnerKey, TaskId, Attempt, Result<u64, Refusal>),
    Stopped(RunnerKey, TaskId, Attempt, Result<u64, Refusal>),
    Looked(RunnerKey, Result<Report, Refusal>),
    Advised(StepId, Vec<String>, Result<Advice, AdviceError>),
    Committed(Scope, Batch, Outcome, u64),
    Deposed,
    BeatDue,
    Beat(Result<bool, CommitError>, u64),
    Swept,
}

/// What a scheduler needs of its instance.
pub struct Leader {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The runners.
    pub runners: Arc<dyn Runners>,
    /// Lines to the advice service.
    pub desk: Arc<Desk>,
    /// The instance's mirror.
    pub mirror: Arc<Mirror>,
    /// The office.
    pub office: Arc<Office>,
    /// The clock.
    pub clock: Clock,
    /// Limits.
    pub rules: Rules,
    /// Whether one transaction of the store may take rows of several parts.
    pub cross_part: bool,
    /// For the state dump.
    pub view: Arc<Mutex<serde_json::Value>>,
}

type Work<'a> = FuturesUnordered<BoxFuture<'a, Event>>;

impl Leader {
    fn now(&self) -> Now {
        Now { mono: self.clock.mono(), wall: self.clock.wall() }
    }

    /// Serves a term of office: until it is over or the instance stops.
    pub async fn serve(&self, term: Term, stop: &Stop) {
        let began = self.clock.mono();
        let (tx, news) = channel::unbounded();
        // From here on the feeds tell the scheduler; what came before is in the snapshot, and a
        // job told twice is known the second time.
        self.mirror.watch(Some(tx));
        if !self.catch_up(term).await {
            self.mirror.watch(None);
            self.office.resign(term).await;
            return;
        }
        let mut engine = Engine::new(self.rules, term.fence, self.now());
        engine.set_catalogue(self.mirror.catalogue());
        for job in self.mirror.snapshot() {
            engine.add_job(job.id, job.row, job.progress, self.now());
            if job.cancelled {
                engine.cancel(job.id, self.now());
            }
        }
        let ms = self.clock.mono() - began;
        log::info!(fence = term.fence, jobs = engine.job_count(), load_ms = ms; "term begins");
        let over = self.run(&mut engine, term, &news, stop).await;
        self.mirror.watch(None);
        log::info!(fence = term.fence, why = over; "term ends");
        if stop.fired() {
            self.office.resign(term).await;
        }
    }

    /// Reads all that predecessors have stored, and the registry, all at the same time: one after
    /// the other they would add most of a second to a takeover on a slow store.
    async fn catch_up(&self, term: Term) -> bool {
        let until = self.clock.mono() + YIELD_MS / 2;
        let read = |table, version| self.read_up_to(table, version, until);
        let (progress, jobs, registry) = futures::join!(
            read(Table::Progress, term.version()),
            read(Table::Jobs, term.fence),
            read(Table::Registry, 0),
        );
        progress && jobs && registry
    }

    async fn read_up_to(&self, table: Table, version: u64, until: u64) -> bool {
        while self.mirror.followed(table) < Some(version) {
            match self.mirror.poll(table, 0).await {
                Ok(0) => break,
                Ok(_) => {}
                Err(_) if self.clock.mono() < until => {
                    self.clock.sleep(RETRY_MS).await;
                }
                Err(e) => {
                    log::error!(table:? = table, why:% = e; "taking office: not read in time");
                    return false;
                }
            }
        }
        true
    }

    async fn run(
        &self,
        engine: &mut Engine,
        term: Term,
        news: &Receiver<News>,
        stop: &Stop,
    ) -> &'static str {
        let mut work: Work<'_> = FuturesUnordered::new();
        work.push(self.follow(Table::Jobs, JOBS_PACE_MS));
        work.push(self.follow(Table::Registry, REGISTRY_PACE_MS));
        work.push(self.beat(term));
        work.push(self.beat_later());
        work.push(self.sweep_later());
        let writes = Dependency::new("store, commits", self.clock.clone());
        let mut duty = Duty::new(self.cross_part, self.clock.mono());
        let mut planned_ms = 0;
        loop {
            // With thousands of steps open a round takes many times [`ROUND_MS`]: events get as much time
            // as planning, or answers would wait for several rounds until they are taken in.
            let round_ms = ROUND_MS.max(planned_ms);
            self.wait(round_ms, engine, &mut work, news, &mut |event, engine, work| match event {
                Event::Committed(scope, batch, out, sent) => {
                    let stored = matches!(out, Outcome::Done(_));
                    duty.committed(scope, stored, sent, self.clock.mono());
                    match stored {
                        true => writes.works(),
                        false => writes.fails(&"a commit without success"),
                    }
                    self.took(engine, &batch, &out);
                }
                Event::Beat(res, sent) => {
                    writes.note(&res);
                    match res {
                        Ok(true) => duty.acknowledged(sent),
                        Ok(false) => engine.deposed = true,
                        Err(_) => {}
                    }
                }
                Event::BeatDue => {
                    work.push(self.beat(term));
                    work.push(self.beat_later());
                }
                Event::Swept => {
                    let gone = engine.expire(self.now(), SWEEP);
                    work.push(self.sweep(gone));
                }
                other => self.apply(engine, other),
            })
            .await;
            let now = self.now();
            if stop.fired() {
                return "instance stops";
            } else if engine.deposed {
                return "replaced";
            } else if duty.over(now.mono) {
                return "no sign of life stored";
            }
            engine.lines = self.desk.lines();
            engine.tick(now);
            engine.plan(now);
            planned_ms = self.clock.mono().saturating_sub(now.mono).min(LONGEST_ROUND_MS);
            while let Some(scope) = duty.next(|p| engine.wants_commit(p), now.mono) {
                duty.commits(scope, now.mono);
                work.push(self.commit(term, scope, engine.take_batch(scope, BATCH, now)));
            }
            for act in engine.take_actions() {
                work.push(self.perform(act));
            }
            self.show(engine);
            // There may always be one more event: without this, nothing else of the process would
            // run on its one processor, and links whose frames nobody reads or writes are given up.
            task::yield_now().await;
        }
    }

    /// Waits for a round's worth of events and hands them over.
    async fn wait<'a>(
        &'a self,
        round_ms: u64,
        engine: &mut Engine,
        work: &mut Work<'a>,
        news: &Receiver<News>,
        take: &mut impl FnMut(Event, &mut Engine, &mut Work<'a>),
    ) {
        let mut round = Box::pin(self.clock.sleep(round_ms).fuse());
        loop {
            futures::select! {
                event = work.select_next_some() => take(event, engine, work),
                item = news.recv().fuse() => if let Ok(item) = item {
                    self.tell(engine, item);
                },
                () = round => return,
            }
        }
    }

    fn tell(&self, engine: &mut Engine, news: News) {
        let now = self.now();
        match news {
            News::Job(id, row) => engine.add_job(id, row, None, now),
            News::Cancel(id) => engine.cancel(id, now),
            News::Catalogue(cat) => engine.set_catalogue(cat),
            News::Runner(id, entry) => engine.register(&id, entry),
            News::Runners(ids) => engine.keep_registered(&ids),
        }
    }

    fn apply(&self, engine: &mut Engine, event: Event) {
        let now = self.now();
        match event {
            Event::Started(k, id, attempt, res) => engine.started(k, id, attempt, res, now),
            Event::Stopped(k, id, attempt, res) => engine.stopped(k, id, attempt, res, now),
            Event::Looked(k, res) => engine.looked(k, res, now),
            Event::Advised(step, ids, res) => engine.advised(step, &ids, res, now),
            Event::Deposed => engine.deposed = true,
            Event::Committed(..) | Event::Beat(..) | Event::BeatDue | Event::Swept => {}
        }
    }

    fn took(&self, engine: &mut Engine, batch: &Batch, out: &Outcome) {
        let now = self.now();
        engine.committed(batch, out, now);
        if let Outcome::Done(version) = out {
            for w in &batch.writes {
                self.mirror.put_progress(w.job, *version, w.state, w.value.clone());
            }
            let states: Vec<(JobId, u64, JobState)> =
                batch.writes.iter().map(|w| (w.job, *version, w.state)).collect();
            self.desk.publish(&states);
        }
    }

    fn show(&self, engine: &Engine) {
        if engine.counts.rounds % 64 == 1 {
            let (mut tasks, mut usable, now) = (0, 0, self.now());
            let (mut used, mut room) = (0, 0);
            for (_, r) in engine.runners() {
                tasks += r.tasks.len();
                usable += usize::from(r.usable(now));
                used += r.used.cpu;
                room += r.room().cpu;
            }
            let by: BTreeMap<&str, u64> = BTreeMap::from([("used_cpu", used), ("cpu", room)]);
            *self.view.lock().unwrap() = serde_json::json!({
                "fence": engine.fence, "jobs": engine.job_count(), "tasks": tasks,
                "open_steps": engine.open_steps(), "usable_runners": usable,
                "room": by, "counts": engine.counts, "advice_lines": self.desk.lines(),
            });
        }
    }
}
