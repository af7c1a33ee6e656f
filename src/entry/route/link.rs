//! One connection to a runner: kept up with backoff, pinged when idle, dropped when silent.

use super::{Pool, RunnerKey};
use crate::kernel::clock::Millis;
use crate::kernel::stop::Stop;
use crate::options::RunnerAddr;
use crate::wire::{self, Frame};
use async_std::channel;
use async_tungstenite::tungstenite::Message;
use async_tungstenite::WebSocketStream;
use futures::channel::oneshot;
use futures::StreamExt;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

/// Wait between reconnection attempts, ms (doubles up to [`RECONNECT_MAX_MS`]).
const RECONNECT_MS: u64 = 50;

/// Longest wait between reconnection attempts, ms.
const RECONNECT_MAX_MS: u64 = 2_000;

/// Frames that may wait to be written to one connection.
const SEND_QUEUE: usize = 1024;

/// State of the connection to one runner.
#[derive(Debug, Default)]
pub(super) struct Link {
    pub tx: Option<channel::Sender<Frame>>,
    pub pending: BTreeMap<u64, oneshot::Sender<Frame>>,
    /// The life of the runner at the other end, once it has said hello.
    pub incarnation: Option<u64>,
    /// The instance list calls the runner leaving.
    pub listed: bool,
    /// The runner itself said it is leaving.
    pub said: bool,
    pub fails: u32,
    pub ejected: Millis,
    pub last: Millis,
    pub drops: u64,
}

impl Link {
    /// Whether new requests may go here.
    pub fn open(&self, now: Millis) -> bool {
        self.tx.is_some()
            && self.incarnation.is_some()
            && !self.listed
            && !self.said
            && self.ejected <= now
    }
}

/// A runner and its connection.
#[derive(Debug)]
pub(super) struct Slot {
    pub addr: RunnerAddr,
    pub link: Mutex<Link>,
}

/// Whether to go on reading a connection.
enum Next {
    Go,
    Close,
}

impl Pool {
    /// Keeps a connection to runner `k` until `stop`.
    pub(super) async fn keep(self: Arc<Self>, k: RunnerKey, stop: Stop) {
        let mut backoff = RECONNECT_MS;
        while !stop.fired() {
            let addr = self.runners.get(k).addr.listen;
            let conn = self.clock.timeout(self.timing.idle_ms, async {
                let tcp = async_std::net::TcpStream::connect(addr).await.ok()?;
                tcp.set_nodelay(true).ok()?;
                async_tungstenite::client_async(format!("ws://{addr}/"), tcp).await.ok()
            });
            match conn.await {
                Ok(Some((ws, _))) => {
                    backoff = RECONNECT_MS;
                    self.serve_link(k, ws, &stop).await;
                }
                _ => {
                    stop.unless_fired(self.clock.sleep(backoff)).await;
                    backoff = (backoff * 2).min(RECONNECT_MAX_MS);
                }
            }
        }
    }

    async fn serve_link<S>(&self, k: RunnerKey, ws: WebSocketStream<S>, stop: &Stop)
    where
        S: futures::AsyncRead + futures::AsyncWrite + Unpin + Send + 'static,
    {
        let (mut sink, mut source) = ws.split();
        let (tx, rx) = channel::bounded::<Frame>(SEND_QUEUE);
        {
            let mut l = self.runners.get(k).link.lock().unwrap();
            l.tx = Some(tx.clone());
            l.said = false;
            l.last = self.clock.now();
        }
        let writer = async_std::task::spawn(async move {
            while let Ok(f) = rx.recv().await {
                if sink.send(Message::binary(wire::encode(f))).await.is_err() {
                    break;
                }
            }
            let _ = sink.close(None).await;
        });
        let mut nonce = 0;
        loop {
            let read = self.clock.timeout(self.timing.ping_ms, source.next());
            let Some(read) = stop.unless_fired(read).await else { break };
            let next = match read {
                Err(_) => {
                    nonce += 1;
                    self.ping(k, &tx, nonce)
                }
                Ok(Some(Ok(Message::Binary(bytes)))) => self.take_frame(k, &bytes),
                Ok(Some(Ok(_))) => Next::Go,
                Ok(None) | Ok(Some(Err(_))) => Next::Close,
            };
            if matches!(next, Next::Close) {
                break;
            }
        }
        {
            let mut l = self.runners.get(k).link.lock().unwrap();
            l.tx = None;
            l.incarnation = None;
            l.drops += 1;
            // Waiters of this connection learn at once that no answer will come.
            l.pending.clear();
        }
        drop(tx);
        writer.await;
    }

    /// Pings an idle connection, or drops it: one that stays open but carries nothing, because
    /// something between the ends lost track of it, is noticed by unanswered pings for
    /// `idle_ms` and replaced by a fresh one.
    fn ping(&self, k: RunnerKey, tx: &channel::Sender<Frame>, nonce: u64) -> Next {
        let r = self.runners.get(k);
        let last = r.link.lock().unwrap().last;
        if self.clock.now().saturating_sub(last) >= self.timing.idle_ms {
            self.counts.silent.fetch_add(1, Ordering::Relaxed);
            log::warn!("runner {} connection silent, dropped", r.addr.id);
            return Next::Close;
        }
        let _ = tx.try_send(Frame::Ping { nonce });
        Next::Go
    }

    fn take_frame(&self, k: RunnerKey, bytes: &[u8]) -> Next {
        self.counts.received.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let Ok(frame) = wire::decode(bytes) else {
            metrics::counter!("entry_bad_frames").increment(1);
            return Next::Go;
        };
        let r = self.runners.get(k);
        let mut l = r.link.lock().unwrap();
        l.last = self.clock.now();
        let id = match &frame {
            Frame::Answer { id, .. } | Frame::Done { id, .. } | Frame::Busy { id, .. } => *id,
            Frame::Hello { incarnation } => {
                l.incarnation = Some(*incarnation);
                return Next::Go;
            }
            Frame::Leaving { .. } => {
                log::info!("runner {} says it is leaving", r.addr.id);
                l.said = true;
                return Next::Go;
            }
            Frame::Lookup { .. }
            | Frame::Write { .. }
            | Frame::Query { .. }
            | Frame::Ping { .. }
            | Frame::Pong { .. } => return Next::Go,
        };
        if let Some(waiter) = l.pending.remove(&id) {
            let _ = waiter.send(frame);
        }
        Next::Go
    }
}
