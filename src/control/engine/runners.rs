//! Incarnations of runners: their address, the capacity allocated on them, and when their lease
//! expires.

use super::completions::{Completions, Effect};
use super::held::HeldJob;
use super::late_completions::LostRun;
use super::losses::Loss;
use super::teams::TeamKey;
use super::{Action, Engine, Job, Now, RunnerKey};
use crate::control::leases::{LEASE_MARGIN_MS, SLOWEST_CLOCK_PERMILLE};
use crate::control::model::{Attempt, Born, JobId, TaskId};
use crate::control::policy::crashes::Losses;
use crate::control::ports::{PollRequest, RunnerCall, RunnerEntry};
use crate::kernel::res::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// Time that a poll waits at the runner for a completion, ms. It bounds how long a broken
/// connection goes undetected, and costs little more than one call a second where nothing happens.
const POLL_WAIT_MS: u64 = 800;

/// Time that a poll waits at a runner where nothing runs, ms: the platform's maximum. Polls of idle
/// runners are most of the scheduler's work on a cell of thousands of runners with little to do.
const IDLE_POLL_WAIT_MS: u64 = 2_000;

/// Completions are acknowledged only by a poll that is decided at most this long after the answer that
/// listed them, ms: shorter than the restart of a runner, and longer than the pauses between polls.
const MAX_ACK_AGE_MS: u64 = 400;

/// A runner without contact for this long beyond the wait of its poll gets no new tasks, ms.
const CONTACT_TIMEOUT_MS: u64 = 900;

/// Time that a runner is avoided after its first strike, ms; doubles with each further strike.
const AVOID_MS: u64 = 500;

/// Maximum number of doublings of [`AVOID_MS`].
const AVOID_DOUBLINGS: u32 = 4;

/// Number of different jobs that must fail on a runner, without a completed task in between, before
/// failures count as strikes: a single job may have failed by a fault of its own.
const MIN_FAILED_JOBS: usize = 2;

/// Strikes of a runner, and until when it is avoided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunnerHealth {
    /// Refused starts, stalled tasks and failures since the last task that completed.
    pub strikes: u32,
    /// Gets no new tasks before this time, local ms.
    pub avoid_until: u64,
    /// Whether a task has completed here since the last strike.
    pub proven: bool,
    failed: BTreeSet<JobId>,
}

impl RunnerHealth {
    /// Counts a strike at `now`, local ms.
    pub fn strike(&mut self, now: u64) {
        self.strikes += 1;
        self.proven = false;
        self.avoid_until = now + (AVOID_MS << self.strikes.min(AVOID_DOUBLINGS));
    }

    /// Records a completed task: resets the strikes.
    pub fn done(&mut self) {
        *self = Self { proven: true, ..Self::default() };
    }

    /// Records a failed task of `job`, for which the job or the runner may be the cause.
    pub fn failed(&mut self, job: JobId, now: u64) {
        self.failed.insert(job);
        if self.failed.len() >= MIN_FAILED_JOBS {
            self.strike(now);
        }
    }
}

/// Capacity allocated to a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Capacity of its runner.
    pub need: Resources,
    /// What counts against the cap of its team.
    pub charge: Resources,
    /// Its team.
    pub team: Option<TeamKey>,
    /// Whether the task runs until its job is cancelled.
    pub lasts: bool,
}

