//! The simulated deployments with their load, the faults, and the simulated hosts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, Organisation, Zone, domain};

use super::network::{ActiveFaults, Network};
use super::store::FakeStore;
use crate::{Authority, FleetView, Limit, Settings};

domain! {
    /// How rates are enforced.
    #[derive(Copy, Default)]
    pub enum RatePolicy {
        /// Limiters fetch batches of tokens from the authorities in advance.
        #[default]
        Batches,
        /// Limiters fetch tokens from the authorities for each request.
        PerRequest,
        /// Every host has a fixed part of the rate and burst.
        StaticSplit,
        /// Hosts take batches of tokens from a bucket in the store.
        StoreBatches,
    }

    /// What fails during the middle third of a run.
    #[derive(Copy)]
    pub enum Fault {
        /// Nothing fails.
        None,
        /// The hosts of one zone cannot reach the store.
        ZoneFromStore,
        /// The hosts of one zone cannot reach other zones.
        ZoneFromZones,
        /// The host with the most shards can reach neither the store nor other hosts.
        HostFromAll,
        /// The host with the most shards crashes and is not restarted.
        AuthorityKilled,
        /// The host with the most shards is paused for longer than its lease.
        AuthorityPaused,
        /// The host with the fewest shards is paused, possibly between taking a token and using it.
        HolderPaused,
        /// The host with the most shards can reach other hosts but not the store.
        AuthorityFromStore,
        /// No host can reach the store.
        StoreDown,
        /// A third of the store's replies are lost, from the start of the run.
        StoreAnswersLost,
        /// The host with the most shards is drained and restarted.
        Replaced,
    }

    /// The hosts at which the requests of an organisation arrive.
    #[derive(Copy)]
    pub enum Spread {
        /// All hosts in turn.
        Even,
        /// The hosts of one zone.
        OneZone,
        /// One host.
        OneHost,
        /// One host for nine of ten requests, all hosts in turn for the others.
        Skewed,
    }

    /// A simulated fleet with its load.
    pub struct Deployment {
        /// The number of hosts in each zone.
        pub zones: Vec<usize>,
        /// The limits of the organisations.
        pub limits: Vec<Limit>,
        /// The load in percent of the organisations' rates.
        pub load: u64,
        /// The hosts at which requests arrive.
        pub spread: Spread,
        /// The maximum time that a request waits for admission.
        pub deadline: Duration,
        /// The one-way network delay between two hosts, and between a host and the store.
        pub latency: Duration,
        /// The time from the start of the run after which requests are counted.
        pub warmup: Duration,
        /// The duration of the fault; the load lasts equally long before and after it.
        pub span: Duration,
    }
}

impl Deployment {
    /// The site Tallinna: 14 hosts in 4 zones, 8 organisations, a few of them large.
    pub fn tallinna() -> Self {
        let rates = [200, 120, 80, 40, 40, 20, 20, 10];
        Self::build(vec![4, 4, 3, 3], &rates)
    }

    /// The site Quollridge: 13 hosts in 3 zones, 8 organisations, a few of them large.
    pub fn quollridge() -> Self {
        let rates = [160, 100, 60, 40, 20, 20, 10, 10];
        Self::build(vec![5, 4, 4], &rates)
    }

    fn build(zones: Vec<usize>, rates: &[u64]) -> Self {
        Self {
            zones,
            limits: rates
                .iter()
                .map(|&rate| Limit::new(rate, rate * 2))
                .collect(),
            load: 90,
            spread: Spread::Even,
            deadline: Duration::from_secs(1),
            latency: Duration::from_millis(1),
            warmup: Duration::from_secs(5),
            span: Duration::from_secs(10),
        }
    }

    /// Returns the names of the organisations with their limits.
    pub(super) fn organisations(&self) -> Vec<(Organisation, Limit)> {
        let names = (1..).map(|number: u32| Organisation::from(format!("organisation-{number}")));
        names.zip(self.limits.iter().copied()).collect()
    }

    fn hosts(&self) -> BTreeMap<HostId, Zone> {
        let zones = self.zones.iter().enumerate();
        zones
            .flat_map(|(zone, &count)| {
                (0..count).map(move |host| {
                    let id = HostId::from(format!("host-{zone}-{host}"));
                    (id, Zone::from(format!("zone-{zone}")))
                })
            })
            .collect()
    }
}

/// The simulated hosts of a run.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) network: Rc<Network>,
    pub(super) settings: Settings,
    limits: Rc<BTreeMap<Organisation, Limit>>,
    zones: Vec<Zone>,
}

impl Fleet {
    pub(super) fn new(deployment: &Deployment, settings: Settings) -> Rc<Self> {
        let hosts = deployment.hosts();
        let mut zones: Vec<_> = hosts.values().cloned().collect();
        zones.dedup();
        let network = Network {
            latency: deployment.latency,
            zones: hosts,
            faults: RefCell::default(),
            loss_percent: Cell::new(0),
            store: FakeStore::new(),
            authorities: RefCell::default(),
            messages: Cell::new(0),
        };
        Rc::new(Self {
            network: Rc::new(network),
            settings,
            limits: Rc::new(deployment.organisations().into_iter().collect()),
            zones,
        })
    }

