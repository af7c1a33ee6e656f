//! The leader: executes the engine's decisions as calls, and passes their results to the engine.
//!
//! All calls in flight are futures in one set that the leader polls itself. When the term ends the
//! set is dropped, which cancels them all.

mod batching;
mod calls;
mod order_queue;
mod speeds;
mod standbys;
mod traffic;

pub use batching::CommitBatching;
pub use order_queue::OrderQueue;

use super::admission::AdmissionView;
use super::election::{Election, Term, HEARTBEAT_MS};
use super::engine::{Batch, Engine, Now, Outcome, Rules, RunnerKey};
use super::health::Dependency;
use super::links::server::LinkServer;
use super::mirror::{Mirror, Snapshot, Table, Update};
use super::model::{Attempt, JobId, JobState, StepId, TaskId};
use super::partitions::{self, PartitionScope};
use super::policy::link_budget::{LinkBudget, LinkUsage};
use super::ports::{Advice, AdviceError, CommitError, Refusal, Report, Runners, Store};
use super::teams;
use crate::kernel::clock::Clock;
use crate::kernel::stop::Stop;
use crate::kernel::traffic::Traffic;
use async_std::channel::{self, Receiver};
use async_std::task;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use futures::FutureExt;
use standbys::Standbys;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::panic::AssertUnwindSafe;
use std::sync::{Arc, Mutex};
use traffic::TrafficLog;

/// Shortest time between planning rounds, ms: short against the 250 ms of total delay that a
/// lookup can bear, and long enough that a round handles several events.
const ROUND_MS: u64 = 8;

/// Longest time between planning rounds, ms: a heartbeat is due every 250 ms.
const MAX_ROUND_MS: u64 = 120;

/// Most writes in one transaction. Each needs a condition and a write, and the store takes 100
/// entries a transaction, of which one for each partition checks its fence.
const BATCH_WRITES: usize = (100 - partitions::COUNT) / 2;

/// Delay after a failed call to the store, ms.
const RETRY_MS: u64 = 60;

/// Shortest interval between two polls of the jobs feed, ms. Each poll is a priced call; the
/// interval delays only submissions of instances without a link, as linked ones send theirs at
/// once.
const JOBS_INTERVAL_MS: u64 = 100;

/// Shortest interval between two polls of the registry, ms: a runner must get no new task from 2 s
/// after it began to drain.
const REGISTRY_INTERVAL_MS: u64 = 200;

/// The leader steps down when no heartbeat or commit has been acknowledged for this long, ms.
pub const STEP_DOWN_MS: u64 = 10_000;

/// Time after a panic of the scheduler for which this instance does not campaign, ms: others are elected
/// meanwhile, on which the cause may not act.
const PANIC_PAUSE_MS: u64 = 2_000;

/// A failure of a call to the store is seen by the planning rounds of this time, ms.
const NEW_FAILURE_MS: u64 = 4 * MAX_ROUND_MS;

/// Most teams in the state dump and in the metrics: those with most running.
const MAX_TEAMS_SHOWN: usize = 32;

/// Most held jobs that are logged at the begin of a term.
const MAX_LOGGED_JOBS: usize = 5;

/// Most ended jobs that one garbage collection deletes from the store.
const GC_JOBS: usize = 20;

/// Most of these that an earlier one could not delete. A partition that accepts no writes must not
/// keep the jobs of the others.
const GC_RETRIES: usize = GC_JOBS / 2;

/// Result of a call, or a timer that has fired. The last number of `Committed` and `Heartbeat` is
/// when the call was sent, local ms.
enum Event {
    Started(RunnerKey, TaskId, Attempt, Result<u64, Refusal>),
    Stopped(RunnerKey, TaskId, Attempt, Result<u64, Refusal>),
    Polled(RunnerKey, Result<Report, Refusal>),
    Advised(StepId, Vec<RunnerKey>, Result<Advice, AdviceError>),
    Committed(PartitionScope, Batch, Outcome, u64),
    Replaced,
    HeartbeatDue,
    Heartbeat(Result<bool, CommitError>, u64),
    /// With the ended jobs that could not be deleted.
    GcDue(Vec<JobId>),
    /// Whether the speeds of runners were stored.
    SpeedsStored(bool),
    /// The standby instances, if they were stored.
    StandbysStored(Option<BTreeSet<String>>),
}

