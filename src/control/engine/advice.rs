//! Asking which runners may run a step.
//!
//! What is approved for a step never changes, only tickets run out: approved and denied runners
//! are remembered, and a step that waited is asked about anew only for approved runners that have
//! room now.

use super::{Action, Engine, Now, RunnerKey};
use crate::control::model::StepId;
use crate::control::parts::Part;
use crate::control::ports::{Advice, AdviceError, Ticket};
use crate::kernel::res::Resources;
use std::collections::BTreeMap;
use xxhash_rust::xxh3;

/// A ticket must be good for this much longer than storing takes when a placement is decided, ms: the
/// way of the start, and rounds that take long under load.
const TICKET_MARGIN_MS: u64 = 250;

/// Longest time of storing that is allowed for, ms: half of a ticket's life.
const STORING_MS: u64 = 1_000;

/// Wait before asking again after a failure, ms; doubles with each further refusal, since questions
/// that are refused because too many wait add to the load if they come again all together.
const RETRY_ASK_MS: u64 = 200;

/// Most doublings of [`RETRY_ASK_MS`]: 3.2 s, several times the longest question.
const RETRY_DOUBLINGS: u32 = 4;

/// When to ask about a step again after `refusals` in a row, ms from now: between half of the wait
/// and all of it, drawn from the step, so that steps refused together do not come back together.
fn backoff(step: StepId, refusals: u32) -> u64 {
    let wait = RETRY_ASK_MS << refusals.saturating_sub(1).min(RETRY_DOUBLINGS);
    let drawn = xxh3::xxh3_64(&(step.job.0 ^ u64::from(refusals)).to_le_bytes());
    wait / 2 + drawn % (wait / 2 + 1)
}

/// Time of the questions about patient steps that may be on their way, for each line, ms: one of a
/// gang's, or a few others. More would only wait, and all questions with them, longer than a booking or
/// a ticket lasts, so that they are asked anew. What waits here goes by rank instead.
const LINE_MS: f64 = 900.0;

/// Part of these that gangs' questions may take. Those are long and come first by rank: without a part
/// of their own other patient steps wait as long as there are gangs to ask about.
const GANGS_PART: f64 = 0.75;

/// Most runners that the service takes in one question.
pub const MOST_NAMED: usize = 100;

/// What a question is about: which lines it may take, and how many of its kind at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A step of an urgent queue: never held back.
    Urgent,
    /// A gang.
    Gang,
    /// Another step.
    Patient,
}

/// Questions about a step that are on their way.
#[derive(Clone, Copy, Debug)]
struct Asked {
    kind: Kind,
    questions: u32,
    /// Time that the service takes for all of them, ms.
    cost: f64,
}

/// All questions that are on their way.
#[derive(Debug, Default)]
pub(super) struct Questions {
    by_step: BTreeMap<StepId, Asked>,
    /// Runners named in questions about steps whose tasks start one by one, and the room that each of
    /// them will lose to it.
    wanted: BTreeMap<StepId, (Vec<RunnerKey>, Resources)>,
    /// Steps that are asked about, by part and whether their queue is patient.
    steps: BTreeMap<(Part, bool), usize>,
    /// Time that the service takes for questions about patient steps that are gangs, ms.
    gangs: f64,
    /// ... and about other patient steps, ms.
    others: f64,
}

/// What steps asked about are counted by.
fn key(step: StepId, kind: Kind) -> (Part, bool) {
    (Part::of(step.job), kind != Kind::Urgent)
}

impl Questions {
    /// Adds to the time of questions of a kind.
    fn add(&mut self, kind: Kind, cost: f64) {
        match kind {
            Kind::Urgent => {}
            Kind::Gang => self.gangs += cost,
            Kind::Patient => self.others += cost,
        }
    }

    fn ask(&mut self, step: StepId, kind: Kind, cost: f64) {
        let asked = self.by_step.entry(step).or_insert(Asked { kind, questions: 0, cost: 0.0 });
        if asked.questions == 0 {
            *self.steps.entry(key(step, kind)).or_default() += 1;
        }
        asked.questions += 1;
        asked.cost += cost;
        self.add(kind, cost);
    }

    fn answered(&mut self, step: StepId) {
        let Some(asked) = self.by_step.get_mut(&step) else { return };
        let (kind, cost) = (asked.kind, asked.cost / f64::from(asked.questions));
        asked.questions -= 1;
        asked.cost -= cost;
        if asked.questions == 0 {
            self.by_step.remove(&step);
            self.steps.entry(key(step, kind)).and_modify(|n| *n -= 1);
        }
        self.add(kind, -cost);
        if self.by_step.is_empty() {
            // Rounding leaves a little.
            (self.gangs, self.others) = (0.0, 0.0);
        }
    }

    /// Notes the room that a step will take of runners named in its question.
    pub fn want(&mut self, step: StepId, named: Vec<RunnerKey>, each: Resources) {
        self.wanted.insert(step, (named, each));
    }

    /// Runners named in a question that is answered, and the room of each that it wanted.
    fn unwanted(&mut self, step: StepId) -> impl Iterator<Item = (RunnerKey, Resources)> {
        let (named, each) = self.wanted.remove(&step).unwrap_or_default();
        named.into_iter().map(move |k| (k, each))
    }

