//! The stream of a client's connection.

use async_std::net::TcpStream;
use futures::{AsyncRead, AsyncWrite};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{ready, Context, Poll};

/// Size of the buffer for the first bytes of a request, bytes: usually all of it.
const FIRST_BYTES: usize = 4 * 1024;

/// Bytes that a connection reads before other tasks get their turn.
const TURN_BYTES: usize = 16 * 1024;

#[derive(Debug, Default)]
struct Input {
    /// Bytes read since other tasks had their turn.
    in_turn: usize,
    /// First bytes of a request, and how many of them have been taken.
    first: (Vec<u8>, usize),
}

/// The stream of a client's connection.
#[derive(Clone, Debug)]
pub struct ClientStream {
    tcp: TcpStream,
    input: Arc<Mutex<Input>>,
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
}

impl ClientStream {
    /// Reads requests from `tcp`.
    pub fn new(tcp: TcpStream) -> Self {
        Self { tcp, input: Arc::default() }
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
            self.input().first = (buf[..len].to_vec(), 0);
            Poll::Ready(len > 0)
        })
        .await
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let mut input = self.input();
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
        Poll::Ready(Ok(n))
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
