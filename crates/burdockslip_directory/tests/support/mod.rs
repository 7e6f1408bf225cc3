//! The records and the directory that the tests share.

// Not every test binary uses all of it.
#![allow(dead_code)]

use std::time::Duration;

use burdockslip_directory::{Configuration, Directory, Member, MemberRecord, Role, Schema};
use burdockslip_runtime::sleep;
use burdockslip_store::MemoryStore;
use burdockslip_types::{ErrorKind, GroupName, MemberName, Result, Zone};
use error_stack::bail;

pub(crate) const SCHEMA: Schema = Schema {
    configuration: "config",
    members: "members/",
    evacuations: "evacuations/",
    read_configuration,
    read_member,
    read_evacuation: |_| Ok(()),
};

pub(crate) fn read_configuration(bytes: &[u8]) -> Result<Configuration> {
    let Some(version) = std::str::from_utf8(bytes)
        .ok()
        .and_then(|text| text.parse().ok())
    else {
        bail!(ErrorKind::InvalidInput);
    };
    Ok(Configuration {
        version,
        ..Configuration::default()
    })
}

pub(crate) fn read_member(name: &str, bytes: &[u8]) -> Result<MemberRecord> {
    let text = std::str::from_utf8(bytes).unwrap_or_default();
    let cold = match text.strip_prefix("cold ") {
        Some(millis) => millis.parse().ok().map(Duration::from_millis),
        None if text == "ok" || text == "draining" => Some(Duration::ZERO),
        None => bail!(ErrorKind::InvalidInput),
    };
    let member = Member {
        name: MemberName::from(name),
        group: group(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: Zone::from("a"),
        slots: 1,
        is_draining: bytes == b"draining",
        role: Role::Replica,
        born: 1,
    };
    Ok(MemberRecord { member, cold })
}

pub(crate) fn group() -> GroupName {
    GroupName::from("ledger")
}

pub(crate) fn open(store: &MemoryStore) -> Directory {
    Directory::spawn(store.client("host"), SCHEMA)
}

pub(crate) async fn wait() {
    sleep(Duration::from_millis(300)).await;
}
