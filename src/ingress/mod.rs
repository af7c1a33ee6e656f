//! HTTP listeners that clients of any kind can reach: they accept connections, hand requests to a
//! `tide` application once they have been read, and stay within a budget of memory and descriptors.

pub mod budget;
pub mod limits;
mod stream;

use crate::http;
use crate::kernel::clock::Clock;
use crate::kernel::stop::Stop;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use budget::{Budget, Phase, Place, Reason, Report};
use futures::future::{self, Abortable};
use futures::{AsyncReadExt, FutureExt};
use limits::{Limits, RECEIVE_BYTES};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use stream::{ClientStream, HeadError};
use tide::http as http_types;
use tide::http::Response;

/// Interval between two checks for overdue connections, and the shortest one between two log lines
/// of a listener, ms.
const CHECK_MS: u64 = 1_000;

/// Delay after a failure to accept a connection, ms.
const RETRY_MS: u64 = 50;

/// Interval between two checks whether a stopping listener's requests have ended, ms.
const DRAIN_CHECK_MS: u64 = 5;

/// `Retry-After` of a request for which there is no memory, s. The client comes back over a new
/// connection, which may lead to another instance.
const RETRY_S: &str = "1";

/// Extension of a request whose body is longer than the limit, bytes. The application gets it without
/// the body, since it may have other reasons to refuse it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyTooLong(pub usize);

/// Why a request was not handed to the application.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum Refusal {
    #[error("not accepted: there is no memory for the request")]
    Full,
    #[error(transparent)]
    Head(HeadError),
    #[error("malformed request")]
    Malformed,
}

impl Refusal {
    fn reason(self) -> Reason {
        match self {
            Self::Full => Reason::Full,
            Self::Head(_) | Self::Malformed => Reason::Head,
        }
    }

    fn status(self) -> u16 {
        match self {
            Self::Full => 503,
            Self::Head(HeadError::TooLong) => 431,
            Self::Head(HeadError::NotAscii) | Self::Malformed => 400,
        }
    }

    /// The answer. Its connection is closed, since the request may not have been read.
    fn answer(self) -> Response {
        let mut res = Response::new(self.status());
        res.set_body(serde_json::json!({"error": self.to_string()}));
        res.insert_header("Connection", "close");
        if self == Self::Full {
            res.insert_header("Retry-After", RETRY_S);
        }
        res
    }
}

/// A listener for an application.
pub struct Listener<S> {
    app: tide::Server<S>,
    socket: TcpListener,
    budget: Arc<Budget>,
    stop: Stop,
    clock: Clock,
}

impl<S: Clone + Send + Sync + 'static> Listener<S> {
    /// Listens on `addr`; connections wait until [`Self::serve`].
    pub fn bind(
        app: tide::Server<S>,
        addr: SocketAddr,
        limits: Limits,
        stop: Stop,
        clock: Clock,
    ) -> std::io::Result<Self> {
        let socket = http::listen(addr)?;
        socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BYTES)?;
        let budget = Arc::new(Budget::new(limits, clock.clone()));
        Ok(Self { app, socket, budget, stop, clock })
    }

    /// The address.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves for `linger_ms` after the stop. Then it closes the socket, so that no connection waits
    /// unserved in the backlog, and waits at most `drain_ms` for the requests in progress.
    pub async fn serve(self, linger_ms: u64, drain_ms: u64) {
        let Self { app, socket, budget, stop, clock } = self;
        let connection = |tcp, place| Connection {
            stream: ClientStream::new(tcp, budget.limits().body),
            app: app.clone(),
            place,
            stop: stop.clone(),
        };
        {
            let accept = std::pin::pin!(accept(&socket, &budget, &clock, connection));
            let check = std::pin::pin!(check(&budget, &clock));
            let stopped = std::pin::pin!(async {
                stop.wait().await;
                clock.sleep(linger_ms).await;
            });
            future::select(future::select(accept, check), stopped).await;
        }
        drop(socket);
        let _ = clock.timeout(drain_ms, wait_until(&clock, || budget.busy() == 0)).await;
        budget.close_all();
        let _ = clock.timeout(drain_ms, wait_until(&clock, || budget.connections() == 0)).await;
    }
}

async fn wait_until(clock: &Clock, done: impl Fn() -> bool) {
    while !done() {
        clock.sleep(DRAIN_CHECK_MS).await;
    }
}

/// Accepts connections; never returns.
async fn accept<S: Clone + Send + Sync + 'static>(
    socket: &TcpListener,
    budget: &Arc<Budget>,
    clock: &Clock,
    connection: impl Fn(TcpStream, Place) -> Connection<S>,
) {
    loop {
        let tcp = match socket.accept().await {
            Ok((tcp, _)) => tcp,
            Err(e) if is_transient(e.kind()) => continue,
            Err(e) => {
                log::warn!(listener = budget.limits().listener, why:% = e; "connection not accepted");
                clock.sleep(RETRY_MS).await;
                continue;
            }
        };
        if !budget.make_room().await {
            budget.refuse(Reason::Full);
            continue;
        }
        let (place, registration) = budget.open();
        let serve = AssertUnwindSafe(connection(tcp, place).run()).catch_unwind();
        task::spawn(Abortable::new(serve, registration));
    }
}

