//! Defines the settings of an entry host.

use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_types::{HostId, Zone};

/// Holds the settings of an entry host, as an adapter reads them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// The name of the host.
    pub host: HostId,
    /// The availability zone.
    pub zone: Zone,
    /// Where clients connect.
    pub client_address: SocketAddr,
    /// Where the balancer asks whether the host is ready.
    pub ready_address: SocketAddr,
    /// Where other hosts connect.
    pub peer_address: SocketAddr,
    /// Where metrics are served.
    pub admin_address: SocketAddr,
    /// Client connections that may be open at once.
    pub sessions: usize,
    /// The processor time of the host, in thousandths of a core.
    pub capacity: u32,
    /// Operations of an organisation beyond rate and burst that the operators
    /// tolerate in a window.
    pub rate_slack: u32,
    /// How long a planned stop may take.
    pub grace: Duration,
}
