//! The options of a proxy.

use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_peer::Tls;
use burdockslip_types::{HostId, Zone};
use burdockslip_wire::ServerTls;

/// The addresses, limits and statements of one host.
#[derive(Debug, Clone)]
pub struct Options {
    /// The identifier of the host, unique within the fleet.
    pub host: HostId,
    /// The availability zone of the host.
    pub zone: Zone,
    /// The address on which the host listens for clients.
    pub client_address: SocketAddr,
    /// The address on which the host listens for other hosts.
    pub peer_address: SocketAddr,
    /// The TLS settings for clients; if set, clients have to use TLS.
    pub tls: Option<ServerTls>,
    /// The mutual TLS settings for connections between hosts; `None` leaves them unencrypted.
    pub peer_tls: Option<Tls>,
    /// The secret that signs session tokens, the same on all hosts.
    pub token_secret: Vec<u8>,
    /// The previous token secret, with which tokens are still accepted.
    pub older_secret: Option<Vec<u8>>,
    /// The password with which the host authenticates to databases.
    pub upstream_password: String,
    /// The statement that returns the status of a database.
    pub status_statement: String,
    /// The statement that fences a database in the term `{term}`.
    pub fence_statement: String,
    /// The statement that promotes a database in the term `{term}`.
    pub promote_statement: String,
    /// The statement that records the request identifier `{request}` and fails if
    /// it is already recorded. The placeholder is replaced by a quoted literal with
    /// the organisation in front.
    pub marker_statement: String,
    /// The maximum length of a message from a database, in bytes.
    pub message_limit: usize,
    /// The maximum length of a client's unit, in bytes; it has to fit into one
    /// message between hosts.
    pub unit_limit: usize,
    /// The maximum number of requests that wait for one database.
    pub queue_length: usize,
    /// The maximum number of requests of one organisation that wait for one database.
    pub organisation_queue: usize,
    /// The timeout for opening a connection to a database.
    pub connect_timeout: Duration,
    /// The maximum number of connected clients.
    pub client_limit: usize,
    /// The timeout for startup and authentication of a client.
    pub startup_timeout: Duration,
    /// The timeout for reading a unit, counted from when its first bytes arrive.
    pub unit_timeout: Duration,
    /// The timeout for writing a part of an answer to a client. It limits how long
    /// a client that does not read can occupy memory.
    pub write_timeout: Duration,
    /// The time after which an idle client is disconnected.
    pub idle_timeout: Duration,
    /// The time after which an idle transaction is rolled back, because it
    /// occupies a database connection that others may wait for.
    pub transaction_timeout: Duration,
    /// The maximum duration of a drain.
    pub drain_timeout: Duration,
    /// Whether this host connects to all databases itself, instead of sending
    /// requests to their holders.
    pub is_direct: bool,
}

impl Options {
    /// Returns the default options for a host with the given name, zone and addresses.
    pub fn new(
        host: &str,
        zone: &str,
        client_address: SocketAddr,
        peer_address: SocketAddr,
    ) -> Self {
        Self {
            host: host.into(),
            zone: zone.into(),
            client_address,
            peer_address,
            tls: None,
            peer_tls: None,
            token_secret: Vec::new(),
            older_secret: None,
            upstream_password: String::new(),
            status_statement: "SHOW burdockslip.status".to_owned(),
            fence_statement: "SELECT burdockslip_fence({term})".to_owned(),
            promote_statement: "SELECT burdockslip_promote({term})".to_owned(),
            marker_statement: "INSERT INTO burdockslip_marker (id) VALUES ({request})".to_owned(),
            message_limit: 16 << 20,
            unit_limit: 900_000,
            queue_length: 4_096,
            organisation_queue: 1_024,
            connect_timeout: Duration::from_secs(1),
            client_limit: 20_000,
            startup_timeout: Duration::from_secs(5),
            unit_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_mins(1),
            idle_timeout: Duration::from_hours(1),
            transaction_timeout: Duration::from_mins(1),
            drain_timeout: Duration::from_secs(30),
            is_direct: false,
        }
    }
}
