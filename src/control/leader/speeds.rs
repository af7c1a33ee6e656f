//! Reading and writing of the row of the speeds of runners. No decision waits for it.

use super::{Event, Leader};
use crate::control::election::Term;
use crate::control::engine::Engine;
use crate::control::ports::Commit;
use crate::control::{rows, speeds_row};
use futures::future::{self, BoxFuture, Either, FutureExt};

/// Longest time that a new leader waits for the row, ms: it reads the tables meanwhile, which takes
/// about as long.
const READ_MS: u64 = 300;

/// Timeout of a write, ms.
const WRITE_MS: u64 = 900;

/// The row is written only after a heartbeat that was stored within this time, ms. It is in the
/// partition of the heartbeat, which executes one transaction at a time, and on a slow store it
/// would delay the next one.
const PROMPT_MS: u64 = 100;

impl Leader {
    /// The row that an earlier leader has stored, if it can be read in time. The time counts from the
    /// begin of the term, while the tables are read.
    pub(super) async fn read_speeds(&self) -> Option<Vec<u8>> {
        if !self.rules.features.runner_speeds {
            return None;
        }
        let key = rows::speeds_key();
        let page = self.store.page(&key.table, &key.part, &key.key, None, 1);
        let page = match future::select(page, Box::pin(self.clock.sleep(READ_MS))).await {
            Either::Left((page, _)) => page.map_err(|e| e.to_string()),
            Either::Right(_) => Err(format!("no answer within {READ_MS} ms")),
        };
        match page {
            Ok(page) => page.rows.into_iter().find(|r| r.key == key).map(|r| r.value),
            Err(why) => {
                log::warn!(why = why; "stored speeds of runners not read");
                None
            }
        }
    }

    /// A write of the row, if one is due and the store is prompt: the last heartbeat was sent at
    /// `sent`, local ms, and has just been acknowledged.
    pub(super) fn store_speeds(
        &self,
        term: Term,
        engine: &mut Engine,
        sent: u64,
    ) -> Option<BoxFuture<'_, Event>> {
        if self.clock.mono().saturating_sub(sent) > PROMPT_MS {
            return None;
        }
        let row = engine.take_speeds_row(self.now())?;
        Some(self.write_speeds(term, row).boxed())
    }

    /// Writes the row, on the condition that no later leader was elected: it may have newer speeds.
    async fn write_speeds(&self, term: Term, row: Vec<u8>) -> Event {
        let bytes = row.len();
        let res = self.store.commit(&speeds_row::write(term.fence, row), WRITE_MS).await;
        match &res {
            Ok(Commit::Done(version)) => {
                log::debug!(bytes, version = *version; "speeds of runners stored")
            }
            Ok(Commit::Conflict(_)) => {
                log::info!(fence = term.fence; "speeds of runners not stored: another leader")
            }
            Err(e) => log::warn!(why:% = e, bytes; "speeds of runners not stored"),
        }
        Event::SpeedsStored(matches!(res, Ok(Commit::Done(_))))
    }
}
