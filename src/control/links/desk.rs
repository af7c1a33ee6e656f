//! The accepting side of links: lines to the advice service, states for every instance, and
//! writes on behalf of instances that the store turns away.

use super::{decode, encode, pump, Frame, Relay, QUEUE, SILENT_MS};
use crate::control::intake::Intake;
use crate::control::mirror::Mirror;
use crate::control::model::{JobId, JobState, StepId};
use crate::control::office::Office;
use crate::control::ports::{Advice, AdviceError, Advisor};
use crate::control::pulse::Pulse;
use crate::control::rows;
use crate::kernel::clock::Clock;
use async_std::channel::{self, Sender};
use async_std::net::{TcpListener, TcpStream};
use async_tungstenite::tungstenite::Message;
use futures::channel::oneshot;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Questions that take the service longer than this are kept off the scheduler's own line, where
/// lookups' questions of some 10 ms would wait behind them, ms.
const LONG_MS: f64 = 50.0;

/// Lines kept free of long questions at least, while there are twice as many.
const SHORT_LINES: usize = 2;

/// ... and one line in this many, since lookups come with the size of the cell, and so do lines: 138
/// lookups a second, 220 in bursts, need 1.5 to 4 of 29 lines. With two, both were full (30 waited on
/// each) and the rest of the lookups waited behind questions of gangs, 0.3 s at the median.
const SHORT_PART: usize = 4;

/// Margin over the computed time of an answer before it is given up, ms.
const MARGIN_MS: u64 = 800;

/// Questions that may wait on one line; the service refuses more than 32.
const LINE_DEPTH: usize = 30;

/// A write for another instance is given up after this long, ms: before that instance gives up
/// waiting, so that it hears whether the write was sent at all.
const RELAY_MS: u64 = 700;

/// Time between two looks at whether the store still answers, ms; they cost no call.
const DEAF_MS: u64 = 50;

/// Wait after a link could not be accepted, ms.
const RETRY_MS: u64 = 100;

/// Key of the instance's own line.
const OWN: u64 = 0;

#[derive(Default)]
struct Line {
    /// None for the instance's own line.
    tx: Option<Sender<Message>>,
    /// The other side does not hear of the store.
    deaf: bool,
    /// When the service will have answered all that waits on it, local ms.
    free_at: f64,
    waiting: BTreeMap<u64, oneshot::Sender<Result<Advice, AdviceError>>>,
}

/// Lines to the advice service: this instance's own, and one for each linked instance.
pub struct Desk {
    own: Option<Arc<dyn Advisor>>,
    lines: Mutex<BTreeMap<u64, Line>>,
    next: AtomicU64,
    clock: Clock,
}

/// A question on its way. Taken off its line however it ends, also when the term is over and
/// nobody waits for the answer any more: else the line would count as full for good.
struct Waiting<'a> {
    desk: &'a Desk,
    key: u64,
    id: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.desk.done(self.key, self.id);
    }
}

/// Lines that take no long questions, of `lines`.
pub fn short_lines(lines: usize) -> usize {
    match lines < 2 * SHORT_LINES {
        true => 1,
        false => SHORT_LINES.max(lines / SHORT_PART),
    }
}

/// Picks the line that answers first among those that take a question of this length.
fn pick(lines: &BTreeMap<u64, Line>, cost: f64, now: f64) -> Option<u64> {
    let long = cost > LONG_MS && lines.len() > 1;
    let spared = short_lines(lines.len());
    let open = lines
        .iter()
        .enumerate()
        .filter(|(n, _)| !long || *n >= spared)
        .map(|(_, l)| l)
        .filter(|(_, l)| l.waiting.len() < LINE_DEPTH);
    let at = |l: &Line| l.free_at.max(now) as u64;
    // Short questions prefer the lines that take no long ones when both are free.
    open.min_by_key(|(k, l)| (at(l), **k)).map(|(k, _)| *k)
}

