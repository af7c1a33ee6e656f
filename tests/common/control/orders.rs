//! What runners make of orders that reach them, and whether a start breaks a promise.

use super::super::runner::Running;
use super::Cell;
use currantgw::control::model::{EndKind, TaskId};
use currantgw::control::ports::{Active, Hold, Order, Refusal, Report, Start};
use currantgw::kernel::res::Resources;
use rand::Rng;

/// Time a runner takes to stop a task, ms.
const STOP_MS: u64 = 100;

/// Resuming from a checkpoint takes this long, ms.
const RESTORE_MS: u64 = 250;

/// A number drawn from a task: its share of its step's uneven work.
fn uneven_of(task: TaskId) -> u64 {
    let seed = task.step.job.0 ^ u64::from(task.step.step) << 16 ^ u64::from(task.index);
    seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33
}

impl Cell {
    fn need(&self, task: TaskId) -> Resources {
        self.jobs[&task.step.job].spec.steps[task.step.step as usize].need
    }

    /// Carries out a start on runner `i`, or refuses it.
    pub(super) fn start(&mut self, i: usize, s: &Start) -> Result<u64, Refusal> {
        let now = self.now;
        let need = self.need(s.task);
        let poison = self.fails.contains(&s.task.step.job)
            || (self.own_faults > 0.0 && self.rng.gen_bool(self.own_faults));
        let step = &self.jobs[&s.task.step.job].spec.steps[s.task.step.step as usize];
        let truth = self.truth.get(&s.task.step.job).copied().unwrap_or(100);
        let share = 100 - self.uneven + uneven_of(s.task) % (2 * self.uneven + 1);
        let work = step.estimate * truth * share / 10_000;
        let (copies, gang, saves) = (step.copies, step.gang.then_some(step.count), step.saves);
        self.began.entry(s.task.step.job).or_insert(now);
        let r = &mut self.runners[i];
        if s.fence < r.fence {
            return Err(Refusal::Fenced);
        }
        r.fence = s.fence;
        let clock = r.clock(now);
        if r.running.get(&s.task).is_some_and(|x| x.attempt == s.attempt) {
            r.lease = r.lease.max(s.until);
            return Ok(clock);
        }
        if r.closed.get(&s.task).is_some_and(|a| s.attempt <= *a) {
            return Err(Refusal::Superseded);
        }
        if s.until <= clock {
            return Err(Refusal::Expired);
        }
        if r.refuses_until > now {
            return Err(Refusal::Ticket);
        }
        r.started += 1;
        r.lease = r.lease.max(s.until);
        let run = Running {
            attempt: s.attempt,
            began: now,
            work,
            worked: s.saved.parse::<u64>().unwrap_or(0).saturating_sub(RESTORE_MS),
            stopping: None,
            need,
            fails: poison || r.fails,
            gang,
            saves,
        };
        r.running.insert(s.task, run);
        let over = !r.used().fits(&r.room);
        if over {
            self.broken.push(format!("{now}: {} oversells r{i}", s.task));
        }
        if self.done.get(&s.task) == Some(&true) && !copies {
            self.broken.push(format!("{now}: {} starts after it was done", s.task));
        }
        if self.whereabouts(s.task).len() > 1 && !copies {
            self.broken.push(format!("{now}: {} runs twice", s.task));
        }
        *self.starts.entry(s.task).or_default() += 1;
        Ok(clock)
    }

    /// Carries out a stop on runner `i`.
    pub(super) fn stop(&mut self, i: usize, o: &Order) -> Result<u64, Refusal> {
        let now = self.now;
        let r = &mut self.runners[i];
        if o.fence < r.fence {
            return Err(Refusal::Fenced);
        }
        r.fence = o.fence;
        let closed = r.closed.entry(o.task).or_default();
        *closed = (*closed).max(o.attempt);
        if let Some(run) = r.running.get_mut(&o.task).filter(|x| x.attempt <= o.attempt) {
            run.stopping.get_or_insert(now + STOP_MS);
        }
        Ok(r.clock(now))
    }

    /// A look at runner `i`, which may extend its lease.
    pub(super) fn hold(&mut self, i: usize, h: &Hold) -> Result<Report, Refusal> {
        let now = self.now;
        let r = &mut self.runners[i];
        if h.fence < r.fence {
            return Err(Refusal::Fenced);
        }
        r.fence = h.fence;
        r.lease = r.lease.max(h.until.unwrap_or(0));
        for end in r.ends.iter().filter(|e| e.number <= h.acked && e.kind == EndKind::Done) {
            self.done.insert(end.task, true);
        }
        r.ends.retain(|e| e.number > h.acked);
        let active = r.running.iter().map(|(task, x)| Active {
            task: *task,
            attempt: x.attempt,
            saved: String::new(),
            percent: x.percent(),
            load: 0.0,
        });
        Ok(Report { clock: r.clock(now), active: active.collect(), ends: r.ends.clone() })
    }
}
