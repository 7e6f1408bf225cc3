//! The coordinator's side of rate limiting: grants tokens and fractions of rates.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, Organisation};

use crate::bucket::Bucket;
use crate::message::{to_single, to_tokens};
use crate::{Demand, Grant, SHARE_VALIDITY};

/// How long after its last report a host is assumed to use its grants. Hosts stop using
/// them [`SHARE_VALIDITY`] after the coordinator has answered them; the remainder is for
/// hosts that have not yet found a new coordinator, and for differing clock rates.
pub const GRANT_LIFETIME: Duration = SHARE_VALIDITY.saturating_add(Duration::from_millis(600));

/// The fraction of the rate that is divided evenly, regardless of demand, so
/// that a host can admit its first operations of an organisation.
const EVEN_FRACTION: f64 = 0.25;

/// The fraction of an even share that a host without grants receives while the
/// grants of other hosts are unknown. Such a host has usually just restarted and
/// lost its grants.
const RECOVERY_FRACTION: f64 = 0.5;

/// Lower demand counts as none, in operations per second.
const MIN_DEMAND: f64 = 0.05;

/// The fraction of burst and granted slack that unused tokens may reach before
/// hosts receive tokens for waiting operations only.
const PREFETCH_FRACTION: f64 = 0.6;

/// The fraction of the slack that is granted. A token held by one host is of no
/// use to the others, so without the slack small organisations would be limited
/// below their rate. The remainder covers coordinator changes and host restarts.
const SLACK_FRACTION: f64 = 0.5;

/// The minimum capacity of the bucket as a fraction of the burst, so that tokens
/// are still granted while hosts hold many unused ones.
const MIN_BURST_FRACTION: f64 = 0.2;

/// How long after its last report a host counts as silent. A silent host is
/// assumed to have fallen back to its fraction.
const SILENT_AFTER: Duration = Duration::from_millis(700);

/// An organisation's limits, summed over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Operations per second.
    pub rate: f64,
    /// Operations that may run at once after an idle period.
    pub burst: f64,
}

/// One host's part of an organisation's rate, or the sum over all hosts.
#[derive(Debug, Clone, Copy, Default)]
struct Allotment {
    /// The demand in operations per second.
    rate: f64,
    /// The granted tokens that are not used yet.
    unused: f64,
    /// The fraction of the rate that may be in use: the larger of the reported
    /// and the granted one.
    fraction: f64,
}

#[derive(Debug)]
struct HostState {
    reported_at: Instant,
    allotments: HashMap<Organisation, Allotment>,
}

/// Grants rates to all hosts while this host is the coordinator.
#[derive(Debug)]
pub struct Allocator {
    /// Operations in excess of rate and burst that are tolerated per window.
    slack: f64,
    hosts: HashMap<HostId, HostState>,
    /// Sums over all hosts, updated incrementally because reports are frequent.
    totals: HashMap<Organisation, Allotment>,
    buckets: HashMap<Organisation, Bucket>,
    /// The time of the first report.
    started: Option<Instant>,
}

impl Allocator {
    /// Creates an allocator without grants; `slack` is the number of operations
    /// in excess of rate and burst that are tolerated per window.
    pub fn new(slack: u32) -> Self {
        Self {
            slack: f64::from(slack),
            hosts: HashMap::new(),
            totals: HashMap::new(),
            buckets: HashMap::new(),
            started: None,
        }
    }

    /// Processes a host's report and returns its grants; `registered` lists the
    /// hosts that may hold grants.
    ///
    /// While the coordinator `is_interim`, a second one may exist, so it grants
    /// only the sum of the fractions of the hosts that report to it.
    pub fn grant(
        &mut self,
        host: &HostId,
        demands: &[Demand],
        organisations: &HashMap<Organisation, Limits>,
        registered: &HashSet<HostId>,
        is_interim: bool,
    ) -> Vec<Grant> {
        let started = *self.started.get_or_insert_with(now);
        self.evict_silent();
        self.record(host, demands);
        let unreported = registered
            .iter()
            .filter(|name| !self.hosts.contains_key(*name))
            .count();
        let unreported = if started.elapsed() < GRANT_LIFETIME {
            unreported
        } else {
            0
        };
        let count = registered.len().max(self.hosts.len()).max(1);
        let unreported_fraction = to_float(unreported) / to_float(count);
        let mut grants = Vec::new();
        for demand in demands {
            let organisation = &demand.organisation;
            let Some(limits) = organisations.get(organisation) else {
                continue;
            };
            if demand.is_empty() {
                continue;
            }
            let fraction = self.fraction(host, organisation, count, unreported > 0);
            let available = if is_interim {
                self.reserved_fraction(organisation, false)
            } else {
                1.0 - self.reserved_fraction(organisation, true) - unreported_fraction
            };
            let rate = limits.rate * available.clamp(0.0, 1.0);
            let tokens = self.take(demand, limits, rate, started);
            let mut allotment = self.allotment(host, organisation);
            allotment.fraction = allotment.fraction.max(fraction);
            allotment.unused += f64::from(tokens);
            self.set_allotment(host, organisation, allotment);
            grants.push(Grant {
                organisation: organisation.clone(),
                tokens,
                fraction: to_single(fraction),
            });
        }
        grants
    }

