//! Tests the distribution of the configuration under faults.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_config::Config;
use burdockslip_config::propagation::{Fault, Fleet, measure_propagation};
use burdockslip_membership::{Membership, Peer};
use burdockslip_runtime::{paused, sleep};
use burdockslip_store::{Faults, MemoryStore, Reply, Request, Store};
use burdockslip_types::{ErrorKind, HostId, PeerClient, Revision, Zone};
use error_stack::bail;
use futures::FutureExt;
use yare::parameterized;

const HOSTS: usize = 14;
const ZONES: usize = 3;
const SEEDS: std::ops::Range<u64> = 0..20;

/// The time on the paused clock within which a change must reach all hosts.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(10);

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

async fn start() -> Fleet {
    let fleet = Fleet::start(HOSTS, ZONES);
    let loaded = fleet.wait(Revision(1), PROPAGATION_LIMIT).await;
    assert!(loaded.is_some(), "the first configuration arrives");
    fleet
}

fn down() -> Faults {
    Faults {
        is_down: true,
        ..Faults::default()
    }
}

/// Guards against a fault that delays a change by more than 10 s on some host.
#[parameterized(
    none = { Fault::None },
    store_down = { Fault::StoreDown },
    relay_killed = { Fault::RelayKilled },
    zone_cut = { Fault::ZoneCut },
)]
fn change_reaches_every_host(fault: Fault) {
    for seed in SEEDS {
        let report = measure_propagation(seed, HOSTS, ZONES, fault);
        assert!(
            report
                .elapsed
                .is_some_and(|elapsed| elapsed <= PROPAGATION_LIMIT),
            "seed {seed}: {report:?}"
        );
    }
}

/// Guards against a design that works for the present fleet only: tests the
/// fleet size expected in two years, within the bandwidth budget of a host for
/// control messages.
#[parameterized(
    none = { Fault::None },
    store_down = { Fault::StoreDown },
    relay_killed = { Fault::RelayKilled },
    zone_cut = { Fault::ZoneCut },
)]
fn change_reaches_670_hosts(fault: Fault) {
    let report = measure_propagation(1, 670, 5, fault);
    assert!(
        report
            .elapsed
            .is_some_and(|elapsed| elapsed <= PROPAGATION_LIMIT),
        "{report:?}"
    );
    assert!(report.quiet_bytes < 21_000, "{report:?}");
}

/// Guards against a revoked key that stays valid in a zone although one pair of
/// hosts that are not relays still connects it with the rest of the fleet.
#[test]
fn change_takes_the_only_path() {
    for seed in SEEDS {
        let report = measure_propagation(seed, HOSTS, ZONES, Fault::OnePath);
        assert!(report.elapsed.is_some(), "seed {seed}: {report:?}");
    }
}

/// Guards against a zone cut from the store that gets changes only by
/// anti-entropy: relays of other zones or notices must reach it first.
#[test]
fn zone_cut_from_the_store_gets_changes_immediately() {
    for seed in SEEDS {
        let report = measure_propagation(seed, HOSTS, ZONES, Fault::ZoneCut);
        let limit = Duration::from_millis(100);
        assert!(report.elapsed.is_some_and(|e| e <= limit), "seed {seed}");
    }
}

/// Guards against relays that do not return to the store after an outage.
#[test]
fn change_after_an_outage_propagates() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let fleet = start().await;
            fleet.store().set_faults(down());
            sleep(secs(30)).await;
            fleet.store().set_faults(Faults::default());
            let revision = fleet.store().put("burdockslip/catalogue", b"second");
            let elapsed = fleet.wait(revision, PROPAGATION_LIMIT).await;
            assert!(elapsed.is_some(), "seed {seed}");
        });
    }
}

/// Guards against load on the store that grows with the fleet.
#[test]
fn store_calls_do_not_grow_with_hosts() {
    let few = measure_propagation(1, 14, ZONES, Fault::None);
    let many = measure_propagation(1, 140, ZONES, Fault::None);
    assert_eq!(few.store_calls, many.store_calls);
}

