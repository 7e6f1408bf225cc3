//! Starts and stops an entry host.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Directory, Schema};
use burdockslip_failover::{Duty, Permission, PromoteFn, Registration, Supervisor, keys};
use burdockslip_peer::{PeerPool, PeerServer, Router};
use burdockslip_runtime::{Instant, Task, now, sleep, sleep_until, spawn};
use burdockslip_session::{Context, Limits, Listener, Locality, StopSignal};
use burdockslip_statement::Codec;
use burdockslip_store::Store;
use burdockslip_telemetry::{
    Admin, AdminServer, HostStatus, Metrics, serve_admin, serve_readiness,
};
use burdockslip_types::{ErrorKind, Result, Revision};
use burdockslip_upstream::Pools;
use futures::future::ready;
use tracing::{info, warn};

use crate::coordinator::Coordinator;
use crate::messages::{
    ConfirmExchange, DutyExchange, FollowExchange, ReachExchange, ReportExchange,
};
use crate::registration::Fleet;
use crate::relay::SendBudget;
use crate::{
    EntrySettings, admission, changes, confirm, eviction, positions, pressure, registration,
    report, rival,
};

/// How often the age of the configuration is checked.
const TICK: Duration = Duration::from_millis(100);

/// How often the gauges are updated, in ticks.
const GAUGE_TICKS: u32 = 50;

/// The age of the configuration from which the host is not ready, so that new
/// clients are sent to other hosts. Requests are still authorised up to 4.7 s. A host
/// that may not use its share of the rates is not ready either.
const READY_AGE: Duration = Duration::from_secs(3);

/// The fraction of the grace period after which sessions without a transaction are
/// closed. By then the load balancer, which detects within 2 s that the host is not
/// ready, sends it no new clients.
const CLOSE_IDLE_FRACTION: f64 = 0.4;

/// The fraction of the grace period after which transactions that wait for their
/// client are rolled back.
const CLOSE_ALL_FRACTION: f64 = 0.55;

/// The fraction of the grace period after which running statements are abandoned.
const ABANDON_FRACTION: f64 = 0.9;

/// The fraction of the grace period after which the process exits.
const EXIT_FRACTION: f64 = 0.95;

/// The parts of an entry host that are specific to a platform.
pub struct Adapter {
    /// Translates the messages of sessions with clients and members.
    pub codec: Codec,
    /// The client of the store.
    pub store: Store,
    /// The keys and formats of the operator's records in the store.
    pub schema: Schema,
    /// Orders the platform to promote a member.
    pub promote: PromoteFn,
    /// The HTTP path at which the load balancer checks whether the host is ready.
    pub ready_path: &'static str,
}

impl fmt::Debug for Adapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Adapter")
    }
}

/// An entry host, which runs until it is drained or dropped.
pub struct Host {
    cx: Rc<Context>,
    stop: Rc<StopSignal>,
    duty: Duty,
    is_draining: Rc<Cell<bool>>,
    grace: Duration,
    _listener: Listener,
    _servers: (AdminServer, AdminServer, PeerServer),
    _tasks: [Task<()>; 8],
}

