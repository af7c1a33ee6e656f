//! The HTTP clients and listener that every process uses, with `TCP_NODELAY` on both ends.
//!
//! Without it a body, written after its head, waits for the peer's delayed acknowledgement of
//! the head: noticed as some 40 ms added to every call that carries a body.

use crate::kernel::clock::Clock;
use async_std::net::TcpStream;
use futures::AsyncReadExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tide::http::{self, Url};

pub use tide::http::Method;

/// Longest wait for a connection to open, ms. An address behind a partition never answers; a
/// live one of the same region does within a few ms.
const CONNECT_MS: u64 = 400;

/// Unacknowledged bytes or probes end a connection after this long, ms: otherwise one whose
/// path has died stays open for many minutes.
const DEAD_PEER_MS: u64 = 4_000;

/// An answer that keeps arriving is given up after this many times the time that its head may
/// take: bounds a call to a peer that sends a byte now and then.
const MOST_WAITS: u64 = 10;

/// Bytes of a body taken in at once.
const PIECE: usize = 16 * 1024;

/// Idle connections kept per address; the rest are closed.
const IDLE_PER_ADDR: usize = 16;

/// An HTTP/1.1 client that pools its connections (command line and stand-ins).
pub fn client() -> surf::Client {
    let config = surf::Config::new().set_tcp_no_delay(true);
    config.try_into().unwrap_or_else(|_| surf::Client::new())
}

/// A listener on `addr`; accepted sockets inherit `TCP_NODELAY` from it.
pub fn listen(addr: SocketAddr) -> std::io::Result<async_std::net::TcpListener> {
    let socket = std::net::TcpListener::bind(addr)?;
    let sock = socket2::SockRef::from(&socket);
    sock.set_tcp_nodelay(true)?;
    sock.set_tcp_user_timeout(Some(Duration::from_millis(DEAD_PEER_MS)))?;
    Ok(async_std::net::TcpListener::from(socket))
}

/// Opens a connection with `TCP_NODELAY` that notices a dead peer.
pub async fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let sock = socket2::SockRef::from(&stream);
    sock.set_tcp_user_timeout(Some(Duration::from_millis(DEAD_PEER_MS)))?;
    Ok(stream)
}

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened: the call was not sent.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// No whole answer in time: the call may have been carried out, or may be later.
    #[error("timed out")]
    Timeout,
    /// The connection broke after the call was sent: as for a timeout.
    #[error("connection broke: {0}")]
    Broken(String),
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

/// A client with kept connections, for calls whose answers may be late or lost.
///
/// A connection goes back to the pool only once its answer has been read to the end. A pool that
/// takes back a connection whose call was given up would hand the late answer to the next call.
#[derive(Clone, Debug)]
pub struct Conns {
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<TcpStream>>>>,
    clock: Clock,
}

impl Conns {
    /// A client on `clock`.
    pub fn new(clock: Clock) -> Self {
        Self { idle: Arc::default(), clock }
    }

    fn take(&self, addr: SocketAddr) -> Option<TcpStream> {
        self.idle.lock().unwrap().get_mut(&addr)?.pop()
    }

    fn give(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap();
        let kept = idle.entry(addr).or_default();
        if kept.len() < IDLE_PER_ADDR {
            kept.push(stream);
        }
    }

    /// Closes the kept connections to `addr`. Connections can go silent all at once, so after
    /// one call without an answer the next ones must not wait on the others.
    fn forget(&self, addr: SocketAddr) {
        self.idle.lock().unwrap().remove(&addr);
    }

    /// Calls `addr`, waiting at most `ms` for the whole answer.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        head: &[(&str, &str)],
        body: Option<Vec<u8>>,
        ms: u64,
    ) -> Result<Reply, CallError> {
        let req = request(addr, method, path, head, body);
        self.send(addr, req.map_err(|e| CallError::Connect(e.to_string()))?, ms, ms).await
    }

    /// Asks `addr` for something large, waiting at most `ms` for the head of the answer, and as long
    /// for each further piece of it. A time for the whole would depend on its size and on the link:
    /// over a link of 10 Mbit/s an answer of 2 MB takes 1.6 s, and one that is given up before is
    /// asked for again, which fills the link with answers that nobody takes.
    pub async fn fetch(&self, addr: SocketAddr, path: &str, ms: u64) -> Result<Reply, CallError> {
        let req = request(addr, Method::Get, path, &[], None);
        let req = req.map_err(|e| CallError::Connect(e.to_string()))?;
        self.send(addr, req, ms, ms * MOST_WAITS).await
    }

    async fn send(
        &self,
        addr: SocketAddr,
        req: http::Request,
        ms: u64,
        whole_ms: u64,
    ) -> Result<Reply, CallError> {
        let stream = match self.take(addr) {
            Some(s) => s,
            None => self.open(addr, ms).await?,
        };
        let whole = self.exchange(stream.clone(), req, ms);
        let sent = self.clock.timeout(whole_ms, whole).await;
        match sent.unwrap_or(Err(CallError::Timeout)) {
            Ok((reply, again)) => {
                if again {
                    self.give(addr, stream);
                }
                Ok(reply)
            }
            Err(e) => {
                self.forget(addr);
                Err(e)
            }
        }
    }

    /// Sends `req` and reads the whole answer; true if the connection can be used again.
    async fn exchange(
        &self,
        stream: TcpStream,
        req: http::Request,
        ms: u64,
    ) -> Result<(Reply, bool), CallError> {
        let late = |_| CallError::Timeout;
        let head = self.clock.timeout(ms, async_h1::connect(stream, req)).await.map_err(late)?;
        let mut res = head.map_err(|e| CallError::Broken(e.to_string()))?;
        let close = res.header("Connection").is_some_and(|v| v.as_str() == "close");
        let status = res.status().into();
        let mut from = res.take_body();
        let (mut body, mut piece) = (Vec::new(), vec![0; PIECE]);
        loop {
            let read = self.clock.timeout(ms, from.read(&mut piece)).await.map_err(late)?;
            match read.map_err(|e| CallError::Broken(e.to_string()))? {
                0 => return Ok((Reply { status, body }, !close)),
                n => body.extend_from_slice(&piece[..n]),
            }
        }
    }

    async fn open(&self, addr: SocketAddr, ms: u64) -> Result<TcpStream, CallError> {
        match self.clock.timeout(ms.min(CONNECT_MS), connect(addr)).await {
            Ok(Ok(s)) => Ok(s),
            Ok(Err(e)) => Err(CallError::Connect(e.to_string())),
            Err(_) => Err(CallError::Connect("no answer".into())),
        }
    }
}

fn request(
    addr: SocketAddr,
    method: Method,
    path: &str,
    head: &[(&str, &str)],
    body: Option<Vec<u8>>,
) -> http::Result<http::Request> {
    let url = Url::parse(&format!("http://{addr}{path}"))?;
    let mut req = http::Request::new(method, url);
    for (name, value) in head {
        req.insert_header(*name, *value);
    }
    if let Some(b) = body {
        req.set_body(http::Body::from_bytes(b));
        req.set_content_type(http::mime::JSON);
    }
    Ok(req)
}
