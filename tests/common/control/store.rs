//! The store of progress rows.

use super::calls::{TIMEOUT_MS, WAY_MS};
use super::{Cell, Event};
use currantgw::control::engine::{Batch, Outcome};
use currantgw::control::model::{JobId, JobState};
use currantgw::control::ports;
use currantgw::control::rows::{self, ProgressRow};
use rand::Rng;

impl Cell {
    /// Sends what the scheduler wants stored.
    pub(super) fn commit(&mut self) {
        if !self.engine.wants_commit() {
            return;
        }
        let batch = self.engine.take_batch(48);
        let term = self.office;
        if self.faults.store_down {
            return self.at(TIMEOUT_MS, Event::Committed(batch, Outcome::Unknown));
        }
        if !self.rng.gen_bool(self.faults.commits) {
            return self.at(WAY_MS, Event::Apply { term, batch, answered: true });
        }
        self.at(TIMEOUT_MS, Event::Committed(batch.clone(), Outcome::Unknown));
        if self.rng.gen_bool(0.75) {
            let late = if self.rng.gen() { WAY_MS } else { self.rng.gen_range(1_000..6_000) };
            self.at(late, Event::Apply { term, batch, answered: false });
        }
    }

    /// A commit reaches the store: all of it is written, or nothing.
    pub(super) fn apply(&mut self, term: u64, batch: &Batch) -> Outcome {
        let stands = |id: &JobId| self.store.get(id).map_or(0, |(v, _)| *v);
        if term != self.office || batch.writes.iter().any(|w| stands(&w.job) != w.version) {
            let found = batch.writes.iter().filter_map(|w| {
                let (version, value) = self.store.get(&w.job)?.clone();
                let key = rows::progress_key(w.job);
                Some(ports::Row { key, value, version })
            });
            return Outcome::Conflict(found.collect());
        }
        self.version += 1;
        for w in &batch.writes {
            self.store.insert(w.job, (self.version, w.value.clone()));
            *self.writes.entry(w.job).or_default() += 1;
            if w.state.ended() {
                self.ended.entry(w.job).or_insert((self.now, w.state));
            }
        }
        Outcome::Done(self.version)
    }

    /// State of a job in the store.
    pub fn stored(&self, id: JobId) -> JobState {
        let row = self.store.get(&id).map(|(_, v)| rows::decode::<ProgressRow>(v).unwrap());
        row.map_or(JobState::Queued, |r| r.state)
    }
}
