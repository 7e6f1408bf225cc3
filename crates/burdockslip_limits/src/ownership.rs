//! Records which shards this host has authority over, and until when.

use std::collections::{BTreeMap, HashMap, HashSet};

use burdockslip_runtime::Instant;
use burdockslip_store::LeaseId;
use burdockslip_types::{Organisation, Revision};

use crate::Shard;
use crate::account::Account;

/// Holds the host's lease as the host may rely on it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lease {
    pub(crate) id: LeaseId,
    /// The end counted from before the last successful renewal was sent.
    pub(crate) end: Instant,
}

/// Holds the accounts of a shard that this host has authority over.
#[derive(Debug, Default)]
pub(crate) struct Owned {
    /// When the authority began; accounts that are opened later have accrued tokens since.
    pub(crate) since: Instant,
    /// Whether the store's record is attached to the current lease.
    pub(crate) is_recorded: bool,
    /// The revision of the store's record.
    pub(crate) revision: Revision,
    /// Until when every host of the zone has pledged not to claim the shard.
    pub(crate) pledged: Instant,
    /// Whether the shard is to be handed over, so that it lends nothing more.
    pub(crate) is_leaving: bool,
    /// Whether the shard was handed over, so that it grants nothing more.
    pub(crate) is_stopped: bool,
    pub(crate) accounts: HashMap<Organisation, Account>,
}

/// Holds everything that decides about authority on this host.
#[derive(Debug, Default)]
pub(crate) struct Ownership {
    pub(crate) lease: Option<Lease>,
    pub(crate) owned: BTreeMap<Shard, Owned>,
    /// Until when this host has pledged not to claim a shard.
    pledges: HashMap<Shard, Instant>,
    /// The shards that this host is claiming, for which it gives no pledges.
    pub(crate) claims: HashSet<Shard>,
    /// The shards that had no record when this host, ranked second, last looked.
    pub(crate) vacant: HashSet<Shard>,
}

impl Ownership {
    /// Returns until when this host has authority over `shard`.
    pub(crate) fn end(&self, shard: Shard) -> Option<Instant> {
        let owned = self.owned.get(&shard)?;
        let leased = self
            .lease
            .filter(|_| owned.is_recorded)
            .map(|lease| lease.end);
        leased.max(Some(owned.pledged))
    }

    /// Returns the shard if this host has authority over it now.
    pub(crate) fn valid(&mut self, shard: Shard, now: Instant) -> Option<&mut Owned> {
        if self.end(shard)? <= now {
            return None;
        }
        self.owned.get_mut(&shard)
    }

    /// Drops the accounts of a shard whose record is gone or another host's.
    pub(crate) fn forget_lapsed(&mut self, shard: Shard, now: Instant) {
        if self.valid(shard, now).is_none() {
            self.owned.remove(&shard);
        }
    }

    /// Pledges not to claim `shard` before `end`, unless it is owned or being claimed.
    pub(crate) fn pledge(&mut self, shard: Shard, end: Instant, now: Instant) -> bool {
        if self.claims.contains(&shard) || self.valid(shard, now).is_some() {
            return false;
        }
        let pledge = self.pledges.entry(shard).or_default();
        *pledge = (*pledge).max(end);
        true
    }

    /// Returns whether no pledge of this host forbids claiming `shard`.
    pub(crate) fn may_claim(&self, shard: Shard, now: Instant) -> bool {
        self.pledges.get(&shard).is_none_or(|end| *end <= now)
    }

    /// Forgets the lease after the store reported that it is gone.
    pub(crate) fn lose_lease(&mut self) {
        self.lease = None;
        for owned in self.owned.values_mut() {
            owned.is_recorded = false;
        }
    }

    /// Records that the store holds this host's claim under the current lease.
    pub(crate) fn take(&mut self, shard: Shard, revision: Revision, now: Instant) {
        self.claims.remove(&shard);
        // An authority that continued by pledges keeps its bucket, and so does one whose record
        // was never replaced. Otherwise another host may have granted tokens meanwhile.
        let is_unbroken = self
            .owned
            .get(&shard)
            .is_some_and(|o| o.revision == revision);
        if self.valid(shard, now).is_none() && !is_unbroken {
            let owned = Owned {
                since: now,
                ..Owned::default()
            };
            self.owned.insert(shard, owned);
        }
        if let Some(owned) = self.owned.get_mut(&shard) {
            owned.is_recorded = true;
            owned.revision = revision;
        }
    }
}
