//! Defines what hosts tell each other about a host.

use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_types::{HostId, Zone, domain};
use xxhash_rust::xxh3::xxh3_64_with_seed;

domain! {
    /// Names a host with its zone and the address for other hosts.
    pub struct Peer {
        /// The name.
        pub host: HostId,
        /// The availability zone.
        pub zone: Zone,
        /// The address for other hosts.
        pub address: SocketAddr,
    }

    /// Lists the states of a host; of two reports with the same incarnation
    /// the later state in this list holds.
    #[derive(Copy)]
    pub enum State {
        /// The host answers.
        Live,
        /// The host has been silent; it may still object.
        Suspect,
        /// The host is shutting down.
        Leaving,
        /// The host is silent for good.
        Gone,
    }

    /// Reports the state of a host.
    pub struct Record {
        /// The host.
        pub peer: Peer,
        /// Counts the objections of the host to reports about it.
        pub incarnation: u64,
        /// The state.
        pub state: State,
    }

    /// Passes a record on.
    pub struct Rumor {
        /// The record.
        pub record: Record,
        /// How long the host has been silent, if it is suspected.
        pub silence: Duration,
    }
}

impl Record {
    /// Returns whether the host may take part in rankings.
    pub fn is_live(&self) -> bool {
        matches!(self.state, State::Live | State::Suspect)
    }

    /// Returns whether this report replaces `other` about the same host.
    pub(crate) fn is_newer(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Returns a checksum of what must agree between hosts, zero for a host
    /// that is gone: reports of it are forgotten at different times.
    pub(crate) fn checksum(&self) -> u64 {
        if self.state == State::Gone {
            return 0;
        }
        let seed = self.incarnation << 1 | u64::from(self.state == State::Leaving);
        xxh3_64_with_seed(self.peer.host.as_str().as_bytes(), seed)
    }
}
