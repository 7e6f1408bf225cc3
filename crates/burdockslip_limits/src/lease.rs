//! Claims shards in the store, renews the lease, and collects pledges during outages of the store.

use std::rc::Rc;

use burdockslip_runtime::{now, sleep, timeout};
use burdockslip_store::{Compare, LeaseId, Operation, Page, Txn};
use burdockslip_types::{Result, Revision};
use futures::future::{LocalBoxFuture, join_all};
use tracing::info;

use crate::authority::Shared;
use crate::ownership::Lease;
use crate::{Reply, Request, Shard, handover};

/// The number of hosts of a zone, by rank, that may claim a shard without an owner.
///
/// The second-ranked host claims the shard if the first-ranked one has crashed
/// and membership has not removed it yet.
const MAX_CLAIMANTS: usize = 2;

/// Renews the lease and claims and hands over shards, until the task is dropped.
///
/// Claims are tried twice in each round, because no tokens of a shard whose
/// owner has crashed are granted until the next claim. If shards are
/// unclaimed, a try costs one read of the store.
pub(crate) async fn run_claims(shared: Rc<Shared>) {
    let pause = shared.settings.renew_interval / 2;
    loop {
        shared.renew_lease().await;
        shared.claim_shards().await;
        handover::hand_over_shards(&shared).await;
        sleep(pause).await;
        shared.claim_shards().await;
        sleep(pause).await;
    }
}

/// Collects pledges while the lease cannot be renewed, until the task is dropped.
pub(crate) async fn run_pledges(shared: Rc<Shared>) {
    loop {
        sleep(shared.settings.renew_interval).await;
        let shards = shared.expiring_shards();
        join_all(
            shards
                .into_iter()
                .map(|shard| shared.collect_pledges(shard)),
        )
        .await;
    }
}

/// Revokes the lease, which deletes the records of all shards.
pub(crate) async fn release_lease(shared: &Shared) {
    let lease = shared.state.borrow_mut().lease.take();
    shared.state.borrow_mut().owned.clear();
    if let Some(lease) = lease {
        // If the call fails, the lease expires.
        let _ = shared.call_store(shared.store.revoke_lease(lease.id)).await;
    }
}

impl Shared {
    /// Awaits a call to the store; `None` if it fails or times out.
    pub(crate) async fn call_store<T>(&self, call: impl Future<Output = Result<T>>) -> Option<T> {
        let reply = timeout(self.settings.store_timeout, call)
            .await
            .ok()?
            .ok()?;
        self.store_answered.set(now());
        Some(reply)
    }

    /// Renews the lease if a quarter of its time to live has passed.
    async fn renew_lease(&self) {
        let Some(lease) = self.state.borrow().lease else {
            return;
        };
        let mut sent = now();
        if lease.end.remaining() > self.settings.lease_ttl * 3 / 4 {
            return;
        }
        let mut reply = self.call_store(self.store.keep_lease(lease.id)).await;
        if reply.is_none() {
            // Retries at once: after one lost reply, the lease would otherwise run on until the
            // next round.
            sent = now();
            reply = self.call_store(self.store.keep_lease(lease.id)).await;
        }
        let Some(ttl) = reply else {
            return;
        };
        let mut state = self.state.borrow_mut();
        if ttl.is_zero() {
            info!(event = "lease_lost", host = %self.fleet.host);
            state.clear_lease();
        } else {
            let ttl = ttl.min(self.settings.lease_ttl);
            state.lease = Some(Lease {
                id: lease.id,
                end: sent + ttl.saturating_sub(self.settings.lease_margin),
            });
        }
    }

    /// Claims the shards for which this host is a claimant and holds no record.
    async fn claim_shards(&self) {
        let wanted = self.unclaimed();
        if wanted.is_empty() || self.is_draining.get() {
            return;
        }
        let Some(page) = self
            .call_store(self.store.range(&self.record_prefix()))
            .await
        else {
            return;
        };
        for shard in wanted {
            // If the store does not answer one claim, the others would time out as well.
            if self.claim(shard, &page).await.is_none() {
                return;
            }
        }
    }

    fn unclaimed(&self) -> Vec<Shard> {
        let state = self.state.borrow();
        (0..self.settings.shards)
            .map(Shard)
            .filter(|shard| match state.owned.get(shard) {
                Some(owned) => !owned.is_recorded || state.owned_until(*shard) <= Some(now()),
                None => self.is_claimant(*shard),
            })
            .collect()
    }

    /// Claims `shard` unless another host holds its record; `None` if the store did not answer.
    async fn claim(&self, shard: Shard, page: &Page) -> Option<()> {
        let key = self.record_key(shard);
        let record = page.entries.iter().find(|entry| entry.key == key);
        let lease = self.state.borrow().lease;
        match (record, lease) {
            // An earlier claim was applied, but its reply was lost.
            (Some(entry), Some(lease)) if entry.value == self.record_value(lease.id) => {
                self.record_claim(shard, lease.id, entry.revision);
                return Some(());
            }
            (Some(_), _) => {
                let mut state = self.state.borrow_mut();
                state.claiming.remove(&shard);
                state.seen_vacant.remove(&shard);
                state.remove_expired(shard, now());
                return Some(());
            }
            (None, _) => {}
        }
        if !self.is_turn_to_claim(shard) {
            return Some(());
        }
        // From here on this host gives no pledges for the shard; it claims once its last one has
        // expired.
        self.state.borrow_mut().claiming.insert(shard);
        if !self.may_claim(shard) {
            return Some(());
        }
        let lease = self.ensure_lease().await?;
        let txn = Txn {
            compares: vec![Compare::Revision(key.clone(), Revision(0))],
            operations: vec![Operation::Put(key, self.record_value(lease), Some(lease))],
        };
        let reply = self.call_store(self.store.txn(txn)).await?;
        if reply.is_applied {
            self.record_claim(shard, lease, reply.revision);
        }
        Some(())
    }

