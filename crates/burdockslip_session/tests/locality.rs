//! Tests which way a read may take, for a fleet whose traffic between zones and regions is
//! charged.

use std::collections::BTreeMap;
use std::time::Duration;

use burdockslip_session::{Distance, Locality};
use burdockslip_types::{Region, Zone};

const OBJECTIVE: Duration = Duration::from_millis(500);

fn locality() -> Locality {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions = regions.map(|(zone, region)| (Zone::from(zone), Region::from(region)));
    Locality::new(Zone::from("a"), BTreeMap::from(regions))
}

#[yare::parameterized(
    own_zone = { "a", Distance::Zone },
    same_region = { "b", Distance::Region },
    other_region = { "c", Distance::Remote },
    unknown_zone = { "d", Distance::Region },
)]
fn zones_are_told_apart(zone: &str, expected: Distance) {
    assert_eq!(locality().distance(&Zone::from(zone)), expected);
}

/// Guards against a deployment without regions that treats another zone as its own.
#[test]
fn zones_without_regions_are_different_zones() {
    let locality = Locality::new(Zone::from("a"), BTreeMap::new());
    assert_eq!(locality.distance(&Zone::from("a")), Distance::Zone);
    assert_eq!(locality.distance(&Zone::from("b")), Distance::Region);
}

/// The load: reads whose near member is twice as slow as usual, or five times. The first
/// stay, because callers do not notice it; the second leave.
#[test]
fn reads_leave_a_member_only_for_a_noticeable_gain() {
    let usual_ms = 25.0;
    let far_ms = usual_ms + Distance::Region.cost_ms(OBJECTIVE);
    let remote_ms = usual_ms + Distance::Remote.cost_ms(OBJECTIVE);
    assert!(usual_ms * 2.0 < far_ms);
    assert!(usual_ms * 5.0 > far_ms);
    assert!(far_ms < remote_ms);
    // Even from another region a read is answered well within its objective.
    assert!(remote_ms < OBJECTIVE.as_secs_f64() * 500.0);
}
