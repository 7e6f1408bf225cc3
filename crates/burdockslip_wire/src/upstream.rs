//! Speaks with a database.

use std::net::SocketAddr;

use burdockslip_types::{ErrorKind, Result};
use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt, bail};
use futures::FutureExt;
use pgwire::messages::PgWireFrontendMessage as Frontend;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::extendedquery::Close;
use pgwire::messages::startup::{
    BackendKeyData, Password, PasswordMessageFamily, SecretKey, Startup,
};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};

use crate::connection::Connection;
use crate::frame::Frame;
use crate::message;
use crate::text::{take_byte, take_bytes, take_text};

/// Length of the column count in front of a row, in bytes.
const COUNT_LEN: usize = 2;
/// Length of the process number and the secret for cancellation, in bytes.
const KEY_LEN: usize = 8;

/// Limit of messages on a connection that only cancels, in bytes.
const CANCEL_LIMIT: usize = 1_000;

/// Reports the transaction state of a connection between two units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and has failed.
    Failed,
}

/// Holds the answer to a query whose rows are text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryResult {
    /// The rows, column by column.
    pub rows: Vec<Vec<Option<String>>>,
    /// The command tag.
    pub tag: String,
    /// The SQLSTATE and message, if the query failed.
    pub error: Option<(String, String)>,
    /// The transaction state after the query.
    pub state: TransactionState,
}

/// Proves the right to cancel the statements of one database connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancelKey {
    address: SocketAddr,
    process: i32,
    secret: i32,
}

impl CancelKey {
    /// Asks the database to stop the statement that runs now, if there is one.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the database cannot be reached; there is no
    /// other answer.
    pub async fn cancel(self) -> Result<()> {
        let mut connection = Connection::connect(self.address, CANCEL_LIMIT).await?;
        let request = CancelRequest::new(self.process, SecretKey::I32(self.secret));
        let mut buf = BytesMut::new();
        request
            .encode(&mut buf)
            .change_context(ErrorKind::Internal)?;
        connection.write(buf.freeze()).await?;
        connection.shutdown().await;
        Ok(())
    }
}

/// Holds one connection to a database.
#[derive(Debug)]
pub struct UpstreamStream {
    connection: Connection,
    cancel_key: Option<CancelKey>,
}

impl UpstreamStream {
    /// Connects and signs in; messages may have `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the database refuses, and `NotSupported` if
    /// it asks for another method than a clear-text password.
    pub async fn connect(
        address: SocketAddr,
        user: &str,
        database: &str,
        password: &str,
        limit: usize,
    ) -> Result<Self> {
        let mut connection = Connection::connect(address, limit).await?;
        let mut startup = Startup::new();
        startup.parameters.insert("user".into(), user.into());
        startup
            .parameters
            .insert("database".into(), database.into());
        startup
            .parameters
            .insert("application_name".into(), "burdockslip".into());
        let mut buf = BytesMut::new();
        startup
            .encode(&mut buf)
            .change_context(ErrorKind::Internal)?;
        connection.write(buf.freeze()).await?;
        let mut stream = Self {
            connection,
            cancel_key: None,
        };
        stream.authenticate(address, password).await?;
        Ok(stream)
    }

    async fn authenticate(&mut self, address: SocketAddr, password: &str) -> Result<()> {
        loop {
            let frame = self.read_frame().await?;
            match frame.tag() {
                b'R' => match frame.body() {
                    [0, 0, 0, 0] => {}
                    [0, 0, 0, 3] => self.send_password(password).await?,
                    _ => bail!(ErrorKind::NotSupported),
                },
                b'E' => {
                    let (code, text) = decode_error(&frame)?;
                    return Err(Report::new(ErrorKind::ConnectionLost)
                        .attach(format!("database refused the connection: {code} {text}")));
                }
                b'K' => {
                    if frame.body().len() < KEY_LEN {
                        bail!(ErrorKind::Protocol);
                    }
                    let data: BackendKeyData = decode(&frame)?;
                    self.cancel_key = data.secret_key.as_i32().map(|secret| CancelKey {
                        address,
                        process: data.pid,
                        secret,
                    });
                }
                b'Z' => return Ok(()),
                _ => {}
            }
        }
    }

    /// Returns what cancels the statements of this connection, if the database told it.
    pub fn cancel_key(&self) -> Option<CancelKey> {
        self.cancel_key
    }

    async fn send_password(&mut self, password: &str) -> Result<()> {
        let message = Frontend::PasswordMessageFamily(PasswordMessageFamily::Password(
            Password::new(password.to_owned()),
        ));
        let mut buf = BytesMut::new();
        message
            .encode(&mut buf)
            .change_context(ErrorKind::Internal)?;
        self.write(buf.freeze()).await
    }

    /// Writes messages.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost`.
    pub async fn write(&mut self, bytes: Bytes) -> Result<()> {
        self.connection.write(bytes).await
    }

    /// Reads the next message; a closed connection is an error here.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` or `Protocol`.
    pub async fn read_frame(&mut self) -> Result<Frame> {
        self.connection
            .read_frame()
            .await?
            .ok_or_else(|| Report::new(ErrorKind::ConnectionLost))
    }

