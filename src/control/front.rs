//! What callers see: submitting, cancelling and asking after jobs.

use super::intake::{Intake, Written};
use super::links::desk::Desk;
use super::links::peer::Peer;
use super::mirror::{Mirror, Table};
use super::model::{Catalogue, Invalid, JobId, JobState, Queue};
use super::ports::ReadError;
use super::pulse::Pulse;
use super::rows::{self, JobRow};
use crate::kernel::clock::Clock;
use crate::platform::callers;
use std::sync::Arc;
use tide::http::Method;
use tide::{Request, Response};

/// Longest body of a request, bytes: a payload of 4,000 bytes and 64 steps with room to spare.
const MAX_BODY: usize = 64 * 1024;

/// Wait for the answer of a caller that names no deadline, ms.
const DEADLINE_MS: u64 = 3_000;

/// Kept back of a caller's deadline for the answer's way, ms.
const ANSWER_MS: u64 = 200;

/// Longest wait for what is not known here, ms: the catalogue, a job, a count.
const RENEW_MS: u64 = 1_000;

/// Longest wait for the scheduler's answer about a job, ms: several times the way there and back under
/// load, and short against a caller's patience, since the store can be asked instead.
const LINK_MS: u64 = 300;

/// A count of waiting jobs is given from what was known to be true this long ago at most, ms: the
/// interface's own bound.
const COUNT_AGE_MS: u64 = 2_000;

/// When a caller may come back if the store serves nobody, s. Outages last seconds, and callers
/// few tries: told to come back sooner they spend all of them within the same outage. A caller in doubt
/// is told so too, since asking again with the same id is safe.
const RETRY_AFTER_S: &str = "2";

/// As [`RETRY_AFTER_S`] if only this instance is cut off: at once, over a new connection, which
/// may lead to an instance that is not.
const RETRY_ELSEWHERE_S: &str = "0";

/// Callers' side of an instance.
pub struct Front {
    /// The instance's mirror.
    pub mirror: Arc<Mirror>,
    /// Whether the store answers this process.
    pub pulse: Arc<Pulse>,
    /// Writers of submissions.
    pub intake: Arc<Intake>,
    /// Links from other instances, while this one is the scheduler's.
    pub desk: Arc<Desk>,
    /// The link to the scheduler.
    pub peer: Arc<Peer>,
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

fn later(status: u16, why: &str) -> Response {
    let mut res = refuse(status, why);
    res.insert_header("Retry-After", RETRY_AFTER_S);
    res
}

/// Sends a caller that was not served to another instance.
fn elsewhere(mut res: Response) -> Response {
    if res.status().is_server_error() {
        res.insert_header("Retry-After", RETRY_ELSEWHERE_S);
        res.insert_header("Connection", "close");
    }
    res
}

fn invalid(e: &Invalid) -> Response {
    let status = if matches!(e, Invalid::TooLong(_)) { 413 } else { 400 };
    refuse(status, &e.to_string())
}

impl Front {
    /// Answers one request.
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
        let rest = &path[queue.prefix.len()..];
        let method = req.method();
        if method == Method::Get && rest.is_empty() {
            return self.pending(queue, self.left(&req, began)).await;
        }
        let Ok(id) = rest.parse::<JobId>() else { return invalid(&Invalid::Id) };
        let res = match method {
            Method::Post => self.submit(&mut req, id, queue, cat.version, began).await,
            Method::Get => self.state(id).await,
            Method::Delete => self.cancel(id, self.left(&req, began)).await,
            _ => refuse(405, "method not allowed"),
        };
        let res = if self.turned_away() { elsewhere(res) } else { res };
        let ms = self.clock.mono() - began;
        let status: u16 = res.status().into();
        metrics::histogram!("control_answer_seconds", "method" => method.to_string())
            .record(ms as f64 / 1000.0);
        metrics::counter!("control_answers", "method" => method.to_string(),
            "status" => status.to_string())
        .increment(1);
        res
    }

    /// The catalogue to judge a request by: read anew if it does not know the queue.
    async fn catalogue_for(&self, host: &str, path: &str) -> Result<Arc<Catalogue>, Response> {
        let cat = self.mirror.catalogue();
        if cat.version > 0 && cat.find(host, path).is_some() {
            return Ok(cat);
        }
        // Only a catalogue just read may say that a queue does not exist.
        let now = self.clock.mono();
        match self.clock.timeout(RENEW_MS, self.mirror.renew(Table::Config, now)).await {
            Ok(Ok(())) if self.mirror.catalogue().version > 0 => Ok(self.mirror.catalogue()),
            _ => Err(later(503, "the catalogue cannot be read")),
        }
    }

    /// Time left to answer a request, ms.
    fn left(&self, req: &Request<Arc<Self>>, began: u64) -> u64 {
        let given = req.header(callers::DEADLINE_HEADER).and_then(|h| h.as_str().parse().ok());
        let end = began + given.unwrap_or(DEADLINE_MS).min(DEADLINE_MS);
        end.saturating_sub(self.clock.mono() + ANSWER_MS)
    }

