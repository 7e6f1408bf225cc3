//! The messages between the watchers of a group.

use std::time::Duration;

use burdockslip_types::{Exchange, GroupName, LogPosition, MemberName, Term, domain};

use crate::MemberStatus;

domain! {
    /// A member's report and its age, as one watcher sends it to another.
    pub struct Observation {
        /// The state that the member reported.
        pub status: MemberStatus,
        /// The time since the watcher queried the member.
        pub age: Duration,
    }

    /// A request from one watcher to another.
    pub enum WatchRequest {
        /// Requests the other watcher's view.
        ///
        /// The request carries no reports of its own. It may be delayed without
        /// limit, so the receiver could not bound their age.
        View {
            /// The group.
            group: GroupName,
        },
        /// Requests the newest sample, which bounds the age of replicas.
        Freshness {
            /// The group.
            group: GroupName,
        },
        /// Announces a new primary whose first entry is confirmed.
        Promoted {
            /// The group.
            group: GroupName,
            /// The term of the primary.
            term: Term,
            /// The primary.
            primary: MemberName,
            /// The confirmed first entry of the term.
            position: LogPosition,
        },
    }

    /// The reply to a [`WatchRequest`].
    pub enum WatchReply {
        /// The reply to `WatchRequest::View`.
        View {
            /// The newest report of each member that has reported.
            members: Vec<Observation>,
            /// The time since an active primary last answered the watcher, or
            /// zero if the watcher does not reach a majority of members.
            silence: Duration,
        },
        /// The reply to `WatchRequest::Freshness`.
        Freshness {
            /// The term that a majority had promised.
            term: Term,
            /// A position at or past every write that had been acknowledged when
            /// the majority was queried.
            position: LogPosition,
            /// The time since the majority was queried.
            age: Duration,
            /// The newest position known to be confirmed.
            confirmed: LogPosition,
        },
        /// The watcher does not watch the group, has no sample yet, or received
        /// a request that needs no reply.
        Nothing,
    }
}

/// The exchange between the watchers of a group.
#[derive(Debug)]
pub struct Watch;

impl Exchange for Watch {
    type Request = WatchRequest;
    type Reply = WatchReply;
    const NAME: &'static str = "group.watch";
}
