//! Links between instances: a websocket with CBOR frames from each instance to the scheduler's.
//!
//! What they carry can be had from the store as well, only later: an instance tells the scheduler
//! of the jobs it has stored, and the scheduler tells every instance of the states it has stored.
//! Some things go over links alone: questions to the advice service, which serves one call at a time for
//! each calling instance, and writes of an instance that the store turns away. An instance that does
//! not follow jobs itself asks the scheduler how far one has come, and how many wait.

pub mod desk;
pub mod lines;
pub mod peer;

use super::model::{JobId, JobState, StepId};
use super::ports::{Advice, AdviceError};
use super::rows::{self, HolderRow};
use crate::control::intake::Written;
use crate::kernel::clock::Clock;
use async_std::channel;
use async_std::net::TcpStream;
use async_tungstenite::tungstenite::Message;
use async_tungstenite::WebSocketSender;
use serde::{Deserialize, Serialize};

/// A link without a frame for this long is closed, ms.
const SILENT_MS: u64 = 1_200;

/// Time between signs of life on an idle link, ms: several within [`SILENT_MS`].
const PING_MS: u64 = 250;

/// Frames that may wait on a link; one that falls further behind is closed, and its instance
/// reads from the store what it missed. Some two seconds of the heaviest load.
const QUEUE: usize = 1_024;

/// A write relayed for an instance that the store turns away.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// The job.
    pub job: JobId,
    /// The job's row, or none for a cancellation.
    pub row: Option<Vec<u8>>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Frame {
    /// Ask about a step, giving up after `ms`.
    Ask { id: u64, step: StepId, ids: Vec<String>, ms: u64 },
    /// The answer.
    Answer { id: u64, res: Result<Advice, AdviceError> },
    /// A job that the sender has stored: its row.
    Job { id: JobId, row: Vec<u8> },
    /// A cancellation that the sender has stored.
    Cancel { id: JobId },
    /// Store this for the sender.
    Write { id: u64, relay: Relay },
    /// What became of it.
    Written { id: u64, out: Written },
    /// States that the scheduler has stored, with the version of their rows.
    States { list: Vec<(JobId, u64, JobState)> },
    /// Whether the sender follows jobs itself, and is to be told of their states.
    Follows { yes: bool },
    /// How far has a job come?
    Find { id: u64, job: JobId },
    /// The answer; none if the job is not known there.
    Found { id: u64, state: Option<JobState> },
    /// How many jobs of a queue wait?
    Count { id: u64, queue: String },
    /// The answer; none if not all jobs are known there.
    Counted { id: u64, waiting: Option<u64> },
    /// Who holds the office as far as the sender knows, and the version of that row.
    Holder { row: HolderRow, version: u64 },
    /// The sender does not hear of the store.
    Deaf,
    /// Sign of life.
    Ping,
}

impl Frame {
    /// Whether the other side waits for an answer.
    fn is_call(&self) -> bool {
        matches!(self, Self::Write { .. } | Self::Find { .. } | Self::Count { .. })
    }
}

fn encode(frame: &Frame) -> Message {
    Message::binary(rows::encode(frame))
}

fn decode(m: &Message) -> Option<Frame> {
    match m {
        Message::Binary(b) => rows::decode(b).ok(),
        _ => None,
    }
}

/// Writes frames, encoded by whoever sends them, and signs of life while there are none, until
/// either side closes.
async fn pump(
    mut out: WebSocketSender<TcpStream>,
    rx: channel::Receiver<Message>,
    clock: &Clock,
    idle: impl Fn() -> Frame,
) {
    loop {
        let frame = match clock.timeout(PING_MS, rx.recv()).await {
            Ok(Ok(f)) => f,
            Ok(Err(_)) => return,
            Err(_) => encode(&idle()),
        };
        match clock.timeout(SILENT_MS, out.send(frame)).await {
            Ok(Ok(())) => {}
            _ => return,
        }
    }
}
