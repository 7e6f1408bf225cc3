//! Guards the metrics and their text.

use std::time::Duration;

use burdockslip_telemetry::{Metrics, ReadSource};
use burdockslip_types::ErrorKind;
use yare::parameterized;

fn metrics() -> Metrics {
    let metrics = Metrics::new().expect("the exporter starts");
    let requests = metrics.request_metrics(&"acme".into(), &"check".into());
    requests.record(Ok(()), Duration::from_millis(3));
    requests.record(Ok(()), Duration::from_millis(30));
    requests.record(Err(ErrorKind::RateExceeded), Duration::from_mins(1));
    requests.record_wait(Duration::from_micros(150));
    metrics.count_read(&"orders".into(), ReadSource::Replica);
    metrics.count_read(&"orders".into(), ReadSource::Replica);
    metrics.count_read(&"orders".into(), ReadSource::Primary);
    metrics.count_proof("store");
    metrics.count_proof("replica");
    metrics.count_commit("replica");
    metrics.record_failover(&"orders".into(), "detection", Duration::from_millis(700));
    metrics.set_connections(12);
    metrics.set_config(34, Duration::from_millis(1500));
    metrics
}

/// Guards against metrics that are missing, renamed or counted in other units.
#[parameterized(
    outcome_ok = { "burdockslip_requests_total{class=\"check\",organisation=\"acme\",outcome=\"ok\",otel_scope_name=\"burdockslip\"} 2" },
    outcome_error = { "burdockslip_requests_total{class=\"check\",organisation=\"acme\",outcome=\"RateExceeded\",otel_scope_name=\"burdockslip\"} 1" },
    fast = { "burdockslip_request_seconds_bucket{class=\"check\",organisation=\"acme\",otel_scope_name=\"burdockslip\",le=\"0.005\"} 1" },
    slow = { "burdockslip_request_seconds_bucket{class=\"check\",organisation=\"acme\",otel_scope_name=\"burdockslip\",le=\"0.05\"} 2" },
    all = { "burdockslip_request_seconds_count{class=\"check\",organisation=\"acme\",otel_scope_name=\"burdockslip\"} 3" },
    wait = { "burdockslip_wait_seconds_bucket{class=\"check\",organisation=\"acme\",otel_scope_name=\"burdockslip\",le=\"0.0002\"} 1" },
    replica = { "burdockslip_reads_total{group=\"orders\",source=\"replica\",otel_scope_name=\"burdockslip\"} 2" },
    primary = { "burdockslip_reads_total{group=\"orders\",source=\"primary\",otel_scope_name=\"burdockslip\"} 1" },
    proof_store = { "burdockslip_proofs_total{source=\"store\",otel_scope_name=\"burdockslip\"} 1" },
    proof_replica = { "burdockslip_proofs_total{source=\"replica\",otel_scope_name=\"burdockslip\"} 1" },
    commit = { "burdockslip_commits_total{source=\"replica\",otel_scope_name=\"burdockslip\"} 1" },
    failover = { "burdockslip_failover_seconds_bucket{group=\"orders\",phase=\"detection\",otel_scope_name=\"burdockslip\",le=\"1\"} 1" },
    connections = { "burdockslip_connections{otel_scope_name=\"burdockslip\"} 12" },
    revision = { "burdockslip_config_revision{otel_scope_name=\"burdockslip\"} 34" },
    age = { "burdockslip_config_age_seconds{otel_scope_name=\"burdockslip\"} 1.5" },
)]
fn rendered(line: &str) {
    let text = metrics().render().expect("the encoder works");
    assert!(
        text.lines().any(|found| found == line),
        "{line} is not in\n{text}"
    );
}

/// Guards against series of many organisations that are merged into one: a
/// host must tell the worst-served organisation of 10,000.
#[test]
fn many_organisations_are_told_apart() {
    let metrics = Metrics::new().expect("the exporter starts");
    for index in 0..10_000 {
        let organisation = format!("o{index}").into();
        metrics
            .request_metrics(&organisation, &"c".into())
            .record_wait(Duration::ZERO);
    }
    let text = metrics.render().expect("the encoder works");
    assert!(text.contains("organisation=\"o9999\""));
    assert!(!text.contains("otel_metric_overflow"));
}