/// Guards against a revision that decreases. Checks each host often while
/// watches break, answers are lost and the store is down.
#[test]
fn revision_never_falls() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let fleet = start().await;
            let mut seen = [Revision(0); HOSTS];
            for round in 0..40 {
                fleet.store().put("burdockslip/catalogue", &[round]);
                match round % 8 {
                    1 => fleet.store().drop_watches(),
                    3 => fleet.store().set_faults(down()),
                    5 => fleet.store().set_faults(Faults {
                        loses_answers: true,
                        ..Faults::default()
                    }),
                    7 => fleet.store().set_faults(Faults::default()),
                    _ => {}
                }
                sleep(Duration::from_millis(300)).await;
                for (number, seen) in seen.iter_mut().enumerate() {
                    let revision = fleet.host(number).revision();
                    assert!(revision >= *seen, "seed {seed}: host {number}");
                    *seen = revision;
                }
            }
        });
    }
}

/// Guards against a restarted host that serves an older configuration, or
/// none, while the store is down.
#[test]
fn restart_with_the_store_down_finds_the_revision() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let fleet = start().await;
            let revision = fleet.store().put("burdockslip/keys/org/1", b"revoked");
            fleet
                .wait(revision, PROPAGATION_LIMIT)
                .await
                .expect("it propagates");
            fleet.store().set_faults(down());
            for number in 0..HOSTS {
                let host = fleet.spawn(number);
                assert!(!host.is_ready(), "nothing is known at the start");
                while !host.is_ready() {
                    sleep(Duration::from_millis(10)).await;
                }
                assert_eq!(host.revision(), revision, "seed {seed}: host {number}");
                assert_eq!(host.entries("burdockslip/keys/").len(), 1);
            }
        });
    }
}

/// Guards against a host that returns to an older configuration because the
/// store has lost its data.
#[test]
fn store_with_a_lower_revision_is_refused() {
    paused::run(1, async {
        let local = Peer {
            host: HostId::from("alone"),
            zone: Zone::from("zone-0"),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let (full, empty) = (MemoryStore::new(), MemoryStore::new());
        full.put("burdockslip/catalogue", b"first");
        full.put("burdockslip/catalogue", b"second");
        empty.put("burdockslip/catalogue", b"restored");
        let current = Rc::new(RefCell::new(full.clone()));
        let membership = Membership::fixed(local.clone(), &[local]);
        let client =
            PeerClient::new(|_, _| async { bail!(ErrorKind::ConnectionLost) }.boxed_local());
        let config = Config::spawn(membership, switchable_store(&current), client);
        sleep(secs(2)).await;
        current.replace(empty);
        full.drop_watches();
        sleep(secs(10)).await;
        assert_eq!(config.revision(), Revision(2));
        assert_eq!(config.entries("burdockslip/")[0].value[..], *b"second");
    });
}

/// Builds a store that forwards to whichever store `current` contains.
fn switchable_store(current: &Rc<RefCell<MemoryStore>>) -> Store {
    let (caller, opener) = (Rc::clone(current), Rc::clone(current));
    Store::new(
        move |request| {
            let store = caller.borrow().client("alone");
            async move {
                match request {
                    Request::Range(prefix) => store.range(&prefix).await.map(Reply::Page),
                    _ => bail!(ErrorKind::NotSupported),
                }
            }
            .boxed_local()
        },
        move |prefix, after| {
            let store = opener.borrow().client("alone");
            async move { store.watch(&prefix, after).await }.boxed_local()
        },
    )
}

/// Guards against a deleted key that stays on hosts, and against leases and
/// announcements that are treated as configuration.
#[test]
fn deletes_propagate_and_other_keys_do_not() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let fleet = start().await;
            let before = fleet.store().put("burdockslip/keys/org/1", b"key");
            fleet
                .wait(before, PROPAGATION_LIMIT)
                .await
                .expect("it propagates");
            fleet.store().put("burdockslip/leases/zone-0/1", b"lease");
            sleep(secs(3)).await;
            assert_eq!(fleet.host(3).revision(), before);
            let after = fleet.store().delete("burdockslip/keys/org/1");
            fleet
                .wait(after, PROPAGATION_LIMIT)
                .await
                .expect("it propagates");
            for number in 0..HOSTS {
                assert!(fleet.host(number).entries("burdockslip/keys/").is_empty());
            }
        });
    }
}

