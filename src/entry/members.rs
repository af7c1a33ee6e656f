//! Membership and shard leases: each entry heartbeats its membership lease and the leases of
//! the shards it holds in one transaction; shards go to members by rendezvous hashing, so a
//! change of membership moves few shards.

use crate::entry::rows;
use crate::kernel::clock::Millis;
use crate::platform::client::{Client, PlatformError};
use crate::platform::lease_key;
use crate::platform::table::{Op, Outcome, Txn};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// A shard lease this instance holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Held {
    /// Fencing epoch.
    pub epoch: u64,
    /// Local time of the last renewal that the table confirmed.
    pub renewed: Millis,
}

/// The member that owns `shard` among `members`: highest hash of the pair.
pub fn owner<'a>(shard: &str, members: &'a BTreeSet<String>) -> Option<&'a String> {
    members.iter().max_by_key(|m| {
        let mut h = std::collections::hash_map::DefaultHasher::new();
        (shard, m.as_str()).hash(&mut h);
        h.finish()
    })
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
}

impl Membership {
    /// Whether `shard`'s lease may still be used at local time `now`: it was renewed less than
    /// a lease period ago, less a margin for clock drift and the renewal in flight. Past that
    /// the holder stops placing by itself, before the table's fence would stop it.
    pub fn usable(&self, shard: &str, now: Millis, margin: u64) -> Option<u64> {
        let h = self.held.get(shard)?;
        (now < h.renewed + self.lease_ms.saturating_sub(margin)).then_some(h.epoch)
    }

    /// One heartbeat at local time `now`: renew membership and held leases, read members,
    /// take the shards this instance owns and give up those it no longer owns. Returns the
    /// shards newly taken (whose commitments must be read before placing).
    pub async fn beat(
        &mut self,
        table: &Client,
        now: Millis,
    ) -> Result<Vec<String>, PlatformError> {
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
            match table.txn(&Txn { conds: vec![], ops, idem: None }).await? {
                Outcome::Committed { .. } => {
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
        let prefix = format!("member/{}/", self.domain);
        let live = table.leases(&prefix).await?;
        self.members =
            live.keys().filter_map(|k| k.strip_prefix(&prefix)).map(String::from).collect();
        self.members.insert(self.me.clone());
        let mut taken = Vec::new();
        for s in self.shards.clone() {
            let mine = owner(&s, &self.members) == Some(&self.me);
            let holding = self.held.contains_key(&s);
            if mine && !holding {
                let op = Op::Acquire {
                    key: lease_key(&s),
                    holder: self.me.clone(),
                    ttl_ms: self.lease_ms,
                };
                if let Outcome::Committed { epochs, .. } =
                    table.txn(&Txn { conds: vec![], ops: vec![op], idem: None }).await?
                {
                    let epoch = epochs[0];
                    log::info!("took shard {s} epoch {epoch}");
                    self.held.insert(s.clone(), Held { epoch, renewed: now });
                    taken.push(s);
                }
            } else if !mine && holding {
                let epoch = self.held[&s].epoch;
                let op = Op::Release { key: lease_key(&s), holder: self.me.clone(), epoch };
                self.held.remove(&s);
                log::info!("gave up shard {s} epoch {epoch}");
                let _ = table.txn(&Txn { conds: vec![], ops: vec![op], idem: None }).await;
            }
        }
        Ok(taken)
    }
}
