//! Reads the settings from a document and checks every field.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use burdockslip_jsonc::Field;
use tracing_subscriber::EnvFilter;

use crate::{
    Limits, Secret, Settings, Statements, StoreSettings, Timeouts, Tls, TokenSettings,
    UpstreamMode, UpstreamSettings,
};

/// Gives the least bytes of a token secret: the security level of HMAC-SHA-256.
const MIN_SECRET: usize = 32;

/// Bounds the client connections of a host: 5.9 million over 670 hosts are
/// about 8,800, and a host must take over from others.
const MAX_CONNECTIONS: u64 = 200_000;

/// Bounds a message of a client or database, which is held in memory as a whole.
const MAX_MESSAGE: u64 = 64 << 20;

/// Bounds a request: it and its envelope fit into a message between hosts of 1 MiB.
const MAX_UNIT: u64 = 1_000_000;

/// Bounds queues.
const MAX_QUEUE: u64 = 1_000_000;

/// Bounds timeouts.
const MAX_TIMEOUT: Duration = Duration::from_mins(1);

/// Bounds the idle time of clients and the drain deadline.
const MAX_IDLE: Duration = Duration::from_hours(24);

pub(crate) fn settings(root: &Field<'_>) -> Settings {
    let object = root.object(&[
        "host",
        "zone",
        "client_address",
        "peer_address",
        "admin_address",
        "store",
        "seeds",
        "tls",
        "tokens",
        "upstreams",
        "limits",
        "timeouts",
        "drain_deadline",
        "statements",
        "log_filter",
    ]);
    let settings = Settings {
        host: object.get("host").name().into(),
        zone: object.get("zone").name().into(),
        client_address: object.get("client_address").address(),
        peer_address: object.get("peer_address").address(),
        admin_address: object.get("admin_address").address(),
        store: store(&object.get("store")),
        seeds: addresses(&object.get("seeds")),
        tls: tls(&object.get("tls")),
        tokens: tokens(&object.get("tokens")),
        upstreams: upstreams(&object.get("upstreams")),
        limits: limits(&object.get("limits")),
        timeouts: timeouts(&object.get("timeouts")),
        drain_deadline: span(
            &object.get("drain_deadline"),
            Duration::from_secs(30),
            MAX_IDLE,
        ),
        statements: statements(&object.get("statements")),
        log_filter: log_filter(&object.get("log_filter")),
    };
    distinct_addresses(&settings, root);
    let peer = root.descend(&["peer_address"]);
    if settings.peer_address.ip().is_unspecified() && !peer.has_fault() {
        peer.add_fault("the address by which other hosts reach this one");
    }
    settings
}

/// Refuses one address for two purposes; a port of 0 lets the system choose one.
fn distinct_addresses(settings: &Settings, root: &Field<'_>) {
    let addresses = [
        ("client_address", settings.client_address),
        ("peer_address", settings.peer_address),
        ("admin_address", settings.admin_address),
    ];
    for (index, (name, address)) in addresses.iter().enumerate() {
        let field = root.descend(&[name]);
        let mut earlier = addresses[..index].iter();
        if address.port() != 0
            && !field.has_fault()
            && let Some((other, _)) = earlier.find(|(_, other)| other == address)
        {
            field.add_fault(format!("an address other than {other}"));
        }
    }
}

fn store(field: &Field<'_>) -> StoreSettings {
    let object = field.object(&["endpoints", "timeout"]);
    let list = object.get("endpoints");
    let endpoints = addresses(&list);
    if endpoints.is_empty() && !list.has_fault() {
        list.add_fault("at least one address");
    }
    StoreSettings {
        endpoints,
        timeout: span(&object.get("timeout"), Duration::from_secs(1), MAX_TIMEOUT),
    }
}

fn addresses(field: &Field<'_>) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for element in field.list() {
        let address = element.address();
        if addresses.contains(&address) && !element.has_fault() {
            element.add_fault("each address once");
        }
        addresses.push(address);
    }
    addresses
}

fn tls(field: &Field<'_>) -> Tls {
    let object = field.object(&["plain", "certificate", "key", "authority"]);
    let names = ["certificate", "key", "authority"];
    if object.get("plain").optional(Field::boolean) == Some(true) {
        for name in names {
            let file = object.get(name);
            if file.is_present() {
                file.add_fault("no file, because plain is true");
            }
        }
        return Tls::Plain;
    }
    let [certificate, key, authority] = names.map(|name| PathBuf::from(object.get(name).text()));
    Tls::Files {
        certificate,
        key,
        authority,
    }
}

