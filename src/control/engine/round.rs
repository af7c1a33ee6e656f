//! Bounds of a planning round, and the sums over all runners that a round computes.
//!
//! Needed for thousands of waiting steps on hundreds of runners. A round that planned all of them
//! would take longer than the interval between rounds: answers of runners and of the store would be
//! processed late, and urgent steps would start late when it matters most. Visible as rounds that
//! check more than a hundred thousand runners (`looks` in the state dump). Steps are therefore
//! planned in passes: a pass takes the waiting steps in order of rank, over as many rounds as
//! needed, and urgent steps that were opened or received advice meanwhile are planned before the
//! rest of it. No step starves, since each pass covers all.

use super::reserve::Claims;
use super::{Engine, Now, RunnerKey};
use crate::control::model::StepId;
use crate::control::queue::Rank;
use std::collections::BTreeMap;
use std::vec;

/// Maximum number of runners and steps checked in a round, after which the planning pass continues
/// in the next one: takes a small part of the interval between rounds.
pub const MOST_LOOKS: u64 = 16_000;

/// Part of [`MOST_LOOKS`] that urgent steps planned before the rest of a pass may use, so that
/// every pass ends.
pub(super) const MOST_AHEAD: u64 = MOST_LOOKS / 2;

/// Waiting steps in order of rank, and the runners reserved by those planned so far.
#[derive(Default)]
pub(super) struct Sweep {
    left: vec::IntoIter<(Rank, StepId)>,
    pub claims: Claims,
}

impl Sweep {
    /// A pass over steps in the given order.
    pub fn new(order: Vec<(Rank, StepId)>, claims: Claims) -> Self {
        Self { left: order.into_iter(), claims }
    }

    /// Whether every step has been planned.
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

/// Capacity of a service's runners that take new tasks.
#[derive(Clone, Debug, Default)]
struct Room {
    /// Runners by their free processor capacity when the round began, largest first. Placements
    /// only reduce it during the round.
    by_cpu: Vec<(u64, RunnerKey)>,
    /// Free processor capacity of all runners.
    free: u64,
    /// Processor capacity of all runners.
    all: u64,
    /// Value of `Round::moves` when the sums were computed.
    moves: u64,
}

/// Sums over the runners of each service, computed once a round for all waiting steps.
#[derive(Debug, Default)]
pub(super) struct Round {
    rooms: BTreeMap<String, Room>,
    /// Number of placements and changes of provisional reservations in this round.
    pub moves: u64,
}

impl Engine {
    /// Sums for a service; computed again after a placement.
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

    /// Free and total processor capacity of a service's runners.
    pub(super) fn service_room(&mut self, service: &str, now: Now) -> (u64, u64) {
        let room = self.room_now(service, now);
        (room.free, room.all)
    }

    /// Runners of a service that may have `cpu` free, largest free capacity first.
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
