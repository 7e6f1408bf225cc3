//! Defines what a member of a database group reports and can be asked to do.

use std::fmt;
use std::rc::Rc;

use burdockslip_types::{LogPosition, MemberName, Result, Term, Zone, domain};
use futures::future::LocalBoxFuture;

domain! {
    /// Reports the state of one member.
    ///
    /// The member reads the promised term no earlier than the position. Otherwise a
    /// promise made in between would be missed, and the report could count
    /// towards a confirmation that the promise no longer supports.
    pub struct MemberStatus {
        /// The member that reports.
        pub member: MemberName,
        /// The highest term that the member has promised.
        pub term: Term,
        /// The term and position of the last entry in the member's log.
        pub position: LogPosition,
        /// Whether the member acts as the primary of its promised term.
        pub is_primary: bool,
        /// Whether the member is about to stop and takes no new work.
        pub is_leaving: bool,
    }
}

/// Asks a member without arguments.
pub type StatusFn = Rc<dyn Fn() -> LocalBoxFuture<'static, Result<MemberStatus>>>;

/// Asks a member to act for a term.
pub type TermFn = Rc<dyn Fn(Term) -> LocalBoxFuture<'static, Result<MemberStatus>>>;

/// Holds the calls that reach one member of the group.
///
/// Calls may wait for ever; the group adds its own timeouts.
#[derive(Clone)]
pub struct MemberClient {
    /// The name of the member.
    pub name: MemberName,
    /// The availability zone in which the member runs.
    pub zone: Zone,
    /// Reports the member's state.
    pub status: StatusFn,
    /// Promises a term durably, once, and reports the state after the promise.
    /// Fails with `Conflict` if the term or a higher one was promised before.
    pub fence: TermFn,
    /// Becomes primary of a term, writes its first entry and reports the state
    /// after it. Fails with `Conflict` if another term was promised since.
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
