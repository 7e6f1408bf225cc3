//! Defines what clients send.

use bytes::Bytes;

/// Says whether a statement or transaction may change data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Access {
    /// Only reads.
    Read,
    /// May write.
    Write,
}

/// Lists the statements of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin(Access),
    /// Ends a transaction and keeps its writes.
    Commit,
    /// Ends a transaction and drops its writes.
    Rollback,
    /// Reads or writes one item, given in full.
    Direct(Access),
    /// Sets a session value.
    Set {
        /// The name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Names a prepared statement.
    Prepare {
        /// The name, valid within the session.
        name: Bytes,
        /// Whether the statement writes.
        access: Access,
        /// The prepared text.
        text: Bytes,
    },
    /// Runs a prepared statement.
    Execute {
        /// The name given by `Prepare`.
        name: Bytes,
        /// The arguments as the client wrote them.
        arguments: Bytes,
    },
    /// Drops a prepared statement.
    Deallocate(Bytes),
}

/// Holds one statement with its request id and its text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The request id, passed on unchanged.
    pub id: Bytes,
    /// The text, passed on unchanged.
    pub text: Bytes,
    /// The parsed statement, or `None` if the text is malformed.
    pub statement: Option<Statement>,
}

/// Lists the messages of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientMessage {
    /// Opens a session.
    Connect {
        /// The database, which selects the route.
        database: String,
        /// The key of the caller.
        key: String,
    },
    /// Runs a statement.
    Query(Query),
    /// Ends the session.
    Release,
    /// Cannot be read.
    Malformed,
}
