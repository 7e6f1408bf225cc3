//! Holds the settings of a host.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use burdockslip_jsonc::{Document, Fault, Faults, Field};
use burdockslip_types::{HostId, Zone};

use crate::{Secret, read};

/// Bounds a settings file; an example with all comments has a few kilobytes.
const MAX_BYTES: usize = 256 * 1024;

/// Holds all settings of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The name of the host, unique in the fleet.
    pub host: HostId,
    /// The availability zone in which the host runs.
    pub zone: Zone,
    /// Where clients connect.
    pub client_address: SocketAddr,
    /// Where other hosts connect.
    pub peer_address: SocketAddr,
    /// Where metrics, health and status are served.
    pub admin_address: SocketAddr,
    /// How the platform's store is reached.
    pub store: StoreSettings,
    /// The peer addresses of hosts that are asked for the host list at start.
    pub seeds: Vec<SocketAddr>,
    /// How connections with clients and hosts are encrypted.
    pub tls: Tls,
    /// What signs session tokens.
    pub tokens: TokenSettings,
    /// How databases are reached.
    pub upstreams: UpstreamSettings,
    /// The bounds on what the host holds in memory.
    pub limits: Limits,
    /// The times after which the host gives up.
    pub timeouts: Timeouts,
    /// The time that transactions have to end when the host stops.
    pub drain_deadline: Duration,
    /// The statements of the database interface.
    pub statements: Statements,
    /// What is logged, in the notation of `tracing`, such as `info,h2=warn`.
    pub log_filter: String,
}

/// Says how the platform's store is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSettings {
    /// The addresses of the store, tried in turn.
    pub endpoints: Vec<SocketAddr>,
    /// The time after which a call counts as unanswered.
    pub timeout: Duration,
}

/// Says how connections are encrypted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Tls {
    /// Nothing is encrypted; for tests and networks that encrypt themselves.
    Plain,
    /// Clients and hosts use TLS; hosts authenticate each other by certificates of the authority.
    Files {
        /// The path of the certificate chain in PEM.
        certificate: PathBuf,
        /// The path of the private key in PEM.
        key: PathBuf,
        /// The path of the authority's certificates in PEM.
        authority: PathBuf,
    },
}

/// Holds the secrets that sign session tokens, the same on every host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenSettings {
    /// The secret that signs.
    pub secret: Secret,
    /// A secret that is still accepted during a rotation.
    pub older: Option<Secret>,
}

/// Says how databases are reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// Who connects.
    pub mode: UpstreamMode,
    /// The password of the database users that the catalogue names, if they have one.
    pub password: Option<Secret>,
}

/// Says who connects to databases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamMode {
    /// The holder of a database pools its connections for all hosts.
    Pooled,
    /// Every host connects itself; the baseline for comparisons.
    Direct,
}

/// Bounds what the host holds in memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The client connections that may be open.
    pub connections: usize,
    /// The bytes of one message of a client or database.
    pub message_bytes: usize,
    /// The bytes of one complete request, which travels in one message between hosts.
    pub unit_bytes: usize,
    /// The requests that wait for one database.
    pub queue_length: usize,
    /// The requests of one organisation that wait for one database.
    pub organisation_queue: usize,
}

/// Holds the times after which the host gives up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timeouts {
    /// The time to open a connection to a database or host.
    pub connect: Duration,
    /// The time that a client has from connecting to being authenticated.
    pub handshake: Duration,
    /// The time after which an idle client connection is closed.
    pub idle: Duration,
    /// The time after which a transaction without a request is rolled back.
    pub transaction: Duration,
    /// The time in which a host must answer a control message.
    pub peer: Duration,
}

/// Holds the statements of the database interface.
///
/// `{term}` is replaced by a number and `{request}` by a quoted literal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statements {
    /// Returns one row of texts: member, promised term, term and position of
    /// the last log entry, role, state.
    pub status: String,
    /// Grants `{term}` and refuses lower ones.
    pub fence: String,
    /// Makes the member primary of `{term}`.
    pub promote: String,
    /// Inserts the marker `{request}`, which names organisation and request, and
    /// fails if it is there.
    pub marker: String,
}

impl Settings {
    /// Reads and checks a file, and whether the files that it names can be read.
    ///
    /// # Errors
    ///
    /// Returns all faults in one report, including a file that cannot be read.
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

    /// Parses and checks a text without looking at the files that it names.
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
