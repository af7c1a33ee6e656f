//! The accepting side of links: lines to the advice service, states for every instance, and
//! writes on behalf of instances that the store turns away.

use super::lines::{self, Load};
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

/// Margin over the computed time of an answer before it is given up, ms.
const MARGIN_MS: u64 = 800;

/// A write for another instance is given up after this long, ms: before that instance gives up
/// waiting, so that it hears whether the write was sent at all.
const RELAY_MS: u64 = 700;

/// A count of waiting jobs is given from what was known to be true this long ago at most, ms: the
/// interface's bound, less the way over a link.
const COUNT_AGE_MS: u64 = 1_500;

/// A store that has refused all calls for this long, ms, is said not to serve this instance: many calls
/// of a scheduler.
const REFUSED_MS: u64 = 250;

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
    /// The other side follows jobs, and is told of their states.
    follows: bool,
    waiting: BTreeMap<u64, Question>,
}

/// A question under way.
struct Question {
    /// Time of service, ms.
    cost: f64,
    done: oneshot::Sender<Result<Advice, AdviceError>>,
}

impl Line {
    fn load(&self) -> Load {
        let cost = self.waiting.values().map(|q| q.cost).sum();
        Load { waiting: self.waiting.len(), cost }
    }
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
            let loads: Vec<Load> = lines.values().map(Line::load).collect();
            let picked = lines::pick(&loads, cost).and_then(|n| lines.iter_mut().nth(n));
            let (key, line) = picked.ok_or(AdviceError::Busy)?;
            line.waiting.insert(id, Question { cost, done });
            (*key, line.tx.clone(), line.load().cost as u64 + MARGIN_MS)
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

    fn has(&self, key: u64) -> bool {
        self.lines.lock().unwrap().contains_key(&key)
    }

    fn with(&self, key: u64, change: impl FnOnce(&mut Line)) {
        if let Some(line) = self.lines.lock().unwrap().get_mut(&key) {
            change(line);
        }
    }

    fn done(&self, key: u64, id: u64) {
        if let Some(line) = self.lines.lock().unwrap().get_mut(&key) {
            line.waiting.remove(&id);
        }
    }

    fn answered(&self, key: u64, id: u64, res: Result<Advice, AdviceError>) {
        let waiting = self.lines.lock().unwrap().get_mut(&key).and_then(|l| l.waiting.remove(&id));
        if let Some(question) = waiting {
            let _ = question.done.send(res);
        }
    }

    /// Tells linked instances that follow jobs of states that have been stored. A link that cannot
    /// take it is closed: its instance reads what it missed from the store.
    pub fn publish(&self, list: &[(JobId, u64, JobState)]) {
        let frame = encode(&Frame::States { list: list.to_vec() });
        self.tell(&frame, |l| l.follows);
    }

    /// Sends a frame over those links that it is `meant` for, and closes those that cannot take it.
    fn tell(&self, frame: &Message, meant: impl Fn(&Line) -> bool) {
        let takes = |l: &Line| l.tx.as_ref().is_none_or(|tx| tx.try_send(frame.clone()).is_ok());
        self.lines.lock().unwrap().retain(|_, l| !meant(l) || takes(l));
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
        futures::future::join(self.accept(listener), self.tell_silence()).await;
    }

    async fn accept(&self, listener: TcpListener) {
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

    /// Tells all other sides whenever this process loses or regains the store. An instance that
    /// did not know would hand its writes to somebody who cannot store them either, and take a
    /// scheduler for alive that has been replaced behind a cut. The link stays open: questions
    /// to the advice service go on, and an instance that dialled anew would take the greeting of
    /// each link for a sign that its writes are welcome, so that they ended in doubt.
    async fn tell_silence(&self) {
        let mut was = false;
        loop {
            let silent = self.deaf();
            if silent != was {
                self.desk.tell(&encode(&self.greeting()), |_| true);
            }
            was = silent;
            self.clock.sleep(DEAF_MS).await;
        }
    }

    /// Whether the store serves nothing here. Whoever links here takes this instance for the scheduler's, so
    /// that refusals count sooner than silence: each is an answer, and the others may replace it.
    fn deaf(&self) -> bool {
        self.pulse.silent() || self.pulse.failing_ms() >= REFUSED_MS
    }

    /// What an idle link says: who holds the office, or that the store is not heard of here.
    fn greeting(&self) -> Frame {
        if self.deaf() {
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
                let mut work = FuturesUnordered::new();
                loop {
                    futures::select! {
                        m = self.clock.timeout(SILENT_MS, inc.next()).fuse() => match m {
                            Ok(Some(Ok(m))) => match decode(&m) {
                                // Closed because it could not take what it was told.
                                _ if !self.desk.has(key) => return,
                                Some(f) if f.is_call() => work.push(self.answer(f)),
                                Some(f) => self.take(key, f),
                                None => {}
                            },
                            _ => return,
                        },
                        done = work.next() => if let Some(frame) = done {
                            let _ = tx.try_send(encode(&frame));
                        }
                    }
                }
            };
            futures::future::select(Box::pin(write), Box::pin(read)).await;
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
            Frame::Deaf => self.desk.with(key, |l| l.deaf = true),
            Frame::Ping => self.desk.with(key, |l| l.deaf = false),
            Frame::Follows { yes } => self.desk.with(key, |l| l.follows = yes),
            _ => {}
        }
    }

    /// Carries out a call of the other side.
    async fn answer(&self, call: Frame) -> Frame {
        match call {
            Frame::Write { id, relay } => self.store(id, relay).await,
            Frame::Find { id, job } => {
                let state = self.mirror.job_state(job).filter(|_| self.mirror.knows_state(job));
                Frame::Found { id, state }
            }
            Frame::Count { id, queue } => {
                let all = self.mirror.up_to_date(COUNT_AGE_MS).await;
                let waiting = all.then(|| self.mirror.pending(&queue));
                Frame::Counted { id, waiting }
            }
            other => other,
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
