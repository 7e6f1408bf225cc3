//! Claims shards in the store, renews the lease and bridges outages of the store by pledges.

use std::rc::Rc;

use burdockslip_runtime::{now, sleep, timeout};
use burdockslip_store::{Compare, LeaseId, Operation, Page, Txn};
use burdockslip_types::{Result, Revision};
use futures::future::{LocalBoxFuture, join_all};
use tracing::info;

use crate::authority::Shared;
use crate::ownership::Lease;
use crate::{Reply, Request, Shard, handover};

/// The hosts of a zone that claim a shard without an owner, in the order of their rank.
///
/// The second one bridges the time until membership removes a crashed first one.
const CLAIMANTS: usize = 2;

/// Renews the lease and claims or hands over shards for ever.
///
/// Claims are tried twice in each round, because a shard whose owner has died
/// grants nothing until the next claim; a look costs one read of the store.
pub(crate) async fn keep_store(shared: Rc<Shared>) {
    let pause = shared.settings.renew_interval / 2;
    loop {
        shared.renew().await;
        shared.claim_all().await;
        handover::hand_over(&shared).await;
        sleep(pause).await;
        shared.claim_all().await;
        sleep(pause).await;
    }
}

/// Collects pledges for ever while the lease cannot be renewed.
pub(crate) async fn keep_pledges(shared: Rc<Shared>) {
    loop {
        sleep(shared.settings.renew_interval).await;
        let shards = shared.endangered();
        join_all(shards.into_iter().map(|shard| shared.collect(shard))).await;
    }
}

/// Ends the lease and with it the records of all shards.
pub(crate) async fn give_up(shared: &Shared) {
    let lease = shared.state.borrow_mut().lease.take();
    shared.state.borrow_mut().owned.clear();
    if let Some(lease) = lease {
        // Without an answer the lease expires by itself.
        let _ = shared.limited(shared.store.revoke_lease(lease.id)).await;
    }
}

impl Shared {
    /// Runs a call to the store with its time limit.
    pub(crate) async fn limited<T>(&self, call: impl Future<Output = Result<T>>) -> Option<T> {
        let reply = timeout(self.settings.store_timeout, call)
            .await
            .ok()?
            .ok()?;
        self.answered.set(now());
        Some(reply)
    }

    /// Renews the lease once a quarter of its life has passed.
    async fn renew(&self) {
        let Some(lease) = self.state.borrow().lease else {
            return;
        };
        let mut sent = now();
        if lease.end.remaining() > self.settings.lease_ttl * 3 / 4 {
            return;
        }
        let mut reply = self.limited(self.store.keep_lease(lease.id)).await;
        if reply.is_none() {
            // One lost answer must not use up the time until the next renewal.
            sent = now();
            reply = self.limited(self.store.keep_lease(lease.id)).await;
        }
        let Some(ttl) = reply else {
            return;
        };
        let mut state = self.state.borrow_mut();
        if ttl.is_zero() {
            info!(event = "lease_lost", host = %self.fleet.host);
            state.lose_lease();
        } else {
            let ttl = ttl.min(self.settings.lease_ttl);
            state.lease = Some(Lease {
                id: lease.id,
                end: sent + ttl.saturating_sub(self.settings.lease_margin),
            });
        }
    }

