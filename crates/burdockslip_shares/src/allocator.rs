//! Hands out tokens and fractions of rates at the coordinator.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, Organisation};

use crate::bucket::Bucket;
use crate::message::{to_single, to_tokens};
use crate::{Demand, Grant};

/// How long a silent host is taken to use what it was granted. Hosts stop
/// serving callers with keys 4.7 s after their last contact with the store.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(6);

/// The part of the rate that is divided evenly, whatever hosts ask for, so that
/// a host that gets its first callers has something to start with.
const EVEN_PART: f64 = 0.25;

/// The part of an even share that a host without grants gets while the grants
/// of other hosts are unknown. Such a host has usually just restarted and lost
/// what it held.
const BLIND_PART: f64 = 0.5;

/// Counts demand below this rate as none, in operations a second.
const LEAST_DEMAND: f64 = 0.05;

/// The part of burst and slack that hosts may hold for operations to come.
const HELD_PART: f64 = 0.6;

/// The part of the slack that is handed out. Tokens that a host holds are of no
/// use elsewhere, so that small organisations would be refused below their
/// rate; the rest is for changes of the coordinator and for restarts.
const SLACK_PART: f64 = 0.5;

/// The part of the burst that the bucket holds in any case, so that tokens go
/// on being handed out while hosts keep many.
const LEAST_BURST: f64 = 0.2;

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

/// Holds what a host has of one organisation, or what all hosts have together.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    /// The operations a second that are asked for.
    wanted: f64,
    /// The tokens that are not used yet.
    kept: f64,
    /// The fraction that may be in use: the larger of what was reported and granted.
    bound: f64,
}

#[derive(Debug)]
struct HostState {
    reported: Instant,
    shares: HashMap<Organisation, Share>,
}

/// Keeps the grants of all hosts while this host is the coordinator.
#[derive(Debug)]
pub struct Allocator {
    /// The operations beyond rate and burst that the operators tolerate.
    slack: f64,
    hosts: HashMap<HostId, HostState>,
    /// Sums over all hosts, kept up to date because a fleet reports often.
    totals: HashMap<Organisation, Share>,
    buckets: HashMap<Organisation, Bucket>,
    begun: Option<Instant>,
}

impl Allocator {
    /// Builds an allocator that knows no grants; `slack` is how many operations
    /// beyond rate and burst the operators tolerate in a window.
    pub fn new(slack: u32) -> Self {
        Self {
            slack: f64::from(slack),
            hosts: HashMap::new(),
            totals: HashMap::new(),
            buckets: HashMap::new(),
            begun: None,
        }
    }

    /// Answers a host's report; `registered` lists the hosts that may hold grants.
    ///
    /// While the coordinator `is_interim`, there may be another one, and only
    /// what the hosts that report here may use by themselves is handed out.
    pub fn grant(
        &mut self,
        host: &HostId,
        demands: &[Demand],
        organisations: &HashMap<Organisation, Limits>,
        registered: &HashSet<HostId>,
        is_interim: bool,
    ) -> Vec<Grant> {
        let begun = *self.begun.get_or_insert_with(now);
        self.forget_silent();
        self.record(host, demands);
        let unknown = registered
            .iter()
            .filter(|name| !self.hosts.contains_key(*name))
            .count();
        let unknown = if begun.elapsed() < GRANT_LIFETIME {
            unknown
        } else {
            0
        };
        let count = registered.len().max(self.hosts.len()).max(1);
        let unknown_part = to_float(unknown) / to_float(count);
        let mut grants = Vec::new();
        for demand in demands {
            let organisation = &demand.organisation;
            let Some(limits) = organisations.get(organisation) else {
                continue;
            };
            if demand.is_empty() {
                continue;
            }
            let fraction = self.fraction(host, organisation, count, unknown > 0);
            let part = if is_interim {
                self.part(organisation, false)
            } else {
                1.0 - self.part(organisation, true) - unknown_part
            };
            let rate = limits.rate * part.clamp(0.0, 1.0);
            let tokens = self.take(demand, limits, rate);
            let mut share = self.share(host, organisation);
            share.bound = share.bound.max(fraction);
            share.kept += f64::from(tokens);
            self.set_share(host, organisation, share);
            grants.push(Grant {
                organisation: organisation.clone(),
                tokens,
                fraction: to_single(fraction),
            });
        }
        grants
    }

