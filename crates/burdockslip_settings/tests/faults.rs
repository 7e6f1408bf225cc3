//! Tests the faults that are reported for invalid settings.

use burdockslip_settings::{Settings, Tls};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

const EXAMPLE: &str = include_str!("fixtures/host.example.jsonc");

/// Returns the example with the first occurrence of `from` replaced; panics if
/// there is none.
fn edited(from: &str, to: &str) -> String {
    assert!(EXAMPLE.contains(from), "the example has no {from}");
    EXAMPLE.replacen(from, to, 1)
}

/// Guards against invalid values that are accepted or reported at the wrong path.
#[parameterized(
    no_host = { "\"host\": \"entry-a1\",", "", "host: seen nothing, wanted a name" },
    host = { "\"entry-a1\"", "\"entry a1\"", "host: seen \"entry a1\"" },
    zone = { "\"zone\": \"a\"", "\"zone\": 1", "zone: seen 1" },
    host_name = { "\"10.0.1.11:5432\"", "\"localhost:5432\"", "client_address: seen \"localhost:5432\", wanted an IP address" },
    same_address = { "\"10.0.1.11:7401\"", "\"10.0.1.11:7400\"", "admin_address: seen \"10.0.1.11:7400\", wanted an address other than peer_address" },
    any_address = { "\"10.0.1.11:7400\"", "\"0.0.0.0:7400\"", "peer_address: seen \"0.0.0.0:7400\", wanted the address by which other hosts" },
    no_endpoint = { "[\"10.0.1.5:2379\", \"10.0.2.5:2379\", \"10.0.3.5:2379\"]", "[]", "store.endpoints: seen a list of 0, wanted at least one address" },
    endpoint_twice = { "\"10.0.2.5:2379\"", "\"10.0.1.5:2379\"", "store.endpoints[1]: seen \"10.0.1.5:2379\", wanted each address once" },
    store_timeout = { "\"timeout\": \"1s\"", "\"timeout\": \"0s\"", "store.timeout: seen \"0s\"" },
    seed = { "\"10.0.1.12:7400\"", "\"10.0.1.12\"", "seeds[0]: seen \"10.0.1.12\"" },
    no_key = { "\"key\": \"/etc/burdockslip/host.key\",", "", "tls.key: seen nothing" },
    plain_with_files = { "\"certificate\": \"/etc/burdockslip/host.pem\",\n    \"key\": \"/etc/burdockslip/host.key\",", "\"plain\": true,", "tls.authority: seen \"/etc/burdockslip/authority.pem\", wanted no file" },
    short_secret = { "replace-this-example-secret-with-32-random-bytes", "short", "tokens.secret: seen a text of 5 bytes, wanted a secret of at least 32 bytes" },
    mode = { "\"mode\": \"pooled\"", "\"mode\": \"shared\"", "upstreams.mode: seen \"shared\", wanted \"pooled\" or \"direct\"" },
    connections = { "\"connections\": 20000", "\"connections\": 0", "limits.connections: seen 0" },
    message_bytes = { "16777216", "67108865", "limits.message_bytes: seen 67108865" },
    unit_bytes = { "16777216", "4096", "limits.unit_bytes: seen 900000, wanted at most message_bytes, which is 4096" },
    password = { "\"mode\": \"pooled\"", "\"password\": \"\"", "upstreams.password: seen a text of 0 bytes, wanted a secret" },
    queue = { "\"organisation_queue\": 1024", "\"organisation_queue\": 5000", "limits.organisation_queue: seen 5000, wanted at most queue_length, which is 4096" },
    unknown_limit = { "\"queue_length\"", "\"queue_lenght\"", "limits.queue_lenght: seen an unknown field" },
    handshake = { "\"10s\"", "10", "timeouts.handshake: seen 10, wanted a time span" },
    drain = { "\"drain_deadline\": \"30s\"", "\"drain_deadline\": \"soon\"", "drain_deadline: seen \"soon\"" },
    fence = { "fence({term})", "fence(1)", "statements.fence: seen \"select burdockslip_fence(1)\", wanted a statement that contains {term}" },
    marker = { "{request})\"", "1)\"", "statements.marker: seen" },
    no_status = { "\"status\": \"show burdockslip.status\",", "", "statements.status: seen nothing" },
    log_filter = { "\"info,h2=warn\"", "\"info,=,==\"", "log_filter: seen \"info,=,==\", wanted a filter" },
    unknown = { "\"zone\": \"a\"", "\"zone\": \"a\", \"region\": \"x\"", "region: seen an unknown field" },
)]
fn fault_is_reported_with_its_path(from: &str, to: &str, expected: &str) {
    let faults = Settings::parse(&edited(from, to)).expect_err("the settings have a fault");
    assert_eq!(faults.list.len(), 1, "{faults}");
    assert!(faults.to_string().contains(expected), "{faults}");
}

/// Guards against a report that stops at the first fault.
#[test]
fn all_faults_are_in_one_report() {
    let faults = Settings::parse("{}").expect_err("everything is missing");
    let paths: Vec<_> = faults
        .list
        .iter()
        .map(|fault| fault.path.as_str())
        .collect();
    assert_eq!(
        paths,
        [
            "admin_address",
            "client_address",
            "host",
            "peer_address",
            "seeds",
            "statements",
            "statements.fence",
            "statements.marker",
            "statements.promote",
            "statements.status",
            "store",
            "store.endpoints",
            "tls",
            "tls.authority",
            "tls.certificate",
            "tls.key",
            "tokens",
            "tokens.secret",
            "zone",
        ]
    );
}

/// Guards against settings without encryption that still require certificate files.
#[test]
fn plain_needs_no_files() {
    let files = "\"certificate\": \"/etc/burdockslip/host.pem\",
    \"key\": \"/etc/burdockslip/host.key\",
    \"authority\": \"/etc/burdockslip/authority.pem\"";
    let settings = Settings::parse(&edited(files, "\"plain\": true")).expect("it is valid");
    assert_eq!(settings.tls, Tls::Plain);
}

/// Guards against token secrets in the debug output of the settings.
#[test]
fn printing_hides_secrets() {
    let settings = Settings::parse(EXAMPLE).expect("the example has no faults");
    assert_eq!(settings.tokens.secret.expose().len(), 48);
    assert!(!format!("{settings:?}").contains("replace-this"));
}

/// Fixes the seed, so that every run tests the same cases.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Guards against a parser that panics on a damaged file or shows the secret
    /// in a fault.
    #[test]
    fn damaged_file_is_handled(index: prop::sample::Index, length in 0_usize..40) {
        let start = EXAMPLE.floor_char_boundary(index.index(EXAMPLE.len()));
        let end = EXAMPLE.ceil_char_boundary((start + length).min(EXAMPLE.len()));
        if let Err(faults) = Settings::parse(&format!("{}{}", &EXAMPLE[..start], &EXAMPLE[end..])) {
            prop_assert!(!faults.to_string().contains("example-secret"), "{}", faults);
        }
    }
}
