//! What every daemon serves besides its own API: `/metrics` (Prometheus text) and
//! `/debug/state` (JSON dump), plus an HTTP listener that drains requests in flight on stop.

use crate::http;
use crate::kernel::clock::Clock;
use crate::kernel::stop::Stop;
use futures::future::{self, Either};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use tide::listener::Listener;

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Upper bounds of the buckets of every histogram, s: from a call on one machine to a caller's
/// patience, in steps of about two. Buckets, unlike quantiles, add up over instances.
const BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Installs the process's metrics recorder once and returns its handle.
pub fn metrics() -> Option<&'static PrometheusHandle> {
    RECORDER
        .get_or_init(|| {
            let builder = PrometheusBuilder::new().set_buckets(&BUCKETS).ok()?;
            builder.install_recorder().ok()
        })
        .as_ref()
}

/// The Prometheus text of every metric of the process.
pub fn render() -> String {
    metrics().map(|h| h.render()).unwrap_or_default()
}

/// Counts requests in flight, so that a stopping server can wait for them, and asks callers to
/// close their connections once it drains.
#[derive(Clone, Debug)]
struct InFlight {
    count: Arc<AtomicUsize>,
    stop: Stop,
}

/// Takes a request off the count however its handler ends.
struct Counted(Arc<AtomicUsize>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

#[tide::utils::async_trait]
impl<S: Clone + Send + Sync + 'static> tide::Middleware<S> for InFlight {
    async fn handle(&self, req: tide::Request<S>, next: tide::Next<'_, S>) -> tide::Result {
        self.count.fetch_add(1, Ordering::SeqCst);
        let counted = Counted(self.count.clone());
        let mut res = next.run(req).await;
        drop(counted);
        if self.stop.fired() {
            res.insert_header("Connection", "close");
        }
        Ok(res)
    }
}

/// How a listener stops.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// Goes on accepting this long after the stop, until the balancer has seen `/ready` fail, ms.
    pub linger_ms: u64,
    /// Then waits this long at most for requests in flight, ms.
    pub drain_ms: u64,
}

/// Time for the last answers to leave the process before it ends, ms.
const FLUSH_MS: u64 = 50;

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

/// A bound listener: its address, and a future that serves until `stop` and then drains.
pub async fn bind<S: Clone + Send + Sync + 'static>(
    mut app: tide::Server<S>,
    addr: SocketAddr,
    stop: Stop,
    clock: Clock,
    drain: Drain,
) -> Result<(SocketAddr, impl std::future::Future<Output = Result<(), ServeError>>), ServeError> {
    let flight = InFlight { count: Arc::default(), stop: stop.clone() };
    let count = flight.count.clone();
    app.with(flight);
    let failed = |source| ServeError::Bind { addr, source };
    let socket = http::listen(addr).map_err(failed)?;
    let bound = socket.local_addr().map_err(failed)?;
    let mut listener = app.bind(socket).await.map_err(failed)?;
    let serve = async move {
        {
            let accept = std::pin::pin!(listener.accept());
            let stopped = std::pin::pin!(async {
                stop.wait().await;
                clock.sleep(drain.linger_ms).await;
            });
            if let Either::Left((res, _)) = future::select(accept, stopped).await {
                return res.map_err(ServeError::Accept);
            }
        }
        // Graceful shutdown: the socket is closed, so no new connection is taken into a backlog
        // that nobody serves; requests in flight run to their end (bounded by `drain_ms`).
        drop(listener);
        let drained = clock.timeout(drain.drain_ms, async {
            while count.load(Ordering::SeqCst) > 0 {
                clock.sleep(5).await;
            }
        });
        let _ = drained.await;
        clock.sleep(FLUSH_MS).await;
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

/// The answer with a `Retry-After` of `retry_ms`, if there is one, in whole seconds and at least one.
pub fn with_retry(mut res: tide::Response, retry_ms: Option<u64>) -> tide::Response {
    if let Some(ms) = retry_ms {
        res.insert_header("Retry-After", ms.div_ceil(1000).max(1).to_string());
    }
    res
}
