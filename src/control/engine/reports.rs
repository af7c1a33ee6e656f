//! Handling of a runner's poll results: its active runs and its completions.

use super::completions::MAX_LISTED;
use super::progress::{self, Progress};
use super::runs::{Stage, StopReason};
use super::{Action, Engine, Now, RunnerKey};
use crate::control::model::{Attempt, EndKind, TaskId};
use crate::control::policy::crashes::Losses;
use crate::control::ports::{ActiveRun, End, Refusal, Report, StopOrder};
use std::collections::{BTreeMap, BTreeSet};

/// Delay after a poll whose completions may be acknowledged by now, ms: they are acknowledged only
/// soon after an answer.
const ACK_DELAY_MS: u64 = 25;

/// Delay after a poll that returned completions that are not stored, or that cannot be decoded, ms.
/// The runner answers such polls at once and lists the same completions again. It is polled as soon
/// as they are stored.
const UNSTORED_DELAY_MS: u64 = 200;

/// Delay after a failed poll, ms.
const POLL_RETRY_MS: u64 = 150;

impl Engine {
    /// Handles the result of a poll. From an answer without lists nothing follows, unless the last one
    /// had none either.
    pub fn polled(&mut self, k: RunnerKey, res: Result<Report, Refusal>, now: Now) {
        let prior = self.prior_end;
        let runner = self.runners.get_mut(k);
        runner.polling = false;
        let unanswered = std::mem::take(&mut runner.unanswered);
        runner.poll_failed = res.is_err();
        if res.is_err() {
            runner.record_no_answer(now);
        }
        match res {
            Ok(report) => {
                if unanswered {
                    log::info!(runner = runner.id, tasks = runner.tasks.len();
                        "runner answers again");
                }
                let k = self.answering_incarnation(k, &report, now);
                let lease_ms = self.rules.lease_ms;
                let runner = self.runners.get_mut(k);
                runner.record_inherited_lease(report.clock, lease_ms);
                runner.record_answer(report.clock, now);
                runner.lists_completions = !report.ends.is_empty();
                runner.polled_at = now.mono;
                let lowest = report.ends.iter().map(|e| e.number).min();
                let unreadable = report.unreadable > 0;
                self.process_report(k, report, now);
                let acknowledgeable = self.acknowledgeable(k);
                let delay = match lowest {
                    None if !unreadable => 0,
                    Some(number) if number <= acknowledgeable => ACK_DELAY_MS,
                    _ => UNSTORED_DELAY_MS,
                };
                let runner = self.runners.get_mut(k);
                runner.next_poll = now.mono + delay;
                for job in runner.completions.unacked_jobs() {
                    self.unacked_on.entry(job).or_default().insert(k);
                }
            }
            Err(why) => {
                runner.next_poll = now.mono + POLL_RETRY_MS;
                match why {
                    Refusal::Fenced => self.record_fenced(k),
                    Refusal::OtherRunner => self.runner_replaced(k, now),
                    _ if unanswered => {}
                    _ => {
                        let lease_ms = runner.lease_end(prior).saturating_sub(now.mono);
                        log::warn!(runner = runner.id, why:% = why, tasks = runner.tasks.len(),
                            lease_ms, answered = runner.clock.is_some();
                            "runner does not answer");
                    }
                }
            }
        }
    }

