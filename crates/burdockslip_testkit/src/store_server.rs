//! Serves an in-memory store over the network with the gRPC protocol of etcd.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_http2::{Receiver, Sender, Server, Status};
use burdockslip_store::etcd::{
    self, LeaseGrantRequest, LeaseRequest, LeaseResponse, LeaseRevokeResponse, RangeRequest,
    RangeResponse, ResponseHeader, TxnRequest, TxnResponse, WatchCreateRequest, WatchRequest,
    WatchResponse, watch_request,
};
use burdockslip_store::{Entry, Event, LeaseId, MemoryStore, Store, Watch, convert};
use burdockslip_types::{ErrorKind, Result, Revision};
use bytes::Bytes;
use error_stack::{ResultExt, bail};
use futures::future::{Either, select};
use futures::{FutureExt, StreamExt};
use prost::Message;

/// The client name of the server at the in-memory store, by which tests can cut it off.
const CLIENT: &str = "server";

/// The gRPC status code of an unreachable service.
const UNAVAILABLE: u32 = 14;

/// A server of the subset of etcd that the project uses. It stops when it is dropped.
pub struct StoreServer {
    server: Server,
    memory: MemoryStore,
}

impl StoreServer {
    /// Serves an empty store at `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> Result<Self> {
        Self::with_memory(address, MemoryStore::new())
    }

    /// Serves `memory` at `address`; several servers can share one store.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the address cannot be bound.
    pub fn with_memory(address: SocketAddr, memory: MemoryStore) -> Result<Self> {
        let store = memory.client(CLIENT);
        let server = Server::bind(address, move |path, receiver, sender| {
            serve(store.clone(), path, receiver, sender).boxed_local()
        })?;
        Ok(Self { server, memory })
    }

    /// Returns the address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the served store, to set faults and count calls.
    pub fn memory(&self) -> &MemoryStore {
        &self.memory
    }
}

impl fmt::Debug for StoreServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("StoreServer").field(&self.address()).finish()
    }
}

async fn serve(store: Store, path: String, mut receiver: Receiver, mut sender: Sender) {
    let result = if path == etcd::WATCH {
        watch(&store, &mut receiver, &mut sender).await
    } else {
        serve_calls(&store, &path, &mut receiver, &mut sender).await
    };
    // An error here means that the client has disconnected.
    let _ = match result {
        Ok(()) => sender.close(),
        Err(_) => sender.fail(&Status::new(UNAVAILABLE, "unavailable")),
    };
}

async fn serve_calls(
    store: &Store,
    path: &str,
    receiver: &mut Receiver,
    sender: &mut Sender,
) -> Result<()> {
    while let Some(message) = receiver.next().await? {
        let reply = match path {
            etcd::RANGE => range(store, decode(message)?).await?.encode_to_vec(),
            etcd::TXN => txn(store, decode(message)?).await?.encode_to_vec(),
            etcd::LEASE_GRANT => grant(store, &decode(message)?).await?.encode_to_vec(),
            etcd::LEASE_KEEP_ALIVE => keep_alive(store, &decode(message)?).await?.encode_to_vec(),
            etcd::LEASE_REVOKE => revoke(store, &decode(message)?).await?.encode_to_vec(),
            _ => bail!(ErrorKind::NotSupported),
        };
        sender.send(Bytes::from(reply)).await?;
    }
    Ok(())
}

fn decode<M: Message + Default>(message: Bytes) -> Result<M> {
    M::decode(message).change_context(ErrorKind::Protocol)
}

fn header(revision: Revision) -> ResponseHeader {
    ResponseHeader {
        revision: convert::to_number(revision),
    }
}

/// Reads a page. Only the current revision can be read, as after a compaction.
async fn range(store: &Store, request: RangeRequest) -> Result<RangeResponse> {
    let page = store.range("").await?;
    let revision = convert::to_number(page.revision);
    if request.revision != 0 && request.revision != revision {
        bail!(ErrorKind::NotSupported);
    }
    let is_inside = |entry: &Entry| {
        let key = entry.key.as_bytes();
        key >= request.key.as_slice()
            && (request.range_end == [0] || key < request.range_end.as_slice())
    };
    let mut entries: Vec<_> = page.entries.into_iter().filter(is_inside).collect();
    let limit = usize::try_from(request.limit).unwrap_or(0);
    let more = limit != 0 && entries.len() > limit;
    if more {
        entries.truncate(limit);
    }
    Ok(RangeResponse {
        header: Some(header(page.revision)),
        kvs: entries.into_iter().map(convert::key_value).collect(),
        more,
    })
}