/// One incarnation of a runner.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Its id.
    pub id: String,
    /// Its newest registry entry; `None` if the registry never listed it.
    pub entry: Option<RunnerEntry>,
    /// Whether the registry lists it.
    pub listed: bool,
    /// When this incarnation started, as far as the registry or the runner has said.
    pub born: Option<Born>,
    /// Registry entry of another incarnation of its id, of which no poll has been answered.
    pub announced: Option<RunnerEntry>,
    /// Whether this incarnation is over: another one answers at its address.
    pub replaced: bool,
    /// Strikes, and until when it is avoided.
    pub health: RunnerHealth,
    /// Number of its rack.
    pub rack: u32,
    /// Capacity allocated to tasks that run or may run there.
    pub used: Resources,
    /// Part of [`Self::used`] that is allocated until jobs are cancelled.
    lasting: Resources,
    /// Capacity provisionally reserved for gangs while their tickets are requested.
    pub provisional: Resources,
    /// Capacity that steps whose pending advice requests name this runner will probably use.
    pub anticipated: Resources,
    /// Tasks that run or may run there, and the capacity allocated to each.
    pub tasks: BTreeMap<(TaskId, Attempt), Allocation>,
    /// Runs that no scheduler expects there, and when an answer last listed them, ms of its clock.
    pub(super) strays: BTreeMap<(TaskId, Attempt), u64>,
    /// Those of its tasks that have lost runs with their runners.
    pub suspects: BTreeMap<TaskId, Losses>,
    /// Runs that were marked as lost and whose completion may yet be reported.
    pub(super) lost: BTreeMap<(TaskId, Attempt), LostRun>,
    /// Its clock and the local time when it was read, ms.
    pub clock: Option<(u64, u64)>,
    /// Time of the last contact, local ms.
    pub last_contact: u64,
    /// How long the pending poll waits at the runner, ms.
    wait_ms: u64,
    /// Time of the next poll, local ms.
    pub next_poll: u64,
    /// Whether a poll is pending.
    pub polling: bool,
    /// Whether the last poll, or a start since, had no answer or found another clock.
    pub unanswered: bool,
    /// Whether the last poll had no answer.
    pub poll_failed: bool,
    /// When calls began to go unanswered, local ms; `None` while they are answered.
    pub unanswered_since: Option<u64>,
    /// Whether its last answer had no list.
    pub without_lists: bool,
    /// Whether its last answer listed completions.
    pub lists_completions: bool,
    /// Time of the last answer to a poll, local ms.
    pub polled_at: u64,
    /// Completions that were received, and which of them may be acknowledged.
    pub completions: Completions,
    /// Latest end of a lease that was sent, ms of its clock.
    lease_until: u64,
    /// When an answer shows whether a run that was stopped and is not listed is over, ms of its
    /// clock.
    pub(super) recheck_at: Option<u64>,
}

