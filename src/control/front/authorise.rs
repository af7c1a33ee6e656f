//! Authorisation of requests: on whose behalf one is made, and refusals of those that may not be made.

use super::{answer, refuse, retry_elsewhere, Front, REFRESH_TIMEOUT_MS};
use crate::control::access::{self, Access, Caller, Denied};
use crate::control::mirror::Table;
use crate::control::model::{JobId, JobSpec, JobState, Queue};
use crate::control::teams::ApiKey;
use crate::platform::callers;
use std::sync::Arc;
use tide::{Request, Response};

/// A read of the catalogue also serves callers that arrive within this time after it was sent, ms.
const SHARED_READ_MS: u64 = 100;

impl Front {
    /// On whose behalf a request to `queue` is made; an error response if it may not be made. The
    /// catalogue is read again where the decision needs a newer one.
    pub(super) async fn caller_of(
        &self,
        req: &Request<Arc<Self>>,
        host: &str,
        path: &str,
        queue: &Queue,
    ) -> Result<Caller, Response> {
        let text = req.header(callers::KEY_HEADER).map(|h| h.as_str().to_string());
        let key = text.and_then(|k| ApiKey::try_from(k).ok());
        let cat = self.mirror.catalogue();
        let age = self.mirror.catalogue_age();
        let access = match access::decide(&self.access, queue, &cat.teams, key.as_ref(), age, false)
        {
            Access::Reread => {
                self.reread_catalogue().await;
                let cat = self.mirror.catalogue();
                let Some(queue) = cat.find(host, path) else {
                    return Err(refuse(404, "no such queue"));
                };
                let age = self.mirror.catalogue_age();
                access::decide(&self.access, queue, &cat.teams, key.as_ref(), age, true)
            }
            access => access,
        };
        match access {
            Access::Granted(caller) => Ok(caller),
            Access::Denied(why) => Err(self.deny(queue, key.as_ref(), why)),
            Access::Reread | Access::Stale => {
                log::info!(queue = queue.name, age_ms:? = self.mirror.catalogue_age();
                    "call refused: the catalogue is too old to check its key");
                Err(retry_elsewhere(refuse(503, "keys cannot be checked here")))
            }
        }
    }

    /// Reads the catalogue again: from the store, or from the leader if the store does not answer.
    /// Concurrent callers share one read of the store.
    async fn reread_catalogue(&self) {
        if !self.store_health.unavailable() {
            let since = self.clock.mono().saturating_sub(SHARED_READ_MS);
            let read = self.mirror.renew(Table::Config, since);
            if let Ok(Ok(())) = self.clock.timeout(REFRESH_TIMEOUT_MS, read).await {
                return;
            }
        }
        self.link.learn_config().await;
    }

    /// Refuses a call that is not authorised.
    fn deny(&self, queue: &Queue, key: Option<&ApiKey>, why: Denied) -> Response {
        let removed = key.and_then(|k| self.mirror.removed_key(k));
        let (team, removed) = removed.map_or((None, None), |(t, v)| (Some(t), Some(v)));
        log::info!(queue = queue.name, catalogue = self.mirror.catalogue().version,
            age_ms:? = self.mirror.catalogue_age(), team = team.unwrap_or_default(), key_removed_in:? = removed,
            why:% = why; "call refused: not authorised");
        metrics::counter!("control_denied", "why" => why.to_string()).increment(1);
        refuse(401, &why.to_string())
    }

    /// The refusal of a job that can never run under its team's cap, so that its caller need not wait
    /// for it. A job that was accepted under a higher cap is not refused. A later configuration may
    /// raise the cap, and the job may be submitted again then.
    pub(super) async fn refuse_beyond_cap(
        &self,
        id: JobId,
        caller: &Caller,
        spec: &JobSpec,
    ) -> Option<Response> {
        let cat = self.mirror.catalogue();
        let team = cat.teams.get(caller.team()?)?;
        let step = team.step_beyond_cap(spec)?;
        match self.find_state(id, caller).await {
            Ok(None) => {}
            Ok(Some(_)) => return Some(answer(200, callers::state(JobState::Queued))),
            Err(res) => return Some(res),
        }
        let need = spec.steps[step].charge_at_once();
        log::info!(job:% = id, team = team.name, catalogue = cat.version, step, cpu = need.cpu,
            mem = need.mem, cap_cpu = team.cap.cpu, cap_mem = team.cap.mem;
            "job refused: a step is larger than the cap of its team");
        metrics::counter!("control_denied", "why" => "beyond cap").increment(1);
        Some(refuse(429, &format!("phases[{step}]: larger than the team's cap")))
    }
}
