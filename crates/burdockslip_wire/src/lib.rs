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

pub use client::{ClientStream, Opening};
pub use connection::Connection;
pub use frame::{Frame, split};
pub use message::{
    Field, auth_cleartext, auth_ok, backend_key, command_complete, data_row, error_response,
    parameter_status, query, ready, row_description, sync,
};
pub use name::{Rewritten, StatementNames};
pub use statement::{Access, Comment, Statement, Verb, classify};
pub use tls::ServerTls;
pub use unit::{Unit, UnitKind};
pub use upstream::{
    CancelKey, Outcome, TransactionState, UpstreamStream, close_statements, decode_error,
    decode_state,
};