/// What the leader uses of its instance.
pub struct Leader {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The runners.
    pub runners: Arc<dyn Runners>,
    /// Link server, with the connections to the advice service.
    pub server: Arc<LinkServer>,
    /// Local cache of the store's tables.
    pub mirror: Arc<Mirror>,
    /// Leader election.
    pub election: Arc<Election>,
    /// The clock.
    pub clock: Clock,
    /// Limits of the engine: lease times, retention of ended jobs, placement policy.
    pub rules: Rules,
    /// Whether one transaction of the store may take rows of several partitions.
    pub cross_part: bool,
    /// What this instance decides on submissions by.
    pub admission: Arc<AdmissionView>,
    /// Bandwidth of the network link, Mbit/s; none if it is not known.
    pub link_mbps: Option<f64>,
    /// Bytes sent and received by this process.
    pub traffic: Arc<Traffic>,
    /// Scheduler section of the state dump; null while this instance is not the leader.
    pub view: Arc<Mutex<serde_json::Value>>,
}

/// Shows what a team has running and waiting, if it has metrics of its own.
fn set_gauges(team: &str, cpu: u64, mem: u64, waiting: usize) {
    if !teams::has_label(team) {
        return;
    }
    let gauge = |what: &'static str, value: u64| {
        metrics::gauge!(what, "team" => team.to_string()).set(value as f64);
    };
    gauge("control_team_used_cpu", cpu);
    gauge("control_team_used_mem", mem);
    gauge("control_team_waiting", waiting as u64);
}

type PendingCalls<'a> = FuturesUnordered<BoxFuture<'a, Event>>;

impl Leader {
    fn now(&self) -> Now {
        Now { mono: self.clock.mono(), wall: self.clock.wall() }
    }

    /// Runs the scheduler for a term, until leadership is lost or the instance stops. A panic ends the
    /// term only: a process without a scheduler would go on to accept jobs, and would never lead again.
    pub async fn serve(&self, term: Term, stop: &Stop) {
        let served = AssertUnwindSafe(self.serve_term(term, stop)).catch_unwind().await;
        let Err(panic) = served else { return };
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let why = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("no message");
        log::error!(fence = term.fence, why; "scheduler panicked: its term ends");
        metrics::counter!("control_scheduler_panics").increment(1);
        self.mirror.subscribe(None);
        self.mirror.discard_jobs();
        self.admission.clear();
        self.clock.sleep(PANIC_PAUSE_MS).await;
    }

    async fn serve_term(&self, term: Term, stop: &Stop) {
        let began = self.clock.mono();
        let (tx, updates) = channel::unbounded();
        // Changes from here on arrive through the channel, earlier ones are in the snapshot. A job
        // that is in both is ignored the second time.
        self.mirror.subscribe(Some(tx));
        let (tables, speeds) = futures::join!(self.read_tables(term), self.read_speeds());
        let Some(Snapshot { mut jobs, unreadable }) = tables else {
            self.mirror.subscribe(None);
            self.step_down(term).await;
            return;
        };
        let mut engine = Engine::new(self.rules, term.fence, term.prior_end, self.now());
        engine.set_catalogue(self.mirror.catalogue());
        if let Some(row) = speeds {
            engine.restore_speeds(&row, self.now());
        }
        if !unreadable.is_empty() {
            let first = unreadable.iter().take(MAX_LOGGED_JOBS).map(|job| job.id.to_string());
            log::error!(held = unreadable.len(), jobs:? = first.collect::<Vec<_>>();
                "jobs held: their rows are unreadable");
        }
        for job in unreadable {
            engine.hold_job(job.id, job.row);
            if job.cancelled {
                engine.cancel(job.id, self.now());
            }
        }
        // Shares of teams are counted in the order of submission.
        jobs.sort_by_key(|job| job.row.at);
        for job in jobs {
            engine.add_job(job.id, job.row, job.progress, self.now());
            if job.cancelled {
                engine.cancel(job.id, self.now());
            }
        }
        let ms = self.clock.mono() - began;
        let nth = self.election.terms();
        log::info!(fence = term.fence, nth, version = term.version(), jobs = engine.job_count(),
            held = engine.held_count(), load_ms = ms; "term begins");
        let why = self.run(&mut engine, term, &updates, stop).await;
        self.mirror.subscribe(None);
        self.admission.clear();
        log::info!(fence = term.fence, nth, why = why; "term ends");
        if engine.stale {
            self.mirror.discard_jobs();
        }
        // The successor shows the teams from now on.
        engine.teams().for_each(|(_, t)| set_gauges(&t.name, 0, 0, 0));
        engine.reset_admission_metrics();
        if stop.fired() {
            self.step_down(term).await;
        }
    }

