//! Measures how a change propagates, on the paused clock.
//!
//! Hosts are connected in memory with a latency of 1 ms. The host list is
//! static; a killed host is removed from it after 6 s, as gossip would do.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_membership::{Membership, Peer};
use burdockslip_runtime::{now, paused, sleep};
use burdockslip_store::{Faults, MemoryStore};
use burdockslip_types::{ErrorKind, HostId, PeerClient, Revision, Zone};
use error_stack::Report;
use futures::FutureExt;

use crate::{Config, Distribution};

const LATENCY: Duration = Duration::from_millis(1);

/// The time between the kill of a host and its removal from the host list.
const REMOVAL: Duration = Duration::from_secs(6);

/// The time for hosts to load the first configuration before the change.
const SETTLE: Duration = Duration::from_secs(5);

/// How long the traffic without changes is measured.
const QUIET: Duration = Duration::from_secs(5);

/// The time for relays to receive the change before the store goes down.
const HEAD_START: Duration = Duration::from_millis(10);

/// The time limit of a measurement, in case some host never gets the change.
const LIMIT: Duration = Duration::from_mins(2);

/// The interval at which all hosts are checked.
const STEP: Duration = Duration::from_millis(1);

/// The fault that is injected around the change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The store goes down as soon as the relays have received the change.
    StoreDown,
    /// A relay is killed just before the change.
    RelayKilled,
    /// The second zone reaches only the first zone, and not the store.
    ZoneCut,
    /// The second zone reaches neither the store nor other zones, except over
    /// one pair of hosts that are not relays.
    OnePath,
}

/// The result of a measurement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Propagation {
    /// The time until the last host had the change, or `None` if some host never
    /// got it.
    pub elapsed: Option<Duration>,
    /// The messages that all hosts sent from the change until the end, including
    /// those that the change did not cause.
    pub messages: u64,
    /// The encoded size of these messages in bytes.
    pub bytes: u64,
    /// The number of calls to the store from the start until the end.
    pub store_calls: u64,
    /// `messages` divided by the number of hosts.
    pub messages_per_host: f64,
    /// `bytes` divided by the number of hosts.
    pub bytes_per_host: f64,
    /// `store_calls` divided by the number of hosts.
    pub calls_per_host: f64,
    /// The bytes per second that the busiest host sends and receives without
    /// changes.
    pub quiet_bytes: u64,
}

/// A fleet of hosts that are connected in memory.
#[derive(Clone, Default)]
pub struct Fleet {
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    store: MemoryStore,
    peers: RefCell<Vec<Peer>>,
    hosts: RefCell<BTreeMap<HostId, (Membership, Config)>>,
    disconnected: RefCell<BTreeSet<(Zone, Zone)>>,
    kept_paths: RefCell<BTreeSet<(HostId, HostId)>>,
}

impl Fleet {
    /// Starts `hosts` hosts, distributed evenly over `zones` zones, and a store
    /// with a catalogue.
    pub fn start(hosts: usize, zones: usize) -> Self {
        let fleet = Self::default();
        let peers = (0..hosts).map(|number| Peer {
            host: HostId::from(format!("host-{number:03}")),
            zone: Zone::from(format!("zone-{}", number % zones)),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        });
        *fleet.state.peers.borrow_mut() = peers.collect();
        fleet.store().put("burdockslip/catalogue", b"first");
        for number in 0..hosts {
            fleet.spawn(number);
        }
        fleet
    }

    /// Returns the store of the fleet.
    pub fn store(&self) -> &MemoryStore {
        &self.state.store
    }

    /// Starts a host without a configuration; replaces a host with the same number.
    pub fn spawn(&self, number: usize) -> Config {
        let peers = self.state.peers.borrow().clone();
        let local = peers[number].clone();
        let membership = Membership::fixed(local.clone(), &peers);
        let store = self.store().client(local.host.as_str());
        let config = Config::spawn(membership.clone(), store, self.client(&local));
        let entry = (membership, config.clone());
        let old = self.state.hosts.borrow_mut().insert(local.host, entry);
        drop(old);
        config
    }

