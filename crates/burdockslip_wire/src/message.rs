//! Builds the messages that the proxy and the test databases send.

use burdockslip_types::ErrorKind;
use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireBackendMessage as Backend;
use pgwire::messages::PgWireFrontendMessage as Frontend;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::extendedquery::Sync;
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};

use crate::upstream::TransactionState;

/// The type OID of `text`.
const TEXT_OID: u32 = 25;

/// A column of type `text` in a row description.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// The name of the column.
    pub name: String,
    /// The format code: zero for text, one for binary.
    pub format: i16,
}

fn encode(message: &Backend) -> Bytes {
    let mut buf = BytesMut::new();
    message
        .encode(&mut buf)
        .expect("encoding into memory cannot fail");
    buf.freeze()
}

fn encode_frontend(message: &Frontend) -> Bytes {
    let mut buf = BytesMut::new();
    message
        .encode(&mut buf)
        .expect("encoding into memory cannot fail");
    buf.freeze()
}

/// Builds the request for a clear-text password.
pub fn auth_cleartext() -> Bytes {
    encode(&Backend::Authentication(Authentication::CleartextPassword))
}

/// Builds the message that confirms a successful authentication.
pub fn auth_ok() -> Bytes {
    encode(&Backend::Authentication(Authentication::Ok))
}

/// Builds the message with the key that a client sends to cancel its statements.
pub fn backend_key(process: i32, secret: i32) -> Bytes {
    encode(&Backend::BackendKeyData(BackendKeyData::new(
        process,
        SecretKey::I32(secret),
    )))
}

/// Builds the message that reports the value of a session parameter.
pub fn parameter_status(name: &str, value: &str) -> Bytes {
    encode(&Backend::ParameterStatus(ParameterStatus::new(
        name.to_owned(),
        value.to_owned(),
    )))
}

/// Builds `ReadyForQuery`, which ends the response to a unit.
pub fn ready(state: TransactionState) -> Bytes {
    let status = match state {
        TransactionState::Idle => TransactionStatus::Idle,
        TransactionState::Open => TransactionStatus::Transaction,
        TransactionState::Failed => TransactionStatus::Error,
    };
    encode(&Backend::ReadyForQuery(ReadyForQuery::new(status)))
}

/// Builds `CommandComplete`, which ends the response to one statement.
pub fn command_complete(tag: &str) -> Bytes {
    encode(&Backend::CommandComplete(CommandComplete::new(
        tag.to_owned(),
    )))
}

/// Builds the error response for an error kind, with its fixed message and hint
/// and, unless empty, `detail`.
pub fn error_response(kind: ErrorKind, detail: &str) -> Bytes {
    let details = kind.details();
    let severity = match kind {
        ErrorKind::BadKey
        | ErrorKind::KeyRevoked
        | ErrorKind::RouteDenied
        | ErrorKind::Draining
        | ErrorKind::Protocol
        | ErrorKind::TooLarge => "FATAL",
        _ => "ERROR",
    };
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', details.sqlstate.to_owned()),
        (b'M', details.message.to_owned()),
    ];
    if !detail.is_empty() {
        fields.push((b'D', detail.to_owned()));
    }
    fields.push((b'H', details.hint.to_owned()));
    encode(&Backend::ErrorResponse(ErrorResponse::new(fields)))
}

/// Builds the description of rows whose columns are all of type `text`.
pub fn row_description(fields: &[Field]) -> Bytes {
    let fields = fields
        .iter()
        .map(|field| {
            FieldDescription::new(field.name.clone(), 0, 0, TEXT_OID, -1, -1, field.format)
        })
        .collect();
    encode(&Backend::RowDescription(RowDescription::new(fields)))
}

/// Builds one row of text values, where `None` is null.
pub fn data_row(values: &[Option<&str>]) -> Bytes {
    let mut data = BytesMut::new();
    for value in values {
        if let Some(text) = value {
            let len = i32::try_from(text.len()).unwrap_or(i32::MAX);
            data.extend_from_slice(&len.to_be_bytes());
            data.extend_from_slice(text.as_bytes());
        } else {
            data.extend_from_slice(&(-1_i32).to_be_bytes());
        }
    }
    let count = i16::try_from(values.len()).unwrap_or(i16::MAX);
    encode(&Backend::DataRow(DataRow::new(data, count)))
}

/// Builds a simple query.
pub fn query(sql: &str) -> Bytes {
    encode_frontend(&Frontend::Query(Query::new(sql.to_owned())))
}

/// Builds `Sync`, which ends a unit of the extended query protocol.
pub fn sync() -> Bytes {
    encode_frontend(&Frontend::Sync(Sync::new()))
}
