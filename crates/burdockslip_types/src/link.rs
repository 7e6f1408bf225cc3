//! Defines typed requests between hosts, independent of how they travel.

use std::fmt;
use std::rc::Rc;

use futures::future::LocalBoxFuture;

use crate::{HostId, Result};

/// Pairs a request type with its reply type.
pub trait Exchange: 'static {
    /// The message sent to another host.
    type Request: serde::Serialize + serde::de::DeserializeOwned + 'static;
    /// The message that comes back.
    type Reply: serde::Serialize + serde::de::DeserializeOwned + 'static;
    /// The name under which requests are dispatched, unique among exchanges.
    const NAME: &'static str;
}

type SendFn<E> = dyn Fn(
    HostId,
    <E as Exchange>::Request,
) -> LocalBoxFuture<'static, Result<<E as Exchange>::Reply>>;

/// Sends the requests of one exchange to other hosts.
///
/// Tests replace the network by a closure (`docs/design.md`, section 3.2).
pub struct PeerClient<E: Exchange>(Rc<SendFn<E>>);

impl<E: Exchange> PeerClient<E> {
    /// Builds a link from the function that carries a request to a host.
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
    /// kind with which it answered. Callers add their own timeout.
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
