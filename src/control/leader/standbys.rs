//! Keeps the row of the standby instances up to date.

use super::{Event, Leader};
use crate::control::election::Term;
use crate::control::policy::standbys::{self, Applicant};
use crate::control::ports::{Commit, Txn};
use crate::control::rows::{self, StandbysRow};
use futures::future::{BoxFuture, FutureExt};
use std::collections::{BTreeMap, BTreeSet};

/// Time that a standby instance may be without a link, or without the store, before another one is
/// chosen, ms: longer than it takes to link to a new leader, or to link again.
const ABSENT_MS: u64 = 2_000;

/// Timeout of a write of the row, ms.
const WRITE_MS: u64 = 900;

/// Standby instances as this leader has stored them.
#[derive(Debug)]
pub(super) struct Standbys {
    stored: BTreeSet<String>,
    /// When each instance could last be one, local ms.
    seen: BTreeMap<String, u64>,
    /// A write is under way.
    writing: bool,
    began: u64,
}

impl Standbys {
    /// Those that an earlier leader has stored, at the begin of a term.
    pub fn new(stored: BTreeSet<String>, now: u64) -> Self {
        Self { stored, seen: BTreeMap::new(), writing: false, began: now }
    }

    /// The instances to store, if they are others than those stored. `linked` are the instances that
    /// have a link and reach the store.
    fn next(
        &mut self,
        linked: &[Applicant],
        domain: &str,
        size: u64,
        now: u64,
    ) -> Option<BTreeSet<String>> {
        self.seen.retain(|_, at| *at + ABSENT_MS > now);
        self.seen.extend(linked.iter().map(|a| (a.node.clone(), now)));
        // Until the links of all instances are open again, nothing shows which are gone.
        if self.writing || self.began + ABSENT_MS > now {
            return None;
        }
        let mut applicants = linked.to_vec();
        let kept = self.stored.iter().filter(|node| self.seen.contains_key(*node));
        for node in kept {
            if !linked.iter().any(|a| a.node == *node) {
                applicants.push(Applicant { node: node.clone(), size, ..Applicant::default() });
            }
        }
        let chosen = standbys::choose(&self.stored, &applicants, domain, size);
        (!chosen.is_empty() && chosen != self.stored).then_some(chosen)
    }

    /// Records the outcome of a write: what was stored, if it was.
    pub fn written(&mut self, stored: Option<BTreeSet<String>>) {
        self.writing = false;
        if let Some(stored) = stored {
            self.stored = stored;
        }
    }
}

impl Leader {
    /// A write of the row of the standby instances, if it has to change.
    pub(super) fn update_standbys(
        &self,
        term: Term,
        standbys: &mut Standbys,
    ) -> Option<BoxFuture<'_, Event>> {
        let (me, now) = (self.election.candidate(), self.clock.mono());
        let chosen = standbys.next(&self.server.applicants(), &me.domain, me.size, now)?;
        standbys.writing = true;
        Some(self.write_standbys(term, chosen).boxed())
    }

    async fn write_standbys(&self, term: Term, chosen: BTreeSet<String>) -> Event {
        let row = StandbysRow(chosen.clone());
        let txn = Txn {
            expect: vec![(rows::leader_key(), term.fence)],
            put: vec![(rows::standbys_key(), rows::encode(&row))],
            remove: Vec::new(),
        };
        match self.store.commit(&txn, WRITE_MS).await {
            Ok(Commit::Done(version)) => {
                log::info!(nodes:? = chosen, version; "standby instances chosen");
                Event::StandbysStored(Some(chosen))
            }
            Ok(Commit::Conflict(_)) => Event::Replaced,
            Err(why) => {
                log::warn!(why:% = why; "standby instances not stored");
                Event::StandbysStored(None)
            }
        }
    }
}
