//! Hands over shards with their buckets to the hosts that are ranked first for them.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, sleep};
use burdockslip_store::{Compare, Operation, Txn};
use burdockslip_types::{HostId, Revision};
use futures::future::join_all;
use tracing::info;

use crate::authority::Shared;
use crate::{BucketLevel, Reply, Request, Shard, loans};

/// How long a host waits after a hand-over for the successors to replace its records.
const REPLACE_WAIT: Duration = Duration::from_millis(200);

/// Hands over the shards for which another host is ranked first and accepts the hand-over.
pub(crate) async fn hand_over_shards(shared: &Shared) {
    shared.mark_leaving().await;
    join_all(
        shared
            .transferable_shards()
            .into_iter()
            .map(|shard| shared.send_shard(shard)),
    )
    .await;
    shared.delete_stopped_records().await;
}

/// Hands over all shards of a draining host once their loans have ended.
pub(crate) async fn hand_over_all(shared: &Shared) {
    let end = {
        let mut state = shared.state.borrow_mut();
        let owned = state.owned.values_mut();
        let ends = owned.map(|owned| {
            owned.is_leaving = true;
            loans::last_loan_end(owned)
        });
        ends.max().flatten()
    };
    sleep(end.map_or(Duration::ZERO, Instant::remaining)).await;
    join_all(
        shared
            .transferable_shards()
            .into_iter()
            .map(|shard| shared.send_shard(shard)),
    )
    .await;
    sleep(REPLACE_WAIT).await;
}

/// Claims a shard by replacing the record of the host that hands it over.
///
/// If the replacement succeeds, no other host has owned the shard since the
/// sender stopped granting, so the levels of its buckets are valid. If the
/// reply of the store is lost, this host finds its own record at a later check
/// and starts with empty buckets.
pub(crate) async fn accept_handover(
    host: Rc<Shared>,
    shard: Shard,
    revision: Revision,
    levels: Vec<BucketLevel>,
) {
    host.state.borrow_mut().claiming.insert(shard);
    let Some(lease) = host.ensure_lease().await else {
        return;
    };
    let key = host.record_key(shard);
    let replace = Txn {
        compares: vec![Compare::Revision(key.clone(), revision)],
        operations: vec![Operation::Put(key, host.record_value(lease), Some(lease))],
    };
    let Some(reply) = host.call_store(host.store.txn(replace)).await else {
        return;
    };
    if !reply.is_applied || !host.record_claim(shard, lease, reply.revision) {
        return;
    }
    for level in levels {
        host.with_account(&level.organisation, |account, _| {
            account.credit(level.tokens, now());
        });
    }
}

impl Shared {
    /// Returns whether this host accepts the hand-over of `shard`.
    ///
    /// A host that cannot reach the store cannot replace the record, and the
    /// shard would move back and forth between it and the second-ranked host.
    pub(crate) fn accepts_shard(&self, shard: Shard) -> bool {
        let is_connected = self.store_answered.get().elapsed() < self.settings.renew_interval * 2;
        let is_staying = is_connected && !self.is_draining.get();
        is_staying && self.is_ranked_first(shard) && self.may_claim(shard)
    }

    /// Marks the shards that their first-ranked host accepts as leaving, so that no more rate is
    /// lent.
    async fn mark_leaving(&self) {
        let misplaced: Vec<_> = {
            let state = self.state.borrow();
            let min_end = now() + self.settings.lease_ttl / 2;
            // During an outage of the store, the other host could not replace the record.
            if state.lease.is_none_or(|lease| lease.end < min_end) {
                return;
            }
            let owned = state.owned.iter();
            let recorded = owned.filter(|(_, owned)| owned.is_recorded && !owned.is_leaving);
            recorded
                .map(|(shard, _)| *shard)
                .filter(|shard| !self.is_ranked_first(*shard))
                .collect()
        };
        for shard in misplaced {
            let Some(successor) = self.successor(shard) else {
                continue;
            };
            let reply = self.call(&successor, Request::Offer(shard)).await;
            if reply == Some(Reply::Accepted(true))
                && let Some(owned) = self.state.borrow_mut().owned.get_mut(&shard)
            {
                owned.is_leaving = true;
            }
        }
    }

    /// Returns the leaving shards that have no loans left and were not handed over yet.
    fn transferable_shards(&self) -> Vec<Shard> {
        let state = self.state.borrow();
        let leaving = state
            .owned
            .iter()
            .filter(|(_, owned)| owned.is_leaving && owned.is_recorded && !owned.is_stopped);
        leaving
            .filter(|(_, owned)| loans::last_loan_end(owned).is_none_or(Instant::is_past))
            .map(|(shard, _)| *shard)
            .collect()
    }

    /// Stops granting tokens of `shard` and sends its bucket levels to the successor.
    async fn send_shard(&self, shard: Shard) {
        let Some(successor) = self.successor(shard) else {
            return;
        };
        let request = {
            let mut state = self.state.borrow_mut();
            let Some(owned) = state.owned_shard(shard, now()) else {
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
        self.call(&successor, request).await;
    }

    /// Deletes the records of shards that were handed over, unless the successors have replaced
    /// them.
    async fn delete_stopped_records(&self) {
        let stopped: Vec<_> = {
            let state = self.state.borrow();
            let owned = state.owned.iter().filter(|(_, owned)| owned.is_stopped);
            owned
                .map(|(shard, owned)| (*shard, owned.revision))
                .collect()
        };
        if !stopped.is_empty() {
            sleep(REPLACE_WAIT).await;
        }
        for (shard, revision) in stopped {
            let key = self.record_key(shard);
            // A deletion without a reply is retried; the compared revision protects the record of
            // another host.
            let delete = Txn {
                compares: vec![Compare::Revision(key.clone(), revision)],
                operations: vec![Operation::Delete(key)],
            };
            if self.call_store(self.store.txn(delete)).await.is_none() {
                return;
            }
            self.state.borrow_mut().owned.remove(&shard);
        }
    }

    /// Returns the highest-ranked host for `shard` other than this one.
    fn successor(&self, shard: Shard) -> Option<HostId> {
        let rank = (self.fleet.ranked_hosts)(&self.fleet.zone, shard);
        rank.into_iter().find(|host| *host != self.fleet.host)
    }
}