/// Whether only the connection failed that was to be accepted.
fn is_transient(kind: ErrorKind) -> bool {
    use ErrorKind::{ConnectionAborted, ConnectionRefused, ConnectionReset};
    matches!(kind, ConnectionAborted | ConnectionRefused | ConnectionReset)
}

/// Regularly closes overdue connections, and reports what was closed and refused; never returns.
pub async fn check(budget: &Budget, clock: &Clock) {
    loop {
        clock.sleep(CHECK_MS).await;
        budget.close_overdue();
        record(&budget.report(), budget.limits());
    }
}

fn record(report: &Report, limits: &Limits) {
    let listener = limits.listener;
    metrics::gauge!("ingress_connections", "listener" => listener).set(report.connections as f64);
    metrics::gauge!("ingress_memory_bytes", "listener" => listener).set(report.memory as f64);
    for (reason, count) in &report.closed {
        metrics::counter!("ingress_closed", "listener" => listener, "why" => reason.name())
            .increment(*count);
    }
    let of = |reason| report.closed.get(&reason).copied().unwrap_or(0);
    let at_limit = report.closed.keys().any(|reason| *reason != Reason::Idle);
    if at_limit {
        log::warn!(listener = listener, connections = report.connections,
            most_connections = limits.connections, memory = report.memory,
            most_memory = limits.memory, slow = of(Reason::Slow),
            closed_for_connections = of(Reason::Connections), closed_for_memory = of(Reason::Memory),
            full = of(Reason::Full), heads = of(Reason::Head), bodies = of(Reason::Body);
            "clients beyond the limits of a listener");
    }
}

/// One connection of a client.
struct Connection<S> {
    stream: ClientStream,
    app: tide::Server<S>,
    place: Place,
    stop: Stop,
}

impl<S: Clone + Send + Sync + 'static> Connection<S> {
    /// Serves requests until the connection ends.
    async fn run(self) {
        let endpoint = |req| self.respond(req);
        let mut server = async_h1::server::Server::new(self.stream.clone(), endpoint);
        while self.stream.next_request().await {
            if !self.place.begin_request() {
                return self.refuse(Refusal::Full).await;
            }
            // Boxed, so that an idle connection does not hold the state of a request.
            match Box::pin(server.accept_one()).await {
                Ok(async_h1::server::ConnectionStatus::KeepAlive) => self.place.end_request(),
                Err(_) if self.place.phase() == Phase::Reading => {
                    let head = self.stream.head_error();
                    return self.refuse(head.map_or(Refusal::Malformed, Refusal::Head)).await;
                }
                _ => return,
            }
        }
    }

    /// Reads a request and hands it to the application.
    async fn respond(&self, mut req: http_types::Request) -> http_types::Result<Response> {
        let has_memory = self.read_body(&mut req).await?;
        let is_read = req.ext().get::<BodyTooLong>().is_none();
        let mut res = if !has_memory {
            self.place.budget().refuse(Reason::Full);
            Refusal::Full.answer()
        } else if self.place.begin_serving() {
            self.app.respond(req).await?
        } else {
            return Err(http_types::Error::from_str(503, "the connection is being closed"));
        };
        self.place.begin_answer();
        if self.stop.fired() || !is_read {
            res.insert_header("Connection", "close");
        }
        Ok(res)
    }

    /// Reads the body of a request into it, or marks it with [`BodyTooLong`]; false if there is no
    /// memory for the body.
    async fn read_body(&self, req: &mut http_types::Request) -> std::io::Result<bool> {
        let (declared, most) = (req.len(), self.place.budget().limits().body);
        if declared == Some(0) {
            return Ok(true);
        }
        let mut body = Vec::new();
        if declared.is_none_or(|len| len <= most) {
            // A buffer that grows has up to twice the size of its content.
            if !self.place.reserve(declared.unwrap_or(2 * most)) {
                return Ok(false);
            }
            body.reserve_exact(declared.map_or(0, |len| len + 1));
            (&mut *req).take(most as u64 + 1).read_to_end(&mut body).await?;
        }
        if declared.unwrap_or(body.len()) > most {
            self.place.budget().refuse(Reason::Body);
            req.ext_mut().insert(BodyTooLong(most));
            body.clear();
        } else if declared.is_some_and(|len| len != body.len()) {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        req.set_body(body);
        Ok(true)
    }

    /// Answers a request that was not read, and waits until the client has seen the answer.
    async fn refuse(&self, refusal: Refusal) {
        self.place.budget().refuse(refusal.reason());
        self.place.begin_answer();
        let mut answer = async_h1::server::Encoder::new(refusal.answer(), http_types::Method::Get);
        if futures::io::copy(&mut answer, &mut self.stream.clone()).await.is_ok() {
            self.stream.finish().await;
        }
    }
}
