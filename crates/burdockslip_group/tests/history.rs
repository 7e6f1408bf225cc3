//! Tests the history checker on recorded histories: it accepts those without a
//! violation and reports every violation of the others.

use std::fs;
use std::path::{Path, PathBuf};

use burdockslip_group::history::{History, Violation, ViolationKind, check};

/// The number of fixture files, to detect a missing one.
const FIXTURE_COUNT: usize = 20;

/// A recorded history and the violations that it contains.
#[derive(Debug, serde::Deserialize)]
struct Fixture {
    about: String,
    history: History,
    violations: Vec<Violation>,
}

fn fixtures() -> Vec<(PathBuf, Fixture)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures");
    let entries = fs::read_dir(folder).expect("the folder is in the repository");
    let paths = entries.map(|entry| entry.expect("the folder can be listed").path());
    let load = |path: PathBuf| {
        let text = fs::read_to_string(&path).expect("fixtures are text");
        let fixture = serde_json::from_str(&text).expect("fixtures have the stated form");
        (path, fixture)
    };
    paths.map(load).collect()
}

/// Guards against a checker that misses a violation or reports a false one.
#[test]
fn recorded_histories_have_stated_outcomes() {
    let fixtures = fixtures();
    assert_eq!(fixtures.len(), FIXTURE_COUNT);
    for (path, fixture) in fixtures {
        let found = check(&fixture.history);
        let name = path.display();
        assert_eq!(found, fixture.violations, "{name}: {}", fixture.about);
    }
}

/// Guards against a kind of violation that no recorded history contains.
#[test]
fn every_kind_is_refused_once() {
    let fixtures = fixtures();
    let shown = fixtures.iter().flat_map(|(_, fixture)| &fixture.violations);
    let mut shown: Vec<_> = shown.map(|violation| violation.kind).collect();
    shown.sort_unstable();
    shown.dedup();
    let kinds = [
        ViolationKind::OwnWriteMissed,
        ViolationKind::ReadWentBack,
        ViolationKind::WriteLost,
        ViolationKind::MarkReplaced,
        ViolationKind::TermReplaced,
        ViolationKind::RunTwice,
        ViolationKind::TooStale,
        ViolationKind::DiscardedRead,
        ViolationKind::RanAnyway,
    ];
    assert_eq!(shown, kinds);
}
