//! One websocket connection of a runner: reads frames, answers pings and queues requests for the
//! runner's slots. A bounded queue and "busy" answers limit the requests that wait.

use super::{Runner, WriteState};
use crate::kernel::stop::Stop;
use crate::wire::{self, Frame};
use async_std::channel;
use async_std::net::TcpStream;
use async_tungstenite::tungstenite::Message;
use futures::{FutureExt, StreamExt};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Requests waiting for a slot, per slot, above which new ones are answered busy.
const QUEUE_PER_SLOT: usize = 16;

/// Retry delay sent in a busy answer, ms.
const BUSY_RETRY_MS: u64 = 50;

/// Number of task handles above which those of finished requests are dropped.
const PRUNE_AT: usize = 256;

/// Interval at which a draining connection checks whether its requests are finished, ms.
const DRAIN_POLL_MS: u64 = 20;

impl Runner {
    fn is_silenced(&self, conn_number: u64) -> bool {
        conn_number <= self.silenced_upto.load(Ordering::SeqCst)
    }

    async fn handle(self: Arc<Self>, frame: Frame, tx: channel::Sender<Frame>) {
        self.clock.sleep(self.settings.service_ms).await;
        let answer = match frame {
            Frame::Lookup { id, key } => {
                self.lookups.fetch_add(1, Ordering::Relaxed);
                let value = wire::value_for(&key);
                Frame::Answer { id, key, value }
            }
            Frame::Write { id, write, body: _ } => self.execute(id, write).await,
            _ => return,
        };
        if !self.lose_next_answer() {
            let _ = tx.send(answer).await;
        }
    }

    /// Executes a write and answers the queries for it that arrived meanwhile.
    async fn execute(&self, id: u64, write: String) -> Frame {
        let (runs, queries) = {
            let mut writes = self.writes.lock().unwrap();
            let (runs, queries) = match writes.remove(&write) {
                Some(WriteState::Ran(n)) => (n + 1, Vec::new()),
                Some(WriteState::Accepted(queries)) => (1, queries),
                Some(WriteState::Refused) | None => (1, Vec::new()),
            };
            writes.insert(write.clone(), WriteState::Ran(runs));
            (runs, queries)
        };
        for (id, tx) in queries {
            let _ = tx.send(Frame::Done { id, write: write.clone(), runs }).await;
        }
        Frame::Done { id, write, runs }
    }

    /// Whether to accept a request. For a write id the first decision is permanent, so that a
    /// caller that got a busy answer can send the write to another runner and it still runs at
    /// most once.
    fn accepts(&self, frame: &Frame, stopping: bool) -> bool {
        let full =
            self.queued.load(Ordering::SeqCst) >= self.settings.slots as usize * QUEUE_PER_SLOT;
        let can_accept = !stopping && !full;
        let Frame::Write { write, .. } = frame else { return can_accept };
        let mut writes = self.writes.lock().unwrap();
        let decision =
            || if can_accept { WriteState::Accepted(Vec::new()) } else { WriteState::Refused };
        !matches!(writes.entry(write.clone()).or_insert_with(decision), WriteState::Refused)
    }

    /// Answers a query for a write: with the outcome once the write has run, or with busy if it is
    /// unknown or refused; it is then never executed here.
    async fn answer_query(&self, id: u64, write: String, tx: &channel::Sender<Frame>) {
        let answer = {
            let mut writes = self.writes.lock().unwrap();
            match writes.entry(write.clone()).or_insert(WriteState::Refused) {
                WriteState::Ran(runs) => Frame::Done { id, write, runs: *runs },
                WriteState::Refused => Frame::Busy { id, retry_ms: BUSY_RETRY_MS },
                WriteState::Accepted(queries) => {
                    queries.push((id, tx.clone()));
                    return;
                }
            }
        };
        let _ = tx.send(answer).await;
    }

