//! Checks references between entries and budgets that cannot be met.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use burdockslip_jsonc::Field;
use burdockslip_types::{MemberName, Zone};

use crate::{Catalogue, GroupEntry, MemberEntry, OrganisationEntry, RouteEntry};

/// Gives the least tokens of a zone's part of the burst. Half of it is kept for
/// tokens that were granted and not yet used (`docs/design.md`, section 4.7),
/// and the other half must hold one token to grant.
const LEAST_TOKENS: u64 = 2;

/// Gives the least burst as a divisor of the rate: a tenth of a second.
///
/// Half of the burst bounds the life of granted tokens to 50 ms then. Shorter
/// lives are about the time in which an authority answers, so that tokens
/// would expire unused.
const BURST_DIVISOR: u32 = 10;

/// Gives the percentage of a member's connections that its first-ranked holder
/// may use (`docs/design.md`, section 2).
const HOLDER_PERCENT: u32 = 70;

/// Gives the percentage that any other host may use, at least one connection.
const OTHER_PERCENT: u32 = 15;

pub(crate) fn catalogue(catalogue: &Catalogue, root: &Field<'_>) {
    if catalogue.zones.is_empty() {
        let zones = root.descend(&["zones"]);
        if !zones.has_fault() {
            zones.add_fault("at least one zone");
        }
    }
    for (name, entry) in &catalogue.organisations {
        let field = root.descend(&["organisations", name.as_str()]);
        organisation(catalogue, entry, &field);
    }
    for (name, entry) in &catalogue.routes {
        route(catalogue, entry, &root.descend(&["routes", name.as_str()]));
    }
    let mut fleet = Fleet::default();
    for (name, entry) in &catalogue.groups {
        let field = root.descend(&["groups", name.as_str()]);
        group(catalogue, entry, &field, &mut fleet);
    }
}

fn organisation(catalogue: &Catalogue, entry: &OrganisationEntry, field: &Field<'_>) {
    let routes = field.descend(&["routes"]);
    for (name, element) in entry.routes.iter().zip(routes.list_or_empty()) {
        if catalogue.route(name.as_str()).is_none() && !element.has_fault() {
            element.add_fault("a route of the catalogue");
        }
    }
    let shares = field.descend(&["shares"]);
    for zone in entry.shares.keys() {
        if !catalogue.zones.contains_key(zone) {
            shares
                .descend(&[zone.as_str()])
                .add_fault("a zone of the catalogue");
        }
    }
    let total: u32 = entry.shares.values().sum();
    if shares.is_present() && !shares.has_fault() && total != 100 {
        shares.add_fault_seen(format!("a total of {total}"), "shares that add up to 100");
    }
    if !field.has_fault() {
        budget(entry, field);
    }
}

/// Refuses a burst with which a zone could not grant tokens that live long enough.
fn budget(entry: &OrganisationEntry, field: &Field<'_>) {
    let burst = field.descend(&["burst"]);
    let by_rate = entry.rate.div_ceil(BURST_DIVISOR);
    if entry.burst < by_rate {
        burst.add_fault(format!("at least {by_rate}, which is a tenth of the rate"));
        return;
    }
    for (zone, percent) in entry.shares.iter().filter(|(_, percent)| **percent > 0) {
        let percent = u64::from(*percent);
        if u64::from(entry.burst) * percent < LEAST_TOKENS * 100 {
            let least = (LEAST_TOKENS * 100).div_ceil(percent);
            burst.add_fault(format!(
                "at least {least}, so that zone {zone} with {percent}% has {LEAST_TOKENS} tokens"
            ));
            return;
        }
    }
}

fn route(catalogue: &Catalogue, entry: &RouteEntry, field: &Field<'_>) {
    let group = field.descend(&["group"]);
    if catalogue.group(entry.group.as_str()).is_none() && !group.has_fault() {
        group.add_fault("a group of the catalogue");
    }
    let classes = field.descend(&["classes"]);
    for (name, element) in entry.classes.iter().zip(classes.list_or_empty()) {
        if catalogue.class(name.as_str()).is_none() && !element.has_fault() {
            element.add_fault("a class of the catalogue");
        }
    }
}

/// Holds the first use of names and addresses that are unique in the fleet.
#[derive(Default)]
struct Fleet {
    names: HashMap<MemberName, String>,
    addresses: HashMap<SocketAddr, String>,
}

fn group(catalogue: &Catalogue, entry: &GroupEntry, field: &Field<'_>, fleet: &mut Fleet) {
    let user = field.descend(&["user"]);
    if entry.user.starts_with("bsk_") {
        user.add_fault("a database user name, never a client's key");
    }
    let mut zones: BTreeMap<&Zone, &MemberName> = BTreeMap::new();
    for (name, member) in &entry.members {
        let place = field.descend(&["members", name.as_str()]);
        let zone = place.descend(&["zone"]);
        if !zone.has_fault() {
            if !catalogue.zones.contains_key(&member.zone) {
                zone.add_fault("a zone of the catalogue");
            } else if let Some(other) = zones.insert(&member.zone, name) {
                zone.add_fault(format!("another zone than that of member {other}"));
            }
        }
        unique(name, member, &place, fleet);
        connections(member, &place);
    }
}

fn unique(name: &MemberName, member: &MemberEntry, place: &Field<'_>, fleet: &mut Fleet) {
    let path = place.path().to_owned();
    if let Some(other) = fleet.names.insert(name.clone(), path.clone()) {
        place.add_fault(format!("a member name unique in the fleet, unlike {other}"));
    }
    let address = place.descend(&["address"]);
    if !address.has_fault()
        && let Some(other) = fleet.addresses.insert(member.address, path)
    {
        address.add_fault(format!("an address unlike that of {other}"));
    }
}

/// Refuses limits with which the holder cannot fill the slots, or two hosts
/// that briefly disagree exceed the limit.
fn connections(member: &MemberEntry, place: &Field<'_>) {
    if place.descend(&["connections"]).has_fault() || place.descend(&["slots"]).has_fault() {
        return;
    }
    let holder = member.connections * HOLDER_PERCENT / 100;
    let other = member.connections * OTHER_PERCENT / 100;
    if other == 0 {
        let least = 100_u32.div_ceil(OTHER_PERCENT);
        place.descend(&["connections"]).add_fault(format!(
            "at least {least}, so that {OTHER_PERCENT}% are one connection"
        ));
    } else if member.slots > holder {
        place.descend(&["slots"]).add_fault(format!(
            "at most {holder}, which is {HOLDER_PERCENT}% of the connections"
        ));
    }
}