    /// How many jobs of a queue wait; refused where not all of them are known.
    async fn pending(&self, queue: &Queue, ms: u64) -> Response {
        let counted = self.clock.timeout(ms.min(RENEW_MS), self.count(queue)).await;
        let Ok(Some(count)) = counted else {
            log::info!(queue = queue.name, jobs = self.mirror.job_count(),
                jobs_age_ms:? = self.mirror.age(Table::Jobs),
                progress_age_ms:? = self.mirror.age(Table::Progress);
                "waiting jobs not counted: not all are known");
            let res = later(503, "not all waiting jobs are known here");
            return if self.silent_for_all() { res } else { elsewhere(res) };
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
        version: u64,
        began: u64,
    ) -> Response {
        let too_long = Invalid::TooLong(MAX_BODY);
        if req.len().is_some_and(|n| n > MAX_BODY) {
            return invalid(&too_long);
        }
        let body = match req.body_bytes().await {
            Ok(b) if b.len() <= MAX_BODY => b,
            Ok(_) => return invalid(&too_long),
            Err(e) => return invalid(&Invalid::Body(e.to_string())),
        };
        let spec = match callers::job(&body) {
            Ok(spec) => spec,
            Err(e) => {
                log::info!(job:% = id, queue = queue.name, why:% = e; "job refused as malformed");
                return invalid(&e);
            }
        };
        if self.mirror.job_state(id).is_some() {
            log::info!(job:% = id; "job submitted again");
            return answer(200, callers::state(JobState::Queued));
        }
        let row = JobRow { queue: queue.name.clone(), at: self.clock.wall(), spec };
        let out = self.intake.submit(id, &row, self.left(req, began)).await;
        let ms = self.clock.mono() - began;
        log::info!(job:% = id, queue = queue.name, steps = row.spec.steps.len(),
            catalogue = version, out:? = out, ms = ms; "job submitted");
        match out {
            Written::Stored => {
                self.peer.tell_job(id, rows::encode(&row));
                self.mirror.put_job(id, Arc::new(row));
                answer(200, callers::state(JobState::Queued))
            }
            Written::Known => answer(200, callers::state(JobState::Queued)),
            Written::NotStored => later(503, "not accepted: the store cannot be written"),
            Written::Unknown => later(504, "it is not known whether the job was stored"),
        }
    }

    /// How far a job has come, where the scheduler knows.
    async fn ask_state(&self, id: JobId) -> Option<JobState> {
        match self.peer.fresh() {
            true => self.peer.find(id, LINK_MS).await,
            false => None,
        }
    }

    /// Number of waiting jobs of a queue where all are known: here, or to the scheduler.
    async fn count(&self, queue: &Queue) -> Option<u64> {
        if self.mirror.keeps_jobs() {
            let all = self.mirror.up_to_date(COUNT_AGE_MS).await;
            return all.then(|| self.mirror.pending(&queue.name));
        }
        match self.peer.fresh() {
            true => self.peer.count(&queue.name, RENEW_MS).await,
            false => None,
        }
    }

    /// Finds out whether a job exists; an error answer if that cannot be told.
    async fn known(&self, id: JobId) -> Result<Option<JobState>, Response> {
        if self.mirror.knows_state(id) {
            return Ok(self.mirror.job_state(id));
        }
        // One that the scheduler does not know may still have been stored: only the store says no.
        if let Some(state) = self.ask_state(id).await {
            return Ok(Some(state));
        }
        if self.pulse.silent() {
            log::info!(job:% = id; "unknown job, and the store is silent");
            return Err(later(503, "the store cannot be read"));
        }
        let found = self.clock.timeout(RENEW_MS, self.mirror.find_job(id)).await;
        match found.unwrap_or_else(|_| Err(ReadError::Unreachable("not found in time".into()))) {
            Ok(state) => Ok(state),
            Err(e) => {
                log::warn!(job:% = id, why:% = e; "job cannot be looked up");
                Err(later(503, "the store cannot be read"))
            }
        }
    }

    /// Whether the store is silent towards this instance alone, as far as is known: another one
    /// may serve its callers.
    fn turned_away(&self) -> bool {
        self.pulse.silent() && !self.silent_for_all()
    }

    /// Whether other instances say that the store is silent towards them, too.
    fn silent_for_all(&self) -> bool {
        self.peer.deaf() || self.desk.deaf()
    }

    /// Whether nothing new can be known here: neither the store nor the scheduler is heard of.
    fn isolated(&self) -> bool {
        self.pulse.silent() && !self.peer.fresh()
    }

    async fn state(&self, id: JobId) -> Response {
        match self.known(id).await {
            // Another instance may know better; the caller comes to it over a new connection.
            Ok(Some(s)) if !s.ended() && self.isolated() => {
                later(503, "the state of the job cannot be read")
            }
            Ok(Some(s)) => answer(200, callers::state(s)),
            Ok(None) => refuse(410, "no such job"),
            Err(res) => res,
        }
    }

    async fn cancel(&self, id: JobId, ms: u64) -> Response {
        match self.known(id).await {
            Ok(Some(s)) if s.ended() => return answer(200, callers::state(s)),
            Ok(Some(_)) => {}
            Ok(None) => return refuse(410, "no such job"),
            Err(res) => return res,
        }
        let out = self.intake.cancel(id, ms).await;
        log::info!(job:% = id, out:? = out; "cancellation submitted");
        match out {
            Written::Stored | Written::Known => {
                self.peer.tell_cancel(id);
                self.mirror.put_cancel(id);
                answer(200, callers::state(JobState::Cancelled))
            }
            Written::NotStored => later(503, "not cancelled: the store cannot be written"),
            Written::Unknown => later(504, "it is not known whether the job was cancelled"),
        }
    }
}
