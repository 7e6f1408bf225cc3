//! Holds an answer back until the data that it reflects cannot be lost any more.

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{ErrorKind, Result};
use burdockslip_wire::Frame;
use bytes::BytesMut;
use error_stack::{Report, ResultExt, bail};
use futures::SinkExt;
use futures::channel::mpsc;

use super::Holder;
use super::route::{self, Check};
use crate::exchange::{Event, Run};

/// Size of the parts in which an answer is passed on, in bytes.
const PART_LEN: usize = 64 * 1024;
/// Size above which the answer to a read is proved and passed on while the
/// database still sends it, in bytes.
const HELD_LEN: usize = 256 * 1024;
/// Size above which an answer that cannot be passed on early is given up, in bytes.
const HELD_LIMIT: usize = 16 << 20;

/// Holds an answer back, and passes on parts of it that are proved.
pub(super) struct Release<'a> {
    holder: &'a Holder,
    check: &'a Check,
    events: &'a mut mpsc::Sender<Event>,
    held: BytesMut,
    deadline: Instant,
    may_stream: bool,
    is_pinned: bool,
    is_proved: bool,
}

impl<'a> Release<'a> {
    /// Prepares to hold the answer to `run`.
    pub(super) fn new(
        holder: &'a Holder,
        run: &Run,
        check: &'a Check,
        is_pinned: bool,
        events: &'a mut mpsc::Sender<Event>,
    ) -> Self {
        Self {
            holder,
            check,
            events,
            held: BytesMut::new(),
            deadline: now() + run.remaining,
            may_stream: run.may_stream,
            is_pinned,
            is_proved: false,
        }
    }

    /// Takes the next message of the answer.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` for an answer that has to be held and is too long,
    /// `OutcomeUnknown` if a long answer cannot be proved, `ConnectionLost` if
    /// the endpoint has gone.
    pub(super) async fn push(&mut self, frame: &Frame) -> Result<()> {
        if frame.tag() == b'C' {
            // The next statement of the unit reads a later state.
            self.is_proved = false;
        }
        self.held.extend_from_slice(frame.bytes());
        if self.held.len() < HELD_LEN {
            return Ok(());
        }
        if !self.may_stream {
            if self.held.len() > HELD_LIMIT {
                bail!(ErrorKind::TooLarge);
            }
            return Ok(());
        }
        self.prove().await?;
        self.finish().await
    }

    /// Passes on all that is held.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the endpoint has gone.
    pub(super) async fn finish(&mut self) -> Result<()> {
        while !self.held.is_empty() {
            let len = self.held.len().min(PART_LEN);
            let part = self.held.split_to(len).freeze();
            self.events
                .send(Event::Part(part))
                .await
                .change_context(ErrorKind::ConnectionLost)?;
        }
        Ok(())
    }

    /// Confirms a mark taken after the statement had started, which bounds what it reads.
    ///
    /// Inside a transaction the end of the transaction is confirmed instead.
    async fn prove(&mut self) -> Result<()> {
        if self.is_pinned || self.is_proved {
            return Ok(());
        }
        let status = (self.holder.control.status)().await?;
        route::verify(self.holder, self.check, status.position, self.deadline)
            .await
            .map_err(|failed| Report::new(failed.kind).attach(failed.detail))?;
        self.is_proved = true;
        Ok(())
    }
}
