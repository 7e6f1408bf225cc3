//! The two halves of a stream of messages.

use std::fmt;
use std::future::poll_fn;

use burdockslip_types::{ErrorKind, Result};
use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt, bail};
use h2::client::ResponseFuture;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::frame;
use crate::options::FRAME_SIZE;

const STATUS_HEADER: &str = "grpc-status";
const MESSAGE_HEADER: &str = "grpc-message";

/// How a server ended a stream, with the status codes of gRPC.
///
/// A [`Receiver`] attaches it to the error of a stream that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The code, zero for success.
    pub code: u32,
    /// The reason in printable ASCII.
    pub message: String,
}

impl Status {
    /// Builds a status; a message that is no valid header value is not sent.
    pub fn new(code: u32, message: &str) -> Self {
        Self {
            code,
            message: message.to_owned(),
        }
    }

    fn to_headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(STATUS_HEADER, HeaderValue::from(self.code));
        if let Ok(message) = HeaderValue::from_str(&self.message) {
            headers.insert(MESSAGE_HEADER, message);
        }
        headers
    }

    fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let code = headers.get(STATUS_HEADER)?.to_str().ok()?.parse().ok()?;
        let message = headers.get(MESSAGE_HEADER).and_then(|m| m.to_str().ok());
        Some(Self::new(code, message.unwrap_or_default()))
    }

    fn into_result(self) -> Result<Option<Bytes>> {
        if self.code == 0 {
            return Ok(None);
        }
        Err(Report::new(ErrorKind::Protocol).attach(self))
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "status={} message={}", self.code, self.message)
    }
}

/// The sending half of a stream.
///
/// Dropping it without [`close`](Self::close) or [`fail`](Self::fail) resets
/// the stream.
pub struct Sender {
    stream: SendStream<Bytes>,
    is_server: bool,
}

impl Sender {
    pub(crate) fn new(stream: SendStream<Bytes>, is_server: bool) -> Self {
        Self { stream, is_server }
    }

    /// Sends one message, waiting until the receiver has room for it.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the stream has ended.
    pub async fn send(&mut self, message: Bytes) -> Result<()> {
        let mut rest = frame::encode(&message)?;
        while !rest.is_empty() {
            let wanted = rest.len().min(FRAME_SIZE as usize);
            let room = self.reserve(wanted).await?;
            let chunk = rest.split_to(room.min(rest.len()));
            self.stream
                .send_data(chunk, false)
                .change_context(ErrorKind::ConnectionLost)?;
        }
        Ok(())
    }

    /// Waits until the flow-control window has room for at least one of `wanted`
    /// bytes, and returns the room.
    async fn reserve(&mut self, wanted: usize) -> Result<usize> {
        self.stream.reserve_capacity(wanted);
        loop {
            if self.stream.capacity() > 0 {
                return Ok(self.stream.capacity());
            }
            match poll_fn(|cx| self.stream.poll_capacity(cx)).await {
                Some(Ok(0)) => {}
                Some(Ok(room)) => return Ok(room),
                Some(Err(error)) => {
                    return Err(Report::new(error).change_context(ErrorKind::ConnectionLost));
                }
                None => bail!(ErrorKind::ConnectionLost),
            }
        }
    }

    /// Closes this direction of the stream; a server thereby reports success.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the stream has already ended.
    pub fn close(mut self) -> Result<()> {
        if self.is_server {
            return self.finish(&Status::new(0, ""));
        }
        self.stream
            .send_data(Bytes::new(), true)
            .change_context(ErrorKind::ConnectionLost)
    }

    /// Ends the stream with an error; a client resets the stream instead.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the stream has already ended.
    pub fn fail(mut self, status: &Status) -> Result<()> {
        if self.is_server {
            return self.finish(status);
        }
        self.stream.send_reset(h2::Reason::CANCEL);
        Ok(())
    }

    fn finish(&mut self, status: &Status) -> Result<()> {
        self.stream
            .send_trailers(status.to_headers())
            .change_context(ErrorKind::ConnectionLost)
    }

