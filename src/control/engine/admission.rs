//! The leader's part of admission by backlog: what waits, and how fast it is served, for each queue.
//!
//! Instances decide on submissions by a [`State`] that the leader computes every
//! [`INTERVAL_MS`] in one pass over the open steps, and sends to them. Nothing is stored: a new
//! leader limits no queue until it has measured for [`WINDOW_MS`].

use super::plan::StepView;
use super::runners::Allocation;
use super::teams::{TeamKey, TeamUse};
use super::{Engine, Now, RunnerKey};
use crate::control::model::{Catalogue, Queue, StepId};
use crate::control::policy::admission::{self, Line, QueueState, State, TeamState, Wait};
use crate::control::policy::backlog::{Backlog, Flow, Service, Waiting};
use crate::control::policy::run_times::RunTimes;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Interval between two computations, ms: short against the objectives of jobs, and long enough that
/// a pass over some thousand steps takes a small part of it.
const INTERVAL_MS: u64 = 250;

/// Time over which placements and freed capacity are averaged, ms.
const WINDOW_MS: u64 = 2_000;

/// A state is sent at least this often, ms: instances discard it after 1.5 s.
const RESEND_MS: u64 = 1_000;

/// Capacities of runners are sent once the leader has been elected for this long, ms: by then it has
/// read the registry.
const SETTLED_MS: u64 = 5_000;

/// A team is at its cap while less than this share of it is free, as a divisor.
const CAP_DIVISOR: u64 = 10;

/// Nothing is rejected for this long after a failed call to the store, ms. A submission without an
/// answer may be applied that much later, and the caller of a rejected one is told that it never runs.
pub const HOLD_MS: u64 = 6_000;

/// Most queues in a state, those with jobs first: a catalogue may have thousands, and the state is
/// sent to every instance each second.
const MAX_QUEUES: usize = 64;

/// Measurements, and the last state.
#[derive(Debug, Default)]
pub(super) struct AdmissionTracker {
    /// Since when [`Self::current`] counts, local ms.
    since: u64,
    /// Changes by service since the last computation.
    current: BTreeMap<String, Flow>,
    /// Changes of the last [`WINDOW_MS`], each with its begin, local ms.
    window: VecDeque<(u64, BTreeMap<String, Flow>)>,
    state: Arc<State>,
    /// Nothing is rejected before this time, local ms.
    held_until: u64,
    /// The state that was sent last, and when, local ms.
    sent: Option<(u64, Arc<State>)>,
}

impl AdmissionTracker {
    fn flow(&mut self, service: &str) -> &mut Flow {
        if !self.current.contains_key(service) {
            self.current.insert(service.to_string(), Flow::default());
        }
        self.current.get_mut(service).expect("inserted above")
    }

    /// Closes the current interval. Returns the changes of the window by service, per ms.
    fn close(&mut self, now: u64) -> BTreeMap<String, Flow> {
        self.window.push_back((self.since, std::mem::take(&mut self.current)));
        self.since = now;
        while self.window.front().is_some_and(|(since, _)| since + WINDOW_MS < now) {
            self.window.pop_front();
        }
        let began = self.window.front().map_or(now, |(since, _)| *since);
        let ms = now.saturating_sub(began);
        let mut out: BTreeMap<String, Flow> = BTreeMap::new();
        for (service, flow) in self.window.iter().flat_map(|(_, flows)| flows) {
            out.entry(service.clone()).or_default().add(flow);
        }
        out.values_mut().for_each(|flow| *flow = flow.per_ms(ms));
        out
    }
}

fn set_gauge(queue: &str, wait_ms: u64) {
    metrics::gauge!("control_admission_wait_seconds", "queue" => queue.to_string())
        .set(wait_ms as f64 / 1_000.0);
}

fn log_change(queue: &str, team: &str, who: &str, was: Wait, is: Wait, line: &Line) {
    if was.limited != is.limited {
        log::info!(queue = queue, team = team, who = who, limited = is.limited, wait_ms = is.ms,
            was_ms = was.ms, ahead = line.ahead as u64, recent = line.recent as u64,
            ahead_late = line.ahead_late as u64, rate = line.rate; "admission of a queue changed");
    }
}

impl Engine {
    /// Records the placement of a task.
    pub(super) fn record_placed(&mut self, v: &StepView<'_>) {
        if !self.rules.features.overload_control {
            return;
        }
        let model = self.run_times.get(&v.queue.name).copied().unwrap_or_default();
        let work = v.step.demand().cpu as f64 * model.predict(v.step.estimate) as f64;
        let excess = self.jobs.get(&v.id.job).is_some_and(|job| job.excess);
        let flow = self.admission.flow(&v.queue.service);
        match excess {
            true => flow.placed_excess += work,
            false => flow.placed += work,
        }
    }

