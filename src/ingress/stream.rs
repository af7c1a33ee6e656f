//! The stream of a client's connection, with limits on what the HTTP library reads from it.
//!
//! The library checks the size of a head only when a line ends. The stream fails before.
//!
//! Closing a connection with unread bytes resets it, and the client may not see its answer. After a
//! refusal the stream is therefore read on, within a limit.

use async_std::net::TcpStream;
use futures::{AsyncRead, AsyncWrite};
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{ready, Context, Poll};

/// Longest head of a request, bytes: the limit of the HTTP library.
const HEAD_BYTES: usize = 8 * 1024;

/// Bytes on the wire for one byte of a body: a chunk of one byte takes six.
const WIRE_FACTOR: usize = 8;

/// Most bytes read of a request that was refused before it was read.
const REST_BYTES: usize = 256 * 1024;

/// Size of the buffer for the first bytes of a request, bytes: usually all of it.
const FIRST_BYTES: usize = 4 * 1024;

/// Bytes that a connection reads before other tasks get their turn.
const TURN_BYTES: usize = 16 * 1024;

/// End of a head.
const HEAD_END: u32 = u32::from_be_bytes(*b"\r\n\r\n");

/// Why a head cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// It has [`HEAD_BYTES`] or more.
    #[error("the head of the request is longer than {HEAD_BYTES} bytes")]
    TooLong,
    /// The library cannot represent it, and would panic.
    #[error("the head of the request is not ASCII")]
    NotAscii,
}

/// Progress in a head.
#[derive(Clone, Copy, Debug, Default)]
struct Head {
    len: usize,
    /// Its last four bytes.
    tail: u32,
}

impl Head {
    /// Reads on in `bytes`. Returns how many of them belong to the head, once it has ended.
    fn scan(&mut self, bytes: &[u8]) -> Result<Option<usize>, HeadError> {
        for (n, byte) in bytes.iter().enumerate() {
            self.len += 1;
            self.tail = self.tail << 8 | u32::from(*byte);
            if !byte.is_ascii() {
                return Err(HeadError::NotAscii);
            }
            if self.len >= HEAD_BYTES {
                return Err(HeadError::TooLong);
            }
            if self.tail == HEAD_END {
                return Ok(Some(n + 1));
            }
        }
        Ok(None)
    }
}

/// Part of a request that is being read.
#[derive(Clone, Copy, Debug)]
enum Part {
    Head(Head),
    /// The body, of which the library may read so many bytes more.
    Body(usize),
    Failed(HeadError),
    /// What is left of a refused request, of which so many bytes more are read.
    Rest(usize),
}

#[derive(Debug)]
struct Input {
    /// Bytes read since other tasks had their turn.
    in_turn: usize,
    /// First bytes of a request, and how many of them have been taken.
    first: (Vec<u8>, usize),
    part: Part,
}

/// The stream of a client's connection.
#[derive(Clone, Debug)]
pub struct ClientStream {
    tcp: TcpStream,
    input: Arc<Mutex<Input>>,
    /// Longest body of a request, bytes.
    body: usize,
}

impl Input {
    /// Takes bytes of the buffer; none if it is empty.
    fn take_first(&mut self, buf: &mut [u8]) -> Option<usize> {
        let (bytes, taken) = &mut self.first;
        let n = buf.len().min(bytes.len() - *taken);
        buf[..n].copy_from_slice(&bytes[*taken..*taken + n]);
        *taken += n;
        if *taken == bytes.len() {
            self.first = Default::default();
        }
        (n > 0).then_some(n)
    }

    /// Counts bytes that the library is about to get.
    fn count(&mut self, bytes: &[u8], body: usize) -> std::io::Result<()> {
        match &mut self.part {
            Part::Head(head) => match head.scan(bytes) {
                Ok(None) => {}
                Ok(Some(len)) => {
                    let left = WIRE_FACTOR * body + HEAD_BYTES;
                    self.part = Part::Body(left.saturating_sub(bytes.len() - len));
                }
                Err(e) => {
                    self.part = Part::Failed(e);
                    return Err(std::io::Error::new(ErrorKind::InvalidData, e));
                }
            },
            Part::Body(left) | Part::Rest(left) => *left = left.saturating_sub(bytes.len()),
            Part::Failed(e) => return Err(std::io::Error::new(ErrorKind::InvalidData, *e)),
        }
        Ok(())
    }
}

impl ClientStream {
    /// Reads requests with bodies of at most `body` bytes from `tcp`.
    pub fn new(tcp: TcpStream, body: usize) -> Self {
        let part = Part::Head(Head::default());
        let input = Input { in_turn: 0, first: Default::default(), part };
        Self { tcp, input: Arc::new(Mutex::new(input)), body }
    }

    fn input(&self) -> MutexGuard<'_, Input> {
        self.input.lock().unwrap()
    }

    /// Waits for the first bytes of the next request; false if the connection ended. Until they
    /// arrive, the connection needs none of the library's buffers.
    pub async fn next_request(&self) -> bool {
        futures::future::poll_fn(|cx| {
            let mut buf = [0; FIRST_BYTES];
            let read = ready!(Pin::new(&mut &self.tcp).poll_read(cx, &mut buf));
            let len = read.unwrap_or(0);
            let mut input = self.input();
            input.first = (buf[..len].to_vec(), 0);
            input.part = Part::Head(Head::default());
            Poll::Ready(len > 0)
        })
        .await
    }

    /// What is wrong with the head of the request, as far as it has been read.
    pub fn head_error(&self) -> Option<HeadError> {
        match self.input().part {
            Part::Failed(e) => Some(e),
            _ => None,
        }
    }

    /// Ends this side of the stream, and discards what the client still sends, up to a limit.
    pub async fn finish(&self) {
        let _ = self.tcp.shutdown(std::net::Shutdown::Write);
        self.input().part = Part::Rest(REST_BYTES);
        let _ = futures::io::copy(&mut self.clone(), &mut futures::io::sink()).await;
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let mut input = self.input();
        if matches!(input.part, Part::Body(0) | Part::Rest(0)) {
            return Poll::Ready(Ok(0));
        }
        if input.in_turn >= TURN_BYTES {
            input.in_turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let n = match input.take_first(buf) {
            Some(n) => n,
            None => ready!(Pin::new(&mut &self.tcp).poll_read(cx, buf))?,
        };
        input.in_turn += n;
        Poll::Ready(input.count(&buf[..n], self.body).map(|()| n))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut &self.tcp).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut &self.tcp).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut &self.tcp).poll_close(cx)
    }
}
