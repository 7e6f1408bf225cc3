//! The members of database groups.

use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_types::{GroupName, MemberName, Zone, domain};

domain! {
    /// The role that a member reports for itself.
    #[derive(Copy)]
    pub enum Role {
        /// The member accepts writes.
        Primary,
        /// The member follows a primary.
        Replica,
    }

    /// The record of a member, as the member itself reports it.
    pub struct Member {
        /// The name; after a crash a member may restart under another one.
        pub name: MemberName,
        /// The database group it belongs to.
        pub group: GroupName,
        /// The address at which it accepts connections.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: Zone,
        /// The number of statements that it runs concurrently.
        pub slots: u32,
        /// Whether it is about to leave the group.
        pub is_draining: bool,
        /// The role it reports, which may be out of date.
        pub role: Role,
        /// The time of its start in Unix milliseconds, which distinguishes two runs of
        /// a member.
        pub born: u64,
    }
}

/// A member with what its record says about the moment at which it was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// The member.
    pub member: Member,
    /// How much longer the member is cold, that is slow after its start; `None` if the
    /// record holds no valid time.
    pub cold: Option<Duration>,
}

impl Member {
    /// Returns whether two records are from the same run of a member. The log of a member
    /// is that of its run: a member that starts again under its name may hold nothing.
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.name == other.name && self.address == other.address && self.born == other.born
    }
}