    fn client(&self, from: &Peer) -> PeerClient<Distribution> {
        let (state, from) = (Rc::downgrade(&self.state), from.clone());
        PeerClient::new(move |to, request| {
            let (state, from) = (state.clone(), from.clone());
            async move {
                sleep(LATENCY).await;
                let target = state.upgrade().and_then(|state| state.reach(&from, &to));
                let Some(target) = target else {
                    // A network that drops packets reports no error at once.
                    sleep(LIMIT).await;
                    return Err(Report::new(ErrorKind::ConnectionLost));
                };
                let reply = target.handle(request).await;
                sleep(LATENCY).await;
                let is_unreachable = state
                    .upgrade()
                    .is_none_or(|s| s.reach(&from, &to).is_none());
                if is_unreachable {
                    sleep(LIMIT).await;
                    return Err(Report::new(ErrorKind::ConnectionLost));
                }
                Ok(reply)
            }
            .boxed_local()
        })
    }

    /// Returns the configuration of a live host.
    pub fn host(&self, number: usize) -> Config {
        let peers = self.state.peers.borrow();
        self.state.hosts.borrow()[&peers[number].host].1.clone()
    }

    /// Returns the numbers of the relays in a zone, or of its other hosts.
    pub fn members(&self, zone: usize, wants_relays: bool) -> Vec<usize> {
        let zone = Zone::from(format!("zone-{zone}"));
        let peers = self.state.peers.borrow();
        let hosts = self.state.hosts.borrow();
        let numbered = peers.iter().enumerate();
        numbered
            .filter(|(_, peer)| peer.zone == zone)
            .filter(|(_, peer)| {
                hosts
                    .get(&peer.host)
                    .is_some_and(|h| h.1.is_relay() == wants_relays)
            })
            .map(|(number, _)| number)
            .collect()
    }

    /// Removes a host that does not announce its shutdown.
    pub fn kill(&self, number: usize) {
        let host = self.state.peers.borrow()[number].host.clone();
        let old = self.state.hosts.borrow_mut().remove(&host);
        drop(old);
    }

    /// Removes killed hosts from the host list.
    pub fn remove_killed(&self) {
        let hosts = self.state.hosts.borrow();
        let peers = self.state.peers.borrow();
        let live: Vec<_> = peers
            .iter()
            .filter(|p| hosts.contains_key(&p.host))
            .cloned()
            .collect();
        for (membership, _) in hosts.values() {
            membership.set_peers(&live);
        }
    }

    /// Drops the messages between two zones.
    pub fn disconnect_zones(&self, one: usize, other: usize) {
        let (one, other) = (format!("zone-{one}"), format!("zone-{other}"));
        let mut disconnected = self.state.disconnected.borrow_mut();
        disconnected.insert((Zone::from(one.as_str()), Zone::from(other.as_str())));
        disconnected.insert((Zone::from(other), Zone::from(one)));
    }

    /// Drops the calls of the hosts of a zone to the store.
    pub fn disconnect_store(&self, zone: usize) {
        let zone = Zone::from(format!("zone-{zone}"));
        for peer in self.state.peers.borrow().iter().filter(|p| p.zone == zone) {
            self.store().disconnect(peer.host.as_str());
        }
    }

    /// Keeps two hosts connected although their zones are disconnected.
    pub fn keep_connected(&self, one: usize, other: usize) {
        let peers = self.state.peers.borrow();
        let (one, other) = (&peers[one].host, &peers[other].host);
        let mut kept_paths = self.state.kept_paths.borrow_mut();
        kept_paths.insert((one.clone(), other.clone()));
        kept_paths.insert((other.clone(), one.clone()));
    }

    /// Reconnects all zones with each other and with the store.
    pub fn reconnect_all(&self) {
        self.state.disconnected.borrow_mut().clear();
        for peer in self.state.peers.borrow().iter() {
            self.store().reconnect(peer.host.as_str());
        }
    }

    /// Returns whether all live hosts have at least `revision`.
    pub fn all_have(&self, revision: Revision) -> bool {
        let hosts = self.state.hosts.borrow();
        hosts
            .values()
            .all(|(_, config)| config.revision() >= revision)
    }