impl Desk {
    /// A desk with this instance's own line, if there is an advice service.
    pub fn new(own: Option<Arc<dyn Advisor>>, clock: Clock) -> Self {
        let lines = Mutex::new(BTreeMap::from([(OWN, Line::default())]));
        Self { own, lines, next: AtomicU64::new(1), clock }
    }

    /// Number of lines.
    pub fn lines(&self) -> usize {
        self.lines.lock().unwrap().len()
    }

    /// Asks on the line that will answer first. `cost` is the time of service, ms.
    pub async fn ask(
        &self,
        step: StepId,
        ids: Vec<String>,
        cost: f64,
    ) -> Result<Advice, AdviceError> {
        let Some(own) = &self.own else { return Err(AdviceError::Unreachable) };
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (done, answer) = oneshot::channel();
        let (key, tx, ms) = {
            let mut lines = self.lines.lock().unwrap();
            let now = self.clock.mono() as f64;
            let key = pick(&lines, cost, now).ok_or(AdviceError::Busy)?;
            let Some(line) = lines.get_mut(&key) else { return Err(AdviceError::Busy) };
            line.free_at = line.free_at.max(now) + cost;
            line.waiting.insert(id, done);
            (key, line.tx.clone(), (line.free_at - now) as u64 + MARGIN_MS)
        };
        let _waiting = Waiting { desk: self, key, id };
        match tx {
            None => own.ask(step, &ids, ms).await,
            Some(tx) => {
                let sent = tx.try_send(encode(&Frame::Ask { id, step, ids, ms })).is_ok();
                match self.clock.timeout(ms + MARGIN_MS, answer).await {
                    Ok(Ok(res)) if sent => res,
                    _ => Err(AdviceError::Unreachable),
                }
            }
        }
    }

    /// Whether other instances are linked, and none of them hears of the store.
    pub fn deaf(&self) -> bool {
        let lines = self.lines.lock().unwrap();
        let mut others = lines.iter().filter(|(key, _)| **key != OWN).peekable();
        others.peek().is_some() && others.all(|(_, l)| l.deaf)
    }

    fn heard(&self, key: u64, deaf: bool) {
        if let Some(line) = self.lines.lock().unwrap().get_mut(&key) {
            line.deaf = deaf;
        }
    }

    fn done(&self, key: u64, id: u64) {
        if let Some(line) = self.lines.lock().unwrap().get_mut(&key) {
            line.waiting.remove(&id);
            if line.waiting.is_empty() {
                line.free_at = 0.0;
            }
        }
    }

    fn answered(&self, key: u64, id: u64, res: Result<Advice, AdviceError>) {
        let waiting = self.lines.lock().unwrap().get_mut(&key).and_then(|l| l.waiting.remove(&id));
        if let Some(done) = waiting {
            let _ = done.send(res);
        }
    }

    /// Tells every linked instance of states that have been stored. A link that cannot take it
    /// is closed: its instance reads what it missed from the store.
    pub fn publish(&self, list: &[(JobId, u64, JobState)]) {
        let frame = encode(&Frame::States { list: list.to_vec() });
        let takes = |l: &Line| l.tx.as_ref().is_none_or(|tx| tx.try_send(frame.clone()).is_ok());
        self.lines.lock().unwrap().retain(|_, l| takes(l));
    }
}

/// What links bring to an instance.
pub struct Reception {
    /// Lines to the advice service.
    pub desk: Arc<Desk>,
    /// Takes jobs that other instances have stored.
    pub mirror: Arc<Mirror>,
    /// Stores what other instances cannot.
    pub intake: Arc<Intake>,
    /// Tells who holds the office.
    pub office: Arc<Office>,
    /// Whether the store answers this process.
    pub pulse: Arc<Pulse>,
    /// The clock.
    pub clock: Clock,
}

impl Reception {
    /// Takes links on `listener`, for good.
    pub async fn serve(&self, listener: TcpListener) {
        let mut open = FuturesUnordered::new();
        loop {
            futures::select! {
                conn = listener.accept().fuse() => match conn {
                    Ok((stream, from)) => open.push(self.link(stream, from)),
                    Err(e) => {
                        log::warn!(why:% = e; "link not accepted");
                        self.clock.sleep(RETRY_MS).await;
                    }
                },
                _ = open.next() => {}
            }
        }
    }

