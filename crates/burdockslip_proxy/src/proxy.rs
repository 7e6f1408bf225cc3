//! Starts and stops a host.

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

/// How often a drain looks whether sessions remain.
const DRAIN_CHECK: std::time::Duration = std::time::Duration::from_millis(10);

/// Serves clients and peers until it is drained or dropped.
#[derive(Debug)]
pub struct Proxy {
    host: Rc<Host>,
    _server: PeerServer,
    _following: Task<()>,
    listener: Task<()>,
    client_address: std::net::SocketAddr,
}

impl Proxy {
    /// Starts to serve clients and peers with the configuration that is in force now.
    ///
    /// `peers` and `membership` are shared with the other parts of the host;
    /// `router` serves their exchanges.
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
        host.refresh();
        let server = PeerServer::with_tls(
            options.peer_address,
            options.peer_tls.clone(),
            serve_peers(&host, router),
        )?;
        let (listener, client_address) = endpoint::bind(&host)?;
        let following = spawn(follow(membership.changes(), Rc::clone(&host)));
        info!(host = %options.host, zone = %options.zone, clients = %client_address, "host started");
        Ok(Self {
            host,
            _server: server,
            _following: following,
            listener,
            client_address,
        })
    }
    /// Starts a host whose host list and configuration are given, for tests
    /// and measurements of what does not need the rest.
    ///
    /// # Errors
    ///
    /// As [`Proxy::bind`].
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

    /// Returns the address for clients.
    pub fn client_address(&self) -> std::net::SocketAddr {
        self.client_address
    }

    /// Returns the number of connected clients.
    pub fn session_count(&self) -> usize {
        self.host.sessions.len()
    }

    /// Returns the configuration in force.
    pub fn active_config(&self) -> Rc<ActiveConfig> {
        self.host.active_config()
    }

    /// Puts another configuration in force.
    pub fn set_active_config(&self, config: ActiveConfig) {
        self.host.set_active_config(Rc::new(config));
        self.host.refresh();
        self.host.sessions.notify_all();
    }

    /// Stops without cutting a request in flight, neither of own clients nor of
    /// other hosts; returns how many sessions and conversations were left at
    /// the deadline.
    pub async fn drain(&self) -> usize {
        self.host.is_draining.set(true);
        self.listener.abort();
        self.host.sessions.notify_all();
        let deadline = burdockslip_runtime::now() + self.host.options.drain_timeout;
        let under_way = || self.host.sessions.len() + self.host.conversations.get();
        while under_way() > 0 && !deadline.is_past() {
            sleep(DRAIN_CHECK).await;
        }
        let left = under_way();
        if left > 0 {
            warn!(
                host = %self.host.options.host,
                sessions = self.host.sessions.len(),
                conversations = self.host.conversations.get(),
                "drain deadline reached"
            );
        } else {
            info!(host = %self.host.options.host, "host drained");
        }
        left
    }
}

/// Moves holders and watchers when hosts come and go.
async fn follow(mut changes: mpsc::Receiver<()>, host: Rc<Host>) {
    while changes.next().await.is_some() {
        host.refresh();
    }
}

/// Adds the exchanges of this crate to those of the other parts of the host.
fn serve_peers(host: &Rc<Host>, router: Router) -> Router {
    let cancelling = Rc::clone(host);
    let executing = Rc::clone(host);
    let watching = Rc::clone(host);
    let stamps = Rc::clone(&host.stamps);
    router
        .on_stream(EXECUTE, move |receiver, sender| {
            // The stream's own task ends with its connection, so nothing is
            // left running for an endpoint that is gone.
            conversation::serve_remote(Rc::clone(&executing), receiver, sender)
        })
        .on(Watch, move |_, request| {
            ready(Ok(watching.answer_watcher(request)))
        })
        .on(StampExchange, move |_, ()| ready(Ok(stamps.own())))
        .on(CancelExchange, move |_, request| {
            ready(Ok(endpoint::cancel(&cancelling, &request)))
        })
}
