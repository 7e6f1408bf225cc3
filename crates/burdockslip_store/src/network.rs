//! A client of a store with several endpoints, over the network.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_http2::{Client, Options, Receiver, Sender};
use burdockslip_runtime::timeout;
use burdockslip_types::{ErrorKind, Result, Revision};
use bytes::Bytes;
use error_stack::{Report, ResultExt, bail};
use futures::FutureExt;
use prost::Message;
use tracing::debug;

use crate::etcd::{
    self, LeaseGrantRequest, LeaseRequest, LeaseResponse, LeaseRevokeResponse, RangeRequest,
    RangeResponse, TxnResponse, WatchCreateRequest, WatchRequest, WatchResponse, watch_request,
};
use crate::stream::{self, WatchStream};
use crate::{Entry, LeaseId, Page, Reply, Request, Store, TxnReply, Watch, convert};

/// The maximum number of keys in one response, so that many small keys stay
/// below the message limit.
const PAGE_SIZE: i64 = 1000;

/// The maximum number of attempts of a read, which has to start again if its
/// revision is compacted between two pages.
const RANGE_ATTEMPTS: usize = 3;

/// The size limit of a message, in bytes; it allows for a page of keys and the
/// catalogue.
const MESSAGE_LIMIT: usize = 16 << 20;

impl Store {
    /// Returns a handle to the store at `endpoints`; a call takes at most
    /// `timeout` over all endpoints.
    ///
    /// A call is sent to the next endpoint if the current one is unreachable.
    /// Reads, renewals and revocations of leases are also retried if there is
    /// no answer. A transaction that may have been applied is not retried.
    pub fn connect(endpoints: &[SocketAddr], timeout: Duration) -> Self {
        Self::connect_with(endpoints, timeout, &Options::default())
    }

    /// Like [`connect`](Self::connect), with options for the connections; a
    /// message limit below the size of a page is raised.
    pub fn connect_with(endpoints: &[SocketAddr], timeout: Duration, options: &Options) -> Self {
        let options = Options {
            message_limit: options.message_limit.max(MESSAGE_LIMIT),
            ..options.clone()
        };
        let clients = endpoints
            .iter()
            .map(|endpoint| Client::with_options(*endpoint, options.clone()))
            .collect();
        let caller = Rc::new(Endpoints {
            clients,
            current: Cell::new(0),
            timeout,
        });
        let opener = Rc::clone(&caller);
        Self::new(
            move |request| send(Rc::clone(&caller), request).boxed_local(),
            move |prefix, after| open_watch(Rc::clone(&opener), prefix, after).boxed_local(),
        )
    }
}

struct Endpoints {
    clients: Vec<Client>,
    current: Cell<usize>,
    timeout: Duration,
}

/// Whether a call may be sent again when there is no answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Retry {
    Allowed,
    Forbidden,
}

impl Endpoints {
    async fn call<M: Message + Default>(
        &self,
        path: &str,
        message: &impl Message,
        retry: Retry,
    ) -> Result<M> {
        let message = Bytes::from(message.encode_to_vec());
        let mut last = Report::new(ErrorKind::StoreUnavailable);
        for _ in 0..self.clients.len() {
            let was_sent = Cell::new(false);
            let attempt = self.attempt(path, message.clone(), &was_sent);
            let outcome = timeout(self.attempt_timeout(), attempt).await;
            match outcome.map_err(|_| Report::new(ErrorKind::StoreUnavailable)) {
                Ok(Ok(reply)) => {
                    return M::decode(reply).change_context(ErrorKind::StoreUnavailable);
                }
                Ok(Err(error)) | Err(error) => last = error,
            }
            debug!(path, error = ?last, "store call failed");
            self.switch_endpoint();
            if was_sent.get() && retry == Retry::Forbidden {
                break;
            }
        }
        Err(last.change_context(ErrorKind::StoreUnavailable))
    }

    async fn attempt(&self, path: &str, message: Bytes, was_sent: &Cell<bool>) -> Result<Bytes> {
        let (sender, mut receiver) = self.client()?.stream(path, message).await?;
        // An error before this point means that the server has not received
        // the complete request, so it cannot have run it.
        was_sent.set(true);
        sender.close()?;
        match receiver.next().await? {
            Some(reply) => Ok(reply),
            None => bail!(ErrorKind::Protocol),
        }
    }

    fn client(&self) -> Result<&Client> {
        match self.clients.get(self.current.get()) {
            Some(client) => Ok(client),
            None => bail!(ErrorKind::StoreUnavailable),
        }
    }

    fn switch_endpoint(&self) {
        let next = (self.current.get() + 1) % self.clients.len().max(1);
        self.current.set(next);
    }

