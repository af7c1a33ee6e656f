//! One websocket connection of a runner: read frames, answer pings, hand requests to slots.

use super::{Runner, WriteState};
use crate::kernel::stop::Stop;
use crate::wire::{self, Frame};
use async_std::channel;
use async_std::net::TcpStream;
use async_tungstenite::tungstenite::Message;
use futures::{FutureExt, StreamExt};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Requests that may wait for a slot, per slot, before new ones are answered busy.
const QUEUE_PER_SLOT: usize = 16;

/// How long a busy answer asks the caller to stay away, ms.
const BUSY_RETRY_MS: u64 = 50;

/// Handles of finished requests are dropped once this many are held.
const PRUNE_AT: usize = 256;

/// Poll interval while draining, ms.
const DRAIN_POLL_MS: u64 = 20;

impl Runner {
    fn silent(&self, gen: u64) -> bool {
        gen <= self.silent_upto.load(Ordering::SeqCst)
    }

    async fn handle(self: Arc<Self>, frame: Frame, tx: channel::Sender<Frame>) {
        self.clock.sleep(self.knobs.service_ms).await;
        let answer = match frame {
            Frame::Lookup { id, key } => {
                self.lookups.fetch_add(1, Ordering::Relaxed);
                let value = wire::value_for(&key);
                Frame::Answer { id, key, value }
            }
            Frame::Write { id, write, body: _ } => self.execute(id, write).await,
            _ => return,
        };
        if !self.loses() {
            let _ = tx.send(answer).await;
        }
    }

    /// Executes a write and tells whoever asked about it meanwhile.
    async fn execute(&self, id: u64, write: String) -> Frame {
        let (runs, asked) = {
            let mut writes = self.writes.lock().unwrap();
            let (runs, asked) = match writes.remove(&write) {
                Some(WriteState::Ran(n)) => (n + 1, Vec::new()),
                Some(WriteState::Taken(asked)) => (1, asked),
                Some(WriteState::Refused) | None => (1, Vec::new()),
            };
            writes.insert(write.clone(), WriteState::Ran(runs));
            (runs, asked)
        };
        for (id, tx) in asked {
            let _ = tx.send(Frame::Done { id, write: write.clone(), runs }).await;
        }
        Frame::Done { id, write, runs }
    }

    /// Decides whether a request is taken: a write's first frame decides for good, so that
    /// whoever was told "busy" may send it elsewhere and it still runs at most once.
    fn takes(&self, frame: &Frame, stopping: bool) -> bool {
        let full = self.queued.load(Ordering::SeqCst) >= self.knobs.slots as usize * QUEUE_PER_SLOT;
        let open = !stopping && !full;
        let Frame::Write { write, .. } = frame else { return open };
        let mut writes = self.writes.lock().unwrap();
        let fate = || if open { WriteState::Taken(Vec::new()) } else { WriteState::Refused };
        !matches!(writes.entry(write.clone()).or_insert_with(fate), WriteState::Refused)
    }

    /// Answers a query: the outcome, now or when it is known, or "busy", which then holds.
    async fn answer_query(&self, id: u64, write: String, tx: &channel::Sender<Frame>) {
        let answer = {
            let mut writes = self.writes.lock().unwrap();
            match writes.entry(write.clone()).or_insert(WriteState::Refused) {
                WriteState::Ran(runs) => Frame::Done { id, write, runs: *runs },
                WriteState::Refused => Frame::Busy { id, retry_ms: BUSY_RETRY_MS },
                WriteState::Taken(asked) => {
                    asked.push((id, tx.clone()));
                    return;
                }
            }
        };
        let _ = tx.send(answer).await;
    }

    /// Waits for a slot, serves `frame`, frees the slot.
    async fn slotted(
        self: Arc<Self>,
        frame: Frame,
        tx: channel::Sender<Frame>,
        mine: Arc<AtomicUsize>,
    ) {
        let slot = self.slots.recv().await;
        self.queued.fetch_sub(1, Ordering::SeqCst);
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        self.clone().handle(frame, tx).await;
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        if slot.is_ok() {
            let _ = self.slot_tx.send(()).await;
        }
        mine.fetch_sub(1, Ordering::SeqCst);
    }
}

fn busy(frame: &Frame) -> Option<Frame> {
    match frame {
        Frame::Lookup { id, .. } | Frame::Write { id, .. } => {
            Some(Frame::Busy { id: *id, retry_ms: BUSY_RETRY_MS })
        }
        _ => None,
    }
}

/// Serves one connection until the peer closes it, or until `stop` and its requests in flight
/// have been answered. A request arriving after `stop` is answered busy: it did not run.
pub async fn serve(r: Arc<Runner>, stream: TcpStream, gen: u64, stop: Stop) {
    let Ok(ws) = async_tungstenite::accept_async(stream).await else { return };
    r.open.fetch_add(1, Ordering::SeqCst);
    let (mut sink, mut source) = ws.split();
    let (tx, rx) = channel::unbounded::<Frame>();
    let writer = {
        let r = r.clone();
        async_std::task::spawn(async move {
            while let Ok(f) = rx.recv().await {
                if r.silent(gen) {
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
    let mut told = false;
    let mine = Arc::new(AtomicUsize::new(0));
    let mut handlers = Vec::new();
    loop {
        let stopping = stop.fired();
        if stopping && !told {
            // Said at once, ahead of the lagging instance list, so that nothing new is sent here.
            told = true;
            let _ = tx.send(Frame::Leaving { incarnation: r.incarnation }).await;
        }
        if stopping && mine.load(Ordering::SeqCst) == 0 {
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
        if r.silent(gen) {
            continue;
        }
        let Message::Binary(bytes) = msg else { continue };
        let frame = match wire::decode(&bytes) {
            Ok(f) => f,
            Err(e) => {
                // A malformed frame is dropped and counted; the connection and every other
                // request on it go on.
                metrics::counter!("runner_bad_frames").increment(1);
                log::debug!("bad frame: {e}");
                continue;
            }
        };
        match frame {
            Frame::Ping { nonce } => {
                let _ = tx.send(Frame::Pong { nonce }).await;
            }
            Frame::Query { id, write } => r.answer_query(id, write, &tx).await,
            Frame::Lookup { .. } | Frame::Write { .. } => {
                if !r.takes(&frame, stopping) {
                    r.busy.fetch_add(1, Ordering::Relaxed);
                    if let Some(b) = busy(&frame) {
                        let _ = tx.send(b).await;
                    }
                    continue;
                }
                r.queued.fetch_add(1, Ordering::SeqCst);
                mine.fetch_add(1, Ordering::SeqCst);
                let job = r.clone().slotted(frame, tx.clone(), mine.clone());
                handlers.push(async_std::task::spawn(job));
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
    r.open.fetch_sub(1, Ordering::SeqCst);
}
