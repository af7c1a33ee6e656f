//! A stand-in of the platform that speaks its published protocol over HTTP on loopback: the
//! metadata store with its feed, runners, and the advice service, with faults. Used to test the
//! adapter in `platform/` and whole instances of the control plane.

#![allow(dead_code)]

use super::ports::free_addr;
use async_std::task::{self, JoinHandle};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use currantgw::control::model::{JobId, JobSpec, Step};
use currantgw::control::node;
use currantgw::control::place::Placement;
use currantgw::control::ports;
use currantgw::control::rows::{self, JobRow};
use currantgw::control::settings::NodeSettings;
use currantgw::http::ConnPool;
use currantgw::kernel::clock::Clock;
use currantgw::kernel::stop::{self, Trigger};
use currantgw::platform::store::RowStore;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tide::{Request, Response};

/// Interval between two checks whether a waiting call can be answered, ms.
const POLL_MS: u64 = 5;

/// Delay of calls to an unresponsive store, ms: longer than any caller's timeout.
const UNRESPONSIVE_MS: u64 = 20_000;

/// Most changes in one answer of the feed.
const FEED_ROWS: usize = 500;

/// Delay until a start that gets no answer is executed, ms.
pub const LATE_MS: u64 = 2_200;

/// Behaviour of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Serves all calls.
    #[default]
    Healthy,
    /// Answers all calls with 503.
    Refusing,
    /// Answers no call.
    Unresponsive,
    /// Executes writes and doesn't answer them; answers reads.
    NoWriteAnswers,
}

/// Rows by table, partition and key, each with value and version.
type Rows = BTreeMap<(String, String, String), (String, u64)>;

#[derive(Default)]
struct Store {
    rows: Rows,
    /// Changes: version, key, and false for a deletion.
    log: Vec<(u64, (String, String, String), bool)>,
    version: u64,
    /// Version up to which the history of the feed is dropped.
    history_dropped: u64,
    mode: StoreMode,
    /// A partition that refuses writes.
    lost_partition: Option<String>,
    writes: u64,
    /// Polls of the feed and reads of rows, by table.
    reads: BTreeMap<String, u64>,
}

struct Run {
    attempt: u64,
    ends_at: Instant,
}

struct Runner {
    /// When it started: the origin of its clock, and the same as its registry entry shows it.
    began: Instant,
    born: u64,
    fence: u64,
    lease: u64,
    running: BTreeMap<String, Run>,
    /// Completions that are not acknowledged yet.
    completions: Vec<Value>,
    /// Sequence number of the last completion.
    last_seq: u64,
    starts: BTreeMap<String, u64>,
    /// Last attempt of each task that has ended or was stopped; starts up to it are refused.
    closed: BTreeMap<String, u64>,
    work_ms: u64,
}

impl Runner {
    fn new(born: u64, work_ms: u64) -> Self {
        Self {
            began: Instant::now(),
            born,
            fence: 0,
            lease: 0,
            running: BTreeMap::new(),
            completions: Vec::new(),
            last_seq: 0,
            starts: BTreeMap::new(),
            closed: BTreeMap::new(),
            work_ms,
        }
    }
}

/// State of the stand-in, shared by its servers.
#[derive(Default)]
pub struct Platform {
    store: Mutex<Store>,
    runners: Mutex<BTreeMap<String, Runner>>,
    /// Addresses of the runners.
    addresses: Mutex<BTreeMap<String, SocketAddr>>,
    /// Number of runners in each advice request.
    advice: Mutex<Vec<usize>>,
    /// Number of coming starts that get no answer and are executed late.
    late_starts: Mutex<u32>,
}

/// Status and body of an answer.
pub type Answer = (u16, Value);

fn text(status: u16, body: &Value) -> Response {
    let mut res = Response::new(status);
    res.set_body(body.to_string());
    res.set_content_type("application/json");
    res
}

