//! Tests the election of the coordinator, the host that holds the duty to promote.

use std::time::Duration;

use burdockslip_directory::{Configuration, Directory, Schema};
use burdockslip_failover::{Duty, Registration, keys};
use burdockslip_runtime::{now, paused, sleep};
use burdockslip_store::{Compare, Faults, MemoryStore, Operation, Store, Txn};
use burdockslip_types::{ErrorKind, HostId, Revision, Zone};
use error_stack::Report;

const SCHEMA: Schema = Schema {
    configuration: "config",
    members: "members/",
    evacuations: "evacuations/",
    read_configuration: |_| Ok(Configuration::default()),
    read_member: |_, _| Err(Report::new(ErrorKind::InvalidInput)),
    read_evacuation: |_| Ok(()),
};

/// A time within which another host is elected: the TTL of the holder's lease
/// plus a candidate's delay, with a margin.
const ELECTION_TIME: Duration = Duration::from_secs(3);

fn open(store: &MemoryStore, name: &str) -> (Directory, Duty) {
    let client: Store = store.client(name);
    let directory = Directory::spawn(client, SCHEMA);
    let duty = Duty::spawn(HostId::from(name), 100, directory.clone());
    (directory, duty)
}

fn register(store: &MemoryStore, name: &str, capacity: u32) {
    let registration = Registration {
        address: ([127, 0, 0, 1], 1).into(),
        zone: Zone::from("a"),
        capacity,
    };
    let value = registration.write().expect("it can be encoded");
    store.put(&format!("burdockslip/hosts/{name}"), &value);
}

fn store() -> MemoryStore {
    let store = MemoryStore::new();
    store.put("config", b"");
    store
}

/// Guards against two holders at the same time, and against no holder at all.
#[test]
fn one_host_holds_the_duty() {
    paused::run(3, async {
        let store = store();
        let hosts: Vec<_> = ["a", "b", "c"].map(|name| open(&store, name)).into();
        sleep(Duration::from_secs(2)).await;
        let holders = hosts.iter().filter(|(_, duty)| duty.tenure().is_some());
        assert_eq!(holders.count(), 1);
    });
}

/// Guards against a stopping host that takes the duty, because it was told to leave
/// while it waited to see whether another host takes it.
#[test]
fn leaving_candidate_does_not_take_the_duty() {
    paused::run(3, async {
        let store = store();
        let (directory, duty) = open(&store, "a");
        while !directory.is_loaded() {
            sleep(Duration::from_millis(1)).await;
        }
        sleep(Duration::from_millis(10)).await;
        duty.leave();
        sleep(ELECTION_TIME).await;
        assert_eq!(store.calls().txns, 0, "the duty is not claimed");
        assert!(duty.tenure().is_none());
    });
}

/// Guards against a partitioned holder whose tenure overlaps that of its
/// successor, and against fencing tokens that do not increase.
#[test]
fn cut_off_holder_ends_before_the_next_begins() {
    paused::run(3, async {
        let store = store();
        let first = open(&store, "a");
        sleep(Duration::from_secs(1)).await;
        let token = first.1.tenure().expect("the only candidate holds it").token;
        let second = open(&store, "b");
        sleep(Duration::from_secs(1)).await;
        store.disconnect("a");
        loop {
            sleep(Duration::from_millis(10)).await;
            if let Some(tenure) = second.1.tenure() {
                assert!(first.1.tenure().is_none());
                assert!(tenure.token > token);
                return;
            }
        }
    });
}

/// Guards against a restarted holder that waits for its own earlier lease to
/// expire. This happened when it received the configuration before it had read
/// the records, and so missed the record of its earlier run.
#[test]
fn restarted_holder_takes_the_duty_back_at_once() {
    paused::run(3, async {
        let store = store();
        let first = open(&store, "a");
        sleep(Duration::from_secs(1)).await;
        let token = first.1.tenure().expect("the only candidate holds it").token;
        drop(first);
        let again = open(&store, "a");
        sleep(Duration::from_millis(600)).await;
        let tenure = again.1.tenure().expect("the earlier run's lease was ended");
        assert!(tenure.token > token);
    });
}

/// Guards against a duty that stays with a host that is shutting down as planned
/// until its lease expires.
#[test]
fn leaving_holder_releases_the_duty() {
    paused::run(3, async {
        let store = store();
        let first = open(&store, "a");
        sleep(Duration::from_secs(1)).await;
        let second = open(&store, "b");
        sleep(Duration::from_millis(200)).await;
        first.1.leave();
        sleep(Duration::from_millis(600)).await;
        assert!(first.1.tenure().is_none());
        assert!(second.1.tenure().is_some());
    });
}

/// Guards against a claim that was applied although its answer was lost, and
/// that keeps the duty occupied because its lease is not revoked.
#[test]
fn duty_is_taken_after_lost_answers() {
    paused::run(3, async {
        let store = store();
        store.set_faults(Faults {
            loses_answers: true,
            ..Faults::default()
        });
        let host = open(&store, "a");
        sleep(Duration::from_secs(2)).await;
        assert!(host.1.tenure().is_none());
        store.set_faults(Faults::default());
        sleep(ELECTION_TIME).await;
        assert!(host.1.tenure().is_some());
    });
}

/// Guards against a holder that loses the duty between two renewals because the
/// store takes half a second to answer each.
#[test]
fn slow_store_does_not_interrupt_the_tenure() {
    paused::run(3, async {
        let store = store();
        let host = open(&store, "a");
        sleep(Duration::from_secs(1)).await;
        store.set_faults(Faults {
            delay: Duration::from_millis(500),
            ..Faults::default()
        });
        for _ in 0..500 {
            sleep(Duration::from_millis(10)).await;
            assert!(host.1.tenure().is_some());
        }
    });
}