    fn process_report(&mut self, k: RunnerKey, report: Report, now: Now) {
        let runner = self.runners.get_mut(k);
        let repeated = std::mem::replace(&mut runner.without_lists, report.without_lists);
        if report.without_lists && !repeated {
            return;
        }
        let ended: BTreeSet<(TaskId, Attempt)> =
            report.ends.iter().map(|e| (e.task, e.attempt)).collect();
        let listed = report.ends.len() + report.unreadable;
        let lowest = report.ends.iter().map(|e| e.number).min().unwrap_or(0);
        let completions = &mut self.runners.get_mut(k).completions;
        let shorter = completions.record_answer(report.clock, listed);
        let unchanged_ms = completions.record_lowest(lowest, |job| self.held.contains_key(&job));
        // A list that begins with a completion that is not acknowledged becomes no shorter.
        let stuck = unchanged_ms >= self.rules.lease_ms;
        let complete = shorter || stuck && listed < MAX_LISTED;
        for end in report.ends {
            if self.runners.get_mut(k).completions.receive(end.number) {
                let job = end.task.step.job;
                match self.held.contains_key(&job) {
                    true => self.held_run_ended(k, &end),
                    false => self.process_completion(k, &end, report.clock, now),
                }
                let rev = self.jobs.get(&job).map_or(0, |j| j.rev);
                self.runners.get_mut(k).completions.record_processed(end.number, job, rev);
            }
        }
        let active: BTreeMap<(TaskId, Attempt), ActiveRun> =
            report.active.into_iter().map(|a| ((a.task, a.attempt), a)).collect();
        self.runners.get_mut(k).recheck_at = None;
        let allocated: Vec<(TaskId, Attempt)> = self.runners.get(k).tasks.keys().copied().collect();
        for (id, attempt) in allocated {
            match active.get(&(id, attempt)) {
                Some(a) => self.run_listed(k, id, a, now),
                None if ended.contains(&(id, attempt)) => {}
                None => self.run_not_listed(k, id, attempt, (report.clock, complete), now),
            }
        }
        // A runner may list the active runs before the completions: a run that ends in between is in
        // both lists.
        for (task, attempt) in active.into_keys().filter(|run| !ended.contains(run)) {
            if self.held.contains_key(&task.step.job) {
                self.held_run_listed(k, task, attempt, report.clock);
            } else if self.run_mut(k, task, attempt).is_none() {
                self.stop_stray(k, task, attempt, report.clock);
            }
        }
    }

    /// Stops a stray run: a start that took effect late. It takes capacity until its completion
    /// is listed, or answers have not listed it for the time that a stop takes.
    fn stop_stray(&mut self, k: RunnerKey, task: TaskId, attempt: Attempt, clock: u64) {
        let job = self.jobs.get(&task.step.job);
        if job.is_some_and(|j| (task.step.step as usize) < j.row.spec.steps.len()) {
            self.allocate(k, task, attempt, Losses::default());
            self.runners.get_mut(k).strays.insert((task, attempt), clock);
        }
        let Some(to) = self.runners.get(k).call() else { return };
        log::warn!(task:% = task, attempt = attempt.0, runner = to.id; "stray run stopped");
        let order = StopOrder { task, attempt, fence: self.fence };
        self.acts.push(Action::Stop { runner: k, to, order });
    }

    fn run_listed(&mut self, k: RunnerKey, id: TaskId, a: &ActiveRun, now: Now) {
        self.mark_running(id.step.job, id.step.occurrence, now);
        let Some(job) = self.jobs.get(&id.step.job) else { return };
        let job_ended = job.state.ended();
        let spec = job.spec(id.step);
        let (lasts, gang, estimate) = (spec.lasts || spec.fills, spec.gang, spec.estimate);
        let clock = self.runners.get(k).clock.map_or(0, |(c, _)| c);
        let Some(task) = self.task_mut(id).filter(|t| t.attempt == a.attempt) else { return };
        let saved = !a.saved.is_empty() && a.saved != task.saved;
        if saved {
            task.saved.clone_from(&a.saved);
        }
        let Some(run) = task.run.as_mut().filter(|r| r.runner == k) else { return };
        let was_lost = task.losses.withdraw(a.attempt);
        run.listed = true;
        run.unlisted_since = None;
        run.ended_since = None;
        run.progress.record(a.percent, now.mono);
        if saved {
            run.saved_at = now.mono;
        }
        let progress = run.progress;
        match run.stage {
            Stage::Sent | Stage::Inherited { .. } => run.stage = Stage::Running { clock },
            Stage::Running { .. } if !lasts && !job_ended => {
                let able = if gang { self.able_since(id, &progress) } else { Some(0) };
                if able.is_some_and(|able| progress.stalled(able, estimate, now.mono)) {
                    self.stop_stalled(k, id, gang, now);
                }
            }
            _ => {}
        }
        if was_lost {
            self.mark_changed(id.step.job);
        }
        self.clear_if_stable(id, now);
        if job_ended {
            self.order_stop(id, StopReason::JobEnded, now);
        }
    }

    /// Since when a member of a gang was able to work, local ms; `None` if it waits for others.
    fn able_since(&self, id: TaskId, progress: &Progress) -> Option<u64> {
        let step = self.step(id.step)?;
        let waits = progress.work_done() && progress::any_working(step);
        progress::all_running_since(step).filter(|_| !waits)
    }

