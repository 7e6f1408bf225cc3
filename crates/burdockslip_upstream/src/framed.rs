//! Reads and writes complete messages on a socket.

use std::pin::pin;
use std::time::Duration;

use burdockslip_runtime::{readable, sleep};
use burdockslip_types::{ErrorKind, Result};
use bytes::BytesMut;
use error_stack::{Report, bail};
use futures::FutureExt;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;

/// The maximum number of bytes per read; most messages are a few hundred bytes.
const CHUNK: usize = 4096;

/// The number of reads of data that is discarded between two pauses.
const DISCARDED_READS: u32 = 64;

/// The pause after that many reads.
const DISCARD_PAUSE: Duration = Duration::from_millis(1);

/// A socket that carries messages. It allocates no receive buffer while idle.
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
    /// The future can be dropped without losing data: bytes are read from the
    /// socket only once they have arrived.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection ends or fails, or the error of `read`.
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
            bail!(Report::new(ErrorKind::ConnectionLost).attach("connection closed by peer"));
        }
        self.received.extend_from_slice(&chunk);
        Ok(())
    }

    /// Sends all of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection fails.
    pub async fn send(&mut self, bytes: BytesMut) -> Result<()> {
        let (outcome, _) = self.stream.write_all(bytes.freeze()).await;
        outcome
            .map(|_| ())
            .map_err(|error| Report::new(error).change_context(ErrorKind::ConnectionLost))
    }

    /// Shuts down the sending side, then discards incoming data until the peer
    /// closes its side.
    ///
    /// Closing a socket with unread data resets it, and the peer may lose the
    /// last message.
    pub async fn finish(&mut self) {
        let mut outcome = self.stream.shutdown().await.map_err(|_| ());
        let mut reads = 0_u32;
        while outcome.is_ok() {
            self.received.clear();
            reads = reads.wrapping_add(1);
            // A peer that sends without a break must not occupy the thread.
            if reads.is_multiple_of(DISCARDED_READS) {
                sleep(DISCARD_PAUSE).await;
            }
            outcome = self.fill().await.map_err(|_| ());
        }
    }

    /// Returns whether no data or end of stream has arrived. If something arrives
    /// on an idle connection, the peer has closed it or sent an unexpected message.
    pub fn is_quiet(&self) -> bool {
        self.received.is_empty() && pin!(readable(&self.stream)).now_or_never().is_none()
    }
}
