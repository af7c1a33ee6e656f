//! A link of few bytes a second in front of a server: what the server sends shares the link's
//! rate among all open connections, as on a small instance's network link.

#![allow(dead_code)]

use super::ports::free_addr;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures::{AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Bytes that go over the link in one go: connections take turns after as many.
const CHUNK: usize = 2_048;

/// A link to a server; its connections end when it is dropped.
pub struct Link {
    /// Where clients reach the server over the link.
    pub addr: SocketAddr,
    serves: Option<JoinHandle<()>>,
}

/// When the link is free again.
type Turn = Arc<Mutex<Instant>>;

/// Waits until `len` more bytes have passed at `rate` bytes a second.
async fn pass(turn: &Turn, len: usize, rate: usize) {
    let until = {
        let mut free = turn.lock().unwrap();
        let taken = Duration::from_secs_f64(len as f64 / rate as f64);
        *free = (*free).max(Instant::now()) + taken;
        *free
    };
    task::sleep(until.saturating_duration_since(Instant::now())).await;
}

async fn down(mut from: TcpStream, mut to: TcpStream, turn: Turn, rate: usize) {
    let mut buf = [0; CHUNK];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        pass(&turn, len, rate).await;
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

async fn connection(client: TcpStream, server: SocketAddr, turn: Turn, rate: usize) {
    let Ok(upstream) = TcpStream::connect(server).await else { return };
    let up = async_std::io::copy(client.clone(), upstream.clone());
    let down = down(upstream, client, turn, rate);
    futures::future::select(Box::pin(up), Box::pin(down)).await;
}

impl Link {
    /// A link to `server` that carries `rate` bytes a second towards its clients.
    pub async fn open(server: SocketAddr, rate: usize) -> Self {
        let addr = free_addr();
        let listener = TcpListener::bind(addr).await.expect("the link's address is free");
        let turn: Turn = Arc::new(Mutex::new(Instant::now()));
        let serves = task::spawn(async move {
            let mut open = Vec::new();
            while let Ok((client, _)) = listener.accept().await {
                open.push(task::spawn(connection(client, server, turn.clone(), rate)));
            }
        });
        Self { addr, serves: Some(serves) }
    }

    /// Closes the link.
    pub async fn close(mut self) {
        if let Some(serves) = self.serves.take() {
            serves.cancel().await;
        }
    }
}