    /// Waits until the other end resets the stream or the connection breaks.
    pub async fn wait_for_reset(&mut self) {
        // The reason does not matter: in each case the receiver is gone.
        let _ = poll_fn(|cx| self.stream.poll_reset(cx)).await;
    }
}

impl fmt::Debug for Sender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sender")
            .field("is_server", &self.is_server)
            .finish_non_exhaustive()
    }
}

/// The receiving half of a stream.
pub struct Receiver {
    source: Source,
    buffer: BytesMut,
    limit: usize,
}

enum Source {
    /// A client waits for the headers of the response.
    Response(ResponseFuture),
    /// A client reads the body and expects a status in the trailers.
    Reply(RecvStream),
    /// A server reads the body until the client closes its direction.
    Request(RecvStream),
    /// The stream has ended.
    Ended,
}

impl Receiver {
    pub(crate) fn from_response(response: ResponseFuture, limit: usize) -> Self {
        Self {
            source: Source::Response(response),
            buffer: BytesMut::new(),
            limit,
        }
    }

    pub(crate) fn from_request(body: RecvStream, limit: usize) -> Self {
        Self {
            source: Source::Request(body),
            buffer: BytesMut::new(),
            limit,
        }
    }

    /// Waits for the next message; `None` if the sender closed the stream.
    ///
    /// Flow-control capacity is released only as messages are read, so a slow
    /// reader slows the sender down.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the stream broke, `TooLarge` for a message
    /// above the limit, and `Protocol` with a [`Status`] attached if the server
    /// ended the stream with an error. None of these errors implies that the
    /// request did not run.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        let result = self.read().await;
        if !matches!(result, Ok(Some(_))) {
            self.source = Source::Ended;
        }
        result
    }

    async fn read(&mut self) -> Result<Option<Bytes>> {
        loop {
            if let Some(message) = frame::decode(&mut self.buffer, self.limit)? {
                return Ok(Some(message));
            }
            match &mut self.source {
                Source::Ended => return Ok(None),
                Source::Response(response) => {
                    let response = response.await.change_context(ErrorKind::ConnectionLost)?;
                    if let Some(status) = Status::from_headers(response.headers()) {
                        return status.into_result();
                    }
                    if response.status() != StatusCode::OK {
                        bail!(ErrorKind::Protocol);
                    }
                    self.source = Source::Reply(response.into_body());
                }
                Source::Reply(body) => {
                    if !fill(body, &mut self.buffer).await? {
                        return finish_reply(body).await;
                    }
                }
                Source::Request(body) => {
                    if !fill(body, &mut self.buffer).await? {
                        return finish_request(&self.buffer);
                    }
                }
            }
        }
    }
}

/// Reads more bytes into `buffer`; returns false at the end of the body.
async fn fill(body: &mut RecvStream, buffer: &mut BytesMut) -> Result<bool> {
    let Some(chunk) = body.data().await else {
        return Ok(false);
    };
    let chunk = chunk.change_context(ErrorKind::ConnectionLost)?;
    body.flow_control()
        .release_capacity(chunk.len())
        .change_context(ErrorKind::ConnectionLost)?;
    buffer.extend_from_slice(&chunk);
    Ok(true)
}

async fn finish_reply(body: &mut RecvStream) -> Result<Option<Bytes>> {
    let trailers = body
        .trailers()
        .await
        .change_context(ErrorKind::ConnectionLost)?;
    match trailers.as_ref().and_then(Status::from_headers) {
        Some(status) => status.into_result(),
        None => bail!(ErrorKind::Protocol),
    }
}

fn finish_request(rest: &BytesMut) -> Result<Option<Bytes>> {
    if rest.is_empty() {
        return Ok(None);
    }
    bail!(ErrorKind::Protocol)
}

impl fmt::Debug for Receiver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Receiver")
            .field("buffered", &self.buffer.len())
            .finish_non_exhaustive()
    }
}