impl Platform {
    /// Writes a row as the platform or its operator does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let value = STANDARD.encode(value.to_string());
        let mut st = self.store.lock().unwrap();
        st.version += 1;
        let (id, version) = ((table.into(), String::new(), key.into()), st.version);
        st.rows.insert(id, (value, version));
        st.log.push((version, (table.into(), String::new(), key.into()), true));
    }

    /// Stores jobs with a payload of `payload` bytes, as an instance that accepts them does.
    pub fn store_jobs(&self, queue: &str, ids: &[JobId], payload: usize) {
        let steps = vec![Step { count: 1, ..Step::default() }];
        let spec = JobSpec { payload: "x".repeat(payload), steps, ..JobSpec::default() };
        let value =
            STANDARD.encode(rows::encode(&JobRow { queue: queue.into(), team: None, at: 1, spec }));
        let mut st = self.store.lock().unwrap();
        for &id in ids {
            st.version += 1;
            let key = rows::job_key(id);
            let (key, version) = ((key.table, key.part, key.key), st.version);
            st.rows.insert(key.clone(), (value.clone(), version));
            st.log.push((version, key, true));
        }
    }

    /// Writes a runner's registry entry.
    fn register(&self, id: &str) {
        let born = self.runners.lock().unwrap()[id].born;
        let at = self.addresses.lock().unwrap()[id];
        let entry = json!({"service": "svc", "address": at, "zone": "z", "version": "v1",
            "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": born,
            "capacity": {"cpu": 4000, "mem_mb": 8000, "gpu": 0}, "labels": ["a", "r1"]});
        self.put("servers", id, &entry);
    }

    /// Crashes a runner and starts it again under its id.
    pub fn restart_runner(&self, id: &str) {
        let mut runners = self.runners.lock().unwrap();
        let r = runners.get_mut(id).expect("the runner exists");
        let starts = std::mem::take(&mut r.starts);
        *r = Runner { starts, ..Runner::new(r.born + 1, r.work_ms) };
        drop(runners);
        self.register(id);
    }

    /// Sets the behaviour of the store.
    pub fn set_store_mode(&self, mode: StoreMode) {
        self.store.lock().unwrap().mode = mode;
    }

    /// Sets the partition of the store that refuses writes, or none.
    pub fn set_lost_partition(&self, partition: Option<&str>) {
        self.store.lock().unwrap().lost_partition = partition.map(str::to_string);
    }

    /// Whether a transaction writes to the partition that refuses writes.
    fn writes_to_lost(&self, body: &Value) -> bool {
        let lost = self.store.lock().unwrap().lost_partition.clone();
        lost.is_some_and(|p| body["write"][0]["part"] == p.as_str())
    }

    /// Drops the history of the feed.
    pub fn drop_history(&self) {
        let mut st = self.store.lock().unwrap();
        st.history_dropped = st.version;
        st.log.clear();
    }

    /// The next `n` starts get no answer and are executed [`LATE_MS`] later.
    pub fn delay_starts(&self, n: u32) {
        *self.late_starts.lock().unwrap() = n;
    }

    /// Whether the next start is to be executed late. Each call counts as one start.
    fn next_start_is_late(&self) -> bool {
        let mut remaining = self.late_starts.lock().unwrap();
        let is_late = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        is_late
    }

    /// Number of polls of the feed and reads of rows of a table so far.
    pub fn reads(&self, table: &str) -> u64 {
        self.store.lock().unwrap().reads.get(table).copied().unwrap_or(0)
    }

    /// Values of all rows of a table, as bytes.
    pub fn values(&self, table: &str) -> Vec<Vec<u8>> {
        let st = self.store.lock().unwrap();
        let rows = st.rows.iter().filter(|(k, _)| k.0 == table);
        rows.map(|(_, (value, _))| STANDARD.decode(value).unwrap()).collect()
    }

    /// Number of rows in a table.
    pub fn count(&self, table: &str) -> usize {
        self.store.lock().unwrap().rows.keys().filter(|k| k.0 == table).count()
    }

    /// Number of starts executed, by task.
    pub fn starts(&self) -> BTreeMap<String, u64> {
        let runners = self.runners.lock().unwrap();
        let mut out = BTreeMap::new();
        for (task, n) in runners.values().flat_map(|r| &r.starts) {
            *out.entry(task.clone()).or_insert(0) += n;
        }
        out
    }

    /// Number of runners in each advice request so far.
    pub fn advice_requests(&self) -> Vec<usize> {
        self.advice.lock().unwrap().clone()
    }

    fn tx(&self, body: &Value) -> Response {
        let mut st = self.store.lock().unwrap();
        st.writes += 1;
        let key = |e: &Value| {
            let field = |f: &str| e[f].as_str().unwrap_or("").to_string();
            (field("table"), field("part"), field("key"))
        };
        let list = |f: &str| body[f].as_array().cloned().unwrap_or_default();
        let version_of = |st: &Store, k: &_| st.rows.get(k).map_or(0, |(_, v)| *v);
        let expected = list("expected");
        if expected.iter().any(|e| json!(version_of(&st, &key(e))) != e["schema_version"]) {
            let rows: Vec<Value> = expected
                .iter()
                .filter_map(|e| {
                    let k = key(e);
                    st.rows.get(&k).map(|row| row_json(&k, row))
                })
                .collect();
            return text(412, &json!({"rows": rows, "schema_version": st.version, "now_ms": 1}));
        }
        st.version += 1;
        let version = st.version;
        for e in list("write") {
            let value = e["value"].as_str().unwrap_or("").to_string();
            st.rows.insert(key(&e), (value, version));
            st.log.push((version, key(&e), true));
        }
        for e in list("remove") {
            if st.rows.remove(&key(&e)).is_some() {
                st.log.push((version, key(&e), false));
            }
        }
        text(200, &json!({"schema_version": version, "now_ms": 1}))
    }

    fn count_read(&self, table: &str) {
        *self.store.lock().unwrap().reads.entry(table.into()).or_default() += 1;
    }

    fn get(&self, q: &BTreeMap<String, String>) -> Response {
        self.count_read(&q["table"]);
        let st = self.store.lock().unwrap();
        let arg = |f: &str| q.get(f).cloned().unwrap_or_default();
        let in_range = |k: &(String, String, String)| {
            k.0 == arg("table")
                && k.1 == arg("part")
                && k.2 >= arg("from")
                && q.get("target").is_none_or(|t| k.2 < *t)
        };
        let limit = arg("limit").parse().unwrap_or(500);
        let all: Vec<Value> =
            st.rows.iter().filter(|(k, _)| in_range(k)).map(|(k, r)| row_json(k, r)).collect();
        let more = all.len() > limit;
        let rows: Vec<Value> = all.into_iter().take(limit).collect();
        let body =
            json!({"rows": rows, "has_more": more, "schema_version": st.version, "now_ms": 1});
        text(200, &body)
    }

    fn feed(&self, table: &str, after: u64) -> Option<Response> {
        let st = self.store.lock().unwrap();
        if after < st.history_dropped {
            return Some(text(410, &json!({})));
        }
        let changes: Vec<_> =
            st.log.iter().filter(|(v, k, _)| *v > after && k.0 == table).collect();
        // An answer with less than all changes ends with the version of its last one, all of which
        // it holds.
        let last = changes.get(FEED_ROWS - 1).filter(|_| changes.len() > FEED_ROWS);
        let version = last.map_or(st.version, |(v, ..)| *v);
        let rows: Vec<Value> = changes
            .iter()
            .filter(|(v, ..)| *v <= version)
            .map(|(v, k, exists)| match (exists, st.rows.get(k)) {
                (true, Some(row)) => row_json(k, row),
                _ => json!({"table": k.0, "part": k.1, "key": k.2, "schema_version": v,
                    "deleted": true}),
            })
            .collect();
        let body = json!({"rows": rows, "schema_version": version, "now_ms": 1});
        (!rows.is_empty()).then(|| text(200, &body))
    }
}

