//! What every daemon serves besides its own API: `/metrics` (Prometheus text) and
//! `/debug/state` (JSON dump), plus an HTTP listener that drains requests in flight on stop.

use crate::kernel::clock::Clock;
use crate::kernel::stop::Stop;
use futures::future::{self, Either};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use tide::listener::Listener;

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the process's metrics recorder once and returns its handle.
pub fn metrics() -> Option<&'static PrometheusHandle> {
    RECORDER.get_or_init(|| PrometheusBuilder::new().install_recorder().ok()).as_ref()
}

/// The Prometheus text of every metric of the process.
pub fn render() -> String {
    metrics().map(|h| h.render()).unwrap_or_default()
}

/// Counts requests in flight, so that a stopping server can wait for them.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    /// Requests being served now.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

#[tide::utils::async_trait]
impl<S: Clone + Send + Sync + 'static> tide::Middleware<S> for InFlight {
    async fn handle(&self, req: tide::Request<S>, next: tide::Next<'_, S>) -> tide::Result {
        self.0.fetch_add(1, Ordering::SeqCst);
        let res = next.run(req).await;
        self.0.fetch_sub(1, Ordering::SeqCst);
        Ok(res)
    }
}

/// Errors of the HTTP listener.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The address could not be bound.
    #[error("cannot listen on {addr}: {source}")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The listener failed while accepting.
    #[error("listener failed: {0}")]
    Accept(std::io::Error),
}

/// A bound listener: its address, and a future that serves until `stop`, then waits up to
/// `drain_ms` for requests in flight to finish.
pub async fn bind<S: Clone + Send + Sync + 'static>(
    mut app: tide::Server<S>,
    addr: SocketAddr,
    stop: Stop,
    clock: Clock,
    drain_ms: u64,
) -> Result<(SocketAddr, impl std::future::Future<Output = Result<(), ServeError>>), ServeError> {
    let flight = InFlight::default();
    app.with(flight.clone());
    let mut listener = app.bind(addr).await.map_err(|source| ServeError::Bind { addr, source })?;
    let bound = listener
        .info()
        .first()
        .and_then(|i| i.connection().trim_start_matches("http://").parse().ok())
        .unwrap_or(addr);
    let serve = async move {
        let accept = std::pin::pin!(listener.accept());
        let stopped = std::pin::pin!(stop.wait());
        if let Either::Left((res, _)) = future::select(accept, stopped).await {
            return res.map_err(ServeError::Accept);
        }
        // Graceful shutdown: the listener is dropped above, so no new request arrives; those in
        // flight run to their end (bounded by `drain_ms`) instead of being cut.
        let waited = clock.timeout(drain_ms, async {
            while flight.count() > 0 {
                clock.sleep(5).await;
            }
        });
        let _ = waited.await;
        Ok(())
    };
    Ok((bound, serve))
}

/// A JSON answer with `status`.
pub fn json(status: u16, body: &impl serde::Serialize) -> tide::Response {
    let mut res = tide::Response::new(status);
    match tide::Body::from_json(body) {
        Ok(b) => res.set_body(b),
        Err(_) => res.set_status(500),
    }
    res
}
