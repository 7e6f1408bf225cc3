//! Tests the host list under faults of hosts and networks.

mod common;

use std::time::Duration;

use burdockslip_membership::{ListedHost, Membership};
use burdockslip_runtime::{now, paused, sleep};
use burdockslip_types::{HostId, Zone};
use common::{Net, peer};

const HOSTS: usize = 14;
const ZONES: usize = 3;
const SEEDS: std::ops::Range<u64> = 0..20;

/// The bandwidth budget of a host for control messages in the largest fleet, in
/// bytes per second.
const BUDGET: u64 = 21_000;

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

async fn start() -> Net {
    let net = Net::start(HOSTS, ZONES);
    assert!(net.converge(HOSTS, secs(10)).await, "hosts find each other");
    net
}

/// Guards against hosts that compute different ranks after the fleet has converged.
#[test]
fn views_and_ranks_agree() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let net = start().await;
            let zone = Zone::from("zone-1");
            let ranks: Vec<_> = net
                .hosts()
                .iter()
                .map(|host| host.view().rank("database", &zone))
                .collect();
            assert_eq!(ranks[0].len(), 5);
            assert!(ranks.iter().all(|rank| *rank == ranks[0]));
            let first = net.host(3).view().top_ranked("database", &zone);
            assert_eq!(first.as_ref(), ranks[0].first());
            let unknown = Zone::from("zone-9");
            assert_eq!(net.host(3).view().rank("database", &unknown).len(), HOSTS);
        });
    }
}

/// Guards against a dead host that stays in the rankings, and against a host
/// that is removed after less than 6 s of silence.
#[test]
fn silent_host_is_removed() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let net = start().await;
            net.kill(5);
            sleep(Duration::from_millis(5500)).await;
            assert!(net.all_see(HOSTS), "seed {seed}: removed too early");
            assert!(net.converge(HOSTS - 1, secs(6)).await, "seed {seed}");
        });
    }
}

/// Guards against a host that still gets new work while it is shutting down.
#[test]
fn leaving_host_leaves_the_ranking_immediately() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let net = start().await;
            net.host(4).leave().await;
            assert!(net.all_see(HOSTS - 1), "seed {seed}");
            let leaving = peer(4, ZONES).host;
            let view = net.host(0).view();
            assert!(!view.rank_all("key").contains(&leaving));
            assert!(
                view.address(&leaving).is_some(),
                "work in flight ends there"
            );
            sleep(secs(10)).await;
            assert!(net.all_see(HOSTS - 1), "seed {seed}: it returned");
        });
    }
}

/// Guards against a fleet that stays split after a network partition, and
/// against hosts that count fewer zones during the partition.
#[test]
fn partitioned_zone_rejoins() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let net = start().await;
            let zone = || (0..HOSTS).filter(|number| number % ZONES == 1);
            net.partition(zone());
            sleep(secs(15)).await;
            let inside = net.host(1).view();
            assert_eq!(inside.live().count(), zone().count(), "seed {seed}");
            assert_eq!(inside.known_zones().len(), ZONES);
            net.partition(std::iter::empty());
            assert!(net.converge(HOSTS, secs(30)).await, "seed {seed}");
        });
    }
}

/// Guards against a restarted host that stays excluded because of records about
/// its previous process.
#[test]
fn restarted_host_rejoins() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let net = start().await;
            net.host(5).leave().await;
            net.kill(5);
            sleep(secs(12)).await;
            net.spawn(5, ZONES);
            assert!(net.converge(HOSTS, secs(10)).await, "seed {seed}");
        });
    }
}

/// Guards against listed hosts that are ranked without having answered, and
/// against new work for hosts that the platform is about to stop.
#[test]
fn listed_hosts_are_candidates_only() {
    paused::run(1, async {
        let net = start().await;
        let listed = |number, is_leaving| ListedHost {
            peer: peer(number, ZONES),
            is_leaving,
        };
        for host in net.hosts() {
            host.set_listed_hosts(vec![listed(HOSTS, false), listed(2, true)]);
        }
        assert!(net.all_see(HOSTS - 1));
        assert!(!net.host(0).view().is_live(&HostId::from("host-002")));
        sleep(secs(5)).await;
        assert!(net.all_see(HOSTS - 1));
    });
}

/// Guards against a malformed entry of the platform's list that becomes a host.
#[test]
fn malformed_listed_hosts_are_rejected() {
    let value = br#"{"zone": "zone-1", "address": "10.0.0.1:7000", "status": "leaving"}"#;
    let listed = ListedHost::parse("platform/hosts/h1", value).expect("is valid");
    assert_eq!(listed.peer.host, HostId::from("h1"));
    assert!(listed.is_leaving);
    assert!(ListedHost::parse("platform/hosts/", value).is_err());
    assert!(ListedHost::parse("burdockslip/catalogue", value).is_err());
    assert!(ListedHost::parse("platform/hosts/h1", b"{}").is_err());
}

/// Guards against gossip that exceeds its bandwidth budget. Measures the busiest
/// host just after the whole fleet has started, and while a zone fails.
#[test]
fn traffic_stays_in_the_budget() {
    paused::run(1, async {
        let (count, zones) = (670, 5);
        let net = Net::start(count, zones);
        assert!(net.converge(count, secs(30)).await);
        let settling = rate(&net, secs(5)).await;
        for number in (0..count).filter(|number| number % zones == 1) {
            net.kill(number);
        }
        let failing = rate(&net, secs(10)).await;
        assert!(settling < BUDGET, "{settling}");
        assert!(failing < BUDGET, "{failing}");
        let left = count - count / zones;
        assert!(net.converge(left, secs(10)).await);
    });
}

async fn rate(net: &Net, span: Duration) -> u64 {
    let sum = |host: &Membership| host.traffic().bytes_sent + host.traffic().bytes_received;
    let start = now();
    let hosts = net.hosts();
    let before: Vec<u64> = hosts.iter().map(sum).collect();
    sleep(span).await;
    let after = hosts.iter().map(sum).zip(before);
    let most = after.map(|(after, before)| after - before).max();
    most.unwrap_or(0) / start.elapsed().as_secs()
}