    /// Takes tokens for waiting operations, and for expected ones unless hosts
    /// hold too many unused tokens already. Unused tokens count against the burst.
    fn take(&mut self, demand: &Demand, limits: &Limits, rate: f64, started: Instant) -> u32 {
        let total = self.totals.get(&demand.organisation);
        let unused = total.copied().unwrap_or_default().unused;
        let budget = limits.burst + self.slack * SLACK_FRACTION;
        let burst = (budget - unused).max(limits.burst * MIN_BURST_FRACTION);
        let bucket = self
            .buckets
            .entry(demand.organisation.clone())
            .or_insert_with(|| Bucket::new(limits.rate, started));
        bucket.refill(rate, burst);
        let is_scarce = unused >= budget * PREFETCH_FRACTION;
        let wanted = if is_scarce {
            demand.waiting
        } else {
            demand.waiting.saturating_add(demand.prefetch)
        };
        to_tokens(bucket.take(f64::from(wanted)))
    }

    /// Removes hosts whose grants have expired.
    fn evict_silent(&mut self) {
        let is_expired = |state: &HostState| state.reported_at.elapsed() >= GRANT_LIFETIME;
        let expired: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|(_, state)| is_expired(state))
            .map(|(host, _)| host.clone())
            .collect();
        for host in expired {
            for (organisation, allotment) in self
                .hosts
                .remove(&host)
                .into_iter()
                .flat_map(|state| state.allotments)
            {
                self.adjust_total(&organisation, allotment, Allotment::default());
            }
        }
    }

    fn record(&mut self, host: &HostId, demands: &[Demand]) {
        let state = self.hosts.entry(host.clone()).or_insert_with(|| HostState {
            reported_at: now(),
            allotments: HashMap::new(),
        });
        state.reported_at = now();
        for demand in demands {
            let rate = f64::from(demand.rate);
            let allotment = Allotment {
                rate: if rate >= MIN_DEMAND { rate } else { 0.0 },
                unused: f64::from(demand.unused),
                fraction: f64::from(demand.fraction),
            };
            self.set_allotment(host, &demand.organisation, allotment);
        }
    }

    fn allotment(&self, host: &HostId, organisation: &Organisation) -> Allotment {
        let state = self.hosts.get(host);
        let allotment = state.and_then(|state| state.allotments.get(organisation));
        allotment.copied().unwrap_or_default()
    }

    fn set_allotment(&mut self, host: &HostId, organisation: &Organisation, allotment: Allotment) {
        if let Some(state) = self.hosts.get_mut(host) {
            let previous = state.allotments.insert(organisation.clone(), allotment);
            self.adjust_total(organisation, previous.unwrap_or_default(), allotment);
        }
    }

    fn adjust_total(&mut self, organisation: &Organisation, old: Allotment, new: Allotment) {
        let total = self.totals.entry(organisation.clone()).or_default();
        total.rate = (total.rate + new.rate - old.rate).max(0.0);
        total.unused = (total.unused + new.unused - old.unused).max(0.0);
        total.fraction = (total.fraction + new.fraction - old.fraction).max(0.0);
    }

    /// Returns the sum of the fractions of the silent hosts, or of the hosts
    /// that report.
    fn reserved_fraction(&self, organisation: &Organisation, is_silent: bool) -> f64 {
        let is_selected =
            |state: &&HostState| (state.reported_at.elapsed() > SILENT_AFTER) == is_silent;
        let hosts = self.hosts.values().filter(is_selected);
        hosts
            .filter_map(|state| state.allotments.get(organisation))
            .map(|allotment| allotment.fraction)
            .sum()
    }

    /// Returns the fraction of the rate to grant to `host`, one of `count` hosts.
    ///
    /// The fraction is at most what the other hosts leave free. While
    /// `is_recovering`, not all hosts have reported to this coordinator yet, so
    /// fractions do not grow and hosts without one receive a small one.
    fn fraction(
        &self,
        host: &HostId,
        organisation: &Organisation,
        count: usize,
        is_recovering: bool,
    ) -> f64 {
        let own = self.allotment(host, organisation);
        let total = self.totals.get(organisation).copied().unwrap_or_default();
        let even = 1.0 / to_float(count);
        let ideal = if total.rate > 0.0 {
            EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * own.rate / total.rate
        } else {
            even
        };
        if is_recovering {
            let is_new = own.fraction <= 0.0;
            return if is_new {
                RECOVERY_FRACTION * even
            } else {
                own.fraction.min(ideal)
            };
        }
        let others = (total.fraction - own.fraction).max(0.0);
        ideal.min((1.0 - others).max(0.0))
    }
}

fn to_float(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
