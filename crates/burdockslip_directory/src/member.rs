//! Defines the members of database groups.

use std::net::SocketAddr;

use burdockslip_types::{GroupName, MemberName, Zone, domain};

domain! {
    /// Says how a member sees itself.
    #[derive(Copy)]
    pub enum Role {
        /// The member accepts writes.
        Primary,
        /// The member follows a primary.
        Replica,
    }

    /// Holds what a member says about itself.
    pub struct Member {
        /// The identifier of the member.
        pub name: MemberName,
        /// Its database group.
        pub group: GroupName,
        /// Where it accepts connections.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: Zone,
        /// Statements that it runs at once.
        pub slots: u32,
        /// Whether it is about to leave.
        pub is_draining: bool,
        /// How it sees itself.
        pub role: Role,
        /// The Unix milliseconds of its start, which tell two runs under one name apart.
        pub born: u64,
    }
}
