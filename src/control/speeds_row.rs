//! Row of the learned speeds of runners, which a new leader starts with.
//!
//! The row only saves learning again: one that is missing, old, unreadable or of another format is
//! ignored.

use super::model::{Born, MAX_MOMENT};
use super::ports::Txn;
use super::rows;
use serde::{Deserialize, Serialize};

/// Format of the row; rows of other formats are ignored.
pub const FORMAT: u32 = 1;

/// Maximum size of the row, bytes: the store accepts values of 64 KiB.
const MAX_BYTES: usize = 60_000;

/// Speeds that are possible, thousandths of the average.
const POSSIBLE: std::ops::RangeInclusive<u32> = 10..=100_000;

/// Speed of one runner: id, speed in thousandths of the average, number of samples, time of the
/// newest one (Unix ms), fingerprint of the runner's kind, and its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerSpeed(pub String, pub u32, pub u32, pub u64, pub u64, pub Option<Born>);

/// Speeds of the runners of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "WireSpeeds")]
pub struct SpeedsRow {
    format: u32,
    /// The speeds, the farthest from the average first.
    pub speeds: Vec<RunnerSpeed>,
}

#[derive(Deserialize)]
struct WireSpeeds {
    format: u32,
    speeds: Vec<RunnerSpeed>,
}

/// Why a row that decodes is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSpeeds {
    /// Written by another version.
    #[error("format {0} and not {FORMAT}")]
    Format(u32),
    /// A speed or a time that is impossible.
    #[error("impossible speed or time")]
    Value,
}

impl TryFrom<WireSpeeds> for SpeedsRow {
    type Error = InvalidSpeeds;

    fn try_from(w: WireSpeeds) -> Result<Self, InvalidSpeeds> {
        let possible = |s: &RunnerSpeed| POSSIBLE.contains(&s.1) && s.3 <= MAX_MOMENT;
        match w.format {
            FORMAT if w.speeds.iter().all(possible) => {
                Ok(Self { format: FORMAT, speeds: w.speeds })
            }
            FORMAT => Err(InvalidSpeeds::Value),
            other => Err(InvalidSpeeds::Format(other)),
        }
    }
}

impl SpeedsRow {
    /// A row of as many of `speeds` as it may hold, the farthest from the average first.
    pub fn new(mut speeds: Vec<RunnerSpeed>) -> Self {
        speeds.retain(|s| POSSIBLE.contains(&s.1));
        let distance = |s: &RunnerSpeed| (f64::from(s.1) / 1000.0).ln().abs();
        speeds.sort_by(|a, b| distance(b).total_cmp(&distance(a)));
        let mut row = Self { format: FORMAT, speeds: Vec::new() };
        // Leaves space for the encoding of the list's length.
        let mut size = rows::encode(&row).len() + size_of::<u64>();
        for speed in speeds {
            size += rows::encode(&speed).len();
            if size > MAX_BYTES {
                break;
            }
            row.speeds.push(speed);
        }
        row
    }
}

/// The transaction by which the leader of the term with the fencing token `fence` writes the row. It
/// is not applied once a later leader was elected, which may have stored newer speeds.
pub fn write(fence: u64, row: Vec<u8>) -> Txn {
    Txn {
        expect: vec![(rows::leader_key(), fence)],
        put: vec![(rows::speeds_key(), row)],
        remove: Vec::new(),
    }
}