    /// Records that capacity of a runner became free.
    pub(super) fn record_freed(&mut self, k: RunnerKey, allocation: &Allocation) {
        let entry = self.runners.get(k).entry.as_ref();
        if let Some(entry) = entry.filter(|_| self.rules.features.overload_control) {
            self.admission.flow(&entry.service).freed += allocation.need.cpu as f64;
        }
    }

    /// Resets the metrics at the end of the term: the successor shows them from now on.
    pub fn reset_admission_metrics(&self) {
        self.admission.state.queues.keys().for_each(|queue| set_gauge(queue, 0));
    }

    /// Has nothing rejected for [`HOLD_MS`]. Called while a call to the store has lately failed
    /// here or at another instance.
    pub fn hold_admission(&mut self, now: Now) {
        if self.admission.held_until <= now.mono && self.rules.features.overload_control {
            log::info!(hold_ms = HOLD_MS; "no jobs rejected: submissions may be stored late");
        }
        self.admission.held_until = now.mono + HOLD_MS;
    }

    /// The state that instances decide by, if it is to be sent to them now.
    pub fn admission_due(&mut self, now: Now) -> Option<Arc<State>> {
        let computed = self.admission.since;
        if !self.rules.features.overload_control || now.mono < computed + INTERVAL_MS {
            return None;
        }
        let flows = self.admission.close(now.mono);
        let state = Arc::new(self.admission_state(&flows, now));
        self.admission.state = state.clone();
        let due = self
            .admission
            .sent
            .as_ref()
            .is_none_or(|(at, last)| now.mono >= at + RESEND_MS || state.differs(last));
        if due {
            self.admission.sent = Some((now.mono, state.clone()));
        }
        due.then_some(state)
    }

    fn admission_state(&self, flows: &BTreeMap<String, Flow>, now: Now) -> State {
        if self.admission.held_until > now.mono {
            return State::default();
        }
        let cat = self.cat.clone();
        let backlog = self.admission_backlog(&cat, flows, now);
        let last = &self.admission.state;
        let ms = now.mono.saturating_sub(self.elected_at);
        let mut state = State::default();
        // Queues with jobs come first.
        let used = |q: &&Queue| {
            self.run_times.contains_key(&q.name) || backlog.typical.contains_key(q.name.as_str())
        };
        let (used, unused): (Vec<_>, Vec<_>) = cat.queues.values().partition(used);
        for queue in used.into_iter().chain(unused).take(MAX_QUEUES) {
            let service = &backlog.services[queue.service.as_str()];
            let was = last.queues.get(&queue.name).cloned().unwrap_or_default();
            let model = self.run_times.get(&queue.name).copied().unwrap_or_default();
            let mut is = QueueState {
                fit: model.fit(),
                advice_ms: super::forecast::advice_ms(queue),
                ..QueueState::default()
            };
            if ms >= SETTLED_MS {
                is.largest = admission::largest(service.capacities.iter().copied());
            }
            if ms >= WINDOW_MS && service.full(self.kept_permille(queue, service, now)) {
                let (within, beyond) =
                    (backlog.within(queue, service), backlog.beyond(queue, service));
                is.wait = backlog.wait(queue, &within, was.wait);
                is.excess = backlog.wait(queue, &beyond, was.excess);
                log_change(&queue.name, "", "within share", was.wait, is.wait, &within);
                log_change(&queue.name, "", "beyond share", was.excess, is.excess, &beyond);
            } else {
                let none = Line::default();
                log_change(&queue.name, "", "within share", was.wait, is.wait, &none);
                log_change(&queue.name, "", "beyond share", was.excess, is.excess, &none);
            }
            set_gauge(&queue.name, is.wait.ms);
            state.queues.insert(queue.name.clone(), is);
        }
        for (k, team) in self.teams() {
            let was = last.teams.get(&team.name).is_some_and(|t| t.excess);
            let excess = team.beyond_share(was, now.wall);
            let capped = ms >= WINDOW_MS && backlog.capped.contains(&k);
            let mut is = TeamState { excess, ..TeamState::default() };
            for queue in cat.queues.values().filter(|_| capped) {
                let service = &backlog.services[queue.service.as_str()];
                if !service.full(self.kept_permille(queue, service, now)) {
                    continue;
                }
                let rate = team.used.cpu.max(team.cap.cpu);
                let line = backlog.capped(queue, k, rate);
                let was = last.teams.get(&team.name).and_then(|t| t.cap.get(&queue.name).copied());
                let was = was.unwrap_or_default();
                let wait = backlog.wait(queue, &line, was);
                log_change(&queue.name, &team.name, "at its cap", was, wait, &line);
                if wait.limited {
                    is.cap.insert(queue.name.clone(), wait);
                }
            }
            if excess || !is.cap.is_empty() {
                state.teams.insert(team.name.clone(), is);
            }
        }
        state
    }

