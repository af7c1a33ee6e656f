//! Instances as processes, with a log and a store address each.

#![allow(dead_code)]

use super::runner::STOP_MS;
use crate::common::ports::free_addr;
use crate::common::users::advice::{Advice, AdviceServer};
use crate::common::users::{self, Gate, Platform};
use async_std::task::{self, JoinHandle};
use currantgw::http::{ConnPool, Method};
use currantgw::kernel::clock::Clock;
use serde_json::{json, Value};
use std::fs::{File, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time from SIGTERM to SIGKILL, ms.
const GRACE_MS: u64 = 6_000;

/// One instance; its process is killed on drop.
pub struct Instance {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub links: SocketAddr,
    pub metrics: SocketAddr,
    /// Whether the store serves it.
    pub gate: Gate,
    settings: PathBuf,
    pub log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Its servers of the store and of advice.
    servers: Mutex<Vec<JoinHandle<()>>>,
}

impl Instance {
    /// An instance that is not started yet; its settings and its log are in `dir`.
    pub fn new(n: usize, platform: &Arc<Platform>, advice: Advice, dir: &Path) -> Self {
        let (gate, store, server) = users::serve_store(platform);
        let advice_at = free_addr();
        let advice_server = users::serve(AdviceServer::app(advice), advice_at);
        let (front, ready, links, metrics) = (free_addr(), free_addr(), free_addr(), free_addr());
        let settings = json!({"id": format!("n{n}"), "domain": format!("z{}", n % 3),
            "front": front, "ready": ready, "links": links, "metrics": metrics, "share": 0.25,
            "store": store, "cross_part": true, "advice": advice_at, "hold_max_ms": 10_000,
            "stop_ms": STOP_MS, "grace_ms": GRACE_MS, "keep_ms": 120_000});
        let path = dir.join(format!("n{n}.json"));
        std::fs::write(&path, settings.to_string()).unwrap();
        Self {
            front,
            ready,
            links,
            metrics,
            gate,
            settings: path,
            log: dir.join(format!("n{n}.log")),
            child: Mutex::default(),
            servers: Mutex::new(vec![server, advice_server]),
        }
    }

    /// Sets fields of the settings from the next start on.
    pub fn set(&self, fields: &Value) {
        let text = std::fs::read(&self.settings).unwrap();
        let mut settings: Value = serde_json::from_slice(&text).unwrap();
        for (name, value) in fields.as_object().unwrap() {
            settings[name] = value.clone();
        }
        std::fs::write(&self.settings, settings.to_string()).unwrap();
    }

    /// Starts the process.
    pub fn boot(&self) {
        let program =
            std::env::var("CURRANTGW_BIN").unwrap_or(env!("CARGO_BIN_EXE_currantgw").into());
        let log: File = OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new(program)
            .arg("serve")
            .env("CURRANTGW_CONFIG", &self.settings)
            .env("ASYNC_STD_THREAD_COUNT", "4")
            // As on a machine, where only a few variables are passed on.
            .env_remove("RUST_BACKTRACE")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        *self.child.lock().unwrap() = Some(child);
    }

    /// Sends a signal, such as `STOP`, to the process if there is one.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &*self.child.lock().unwrap() {
            let pid = child.id().to_string();
            assert!(Command::new("kill")
                .args([&format!("-{signal}"), &pid])
                .status()
                .unwrap()
                .success());
        }
    }

    /// Id of the process.
    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().as_ref().expect("the process runs").id()
    }

    /// Whether the process runs.
    pub fn is_up(&self) -> bool {
        self.child.lock().unwrap().is_some()
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|c| c.try_wait().unwrap().is_some())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends the process with SIGTERM, and with SIGKILL after the grace period.
    pub async fn terminate(&self) {
        self.signal("TERM");
        for _ in 0..GRACE_MS / 50 {
            if !self.is_up() || self.has_ended() {
                break;
            }
            task::sleep(Duration::from_millis(50)).await;
        }
        self.kill();
    }

    /// Whether the instance reports that it is ready.
    pub async fn ready(&self, conns: &ConnPool) -> bool {
        let reply = conns.call(self.ready, Method::Get, "/v1/readyz", &[], None, 500).await;
        reply.is_ok_and(|r| r.status == 200)
    }

    /// Whether it is the leader.
    pub async fn leads(&self, conns: &ConnPool) -> bool {
        let reply = conns.call(self.metrics, Method::Get, "/debug/state", &[], None, 500).await;
        let dump: Value =
            reply.ok().and_then(|r| serde_json::from_slice(&r.body).ok()).unwrap_or_default();
        !dump["scheduler"].is_null()
    }

    /// Stops the process and its servers.
    pub async fn end(&self) {
        self.kill();
        let servers = std::mem::take(&mut *self.servers.lock().unwrap());
        for server in servers {
            server.cancel().await;
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Index of the leader, as soon as there is one; of the first instance if there is none for 3 s.
pub async fn next_leader(instances: &[Instance]) -> usize {
    let (conns, began) = (ConnPool::new(Clock::real()), Instant::now());
    while began.elapsed() < Duration::from_secs(3) {
        for (n, instance) in instances.iter().enumerate() {
            if instance.is_up() && instance.leads(&conns).await {
                return n;
            }
        }
        task::sleep(Duration::from_millis(20)).await;
    }
    0
}

/// Index of the leader, or of the first instance if there is none.
pub async fn leader(instances: &[Instance]) -> usize {
    let conns = ConnPool::new(Clock::real());
    for (n, instance) in instances.iter().enumerate() {
        if instance.leads(&conns).await {
            return n;
        }
    }
    0
}