impl Host {
    /// Starts a host and binds its addresses.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` or `ConnectionLost` if an address cannot be bound.
    pub fn bind(settings: &EntrySettings, adapter: Adapter) -> Result<Self> {
        let directory = Directory::spawn(adapter.store, adapter.schema);
        let pools = Pools::spawn(adapter.codec, directory.clone());
        let metrics = Metrics::new()?;
        let permission = Permission::spawn(directory.clone(), pools.clone(), metrics.clone());
        let duty = Duty::spawn(settings.host.clone(), settings.capacity, directory.clone());
        let promote = adapter.promote;
        let supervisor = Supervisor::spawn(directory.clone(), pools.clone(), duty.clone(), promote);
        let limits = Limits {
            sessions: settings.sessions,
            state_bytes: settings.state_bytes,
            message_bytes: settings.message_bytes,
            rate_slack: settings.rate_slack,
            evacuation: settings.evacuation,
            cold: settings.cold,
            is_prioritised: settings.is_prioritised,
        };
        let cx = Rc::new(Context::new(
            adapter.codec,
            directory.clone(),
            pools,
            permission,
            metrics.clone(),
            limits,
            Locality::new(settings.zone.clone(), settings.regions.clone()),
        ));
        let coordinator = Coordinator::new(
            duty.clone(),
            directory.clone(),
            supervisor,
            cx.permission.clone(),
            limits,
            Rc::clone(&cx.positions),
            SendBudget::new(f64::from(settings.link)),
        );
        let peer_directory = directory.clone();
        let peers = PeerPool::new(settings.host.clone(), move |host| {
            registration::address(&peer_directory, host)
        });
        let is_draining = Rc::new(Cell::new(false));
        let router = peer_router(&coordinator, &cx, &is_draining);
        use_relays(settings, &coordinator, &cx, &peers);
        let peer_server = PeerServer::bind(settings.peer_address, router)?;
        let stop = Rc::new(StopSignal::default());
        let status = status(settings, &cx, &is_draining);
        let admin = Admin {
            metrics,
            status: Rc::clone(&status),
        };
        let admin_server = serve_admin(settings.admin_address, admin)?;
        let is_ready = Rc::new(move || status().is_ready);
        let ready_server = serve_readiness(settings.ready_address, adapter.ready_path, is_ready)?;
        let listener = Listener::bind(settings.client_address, Rc::clone(&cx), Rc::clone(&stop))?;
        let own = Registration {
            address: settings.peer_address,
            zone: settings.zone.clone(),
            capacity: settings.capacity,
        };
        let host = settings.host.clone();
        let reports = Rc::clone(&coordinator.last_reports);
        let evicting = eviction::run(directory.clone(), duty.clone(), host.clone(), reports);
        let (fleet, zone) = (Fleet::new(directory.clone()), settings.zone.clone());
        let rival = rival::run(Rc::clone(&cx), host.clone(), fleet.clone(), peers.clone());
        let known = directory.clone();
        let tasks = [
            spawn(evicting),
            spawn(rival),
            spawn(confirm::run(
                known,
                host.clone(),
                zone,
                fleet,
                peers.clone(),
            )),
            spawn(registration::run(
                directory,
                cx.permission.clone(),
                host.clone(),
                own,
            )),
            spawn(positions::run(Rc::clone(&cx), duty.clone())),
            spawn(pressure::run(Rc::clone(&cx))),
            spawn(report::run(Rc::clone(&cx), host, coordinator, peers)),
            spawn(maintain(
                Rc::clone(&cx),
                Rc::clone(&stop),
                Rc::clone(&is_draining),
            )),
        ];
        info!(host = %settings.host, zone = %settings.zone, client = %listener.address(), "host started");
        Ok(Self {
            cx,
            stop,
            duty,
            is_draining,
            grace: settings.grace,
            _listener: listener,
            _servers: (admin_server, ready_server, peer_server),
            _tasks: tasks,
        })
    }

    /// Shuts down within the grace period so that statements are still answered.
    /// Returns the number of sessions that were still open at the deadline.
    pub async fn drain(&self) -> usize {
        let started = now();
        let moment = |part: f64| started + self.grace.mul_f64(part);
        info!(
            sessions = self.cx.open_sessions.get(),
            "planned stop started"
        );
        self.is_draining.set(true);
        self.duty.leave();
        sleep_until(moment(CLOSE_IDLE_FRACTION)).await;
        self.stop.close_idle(ErrorKind::Draining);
        sleep_until(moment(CLOSE_ALL_FRACTION)).await;
        self.stop.close_all();
        self.wait_for_sessions(moment(ABANDON_FRACTION)).await;
        self.stop.abandon_statements();
        self.wait_for_sessions(moment(EXIT_FRACTION)).await;
        let open = self.cx.open_sessions.get();
        if open > 0 {
            warn!(
                sessions = open,
                "planned stop reached its deadline with open sessions"
            );
        } else {
            info!("planned stop finished");
        }
        open
    }

    /// Waits until all sessions have ended, at most until the given moment.
    async fn wait_for_sessions(&self, until: Instant) {
        while self.cx.open_sessions.get() > 0 && !until.is_past() {
            sleep(TICK.min(until.remaining())).await;
        }
    }
}

impl fmt::Debug for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Host")
    }
}

