//! The messages between an endpoint and the holder of a database.
//!
//! A unit is what a client sends up to the point where it waits for an answer: a
//! simple query, or extended-protocol messages up to `Sync`.

use std::time::Duration;

use burdockslip_types::{
    ClassName, ErrorKind, GroupName, LogPosition, MemberName, Organisation, Zone, domain,
};
use burdockslip_wire::TransactionState;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::stamp::HolderProof;

/// The name of the exchange that runs units; it is part of the protocol between hosts.
pub(crate) const EXECUTE: &str = "execute";

/// The error detail of a unit whose permission had expired on arrival.
///
/// Endpoints compare it to decide whether to renew the permission, so it is part
/// of the protocol between hosts.
pub(crate) const PERMISSION_EXPIRED: &str = "permission expired on the way to the database";

domain! {
    /// What a unit may do, which decides which members may run it.
    #[derive(Copy)]
    pub(crate) enum Access {
        /// A read; any member whose data is fresh enough may run it.
        Read,
        /// A write, or a statement that opens a transaction; only the primary may run it.
        Write,
    }

    /// Asks a holder to run one unit; the units of one stream share a transaction.
    pub(crate) struct RunUnit {
        /// The organisation that the request is charged to.
        pub(crate) organisation: Organisation,
        /// The class of the request.
        pub(crate) class: ClassName,
        /// The group of the database.
        pub(crate) group: GroupName,
        /// The member whose connections are used.
        pub(crate) member: MemberName,
        /// Whether the unit reads or writes.
        pub(crate) access: Access,
        /// The proof that the request is within the organisation's rate; `None`
        /// inside a transaction that an earlier unit has opened.
        pub(crate) proof: Option<HolderProof>,
        /// The priority of the class; higher values run first.
        pub(crate) priority: u8,
        /// The confirmed log position that a read must include; `None` if the
        /// session has not used the group yet.
        pub(crate) floor: Option<LogPosition>,
        /// The zone in which replicas are preferred.
        pub(crate) zone: Zone,
        /// The maximum age of the data that a read may return; `None` allows any.
        pub(crate) max_age: Option<Duration>,
        /// The time left until the deadline when the message was sent.
        pub(crate) remaining: Duration,
        /// The request identifier that is recorded with the write, if the client gave one.
        pub(crate) request: Option<String>,
        /// Whether the answer may be forwarded before the unit has ended.
        pub(crate) may_stream: bool,
        /// The encoded messages for the database.
        pub(crate) frames: Bytes,
        /// The number of leading `ParseComplete` messages that answer messages
        /// added by the proxy and are not forwarded.
        pub(crate) injected: usize,
        /// The names of the prepared statements to close after the unit or its transaction.
        pub(crate) statements: Vec<String>,
    }
}

/// The result of a unit that has completed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Done {
    /// The confirmed log position that the session has now seen; `None` while a
    /// transaction is open.
    pub(crate) position: Option<LogPosition>,
    /// The transaction state after the unit.
    pub(crate) state: TransactionState,
}

/// The reason why a unit has failed; its transaction was rolled back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Failure {
    /// The kind of error.
    pub(crate) kind: ErrorKind,
    /// The error detail, without keys or values.
    pub(crate) detail: String,
    /// Whether any byte of the unit may have reached the database.
    pub(crate) is_sent: bool,
    /// The member to ask instead, if this one must not run the unit.
    pub(crate) redirect: Option<MemberName>,
}

/// The messages from a holder about a unit: any number of parts, then one `Done` or `Failed`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Event {
    /// A part of the answer; it may end inside a protocol message.
    Part(Bytes),
    /// The unit has completed.
    Done(Done),
    /// The unit has failed.
    Failed(Failure),
}

impl Failure {
    /// Creates a failure of a unit of which nothing was sent to the database.
    pub(crate) fn not_sent(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            is_sent: false,
            redirect: None,
        }
    }

    /// Creates a failure of a unit that was sent to the database, so that its outcome is unknown.
    pub(crate) fn sent(detail: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::OutcomeUnknown,
            detail: detail.into(),
            is_sent: true,
            redirect: None,
        }
    }
}
