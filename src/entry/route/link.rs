//! Connection to one runner: reconnects with backoff, sends pings when idle, and closes the
//! connection when no frame arrives for `idle_ms`.

use super::{Pool, RunnerKey};
use crate::kernel::clock::Millis;
use crate::kernel::stop::Stop;
use crate::options::RunnerSpec;
use crate::wire::{self, Frame};
use async_std::channel;
use async_tungstenite::tungstenite::Message;
use async_tungstenite::WebSocketStream;
use futures::channel::oneshot;
use futures::StreamExt;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

/// Delay before the first reconnection attempt, ms; it doubles up to [`RECONNECT_MAX_MS`].
const RECONNECT_MS: u64 = 50;

/// Longest delay between reconnection attempts, ms.
const RECONNECT_MAX_MS: u64 = 2_000;

/// Most frames queued for writing on one connection.
const SEND_QUEUE: usize = 1024;

/// State of the connection to one runner.
#[derive(Debug, Default)]
pub(super) struct Link {
    /// Queue of frames to write; none while not connected.
    pub tx: Option<channel::Sender<Frame>>,
    /// Requests without an answer yet, by correlation id.
    pub pending: BTreeMap<u64, oneshot::Sender<Frame>>,
    /// Incarnation of the runner, from its hello frame; none while not connected.
    pub incarnation: Option<u64>,
    /// The instance list marks the runner as leaving.
    pub listed_leaving: bool,
    /// The runner announced on this connection that it is leaving.
    pub announced_leaving: bool,
    /// Consecutive failed requests.
    pub fails: u32,
    /// Local time until which the runner is ejected, ms.
    pub ejected_until: Millis,
    /// Local time of the last frame received, ms.
    pub last_frame: Millis,
    /// Number of connections that ended.
    pub drops: u64,
}

impl Link {
    /// Returns whether new requests may be sent to the runner.
    pub fn accepts_requests(&self, now: Millis) -> bool {
        self.tx.is_some()
            && self.incarnation.is_some()
            && !self.listed_leaving
            && !self.announced_leaving
            && self.ejected_until <= now
    }
}

/// A runner and its connection.
#[derive(Debug)]
pub(super) struct PooledRunner {
    pub addr: RunnerSpec,
    pub link: Mutex<Link>,
}

/// Whether to continue reading from a connection.
enum Next {
    Continue,
    Close,
}

impl Pool {
    /// Keeps a connection to runner `k` open until `stop`, with reconnects.
    pub(super) async fn keep_connected(self: Arc<Self>, k: RunnerKey, stop: Stop) {
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
                    self.run_connection(k, ws, &stop).await;
                }
                _ => {
                    stop.unless_fired(self.clock.sleep(backoff)).await;
                    backoff = (backoff * 2).min(RECONNECT_MAX_MS);
                }
            }
        }
    }

    /// Reads and writes frames on a connection until it closes, fails or times out, or `stop`
    /// fires.
    async fn run_connection<S>(&self, k: RunnerKey, ws: WebSocketStream<S>, stop: &Stop)
    where
        S: futures::AsyncRead + futures::AsyncWrite + Unpin + Send + 'static,
    {
        let (mut sink, mut source) = ws.split();
        let (tx, rx) = channel::bounded::<Frame>(SEND_QUEUE);
        {
            let mut l = self.runners.get(k).link.lock().unwrap();
            l.tx = Some(tx.clone());
            l.announced_leaving = false;
            l.last_frame = self.clock.now();
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
                Ok(Some(Ok(Message::Binary(bytes)))) => self.handle_frame(k, &bytes),
                Ok(Some(Ok(_))) => Next::Continue,
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
            // Requests that wait on this connection fail at once.
            l.pending.clear();
        }
        drop(tx);
        writer.await;
    }

    /// Pings an idle connection, or closes it if no frame arrived for `idle_ms`. A connection that
    /// stays open but carries no data, for example after a device on the path lost its state, is
    /// replaced in this way.
    fn ping(&self, k: RunnerKey, tx: &channel::Sender<Frame>, nonce: u64) -> Next {
        let runner = self.runners.get(k);
        let last_frame = runner.link.lock().unwrap().last_frame;
        if self.clock.now().saturating_sub(last_frame) >= self.timing.idle_ms {
            self.counts.unresponsive.fetch_add(1, Ordering::Relaxed);
            log::warn!("runner {} connection silent, dropped", runner.addr.id);
            return Next::Close;
        }
        let _ = tx.try_send(Frame::Ping { nonce });
        Next::Continue
    }

    /// Decodes a frame and handles it, or passes it to the request that waits for it.
    fn handle_frame(&self, k: RunnerKey, bytes: &[u8]) -> Next {
        self.counts.received.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let Ok(frame) = wire::decode(bytes) else {
            metrics::counter!("entry_bad_frames").increment(1);
            return Next::Continue;
        };
        let runner = self.runners.get(k);
        let mut l = runner.link.lock().unwrap();
        l.last_frame = self.clock.now();
        let id = match &frame {
            Frame::Answer { id, .. } | Frame::Done { id, .. } | Frame::Busy { id, .. } => *id,
            Frame::Hello { incarnation } => {
                l.incarnation = Some(*incarnation);
                return Next::Continue;
            }
            Frame::Leaving { .. } => {
                log::info!("runner {} announced that it is leaving", runner.addr.id);
                l.announced_leaving = true;
                return Next::Continue;
            }
            Frame::Lookup { .. }
            | Frame::Write { .. }
            | Frame::Query { .. }
            | Frame::Ping { .. }
            | Frame::Pong { .. } => return Next::Continue,
        };
        if let Some(waiter) = l.pending.remove(&id) {
            let _ = waiter.send(frame);
        }
        Next::Continue
    }
}