    /// Takes tokens for operations that wait, and for those to come as long as
    /// hosts do not hold too many. What hosts hold counts against the burst.
    fn take(&mut self, demand: &Demand, limits: &Limits, rate: f64) -> u32 {
        let total = self.totals.get(&demand.organisation);
        let kept = total.copied().unwrap_or_default().kept;
        let budget = limits.burst + self.slack * SLACK_PART;
        let burst = (budget - kept).max(limits.burst * LEAST_BURST);
        let bucket = self
            .buckets
            .entry(demand.organisation.clone())
            .or_insert_with(|| Bucket::new(limits.rate));
        bucket.fill(rate, burst);
        let is_scarce = kept >= budget * HELD_PART;
        let wanted = if is_scarce {
            demand.waiting
        } else {
            demand.waiting.saturating_add(demand.prefetch)
        };
        to_tokens(bucket.take(f64::from(wanted)))
    }

    /// Drops hosts that can no longer use what they were granted.
    fn forget_silent(&mut self) {
        let is_gone = |state: &HostState| state.reported.elapsed() >= GRANT_LIFETIME;
        let gone: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|(_, state)| is_gone(state))
            .map(|(host, _)| host.clone())
            .collect();
        for host in gone {
            for (organisation, share) in self
                .hosts
                .remove(&host)
                .into_iter()
                .flat_map(|state| state.shares)
            {
                self.adjust(&organisation, share, Share::default());
            }
        }
    }

    fn record(&mut self, host: &HostId, demands: &[Demand]) {
        let state = self.hosts.entry(host.clone()).or_insert_with(|| HostState {
            reported: now(),
            shares: HashMap::new(),
        });
        state.reported = now();
        for demand in demands {
            let wanted = f64::from(demand.rate);
            let share = Share {
                wanted: if wanted >= LEAST_DEMAND { wanted } else { 0.0 },
                kept: f64::from(demand.unused),
                bound: f64::from(demand.fraction),
            };
            self.set_share(host, &demand.organisation, share);
        }
    }

    fn share(&self, host: &HostId, organisation: &Organisation) -> Share {
        let state = self.hosts.get(host);
        let share = state.and_then(|state| state.shares.get(organisation));
        share.copied().unwrap_or_default()
    }

    fn set_share(&mut self, host: &HostId, organisation: &Organisation, share: Share) {
        if let Some(state) = self.hosts.get_mut(host) {
            let known = state.shares.insert(organisation.clone(), share);
            self.adjust(organisation, known.unwrap_or_default(), share);
        }
    }

    fn adjust(&mut self, organisation: &Organisation, old: Share, new: Share) {
        let total = self.totals.entry(organisation.clone()).or_default();
        total.wanted = (total.wanted + new.wanted - old.wanted).max(0.0);
        total.kept = (total.kept + new.kept - old.kept).max(0.0);
        total.bound = (total.bound + new.bound - old.bound).max(0.0);
    }

    /// Returns the part of a rate that the hosts which are silent, or those
    /// which report, may use by themselves.
    fn part(&self, organisation: &Organisation, is_silent: bool) -> f64 {
        let is_meant = |state: &&HostState| (state.reported.elapsed() > SILENT_AFTER) == is_silent;
        let hosts = self.hosts.values().filter(is_meant);
        hosts
            .filter_map(|state| state.shares.get(organisation))
            .map(|share| share.bound)
            .sum()
    }

    fn fraction(
        &self,
        host: &HostId,
        organisation: &Organisation,
        count: usize,
        is_blind: bool,
    ) -> f64 {
        let own = self.share(host, organisation);
        let total = self.totals.get(organisation).copied().unwrap_or_default();
        let even = 1.0 / to_float(count);
        let ideal = if total.wanted > 0.0 {
            EVEN_PART * even + (1.0 - EVEN_PART) * own.wanted / total.wanted
        } else {
            even
        };
        if is_blind {
            let is_new = own.bound <= 0.0;
            return if is_new {
                BLIND_PART * even
            } else {
                own.bound.min(ideal)
            };
        }
        let others = (total.bound - own.bound).max(0.0);
        ideal.min((1.0 - others).max(0.0))
    }
}

fn to_float(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
