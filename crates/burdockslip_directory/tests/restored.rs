//! Tests what a host keeps when the store comes back from an older copy.

mod support;

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Directory, Relay};
use burdockslip_runtime::{paused, sleep};
use burdockslip_store::MemoryStore;
use burdockslip_types::{MemberName, Revision, Zone};
use futures::FutureExt;

use support::{SCHEMA, open, wait};

/// Guards against a configuration that reverts when the store comes back from an older
/// copy, and against reads of this copy that confirm it.
#[test]
fn restored_configuration_does_not_revert() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        let copy = store.copy();
        store.put("config", b"5");
        let directory = open(&store);
        wait().await;
        store.restore(&copy);
        sleep(Duration::from_secs(4)).await;
        assert_eq!(directory.era(), 1);
        assert!(directory.is_loaded(), "the restored store has been read");
        let version = || directory.configuration().map(|known| known.version);
        assert_eq!(version(), Some(5), "the version in force stays");
        let age = directory.configuration_age().expect("it was confirmed");
        assert!(age >= Duration::from_secs(4), "confirmed by an older copy");
        store.put("config", b"5");
        sleep(Duration::from_secs(2)).await;
        assert_eq!(version(), Some(5));
        assert!(directory.is_configuration_current(), "written again");
    });
}

/// Guards against records of an earlier era that stay, or that a peer brings back.
#[test]
fn restored_store_replaces_what_was_known() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        store.put("own/kept", b"old");
        let copy = store.copy();
        store.put("own/kept", b"new");
        let lost = store.put("own/lost", b"new");
        let directory = open(&store);
        wait().await;
        let before = directory.record("own/kept").expect("it was read");
        store.restore(&copy);
        sleep(Duration::from_secs(2)).await;
        let value = |key: &str| directory.record(key).map(|entry| entry.value);
        assert_eq!(value("own/kept"), Some(b"old".to_vec()));
        assert_eq!(value("own/lost"), None);
        let earlier = directory.earlier_records("own/kept");
        assert_eq!(earlier.len(), 1);
        assert_eq!(earlier[0].value, b"new");
        directory.apply(before);
        assert_eq!(value("own/kept"), Some(b"old".to_vec()), "brought back");
        let reused = store.put("own/other", b"next");
        assert_eq!(
            reused.number(),
            lost.number() - 1,
            "numbers are given out again"
        );
        assert!(reused > lost, "and are newer nevertheless");
    });
}

/// Guards against an evacuated zone that is used again because the copy of the store lacks
/// the record, and against one that stays evacuated although nobody asks for it.
#[test]
fn restored_evacuation_goes_on_for_a_while() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        let copy = store.copy();
        store.put("evacuations/a", b"ok");
        store.put("evacuations/b", b"ok");
        let directory = open(&store);
        wait().await;
        store.restore(&copy);
        sleep(Duration::from_secs(2)).await;
        let (renewed, given_up) = (Zone::from("a"), Zone::from("b"));
        assert!(directory.evacuated_for(&renewed).is_some());
        assert!(directory.evacuated_for(&given_up).is_some());
        store.put("evacuations/a", b"ok");
        sleep(Duration::from_secs(12)).await;
        assert!(directory.evacuated_for(&renewed).is_some());
        assert_eq!(directory.evacuated_for(&given_up), None);
        store.delete("evacuations/a");
        wait().await;
        assert!(!directory.is_evacuating());
    });
}

/// Guards against a member that was about to leave and is used again because the copy
/// of its record is older.
#[test]
fn restored_member_still_leaves() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        store.put("members/m1", b"ok");
        let copy = store.copy();
        store.put("members/m1", b"draining");
        let directory = open(&store);
        wait().await;
        store.restore(&copy);
        sleep(Duration::from_secs(2)).await;
        let member = directory.member(&MemberName::from("m1"));
        assert!(member.expect("it is in the copy").is_draining);
        store.put("members/m1", b"draining");
        store.put("members/m1", b"ok");
        wait().await;
        let member = directory.member(&MemberName::from("m1"));
        assert!(!member.expect("it has a record").is_draining);
    });
}

/// Guards against a host that follows a peer which has not heard of the restored store.
#[test]
fn peer_in_an_earlier_era_is_not_followed() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        let copy = store.copy();
        store.put("own/lost", b"new");
        let (peer, host) = (open(&store), Directory::spawn(store.client("late"), SCHEMA));
        wait().await;
        let known = peer.changes_since(Revision(0)).expect("the peer is loaded");
        store.restore(&copy);
        sleep(Duration::from_secs(2)).await;
        let outdated: Relay = Rc::new(move |_| {
            let known = known.clone();
            async move { Ok(known) }.boxed_local()
        });
        host.set_relay(outdated, "own/leader");
        sleep(Duration::from_secs(3)).await;
        assert_eq!(host.era(), 1);
        assert!(host.record("own/lost").is_none());
        store.put("own/next", b"1");
        sleep(Duration::from_secs(2)).await;
        assert!(host.record("own/next").is_some(), "the store is followed");
    });
}
