//! The HTTP API of the platform stand-in. The fault plan applies to every call except those of
//! `/instances/:name`, `/faults`, `/stats`, `/debug/state` and `/metrics`.

use crate::admin;
use crate::standin::api::{
    ErrorBody, FeedReq, GetReq, PollBatch, PutAnswer, ScanReq, StartBatch, StopBatch,
};
use crate::standin::client::CALLER_HEADER;
use crate::standin::faults::{Fault, Target};
use crate::standin::instances::InstanceState;
use crate::standin::table::{Throttled, Txn};
use crate::standin::Platform;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use tide::{Request, Response};

type State = Arc<Platform>;

fn error(status: u16, kind: &str, retry_ms: Option<u64>) -> Response {
    let body = ErrorBody { error: kind.to_string(), retry_ms };
    admin::with_retry(admin::json(status, &body), retry_ms)
}

fn throttled(t: Throttled) -> Response {
    metrics::counter!("platform_throttled").increment(1);
    error(429, "throttled", Some(t.retry_ms))
}

/// Failure domain of the caller, from its header; empty for operators and tests.
fn caller(req: &Request<State>) -> String {
    req.header(CALLER_HEADER).map_or_else(String::new, |h| h.as_str().to_string())
}

/// Runs `f` under the faults of `target`: on an outage it answers 503 and does not run `f`, on a
/// delay it sleeps before `f`, on a lost answer it runs `f` and answers 503.
async fn with_faults(
    p: &Platform,
    target: Target,
    caller: &str,
    f: impl FnOnce() -> Response,
) -> tide::Result {
    let e = p.effect(target, caller);
    if e.outage {
        return Ok(error(503, "unavailable", Some(1000)));
    }
    if e.delay > 0 {
        p.clock.sleep(e.delay).await;
    }
    let res = f();
    if e.lose_answer {
        return Ok(error(503, "answer_lost", None));
    }
    Ok(res)
}

/// Handles a request with a JSON body `B`: answers with `f` under the faults of `target`.
async fn post<B: DeserializeOwned>(
    mut req: Request<State>,
    target: Target,
    f: impl FnOnce(&Platform, B) -> Response,
) -> tide::Result {
    let from = caller(&req);
    let body: B = req.body_json().await?;
    let p = req.state().clone();
    with_faults(&p, target, &from, || f(&p, body)).await
}

/// Handles a request whose body needs no decoding: answers with `f` under the faults of `target`.
async fn fetch(
    req: Request<State>,
    target: Target,
    f: impl FnOnce(&Platform) -> Response,
) -> tide::Result {
    let from = caller(&req);
    let p = req.state().clone();
    with_faults(&p, target, &from, || f(&p)).await
}

fn table_answer<T: serde::Serialize>(out: Result<T, Throttled>) -> Response {
    out.map_or_else(throttled, |r| admin::json(200, &r))
}

async fn txn(req: Request<State>) -> tide::Result {
    post(req, Target::Table, |p, t: Txn| table_answer(p.txn(&t))).await
}

async fn get(req: Request<State>) -> tide::Result {
    post(req, Target::Table, |p, g: GetReq| table_answer(p.get(&g.keys))).await
}

async fn scan(req: Request<State>) -> tide::Result {
    post(req, Target::Table, |p, s: ScanReq| table_answer(p.scan(&s.prefix))).await
}

async fn feed(req: Request<State>) -> tide::Result {
    post(req, Target::Table, |p, f: FeedReq| table_answer(p.feed(&f.prefix, f.since))).await
}

async fn leases(req: Request<State>) -> tide::Result {
    post(req, Target::Table, |p, s: ScanReq| table_answer(p.leases(&s.prefix))).await
}

async fn put_object(mut req: Request<State>) -> tide::Result {
    let body = req.body_string().await?;
    let name = req.param("name")?.to_string();
    let put = |p: &Platform| admin::json(200, &PutAnswer { version: p.put_object(&name, body) });
    fetch(req, Target::Store, put).await
}

async fn get_object(req: Request<State>) -> tide::Result {
    let name = req.param("name")?.to_string();
    let get = |p: &Platform| match p.get_object(&name) {
        Some(o) => admin::json(200, &o),
        None => error(404, "not_found", None),
    };
    fetch(req, Target::Store, get).await
}

async fn workers(req: Request<State>) -> tide::Result {
    fetch(req, Target::Workers, |p| admin::json(200, &p.workers())).await
}

async fn start(req: Request<State>) -> tide::Result {
    post(req, Target::Starts, |p, b: StartBatch| admin::json(200, &p.start(&b.starts))).await
}

async fn stop(req: Request<State>) -> tide::Result {
    post(req, Target::Workers, |p, b: StopBatch| admin::json(200, &p.stop(&b.stops))).await
}

async fn poll(req: Request<State>) -> tide::Result {
    post(req, Target::Workers, |p, b: PollBatch| admin::json(200, &p.poll(&b.polls))).await
}

async fn rack_capacity(req: Request<State>) -> tide::Result {
    #[derive(serde::Deserialize)]
    struct Query {
        domain: String,
    }
    let query: Query = req.query()?;
    let answer = |p: &Platform| match p.rack_capacity(&query.domain) {
        Some(r) => admin::json(200, &r),
        None => error(404, "not_found", None),
    };
    fetch(req, Target::Workers, answer).await
}

async fn instances(req: Request<State>) -> tide::Result {
    fetch(req, Target::Instances, |p| admin::json(200, &p.instances())).await
}

async fn set_instance(mut req: Request<State>) -> tide::Result {
    let state: InstanceState = req.body_json().await?;
    let p = req.state().clone();
    let name = req.param("name")?.to_string();
    Ok(if p.set_instance(&name, state) {
        admin::json(200, &state)
    } else {
        error(404, "not_found", None)
    })
}

async fn add_faults(mut req: Request<State>) -> tide::Result {
    let faults: Vec<Fault> = req.body_json().await?;
    req.state().add_faults(faults);
    Ok(admin::json(200, &req.state().dump()["faults"]))
}

/// The platform's HTTP application.
pub fn app(p: Arc<Platform>) -> tide::Server<State> {
    let mut app = tide::with_state(p);
    app.at("/table/txn").post(txn);
    app.at("/table/get").post(get);
    app.at("/table/scan").post(scan);
    app.at("/table/feed").post(feed);
    app.at("/table/leases").post(leases);
    app.at("/objects/:name").post(put_object).get(get_object);
    app.at("/workers").get(workers);
    app.at("/workers/start").post(start);
    app.at("/workers/stop").post(stop);
    app.at("/workers/poll").post(poll);
    app.at("/workers/rooms").get(rack_capacity);
    app.at("/instances").get(instances);
    app.at("/instances/:name").post(set_instance);
    app.at("/faults").post(add_faults);
    app.at("/stats")
        .get(|req: Request<State>| async move { Ok(admin::json(200, &req.state().stats())) });
    app.at("/debug/state")
        .get(|req: Request<State>| async move { Ok(admin::json(200, &req.state().dump())) });
    app.at("/metrics").get(|_| async { Ok(admin::render()) });
    app
}
