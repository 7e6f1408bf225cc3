//! The settings of an entry host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_pace::ColdLimit;
use burdockslip_types::{HostId, Region, Zone};

/// The settings of an entry host, supplied by an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// The name under which the host registers.
    pub host: HostId,
    /// The availability zone of the host.
    pub zone: Zone,
    /// The address at which clients connect.
    pub client_address: SocketAddr,
    /// The address at which the load balancer checks whether the host is ready.
    pub ready_address: SocketAddr,
    /// The address at which other hosts connect.
    pub peer_address: SocketAddr,
    /// The address at which metrics and the status are served.
    pub admin_address: SocketAddr,
    /// The maximum number of open client connections.
    pub sessions: usize,
    /// The memory for the values and prepared statements of all sessions, in bytes.
    pub state_bytes: usize,
    /// The memory for unfinished messages of all clients, in bytes.
    pub message_bytes: usize,
    /// The processor time available to the host, in thousandths of a core.
    pub capacity: u32,
    /// The bandwidth of the host's link, in megabits per second.
    pub link: u32,
    /// The number of operations beyond rate and burst that the operators tolerate
    /// for an organisation in a window.
    pub rate_slack: u32,
    /// The grace period: how long a planned stop may take.
    pub grace: Duration,
    /// The region of each availability zone; empty if the operators do not name any.
    pub regions: BTreeMap<Zone, Region>,
    /// How long after its request an availability zone may still receive statements that
    /// is to be evacuated; `None` if the operators do not evacuate zones.
    pub evacuation: Option<Duration>,
    /// The limit on statements to cold members; `None` if they are not limited.
    pub cold: Option<ColdLimit>,
    /// Whether statements that wait for room are served by the priority of their routes.
    pub is_prioritised: bool,
}
