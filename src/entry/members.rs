//! Membership and shard leases. Each entry instance renews its membership lease and the leases of
//! its shards in one transaction per heartbeat. Shards are assigned to members by rendezvous
//! hashing, so that a change of membership moves few shards.

use crate::entry::rows;
use crate::kernel::clock::Millis;
use crate::standin::client::{Client, PlatformError};
use crate::standin::lease_key;
use crate::standin::table::{Op, Outcome, Txn};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3;

/// A shard lease held by this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct HeldLease {
    /// Fencing epoch of the lease.
    pub epoch: u64,
    /// Local time of the last heartbeat whose renewal the table confirmed, ms.
    pub renewed: Millis,
}

/// Returns the member that owns `shard`: the one with the highest hash of shard and member
/// (rendezvous hashing).
pub fn owner<'a>(shard: &str, members: &'a BTreeSet<String>) -> Option<&'a String> {
    let weight = |m: &str| xxh3::xxh3_64(format!("{shard}/{m}").as_bytes());
    members.iter().max_by_key(|m| weight(m))
}

/// Membership and shard leases of one entry instance.
#[derive(Debug)]
pub struct Membership {
    /// Id of this instance.
    pub me: String,
    /// Failure domain of this instance.
    pub domain: String,
    /// Shards of the failure domain.
    pub shards: Vec<String>,
    /// Shard leases held, by shard.
    pub held: BTreeMap<String, HeldLease>,
    /// Live members of the failure domain, as of the last heartbeat.
    pub members: BTreeSet<String>,
    /// Lifetime of a lease, ms.
    pub lease_ms: u64,
    /// Fencing epoch of the membership lease.
    pub epoch: u64,
}

impl Membership {
    /// Returns whether the lease of `shard` may be used at local time `now`: it was renewed less
    /// than a lease period ago, minus `margin` (ms) for clock drift and the renewal in flight.
    /// After that the holder stops placing tasks by itself, before the table would refuse its
    /// commits.
    pub fn usable(&self, shard: &str, now: Millis, margin: u64) -> bool {
        let until = |h: &HeldLease| h.renewed + self.lease_ms.saturating_sub(margin);
        self.held.get(shard).is_some_and(|h| now < until(h))
    }

    /// Sends one heartbeat at local time `now`: renews the membership lease and the shard leases,
    /// reads the members, acquires shards that this instance owns and releases those it no longer
    /// owns.
    pub async fn heartbeat(&mut self, table: &Client, now: Millis) -> Result<(), PlatformError> {
        loop {
            let mut ops = vec![Op::Acquire {
                key: rows::member_key(&self.domain, &self.me),
                holder: self.me.clone(),
                ttl_ms: self.lease_ms,
            }];
            let renewed_shards: Vec<String> = self.held.keys().cloned().collect();
            ops.extend(renewed_shards.iter().map(|s| Op::Renew {
                key: lease_key(s),
                holder: self.me.clone(),
                epoch: self.held[s].epoch,
                ttl_ms: self.lease_ms,
            }));
            match table.txn(&Txn::of(ops)).await? {
                Outcome::Committed { epochs, .. } => {
                    self.epoch = epochs.first().copied().unwrap_or_default();
                    self.held.values_mut().for_each(|h| h.renewed = now);
                    break;
                }
                Outcome::Conflict { index, .. } => {
                    // A shard lease expired or was acquired by another member. Drop the shard and
                    // renew the other leases.
                    let Some(lost) = index.checked_sub(1).and_then(|i| renewed_shards.get(i))
                    else {
                        return Err(PlatformError::Status {
                            status: 409,
                            detail: "membership".into(),
                        });
                    };
                    log::warn!("lost shard lease {lost}");
                    metrics::counter!("entry_shards_lost").increment(1);
                    self.held.remove(lost);
                }
            }
        }
        let prefix = rows::member_prefix(&self.domain);
        let leases = table.leases(&prefix).await?;
        self.members =
            leases.keys().filter_map(|k| k.strip_prefix(&prefix)).map(String::from).collect();
        self.members.insert(self.me.clone());
        for s in self.shards.clone() {
            let owned = owner(&s, &self.members) == Some(&self.me);
            match (owned, self.held.get(&s).copied()) {
                (true, None) => self.acquire(table, &s, now).await?,
                (false, Some(h)) => self.release_shard(table, &s, h.epoch).await,
                (true, Some(_)) | (false, None) => {}
            }
        }
        Ok(())
    }

    /// Acquires the lease of `shard` if it is free or expired.
    async fn acquire(
        &mut self,
        table: &Client,
        shard: &str,
        now: Millis,
    ) -> Result<(), PlatformError> {
        let op =
            Op::Acquire { key: lease_key(shard), holder: self.me.clone(), ttl_ms: self.lease_ms };
        let txn = Txn::of(vec![op]);
        if let Outcome::Committed { epochs, .. } = table.txn(&txn).await? {
            let epoch = epochs[0];
            log::info!("acquired shard {shard} epoch {epoch}");
            metrics::counter!("entry_shards_taken").increment(1);
            self.held.insert(shard.to_string(), HeldLease { epoch, renewed: now });
        }
        Ok(())
    }

    /// Builds the operation that releases the lease `key`.
    fn release_op(&self, key: String, epoch: u64) -> Op {
        Op::Release { key, holder: self.me.clone(), epoch }
    }

    /// Releases the lease of `shard` for the member that owns it now.
    async fn release_shard(&mut self, table: &Client, shard: &str, epoch: u64) {
        self.held.remove(shard);
        log::info!("released shard {shard} epoch {epoch}");
        let op = self.release_op(lease_key(shard), epoch);
        // If the release is lost, the next holder waits for one lease period.
        let _ = table.txn(&Txn::of(vec![op])).await;
    }

    /// Releases all leases at shutdown, including the membership lease, so that other members take
    /// over at once.
    pub async fn leave(&mut self, table: &Client) {
        let held = std::mem::take(&mut self.held);
        let shards = held.iter().map(|(s, h)| self.release_op(lease_key(s), h.epoch));
        let member = self.release_op(rows::member_key(&self.domain, &self.me), self.epoch);
        let ops = shards.chain([member]).collect();
        let _ = table.txn(&Txn::of(ops)).await;
    }
}
