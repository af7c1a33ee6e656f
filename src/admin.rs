//! Functions shared by the HTTP APIs of all daemons: the metrics recorder, JSON answers, and an
//! HTTP listener that waits for the requests in flight on stop, for a bounded time.

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

/// Middleware that counts the requests in flight, so that a stopping server can wait for them, and
/// tells clients to close their connections after the stop.
#[derive(Clone, Debug)]
struct InFlight {
    count: Arc<AtomicUsize>,
    stop: Stop,
}

/// Decrements the count when dropped, also if the handler is cancelled or panics.
struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

#[tide::utils::async_trait]
impl<S: Clone + Send + Sync + 'static> tide::Middleware<S> for InFlight {
    async fn handle(&self, req: tide::Request<S>, next: tide::Next<'_, S>) -> tide::Result {
        self.count.fetch_add(1, Ordering::SeqCst);
        let guard = InFlightGuard(self.count.clone());
        let mut res = next.run(req).await;
        drop(guard);
        if self.stop.fired() {
            res.insert_header("Connection", "close");
        }
        Ok(res)
    }
}

/// Time limits of a stopping listener.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// Time for which connections are accepted after the stop, until the load balancer has seen
    /// `/ready` fail, ms.
    pub linger_ms: u64,
    /// Time limit for the requests in flight after that, ms.
    pub drain_ms: u64,
}

/// Delay before the process ends, so that the last answers can be sent, ms.
const FLUSH_MS: u64 = 50;

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
    /// The listener failed while accepting.
    #[error("listener failed: {0}")]
    Accept(std::io::Error),
}

/// Binds a listener. Returns its address, and a future that serves until `stop` and then waits for
/// the requests in flight.
pub async fn bind<S: Clone + Send + Sync + 'static>(
    mut app: tide::Server<S>,
    addr: SocketAddr,
    stop: Stop,
    clock: Clock,
    drain: Drain,
) -> Result<(SocketAddr, impl std::future::Future<Output = Result<(), ServeError>>), ServeError> {
    let in_flight = InFlight { count: Arc::default(), stop: stop.clone() };
    let count = in_flight.count.clone();
    app.with(in_flight);
    let bind_error = |source| ServeError::Bind { addr, source };
    let socket = http::listen(addr).map_err(bind_error)?;
    let bound = socket.local_addr().map_err(bind_error)?;
    let mut listener = app.bind(socket).await.map_err(bind_error)?;
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
        // Graceful shutdown: the socket is closed, so that no connection waits unserved in the
        // backlog. Requests in flight are finished, for at most `drain_ms`.
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
