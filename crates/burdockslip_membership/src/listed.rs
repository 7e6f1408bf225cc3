//! Parses the platform's list of hosts.

use std::net::SocketAddr;

use burdockslip_types::{ErrorKind, HostId, Result, Zone, domain};
use error_stack::{Report, ResultExt};

use crate::Peer;

/// The prefix of the store keys of the platform's list; the rest is the host name.
pub const LISTED_HOSTS_PREFIX: &str = "platform/hosts/";

domain! {
    /// A host in the platform's list, which lags behind the actual state.
    pub struct ListedHost {
        /// The host with its zone and address.
        pub peer: Peer,
        /// Whether the platform is about to stop the host.
        pub is_leaving: bool,
    }

    #[serde(rename_all = "snake_case")]
    enum Status {
        Live,
        Leaving,
    }

    struct Value {
        zone: Zone,
        address: SocketAddr,
        status: Status,
    }
}

impl ListedHost {
    /// Parses an entry such as `platform/hosts/h1` with the value
    /// `{"zone": "a", "address": "10.0.0.1:7000", "status": "live"}`.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the key or the value is malformed.
    pub fn parse(key: &str, value: &[u8]) -> Result<Self> {
        let host = key
            .strip_prefix(LISTED_HOSTS_PREFIX)
            .filter(|host| !host.is_empty())
            .ok_or_else(|| Report::new(ErrorKind::InvalidInput))?;
        let value: Value = serde_json::from_slice(value).change_context(ErrorKind::InvalidInput)?;
        Ok(Self {
            peer: Peer {
                host: HostId::from(host),
                zone: value.zone,
                address: value.address,
            },
            is_leaving: value.status == Status::Leaving,
        })
    }
}