    pub(super) fn hosts(&self) -> Vec<HostId> {
        self.network.zones.keys().cloned().collect()
    }

    /// Returns the hosts to which clients can connect.
    pub(super) fn accepting_hosts(&self) -> Vec<HostId> {
        let faults = self.network.faults.borrow();
        let hosts = self.network.zones.keys();
        hosts
            .filter(|host| !faults.crashed.contains(*host) && !faults.leaving.contains(*host))
            .cloned()
            .collect()
    }

    pub(super) fn fleet_view(&self, host: &HostId) -> FleetView {
        let (limits, hosts, network) = (
            Rc::clone(&self.limits),
            Rc::clone(&self.network),
            Rc::clone(&self.network),
        );
        let viewer = host.clone();
        FleetView {
            host: host.clone(),
            zone: self.network.zones[host].clone(),
            zones: self.zones.clone(),
            limit_of: Rc::new(move |organisation| limits.get(organisation).copied()),
            zone_shares: Rc::new(|_| Vec::new()),
            zone_hosts: Rc::new(move |zone| hosts.hosts(zone)),
            ranked_hosts: Rc::new(move |zone, shard| network.rank(&viewer, zone, shard)),
        }
    }

    /// Starts the authority of a host.
    pub(super) fn start_authority(&self, host: &HostId) {
        let authority = Authority::spawn(
            self.fleet_view(host),
            self.settings.clone(),
            self.network.store(host),
            self.network.peer_client(host),
        );
        let mut authorities = self.network.authorities.borrow_mut();
        authorities.insert(host.clone(), Rc::new(authority));
    }

    /// Injects `fault`.
    ///
    /// `end` is the planned end of the fault, at which a paused authority
    /// resumes. `repair` ends the other faults.
    pub(super) async fn inject(&self, fault: Fault, end: Instant) {
        let (first_zone, owner, idle) = (
            self.zones[0].clone(),
            self.busiest_host(),
            self.idlest_host(),
        );
        let zone_hosts = self.network.hosts(&first_zone);
        let mut faults = ActiveFaults {
            since: now(),
            ..ActiveFaults::default()
        };
        match fault {
            Fault::None | Fault::StoreAnswersLost => {}
            Fault::ZoneFromStore => faults.cut_store.extend(zone_hosts),
            Fault::ZoneFromZones => {
                faults.cut_zones.insert(first_zone);
            }
            Fault::HostFromAll => {
                faults.cut_hosts.insert(owner.clone());
                faults.cut_store.insert(owner);
            }
            Fault::AuthorityKilled => {
                self.network.authorities.borrow_mut().remove(&owner);
                faults.crashed.insert(owner);
            }
            Fault::AuthorityPaused => {
                faults.paused.insert(owner, end);
            }
            Fault::HolderPaused => {
                faults.paused.insert(idle, now() + (end.since(now())) / 3);
            }
            Fault::StoreDown => faults.cut_store.extend(self.hosts()),
            Fault::AuthorityFromStore => {
                faults.cut_store.insert(owner);
            }
            Fault::Replaced => {
                self.drain_and_restart(owner).await;
                return;
            }
        }
        *self.network.faults.borrow_mut() = faults;
    }

    /// Drains a host and restarts it two seconds later.
    async fn drain_and_restart(&self, host: HostId) {
        let authority = self.network.authorities.borrow().get(&host).cloned();
        let network = &self.network;
        network.faults.borrow_mut().leaving.insert(host.clone());
        if let Some(authority) = authority {
            authority.drain().await;
        }
        let is_running = self
            .network
            .authorities
            .borrow_mut()
            .remove(&host)
            .is_some();
        burdockslip_runtime::sleep(Duration::from_secs(2)).await;
        self.network.faults.borrow_mut().leaving.remove(&host);
        if is_running {
            self.start_authority(&host);
        }
    }

    /// Ends all faults except crashes.
    pub(super) fn repair(&self) {
        let mut faults = self.network.faults.borrow_mut();
        let crashed = std::mem::take(&mut faults.crashed);
        let since = faults.since;
        *faults = ActiveFaults {
            crashed,
            since,
            ..ActiveFaults::default()
        };
        self.network.loss_percent.set(0);
    }

    /// Returns the host that has authority over the most shards.
    fn busiest_host(&self) -> HostId {
        let authorities = self.network.authorities.borrow();
        let shards = |host: &HostId| authorities.get(host).map_or(0, |a| a.shards().len());
        self.hosts()
            .into_iter()
            .max_by_key(shards)
            .unwrap_or_else(|| "".into())
    }

    /// Returns the host that has authority over the fewest shards.
    fn idlest_host(&self) -> HostId {
        let authorities = self.network.authorities.borrow();
        let shards = |host: &HostId| authorities.get(host).map_or(0, |a| a.shards().len());
        self.hosts()
            .into_iter()
            .min_by_key(shards)
            .unwrap_or_else(|| "".into())
    }
}