fn row_json(k: &(String, String, String), row: &(String, u64)) -> Value {
    json!({"table": k.0, "part": k.1, "key": k.2, "value": row.0, "schema_version": row.1})
}

fn query(req: &Request<Arc<Platform>>) -> BTreeMap<String, String> {
    req.url().query_pairs().map(|(k, v)| (k.into_owned(), v.into_owned())).collect()
}

/// The answer that the store's mode prescribes; none if the call is to be served.
async fn mode_answer(platform: &Arc<Platform>, is_write: bool) -> Option<Response> {
    let mode = platform.store.lock().unwrap().mode;
    match mode {
        StoreMode::Healthy => None,
        StoreMode::NoWriteAnswers if !is_write => None,
        StoreMode::Refusing => Some(text(503, &json!({}))),
        StoreMode::Unresponsive | StoreMode::NoWriteAnswers => {
            task::sleep(Duration::from_millis(UNRESPONSIVE_MS)).await;
            Some(text(503, &json!({})))
        }
    }
}

async fn tx(mut req: Request<Arc<Platform>>) -> tide::Result {
    let platform = req.state().clone();
    let body: Value = req.body_json().await?;
    if platform.store.lock().unwrap().mode == StoreMode::NoWriteAnswers {
        let _ = platform.tx(&body);
    }
    if platform.writes_to_lost(&body) {
        return Ok(text(503, &json!({})));
    }
    if let Some(res) = mode_answer(&platform, true).await {
        return Ok(res);
    }
    Ok(platform.tx(&body))
}

