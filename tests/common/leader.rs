//! Set-up of the tests of the leader's loop: a leader whose runners are unreachable, and a store
//! that holds only a configuration.

#![allow(dead_code)]

use currantgw::control::admission::AdmissionView;
use currantgw::control::election::Election;
use currantgw::control::engine::Rules;
use currantgw::control::leader::Leader;
use currantgw::control::links::server::LinkServer;
use currantgw::control::mirror::Mirror;
use currantgw::control::policy::features::Features;
use currantgw::control::policy::place::Placement;
use currantgw::control::ports::{
    Changes, Commit, CommitError, Key, Page, PollRequest, ReadError, Refusal, Report, Row,
    RunnerCall, Runners, StartOrder, StopOrder, Store, Txn,
};
use currantgw::control::rows;
use currantgw::control::settings::NodeSettings;
use currantgw::control::store_health::StoreHealth;
use currantgw::kernel::clock::Clock;
use futures::task;
use serde_json::json;
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Version of all answers of the store.
const VERSION: u64 = 7;

/// A store that holds only a configuration and answers at once.
#[derive(Default)]
pub struct Empty {
    /// Keys of the progress rows written, with the time.
    pub written: Mutex<BTreeMap<String, Instant>>,
}

#[tide::utils::async_trait]
impl Store for Empty {
    async fn commit(&self, txn: &Txn, _: u64) -> Result<Commit, CommitError> {
        let mut written = self.written.lock().unwrap();
        for (key, _) in txn.put.iter().filter(|(k, _)| k.table == rows::PROGRESS) {
            written.insert(key.key.clone(), Instant::now());
        }
        Ok(Commit::Done(VERSION))
    }

    async fn page(
        &self,
        table: &str,
        _: &str,
        _: &str,
        _: Option<&str>,
        _: usize,
    ) -> Result<Page, ReadError> {
        let rows = if table == "op" { vec![config()] } else { Vec::new() };
        Ok(Page { rows, has_more: false, version: VERSION })
    }

    async fn changes(&self, _: &str, _: u64, wait_ms: u64) -> Result<Changes, ReadError> {
        async_std::task::sleep(Duration::from_millis(wait_ms)).await;
        Ok(Changes { rows: Vec::new(), version: VERSION })
    }
}

/// Runners that are all unreachable.
struct Unreachable;

#[tide::utils::async_trait]
impl Runners for Unreachable {
    async fn start(&self, _: &RunnerCall, _: &StartOrder) -> Result<u64, Refusal> {
        Err(Refusal::Unreachable)
    }

    async fn stop(&self, _: &RunnerCall, _: &StopOrder) -> Result<u64, Refusal> {
        Err(Refusal::Unreachable)
    }

    async fn poll(&self, _: &RunnerCall, _: &PollRequest) -> Result<Report, Refusal> {
        Err(Refusal::Unreachable)
    }
}

/// A configuration with one queue.
pub fn config() -> Row {
    let route = json!({"name": "q", "host": "h.example", "path_prefix": "/q/", "kind": "non_idempotent",
        "timeout_ms": 3000, "target_latency_ms": 250, "priority": 1, "service": "svc",
        "max_attempts": 2, "slack_factor": 2.0});
    let value = json!({"version": 3, "routes": [route], "services": [], "limits": {}});
    let key = Key::new("op", "", "config");
    Row { key, value: value.to_string().into_bytes(), version: 1 }
}

/// Settings of an instance whose addresses nothing listens on.
pub fn settings() -> NodeSettings {
    let at = "127.0.0.1:1".parse().unwrap();
    NodeSettings {
        id: "n".into(),
        domain: "z".into(),
        front: at,
        ready: at,
        links: at,
        metrics: at,
        share: 0.5,
        memory_mb: 256.0,
        max_fds: 4_096,
        link_mbps: None,
        store: at,
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

/// A leader on `store` with all features off.
pub fn leader(clock: &Clock, store: Arc<dyn Store>) -> Leader {
    let store_health = Arc::new(StoreHealth::new(clock.clone()));
    let rules = Rules {
        lease_ms: 8_000,
        hold_max_ms: 10_000,
        stop_ms: 400,
        keep_ms: 120_000,
        placement: Placement::default(),
        features: Features::default(),
    };
    Leader {
        store: store.clone(),
        runners: Arc::new(Unreachable),
        server: Arc::new(LinkServer::new(None, Arc::default(), clock.clone())),
        mirror: Arc::new(Mirror::new(store.clone(), store_health, clock.clone())),
        election: Arc::new(Election::new(store, clock.clone(), &settings())),
        clock: clock.clone(),
        rules,
        cross_part: true,
        admission: Arc::new(AdmissionView::new(false, clock.clone())),
        link_mbps: None,
        traffic: Arc::default(),
        view: Arc::default(),
    }
}

/// Polls the future for `span`, as an executor with one thread does, and returns the duration of
/// the longest poll.
pub fn longest_poll(serve: &mut (impl Future<Output = ()> + Unpin), span: Duration) -> Duration {
    let waker = task::noop_waker();
    let (began, mut longest) = (Instant::now(), Duration::ZERO);
    while began.elapsed() < span {
        let polled = Instant::now();
        let res = std::pin::Pin::new(&mut *serve).poll(&mut Context::from_waker(&waker));
        assert_eq!(res, Poll::Pending, "the term is not over");
        longest = longest.max(polled.elapsed());
        std::thread::sleep(Duration::from_millis(1));
    }
    longest
}
