//! Holds what an embedding program decides about a proxy.

use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_peer::Tls;
use burdockslip_types::{HostId, Zone};
use burdockslip_wire::ServerTls;

/// Sets the addresses, limits and statements of one host.
#[derive(Debug, Clone)]
pub struct Options {
    /// The identifier of the host, unique within the fleet.
    pub host: HostId,
    /// The availability zone of the host.
    pub zone: Zone,
    /// The address for clients.
    pub client_address: SocketAddr,
    /// The address for other hosts.
    pub peer_address: SocketAddr,
    /// The certificate and key for clients, which then have to use TLS.
    pub tls: Option<ServerTls>,
    /// What encrypts connections between hosts and authenticates both ends.
    pub peer_tls: Option<Tls>,
    /// The secret that signs session tokens, the same on all hosts.
    pub token_secret: Vec<u8>,
    /// A former secret that is still accepted.
    pub older_secret: Option<Vec<u8>>,
    /// The password sent to databases.
    pub upstream_password: String,
    /// The statement by which a database reports its status.
    pub status_statement: String,
    /// The statement that fences a database at the term `{term}`.
    pub fence_statement: String,
    /// The statement that promotes a database in the term `{term}`.
    pub promote_statement: String,
    /// The statement that records the request identifier `{request}`, a quoted
    /// literal with the organisation in front, and fails if it is there.
    pub marker_statement: String,
    /// The longest message, in bytes.
    pub message_limit: usize,
    /// The longest unit, in bytes; it has to fit into one message between hosts.
    pub unit_limit: usize,
    /// The most requests that wait for one database.
    pub queue_length: usize,
    /// The most requests of one organisation that wait for one database.
    pub organisation_queue: usize,
    /// The time within which a database has to accept a connection.
    pub connect_timeout: Duration,
    /// The most clients connected at the same time.
    pub client_limit: usize,
    /// The time within which a client has to authenticate.
    pub startup_timeout: Duration,
    /// The time within which the rest of a unit has to follow its first byte.
    pub unit_timeout: Duration,
    /// The time within which a client has to take a part of its answer; a
    /// slower one would hold memory for as long as it likes.
    pub write_timeout: Duration,
    /// The time after which an idle client is disconnected.
    pub idle_timeout: Duration,
    /// The time after which a transaction without a request is rolled back,
    /// since it holds a connection that others wait for.
    pub transaction_timeout: Duration,
    /// The time that a planned stop may take.
    pub drain_timeout: Duration,
    /// Whether requests go to the holder of a database or to a pool of this host.
    pub is_direct: bool,
}

impl Options {
    /// Returns the defaults for a host with the given identity and addresses.
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
