//! The server side of a connection with a client.

use std::collections::BTreeMap;

use burdockslip_types::{ErrorKind, Result};
use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt, bail};
use monoio::net::TcpStream;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{Password, Startup};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};

use crate::connection::Connection;
use crate::frame::Frame;
use crate::tls::ServerTls;
use crate::unit::{Unit, UnitKind};

/// The maximum size of the first message, in bytes; a startup message holds a
/// few short parameters.
const MAX_STARTUP_BYTES: usize = 10_000;
/// The maximum size of the password message, in bytes.
const MAX_PASSWORD_BYTES: usize = 1_000;
/// The code of an `SSLRequest`.
const TLS_REQUEST_CODE: u32 = 80_877_103;
/// The code of a `GSSENCRequest`, which asks for GSSAPI encryption.
const GSS_REQUEST_CODE: u32 = 80_877_104;
/// The code of a `CancelRequest`.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
/// The supported major version of the protocol.
const MAJOR_VERSION: u32 = 3;
/// The maximum number of encryption requests on one connection, one of each
/// kind. A client that sends them endlessly would otherwise occupy the host's
/// only thread, since neither its reads nor its writes ever block.
const MAX_ENCRYPTION_REQUESTS: usize = 2;
/// The maximum number of messages in one unit, because they are buffered before they run.
const MAX_FRAMES: usize = 10_000;

/// What a client requests when it opens a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartupRequest {
    /// A session without the encryption that the host requires.
    Unencrypted,
    /// A session with these startup parameters.
    Start(BTreeMap<String, String>),
    /// The cancellation of another session's statement.
    Cancel {
        /// The process ID that was sent to that session at startup.
        process: i32,
        /// The secret that was sent to that session at startup.
        secret: i32,
    },
}

/// A connection accepted from a client.
#[derive(Debug)]
pub struct ClientStream {
    connection: Connection,
    unit_limit: usize,
}

impl ClientStream {
    /// Wraps an accepted connection on which a unit may have at most `limit` bytes.
    pub fn new(io: TcpStream, limit: usize) -> Self {
        Self {
            connection: Connection::new(io, limit),
            unit_limit: limit,
        }
    }

    /// Reads the startup message, after a TLS handshake if the client requests one.
    ///
    /// With `tls`, only cancel requests are accepted without encryption, because
    /// many client libraries never encrypt them. Without it, TLS is declined.
    ///
    /// # Errors
    ///
    /// Returns `Protocol` for a malformed or unsupported message, `TooLarge` for
    /// one that exceeds the limit and `ConnectionLost` if the client disconnects.
    pub async fn open(&mut self, tls: Option<&ServerTls>) -> Result<StartupRequest> {
        for _ in 0..=MAX_ENCRYPTION_REQUESTS {
            let bytes = self.connection.read_untagged(MAX_STARTUP_BYTES).await?;
            let code =
                u32::from_be_bytes(bytes[4..8].try_into().change_context(ErrorKind::Internal)?);
            match code {
                TLS_REQUEST_CODE if tls.is_some() && !self.connection.is_encrypted() => {
                    self.write(Bytes::from_static(b"S")).await?;
                    if let Some(tls) = tls {
                        self.connection.encrypt(tls).await?;
                    }
                }
                TLS_REQUEST_CODE | GSS_REQUEST_CODE => self.write(Bytes::from_static(b"N")).await?,
                CANCEL_REQUEST_CODE => return decode_cancel(bytes),
                _ if code >> 16 == MAJOR_VERSION
                    && tls.is_some()
                    && !self.connection.is_encrypted() =>
                {
                    return Ok(StartupRequest::Unencrypted);
                }
                _ if code >> 16 == MAJOR_VERSION => return decode_startup(bytes),
                _ => bail!(ErrorKind::Protocol),
            }
        }
        bail!(ErrorKind::Protocol)
    }