    /// Returns the timeout of one endpoint, short enough to try each of them once.
    fn attempt_timeout(&self) -> Duration {
        let count = u32::try_from(self.clients.len()).unwrap_or(u32::MAX);
        self.timeout / count.max(1)
    }

    async fn open_watch(&self, prefix: &str, after: Revision) -> Result<(Sender, Receiver)> {
        let create = WatchCreateRequest {
            key: prefix.as_bytes().to_vec(),
            range_end: etcd::range_end(prefix.as_bytes()),
            start_revision: convert::to_number(after) + 1,
        };
        let message = WatchRequest {
            request: Some(watch_request::Request::Create(create)),
        };
        let message = Bytes::from(message.encode_to_vec());
        let (sender, mut receiver) = self.client()?.stream(etcd::WATCH, message).await?;
        let Some(first) = receiver.next().await? else {
            bail!(ErrorKind::Protocol);
        };
        let first = WatchResponse::decode(first).change_context(ErrorKind::Protocol)?;
        if first.canceled || !first.created {
            bail!(ErrorKind::Protocol);
        }
        Ok((sender, receiver))
    }
}

async fn send(endpoints: Rc<Endpoints>, request: Request) -> Result<Reply> {
    match request {
        Request::Range(prefix) => range(&endpoints, &prefix).await.map(Reply::Page),
        Request::Txn(txn) => {
            let message = convert::txn_request(txn);
            let reply: TxnResponse = endpoints
                .call(etcd::TXN, &message, Retry::Forbidden)
                .await?;
            Ok(Reply::Txn(TxnReply {
                is_applied: reply.succeeded,
                revision: convert::header_revision(reply.header),
            }))
        }
        Request::GrantLease(ttl) => {
            let message = LeaseGrantRequest {
                ttl: convert::to_seconds(ttl),
            };
            let reply: LeaseResponse = endpoints
                .call(etcd::LEASE_GRANT, &message, Retry::Forbidden)
                .await?;
            Ok(lease_reply(&reply))
        }
        Request::KeepLease(LeaseId(id)) => {
            let reply: LeaseResponse = endpoints
                .call(etcd::LEASE_KEEP_ALIVE, &LeaseRequest { id }, Retry::Allowed)
                .await?;
            Ok(lease_reply(&reply))
        }
        Request::RevokeLease(LeaseId(id)) => {
            let message = LeaseRequest { id };
            let _: LeaseRevokeResponse = endpoints
                .call(etcd::LEASE_REVOKE, &message, Retry::Allowed)
                .await?;
            Ok(Reply::Done)
        }
    }
}

fn lease_reply(reply: &LeaseResponse) -> Reply {
    let ttl = u64::try_from(reply.ttl).unwrap_or(0);
    Reply::Lease(LeaseId(reply.id), Duration::from_secs(ttl))
}

async fn range(endpoints: &Endpoints, prefix: &str) -> Result<Page> {
    let mut last = Report::new(ErrorKind::StoreUnavailable);
    for _ in 0..RANGE_ATTEMPTS {
        match range_once(endpoints, prefix).await {
            Ok(page) => return Ok(page),
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// Reads all pages at the revision of the first page.
async fn range_once(endpoints: &Endpoints, prefix: &str) -> Result<Page> {
    let mut request = RangeRequest {
        key: prefix.as_bytes().to_vec(),
        range_end: etcd::range_end(prefix.as_bytes()),
        limit: PAGE_SIZE,
        revision: 0,
    };
    let mut entries: Vec<Entry> = Vec::new();
    loop {
        let reply: RangeResponse = endpoints
            .call(etcd::RANGE, &request, Retry::Allowed)
            .await?;
        if request.revision == 0 {
            request.revision = reply.header.map_or(0, |header| header.revision);
        }
        for pair in reply.kvs {
            entries.push(convert::entry(pair)?);
        }
        match entries.last() {
            Some(entry) if reply.more => {
                request.key = entry.key.clone().into_bytes();
                request.key.push(0);
            }
            _ => {
                let revision = convert::to_revision(request.revision);
                return Ok(Page { revision, entries });
            }
        }
    }
}

async fn open_watch(endpoints: Rc<Endpoints>, prefix: String, after: Revision) -> Result<Watch> {
    let mut last = Report::new(ErrorKind::StoreUnavailable);
    for _ in 0..endpoints.clients.len() {
        match timeout(
            endpoints.attempt_timeout(),
            endpoints.open_watch(&prefix, after),
        )
        .await
        {
            Ok(Ok((sender, receiver))) => {
                return Ok(stream::watch(WatchStream::new(sender, receiver)));
            }
            Ok(Err(error)) => last = error,
            Err(_) => {}
        }
        endpoints.switch_endpoint();
    }
    Err(last.change_context(ErrorKind::StoreUnavailable))
}
