//! Connections to other hosts, one for each address.

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

/// Sends requests to other hosts by their identifier; clones share the connections.
#[derive(Clone)]
pub struct PeerPool {
    shared: Rc<Shared>,
}

struct Shared {
    local: HostId,
    resolve: Box<Resolve>,
    options: Options,
    clients: RefCell<HashMap<SocketAddr, Client>>,
}

impl PeerPool {
    /// Builds a pool without encryption for the host `local`; `resolve` returns
    /// the address of a host, or `None` if the host is unknown.
    pub fn new(local: HostId, resolve: impl Fn(&HostId) -> Option<SocketAddr> + 'static) -> Self {
        Self::with_tls(local, None, resolve)
    }

    /// Like [`new`](Self::new), but connections are encrypted and authenticated
    /// if `tls` is given.
    pub fn with_tls(
        local: HostId,
        tls: Option<Tls>,
        resolve: impl Fn(&HostId) -> Option<SocketAddr> + 'static,
    ) -> Self {
        Self {
            shared: Rc::new(Shared {
                local,
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
    /// or the error kind with which it replied.
    pub async fn call<E: Exchange>(&self, host: &HostId, request: &E::Request) -> Result<E::Reply> {
        let message = codec::encode(&(&self.shared.local, request))?;
        let bytes = self
            .http_client(host)?
            .call(&path(E::NAME), message)
            .await?;
        let reply: Result<E::Reply, ErrorKind> = codec::decode(&bytes)?;
        reply.map_err(|kind| Report::new(kind).attach(format!("error reply from host {host}")))
    }

    /// Opens the stream `name` and sends its first message.
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
        f.debug_tuple("PeerPool").field(&self.shared.local).finish()
    }
}
