//! Dispatch of incoming requests to the handlers of their exchanges.

use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use burdockslip_http2::{Options, Receiver, Sender, Server, Tls};
use burdockslip_types::{ErrorKind, Exchange, HostId, Result};
use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tracing::{debug, warn};

use crate::codec;
use crate::stream::{StreamReceiver, StreamSender};

type Handler = Rc<dyn Fn(Receiver, Sender) -> LocalBoxFuture<'static, ()>>;

/// Returns the path under which an exchange or stream is served.
pub(crate) fn path(name: &str) -> String {
    format!("/burdockslip/{name}")
}

/// Maps exchanges and streams to their handlers.
#[derive(Default)]
pub struct Router {
    handlers: HashMap<String, Handler>,
}

impl Router {
    /// Adds the handler of an exchange, which gets the requesting host and its request.
    #[must_use]
    pub fn on<E, F, Fut>(mut self, _exchange: E, handler: F) -> Self
    where
        E: Exchange,
        F: Fn(HostId, E::Request) -> Fut + 'static,
        Fut: Future<Output = Result<E::Reply>> + 'static,
    {
        let handler = Rc::new(handler);
        let serve = move |receiver: Receiver, sender: Sender| {
            let handler = Rc::clone(&handler);
            respond::<E, Fut>(receiver, sender, move |host, request| {
                handler(host, request)
            })
            .boxed_local()
        };
        self.handlers.insert(path(E::NAME), Rc::new(serve));
        self
    }

    /// Adds the handler of the streams that are opened under `name`.
    #[must_use]
    pub fn on_stream<Req, Rep, F, Fut>(mut self, name: &str, handler: F) -> Self
    where
        Req: DeserializeOwned + 'static,
        Rep: Serialize + 'static,
        F: Fn(StreamReceiver<Req>, StreamSender<Rep>) -> Fut + 'static,
        Fut: Future<Output = ()> + 'static,
    {
        let serve = move |receiver: Receiver, sender: Sender| {
            handler(StreamReceiver::new(receiver), StreamSender::new(sender)).boxed_local()
        };
        self.handlers.insert(path(name), Rc::new(serve));
        self
    }
}

impl fmt::Debug for Router {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.handlers.keys()).finish()
    }
}

async fn respond<E, Fut>(
    mut receiver: Receiver,
    mut sender: Sender,
    handler: impl Fn(HostId, E::Request) -> Fut,
) where
    E: Exchange,
    Fut: Future<Output = Result<E::Reply>>,
{
    let Ok(Some(bytes)) = receiver.next().await else {
        return;
    };
    let reply = match codec::decode::<(HostId, E::Request)>(&bytes) {
        Ok((host, request)) => handler(host, request).await,
        Err(error) => Err(error),
    };
    let reply = reply.map_err(|report| {
        debug!(exchange = E::NAME, error = ?report, "request failed");
        *report.current_context()
    });
    if let Ok(bytes) = encode_reply::<E>(&reply)
        && sender.send(bytes).await.is_ok()
    {
        // Fails if the requesting host has given up, which needs no handling.
        let _ = sender.close();
    }
}

fn encode_reply<E: Exchange>(reply: &Result<E::Reply, ErrorKind>) -> Result<Bytes> {
    codec::encode(reply)
}

/// Serves the requests of other hosts until dropped.
#[derive(Debug)]
pub struct PeerServer {
    server: Server,
}

impl PeerServer {
    /// Listens on `address` without encryption.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the address cannot be bound.
    pub fn bind(address: SocketAddr, router: Router) -> Result<Self> {
        Self::with_tls(address, None, router)
    }

    /// Listens on `address`; with `tls`, hosts without a certificate of the
    /// same authority are rejected.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the address cannot be bound.
    pub fn with_tls(address: SocketAddr, tls: Option<Tls>, router: Router) -> Result<Self> {
        let router = Rc::new(router);
        let options = Options {
            tls,
            ..Options::default()
        };
        let server = Server::with_options(address, options, move |path, receiver, sender| {
            let Some(handler) = router.handlers.get(&path) else {
                warn!(path, "peer requested an unknown exchange");
                return futures::future::ready(()).boxed_local();
            };
            handler(receiver, sender)
        })?;
        Ok(Self { server })
    }

    /// Returns the address on which it listens, with the port that was bound.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}
