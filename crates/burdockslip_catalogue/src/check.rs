//! Checks references between entries, and limits that cannot be met.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use burdockslip_jsonc::Field;
use burdockslip_types::{MemberName, Zone};

use crate::{Catalogue, GroupEntry, MemberEntry, OrganisationEntry, RouteEntry};

/// The minimum number of tokens in a zone's share of the burst. Half of them are
/// reserved for tokens that are granted but not yet used (`docs/design.md`,
/// section 4.7), and the other half must contain one token to grant.
const MIN_ZONE_TOKENS: u64 = 2;

/// The divisor of the rate that gives the minimum burst: a tenth of a second.
///
/// Half of that burst limits the lifetime of granted tokens to 50 ms. Shorter
/// lifetimes are close to the response time of an authority, so tokens would
/// expire unused.
const BURST_DIVISOR: u32 = 10;

/// The percentage of a member's connections that its first-ranked holder may use
/// (`docs/design.md`, section 2).
const HOLDER_PERCENT: u32 = 70;

/// The percentage of a member's connections that any other host may use, which
/// must amount to at least one connection.
const OTHER_HOST_PERCENT: u32 = 15;

pub(crate) fn catalogue(catalogue: &Catalogue, root: &Field<'_>) {
    if catalogue.zones.is_empty() {
        let zones = root.descend(&["zones"]);
        if !zones.has_fault() {
            zones.add_fault("at least one zone");
        }
    }
    for (name, entry) in &catalogue.organisations {
        let field = root.descend(&["organisations", name.as_str()]);
        check_organisation(catalogue, entry, &field);
    }
    for (name, entry) in &catalogue.routes {
        check_route(catalogue, entry, &root.descend(&["routes", name.as_str()]));
    }
    let mut first_uses = FirstUses::default();
    for (name, entry) in &catalogue.groups {
        let field = root.descend(&["groups", name.as_str()]);
        check_group(catalogue, entry, &field, &mut first_uses);
    }
}

fn check_organisation(catalogue: &Catalogue, entry: &OrganisationEntry, field: &Field<'_>) {
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
        check_burst(entry, field);
    }
}

/// Rejects a burst that is too small for a zone to grant tokens with a useful lifetime.
fn check_burst(entry: &OrganisationEntry, field: &Field<'_>) {
    let burst = field.descend(&["burst"]);
    let by_rate = entry.rate.div_ceil(BURST_DIVISOR);
    if entry.burst < by_rate {
        burst.add_fault(format!("at least {by_rate}, which is a tenth of the rate"));
        return;
    }
    for (zone, percent) in entry.shares.iter().filter(|(_, percent)| **percent > 0) {
        let percent = u64::from(*percent);
        if u64::from(entry.burst) * percent < MIN_ZONE_TOKENS * 100 {
            let min = (MIN_ZONE_TOKENS * 100).div_ceil(percent);
            burst.add_fault(format!(
                "at least {min}, so that zone {zone} with {percent}% has {MIN_ZONE_TOKENS} tokens"
            ));
            return;
        }
    }
}

fn check_route(catalogue: &Catalogue, entry: &RouteEntry, field: &Field<'_>) {
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

/// The paths at which names and addresses that must be unique in the fleet were
/// first used.
#[derive(Default)]
struct FirstUses {
    names: HashMap<MemberName, String>,
    addresses: HashMap<SocketAddr, String>,
}

fn check_group(
    catalogue: &Catalogue,
    entry: &GroupEntry,
    field: &Field<'_>,
    first_uses: &mut FirstUses,
) {
    let user = field.descend(&["user"]);
    if entry.user.starts_with("bsk_") {
        user.add_fault("a database user name, never a client's key");
    }
    let mut zones: BTreeMap<&Zone, &MemberName> = BTreeMap::new();
    for (name, member) in &entry.members {
        let member_field = field.descend(&["members", name.as_str()]);
        let zone = member_field.descend(&["zone"]);
        if !zone.has_fault() {
            if !catalogue.zones.contains_key(&member.zone) {
                zone.add_fault("a zone of the catalogue");
            } else if let Some(other) = zones.insert(&member.zone, name) {
                zone.add_fault(format!("another zone than that of member {other}"));
            }
        }
        check_unique(name, member, &member_field, first_uses);
        check_connections(member, &member_field);
    }
}

fn check_unique(
    name: &MemberName,
    member: &MemberEntry,
    member_field: &Field<'_>,
    first_uses: &mut FirstUses,
) {
    let path = member_field.path().to_owned();
    if let Some(other) = first_uses.names.insert(name.clone(), path.clone()) {
        member_field.add_fault(format!("a member name unique in the fleet, unlike {other}"));
    }
    let address = member_field.descend(&["address"]);
    if !address.has_fault()
        && let Some(other) = first_uses.addresses.insert(member.address, path)
    {
        address.add_fault(format!("an address unlike that of {other}"));
    }
}

/// Rejects limits with which the holder cannot fill the slots, or with which two
/// hosts that briefly disagree about the holder could exceed the limit.
fn check_connections(member: &MemberEntry, member_field: &Field<'_>) {
    if member_field.descend(&["connections"]).has_fault()
        || member_field.descend(&["slots"]).has_fault()
    {
        return;
    }
    let holder = member.connections * HOLDER_PERCENT / 100;
    let other = member.connections * OTHER_HOST_PERCENT / 100;
    if other == 0 {
        let min = 100_u32.div_ceil(OTHER_HOST_PERCENT);
        member_field.descend(&["connections"]).add_fault(format!(
            "at least {min}, so that {OTHER_HOST_PERCENT}% are one connection"
        ));
    } else if member.slots > holder {
        member_field.descend(&["slots"]).add_fault(format!(
            "at most {holder}, which is {HOLDER_PERCENT}% of the connections"
        ));
    }
}
