//! Guards reading of documents and the report of their faults.

use std::time::Duration;

use burdockslip_jsonc::{Document, Faults, Field, Location, is_name};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

const MAX_BYTES: usize = 1_000_000;

fn read<T>(text: &str, read: impl FnOnce(&Field<'_>) -> T) -> Result<T, Faults> {
    Document::parse(text, MAX_BYTES)?.read(read)
}

fn faults(text: &str, reader: impl FnOnce(&Field<'_>)) -> String {
    let faults = read(text, reader).expect_err("the document has faults");
    faults.with_source("f").to_string()
}

/// Guards against texts that are not JSON with comments, and against a
/// position that is not that of the fault.
#[parameterized(
    empty = { "", "f:1:1: (document): seen nothing, wanted an object" },
    only_comment = { "// x", "f:1:1: (document): seen nothing, wanted an object" },
    open_object = { "{\n  \"a\": 1", "f:1:1: (document): seen " },
    bare_name = { "{\n  a: 1 }", "f:2:3: (document): seen " },
    single_quotes = { "{ \"ä\": 'x' }", "f:1:8: (document): seen " },
    missing_comma = { "{ \"a\": 1 \"b\": 2 }", "f:1:9: (document): seen Expected comma" },
    two_values = { "{}\n{}", "f:2:1: (document): seen " },
)]
fn syntax(text: &str, expected: &str) {
    let report = faults(text, |_| ());
    assert!(report.starts_with(expected), "{report}");
}

/// Guards against a document whose nesting exhausts the stack, in the parser
/// or in the tree built from its result.
#[parameterized(
    lists = { "[", "]", 511 },
    objects = { "{\"a\":", "}", 255 },
)]
fn nesting_is_bounded(open: &str, close: &str, levels: usize) {
    let report = faults(&open.repeat(100_000), |_| ());
    assert!(
        report.contains("Maximum nesting depth exceeded"),
        "{report}"
    );
    let deepest = format!("{}1{}", open.repeat(levels), close.repeat(levels));
    assert_eq!(read(&deepest, |_| ()), Ok(()));
}

