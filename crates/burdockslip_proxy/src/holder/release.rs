//! Buffers an answer until a majority has confirmed the data that it reflects,
//! so that a failover cannot lose it.

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{ErrorKind, Result};
use burdockslip_wire::Frame;
use bytes::BytesMut;
use error_stack::{Report, ResultExt, bail};
use futures::SinkExt;
use futures::channel::mpsc;

use super::Holder;
use super::route::{self, Check};
use crate::exchange::{Event, RunUnit};

/// The maximum size of an [`Event::Part`], in bytes.
const PART_LEN: usize = 64 * 1024;
/// The size from which the answer to a read is confirmed and forwarded while the
/// database is still sending it, in bytes.
const STREAM_THRESHOLD: usize = 256 * 1024;
/// The maximum size of an answer that cannot be forwarded early, in bytes.
const BUFFER_LIMIT: usize = 16 << 20;

/// Buffers the answer to a unit and forwards confirmed parts of it.
pub(super) struct ResponseBuffer<'a> {
    holder: &'a Holder,
    check: &'a Check,
    events: &'a mut mpsc::Sender<Event>,
    buffer: BytesMut,
    deadline: Instant,
    may_stream: bool,
    is_pinned: bool,
    is_confirmed: bool,
}

impl<'a> ResponseBuffer<'a> {
    /// Creates an empty buffer for the answer to `run`.
    pub(super) fn new(
        holder: &'a Holder,
        run: &RunUnit,
        check: &'a Check,
        is_pinned: bool,
        events: &'a mut mpsc::Sender<Event>,
    ) -> Self {
        Self {
            holder,
            check,
            events,
            buffer: BytesMut::new(),
            deadline: now() + run.remaining,
            may_stream: run.may_stream,
            is_pinned,
            is_confirmed: false,
        }
    }

    /// Adds the next message of the answer, and forwards the buffer if it has
    /// grown large and the unit may be streamed.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` if an answer that cannot be streamed exceeds the
    /// limit, `OutcomeUnknown` if a part cannot be confirmed, `ConnectionLost` if
    /// the endpoint is gone.
    pub(super) async fn push(&mut self, frame: &Frame) -> Result<()> {
        if frame.tag() == b'C' {
            // The next statement of the unit may read a later state, which
            // needs another confirmation.
            self.is_confirmed = false;
        }
        self.buffer.extend_from_slice(frame.bytes());
        if self.buffer.len() < STREAM_THRESHOLD {
            return Ok(());
        }
        if !self.may_stream {
            if self.buffer.len() > BUFFER_LIMIT {
                bail!(ErrorKind::TooLarge);
            }
            return Ok(());
        }
        self.confirm().await?;
        self.flush().await
    }

    /// Forwards everything that is buffered.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the endpoint is gone.
    pub(super) async fn flush(&mut self) -> Result<()> {
        while !self.buffer.is_empty() {
            let len = self.buffer.len().min(PART_LEN);
            let part = self.buffer.split_to(len).freeze();
            self.events
                .send(Event::Part(part))
                .await
                .change_context(ErrorKind::ConnectionLost)?;
        }
        Ok(())
    }

    /// Confirms the database's current log position.
    ///
    /// It was read after the statement had started, so the statement's snapshot
    /// contains nothing later. Inside a transaction this is skipped, because the
    /// end of the transaction is confirmed instead.
    async fn confirm(&mut self) -> Result<()> {
        if self.is_pinned || self.is_confirmed {
            return Ok(());
        }
        let status = (self.holder.control.status)().await?;
        route::verify(self.holder, self.check, status.position, self.deadline)
            .await
            .map_err(|failure| Report::new(failure.kind).attach(failure.detail))?;
        self.is_confirmed = true;
        Ok(())
    }
}
