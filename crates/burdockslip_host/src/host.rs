//! Starts, connects and stops the parts of a host.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_config::{Config, Distribution};
use burdockslip_limits::RateExchange;
use burdockslip_membership::{Gossip, Membership, Peer};
use burdockslip_peer::{PeerPool, Router, Tls};
use burdockslip_proxy::{ActiveConfig, Hooks, Proxy};
use burdockslip_runtime::{Task, sleep, spawn};
use burdockslip_settings::Settings;
use burdockslip_store::Store;
use burdockslip_telemetry::{Admin, AdminServer, HostStatus, Metrics, RequestMetrics, serve_admin};
use burdockslip_types::{ClassName, Organisation, Result};
use futures::future::{FutureExt, ready};
use futures::{StreamExt, join};
use tracing::info;

use crate::rates::HostRates;
use crate::{content, options};

/// How often gauges are updated; scrapes are less frequent.
const GAUGE_INTERVAL: Duration = Duration::from_secs(5);

/// A running entry host, which serves clients until drained or dropped.
pub struct Host {
    proxy: Rc<Proxy>,
    membership: Membership,
    config: Config,
    rates: Rc<HostRates>,
    is_ready: Rc<Cell<bool>>,
    _admin: AdminServer,
    _config_task: Task<()>,
    _gauge_task: Task<()>,
}

impl Host {
    /// Starts a host with validated settings.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` or `ConnectionLost` if an address cannot be bound.
    pub fn bind(settings: &Settings) -> Result<Self> {
        let own = Peer {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            address: settings.peer_address,
        };
        let store = Store::connect(&settings.store.endpoints, settings.store.timeout);
        let options = options::from_settings(settings)?;
        let (peers, membership) = join_membership(settings, options.peer_tls.clone(), own);
        let config = Config::spawn(membership.clone(), store.clone(), peers.client());
        let rates = HostRates::new(membership.clone(), store, peers.client());
        let metrics = Metrics::new()?;
        let is_ready = Rc::new(Cell::new(true));
        let hooks = hooks(&config, &rates, &metrics);
        let router = router(&membership, &config, &rates);
        let proxy = Rc::new(Proxy::bind(
            options,
            ActiveConfig::default(),
            &membership,
            peers,
            hooks,
            router,
        )?);
        let gauge_task = spawn(update_gauges(
            metrics.clone(),
            config.clone(),
            Rc::clone(&proxy),
        ));
        let status = status(settings, &config, &proxy, &is_ready);
        let admin = serve_admin(settings.admin_address, Admin { metrics, status })?;
        let config_task = spawn(apply_changes(
            config.clone(),
            Rc::clone(&proxy),
            Rc::clone(&rates),
            membership.clone(),
        ));
        Ok(Self {
            proxy,
            membership,
            config,
            rates,
            is_ready,
            _admin: admin,
            _config_task: config_task,
            _gauge_task: gauge_task,
        })
    }

    /// Returns the bound address for clients.
    pub fn client_address(&self) -> SocketAddr {
        self.proxy.client_address()
    }

    /// Returns whether the host has loaded a configuration and is not draining.
    pub fn is_ready(&self) -> bool {
        self.is_ready.get() && self.config.is_ready()
    }

    /// Leaves the membership, hands over the rate authority and waits for requests
    /// in flight.
    ///
    /// Returns the number of sessions and conversations that remained at the
    /// deadline.
    pub async fn drain(&self) -> usize {
        self.is_ready.set(false);
        let (remaining, (), ()) = join!(
            self.proxy.drain(),
            self.membership.leave(),
            self.rates.drain()
        );
        remaining
    }
}

impl fmt::Debug for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Host")
            .field(&self.membership.local_peer())
            .finish()
    }
}

/// Joins the membership.
///
/// The connection pool resolves hosts through the membership, which in turn
/// gossips over the pool.
fn join_membership(settings: &Settings, tls: Option<Tls>, own: Peer) -> (PeerPool, Membership) {
    let known: Rc<RefCell<Option<Membership>>> = Rc::default();
    let resolver = Rc::clone(&known);
    let peers = PeerPool::with_tls(own.host.clone(), tls, move |host| {
        resolver.borrow().as_ref()?.resolve(host)
    });
    let membership = Membership::spawn(own, settings.seeds.clone(), peers.client());
    known.replace(Some(membership.clone()));
    (peers, membership)
}

fn router(membership: &Membership, config: &Config, rates: &Rc<HostRates>) -> Router {
    let (membership, config, rates) = (membership.clone(), config.clone(), Rc::clone(rates));
    Router::default()
        .on(Gossip, move |_, request| {
            ready(Ok(membership.handle(request)))
        })
        .on(Distribution, move |_, request| {
            let config = config.clone();
            async move { Ok(config.handle(request).await) }
        })
        .on(RateExchange, move |_, envelope| {
            ready(Ok(rates.handle(envelope)))
        })
}

fn hooks(config: &Config, rates: &Rc<HostRates>, metrics: &Metrics) -> Hooks {
    let (ready_config, aged_config) = (config.clone(), config.clone());
    let rates = Rc::clone(rates);
    let metrics = metrics.clone();
    let series: RefCell<HashMap<(Organisation, ClassName), RequestMetrics>> = RefCell::default();
    Hooks {
        is_ready: Rc::new(move || ready_config.is_ready()),
        config_age: Rc::new(move || aged_config.age().unwrap_or(Duration::MAX)),
        admit: Rc::new(move |organisation, deadline| {
            let rates = Rc::clone(&rates);
            async move { rates.admit(organisation, deadline).await }.boxed_local()
        }),
        record_request: Rc::new(move |organisation, class, outcome, latency| {
            let mut series = series.borrow_mut();
            let key = (organisation.clone(), class.clone());
            series
                .entry(key)
                .or_insert_with(|| metrics.request_metrics(organisation, class))
                .record(outcome, latency);
        }),
    }
}

fn status(
    settings: &Settings,
    config: &Config,
    proxy: &Rc<Proxy>,
    is_ready: &Rc<Cell<bool>>,
) -> Rc<dyn Fn() -> HostStatus> {
    let (host, zone) = (settings.host.clone(), settings.zone.clone());
    let (config, proxy, is_ready) = (config.clone(), Rc::clone(proxy), Rc::clone(is_ready));
    Rc::new(move || {
        let age = config.age().unwrap_or(Duration::MAX);
        HostStatus {
            host: host.clone(),
            zone: zone.clone(),
            is_ready: is_ready.get() && config.is_ready(),
            revision: config.revision(),
            age_millis: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            connections: proxy.session_count() as u64,
            evacuated: Vec::new(),
        }
    })
}

/// Updates the gauges periodically.
async fn update_gauges(metrics: Metrics, config: Config, proxy: Rc<Proxy>) {
    loop {
        metrics.set_connections(proxy.session_count() as u64);
        let age = config.age().unwrap_or_default();
        metrics.set_config(config.revision().0, age);
        sleep(GAUGE_INTERVAL).await;
    }
}

/// Applies every change of the configuration.
async fn apply_changes(
    config: Config,
    proxy: Rc<Proxy>,
    rates: Rc<HostRates>,
    membership: Membership,
) {
    let mut changes = config.changes();
    loop {
        let listed = content::listed(&config);
        rates.set_listed(&listed);
        membership.set_listed_hosts(listed);
        let active = content::active_config(&config, &proxy.active_config());
        rates.set_catalogue(&active.catalogue);
        proxy.set_active_config(active);
        info!(revision = %config.revision(), "configuration in force");
        if changes.next().await.is_none() {
            return;
        }
    }
}
