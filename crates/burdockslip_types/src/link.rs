//! Typed requests between hosts, independent of the transport.

use std::fmt;
use std::rc::Rc;

use futures::future::LocalBoxFuture;

use crate::{HostId, Result};

/// A kind of request between hosts, with the type of its reply.
pub trait Exchange: 'static {
    /// The message that is sent to another host.
    type Request: serde::Serialize + serde::de::DeserializeOwned + 'static;
    /// The message with which the other host replies.
    type Reply: serde::Serialize + serde::de::DeserializeOwned + 'static;
    /// The name by which the receiving host selects the handler, unique among exchanges.
    const NAME: &'static str;
}

type SendFn<E> = dyn Fn(
    HostId,
    <E as Exchange>::Request,
) -> LocalBoxFuture<'static, Result<<E as Exchange>::Reply>>;

/// A client for sending the requests of one exchange to other hosts.
///
/// Tests replace the network with a closure (`docs/design.md`, section 3.2).
pub struct PeerClient<E: Exchange>(Rc<SendFn<E>>);

impl<E: Exchange> PeerClient<E> {
    /// Creates a client from the function that sends a request to a host.
    pub fn new(
        send: impl Fn(HostId, E::Request) -> LocalBoxFuture<'static, Result<E::Reply>> + 'static,
    ) -> Self {
        Self(Rc::new(send))
    }

    /// Sends `request` to `host` and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the host cannot be reached, or the error
    /// kind with which it replied. There is no timeout; callers add their own.
    pub async fn call(&self, host: &HostId, request: E::Request) -> Result<E::Reply> {
        (self.0)(host.clone(), request).await
    }
}

impl<E: Exchange> Clone for PeerClient<E> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<E: Exchange> fmt::Debug for PeerClient<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("PeerClient").field(&E::NAME).finish()
    }
}