    /// Tells the other side whenever this process loses or regains the store. An instance that
    /// did not know would hand its writes to somebody who cannot store them either, and take a
    /// scheduler for alive that has been replaced behind a cut. The link stays open: questions
    /// to the advice service go on, and an instance that dialled anew would take the greeting of
    /// each link for a sign that its writes are welcome, so that they ended in doubt.
    async fn tell_silence(&self, tx: &Sender<Message>) {
        let mut was = false;
        loop {
            let silent = self.pulse.silent();
            if silent != was {
                let _ = tx.try_send(encode(&self.greeting()));
            }
            was = silent;
            self.clock.sleep(DEAF_MS).await;
        }
    }

    /// What an idle link says: who holds the office, or that the store is not heard of here.
    fn greeting(&self) -> Frame {
        if self.pulse.silent() {
            return Frame::Deaf;
        }
        match self.office.holder() {
            Some((row, version)) => Frame::Holder { row, version },
            None => Frame::Ping,
        }
    }

    /// Serves one link until it closes.
    async fn link(&self, stream: TcpStream, from: SocketAddr) {
        let shake = async_tungstenite::accept_async(stream);
        let Ok(Ok(ws)) = self.clock.timeout(SILENT_MS, shake).await else { return };
        let key = self.desk.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = channel::bounded(QUEUE);
        let _ = tx.try_send(encode(&self.greeting()));
        let line = Line { tx: Some(tx.clone()), ..Line::default() };
        self.desk.lines.lock().unwrap().insert(key, line);
        log::info!(peer:% = from, line = key; "instance linked");
        let (out, mut inc) = ws.split();
        {
            let write = pump(out, rx, &self.clock, || self.greeting());
            let read = async {
                let mut writes = FuturesUnordered::new();
                loop {
                    futures::select! {
                        m = self.clock.timeout(SILENT_MS, inc.next()).fuse() => match m {
                            Ok(Some(Ok(m))) => match decode(&m) {
                                Some(Frame::Write { id, relay }) => {
                                    writes.push(self.store(id, relay));
                                }
                                Some(f) => self.take(key, f),
                                None => {}
                            },
                            _ => return,
                        },
                        done = writes.next() => if let Some(frame) = done {
                            let _ = tx.try_send(encode(&frame));
                        }
                    }
                }
            };
            let linked = futures::future::select(Box::pin(write), Box::pin(read));
            futures::future::select(linked, Box::pin(self.tell_silence(&tx))).await;
        }
        // Dropping the line fails its questions at once; the scheduler asks again elsewhere.
        self.desk.lines.lock().unwrap().remove(&key);
        log::info!(peer:% = from, line = key; "link closed");
    }

    fn take(&self, key: u64, frame: Frame) {
        match frame {
            Frame::Answer { id, res } => self.desk.answered(key, id, res),
            Frame::Job { id, row } => match rows::decode(&row) {
                Ok(row) => self.mirror.put_job(id, Arc::new(row)),
                Err(e) => log::error!(job:% = id, why:% = e; "job on a link unreadable"),
            },
            Frame::Cancel { id } => self.mirror.put_cancel(id),
            Frame::Deaf => self.desk.heard(key, true),
            Frame::Ping => self.desk.heard(key, false),
            _ => {}
        }
    }

    async fn store(&self, id: u64, relay: Relay) -> Frame {
        let out = self.intake.relayed(&relay, RELAY_MS).await;
        log::info!(job:% = relay.job, cancels = relay.row.is_none(), out:? = out;
            "write stored for another instance");
        match (&relay.row, out.stands()) {
            (Some(row), true) => self.take(OWN, Frame::Job { id: relay.job, row: row.clone() }),
            (None, true) => self.mirror.put_cancel(relay.job),
            _ => {}
        }
        Frame::Written { id, out }
    }
}
