//! Lives of runners: where they are, what room is taken there, and when their lease is over.

use super::losses::Loss;
use super::{Action, Engine, Now, RunnerKey};
use crate::control::crashes::Losses;
use crate::control::model::{Attempt, JobId, TaskId};
use crate::control::ports::{Hold, RunnerCall, RunnerEntry};
use crate::kernel::res::Resources;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time a look waits at the runner for an end, ms: bounds how long a cut link goes unnoticed
/// while costing little more than one call a second where nothing happens.
const LOOK_WAIT_MS: u64 = 800;

/// ... where nothing runs, ms: the platform's longest. Looks at idle runners are most of a scheduler's
/// work on a cell of thousands with little to do.
const IDLE_WAIT_MS: u64 = 2_000;

/// A runner not heard of for this long beyond its look's wait gets nothing new, ms.
const REACH_MS: u64 = 900;

/// A runner's clock may run this much slow, per mille (the platform's bound is 2 %).
const SLOW_CLOCK: u64 = 980;

/// Margin over a computed end of a lease, ms: the error of the estimated clock between two
/// looks (2 % of about a second) and the time an answer travels, several times over.
const LAPSE_MARGIN_MS: u64 = 200;

/// First time a runner is passed over after a strike, ms; doubles with each further one.
const SHUN_MS: u64 = 500;

/// Most doublings of [`SHUN_MS`].
const SHUN_DOUBLINGS: u32 = 4;

/// Different jobs that must fail on a runner in a row before it is held to blame: one may have failed by its
/// own fault.
const BLAME_JOBS: usize = 2;

/// Whether a runner does what it is given.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Strikes since the last task that ended done.
    pub strikes: u32,
    /// Nothing new before this, local ms.
    pub shunned: u64,
    /// A task has ended done here since the last strike.
    pub proven: bool,
    failed: BTreeSet<JobId>,
}

impl Health {
    /// Counts a strike.
    pub fn strike(&mut self, now: u64) {
        self.strikes += 1;
        self.proven = false;
        self.shunned = now + (SHUN_MS << self.strikes.min(SHUN_DOUBLINGS));
    }

    /// A task ended done.
    pub fn done(&mut self) {
        *self = Self { proven: true, ..Self::default() };
    }

    /// A task of `job` failed, by its own fault or the runner's.
    pub fn failed(&mut self, job: JobId, now: u64) {
        self.failed.insert(job);
        if self.failed.len() >= BLAME_JOBS {
            self.strike(now);
        }
    }
}

/// One life of a runner.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Its id.
    pub id: String,
    /// Its newest registry entry; none if it was never seen there.
    pub entry: Option<RunnerEntry>,
    /// It stands in the registry.
    pub listed: bool,
    /// This life is over: another one answers at its address.
    pub over: bool,
    /// Whether it does what it is given.
    pub health: Health,
    /// Number of its rack.
    pub rack: u32,
    /// Room taken by what runs or may run there.
    pub used: Resources,
    /// Room booked for gangs whose tickets are being asked for.
    pub booked: Resources,
    /// Room that steps whose questions name it will take in all likelihood.
    pub wanted: Resources,
    /// What runs or may run there, and its room.
    pub tasks: BTreeMap<(TaskId, Attempt), Resources>,
    /// Tasks there of which runs were lost with their runners.
    pub suspects: BTreeMap<TaskId, Losses>,
    /// Its clock and the local time when that was read, ms.
    pub clock: Option<(u64, u64)>,
    /// When it was last heard of, local ms.
    pub heard_at: u64,
    /// How long the look on its way waits there, ms.
    wait_ms: u64,
    /// Next look, local ms.
    pub hold_at: u64,
    /// A look is on its way.
    pub holding: bool,
    /// The last look, or a start since, had no answer.
    pub missed: bool,
    /// The last look had no answer.
    pub dark: bool,
    /// When calls began to go unanswered, local ms; none while they are answered.
    pub silent: Option<u64>,
    /// Highest end taken in.
    pub seen: u64,
    /// Ends taken in and not acknowledged: number, job, revision that must be stored first.
    pub unacked: VecDeque<(u64, JobId, u64)>,
    /// Ends up to this number may be acknowledged.
    pub acked: u64,
    /// Latest end of lease ever sent, ms on its clock.
    until: u64,
}

