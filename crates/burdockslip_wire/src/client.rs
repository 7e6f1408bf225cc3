//! Speaks with a client of the proxy.

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

/// Limit of the first message, in bytes; a startup message holds a few short parameters.
const STARTUP_LIMIT: usize = 10_000;
/// Limit of the password message, in bytes.
const PASSWORD_LIMIT: usize = 1_000;
/// Code of the request for TLS.
const TLS_REQUEST: u32 = 80_877_103;
/// Code of the request for GSSAPI encryption.
const GSS_REQUEST: u32 = 80_877_104;
/// Code of a cancel request.
const CANCEL_REQUEST: u32 = 80_877_102;
/// Major version of the protocol that is served.
const MAJOR_VERSION: u32 = 3;
/// Bounds the requests for encryption of one connection, one of each kind. A
/// client that sends them without end would otherwise keep the host's only
/// thread, since neither reads nor writes ever wait.
const MAX_ENCRYPTION_REQUESTS: usize = 2;
/// Bounds the messages of one unit, because they are gathered before they run.
const MAX_FRAMES: usize = 10_000;

/// Says what a new connection asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartupRequest {
    /// A session without the encryption that the host demands.
    Unencrypted,
    /// A session with the given startup parameters.
    Start(BTreeMap<String, String>),
    /// The cancellation of another session's statement.
    Cancel {
        /// The process number given at the start of that session.
        process: i32,
        /// The secret given at the start of that session.
        secret: i32,
    },
}

/// Holds the connection of one client.
#[derive(Debug)]
pub struct ClientStream {
    connection: Connection,
    unit_limit: usize,
}

impl ClientStream {
    /// Takes over an accepted connection; units may have `limit` bytes in all.
    pub fn new(io: TcpStream, limit: usize) -> Self {
        Self {
            connection: Connection::new(io, limit),
            unit_limit: limit,
        }
    }

    /// Reads the first message, after a handshake if the client asks for one.
    ///
    /// With `tls` only cancel requests are taken without encryption, because
    /// many client libraries send them so; without it TLS is declined.
    ///
    /// # Errors
    ///
    /// Returns `Protocol`, `TooLarge` or `ConnectionLost`.
    pub async fn open(&mut self, tls: Option<&ServerTls>) -> Result<StartupRequest> {
        for _ in 0..=MAX_ENCRYPTION_REQUESTS {
            let bytes = self.connection.read_untagged(STARTUP_LIMIT).await?;
            let code =
                u32::from_be_bytes(bytes[4..8].try_into().change_context(ErrorKind::Internal)?);
            match code {
                TLS_REQUEST if tls.is_some() && !self.connection.is_encrypted() => {
                    self.write(Bytes::from_static(b"S")).await?;
                    if let Some(tls) = tls {
                        self.connection.encrypt(tls).await?;
                    }
                }
                TLS_REQUEST | GSS_REQUEST => self.write(Bytes::from_static(b"N")).await?,
                CANCEL_REQUEST => return decode_cancel(bytes),
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

    /// Reads the answer to a password request.
    ///
    /// # Errors
    ///
    /// Returns `Protocol` for another message, `ConnectionLost` if the client left.
    pub async fn read_password(&mut self) -> Result<String> {
        // The client has proved nothing yet, so a longer message is refused
        // before it takes memory.
        let frame = self.connection.read_frame_within(PASSWORD_LIMIT).await?;
        let Some(frame) = frame else {
            bail!(ErrorKind::ConnectionLost);
        };
        // The decoder does not check that the text is terminated.
        if frame.tag() != b'p' || frame.body().last() != Some(&0) {
            bail!(ErrorKind::Protocol);
        }
        let mut bytes = BytesMut::from(frame.bytes().as_ref());
        let password = Password::decode(&mut bytes, &context())
            .change_context(ErrorKind::Protocol)?
            .ok_or_else(|| Report::new(ErrorKind::Protocol))?;
        Ok(password.password)
    }

    /// Reads the next unit, or `None` when the client ends the session.
    ///
    /// # Errors
    ///
    /// Returns `NotSupported` for `COPY` data, function calls and `Flush`,
    /// after which the client may go on at its next `Sync`; other errors end
    /// the session.
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
    /// Returns `ConnectionLost` if the client left.
    pub async fn write(&mut self, bytes: Bytes) -> Result<()> {
        self.connection.write(bytes).await
    }

    /// Waits until the client sends something or leaves.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection breaks.
    pub async fn readable(&mut self) -> Result<()> {
        self.connection.wait_readable().await
    }

    /// Returns whether the client sent bytes that no message has consumed.
    pub fn has_unread(&self) -> bool {
        self.connection.has_unread()
    }

    /// Closes the connection.
    pub async fn close(mut self) {
        self.connection.shutdown().await;
    }

    async fn skip_to_sync(&mut self) -> Result<()> {
        // The bound keeps a client that never sends `Sync` from occupying the thread.
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

fn context() -> DecodeContext {
    DecodeContext::new(ProtocolVersion::PROTOCOL3_0)
}

fn decode_cancel(bytes: Bytes) -> Result<StartupRequest> {
    let request = CancelRequest::decode(&mut BytesMut::from(bytes), &context())
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
    let startup = Startup::decode(&mut BytesMut::from(bytes), &context())
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
