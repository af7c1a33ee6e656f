//! The HTTP API of the platform stand-in; every call passes through the fault plan.

use crate::admin;
use crate::platform::api::{ErrorBody, GetReq, PutAnswer, ScanReq, StartBatch, StopReq};
use crate::platform::faults::{Fault, Target};
use crate::platform::instances::InstanceState;
use crate::platform::table::{Throttled, Txn};
use crate::platform::Platform;
use std::sync::Arc;
use tide::{Request, Response};

type State = Arc<Platform>;

fn error(status: u16, kind: &str, retry_ms: Option<u64>) -> Response {
    let mut res = admin::json(status, &ErrorBody { error: kind.to_string(), retry_ms });
    if let Some(ms) = retry_ms {
        res.insert_header("Retry-After", ms.div_ceil(1000).to_string());
    }
    res
}

fn throttled(t: Throttled) -> Response {
    metrics::counter!("platform_throttled").increment(1);
    error(429, "throttled", Some(t.retry_ms))
}

/// Runs `f` under the fault plan of `target`: an outage answers 503 without effect, a delay
/// waits first, a lost answer applies `f` and then answers 503 as if the reply never came.
async fn guarded(p: &Platform, target: Target, f: impl FnOnce() -> Response) -> tide::Result {
    let e = p.effect(target);
    if e.outage {
        return Ok(error(503, "unavailable", Some(1000)));
    }
    if e.delay > 0 {
        p.clock.sleep(e.delay).await;
    }
    let res = f();
    if e.lose {
        return Ok(error(503, "answer_lost", None));
    }
    Ok(res)
}

async fn txn(mut req: Request<State>) -> tide::Result {
    let t: Txn = req.body_json().await?;
    let p = req.state().clone();
    guarded(&p, Target::Table, || match p.txn(&t) {
        Ok(out) => admin::json(200, &out),
        Err(t) => throttled(t),
    })
    .await
}

async fn get(mut req: Request<State>) -> tide::Result {
    let g: GetReq = req.body_json().await?;
    let p = req.state().clone();
    guarded(&p, Target::Table, || p.get(&g.keys).map_or_else(throttled, |r| admin::json(200, &r)))
        .await
}

async fn scan(mut req: Request<State>) -> tide::Result {
    let s: ScanReq = req.body_json().await?;
    let p = req.state().clone();
    guarded(&p, Target::Table, || {
        p.scan(&s.prefix).map_or_else(throttled, |r| admin::json(200, &r))
    })
    .await
}

async fn leases(mut req: Request<State>) -> tide::Result {
    let s: ScanReq = req.body_json().await?;
    let p = req.state().clone();
    guarded(&p, Target::Table, || {
        p.leases(&s.prefix).map_or_else(throttled, |r| admin::json(200, &r))
    })
    .await
}

async fn put_object(mut req: Request<State>) -> tide::Result {
    let body = req.body_string().await?;
    let p = req.state().clone();
    let name = req.param("name")?.to_string();
    guarded(&p, Target::Store, || {
        admin::json(200, &PutAnswer { version: p.put_object(&name, body) })
    })
    .await
}

async fn get_object(req: Request<State>) -> tide::Result {
    let p = req.state().clone();
    let name = req.param("name")?.to_string();
    guarded(&p, Target::Store, || match p.get_object(&name) {
        Some(o) => admin::json(200, &o),
        None => error(404, "not_found", None),
    })
    .await
}

async fn workers(req: Request<State>) -> tide::Result {
    let p = req.state().clone();
    guarded(&p, Target::Workers, || admin::json(200, &p.workers())).await
}

async fn start(mut req: Request<State>) -> tide::Result {
    let b: StartBatch = req.body_json().await?;
    let p = req.state().clone();
    guarded(&p, Target::Workers, || admin::json(200, &p.start(&b.starts))).await
}

async fn stop(mut req: Request<State>) -> tide::Result {
    let s: StopReq = req.body_json().await?;
    let p = req.state().clone();
    guarded(&p, Target::Workers, || admin::json(200, &p.stop(&s.task, &s.worker))).await
}

async fn report(req: Request<State>) -> tide::Result {
    #[derive(serde::Deserialize)]
    struct Q {
        domain: String,
        #[serde(default)]
        since: u64,
    }
    let q: Q = req.query()?;
    let p = req.state().clone();
    guarded(&p, Target::Workers, || match p.report(&q.domain, q.since) {
        Some(r) => admin::json(200, &r),
        None => error(404, "not_found", None),
    })
    .await
}

async fn instances(req: Request<State>) -> tide::Result {
    let p = req.state().clone();
    guarded(&p, Target::Instances, || admin::json(200, &p.instances())).await
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
    app.at("/table/leases").post(leases);
    app.at("/objects/:name").post(put_object).get(get_object);
    app.at("/workers").get(workers);
    app.at("/workers/start").post(start);
    app.at("/workers/stop").post(stop);
    app.at("/workers/report").get(report);
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