impl Runner {
    fn new(id: &str) -> Self {
        Self {
            id: id.to_string(),
            entry: None,
            listed: false,
            over: false,
            health: Health::default(),
            rack: 0,
            used: Resources::ZERO,
            booked: Resources::ZERO,
            wanted: Resources::ZERO,
            tasks: BTreeMap::new(),
            suspects: BTreeMap::new(),
            clock: None,
            heard_at: 0,
            wait_ms: LOOK_WAIT_MS,
            hold_at: 0,
            holding: false,
            missed: false,
            dark: false,
            silent: None,
            seen: 0,
            unacked: VecDeque::new(),
            acked: 0,
            until: 0,
        }
    }

    /// Whom to call, if its address is known.
    pub fn call(&self) -> Option<RunnerCall> {
        Some(RunnerCall { addr: self.entry.as_ref()?.addr, id: self.id.clone() })
    }

    /// Capacity.
    pub fn room(&self) -> Resources {
        self.entry.as_ref().map_or(Resources::ZERO, |e| e.room)
    }

    /// Room neither taken nor booked.
    pub fn free(&self) -> Resources {
        self.room().sub(&self.used).sub(&self.booked)
    }

    /// Whether what runs there leaves the room that is booked.
    pub fn clear(&self) -> bool {
        self.used.add(&self.booked).fits(&self.room())
    }

    /// Whether it was heard of lately.
    pub fn reached(&self, now: Now) -> bool {
        self.clock.is_some() && self.heard_at + self.wait_ms + REACH_MS > now.mono
    }

    /// Whether new tasks may be placed there. A start without an answer counts against it until
    /// the next look succeeds: the first sign of a cut, a second before looks show it, and what
    /// is placed meanwhile is tied up until the lease is over.
    pub fn usable(&self, now: Now) -> bool {
        let ready = self.entry.as_ref().is_some_and(|e| !e.draining);
        let answers = !self.missed && self.reached(now);
        ready && self.listed && !self.over && answers && self.health.shunned <= now.mono
    }

    /// Takes room for a task that has lost runners as told by `losses`.
    pub fn occupy(&mut self, id: TaskId, attempt: Attempt, need: Resources, losses: Losses) {
        if losses.suspect() {
            self.suspects.insert(id, losses);
        }
        if self.tasks.insert((id, attempt), need).is_none() {
            self.used = self.used.add(&need);
        }
    }

    /// Gives a task's room back.
    pub fn vacate(&mut self, id: TaskId, attempt: Attempt) {
        if let Some(need) = self.tasks.remove(&(id, attempt)) {
            self.used = self.used.sub(&need);
            self.suspects.remove(&id);
        }
    }

    /// Notes an answer with the runner's clock.
    pub fn heard(&mut self, clock: u64, now: Now) {
        self.heard_at = now.mono;
        self.silent = None;
        if self.clock.is_none_or(|(c, _)| clock >= c) {
            self.clock = Some((clock, now.mono));
        }
    }

    /// Notes a call without an answer.
    pub fn unheard(&mut self, now: Now) {
        self.missed = true;
        self.silent.get_or_insert(now.mono);
    }

    /// The end of a lease of `hold` ms from now on the runner's clock; remembered, since the
    /// order that carries it may come into effect even if it is never answered.
    pub fn extend(&mut self, hold: u64, now: Now) -> Option<u64> {
        let (clock, at) = self.clock?;
        let until = clock + now.mono.saturating_sub(at) + hold;
        self.until = self.until.max(until);
        Some(until)
    }

    /// When every lease given there is over by the slowest clock, local ms. Before this term has
    /// given one only its predecessors' count, which are over at `foreign`.
    pub(super) fn lease_over(&self, foreign: u64) -> u64 {
        match self.clock {
            Some((clock, at)) if self.until > 0 => {
                let rest = (self.until + LAPSE_MARGIN_MS).saturating_sub(clock);
                at + (rest * 1000).div_ceil(SLOW_CLOCK)
            }
            _ => foreign,
        }
    }

    fn lapsed(&self, now: Now, foreign: u64) -> bool {
        now.mono > self.lease_over(foreign)
    }
}

impl Engine {
    /// The runner called `id`, made known if it is not.
    pub(super) fn runner_named(&mut self, id: &str) -> RunnerKey {
        if let Some(&k) = self.by_id.get(id) {
            return k;
        }
        let k = self.runners.push(Runner::new(id));
        self.by_id.insert(id.to_string(), k);
        k
    }

