//! Functions shared by the HTTP APIs of all daemons: the metrics recorder, JSON answers, and an
//! HTTP listener that waits for the requests in flight on stop, for a bounded time.

use crate::ingress::limits::Limits;
use crate::ingress::Listener;
use crate::kernel::clock::Clock;
use crate::kernel::stop::Stop;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::net::SocketAddr;
use std::sync::OnceLock;

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Upper bounds of the buckets of every histogram, s: from a call on one machine to the time after
/// which callers give up, in factors of about two. Buckets can be summed over instances, quantiles
/// cannot.
const BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Installs the process's metrics recorder on the first call and returns its handle; `None` if that
/// failed.
pub fn metrics() -> Option<&'static PrometheusHandle> {
    RECORDER
        .get_or_init(|| {
            let builder = PrometheusBuilder::new().set_buckets(&BUCKETS).ok()?;
            builder.install_recorder().ok()
        })
        .as_ref()
}

/// The answer to `/metrics`: all metrics of the process as Prometheus text.
pub fn render() -> String {
    metrics().map(|h| h.render()).unwrap_or_default()
}

/// Time limits of a stopping listener.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// Time for which connections are accepted after the stop, until the load balancer has seen
    /// `/ready` fail, ms.
    pub linger_ms: u64,
    /// Time limit for the requests in progress after that, ms.
    pub drain_ms: u64,
}

/// Errors of the HTTP listener.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The address could not be bound.
    #[error("cannot listen on {addr}: {source}")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Binds a listener. Returns its address, and a future that serves until `stop` and then waits for
/// the requests in progress.
pub fn bind<S: Clone + Send + Sync + 'static>(
    app: tide::Server<S>,
    addr: SocketAddr,
    limits: Limits,
    stop: Stop,
    clock: Clock,
    drain: Drain,
) -> Result<(SocketAddr, impl std::future::Future<Output = ()>), ServeError> {
    let bind_error = |source| ServeError::Bind { addr, source };
    let listener = Listener::bind(app, addr, limits, stop, clock).map_err(bind_error)?;
    let bound = listener.local_addr().map_err(bind_error)?;
    Ok((bound, listener.serve(drain.linger_ms, drain.drain_ms)))
}

/// A JSON answer with `status`, or 500 if `body` cannot be serialized.
pub fn json(status: u16, body: &impl serde::Serialize) -> tide::Response {
    let mut res = tide::Response::new(status);
    match tide::Body::from_json(body) {
        Ok(b) => res.set_body(b),
        Err(_) => res.set_status(500),
    }
    res
}

/// Adds a `Retry-After` header for `retry_ms`, if present, in whole seconds and at least one.
pub fn with_retry(mut res: tide::Response, retry_ms: Option<u64>) -> tide::Response {
    if let Some(ms) = retry_ms {
        res.insert_header("Retry-After", ms.div_ceil(1000).max(1).to_string());
    }
    res
}
