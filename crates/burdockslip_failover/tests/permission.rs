//! Tests when a host may use a primary.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{
    Configuration, Directory, GroupConfig, Member, MemberRecord, Role, Schema,
};
use burdockslip_failover::{
    Duty, GroupRecord, Permission, PromoteFn, PromotionReply, Stamp, Supervisor, keys,
};
use burdockslip_runtime::{now, paused, sleep};
use burdockslip_statement::Codec;
use burdockslip_store::{Faults, LeaseId, MemoryStore};
use burdockslip_telemetry::Metrics;
use burdockslip_types::{ErrorKind, GroupName, HostId, MemberName, Revision, Term};
use burdockslip_upstream::Pools;
use error_stack::Report;
use serde::Serialize;

const SCHEMA: Schema = Schema {
    configuration: "config",
    members: "members/",
    evacuations: "evacuations/",
    read_evacuation: |_| Ok(()),
    read_configuration: |_| {
        let mut configuration = Configuration::default();
        let config = GroupConfig {
            name: group(),
            connections: 42,
            cold_rate: None,
        };
        configuration.groups.insert(group(), config);
        Ok(configuration)
    },
    read_member: |_, _| Err(Report::new(ErrorKind::InvalidInput)),
};

const SCHEMA_WITH_MEMBERS: Schema = Schema {
    read_member: |_, bytes| {
        let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
        decoded
            .map(|(member, _)| MemberRecord {
                member,
                cold: Some(Duration::ZERO),
            })
            .map_err(|error| Report::new(error).change_context(ErrorKind::InvalidInput))
    },
    ..SCHEMA
};

/// No member is contacted.
const CODEC: Codec = Codec {
    read_client: |_| Ok(None),
    write_greeting: |_, _| {},
    write_response: |_, _| {},
    write_command: |_, _| {},
    read_member: |_| Ok(None),
    read_status: |_| Err(Report::new(ErrorKind::Protocol)),
};

fn group() -> GroupName {
    GroupName::from("ledger")
}

fn encode(record: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(record, bincode::config::standard()).expect("it can be encoded")
}

fn group_record() -> GroupRecord {
    GroupRecord {
        primary: MemberName::from("i-1"),
        address: ([127, 0, 0, 1], 1).into(),
        term: Term(1),
        roster: Vec::new(),
        excluded: Vec::new(),
        lost: Vec::new(),
        held: None,
        stamp: Stamp::default(),
    }
}

/// Returns a store with a group whose primary is `i-1`, and with a fence.
async fn store() -> MemoryStore {
    let store = MemoryStore::new();
    let record = group_record();
    let client = store.client("test");
    let lease = client.grant_lease(Duration::from_mins(10)).await;
    let lease = lease.expect("the store answers");
    store.put("config", b"");
    store.put("burdockslip/groups/ledger", &encode(&record));
    store.put("burdockslip/fence", &encode(&lease));
    store
}

/// Guards against an order to promote that does not wait for a host: the coordinator knows
/// of a permission only if it is newer than the registration of the host.
#[test]
fn permission_is_newer_than_the_registration() {
    paused::run(1, async {
        let store = store().await;
        let directory = Directory::spawn(store.client("host"), SCHEMA);
        let pools = Pools::spawn(CODEC, directory.clone());
        let metrics = Metrics::new().expect("the metrics can be registered");
        let permission = Permission::spawn(directory, pools, metrics);
        let primary = || permission.primary(&group());
        sleep(Duration::from_secs(1)).await;
        assert!(permission.proof(&group()).is_some());
        assert_eq!(primary(), None, "not registered");

        let down = Faults {
            is_down: true,
            ..Faults::default()
        };
        store.set_faults(down);
        permission.set_registered(Some(now()));
        for _ in 0..10 {
            sleep(Duration::from_millis(50)).await;
            assert_eq!(primary(), None, "all proofs are older");
        }
        store.set_faults(Faults::default());
        sleep(Duration::from_secs(1)).await;
        assert_eq!(primary(), Some(MemberName::from("i-1")));
        permission.set_registered(None);
        assert_eq!(primary(), None);
    });
}

/// Guards against a host that uses a primary on the proof of a coordinator which knows an
/// earlier record: a member that has been excluded since may be the replica behind it.
#[test]
fn proof_for_another_record_is_ignored() {
    paused::run(1, async {
        let store = store().await;
        let directory = Directory::spawn(store.client("host"), SCHEMA);
        let pools = Pools::spawn(CODEC, directory.clone());
        let metrics = Metrics::new().expect("the metrics can be registered");
        let permission = Permission::spawn(directory.clone(), pools, metrics);
        sleep(Duration::from_secs(1)).await;
        let entry = directory.record("burdockslip/groups/ledger");
        let Revision(known) = entry.expect("the record is known").revision;
        store.set_faults(Faults {
            is_down: true,
            ..Faults::default()
        });
        sleep(Duration::from_secs(2)).await;
        permission.set_registered(Some(now()));
        for revision in [known - 1, known + 1] {
            permission.accept_group_proof(&group(), Revision(revision), now());
            assert_eq!(permission.primary(&group()), None);
        }
        permission.accept_group_proof(&group(), Revision(known), now());
        assert_eq!(permission.primary(&group()), Some(MemberName::from("i-1")));
    });
}

fn member(name: &str, born: u64) -> Member {
    Member {
        name: MemberName::from(name),
        group: group(),
        address: ([127, 0, 0, 1], u16::from(name.as_bytes()[2] - b'0')).into(),
        zone: "tll-a".into(),
        slots: 3,
        is_draining: false,
        role: Role::Replica,
        born,
    }
}

