//! Typed messages on one stream.

use std::marker::PhantomData;

use burdockslip_http2::{Receiver, Sender};
use burdockslip_types::Result;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::codec;

/// The sending half of a stream of messages of one type.
///
/// Dropping it without [`close`](Self::close) resets the stream.
#[derive(Debug)]
pub struct StreamSender<T> {
    sender: Sender,
    message: PhantomData<T>,
}

/// The receiving half of a stream of messages of one type.
#[derive(Debug)]
pub struct StreamReceiver<T> {
    receiver: Receiver,
    message: PhantomData<T>,
}

impl<T: Serialize> StreamSender<T> {
    pub(crate) fn new(sender: Sender) -> Self {
        Self {
            sender,
            message: PhantomData,
        }
    }

    /// Sends one message, waiting until the receiver has room.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the stream has ended, `TooLarge` for a
    /// message above [`crate::MESSAGE_LIMIT`].
    pub async fn send(&mut self, message: &T) -> Result<()> {
        self.sender.send(codec::encode(message)?).await
    }

    /// Closes this direction of the stream; the receiver gets all messages.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the stream has ended.
    pub fn close(self) -> Result<()> {
        self.sender.close()
    }

    /// Waits until the other end resets the stream or the connection breaks.
    pub async fn wait_for_reset(&mut self) {
        self.sender.wait_for_reset().await;
    }
}

impl<T: DeserializeOwned> StreamReceiver<T> {
    pub(crate) fn new(receiver: Receiver) -> Self {
        Self {
            receiver,
            message: PhantomData,
        }
    }

    /// Waits for the next message; `None` if the sender closed the stream.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Receiver::next`], and `Protocol` if the message
    /// cannot be decoded.
    pub async fn next(&mut self) -> Result<Option<T>> {
        match self.receiver.next().await? {
            Some(bytes) => codec::decode(&bytes).map(Some),
            None => Ok(None),
        }
    }
}
