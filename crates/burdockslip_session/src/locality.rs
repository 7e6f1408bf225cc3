//! How far away members are, and what a longer way may cost.

use std::collections::BTreeMap;
use std::time::Duration;

use burdockslip_types::{Region, Zone};

/// The part of a route's latency objective for which a read stays in its availability zone
/// rather than going to a member that answers sooner. Callers do not notice a difference
/// below it, and traffic between zones is charged.
const ZONE_FRACTION: f64 = 0.15;

/// The part for which a read stays in its region: the links between regions are narrow.
const REGION_FRACTION: f64 = 0.3;

/// How far a member is from this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the availability zone of this host.
    Zone,
    /// In another availability zone of the same region.
    Region,
    /// In another region.
    Remote,
}

/// The place of a host among the availability zones and regions.
///
/// See `docs/design/near-first.md`.
#[derive(Debug, Clone, Default)]
pub struct Locality {
    zone: Option<Zone>,
    regions: BTreeMap<Zone, Region>,
}

impl Locality {
    /// Creates the place of a host in `zone`; `regions` names the region of each zone.
    pub const fn new(zone: Zone, regions: BTreeMap<Zone, Region>) -> Self {
        Self {
            zone: Some(zone),
            regions,
        }
    }

    /// Returns how far the members of a zone are. A zone without a region counts as one of
    /// the region of this host.
    pub fn distance(&self, zone: &Zone) -> Distance {
        if self.zone.as_ref() == Some(zone) {
            return Distance::Zone;
        }
        let own = self.zone.as_ref().and_then(|own| self.regions.get(own));
        match (own, self.regions.get(zone)) {
            (Some(own), Some(other)) if own != other => Distance::Remote,
            _ => Distance::Region,
        }
    }
}

impl Distance {
    /// Returns the cost of the way to a member for a read with this latency objective, in
    /// milliseconds of expected latency.
    ///
    /// It is a part of the objective: a near member serves the read as long as its caller
    /// does not notice that a farther one would have been faster.
    pub fn cost_ms(self, objective: Duration) -> f64 {
        let fraction = match self {
            Self::Zone => 0.0,
            Self::Region => ZONE_FRACTION,
            Self::Remote => REGION_FRACTION,
        };
        objective.mul_f64(fraction).as_secs_f64() * 1_000.0
    }
}