    /// Stops a run that makes no progress; its task prefers other runners from then on.
    fn stop_stalled(&mut self, k: RunnerKey, id: TaskId, gang: bool, now: Now) {
        let Some(task) = self.task_mut(id) else { return };
        task.avoid.insert(k);
        if let Some(p) = task.run.as_ref().map(|r| r.progress) {
            log::warn!(task:% = id, percent = p.percent, ms = now.mono - p.moved;
                "no progress: task stopped");
        }
        if !gang {
            self.runners.get_mut(k).health.strike(now.mono);
        }
        self.order_stop(id, StopReason::NoProgress, now);
    }

    /// Handles a completion that was reported at `clock`, ms of the runner's clock.
    fn process_completion(&mut self, k: RunnerKey, end: &End, clock: u64, now: Now) {
        self.counts.ends += 1;
        let id = end.task;
        let name = self.runners.get(k).id.clone();
        if self.run_mut(k, id, end.attempt).is_none() {
            self.deallocate(k, id, end.attempt);
            self.late_completion(k, end, clock, now);
            return;
        }
        log::info!(task:% = id, attempt = end.attempt.0, runner = name, how = end.kind.name(),
            number = end.number; "task ended");
        metrics::counter!("control_ends", "how" => end.kind.name()).increment(1);
        self.mark_running(id.step.job, id.step.occurrence, now);
        let Some(job) = self.jobs.get(&id.step.job) else { return };
        let (gang, lasts) = (job.spec(id.step).gang, job.spec(id.step).lasts);
        if let Some(task) = self.task_mut(id) {
            task.losses.withdraw(end.attempt);
            if !end.saved.is_empty() {
                task.saved.clone_from(&end.saved);
            }
        }
        self.record_ended(id, end.kind == EndKind::Done, now);
        match end.kind {
            EndKind::Done => {
                self.runners.get_mut(k).health.done();
                if !lasts {
                    self.record_run_time(id, gang, now);
                    let prompt = self.runners.get(k).completions.prompt();
                    self.record_timing(id, clock, prompt);
                    if self.mark_done(id, gang) {
                        self.learn_speeds(id.step, now);
                        self.update_run_times(id.step);
                    }
                }
            }
            EndKind::Failed => self.mark_failed(k, id, gang, now),
            EndKind::Stopped => self.record_inherited_stop(id),
            EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
            // Other runners are preferred, so that the task doesn't start there again and again.
            EndKind::Unknown => {
                self.runners.get_mut(k).health.strike(now.mono);
                if let Some(task) = self.task_mut(id) {
                    task.avoid.insert(k);
                }
            }
        }
        self.release(id, now);
        if gang && end.kind == EndKind::Broken {
            self.record_broken(id.step, end.attempt);
        }
        if gang && !lasts && end.kind == EndKind::Stopped {
            self.gang_broken(id, now);
        }
        self.update_state(id.step.job, now);
    }

    /// Marks a task as done; for a gang, one member's completion completes all of them. Returns
    /// whether the step became done with it, which is true once per step, however many members'
    /// completions follow.
    pub(super) fn mark_done(&mut self, id: TaskId, gang: bool) -> bool {
        let Some(step) = self.step_mut(id.step).filter(|s| !s.done()) else { return false };
        if gang {
            step.tasks.iter_mut().for_each(|t| t.done = true);
            step.unreported.clear();
        } else if let Some(task) = step.tasks.get_mut(id.index as usize) {
            task.done = true;
            task.unreported.clear();
        }
        step.done()
    }

    fn mark_failed(&mut self, k: RunnerKey, id: TaskId, gang: bool, now: Now) {
        self.runners.get_mut(k).health.failed(id.step.job, now.mono);
        let Some(step) = self.step_mut(id.step) else { return };
        let Some(task) = step.tasks.get_mut(id.index as usize) else { return };
        task.avoid.insert(k);
        let attempt = task.attempt;
        // An earlier run may have completed it.
        if task.done {
            return;
        }
        if !gang {
            task.fails += 1;
        } else if step.failed_attempt < attempt {
            step.failed_attempt = attempt;
            step.gang_fails += 1;
            step.unreported.remove(&attempt);
        }
    }
}
