//! Reads the entries of the catalogue from a document.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_jsonc::Field;
use burdockslip_types::Zone;

use crate::{
    Access, Catalogue, ClassEntry, GroupEntry, MemberEntry, OrganisationEntry, RouteEntry,
    SCHEMA_VERSION, ZoneEntry,
};

/// Bounds rates and bursts so that sums over organisations fit 64 bits with ease.
const MAX_RATE: u32 = 10_000_000;

/// Bounds weights so that the turn of one organisation in a fair queue stays short.
const MAX_WEIGHT: u32 = 1000;

/// Bounds connections of one database.
const MAX_CONNECTIONS: u32 = 10_000;

/// Bounds deadlines, since a waiting request holds memory at its endpoint.
const MAX_DEADLINE: Duration = Duration::from_hours(1);

/// Bounds ages and offline limits.
const MAX_AGE: Duration = Duration::from_hours(7 * 24);

/// Serves a class for this long without a confirmed configuration unless it says otherwise.
const DEFAULT_OFFLINE: Duration = Duration::from_secs(30);

pub(crate) fn catalogue(root: &Field<'_>) -> Catalogue {
    let object = root.object(&[
        "version",
        "zones",
        "groups",
        "classes",
        "routes",
        "organisations",
    ]);
    let zones = map(&object.get("zones"), zone);
    Catalogue {
        version: object
            .get("version")
            .integer_u32(SCHEMA_VERSION..=SCHEMA_VERSION),
        groups: map(&object.get("groups"), group),
        classes: map(&object.get("classes"), class),
        routes: map(&object.get("routes"), route),
        organisations: map(&object.get("organisations"), |field| {
            organisation(field, &zones)
        }),
        zones,
    }
}

fn map<K: From<String> + Ord, V>(
    field: &Field<'_>,
    read: impl Fn(&Field<'_>) -> V,
) -> BTreeMap<K, Rc<V>> {
    let entries = field.entries().into_iter();
    entries
        .map(|(name, entry)| (K::from(name), Rc::new(read(&entry))))
        .collect()
}

fn zone(field: &Field<'_>) -> ZoneEntry {
    let object = field.object(&["owner"]);
    ZoneEntry {
        owner: object.get("owner").text(),
    }
}

fn organisation(field: &Field<'_>, zones: &BTreeMap<Zone, Rc<ZoneEntry>>) -> OrganisationEntry {
    let object = field.object(&["owner", "rate", "burst", "weight", "routes", "shares"]);
    OrganisationEntry {
        owner: object.get("owner").text(),
        rate: object.get("rate").integer_u32(1..=MAX_RATE),
        burst: object.get("burst").integer_u32(1..=MAX_RATE),
        weight: object.get("weight").integer_u32(1..=MAX_WEIGHT),
        routes: names(&object.get("routes")),
        shares: object
            .get("shares")
            .optional(shares)
            .unwrap_or_else(|| equal_shares(zones)),
    }
}

fn shares(field: &Field<'_>) -> BTreeMap<Zone, u32> {
    let entries = field.entries().into_iter();
    entries
        .map(|(name, entry)| (Zone::from(name), entry.integer_u32(0..=100)))
        .collect()
}

/// Splits 100 per cent over the zones; the first zones get the remainder.
fn equal_shares(zones: &BTreeMap<Zone, Rc<ZoneEntry>>) -> BTreeMap<Zone, u32> {
    let count = u32::try_from(zones.len()).unwrap_or(u32::MAX).max(1);
    let remainder = 100 % count;
    let names = zones.keys().cloned();
    names
        .zip(0..)
        .map(|(zone, index)| (zone, 100 / count + u32::from(index < remainder)))
        .collect()
}

fn route(field: &Field<'_>) -> RouteEntry {
    let object = field.object(&["owner", "group", "is_open", "classes"]);
    let classes = object.get("classes");
    let entry = RouteEntry {
        owner: object.get("owner").text(),
        group: object.get("group").name().into(),
        is_open: object
            .get("is_open")
            .optional(Field::boolean)
            .unwrap_or_default(),
        classes: names(&classes),
    };
    if entry.classes.is_empty() && !classes.has_fault() {
        classes.add_fault("at least one class");
    }
    entry
}

fn class(field: &Field<'_>) -> ClassEntry {
    let object = field.object(&[
        "owner",
        "access",
        "priority",
        "max_age",
        "deadline",
        "repeatable",
        "offline_limit",
    ]);
    let access = object
        .get("access")
        .choice(&[("read", Access::Read), ("write", Access::Write)]);
    let age = object.get("max_age");
    if access == Access::Write && age.is_present() && !age.is_null() {
        age.add_fault("no maximum age, because the class writes at the primary");
    }
    ClassEntry {
        owner: object.get("owner").text(),
        access,
        priority: object.get("priority").integer_u32(0..=100),
        max_age: (age.is_present() && !age.is_null())
            .then(|| age.duration(Duration::ZERO..=MAX_AGE)),
        deadline: object
            .get("deadline")
            .duration(Duration::from_millis(1)..=MAX_DEADLINE),
        repeatable: object.get("repeatable").boolean(),
        offline_limit: object
            .get("offline_limit")
            .optional(|limit| limit.duration(Duration::ZERO..=MAX_AGE))
            .unwrap_or(DEFAULT_OFFLINE),
    }
}

fn group(field: &Field<'_>) -> GroupEntry {
    let object = field.object(&["owner", "user", "database", "members"]);
    let members = object.get("members");
    let entry = GroupEntry {
        owner: object.get("owner").text(),
        user: object.get("user").text(),
        database: object.get("database").text(),
        members: map(&members, member),
    };
    if entry.members.is_empty() && !members.has_fault() {
        members.add_fault("at least one member");
    }
    entry
}

fn member(field: &Field<'_>) -> MemberEntry {
    let object = field.object(&["zone", "address", "connections", "slots"]);
    MemberEntry {
        zone: object.get("zone").name().into(),
        address: object.get("address").address(),
        connections: object.get("connections").integer_u32(1..=MAX_CONNECTIONS),
        slots: object.get("slots").integer_u32(1..=MAX_CONNECTIONS),
    }
}

fn names<N: From<String> + Ord>(field: &Field<'_>) -> Vec<N> {
    let mut names = Vec::new();
    for element in field.list() {
        let name = N::from(element.name());
        if names.contains(&name) && !element.has_fault() {
            element.add_fault("each name once");
        }
        names.push(name);
    }
    names
}
