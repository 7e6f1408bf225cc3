//! Keeps one connection to each peer in use.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use burdockslip_http2::{Client, Options, Tls};
use burdockslip_types::{ErrorKind, Exchange, HostId, PeerClient, Result};
use error_stack::{Report, bail};
use futures::FutureExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::codec;
use crate::router::path;
use crate::stream::{StreamReceiver, StreamSender};

type Resolve = dyn Fn(&HostId) -> Option<SocketAddr>;

/// Reaches peers by their identifier; clones share the connections.
#[derive(Clone)]
pub struct PeerPool {
    shared: Rc<Shared>,
}

struct Shared {
    own: HostId,
    resolve: Box<Resolve>,
    options: Options,
    clients: RefCell<HashMap<SocketAddr, Client>>,
}

impl PeerPool {
    /// Builds a pool for the host `own`; `resolve` looks up peer addresses.
    pub fn new(own: HostId, resolve: impl Fn(&HostId) -> Option<SocketAddr> + 'static) -> Self {
        Self::with_tls(own, None, resolve)
    }

    /// Builds a pool whose connections are encrypted and authenticated if `tls` is given.
    pub fn with_tls(
        own: HostId,
        tls: Option<Tls>,
        resolve: impl Fn(&HostId) -> Option<SocketAddr> + 'static,
    ) -> Self {
        Self {
            shared: Rc::new(Shared {
                own,
                resolve: Box::new(resolve),
                options: Options {
                    tls,
                    ..Options::default()
                },
                clients: RefCell::default(),
            }),
        }
    }

    /// Returns a client that sends the requests of one exchange.
    pub fn client<E: Exchange>(&self) -> PeerClient<E> {
        let pool = self.clone();
        PeerClient::new(move |host, request| {
            let pool = pool.clone();
            async move { pool.call::<E>(&host, &request).await }.boxed_local()
        })
    }

    /// Sends one request and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the host is unknown or cannot be reached,
    /// or the error kind with which it answered.
    pub async fn call<E: Exchange>(&self, host: &HostId, request: &E::Request) -> Result<E::Reply> {
        let message = codec::encode(&(&self.shared.own, request))?;
        let bytes = self
            .http_client(host)?
            .call(&path(E::NAME), message)
            .await?;
        let reply: Result<E::Reply, ErrorKind> = codec::decode(&bytes)?;
        reply.map_err(|kind| Report::new(kind).attach(format!("answered by host {host}")))
    }

    /// Opens a stream with a first message.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the host is unknown or cannot be reached.
    pub async fn stream<Req, Rep>(
        &self,
        host: &HostId,
        name: &str,
        first: &Req,
    ) -> Result<(StreamSender<Req>, StreamReceiver<Rep>)>
    where
        Req: Serialize,
        Rep: DeserializeOwned,
    {
        let message = codec::encode(first)?;
        let (sender, receiver) = self.http_client(host)?.stream(&path(name), message).await?;
        Ok((StreamSender::new(sender), StreamReceiver::new(receiver)))
    }

    fn http_client(&self, host: &HostId) -> Result<Client> {
        let Some(address) = (self.shared.resolve)(host) else {
            bail!(Report::new(ErrorKind::ConnectionLost).attach(format!("host {host} is unknown")));
        };
        let mut clients = self.shared.clients.borrow_mut();
        let client = clients
            .entry(address)
            .or_insert_with(|| Client::with_options(address, self.shared.options.clone()));
        Ok(client.clone())
    }
}

impl fmt::Debug for PeerPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("PeerPool").field(&self.shared.own).finish()
    }
}
