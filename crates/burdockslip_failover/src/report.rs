//! What hosts tell the coordinator about members and groups.

use burdockslip_types::{GroupName, LogPosition, MemberName, Revision, Term, domain};

use crate::Knowledge;

impl AcknowledgedCommit {
    /// Returns the later of two commits.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            lowest: self.lowest.max(other.lowest),
            highest: self.highest.max(other.highest),
        }
    }
}

domain! {
    /// The state of a host that concerns primaries and their replacement.
    pub struct GroupReport {
        /// The era of the store that the host knows.
        pub era: u64,
        /// The members that the host suspects to be lost.
        pub suspects: Vec<MemberName>,
        /// The groups of which the host knows that their primary is being replaced, with
        /// the terms at which their members are stopped.
        pub changing: Vec<(GroupName, Term)>,
        /// The groups of which the host knows that members are excluded, with the
        /// revisions of their records.
        pub excluding: Vec<(GroupName, Revision)>,
        /// The last commits that the host has acknowledged to clients.
        pub acknowledged: Vec<(GroupName, AcknowledgedCommit)>,
        /// What the host knew before the store was restored, if it was.
        pub knowledge: Option<Knowledge>,
    }

    /// The last commit of a group that was acknowledged to a client, between two positions.
    #[derive(Copy)]
    pub struct AcknowledgedCommit {
        /// The lowest position that the commit can have. A member that holds less must not
        /// be promoted.
        pub lowest: LogPosition,
        /// The position that the primary reported with the commit, which may cover later
        /// commits. A member that holds as much has the log of that primary.
        pub highest: LogPosition,
    }
}
