//! Gangs that break: inferring the completion of a member whose runner does not answer.
//!
//! A gang starts again only once none of its members can run. A member on a runner that has left or
//! crashed reports nothing: the gang would wait until that runner's lease expires, which is past
//! the gang's objective. But the other members end as broken, which shows that some member has
//! ended. If every completion received is of this kind, the member without a completion is the one
//! that ended first.

use super::jobs::NO_WAIT;
use super::losses::Loss;
use super::runs::{Stage, StopReason};
use super::{Engine, Now, RunnerKey};
use crate::control::model::{Attempt, StepId, TaskId};

/// Members of a gang's attempt that ended because another had.
#[derive(Clone, Copy, Debug, Default)]
pub struct Broken {
    attempt: Attempt,
    count: usize,
}

impl Engine {
    /// Stops the other members of a gang after the loss or the stop of one, unless the step is
    /// done, so that the gang starts again as a whole.
    pub(super) fn gang_broken(&mut self, id: TaskId, now: Now) {
        let Some(job) = self.jobs.get(&id.step.job) else { return };
        let broken = job.spec(id.step).gang && job.step(id.step).is_some_and(|s| !s.done());
        if broken {
            self.stop_step(id.step, StopReason::GangBroken, now);
        }
    }

    /// Records that a member of a gang ended because another had.
    pub(super) fn record_broken(&mut self, step: StepId, attempt: Attempt) {
        let Some(s) = self.step_mut(step) else { return };
        if s.broken.attempt != attempt {
            s.broken = Broken { attempt, count: 0 };
        }
        s.broken.count += 1;
        self.broken_gangs.insert(step);
    }

    /// Releases members of broken gangs that must have ended on a runner that does not answer.
    pub(super) fn release_broken_gangs(&mut self, now: Now) {
        let broken_gangs: Vec<StepId> = self.broken_gangs.iter().copied().collect();
        for step in broken_gangs {
            let remaining = self.remaining_members(step);
            if remaining.is_empty() {
                self.broken_gangs.remove(&step);
            } else if let Some(k) = self.unreported_runner(step, &remaining) {
                log::info!(step:% = step, members = remaining.len(),
                    runner = self.runners.get(k).id;
                    "the rest of a broken gang is over where nobody answers: written off");
                self.broken_gangs.remove(&step);
                let lease_end = self.runners.get(k).lease_end(self.prior_end);
                if let Some(s) = self.step_mut(step) {
                    s.unreported.insert(s.broken.attempt, lease_end);
                }
                let remaining: Vec<TaskId> = remaining.into_iter().map(|(id, _)| id).collect();
                self.record_lost(k, &remaining, Loss::GangBroken, now);
                for id in remaining {
                    self.counts.written_off += 1;
                    self.release(id, now);
                }
                self.update_state(step.job, now);
            }
        }
    }

    /// Members of the gang's last attempt that run or may run, and their runners.
    fn remaining_members(&self, step: StepId) -> Vec<(TaskId, RunnerKey)> {
        let Some(s) = self.step(step) else { return Vec::new() };
        let member = |(id, t): (TaskId, &super::Task)| {
            let run = t.run.as_ref().filter(|_| t.attempt == s.broken.attempt)?;
            Some((id, run.runner))
        };
        s.ids().zip(&s.tasks).filter_map(member).collect()
    }

    /// The runner on which all remaining members of a broken gang must have ended; `None` if that
    /// does not follow. It follows if all other members ended as broken, since the first one to end
    /// was not broken by another, polls of the runner fail (a runner that answers will report the
    /// completion), and no start is on its way that may reach the runner's next incarnation.
    fn unreported_runner(
        &self,
        step: StepId,
        remaining: &[(TaskId, RunnerKey)],
    ) -> Option<RunnerKey> {
        let s = self.step(step)?;
        let &(_, k) = remaining.first()?;
        let same_runner = remaining.iter().all(|&(_, on)| on == k);
        // Starts that a predecessor sent have timed out before this leader was elected.
        let no_start_pending = |&(id, _): &(TaskId, RunnerKey)| {
            let run = self.run_of(id);
            run.is_some_and(|r| r.settled() || matches!(r.stage, Stage::Inherited { .. }))
        };
        let others_broken = s.broken.count + remaining.len() == s.tasks.len();
        let over = others_broken && remaining.iter().all(no_start_pending);
        (same_runner && over && self.runners.get(k).poll_failed).then_some(k)
    }

    /// Forgets the attempts of a gang whose unreported member was on a runner whose lease has expired
    /// at least a lease ago: its failure was listed by then, or does not count any more. Of attempts
    /// from before this term, it is not known when their leases ended.
    pub(super) fn forget_lapsed(&mut self, step: StepId, now: Now) {
        let (from_before, lease_ms) = (self.prior_end, self.rules.lease_ms);
        if let Some(s) = self.step_mut(step) {
            let lapsed =
                |end: u64| end != NO_WAIT && end != from_before && end + lease_ms <= now.mono;
            s.unreported.retain(|_, end| !lapsed(*end));
        }
    }

    /// Whether a gang may be started again. Each completion that was not received may be a failure,
    /// which counts if its runner comes back and reports it before its lease expires. The gang
    /// waits while these could add up to the failures that the queue allows. One that lasts starts
    /// again however often it has failed.
    pub(super) fn may_retry(&self, step: StepId, now: Now) -> bool {
        let Some((s, job)) = self.step(step).zip(self.jobs.get(&step.job)) else { return false };
        if job.spec(step).lasts {
            return true;
        }
        let Some(queue) = self.cat.queues.get(&job.row.queue) else { return false };
        let open = s.unreported.values().filter(|lease_end| **lease_end > now.mono).count();
        s.gang_fails + (open as u32) < queue.max_fails
    }
}