impl Runner {
    /// A runner of which nothing is known but its id.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_string(),
            entry: None,
            listed: false,
            born: None,
            announced: None,
            replaced: false,
            health: RunnerHealth::default(),
            rack: 0,
            used: Resources::ZERO,
            lasting: Resources::ZERO,
            provisional: Resources::ZERO,
            anticipated: Resources::ZERO,
            tasks: BTreeMap::new(),
            strays: BTreeMap::new(),
            suspects: BTreeMap::new(),
            lost: BTreeMap::new(),
            clock: None,
            last_contact: 0,
            wait_ms: POLL_WAIT_MS,
            next_poll: 0,
            polling: false,
            unanswered: false,
            poll_failed: false,
            unanswered_since: None,
            without_lists: false,
            lists_completions: false,
            polled_at: 0,
            completions: Completions::default(),
            lease_until: 0,
            recheck_at: None,
        }
    }

    /// The incarnation of the same id that started at `born`. Orders that were meant for this one
    /// may have extended its lease up to `lease_until`, ms on its clock.
    pub(super) fn successor(&mut self, born: Born, lease_until: u64) -> Self {
        let names = |e: &RunnerEntry| e.born.is_none_or(|b| b == born);
        let announced = self.announced.take().filter(names);
        let listed = announced.is_some() || self.listed && self.entry.as_ref().is_some_and(names);
        Self {
            born: Some(born),
            entry: announced.or(self.entry.clone()),
            listed,
            rack: self.rack,
            lease_until,
            ..Self::new(&self.id)
        }
    }

    /// Where calls to it are sent, if its address is known.
    pub fn call(&self) -> Option<RunnerCall> {
        let entry = self.announced.as_ref().or(self.entry.as_ref())?;
        Some(RunnerCall { addr: entry.addr, id: self.id.clone() })
    }

    /// Whether a registry entry names another incarnation of its id.
    pub(super) fn differs(&self, entry: &RunnerEntry) -> bool {
        self.born.zip(entry.born).is_some_and(|(known, born)| known != born)
    }

    /// Its capacity.
    pub fn capacity(&self) -> Resources {
        self.entry.as_ref().map_or(Resources::ZERO, |e| e.capacity)
    }

    /// Capacity that is neither allocated nor provisionally reserved.
    pub fn free(&self) -> Resources {
        self.capacity().sub(&self.used).sub(&self.provisional)
    }

    /// Capacity that is free once all its tasks have ended that do not last.
    pub fn drained(&self) -> Resources {
        self.capacity().sub(&self.lasting)
    }

    /// Whether the allocated tasks leave the provisionally reserved capacity free.
    pub fn reservation_fits(&self) -> bool {
        self.used.add(&self.provisional).fits(&self.capacity())
    }

    /// Whether the last contact is recent.
    pub fn reachable(&self, now: Now) -> bool {
        self.clock.is_some() && self.last_contact + self.wait_ms + CONTACT_TIMEOUT_MS > now.mono
    }

    /// Whether new tasks may be placed there. An unanswered start excludes the runner until the
    /// next poll succeeds: it is the first sign of a broken connection, a second before polls show
    /// it, and tasks placed meanwhile would be blocked until the lease expires.
    pub fn usable(&self, now: Now) -> bool {
        let ready = self.entry.as_ref().is_some_and(|e| !e.draining);
        let answers = !self.unanswered && self.reachable(now);
        ready && self.listed && !self.replaced && answers && self.health.avoid_until <= now.mono
    }

    /// Allocates capacity for a task whose history of lost runs is `losses`. Returns whether none
    /// was allocated before.
    pub(super) fn allocate(
        &mut self,
        id: TaskId,
        attempt: Attempt,
        allocation: Allocation,
        losses: Losses,
    ) -> bool {
        if losses.suspect() {
            self.suspects.insert(id, losses);
        }
        let added = self.tasks.insert((id, attempt), allocation).is_none();
        if added {
            self.used = self.used.add(&allocation.need);
            if allocation.lasts {
                self.lasting = self.lasting.add(&allocation.need);
            }
        }
        added
    }

    /// Frees the capacity of a task, and returns what was allocated.
    pub(super) fn deallocate(&mut self, id: TaskId, attempt: Attempt) -> Option<Allocation> {
        let allocation = self.tasks.remove(&(id, attempt))?;
        self.used = self.used.sub(&allocation.need);
        if allocation.lasts {
            self.lasting = self.lasting.sub(&allocation.need);
        }
        self.suspects.remove(&id);
        self.strays.remove(&(id, attempt));
        Some(allocation)
    }

    /// Its clock at `now`, ms, as far as it is known.
    pub(super) fn clock_at(&self, now: Now) -> Option<u64> {
        let (clock, at) = self.clock?;
        Some(clock + now.mono.saturating_sub(at))
    }

    /// Records an answer that carries the runner's clock.
    pub fn record_answer(&mut self, clock: u64, now: Now) {
        self.last_contact = now.mono;
        self.unanswered_since = None;
        if self.clock.is_none_or(|(c, _)| clock >= c) {
            self.clock = Some((clock, now.mono));
        }
    }

    /// Records a call without an answer.
    pub fn record_no_answer(&mut self, now: Now) {
        self.unanswered = true;
        self.unanswered_since.get_or_insert(now.mono);
    }

    /// The end of a lease up to `end`, local ms, on the runner's clock; an end that has passed stays in
    /// the past. It is recorded, since the order that carries it may take effect even if it is never
    /// answered.
    pub fn extend(&mut self, end: u64) -> Option<u64> {
        let (clock, at) = self.clock?;
        let until = (clock + end).saturating_sub(at);
        self.lease_until = self.lease_until.max(until);
        Some(until)
    }

    /// Records its first answer to this term's polls: the fencing token that it has seen now keeps
    /// earlier leaders from sending leases that end later than `lease_ms` from now.
    pub(super) fn record_inherited_lease(&mut self, clock: u64, lease_ms: u64) {
        if self.clock.is_none() {
            self.lease_until = self.lease_until.max(clock + lease_ms);
        }
    }

    /// Latest end of a lease that was sent, ms of its clock.
    pub(super) fn lease_until(&self) -> u64 {
        self.lease_until
    }

    /// When every lease that was sent there has expired by the slowest clock, local ms: as long as it
    /// has not answered, those of earlier leaders, which end at `prior`.
    pub(super) fn lease_end(&self, prior: u64) -> u64 {
        match self.clock {
            Some((clock, at)) if self.lease_until > 0 => {
                let rest = (self.lease_until + LEASE_MARGIN_MS).saturating_sub(clock);
                at + (rest * 1000).div_ceil(SLOWEST_CLOCK_PERMILLE)
            }
            _ => prior,
        }
    }

    /// Whether a poll of this term was answered or has failed, or no poll can be sent.
    fn was_polled(&self) -> bool {
        self.clock.is_some() || self.poll_failed || self.call().is_none()
    }

    fn lease_expired(&self, now: Now, prior: u64) -> bool {
        now.mono > self.lease_end(prior)
    }
}