    /// The registry's entry of a runner changed; none if it was removed.
    pub fn register(&mut self, id: &str, entry: Option<RunnerEntry>) {
        let k = self.runner_named(id);
        let runner = self.runners.get_mut(k);
        let was = (runner.listed, runner.entry.as_ref().is_some_and(|e| e.draining));
        runner.listed = entry.is_some();
        if let Some(e) = entry {
            let (room, used) = (runner.room(), runner.used);
            if runner.entry.is_some() && room != e.room {
                log::info!(runner = id, cpu = e.room.cpu, mem = e.room.mem, was_cpu = room.cpu,
                    was_mem = room.mem, used_cpu = used.cpu, used_mem = used.mem;
                    "capacity changed");
            }
            let next = self.racks.len() as u32;
            runner.rack = *self.racks.entry(e.rack.clone()).or_insert(next);
            runner.entry = Some(e);
        }
        let is = (runner.listed, runner.entry.as_ref().is_some_and(|e| e.draining));
        if was != is {
            log::info!(runner = id, listed = is.0, draining = is.1, tasks = runner.tasks.len();
                "registry entry changed");
        }
    }

    /// Forgets entries that a full read of the registry did not show.
    pub fn keep_registered(&mut self, ids: &BTreeSet<String>) {
        let gone: Vec<String> = self
            .runners
            .iter()
            .filter(|(_, r)| r.listed && !ids.contains(&r.id))
            .map(|(_, r)| r.id.clone())
            .collect();
        for id in gone {
            self.register(&id, None);
        }
    }

    /// Looks at every runner whose turn it is.
    pub(super) fn look(&mut self, now: Now) {
        let (fence, hold) = (self.fence, self.rules.hold_ms);
        let jobs = &self.jobs;
        let stored = |id: &JobId, rev: u64| jobs.get(id).is_none_or(|j| j.stored >= rev);
        let mut acts = Vec::new();
        for (k, r) in self.runners.iter_mut() {
            let wanted = r.listed || !r.tasks.is_empty();
            if r.holding || r.over || !wanted || r.hold_at > now.mono {
                continue;
            }
            let Some(to) = r.call() else { continue };
            while r.unacked.front().is_some_and(|(_, id, rev)| stored(id, *rev)) {
                r.acked = r.unacked.pop_front().map_or(r.acked, |(n, _, _)| n);
            }
            // The first look only learns the runner's clock. One after a failed look extends
            // nothing either: it may come into effect at a runner that can hear and not answer,
            // and leases offered again and again to a runner out of reach would never be over.
            let until = if r.missed { None } else { r.extend(hold, now) };
            let idle = r.tasks.is_empty() && r.unacked.is_empty();
            let wait_ms = match until {
                None => 0,
                Some(_) if idle => IDLE_WAIT_MS,
                Some(_) => LOOK_WAIT_MS,
            };
            r.wait_ms = wait_ms.max(LOOK_WAIT_MS);
            r.holding = true;
            let hold = Hold { fence, acked: r.acked, until, wait_ms };
            acts.push(Action::Hold { runner: k, to, hold });
        }
        self.acts.append(&mut acts);
    }

    /// Another life answers at the runner's address: all that ran in this one is over.
    pub(super) fn runner_over(&mut self, k: RunnerKey, now: Now) {
        if !self.runners.get(k).over {
            log::info!(runner = self.runners.get(k).id, tasks = self.runners.get(k).tasks.len();
                "runner replaced by another life");
        }
        self.runners.get_mut(k).over = true;
        self.write_off(k, Loss::OtherLife, now);
    }

    /// When leases that predecessors gave are over, local ms. One that is cut off from the store,
    /// and not from a runner, may extend its lease until it has to stop; then the lease runs out.
    pub(super) fn foreign_over(&self) -> u64 {
        let lease = self.rules.hold_ms * 1000 / SLOW_CLOCK + LAPSE_MARGIN_MS;
        self.since + self.rules.yield_ms + lease
    }

    /// Writes off what ran on runners whose leases are over.
    pub(super) fn lapse(&mut self, now: Now) {
        let foreign = self.foreign_over();
        let due: Vec<RunnerKey> = self
            .runners
            .iter()
            .filter(|(_, r)| !r.tasks.is_empty() && r.lapsed(now, foreign))
            .map(|(k, _)| k)
            .collect();
        for k in due {
            let r = self.runners.get(k);
            log::warn!(runner = r.id, tasks = r.tasks.len(), silent_ms = now.mono - r.heard_at;
                "lease over: tasks written off");
            self.write_off(k, Loss::LeaseOver, now);
        }
    }
}