    /// Reads the response to a password request.
    ///
    /// # Errors
    ///
    /// Returns `Protocol` for any other message, `TooLarge` for a password message
    /// that exceeds the limit and `ConnectionLost` if the client disconnects.
    pub async fn read_password(&mut self) -> Result<String> {
        // The client is not authenticated yet, so a longer message is rejected
        // before memory is allocated for it.
        let frame = self
            .connection
            .read_frame_within(MAX_PASSWORD_BYTES)
            .await?;
        let Some(frame) = frame else {
            bail!(ErrorKind::ConnectionLost);
        };
        // The decoder does not check that the string is zero-terminated.
        if frame.tag() != b'p' || frame.body().last() != Some(&0) {
            bail!(ErrorKind::Protocol);
        }
        let mut bytes = BytesMut::from(frame.bytes().as_ref());
        let password = Password::decode(&mut bytes, &decode_context())
            .change_context(ErrorKind::Protocol)?
            .ok_or_else(|| Report::new(ErrorKind::Protocol))?;
        Ok(password.password)
    }

    /// Reads the next unit, or `None` when the client ends the session.
    ///
    /// # Errors
    ///
    /// Returns `NotSupported` for `Flush`, after which the client may continue
    /// at its next `Sync`. Other errors end the session, such as `Protocol` for
    /// `COPY` data and function calls.
    pub async fn read_unit(&mut self) -> Result<Option<Unit>> {
        let mut frames = Vec::new();
        let mut size = 0;
        loop {
            let Some(frame) = self.connection.read_frame().await? else {
                return Ok(None);
            };
            size += frame.bytes().len();
            if size > self.unit_limit || frames.len() >= MAX_FRAMES {
                bail!(ErrorKind::TooLarge);
            }
            match frame.tag() {
                b'X' => return Ok(None),
                b'Q' if frames.is_empty() => return simple_unit(frame).map(Some),
                b'P' | b'B' | b'D' | b'E' | b'C' => frames.push(frame),
                b'S' => {
                    frames.push(frame);
                    return Ok(Some(Unit {
                        kind: UnitKind::Extended,
                        frames,
                    }));
                }
                b'H' => {
                    self.skip_to_sync().await?;
                    bail!(ErrorKind::NotSupported);
                }
                _ => bail!(ErrorKind::Protocol),
            }
        }
    }

    /// Writes messages to the client.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the client has disconnected.
    pub async fn write(&mut self, bytes: Bytes) -> Result<()> {
        self.connection.write(bytes).await
    }

    /// Waits until the client sends data or disconnects.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection breaks.
    pub async fn readable(&mut self) -> Result<()> {
        self.connection.wait_readable().await
    }

    /// Returns whether there are buffered bytes that no message has consumed.
    pub fn has_unread(&self) -> bool {
        self.connection.has_unread()
    }

    /// Closes the connection.
    pub async fn close(mut self) {
        self.connection.shutdown().await;
    }

    async fn skip_to_sync(&mut self) -> Result<()> {
        // The limit prevents a client that never sends `Sync` from occupying the thread.
        for _ in 0..MAX_FRAMES {
            let Some(frame) = self.connection.read_frame().await? else {
                bail!(ErrorKind::ConnectionLost);
            };
            if frame.tag() == b'S' {
                return Ok(());
            }
        }
        bail!(ErrorKind::TooLarge)
    }
}

fn decode_context() -> DecodeContext {
    DecodeContext::new(ProtocolVersion::PROTOCOL3_0)
}

fn decode_cancel(bytes: Bytes) -> Result<StartupRequest> {
    let request = CancelRequest::decode(&mut BytesMut::from(bytes), &decode_context())
        .change_context(ErrorKind::Protocol)?
        .ok_or_else(|| Report::new(ErrorKind::Protocol))?;
    let secret = request
        .secret_key
        .as_i32()
        .ok_or_else(|| Report::new(ErrorKind::Protocol))?;
    Ok(StartupRequest::Cancel {
        process: request.pid,
        secret,
    })
}

fn decode_startup(bytes: Bytes) -> Result<StartupRequest> {
    let startup = Startup::decode(&mut BytesMut::from(bytes), &decode_context())
        .change_context(ErrorKind::Protocol)?
        .ok_or_else(|| Report::new(ErrorKind::Protocol))?;
    Ok(StartupRequest::Start(startup.parameters))
}

fn simple_unit(frame: Frame) -> Result<Unit> {
    let body = frame.body();
    let Some((0, text)) = body.split_last() else {
        bail!(ErrorKind::Protocol);
    };
    let text = std::str::from_utf8(text).change_context(ErrorKind::Protocol)?;
    if text.contains('\0') {
        bail!(ErrorKind::Protocol);
    }
    Ok(Unit {
        kind: UnitKind::Simple(text.to_owned()),
        frames: vec![frame],
    })
}
