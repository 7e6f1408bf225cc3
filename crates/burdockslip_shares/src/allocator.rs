//! Grants fractions of rates to hosts.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, Organisation};
use tracing::info;

use crate::{Demand, Grant};

/// How long a silent host is taken to use what it was granted. Hosts stop
/// serving callers with keys 4.7 s after their last contact with the store.
pub const GRANT_MEMORY: Duration = Duration::from_millis(6_000);

/// The part of the rate that is divided evenly, whatever hosts ask for, so that
/// a host that gets its first callers has something to start with.
const EVEN_PART: f64 = 0.25;

/// The part of an even share that a host without grants gets while the grants
/// of other hosts are unknown. Such a host has usually just restarted and lost
/// what it held.
const BLIND_PART: f64 = 0.5;

/// Counts demand below this rate as none, in operations a second.
const LEAST_DEMAND: f64 = 0.05;

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
    begun: Option<Instant>,
}

impl Allocator {
    /// Forgets everything, because another host is the coordinator.
    pub fn clear(&mut self) {
        self.hosts.clear();
        self.begun = None;
    }

    /// Answers a host's report; `registered` lists the hosts that may hold grants.
    pub fn grant(
        &mut self,
        host: &HostId,
        demands: Vec<Demand>,
        organisations: &[Organisation],
        registered: &HashSet<HostId>,
    ) -> Vec<Grant> {
        let begun = *self.begun.get_or_insert_with(now);
        self.hosts.retain(|_, state| state.reported.elapsed() < GRANT_MEMORY);
        self.record(host, demands);
        let is_known = |host: &HostId| self.hosts.contains_key(host);
        let is_blind = begun.elapsed() < GRANT_MEMORY && !registered.iter().all(is_known);
        let count = registered.len().max(self.hosts.len()).max(1);
        let grants: Vec<_> = organisations
            .iter()
            .map(|organisation| Grant {
                organisation: organisation.clone(),
                fraction: self.fraction(host, organisation, count, is_blind),
            })
            .collect();
        let state = self.hosts.get_mut(host);
        if let Some(state) = state {
            for grant in &grants {
                let bound = state.bound.entry(grant.organisation.clone()).or_default();
                if grant.fraction < *bound * 0.5 {
                    info!(%host, organisation = %grant.organisation, from = *bound,
                        to = grant.fraction, "grant lowered");
                }
                *bound = bound.max(grant.fraction);
            }
        }
        grants
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
            return held.min(ideal).max(if held > 0.0 { 0.0 } else { BLIND_PART * even });
        }
        let others = self.hosts.iter().filter(|(name, _)| *name != host);
        let used: f64 = others.map(|(_, state)| bound(state)).sum();
        ideal.min((1.0 - used).max(0.0))
    }
}

fn to_float(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
