//! Describes deployments, their load and the faults, and builds the hosts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, Organisation, Zone, domain};

use super::network::{Cuts, Network};
use super::store::FakeStore;
use crate::{Authority, FleetView, Limit, Settings};

domain! {
    /// Selects how rates are enforced.
    #[derive(Copy, Default)]
    pub enum RatePolicy {
        /// Authorities grant batches of tokens in advance.
        #[default]
        Batches,
        /// Authorities are asked for every request.
        PerRequest,
        /// Every host has a fixed part of rate and burst.
        StaticSplit,
        /// The store's record is changed for every batch.
        StoreBatches,
    }

    /// Selects what fails during the middle part of a run.
    #[derive(Copy)]
    pub enum Fault {
        /// Nothing fails.
        None,
        /// The hosts of one zone cannot reach the store.
        ZoneFromStore,
        /// The hosts of one zone cannot reach other zones.
        ZoneFromZones,
        /// One host cannot reach the store or other hosts.
        HostFromAll,
        /// The host with the most shards crashes and stays away.
        AuthorityKilled,
        /// The host with the most shards is paused for longer than its lease.
        AuthorityPaused,
        /// A host without shards is paused between taking a token and using it.
        HolderPaused,
        /// The host with the most shards cannot reach the store, but other hosts.
        AuthorityFromStore,
        /// No host can reach the store.
        StoreDown,
        /// A third of the store's answers is lost, from the start of the run on.
        StoreAnswersLost,
        /// The host with the most shards is drained and replaced.
        Replaced,
    }

    /// Selects which hosts the requests of an organisation arrive at.
    #[derive(Copy)]
    pub enum Spread {
        /// All hosts in turn.
        Even,
        /// The hosts of one zone.
        OneZone,
        /// One host.
        OneHost,
        /// Nine of ten requests at one host, the others at all hosts.
        Skewed,
    }

    /// Describes a fleet with its load.
    pub struct Deployment {
        /// The number of hosts in each zone.
        pub zones: Vec<usize>,
        /// The limits of the organisations.
        pub limits: Vec<Limit>,
        /// The load in percent of the rate.
        pub load: u64,
        /// The hosts at which requests arrive.
        pub spread: Spread,
        /// The time that a request may wait.
        pub deadline: Duration,
        /// The time one way between two hosts.
        pub latency: Duration,
        /// The time before the load starts to be counted.
        pub warmup: Duration,
        /// The time for which the fault lasts; the load goes on as long before and after it.
        pub span: Duration,
    }
}

impl Deployment {
    /// Describes Tallinna: 14 hosts in 4 zones, 8 organisations, a few of them large.
    pub fn tallinna() -> Self {
        let rates = [200, 120, 80, 40, 40, 20, 20, 10];
        Self::build(vec![4, 4, 3, 3], &rates)
    }

    /// Describes Quollridge: 13 hosts in 3 zones, 8 organisations, a few of them large.
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

    /// Names the organisations with their limits.
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

/// Holds the hosts of a run.
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
            cuts: RefCell::default(),
            loss: Cell::new(0),
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

    /// Lists the hosts to which clients can connect.
    pub(super) fn open_hosts(&self) -> Vec<HostId> {
        let cuts = self.network.cuts.borrow();
        let hosts = self.network.zones.keys();
        hosts
            .filter(|host| !cuts.dead.contains(*host) && !cuts.leaving.contains(*host))
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
    pub(super) fn start(&self, host: &HostId) {
        let authority = Authority::spawn(
            self.fleet_view(host),
            self.settings.clone(),
            self.network.store(host),
            self.network.link(host),
        );
        let mut authorities = self.network.authorities.borrow_mut();
        authorities.insert(host.clone(), Rc::new(authority));
    }

    /// Starts `fault`, which lasts until `end`.
    pub(super) async fn fail(&self, fault: Fault, end: Instant) {
        let (first_zone, owner, idle) = (self.zones[0].clone(), self.owner(), self.idle());
        let zone_hosts = self.network.hosts(&first_zone);
        let mut cuts = Cuts {
            since: now(),
            ..Cuts::default()
        };
        match fault {
            Fault::None | Fault::StoreAnswersLost => {}
            Fault::ZoneFromStore => cuts.store.extend(zone_hosts),
            Fault::ZoneFromZones => {
                cuts.zones.insert(first_zone);
            }
            Fault::HostFromAll => {
                cuts.hosts.insert(owner.clone());
                cuts.store.insert(owner);
            }
            Fault::AuthorityKilled => {
                self.network.authorities.borrow_mut().remove(&owner);
                cuts.dead.insert(owner);
            }
            Fault::AuthorityPaused => {
                cuts.paused.insert(owner, end);
            }
            Fault::HolderPaused => {
                cuts.paused.insert(idle, now() + (end.since(now())) / 3);
            }
            Fault::StoreDown => cuts.store.extend(self.hosts()),
            Fault::AuthorityFromStore => {
                cuts.store.insert(owner);
            }
            Fault::Replaced => {
                self.replace(owner).await;
                return;
            }
        }
        *self.network.cuts.borrow_mut() = cuts;
    }

    /// Drains a host and starts it again two seconds later.
    async fn replace(&self, host: HostId) {
        let authority = self.network.authorities.borrow().get(&host).cloned();
        let network = &self.network;
        network.cuts.borrow_mut().leaving.insert(host.clone());
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
        self.network.cuts.borrow_mut().leaving.remove(&host);
        if is_running {
            self.start(&host);
        }
    }

    /// Repairs everything except for crashed hosts.
    pub(super) fn repair(&self) {
        let mut cuts = self.network.cuts.borrow_mut();
        let dead = std::mem::take(&mut cuts.dead);
        let since = cuts.since;
        *cuts = Cuts {
            dead,
            since,
            ..Cuts::default()
        };
        self.network.loss.set(0);
    }

    /// Returns the host that has authority over the most shards.
    fn owner(&self) -> HostId {
        let authorities = self.network.authorities.borrow();
        let shards = |host: &HostId| authorities.get(host).map_or(0, |a| a.shards().len());
        self.hosts()
            .into_iter()
            .max_by_key(shards)
            .unwrap_or_else(|| "".into())
    }

    /// Returns the host that has authority over the fewest shards.
    fn idle(&self) -> HostId {
        let authorities = self.network.authorities.borrow();
        let shards = |host: &HostId| authorities.get(host).map_or(0, |a| a.shards().len());
        self.hosts()
            .into_iter()
            .min_by_key(shards)
            .unwrap_or_else(|| "".into())
    }
}