    /// Waits until all live hosts have at least `revision`; returns the time it
    /// took, or `None` after `limit`.
    pub async fn wait(&self, revision: Revision, limit: Duration) -> Option<Duration> {
        let start = now();
        while !self.all_have(revision) {
            if start.elapsed() >= limit {
                return None;
            }
            sleep(STEP).await;
        }
        Some(start.elapsed())
    }

    fn traffic(&self) -> Vec<(u64, u64)> {
        let hosts = self.state.hosts.borrow();
        let traffic = hosts.values().map(|(_, config)| config.traffic());
        traffic
            .map(|t| (t.sent, t.bytes_sent + t.bytes_received))
            .collect()
    }

    fn sent(&self) -> (u64, u64) {
        let hosts = self.state.hosts.borrow();
        let traffic = hosts.values().map(|(_, config)| config.traffic());
        traffic.fold((0, 0), |sum, t| (sum.0 + t.sent, sum.1 + t.bytes_sent))
    }

    fn apply(&self, fault: Fault, zones: usize) {
        match fault {
            Fault::None | Fault::StoreDown => {}
            Fault::RelayKilled => self.kill(self.members(0, true)[0]),
            Fault::ZoneCut => {
                self.disconnect_store(1);
                (2..zones).for_each(|zone| self.disconnect_zones(1, zone));
            }
            Fault::OnePath => {
                self.disconnect_store(1);
                let others = (0..zones).filter(|zone| *zone != 1);
                others.for_each(|zone| self.disconnect_zones(1, zone));
                self.keep_connected(self.members(0, false)[0], self.members(1, false)[0]);
            }
        }
    }

    async fn apply_later(&self, fault: Fault) {
        match fault {
            Fault::StoreDown => {
                sleep(HEAD_START).await;
                self.store().set_faults(Faults {
                    is_down: true,
                    ..Faults::default()
                });
            }
            Fault::RelayKilled => {
                sleep(REMOVAL).await;
                self.remove_killed();
            }
            Fault::None | Fault::ZoneCut | Fault::OnePath => {}
        }
    }
}

impl State {
    fn reach(&self, from: &Peer, to: &HostId) -> Option<Config> {
        let hosts = self.hosts.borrow();
        let (membership, config) = hosts.get(to)?;
        let zones = (from.zone.clone(), membership.local_peer().zone.clone());
        let path = (from.host.clone(), to.clone());
        let is_unreachable = self.disconnected.borrow().contains(&zones)
            && !self.kept_paths.borrow().contains(&path);
        (!is_unreachable && hosts.contains_key(&from.host)).then(|| config.clone())
    }
}

/// Changes the catalogue while `fault` is active and measures the propagation.
pub fn measure_propagation(seed: u64, hosts: usize, zones: usize, fault: Fault) -> Propagation {
    paused::run(seed, async move {
        let fleet = Fleet::start(hosts, zones);
        sleep(SETTLE).await;
        let quiet_bytes = quiet_bytes(&fleet).await;
        fleet.apply(fault, zones);
        let before = fleet.sent();
        let revision = fleet.store().put("burdockslip/catalogue", b"second");
        let later = fleet.apply_later(fault);
        let (elapsed, ()) = futures::join!(fleet.wait(revision, LIMIT), later);
        let after = fleet.sent();
        let (messages, bytes) = (after.0 - before.0, after.1 - before.1);
        let store_calls = fleet.store().calls().total();
        Propagation {
            elapsed,
            messages,
            bytes,
            store_calls,
            messages_per_host: per_host(messages, hosts),
            bytes_per_host: per_host(bytes, hosts),
            calls_per_host: per_host(store_calls, hosts),
            quiet_bytes,
        }
    })
}

async fn quiet_bytes(fleet: &Fleet) -> u64 {
    let before = fleet.traffic();
    sleep(QUIET).await;
    let after = fleet.traffic().into_iter().zip(before);
    let most = after.map(|((_, after), (_, before))| after - before).max();
    most.unwrap_or(0) / QUIET.as_secs()
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn per_host(count: u64, hosts: usize) -> f64 {
    count as f64 / hosts as f64
}
