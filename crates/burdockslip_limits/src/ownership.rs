//! The shards that this host has authority over, and until when.

use std::collections::{BTreeMap, HashMap, HashSet};

use burdockslip_runtime::Instant;
use burdockslip_store::LeaseId;
use burdockslip_types::{Organisation, Revision};

use crate::Shard;
use crate::account::Account;

/// The host's lease in the store, as far as the host may rely on it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lease {
    pub(crate) id: LeaseId,
    /// When the host stops relying on the lease, counted from before it sent the last successful
    /// renewal.
    pub(crate) end: Instant,
}

/// A shard that this host has, or had, authority over.
#[derive(Debug, Default)]
pub(crate) struct OwnedShard {
    /// When the authority began; the buckets of accounts created later accrue tokens from then on.
    pub(crate) owned_since: Instant,
    /// Whether the shard's record in the store is attached to the current lease.
    pub(crate) is_recorded: bool,
    /// The revision of the shard's record in the store.
    pub(crate) revision: Revision,
    /// Until when all hosts of the zone have pledged not to claim the shard.
    pub(crate) pledged_until: Instant,
    /// Whether the shard will be handed over, so that no more rate is lent.
    pub(crate) is_leaving: bool,
    /// Whether the shard was handed over, so that no more tokens are granted.
    pub(crate) is_stopped: bool,
    pub(crate) accounts: HashMap<Organisation, Account>,
}

/// The state that decides which shards this host has authority over or may claim.
#[derive(Debug, Default)]
pub(crate) struct Ownership {
    pub(crate) lease: Option<Lease>,
    pub(crate) owned: BTreeMap<Shard, OwnedShard>,
    /// The end of this host's pledges not to claim a shard.
    pledges: HashMap<Shard, Instant>,
    /// The shards that this host is claiming; it gives no pledges for them.
    pub(crate) claiming: HashSet<Shard>,
    /// The shards for which this host is ranked second and found no record at its last check.
    pub(crate) seen_vacant: HashSet<Shard>,
}

impl Ownership {
    /// Returns until when this host has authority over `shard`, by its lease or by pledges.
    ///
    /// The time may be in the past.
    pub(crate) fn owned_until(&self, shard: Shard) -> Option<Instant> {
        let owned = self.owned.get(&shard)?;
        let leased = self
            .lease
            .filter(|_| owned.is_recorded)
            .map(|lease| lease.end);
        leased.max(Some(owned.pledged_until))
    }

    /// Returns the state of `shard` if this host has authority over it now.
    pub(crate) fn owned_shard(&mut self, shard: Shard, now: Instant) -> Option<&mut OwnedShard> {
        if self.owned_until(shard)? <= now {
            return None;
        }
        self.owned.get_mut(&shard)
    }

    /// Drops the accounts of a shard if this host no longer has authority over it.
    pub(crate) fn remove_expired(&mut self, shard: Shard, now: Instant) {
        if self.owned_shard(shard, now).is_none() {
            self.owned.remove(&shard);
        }
    }

    /// Pledges not to claim `shard` before `end`; returns false if this host owns or is claiming
    /// it.
    pub(crate) fn pledge(&mut self, shard: Shard, end: Instant, now: Instant) -> bool {
        if self.claiming.contains(&shard) || self.owned_shard(shard, now).is_some() {
            return false;
        }
        let pledge = self.pledges.entry(shard).or_default();
        *pledge = (*pledge).max(end);
        true
    }

    /// Returns whether all pledges of this host not to claim `shard` have expired.
    pub(crate) fn may_claim(&self, shard: Shard, now: Instant) -> bool {
        self.pledges.get(&shard).is_none_or(|end| *end <= now)
    }

    /// Drops the lease after the store reported that it has expired.
    pub(crate) fn clear_lease(&mut self) {
        self.lease = None;
        for owned in self.owned.values_mut() {
            owned.is_recorded = false;
        }
    }

    /// Records that the store has applied this host's claim under the current lease.
    pub(crate) fn record_claim(&mut self, shard: Shard, revision: Revision, now: Instant) {
        self.claiming.remove(&shard);
        // The accounts are kept if pledges bridged the loss of the lease, or if the record was
        // never replaced. Otherwise another host may have granted tokens meanwhile.
        let is_continuous = self
            .owned
            .get(&shard)
            .is_some_and(|o| o.revision == revision);
        if self.owned_shard(shard, now).is_none() && !is_continuous {
            let owned = OwnedShard {
                owned_since: now,
                ..OwnedShard::default()
            };
            self.owned.insert(shard, owned);
        }
        if let Some(owned) = self.owned.get_mut(&shard) {
            owned.is_recorded = true;
            owned.revision = revision;
        }
    }
}
