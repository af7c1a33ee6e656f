//! Runners reserved for gangs that wait.
//!
//! The load this answers: wide gangs that few runners may run, on a cell where narrow tasks come
//! all the time. Room for a gang comes free task by task, and narrow tasks would take each piece.
//! So a gang that waits reserves runners: others place nothing more there (urgent queues do).

use super::{Engine, RunnerKey};
use crate::control::model::StepId;
use crate::control::place::{self, Place};
use crate::control::queue::Rank;
use crate::kernel::res::Resources;
use std::collections::BTreeSet;

/// Gangs in time for which room is kept back while they wait, as long as the cell keeps up.
const GANGS_AHEAD: usize = 12;

/// ... and in a cell that does not keep up, or for gangs that are late. Room kept back is room not used,
/// which lookups lack then.
const GANGS_AHEAD_FULL: usize = 2;

/// A cell does not keep up while what waits asks for more than this share of its processors, per cent.
const FULL_BACKLOG: u64 = 40;

/// Share of the room taken on a runner that a waiting gang counts on, per cent: its tasks end one
/// by one, and a gang that counts on all of it waits for the last.
const ROOM_TO_COME: u64 = 25;

/// Processors, in thousandths of a core, that what waits asks for, and that the cell has.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    /// Asked for.
    pub asked: u64,
    /// Of all runners.
    pub room: u64,
}

impl Backlog {
    /// Whether it is over `share` per cent of the cell.
    pub fn over(self, share: u64) -> bool {
        self.asked * 100 > self.room * share
    }
}

/// Runners reserved so far in a planning round, and for how many gangs.
#[derive(Default)]
pub(super) struct Claims {
    taken: BTreeSet<RunnerKey>,
    gangs: usize,
    backlog: Backlog,
}

impl Claims {
    /// No reservations yet, with `backlog` waiting.
    pub fn new(backlog: Backlog) -> Self {
        Self { backlog, ..Self::default() }
    }

    /// What patient work may use of a runner's free room.
    pub fn left(&self, k: RunnerKey, free: Resources) -> Resources {
        match self.has(k) {
            true => Resources::ZERO,
            false => free,
        }
    }

    /// Whether a runner is reserved.
    pub fn has(&self, k: RunnerKey) -> bool {
        self.taken.contains(&k)
    }

    /// What waits beside a gang that asks for `cpu` itself.
    pub fn beside(&self, cpu: u64) -> Backlog {
        Backlog { asked: self.backlog.asked.saturating_sub(cpu), ..self.backlog }
    }

    /// Whether a gang of this rank may begin to reserve runners.
    pub fn open(&self, rank: Rank) -> bool {
        let most = if rank.late || self.backlog.over(FULL_BACKLOG) {
            GANGS_AHEAD_FULL
        } else {
            GANGS_AHEAD
        };
        rank.patient && self.gangs < most
    }
}

impl Engine {
    /// Reserves runners for a gang that has to wait, of those `known` to be approved, largest free
    /// room first, until what is free there and what may come free is enough.
    pub(super) fn reserve(
        &self,
        id: StepId,
        rank: Rank,
        known: &[Place<RunnerKey>],
        need: &Resources,
        claims: &mut Claims,
    ) {
        if !claims.open(rank) {
            return;
        }
        claims.gangs += 1;
        let mut by_room: Vec<&Place<RunnerKey>> = known.iter().collect();
        by_room.sort_by_key(|p| std::cmp::Reverse((p.free.cpu, p.key)));
        let mut missing = self.step(id).map_or(0, |s| s.tasks.len()) as u64;
        for p in by_room {
            if missing == 0 {
                return;
            }
            let whole = Place { free: self.runners.get(p.key).room(), ..p.clone() };
            let now = place::capacity(std::slice::from_ref(p), need);
            let later = place::capacity(&[whole], need).saturating_sub(now);
            missing = missing.saturating_sub((now + later * ROOM_TO_COME / 100).max(1));
            claims.taken.insert(p.key);
        }
    }
}
