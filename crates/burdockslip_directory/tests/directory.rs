//! Tests the local copy of the store and the tracking of its age.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Changes, Directory, Relay};
use burdockslip_runtime::{now, paused, sleep};
use burdockslip_store::{Event, Faults, MemoryStore};
use burdockslip_types::{ErrorKind, MemberName, Revision};
use error_stack::{Report, bail, ensure};
use futures::FutureExt;

use support::{group, open, wait};

/// Guards against a host that keeps an old configuration after a change.
#[test]
fn configuration_is_followed() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        let directory = open(&store);
        wait().await;
        assert_eq!(
            directory.configuration().map(|known| known.version),
            Some(3)
        );
        store.put("config", b"5");
        wait().await;
        assert_eq!(
            directory.configuration().map(|known| known.version),
            Some(5)
        );
    });
}

/// Guards against withdrawn keys that still work on a host that cannot reach the
/// store.
#[test]
fn configuration_expires_without_confirmation() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        let directory = open(&store);
        wait().await;
        assert!(directory.is_configuration_current());
        store.set_faults(Faults {
            is_down: true,
            ..Faults::default()
        });
        sleep(Duration::from_secs(5)).await;
        assert!(!directory.is_configuration_current());
        store.set_faults(Faults::default());
        sleep(Duration::from_secs(1)).await;
        assert!(directory.is_configuration_current());
    });
}

/// Guards against a peer's confirmation that counts although it is for another
/// revision than the one in force on this host.
#[test]
fn peer_confirms_the_known_revision_only() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        let directory = open(&store);
        wait().await;
        store.set_faults(Faults {
            is_down: true,
            ..Faults::default()
        });
        sleep(Duration::from_secs(5)).await;
        let known = directory.configuration_revision();
        directory.confirm(Revision(known.0 + 1), now());
        assert!(!directory.is_configuration_current());
        directory.confirm(known, now());
        assert!(directory.is_configuration_current());
    });
}

/// Guards against hosts that use their share of the rates for ever, because other hosts
/// confirm their configuration: the coordinator has given that share away.
#[test]
fn confirmation_of_other_hosts_is_no_contact() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        let directory = open(&store);
        wait().await;
        store.set_faults(Faults {
            is_down: true,
            ..Faults::default()
        });
        sleep(Duration::from_secs(5)).await;
        directory.confirm_relayed(directory.configuration_revision(), now());
        assert!(directory.is_configuration_current());
        let contact = directory.contact_age().expect("the store was read");
        assert!(contact >= Duration::from_secs(5));
    });
}

/// Guards against malformed records that crash the host, add a member or replace
/// the configuration in force.
#[test]
fn malformed_records_are_ignored() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        store.put("members/a", b"ok");
        store.put("members/b", b"\xff damaged");
        let directory = open(&store);
        wait().await;
        let names: Vec<_> = directory
            .members(&group())
            .iter()
            .map(|member| member.name.to_string())
            .collect();
        assert_eq!(names, ["a"]);
        store.put("config", b"not a number");
        wait().await;
        assert_eq!(
            directory.configuration().map(|known| known.version),
            Some(3)
        );
    });
}

/// Guards against members that are dropped as soon as their record expires during
/// an outage of the store, and against those that are kept forever.
#[test]
fn vanished_member_is_kept_for_a_short_time() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        store.put("members/a", b"ok");
        let directory = open(&store);
        wait().await;
        store.delete("members/a");
        wait().await;
        assert_eq!(directory.members(&group()).len(), 1);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(directory.members(&group()).len(), 0);
        store.put("members/a", b"ok");
        wait().await;
        assert_eq!(directory.members(&group()).len(), 1);
    });
}

/// Guards against changes that are sent to a peer over and over: a record applied
/// ahead of the watch has a higher revision than the answer states, so the peer
/// would request it again.
#[test]
fn changes_ahead_of_the_watch_are_not_passed_on() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        let directory = open(&store);
        wait().await;
        let applied = directory
            .changes_since(Revision(0))
            .expect("all changes are kept")
            .revision;
        directory.apply(burdockslip_store::Entry {
            key: "own/record".to_owned(),
            value: Vec::new(),
            revision: Revision(applied.0 + 10),
        });
        let changes = directory
            .changes_since(applied)
            .expect("all changes are kept");
        assert!(changes.events.is_empty());
        for _ in 0..12 {
            store.put("own/other", b"x");
        }
        sleep(Duration::from_secs(2)).await;
        let changes = directory
            .changes_since(applied)
            .expect("all changes are kept");
        let keys: Vec<_> = changes.events.iter().filter_map(key).collect();
        assert_eq!(keys, ["own/record", "own/other"]);
        assert!(changes.revision >= Revision(applied.0 + 12));
    });
}

