//! HTTP API of the entry instance: catalogue edits, job submission, status and cancellation,
//! lookups and writes. Every refusal has a typed body and, where a retry can succeed, a
//! `Retry-After` header. A request that cannot succeed is answered at once, not at its deadline.

use crate::admin;
use crate::entry::catalogue::{self, EditError};
use crate::entry::jobs::{self, CancelError, SubmitError};
use crate::entry::ledger::LedgerError;
use crate::entry::route::RouteError;
use crate::entry::rows::{self, JobRow, JobSpec, JobState};
use crate::entry::writes::WriteError;
use crate::entry::Entry;
use crate::standin::client::PlatformError;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::sync::Arc;
use tide::{Request, Response};

type State = Arc<Entry>;

/// Retry delay sent to callers while an instance starts or its ledger accepts no record, ms.
const RETRY_MS: u64 = 500;

/// Body of the entry's error answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ApiError {
    /// Kind of error: `bad_request`, `invalid`, `conflict`, `not_run`, `not_found`, `unavailable`,
    /// `timeout`, `busy`, `unknown` (a write that may have run).
    pub error: String,
    /// Error text.
    pub detail: String,
    /// Delay before a retry, ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
    /// Current catalogue version, for `conflict` on a catalogue edit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<u64>,
    /// The refused job, for `not_run` after it was stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<JobRow>,
}

/// Builds an error answer.
fn fail(status: u16, error: &str, detail: impl ToString, retry_ms: Option<u64>) -> Response {
    let body = ApiError {
        error: error.into(),
        detail: detail.to_string(),
        retry_ms,
        ..ApiError::default()
    };
    admin::with_retry(admin::json(status, &body), retry_ms)
}

/// Builds the answer to a failed call of the platform.
fn platform_error(e: &PlatformError) -> Response {
    let retry = match e {
        PlatformError::Throttled { retry_ms } => *retry_ms,
        _ => 1000,
    };
    fail(503, "unavailable", e, Some(retry))
}

/// Reads a JSON body. Malformed JSON or an unknown field leads to a typed 400 and changes nothing.
async fn json_body<B: DeserializeOwned>(req: &mut Request<State>) -> Result<B, Response> {
    let text = req.body_string().await.map_err(|e| fail(400, "bad_request", e, None))?;
    serde_json::from_str(&text).map_err(|e| fail(400, "bad_request", e, None))
}

/// Handles a POST request with a JSON body of type `B` through `f`.
async fn post<B: DeserializeOwned, F: Future<Output = Response>>(
    mut req: Request<State>,
    f: impl FnOnce(State, B) -> F,
) -> tide::Result {
    Ok(match json_body(&mut req).await {
        Ok(b) => f(req.state().clone(), b).await,
        Err(res) => res,
    })
}

async fn edit(e: State, edit: catalogue::Edit) -> Response {
    match catalogue::commit(&e.platform, &edit).await {
        Ok(version) => {
            // Updates this instance at once; the others follow within `watch_ms`.
            e.refresh_catalogue().await;
            admin::json(200, &serde_json::json!({ "version": version }))
        }
        Err(EditError::Conflict { current, .. }) => {
            let body = ApiError {
                error: "conflict".into(),
                detail: format!("catalogue is at version {current}"),
                current: Some(current),
                ..ApiError::default()
            };
            admin::json(409, &body)
        }
        Err(err @ EditError::Invalid { .. }) => fail(400, "invalid", err, None),
        Err(EditError::Platform(p)) => platform_error(&p),
    }
}

async fn submit(e: State, spec: JobSpec) -> Response {
    let Some(inventory) = e.inventory.lock().unwrap().clone() else {
        let detail = "not run: the platform's worker list has not been read yet";
        return fail(503, "unavailable", detail, Some(RETRY_MS));
    };
    let mut cat = e.catalogue();
    if !cat.entries.contains_key(&spec.entry) {
        // An entry just accepted on another instance may not have reached this one, so the
        // catalogue is read once before the job is refused.
        cat = e.refresh_catalogue().await;
    }
    let rack_capacities = e.rack_capacities.lock().unwrap().clone();
    let context = jobs::SubmitContext {
        table: &e.platform,
        clock: &e.clock,
        cat: &cat,
        inventory: &inventory,
        rack_capacities: &rack_capacities,
        domain: &e.addr.domain,
    };
    match jobs::submit(&context, spec).await {
        Ok(row) if matches!(row.state, JobState::Refused { .. }) => not_run(row),
        Ok(row) => admin::json(200, &row),
        Err(err @ SubmitError::Invalid { .. }) => fail(400, "invalid", err, None),
        Err(err @ (SubmitError::UnknownEntry(_) | SubmitError::OverLimits(_))) => {
            fail(422, "not_run", err, None)
        }
        Err(err @ SubmitError::KeyReused(_)) => fail(409, "conflict", err, None),
        Err(SubmitError::Platform(p)) => platform_error(&p),
    }
}

