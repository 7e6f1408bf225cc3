//! The interface to a member of a database group.

use std::fmt;
use std::rc::Rc;

use burdockslip_types::{LogPosition, MemberName, Result, Term, Zone, domain};
use futures::future::LocalBoxFuture;

domain! {
    /// The state that a member reports about itself.
    ///
    /// The member reads the promised term no earlier than the position. Otherwise
    /// the report would miss a promise made in between, and would count towards
    /// a confirmation although the member has promised a later term.
    pub struct MemberStatus {
        /// The member that reports.
        pub member: MemberName,
        /// The highest term that the member has promised. A member accepts no
        /// entries of a lower term.
        pub term: Term,
        /// The term and position of the last entry in the member's log.
        pub position: LogPosition,
        /// Whether the member acts as the primary of its promised term.
        pub is_primary: bool,
        /// Whether the member is about to stop and should get no new work.
        pub is_leaving: bool,
    }
}

/// Queries the state of a member.
pub type StatusFn = Rc<dyn Fn() -> LocalBoxFuture<'static, Result<MemberStatus>>>;

/// Sends a command for a term to a member and returns its state afterwards.
pub type TermFn = Rc<dyn Fn(Term) -> LocalBoxFuture<'static, Result<MemberStatus>>>;

/// The calls to one member of a group.
///
/// Calls need no timeout of their own: the watcher stops waiting for them.
#[derive(Clone)]
pub struct MemberClient {
    /// The name that the member reports in [`MemberStatus::member`].
    pub name: MemberName,
    /// The availability zone in which the member runs.
    pub zone: Zone,
    /// Queries the member's state.
    pub status: StatusFn,
    /// Makes the member promise a term durably and returns its state after the
    /// promise. Fails with `Conflict` if it has already promised this term or a
    /// higher one.
    pub fence: TermFn,
    /// Makes the member primary of a term that it has promised, writes the first
    /// entry of the term and returns the state after it. Fails with `Conflict`
    /// if the member has promised another term since.
    pub promote: TermFn,
}

impl fmt::Debug for MemberClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemberClient")
            .field("name", &self.name)
            .field("zone", &self.zone)
            .finish_non_exhaustive()
    }
}
