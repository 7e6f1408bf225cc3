//! Defines what is sent to members.

use burdockslip_types::{GroupName, LogPosition, MemberName, Organisation, Term};
use bytes::Bytes;

use crate::Access;

/// Lists the commands to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Opens the connection to one member for one organisation.
    Connect {
        /// The database group.
        group: GroupName,
        /// The organisation for which the connection is used.
        organisation: Organisation,
        /// The member that has to answer.
        member: MemberName,
    },
    /// Passes a client's statement on unchanged.
    Forward {
        /// The client's request id.
        id: Bytes,
        /// The client's text.
        text: Bytes,
        /// The position that the log must hold.
        floor: Option<LogPosition>,
    },
    /// Runs a statement that was prepared on this connection under another name.
    Execute {
        /// The client's request id.
        id: Bytes,
        /// The name on this connection.
        name: Bytes,
        /// The client's arguments.
        arguments: Bytes,
        /// The position that the log must hold.
        floor: Option<LogPosition>,
    },
    /// Opens a transaction.
    Begin {
        /// Whether the transaction may write.
        access: Access,
        /// The position that the log must hold.
        floor: Option<LogPosition>,
    },
    /// Ends a transaction without keeping its writes.
    Rollback,
    /// Sets a session value.
    Set {
        /// The name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Prepares a statement.
    Prepare {
        /// The name on this connection.
        name: Bytes,
        /// Whether the statement writes.
        access: Access,
        /// The prepared text.
        text: Bytes,
    },
    /// Drops all session values and prepared statements.
    Reset,
    /// Asks for a [`MemberStatus`](crate::MemberStatus).
    Status,
    /// Stops a replica from receiving until it is resumed or a promotion.
    Suspend(Term),
    /// Lets a suspended replica receive again.
    Resume,
    /// Turns a primary of a lower term into a replica.
    Demote(Term),
}
