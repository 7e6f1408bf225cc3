//! Defines the messages between an endpoint and the holder of a database.

use std::time::Duration;

use burdockslip_types::{
    ClassName, ErrorKind, GroupName, LogPosition, MemberName, Organisation, Zone, domain,
};
use burdockslip_wire::TransactionState;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::stamp::HolderProof;

/// Names the stream on which units are executed.
pub(crate) const EXECUTE: &str = "execute";

/// Detail of a rejection because the permission had expired on arrival.
pub(crate) const EXPIRED: &str = "permission expired on the way to the database";

domain! {
    /// Says what a unit may do and so which members may run it.
    #[derive(Copy)]
    pub(crate) enum Access {
        /// Reads; a replica that is fresh enough may serve it.
        Read,
        /// Writes, or opens a transaction; only the primary serves it.
        Write,
    }

    /// Asks a holder to run one unit; units on one stream share a transaction.
    pub(crate) struct Run {
        /// The organisation that is charged.
        pub(crate) organisation: Organisation,
        /// The class of the request.
        pub(crate) class: ClassName,
        /// The group of the database.
        pub(crate) group: GroupName,
        /// The member whose connections are used.
        pub(crate) member: MemberName,
        /// Whether the unit writes.
        pub(crate) access: Access,
        /// The proof that the organisation's rate allows the request; none
        /// inside a transaction that another unit has opened.
        pub(crate) proof: Option<HolderProof>,
        /// The class's priority, higher first.
        pub(crate) priority: u8,
        /// The confirmed mark that a read must include; `None` for a new session.
        pub(crate) floor: Option<LogPosition>,
        /// The zone in which replicas are preferred.
        pub(crate) zone: Zone,
        /// The greatest age of data read; `None` allows any.
        pub(crate) max_age: Option<Duration>,
        /// The time left until the deadline when the message was sent.
        pub(crate) remaining: Duration,
        /// The request identifier that is recorded with the write.
        pub(crate) request: Option<String>,
        /// Whether the answer may be passed on before the unit has ended.
        pub(crate) may_stream: bool,
        /// The messages for the database.
        pub(crate) frames: Bytes,
        /// How many leading `ParseComplete` messages the client did not ask for.
        pub(crate) injected: usize,
        /// The prepared statements to close afterwards.
        pub(crate) names: Vec<String>,
    }
}

/// Reports how a unit ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Done {
    /// The confirmed mark that the session has now seen.
    pub(crate) mark: Option<LogPosition>,
    /// The transaction state after the unit.
    pub(crate) state: TransactionState,
}

/// Reports why a unit did not end in order; its transaction was rolled back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Failed {
    /// The kind of error.
    pub(crate) kind: ErrorKind,
    /// The circumstances, without keys or values.
    pub(crate) detail: String,
    /// Whether a byte may have reached the database.
    pub(crate) is_sent: bool,
    /// The member to ask instead.
    pub(crate) redirect: Option<MemberName>,
}

/// Lists what a holder sends back for a unit: any number of parts and one end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Event {
    /// Some bytes of the answer.
    Part(Bytes),
    /// The end of the answer.
    Done(Done),
    /// The unit failed.
    Failed(Failed),
}

impl Failed {
    /// Builds a failure from before anything was sent to the database.
    pub(crate) fn not_sent(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            is_sent: false,
            redirect: None,
        }
    }

    /// Builds a failure from after the unit was sent to the database.
    pub(crate) fn sent(detail: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::OutcomeUnknown,
            detail: detail.into(),
            is_sent: true,
            redirect: None,
        }
    }
}
