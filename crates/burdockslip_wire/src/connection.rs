//! Moves frames over one TCP connection, plain or encrypted.

use std::cell::RefCell;
use std::fmt;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use burdockslip_runtime::{readable, timeout};
use burdockslip_types::{ErrorKind, Result};
use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt, bail};
use futures::{AsyncRead, AsyncWriteExt};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;

use crate::frame::{Frame, HEADER_LEN, declared_len};
use crate::tls::{ServerTls, TlsStream};

/// Size of the buffer that a read fills, in bytes.
const READ_LEN: usize = 32 * 1024;

/// Time within which the end of an encrypted connection is told to the peer,
/// which may read nothing.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

thread_local! {
    /// Shares one read buffer between all connections, so that an idle one holds none.
    static SCRATCH: RefCell<Option<Vec<u8>>> = const { RefCell::new(None) };
}

/// Reads and writes frames on one TCP connection.
pub struct Connection {
    io: Io,
    input: BytesMut,
    limit: usize,
}

enum Io {
    Plain(TcpStream),
    Encrypted(Box<TlsStream>),
    /// The handshake has not ended, or has failed.
    Closed,
}

impl Connection {
    /// Connects to `address`; no message may be longer than `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection is refused.
    pub async fn connect(address: SocketAddr, limit: usize) -> Result<Self> {
        let io = TcpStream::connect(address)
            .await
            .change_context(ErrorKind::ConnectionLost)?;
        Ok(Self::new(io, limit))
    }

    /// Takes over an accepted connection; no message may be longer than `limit` bytes.
    pub fn new(io: TcpStream, limit: usize) -> Self {
        // Without this, small answers wait for the acknowledgement of the one before.
        let _ = io.set_nodelay(true);
        Self {
            io: Io::Plain(io),
            input: BytesMut::new(),
            limit,
        }
    }

    /// Turns to TLS; the peer has been told to start the handshake.
    ///
    /// # Errors
    ///
    /// Returns `Protocol` if the peer sent bytes before the handshake, which
    /// anyone on the way could have added, and `ConnectionLost` if the
    /// handshake fails; the connection is unusable then.
    pub async fn encrypt(&mut self, tls: &ServerTls) -> Result<()> {
        let Io::Plain(io) = std::mem::replace(&mut self.io, Io::Closed) else {
            bail!(ErrorKind::Protocol);
        };
        if self.has_unread() {
            bail!(ErrorKind::Protocol);
        }
        self.io = Io::Encrypted(tls.accept(io).await?);
        Ok(())
    }

    /// Returns whether the connection is encrypted.
    pub fn is_encrypted(&self) -> bool {
        matches!(self.io, Io::Encrypted(_))
    }

    /// Returns whether bytes were received that no message has consumed.
    pub fn has_unread(&self) -> bool {
        !self.input.is_empty()
    }

    /// Reads the next frame, or `None` if the peer closed between frames.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` or `Protocol` for a bad header and `ConnectionLost`
    /// if the connection breaks.
    pub async fn read_frame(&mut self) -> Result<Option<Frame>> {
        self.read_frame_within(self.limit).await
    }

    /// Reads the next frame, which may have `limit` bytes, or `None` if the
    /// peer closed between frames.
    ///
    /// # Errors
    ///
    /// As [`Connection::read_frame`].
    pub async fn read_frame_within(&mut self, limit: usize) -> Result<Option<Frame>> {
        loop {
            if let Some(frame) = self.take_within(limit)? {
                return Ok(Some(frame));
            }
            if !self.fill().await? {
                if self.has_unread() {
                    bail!(ErrorKind::ConnectionLost);
                }
                return Ok(None);
            }
        }
    }

    /// Takes a complete frame that has been received already.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` or `Protocol` for a bad header.
    pub fn take_frame(&mut self) -> Result<Option<Frame>> {
        self.take_within(self.limit)
    }

    fn take_within(&mut self, limit: usize) -> Result<Option<Frame>> {
        let Some(len) = declared_len(&self.input) else {
            return Ok(None);
        };
        check_len(len, limit)?;
        if self.input.len() < len {
            return Ok(None);
        }
        let bytes = self.take(len);
        Ok(Frame::new(bytes))
    }