    /// Waits for a slot, handles `frame` and frees the slot. `pending` counts the requests of the
    /// connection, waiting ones included.
    async fn run_in_slot(
        self: Arc<Self>,
        frame: Frame,
        tx: channel::Sender<Frame>,
        pending: Arc<AtomicUsize>,
    ) {
        let slot = self.slots.recv().await;
        self.queued.fetch_sub(1, Ordering::SeqCst);
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        self.clone().handle(frame, tx).await;
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        if slot.is_ok() {
            let _ = self.slot_tx.send(()).await;
        }
        pending.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The busy answer to a lookup or write; `None` for other frames.
fn busy_answer(frame: &Frame) -> Option<Frame> {
    match frame {
        Frame::Lookup { id, .. } | Frame::Write { id, .. } => {
            Some(Frame::Busy { id: *id, retry_ms: BUSY_RETRY_MS })
        }
        _ => None,
    }
}

/// Serves one connection until the remote side closes it, or until `stop` has fired and the
/// requests in flight are answered. A request that arrives after `stop` is answered busy and does
/// not run.
pub async fn serve(r: Arc<Runner>, stream: TcpStream, conn_number: u64, stop: Stop) {
    let Ok(ws) = async_tungstenite::accept_async(stream).await else { return };
    r.open_conns.fetch_add(1, Ordering::SeqCst);
    let (mut sink, mut source) = ws.split();
    let (tx, rx) = channel::unbounded::<Frame>();
    let writer = {
        let r = r.clone();
        async_std::task::spawn(async move {
            while let Ok(f) = rx.recv().await {
                if r.is_silenced(conn_number) {
                    continue;
                }
                if sink.send(Message::binary(wire::encode(f))).await.is_err() {
                    break;
                }
            }
            let _ = sink.close(None).await;
        })
    };
    let _ = tx.send(Frame::Hello { incarnation: r.incarnation }).await;
    let mut leaving_sent = false;
    let pending = Arc::new(AtomicUsize::new(0));
    let mut handlers = Vec::new();
    loop {
        let stopping = stop.fired();
        if stopping && !leaving_sent {
            // The instance list lags behind, so the callers are notified at once on the connection
            // and send no new requests.
            leaving_sent = true;
            let _ = tx.send(Frame::Leaving { incarnation: r.incarnation }).await;
        }
        if stopping && pending.load(Ordering::SeqCst) == 0 {
            break;
        }
        let next = if stopping {
            match r.clock.timeout(DRAIN_POLL_MS, source.next()).await {
                Ok(n) => n,
                Err(_) => continue,
            }
        } else {
            match stop.unless_fired(source.next()).await {
                Some(n) => n,
                None => continue,
            }
        };
        let Some(Ok(msg)) = next else { break };
        if r.is_silenced(conn_number) {
            continue;
        }
        let Message::Binary(bytes) = msg else { continue };
        let frame = match wire::decode(&bytes) {
            Ok(f) => f,
            Err(e) => {
                // A malformed frame is dropped and counted. The connection and its other requests
                // are not affected.
                metrics::counter!("runner_bad_frames").increment(1);
                log::debug!("malformed frame dropped: {e}");
                continue;
            }
        };
        match frame {
            Frame::Ping { nonce } => {
                let _ = tx.send(Frame::Pong { nonce }).await;
            }
            Frame::Query { id, write } => r.answer_query(id, write, &tx).await,
            Frame::Lookup { .. } | Frame::Write { .. } => {
                if !r.accepts(&frame, stopping) {
                    r.busy.fetch_add(1, Ordering::Relaxed);
                    if let Some(answer) = busy_answer(&frame) {
                        let _ = tx.send(answer).await;
                    }
                    continue;
                }
                r.queued.fetch_add(1, Ordering::SeqCst);
                pending.fetch_add(1, Ordering::SeqCst);
                let request = r.clone().run_in_slot(frame, tx.clone(), pending.clone());
                handlers.push(async_std::task::spawn(request));
            }
            _ => {}
        }
        if handlers.len() > PRUNE_AT {
            handlers.retain_mut(|h| (&mut *h).now_or_never().is_none());
        }
    }
    futures::future::join_all(handlers).await;
    drop(tx);
    writer.await;
    r.open_conns.fetch_sub(1, Ordering::SeqCst);
}
