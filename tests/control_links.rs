//! Links between instances: linking to the leader while jobs are still being read, and early
//! replacement of a leader whose calls the store refuses.

mod common {
    pub mod ports;
    pub mod users;
}

use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use common::ports::free_addr;
use common::users::Cell;
use currantgw::control::links::{self, Candidate};
use currantgw::control::node;
use currantgw::control::policy::place::Placement;
use currantgw::control::rows::{self, LeaderRow};
use currantgw::control::settings::NodeSettings;
use currantgw::kernel::clock::Clock;
use currantgw::kernel::stop::{self, Trigger};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tide::{Request, Response};

/// Time in which a successor must lead after a planned stop, ms: less than the interval at which
/// linked instances poll the election.
const HANDOVER_MS: u64 = 400;

/// Time in which a starting instance must open its link to the leader, ms, with a margin.
const LINK_MS: u64 = 4_000;

/// Delay of a read that gets no answer, ms: longer than any timeout of a call to the store.
const NO_ANSWER_MS: u64 = 60_000;

/// A store that holds the leader's row and answers no read of jobs.
#[derive(Clone)]
struct Store {
    leader: Value,
}

fn text(body: &Value) -> Response {
    let mut res = Response::new(200);
    res.set_body(body.to_string());
    res.set_content_type("application/json");
    res
}

fn page(rows: &[Value]) -> Response {
    text(&json!({"rows": rows, "schema_version": 7, "now_ms": 1}))
}

fn arg(req: &Request<Store>, name: &str) -> String {
    let found = req.url().query_pairs().find(|(k, _)| k == name);
    found.map_or(String::new(), |(_, v)| v.into_owned())
}

async fn get(req: Request<Store>) -> tide::Result {
    match arg(&req, "table").as_str() {
        rows::JOBS => task::sleep(Duration::from_millis(NO_ANSWER_MS)).await,
        rows::ELECTION => return Ok(page(&[req.state().leader.clone()])),
        _ => {}
    }
    Ok(page(&[]))
}

async fn feed(req: Request<Store>) -> tide::Result {
    let wait = arg(&req, "wait_ms").parse().unwrap_or(0);
    task::sleep(Duration::from_millis(wait)).await;
    Ok(page(&[]))
}

impl Store {
    /// A store where another instance, with its link server at `links`, is the leader.
    fn with_leader(links: SocketAddr) -> Self {
        let row = LeaderRow {
            node: "other".into(),
            life: 1,
            links: Some(links),
            size: 500,
            next: String::new(),
            prior_ms: None,
        };
        let key = rows::leader_key();
        let value = STANDARD.encode(rows::encode(&row));
        let leader = json!({"table": key.table, "part": key.part, "key": key.key,
            "value": value, "schema_version": 5});
        Self { leader }
    }

    fn serve(self, at: SocketAddr) -> JoinHandle<()> {
        let mut app = tide::with_state(self);
        app.at("/v1/rows-get").get(get);
        app.at("/v1/rows-feed").get(feed);
        let socket = std::net::TcpListener::bind(at).expect("the address is free");
        task::spawn(async move { app.listen(TcpListener::from(socket)).await.expect("serves") })
    }
}

fn settings(store: SocketAddr) -> NodeSettings {
    NodeSettings {
        id: "small".into(),
        domain: "z".into(),
        front: free_addr(),
        ready: free_addr(),
        links: free_addr(),
        metrics: free_addr(),
        share: 0.12,
        memory_mb: 256.0,
        max_fds: 4_096,
        link_mbps: None,
        store,
        cross_part: true,
        advice: None,
        hold_max_ms: 10_000,
        stop_ms: 400,
        checkpoint_s: None,
        restore_ms: None,
        scheduling: Default::default(),
        grace_ms: 2_600,
        keep_ms: 120_000,
        contracts: Default::default(),
        config_apply_ms: 2_000,
        max_stretch_ms: 5_000,
        revoke_strict: false,
        revoke_ms: 5_000,
        placement: Placement::default(),
    }
}

fn boot(settings: NodeSettings) -> (Trigger, JoinHandle<()>) {
    let (trigger, stop) = stop::pair();
    let run = async move { node::run(settings, Clock::real(), stop).await.expect("runs") };
    (trigger, task::spawn(run))
}