/// Guards against members that have left but stay in use on other hosts after the
/// coordinator's process has restarted: the coordinator has never seen the records
/// that were deleted before it started.
#[test]
fn member_deleted_before_the_peer_started_is_removed() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        store.put("members/a", b"ok");
        store.put("members/b", b"ok");
        let host = open(&store);
        let peer: Rc<RefCell<Option<Directory>>> = Rc::default();
        let known_peer = Rc::clone(&peer);
        let relay: Relay = Rc::new(move |revision| {
            let peer = Rc::clone(&known_peer);
            async move {
                while peer.borrow().is_none() {
                    sleep(Duration::from_millis(50)).await;
                }
                sleep(Duration::from_millis(50)).await;
                let changes = peer
                    .borrow()
                    .as_ref()
                    .and_then(|it| it.changes_since(revision));
                changes.ok_or_else(|| Report::new(ErrorKind::NoFreshData))
            }
            .boxed_local()
        });
        host.set_relay(relay, "leader");
        wait().await;
        assert_eq!(host.members(&group()).len(), 2);
        store.delete("members/a");
        let restarted = open(&store);
        wait().await;
        *peer.borrow_mut() = Some(restarted);
        sleep(Duration::from_secs(4)).await;
        let members = host.members(&group());
        let names: Vec<_> = members.iter().map(|it| it.name.as_str()).collect();
        assert_eq!(names, ["b"]);
    });
}

/// Guards against hosts that keep following a peer which is itself cut off: the age of
/// what it forwards has to grow.
#[test]
fn forwarded_state_grows_old() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        let directory = open(&store);
        assert!(directory.changes_since(Revision(0)).is_none());
        wait().await;
        store.set_faults(Faults {
            is_down: true,
            ..Faults::default()
        });
        sleep(Duration::from_secs(3)).await;
        let changes = directory.changes_since(Revision(0));
        let age = changes.expect("the store was read").age;
        assert!(age >= Duration::from_secs(3), "{age:?}");
    });
}

/// Guards against a coordinator that takes what it knows for the newest state while its
/// watch is on a dead connection: all hosts would go on using members that have left.
#[test]
fn silent_watch_of_the_coordinator_is_noticed() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        store.put("members/a", b"ok");
        let directory = open(&store);
        directory.set_coordinator(true);
        for round in 0..4_u64 {
            // Changes come at any moment after the connections have gone silent.
            sleep(Duration::from_millis(4_000 + 170 * round)).await;
            store.silence_watches();
            sleep(Duration::from_millis(900 * round)).await;
            let name = format!("members/b{round}");
            store.put(&name, b"ok");
            let changed = now();
            while directory.record(&name).is_none() {
                sleep(Duration::from_millis(10)).await;
                assert!(changed.elapsed() < Duration::from_secs(3), "round {round}");
            }
        }
    });
}

/// Guards against a primary that is used until it exits although it cannot be replaced:
/// the time since the first report counts, not since the last change of its record.
#[test]
fn time_since_a_member_reported_its_end_is_known() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        store.put("members/a", b"ok");
        let directory = open(&store);
        let name = MemberName::from("a");
        wait().await;
        assert_eq!(directory.draining_for(&name), None);
        store.put("members/a", b"draining");
        sleep(Duration::from_secs(1)).await;
        store.delete("members/a");
        sleep(Duration::from_secs(1)).await;
        store.put("members/a", b"draining");
        sleep(Duration::from_secs(1)).await;
        let span = directory.draining_for(&name).expect("it leaves");
        assert!(span > Duration::from_millis(2_900), "{span:?}");
        store.put("members/a", b"ok");
        wait().await;
        assert_eq!(directory.draining_for(&name), None);
    });
}

/// Guards against a state that is passed on as the newest one although changes are
/// missing in it.
#[test]
fn state_of_a_silent_watch_grows_old() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        let directory = open(&store);
        directory.set_coordinator(true);
        sleep(Duration::from_secs(4)).await;
        let age = || directory.changes_since(Revision(0)).map(|known| known.age);
        assert!(age().is_some_and(|age| age < Duration::from_millis(700)));
        store.silence_watches();
        store.put("members/a", b"ok");
        sleep(Duration::from_millis(1_400)).await;
        assert!(directory.record("members/a").is_none());
        assert!(age().is_some_and(|age| age > Duration::from_secs(1)));
    });
}

