//! Defines what members answer and what clients are told.

use burdockslip_types::{ErrorKind, LogPosition, Term};
use bytes::Bytes;

/// Says where a session stands in a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TransactionStatus {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction failed and has to be ended.
    Failed,
}

/// Lists the failures that a member reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberError {
    /// The member's queue is full; the statement did not run.
    Busy,
    /// The log lacks the required position; the statement did not run.
    Behind,
    /// The member is not the primary; the statement did not run.
    ReadOnly,
    /// The connection reached another member.
    WrongMember,
    /// The member has no connection left.
    TooManyConnections,
    /// The prepared name is unknown; the statement did not run.
    UnknownStatement,
    /// The statement ran and failed.
    Failed,
    /// The statement ran into the member's time limit.
    Timeout,
    /// The transaction was rolled back.
    Aborted,
    /// Any other failure; whether the statement ran is unknown.
    Other,
}

impl MemberError {
    /// Returns whether the failure proves that the statement did not run.
    pub const fn did_not_run(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Behind
                | Self::ReadOnly
                | Self::WrongMember
                | Self::TooManyConnections
                | Self::UnknownStatement
        )
    }
}

/// Lists the messages of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberMessage {
    /// Holds one row of the result.
    Row(Bytes),
    /// Ends a statement with success and the member's signature.
    Complete(Bytes),
    /// Ends a statement with a failure.
    Failed(MemberError),
    /// Ends an answer with the state and the position of the member's log.
    Ready(TransactionStatus, Option<LogPosition>),
}

/// Holds the whole answer of a member to one command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberReply {
    /// The rows as the member wrote them.
    pub rows: Vec<Bytes>,
    /// The signature, or the failure.
    pub result: Result<Bytes, MemberError>,
    /// The state after the command.
    pub state: TransactionStatus,
    /// The position of the member's log.
    pub position: Option<LogPosition>,
}

/// Holds the whole answer to one message of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientResponse {
    /// The rows as the member wrote them.
    pub rows: Vec<Bytes>,
    /// The signature if a member ran the statement, or the error.
    pub result: Result<Option<Bytes>, ErrorKind>,
    /// The state of the session.
    pub state: TransactionStatus,
    /// The position of the member's log, if a member answered.
    pub position: Option<LogPosition>,
}

impl ClientResponse {
    /// Builds the answer to a statement that the proxy handles itself.
    pub const fn done(state: TransactionStatus) -> Self {
        Self {
            rows: Vec::new(),
            result: Ok(None),
            state,
            position: None,
        }
    }

    /// Builds an error.
    pub const fn failed(kind: ErrorKind, state: TransactionStatus) -> Self {
        Self {
            rows: Vec::new(),
            result: Err(kind),
            state,
            position: None,
        }
    }
}

/// Holds what a member reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether the member acts as primary.
    pub is_primary: bool,
    /// The member's current term.
    pub term: Term,
    /// The last position that it received.
    pub received: LogPosition,
    /// The term at which it stopped receiving, zero if it receives.
    pub held: Term,
}
