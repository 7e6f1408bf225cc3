//! Defines the records that the system keeps in the store.

use std::net::SocketAddr;

use burdockslip_directory::Member;
use burdockslip_types::{ErrorKind, MemberName, Result, Term, Zone, domain};
use error_stack::ResultExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Names the keys of the records.
pub mod keys {
    use burdockslip_types::GroupName;

    /// The prefix of all records.
    pub const ROOT: &str = "burdockslip/";
    /// The prefix of the hosts' registrations, each under the host's lease.
    pub const HOSTS: &str = "burdockslip/hosts/";
    /// The holder of the duty, under the holder's lease.
    pub const DUTY: &str = "burdockslip/duty";
    /// The lease that all hosts renew; ending it withdraws every permission.
    pub const FENCE: &str = "burdockslip/fence";

    /// Returns the key of a group's record.
    pub fn group(group: &GroupName) -> String {
        format!("burdockslip/groups/{group}")
    }
}

domain! {
    /// Holds who leads a database group.
    pub struct GroupRecord {
        /// The primary, or the one being replaced.
        pub primary: MemberName,
        /// Where the primary accepts connections. A member that crashed comes
        /// back at its address with its log, but under another name.
        pub address: SocketAddr,
        /// The term in which the primary leads.
        pub term: Term,
        /// The members whose logs may hold acknowledged commits, the primary
        /// included, whether they are registered at the moment or not.
        pub roster: Vec<Member>,
        /// The term at which replicas are stopped while the primary is being replaced.
        pub held: Option<Term>,
    }

    /// Holds where a host is reached by its peers.
    pub struct Registration {
        /// The address for peers.
        pub address: SocketAddr,
        /// The availability zone.
        pub zone: Zone,
        /// The processor time that the host has, in thousandths of a core.
        pub capacity: u32,
    }
}

/// Encodes a record.
pub(crate) fn encode(record: &impl Serialize) -> Result<Vec<u8>> {
    bincode::serde::encode_to_vec(record, bincode::config::standard())
        .change_context(ErrorKind::Internal)
}

/// Decodes a record.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (record, _) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .change_context(ErrorKind::Protocol)?;
    Ok(record)
}

impl GroupRecord {
    /// Reads a record from the store.
    ///
    /// # Errors
    ///
    /// Returns `Protocol` if the bytes are not a record.
    pub fn read(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }

    /// Returns whether a member is the primary, or a later run of it at the same
    /// address, which has its log.
    pub fn is_primary(&self, member: &Member) -> bool {
        member.name == self.primary || member.address == self.address
    }

    /// Returns whether the primary serves.
    pub const fn is_stable(&self) -> bool {
        self.held.is_none()
    }
}

impl Registration {
    /// Reads a record from the store.
    ///
    /// # Errors
    ///
    /// Returns `Protocol` if the bytes are not a record.
    pub fn read(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }

    /// Writes a record for the store.
    ///
    /// # Errors
    ///
    /// Returns `Internal` if it cannot be encoded.
    pub fn write(&self) -> Result<Vec<u8>> {
        encode(self)
    }
}
