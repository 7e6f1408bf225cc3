//! Keeps the metrics of a host.

use std::sync::Arc;
use std::time::Duration;

use burdockslip_types::{ClassName, ErrorKind, GroupName, Organisation, Result};
use error_stack::Report;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry::{KeyValue, StringValue};
use opentelemetry_sdk::metrics::{Instrument, SdkMeterProvider, Stream};
use prometheus::{Registry, TextEncoder};

/// Bounds the series of one metric, since each takes memory on a small host;
/// further ones are counted together under `otel_metric_overflow`.
const MAX_SERIES: usize = 20_000;

/// Gives the upper bounds of latency buckets in seconds, fine around the
/// targets of `docs/design.md`, section 1.8: 100 µs added, 1.5 s write gap.
const LATENCY_BOUNDS: [f64; 16] = [
    0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 5.0,
    30.0,
];

/// Says which member served a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadSource {
    /// A replica served it.
    Replica,
    /// The primary served it.
    Primary,
}

/// Keeps the metrics of a host and renders them for scraping.
///
/// The instruments are shared between clones.
#[derive(Debug, Clone)]
pub struct Metrics {
    // The registry reads through the provider, which must live as long.
    _provider: SdkMeterProvider,
    registry: Registry,
    latency: Histogram<f64>,
    wait: Histogram<f64>,
    requests: Counter<u64>,
    reads: Counter<u64>,
    proofs: Counter<u64>,
    commits: Counter<u64>,
    gap: Histogram<f64>,
    connections: Gauge<u64>,
    staleness: Gauge<f64>,
    revision: Gauge<u64>,
}

impl Metrics {
    /// Builds metrics that start at zero.
    ///
    /// # Errors
    ///
    /// Returns `Internal` if the exporter cannot be built.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| Report::new(error).change_context(ErrorKind::Internal))?;
        let provider = SdkMeterProvider::builder()
            .with_reader(reader)
            .with_view(|_: &Instrument| {
                let stream = Stream::builder().with_cardinality_limit(MAX_SERIES);
                stream.build().ok()
            })
            .build();
        let meter = provider.meter("burdockslip");
        Ok(Self {
            latency: histogram(
                &meter,
                "burdockslip_request",
                "Time from receiving a request to its last byte.",
            ),
            wait: histogram(
                &meter,
                "burdockslip_wait",
                "Time that a request waits for its rate token and in queues.",
            ),
            requests: counter(&meter, "burdockslip_requests", "Requests by outcome."),
            reads: counter(
                &meter,
                "burdockslip_reads",
                "Reads by the member that served.",
            ),
            proofs: counter(
                &meter,
                "burdockslip_proofs",
                "Proofs that primaries may be used, by their source.",
            ),
            commits: counter(
                &meter,
                "burdockslip_commits",
                "Commits that callers were told are kept, by the source of the newest proof.",
            ),
            gap: histogram(
                &meter,
                "burdockslip_failover",
                "Time of each phase of a change of primary.",
            ),
            connections: meter
                .u64_gauge("burdockslip_connections")
                .with_description("Open client connections.")
                .build(),
            staleness: meter
                .f64_gauge("burdockslip_config_age")
                .with_unit("s")
                .with_description("Time since the configuration was last confirmed.")
                .build(),
            revision: meter
                .u64_gauge("burdockslip_config_revision")
                .with_description("Revision of the configuration in force.")
                .build(),
            _provider: provider,
            registry,
        })
    }

    /// Returns the metrics of one organisation and class, for use by many requests.
    pub fn request_metrics(
        &self,
        organisation: &Organisation,
        class: &ClassName,
    ) -> RequestMetrics {
        RequestMetrics {
            latency: self.latency.clone(),
            wait: self.wait.clone(),
            requests: self.requests.clone(),
            labels: [
                KeyValue::new("organisation", shared(organisation.as_str())),
                KeyValue::new("class", shared(class.as_str())),
            ],
        }
    }

    /// Counts a read of a group by the member that served it.
    pub fn count_read(&self, group: &GroupName, source: ReadSource) {
        let source = match source {
            ReadSource::Replica => "replica",
            ReadSource::Primary => "primary",
        };
        let group = KeyValue::new("group", group.as_str().to_owned());
        self.reads.add(1, &[group, KeyValue::new("source", source)]);
    }

    /// Counts a proof that primaries may be used.
    pub fn count_proof(&self, source: &'static str) {
        self.proofs.add(1, &[KeyValue::new("source", source)]);
    }

    /// Counts a commit that a caller was told is kept, by the source of the
    /// newest proof that the primary may be used.
    pub fn count_commit(&self, source: &'static str) {
        self.commits.add(1, &[KeyValue::new("source", source)]);
    }

    /// Records how long a phase of a change of primary took, such as `detection`.
    pub fn record_failover(&self, group: &GroupName, phase: &'static str, span: Duration) {
        let group = KeyValue::new("group", group.as_str().to_owned());
        let phase = KeyValue::new("phase", phase);
        self.gap.record(span.as_secs_f64(), &[group, phase]);
    }

    /// Sets the number of open client connections.
    pub fn set_connections(&self, count: u64) {
        self.connections.record(count, &[]);
    }

    /// Sets the revision in force and the time since it was last confirmed.
    pub fn set_config(&self, revision: u64, age: Duration) {
        self.revision.record(revision, &[]);
        self.staleness.record(age.as_secs_f64(), &[]);
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns `Internal` if the encoder fails.
    pub fn render(&self) -> Result<String> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|error| Report::new(error).change_context(ErrorKind::Internal))
    }
}

/// Records the requests of one organisation and class.
#[derive(Debug, Clone)]
pub struct RequestMetrics {
    latency: Histogram<f64>,
    wait: Histogram<f64>,
    requests: Counter<u64>,
    labels: [KeyValue; 2],
}

impl RequestMetrics {
    /// Records the end of a request.
    pub fn record(&self, outcome: std::result::Result<(), ErrorKind>, latency: Duration) {
        let outcome = match outcome {
            Ok(()) => StringValue::from("ok"),
            Err(kind) => format!("{kind:?}").into(),
        };
        let [organisation, class] = self.labels.clone();
        let outcome = KeyValue::new("outcome", outcome);
        self.requests.add(1, &[organisation, class, outcome]);
        self.latency.record(latency.as_secs_f64(), &self.labels);
    }

    /// Records how long a request waited before it was sent to an upstream.
    pub fn record_wait(&self, wait: Duration) {
        self.wait.record(wait.as_secs_f64(), &self.labels);
    }
}

/// Makes a label that is cloned for each request without a copy of the text.
fn shared(text: &str) -> StringValue {
    Arc::<str>::from(text).into()
}

fn histogram(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(description)
        .with_boundaries(LATENCY_BOUNDS.to_vec())
        .build()
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}