/// Guards against values of the wrong kind or outside of their range.
#[parameterized(
    text = { "1", |f| drop(f.text()), "seen 1, wanted a text that is not empty" },
    blank = { "\" \"", |f| drop(f.text()), "seen \" \", wanted a text that is not empty" },
    name = { "\"A b\"", |f| drop(f.name()), "seen \"A b\", wanted a name" },
    flag = { "\"true\"", |f| { f.boolean(); }, "seen \"true\", wanted true or false" },
    fraction = { "1.5", |f| { f.integer(1..=9); }, "seen 1.5, wanted a whole number from 1 to 9" },
    negative = { "-1", |f| { f.integer(0..=9); }, "seen -1, wanted a whole number" },
    above = { "10", |f| { f.integer(1..=9); }, "seen 10, wanted a whole number" },
    null = { "null", |f| { f.integer(1..=9); }, "seen null, wanted a whole number" },
    span_number = { "30", |f| { f.duration(Duration::ZERO..=Duration::MAX); }, "seen 30, wanted a time" },
    span_range = { "\"2h\"", |f| { f.duration(Duration::ZERO..=Duration::from_hours(1)); }, "from 0s to 1h" },
    host_name = { "\"localhost:1\"", |f| { f.address(); }, "wanted an IP address with a port" },
    choice = { "\"c\"", |f| { f.choice(&[("a", 1), ("b", 2)]); }, "wanted \"a\" or \"b\"" },
    list = { "{}", |f| drop(f.list()), "seen an object, wanted a list" },
    object = { "[1, 2]", |f| drop(f.object(&[])), "seen a list of 2, wanted an object" },
    unknown = { "{\"b\": 1}", |f| drop(f.object(&["a"])), "f:1:2: b: seen an unknown field, wanted one of a" },
    repeated = { "{\"a\": 1, \"a\": 2}", |f| drop(f.object(&["a"])), "f:1:10: a: seen a repeated field" },
    entry_name = { "{\"A\": 1}", |f| drop(f.entries()), "f:1:2: A: seen A, wanted a name" },
)]
fn values(text: &str, reader: fn(&Field<'_>), expected: &str) {
    let report = faults(text, reader);
    assert!(report.contains(expected), "{report}");
}

/// Guards against a report that stops at the first fault or is out of order.
#[test]
fn all_faults_are_in_one_report() {
    let text = "{\n  \"b\": [1,\n    \"x\"],\n  \"a\": true,\n}";
    let report = faults(text, |root| {
        let object = root.object(&["a", "b", "c"]);
        object.get("a").text();
        object.get("c").boolean();
        for element in object.get("b").list() {
            element.integer(5..=6);
        }
    });
    let lines: Vec<_> = report.lines().collect();
    assert_eq!(
        lines,
        [
            "f:1:1: c: seen nothing, wanted true or false",
            "f:2:9: b[0]: seen 1, wanted a whole number from 5 to 6",
            "f:3:5: b[1]: seen \"x\", wanted a whole number from 5 to 6",
            "f:4:3: a: seen true, wanted a text that is not empty",
        ]
    );
}

/// Guards against secrets and client keys in a report that ends up in a log.
#[test]
fn secrets_are_not_repeated() {
    let text = "{\"secret\": \"hunter2\", \"user\": \"bsk_AAAA\"}";
    let report = faults(text, |root| {
        root.descend(&["secret"]).secret(32);
        root.descend(&["user"]).name();
    });
    assert!(!report.contains("hunter2"), "{report}");
    assert!(!report.contains("AAAA"), "{report}");
    assert!(report.contains("seen a text of 7 bytes"), "{report}");
    let report = faults("{\"bsk_AAAA\": 1}", |root| drop(root.object(&["a"])));
    assert!(!report.contains("AAAA"), "{report}");
}

/// Guards against columns that count bytes, which editors do not.
#[test]
fn columns_count_characters() {
    let error = read("{ \"äö\": 1, \"b\": 2 }", |root| {
        root.descend(&["b"]).boolean()
    });
    let faults = error.expect_err("a number is no flag");
    assert_eq!(
        faults.list[0].location,
        Location {
            line: 1,
            column: 12
        }
    );
}

/// Guards against places that are worked out wrongly for several faults, also
/// on one line and out of order.
#[test]
fn places_of_many_faults() {
    let error = read("{\"a\":1,\"ö\":2,\n\"b\":3,\"c\":4}", |root| {
        for name in ["c", "a", "b", "ö"] {
            root.descend(&[name]).boolean();
        }
    });
    let faults = error.expect_err("numbers are no flags").list;
    let places: Vec<_> = faults
        .iter()
        .map(|fault| fault.location.to_string())
        .collect();
    assert_eq!(places, ["1:2", "1:8", "2:1", "2:7"]);
}

/// Guards against names that break store keys.
#[parameterized(
    plain = { "a-1_b", true },
    longest = { "123456789012345678901234567890123456789012345678901234567890123", true },
    too_long = { "1234567890123456789012345678901234567890123456789012345678901234", false },
    empty = { "", false },
    slash = { "a/b", false },
    dot = { "a.b", false },
    upper = { "Ab", false },
    dash_first = { "-a", false },
)]
fn names(text: &str, expected: bool) {
    assert_eq!(is_name(text), expected);
}

/// Runs every property with the same numbers each time, so that a verdict depends on the tree alone.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Guards against a parser that panics on any text.
    #[test]
    fn any_text_is_handled(text in "\\PC{0,200}") {
        let _ = read(&text, |root| root.entries().len());
    }

    /// Guards against a parser that panics on texts made of JSON's own parts.
    #[test]
    fn any_parts_are_handled(
        parts in proptest::collection::vec(
            prop::sample::select(vec![
                "{", "}", "[", "]", ",", ":", "\"a\"", "\"", "\\", "1", "-", "null", "//", "/*",
                "*/", "\n", " ", "ä", "\\u12",
            ]),
            0..60,
        ),
    ) {
        let _ = read(&parts.concat(), |root| (root.entries().len(), root.list().len()));
    }
}
