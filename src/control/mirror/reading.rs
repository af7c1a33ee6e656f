//! Reading a whole table, a slice at a time: what is left of it, and how much is asked for at once.
//!
//! What goes wrong otherwise: a table that grew to 9 MB is asked for all at once over a link of
//! 10 Mbit/s. No answer is whole in its time, the next try begins anew, and the instance's link is
//! full for good: what it is asked to store or to look up waits behind rows that are thrown away.
//! One notices it by `table not read` again and again, by links that carry all they can, and by
//! instances that never log `table read`. So what was read stays read, each slice is about what
//! the link has lately carried in `SLICE_MS`, and between slices it is free for others.

use std::collections::{BTreeSet, VecDeque};

/// Most reads under way at once: one after the other, 64 parts would take a starting instance 15 s
/// on a store that answers in 240 ms.
const READS: usize = 16;

/// Fewest rows asked for in one read: fewer would cost more calls than bytes.
const LEAST_ROWS: usize = 16;

/// Most rows asked for in one read; the store returns no more than this anyway.
const MOST_ROWS: usize = 500;

/// Time that a slice should take, ms: longer than a store sixty times too slow takes for any answer
/// (240 ms), so that it is not the size that is cut there, and short against the 3 s that a caller
/// waits, whose answer shares the link with it.
const SLICE_MS: u64 = 300;

/// A slice that took less, ms, left the link free enough: nobody has to be let through.
const BRIEF_MS: u64 = 100;

/// Size of the first slice, bytes: 200 ms of the smallest link, 10 Mbit/s.
const FIRST: usize = 256 * 1024;

/// Least size of a slice, bytes.
const LEAST: usize = 16 * 1024;

/// Most size of a slice, bytes: 160 ms of a link of 200 Mbit/s, and memory that every instance has.
const MOST: usize = 4 * 1024 * 1024;

/// Bytes of a row, before the first was read.
const ROW: usize = 1_000;

/// Bytes of a row on the wire beside its value: names, version, and what encloses them.
const ROW_FRAME: usize = 150;

/// Weight of a new slice in the size of a row, as one part in this many.
const ROW_WEIGHT: usize = 4;

/// How much is asked for at once: adapts to what slices took.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Bytes of the next slice.
    budget: usize,
    /// Bytes of a row on the wire, as met lately.
    row: usize,
}

impl Default for Pace {
    fn default() -> Self {
        Self { budget: FIRST, row: ROW }
    }
}

/// Bytes that a row with a value of `len` takes on the wire, in the store's encoding.
pub fn wire_size(len: usize) -> usize {
    len * 4 / 3 + ROW_FRAME
}

impl Pace {
    /// Reads of the next slice where `parts` are left, and rows asked for in each.
    pub fn ask(&self, parts: usize) -> (usize, usize) {
        let reads = (self.budget / (LEAST_ROWS * self.row)).min(parts).clamp(1, READS);
        let rows = (self.budget / reads / self.row).clamp(LEAST_ROWS, MOST_ROWS);
        (reads, rows)
    }

    /// Notes a slice that was read; returns how long to leave the link to others, ms. A slice of few
    /// bytes says nothing of what the link carries.
    pub fn read(&mut self, rows: usize, bytes: usize, ms: u64) -> u64 {
        if let Some(size) = bytes.checked_div(rows) {
            self.row = (self.row * (ROW_WEIGHT - 1) + size) / ROW_WEIGHT;
        }
        let full = bytes >= self.budget / 2;
        let carried = bytes * SLICE_MS as usize / ms.max(1) as usize;
        let next = if full { carried } else { usize::MAX };
        self.budget = next.clamp(self.budget / 2, self.budget * 2).clamp(LEAST, MOST);
        match full && ms > BRIEF_MS {
            true => ms,
            false => 0,
        }
    }

    /// Asks for less after a slice that was not read.
    pub fn shrink(&mut self) {
        self.budget = (self.budget / 2).max(LEAST);
    }
}

/// A table that is being read.
#[derive(Debug, Default)]
pub struct Reading {
    /// Parts to read, each from a key on.
    pub todo: VecDeque<(String, String)>,
    /// Rows read.
    pub rows: usize,
    /// Its first slice has been read, and the feed is followed from there.
    pub started: bool,
    /// When the feed was last followed, local ms. Kept here, and not by whoever reads: each failure
    /// ends a try, and a feed that is not followed between tries loses its history.
    pub followed: u64,
    /// When it began, local ms.
    pub began: u64,
    /// Keys of the registry's rows, for whoever has to forget the others.
    pub keys: BTreeSet<String>,
}

impl Reading {
    /// Reads all of `parts`.
    pub fn new(parts: Vec<String>, now: u64) -> Self {
        let todo = parts.into_iter().map(|p| (p, String::new())).collect();
        Self { todo, followed: now, began: now, ..Self::default() }
    }

    /// Puts a part that was not read behind the others: one that is away for long must not keep the
    /// rest of the table unread.
    pub fn put_back(&mut self, part: &str) {
        if let Some(at) = self.todo.iter().position(|(p, _)| p == part) {
            let left = self.todo.remove(at);
            self.todo.extend(left);
        }
    }

    /// Notes a page of a part; `next` is the key of its last row if more follow.
    pub fn took(&mut self, part: &str, rows: usize, next: Option<String>) {
        self.rows += rows;
        let Some(at) = self.todo.iter().position(|(p, _)| p == part) else { return };
        match next {
            Some(key) => self.todo[at].1 = key,
            None => drop(self.todo.remove(at)),
        }
    }
}