/// Guards against missing links after a power loss of all instances. The leader had 8 connections
/// to the advice service instead of 29, refused requests for 37 s, and left gangs unplaced while
/// nearly all capacity was free. Writes of instances whose calls the store refused were not
/// relayed. An instance on a small link read the jobs for many seconds. It didn't poll the
/// election, and so didn't have the leader's address, before it had read them.
#[async_std::test]
async fn an_instance_that_is_still_reading_the_jobs_links_to_the_leader() {
    let links = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let store = free_addr();
    let served = Store::with_leader(links.local_addr().unwrap()).serve(store);
    let (mut trigger, node) = boot(settings(store));
    let linked = async_std::future::timeout(Duration::from_millis(LINK_MS), links.accept()).await;
    assert!(linked.is_ok(), "no link within {LINK_MS} ms");
    trigger.fire();
    node.await;
    served.cancel().await;
}

/// Guards against a pause of 1.5 s or more in starting tasks when the store refuses all calls of
/// the leader with 503 and serves the other instances. The leader reported the refusals over its
/// links only after 0.6 s, and the others waited for the full takeover time of 1.05 s regardless.
#[async_std::test]
async fn a_leader_that_the_store_refuses_is_replaced_early() {
    let mut cell = Cell::start(0, 1, 50).await;
    let (gate, store) = cell.gate();
    let first = cell.add(store);
    cell.wait("ready", || async { cell.ready(first).await }).await;
    let is_leader = || async { !cell.dump(first).await["scheduler"].is_null() };
    cell.wait("it is leader", is_leader).await;
    let other = cell.add(cell.store);
    cell.wait("ready", || async { cell.ready(other).await }).await;
    let linked = || async { cell.dump(other).await["link"]["fresh"] == true };
    cell.wait("linked", linked).await;
    task::sleep(Duration::from_millis(700)).await;
    gate.close();
    let began = Instant::now();
    cell.wait("replaced", || async { !cell.dump(other).await["scheduler"].is_null() }).await;
    assert!(began.elapsed() < Duration::from_millis(950), "{:?}", began.elapsed());
    cell.end().await;
}

/// Guards against half a second and more without a scheduler after each planned stop of a leader, and
/// against a successor that is stopped next. Candidates noticed that the leader had stepped down
/// with their next poll of the election, up to 450 ms later, and all of them waited and raced.
#[async_std::test]
async fn a_leader_that_stops_is_followed_by_the_youngest_instance_at_once() {
    let mut cell = Cell::start(3, 1, 50).await;
    task::sleep(Duration::from_millis(800)).await;
    let youngest = cell.add(cell.store);
    cell.wait("ready", || async { cell.ready(youngest).await }).await;
    cell.wait("linked", || async { cell.dump(youngest).await["link"]["fresh"] == true }).await;
    cell.wait("able", || async { cell.dump(youngest).await["able"] == true }).await;
    task::sleep(Duration::from_millis(500)).await;
    let leader = cell.leader().await.expect("there is a leader");
    assert_ne!(leader, youngest);
    cell.signal(leader);
    let began = Instant::now();
    cell.wait("a successor", || async { !cell.dump(youngest).await["scheduler"].is_null() }).await;
    assert!(began.elapsed() < Duration::from_millis(HANDOVER_MS), "{:?}", began.elapsed());
    assert_eq!(cell.submit(youngest, "plain", "00000000000000a1", 1).await.0, 200);
    cell.wait_state(youngest, "plain", "00000000000000a1", "completed").await;
    cell.end().await;
}

/// Guards against a successor that cannot carry the load, is not ready, or is stopped next.
#[test]
fn the_successor_is_the_youngest_able_instance_of_the_leaders_size() {
    let candidate = |node: &str, able, age, size| Candidate {
        node: node.into(),
        able,
        age,
        size,
        ..Candidate::default()
    };
    let all = [
        candidate("small", true, 1, 120),
        candidate("reading", false, 2, 500),
        candidate("old", true, 9_000, 500),
        candidate("young", true, 3, 500),
        candidate("large", true, 8_000, 1_000),
    ];
    assert_eq!(links::choose_successor(all.iter(), 500), Some("young"));
    assert_eq!(links::choose_successor(all.iter(), 501), Some("large"));
    assert_eq!(links::choose_successor(all.iter(), 1_001), None);
}
