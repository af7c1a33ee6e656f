//! Checks what the runners see against the rules TWICE, LIMIT, BUDGET and LOST.

use std::collections::BTreeMap;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Two runs of a task at once, or a start after a run whose completion counts.
    Twice,
    /// A start beyond the capacity of its runner.
    Limit,
    /// A start after the permitted number of failed runs, whose completions count.
    Budget,
    /// An accepted job has nothing running for [`STANDING_MS`] though a task of it could run.
    Lost,
}

/// Time for which a job that could run may have nothing running, ms.
const STANDING_MS: u128 = 3_000;

/// Time from the last fault until the time of a job without runs counts, ms: leases of 8 s and a
/// takeover may pass before.
pub const CALM_MS: u64 = 12_000;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
    /// With its runner; no completion is listed.
    Crashed,
}

impl How {
    /// Name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
            Self::Crashed => "crashed",
        }
    }
}

/// Whether a completion was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ack {
    Pending,
    Done,
    /// The lease of its runner has lapsed before, or its runner is gone.
    Void,
}

/// Index of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunKey(usize);

struct Run {
    task: String,
    text: String,
    end: Option<How>,
    ack: Ack,
    /// Whether its completion was in an answer: the scheduler may know of it.
    is_told: bool,
}

/// State of a task, as far as its runs may count.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    pub is_active: bool,
    pub is_done: bool,
    /// Number of failed runs.
    pub failed: usize,
}

/// A start that breaks a rule if at least `least` of the completions of `prior` are acknowledged.
struct Candidate {
    violation: Violation,
    prior: Vec<RunKey>,
    least: usize,
}

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    /// Time of the start, or when a job has stood still for too long, Unix ms.
    pub at: u128,
    pub text: String,
}

/// Record of all runs.
#[derive(Default)]
pub struct Judge {
    runs: Vec<Run>,
    by_task: BTreeMap<String, Vec<RunKey>>,
    violations: Vec<Violation>,
    candidates: Vec<Candidate>,
    /// Since when each job that could run has nothing running, and whether that is reported.
    standing: BTreeMap<String, (Instant, bool)>,
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

impl Judge {
    /// Number of runs so far.
    pub fn starts(&self) -> usize {
        self.runs.len()
    }

    /// Records a start. `max_fails` is the number of failed runs that the task may have, if that is
    /// limited; `over` tells by how much the runner's capacity is exceeded.
    pub fn started(
        &mut self,
        (task, attempt, runner): (&str, u64, &str),
        max_fails: usize,
        over: Option<String>,
    ) -> RunKey {
        let text = format!("{task} attempt {attempt} on {runner}");
        let violation =
            |rule, why: String| Violation { rule, at: unix_ms(), text: format!("{text}: {why}") };
        let earlier = self.by_task.entry(task.to_string()).or_default().clone();
        let of = |k: &RunKey| &self.runs[k.0];
        let mut found = Vec::new();
        if let Some(k) = earlier.iter().find(|k| of(k).end.is_none()) {
            found.push(violation(Rule::Twice, format!("beside {}", of(k).text)));
        } else {
            let valid = |k: &&RunKey, how| of(k).end == Some(how) && of(k).ack != Ack::Void;
            let done = earlier.iter().copied().filter(|k| valid(&k, How::Done)).collect::<Vec<_>>();
            let failed: Vec<_> =
                earlier.iter().copied().filter(|k| valid(&k, How::Failed)).collect();
            for (rule, prior, least) in
                [(Rule::Twice, done, 1), (Rule::Budget, failed, max_fails.max(1))]
            {
                if prior.len() >= least {
                    let prior_text: Vec<&str> = prior.iter().map(|k| of(k).text.as_str()).collect();
                    let violation = violation(rule, format!("after {}", prior_text.join(", ")));
                    self.candidates.push(Candidate { violation, prior, least });
                }
            }
        }
        if let Some(over) = over {
            found.push(violation(Rule::Limit, over));
        }
        self.violations.append(&mut found);
        let key = RunKey(self.runs.len());
        self.runs.push(Run {
            task: task.to_string(),
            text,
            end: None,
            ack: Ack::Pending,
            is_told: false,
        });
        self.by_task.entry(self.runs[key.0].task.clone()).or_default().push(key);
        key
    }

    /// Records the end of a run.
    pub fn ended(&mut self, run: RunKey, how: How) {
        self.runs[run.0].end = Some(how);
    }

    /// Records that the completion of a run is in an answer.
    pub fn told(&mut self, run: RunKey) {
        self.runs[run.0].is_told = true;
    }

    /// Records that the completion of a run is acknowledged.
    pub fn acknowledged(&mut self, run: RunKey) {
        let ack = &mut self.runs[run.0].ack;
        if *ack == Ack::Pending {
            *ack = Ack::Done;
        }
    }

    /// Records that the completion of a run does not count, unless it was acknowledged before.
    pub fn void(&mut self, run: RunKey) {
        let ack = &mut self.runs[run.0].ack;
        if *ack == Ack::Pending {
            *ack = Ack::Void;
        }
    }

    /// State of a task.
    pub fn task(&self, task: &str) -> Task {
        let runs = self.by_task.get(task).into_iter().flatten().map(|k| &self.runs[k.0]);
        let runs: Vec<&Run> = runs.filter(|r| r.ack != Ack::Void || r.is_told).collect();
        let count = |end| runs.iter().filter(|r| r.end == end).count();
        Task {
            is_active: count(None) > 0,
            is_done: count(Some(How::Done)) > 0,
            failed: count(Some(How::Failed)),
        }
    }

    /// Records which jobs that could run have nothing running at present, each with a text.
    pub fn sampled(&mut self, standing: BTreeMap<String, String>, now: Instant) {
        self.standing.retain(|id, _| standing.contains_key(id));
        for (id, why) in standing {
            let (since, reported) = self.standing.entry(id).or_insert((now, false));
            let ms = now.duration_since(*since).as_millis();
            if ms >= STANDING_MS && !std::mem::replace(reported, true) {
                let text = format!("{why}, nothing has run for {ms} ms");
                self.violations.push(Violation { rule: Rule::Lost, at: unix_ms(), text });
            }
        }
    }

    /// All broken rules.
    pub fn violations(&self) -> Vec<Violation> {
        let acked = |k: &&RunKey| self.runs[k.0].ack == Ack::Done;
        let broken = |c: &&Candidate| c.prior.iter().filter(acked).count() >= c.least;
        let late = self.candidates.iter().filter(broken).map(|c| c.violation.clone());
        self.violations.iter().cloned().chain(late).collect()
    }
}