    /// Steps of a part that are asked about, of urgent queues or of patient ones.
    pub fn steps(&self, part: Part, patient: bool) -> usize {
        self.steps.get(&(part, patient)).copied().unwrap_or(0)
    }

    /// Whether another question of this kind would only wait for one of `lines`.
    fn full(&self, kind: Kind, lines: usize) -> bool {
        let most = LINE_MS * lines as f64;
        let all = self.gangs + self.others >= most;
        let full = match kind {
            Kind::Urgent => false,
            Kind::Gang => all || self.gangs >= most * GANGS_PART,
            Kind::Patient => all && self.others >= most * (1.0 - GANGS_PART),
        };
        lines > 0 && full
    }
}

/// Weight of a new answer in a queue's share, per mille: an average over some ten answers.
const SHARE_WEIGHT: u64 = 100;

/// Share assumed before the first answer, per mille: low, so that enough runners are named.
const SHARE_FIRST: u64 = 300;

/// Share of the runners named that a queue's policy approves, per mille.
#[derive(Clone, Copy, Debug)]
pub struct Share(u64);

impl Default for Share {
    fn default() -> Self {
        Self(SHARE_FIRST)
    }
}

impl Share {
    fn note(&mut self, asked: usize, approved: usize) {
        let new = (approved as u64 * 1000).checked_div(asked as u64).unwrap_or(self.0);
        self.0 = (self.0 * (1000 - SHARE_WEIGHT) + new * SHARE_WEIGHT) / 1000;
    }

    /// Of `n`, how many are approved on average.
    pub fn of(self, n: u64) -> u64 {
        n * self.0 / 1000
    }

    /// Runners to name so that `n` are approved in all likelihood: half as many again as would
    /// be on average, and two more.
    pub fn name(self, n: usize) -> usize {
        (n as u64 * 1500).div_ceil(self.0.max(50)) as usize + 2
    }
}

impl Engine {
    /// Whether another question of this kind would only wait for its line.
    pub(super) fn lines_busy(&self, kind: Kind) -> bool {
        self.questions.full(kind, self.lines)
    }

    /// Asks about runners for a step.
    pub(super) fn ask(&mut self, step: StepId, ids: Vec<String>, kind: Kind, cost: f64, now: Now) {
        let Some(s) = self.step_mut(step) else { return };
        s.approvals.asking += 1;
        let waited = now.mono.saturating_sub(s.opened);
        self.questions.ask(step, kind, cost);
        self.counts.asks += 1;
        log::info!(step:% = step, runners = ids.len(), cost_ms = cost, waited_ms = waited;
            "advice asked");
        self.acts.push(Action::Ask { step, ids, cost_ms: cost });
    }

    /// How much longer a ticket must be good when a placement of a step is decided, ms. What is decided
    /// with less is stored in vain, and asked about again.
    pub(super) fn ticket_margin(&self, step: StepId) -> u64 {
        TICKET_MARGIN_MS + self.storing.took(Part::of(step.job)).min(STORING_MS)
    }

    /// The advice service answered about `ids`.
    pub fn advised(
        &mut self,
        step: StepId,
        ids: &[String],
        res: Result<Advice, AdviceError>,
        now: Now,
    ) {
        self.questions.answered(step);
        for (k, each) in self.questions.unwanted(step) {
            let r = self.runners.get_mut(k);
            r.wanted = r.wanted.sub(&each);
        }
        let Some(job) = self.jobs.get(&step.job) else { return };
        let queue = job.row.queue.clone();
        let approval = self.cat.queues.get(&queue).and_then(|q| q.approval);
        let usual = approval.map_or(0, |a| a.valid_ms);
        let keys: Vec<RunnerKey> = ids.iter().map(|id| self.runner_named(id)).collect();
        if let Ok(advice) = &res {
            let share = self.shares.entry(queue).or_default();
            share.note(ids.len(), advice.approved.len());
        }
        let given: Option<Vec<(RunnerKey, String)>> = res.as_ref().ok().map(|a| {
            let keyed = |t: &Ticket| (self.runner_named(&t.id), t.ticket.clone());
            a.approved.iter().map(keyed).collect()
        });
        self.stirred.insert(step);
        let Some(s) = self.step_mut(step) else { return };
        let a = &mut s.approvals;
        a.asking = a.asking.saturating_sub(1);
        match res {
            Ok(advice) => {
                let valid = if advice.valid_ms > 0 { advice.valid_ms } else { usual };
                let end = now.mono + valid;
                log::info!(step:% = step, asked = ids.len(), approved = advice.approved.len(),
                    valid_ms = valid; "advice given");
                a.refusals = 0;
                a.denied.extend(keys.into_iter().filter(|k| !a.tickets.contains_key(k)));
                for (k, ticket) in given.unwrap_or_default() {
                    a.denied.remove(&k);
                    a.tickets.insert(k, (ticket, end));
                }
            }
            Err(e) => {
                // A link that broke says nothing of the service: another one is there at once.
                a.refusals = if e == AdviceError::Busy { a.refusals + 1 } else { 0 };
                let wait = backoff(step, a.refusals);
                a.retry_at = now.mono + wait;
                log::warn!(step:% = step, refusals = a.refusals, retry_ms = wait, why:% = e;
                    "no advice");
            }
        }
    }
}
