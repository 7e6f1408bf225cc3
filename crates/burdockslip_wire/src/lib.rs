//! Reads and writes PostgreSQL messages on a stream.
//!
//! Frames are passed on as raw bytes; only those that the proxy acts upon are
//! decoded, mostly by the `pgwire` codecs. Sizes are limited before memory is
//! reserved.

mod client;
mod connection;
mod frame;
mod message;
mod name;
mod statement;
mod text;
mod tls;
mod unit;
mod upstream;

pub use client::{ClientStream, StartupRequest};
pub use connection::Connection;
pub use frame::{Frame, split_frames};
pub use message::{
    Field, auth_cleartext, auth_ok, backend_key, command_complete, data_row, error_response,
    parameter_status, query, ready, row_description, sync,
};
pub use name::{PreparedStatements, RewrittenUnit};
pub use statement::{Access, Statement, StatementKind, StatementTags, classify};
pub use tls::ServerTls;
pub use unit::{Unit, UnitKind};
pub use upstream::{
    CancelKey, QueryResult, TransactionState, UpstreamStream, close_statements, decode_error,
    decode_state,
};
