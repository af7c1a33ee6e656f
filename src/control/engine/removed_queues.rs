//! Queues that the catalogue no longer has. A job that was accepted runs to its end, by the last
//! known definition of its queue, which therefore stays in the engine's copy of the catalogue.
//!
//! Each job's row holds the definition that the job was accepted under. If the queue has changed
//! since, the last definition is stored with the job's progress when the queue is removed: else a
//! leader elected later would order starts from runners that the queue had left.

use super::{Engine, Job};
use crate::control::model::{Catalogue, JobId};
use crate::control::queue_row::QueueRow;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of queues that are logged one by one, after a catalogue change or by a new leader.
const MAX_LOGGED: usize = 8;

impl Job {
    /// The newest stored definition of its queue; none if only earlier versions have written rows.
    fn queue_definition(&self) -> Option<&QueueRow> {
        let stored = [self.row.definition.as_ref(), self.last_definition.as_ref()];
        stored.into_iter().flatten().max_by_key(|d| d.version)
    }
}

impl Engine {
    /// Adds to a new catalogue the queues that it no longer has: those with jobs, and those that
    /// `last` had itself, for jobs that other instances have just accepted. Returns the names of the
    /// latter.
    pub(super) fn keep_removed_queues(&mut self, last: &Catalogue) -> BTreeSet<String> {
        let kept_before = std::mem::take(&mut self.removed_queues);
        let cat = self.cat.clone();
        let mut definitions: BTreeMap<String, QueueRow> = BTreeMap::new();
        for q in last.queues.values().filter(|q| !cat.queues.contains_key(&q.name)) {
            let version = kept_before.get(&q.name).copied().unwrap_or(last.version);
            definitions.insert(q.name.clone(), QueueRow::new(q, version));
        }
        let jobs = self.jobs_without_queue();
        for (name, ids) in &jobs {
            let stored = ids.iter().filter_map(|id| self.jobs[id].queue_definition());
            let known = definitions.get(name).map(|d| d.version);
            if let Some(newest) =
                stored.max_by_key(|d| d.version).filter(|d| Some(d.version) > known)
            {
                definitions.insert(name.clone(), newest.clone());
            }
        }
        definitions.retain(|name, _| jobs.contains_key(name) || !kept_before.contains_key(name));
        for (name, definition) in definitions {
            self.keep_queue(&name, &definition);
            for id in jobs.get(&name).into_iter().flatten() {
                self.store_definition(*id, &definition);
            }
        }
        let is_new = |name: &&String| !kept_before.contains_key(*name);
        for (name, ids) in jobs.iter().filter(|(name, _)| is_new(name)).take(MAX_LOGGED) {
            let service = self.cat.queues.get(name).map(|q| q.service.as_str());
            log::info!(queue = name, jobs = ids.len(), first:% = ids[0], service:? = service,
                cat = cat.version; "queue no longer in the catalogue: its jobs keep running");
        }
        metrics::gauge!("control_removed_queues").set(self.removed_queues.len() as f64);
        self.removed_queues.keys().filter(is_new).cloned().collect()
    }

    /// Jobs that have not ended and whose queue the catalogue does not have, by queue.
    fn jobs_without_queue(&self) -> BTreeMap<String, Vec<JobId>> {
        let mut out: BTreeMap<String, Vec<JobId>> = BTreeMap::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| !job.state.ended()) {
            if !self.cat.queues.contains_key(&job.row.queue) {
                out.entry(job.row.queue.clone()).or_default().push(*id);
            }
        }
        out
    }

    /// Keeps the queue of a job that was just added if the catalogue does not have it.
    pub(super) fn keep_queue_of(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.state.ended()) else { return };
        let name = job.row.queue.clone();
        let removed = self.removed_queues.get(&name).copied();
        if self.cat.version == 0 || (self.cat.queues.contains_key(&name) && removed.is_none()) {
            return;
        }
        if let Some(stored) = job.queue_definition().filter(|d| Some(d.version) > removed).cloned()
        {
            if removed.is_none() && self.removed_queues.len() < MAX_LOGGED {
                log::info!(queue = name, first:% = id, service = stored.service,
                    cat = self.cat.version;
                    "queue no longer in the catalogue: its jobs keep running");
            }
            self.keep_queue(&name, &stored);
        } else if let Some((queue, version)) = self.cat.queues.get(&name).zip(removed) {
            let definition = QueueRow::new(queue, version);
            self.store_definition(id, &definition);
        }
    }

    fn keep_queue(&mut self, name: &str, definition: &QueueRow) {
        self.removed_queues.insert(name.to_string(), definition.version);
        let queue = definition.queue(name);
        Arc::make_mut(&mut self.cat).queues.insert(name.to_string(), queue);
        metrics::gauge!("control_removed_queues").set(self.removed_queues.len() as f64);
    }

    /// Stores the definition of a job's queue with its progress unless its rows hold the same.
    fn store_definition(&mut self, id: JobId, definition: &QueueRow) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !job.queue_definition().is_some_and(|stored| stored.same_terms(definition)) {
            job.last_definition = Some(definition.clone());
            self.mark_changed(id);
        }
    }
}
