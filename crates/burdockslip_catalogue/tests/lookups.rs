//! Tests parsing, rendering and lookups of a valid catalogue.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_catalogue::{Access, Catalogue, MAX_BYTES};
use burdockslip_types::ErrorKind;
use yare::parameterized;

const EXAMPLE: &str = include_str!("fixtures/catalogue.example.jsonc");

fn example() -> Catalogue {
    Catalogue::parse(EXAMPLE).expect("the example has no faults")
}

/// Guards against fields that are parsed wrongly and defaults that change.
#[test]
fn example_is_valid() {
    let catalogue = example();
    let class = catalogue.class("check").expect("the class is listed");
    assert_eq!(class.access, Access::Read);
    assert_eq!(class.max_age, Some(Duration::ZERO));
    assert_eq!(class.offline_limit, Duration::from_secs(30));
    let browse = catalogue.class("browse").expect("the class is listed");
    assert_eq!(browse.offline_limit, Duration::from_hours(1));
    assert_eq!(catalogue.members().count(), 6);
    let card = catalogue
        .organisation("harbour-card")
        .expect("it is listed");
    let shares: Vec<_> = card.shares.values().copied().collect();
    assert_eq!(shares, [25, 25, 25, 25]);
}

/// Guards against a document that changes its meaning when it is rendered.
#[test]
fn rendered_catalogue_parses_to_an_equal_one() {
    let catalogue = example();
    let text = catalogue.render();
    assert_eq!(
        Catalogue::parse(&text).expect("it has no faults"),
        catalogue
    );
}

/// Guards against organisations that can use routes of others.
#[parameterized(
    listed = { "harbour-card", "entitlements", None },
    open = { "visitor", "lounges", None },
    not_listed = { "visitor", "entitlements", Some(ErrorKind::RouteDenied) },
    unknown_route = { "visitor", "nothing", Some(ErrorKind::RouteDenied) },
    unknown_organisation = { "nobody", "lounges", Some(ErrorKind::RouteDenied) },
)]
fn routes_are_limited_to_organisations(organisation: &str, route: &str, error: Option<ErrorKind>) {
    let catalogue = example();
    let result = catalogue.route_for(organisation, route);
    assert_eq!(result.err().map(|report| *report.current_context()), error);
}

/// Guards against requests in a class that the route does not allow.
#[parameterized(
    default = { None, Ok("check") },
    named = { Some("admit"), Ok("admit") },
    of_another_route = { Some("browse"), Err(ErrorKind::UnknownClass) },
    unknown = { Some("nothing"), Err(ErrorKind::UnknownClass) },
)]
fn classes_are_limited_to_routes(class: Option<&str>, expected: Result<&str, ErrorKind>) {
    let catalogue = example();
    let route = catalogue.route("entitlements").expect("it is listed");
    let found = catalogue.class_for(route, class);
    let found = found.map(|(name, _)| name.as_str());
    assert_eq!(found.map_err(|report| *report.current_context()), expected);
}

/// Guards against documents that are too large for the store.
#[test]
fn size_is_bounded() {
    let text = format!("{EXAMPLE}//{}", "x".repeat(MAX_BYTES));
    let faults = Catalogue::parse(&text).expect_err("it is too large");
    assert_eq!(faults.list[0].wanted, "at most 1000000 bytes");
}

/// Guards against a limit that rejects a large catalogue, and against a
/// document without line breaks that is parsed differently.
#[test]
fn large_document_on_one_line_is_parsed() {
    let catalogue = example();
    let visitor = catalogue.organisation("visitor").expect("it is listed");
    let mut large = catalogue.clone();
    for index in 0..4000 {
        let name = format!("organisation-{index}").into();
        large.organisations.insert(name, Rc::clone(visitor));
    }
    let lines = large.render();
    let line: String = lines.lines().map(str::trim_start).collect();
    assert!(line.len() < MAX_BYTES, "{}", line.len());
    assert_eq!(Catalogue::parse(&line).expect("it has no faults"), large);
}
