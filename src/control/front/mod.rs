//! Request handlers of callers: submitting jobs, cancelling them and reading their state.
//!
//! Waits are bounded by the caller's deadline or by fixed timeouts. Without the store, requests are
//! answered from the local cache and by the leader as far as these suffice, else with an error that
//! says when to retry.

mod admission;
mod authorise;

use super::access::{AccessRules, Caller};
use super::admission::AdmissionView;
use super::links::client::LinkClient;
use super::links::server::LinkServer;
use super::mirror::{Mirror, Table};
use super::model::{Catalogue, Invalid, JobId, JobState, Queue};
use super::ports::ReadError;
use super::queue_row::QueueRow;
use super::rows::{self, JobRow};
use super::store_health::StoreHealth;
use super::submissions::{SubmissionWriter, WriteOutcome};
use crate::ingress::BodyTooLong;
use crate::kernel::clock::Clock;
use crate::platform::callers;
use std::sync::Arc;
use tide::http::Method;
use tide::{Request, Response};

/// Maximum size of a request body, bytes: enough for a payload of 4,000 bytes and 64 steps.
pub const MAX_BODY: usize = 64 * 1024;

/// Deadline of a caller that sends none, and the longest one that is used, ms.
const DEADLINE_MS: u64 = 3_000;

/// Part of a caller's deadline that is reserved for the response to reach it, ms.
const ANSWER_RESERVE_MS: u64 = 200;

/// Timeout of fetching what is not in the local cache, ms: the catalogue, a job, a count.
const REFRESH_TIMEOUT_MS: u64 = 1_000;

/// Timeout of a request to the leader about a job, ms: several round trips under load, and short
/// against the 3 s that a caller waits, since the store can be read instead.
const LINK_TIMEOUT_MS: u64 = 300;

/// Maximum age of the data that a count of waiting jobs is based on, ms: the bound of the
/// interface.
const MAX_COUNT_AGE_MS: u64 = 2_000;

/// Value of `Retry-After` while the store serves no instance, s. Outages last seconds and callers
/// have few tries: with a shorter delay they use all of them up within the same outage. A caller
/// whose write has an unknown outcome gets the same value, since a retry with the same id is safe.
const RETRY_AFTER_S: &str = "2";

/// Value of `Retry-After` if only this instance cannot reach the store, s: at once, over a new
/// connection, which may lead to an instance that can.
const RETRY_ELSEWHERE_S: &str = "0";

/// Value of `Retry-After` if this instance reaches neither the store nor another instance, s. Its callers do
/// reach it, so that its failure domain is probably cut off as a whole: no instance there can serve
/// them, and the load balancer directs them elsewhere after two missed checks, 2 s. Callers that came
/// back at once would use up their tries before.
const RETRY_ISOLATED_S: &str = "1";

/// State that the request handlers share.
pub struct Front {
    /// The local cache of the store's tables.
    pub mirror: Arc<Mirror>,
    /// Health of the store, as seen by this process.
    pub store_health: Arc<StoreHealth>,
    /// The submission writer.
    pub submissions: Arc<SubmissionWriter>,
    /// Link server, in use while this instance is the leader.
    pub server: Arc<LinkServer>,
    /// Link client, connected to the leader.
    pub link: Arc<LinkClient>,
    /// Rules of access.
    pub access: AccessRules,
    /// What the leader has said about the backlog.
    pub admission: Arc<AdmissionView>,
    /// The clock.
    pub clock: Clock,
}

fn answer(status: u16, body: Vec<u8>) -> Response {
    let mut res = Response::new(status);
    res.set_content_type(tide::http::mime::JSON);
    res.set_body(body);
    res
}

fn refuse(status: u16, why: &str) -> Response {
    answer(status, callers::error(why))
}

fn retry_later(status: u16, why: &str) -> Response {
    let mut res = refuse(status, why);
    res.insert_header("Retry-After", RETRY_AFTER_S);
    res
}

