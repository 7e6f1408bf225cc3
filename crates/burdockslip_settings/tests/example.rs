//! Guards the example that operators copy.

use std::path::Path;
use std::time::Duration;

use burdockslip_settings::{Settings, Tls, UpstreamMode};

const EXAMPLE: &str = include_str!("fixtures/host.example.jsonc");
const REQUIRED: &str = include_str!("fixtures/required.jsonc");

/// Guards against an example that no longer matches the fields.
#[test]
fn example_is_valid() {
    let settings = Settings::parse(EXAMPLE).expect("the example has no faults");
    assert_eq!(settings.host.as_str(), "entry-a1");
    assert_eq!(settings.store.endpoints.len(), 3);
    assert_eq!(settings.seeds.len(), 3);
    assert_eq!(settings.upstreams.mode, UpstreamMode::Pooled);
    assert_eq!(settings.limits.connections, 20_000);
    assert_eq!(settings.drain_deadline, Duration::from_secs(30));
    assert!(matches!(settings.tls, Tls::Files { .. }));
}

/// Guards against defaults that differ from those the example states.
#[test]
fn defaults_are_those_of_the_example() {
    let example = Settings::parse(EXAMPLE).expect("the example has no faults");
    let defaults = Settings::parse(REQUIRED).expect("the fields left out have defaults");
    let expected = Settings {
        log_filter: "info".to_owned(),
        ..example
    };
    assert_eq!(defaults, expected);
}

/// Guards against a start with certificates that are missing.
#[test]
fn open_checks_files() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/host.example.jsonc");
    let faults = Settings::open(&path).expect_err("the files do not exist");
    let paths: Vec<_> = faults
        .list
        .iter()
        .map(|fault| fault.path.as_str())
        .collect();
    assert_eq!(paths, ["tls.certificate", "tls.key", "tls.authority"]);
    assert!(faults.to_string().contains("host.example.jsonc:"));
}
