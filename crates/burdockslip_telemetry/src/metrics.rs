//! The metrics of a host.

use std::sync::Arc;
use std::time::Duration;

use burdockslip_types::{ClassName, ErrorKind, GroupName, Organisation, Result};
use error_stack::Report;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry::{KeyValue, StringValue};
use opentelemetry_sdk::metrics::{Instrument, SdkMeterProvider, Stream};
use prometheus::{Registry, TextEncoder};

/// The maximum number of series of one metric, since each takes memory on a
/// small host. Further series are merged into `otel_metric_overflow`.
const MAX_SERIES: usize = 20_000;

/// The upper bounds of latency buckets, in seconds. They are close together
/// around the targets of `docs/design.md`, section 1.8: 100 µs of added
/// latency and a write gap of 1.5 s.
const LATENCY_BUCKETS: [f64; 16] = [
    0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 5.0,
    30.0,
];

/// The kind of member that served a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadSource {
    /// A replica of the group.
    Replica,
    /// The primary of the group.
    Primary,
}

/// The metrics of a host, rendered in the Prometheus text format.
///
/// Clones share the instruments.
#[derive(Debug, Clone)]
pub struct Metrics {
    // The registry collects through the provider, which must be kept alive.
    _provider: SdkMeterProvider,
    registry: Registry,
    latency: Histogram<f64>,
    wait: Histogram<f64>,
    requests: Counter<u64>,
    reads: Counter<u64>,
    proofs: Counter<u64>,
    commits: Counter<u64>,
    receipts: Counter<u64>,
    rate_refusals: Counter<u64>,
    returned: Counter<u64>,
    pace: PaceInstruments,
    failover: Histogram<f64>,
    pressure: PressureInstruments,
    connections: Gauge<u64>,
    config_age: Gauge<f64>,
    store_era: Gauge<u64>,
    unsettled_groups: Gauge<u64>,
    config_revision: Gauge<u64>,
    evacuated: Gauge<u64>,
}

/// The instruments of members that start, recover or are cold.
#[derive(Debug, Clone)]
struct PaceInstruments {
    permits: Counter<u64>,
    refusals: Counter<u64>,
    members: Gauge<u64>,
}

impl PaceInstruments {
    fn new(meter: &Meter) -> Self {
        Self {
            permits: counter(
                meter,
                "burdockslip_pace_permits",
                "Permits for statements to paced members that the coordinator granted.",
            ),
            refusals: counter(
                meter,
                "burdockslip_pace_refusals",
                "Statements that the pace of their member left no room for.",
            ),
            members: meter
                .u64_gauge("burdockslip_paced_members")
                .with_description("Members that start, recover or are cold.")
                .build(),
        }
    }
}

/// The instruments of statements that wait or are refused because room is short.
#[derive(Debug, Clone)]
struct PressureInstruments {
    refusals: Counter<u64>,
    turn: Histogram<f64>,
    waiting: Gauge<u64>,
    pressed: Gauge<u64>,
    lag: Gauge<f64>,
}

impl PressureInstruments {
    fn new(meter: &Meter) -> Self {
        Self {
            refusals: counter(
                meter,
                "burdockslip_pressure_refusals",
                "Operations refused before they were sent, by the room that was short and by rank.",
            ),
            turn: histogram(
                meter,
                "burdockslip_turn",
                "Time that statements wait for their turn at a member, by rank.",
            ),
            waiting: meter
                .u64_gauge("burdockslip_turn_queue")
                .with_description("Statements that wait for their turn at a member.")
                .build(),
            pressed: meter
                .u64_gauge("burdockslip_pressure_members")
                .with_description("Members from which statements are held back.")
                .build(),
            lag: meter
                .f64_gauge("burdockslip_pressure_lag")
                .with_unit("s")
                .with_description("Average time that ready tasks wait for processor time.")
                .build(),
        }
    }
}

