//! The records about hosts that gossip messages carry.

use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_types::{HostId, Zone, domain};
use xxhash_rust::xxh3::xxh3_64_with_seed;

domain! {
    /// A host of the fleet as other hosts reach it.
    pub struct Peer {
        /// The name, unique in the fleet.
        pub host: HostId,
        /// The availability zone in which the host runs.
        pub zone: Zone,
        /// The address on which the host listens for other hosts.
        pub address: SocketAddr,
    }

    /// The state of a host.
    ///
    /// The order of the variants is significant: of two records with the same
    /// incarnation, the one with the later state wins.
    #[derive(Copy)]
    pub enum State {
        /// The host answers pings.
        Live,
        /// The host has not answered for some time. It can still refute the
        /// suspicion with a higher incarnation.
        Suspect,
        /// The host is shutting down.
        Leaving,
        /// The host has been silent for so long that it was removed.
        Gone,
    }

    /// What one host reports about the state of another.
    pub struct Record {
        /// The host that the record is about.
        pub peer: Peer,
        /// The number of times that the host has refuted a false record about
        /// itself. Only the host itself raises it.
        pub incarnation: u64,
        /// The reported state.
        pub state: State,
    }

    /// A record as gossip propagates it.
    pub struct Rumor {
        /// The propagated record.
        pub record: Record,
        /// How long the host has been silent, or zero if it is not.
        pub silence: Duration,
    }
}

impl Record {
    /// Returns whether the host is ranked; a suspect host still is.
    pub fn is_live(&self) -> bool {
        matches!(self.state, State::Live | State::Suspect)
    }

    /// Returns whether this record replaces `other` about the same host.
    pub(crate) fn is_newer(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Returns a checksum of the fields that must agree between hosts.
    ///
    /// It is zero for a host that is gone, because hosts forget such records at
    /// different times. Suspicion does not count either.
    pub(crate) fn checksum(&self) -> u64 {
        if self.state == State::Gone {
            return 0;
        }
        let seed = self.incarnation << 1 | u64::from(self.state == State::Leaving);
        xxh3_64_with_seed(self.peer.host.as_str().as_bytes(), seed)
    }
}
