//! What planning may cost, and what a round knows of the runners as a whole.
//!
//! The load this answers: thousands of waiting steps on hundreds of runners. If a round visits all of
//! them it takes longer than the time between rounds, answers of runners and of the store wait
//! behind it, and what is urgent starts late just when it matters; one notices by rounds that look at
//! more than a hundred thousand runners (`looks` in the state dump). So steps are visited in sweeps: a
//! sweep takes the waiting steps in order of rank, over as many rounds as its work needs, and urgent
//! steps that have opened or heard an answer meanwhile go before the rest of it. No step is starved,
//! since each sweep visits all.

use super::reserve::Claims;
use super::{Engine, Now, RunnerKey};
use crate::control::model::StepId;
use crate::control::queue::Rank;
use std::collections::BTreeMap;
use std::vec;

/// Runners looked at and steps visited in a round, after which the sweep goes on in the next one: a small
/// part of the time between rounds.
pub const MOST_LOOKS: u64 = 16_000;

/// ... of which urgent steps that are visited before the rest of a sweep may use this many, so that
/// every sweep comes to its end.
pub(super) const MOST_AHEAD: u64 = MOST_LOOKS / 2;

/// Waiting steps in order of rank, and the runners reserved by those visited so far.
#[derive(Default)]
pub(super) struct Sweep {
    left: vec::IntoIter<(Rank, StepId)>,
    pub claims: Claims,
}

impl Sweep {
    /// A sweep of steps in order.
    pub fn new(order: Vec<(Rank, StepId)>, claims: Claims) -> Self {
        Self { left: order.into_iter(), claims }
    }

    /// Whether every step has been visited.
    pub fn over(&self) -> bool {
        self.left.len() == 0
    }
}

impl Iterator for Sweep {
    type Item = (Rank, StepId);

    fn next(&mut self) -> Option<Self::Item> {
        self.left.next()
    }
}

/// Room of a service's runners that take new tasks.
#[derive(Clone, Debug, Default)]
struct Room {
    /// Runners by free processor room when the round began, most first. Placements only take room, so
    /// that none has more later in the round.
    by_cpu: Vec<(u64, RunnerKey)>,
    /// Free processor room of all.
    free: u64,
    /// All their processor room.
    all: u64,
    /// Value of `moves` when the sums were made.
    moves: u64,
}

/// What a round has worked out of the runners, by service, once for all waiting steps.
#[derive(Debug, Default)]
pub(super) struct Round {
    rooms: BTreeMap<String, Room>,
    /// Placements and bookings so far.
    pub moves: u64,
}

impl Engine {
    /// Sums of a service's room; made anew after a placement.
    fn room_now(&mut self, service: &str, now: Now) -> &Room {
        let moves = self.round.moves;
        if self.round.rooms.get(service).is_none_or(|r| r.moves != moves) {
            let room = self.sum_room(service, now);
            self.round.rooms.insert(service.to_string(), room);
        }
        &self.round.rooms[service]
    }

    fn sum_room(&mut self, service: &str, now: Now) -> Room {
        self.counts.looks += self.runners.len() as u64;
        let mut room = Room { moves: self.round.moves, ..Room::default() };
        for (k, r) in self.runners.iter() {
            let serves = r.entry.as_ref().is_some_and(|e| e.service == service);
            if serves && r.usable(now) {
                room.free += r.free().cpu;
                room.all += r.room().cpu;
                room.by_cpu.push((r.free().cpu, k));
            }
        }
        room.by_cpu.sort_unstable_by(|a, b| b.cmp(a));
        room
    }

    /// Free and whole processor room of a service's runners.
    pub(super) fn service_room(&mut self, service: &str, now: Now) -> (u64, u64) {
        let room = self.room_now(service, now);
        (room.free, room.all)
    }

    /// Runners of a service that may have `cpu` free, most first.
    pub(super) fn roomy(&mut self, service: &str, cpu: u64, now: Now) -> Vec<RunnerKey> {
        if !self.round.rooms.contains_key(service) {
            self.room_now(service, now);
        }
        let all = self.round.rooms.get(service).into_iter().flat_map(|r| &r.by_cpu);
        let keys: Vec<RunnerKey> = all.take_while(|(c, _)| *c >= cpu).map(|(_, k)| *k).collect();
        self.counts.looks += keys.len() as u64;
        keys
    }
}