fn tokens(field: &Field<'_>) -> TokenSettings {
    let object = field.object(&["secret", "older"]);
    let secret = |field: &Field<'_>| Secret::new(field.secret(MIN_SECRET));
    TokenSettings {
        secret: secret(&object.get("secret")),
        older: object.get("older").optional(secret),
    }
}

fn upstreams(field: &Field<'_>) -> UpstreamSettings {
    if field.is_present() {
        let _ = field.object(&["mode", "password"]);
    }
    let modes = [
        ("pooled", UpstreamMode::Pooled),
        ("direct", UpstreamMode::Direct),
    ];
    let mode = field.descend(&["mode"]);
    let password = field.descend(&["password"]);
    UpstreamSettings {
        mode: mode
            .optional(|mode| mode.choice(&modes))
            .unwrap_or(UpstreamMode::Pooled),
        password: password.optional(|password| Secret::new(password.secret(1))),
    }
}

fn limits(field: &Field<'_>) -> Limits {
    let names = [
        "connections",
        "message_bytes",
        "unit_bytes",
        "queue_length",
        "organisation_queue",
    ];
    if field.is_present() {
        let _ = field.object(&names);
    }
    let bound = |name, default, least, most| {
        let value = field.descend(&[name]);
        let number = value.optional(|value| value.integer(least..=most));
        usize::try_from(number.unwrap_or(default)).unwrap_or(usize::MAX)
    };
    let limits = Limits {
        connections: bound("connections", 20_000, 1, MAX_CONNECTIONS),
        message_bytes: bound("message_bytes", 16 << 20, 1024, MAX_MESSAGE),
        unit_bytes: bound("unit_bytes", 900_000, 1024, MAX_UNIT),
        queue_length: bound("queue_length", 4096, 1, MAX_QUEUE),
        organisation_queue: bound("organisation_queue", 1024, 1, MAX_QUEUE),
    };
    let unit = field.descend(&["unit_bytes"]);
    if limits.unit_bytes > limits.message_bytes && !field.has_fault() {
        unit.add_fault_seen(
            limits.unit_bytes.to_string(),
            format!("at most message_bytes, which is {}", limits.message_bytes),
        );
    }
    let share = field.descend(&["organisation_queue"]);
    if limits.organisation_queue > limits.queue_length && !field.has_fault() {
        share.add_fault_seen(
            limits.organisation_queue.to_string(),
            format!("at most queue_length, which is {}", limits.queue_length),
        );
    }
    limits
}

fn timeouts(field: &Field<'_>) -> Timeouts {
    if field.is_present() {
        let _ = field.object(&["connect", "handshake", "idle", "transaction", "peer"]);
    }
    let value = |name, default, most| span(&field.descend(&[name]), default, most);
    Timeouts {
        connect: value("connect", Duration::from_secs(1), MAX_TIMEOUT),
        handshake: value("handshake", Duration::from_secs(10), MAX_TIMEOUT),
        idle: value("idle", Duration::from_hours(1), MAX_IDLE),
        transaction: value("transaction", Duration::from_mins(1), MAX_IDLE),
        peer: value("peer", Duration::from_secs(1), MAX_TIMEOUT),
    }
}

fn span(field: &Field<'_>, default: Duration, most: Duration) -> Duration {
    let read = |field: &Field<'_>| field.duration(Duration::from_millis(1)..=most);
    field.optional(read).unwrap_or(default)
}

fn statements(field: &Field<'_>) -> Statements {
    let object = field.object(&["status", "fence", "promote", "marker"]);
    let text = |name: &str, wanted: &[&str]| {
        let statement = object.get(name);
        let text = statement.text();
        for placeholder in wanted {
            if !text.contains(placeholder) && !statement.has_fault() {
                statement.add_fault(format!("a statement that contains {placeholder}"));
            }
        }
        text
    };
    Statements {
        status: text("status", &[]),
        fence: text("fence", &["{term}"]),
        promote: text("promote", &["{term}"]),
        marker: text("marker", &["{request}"]),
    }
}

fn log_filter(field: &Field<'_>) -> String {
    if !field.is_present() {
        return "info".to_owned();
    }
    let filter = field.text();
    if !field.has_fault() && EnvFilter::try_new(&filter).is_err() {
        field.add_fault("a filter such as \"info,burdockslip_group=debug\"");
    }
    filter
}