/// Directs a caller that got a server error to another instance, over a new connection.
fn retry_elsewhere(res: Response) -> Response {
    retry_over_new_connection(res, RETRY_ELSEWHERE_S)
}

/// Has a caller that got a server error come back after `retry_s`, over a new connection.
fn retry_over_new_connection(mut res: Response, retry_s: &str) -> Response {
    if res.status().is_server_error() {
        res.insert_header("Retry-After", retry_s);
        res.insert_header("Connection", "close");
    }
    res
}

fn id_taken(id: JobId) -> Response {
    log::info!(job:% = id; "job refused: its id is in use by another team");
    refuse(409, "the id is in use")
}

fn invalid(e: &Invalid) -> Response {
    let status = if matches!(e, Invalid::TooLong(_)) { 413 } else { 400 };
    refuse(status, &e.to_string())
}

impl Front {
    /// Handles one request.
    pub async fn handle(&self, mut req: Request<Arc<Self>>) -> Response {
        let began = self.clock.mono();
        let host = req.header("Host").map_or(String::new(), |h| h.as_str().to_string());
        let path = req.url().path().to_string();
        let cat = match self.catalogue_for(&host, &path).await {
            Ok(cat) => cat,
            Err(res) => return res,
        };
        let Some(queue) = cat.find(&host, &path) else {
            log::info!(host = host, path = path, catalogue = cat.version; "no such queue");
            return refuse(404, "no such queue");
        };
        let caller = match self.caller_of(&req, &host, &path, queue).await {
            Ok(caller) => caller,
            Err(res) => return res,
        };
        // The catalogue may have been read again to find the caller's team.
        let newest = self.mirror.catalogue();
        let queue = match newest.version == cat.version {
            true => Some(queue),
            false => newest.find(&host, &path),
        };
        let Some(queue) = queue else { return refuse(404, "no such queue") };
        let rest = &path[queue.prefix.len()..];
        let method = req.method();
        if method == Method::Get && rest.is_empty() {
            return self.pending(queue, self.remaining_ms(&req, began)).await;
        }
        let Ok(id) = rest.parse::<JobId>() else { return invalid(&Invalid::Id) };
        let res = match method {
            Method::Post => self.submit(&mut req, id, queue, &caller, newest.version, began).await,
            Method::Get => self.state(id, &caller).await,
            Method::Delete => self.cancel(id, &caller, self.remaining_ms(&req, began)).await,
            _ => refuse(405, "method not allowed"),
        };
        let res = if self.cut_off() {
            retry_over_new_connection(res, RETRY_ISOLATED_S)
        } else if self.store_lost_here() {
            retry_elsewhere(res)
        } else {
            res
        };
        let ms = self.clock.mono() - began;
        let status: u16 = res.status().into();
        metrics::histogram!("control_answer_seconds", "method" => method.to_string())
            .record(ms as f64 / 1000.0);
        metrics::counter!("control_answers", "method" => method.to_string(),
            "status" => status.to_string())
        .increment(1);
        res
    }

    /// The catalogue for a request; read again from the store if the cached one has no queue for
    /// it.
    async fn catalogue_for(&self, host: &str, path: &str) -> Result<Arc<Catalogue>, Response> {
        let cat = self.mirror.catalogue();
        if cat.version > 0 && cat.find(host, path).is_some() {
            return Ok(cat);
        }
        // Only a catalogue that was just read can show that a queue does not exist.
        let now = self.clock.mono();
        match self.clock.timeout(REFRESH_TIMEOUT_MS, self.mirror.renew(Table::Config, now)).await {
            Ok(Ok(())) if self.mirror.catalogue().version > 0 => Ok(self.mirror.catalogue()),
            _ => Err(retry_later(503, "the catalogue cannot be read")),
        }
    }

    /// Time that remains to answer a request, ms.
    fn remaining_ms(&self, req: &Request<Arc<Self>>, began: u64) -> u64 {
        let requested = req.header(callers::DEADLINE_HEADER).and_then(|h| h.as_str().parse().ok());
        let end = began + requested.unwrap_or(DEADLINE_MS).min(DEADLINE_MS);
        end.saturating_sub(self.clock.mono() + ANSWER_RESERVE_MS)
    }

