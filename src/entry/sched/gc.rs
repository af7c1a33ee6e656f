//! Garbage collection of the table. Jobs that ended before the retention time are written as a
//! report to the object store, and their rows are then removed in one fenced transaction per pass.
//! Old write records are removed in the same way, without a report.
//!
//! Without it, job rows and write records accumulate without limit, and every scan and takeover
//! grows with them. If a pass fails between the report and the removal, the next one writes the
//! report again.

use crate::entry::rows::{self, JobRow};
use crate::kernel::clock::Millis;
use crate::standin::client::{Client, PlatformError};
use crate::standin::lease_key;
use crate::standin::table::{Cond, Op, Outcome, Txn};
use std::collections::BTreeMap;

/// Most ids of ended jobs, or of writes, removed in one pass over a shard.
const MAX_IDS_PER_PASS: usize = 400;

/// Inputs of a garbage collection pass.
pub struct Pass<'a> {
    /// Client of the platform.
    pub platform: &'a Client,
    /// Id of this instance.
    pub me: &'a str,
    /// Failure domain of this instance.
    pub domain: &'a str,
    /// Jobs and writes that ended before this time are removed, ms.
    pub before: Millis,
}

impl Pass<'_> {
    /// Returns the keys under `prefix` whose time is before the limit, oldest first, as (key, id).
    async fn expired(&self, prefix: &str) -> Result<Vec<(String, String)>, PlatformError> {
        let rows = self.platform.scan(prefix).await?;
        let parse = |key: &String| {
            let (at, id) = key.strip_prefix(prefix)?.split_once('/')?;
            (at.parse::<Millis>().ok()? < self.before).then(|| (key.clone(), id.to_string()))
        };
        Ok(rows.keys().filter_map(parse).take(MAX_IDS_PER_PASS).collect())
    }

    /// Removes `keys` in one transaction under the lease of `shard`. Returns the number of rows
    /// removed, 0 if the lease was lost.
    async fn remove(
        &self,
        shard: &str,
        epoch: u64,
        keys: Vec<String>,
    ) -> Result<usize, PlatformError> {
        let n = keys.len();
        let cond = Cond::Lease { key: lease_key(shard), holder: self.me.into(), epoch };
        let ops = keys.into_iter().map(|key| Op::Delete { key }).collect();
        match self.platform.txn(&Txn { conds: vec![cond], ops, idem: None }).await? {
            Outcome::Committed { .. } => Ok(n),
            Outcome::Conflict { .. } => Ok(0),
        }
    }

    /// Removes the ended jobs of `shard`, held under `epoch`, and returns the number of rows
    /// removed.
    pub async fn jobs(&self, shard: &str, epoch: u64) -> Result<usize, PlatformError> {
        let expired = self.expired(&rows::done_prefix(self.domain, shard)).await?;
        if expired.is_empty() {
            return Ok(0);
        }
        let keys = expired.iter().map(|(_, id)| rows::job_key(id)).collect();
        let jobs: BTreeMap<String, JobRow> = self
            .platform
            .get(keys)
            .await?
            .into_iter()
            .filter_map(|(key, r)| Some((key, rows::decode::<JobRow>(&r.value)?)))
            .filter(|(_, j)| j.ended())
            .collect();
        let report =
            serde_json::json!({ "shard": shard, "jobs": jobs.values().collect::<Vec<_>>() });
        let name = format!("report-{shard}-{:015}", self.before);
        self.platform.put_object(&name, report.to_string()).await?;
        let expired_keys =
            expired.into_iter().map(|(key, _)| key).chain(jobs.into_keys()).collect();
        self.remove(shard, epoch, expired_keys).await
    }

    /// Removes the old write records of the domain under the lease of `shard`, and returns the
    /// number of rows removed.
    pub async fn writes(&self, shard: &str, epoch: u64) -> Result<usize, PlatformError> {
        let expired = self.expired(&rows::wrote_prefix(self.domain)).await?;
        if expired.is_empty() {
            return Ok(0);
        }
        let expired_keys =
            expired.into_iter().flat_map(|(key, id)| [key, rows::write_key(&id)]).collect();
        self.remove(shard, epoch, expired_keys).await
    }
}
