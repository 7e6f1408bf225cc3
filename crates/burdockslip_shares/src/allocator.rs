//! Hands out tokens and fractions of rates at the coordinator.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, Organisation};

use crate::bucket::Bucket;
use crate::{Demand, Grant};

/// How long a silent host is taken to use what it was granted. Hosts stop
/// serving callers with keys 4.7 s after their last contact with the store.
pub const GRANT_MEMORY: Duration = Duration::from_secs(6);

/// The part of the rate that is divided evenly, whatever hosts ask for, so that
/// a host that gets its first callers has something to start with.
const EVEN_PART: f64 = 0.25;

/// The part of an even share that a host without grants gets while the grants
/// of other hosts are unknown. Such a host has usually just restarted and lost
/// what it held.
const BLIND_PART: f64 = 0.5;

/// Counts demand below this rate as none, in operations a second.
const LEAST_DEMAND: f64 = 0.05;

/// A host that has not reported for this long is taken to use its fraction.
const SILENT_AFTER: Duration = Duration::from_millis(700);

/// Limits an organisation over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Operations a second.
    pub rate: f64,
    /// Operations at once.
    pub burst: f64,
}

#[derive(Debug)]
struct HostState {
    reported: Instant,
    demands: HashMap<Organisation, f64>,
    /// What the host may be using: the larger of what it reported and was granted.
    bound: HashMap<Organisation, f64>,
}

/// Keeps the grants of all hosts while this host is the coordinator.
#[derive(Debug, Default)]
pub struct Allocator {
    hosts: HashMap<HostId, HostState>,
    buckets: HashMap<Organisation, Bucket>,
    begun: Option<Instant>,
}

impl Allocator {
    /// Answers a host's report; `registered` lists the hosts that may hold grants.
    pub fn grant(
        &mut self,
        host: &HostId,
        demands: Vec<Demand>,
        organisations: &HashMap<Organisation, Limits>,
        registered: &HashSet<HostId>,
    ) -> Vec<Grant> {
        let begun = *self.begun.get_or_insert_with(now);
        self.hosts
            .retain(|_, state| state.reported.elapsed() < GRANT_MEMORY);
        let asked: Vec<_> = demands
            .iter()
            .map(|demand| (demand.organisation.clone(), demand.tokens))
            .collect();
        self.record(host, demands);
        let unknown = registered
            .iter()
            .filter(|name| !self.hosts.contains_key(*name))
            .count();
        let unknown = if begun.elapsed() < GRANT_MEMORY {
            unknown
        } else {
            0
        };
        let count = registered.len().max(self.hosts.len()).max(1);
        let unknown_part = to_float(unknown) / to_float(count);
        let mut grants = Vec::new();
        for (organisation, wanted) in asked {
            let Some(limits) = organisations.get(&organisation) else {
                continue;
            };
            let fraction = self.fraction(host, &organisation, count, unknown > 0);
            let silent = self.silent_part(&organisation) + unknown_part;
            let rate = limits.rate * (1.0 - silent).max(0.0);
            let bucket = self
                .buckets
                .entry(organisation.clone())
                .or_insert_with(|| Bucket::new(limits.rate));
            bucket.fill(rate, limits.burst);
            grants.push(Grant {
                tokens: bucket.take(wanted),
                fraction,
                organisation,
            });
        }
        self.bind(host, &grants);
        grants
    }

    /// Remembers the largest fraction that the host may use.
    fn bind(&mut self, host: &HostId, grants: &[Grant]) {
        let Some(state) = self.hosts.get_mut(host) else {
            return;
        };
        for grant in grants {
            let bound = state.bound.entry(grant.organisation.clone()).or_default();
            *bound = bound.max(grant.fraction);
        }
    }

    /// Returns the part of a rate that hosts may be using by themselves.
    fn silent_part(&self, organisation: &Organisation) -> f64 {
        let is_silent = |state: &&HostState| state.reported.elapsed() > SILENT_AFTER;
        let part = |state: &HostState| state.bound.get(organisation).copied().unwrap_or_default();
        self.hosts.values().filter(is_silent).map(part).sum()
    }

    fn record(&mut self, host: &HostId, demands: Vec<Demand>) {
        let state = HostState {
            reported: now(),
            bound: demands
                .iter()
                .map(|demand| (demand.organisation.clone(), demand.held))
                .collect(),
            demands: demands
                .into_iter()
                .map(|demand| (demand.organisation, demand.wanted))
                .collect(),
        };
        self.hosts.insert(host.clone(), state);
    }

    fn fraction(
        &self,
        host: &HostId,
        organisation: &Organisation,
        count: usize,
        is_blind: bool,
    ) -> f64 {
        let wanted = |state: &HostState| {
            let wanted = state.demands.get(organisation).copied().unwrap_or_default();
            if wanted < LEAST_DEMAND { 0.0 } else { wanted }
        };
        let bound = |state: &HostState| state.bound.get(organisation).copied().unwrap_or_default();
        let own = self.hosts.get(host);
        let held = own.map_or(0.0, bound);
        let total: f64 = self.hosts.values().map(wanted).sum();
        let even = 1.0 / to_float(count);
        let ideal = if total > 0.0 {
            let part = own.map_or(0.0, wanted) / total;
            EVEN_PART * even + (1.0 - EVEN_PART) * part
        } else {
            even
        };
        if is_blind {
            return held
                .min(ideal)
                .max(if held > 0.0 { 0.0 } else { BLIND_PART * even });
        }
        let others = self.hosts.iter().filter(|(name, _)| *name != host);
        let used: f64 = others.map(|(_, state)| bound(state)).sum();
        ideal.min((1.0 - used).max(0.0))
    }
}

fn to_float(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
