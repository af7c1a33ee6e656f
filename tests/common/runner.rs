//! A runner as the platform's protocol has it: fencing tokens, a lease on its own clock, lists of
//! what runs and what has ended.

#![allow(dead_code)]

use currantgw::control::model::{Attempt, EndKind, TaskId};
use currantgw::control::ports::End;
use currantgw::kernel::res::Resources;
use std::collections::BTreeMap;

/// A run of a task on a fake runner.
#[derive(Clone, Debug)]
pub struct Running {
    /// Number of its start.
    pub attempt: Attempt,
    /// When it started, ms.
    pub began: u64,
    /// Work it has to do, ms.
    pub work: u64,
    /// Work done, ms.
    pub worked: u64,
    /// When a stop comes into effect, ms.
    pub stopping: Option<u64>,
    /// Room it takes.
    pub need: Resources,
    /// It ends failed.
    pub fails: bool,
    /// Members of its gang, if it is of one.
    pub gang: Option<u32>,
    /// It writes checkpoints.
    pub saves: bool,
}

/// Work between two checkpoints, ms.
const CHECKPOINT_MS: u64 = 2_000;

impl Running {
    /// The checkpoint to resume from: work done, at a stop all of it; empty for none.
    fn saved(&self, stopped: bool) -> String {
        let whole = self.worked / CHECKPOINT_MS * CHECKPOINT_MS;
        let done = if stopped { self.worked } else { whole };
        match self.saves && done > 0 {
            true => format!("{done:08}"),
            false => String::new(),
        }
    }

    /// Progress, whole percent as runners report it.
    pub fn percent(&self) -> f64 {
        (100 * self.worked / self.work.max(1)) as f64
    }
}

/// A life of a runner.
#[derive(Clone, Debug)]
pub struct FakeRunner {
    /// Its id.
    pub id: String,
    /// Its capacity.
    pub room: Resources,
    /// It exists; a dead one answers nothing.
    pub up: bool,
    /// Nothing reaches it before this time.
    pub cut_until: u64,
    /// Its tasks make no progress.
    pub hangs: bool,
    /// Its tasks all fail.
    pub fails: bool,
    /// Another life answers at its address.
    pub replaced: bool,
    /// It refuses tickets before this time.
    pub refuses_until: u64,
    /// Starts carried out.
    pub started: u32,
    /// Highest fencing token seen.
    pub fence: u64,
    /// End of the lease on its clock, ms.
    pub lease: u64,
    /// What runs.
    pub running: BTreeMap<TaskId, Running>,
    /// Ends not yet acknowledged.
    pub ends: Vec<End>,
    /// Highest attempt of each task that was stopped or has ended here.
    pub closed: BTreeMap<TaskId, Attempt>,
    /// Ends up to this number were listed before its lease ran out: they are void, whoever acknowledges them.
    pub void: u64,
    offset: u64,
    last: u64,
}

impl FakeRunner {
    /// The runner number `i`, empty.
    pub fn new(i: usize, room: Resources) -> Self {
        Self {
            id: format!("r{i}"),
            room,
            up: true,
            cut_until: 0,
            hangs: false,
            fails: false,
            replaced: false,
            refuses_until: 0,
            started: 0,
            fence: 0,
            lease: 0,
            running: BTreeMap::new(),
            ends: Vec::new(),
            closed: BTreeMap::new(),
            void: 0,
            offset: 77 * (i as u64 + 1),
            last: 0,
        }
    }

    /// Its own clock, ms.
    pub fn clock(&self, now: u64) -> u64 {
        now + self.offset
    }

    /// Room taken by what runs.
    pub fn used(&self) -> Resources {
        self.running.values().fold(Resources::ZERO, |sum, r| sum.add(&r.need))
    }

    /// Its lease has run out.
    pub fn lapse(&mut self) {
        self.void = self.last;
    }

    /// Ends a run and lists the end.
    pub fn end(&mut self, task: TaskId, kind: EndKind) {
        let Some(run) = self.running.remove(&task) else { return };
        self.last += 1;
        let closed = self.closed.entry(task).or_default();
        *closed = (*closed).max(run.attempt);
        let (number, attempt) = (self.last, run.attempt);
        let saved = run.saved(kind == EndKind::Stopped);
        self.ends.push(End { number, task, attempt, kind, saved });
    }
}
