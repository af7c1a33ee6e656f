//! Advice requests: which runners may run a step.
//!
//! Approval of a runner for a step never changes, only its ticket expires. Approved and denied
//! runners are therefore kept, and for a step that waited a new request names only approved runners
//! that have free capacity now.

use super::{Action, Engine, Now, RunnerKey};
use crate::control::model::StepId;
use crate::control::partitions::Partition;
use crate::control::ports::{Advice, AdviceError};
use crate::kernel::res::Resources;
use std::collections::BTreeMap;
use xxhash_rust::xxh3;

/// When a placement is decided, its ticket must be valid for this much longer than storing takes,
/// ms: covers the delay of the start, and of rounds that take long under load.
const TICKET_MARGIN_MS: u64 = 250;

/// Upper bound of the storing time in the margin of a ticket, ms: half of a ticket's validity.
const MAX_STORING_MARGIN_MS: u64 = 1_000;

/// Delay before a request is repeated after a failure, ms; doubles with each further refusal.
/// Requests that are refused because the service is busy would add to its load if all were repeated
/// together.
const ADVICE_RETRY_MS: u64 = 200;

/// Maximum number of doublings of [`ADVICE_RETRY_MS`]: 3.2 s, several times the longest request.
const ADVICE_RETRY_DOUBLINGS: u32 = 4;

/// Delay of the next request for a step after `refusals` consecutive refusals, ms: between half and
/// all of the doubled [`ADVICE_RETRY_MS`]. It is derived from a hash of the job id, so that
/// requests refused together are not repeated together.
fn backoff(step: StepId, refusals: u32) -> u64 {
    let wait = ADVICE_RETRY_MS << refusals.saturating_sub(1).min(ADVICE_RETRY_DOUBLINGS);
    let hash = xxh3::xxh3_64(&(step.job.0 ^ u64::from(refusals)).to_le_bytes());
    wait / 2 + hash % (wait / 2 + 1)
}

/// Maximum service time of pending requests for non-urgent steps, for each connection, ms: one of a
/// gang's requests, or a few others. More requests would only queue, all of them for longer than a
/// reservation or a ticket is valid, and would have to be repeated. Steps wait in order of rank
/// instead.
const PENDING_MS_PER_CONNECTION: f64 = 900.0;

/// Share of [`PENDING_MS_PER_CONNECTION`] that gangs' requests may take. They are long and come
/// first by rank: without a share of their own, other non-urgent steps would wait as long as there
/// are gangs to request advice for.
const GANG_SHARE: f64 = 0.75;

/// Maximum number of runners that the service accepts in one request.
pub const MAX_NAMED: usize = 100;

/// Kind of an advice request: decides how many requests may be pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// For a step of an urgent queue; never held back.
    Urgent,
    /// For a gang of a non-urgent queue.
    Gang,
    /// For another step of a non-urgent queue.
    Other,
}

/// Pending requests for a step.
#[derive(Clone, Copy, Debug)]
struct PendingRequests {
    kind: Kind,
    count: u32,
    /// Time that the service takes for all of them, ms.
    cost: f64,
}

/// All pending requests.
#[derive(Debug, Default)]
pub(super) struct AdviceRequests {
    by_step: BTreeMap<StepId, PendingRequests>,
    /// Runners named in requests for steps of single tasks, and the capacity that each is expected
    /// to lose to the step.
    demands: BTreeMap<StepId, (Vec<RunnerKey>, Resources)>,
    /// Number of steps with pending requests, by partition and whether their queue is non-urgent.
    steps: BTreeMap<(Partition, bool), usize>,
    /// Service time of pending requests for gangs of non-urgent queues, ms.
    gangs: f64,
    /// Service time of pending requests for other steps of non-urgent queues, ms.
    others: f64,
}

/// Key by which steps with pending requests are counted.
fn key(step: StepId, kind: Kind) -> (Partition, bool) {
    (Partition::of(step.job), kind != Kind::Urgent)
}

