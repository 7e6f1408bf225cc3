//! Hands a shard with its buckets to the host that is ranked first for it.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, sleep};
use burdockslip_store::{Compare, Operation, Txn};
use burdockslip_types::{HostId, Revision};
use futures::future::join_all;
use tracing::info;

use crate::authority::Shared;
use crate::{BucketLevel, Reply, Request, Shard, loans};

/// The time that a draining host leaves its successors to replace its records.
const SETTLE: Duration = Duration::from_millis(200);

/// Hands over the shards for which another host is ranked first and would take them.
pub(crate) async fn hand_over(shared: &Shared) {
    shared.mark_leaving().await;
    join_all(
        shared
            .finished()
            .into_iter()
            .map(|shard| shared.send(shard)),
    )
    .await;
    shared.release().await;
}

/// Hands over all shards once their loans have ended.
pub(crate) async fn leave_all(shared: &Shared) {
    let end = {
        let mut state = shared.state.borrow_mut();
        let owned = state.owned.values_mut();
        let ends = owned.map(|owned| {
            owned.is_leaving = true;
            loans::last_end(owned)
        });
        ends.max().flatten()
    };
    sleep(end.map_or(Duration::ZERO, Instant::remaining)).await;
    join_all(
        shared
            .finished()
            .into_iter()
            .map(|shard| shared.send(shard)),
    )
    .await;
    sleep(SETTLE).await;
}

/// Claims a shard by replacing the record of the host that hands it over.
///
/// If the replacement succeeds, nobody else owned the shard since the sender
/// stopped granting, so its buckets may be used. An unanswered replacement
/// shows up as an own record later; the buckets start empty then.
pub(crate) async fn take_over(
    host: Rc<Shared>,
    shard: Shard,
    revision: Revision,
    levels: Vec<BucketLevel>,
) {
    host.state.borrow_mut().claims.insert(shard);
    let Some(lease) = host.lease().await else {
        return;
    };
    let key = host.key(shard);
    let replace = Txn {
        compares: vec![Compare::Revision(key.clone(), revision)],
        operations: vec![Operation::Put(key, host.value(lease), Some(lease))],
    };
    let Some(reply) = host.limited(host.store.txn(replace)).await else {
        return;
    };
    if !reply.is_applied || !host.take(shard, lease, reply.revision) {
        return;
    }
    for level in levels {
        host.with_account(&level.organisation, |account, _| {
            account.inherit(level.tokens, now());
        });
    }
}

impl Shared {
    /// Returns whether this host would take `shard` over.
    ///
    /// A host that cannot reach the store could not replace the record, and
    /// the shard would pass to and fro between it and the second-ranked host.
    pub(crate) fn accepts(&self, shard: Shard) -> bool {
        let is_connected = self.answered.get().elapsed() < self.settings.renew_interval * 2;
        let is_staying = is_connected && !self.is_draining.get();
        is_staying && self.is_first(shard) && self.may_claim(shard)
    }

    /// Stops lending for shards that another host accepts.
    async fn mark_leaving(&self) {
        let moved: Vec<_> = {
            let state = self.state.borrow();
            let healthy = now() + self.settings.lease_ttl / 2;
            // During an outage of the store the other host could not claim.
            if state.lease.is_none_or(|lease| lease.end < healthy) {
                return;
            }
            let owned = state.owned.iter();
            let recorded = owned.filter(|(_, owned)| owned.is_recorded && !owned.is_leaving);
            recorded
                .map(|(shard, _)| *shard)
                .filter(|shard| !self.is_first(*shard))
                .collect()
        };
        for shard in moved {
            let Some(first) = self.successor(shard) else {
                continue;
            };
            let reply = self.call(&first, Request::Offer(shard)).await;
            if reply == Some(Reply::Accepted(true))
                && let Some(owned) = self.state.borrow_mut().owned.get_mut(&shard)
            {
                owned.is_leaving = true;
            }
        }
    }

    /// Lists the leaving shards without loans that still grant.
    fn finished(&self) -> Vec<Shard> {
        let state = self.state.borrow();
        let leaving = state
            .owned
            .iter()
            .filter(|(_, owned)| owned.is_leaving && owned.is_recorded && !owned.is_stopped);
        leaving
            .filter(|(_, owned)| loans::last_end(owned).is_none_or(Instant::is_past))
            .map(|(shard, _)| *shard)
            .collect()
    }

    /// Stops granting for `shard` and sends its buckets to the first-ranked host.
    async fn send(&self, shard: Shard) {
        let Some(first) = self.successor(shard) else {
            return;
        };
        let request = {
            let mut state = self.state.borrow_mut();
            let Some(owned) = state.valid(shard, now()) else {
                return;
            };
            owned.is_stopped = true;
            let accounts = owned.accounts.iter_mut();
            Request::HandOver {
                shard,
                revision: owned.revision,
                levels: accounts
                    .map(|(organisation, account)| BucketLevel {
                        organisation: organisation.clone(),
                        tokens: account.level(now()),
                    })
                    .collect(),
            }
        };
        info!(event = "shard_handed_over", host = %self.fleet.host, shard = shard.0);
        self.call(&first, request).await;
    }

    /// Deletes the records of stopped shards that the other host has not replaced.
    async fn release(&self) {
        let stopped: Vec<_> = {
            let state = self.state.borrow();
            let owned = state.owned.iter().filter(|(_, owned)| owned.is_stopped);
            owned
                .map(|(shard, owned)| (*shard, owned.revision))
                .collect()
        };
        if !stopped.is_empty() {
            sleep(SETTLE).await;
        }
        for (shard, revision) in stopped {
            let key = self.key(shard);
            // An unanswered deletion is tried again; the record may be another host's by then.
            let delete = Txn {
                compares: vec![Compare::Revision(key.clone(), revision)],
                operations: vec![Operation::Delete(key)],
            };
            if self.limited(self.store.txn(delete)).await.is_none() {
                return;
            }
            self.state.borrow_mut().owned.remove(&shard);
        }
    }

    fn successor(&self, shard: Shard) -> Option<HostId> {
        let rank = (self.fleet.ranked_hosts)(&self.fleet.zone, shard);
        rank.into_iter().find(|host| *host != self.fleet.host)
    }
}