/// Guards against a configuration that exceeds one message and arrives
/// incomplete.
#[test]
fn large_configuration_arrives_whole() {
    paused::run(1, async {
        let fleet = start().await;
        let large = vec![7; 1_000_000];
        fleet.store().put("burdockslip/catalogue", &large);
        for number in 0..3000 {
            let key = format!("burdockslip/keys/org/{number:04}");
            fleet.store().put(&key, &[1; 300]);
        }
        let revision = fleet.store().put("platform/hosts/h", b"listed");
        fleet
            .wait(Revision(revision.0 - 1), PROPAGATION_LIMIT)
            .await
            .expect("it propagates");
        let fresh = fleet.spawn(4);
        fleet
            .wait(Revision(revision.0 - 1), PROPAGATION_LIMIT)
            .await
            .expect("it propagates");
        assert_eq!(fresh.entries("burdockslip/").len(), 3001);
        assert_eq!(
            fresh.entries("burdockslip/catalogue")[0].value[..],
            large[..]
        );
        assert_eq!(fresh.entries("platform/hosts/").len(), 1);
    });
}

/// Guards against a large catalogue that is sent whole after each edit, and
/// against patches that are applied wrongly.
#[test]
fn edits_of_a_large_value_are_small() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let fleet = start().await;
            let mut catalogue = vec![b'x'; 20_000];
            let first = fleet.store().put("burdockslip/catalogue", &catalogue);
            fleet
                .wait(first, PROPAGATION_LIMIT)
                .await
                .expect("it propagates");
            sleep(secs(3)).await;
            let sent = || (0..HOSTS).map(|number| fleet.host(number).traffic().bytes_sent);
            let before: u64 = sent().sum();
            for edit in [b"123".as_slice(), b"", b"12345"] {
                catalogue.splice(5_000..5_002, edit.iter().copied());
                let revision = fleet.store().put("burdockslip/catalogue", &catalogue);
                fleet
                    .wait(revision, PROPAGATION_LIMIT)
                    .await
                    .expect("it propagates");
            }
            for number in 0..HOSTS {
                let entries = fleet.host(number).entries("burdockslip/catalogue");
                assert!(entries[0].value[..] == catalogue[..], "seed {seed}");
            }
            let bytes = sent().sum::<u64>() - before;
            assert!(bytes < 60_000, "seed {seed}: {bytes} bytes");
        });
    }
}

/// Guards against hosts that reject valid keys during a long outage of the store
/// although the zones reach each other.
#[test]
fn age_stays_low_while_the_store_is_down() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let fleet = start().await;
            fleet.store().set_faults(down());
            sleep(Duration::from_mins(2)).await;
            for number in 0..HOSTS {
                let age = fleet.host(number).age().expect("is known");
                assert!(age < secs(10), "seed {seed}: host {number} {age:?}");
            }
        });
    }
}

/// Guards against hosts of a partitioned zone that report a low age, also after
/// a restart, when they have had no contact with another zone yet.
#[test]
fn age_grows_in_a_cut_zone() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let fleet = start().await;
            sleep(secs(10)).await;
            fleet.disconnect_store(1);
            fleet.disconnect_zones(1, 0);
            fleet.disconnect_zones(1, 2);
            sleep(Duration::from_mins(1)).await;
            let inside = fleet.members(1, false)[0];
            let age = fleet.host(inside).age().expect("was known");
            assert!(age >= secs(55), "seed {seed}: {age:?}");
            let fresh = fleet.spawn(inside);
            sleep(secs(10)).await;
            assert!(fresh.revision() > Revision(0), "seed {seed}");
            let age = fresh.age().expect("peers know it");
            assert!(age >= secs(65), "seed {seed}: {age:?}");
            let outside = fleet.host(0).age().expect("is known");
            assert!(outside < secs(10));
            fleet.reconnect_all();
            sleep(secs(10)).await;
            assert!(fresh.age().expect("is known") < secs(10));
        });
    }
}