    /// Claims the shards for which this host is ranked first and has no record.
    async fn claim_all(&self) {
        let wanted = self.unclaimed();
        if wanted.is_empty() || self.is_draining.get() {
            return;
        }
        let Some(page) = self.limited(self.store.range(&self.prefix())).await else {
            return;
        };
        for shard in wanted {
            // A store that does not answer one claim would not answer the next.
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
                Some(owned) => !owned.is_recorded || state.end(*shard) <= Some(now()),
                None => self.is_claimant(*shard),
            })
            .collect()
    }

    /// Claims one shard; `None` if the store did not answer.
    async fn claim(&self, shard: Shard, page: &Page) -> Option<()> {
        let key = self.key(shard);
        let record = page.entries.iter().find(|entry| entry.key == key);
        let lease = self.state.borrow().lease;
        match (record, lease) {
            // An earlier claim was applied although its answer was lost.
            (Some(entry), Some(lease)) if entry.value == self.value(lease.id) => {
                self.take(shard, lease.id, entry.revision);
                return Some(());
            }
            (Some(_), _) => {
                let mut state = self.state.borrow_mut();
                state.claims.remove(&shard);
                state.vacant.remove(&shard);
                state.forget_lapsed(shard, now());
                return Some(());
            }
            (None, _) => {}
        }
        if !self.is_due(shard) {
            return Some(());
        }
        // From here on this host gives no pledge, and waits until its last one has expired.
        self.state.borrow_mut().claims.insert(shard);
        if !self.may_claim(shard) {
            return Some(());
        }
        let lease = self.lease().await?;
        let txn = Txn {
            compares: vec![Compare::Revision(key.clone(), Revision(0))],
            operations: vec![Operation::Put(key, self.value(lease), Some(lease))],
        };
        let reply = self.limited(self.store.txn(txn)).await?;
        if reply.is_applied {
            self.take(shard, lease, reply.revision);
        }
        Some(())
    }

    pub(crate) fn may_claim(&self, shard: Shard) -> bool {
        self.ready.is_past() && self.state.borrow().may_claim(shard, now())
    }

    /// Returns whether it is this host's turn to claim a shard without a record.
    fn is_due(&self, shard: Shard) -> bool {
        let mut state = self.state.borrow_mut();
        state.forget_lapsed(shard, now());
        if state.owned.contains_key(&shard) || self.is_first(shard) {
            return true;
        }
        // The second-ranked host claims when it finds no record twice in a row.
        self.is_claimant(shard) && self.ready.is_past() && !state.vacant.insert(shard)
    }

    /// Records a claim that the store has confirmed under `lease`.
    ///
    /// Returns false if the lease was lost meanwhile or a pledge forbids it.
    pub(crate) fn take(&self, shard: Shard, lease: LeaseId, revision: Revision) -> bool {
        let is_current = self.state.borrow().lease.is_some_and(|l| l.id == lease);
        let may_take = is_current && self.may_claim(shard);
        if may_take {
            info!(event = "shard_claimed", host = %self.fleet.host, shard = shard.0);
            self.state.borrow_mut().take(shard, revision, now());
        }
        may_take
    }

    /// Returns the current lease, granted now if there is none.
    pub(crate) async fn lease(&self) -> Option<LeaseId> {
        if let Some(lease) = self.state.borrow().lease {
            return Some(lease.id);
        }
        let sent = now();
        let ttl = self.settings.lease_ttl;
        let id = self.limited(self.store.grant_lease(ttl)).await?;
        let end = sent + ttl.saturating_sub(self.settings.lease_margin);
        let mut state = self.state.borrow_mut();
        // Another task may have been faster; the lease of this one expires unused.
        Some(state.lease.get_or_insert(Lease { id, end }).id)
    }

    /// Lists the owned shards whose lease was not renewed in time.
    fn endangered(&self) -> Vec<Shard> {
        let state = self.state.borrow();
        let soon = now() + self.settings.lease_ttl / 2;
        let shards = state.owned.keys().copied();
        shards
            .filter(|shard| {
                state
                    .end(*shard)
                    .is_some_and(|end| !end.is_past() && end <= soon)
            })
            .collect()
    }

    /// Extends the authority over `shard` if every host of the zone pledges not to claim it.
    async fn collect(&self, shard: Shard) {
        let sent = now();
        let ttl = self.settings.pledge_ttl;
        let hosts = (self.fleet.zone_hosts)(&self.fleet.zone);
        // A list without this host is not loaded yet or wrong; nobody on it would prove nothing.
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
        let is_safe = replies
            .iter()
            .all(|reply| *reply == Some(Reply::Pledged(true)));
        let mut state = self.state.borrow_mut();
        // An authority that lapsed while it asked has to claim again.
        if is_safe && let Some(owned) = state.valid(shard, now()) {
            owned.pledged = sent + ttl;
        }
    }

    pub(crate) fn is_first(&self, shard: Shard) -> bool {
        self.place(shard) == Some(0)
    }

    fn is_claimant(&self, shard: Shard) -> bool {
        self.place(shard).is_some_and(|place| place < CLAIMANTS)
    }

    fn place(&self, shard: Shard) -> Option<usize> {
        let rank = (self.fleet.ranked_hosts)(&self.fleet.zone, shard);
        rank.iter().position(|host| *host == self.fleet.host)
    }

    fn prefix(&self) -> String {
        format!("burdockslip/leases/{}/", self.fleet.zone)
    }

    pub(crate) fn key(&self, shard: Shard) -> String {
        format!("{}{}", self.prefix(), shard.0)
    }

    pub(crate) fn value(&self, lease: LeaseId) -> Vec<u8> {
        format!("{} {:x} {}", self.fleet.host, self.run, lease.0).into_bytes()
    }
}
