//! Reads and writes whole messages on a socket.

use std::pin::pin;

use burdockslip_runtime::readable;
use burdockslip_types::{ErrorKind, Result};
use bytes::BytesMut;
use error_stack::{Report, bail};
use futures::FutureExt;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;

/// Bounds the bytes read at once; most messages are some hundred bytes.
const CHUNK: usize = 4096;

/// Carries messages over a socket, without a buffer while it is idle.
#[derive(Debug)]
pub struct Framed {
    stream: TcpStream,
    received: BytesMut,
}

impl Framed {
    /// Wraps a connected socket.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            received: BytesMut::new(),
        }
    }

    /// Waits for the next message.
    ///
    /// Dropping the future loses nothing: bytes are taken from the socket
    /// only when they are there.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` at the end of the stream, or what `read` returns.
    pub async fn next<T>(&mut self, read: fn(&mut BytesMut) -> Result<Option<T>>) -> Result<T> {
        loop {
            if let Some(message) = read(&mut self.received)? {
                if self.received.is_empty() {
                    self.received = BytesMut::new();
                }
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> Result<()> {
        let lost = |error| Report::new(error).change_context(ErrorKind::ConnectionLost);
        readable(&self.stream).await.map_err(lost)?;
        let (outcome, chunk) = self.stream.read(Vec::with_capacity(CHUNK)).await;
        if outcome.map_err(lost)? == 0 {
            bail!(Report::new(ErrorKind::ConnectionLost).attach("closed by the peer"));
        }
        self.received.extend_from_slice(&chunk);
        Ok(())
    }

    /// Sends bytes.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection is broken.
    pub async fn send(&mut self, bytes: BytesMut) -> Result<()> {
        let (outcome, _) = self.stream.write_all(bytes.freeze()).await;
        outcome
            .map(|_| ())
            .map_err(|error| Report::new(error).change_context(ErrorKind::ConnectionLost))
    }

    /// Sends the end of the stream and drops what still arrives until the peer
    /// ends it, too.
    ///
    /// A socket that is closed with unread bytes is reset, and the peer loses
    /// what was sent last.
    pub async fn finish(&mut self) {
        let mut outcome = self.stream.shutdown().await.map_err(|_| ());
        while outcome.is_ok() {
            self.received.clear();
            outcome = self.fill().await.map_err(|_| ());
        }
    }

    /// Returns whether nothing has arrived; an idle connection on which
    /// something has arrived was closed or answers something unasked.
    pub fn is_quiet(&self) -> bool {
        self.received.is_empty() && pin!(readable(&self.stream)).now_or_never().is_none()
    }
}