async fn txn(store: &Store, request: TxnRequest) -> Result<TxnResponse> {
    let reply = store.txn(convert::txn(request)?).await?;
    Ok(TxnResponse {
        header: Some(header(reply.revision)),
        succeeded: reply.is_applied,
    })
}

async fn grant(store: &Store, request: &LeaseGrantRequest) -> Result<LeaseResponse> {
    let ttl = Duration::from_secs(u64::try_from(request.ttl).unwrap_or(0));
    let LeaseId(id) = store.grant_lease(ttl).await?;
    Ok(lease_response(id, request.ttl))
}

async fn keep_alive(store: &Store, request: &LeaseRequest) -> Result<LeaseResponse> {
    let ttl = store.keep_lease(LeaseId(request.id)).await?;
    Ok(lease_response(request.id, convert::to_seconds(ttl)))
}

fn lease_response(id: i64, ttl: i64) -> LeaseResponse {
    LeaseResponse {
        header: Some(header(Revision(0))),
        id,
        ttl,
    }
}

async fn revoke(store: &Store, request: &LeaseRequest) -> Result<LeaseRevokeResponse> {
    store.revoke_lease(LeaseId(request.id)).await?;
    Ok(LeaseRevokeResponse {
        header: Some(header(Revision(0))),
    })
}

/// Serves one watch per stream; the project does not multiplex watches.
async fn watch(store: &Store, receiver: &mut Receiver, sender: &mut Sender) -> Result<()> {
    let Some(message) = receiver.next().await? else {
        return Ok(());
    };
    let request: WatchRequest = decode(message)?;
    let Some(watch_request::Request::Create(create)) = request.request else {
        bail!(ErrorKind::Protocol);
    };
    let (events, last) = open_watch(store, create).await?;
    let created = WatchResponse {
        header: Some(header(last)),
        created: true,
        ..WatchResponse::default()
    };
    send(sender, &created).await?;
    forward_events(events, last, receiver, sender).await
}

async fn open_watch(store: &Store, create: WatchCreateRequest) -> Result<(Watch, Revision)> {
    let prefix = convert::key_text(create.key)?;
    if create.range_end != etcd::range_end(prefix.as_bytes()) {
        bail!(ErrorKind::NotSupported);
    }
    let after = Revision(
        convert::to_revision(create.start_revision)
            .0
            .saturating_sub(1),
    );
    Ok((store.watch(&prefix, after).await?, after))
}

/// Forwards changes as they occur, and progress only on request.
async fn forward_events(
    mut events: Watch,
    mut last: Revision,
    receiver: &mut Receiver,
    sender: &mut Sender,
) -> Result<()> {
    loop {
        let request = std::pin::pin!(receiver.next());
        match select(events.next(), request).await {
            Either::Left((Some(event), _)) => match event? {
                Event::Progress(revision) => last = last.max(revision),
                event => last = forward_changes(event, &mut events, sender).await?,
            },
            Either::Right((Ok(Some(_)), _)) => {
                let progress = WatchResponse {
                    header: Some(header(last)),
                    ..WatchResponse::default()
                };
                send(sender, &progress).await?;
            }
            Either::Left((None, _)) => bail!(ErrorKind::StoreUnavailable),
            Either::Right((Ok(None), _)) => return Ok(()),
            Either::Right((Err(error), _)) => return Err(error),
        }
    }
}

/// Sends a change together with those that are already available, so that the
/// changes of one transaction are in one response.
async fn forward_changes(
    first: Event,
    events: &mut Watch,
    sender: &mut Sender,
) -> Result<Revision> {
    let mut last = Revision(0);
    let mut changes = Vec::new();
    let mut next = Some(Ok(first));
    while let Some(event) = next {
        let event = event?;
        last = last.max(revision_of(&event));
        changes.extend(convert::watch_event(event));
        next = events.next().now_or_never().flatten();
    }
    let response = WatchResponse {
        header: Some(header(last)),
        events: changes,
        ..WatchResponse::default()
    };
    send(sender, &response).await?;
    Ok(last)
}

fn revision_of(event: &Event) -> Revision {
    match event {
        Event::Put(Entry { revision, .. })
        | Event::Delete(_, revision)
        | Event::Progress(revision) => *revision,
    }
}

async fn send(sender: &mut Sender, response: &WatchResponse) -> Result<()> {
    sender.send(Bytes::from(response.encode_to_vec())).await
}