    /// Reads an untagged message, as callers send at the start: length and body.
    ///
    /// # Errors
    ///
    /// As [`Connection::read_frame`]; a closed connection is `ConnectionLost`.
    pub async fn read_untagged(&mut self, limit: usize) -> Result<Bytes> {
        loop {
            if let Some(field) = self.input.get(..4) {
                let field: [u8; 4] = field.try_into().change_context(ErrorKind::Internal)?;
                let len = u32::from_be_bytes(field) as usize;
                if len < 8 {
                    bail!(ErrorKind::Protocol);
                }
                if len > limit {
                    bail!(ErrorKind::TooLarge);
                }
                if self.input.len() >= len {
                    return Ok(self.take(len));
                }
            }
            if !self.fill().await? {
                bail!(ErrorKind::ConnectionLost);
            }
        }
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection breaks.
    pub async fn write(&mut self, bytes: Bytes) -> Result<()> {
        let result = match &mut self.io {
            Io::Plain(io) => io.write_all(bytes).await.0.map(|_| ()),
            Io::Encrypted(io) => match AsyncWriteExt::write_all(io, &bytes).await {
                Ok(()) => AsyncWriteExt::flush(io).await,
                Err(error) => Err(error),
            },
            Io::Closed => bail!(ErrorKind::ConnectionLost),
        };
        result.change_context(ErrorKind::ConnectionLost)
    }

    /// Closes the sending side.
    pub async fn shutdown(&mut self) {
        // The peer may have closed first; there is nothing left to do then.
        match &mut self.io {
            Io::Plain(io) => drop(io.shutdown().await),
            Io::Encrypted(io) => drop(timeout(CLOSE_TIMEOUT, AsyncWriteExt::close(io)).await),
            Io::Closed => {}
        }
    }

    /// Waits until bytes or the end of the stream can be read; unlike
    /// [`Connection::readable`] it works on encrypted connections, whose bytes
    /// have to be decrypted to know.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection breaks.
    pub async fn wait_readable(&mut self) -> Result<()> {
        match &mut self.io {
            Io::Encrypted(io) => fill_encrypted(io, &mut self.input).await.map(|_| ()),
            _ => self.readable().await,
        }
    }

    /// Waits until bytes or the end of the stream can be read.
    ///
    /// Asks the operating system, because the readiness that the runtime
    /// remembers outlives the bytes it was about.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection breaks.
    pub async fn readable(&self) -> Result<()> {
        // The relaxed form reports what the last poll saw, also after all of
        // it was read: idle clients would seem to send, and idle database
        // connections to be unfit for use.
        let Io::Plain(io) = &self.io else {
            bail!(ErrorKind::ConnectionLost);
        };
        readable(io).await.change_context(ErrorKind::ConnectionLost)
    }

    fn take(&mut self, len: usize) -> Bytes {
        let bytes = self.input.split_to(len).freeze();
        if self.input.is_empty() {
            // Releases the allocation once the frame is gone, so that an idle
            // connection costs no buffer.
            self.input = BytesMut::new();
        }
        bytes
    }

    /// Reads more bytes and returns whether there were any.
    async fn fill(&mut self) -> Result<bool> {
        if let Io::Encrypted(io) = &mut self.io {
            return fill_encrypted(io, &mut self.input).await;
        }
        // Waiting without a buffer keeps idle connections small and loses
        // nothing if the caller gives up.
        self.readable().await?;
        let Io::Plain(io) = &mut self.io else {
            bail!(ErrorKind::ConnectionLost);
        };
        let buffer = SCRATCH
            .with_borrow_mut(Option::take)
            .unwrap_or_else(|| Vec::with_capacity(READ_LEN));
        let (result, mut buffer) = io.read(buffer).await;
        let read = result.change_context(ErrorKind::ConnectionLost)?;
        self.input.extend_from_slice(&buffer[..read]);
        // A read fills the capacity, so the buffer need not be cleared to its
        // full length, which would cost more than most reads.
        buffer.clear();
        SCRATCH.with_borrow_mut(|scratch| *scratch = Some(buffer));
        Ok(read > 0)
    }
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("is_encrypted", &self.is_encrypted())
            .finish_non_exhaustive()
    }
}

/// Reads more decrypted bytes and returns whether there were any.
///
/// The shared buffer is borrowed only while bytes are moved, so that an idle
/// connection holds none, and nothing is lost if the caller gives up.
async fn fill_encrypted(io: &mut TlsStream, input: &mut BytesMut) -> Result<bool> {
    let read = poll_fn(|cx| {
        SCRATCH.with_borrow_mut(|scratch| {
            let buffer = scratch.get_or_insert_default();
            buffer.resize(READ_LEN, 0);
            let polled = Pin::new(&mut *io).poll_read(cx, buffer);
            if let Poll::Ready(Ok(read)) = &polled {
                input.extend_from_slice(&buffer[..*read]);
            }
            buffer.clear();
            polled
        })
    });
    let read = read.await.change_context(ErrorKind::ConnectionLost)?;
    Ok(read > 0)
}

fn check_len(len: usize, limit: usize) -> Result<()> {
    if len < HEADER_LEN {
        return Err(Report::new(ErrorKind::Protocol));
    }
    if len > limit {
        return Err(Report::new(ErrorKind::TooLarge).attach(format!("message of {len} bytes")));
    }
    Ok(())
}
