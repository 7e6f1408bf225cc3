//! Tests the reading of documents and the report of their faults.

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

/// Guards against accepting text that is not JSON with comments, and against
/// reporting a wrong position of a syntax error.
#[parameterized(
    empty = { "", "f:1:1: (document): seen nothing, wanted an object" },
    only_comment = { "// x", "f:1:1: (document): seen nothing, wanted an object" },
    open_object = { "{\n  \"a\": 1", "f:1:1: (document): seen " },
    bare_name = { "{\n  a: 1 }", "f:2:3: (document): seen " },
    single_quotes = { "{ \"ä\": 'x' }", "f:1:8: (document): seen " },
    missing_comma = { "{ \"a\": 1 \"b\": 2 }", "f:1:9: (document): seen Expected comma" },
    two_values = { "{}\n{}", "f:2:1: (document): seen " },
)]
fn syntax_errors_are_reported_at_their_position(text: &str, expected: &str) {
    let report = faults(text, |_| ());
    assert!(report.starts_with(expected), "{report}");
}

/// Guards against deep nesting that overflows the stack, in the parser or while
/// the tree is built from its result.
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

/// Guards against accepting values of the wrong type or out of range.
#[parameterized(
    text = { "1", |f| drop(f.text()), "seen 1, wanted a text that is not empty" },
    blank = { "\" \"", |f| drop(f.text()), "seen \" \", wanted a text that is not empty" },
    name = { "\"A b\"", |f| drop(f.name()), "seen \"A b\", wanted a name" },
    boolean = { "\"true\"", |f| { f.boolean(); }, "seen \"true\", wanted true or false" },
    fraction = { "1.5", |f| { f.integer(1..=9); }, "seen 1.5, wanted a whole number from 1 to 9" },
    negative = { "-1", |f| { f.integer(0..=9); }, "seen -1, wanted a whole number" },
    above = { "10", |f| { f.integer(1..=9); }, "seen 10, wanted a whole number" },
    null = { "null", |f| { f.integer(1..=9); }, "seen null, wanted a whole number" },
    duration_number = { "30", |f| { f.duration(Duration::ZERO..=Duration::MAX); }, "seen 30, wanted a time" },
    duration_range = { "\"2h\"", |f| { f.duration(Duration::ZERO..=Duration::from_hours(1)); }, "from 0s to 1h" },
    host_name = { "\"localhost:1\"", |f| { f.address(); }, "wanted an IP address with a port" },
    choice = { "\"c\"", |f| { f.choice(&[("a", 1), ("b", 2)]); }, "wanted \"a\" or \"b\"" },
    list = { "{}", |f| drop(f.list()), "seen an object, wanted a list" },
    object = { "[1, 2]", |f| drop(f.object(&[])), "seen a list of 2, wanted an object" },
    unknown = { "{\"b\": 1}", |f| drop(f.object(&["a"])), "f:1:2: b: seen an unknown field, wanted one of a" },
    repeated = { "{\"a\": 1, \"a\": 2}", |f| drop(f.object(&["a"])), "f:1:10: a: seen a repeated field" },
    entry_name = { "{\"A\": 1}", |f| drop(f.entries()), "f:1:2: A: seen A, wanted a name" },
)]
fn invalid_values_are_faults(text: &str, reader: fn(&Field<'_>), expected: &str) {
    let report = faults(text, reader);
    assert!(report.contains(expected), "{report}");
}

/// Guards against a report that contains only the first fault or is not in document order.
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

/// Guards against quoting secrets and client keys, since reports are written to logs.
#[test]
fn secrets_and_keys_are_not_quoted() {
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

/// Guards against columns in bytes; editors count characters.
#[test]
fn columns_count_characters() {
    let error = read("{ \"äö\": 1, \"b\": 2 }", |root| {
        root.descend(&["b"]).boolean()
    });
    let faults = error.expect_err("a number is not a boolean");
    assert_eq!(
        faults.list[0].location,
        Location {
            line: 1,
            column: 12
        }
    );
}

/// Guards against wrong locations when a report has several faults, on one line
/// or added out of document order.
#[test]
fn each_of_several_faults_has_its_location() {
    let error = read("{\"a\":1,\"ö\":2,\n\"b\":3,\"c\":4}", |root| {
        for name in ["c", "a", "b", "ö"] {
            root.descend(&[name]).boolean();
        }
    });
    let faults = error.expect_err("numbers are not booleans").list;
    let locations: Vec<_> = faults
        .iter()
        .map(|fault| fault.location.to_string())
        .collect();
    assert_eq!(locations, ["1:2", "1:8", "2:1", "2:7"]);
}

/// Guards against names that are not valid in store keys.
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
fn names_are_checked(text: &str, expected: bool) {
    assert_eq!(is_name(text), expected);
}

/// Uses the same random numbers in every run, so that the result depends on the
/// source alone.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Guards against panics on arbitrary text.
    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC{0,200}") {
        let _ = read(&text, |root| root.entries().len());
    }

    /// Guards against panics on arbitrary sequences of JSON tokens.
    #[test]
    fn arbitrary_tokens_do_not_panic(
        tokens in proptest::collection::vec(
            prop::sample::select(vec![
                "{", "}", "[", "]", ",", ":", "\"a\"", "\"", "\\", "1", "-", "null", "//", "/*",
                "*/", "\n", " ", "ä", "\\u12",
            ]),
            0..60,
        ),
    ) {
        let _ = read(&tokens.concat(), |root| (root.entries().len(), root.list().len()));
    }
}
