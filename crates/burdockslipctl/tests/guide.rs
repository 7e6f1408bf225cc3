//! Checks that the operators' guide lists what the code defines.

use burdockslip_types::ErrorKind::{self, *};
use burdockslipctl::ExitStatus;
use yare::parameterized;

const GUIDE: &str = include_str!("../../../docs/operators.md");
const SETTINGS: &str = include_str!("../../burdockslip_settings/tests/fixtures/host.example.jsonc");
const CATALOGUE: &str =
    include_str!("../../burdockslip_catalogue/tests/fixtures/catalogue.example.jsonc");

const KINDS: [ErrorKind; 27] = [
    BadKey,
    KeyRevoked,
    RouteDenied,
    UnknownClass,
    RateExceeded,
    QueueFull,
    DeadlineExceeded,
    NoFreshData,
    NoPrimary,
    OutcomeUnknown,
    AlreadyRun,
    Draining,
    ConnectionLost,
    Protocol,
    TooLarge,
    NotSupported,
    Cancelled,
    ConfigMissing,
    StoreUnavailable,
    Conflict,
    InvalidInput,
    Internal,
    UnknownRoute,
    UnknownStatement,
    TransactionAborted,
    StatementFailed,
    StatementTimeout,
];

/// Guards against errors that clients receive and the guide does not explain.
#[test]
fn every_error_is_listed() {
    for (index, kind) in KINDS.into_iter().enumerate() {
        assert_eq!(
            kind as usize, index,
            "{kind:?} is not in the order of its definition"
        );
        let details = kind.details();
        let not_run = if details.did_not_run { "yes" } else { "no" };
        let line = format!(
            "| `{kind:?}` | {} | {} | {not_run} | {} |",
            details.sqlstate, details.message, details.hint
        );
        assert!(GUIDE.lines().any(|found| found == line), "missing: {line}");
    }
    let next = KINDS.len();
    let listed = GUIDE
        .lines()
        .filter(|line| line.ends_with(". |") && line.starts_with("| `"));
    assert_eq!(listed.count(), next);
}

/// Guards against exit codes that the guide does not explain.
#[parameterized(
    success = { ExitStatus::Success },
    failure = { ExitStatus::Failure },
    usage = { ExitStatus::Usage },
    invalid = { ExitStatus::Invalid },
    conflict = { ExitStatus::Conflict },
    unavailable = { ExitStatus::Unavailable },
    not_found = { ExitStatus::NotFound },
    incomplete = { ExitStatus::Incomplete },
    unknown = { ExitStatus::Unknown },
    different = { ExitStatus::Different },
)]
fn every_exit_code_is_listed(status: ExitStatus) {
    let start = format!("| {} | `{status:?}`: ", status.code());
    assert!(
        GUIDE.lines().any(|line| line.starts_with(&start)),
        "missing: {start}"
    );
}

/// Guards against fields of settings and catalogue that the guide does not explain.
#[parameterized(
    settings = { SETTINGS },
    catalogue = { CATALOGUE },
)]
fn every_field_is_listed(example: &str) {
    for line in example
        .lines()
        .filter(|line| !line.trim().starts_with("//"))
    {
        let mut quoted = line
            .split('"')
            .skip(1)
            .step_by(2)
            .zip(line.split('"').skip(2).step_by(2));
        for (name, after) in &mut quoted {
            let is_field = after.trim_start().starts_with(':');
            // In the examples, names of entries contain a hyphen or are a
            // single letter, except for those in `ENTRIES`.
            let is_entry = name.contains('-') || name.len() == 1 || ENTRIES.contains(&name);
            if is_field && !is_entry {
                let ends = [format!("{name}`"), format!("{name}."), format!(".{name}")];
                let is_listed = ends.iter().any(|end| GUIDE.contains(end.as_str()));
                assert!(is_listed, "{name} is missing");
            }
        }
    }
}

/// The entries of the example catalogue whose names look like those of fields.
const ENTRIES: [&str; 6] = [
    "entitlements",
    "lounges",
    "check",
    "admit",
    "browse",
    "visitor",
];
