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
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection breaks.
    pub async fn readable(&self) -> Result<()> {
        // The relaxed form reports what the last poll saw, also after all of
        // it was read: idle clients would seem to send, and idle database
        // connections to be unfit for use.
        self.io
            .readable(false)
            .await
            .change_context(ErrorKind::ConnectionLost)
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
            .unwrap_or_else(|| vec![0; READ_LEN]);
        let (result, buffer) = self.io.read(buffer).await;
        let read = result.change_context(ErrorKind::ConnectionLost)?;
        self.input.extend_from_slice(&buffer[..read]);
        SCRATCH.with_borrow_mut(|scratch| *scratch = Some(restore(buffer)));
        Ok(read > 0)
    }
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

/// Restores the full length, which a read cuts to the bytes received.
fn restore(mut buffer: Vec<u8>) -> Vec<u8> {
    buffer.resize(READ_LEN, 0);
    buffer
}
