//! Defines the messages between the watchers of a group.

use std::time::Duration;

use burdockslip_types::{Exchange, GroupName, LogPosition, MemberName, Term, domain};

use crate::MemberStatus;

domain! {
    /// Passes on a member's report together with its age.
    pub struct Observation {
        /// The report.
        pub status: MemberStatus,
        /// The time since the watcher asked the member for it.
        pub age: Duration,
    }

    /// Lists the requests between watchers.
    pub enum WatchRequest {
        /// Asks for the other watcher's view.
        ///
        /// The request carries no reports: it may be delayed without limit, so
        /// the receiver could not bound their age.
        View {
            /// The group.
            group: GroupName,
        },
        /// Asks for the newest position that bounds the age of replicas.
        Freshness {
            /// The group.
            group: GroupName,
        },
        /// Announces a primary whose first entry is confirmed.
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

    /// Lists the replies between watchers.
    pub enum WatchReply {
        /// Answers `View`.
        View {
            /// What this watcher knows about the members.
            members: Vec<Observation>,
            /// The time since a working primary last answered this watcher,
            /// or zero if the watcher hears too few members to tell.
            silence: Duration,
        },
        /// Answers `Freshness`.
        Freshness {
            /// The term that a majority had promised.
            term: Term,
            /// A position at or past every write acknowledged by then.
            position: LogPosition,
            /// The time since the majority was asked.
            age: Duration,
            /// The newest position known to be confirmed.
            confirmed: LogPosition,
        },
        /// Reports that the watcher has nothing to answer with.
        Nothing,
    }
}

/// Names the exchange between the watchers of a group.
#[derive(Debug)]
pub struct Watch;

impl Exchange for Watch {
    type Request = WatchRequest;
    type Reply = WatchReply;
    const NAME: &'static str = "group.watch";
}