    /// Answers with the number of waiting jobs of a queue; an error if not all of them are known.
    async fn pending(&self, queue: &Queue, ms: u64) -> Response {
        let counted = self.clock.timeout(ms.min(REFRESH_TIMEOUT_MS), self.count(queue)).await;
        let Ok(Some(count)) = counted else {
            log::info!(queue = queue.name, jobs = self.mirror.job_count(),
                jobs_age_ms:? = self.mirror.age(Table::Jobs),
                progress_age_ms:? = self.mirror.age(Table::Progress);
                "waiting jobs not counted: not all are known");
            let res = retry_later(503, "not all waiting jobs are known here");
            return if self.store_lost_everywhere() { res } else { retry_elsewhere(res) };
        };
        log::info!(queue = queue.name, waiting = count, jobs = self.mirror.job_count(),
            jobs_age_ms:? = self.mirror.age(Table::Jobs),
            progress_age_ms:? = self.mirror.age(Table::Progress); "waiting jobs counted");
        answer(200, callers::pending(count))
    }

    async fn submit(
        &self,
        req: &mut Request<Arc<Self>>,
        id: JobId,
        queue: &Queue,
        caller: &Caller,
        version: u64,
        began: u64,
    ) -> Response {
        if let Some(BodyTooLong(most)) = req.ext() {
            return invalid(&Invalid::TooLong(*most));
        }
        let body = match req.body_bytes().await {
            Ok(b) => b,
            Err(e) => return invalid(&Invalid::Body(e.to_string())),
        };
        let spec = match callers::job(&body) {
            Ok(spec) => spec,
            Err(e) => {
                log::info!(job:% = id, queue = queue.name, why:% = e; "job refused as malformed");
                return invalid(&e);
            }
        };
        match self.mirror.visible(id, caller) {
            Some(true) => {
                log::info!(job:% = id; "job submitted again");
                return answer(200, callers::state(JobState::Queued));
            }
            Some(false) => return id_taken(id),
            None => {}
        }
        if let Some(res) = self.refuse_beyond_cap(id, caller, &spec).await {
            return res;
        }
        if let Some(res) = self.refuse_by_load(id, caller, queue, &spec).await {
            return res;
        }
        let (team, at) = (caller.team().map(str::to_string), self.clock.wall());
        let definition = Some(QueueRow::new(queue, version));
        let row = JobRow { queue: queue.name.clone(), team, at, spec, definition };
        let out = self.submissions.submit(id, &row, caller, self.remaining_ms(req, began)).await;
        let ms = self.clock.mono() - began;
        log::info!(job:% = id, queue = queue.name, steps = row.spec.steps.len(),
            catalogue = version, out:? = out, ms = ms; "job submitted");
        match out {
            WriteOutcome::Stored => {
                self.link.send_job(id, rows::encode(&row));
                self.mirror.put_job(id, Arc::new(row));
                answer(200, callers::state(JobState::Queued))
            }
            WriteOutcome::Known => answer(200, callers::state(JobState::Queued)),
            WriteOutcome::Taken => id_taken(id),
            WriteOutcome::NotStored => {
                retry_later(503, "not accepted: the store cannot be written")
            }
            WriteOutcome::Unknown => retry_later(504, "it is not known whether the job was stored"),
        }
    }

    /// The state of a job according to the leader; none if the leader has no entry or is not
    /// reachable.
    async fn state_from_leader(&self, id: JobId, caller: &Caller) -> Option<JobState> {
        match self.link.is_live() {
            true => self.link.find(id, caller, LINK_TIMEOUT_MS).await,
            false => None,
        }
    }

