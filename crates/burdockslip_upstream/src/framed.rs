//! Reads and writes complete messages on a socket.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, readable, sleep, timeout_at};
use burdockslip_types::{ErrorKind, Result};
use bytes::BytesMut;
use error_stack::{Report, bail};
use futures::FutureExt;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;

/// The maximum number of bytes of the first read of a message; most messages are a few
/// hundred bytes.
const CHUNK: usize = 4 << 10;

/// The maximum number of bytes of later reads. The whole message is parsed again after each
/// read, so that long messages need few of them.
const MAX_CHUNK: usize = 64 << 10;

/// The number of reads of data that is discarded between two pauses.
const DISCARDED_READS: u32 = 64;

/// The pause after that many reads.
const DISCARD_PAUSE: Duration = Duration::from_millis(1);

/// How long a message may take from its first bytes to its end.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// The size up to which unfinished messages are not charged, in bytes.
const FREE_BYTES: usize = 16 << 10;

/// The memory for unfinished messages of many sockets.
#[derive(Debug)]
pub struct ReceiveBudget {
    /// The limit for all sockets together, in bytes.
    limit: usize,
    used: Cell<usize>,
}

impl ReceiveBudget {
    /// Creates a budget of `limit` bytes.
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            used: Cell::new(0),
        }
    }
}

/// A socket that carries messages. It allocates no receive buffer while idle.
#[derive(Debug)]
pub struct Framed {
    stream: TcpStream,
    received: BytesMut,
    /// When the first bytes of an unfinished message were found.
    started: Option<Instant>,
    budget: Option<Rc<ReceiveBudget>>,
    /// The part of the budget that this socket uses.
    charged: usize,
}

impl Framed {
    /// Wraps a connected socket.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            received: BytesMut::new(),
            started: None,
            budget: None,
            charged: 0,
        }
    }

    /// Wraps the connected socket of a client, whose unfinished messages are charged to
    /// `budget`.
    pub fn with_budget(stream: TcpStream, budget: Rc<ReceiveBudget>) -> Self {
        let mut framed = Self::new(stream);
        framed.budget = Some(budget);
        framed
    }

    /// Waits for the next message.
    ///
    /// The future can be dropped without losing data: bytes are read from the
    /// socket only once they have arrived.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection ends or fails, `Protocol` if a message is
    /// not complete within 10 s, `QueueFull` if there is no memory for it, or the error of
    /// `read`.
    pub async fn next<T>(&mut self, read: fn(&mut BytesMut) -> Result<Option<T>>) -> Result<T> {
        loop {
            if let Some(message) = read(&mut self.received)? {
                if self.received.is_empty() {
                    self.received = BytesMut::new();
                }
                self.started = None;
                self.charge()?;
                return Ok(message);
            }
            if self.received.is_empty() {
                self.fill().await?;
            } else {
                let started = *self.started.get_or_insert_with(now);
                let filled = timeout_at(started + MESSAGE_TIMEOUT, self.fill()).await;
                filled.unwrap_or_else(|_| {
                    bail!(Report::new(ErrorKind::Protocol).attach("message not completed"))
                })?;
            }
            self.charge()?;
        }
    }

    /// Charges the receive buffer to the budget.
    fn charge(&mut self) -> Result<()> {
        let Some(budget) = &self.budget else {
            return Ok(());
        };
        let is_free = self.received.len() <= FREE_BYTES;
        let needed = if is_free { 0 } else { self.received.capacity() };
        let used = budget.used.get() - self.charged + needed;
        if needed > self.charged && used > budget.limit {
            bail!(Report::new(ErrorKind::QueueFull).attach("no memory for unfinished messages"));
        }
        budget.used.set(used);
        self.charged = needed;
        Ok(())
    }

    async fn fill(&mut self) -> Result<()> {
        let lost = |error| Report::new(error).change_context(ErrorKind::ConnectionLost);
        readable(&self.stream).await.map_err(lost)?;
        let size = self.received.len().clamp(CHUNK, MAX_CHUNK);
        let (outcome, chunk) = self.stream.read(Vec::with_capacity(size)).await;
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
            self.received = BytesMut::new();
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

impl Drop for Framed {
    fn drop(&mut self) {
        if let Some(budget) = &self.budget {
            budget.used.set(budget.used.get() - self.charged);
        }
    }
}
