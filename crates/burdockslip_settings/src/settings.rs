//! The settings of a host.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use burdockslip_jsonc::{Document, Fault, Faults, Field};
use burdockslip_types::{HostId, Zone};

use crate::{Secret, read};

/// The maximum size of a settings file, in bytes; the example with all its
/// comments has a few kilobytes.
const MAX_BYTES: usize = 256 * 1024;

/// All settings of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The name of the host, unique in the fleet.
    pub host: HostId,
    /// The availability zone in which the host runs.
    pub zone: Zone,
    /// The address on which clients connect.
    pub client_address: SocketAddr,
    /// The address on which other hosts connect.
    pub peer_address: SocketAddr,
    /// The address on which metrics, health, readiness and status are served.
    pub admin_address: SocketAddr,
    /// How the host connects to the platform's store.
    pub store: StoreSettings,
    /// The peer addresses of hosts from which the host list is fetched at startup.
    pub seeds: Vec<SocketAddr>,
    /// How connections with clients and other hosts are encrypted.
    pub tls: Tls,
    /// The secrets that sign session tokens.
    pub tokens: TokenSettings,
    /// How the host connects to databases.
    pub upstreams: UpstreamSettings,
    /// The limits on what the host holds in memory.
    pub limits: Limits,
    /// The timeouts of connections, transactions and control messages.
    pub timeouts: Timeouts,
    /// How long open transactions may continue when the host shuts down.
    pub drain_deadline: Duration,
    /// The SQL statements with which the host controls databases.
    pub statements: Statements,
    /// The log filter, in the syntax of `tracing_subscriber::EnvFilter`, such as
    /// `info,h2=warn`.
    pub log_filter: String,
}

/// How the host connects to the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSettings {
    /// The addresses of the store's endpoints, tried in turn; at least one.
    pub endpoints: Vec<SocketAddr>,
    /// How long the host waits for the response to a call.
    pub timeout: Duration,
}

/// How connections are encrypted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Tls {
    /// Nothing is encrypted; for tests and for networks that encrypt all traffic.
    Plain,
    /// Clients and hosts use TLS. Hosts authenticate each other by
    /// certificates that the authority has issued.
    Files {
        /// The path of the certificate chain in PEM.
        certificate: PathBuf,
        /// The path of the private key in PEM.
        key: PathBuf,
        /// The path of the certificates of the certificate authority in PEM.
        authority: PathBuf,
    },
}

/// The secrets that sign session tokens, which must be the same on every host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenSettings {
    /// The secret that signs new tokens, at least 32 bytes.
    pub secret: Secret,
    /// Another secret whose tokens are accepted, during a rotation.
    pub older: Option<Secret>,
}

/// How the host connects to databases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// Which hosts connect to a database.
    pub mode: UpstreamMode,
    /// The password of the database users in the catalogue, or `None` if the
    /// databases require none.
    pub password: Option<Secret>,
}

/// Which hosts connect to a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamMode {
    /// The holder, one host for each database, pools its connections for all hosts.
    Pooled,
    /// Every host connects directly; the baseline for comparisons.
    Direct,
}

/// Limits on what the host holds in memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of open client connections.
    pub connections: usize,
    /// The maximum size of one message from a client or database, in bytes.
    pub message_bytes: usize,
    /// The maximum size of one unit (a complete request), in bytes. A unit is
    /// forwarded between hosts in one message.
    pub unit_bytes: usize,
    /// The maximum number of requests that wait for one database.
    pub queue_length: usize,
    /// The maximum number of requests of one organisation that wait for one database.
    pub organisation_queue: usize,
}

/// The timeouts of connections, transactions and control messages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timeouts {
    /// How long opening a connection to a database or host may take.
    pub connect: Duration,
    /// How long a client may take from connecting to being authenticated.
    pub handshake: Duration,
    /// How long a client connection may be idle before it is closed.
    pub idle: Duration,
    /// How long a transaction may be without a request before it is rolled back.
    pub transaction: Duration,
    /// How long another host may take to respond to a control message.
    pub peer: Duration,
}

/// The SQL statements with which the host controls databases.
///
/// `{term}` is replaced by a number and `{request}` by a quoted literal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statements {
    /// Returns one row of text values: member, promised term, term and position
    /// of the last log entry, role, state.
    pub status: String,
    /// Makes the member promise `{term}`, after which it rejects lower terms.
    pub fence: String,
    /// Promotes the member to primary in `{term}`.
    pub promote: String,
    /// Inserts the marker `{request}`, which identifies the organisation and the
    /// request, and fails if the marker exists.
    pub marker: String,
}

impl Settings {
    /// Reads and validates a settings file, and checks that the files that it
    /// names can be read.
    ///
    /// # Errors
    ///
    /// Returns all faults in one report; a file that cannot be read is a fault.
    pub fn open(path: &Path) -> Result<Self, Faults> {
        let source = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            let fault = Fault {
                path: "(document)".to_owned(),
                location: burdockslip_jsonc::Location::default(),
                seen: error.to_string(),
                wanted: "a readable file".to_owned(),
            };
            Faults::new(vec![fault]).with_source(&source)
        })?;
        Self::check(&text, check_files).map_err(|faults| faults.with_source(&source))
    }

    /// Parses and validates settings without accessing the files that they name.
    ///
    /// # Errors
    ///
    /// Returns all faults in one report.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        Self::check(text, |_, _| ())
    }

    fn check(text: &str, more: impl FnOnce(&Self, &Field<'_>)) -> Result<Self, Faults> {
        let document = Document::parse(text, MAX_BYTES)?;
        document.read(|root| {
            let settings = read::settings(root);
            more(&settings, root);
            settings
        })
    }
}

fn check_files(settings: &Settings, root: &Field<'_>) {
    let Tls::Files {
        certificate,
        key,
        authority,
    } = &settings.tls
    else {
        return;
    };
    let files = [
        ("certificate", certificate),
        ("key", key),
        ("authority", authority),
    ];
    for (name, path) in files {
        let field = root.descend(&["tls", name]);
        if !field.has_fault()
            && let Err(error) = std::fs::File::open(path)
        {
            field.add_fault(format!("a readable file, not: {error}"));
        }
    }
}