impl AdviceRequests {
    /// Adds to the service time of the pending requests of a kind.
    fn add_cost(&mut self, kind: Kind, cost: f64) {
        match kind {
            Kind::Urgent => {}
            Kind::Gang => self.gangs += cost,
            Kind::Other => self.others += cost,
        }
    }

    fn add_request(&mut self, step: StepId, kind: Kind, cost: f64) {
        let pending =
            self.by_step.entry(step).or_insert(PendingRequests { kind, count: 0, cost: 0.0 });
        if pending.count == 0 {
            *self.steps.entry(key(step, kind)).or_default() += 1;
        }
        pending.count += 1;
        pending.cost += cost;
        self.add_cost(kind, cost);
    }

    fn remove_request(&mut self, step: StepId) {
        let Some(pending) = self.by_step.get_mut(&step) else { return };
        let (kind, cost) = (pending.kind, pending.cost / f64::from(pending.count));
        pending.count -= 1;
        pending.cost -= cost;
        if pending.count == 0 {
            self.by_step.remove(&step);
            self.steps.entry(key(step, kind)).and_modify(|n| *n -= 1);
        }
        self.add_cost(kind, -cost);
        if self.by_step.is_empty() {
            // Removes accumulated rounding errors.
            (self.gangs, self.others) = (0.0, 0.0);
        }
    }

    /// Records the capacity that a step is expected to use on the runners named in its request.
    pub fn record_demand(&mut self, step: StepId, named: Vec<RunnerKey>, each: Resources) {
        self.demands.insert(step, (named, each));
    }

    /// Removes the record of an answered request and returns the runners named, with the capacity
    /// that was recorded for each.
    fn take_demand(&mut self, step: StepId) -> impl Iterator<Item = (RunnerKey, Resources)> {
        let (named, each) = self.demands.remove(&step).unwrap_or_default();
        named.into_iter().map(move |k| (k, each))
    }

    /// Number of steps of a partition with pending requests, of non-urgent queues or of urgent
    /// ones.
    pub fn steps(&self, partition: Partition, non_urgent: bool) -> usize {
        self.steps.get(&(partition, non_urgent)).copied().unwrap_or(0)
    }

    /// Whether another request of this kind would only wait for one of `connections` connections.
    fn full(&self, kind: Kind, connections: usize) -> bool {
        let limit = PENDING_MS_PER_CONNECTION * connections as f64;
        let all_full = self.gangs + self.others >= limit;
        let full = match kind {
            Kind::Urgent => false,
            Kind::Gang => all_full || self.gangs >= limit * GANG_SHARE,
            Kind::Other => all_full && self.others >= limit * (1.0 - GANG_SHARE),
        };
        connections > 0 && full
    }
}

/// Weight of a new answer in a queue's approval rate, per mille: averages over some ten answers.
const APPROVAL_RATE_WEIGHT: u64 = 100;

/// Approval rate assumed before the first answer, per mille: low, so that enough runners are named.
const INITIAL_APPROVAL_RATE: u64 = 300;

/// Share of the named runners that a queue's policy approves, per mille.
#[derive(Clone, Copy, Debug)]
pub struct ApprovalRate(u64);

impl Default for ApprovalRate {
    fn default() -> Self {
        Self(INITIAL_APPROVAL_RATE)
    }
}

impl ApprovalRate {
    fn record(&mut self, named: usize, approved: usize) {
        let latest = (approved as u64 * 1000).checked_div(named as u64).unwrap_or(self.0);
        self.0 = (self.0 * (1000 - APPROVAL_RATE_WEIGHT) + latest * APPROVAL_RATE_WEIGHT) / 1000;
    }

    /// Average number of approved runners out of `n`.
    pub fn expected(self, n: u64) -> u64 {
        n * self.0 / 1000
    }

    /// Number of runners to name so that `n` are probably approved: one and a half times the
    /// average need, and two more.
    pub fn runners_to_name(self, n: usize) -> usize {
        (n as u64 * 1500).div_ceil(self.0.max(50)) as usize + 2
    }
}

