//! Defines what a host says about itself.

use burdockslip_types::{HostId, Revision, Zone, domain};

domain! {
    /// Holds the status of a host, served as JSON under `/status`.
    pub struct HostStatus {
        /// The name of the host.
        pub host: HostId,
        /// The availability zone in which the host runs.
        pub zone: Zone,
        /// Whether the host takes new clients.
        pub is_ready: bool,
        /// The revision of the configuration in force, zero if there is none.
        pub revision: Revision,
        /// The milliseconds since the configuration was last confirmed.
        pub age_millis: u64,
        /// The open client connections.
        pub connections: u64,
    }
}
