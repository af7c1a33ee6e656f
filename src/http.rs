//! The HTTP clients and listener that every process uses, with `TCP_NODELAY` on both ends.
//!
//! Without that option a body, which is written after its head, waits for the remote side's delayed
//! acknowledgement of the head. Visible as some 40 ms more for every call with a body.

use crate::kernel::clock::Clock;
use crate::kernel::traffic::Traffic;
use async_std::net::TcpStream;
use futures::io::BufWriter;
use futures::{AsyncRead, AsyncReadExt, AsyncWrite};
use std::collections::BTreeMap;
use std::future::Future;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use tide::http::{self, Url};

pub use tide::http::Method;

/// Time limit for opening a connection, ms. An address behind a network partition never answers; a
/// reachable one in the same region answers within a few ms.
const CONNECT_MS: u64 = 400;

/// A connection is closed if sent data stays unacknowledged for this time, ms. Without it, a
/// connection whose network path is lost stays open for many minutes.
const UNACKED_MS: u64 = 4_000;

/// Time limit for a whole answer, as a multiple of the limit for its head. Bounds a call to a
/// server that sends its answer very slowly.
const MAX_ANSWER_WAITS: u64 = 10;

/// Longest answer to a call, bytes: several times a refused transaction of 100 rows of the largest
/// size.
const CALL_BYTES: usize = 32 << 20;

/// Longest answer that is fetched, bytes: tables of the store are read in pages.
const FETCH_BYTES: usize = 64 << 20;

/// Largest size of the buffer for reading a body, bytes.
const READ_BYTES: usize = 16 * 1024;

/// Size of the buffer for writing a request, bytes: most requests fit into it, and longer ones take
/// several writes.
const WRITE_BYTES: usize = 4 * 1024;

/// Maximum number of idle connections per address; further ones are closed.
const IDLE_PER_ADDR: usize = 16;

/// Maximum number of addresses whose parsed URLs are kept: a few times the runners of a cell. Beyond
/// it all are dropped, so that runners that come and go cannot fill the memory.
const URL_ADDRS: usize = 4_096;

/// Maximum number of parsed URLs kept for an address; runners and the store have at most three.
const URLS_PER_ADDR: usize = 8;

/// An HTTP/1.1 client with a connection pool, for the command line, the load driver and the client
/// of the platform stand-in.
pub fn client() -> surf::Client {
    let config = surf::Config::new().set_tcp_no_delay(true);
    config.try_into().unwrap_or_else(|_| surf::Client::new())
}

/// A listener on `addr`; accepted sockets inherit `TCP_NODELAY` and the user timeout from it.
pub fn listen(addr: SocketAddr) -> std::io::Result<async_std::net::TcpListener> {
    let socket = std::net::TcpListener::bind(addr)?;
    let sock = socket2::SockRef::from(&socket);
    sock.set_tcp_nodelay(true)?;
    sock.set_tcp_user_timeout(Some(Duration::from_millis(UNACKED_MS)))?;
    Ok(async_std::net::TcpListener::from(socket))
}

/// Opens a connection with `TCP_NODELAY` that is closed if the remote side is unreachable for
/// `UNACKED_MS`.
pub async fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let sock = socket2::SockRef::from(&stream);
    sock.set_tcp_user_timeout(Some(Duration::from_millis(UNACKED_MS)))?;
    Ok(stream)
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened; the call was not sent.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The value of this header cannot be sent, see [`is_header_value`]; the call was not sent.
    #[error("header {0} cannot be sent")]
    Header(String),
    /// No complete answer in time; the call may have taken effect, or may do so later.
    #[error("timed out")]
    Timeout,
    /// The connection broke after the call was sent; the call may have taken effect, or may do so
    /// later.
    #[error("connection broke: {0}")]
    Broken(String),
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body, read to its end.
    pub body: Vec<u8>,
}

/// Bytes that went over a connection for one call.
#[derive(Debug, Default)]
struct CallBytes {
    sent: AtomicUsize,
    received: AtomicUsize,
}

