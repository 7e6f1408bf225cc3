//! Tuning of the rate limiter, and its view of the configuration and membership of the fleet.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_types::{HostId, Organisation, Zone};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Limit, Shard};

/// Durations and sizes; `shards` and `token_ttl` must be the same on all hosts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The number of shards of organisations in each zone.
    pub shards: u32,
    /// The maximum time to live of granted tokens, E in `docs/design.md`, section 4.7.
    pub token_ttl: Duration,
    /// The time to live of the host's lease in the store.
    pub lease_ttl: Duration,
    /// The time before the end of its lease at which a host stops relying on it, because the
    /// clocks of the host and the store may run at different speeds.
    pub lease_margin: Duration,
    /// The interval at which a host checks whether its lease or its pledges need renewal.
    pub renew_interval: Duration,
    /// The timeout of a call to the store.
    pub store_timeout: Duration,
    /// The timeout of a request to another host.
    pub peer_timeout: Duration,
    /// How long a pledge not to claim a shard is valid.
    pub pledge_ttl: Duration,
    /// The maximum duration of a loan.
    pub loan_ttl: Duration,
    /// The interval at which an authority checks which organisations need a loan.
    pub loan_interval: Duration,
    /// The minimum time between two rounds of loan requests for one organisation.
    pub loan_cooldown: Duration,
    /// How much demand a limiter covers with tokens fetched in advance; zero fetches for each
    /// request.
    pub prefetch: Duration,
    /// The maximum number of requests of one organisation that wait for tokens on one host.
    pub max_waiting: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            shards: 16,
            token_ttl: Duration::from_secs(1),
            lease_ttl: Duration::from_secs(2),
            lease_margin: Duration::from_millis(100),
            renew_interval: Duration::from_millis(500),
            store_timeout: Duration::from_millis(400),
            peer_timeout: Duration::from_millis(50),
            pledge_ttl: Duration::from_secs(2),
            loan_ttl: Duration::from_secs(2),
            loan_interval: Duration::from_millis(50),
            loan_cooldown: Duration::from_millis(250),
            prefetch: Duration::from_millis(200),
            max_waiting: 10_000,
        }
    }
}

impl Settings {
    /// Returns the shard of an organisation, the same on every host.
    pub fn shard(&self, organisation: &Organisation) -> Shard {
        let hash = xxh3_64(organisation.as_str().as_bytes());
        let shard = hash % u64::from(self.shards.max(1));
        Shard(u32::try_from(shard).unwrap_or(0))
    }
}

type LimitOf = dyn Fn(&Organisation) -> Option<Limit>;
type SharesOf = dyn Fn(&Organisation) -> Vec<u32>;
type HostsOf = dyn Fn(&Zone) -> Vec<HostId>;
type RankOf = dyn Fn(&Zone, Shard) -> Vec<HostId>;

/// A host's view of the fleet, from the catalogue and the membership.
#[derive(Clone)]
pub struct FleetView {
    /// The identity of this host.
    pub host: HostId,
    /// The zone of this host.
    pub zone: Zone,
    /// All zones, in the same order on every host: a zone's position selects its part of a limit.
    pub zones: Vec<Zone>,
    /// Returns the limit of an organisation; `None` if the catalogue has none.
    pub limit_of: Rc<LimitOf>,
    /// Returns each zone's percentage of an organisation's limit, in the order of `zones`; empty
    /// for equal parts.
    pub zone_shares: Rc<SharesOf>,
    /// Returns all hosts of a zone in the platform's host list, also those suspected to be down:
    /// a pledge is needed from each of them.
    pub zone_hosts: Rc<HostsOf>,
    /// Returns the live hosts of a zone, ordered by their rank for a shard.
    pub ranked_hosts: Rc<RankOf>,
}

impl FleetView {
    /// Returns this zone's part of an organisation's limit.
    ///
    /// `None` if the organisation has no limit or this zone is not among `zones`.
    pub fn zone_part(&self, organisation: &Organisation) -> Option<Limit> {
        let index = self.zones.iter().position(|zone| *zone == self.zone)?;
        let limit = (self.limit_of)(organisation)?;
        let shares = (self.zone_shares)(organisation);
        if shares.len() != self.zones.len() {
            return Some(limit.equal_part(index, self.zones.len()));
        }
        let before: u32 = shares[..index].iter().sum();
        Some(limit.percent_range(before, before + shares[index]))
    }

    /// Returns the zones other than this host's.
    pub fn other_zones(&self) -> impl Iterator<Item = &Zone> {
        self.zones.iter().filter(|zone| **zone != self.zone)
    }
}

impl fmt::Debug for FleetView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetView")
            .field("host", &self.host)
            .field("zone", &self.zone)
            .finish_non_exhaustive()
    }
}
