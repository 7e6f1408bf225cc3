//! The records that the hosts keep in the store.

use std::net::SocketAddr;
use std::rc::Rc;

use burdockslip_directory::Member;
use burdockslip_types::{ErrorKind, MemberName, Result, Revision, Term, Zone, domain};
use error_stack::ResultExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::roster;

/// The maximum size of a decoded record, in bytes, the limit of the store's values.
const RECORD_LIMIT: usize = 1 << 20;

/// The keys of the records in the store.
pub mod keys {
    use burdockslip_types::GroupName;

    /// The prefix of all records.
    pub const ROOT: &str = "burdockslip/";
    /// The prefix of the hosts' registrations, each under the host's lease.
    pub const HOSTS: &str = "burdockslip/hosts/";
    /// The prefix of the keys of the duty, one for each era of the store.
    pub const DUTY: &str = "burdockslip/duty";
    /// The key of the rival: the record of a host that does not hear the coordinator,
    /// attached to a lease of its own.
    pub const RIVAL: &str = "burdockslip/rival";
    /// The key of the fence: the ID of a lease that all hosts renew. Revoking this
    /// lease withdraws every permission to use a primary.
    pub const FENCE: &str = "burdockslip/fence";
    /// The prefix of the records of groups.
    pub const GROUPS: &str = "burdockslip/groups/";

    /// Returns the key of the duty in an era of the store: the record of the coordinator,
    /// attached to its lease.
    ///
    /// Writes compare it, so that one that was sent in an earlier era finds no duty; see
    /// `docs/design/store-era.md`.
    pub fn duty(era: u64) -> String {
        if era == 0 {
            return DUTY.to_owned();
        }
        format!("{DUTY}.{era}")
    }

    /// Returns the key of a group's record.
    pub fn group(group: &GroupName) -> String {
        format!("{GROUPS}{group}")
    }
}

domain! {
    /// When a record was written, ordered over all eras of the store.
    #[derive(Copy, Default)]
    pub struct Stamp {
        /// The token of the tenure that wrote it.
        pub token: Revision,
        /// The number of records that the holder had written before.
        pub count: u64,
    }

    /// The primary of a database group and the members that may replace it.
    pub struct GroupRecord {
        /// The primary, or the one that is being replaced.
        pub primary: MemberName,
        /// The address at which the primary accepts connections. A member that
        /// crashed restarts at the same address with its log, but under a new name.
        pub address: SocketAddr,
        /// The term in which the primary leads.
        pub term: Term,
        /// The members whose logs may contain acknowledged commits, including the
        /// primary and members that are currently not registered.
        pub roster: Vec<Member>,
        /// The members that a change of primary does not wait for although they may
        /// still receive commits, and those that are about to become such members. See
        /// `docs/platform.md`, "Members that are gone".
        pub excluded: Vec<Member>,
        /// The runs of members that ended without leaving their logs to the next run,
        /// while their logs may have held commits that only the primary has as well. See
        /// `docs/platform.md`, "Members that come back empty".
        pub lost: Vec<Member>,
        /// The term at which replicas are stopped while the primary is being
        /// replaced; `None` while no change of primary is in progress.
        pub held: Option<Term>,
        /// When the record was written.
        pub stamp: Stamp,
    }

    /// The record with which a host announces itself to its peers.
    pub struct Registration {
        /// The address at which peers connect.
        pub address: SocketAddr,
        /// The availability zone of the host.
        pub zone: Zone,
        /// The processor time available to the host, in thousandths of a core.
        pub capacity: u32,
    }
}

/// Encodes a record for the store.
pub(crate) fn encode(record: &impl Serialize) -> Result<Vec<u8>> {
    bincode::serde::encode_to_vec(record, bincode::config::standard())
        .change_context(ErrorKind::Internal)
}

/// Decodes a record from the store.
///
/// Other programs may write to the store. Without the limit, a length that they
/// contain is allocated before it is compared with the bytes that follow.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<RECORD_LIMIT>();
    let (record, _) =
        bincode::serde::decode_from_slice(bytes, config).change_context(ErrorKind::Protocol)?;
    Ok(record)
}

impl GroupRecord {
    /// Decodes a record from the store.
    ///
    /// # Errors
    ///
    /// Returns `Protocol` if the bytes are not a group record.
    pub fn read(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }

    /// Returns whether a member is the primary or a later run of it, which has the
    /// same address and the same log.
    pub fn is_primary(&self, member: &Member) -> bool {
        member.name == self.primary || member.address == self.address
    }

    /// Returns whether the primary may count members as receivers of a commit that no
    /// change of primary waits for. Commits then need a receipt from another member; see
    /// [`can_confirm`](Self::can_confirm).
    pub const fn needs_receipts(&self) -> bool {
        !self.excluded.is_empty()
    }

    /// Returns whether every change of primary waits for the log of this run of a
    /// replica, so that a commit which it holds is kept.
    pub fn can_confirm(&self, member: &Member) -> bool {
        let is_listed = self.roster.iter().any(|known| known.is_same_run(member));
        is_listed && !self.excludes(member) && !self.is_primary(member)
    }

    /// Returns whether this run of a member is excluded.
    pub(crate) fn excludes(&self, member: &Member) -> bool {
        self.excluded.iter().any(|known| known.is_same_run(member))
    }

    /// Returns whether the primary has started again without its log, so that its answers
    /// say nothing about what it had acknowledged.
    pub(crate) fn has_lost_primary(&self) -> bool {
        self.lost.iter().any(|member| self.is_primary(member))
    }

    /// Returns whether a member is the primary or a later run of it with its log.
    pub(crate) fn has_primary_log(&self, member: &Member) -> bool {
        self.is_primary(member) && !self.has_lost_primary()
    }

    /// Returns whether a member is an empty run of a member on the roster: it has started
    /// again under the same name.
    pub(crate) fn is_emptied(&self, member: &Member) -> bool {
        let mut known = self.roster.iter();
        known.any(|known| known.name == member.name && known.born < member.born)
    }

    /// Adds registered members to the roster, which are no longer excluded then, and
    /// records the logs that they have lost.
    pub(crate) fn join(&mut self, registered: &[Rc<Member>]) {
        let has_lost_log = |known: &&Member| {
            let mut runs = registered.iter();
            runs.any(|member| known.name == member.name && known.born < member.born)
        };
        let lost = self.roster.iter().filter(has_lost_log).cloned();
        self.lost.extend(lost);
        self.roster = roster::merge(&self.roster, registered);
        self.excluded.retain(|member| {
            !registered
                .iter()
                .any(|other| roster::succeeds(other, member))
        });
    }

    /// Returns whether the record was written in `era` of the store. One that came with an
    /// older copy may have been replaced by a later one that is lost.
    pub const fn is_settled(&self, era: u64) -> bool {
        self.stamp.token.era() == era
    }

    /// Returns whether no change of primary is in progress.
    pub const fn is_stable(&self) -> bool {
        self.held.is_none()
    }
}

impl Registration {
    /// Decodes a record from the store.
    ///
    /// # Errors
    ///
    /// Returns `Protocol` if the bytes are not a registration.
    pub fn read(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }

    /// Encodes the record for the store.
    ///
    /// # Errors
    ///
    /// Returns `Internal` if the record cannot be encoded.
    pub fn write(&self) -> Result<Vec<u8>> {
        encode(self)
    }
}
