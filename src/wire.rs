//! Frames between entry instances and runners: websocket binary messages carrying CBOR.
//!
//! The code uses [`Frame`]; [`WireFrame`] is its encoded form with a version field. They convert
//! with `From` and `TryFrom`, so that a malformed frame or one of another version is a typed
//! [`FrameError`].

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Version of the frame format; a frame of another version is refused.
pub const VERSION: u16 = 1;

/// A decoded frame. `id` is the correlation id of a request and its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// Request: look up `key`. Idempotent.
    Lookup {
        /// Correlation id.
        id: u64,
        /// The key to look up.
        key: String,
    },
    /// Request: execute the write `write`. Not idempotent.
    Write {
        /// Correlation id.
        id: u64,
        /// The write id, by which the runner counts executions.
        write: String,
        /// The payload.
        body: String,
    },
    /// Request for the outcome of an earlier write. Answered with [`Frame::Done`] once it has run,
    /// or with [`Frame::Busy`]; in that case this incarnation of the runner never executes it.
    Query {
        /// Correlation id.
        id: u64,
        /// The write id.
        write: String,
    },
    /// The answer to lookup `id`.
    Answer {
        /// Correlation id.
        id: u64,
        /// The requested key.
        key: String,
        /// The value.
        value: String,
    },
    /// The answer to a write or query: the write has been executed.
    Done {
        /// Correlation id.
        id: u64,
        /// The write id.
        write: String,
        /// Number of executions of this write id on this runner.
        runs: u64,
    },
    /// First frame of a connection; identifies the incarnation of the runner. A restarted runner
    /// has no record of the writes that it executed before.
    Hello {
        /// Random number drawn at the runner's start.
        incarnation: u64,
    },
    /// The runner is shutting down; no new requests may be sent on any connection to it.
    Leaving {
        /// The runner's incarnation.
        incarnation: u64,
    },
    /// The request was refused, because the queue is full or the runner is shutting down. Nothing
    /// was executed, and this incarnation of the runner never executes a write that it refused.
    Busy {
        /// Correlation id.
        id: u64,
        /// Delay before a retry, ms.
        retry_ms: u64,
    },
    /// Liveness probe of an idle connection.
    Ping {
        /// Number that the pong repeats.
        nonce: u64,
    },
    /// The answer to a ping.
    Pong {
        /// The nonce of the ping.
        nonce: u64,
    },
}

/// Kinds of frame on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WireKind {
    /// [`Frame::Lookup`].
    Lookup,
    /// [`Frame::Write`].
    Write,
    /// [`Frame::Query`].
    Query,
    /// [`Frame::Answer`].
    Answer,
    /// [`Frame::Done`].
    Done,
    /// [`Frame::Hello`].
    Hello,
    /// [`Frame::Leaving`].
    Leaving,
    /// [`Frame::Busy`].
    Busy,
    /// [`Frame::Ping`].
    Ping,
    /// [`Frame::Pong`].
    Pong,
}

/// The encoded form of a frame: flat, with a version; the kind decides which fields are present.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireFrame {
    /// Format version, [`VERSION`].
    pub v: u16,
    /// Kind of frame.
    pub kind: WireKind,
    /// Correlation id, nonce or incarnation.
    pub id: u64,
    /// Key or write id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Body or value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
    /// Number of runs, or a delay in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub n: Option<u64>,
}

/// Why a frame was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Not CBOR, or not the fields of a [`WireFrame`].
    #[error("not a frame: {0}")]
    Decode(String),
    /// Another version of the format.
    #[error("frame version {0}, expected {VERSION}")]
    Version(u16),
    /// A field that this kind needs is absent.
    #[error("{kind:?} frame without {field}")]
    Missing {
        /// The frame kind.
        kind: WireKind,
        /// The field.
        field: &'static str,
    },
}

impl From<Frame> for WireFrame {
    fn from(f: Frame) -> Self {
        let w = |kind, id, key: Option<String>, body: Option<String>, n: Option<u64>| Self {
            v: VERSION,
            kind,
            id,
            key,
            body,
            n,
        };
        match f {
            Frame::Lookup { id, key } => w(WireKind::Lookup, id, Some(key), None, None),
            Frame::Write { id, write, body } => {
                w(WireKind::Write, id, Some(write), Some(body), None)
            }
            Frame::Query { id, write } => w(WireKind::Query, id, Some(write), None, None),
            Frame::Answer { id, key, value } => {
                w(WireKind::Answer, id, Some(key), Some(value), None)
            }
            Frame::Done { id, write, runs } => w(WireKind::Done, id, Some(write), None, Some(runs)),
            Frame::Hello { incarnation } => w(WireKind::Hello, incarnation, None, None, None),
            Frame::Leaving { incarnation } => w(WireKind::Leaving, incarnation, None, None, None),
            Frame::Busy { id, retry_ms } => w(WireKind::Busy, id, None, None, Some(retry_ms)),
            Frame::Ping { nonce } => w(WireKind::Ping, nonce, None, None, None),
            Frame::Pong { nonce } => w(WireKind::Pong, nonce, None, None, None),
        }
    }
}

impl TryFrom<WireFrame> for Frame {
    type Error = FrameError;

    fn try_from(w: WireFrame) -> Result<Self, Self::Error> {
        if w.v != VERSION {
            return Err(FrameError::Version(w.v));
        }
        let kind = w.kind;
        let text = |v: Option<String>, field| v.ok_or(FrameError::Missing { kind, field });
        let count = |v: Option<u64>, field| v.ok_or(FrameError::Missing { kind, field });
        let id = w.id;
        Ok(match kind {
            WireKind::Lookup => Self::Lookup { id, key: text(w.key, "key")? },
            WireKind::Write => {
                Self::Write { id, write: text(w.key, "key")?, body: text(w.body, "body")? }
            }
            WireKind::Query => Self::Query { id, write: text(w.key, "key")? },
            WireKind::Answer => {
                Self::Answer { id, key: text(w.key, "key")?, value: text(w.body, "body")? }
            }
            WireKind::Done => Self::Done { id, write: text(w.key, "key")?, runs: count(w.n, "n")? },
            WireKind::Hello => Self::Hello { incarnation: id },
            WireKind::Leaving => Self::Leaving { incarnation: id },
            WireKind::Busy => Self::Busy { id, retry_ms: count(w.n, "n")? },
            WireKind::Ping => Self::Ping { nonce: id },
            WireKind::Pong => Self::Pong { nonce: id },
        })
    }
}

/// Encodes a frame as CBOR.
pub fn encode(f: Frame) -> Vec<u8> {
    let mut out = Vec::with_capacity(64);
    ciborium::into_writer(&WireFrame::from(f), &mut out).expect("writing to a Vec cannot fail");
    out
}

/// Decodes a frame from CBOR.
pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
    let w: WireFrame =
        ciborium::from_reader(bytes).map_err(|e| FrameError::Decode(e.to_string()))?;
    Frame::try_from(w)
}

/// The value of `key` on every runner. The smoke driver compares each answer with it, to detect
/// partial answers and answers to another lookup.
pub fn value_for(key: &str) -> String {
    format!("{key}={:016x}", xxh3::xxh3_64(key.as_bytes()))
}
