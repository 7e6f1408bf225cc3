//! Guards the operators' guide against drifting from the code.

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

/// Guards against an error that clients get and cannot look up.
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

/// Guards against exit codes that scripts cannot look up.
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

/// Guards against fields that operators cannot look up.
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
            // Names of entries hold a hyphen or are a single letter in the example.
            let is_entry = name.contains('-') || name.len() == 1 || ENTRIES.contains(&name);
            if is_field && !is_entry {
                let ends = [format!("{name}`"), format!("{name}."), format!(".{name}")];
                let is_listed = ends.iter().any(|end| GUIDE.contains(end.as_str()));
                assert!(is_listed, "{name} is missing");
            }
        }
    }
}

/// Lists the entries of the example catalogue that are named by one word.
const ENTRIES: [&str; 6] = [
    "entitlements",
    "lounges",
    "check",
    "admit",
    "browse",
    "visitor",
];