    /// Takes a message that has been received already.
    ///
    /// # Errors
    ///
    /// Returns `Protocol` or `TooLarge`.
    pub fn take_frame(&mut self) -> Result<Option<Frame>> {
        self.connection.take_frame()
    }

    /// Returns whether bytes were received that nobody asked for.
    pub fn has_unread(&self) -> bool {
        self.connection.has_unread()
    }

    /// Returns whether bytes or the end of the stream wait to be read, which
    /// makes an idle connection unfit for use.
    pub fn is_readable(&self) -> bool {
        self.has_unread() || self.connection.readable().now_or_never().is_some()
    }

    /// Runs a simple query and gathers its rows.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` or `Protocol`; an error of the database is
    /// part of the outcome.
    pub async fn query(&mut self, sql: &str) -> Result<QueryResult> {
        self.write(message::query(sql)).await?;
        self.read_result().await
    }

    /// Gathers the answer to a simple query that has been written.
    ///
    /// # Errors
    ///
    /// As [`UpstreamStream::query`].
    pub async fn read_result(&mut self) -> Result<QueryResult> {
        let mut outcome = QueryResult {
            rows: Vec::new(),
            tag: String::new(),
            error: None,
            state: TransactionState::Idle,
        };
        loop {
            let frame = self.read_frame().await?;
            match frame.tag() {
                b'D' => outcome.rows.push(decode_row(&frame)?),
                b'C' => take_text(&mut frame.body())?.clone_into(&mut outcome.tag),
                b'E' => outcome.error = Some(decode_error(&frame)?),
                b'Z' => {
                    outcome.state = decode_state(&frame)?;
                    return Ok(outcome);
                }
                _ => {}
            }
        }
    }

    /// Closes the connection in good order.
    pub async fn close(mut self) {
        // The database closes on `Terminate`; a broken connection is closed anyway.
        let _ = self.write(Bytes::from_static(b"X\0\0\0\x04")).await;
        self.connection.shutdown().await;
    }
}

/// Reads the transaction state from `ReadyForQuery`.
///
/// # Errors
///
/// Returns `Protocol` for any other message.
pub fn decode_state(frame: &Frame) -> Result<TransactionState> {
    match (frame.tag(), frame.body()) {
        (b'Z', b"I") => Ok(TransactionState::Idle),
        (b'Z', b"T") => Ok(TransactionState::Open),
        (b'Z', b"E") => Ok(TransactionState::Failed),
        _ => Err(Report::new(ErrorKind::Protocol)),
    }
}

/// Reads SQLSTATE and message of an error.
///
/// # Errors
///
/// Returns `Protocol` for a message that cannot be decoded.
pub fn decode_error(frame: &Frame) -> Result<(String, String)> {
    let mut body = frame.body();
    let (mut code, mut text) = (String::new(), String::new());
    loop {
        let field = take_byte(&mut body)?;
        if field == 0 {
            return Ok((code, text));
        }
        // Before a session has an encoding, a database may use any.
        let value = String::from_utf8_lossy(take_bytes(&mut body)?);
        match field {
            b'C' => code = value.into_owned(),
            b'M' => text = value.into_owned(),
            _ => {}
        }
    }
}

/// Builds the messages that close prepared statements, with a `Sync` of their own.
///
/// They are a unit of their own because an error in a unit skips all that
/// follows in it.
pub fn close_statements<'a>(names: impl IntoIterator<Item = &'a str>) -> Bytes {
    let mut buf = BytesMut::new();
    for name in names {
        Close::new(b'S', Some(name.to_owned()))
            .encode(&mut buf)
            .expect("encoding into memory cannot fail");
    }
    buf.extend_from_slice(&message::sync());
    buf.freeze()
}

fn decode_row(frame: &Frame) -> Result<Vec<Option<String>>> {
    let body = frame.body();
    if body.len() < COUNT_LEN {
        bail!(ErrorKind::Protocol);
    }
    let mut data = frame.bytes().slice_ref(&body[COUNT_LEN..]);
    let mut values = Vec::new();
    while data.len() >= 4 {
        let field: [u8; 4] = data
            .split_to(4)
            .as_ref()
            .try_into()
            .change_context(ErrorKind::Protocol)?;
        let Ok(len) = usize::try_from(i32::from_be_bytes(field)) else {
            values.push(None);
            continue;
        };
        if data.len() < len {
            bail!(ErrorKind::Protocol);
        }
        let text = String::from_utf8(data.split_to(len).to_vec());
        values.push(Some(text.change_context(ErrorKind::Protocol)?));
    }
    Ok(values)
}

fn decode<M: Message>(frame: &Frame) -> Result<M> {
    let mut bytes = BytesMut::from(frame.bytes().as_ref());
    M::decode(
        &mut bytes,
        &DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
    )
    .change_context(ErrorKind::Protocol)?
    .ok_or_else(|| Report::new(ErrorKind::Protocol))
}
