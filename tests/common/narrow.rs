//! A proxy of limited bandwidth in front of a server. All open connections share its rate towards
//! the clients, as on the network link of a small instance.

#![allow(dead_code)]

use super::ports::free_addr;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures::{AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Amount sent for one connection before others may send, bytes.
const CHUNK: usize = 2_048;

/// A link to a server.
pub struct Link {
    /// Address at which clients reach the server over the link.
    pub addr: SocketAddr,
    task: Option<JoinHandle<()>>,
}

/// Time at which the link is free again.
type FreeAt = Arc<Mutex<Instant>>;

/// Waits until `len` more bytes have been sent at `rate` bytes a second.
async fn throttle(free_at: &FreeAt, len: usize, rate: usize) {
    let until = {
        let mut free = free_at.lock().unwrap();
        let duration = Duration::from_secs_f64(len as f64 / rate as f64);
        *free = (*free).max(Instant::now()) + duration;
        *free
    };
    task::sleep(until.saturating_duration_since(Instant::now())).await;
}

async fn copy_down(mut from: TcpStream, mut to: TcpStream, free_at: FreeAt, rate: usize) {
    let mut buf = [0; CHUNK];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        throttle(&free_at, len, rate).await;
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

async fn serve_connection(client: TcpStream, server: SocketAddr, free_at: FreeAt, rate: usize) {
    let Ok(upstream) = TcpStream::connect(server).await else { return };
    let up = async_std::io::copy(client.clone(), upstream.clone());
    let down = copy_down(upstream, client, free_at, rate);
    futures::future::select(Box::pin(up), Box::pin(down)).await;
}

impl Link {
    /// A link to `server` that carries `rate` bytes a second towards its clients.
    pub async fn open(server: SocketAddr, rate: usize) -> Self {
        let addr = free_addr();
        let listener = TcpListener::bind(addr).await.expect("the link's address is free");
        let free_at: FreeAt = Arc::new(Mutex::new(Instant::now()));
        let task = task::spawn(async move {
            let mut open = Vec::new();
            while let Ok((client, _)) = listener.accept().await {
                open.push(task::spawn(serve_connection(client, server, free_at.clone(), rate)));
            }
        });
        Self { addr, task: Some(task) }
    }

    /// Stops accepting connections over the link.
    pub async fn close(mut self) {
        if let Some(task) = self.task.take() {
            task.cancel().await;
        }
    }
}