    /// Capacity of a service that steps of a queue may not use, in thousandths.
    fn kept_permille(&self, queue: &Queue, service: &Service, now: Now) -> u64 {
        match queue.priority {
            0 => 0,
            _ => self.headroom_permille(&queue.service, service.total, now),
        }
    }

    fn admission_backlog<'a>(
        &'a self,
        cat: &'a Catalogue,
        flows: &BTreeMap<String, Flow>,
        now: Now,
    ) -> Backlog<'a, TeamKey> {
        let at_cap = |(_, team): &(TeamKey, &TeamUse)| {
            let limits = [(team.cap.cpu, team.room().cpu), (team.cap.mem, team.room().mem)];
            limits.iter().any(|(cap, room)| *cap > 0 && room * CAP_DIVISOR < *cap)
        };
        let mut backlog = Backlog {
            waiting: Vec::with_capacity(self.open.len()),
            typical: BTreeMap::new(),
            services: self.admission_services(cat, flows, now),
            capped: self.teams().filter(at_cap).map(|(k, _)| k).collect(),
            gang_wait: self.gang_capacity_wait(),
            now: now.wall,
        };
        for id in &self.open {
            if let Some(w) = self.admission_step(cat, *id, backlog.gang_wait, now) {
                let typical = backlog.typical.entry(w.queue).or_default();
                let job = &self.jobs[&id.job];
                typical.steps += 1;
                typical.gangs += u64::from(w.gang);
                typical.chain_ms += job.longest;
                typical.objective_ms += job.objective(&cat.queues[w.queue]);
                backlog.waiting.push(w);
            }
        }
        for job in backlog.typical.values_mut() {
            job.chain_ms /= job.steps;
            job.objective_ms /= job.steps;
        }
        backlog
    }

    /// An open step; `None` if it cannot earn anything any more, cannot be placed, or if its tasks do
    /// not end.
    fn admission_step<'a>(
        &'a self,
        cat: &'a Catalogue,
        id: StepId,
        gang_wait: u64,
        now: Now,
    ) -> Option<Waiting<'a, TeamKey>> {
        let job = self.jobs.get(&id.job).filter(|_| !self.is_unplaceable(id))?;
        let queue = cat.queues.get(&job.row.queue)?;
        let rank = self.rank(id, gang_wait, now).filter(|r| !r.no_value)?;
        let step = job.spec(id);
        let count = self.waiting(id);
        let model = self.run_times.get(&queue.name).copied().unwrap_or_default();
        (count > 0 && !step.lasts).then(|| Waiting {
            queue: &queue.name,
            service: &queue.service,
            team: job.team,
            urgent: !rank.non_urgent,
            excess: rank.excess,
            gang: step.gang,
            late: rank.late,
            latest_start: rank.latest_start,
            cpu: (step.demand().cpu * count as u64) as f64,
            run_ms: model.predict(step.estimate) as f64,
        })
    }

    fn admission_services<'a>(
        &self,
        cat: &'a Catalogue,
        flows: &BTreeMap<String, Flow>,
        now: Now,
    ) -> BTreeMap<&'a str, Service> {
        let mut out: BTreeMap<&str, Service> = BTreeMap::new();
        for queue in cat.queues.values() {
            let service = out.entry(&queue.service).or_default();
            let typical = self.run_times.get(&queue.name).map_or(0, RunTimes::typical);
            service.run_ms = service.run_ms.max(typical);
            service.flow = flows.get(&queue.service).copied().unwrap_or_default();
        }
        for (_, r) in self.runners.iter().filter(|(_, r)| r.listed && !r.replaced) {
            for entry in r.entry.iter().chain(&r.announced) {
                if let Some(service) = out.get_mut(entry.service.as_str()) {
                    service.capacities.push(entry.capacity);
                }
            }
            let entry = r.entry.as_ref().filter(|_| r.usable(now));
            if let Some(service) = entry.and_then(|e| out.get_mut(e.service.as_str())) {
                service.total += r.capacity().cpu;
                service.free += r.free().cpu;
            }
        }
        out
    }
}
