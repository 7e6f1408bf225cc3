//! Commands that are sent to members.

use burdockslip_types::{GroupName, LogPosition, MemberName, Organisation, Term};
use bytes::Bytes;

use crate::Access;

/// A command to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Opens a connection to a member on behalf of an organisation.
    Connect {
        /// The database group.
        group: GroupName,
        /// The organisation whose statements use the connection.
        organisation: Organisation,
        /// The member that is expected at the other end.
        member: MemberName,
    },
    /// Forwards a client's statement unchanged.
    Forward {
        /// The client's request id.
        id: Bytes,
        /// The client's original text.
        text: Bytes,
        /// The position that the member's log must have reached, if any.
        floor: Option<LogPosition>,
    },
    /// Executes a statement under the name that it has on this connection, which
    /// differs from the client's name for it.
    Execute {
        /// The client's request id.
        id: Bytes,
        /// The name of the prepared statement on this connection.
        name: Bytes,
        /// The client's arguments.
        arguments: Bytes,
        /// The position that the member's log must have reached, if any.
        floor: Option<LogPosition>,
    },
    /// Opens a transaction.
    Begin {
        /// Whether the transaction may write.
        access: Access,
        /// The position that the member's log must have reached, if any.
        floor: Option<LogPosition>,
    },
    /// Rolls back the transaction.
    Rollback,
    /// Sets a session variable.
    Set {
        /// The name of the variable.
        name: Bytes,
        /// The new value.
        value: Bytes,
    },
    /// Prepares a statement.
    Prepare {
        /// The name of the prepared statement on this connection.
        name: Bytes,
        /// Whether the statement writes.
        access: Access,
        /// The prepared text.
        text: Bytes,
    },
    /// Discards all session variables and prepared statements of the connection.
    Reset,
    /// Requests a [`MemberStatus`](crate::MemberStatus).
    Status,
    /// Stops a replica, for a change of primary to this term, from receiving log
    /// entries until it is resumed or a member is promoted.
    Suspend(Term),
    /// Makes a suspended replica receive log entries again.
    Resume,
    /// Turns the member into a replica if it is a primary of a lower term.
    Demote(Term),
}
