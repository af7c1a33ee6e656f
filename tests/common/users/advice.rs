//! The advice service of the stand-in, and its tickets.

use super::text;
use async_std::sync::Mutex;
use async_std::task;
use serde_json::{json, Value};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tide::Request;
use xxhash_rust::xxh3;

/// Which runners may run a step, and how long a ticket is valid.
#[derive(Clone, Copy, Debug)]
pub struct Advice {
    /// Share of the runners that may run a step.
    pub percent: u64,
    pub decision_ms: u64,
    /// Time for each runner named, ms.
    pub per_item_ms: f64,
    pub validity_ms: u64,
    /// Origin of the expiries of tickets.
    pub began: Instant,
}

impl Advice {
    /// A service that approves `percent` of the runners within some 10 ms.
    pub fn new(percent: u64) -> Self {
        let (decision_ms, per_item_ms) = (6, 0.1);
        Self { percent, decision_ms, per_item_ms, validity_ms: 2_000, began: Instant::now() }
    }

    /// Whether a runner may run a step: the same answer each time.
    pub fn admits(&self, step: &str, runner: &str) -> bool {
        xxh3::xxh3_64(format!("{step} {runner}").as_bytes()) % 100 < self.percent
    }

    fn ticket(&self, step: &str, runner: &str) -> String {
        let expiry = self.began.elapsed().as_millis() + u128::from(self.validity_ms);
        format!("{step} {runner} {expiry}")
    }

    /// Whether a ticket is valid now, for this step on this runner.
    pub fn is_valid(&self, ticket: &str, step: &str, runner: &str) -> bool {
        let expiry = ticket.strip_prefix(&format!("{step} {runner} "));
        let expiry: Option<u128> = expiry.and_then(|e| e.parse().ok());
        expiry.is_some_and(|e| self.began.elapsed().as_millis() < e)
    }
}

/// An address of the service; it serves the calls that it receives in turn.
pub struct AdviceServer {
    advice: Advice,
    turn: Mutex<()>,
}

impl AdviceServer {
    pub fn app(advice: Advice) -> tide::Server<Arc<Self>> {
        let mut app = tide::with_state(Arc::new(Self { advice, turn: Mutex::new(()) }));
        app.at("/v1/advise").post(advise);
        app
    }
}

async fn advise(mut req: Request<Arc<AdviceServer>>) -> tide::Result {
    let body: Value = req.body_json().await?;
    let server = req.state().clone();
    let (advice, step) = (server.advice, body["step_id"].as_str().unwrap_or(""));
    let workers = body["workers"].as_array().cloned().unwrap_or_default();
    let _turn = server.turn.lock().await;
    let ms = advice.decision_ms as f64 + advice.per_item_ms * workers.len() as f64;
    task::sleep(Duration::from_secs_f64(ms / 1_000.0)).await;
    let ids = workers.iter().filter_map(Value::as_str).filter(|id| advice.admits(step, id));
    let approved: Vec<Value> = ids.map(|id| json!([id, advice.ticket(step, id)])).collect();
    Ok(text(200, &json!({"approved": approved, "validity_ms": advice.validity_ms})))
}