async fn get(req: Request<Arc<Platform>>) -> tide::Result {
    let platform = req.state().clone();
    if let Some(res) = mode_answer(&platform, false).await {
        return Ok(res);
    }
    Ok(platform.get(&query(&req)))
}

async fn feed(req: Request<Arc<Platform>>) -> tide::Result {
    let platform = req.state().clone();
    let q = query(&req);
    let number = |f: &str| q.get(f).and_then(|v| v.parse().ok()).unwrap_or(0);
    platform.count_read(&q["table"]);
    let deadline = Instant::now() + Duration::from_millis(number("wait_ms"));
    loop {
        if let Some(res) = mode_answer(&platform, false).await {
            return Ok(res);
        }
        if let Some(res) = platform.feed(&q["table"], number("after")) {
            return Ok(res);
        }
        if Instant::now() >= deadline {
            let version = platform.store.lock().unwrap().version;
            return Ok(text(200, &json!({"rows": [], "schema_version": version, "now_ms": 1})));
        }
        task::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

async fn advise(mut req: Request<Arc<Platform>>) -> tide::Result {
    let body: Value = req.body_json().await?;
    let ids = body["workers"].as_array().cloned().unwrap_or_default();
    req.state().advice.lock().unwrap().push(ids.len());
    let approved: Vec<Value> = ids.iter().map(|id| json!([id, "ticket"])).collect();
    Ok(text(200, &json!({"approved": approved, "validity_ms": 2000})))
}

/// Server of one runner.
struct RunnerServer {
    platform: Arc<Platform>,
    id: String,
}

impl RunnerServer {
    /// Start time of the current incarnation.
    fn born(&self) -> u64 {
        self.platform.runners.lock().unwrap()[&self.id].born
    }

    /// Ends runs whose work is done.
    fn end_finished(&self, r: &mut Runner) {
        let now = Instant::now();
        let finished: Vec<String> =
            r.running.iter().filter(|(_, x)| x.ends_at <= now).map(|(t, _)| t.clone()).collect();
        for t in finished {
            self.end(r, &t, "done");
        }
    }

    fn end(&self, r: &mut Runner, task: &str, how: &str) {
        let Some(run) = r.running.remove(task) else { return };
        r.last_seq += 1;
        r.closed.insert(task.into(), run.attempt);
        r.completions.push(json!([r.last_seq, task, run.attempt, how, ""]));
    }

    fn call(&self, path: &str, body: &Value) -> (u16, Value) {
        let mut runners = self.platform.runners.lock().unwrap();
        let r = runners.get_mut(&self.id).expect("the runner exists");
        self.end_finished(r);
        let clock = r.began.elapsed().as_millis() as u64 + 5_000;
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        if fence < r.fence {
            return (409, json!({"clock_ms": clock, "reason": "fence"}));
        }
        r.fence = fence;
        r.lease = r.lease.max(body["expires_ms"].as_u64().unwrap_or(0));
        let task = body["task"].as_str().unwrap_or("").to_string();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        match path {
            "start" if r.running.contains_key(&task) => {}
            "start" if r.closed.get(&task).is_some_and(|a| attempt <= *a) => {
                return (409, json!({"clock_ms": clock, "reason": "old"}));
            }
            "start" => {
                let ends_at = Instant::now() + Duration::from_millis(r.work_ms);
                r.running.insert(task.clone(), Run { attempt, ends_at });
                *r.starts.entry(task).or_default() += 1;
            }
            "stop" => {
                r.closed.insert(task.clone(), attempt);
                self.end(r, &task, "stopped");
            }
            _ => {
                let acked = body["acked"].as_u64().unwrap_or(0);
                r.completions.retain(|e| e[0].as_u64() > Some(acked));
                let active: Vec<Value> = r
                    .running
                    .iter()
                    .map(|(t, x)| json!([t, x.attempt, "", percent(x, r.work_ms), 0.5]))
                    .collect();
                return (
                    200,
                    json!({"clock_ms": clock, "born": r.born, "active": active,
                        "finished": r.completions}),
                );
            }
        }
        (200, json!({"clock_ms": clock}))
    }
}

/// Percentage of its work that a run has done.
fn percent(run: &Run, work_ms: u64) -> u64 {
    let remaining = run.ends_at.saturating_duration_since(Instant::now()).as_millis() as u64;
    (work_ms.saturating_sub(remaining) * 100).checked_div(work_ms).unwrap_or(100)
}

async fn runner_call(mut req: Request<Arc<RunnerServer>>) -> tide::Result {
    let body: Value = req.body_json().await?;
    let server = req.state().clone();
    let path = req.url().path().rsplit(['/', '-']).next().unwrap_or("").to_string();
    if path == "start" && server.platform.next_start_is_late() {
        task::sleep(Duration::from_millis(LATE_MS)).await;
        let _ = server.call(&path, &body);
        task::sleep(Duration::from_millis(UNRESPONSIVE_MS)).await;
    }
    let deadline = Instant::now() + Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
    let born = server.born();
    loop {
        if server.born() != born {
            // The incarnation that received the call is gone.
            return Ok(text(503, &json!({})));
        }
        let (status, answer) = server.call(&path, &body);
        let idle = answer["finished"].as_array().is_some_and(Vec::is_empty);
        if status != 200 || !idle || Instant::now() >= deadline {
            return Ok(text(status, &answer));
        }
        task::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

/// A switch of an additional address of the store, which makes it refuse all calls.
#[derive(Clone, Default)]
pub struct Gate(Arc<AtomicBool>);

impl Gate {
    /// Refuses all calls from now on with 503.
    pub fn close(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

#[tide::utils::async_trait]
impl tide::Middleware<Arc<Platform>> for Gate {
    async fn handle(
        &self,
        req: Request<Arc<Platform>>,
        next: tide::Next<'_, Arc<Platform>>,
    ) -> tide::Result {
        match self.0.load(Ordering::Relaxed) {
            true => Ok(text(503, &json!({}))),
            false => Ok(next.run(req).await),
        }
    }
}

fn store_app(platform: &Arc<Platform>) -> tide::Server<Arc<Platform>> {
    let mut app = tide::with_state(platform.clone());
    app.at("/v1/rows-tx").post(tx);
    app.at("/v1/rows-get").get(get);
    app.at("/v1/rows-feed").get(feed);
    app.at("/v1/advise").post(advise);
    app
}

/// A cell on the stand-in: its servers and instances. [`Cell::end`] stops them.
pub struct Cell {
    /// The stand-in.
    pub platform: Arc<Platform>,
    /// Addresses for callers, by instance.
    pub fronts: Vec<SocketAddr>,
    settings: Vec<NodeSettings>,
    servers: Vec<JoinHandle<()>>,
    nodes: Vec<Option<(Trigger, JoinHandle<()>)>>,
    /// Parts of the platform's interface that are in force.
    contracts: BTreeSet<String>,
    /// Address of the store.
    pub store: SocketAddr,
}

/// Serves `app` at `at`. Listens before it returns, so that no client is refused.
fn serve<S: Clone + Send + Sync + 'static>(app: tide::Server<S>, at: SocketAddr) -> JoinHandle<()> {
    let socket = std::net::TcpListener::bind(at).expect("the stand-in's address is free");
    task::spawn(async move {
        let socket = async_std::net::TcpListener::from(socket);
        app.listen(socket).await.expect("the stand-in listens");
    })
}

/// A route of the operator's configuration.
pub fn route(name: &str, advised: bool) -> Value {
    let mut r = json!({"name": name, "host": "h.example", "path_prefix": format!("/{name}/"),
        "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 250,
        "priority": 1, "service": "svc", "max_attempts": 2, "slack_factor": 2.0});
    if advised {
        r["recommendation"] = json!({"decision_ms": 1, "per_item_ms": 0.1, "validity_ms": 2000});
    }
    r
}

impl Cell {
    /// A cell with an empty store, without instances and runners.
    pub async fn empty() -> Self {
        let cell = Self::start(0, 0, 0).await;
        *cell.platform.store.lock().unwrap() = Store::default();
        cell
    }

    /// A client of the store, through the adapter in `platform/`.
    pub fn store_client(&self) -> Arc<dyn ports::Store> {
        Arc::new(RowStore::new(ConnPool::new(Clock::real()), self.store))
    }

    /// Starts `nodes` instances and `runners` runners whose tasks take `work_ms`.
    pub async fn start(nodes: usize, runners: usize, work_ms: u64) -> Self {
        let config = json!({"version": 3, "services": [], "limits": {},
            "routes": [route("plain", false), route("asked", true)]});
        Self::start_with(nodes, runners, work_ms, &config, &[]).await
    }

    /// As [`Self::start`], with a configuration and the contracts in force.
    pub async fn start_with(
        nodes: usize,
        runners: usize,
        work_ms: u64,
        config: &Value,
        contracts: &[&str],
    ) -> Self {
        let platform = Arc::new(Platform::default());
        let mut servers = Vec::new();
        let store = free_addr();
        servers.push(serve(store_app(&platform), store));
        for n in 0..runners {
            let (id, at) = (format!("i-{n}"), free_addr());
            let runner = Runner::new(1, work_ms);
            platform.runners.lock().unwrap().insert(id.clone(), runner);
            let server = Arc::new(RunnerServer { platform: platform.clone(), id: id.clone() });
            let mut app = tide::with_state(server);
            for path in ["/v1/run-start", "/v1/run-stop", "/v1/hold"] {
                app.at(path).post(runner_call);
            }
            servers.push(serve(app, at));
            platform.addresses.lock().unwrap().insert(id.clone(), at);
            platform.register(&id);
        }
        platform.put("op", "config", config);
        let mut cell = Self {
            platform,
            fronts: Vec::new(),
            settings: Vec::new(),
            servers,
            nodes: Vec::new(),
            contracts: contracts.iter().map(|c| c.to_string()).collect(),
            store,
        };
        for n in 0..nodes {
            let settings = cell.settings_of(n);
            cell.fronts.push(settings.front);
            cell.settings.push(settings);
            cell.nodes.push(None);
            cell.boot(n);
        }
        for n in 0..nodes {
            cell.wait("an instance is ready", || async { cell.ready(n).await }).await;
        }
        cell
    }

    fn settings_of(&self, n: usize) -> NodeSettings {
        NodeSettings {
            id: format!("n{n}"),
            domain: "z".into(),
            front: free_addr(),
            ready: free_addr(),
            links: free_addr(),
            metrics: free_addr(),
            share: 1.0,
            store: self.store,
            cross_part: true,
            advice: Some(self.store),
            hold_max_ms: 10_000,
            grace_ms: 2_600,
            keep_ms: 120_000,
            contracts: self.contracts.clone(),
            config_apply_ms: 2_000,
            max_stretch_ms: 5_000,
            revoke_strict: false,
            revoke_ms: 5_000,
            placement: Placement::default(),
        }
    }

    /// Opens an additional address of the store, and returns it.
    pub fn gate(&mut self) -> (Gate, SocketAddr) {
        let (gate, at) = (Gate::default(), free_addr());
        let mut app = store_app(&self.platform);
        app.with(gate.clone());
        self.servers.push(serve(app, at));
        (gate, at)
    }

    /// Starts one more instance, which uses the store at `store`. Returns its index.
    pub fn add(&mut self, store: SocketAddr) -> usize {
        self.add_sized(store, 1.0)
    }

    /// As [`Self::add`], for an instance that may use `share` of a processor.
    pub fn add_sized(&mut self, store: SocketAddr, share: f64) -> usize {
        let n = self.nodes.len();
        let settings = NodeSettings { store, share, ..self.settings_of(n) };
        self.fronts.push(settings.front);
        self.settings.push(settings);
        self.nodes.push(None);
        self.boot(n);
        n
    }

    /// Sets the grace period of an instance from its next start on.
    pub fn set_grace(&mut self, n: usize, ms: u64) {
        self.settings[n].grace_ms = ms;
    }

    /// Starts an instance.
    pub fn boot(&mut self, n: usize) {
        let (trigger, stop) = stop::pair();
        let settings = self.settings[n].clone();
        let task = task::spawn(async move {
            node::run(settings, Clock::real(), stop).await.expect("an instance runs");
        });
        self.nodes[n] = Some((trigger, task));
    }

    /// Signals an instance to stop; it steps down at once if it is the leader.
    pub fn signal(&mut self, n: usize) {
        if let Some((trigger, _)) = &mut self.nodes[n] {
            trigger.fire();
        }
    }

    /// Index of the instance that is the leader, if there is one.
    pub async fn leader(&self) -> Option<usize> {
        for n in 0..self.nodes.len() {
            if !self.dump(n).await["scheduler"].is_null() {
                return Some(n);
            }
        }
        None
    }

    /// Signals an instance to stop, and waits until it has stopped.
    pub async fn stop(&mut self, n: usize) {
        if let Some((mut trigger, task)) = self.nodes[n].take() {
            trigger.fire();
            task.await;
        }
    }

    /// Whether an instance reports that it is ready.
    pub async fn ready(&self, n: usize) -> bool {
        let url = format!("http://{}/v1/readyz", self.settings[n].ready);
        surf::get(url).await.is_ok_and(|r| r.status() == 200)
    }

    /// The metrics of an instance.
    pub async fn metrics(&self, n: usize) -> String {
        let url = format!("http://{}/metrics", self.settings[n].metrics);
        surf::get(url).recv_string().await.expect("metrics are served")
    }

    /// The state dump of an instance.
    pub async fn dump(&self, n: usize) -> Value {
        let url = format!("http://{}/debug/state", self.settings[n].metrics);
        surf::get(url).recv_json().await.expect("a state dump is served")
    }

    /// Sends a client's request to an instance.
    pub async fn call(&self, n: usize, method: &str, path: &str, body: &str) -> Answer {
        self.call_with(n, None, method, path, body).await
    }

    /// As [`Self::call`], with a key.
    pub async fn call_with(
        &self,
        n: usize,
        key: Option<&str>,
        method: &str,
        path: &str,
        body: &str,
    ) -> Answer {
        let method: tide::http::Method = method.parse().unwrap();
        let url = tide::http::Url::parse(&format!("http://{}{path}", self.fronts[n])).unwrap();
        let req = surf::RequestBuilder::new(method, url)
            .header("Host", "h.example")
            .header("X-Deadline-Ms", "3000")
            .body_string(body.to_string());
        let req = match key {
            Some(key) => req.header("Api-Key", key),
            None => req,
        };
        let mut res = req.await.expect("an answer");
        let text = res.body_string().await.unwrap();
        (res.status().into(), serde_json::from_str(&text).unwrap_or(Value::Null))
    }

    /// The `Retry-After` header of a refused submission, s.
    pub async fn retry_after(&self, n: usize, path: &str, body: &str) -> Option<u64> {
        let url = format!("http://{}{path}", self.fronts[n]);
        let req = surf::post(url).header("Host", "h.example").body_string(body.to_string());
        let res = req.await.expect("an answer");
        assert!(!res.status().is_success(), "{}", res.status());
        res.header("Retry-After")?.as_str().parse().ok()
    }

    /// Submits a job of `count` tasks of one core each.
    pub async fn submit(&self, n: usize, queue: &str, id: &str, count: u32) -> Answer {
        let job = json!({"spec": "s", "phases": [{"count": count, "cpu": 1000, "mem_mb": 100,
            "estimate_ms": 100}]});
        self.call(n, "POST", &format!("/{queue}/{id}"), &job.to_string()).await
    }

    /// State of a job as reported by an instance, or the status if there is none.
    pub async fn state(&self, n: usize, queue: &str, id: &str) -> String {
        let (status, body) = self.call(n, "GET", &format!("/{queue}/{id}"), "").await;
        body["state"].as_str().map_or_else(|| status.to_string(), str::to_string)
    }

    /// Waits until `ok` returns true, at most 10 s; `condition` describes it in the failure.
    pub async fn wait<F, Fut>(&self, condition: &str, ok: F)
    where
        F: Fn() -> Fut,
        Fut: std::future::Future<Output = bool>,
    {
        let end = Instant::now() + Duration::from_secs(10);
        while !ok().await {
            assert!(Instant::now() < end, "timed out: {condition}");
            task::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits for a state of a job.
    pub async fn wait_state(&self, n: usize, queue: &str, id: &str, state: &str) {
        self.wait(state, || async { self.state(n, queue, id).await == state }).await;
    }

    /// Stops all instances and servers.
    pub async fn end(mut self) {
        for n in 0..self.nodes.len() {
            self.stop(n).await;
        }
        for s in self.servers {
            s.cancel().await;
        }
    }
}
