//! Defines the messages between an endpoint and the holder of a database.

use std::time::Duration;

use burdockslip_types::{ClassName, ErrorKind, GroupName, Mark, MemberName, Organisation, domain};
use burdockslip_wire::TransactionState;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Names the stream on which units are executed.
pub(crate) const EXECUTE: &str = "execute";

domain! {
    /// Says what a unit may do and so which members may run it.
    #[derive(Copy)]
    pub enum Access {
        /// Reads; a replica that is fresh enough may serve it.
        Read,
        /// Writes, or opens a transaction; only the primary serves it.
        Write,
    }

    /// Asks a holder to run one unit; units on one stream share a transaction.
    pub struct Run {
        /// The organisation that is charged.
        pub organisation: Organisation,
        /// The class of the request.
        pub class: ClassName,
        /// The group of the database.
        pub group: GroupName,
        /// The member whose connections are used.
        pub member: MemberName,
        /// Whether the unit writes.
        pub access: Access,
        /// The class's priority, higher first.
        pub priority: u8,
        /// The confirmed mark that a read must include; `None` for a new session.
        pub floor: Option<Mark>,
        /// The greatest age of data read; `None` allows any.
        pub max_age: Option<Duration>,
        /// The time left until the deadline when the message was sent.
        pub remaining: Duration,
        /// The request identifier that is recorded with the write.
        pub request: Option<String>,
        /// The messages for the database.
        pub frames: Bytes,
        /// How many leading `ParseComplete` messages the client did not ask for.
        pub injected: usize,
        /// The prepared statements to close afterwards.
        pub names: Vec<String>,
    }
}

/// Reports how a unit ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The confirmed mark that the session has now seen.
    pub mark: Option<Mark>,
    /// The transaction state after the unit.
    pub state: TransactionState,
}

/// Reports why a unit did not end in order; the transaction is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failed {
    /// The kind of error.
    pub kind: ErrorKind,
    /// The circumstances, without keys or values.
    pub detail: String,
    /// Whether a byte may have reached the database.
    pub is_sent: bool,
    /// The member to ask instead.
    pub redirect: Option<MemberName>,
}

/// Lists what a holder sends back for a unit: any number of parts and one end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
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