    /// Number of waiting jobs of a queue, from the local cache if it holds all jobs, else from the
    /// leader.
    async fn count(&self, queue: &Queue) -> Option<u64> {
        if self.mirror.caches_jobs() {
            let fresh = self.mirror.ensure_fresh(MAX_COUNT_AGE_MS).await;
            return fresh.then(|| self.mirror.pending(&queue.name));
        }
        match self.link.is_live() {
            true => self.link.count(&queue.name, REFRESH_TIMEOUT_MS).await,
            false => None,
        }
    }

    /// State of a job, none if it does not exist or the caller may not see it; an error response if
    /// that cannot be determined.
    async fn find_state(&self, id: JobId, caller: &Caller) -> Result<Option<JobState>, Response> {
        match self.mirror.visible(id, caller) {
            Some(false) => {
                log::info!(job:% = id, team = caller.team().unwrap_or_default(); "job of another team asked for");
                return Ok(None);
            }
            Some(true) if self.mirror.has_state(id) => return Ok(self.mirror.job_state(id)),
            _ => {}
        }
        // A job that the leader does not list may still have been stored: only the store can show
        // that it does not exist.
        if let Some(state) = self.state_from_leader(id, caller).await {
            return Ok(Some(state));
        }
        if self.store_health.unavailable() {
            log::info!(job:% = id; "unknown job, and the store is silent");
            return Err(retry_later(503, "the store cannot be read"));
        }
        let found = self.clock.timeout(REFRESH_TIMEOUT_MS, self.mirror.find_job(id, caller)).await;
        match found.unwrap_or_else(|_| Err(ReadError::Unreachable("timed out".into()))) {
            Ok(state) => Ok(state),
            Err(e) => {
                log::warn!(job:% = id, why:% = e; "job cannot be looked up");
                Err(retry_later(503, "the store cannot be read"))
            }
        }
    }

    /// Whether the store is unavailable to this instance alone, as far as is known, so that another
    /// instance may serve its callers.
    fn store_lost_here(&self) -> bool {
        self.store_health.unavailable() && !self.store_lost_everywhere()
    }

    /// Whether other instances have reported that they cannot reach the store either.
    fn store_lost_everywhere(&self) -> bool {
        self.link.leader_store_unreachable() || self.server.all_store_unreachable()
    }

    /// Whether this instance reaches neither the store nor any other instance.
    fn cut_off(&self) -> bool {
        let linked = self.link.is_linked() || self.server.linked_instances() > 0;
        self.store_health.unavailable() && !linked
    }

    /// Whether this instance gets no new data: it can reach neither the store nor the leader.
    fn isolated(&self) -> bool {
        self.store_health.unavailable() && !self.link.is_live()
    }

    async fn state(&self, id: JobId, caller: &Caller) -> Response {
        match self.find_state(id, caller).await {
            // Another instance may have a newer state; the caller reaches it over a new connection.
            Ok(Some(s)) if !s.ended() && self.isolated() => {
                retry_later(503, "the state of the job cannot be read")
            }
            Ok(Some(s)) => answer(200, callers::state(s)),
            Ok(None) => refuse(410, "no such job"),
            Err(res) => res,
        }
    }

    async fn cancel(&self, id: JobId, caller: &Caller, ms: u64) -> Response {
        match self.find_state(id, caller).await {
            Ok(Some(s)) if s.ended() => return answer(200, callers::state(s)),
            Ok(Some(_)) => {}
            Ok(None) => return refuse(410, "no such job"),
            Err(res) => return res,
        }
        let out = self.submissions.cancel(id, ms).await;
        log::info!(job:% = id, out:? = out; "cancellation submitted");
        match out {
            WriteOutcome::Stored | WriteOutcome::Known => {
                self.link.send_cancel(id);
                self.mirror.put_cancel(id);
                answer(200, callers::state(JobState::Cancelled))
            }
            WriteOutcome::NotStored | WriteOutcome::Taken => {
                retry_later(503, "not cancelled: the store cannot be written")
            }
            WriteOutcome::Unknown => {
                retry_later(504, "it is not known whether the job was cancelled")
            }
        }
    }
}