    /// Steps down, and tells the linked instances so, one of which is proposed as the successor.
    async fn step_down(&self, term: Term) {
        let next = self.server.successor(self.election.candidate().size);
        let stored = self.election.step_down(term, next).await;
        if let Some((row, version)) = stored {
            self.server.report_leader(row, version);
        }
    }

    /// Reads everything that earlier leaders have stored, and the registry. The tables are read
    /// concurrently: one after the other they would add most of a second to a takeover on a slow
    /// store. Returns all jobs, or none if that takes too long.
    async fn read_tables(&self, term: Term) -> Option<Snapshot> {
        let deadline = self.clock.mono() + STEP_DOWN_MS / 2;
        let read = |table, version| self.read_up_to(table, version, deadline);
        loop {
            let (progress, jobs, registry) = futures::join!(
                read(Table::Progress, term.version()),
                // An earlier leader may have stored progress of any job that was stored before its
                // partition was fenced.
                read(Table::Jobs, term.version()),
                read(Table::Registry, 0),
            );
            if !(progress && jobs && registry) {
                return None;
            }
            // A table may have been discarded while the others were read.
            if let Some(snapshot) = self.mirror.snapshot_at(term.version()) {
                return Some(snapshot);
            }
        }
    }

    /// Polls a table until it is cached up to `version`; false if that takes until `deadline`, local
    /// ms. An answer without rows doesn't show that it is: the table may have been discarded while
    /// the poll was in flight.
    async fn read_up_to(&self, table: Table, version: u64, deadline: u64) -> bool {
        let (began, mut polls, mut rows) = (self.clock.mono(), 0, 0);
        loop {
            let before = self.mirror.cached_version(table);
            if before >= Some(version) {
                break;
            }
            polls += 1;
            let polled = self.mirror.poll(table, 0).await;
            rows += polled.as_ref().unwrap_or(&0);
            let cached = self.mirror.cached_version(table);
            if cached > before {
                continue;
            }
            if self.clock.mono() >= deadline {
                log::error!(table:? = table, wanted = version, cached:? = cached, polled:? = polled;
                    "term not started: table not read in time");
                return false;
            }
            self.clock.sleep(RETRY_MS).await;
        }
        log::info!(table:? = table, polls, rows, ms = self.clock.mono() - began;
            "table read for a new term");
        true
    }

