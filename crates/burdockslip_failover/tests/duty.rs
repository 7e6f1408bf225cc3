//! Guards the election of the host that holds the duty to promote.

use std::time::Duration;

use burdockslip_directory::{Configuration, Directory, Schema};
use burdockslip_failover::{Duty, Registration};
use burdockslip_runtime::{paused, sleep};
use burdockslip_store::{Faults, MemoryStore, Store};
use burdockslip_types::{ErrorKind, HostId, Zone};
use error_stack::Report;

const SCHEMA: Schema = Schema {
    configuration: "config",
    members: "members/",
    read_configuration: |_| Ok(Configuration::default()),
    read_member: |_, _| Err(Report::new(ErrorKind::InvalidInput)),
};

/// The lease of the duty with some time to spare.
const TAKEOVER: Duration = Duration::from_secs(3);

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

/// Guards against two holders at once and against none.
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

/// Guards against a holder that is cut off and still believes it holds the duty
/// when another one has taken over, and against tokens that do not rise.
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

/// Guards against a restarted holder that waits for its own lease to lapse. It
/// did so when it learned of the configuration before it read the records.
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

/// Guards against a duty that stays with a host that stops as planned.
#[test]
fn leaving_holder_gives_the_duty_up() {
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

/// Guards against a duty that is kept by a claim whose answer was lost.
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
        sleep(TAKEOVER).await;
        assert!(host.1.tenure().is_some());
    });
}

/// Guards against a holder that loses the duty between two renewals because
/// the store takes half a second for each.
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

/// Guards against hosts that wait long for a new holder: until there is one
/// they admit only their fractions of the rates.
#[test]
fn silent_holder_is_replaced_soon() {
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

/// Guards against hosts that fall back to their fractions because the store is
/// down, and against a holder that stands in for ever or beside a next one.
#[test]
fn holder_stands_in_while_the_store_is_down() {
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
            let role = first.1.coordinator_role().expect("nobody else can have it");
            assert_eq!(role.token, tenure.token);
        }
        assert!(first.1.tenure().is_none());
        sleep(Duration::from_secs(3)).await;
        assert_eq!(first.1.coordinator_role(), None);
    });
}

/// Guards against a holder that stands in although it knows of the next one.
#[test]
fn replaced_holder_stands_in_no_longer() {
    paused::run(3, async {
        let store = store();
        let first = open(&store, "a");
        sleep(Duration::from_secs(1)).await;
        let second = open(&store, "b");
        sleep(Duration::from_secs(1)).await;
        store.disconnect("a");
        sleep(Duration::from_secs(2)).await;
        assert!(second.1.tenure().is_some());
        let role = first.1.coordinator_role().expect("it cannot know yet");
        assert!(role.is_interim);
        let entry = second.0.record("burdockslip/duty").expect("it is held");
        first.0.apply(entry);
        assert_eq!(first.1.coordinator_role(), None);
    });
}

/// Guards against a duty that stays with a weak host, which answers the reports
/// of a large fleet too late: it took it before it knew of the others.
#[test]
fn weak_host_gives_the_duty_up() {
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