/// Whether the effect of a completion is stored with revision `rev` of its job.
fn effect(
    jobs: &BTreeMap<JobId, Job>,
    held: &BTreeMap<JobId, HeldJob>,
    id: JobId,
    rev: u64,
) -> Effect {
    match jobs.get(&id) {
        _ if held.contains_key(&id) => Effect::Held,
        Some(job) if job.stored < rev => Effect::Pending,
        _ => Effect::Stored,
    }
}

impl Engine {
    /// Number up to which completions of a runner may be acknowledged.
    pub(super) fn acknowledgeable(&mut self, k: RunnerKey) -> u64 {
        let (jobs, held, settle_ms) = (&self.jobs, &self.held, self.rules.settle_ms());
        let effect = |id: JobId, rev: u64| effect(jobs, held, id, rev);
        self.runners.get_mut(k).completions.acknowledge(effect, settle_ms)
    }

    /// Polls every runner whose next poll is due.
    pub(super) fn poll_runners(&mut self, now: Now) {
        let (fence, settle_ms) = (self.fence, self.rules.settle_ms());
        let lease_end = self.next_lease_end();
        let (jobs, held) = (&self.jobs, &self.held);
        let effect = |id: JobId, rev: u64| effect(jobs, held, id, rev);
        let mut acts = Vec::new();
        for (k, r) in self.runners.iter_mut() {
            let needed = r.listed || r.announced.is_some() || !r.tasks.is_empty();
            if r.polling || r.replaced || !needed || r.next_poll > now.mono {
                continue;
            }
            let Some(to) = r.call() else { continue };
            let acked = r.completions.acknowledge(effect, settle_ms);
            // The first poll only reads the runner's clock. A poll after a failed one does not
            // extend the lease either: it may take effect at a runner that receives calls and whose
            // answers are lost, and leases that are sent repeatedly to an unreachable runner would
            // never expire.
            let until = if r.unanswered { None } else { r.extend(lease_end) };
            // Numbers of completions start anew with each incarnation, and the poll may reach another
            // than the last one did, also because this leader was frozen since: only what the last
            // answer listed is acknowledged, and only soon after it.
            let recent = r.polled_at + MAX_ACK_AGE_MS >= now.mono;
            let same_life = !r.unanswered && r.lists_completions && recent;
            let acked = if same_life { acked } else { 0 };
            let idle = r.tasks.is_empty() && r.completions.all_acked();
            let wait_ms = match until {
                None => 0,
                Some(_) if idle => IDLE_POLL_WAIT_MS,
                Some(_) => POLL_WAIT_MS,
            };
            let settles_in = r.recheck_at.zip(r.clock_at(now));
            let wait_ms = settles_in
                .map_or(wait_ms, |(at, clock)| wait_ms.min((at + 1).saturating_sub(clock)));
            r.wait_ms = wait_ms.max(POLL_WAIT_MS);
            r.polling = true;
            let poll = PollRequest { fence, acked, until, wait_ms };
            acts.push(Action::Poll { runner: k, to, poll });
        }
        self.acts.append(&mut acts);
    }

    /// Another runner answers at the runner's address: all its runs are lost. If the registry has shown
    /// another incarnation since, the answer may have come from the former address, and the answer to
    /// a poll of the new one tells.
    pub(super) fn runner_replaced(&mut self, k: RunnerKey, now: Now) {
        if self.runners.get(k).announced.is_some() {
            return;
        }
        if !self.runners.get(k).replaced {
            log::info!(runner = self.runners.get(k).id, tasks = self.runners.get(k).tasks.len();
                "runner replaced by another life");
        }
        self.runners.get_mut(k).replaced = true;
        self.lose_all(k, Loss::OtherIncarnation, now);
    }

    /// End of the leases that are sent now, local ms. It may have passed: then nothing is started.
    pub(super) fn next_lease_end(&self) -> u64 {
        self.renewed_at + self.rules.lease_ms
    }

    /// Marks the runs on runners whose leases have expired as lost. A runner that a new leader has not
    /// polled yet may list completions of them.
    pub(super) fn expire_leases(&mut self, now: Now) {
        let prior = self.prior_end;
        let due: Vec<RunnerKey> = self
            .runners
            .iter()
            .filter(|(_, r)| !r.tasks.is_empty() && r.was_polled() && r.lease_expired(now, prior))
            .map(|(k, _)| k)
            .collect();
        for k in due {
            let r = self.runners.get(k);
            log::warn!(runner = r.id, tasks = r.tasks.len(),
                silent_ms = now.mono - r.last_contact;
                "lease over: tasks written off");
            self.lose_all(k, Loss::LeaseOver, now);
        }
    }
}
