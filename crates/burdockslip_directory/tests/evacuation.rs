//! Tests of the requests to evacuate availability zones.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Changes, Configuration, Directory, Relay, Schema};
use burdockslip_runtime::{paused, sleep};
use burdockslip_store::{Faults, MemoryStore};
use burdockslip_types::{ErrorKind, Revision, Zone};
use error_stack::{Report, ensure};
use futures::FutureExt;

const SCHEMA: Schema = Schema {
    configuration: "config",
    members: "members/",
    evacuations: "evacuations/",
    read_configuration: |_| Ok(Configuration::default()),
    read_member: |_, _| Err(Report::new(ErrorKind::InvalidInput)),
    read_evacuation: |bytes| {
        ensure!(bytes == b"ok", ErrorKind::InvalidInput);
        Ok(())
    },
};

async fn open(store: &MemoryStore) -> Directory {
    store.put("config", b"1");
    let directory = Directory::spawn(store.client("host"), SCHEMA);
    directory.set_coordinator(true);
    sleep(Duration::from_secs(3)).await;
    directory
}

async fn wait() {
    sleep(Duration::from_millis(300)).await;
}

fn zones(directory: &Directory) -> Vec<String> {
    let zones = directory.evacuated_zones();
    zones.iter().map(Zone::to_string).collect()
}

fn age(directory: &Directory, zone: &str) -> Option<Duration> {
    directory.evacuated_for(&Zone::from(zone))
}

/// Guards against requests that are not followed, and zones that do not return.
#[test]
fn zones_are_evacuated_until_their_records_are_removed() {
    paused::run(1, async {
        let store = MemoryStore::new();
        let directory = open(&store).await;
        assert_eq!(age(&directory, "a"), None);
        store.put("evacuations/a", b"ok");
        store.put("evacuations/b", b"ok");
        wait().await;
        assert_eq!(zones(&directory), ["a", "b"]);
        let known = age(&directory, "a").expect("it is evacuated");
        assert!(known < Duration::from_secs(1), "{known:?}");
        // Another record of a zone does not start its time anew.
        store.put("evacuations/a", b"ok");
        wait().await;
        assert!(age(&directory, "a").is_some_and(|age| age >= known + Duration::from_millis(300)));
        store.delete("evacuations/a");
        wait().await;
        assert_eq!(zones(&directory), ["b"]);
    });
}

/// Guards against odd records that begin or end an evacuation, or end the host.
#[test]
fn odd_requests_change_nothing() {
    paused::run(1, async {
        let store = MemoryStore::new();
        let directory = open(&store).await;
        store.put("evacuations/", b"ok");
        store.put("evacuations/a", b"\xff");
        store.put("evacuations/b", b"ok");
        wait().await;
        assert_eq!(zones(&directory), ["b"]);
        store.put("evacuations/b", b"\xff");
        store.delete("evacuations/");
        store.delete("evacuations/a");
        wait().await;
        assert_eq!(zones(&directory), ["b"]);
        store.delete("evacuations/b");
        wait().await;
        assert!(zones(&directory).is_empty());
    });
}

/// Guards against a host that gives itself the whole bound although it learns of a request
/// late: its watch was silent, or it has just started.
#[test]
fn age_of_a_request_includes_the_time_without_news() {
    paused::run(1, async {
        let store = MemoryStore::new();
        let directory = open(&store).await;
        store.silence_watches();
        store.put("members/b", b"");
        store.put("evacuations/a", b"ok");
        let mut learned_after = Duration::ZERO;
        while age(&directory, "a").is_none() {
            sleep(Duration::from_millis(10)).await;
            learned_after += Duration::from_millis(10);
        }
        assert!(learned_after > Duration::from_secs(1), "{learned_after:?}");
        assert!(age(&directory, "a").is_some_and(|age| age >= learned_after));
        let started = open(&store).await;
        assert_eq!(age(&started, "a"), Some(Duration::MAX));
    });
}

/// Guards against zones that stay evacuated on a host whose record was removed while the
/// store was away, or while it followed a peer that was cut off.
#[test]
fn removal_that_was_missed_is_noticed() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("evacuations/a", b"ok");
        store.put("evacuations/b", b"ok");
        let directory = open(&store).await;
        assert_eq!(zones(&directory), ["a", "b"]);
        store.set_faults(Faults {
            is_down: true,
            ..Faults::default()
        });
        sleep(Duration::from_secs(2)).await;
        store.delete("evacuations/a");
        store.set_faults(Faults::default());
        sleep(Duration::from_secs(3)).await;
        assert_eq!(zones(&directory), ["b"]);

        let has_changes = Rc::new(Cell::new(true));
        let relay: Relay = Rc::new(move |_| {
            let is_first = has_changes.replace(false);
            async move {
                if !is_first {
                    std::future::pending::<()>().await;
                }
                Ok(Changes {
                    events: Vec::new(),
                    keys: Some(vec!["config".to_owned()]),
                    revision: Revision(1_000),
                    age: Duration::ZERO,
                })
            }
            .boxed_local()
        });
        directory.set_coordinator(false);
        directory.set_relay(relay, "leader");
        sleep(Duration::from_secs(2)).await;
        assert!(zones(&directory).is_empty());
    });
}
