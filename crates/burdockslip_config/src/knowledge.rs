//! Bounds how old the configuration of a host may be.

use std::collections::BTreeMap;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::Zone;

use crate::{Freshness, ZoneAge};

/// Remembers up to when all changes are known, by the store and by zone.
#[derive(Default)]
pub(crate) struct Known {
    store: Option<Instant>,
    zones: BTreeMap<Zone, Option<Instant>>,
}

impl Known {
    /// Notes that all changes which the store accepted before `at` are known.
    pub(crate) fn confirm(&mut self, at: Instant) {
        self.store = self.store.max(Some(at));
    }

    /// Notes that all that the relays of `zone` knew at `at` is known.
    pub(crate) fn hear(&mut self, zone: &Zone, at: Option<Instant>) {
        let known = self.zones.entry(zone.clone()).or_default();
        *known = (*known).max(at);
    }

    /// Takes in the knowledge of a host whose revision this host has reached;
    /// the question was sent at `sent`.
    ///
    /// What passed between question and answer, less the time that the answer
    /// was held back, bounds the time on the way.
    pub(crate) fn merge(&mut self, other: &Freshness, sent: Instant) {
        let transit = sent.elapsed().saturating_sub(other.waited);
        let at = |age: Duration| now() - age - transit;
        if let Some(age) = other.store {
            self.confirm(at(age));
        }
        for zone in &other.zones {
            self.hear(&zone.zone, zone.age.map(at));
        }
    }

    /// Returns whether nothing was heard of the relays of `zone` for `limit`.
    pub(crate) fn is_stale(&self, zone: &Zone, limit: Duration) -> bool {
        let heard = self.zones.get(zone).copied().flatten();
        heard.is_none_or(|at| at.elapsed() > limit)
    }

    pub(crate) fn message(&self, waited: Duration) -> Freshness {
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
    pub(crate) fn age(&self) -> Option<Duration> {
        let mut heard: Vec<_> = self.zones.values().copied().collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        let majority = heard.get(heard.len() / 2).copied().flatten();
        self.store.max(majority).map(Instant::elapsed)
    }
}
