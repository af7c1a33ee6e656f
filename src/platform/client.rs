//! The client that entry instances use to reach the platform: typed answers and typed errors,
//! each call bounded by a timeout on the process clock.

use crate::kernel::clock::Clock;
use crate::platform::api::{
    ErrorBody, GetReq, Leases, PutAnswer, Rows, ScanReq, StartBatch, Stats, StopReq,
};
use crate::platform::faults::Fault;
use crate::platform::instances::InstanceState;
use crate::platform::store::Object;
use crate::platform::table::{Outcome, Txn};
use crate::platform::workers::{Report, StartReq, StartResult, WorkerInfo};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;

/// Time allowed for one call to the platform, ms.
pub const CALL_MS: u64 = 2000;

/// Why a platform call failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlatformError {
    /// The budget is spent: come back after `retry_ms`.
    #[error("platform throttled, retry in {retry_ms} ms")]
    Throttled {
        /// When to come back.
        retry_ms: u64,
    },
    /// The service is down (outage), or its answer was lost: the call may or may not have
    /// taken effect, so only calls with an idempotency key may be repeated blindly.
    #[error("platform unavailable ({kind})")]
    Unavailable {
        /// `unavailable` or `answer_lost`.
        kind: String,
    },
    /// No answer within [`CALL_MS`].
    #[error("platform call timed out")]
    Timeout,
    /// The connection failed.
    #[error("platform transport: {detail}")]
    Transport {
        /// What the HTTP client said.
        detail: String,
    },
    /// An answer that is not what the API promises.
    #[error("platform answered {status}: {detail}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Error kind from the body.
        detail: String,
    },
    /// The object or domain does not exist.
    #[error("not found")]
    NotFound,
}

/// A connection-pooling client of one platform address.
#[derive(Clone, Debug)]
pub struct Client {
    http: surf::Client,
    base: String,
    clock: Clock,
}

fn transport(e: surf::Error) -> PlatformError {
    PlatformError::Transport { detail: e.to_string() }
}

impl Client {
    /// A client of the platform at `addr` (`host:port`).
    pub fn new(addr: std::net::SocketAddr, clock: Clock) -> Self {
        Self { http: surf::Client::new(), base: format!("http://{addr}"), clock }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        req: surf::RequestBuilder,
    ) -> Result<T, PlatformError> {
        let sent = self.clock.timeout(CALL_MS, async {
            let mut res = req.await.map_err(transport)?;
            let status: u16 = res.status().into();
            if status == 200 {
                return res.body_json::<T>().await.map_err(transport);
            }
            let body: Option<ErrorBody> = res.body_json().await.ok();
            let (kind, retry) = body.map_or((String::new(), None), |b| (b.error, b.retry_ms));
            Err(match (status, kind.as_str()) {
                (429, _) => PlatformError::Throttled { retry_ms: retry.unwrap_or(1000) },
                (503, _) => PlatformError::Unavailable { kind },
                (404, _) => PlatformError::NotFound,
                _ => PlatformError::Status { status, detail: kind },
            })
        });
        sent.await.unwrap_or(Err(PlatformError::Timeout))
    }

    async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, PlatformError> {
        let req =
            self.http.post(format!("{}{path}", self.base)).body_json(body).map_err(transport)?;
        self.call(req).await
    }

    async fn fetch<T: DeserializeOwned>(&self, path: &str) -> Result<T, PlatformError> {
        self.call(self.http.get(format!("{}{path}", self.base))).await
    }

    /// Applies a transaction.
    pub async fn txn(&self, t: &Txn) -> Result<Outcome, PlatformError> {
        self.post("/table/txn", t).await
    }

    /// Reads rows by key.
    pub async fn get(&self, keys: Vec<String>) -> Result<Rows, PlatformError> {
        self.post("/table/get", &GetReq { keys }).await
    }

    /// Reads rows by prefix.
    pub async fn scan(&self, prefix: &str) -> Result<Rows, PlatformError> {
        self.post("/table/scan", &ScanReq { prefix: prefix.to_string() }).await
    }

    /// Reads unexpired leases by prefix.
    pub async fn leases(&self, prefix: &str) -> Result<Leases, PlatformError> {
        self.post("/table/leases", &ScanReq { prefix: prefix.to_string() }).await
    }

    /// Stores an object (a JSON text).
    pub async fn put_object(&self, name: &str, body: String) -> Result<u64, PlatformError> {
        let url = format!("{}/objects/{name}", self.base);
        let a: PutAnswer = self.call(self.http.post(url).body_string(body)).await?;
        Ok(a.version)
    }

    /// Fetches an object.
    pub async fn get_object(&self, name: &str) -> Result<Object, PlatformError> {
        self.fetch(&format!("/objects/{name}")).await
    }

    /// Every worker.
    pub async fn workers(&self) -> Result<Vec<WorkerInfo>, PlatformError> {
        self.fetch("/workers").await
    }

    /// Starts tasks.
    pub async fn start(&self, starts: Vec<StartReq>) -> Result<Vec<StartResult>, PlatformError> {
        self.post("/workers/start", &StartBatch { starts }).await
    }

    /// Stops a task.
    pub async fn stop(&self, task: &str, worker: &str) -> Result<bool, PlatformError> {
        let body = StopReq { task: task.to_string(), worker: worker.to_string() };
        self.post("/workers/stop", &body).await
    }

    /// The lagging report of ended tasks of `domain` after `since`.
    pub async fn report(&self, domain: &str, since: u64) -> Result<Report, PlatformError> {
        self.fetch(&format!("/workers/report?domain={domain}&since={since}")).await
    }

    /// The lagging instance list.
    pub async fn instances(&self) -> Result<BTreeMap<String, InstanceState>, PlatformError> {
        self.fetch("/instances").await
    }

    /// Marks an instance live or leaving.
    pub async fn set_instance(
        &self,
        name: &str,
        state: InstanceState,
    ) -> Result<InstanceState, PlatformError> {
        self.post(&format!("/instances/{name}"), &state).await
    }

    /// Adds faults to the plan.
    pub async fn add_faults(&self, faults: &[Fault]) -> Result<serde_json::Value, PlatformError> {
        self.post("/faults", &faults).await
    }

    /// Counters and oracle figures.
    pub async fn stats(&self) -> Result<Stats, PlatformError> {
        self.fetch("/stats").await
    }
}
