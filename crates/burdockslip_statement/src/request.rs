//! Messages that clients send.

use bytes::Bytes;

/// Whether a statement or transaction may change data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Access {
    /// It only reads.
    Read,
    /// It may write.
    Write,
}

/// A parsed statement of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin(Access),
    /// Commits the transaction.
    Commit,
    /// Rolls back the transaction.
    Rollback,
    /// Reads or writes one item without a prepared statement.
    Direct(Access),
    /// Sets a session variable.
    Set {
        /// The name of the variable.
        name: Bytes,
        /// The new value.
        value: Bytes,
    },
    /// Prepares a statement.
    Prepare {
        /// The name, which is local to the session.
        name: Bytes,
        /// Whether the statement writes.
        access: Access,
        /// The prepared text.
        text: Bytes,
    },
    /// Executes a prepared statement.
    Execute {
        /// The name given by `Prepare`.
        name: Bytes,
        /// The arguments, forwarded unchanged.
        arguments: Bytes,
    },
    /// Removes the prepared statement with this name.
    Deallocate(Bytes),
}

/// A statement with its request id and original text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The request id, forwarded unchanged.
    pub id: Bytes,
    /// The original text, forwarded unchanged.
    pub text: Bytes,
    /// The parsed statement, or `None` if the text is malformed.
    pub statement: Option<Statement>,
}

/// A message from a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientMessage {
    /// Opens a session.
    Connect {
        /// The database name, which selects the route.
        database: String,
        /// The key with which the client authenticates.
        key: String,
    },
    /// Runs a statement.
    Query(Query),
    /// Ends the session.
    Release,
    /// A message that cannot be parsed.
    Malformed,
}
