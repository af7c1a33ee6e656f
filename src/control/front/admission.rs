//! Rejection of jobs by the leader's admission state, before anything of them is written.

use super::{answer, refuse, Front};
use crate::control::access::Caller;
use crate::control::engine::HOLD_MS;
use crate::control::model::{JobId, JobSpec, JobState, Queue};
use crate::control::policy::admission::{self, Decision};
use crate::platform::callers;
use tide::Response;

/// Nothing is rejected while a write takes longer than this, ms: the rejection would be late.
const MAX_WRITE_MS: u64 = 300;

/// `Retry-After` of a job that no runner could hold, s: other runners take longer to be added.
const TOO_LARGE_RETRY_S: u64 = 5;

fn reject(status: u16, why: &str, retry_s: u64) -> Response {
    let mut res = refuse(status, why);
    res.insert_header("Retry-After", retry_s.to_string());
    res
}

impl Front {
    /// The rejection of a job that would earn nothing, or that no runner could hold. Jobs are admitted
    /// while the admission state is not known, and if it cannot be determined that the job is not
    /// stored.
    pub(super) async fn refuse_by_load(
        &self,
        id: JobId,
        caller: &Caller,
        queue: &Queue,
        spec: &JobSpec,
    ) -> Option<Response> {
        let decide = || {
            if self.store_health.unavailable() || self.store_health.failed_within(HOLD_MS) {
                return Decision::Admit;
            }
            let state = self.admission.current();
            state.map_or(Decision::Admit, |s| {
                s.decide(queue, caller.team(), spec, self.clock.wall())
            })
        };
        if decide() == Decision::Admit {
            return None;
        }
        // The caller's connection to another instance may just have broken: its submission there is on
        // its way to the store.
        let write_ms = self.mirror.write_ms();
        if write_ms > MAX_WRITE_MS {
            log::info!(job:% = id, write_ms; "job not rejected: the store is slow");
            return None;
        }
        self.clock.sleep(write_ms).await;
        match self.find_state(id, caller).await {
            Ok(None) => {}
            Ok(Some(_)) => return Some(answer(200, callers::state(JobState::Queued))),
            Err(_) => {
                log::info!(job:% = id; "job not rejected: it may be stored");
                return None;
            }
        }
        // The leader may have changed during the search.
        match decide() {
            Decision::Admit => None,
            Decision::Reject { wait_ms, limit_ms, chain_ms, objective_ms } => {
                let retry_s = admission::retry_after_s(wait_ms.saturating_sub(limit_ms), id);
                log::info!(job:% = id, queue = queue.name,
                    team = caller.team().unwrap_or_default(), wait_ms, limit_ms,
                    chain_ms, objective_ms, retry_s; "job rejected: it would wait too long");
                metrics::counter!("control_rejected", "why" => "backlog").increment(1);
                let why = "more is waiting than can be served in time: the job has not run and \
                    never will";
                Some(reject(503, why, retry_s))
            }
            Decision::TooLarge(step) => {
                let need = spec.steps[step].demand();
                log::info!(job:% = id, queue = queue.name, step, cpu = need.cpu, mem = need.mem,
                    acc = need.acc; "job rejected: no runner could hold a task");
                metrics::counter!("control_rejected", "why" => "too large").increment(1);
                let why = format!("phases[{step}]: no runner could hold a task");
                Some(reject(429, &why, TOO_LARGE_RETRY_S))
            }
        }
    }
}