/// Returns the router of the exchanges that this host serves.
fn peer_router(
    coordinator: &Coordinator,
    cx: &Rc<Context>,
    is_draining: &Rc<Cell<bool>>,
) -> Router {
    let (answering, following) = (coordinator.clone(), coordinator.clone());
    let (directory, confirmed) = (cx.directory.clone(), cx.directory.clone());
    let reached = Rc::clone(cx);
    let router = Router::default()
        .on(ReportExchange, move |host, report| {
            ready(answering.answer(&host, report))
        })
        .on(FollowExchange, move |_, revision| {
            following.clone().follow(revision)
        })
        .on(DutyExchange, move |_, ()| {
            ready(Ok(directory.record(&keys::duty(directory.era()))))
        })
        .on(ReachExchange, move |_, ()| {
            ready(Ok(rival::reach(&reached)))
        })
        .on(ConfirmExchange, move |_, ()| {
            let revision = confirmed.configuration_revision();
            let age = confirmed.configuration_age();
            ready(Ok(age.map(|age| (revision, age))))
        });
    admission::serve(router, cx, is_draining)
}

/// Makes the host receive changes and admit operations through the relay of its zone.
fn use_relays(settings: &EntrySettings, coordinator: &Coordinator, cx: &Context, peers: &PeerPool) {
    let fleet = Fleet::new(cx.directory.clone());
    let (host, zone) = (settings.host.clone(), settings.zone.clone());
    let relay = changes::relay(coordinator.clone(), host, zone, fleet.clone(), peers);
    cx.directory.set_relay(relay, keys::DUTY);
    let (host, zone) = (settings.host.clone(), settings.zone.clone());
    let duty = coordinator.duty.clone();
    cx.set_authority(admission::authority(duty, host, zone, fleet, peers));
}

fn status(
    settings: &EntrySettings,
    cx: &Rc<Context>,
    is_draining: &Rc<Cell<bool>>,
) -> Rc<dyn Fn() -> HostStatus> {
    let (cx, is_draining) = (Rc::clone(cx), Rc::clone(is_draining));
    let (host, zone) = (settings.host.clone(), settings.zone.clone());
    Rc::new(move || HostStatus {
        host: host.clone(),
        zone: zone.clone(),
        is_ready: !is_draining.get()
            && cx.holds_share()
            && cx
                .directory
                .configuration_age()
                .is_some_and(|age| age < READY_AGE),
        revision: Revision(
            cx.directory
                .configuration()
                .map_or(0, |known| known.version),
        ),
        age_millis: millis(cx.directory.configuration_age().unwrap_or_default()),
        connections: u64::try_from(cx.open_sessions.get()).unwrap_or(u64::MAX),
        evacuated: cx.directory.evacuated_zones(),
    })
}

/// Closes idle sessions while the host may not authorise requests, so that their
/// clients connect to other hosts, wakes sessions when an evacuation begins or ends, and
/// updates gauges.
async fn maintain(cx: Rc<Context>, stop: Rc<StopSignal>, is_draining: Rc<Cell<bool>>) {
    let mut was_current = true;
    let mut evacuated = Vec::new();
    let mut ticks = 0_u32;
    loop {
        sleep(TICK).await;
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(GAUGE_TICKS) {
            let version = cx
                .directory
                .configuration()
                .map_or(0, |configuration| configuration.version);
            cx.metrics
                .set_connections(u64::try_from(cx.open_sessions.get()).unwrap_or(u64::MAX));
            let paced = cx.gate.borrow().paced_count();
            cx.metrics
                .set_paced_members(u64::try_from(paced).unwrap_or(u64::MAX));
            cx.metrics
                .set_store_era(cx.directory.era(), cx.permission.unsettled());
            cx.metrics.set_config(
                version,
                cx.directory.configuration_age().unwrap_or_default(),
            );
        }
        let zones = cx.directory.evacuated_zones();
        if zones != evacuated {
            cx.metrics.set_evacuated(zones.len());
            stop.recheck();
            evacuated = zones;
        }
        let is_current = cx.directory.is_configuration_current();
        if is_current == was_current || is_draining.get() {
            continue;
        }
        was_current = is_current;
        let age = cx.directory.configuration_age().map(|age| age.as_millis());
        if is_current {
            info!(age, "configuration current again, serving");
            stop.reopen();
        } else {
            warn!(age, "configuration too old, requests are refused");
            stop.close_idle(ErrorKind::ConfigMissing);
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
