//! Tests the command line, the exit codes and the completion script.

use std::ffi::OsString;
use std::path::Path;

use burdockslip_runtime::block_on;
use burdockslipctl::args::Burdockslipctl;
use burdockslipctl::{ExitStatus, Outcome, run};
use yare::parameterized;

const FIXTURES: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../burdockslip_catalogue/tests/fixtures"
);

fn parse(line: &str) -> Result<Burdockslipctl, String> {
    let words = line.split_whitespace().map(OsString::from).collect();
    Burdockslipctl::from_vec(words).map_err(|error| error.to_string())
}

fn run_line(line: &str) -> Outcome {
    block_on(run(parse(line).expect("the line is valid")))
}

/// Guards against documented commands and flags that the parser rejects.
#[parameterized(
    check = { "check f --json" },
    show = { "--store 127.0.0.1:1 show --output f" },
    diff = { "diff f --settings s" },
    apply = { "apply f --base b --wait --wait-seconds 3 --admin-port 80 --json" },
    issue = { "key issue acme --store 127.0.0.1:1 --store 127.0.0.1:2" },
    list = { "key list acme --json" },
    withdraw = { "key withdraw acme 0123456789abcdef" },
    status = { "status --admin-port 80 --json" },
    completion = { "completion bash" },
)]
fn valid_lines_are_accepted(line: &str) {
    parse(line).expect("the line is valid");
}

/// Guards against mistyped lines that run another command.
#[parameterized(
    empty = { "" },
    unknown = { "remove" },
    no_file = { "apply" },
    two_files = { "check a b" },
    no_id = { "key withdraw acme" },
    flag_of_another_command = { "check f --wait" },
    host_name = { "--store localhost:1 show" },
)]
fn invalid_lines_are_refused(line: &str) {
    parse(line).expect_err("the line is invalid");
}

/// Guards against exit codes that change between releases.
#[test]
fn exit_codes_are_stable() {
    let codes = [
        (ExitStatus::Success, 0),
        (ExitStatus::Failure, 1),
        (ExitStatus::Usage, 2),
        (ExitStatus::Invalid, 3),
        (ExitStatus::Conflict, 4),
        (ExitStatus::Unavailable, 5),
        (ExitStatus::NotFound, 6),
        (ExitStatus::Incomplete, 7),
        (ExitStatus::Unknown, 8),
        (ExitStatus::Different, 9),
    ];
    for (status, code) in codes {
        assert_eq!(status.code(), code);
    }
}

/// Guards against `check` needing a store or missing faults.
#[test]
fn check_reads_a_file() {
    let outcome = run_line(&format!("check {FIXTURES}/catalogue.example.jsonc"));
    assert_eq!(outcome.status, ExitStatus::Success);
    assert_eq!(
        outcome.text,
        "valid: 4 zones, 2 groups, 3 classes, 2 routes, 3 organisations"
    );
    let outcome = run_line(&format!("check {}/Cargo.toml", env!("CARGO_MANIFEST_DIR")));
    assert_eq!(outcome.status, ExitStatus::Invalid);
    let outcome = run_line("check /nonexistent");
    assert_eq!(outcome.status, ExitStatus::Failure);
}

/// Guards against commands that run without the address of a store.
#[test]
fn store_address_is_required() {
    assert_eq!(run_line("show").status, ExitStatus::Usage);
    let line = format!("show --settings {FIXTURES}/catalogue.example.jsonc");
    assert_eq!(run_line(&line).status, ExitStatus::Invalid);
}

/// Guards against a completion script that misses a command or flag.
#[test]
fn completion_has_every_command_and_flag() {
    let script = run_line("completion bash").text;
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/args.rs");
    let source = std::fs::read_to_string(path).expect("the source is there");
    let source = source
        .split("// generated start")
        .next()
        .expect("it is not empty");
    for line in source.lines().map(str::trim) {
        let word = match line.split_whitespace().collect::<Vec<_>>()[..] {
            ["cmd", "burdockslipctl", ..] => continue,
            ["cmd", word, ..] => word,
            ["optional" | "repeated", word, ..] if word.starts_with("--") => word,
            _ => continue,
        };
        assert!(script.contains(word), "{word} is missing");
    }
}
