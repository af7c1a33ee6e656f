//! The metadata store of the stand-in, with its feed and its faults.

use super::{text, Platform, UNRESPONSIVE_MS};
use async_std::task;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tide::{Request, Response};

/// Interval between two checks whether a waiting call can be answered, ms.
const POLL_MS: u64 = 5;

/// Most changes in one answer of the feed.
const FEED_ROWS: usize = 500;

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
    /// Executes writes after this time, ms, if their conditions still hold, and doesn't answer them;
    /// answers reads.
    LateWrites(u64),
    /// Serves all calls after this time, ms.
    Slow(u64),
}

/// Rows by table, partition and key, each with value and version.
pub(super) type Rows = BTreeMap<(String, String, String), (String, u64)>;

#[derive(Default)]
pub(super) struct Store {
    pub(super) rows: Rows,
    /// Changes: version, key, and false for a deletion.
    pub(super) log: Vec<(u64, (String, String, String), bool)>,
    pub(super) version: u64,
    /// Version up to which the history of the feed is dropped.
    pub(super) history_dropped: u64,
    pub(super) mode: StoreMode,
    /// A partition that refuses writes.
    pub(super) lost_partition: Option<String>,
    pub(super) writes: u64,
    /// Polls of the feed and reads of rows, by table.
    pub(super) reads: BTreeMap<String, u64>,
}

impl Platform {
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
        let (table, part, target) = (arg("table"), arg("part"), q.get("target"));
        let in_range = |k: &(String, String, String)| {
            k.0 == table && k.1 == part && target.is_none_or(|t| k.2 < *t)
        };
        let limit = arg("limit").parse().unwrap_or(500);
        let from = (table.clone(), part.clone(), arg("from"));
        let all: Vec<Value> = st
            .rows
            .range(from..)
            .take_while(|(k, _)| in_range(k))
            .take(limit + 1)
            .map(|(k, r)| row_json(k, r))
            .collect();
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
        let first = st.log.partition_point(|(v, ..)| *v <= after);
        let changes: Vec<_> = st.log[first..].iter().filter(|(_, k, _)| k.0 == table).collect();
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
        StoreMode::NoWriteAnswers | StoreMode::LateWrites(_) if !is_write => None,
        StoreMode::Slow(ms) => {
            task::sleep(Duration::from_millis(ms)).await;
            None
        }
        StoreMode::Refusing => Some(text(503, &json!({}))),
        StoreMode::Unresponsive | StoreMode::NoWriteAnswers | StoreMode::LateWrites(_) => {
            task::sleep(Duration::from_millis(UNRESPONSIVE_MS)).await;
            Some(text(503, &json!({})))
        }
    }
}

pub(super) async fn tx(mut req: Request<Arc<Platform>>) -> tide::Result {
    let platform = req.state().clone();
    let body: Value = req.body_json().await?;
    let mode = platform.store.lock().unwrap().mode;
    match mode {
        StoreMode::NoWriteAnswers => drop(platform.tx(&body)),
        StoreMode::LateWrites(ms) => {
            task::sleep(Duration::from_millis(ms)).await;
            drop(platform.tx(&body));
            task::sleep(Duration::from_millis(UNRESPONSIVE_MS)).await;
            return Ok(text(503, &json!({})));
        }
        _ => {}
    }
    if platform.writes_to_lost(&body) {
        return Ok(text(503, &json!({})));
    }
    if let Some(res) = mode_answer(&platform, true).await {
        return Ok(res);
    }
    Ok(platform.tx(&body))
}

pub(super) async fn get(req: Request<Arc<Platform>>) -> tide::Result {
    let platform = req.state().clone();
    if let Some(res) = mode_answer(&platform, false).await {
        return Ok(res);
    }
    Ok(platform.get(&query(&req)))
}

pub(super) async fn feed(req: Request<Arc<Platform>>) -> tide::Result {
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
