//! Moves frames over one TCP connection.

use std::cell::RefCell;
use std::net::SocketAddr;

use burdockslip_types::{ErrorKind, Result};
use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt, bail};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;

use crate::frame::{Frame, HEADER_LEN, declared_len};

/// Size of the buffer that a read fills, in bytes.
const READ_LEN: usize = 32 * 1024;

thread_local! {
    /// Shares one read buffer between all connections, so that an idle one holds none.
    static SCRATCH: RefCell<Option<Vec<u8>>> = const { RefCell::new(None) };
}

/// Reads and writes frames on one TCP connection.
#[derive(Debug)]
pub struct Connection {
    io: TcpStream,
    input: BytesMut,
    limit: usize,
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
            io,
            input: BytesMut::new(),
            limit,
        }
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
        loop {
            if let Some(frame) = self.take_frame()? {
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
        let Some(len) = declared_len(&self.input) else {
            return Ok(None);
        };
        self.check_len(len)?;
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
        let (result, _) = self.io.write_all(bytes).await;
        result.change_context(ErrorKind::ConnectionLost)?;
        Ok(())
    }

    /// Closes the sending side.
    pub async fn shutdown(&mut self) {
        // The peer may have closed first; there is nothing left to do then.
        let _ = self.io.shutdown().await;
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
        self.io
            .readable(false)
            .await
            .change_context(ErrorKind::ConnectionLost)
    }

    fn check_len(&self, len: usize) -> Result<()> {
        if len < HEADER_LEN {
            return Err(Report::new(ErrorKind::Protocol));
        }
        if len > self.limit {
            return Err(Report::new(ErrorKind::TooLarge).attach(format!("message of {len} bytes")));
        }
        Ok(())
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
        // Waiting without a buffer keeps idle connections small and loses
        // nothing if the caller gives up.
        self.readable().await?;
        let buffer = SCRATCH
            .with_borrow_mut(Option::take)
            .unwrap_or_else(|| Vec::with_capacity(READ_LEN));
        let (result, mut buffer) = self.io.read(buffer).await;
        let read = result.change_context(ErrorKind::ConnectionLost)?;
        self.input.extend_from_slice(&buffer[..read]);
        // A read fills the capacity, so the buffer need not be cleared to its
        // full length, which would cost more than most reads.
        buffer.clear();
        SCRATCH.with_borrow_mut(|scratch| *scratch = Some(buffer));
        Ok(read > 0)
    }
}