/// Builds the answer to the submission of a job that was stored as refused.
fn not_run(row: JobRow) -> Response {
    let detail = match &row.state {
        JobState::Refused { reason } => reason.clone(),
        _ => String::new(),
    };
    admin::json(
        422,
        &ApiError { error: "not_run".into(), detail, job: Some(row), ..ApiError::default() },
    )
}

/// Body of `POST /jobs/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusReq {
    /// Ids of the jobs to return.
    pub ids: Vec<String>,
}

async fn status(e: State, req: StatusReq) -> Response {
    let keys = req.ids.iter().map(|id| rows::job_key(id)).collect();
    match e.platform.get(keys).await {
        Ok(found) => {
            let jobs: Vec<JobRow> = found.values().filter_map(|r| rows::decode(&r.value)).collect();
            admin::json(200, &jobs)
        }
        Err(p) => platform_error(&p),
    }
}

async fn job(req: Request<State>) -> tide::Result {
    let e = req.state().clone();
    let id = req.param("id")?.to_string();
    Ok(match rows::read::<JobRow>(&e.platform, rows::job_key(&id)).await {
        Ok(Some((row, _))) => admin::json(200, &row),
        Ok(None) => fail(404, "not_found", format!("no job {id}"), None),
        Err(p) => platform_error(&p),
    })
}

async fn cancel(req: Request<State>) -> tide::Result {
    let e = req.state().clone();
    let id = req.param("id")?.to_string();
    Ok(match jobs::cancel(&e.platform, &e.clock, &id).await {
        Ok((row, stops)) => {
            // Shortens the delay only; the shard's holder sends the stops until the completions are
            // reported.
            if !stops.is_empty() {
                let _ = e.platform.stop(stops).await;
            }
            admin::json(200, &row)
        }
        Err(err @ CancelError::NotFound(_)) => fail(404, "not_found", err, None),
        Err(err @ CancelError::Busy(_)) => fail(503, "busy", err, Some(100)),
        Err(CancelError::Platform(p)) => platform_error(&p),
    })
}

fn route_error(err: RouteError) -> Response {
    match err {
        RouteError::NoRunner { retry_ms } => fail(503, "unavailable", err, Some(retry_ms)),
        RouteError::Busy { retry_ms } => fail(503, "busy", err, Some(retry_ms)),
        RouteError::Timeout(_) => fail(504, "timeout", err, None),
    }
}

async fn lookup(req: Request<State>) -> tide::Result {
    #[derive(Deserialize)]
    struct Query {
        key: String,
    }
    let query: Query = match req.query() {
        Ok(query) => query,
        Err(e) => return Ok(fail(400, "bad_request", e, None)),
    };
    let e = req.state().clone();
    let started = e.clock.now();
    let out = e.pool.lookup(&query.key).await;
    metrics::histogram!("entry_lookup_seconds").record((e.clock.now() - started) as f64 / 1000.0);
    Ok(match out {
        Ok(a) => admin::json(200, &a),
        Err(err) => route_error(err),
    })
}

/// Longest id of a write, in bytes.
const MAX_WRITE_ID: usize = 128;

/// Body of `POST /write`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WriteReq {
    /// Id of the write, 1 to 128 bytes without a slash. A write runs at most once per id; a repeat
    /// gets the first outcome.
    pub id: String,
    /// Payload for the runner.
    pub body: String,
}

async fn write(e: State, w: WriteReq) -> Response {
    if w.id.is_empty() || w.id.len() > MAX_WRITE_ID || w.id.contains('/') {
        let detail = "id must be 1 to 128 bytes without a slash";
        return fail(400, "invalid", detail, None);
    }
    match e.writes.run(&w.id, &w.body).await {
        Ok(done) => admin::json(200, &done),
        Err(WriteError::Ledger(LedgerError::Platform(p))) => platform_error(&p),
        Err(err @ WriteError::Ledger(_)) => fail(503, "busy", err, Some(RETRY_MS)),
        Err(WriteError::Refused(err)) => route_error(err),
        Err(WriteError::Unknown { runner, retry_ms }) => {
            fail(504, "unknown", WriteError::Unknown { runner, retry_ms }, Some(retry_ms))
        }
    }
}

async fn ready(req: Request<State>) -> tide::Result {
    let ready = req.state().ready();
    Ok(admin::json(if ready { 200 } else { 503 }, &serde_json::json!({ "ready": ready })))
}

/// Builds the HTTP application of the entry.
pub fn app(e: Arc<Entry>) -> tide::Server<State> {
    let mut app = tide::with_state(e);
    app.at("/catalogue")
        .post(|r| post(r, edit))
        .get(|r: Request<State>| async move { Ok(admin::json(200, &*r.state().catalogue())) });
    app.at("/jobs").post(|r| post(r, submit));
    app.at("/jobs/status").post(|r| post(r, status));
    app.at("/jobs/:id").get(job);
    app.at("/jobs/:id/cancel").post(cancel);
    app.at("/ready").get(ready);
    app.at("/lookup").get(lookup);
    app.at("/write").post(|r| post(r, write));
    app.at("/debug/state")
        .get(|r: Request<State>| async move { Ok(admin::json(200, &r.state().dump().await)) });
    app.at("/metrics").get(|_| async { Ok(admin::render()) });
    app
}
