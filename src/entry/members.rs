//! Membership and shard leases: each entry heartbeats its membership lease and the leases of
//! the shards it holds in one transaction; shards go to members by rendezvous hashing, so a
//! change of membership moves few shards.

use crate::entry::rows;
use crate::kernel::clock::Millis;
use crate::standin::client::{Client, PlatformError};
use crate::standin::lease_key;
use crate::standin::table::{Op, Outcome, Txn};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3;

/// A shard lease this instance holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Held {
    /// Fencing epoch.
    pub epoch: u64,
    /// Local time of the last renewal that the table confirmed.
    pub renewed: Millis,
}

/// The member that owns `shard` among `members`: highest hash of the pair (rendezvous hashing).
pub fn owner<'a>(shard: &str, members: &'a BTreeSet<String>) -> Option<&'a String> {
    let weight = |m: &str| xxh3::xxh3_64(format!("{shard}/{m}").as_bytes());
    members.iter().max_by_key(|m| weight(m))
}

/// Heartbeat state of one entry instance.
#[derive(Debug)]
pub struct Membership {
    /// This instance's id.
    pub me: String,
    /// Its failure domain.
    pub domain: String,
    /// Shards of the domain.
    pub shards: Vec<String>,
    /// Leases held, by shard.
    pub held: BTreeMap<String, Held>,
    /// Live members of the domain, as of the last heartbeat.
    pub members: BTreeSet<String>,
    /// Lease lifetime, ms.
    pub lease_ms: u64,
    /// Epoch of the membership lease.
    pub epoch: u64,
}

impl Membership {
    /// Whether `shard`'s lease may still be used at local time `now`: it was renewed less than
    /// a lease period ago, less a margin for clock drift and the renewal in flight. Past that
    /// the holder stops placing by itself, before the table's fence would stop it.
    pub fn usable(&self, shard: &str, now: Millis, margin: u64) -> bool {
        let until = |h: &Held| h.renewed + self.lease_ms.saturating_sub(margin);
        self.held.get(shard).is_some_and(|h| now < until(h))
    }

    /// One heartbeat at local time `now`: renew membership and held leases, read members,
    /// take the shards this instance owns and give up those it no longer owns.
    pub async fn beat(&mut self, table: &Client, now: Millis) -> Result<(), PlatformError> {
        loop {
            let mut ops = vec![Op::Acquire {
                key: rows::member_key(&self.domain, &self.me),
                holder: self.me.clone(),
                ttl_ms: self.lease_ms,
            }];
            let order: Vec<String> = self.held.keys().cloned().collect();
            ops.extend(order.iter().map(|s| Op::Renew {
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
                    // A shard lease expired or was taken: that shard is lost; renew the rest.
                    let Some(lost) = index.checked_sub(1).and_then(|i| order.get(i)) else {
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
        let live = table.leases(&prefix).await?;
        self.members =
            live.keys().filter_map(|k| k.strip_prefix(&prefix)).map(String::from).collect();
        self.members.insert(self.me.clone());
        for s in self.shards.clone() {
            let mine = owner(&s, &self.members) == Some(&self.me);
            match (mine, self.held.get(&s).copied()) {
                (true, None) => self.take(table, &s, now).await?,
                (false, Some(h)) => self.give_up(table, &s, h.epoch).await,
                (true, Some(_)) | (false, None) => {}
            }
        }
        Ok(())
    }

    /// Takes `shard`'s lease if it is free or expired.
    async fn take(
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
            log::info!("took shard {shard} epoch {epoch}");
            metrics::counter!("entry_shards_taken").increment(1);
            self.held.insert(shard.to_string(), Held { epoch, renewed: now });
        }
        Ok(())
    }

    fn release(&self, key: String, epoch: u64) -> Op {
        Op::Release { key, holder: self.me.clone(), epoch }
    }

    /// Gives `shard` up to the member that now owns it.
    async fn give_up(&mut self, table: &Client, shard: &str, epoch: u64) {
        self.held.remove(shard);
        log::info!("gave up shard {shard} epoch {epoch}");
        let op = self.release(lease_key(shard), epoch);
        // A lost release costs the next holder one lease period, nothing more.
        let _ = table.txn(&Txn::of(vec![op])).await;
    }

    /// Gives every lease up at shutdown, membership included, so that others take over at once.
    pub async fn leave(&mut self, table: &Client) {
        let held = std::mem::take(&mut self.held);
        let shards = held.iter().map(|(s, h)| self.release(lease_key(s), h.epoch));
        let member = self.release(rows::member_key(&self.domain, &self.me), self.epoch);
        let ops = shards.chain([member]).collect();
        let _ = table.txn(&Txn::of(ops)).await;
    }
}