/// Guards against commits that are passed on because a replica holds them for which no
/// promotion waits: one that is excluded, or not on the roster in its present run.
#[test]
fn only_replicas_on_the_roster_confirm_commits() {
    let mut record = GroupRecord {
        roster: vec![member("i-1", 1), member("i-2", 1), member("i-3", 1)],
        ..group_record()
    };
    assert!(!record.needs_receipts());
    record.excluded = vec![member("i-3", 1), member("i-4", 1)];
    assert!(record.needs_receipts());
    assert!(record.can_confirm(&member("i-2", 1)));
    let others = [("i-1", 1), ("i-2", 2), ("i-3", 1), ("i-4", 1), ("i-5", 1)];
    for (name, born) in others {
        assert!(
            !record.can_confirm(&member(name, born)),
            "{name} born {born}"
        );
    }
}

/// Guards against the use of a primary that has started again under its name, and holds
/// nothing.
#[test]
fn emptied_primary_is_not_used() {
    paused::run(1, async {
        let store = store().await;
        let directory = Directory::spawn(store.client("host"), SCHEMA_WITH_MEMBERS);
        let record = GroupRecord {
            roster: vec![member("i-1", 1)],
            ..group_record()
        };
        store.put("burdockslip/groups/ledger", &encode(&record));
        store.put("members/i-1", &encode(&member("i-1", 1)));
        let pools = Pools::spawn(CODEC, directory.clone());
        let metrics = Metrics::new().expect("the metrics can be registered");
        let permission = Permission::spawn(directory, pools, metrics);
        permission.set_registered(Some(now()));
        sleep(Duration::from_secs(1)).await;
        assert_eq!(permission.primary(&group()), Some(MemberName::from("i-1")));
        store.put("members/i-1", &encode(&member("i-1", 2)));
        sleep(Duration::from_millis(500)).await;
        assert_eq!(permission.primary(&group()), None);
    });
}

/// Guards against the use of a primary that a restored store names: a later one may be
/// lost with the writes since the copy.
#[test]
fn restored_record_gives_no_permission() {
    paused::run(1, async {
        let store = store().await;
        let copy = store.copy();
        let directory = Directory::spawn(store.client("host"), SCHEMA);
        let pools = Pools::spawn(CODEC, directory.clone());
        let metrics = Metrics::new().expect("the metrics can be registered");
        let permission = Permission::spawn(directory, pools, metrics);
        let primary = || permission.primary(&group());
        permission.set_registered(Some(now()));
        sleep(Duration::from_secs(1)).await;
        assert!(primary().is_some());
        assert!(
            permission.knowledge().is_none(),
            "the store was never restored"
        );

        let later = GroupRecord {
            term: Term(2),
            ..group_record()
        };
        store.put("burdockslip/groups/ledger", &encode(&later));
        sleep(Duration::from_secs(1)).await;
        store.restore(&copy);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(primary(), None, "used by a record of an earlier era");
        let knowledge = permission.knowledge().expect("the store was restored");
        assert_eq!((knowledge.era, knowledge.before), (1, Some(0)));
        assert_eq!(knowledge.records, [(group(), later.clone())]);

        let token = Revision::in_era(1, 9).expect("it is small");
        let settled = GroupRecord {
            stamp: Stamp { token, count: 0 },
            ..later
        };
        store.put("burdockslip/groups/ledger", &encode(&settled));
        sleep(Duration::from_secs(1)).await;
        assert_eq!(primary(), None, "no proof without a fence of the era");
        let client = store.client("test");
        let fence = client.grant_lease(Duration::from_mins(10)).await;
        let fence = fence.expect("the store answers");
        store.put("burdockslip/fence", &encode(&fence));
        sleep(Duration::from_secs(1)).await;
        assert!(primary().is_some(), "brought back");
        let knowledge = permission.knowledge().expect("the store was restored");
        assert!(knowledge.records.is_empty());
    });
}

/// Guards against a coordinator that reads another fence without the records before it: it
/// would take its proofs for the primary that an earlier coordinator is replacing.
#[test]
fn fence_is_read_with_the_records_before_it() {
    paused::run(1, async {
        let store = store().await;
        let client = store.client("test");
        // Without configured groups, no member is contacted.
        let schema = Schema {
            read_configuration: |_| Ok(Configuration::default()),
            ..SCHEMA
        };
        let directory = Directory::spawn(store.client("host"), schema);
        directory.set_coordinator(true);
        let pools = Pools::spawn(CODEC, directory.clone());
        let duty = Duty::spawn(HostId::from("host"), 100, directory.clone());
        let refuse: PromoteFn = Rc::new(|_, _, _| Box::pin(async { Ok(PromotionReply::Refused) }));
        let _supervisor = Supervisor::spawn(directory.clone(), pools, duty, refuse);
        sleep(Duration::from_secs(3)).await;
        store.silence_watches();
        let entry = directory.record(keys::FENCE).expect("there is a fence");
        let (lease, _): (LeaseId, _) =
            bincode::serde::decode_from_slice(&entry.value, bincode::config::standard())
                .expect("it is a lease");
        let changing = GroupRecord {
            held: Some(Term(2)),
            ..group_record()
        };
        store.put("burdockslip/groups/ledger", &encode(&changing));
        client.revoke_lease(lease).await.expect("it exists");
        let lease = client.grant_lease(Duration::from_mins(10)).await;
        store.put(keys::FENCE, &encode(&lease.expect("the store answers")));
        while directory.revision(keys::FENCE) == Some(entry.revision) {
            sleep(Duration::from_millis(5)).await;
        }
        let record = directory.record("burdockslip/groups/ledger");
        let record = GroupRecord::read(&record.expect("it exists").value);
        assert_eq!(record.expect("it is a record").held, Some(Term(2)));
    });
}
