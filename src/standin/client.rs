//! The client that entry instances use to reach the platform: typed answers and typed errors,
//! each call bounded by a timeout on the process clock.

use crate::http;
use crate::kernel::clock::Clock;
use crate::standin::api::{
    ErrorBody, FeedReq, GetReq, Leases, PollBatch, PutAnswer, Rows, ScanReq, StartBatch, Stats,
    StopBatch, StopReq,
};
use crate::standin::faults::Fault;
use crate::standin::instances::InstanceState;
use crate::standin::store::Object;
use crate::standin::table::{Feed, Outcome, Txn};
use crate::standin::tasks::{
    RackCapacity, ShardPoll, ShardReport, StartReq, StartResult, WorkerInfo,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Time allowed for one call to the platform, ms.
pub const CALL_TIMEOUT_MS: u64 = 2000;

/// Header that names the failure domain of the calling process.
pub const CALLER_HEADER: &str = "x-currantgw-domain";

/// Calls of this process to the platform and the bytes of their bodies, for `/debug/state`.
#[derive(Debug, Default, Serialize)]
pub struct Traffic {
    /// Calls made.
    pub calls: AtomicU64,
    /// Request body bytes.
    pub sent: AtomicU64,
    /// Answer body bytes.
    pub received: AtomicU64,
}

/// Why a platform call failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlatformError {
    /// The read or write budget of this second is used up.
    #[error("platform throttled, retry in {retry_ms} ms")]
    Throttled {
        /// Delay before a retry, ms.
        retry_ms: u64,
    },
    /// The service is down, or its answer was lost. The call may have taken effect, so only a
    /// call with an idempotency key may be repeated without checking its outcome.
    #[error("platform unavailable ({kind})")]
    Unavailable {
        /// `unavailable` or `answer_lost`.
        kind: String,
    },
    /// No answer within [`CALL_TIMEOUT_MS`].
    #[error("platform call timed out")]
    Timeout,
    /// The connection failed, or a body could not be encoded or decoded.
    #[error("platform transport: {detail}")]
    Transport {
        /// Error of the HTTP client or of the JSON decoder.
        detail: String,
    },
    /// An answer with a status that the API does not define.
    #[error("platform answered {status}: {detail}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Error kind from the body; empty if the body has none.
        detail: String,
    },
    /// The object, instance or domain does not exist.
    #[error("not found")]
    NotFound,
}

/// A connection-pooling client of one platform address.
#[derive(Clone, Debug)]
pub struct Client {
    http: surf::Client,
    base: String,
    domain: String,
    clock: Clock,
    traffic: Arc<Traffic>,
}

fn transport(e: surf::Error) -> PlatformError {
    PlatformError::Transport { detail: e.to_string() }
}

impl Client {
    /// A client of the platform at `addr`, for a process outside all failure domains.
    pub fn new(addr: std::net::SocketAddr, clock: Clock) -> Self {
        Self::of_domain(addr, "", clock)
    }

    /// A client for a process of failure domain `domain`.
    pub fn of_domain(addr: std::net::SocketAddr, domain: &str, clock: Clock) -> Self {
        Self {
            http: http::client(),
            base: format!("http://{addr}"),
            domain: domain.to_string(),
            clock,
            traffic: Arc::default(),
        }
    }

    /// Calls and bytes since the client was created.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    async fn call<T: DeserializeOwned>(
        &self,
        req: surf::RequestBuilder,
    ) -> Result<T, PlatformError> {
        self.traffic.calls.fetch_add(1, Ordering::Relaxed);
        let answer = self.clock.timeout(CALL_TIMEOUT_MS, async {
            let mut res = req.header(CALLER_HEADER, &self.domain).await.map_err(transport)?;
            let status: u16 = res.status().into();
            let bytes = res.body_bytes().await.map_err(transport)?;
            self.traffic.received.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            if status == 200 {
                return serde_json::from_slice::<T>(&bytes)
                    .map_err(|e| PlatformError::Transport { detail: e.to_string() });
            }
            let body: Option<ErrorBody> = serde_json::from_slice(&bytes).ok();
            let (kind, retry) = body.map_or((String::new(), None), |b| (b.error, b.retry_ms));
            Err(match (status, kind.as_str()) {
                (429, _) => PlatformError::Throttled { retry_ms: retry.unwrap_or(1000) },
                (503, _) => PlatformError::Unavailable { kind },
                (404, _) => PlatformError::NotFound,
                _ => PlatformError::Status { status, detail: kind },
            })
        });
        answer.await.unwrap_or(Err(PlatformError::Timeout))
    }

    async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, PlatformError> {
        let text = serde_json::to_string(body)
            .map_err(|e| PlatformError::Transport { detail: e.to_string() })?;
        self.traffic.sent.fetch_add(text.len() as u64, Ordering::Relaxed);
        let req = self.http.post(format!("{}{path}", self.base));
        self.call(req.header("content-type", "application/json").body_string(text)).await
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

    /// Rows under `prefix` that changed since revision `since` (0: all rows).
    pub async fn feed(&self, prefix: &str, since: u64) -> Result<Feed, PlatformError> {
        self.post("/table/feed", &FeedReq { prefix: prefix.to_string(), since }).await
    }

    /// Reads unexpired leases by prefix.
    pub async fn leases(&self, prefix: &str) -> Result<Leases, PlatformError> {
        self.post("/table/leases", &ScanReq { prefix: prefix.to_string() }).await
    }

    /// Stores an object (a JSON text) and returns its new version.
    pub async fn put_object(&self, name: &str, body: String) -> Result<u64, PlatformError> {
        let url = format!("{}/objects/{name}", self.base);
        let a: PutAnswer = self.call(self.http.post(url).body_string(body)).await?;
        Ok(a.version)
    }

    /// Fetches an object.
    pub async fn get_object(&self, name: &str) -> Result<Object, PlatformError> {
        self.fetch(&format!("/objects/{name}")).await
    }

    /// Lists all workers.
    pub async fn workers(&self) -> Result<Vec<WorkerInfo>, PlatformError> {
        self.fetch("/workers").await
    }

    /// Starts tasks; one result for each, in the order of `starts`.
    pub async fn start(&self, starts: Vec<StartReq>) -> Result<Vec<StartResult>, PlatformError> {
        self.post("/workers/start", &StartBatch { starts }).await
    }

    /// Stops attempts of tasks; each result is whether the worker was reached.
    pub async fn stop(&self, stops: Vec<StopReq>) -> Result<Vec<bool>, PlatformError> {
        self.post("/workers/stop", &StopBatch { stops }).await
    }

    /// Polls shards: extends task leases, acknowledges completions and fetches new ones.
    pub async fn poll(&self, polls: Vec<ShardPoll>) -> Result<Vec<ShardReport>, PlatformError> {
        self.post("/workers/poll", &PollBatch { polls }).await
    }

    /// Free capacity per rack of `domain`, from the workers' usage.
    pub async fn rack_capacity(&self, domain: &str) -> Result<Vec<RackCapacity>, PlatformError> {
        self.fetch(&format!("/workers/rooms?domain={domain}")).await
    }

    /// The instance list, which lags behind by the configured time.
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

    /// Adds faults to the plan; returns the whole plan.
    pub async fn add_faults(&self, faults: &[Fault]) -> Result<serde_json::Value, PlatformError> {
        self.post("/faults", &faults).await
    }

    /// Counters, among them those of broken invariants.
    pub async fn stats(&self) -> Result<Stats, PlatformError> {
        self.fetch("/stats").await
    }
}
