//! Guards the spread of the configuration against faults.

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

/// The time in which a change must be in force on the paused clock.
const IN_FORCE: Duration = Duration::from_secs(10);

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

async fn start() -> Fleet {
    let fleet = Fleet::start(HOSTS, ZONES);
    let loaded = fleet.wait(Revision(1), IN_FORCE).await;
    assert!(loaded.is_some(), "the first configuration arrives");
    fleet
}

fn down() -> Faults {
    Faults {
        is_down: true,
        ..Faults::default()
    }
}

/// Guards against a fault that keeps a change from some host for more than 10 s.
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
            report.elapsed.is_some_and(|elapsed| elapsed <= IN_FORCE),
            "seed {seed}: {report:?}"
        );
    }
}

/// Guards against a design that works for today's fleet only: the same at the
/// size of two years from now, within the control budget of a host.
#[parameterized(
    none = { Fault::None },
    store_down = { Fault::StoreDown },
    relay_killed = { Fault::RelayKilled },
    zone_cut = { Fault::ZoneCut },
)]
fn change_reaches_670_hosts(fault: Fault) {
    let report = measure_propagation(1, 670, 5, fault);
    assert!(
        report.elapsed.is_some_and(|elapsed| elapsed <= IN_FORCE),
        "{report:?}"
    );
    assert!(report.quiet_bytes < 21_000, "{report:?}");
}

/// Guards against a revoked key that stays valid in a zone although one pair
/// of ordinary hosts still connects it with the rest.
#[test]
fn change_takes_the_only_path() {
    for seed in SEEDS {
        let report = measure_propagation(seed, HOSTS, ZONES, Fault::OnePath);
        assert!(report.elapsed.is_some(), "seed {seed}: {report:?}");
    }
}

/// Guards against a zone cut from the store that hears of changes only by
/// comparisons at random: relays of other zones or pushes are to reach it.
#[test]
fn zone_without_the_store_hears_at_once() {
    for seed in SEEDS {
        let report = measure_propagation(seed, HOSTS, ZONES, Fault::ZoneCut);
        let limit = Duration::from_millis(100);
        assert!(report.elapsed.is_some_and(|e| e <= limit), "seed {seed}");
    }
}

/// Guards against relays that do not return to the store after an outage.
#[test]
fn change_after_an_outage_spreads() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let fleet = start().await;
            fleet.store().set_faults(down());
            sleep(secs(30)).await;
            fleet.store().set_faults(Faults::default());
            let revision = fleet.store().put("burdockslip/catalogue", b"second");
            let spread = fleet.wait(revision, IN_FORCE).await;
            assert!(spread.is_some(), "seed {seed}");
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

/// Guards against a revision that falls: while watches break, answers are
/// lost, the store is down and hosts restart, each host is looked at often.
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
/// none, because the store is down.
#[test]
fn restart_with_the_store_down_finds_the_revision() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let fleet = start().await;
            let revision = fleet.store().put("burdockslip/keys/org/1", b"revoked");
            fleet.wait(revision, IN_FORCE).await.expect("spreads");
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

/// Guards against a store that lost its data and takes a host back with it.
#[test]
fn store_with_a_lower_revision_is_refused() {
    paused::run(1, async {
        let own = Peer {
            host: HostId::from("alone"),
            zone: Zone::from("zone-0"),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let (full, empty) = (MemoryStore::new(), MemoryStore::new());
        full.put("burdockslip/catalogue", b"first");
        full.put("burdockslip/catalogue", b"second");
        empty.put("burdockslip/catalogue", b"restored");
        let current = Rc::new(RefCell::new(full.clone()));
        let membership = Membership::fixed(own.clone(), &[own]);
        let client =
            PeerClient::new(|_, _| async { bail!(ErrorKind::ConnectionLost) }.boxed_local());
        let config = Config::spawn(membership, switched(&current), client);
        sleep(secs(2)).await;
        current.replace(empty);
        full.drop_watches();
        sleep(secs(10)).await;
        assert_eq!(config.revision(), Revision(2));
        assert_eq!(config.entries("burdockslip/")[0].value[..], *b"second");
    });
}

/// Builds a store whose content can be exchanged.
fn switched(current: &Rc<RefCell<MemoryStore>>) -> Store {
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

/// Guards against a removed key that stays on hosts, and against leases and
/// announcements that count as configuration.
#[test]
fn deletes_spread_and_other_keys_do_not() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let fleet = start().await;
            let before = fleet.store().put("burdockslip/keys/org/1", b"key");
            fleet.wait(before, IN_FORCE).await.expect("spreads");
            fleet.store().put("burdockslip/leases/zone-0/1", b"lease");
            sleep(secs(3)).await;
            assert_eq!(fleet.host(3).revision(), before);
            let after = fleet.store().delete("burdockslip/keys/org/1");
            fleet.wait(after, IN_FORCE).await.expect("spreads");
            for number in 0..HOSTS {
                assert!(fleet.host(number).entries("burdockslip/keys/").is_empty());
            }
        });
    }
}

/// Guards against a configuration that exceeds one message and arrives in part.
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
            .wait(Revision(revision.0 - 1), IN_FORCE)
            .await
            .expect("spreads");
        let fresh = fleet.spawn(4);
        fleet
            .wait(Revision(revision.0 - 1), IN_FORCE)
            .await
            .expect("spreads");
        assert_eq!(fresh.entries("burdockslip/").len(), 3001);
        assert_eq!(
            fresh.entries("burdockslip/catalogue")[0].value[..],
            large[..]
        );
        assert_eq!(fresh.entries("platform/hosts/").len(), 1);
    });
}

/// Guards against an edit of a large catalogue that is sent whole to each host,
/// and against one that is put together wrongly.
#[test]
fn edits_of_a_large_value_are_small() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let fleet = start().await;
            let mut catalogue = vec![b'x'; 20_000];
            let first = fleet.store().put("burdockslip/catalogue", &catalogue);
            fleet.wait(first, IN_FORCE).await.expect("spreads");
            sleep(secs(3)).await;
            let sent = || (0..HOSTS).map(|number| fleet.host(number).traffic().bytes_sent);
            let before: u64 = sent().sum();
            for edit in [b"123".as_slice(), b"", b"12345"] {
                catalogue.splice(5_000..5_002, edit.iter().copied());
                let revision = fleet.store().put("burdockslip/catalogue", &catalogue);
                fleet.wait(revision, IN_FORCE).await.expect("spreads");
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

/// Guards against hosts that refuse their keys in a long outage of the store
/// while the zones reach each other.
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

/// Guards against a cut zone that believes itself up to date, also after its
/// hosts restart and have never heard of another zone.
#[test]
fn age_grows_in_a_cut_zone() {
    for seed in SEEDS {
        paused::run(seed, async move {
            let fleet = start().await;
            sleep(secs(10)).await;
            fleet.cut_store(1);
            fleet.cut(1, 0);
            fleet.cut(1, 2);
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
            fleet.heal();
            sleep(secs(10)).await;
            assert!(fresh.age().expect("is known") < secs(10));
        });
    }
}
