//! Tracks how old the configuration of this host may be.

use std::collections::BTreeMap;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::Zone;

use crate::{Freshness, ZoneAge};

/// The instants up to which this host has all changes, by source.
///
/// Sources are the store and the relays of each zone.
#[derive(Default)]
pub(crate) struct FreshnessTracker {
    store: Option<Instant>,
    zones: BTreeMap<Zone, Option<Instant>>,
}

impl FreshnessTracker {
    /// Records that this host has all changes that the store accepted before `at`.
    pub(crate) fn record_store(&mut self, at: Instant) {
        self.store = self.store.max(Some(at));
    }

    /// Records that this host has all changes that the relays of `zone` had at
    /// `at`, or with `None` only that the zone exists.
    pub(crate) fn record_zone(&mut self, zone: &Zone, at: Option<Instant>) {
        let last = self.zones.entry(zone.clone()).or_default();
        *last = (*last).max(at);
    }

    /// Merges the freshness of a host whose revision this host has reached;
    /// the request was sent at `sent`.
    ///
    /// The time between request and reply, less the time for which the reply was
    /// delayed on purpose, is an upper bound on the time in transit.
    pub(crate) fn merge(&mut self, other: &Freshness, sent: Instant) {
        let transit = sent.elapsed().saturating_sub(other.waited);
        let at = |age: Duration| now() - age - transit;
        if let Some(age) = other.store {
            self.record_store(at(age));
        }
        for zone in &other.zones {
            self.record_zone(&zone.zone, zone.age.map(at));
        }
    }

    /// Returns whether the last information from the relays of `zone` is older
    /// than `limit`.
    pub(crate) fn is_stale(&self, zone: &Zone, limit: Duration) -> bool {
        let last = self.zones.get(zone).copied().flatten();
        last.is_none_or(|at| at.elapsed() > limit)
    }

    pub(crate) fn to_message(&self, waited: Duration) -> Freshness {
        let age = |at: &Option<Instant>| at.map(Instant::elapsed);
        let zones = self.zones.iter().map(|(zone, at)| ZoneAge {
            zone: zone.clone(),
            age: age(at),
        });
        Freshness {
            store: age(&self.store),
            zones: zones.collect(),
            waited,
        }
    }

    /// Returns the time since the store confirmed the configuration or, if
    /// that is shorter, since it agreed with a majority of zones.
    ///
    /// Returns `None` if neither ever happened.
    pub(crate) fn age(&self) -> Option<Duration> {
        let mut instants: Vec<_> = self.zones.values().copied().collect();
        instants.sort_unstable_by(|a, b| b.cmp(a));
        let majority = instants.get(instants.len() / 2).copied().flatten();
        self.store.max(majority).map(Instant::elapsed)
    }
}