    pub(crate) fn may_claim(&self, shard: Shard) -> bool {
        self.claim_start.is_past() && self.state.borrow().may_claim(shard, now())
    }

    /// Returns whether this host should claim a shard that has no record.
    fn is_turn_to_claim(&self, shard: Shard) -> bool {
        let mut state = self.state.borrow_mut();
        state.remove_expired(shard, now());
        if state.owned.contains_key(&shard) || self.is_ranked_first(shard) {
            return true;
        }
        // The second-ranked host claims if it finds no record in two consecutive checks.
        self.is_claimant(shard) && self.claim_start.is_past() && !state.seen_vacant.insert(shard)
    }

    /// Records a claim that the store has applied under `lease`.
    ///
    /// Returns false, and records nothing, if the lease was lost meanwhile or
    /// this host has pledged not to claim the shard.
    pub(crate) fn record_claim(&self, shard: Shard, lease: LeaseId, revision: Revision) -> bool {
        let is_current = self.state.borrow().lease.is_some_and(|l| l.id == lease);
        let may_take = is_current && self.may_claim(shard);
        if may_take {
            info!(event = "shard_claimed", host = %self.fleet.host, shard = shard.0);
            self.state.borrow_mut().record_claim(shard, revision, now());
        }
        may_take
    }

    /// Returns the current lease, or requests one from the store if there is none.
    pub(crate) async fn ensure_lease(&self) -> Option<LeaseId> {
        if let Some(lease) = self.state.borrow().lease {
            return Some(lease.id);
        }
        let sent = now();
        let ttl = self.settings.lease_ttl;
        let id = self.call_store(self.store.grant_lease(ttl)).await?;
        let end = sent + ttl.saturating_sub(self.settings.lease_margin);
        let mut state = self.state.borrow_mut();
        // Another task may have requested a lease meanwhile; the one from here then expires unused.
        Some(state.lease.get_or_insert(Lease { id, end }).id)
    }

    /// Returns the owned shards whose authority ends within half the time to live of a lease.
    fn expiring_shards(&self) -> Vec<Shard> {
        let state = self.state.borrow();
        let soon = now() + self.settings.lease_ttl / 2;
        let shards = state.owned.keys().copied();
        shards
            .filter(|shard| {
                state
                    .owned_until(*shard)
                    .is_some_and(|end| !end.is_past() && end <= soon)
            })
            .collect()
    }

    /// Extends the authority over `shard` if all other hosts of the zone pledge not to claim it.
    async fn collect_pledges(&self, shard: Shard) {
        let sent = now();
        let ttl = self.settings.pledge_ttl;
        let hosts = (self.fleet.zone_hosts)(&self.fleet.zone);
        // A list without this host is not loaded yet or wrong. If it is empty, the pledges of all
        // listed hosts prove nothing.
        if !hosts.contains(&self.fleet.host) {
            return;
        }
        let others = hosts.iter().filter(|host| **host != self.fleet.host);
        let calls: Vec<LocalBoxFuture<_>> = others
            .map(|host| -> LocalBoxFuture<_> {
                Box::pin(self.call(host, Request::Pledge { shard, ttl }))
            })
            .collect();
        let replies = join_all(calls).await;
        let is_pledged_by_all = replies
            .iter()
            .all(|reply| *reply == Some(Reply::Pledged(true)));
        let mut state = self.state.borrow_mut();
        // If the authority ended while the pledges were collected, the shard has to be claimed
        // again.
        if is_pledged_by_all && let Some(owned) = state.owned_shard(shard, now()) {
            owned.pledged_until = sent + ttl;
        }
    }

    pub(crate) fn is_ranked_first(&self, shard: Shard) -> bool {
        self.own_rank(shard) == Some(0)
    }

    fn is_claimant(&self, shard: Shard) -> bool {
        self.own_rank(shard)
            .is_some_and(|rank| rank < MAX_CLAIMANTS)
    }

    fn own_rank(&self, shard: Shard) -> Option<usize> {
        let rank = (self.fleet.ranked_hosts)(&self.fleet.zone, shard);
        rank.iter().position(|host| *host == self.fleet.host)
    }

    fn record_prefix(&self) -> String {
        format!("burdockslip/leases/{}/", self.fleet.zone)
    }

    pub(crate) fn record_key(&self, shard: Shard) -> String {
        format!("{}{}", self.record_prefix(), shard.0)
    }

    pub(crate) fn record_value(&self, lease: LeaseId) -> Vec<u8> {
        format!("{} {:x} {}", self.fleet.host, self.run_id, lease.0).into_bytes()
    }
}