    /// Runs planning rounds until the term ends, and returns why it has ended.
    async fn run(
        &self,
        engine: &mut Engine,
        term: Term,
        updates: &Receiver<Update>,
        stop: &Stop,
    ) -> &'static str {
        let mut calls: PendingCalls<'_> = FuturesUnordered::new();
        calls.push(self.follow(Table::Jobs, JOBS_INTERVAL_MS));
        calls.push(self.follow(Table::Registry, REGISTRY_INTERVAL_MS));
        calls.push(self.heartbeat(term));
        calls.push(self.heartbeat_later());
        calls.push(self.gc_later());
        let writes = Dependency::new("store, commits", self.clock.clone());
        let mut batching = CommitBatching::new(self.cross_part, self.clock.mono());
        let now = self.clock.mono();
        let mut orders =
            OrderQueue::new(LinkBudget::new(self.link_mbps, now), self.election.candidate().size);
        let mut usage = LinkUsage::new(self.link_mbps, self.traffic.sent(), now);
        let mut traffic_log = TrafficLog::new(&self.traffic, self.clock.mono());
        let mut standbys = Standbys::new(self.election.standbys(), self.clock.mono());
        let mut planned_ms = 0;
        // Ended jobs whose rows are still in the store although their retention time is over.
        let mut undeleted = VecDeque::new();
        loop {
            // With thousands of open steps, planning takes many times [`ROUND_MS`]. Events get as
            // much time as planning: with a fixed time, answers would wait for several rounds.
            let round_ms = ROUND_MS.max(planned_ms);
            engine.link_busy = usage.is_busy(self.traffic.sent(), self.clock.mono());
            batching.set_link_busy(engine.link_busy);
            self.handle_events(
                round_ms,
                engine,
                &mut calls,
                updates,
                &mut |event, engine, calls| match event {
                    Event::Committed(scope, batch, outcome, sent) => {
                        let stored = matches!(outcome, Outcome::Done(_));
                        batching.record_outcome(scope, stored, sent, self.clock.mono());
                        match stored {
                            true => writes.record_success(),
                            false => writes.record_failure(&"commit failed"),
                        }
                        self.record_commit(engine, &batch, &outcome);
                    }
                    Event::Heartbeat(res, sent) => {
                        writes.record(&res);
                        match res {
                            Ok(true) => {
                                batching.record_ack(sent);
                                calls.extend(self.store_speeds(term, engine, sent));
                                calls.extend(self.update_standbys(term, &mut standbys));
                            }
                            Ok(false) => engine.superseded = true,
                            Err(_) => {}
                        }
                    }
                    Event::HeartbeatDue => {
                        calls.push(self.heartbeat(term));
                        calls.push(self.heartbeat_later());
                    }
                    Event::GcDue(failed) => {
                        undeleted.extend(failed);
                        let retries = undeleted.len().min(GC_RETRIES);
                        let mut ended: Vec<JobId> = undeleted.drain(..retries).collect();
                        ended.extend(engine.expire(self.now(), GC_JOBS - retries));
                        calls.push(self.collect_garbage(ended));
                    }
                    Event::StandbysStored(stored) => standbys.written(stored),
                    other => self.apply_result(engine, other),
                },
            )
            .await;
            let now = self.now();
            if stop.fired() {
                return "instance stops";
            } else if engine.superseded {
                return "replaced";
            } else if engine.stale {
                return "unknown progress stored";
            } else if batching.is_expired(now.mono) {
                return "no heartbeat stored";
            }
            engine.renewed_at = self.election.renewed_at();
            engine.advice_connections = self.server.advice_connections();
            engine.order_backlog.ms = orders.backlog_ms();
            engine.order_backlog.start_ms = orders.start_ms();
            engine.tick(now);
            engine.plan(now);
            planned_ms = self.clock.mono().saturating_sub(now.mono).min(MAX_ROUND_MS);
            while let Some(scope) = batching.next(|p| engine.wants_commit(p), now.mono) {
                batching.record_sent(scope, now.mono);
                calls.push(self.commit(term, scope, engine.take_batch(scope, BATCH_WRITES, now)));
            }
            for action in engine.take_actions() {
                calls.extend(orders.push(action).map(|call| self.perform(call)));
            }
            orders.begin_round(now.mono);
            while let Some(order) = orders.next(now.mono) {
                calls.push(self.perform(order));
            }
            if self.mirror.store_failed_within(NEW_FAILURE_MS)
                || self.server.store_lost_within(NEW_FAILURE_MS)
            {
                engine.hold_admission(now);
            }
            if let Some(state) = engine.admission_due(now) {
                self.server.publish_admission(&state);
                self.admission.set(state);
            }
            self.update_view(engine);
            traffic_log.report(&self.traffic, now.mono);
            // Under load the next event is always ready. Without yielding, no other task of the
            // process would run on its one processor, and links would time out.
            task::yield_now().await;
        }
    }

    /// Handles events for `round_ms`: passes each [`Event`] to `handle`, and applies the updates of
    /// the local cache.
    async fn handle_events<'a>(
        &'a self,
        round_ms: u64,
        engine: &mut Engine,
        calls: &mut PendingCalls<'a>,
        updates: &Receiver<Update>,
        handle: &mut impl FnMut(Event, &mut Engine, &mut PendingCalls<'a>),
    ) {
        let mut round = Box::pin(self.clock.sleep(round_ms).fuse());
        loop {
            futures::select! {
                event = calls.select_next_some() => handle(event, engine, calls),
                update = updates.recv().fuse() => if let Ok(update) = update {
                    self.apply_update(engine, update);
                },
                () = round => return,
            }
        }
    }

    fn apply_update(&self, engine: &mut Engine, update: Update) {
        let now = self.now();
        match update {
            Update::Job(id, row) => engine.add_job(id, row, None, now),
            Update::Cancel(id) => engine.cancel(id, now),
            Update::Catalogue(cat) => engine.set_catalogue(cat),
            Update::Runner(id, entry) => engine.register(&id, entry),
            Update::Runners(ids) => engine.retain_registered(&ids),
        }
    }

    fn apply_result(&self, engine: &mut Engine, event: Event) {
        let now = self.now();
        match event {
            Event::Started(k, id, attempt, res) => engine.started(k, id, attempt, res, now),
            Event::Stopped(k, id, attempt, res) => engine.stopped(k, id, attempt, res, now),
            Event::Polled(k, res) => engine.polled(k, res, now),
            Event::Advised(step, runners, res) => engine.advice_received(step, &runners, res, now),
            Event::Replaced => engine.superseded = true,
            Event::SpeedsStored(stored) => engine.speeds_written(stored),
            Event::Committed(..)
            | Event::Heartbeat(..)
            | Event::HeartbeatDue
            | Event::GcDue(_)
            | Event::StandbysStored(_) => {}
        }
    }

    fn record_commit(&self, engine: &mut Engine, batch: &Batch, outcome: &Outcome) {
        let now = self.now();
        engine.committed(batch, outcome, now);
        if let Outcome::Done(version) = outcome {
            for w in &batch.writes {
                self.mirror.put_progress(w.job, *version, w.state, w.value.clone());
            }
            let states: Vec<(JobId, u64, JobState)> =
                batch.writes.iter().map(|w| (w.job, *version, w.state)).collect();
            self.server.publish(&states);
        }
    }

    fn update_view(&self, engine: &Engine) {
        if engine.counts.rounds % 64 == 1 {
            let (mut tasks, mut usable, now) = (0, 0, self.now());
            let (mut used, mut capacity) = (0, 0);
            for (_, r) in engine.runners() {
                tasks += r.tasks.len();
                usable += usize::from(r.usable(now));
                used += r.used.cpu;
                capacity += if r.listed { r.capacity().cpu } else { 0 };
            }
            let resources: BTreeMap<&str, u64> =
                BTreeMap::from([("used_cpu", used), ("cpu", capacity)]);
            let mut teams = engine.team_views();
            teams.iter().for_each(|t| set_gauges(&t.name, t.used_cpu, t.used_mem, t.waiting));
            teams.truncate(MAX_TEAMS_SHOWN);
            *self.view.lock().unwrap() = serde_json::json!({
                "fence": engine.fence, "jobs": engine.job_count(), "held": engine.held_count(),
                "tasks": tasks, "open_steps": engine.open_steps(), "usable_runners": usable,
                "deferred_steps": engine.deferred_steps(),
                "unplaceable_steps": engine.unplaceable_steps(),
                "standing_jobs": engine.standing_jobs(),
                "room": resources, "counts": engine.counts, "teams": teams,
                "advice_lines": self.server.advice_connections(),
            });
        }
    }
}