/// Guards against a slow election after the holder is cut off: until there is a
/// new one, hosts admit only their fractions of the rates.
#[test]
fn unresponsive_holder_is_replaced_soon() {
    paused::run(3, async {
        let store = store();
        let _first = open(&store, "a");
        sleep(Duration::from_secs(1)).await;
        let second = open(&store, "b");
        sleep(Duration::from_secs(1)).await;
        store.disconnect("a");
        sleep(Duration::from_millis(1_500)).await;
        assert!(second.1.tenure().is_some());
    });
}

/// Guards against hosts that fall back to their fractions of the rates because
/// the store is down, and against an interim coordinator without a time limit.
#[test]
fn holder_is_interim_coordinator_while_the_store_is_down() {
    paused::run(3, async {
        let store = store();
        let first = open(&store, "a");
        sleep(Duration::from_secs(1)).await;
        let tenure = first.1.tenure().expect("the only candidate holds it");
        store.set_faults(Faults {
            is_down: true,
            ..Faults::default()
        });
        for _ in 0..40 {
            sleep(Duration::from_millis(100)).await;
            let role = first
                .1
                .coordinator_role()
                .expect("no other host can hold it");
            assert_eq!(role.token, tenure.token);
        }
        assert!(first.1.tenure().is_none());
        sleep(Duration::from_secs(3)).await;
        assert_eq!(first.1.coordinator_role(), None);
    });
}

/// Guards against an interim coordinator that continues after it has received the
/// record of its successor.
#[test]
fn replaced_holder_stops_acting_as_coordinator() {
    paused::run(3, async {
        let store = store();
        let first = open(&store, "a");
        sleep(Duration::from_secs(1)).await;
        let second = open(&store, "b");
        sleep(Duration::from_secs(1)).await;
        store.disconnect("a");
        sleep(Duration::from_secs(2)).await;
        assert!(second.1.tenure().is_some());
        let role = first
            .1
            .coordinator_role()
            .expect("it has not seen the new record yet");
        assert!(role.is_interim);
        let entry = second.0.record("burdockslip/duty").expect("it is held");
        first.0.apply(entry);
        assert_eq!(first.1.coordinator_role(), None);
    });
}

/// Guards against a duty that stays with a small host, which answers the reports
/// of a large fleet too late. Such a host takes the duty when it starts before
/// the larger ones have registered.
#[test]
fn weak_host_releases_the_duty() {
    paused::run(3, async {
        let store = store();
        let weak = open(&store, "a");
        sleep(Duration::from_secs(1)).await;
        assert!(weak.1.tenure().is_some());
        register(&store, "b", 500);
        let strong = Directory::spawn(store.client("b"), SCHEMA);
        let duty = Duty::spawn(HostId::from("b"), 500, strong.clone());
        sleep(Duration::from_secs(7)).await;
        assert!(weak.1.tenure().is_none());
        assert!(duty.tenure().is_some());
    });
}

/// Guards against a holder of an earlier era that goes on after the store was restored,
/// against a claim before its tenure has surely ended, and against a token that goes back.
#[test]
fn restored_store_starts_a_new_tenure() {
    paused::run(3, async {
        let store = store();
        let copy = store.copy();
        let first = open(&store, "a");
        sleep(Duration::from_secs(1)).await;
        let token = first.1.tenure().expect("the only candidate holds it").token;
        store.disconnect("a");
        store.restore(&copy);
        let restored = now();
        let second = open(&store, "b");
        loop {
            sleep(Duration::from_millis(10)).await;
            if let Some(tenure) = second.1.tenure() {
                assert!(first.1.tenure().is_none(), "two hosts hold the duty");
                assert!(tenure.token > token, "the token went back");
                assert!(
                    tenure.token.number() <= token.number(),
                    "numbers are given out again"
                );
                break;
            }
        }
        assert!(restored.elapsed() >= Duration::from_millis(1_250));
    });
}

/// Guards against a holder that goes on because the copy has its lease.
#[test]
fn holder_stops_although_its_record_is_in_the_copy() {
    paused::run(3, async {
        let store = store();
        let (directory, duty) = open(&store, "a");
        sleep(Duration::from_secs(1)).await;
        let token = duty.tenure().expect("the only candidate holds it").token;
        let copy = store.copy();
        sleep(Duration::from_millis(600)).await;
        store.restore(&copy);
        sleep(Duration::from_millis(400)).await;
        assert_eq!(directory.era(), 1);
        assert!(
            duty.tenure().is_none(),
            "held on a lease of the earlier era"
        );
        sleep(ELECTION_TIME).await;
        assert!(duty.tenure().expect("it is claimed again").token > token);
        assert!(
            directory.record(&keys::duty(0)).is_none(),
            "the copy's record is removed"
        );
    });
}

/// Guards against a write of an earlier era that is applied because its numbers were given
/// out again.
#[test]
fn late_write_of_an_earlier_era_is_not_applied() {
    paused::run(3, async {
        let store = store();
        let copy = store.copy();
        let (_, duty) = open(&store, "a");
        sleep(Duration::from_secs(1)).await;
        let token = duty.tenure().expect("the only candidate holds it").token;
        store.restore(&copy);
        sleep(ELECTION_TIME).await;
        let compare = |key, token| {
            let compares = vec![Compare::Revision(key, token)];
            let operations = vec![Operation::Put("late".to_owned(), Vec::new(), None)];
            Txn {
                compares,
                operations,
            }
        };
        let client = store.client("late");
        // As the platform's store applies it: by numbers, without the era.
        let same = Revision::in_era(1, token.number()).expect("it is small");
        for token in [token, same] {
            let reply = client.txn(compare(keys::duty(0), token)).await;
            assert!(!reply.expect("the store answers").is_applied);
        }
    });
}