/// Guards against records that come back: a peer that lags behind sends one that has
/// been deleted meanwhile.
#[test]
fn deleted_record_is_not_restored_by_a_lagging_peer() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        store.put("members/a", b"ok");
        let directory = open(&store);
        wait().await;
        let outdated = directory.record("members/a").expect("it is registered");
        store.delete("members/a");
        wait().await;
        directory.apply(outdated);
        assert!(directory.record("members/a").is_none());
        sleep(Duration::from_secs(3)).await;
        assert!(directory.members(&group()).is_empty());
    });
}

/// Guards against a starting fleet in which each registration costs a call of every
/// other host.
#[test]
fn only_the_leader_is_watched_while_there_is_none() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        let directory = open(&store);
        let watched = directory.clone();
        let relay: Relay = Rc::new(move |revision| {
            let has_leader = watched.record("leader").is_some();
            async move {
                ensure!(has_leader, ErrorKind::NoPrimary);
                std::future::pending::<()>().await;
                Ok(Changes {
                    events: Vec::new(),
                    keys: None,
                    revision,
                    age: Duration::ZERO,
                })
            }
            .boxed_local()
        });
        directory.set_relay(relay, "leader");
        wait().await;
        let known = store.calls();
        assert_eq!(
            known.ranges, 1,
            "the first load confirms the configuration, too"
        );
        for host in 0..20 {
            store.put(&format!("hosts/{host}"), b"here");
            sleep(Duration::from_millis(20)).await;
        }
        assert!(directory.records("hosts/").is_empty());
        assert_eq!(store.calls().watches, known.watches);
        store.put("leader", b"host-1");
        sleep(Duration::from_millis(20)).await;
        assert!(directory.record("leader").is_some());
    });
}

fn key(event: &Event) -> Option<&str> {
    match event {
        Event::Put(entry) => Some(&entry.key),
        Event::Delete(key, _) => Some(key),
        Event::Progress(_) => None,
    }
}

/// Guards against a member that is taken for warm too early, or for cold for ever: the
/// time of its newest record counts down from when the record was seen.
#[test]
fn cold_time_counts_down_from_the_newest_record() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("members/m1", b"cold 2000");
        let directory = open(&store);
        wait().await;
        let name = MemberName::from("m1");
        assert!(directory.cold_until(&name).is_some());
        sleep(Duration::from_millis(1_500)).await;
        store.put("members/m1", b"cold 1000");
        wait().await;
        let until = directory.cold_until(&name).expect("it is still cold");
        assert!(until.remaining() > Duration::from_millis(600));
        sleep(Duration::from_millis(1_100)).await;
        assert_eq!(directory.cold_until(&name), None);
        store.put("members/m1", b"cold 1000");
        wait().await;
        store.put("members/m1", b"ok");
        wait().await;
        assert_eq!(directory.cold_until(&name), None);
    });
}

/// Guards against an odd cold time that ends the use of a member, or makes it cold.
#[test]
fn odd_cold_time_counts_as_none() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("members/m1", b"cold -7");
        let directory = open(&store);
        wait().await;
        let name = MemberName::from("m1");
        assert!(directory.member(&name).is_some());
        assert_eq!(directory.cold_until(&name), None);
    });
}

/// Guards against members that count as started again after an outage of the store in
/// which their records were gone.
#[test]
fn record_that_comes_back_is_no_new_run() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("members/m1", b"ok");
        let directory = open(&store);
        wait().await;
        store.put("members/m2", b"ok");
        wait().await;
        let (first, second) = (MemberName::from("m1"), MemberName::from("m2"));
        assert_eq!(directory.seen_at(&first), None);
        assert!(directory.seen_at(&second).is_some());
        store.delete("members/m1");
        sleep(Duration::from_secs(5)).await;
        // The deletion of another member evicts those that are no longer usable.
        store.delete("members/m2");
        wait().await;
        store.put("members/m1", b"ok");
        wait().await;
        assert!(directory.member(&first).is_some());
        assert_eq!(directory.seen_at(&first), None);
    });
}

/// Guards against a host without a leader that applies the first change of the leader's
/// record again and again, and never the last one.
#[test]
fn last_change_of_the_leader_is_followed() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        store.put("own/leader", b"old");
        let directory = open(&store);
        let relay: Relay = Rc::new(|_| async { bail!(ErrorKind::NoPrimary) }.boxed_local());
        directory.set_relay(relay, "own/leader");
        sleep(Duration::from_secs(2)).await;
        store.delete("own/leader");
        wait().await;
        assert!(directory.record("own/leader").is_none());
        let before = store.calls().watches;
        sleep(Duration::from_secs(5)).await;
        let opened = store.calls().watches - before;
        assert!(opened <= 6, "{opened} watches were opened in 5 s");
        store.put("own/leader.1", b"new");
        wait().await;
        assert!(directory.record("own/leader.1").is_some());
    });
}