impl Metrics {
    /// Creates the instruments and the exporter.
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
            receipts: counter(
                &meter,
                "burdockslip_receipts",
                "Commits that needed the receipt of a replica, by whether it was confirmed.",
            ),
            rate_refusals: counter(
                &meter,
                "burdockslip_rate_refusals",
                "Operations refused for want of a rate token, by who refused them.",
            ),
            returned: counter(
                &meter,
                "burdockslip_tokens_returned",
                "Rate tokens given back by operations that were not sent to a member.",
            ),
            pace: PaceInstruments::new(&meter),
            failover: histogram(
                &meter,
                "burdockslip_failover",
                "Time of each phase of a change of primary.",
            ),
            pressure: PressureInstruments::new(&meter),
            connections: meter
                .u64_gauge("burdockslip_connections")
                .with_description("Open client connections.")
                .build(),
            config_age: meter
                .f64_gauge("burdockslip_config_age")
                .with_unit("s")
                .with_description("Time since the configuration was last confirmed.")
                .build(),
            config_revision: meter
                .u64_gauge("burdockslip_config_revision")
                .with_description("Revision of the configuration in force.")
                .build(),
            evacuated: meter
                .u64_gauge("burdockslip_evacuated_zones")
                .with_description("Availability zones to which nothing more is sent.")
                .build(),
            store_era: meter
                .u64_gauge("burdockslip_store_era")
                .with_description("How often the store has come back from an older copy.")
                .build(),
            unsettled_groups: meter
                .u64_gauge("burdockslip_unsettled_groups")
                .with_description("Groups whose records have not been brought back since.")
                .build(),
            _provider: provider,
            registry,
        })
    }

    /// Returns the metrics of one organisation and class, to be reused by many requests.
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
                KeyValue::new("organisation", shared_label(organisation.as_str())),
                KeyValue::new("class", shared_label(class.as_str())),
            ],
        }
    }

    /// Counts a read of a group by the kind of member that served it.
    pub fn count_read(&self, group: &GroupName, source: ReadSource) {
        let source = match source {
            ReadSource::Replica => "replica",
            ReadSource::Primary => "primary",
        };
        let group = KeyValue::new("group", group.as_str().to_owned());
        self.reads.add(1, &[group, KeyValue::new("source", source)]);
    }

    /// Counts a proof that primaries may be used, by its source, such as `store`.
    pub fn count_proof(&self, source: &'static str) {
        self.proofs.add(1, &[KeyValue::new("source", source)]);
    }

    /// Counts an acknowledged commit, by the source of the newest proof that the
    /// primary may be used.
    pub fn count_commit(&self, source: &'static str) {
        self.commits.add(1, &[KeyValue::new("source", source)]);
    }

    /// Counts a commit of a group with excluded members, by whether a replica has confirmed
    /// that it holds the commit.
    pub fn count_receipt(&self, is_confirmed: bool) {
        let outcome = if is_confirmed {
            "confirmed"
        } else {
            "withheld"
        };
        self.receipts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an operation that got no rate token, by the reason, such as `relay`.
    pub fn count_rate_refusal(&self, reason: &'static str) {
        self.rate_refusals
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a rate token that was given back.
    pub fn count_token_returned(&self) {
        self.returned.add(1, &[]);
    }

    /// Counts permits for statements to paced members that this host received.
    pub fn count_pace_permits(&self, count: u64) {
        self.pace.permits.add(count, &[]);
    }

    /// Counts a statement to a group that the pace of its member left no room for.
    pub fn count_pace_refusal(&self, group: &GroupName) {
        let group = KeyValue::new("group", group.as_str().to_owned());
        self.pace.refusals.add(1, &[group]);
    }

    /// Sets the number of members that this host paces.
    pub fn set_paced_members(&self, count: u64) {
        self.pace.members.record(count, &[]);
    }

    /// Records the duration of one phase of a failover, such as `detection`.
    pub fn record_failover(&self, group: &GroupName, phase: &'static str, duration: Duration) {
        let group = KeyValue::new("group", group.as_str().to_owned());
        let phase = KeyValue::new("phase", phase);
        self.failover
            .record(duration.as_secs_f64(), &[group, phase]);
    }

    /// Counts an operation that was refused before it was sent, by the room that was short,
    /// such as `member`, and by the rank of the operation.
    pub fn count_pressure_refusal(&self, room: &'static str, rank: &str) {
        let rank = KeyValue::new("rank", rank.to_owned());
        self.pressure
            .refusals
            .add(1, &[KeyValue::new("room", room), rank]);
    }

    /// Records how long a statement of a rank waited for its turn at a member.
    pub fn record_turn(&self, rank: &str, wait: Duration) {
        let rank = KeyValue::new("rank", rank.to_owned());
        self.pressure.turn.record(wait.as_secs_f64(), &[rank]);
    }

    /// Sets the number of members from which statements are held back, the number of
    /// statements that wait for their turn at a member, and the average time that ready
    /// tasks wait for processor time.
    pub fn set_pressure(&self, members: usize, waiting: usize, lag: Duration) {
        let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
        self.pressure.pressed.record(count(members), &[]);
        self.pressure.waiting.record(count(waiting), &[]);
        self.pressure.lag.record(lag.as_secs_f64(), &[]);
    }

    /// Sets the number of open client connections.
    pub fn set_connections(&self, count: u64) {
        self.connections.record(count, &[]);
    }

    /// Sets the revision of the configuration in force and the time since it was
    /// last confirmed.
    pub fn set_config(&self, revision: u64, age: Duration) {
        self.config_revision.record(revision, &[]);
        self.config_age.record(age.as_secs_f64(), &[]);
    }

    /// Sets the number of availability zones that are evacuated.
    pub fn set_evacuated(&self, zones: usize) {
        let zones = u64::try_from(zones).unwrap_or(u64::MAX);
        self.evacuated.record(zones, &[]);
    }

    /// Sets the era of the store and the number of groups whose records are not settled
    /// in it.
    pub fn set_store_era(&self, era: u64, unsettled: usize) {
        self.store_era.record(era, &[]);
        let unsettled = u64::try_from(unsettled).unwrap_or(u64::MAX);
        self.unsettled_groups.record(unsettled, &[]);
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

/// The request metrics of one organisation and class.
#[derive(Debug, Clone)]
pub struct RequestMetrics {
    latency: Histogram<f64>,
    wait: Histogram<f64>,
    requests: Counter<u64>,
    labels: [KeyValue; 2],
}

impl RequestMetrics {
    /// Records the outcome and the total latency of a finished request.
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

/// Returns a label value that each request clones without copying the text.
fn shared_label(text: &str) -> StringValue {
    Arc::<str>::from(text).into()
}

fn histogram(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(description)
        .with_boundaries(LATENCY_BUCKETS.to_vec())
        .build()
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}
