//! The status that a host reports about itself.

use burdockslip_types::{HostId, Revision, Zone, domain};

domain! {
    /// The status of a host, served as JSON under `/status`.
    pub struct HostStatus {
        /// The name of the host.
        pub host: HostId,
        /// The availability zone in which the host runs.
        pub zone: Zone,
        /// Whether the host accepts new clients.
        pub is_ready: bool,
        /// The revision of the configuration in force, zero if there is none.
        pub revision: Revision,
        /// The time since the configuration was last confirmed, in milliseconds.
        pub age_millis: u64,
        /// The number of open client connections.
        pub connections: u64,
        /// The availability zones that are evacuated.
        pub evacuated: Vec<Zone>,
    }
}
