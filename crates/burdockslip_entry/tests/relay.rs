//! Tests how changes of the store spread over a large fleet.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_entry::{Relays, SendBudget};
use burdockslip_failover::Registration;
use burdockslip_runtime::{Instant, now, paused, sleep};
use burdockslip_types::{HostId, Zone};

const HOSTS: usize = 195;
const ZONES: usize = 6;
const AVOID_SPAN: Duration = Duration::from_secs(5);
/// The processor time of the larger hosts, three in each zone, and of the others.
const CAPACITIES: (u32, u32) = (500, 120);

/// The link of a larger host, in megabits and in bytes per second.
const LINK: f64 = 200.0;
const LINK_BYTES: f64 = 25e6;

fn host(number: usize) -> HostId {
    HostId::from(format!("host-{number:03}"))
}

fn zone(number: usize) -> Zone {
    Zone::from(format!("zone-{}", number % ZONES))
}

fn fleet(count: usize) -> Vec<(HostId, Registration)> {
    let registration = |number: usize| Registration {
        address: ([10, 0, 0, 1], 7_560).into(),
        zone: zone(number),
        capacity: if number < 3 * ZONES {
            CAPACITIES.0
        } else {
            CAPACITIES.1
        },
    };
    (0..count)
        .map(|number| (host(number), registration(number)))
        .collect()
}

/// Returns how many hosts follow each host, except for the coordinator `host(0)`.
fn followers(hosts: &[(HostId, Registration)]) -> HashMap<HostId, usize> {
    let coordinator = host(0);
    let mut followers = HashMap::new();
    for (name, registration) in hosts.iter().skip(1) {
        let relays = Relays::new(name.clone(), registration.zone.clone(), AVOID_SPAN);
        let followed = relays.choose(hosts, Some(&coordinator));
        *followers
            .entry(followed.unwrap_or_else(|| coordinator.clone()))
            .or_default() += 1;
    }
    followers
}

/// Guards against a coordinator that sends each change to every host of a large fleet,
/// and against weak relays. One change took the coordinator's link for 0.35 s.
#[test]
fn one_host_of_each_zone_follows_the_coordinator() {
    let hosts = fleet(HOSTS);
    let followers = followers(&hosts);
    assert_eq!(followers[&host(0)], ZONES);
    for (relay, count) in followers.iter().filter(|(name, _)| **name != host(0)) {
        let (_, registration) = hosts
            .iter()
            .find(|(name, _)| name == relay)
            .expect("it is registered");
        assert_eq!(registration.capacity, CAPACITIES.0);
        assert!(*count <= HOSTS / ZONES, "{relay}: {count}");
    }
}

/// Guards against additional hops where the coordinator can serve all hosts.
#[test]
fn small_fleet_follows_the_coordinator() {
    let followers = followers(&fleet(20));
    assert_eq!(followers, HashMap::from([(host(0), 19)]));
}

/// Guards against hosts that keep asking a relay that does not answer, and against a
/// relay that is never asked again.
#[test]
fn failed_relay_is_replaced_for_a_while() {
    paused::run(1, async {
        let hosts = fleet(HOSTS);
        let relays = Relays::new(host(100), zone(100), AVOID_SPAN);
        let first = relays
            .choose(&hosts, Some(&host(0)))
            .expect("there is a relay");
        relays.avoid(first.clone());
        let second = relays
            .choose(&hosts, Some(&host(0)))
            .expect("there are others");
        assert_ne!(first, second);
        sleep(Duration::from_secs(6)).await;
        assert_eq!(relays.choose(&hosts, Some(&host(0))), Some(first));
    });
}

/// Guards against tokens and proofs that are queued behind a change on the link of a
/// relay: ten changes of the configuration in five seconds, each sent to the whole
/// zone.
#[test]
fn small_replies_do_not_wait_for_changes() {
    const CONFIGURATION: usize = 256 << 10;
    let worst = paused::run(2, async {
        let budget = SendBudget::new(LINK);
        let mut link_free = Instant::START;
        let mut worst = Duration::ZERO;
        let transfer = Duration::from_secs_f64(262_144.0 / LINK_BYTES);
        let mut turns: Vec<Instant> = Vec::new();
        for tick in 0..5_000 {
            if tick % 500 == 0 {
                turns.extend((0..HOSTS / ZONES).map(|_| budget.reserve(CONFIGURATION)));
            }
            turns.retain(|turn| {
                if turn.is_past() {
                    link_free = link_free.max(now()) + transfer;
                }
                !turn.is_past()
            });
            worst = worst.max(link_free.remaining());
            sleep(Duration::from_millis(1)).await;
        }
        worst
    });
    assert!(worst <= Duration::from_millis(20), "{worst:?}");
}

/// Guards against changes that never reach the last host of a zone.
#[test]
fn changes_reach_the_whole_zone_in_time() {
    let last = paused::run(3, async {
        let budget = SendBudget::new(LINK);
        let turns = (0..HOSTS / ZONES).map(|_| budget.reserve(45_000));
        turns.max().expect("there are hosts").remaining()
    });
    assert!(last < Duration::from_millis(200), "{last:?}");
}