/// A connection whose bytes are counted, and which fails once the answer exceeds a limit. The library
/// and the reading of the body have none.
struct CountedStream {
    inner: TcpStream,
    bytes: Arc<CallBytes>,
    /// Longest answer, bytes.
    most: usize,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(n)) = &read {
            let received = self.bytes.received.fetch_add(*n, Ordering::Relaxed) + n;
            if received > self.most {
                return Poll::Ready(Err(std::io::Error::other("the answer is too long")));
            }
        }
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = &written {
            self.bytes.sent.fetch_add(*n, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

/// A client with a connection pool, for calls whose answers may be late or lost.
///
/// A connection returns to the pool only after its answer has been read to the end. If it returned
/// after a timeout, the next call would receive the late answer to the previous one.
#[derive(Clone, Debug)]
pub struct ConnPool {
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<TcpStream>>>>,
    /// Parsed URLs of earlier calls, by address and path: parsing takes longer than the rest of the
    /// preparation of a call.
    urls: Arc<Mutex<BTreeMap<SocketAddr, BTreeMap<String, Url>>>>,
    /// Counts the bytes of calls, see [`traffic_kind`].
    traffic: Arc<Traffic>,
    clock: Clock,
}

impl ConnPool {
    /// A client without connections; its timeouts use `clock`.
    pub fn new(clock: Clock) -> Self {
        Self::counted(clock, Arc::default())
    }

    /// As [`Self::new`]; counts the bytes of its calls in `traffic`.
    pub fn counted(clock: Clock, traffic: Arc<Traffic>) -> Self {
        Self { idle: Arc::default(), urls: Arc::default(), traffic, clock }
    }

    /// An idle connection to `addr`, if there is one. Connections that have something to read are
    /// closed: the other side has closed them, or has sent what no call has asked for.
    fn take_idle(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap();
        let conns = idle.get_mut(&addr)?;
        loop {
            let stream = conns.pop()?;
            if is_silent(&stream) {
                return Some(stream);
            }
        }
    }

    fn put_back(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap();
        let conns = idle.entry(addr).or_default();
        if conns.len() < IDLE_PER_ADDR {
            conns.push(stream);
        }
    }

    /// Closes the idle connections to `addr`. All connections to an address can become unresponsive
    /// together, so the calls after a failed one open new connections.
    fn close_idle(&self, addr: SocketAddr) {
        self.idle.lock().unwrap().remove(&addr);
    }

    /// The URL of a path that is called often.
    fn url(&self, addr: SocketAddr, path: &str) -> http::Result<Url> {
        let mut urls = self.urls.lock().unwrap();
        if let Some(url) = urls.get(&addr).and_then(|u| u.get(path)) {
            return Ok(url.clone());
        }
        let url = parse_url(addr, path)?;
        if urls.len() >= URL_ADDRS {
            urls.clear();
        }
        let known = urls.entry(addr).or_default();
        if known.len() < URLS_PER_ADDR {
            known.insert(path.to_string(), url.clone());
        }
        Ok(url)
    }

    /// Calls `addr`, waiting at most `ms` for the whole answer.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<Vec<u8>>,
        ms: u64,
    ) -> Result<Reply, CallError> {
        let url = self.url(addr, path).map_err(|e| CallError::Connect(e.to_string()))?;
        self.send(addr, request(url, method, headers, body)?, None, ms).await
    }

    /// Reads a large answer from `addr`: waits at most `ms` for its head and for each further part,
    /// and `MAX_ANSWER_WAITS` times `ms` for all of it. A limit of `ms` for the whole would
    /// depend on the size and the network: at 10 Mbit/s an answer of 2 MB takes 1.6 s. If it timed
    /// out earlier, the request would be repeated, and unused answers would fill the network.
    pub async fn fetch(&self, addr: SocketAddr, path: &str, ms: u64) -> Result<Reply, CallError> {
        let url = parse_url(addr, path).map_err(|e| CallError::Connect(e.to_string()))?;
        let req = request(url, Method::Get, &[], None)?;
        self.send(addr, req, Some(ms), ms * MAX_ANSWER_WAITS).await
    }

    /// Sends `req` on an idle or a new connection. `part_ms` limits the wait for the head and for
    /// each part of the body, `whole_ms` the wait for the whole answer.
    async fn send(
        &self,
        addr: SocketAddr,
        req: http::Request,
        part_ms: Option<u64>,
        whole_ms: u64,
    ) -> Result<Reply, CallError> {
        let stream = match self.take_idle(addr) {
            Some(s) => s,
            None => self.open(addr, part_ms.unwrap_or(whole_ms)).await?,
        };
        // Boxed, since the state of an exchange is large, and each future around it would hold and move
        // copies of it: a test thread's stack of 2 MiB overflowed.
        let bytes = Arc::new(CallBytes::default());
        let most = if part_ms.is_some() { FETCH_BYTES } else { CALL_BYTES };
        let counted = CountedStream { inner: stream.clone(), bytes: bytes.clone(), most };
        let kind = traffic_kind(req.url());
        let exchange = Box::pin(self.exchange(counted, req, part_ms));
        let result = self.clock.timeout(whole_ms, exchange).await;
        let count = |n: &AtomicUsize| n.load(Ordering::Relaxed);
        self.traffic.record(&kind, count(&bytes.sent), count(&bytes.received));
        match result.unwrap_or(Err(CallError::Timeout)) {
            Ok((reply, reusable)) => {
                if reusable {
                    self.put_back(addr, stream);
                }
                Ok(reply)
            }
            Err(e) => {
                self.close_idle(addr);
                Err(e)
            }
        }
    }

    /// Sends `req` and reads the whole answer; the flag is true if the connection can be reused.
    ///
    /// `async_h1` writes the head and the body of a request separately. The buffer makes one write,
    /// and one segment, of both.
    async fn exchange(
        &self,
        stream: CountedStream,
        req: http::Request,
        part_ms: Option<u64>,
    ) -> Result<(Reply, bool), CallError> {
        let stream = BufWriter::with_capacity(WRITE_BYTES, stream);
        let head = self.within(part_ms, async_h1::connect(stream, req)).await?;
        let mut res = head.map_err(|e| CallError::Broken(e.to_string()))?;
        let close = res.header("Connection").is_some_and(|v| v.as_str() == "close");
        let (status, len) = (res.status().into(), res.len());
        let mut source = res.take_body();
        let (mut body, mut buffer) = (Vec::new(), vec![0; read_bytes(len)]);
        loop {
            let read = self.within(part_ms, source.read(&mut buffer)).await?;
            match read.map_err(|e| CallError::Broken(e.to_string()))? {
                0 if len.is_some_and(|len| len != body.len()) => {
                    return Err(CallError::Broken("the body is incomplete".into()));
                }
                0 => return Ok((Reply { status, body }, !close)),
                n => body.extend_from_slice(&buffer[..n]),
            }
        }
    }

    /// Runs `part` of a call for at most `ms`, if that limit differs from the one of the whole call.
    /// Each timer that is waited for costs a system call and wakes the reactor, so that calls with
    /// one limit have one timer.
    async fn within<F: Future>(&self, ms: Option<u64>, part: F) -> Result<F::Output, CallError> {
        match ms {
            Some(ms) => self.clock.timeout(ms, part).await.map_err(|_| CallError::Timeout),
            None => Ok(part.await),
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

/// Whether a connection is open and has nothing to read. Asks the socket itself: a poll of the stream
/// would also register it with the reactor, which costs a system call and, once the answer arrives,
/// a wake-up of no use.
fn is_silent(stream: &TcpStream) -> bool {
    let peeked = socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

/// Size of the buffer for reading a body of `len` bytes, if its length is known. Most answers have
/// some hundred bytes, for which clearing [`READ_BYTES`] takes longer than reading them.
fn read_bytes(len: Option<usize>) -> usize {
    len.map_or(READ_BYTES, |len| len.clamp(1, READ_BYTES))
}

fn parse_url(addr: SocketAddr, path: &str) -> http::Result<Url> {
    Ok(Url::parse(&format!("http://{addr}{path}"))?)
}

/// Kind under which the bytes of a call are counted: its path and the first parameter, which for
/// the store names the table.
fn traffic_kind(url: &Url) -> String {
    match url.query().and_then(|q| q.split('&').next()) {
        Some(parameter) => format!("{}?{parameter}", url.path()),
        None => url.path().to_string(),
    }
}

/// Whether a header can carry `text` as it is: printable ASCII, without spaces around it. Others add
/// lines to the head of a request, or arrive changed; on text that is not ASCII, the library panics.
pub fn is_header_value(text: &str) -> bool {
    let printable = text.bytes().all(|b| b == b' ' || b.is_ascii_graphic());
    printable && !text.is_empty() && text.trim_matches(' ') == text
}

fn request(
    url: Url,
    method: Method,
    headers: &[(&str, &str)],
    body: Option<Vec<u8>>,
) -> Result<http::Request, CallError> {
    let mut req = http::Request::new(method, url);
    for (name, value) in headers {
        if !is_header_value(value) {
            return Err(CallError::Header(name.to_string()));
        }
        req.insert_header(*name, *value);
    }
    if let Some(b) = body {
        let mut body = http::Body::from_bytes(b);
        body.set_mime(http::mime::JSON);
        req.set_body(body);
    }
    Ok(req)
}
