//! The events of a watch over the network.

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

/// The number of progress periods without a response after which a watch
/// fails; on a partitioned connection, it would otherwise look like a watch
/// without changes.
const SILENT_PERIODS: u32 = 3;

/// The two directions of the stream and the events not yet yielded.
pub(crate) struct WatchStream {
    sender: Sender,
    receiver: Receiver,
    events: VecDeque<Event>,
    last_response: Instant,
    progress_due: Instant,
    is_requested: bool,
    is_broken: bool,
}

impl WatchStream {
    pub(crate) fn new(sender: Sender, receiver: Receiver) -> Self {
        Self {
            sender,
            receiver,
            events: VecDeque::new(),
            last_response: now(),
            progress_due: now() + PROGRESS_PERIOD,
            is_requested: false,
            is_broken: false,
        }
    }

    /// Waits for the next event; requests progress while there is none.
    async fn next(&mut self) -> Result<Event> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            match timeout_at(self.progress_due, self.receiver.next()).await {
                Ok(Ok(Some(message))) => self.handle_response(message)?,
                Ok(Ok(None)) => bail!(ErrorKind::StoreUnavailable),
                Ok(Err(error)) => return Err(error.change_context(ErrorKind::StoreUnavailable)),
                Err(_) => self.request_progress().await?,
            }
        }
    }

    fn handle_response(&mut self, message: Bytes) -> Result<()> {
        let response =
            WatchResponse::decode(message).change_context(ErrorKind::StoreUnavailable)?;
        self.last_response = now();
        if response.canceled {
            bail!(ErrorKind::StoreUnavailable);
        }
        if response.events.is_empty() && !response.created {
            self.is_requested = false;
            let revision = convert::header_revision(response.header);
            self.events.push_back(Event::Progress(revision));
        }
        for event in response.events {
            self.events.push_back(convert::event(event)?);
        }
        Ok(())
    }

    /// Requests progress, with at most one request in flight: the state that a
    /// notice reports is then newer than the arrival of the previous notice.
    async fn request_progress(&mut self) -> Result<()> {
        if self.last_response.elapsed() > PROGRESS_PERIOD * SILENT_PERIODS {
            bail!(ErrorKind::StoreUnavailable);
        }
        self.progress_due = now() + PROGRESS_PERIOD;
        if std::mem::replace(&mut self.is_requested, true) {
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

/// Converts to a stream of events that ends after the first error.
pub(crate) fn watch(stream: WatchStream) -> Watch {
    futures::stream::unfold(stream, |mut stream| async {
        if stream.is_broken {
            return None;
        }
        let event = stream.next().await;
        stream.is_broken = event.is_err();
        Some((event, stream))
    })
    .boxed_local()
}
