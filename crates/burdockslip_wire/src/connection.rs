//! Reads and writes frames on one TCP connection, plain or encrypted.

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

/// The size of the shared read buffer, in bytes.
const READ_BUFFER_LEN: usize = 32 * 1024;

/// How long closing an encrypted connection may take, since the peer may have
/// stopped reading.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

thread_local! {
    /// The read buffer that all connections share, so that an idle one holds none.
    static READ_BUFFER: RefCell<Option<Vec<u8>>> = const { RefCell::new(None) };
}

/// A TCP connection that carries frames, plain or encrypted.
pub struct Connection {
    io: Io,
    input: BytesMut,
    limit: usize,
}

enum Io {
    Plain(TcpStream),
    Encrypted(Box<TlsStream>),
    /// The TLS handshake is in progress or has failed.
    Closed,
}

impl Connection {
    /// Connects to `address`. Received messages may have at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection cannot be established.
    pub async fn connect(address: SocketAddr, limit: usize) -> Result<Self> {
        let io = TcpStream::connect(address)
            .await
            .change_context(ErrorKind::ConnectionLost)?;
        Ok(Self::new(io, limit))
    }

    /// Wraps an established connection. Received messages may have at most
    /// `limit` bytes.
    pub fn new(io: TcpStream, limit: usize) -> Self {
        // With Nagle's algorithm, a small message would wait for the
        // acknowledgement of the previous one.
        let _ = io.set_nodelay(true);
        Self {
            io: Io::Plain(io),
            input: BytesMut::new(),
            limit,
        }
    }

    /// Switches to TLS, after the peer has been asked to start the handshake.
    ///
    /// # Errors
    ///
    /// Returns `Protocol` if bytes were received before the handshake, which
    /// an attacker on the network could have injected, and `ConnectionLost` if
    /// the handshake fails; the connection is unusable then.
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

    /// Returns whether there are received bytes that no message has consumed.
    pub fn has_unread(&self) -> bool {
        !self.input.is_empty()
    }

    /// Reads the next frame, or `None` if the peer closed the connection
    /// between frames.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` or `Protocol` for a bad header and `ConnectionLost`
    /// if the connection breaks.
    pub async fn read_frame(&mut self) -> Result<Option<Frame>> {
        self.read_frame_within(self.limit).await
    }

    /// Reads the next frame of at most `limit` bytes, or `None` if the peer
    /// closed the connection between frames.
    ///
    /// # Errors
    ///
    /// As [`Connection::read_frame`].
    pub async fn read_frame_within(&mut self, limit: usize) -> Result<Option<Frame>> {
        loop {
            if let Some(frame) = self.take_frame_within(limit)? {
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

    /// Takes the next frame without waiting, or `None` if it has not been
    /// received completely.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` or `Protocol` for a bad header.
    pub fn take_frame(&mut self) -> Result<Option<Frame>> {
        self.take_frame_within(self.limit)
    }

    fn take_frame_within(&mut self, limit: usize) -> Result<Option<Frame>> {
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

    /// Reads a message without a type tag, as clients send at startup: its
    /// length and its body.
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
        // An error means that the peer closed the connection first.
        match &mut self.io {
            Io::Plain(io) => drop(io.shutdown().await),
            Io::Encrypted(io) => drop(timeout(CLOSE_TIMEOUT, AsyncWriteExt::close(io)).await),
            Io::Closed => {}
        }
    }

    /// Waits until bytes or the end of the stream can be read.
    ///
    /// Unlike [`Connection::readable`], it also works on encrypted connections,
    /// where received bytes have to be decrypted to tell whether they carry data.
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

    /// Waits until bytes or the end of the stream can be read on a plain
    /// connection.
    ///
    /// Queries the operating system, because the readiness that the runtime
    /// caches is stale once the bytes have been read.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection breaks.
    pub async fn readable(&self) -> Result<()> {
        // The runtime's relaxed check reports the result of the last poll even
        // after all bytes were read: idle clients would seem to be sending, and
        // idle database connections would seem unusable.
        let Io::Plain(io) = &self.io else {
            bail!(ErrorKind::ConnectionLost);
        };
        readable(io).await.change_context(ErrorKind::ConnectionLost)
    }

    fn take(&mut self, len: usize) -> Bytes {
        let bytes = self.input.split_to(len).freeze();
        if self.input.is_empty() {
            // Allows the allocation to be freed when the frame is dropped, so
            // that an idle connection holds no buffer.
            self.input = BytesMut::new();
        }
        bytes
    }

    /// Reads more bytes. Returns `false` at the end of the stream.
    async fn fill(&mut self) -> Result<bool> {
        if let Io::Encrypted(io) = &mut self.io {
            return fill_encrypted(io, &mut self.input).await;
        }
        // Waiting without a buffer keeps idle connections small and loses no
        // bytes if the future is dropped.
        self.readable().await?;
        let Io::Plain(io) = &mut self.io else {
            bail!(ErrorKind::ConnectionLost);
        };
        let buffer = READ_BUFFER
            .with_borrow_mut(Option::take)
            .unwrap_or_else(|| Vec::with_capacity(READ_BUFFER_LEN));
        let (result, mut buffer) = io.read(buffer).await;
        let read = result.change_context(ErrorKind::ConnectionLost)?;
        self.input.extend_from_slice(&buffer[..read]);
        // A read fills the capacity, so the buffer does not have to be zeroed
        // to its full length, which would cost more than most reads.
        buffer.clear();
        READ_BUFFER.with_borrow_mut(|slot| *slot = Some(buffer));
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

/// Reads more decrypted bytes. Returns `false` at the end of the stream.
///
/// The shared buffer is borrowed only while bytes are copied, so that an idle
/// connection holds none, and no bytes are lost if the future is dropped.
async fn fill_encrypted(io: &mut TlsStream, input: &mut BytesMut) -> Result<bool> {
    let read = poll_fn(|cx| {
        READ_BUFFER.with_borrow_mut(|slot| {
            let buffer = slot.get_or_insert_default();
            buffer.resize(READ_BUFFER_LEN, 0);
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
        return Err(Report::new(ErrorKind::TooLarge).attach(format!(
            "message of {len} bytes exceeds the limit of {limit} bytes"
        )));
    }
    Ok(())
}
