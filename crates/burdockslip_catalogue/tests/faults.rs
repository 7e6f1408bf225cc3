//! Guards the report of faults in a catalogue.

use burdockslip_catalogue::Catalogue;
use yare::parameterized;

const EXAMPLE: &str = include_str!("fixtures/catalogue.example.jsonc");

/// Replaces the first occurrence of `from` in the example, which must exist.
fn edited(from: &str, to: &str) -> String {
    assert!(EXAMPLE.contains(from), "the example has no {from}");
    EXAMPLE.replacen(from, to, 1)
}

/// Guards against faulty values that reach the hosts, and against a report
/// that names another place than the one edited.
#[parameterized(
    schema = { "\"version\": 1", "\"version\": 2", "version", "seen 2, wanted a whole number from 1 to 1" },
    unknown_field = { "\"weight\": 4", "\"wieght\": 4, \"weight\": 4", "organisations.northern-air.wieght", "an unknown field" },
    no_owner = { "{ \"owner\": \"sales\", \"rate\": 20,", "{ \"rate\": 20,", "organisations.visitor.owner", "seen nothing" },
    empty_owner = { "\"d\": { \"owner\": \"platform\" }", "\"d\": { \"owner\": \"\" }", "zones.d.owner", "a text that is not empty" },
    no_rate = { "\"rate\": 20,", "", "organisations.visitor.rate", "seen nothing" },
    zero_rate = { "\"rate\": 20", "\"rate\": 0", "organisations.visitor.rate", "seen 0" },
    small_burst = { "\"rate\": 400, \"burst\": 800", "\"rate\": 400, \"burst\": 39", "organisations.northern-air.burst", "seen 39, wanted at least 40, which is a tenth" },
    zone_burst = { "\"rate\": 400, \"burst\": 800", "\"rate\": 10, \"burst\": 19", "organisations.northern-air.burst", "seen 19, wanted at least 20, so that zone d" },
    equal_burst = { "\"rate\": 20, \"burst\": 60", "\"rate\": 20, \"burst\": 7", "organisations.visitor.burst", "wanted at least 8" },
    share_total = { "\"d\": 10 }", "\"d\": 20 }", "organisations.northern-air.shares", "seen a total of 110, wanted shares that add up to 100" },
    share_zone = { "\"d\": 10 }", "\"e\": 10 }", "organisations.northern-air.shares.e", "a zone of the catalogue" },
    unknown_route = { "\"routes\": [\"entitlements\"]", "\"routes\": [\"nothing\"]", "organisations.northern-air.routes[0]", "seen \"nothing\", wanted a route" },
    repeated_route = { "\"routes\": [\"entitlements\"]", "\"routes\": [\"lounges\", \"lounges\"]", "organisations.northern-air.routes[1]", "each name once" },
    unknown_group = { "\"group\": \"lounges\"", "\"group\": \"lounge\"", "routes.lounges.group", "a group of the catalogue" },
    unknown_class = { "[\"check\", \"admit\"]", "[\"check\", \"adnit\"]", "routes.entitlements.classes[1]", "a class of the catalogue" },
    no_class = { "[\"browse\"]", "[]", "routes.lounges.classes", "at least one class" },
    access = { "\"access\": \"write\"", "\"access\": \"both\"", "classes.admit.access", "\"read\" or \"write\"" },
    write_age = { "\"deadline\": \"2s\"", "\"max_age\": \"1s\", \"deadline\": \"2s\"", "classes.admit.max_age", "no maximum age" },
    zero_deadline = { "\"2s\"", "\"0s\"", "classes.admit.deadline", "from 1ms to 1h" },
    repeatable = { ", \"repeatable\": false", "", "classes.admit.repeatable", "true or false" },
    offline = { "\"offline_limit\": \"1h\"", "\"offline_limit\": 30", "classes.browse.offline_limit", "a time span" },
    unknown_zone = { "{ \"zone\": \"a\"", "{ \"zone\": \"x\"", "groups.entitlements.members.entitlements-1.zone", "a zone of the catalogue" },
    same_zone = { "\"entitlements-2\": { \"zone\": \"b\"", "\"entitlements-2\": { \"zone\": \"a\"", "groups.entitlements.members.entitlements-2.zone", "another zone than that of member entitlements-1" },
    same_address = { "10.0.2.22:5432", "10.0.1.21:5432", "groups.lounges.members.lounges-1.address", "unlike that of groups.entitlements.members.entitlements-1" },
    same_member = { "\"lounges-1\": {", "\"entitlements-1\": {", "groups.lounges.members.entitlements-1", "unique in the fleet" },
    key_as_user = { "\"user\": \"burdockslip\"", "\"user\": \"bsk_secret\"", "groups.entitlements.user", "seen \"(withheld)\", wanted a database user name" },
    many_slots = { "\"connections\": 40, \"slots\": 3", "\"connections\": 40, \"slots\": 29", "groups.entitlements.members.entitlements-1.slots", "at most 28" },
    few_connections = { "\"connections\": 40", "\"connections\": 6", "groups.entitlements.members.entitlements-1.connections", "at least 7" },
    repeated_entry = { "\"visitor\": {", "\"harbour-card\": {", "organisations.harbour-card", "a repeated field" },
    entry_name = { "\"visitor\": {", "\"a/b\": {", "organisations.a/b", "a name of lower-case" },
)]
fn one_fault(from: &str, to: &str, path: &str, expected: &str) {
    let text = edited(from, to);
    let faults = Catalogue::parse(&text).expect_err("the catalogue has a fault");
    assert_eq!(faults.list.len(), 1, "{faults}");
    assert_eq!(faults.list[0].path, path);
    assert!(faults.to_string().contains(expected), "{faults}");
    // A missing value is reported at the entry that lacks it.
    let entry = path.split('.').nth(1).unwrap_or_default();
    let anchor = match faults.list[0].seen.as_str() {
        "nothing" => format!("\"{entry}\": {{"),
        _ => from.to_owned(),
    };
    let offset = EXAMPLE.find(&anchor).expect("the example has the anchor");
    let line = EXAMPLE[..offset].matches('\n').count() + 1;
    assert_eq!(faults.list[0].location.line, line, "{faults}");
}

/// Guards against a report that stops at the first fault.
#[test]
fn all_faults_are_in_one_report() {
    let text = edited("\"weight\": 4", "\"weight\": 0")
        .replace("\"access\": \"write\"", "\"access\": 1")
        .replace("\"group\": \"lounges\"", "\"group\": \"lounge\"");
    let faults = Catalogue::parse(&text).expect_err("the catalogue has faults");
    let paths: Vec<_> = faults
        .list
        .iter()
        .map(|fault| fault.path.as_str())
        .collect();
    assert_eq!(
        paths,
        [
            "classes.admit.access",
            "routes.lounges.group",
            "organisations.northern-air.weight"
        ]
    );
}

/// Guards against a document without any entries that would stop all traffic.
#[test]
fn empty_catalogue_is_refused() {
    let faults = Catalogue::parse("{ \"version\": 1 }").expect_err("entries are missing");
    let paths: Vec<_> = faults
        .list
        .iter()
        .map(|fault| fault.path.as_str())
        .collect();
    assert_eq!(
        paths,
        ["classes", "groups", "organisations", "routes", "zones"]
    );
}
