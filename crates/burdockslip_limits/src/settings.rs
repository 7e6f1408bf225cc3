//! Holds the times of the mechanism and what it needs to know about the fleet.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_types::{HostId, Organisation, Zone};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Limit, Shard};

/// Holds the times and sizes; all hosts must agree on `shards` and `token_life`.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The number of shards of organisations in each zone.
    pub shards: u32,
    /// The longest life of granted tokens, E in `docs/design.md`, section 4.7.
    pub token_ttl: Duration,
    /// The time to live of the host's lease in the store.
    pub lease_ttl: Duration,
    /// The part of the lease that an owner leaves unused, for clocks that run at different speeds.
    pub lease_margin: Duration,
    /// The time between renewals of leases and pledges.
    pub renew_interval: Duration,
    /// The time after which a call to the store has failed.
    pub store_timeout: Duration,
    /// The time after which a message to a host has failed.
    pub peer_timeout: Duration,
    /// The life of a pledge not to claim a shard.
    pub pledge_ttl: Duration,
    /// The longest life of a loan.
    pub loan_ttl: Duration,
    /// The time between checks whether a loan is needed.
    pub loan_interval: Duration,
    /// The shortest time between two rounds of asking for loans.
    pub loan_cooldown: Duration,
    /// The time of demand that an endpoint fetches in advance; zero asks for each request.
    pub prefetch: Duration,
    /// The most requests of one organisation that wait for tokens on one host.
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
    /// Returns the shard of an organisation.
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

/// Answers questions about the fleet from the configuration and membership.
#[derive(Clone)]
pub struct FleetView {
    /// The identity of this host.
    pub host: HostId,
    /// The zone of this host.
    pub zone: Zone,
    /// All zones, in the same order on every host, because each has a numbered part of the rate.
    pub zones: Vec<Zone>,
    /// Looks up the limit of an organisation in the catalogue.
    pub limit_of: Rc<LimitOf>,
    /// Lists the percentages of an organisation's limit in the order of `zones`; none for equal parts.
    pub zone_shares: Rc<SharesOf>,
    /// Lists all hosts that the platform's list shows in a zone, also suspected ones: each must pledge.
    pub zone_hosts: Rc<HostsOf>,
    /// Lists the live hosts of a zone by their rank for a shard.
    pub ranked_hosts: Rc<RankOf>,
}

impl FleetView {
    /// Returns the part of a limit that belongs to this zone.
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

    /// Lists the zones other than this host's.
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
