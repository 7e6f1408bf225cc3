//! The proxy of a host: starting, reconfiguring and draining it.

use std::rc::Rc;

use burdockslip_group::Watch;
use burdockslip_keys::TokenSecrets;
use burdockslip_membership::{Membership, Peer};
use burdockslip_peer::{PeerPool, PeerServer, Router};
use burdockslip_runtime::{Task, sleep, spawn};
use burdockslip_types::Result;
use futures::StreamExt;
use futures::channel::mpsc;
use futures::future::ready;
use tracing::{info, warn};

use crate::conversation;
use crate::endpoint::{self, CancelExchange};
use crate::exchange::EXECUTE;
use crate::hooks::Hooks;
use crate::host::Host;
use crate::in_force::ActiveConfig;
use crate::options::Options;
use crate::placement::Placement;
use crate::stamp::StampExchange;

/// How often a drain checks whether sessions remain.
const DRAIN_CHECK: std::time::Duration = std::time::Duration::from_millis(10);

/// A running proxy, which serves clients and other hosts until drained or dropped.
#[derive(Debug)]
pub struct Proxy {
    host: Rc<Host>,
    _server: PeerServer,
    _membership_task: Task<()>,
    listener: Task<()>,
    client_address: std::net::SocketAddr,
}

impl Proxy {
    /// Starts serving clients and other hosts with the given configuration.
    ///
    /// `peers` and `membership` are shared with the other parts of the host;
    /// `router` handles the exchanges of those parts.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if an address cannot be bound or a secret is too short.
    pub fn bind(
        options: Options,
        config: ActiveConfig,
        membership: &Membership,
        peers: PeerPool,
        hooks: Hooks,
        router: Router,
    ) -> Result<Self> {
        let options = Rc::new(options);
        let secrets = TokenSecrets::new(&options.token_secret, options.older_secret.as_deref())?;
        let host = Rc::new(Host::new(
            Rc::clone(&options),
            secrets,
            peers,
            hooks,
            Placement::new(membership.clone()),
            Rc::new(config),
        ));
        host.reconcile();
        let server = PeerServer::with_tls(
            options.peer_address,
            options.peer_tls.clone(),
            add_exchanges(&host, router),
        )?;
        let (listener, client_address) = endpoint::bind(&host)?;
        let membership_task = spawn(follow_membership(membership.changes(), Rc::clone(&host)));
        info!(host = %options.host, zone = %options.zone, clients = %client_address, "host started");
        Ok(Self {
            host,
            _server: server,
            _membership_task: membership_task,
            listener,
            client_address,
        })
    }

    /// Starts a proxy with a fixed host list and default hooks, for tests and
    /// measurements that run without the other parts of a host.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Proxy::bind`].
    pub fn bind_fixed(options: Options, config: ActiveConfig, hosts: &[Peer]) -> Result<Self> {
        let own = Peer {
            host: options.host.clone(),
            zone: options.zone.clone(),
            address: options.peer_address,
        };
        let membership = Membership::fixed(own, hosts);
        let resolver = membership.clone();
        let peers = PeerPool::new(options.host.clone(), move |host| resolver.resolve(host));
        Self::bind(
            options,
            config,
            &membership,
            peers,
            Hooks::default(),
            Router::default(),
        )
    }

    /// Returns the bound address for clients.
    pub fn client_address(&self) -> std::net::SocketAddr {
        self.client_address
    }

    /// Returns the number of connected clients, including those that are not
    /// authenticated yet.
    pub fn session_count(&self) -> usize {
        self.host.sessions.len()
    }

    /// Returns the configuration in force.
    pub fn active_config(&self) -> Rc<ActiveConfig> {
        self.host.active_config()
    }

    /// Replaces the configuration in force and makes all sessions check it.
    pub fn set_active_config(&self, config: ActiveConfig) {
        self.host.set_active_config(Rc::new(config));
        self.host.reconcile();
        self.host.sessions.notify_all();
    }

    /// Stops accepting clients and waits for the requests in flight, of clients
    /// and of other hosts.
    ///
    /// Returns the number of sessions and conversations that remained at the
    /// deadline.
    pub async fn drain(&self) -> usize {
        self.host.is_draining.set(true);
        self.listener.abort();
        self.host.sessions.notify_all();
        let deadline = burdockslip_runtime::now() + self.host.options.drain_timeout;
        let in_flight = || self.host.sessions.len() + self.host.conversations.get();
        while in_flight() > 0 && !deadline.is_past() {
            sleep(DRAIN_CHECK).await;
        }
        let remaining = in_flight();
        if remaining > 0 {
            warn!(
                host = %self.host.options.host,
                sessions = self.host.sessions.len(),
                conversations = self.host.conversations.get(),
                "drain deadline reached"
            );
        } else {
            info!(host = %self.host.options.host, "host drained");
        }
        remaining
    }
}

/// Moves holders and watchers when the membership changes.
async fn follow_membership(mut changes: mpsc::Receiver<()>, host: Rc<Host>) {
    while changes.next().await.is_some() {
        host.reconcile();
    }
}

/// Adds the exchanges of this crate to the router of the other parts of the host.
fn add_exchanges(host: &Rc<Host>, router: Router) -> Router {
    let cancelling = Rc::clone(host);
    let executing = Rc::clone(host);
    let watching = Rc::clone(host);
    let stamps = Rc::clone(&host.stamps);
    router
        .on_stream(EXECUTE, move |receiver, sender| {
            // The task of a stream ends with its connection, so nothing keeps
            // running for an endpoint that is gone.
            conversation::serve_remote(Rc::clone(&executing), receiver, sender)
        })
        .on(Watch, move |_, request| {
            ready(Ok(watching.handle_watch(request)))
        })
        .on(StampExchange, move |_, ()| ready(Ok(stamps.current())))
        .on(CancelExchange, move |_, request| {
            ready(Ok(endpoint::cancel(&cancelling, &request)))
        })
}
