//! Messages from members and responses to clients.

use burdockslip_types::{ErrorKind, LogPosition, Term};
use bytes::Bytes;

/// The transaction status of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TransactionStatus {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction failed; the client has to end it.
    Failed,
}

/// An error that a member reports for a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberError {
    /// The member's queue is full; the statement did not run.
    Busy,
    /// The member's log has not reached the required position; the statement did not run.
    Behind,
    /// The member is not the primary; the statement did not run.
    ReadOnly,
    /// Another member than the intended one received the connection.
    WrongMember,
    /// The member's connection limit is reached.
    TooManyConnections,
    /// The member does not have the prepared statement; the statement did not run.
    UnknownStatement,
    /// The statement ran and failed.
    Failed,
    /// The statement timed out at the member.
    Timeout,
    /// The transaction was rolled back.
    Aborted,
    /// Any other error; the statement may have run.
    Other,
}

impl MemberError {
    /// Returns whether the error proves that the statement did not run.
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

/// A message from a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberMessage {
    /// One row of the result.
    Row(Bytes),
    /// The statement succeeded; carries the member's signature.
    Complete(Bytes),
    /// The statement failed.
    Failed(MemberError),
    /// The reply is complete; carries the transaction status and the position of
    /// the member's log, if the member reports one.
    Ready(TransactionStatus, Option<LogPosition>),
}

/// The complete reply of a member to one command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberReply {
    /// The rows, unchanged from the member.
    pub rows: Vec<Bytes>,
    /// The member's signature, or the error.
    pub result: Result<Bytes, MemberError>,
    /// The transaction status after the command.
    pub state: TransactionStatus,
    /// The position of the member's log, if the member reported one.
    pub position: Option<LogPosition>,
}

/// The complete response to one message of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientResponse {
    /// The rows, unchanged from the member.
    pub rows: Vec<Bytes>,
    /// The member's signature, or the error; `None` if the proxy handled the
    /// statement itself.
    pub result: Result<Option<Bytes>, ErrorKind>,
    /// The transaction status of the session.
    pub state: TransactionStatus,
    /// The position of the member's log, if a member replied with one.
    pub position: Option<LogPosition>,
}

impl ClientResponse {
    /// Creates the response to a statement that the proxy handled itself.
    pub const fn done(state: TransactionStatus) -> Self {
        Self {
            rows: Vec::new(),
            result: Ok(None),
            state,
            position: None,
        }
    }

    /// Creates an error response.
    pub const fn failed(kind: ErrorKind, state: TransactionStatus) -> Self {
        Self {
            rows: Vec::new(),
            result: Err(kind),
            state,
            position: None,
        }
    }
}

/// The status that a member reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether the member currently acts as primary.
    pub is_primary: bool,
    /// The member's current term.
    pub term: Term,
    /// The last log position that the member received.
    pub received: LogPosition,
    /// The term of the [`Command::Suspend`](crate::Command::Suspend) that keeps the
    /// member from receiving log entries, zero if it receives them.
    pub held: Term,
}