impl Engine {
    /// Whether another request of this kind would only wait for a connection.
    pub(super) fn connections_busy(&self, kind: Kind) -> bool {
        self.advice_requests.full(kind, self.advice_connections)
    }

    /// Requests advice about runners for a step.
    pub(super) fn send_advice_request(
        &mut self,
        step: StepId,
        runners: &[RunnerKey],
        kind: Kind,
        cost: f64,
        now: Now,
    ) {
        let ids: Vec<String> = runners.iter().map(|k| self.runners.get(*k).id.clone()).collect();
        let Some(s) = self.step_mut(step) else { return };
        s.approvals.pending += 1;
        let waited = now.mono.saturating_sub(s.opened);
        self.advice_requests.add_request(step, kind, cost);
        self.counts.asks += 1;
        log::info!(step:% = step, runners = ids.len(), cost_ms = cost, waited_ms = waited;
            "advice asked");
        self.acts.push(Action::RequestAdvice {
            step,
            runners: runners.to_vec(),
            ids,
            cost_ms: cost,
        });
    }

    /// Validity that a ticket must have left when a placement of a step is decided, ms. A placement
    /// with less would expire while it is stored, and its ticket would have to be requested again.
    pub(super) fn ticket_margin(&self, step: StepId) -> u64 {
        TICKET_MARGIN_MS
            + self.store_backlog.commit_ms(Partition::of(step.job)).min(MAX_STORING_MARGIN_MS)
            + self.order_backlog.wait_ms() as u64
    }

    /// Handles the advice service's answer to a request that named `runners`. A ticket is valid for
    /// one incarnation of its runner: if another has replaced it meanwhile, the ticket is not used.
    pub fn advice_received(
        &mut self,
        step: StepId,
        runners: &[RunnerKey],
        res: Result<Advice, AdviceError>,
        now: Now,
    ) {
        self.advice_requests.remove_request(step);
        for (k, each) in self.advice_requests.take_demand(step) {
            let r = self.runners.get_mut(k);
            r.anticipated = r.anticipated.sub(&each);
        }
        let Some(job) = self.jobs.get(&step.job) else { return };
        let queue = job.row.queue.clone();
        let approval = self.cat.queues.get(&queue).and_then(|q| q.approval);
        let default_valid = approval.map_or(0, |a| a.valid_ms);
        let named: BTreeMap<&str, RunnerKey> =
            runners.iter().map(|k| (self.runners.get(*k).id.as_str(), *k)).collect();
        let approved = res.iter().flat_map(|a| &a.approved);
        let tickets: Vec<(RunnerKey, String)> =
            approved.filter_map(|t| Some((*named.get(t.id.as_str())?, t.ticket.clone()))).collect();
        if let Ok(advice) = &res {
            let rate = self.approval_rates.entry(queue).or_default();
            rate.record(runners.len(), advice.approved.len());
        }
        if self.deferral.record_answer(step) {
            self.updated.insert(step);
        }
        let Some(s) = self.step_mut(step) else { return };
        let a = &mut s.approvals;
        a.pending = a.pending.saturating_sub(1);
        match res {
            Ok(advice) => {
                let valid = if advice.valid_ms > 0 { advice.valid_ms } else { default_valid };
                let end = now.mono + valid;
                log::info!(step:% = step, asked = runners.len(), approved = advice.approved.len(),
                    valid_ms = valid; "advice given");
                a.refusals = 0;
                a.denied.extend(runners.iter().filter(|k| !a.tickets.contains_key(k)));
                for (k, ticket) in tickets {
                    a.denied.remove(&k);
                    a.tickets.insert(k, (ticket, end));
                }
            }
            Err(e) => {
                // A broken connection is no sign of load: the link server prefers others meanwhile.
                a.refusals = if e == AdviceError::Busy { a.refusals + 1 } else { 0 };
                let wait = backoff(step, a.refusals);
                a.retry_at = now.mono + wait;
                log::warn!(step:% = step, refusals = a.refusals, retry_ms = wait, why:% = e;
                    "no advice");
            }
        }
    }
}
