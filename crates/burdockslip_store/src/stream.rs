//! Yields the events of a watch over the network.

use std::collections::VecDeque;

use burdockslip_http2::{Receiver, Sender};
use burdockslip_runtime::{Instant, now, timeout_at};
use burdockslip_types::{ErrorKind, Result};
use bytes::Bytes;
use error_stack::{ResultExt, bail};
use futures::StreamExt;
use prost::Message;

use crate::etcd::{WatchProgressRequest, WatchRequest, WatchResponse, watch_request};
use crate::{Event, PROGRESS_PERIOD, Watch, convert};

/// Counts the progress requests that may stay unanswered; a watch on a cut
/// connection would otherwise look like one without changes.
const SILENT_PERIODS: u32 = 3;

/// Holds the two directions of the stream and the events not yet taken.
pub(crate) struct Feed {
    sender: Sender,
    receiver: Receiver,
    events: VecDeque<Event>,
    heard: Instant,
    progress: Instant,
    is_waiting: bool,
    is_broken: bool,
}

impl Feed {
    pub(crate) fn new(sender: Sender, receiver: Receiver) -> Self {
        Self {
            sender,
            receiver,
            events: VecDeque::new(),
            heard: now(),
            progress: now() + PROGRESS_PERIOD,
            is_waiting: false,
            is_broken: false,
        }
    }

    /// Waits for the next event, asking for progress while there is none.
    async fn next(&mut self) -> Result<Event> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            match timeout_at(self.progress, self.receiver.next()).await {
                Ok(Ok(Some(message))) => self.take(message)?,
                Ok(Ok(None)) => bail!(ErrorKind::StoreUnavailable),
                Ok(Err(error)) => return Err(error.change_context(ErrorKind::StoreUnavailable)),
                Err(_) => self.request_progress().await?,
            }
        }
    }

    fn take(&mut self, message: Bytes) -> Result<()> {
        let response =
            WatchResponse::decode(message).change_context(ErrorKind::StoreUnavailable)?;
        self.heard = now();
        if response.canceled {
            bail!(ErrorKind::StoreUnavailable);
        }
        if response.events.is_empty() && !response.created {
            self.is_waiting = false;
            let revision = convert::header_revision(response.header);
            self.events.push_back(Event::Progress(revision));
        }
        for event in response.events {
            self.events.push_back(convert::event(event)?);
        }
        Ok(())
    }

    /// Asks for progress, one request at a time: a notice then proves the
    /// state at a moment after the one before it arrived.
    async fn request_progress(&mut self) -> Result<()> {
        if self.heard.elapsed() > PROGRESS_PERIOD * SILENT_PERIODS {
            bail!(ErrorKind::StoreUnavailable);
        }
        self.progress = now() + PROGRESS_PERIOD;
        if std::mem::replace(&mut self.is_waiting, true) {
            return Ok(());
        }
        let request = watch_request::Request::Progress(WatchProgressRequest {});
        let message = WatchRequest {
            request: Some(request),
        };
        self.sender
            .send(Bytes::from(message.encode_to_vec()))
            .await
            .change_context(ErrorKind::StoreUnavailable)
    }
}

/// Turns a feed into a stream that ends after its first error.
pub(crate) fn watch(feed: Feed) -> Watch {
    futures::stream::unfold(feed, |mut feed| async {
        if feed.is_broken {
            return None;
        }
        let event = feed.next().await;
        feed.is_broken = event.is_err();
        Some((event, feed))
    })
    .boxed_local()
}
