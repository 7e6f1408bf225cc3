//! A simulated network between the hosts and to the store, with partitions, pauses and lost
//! replies.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, random_range, sleep, sleep_until};
use burdockslip_store::Store;
use burdockslip_types::{ErrorKind, HostId, PeerClient, Result, Zone};
use error_stack::{Report, bail};

use super::store::FakeStore;
use crate::{Authority, Envelope, RateExchange, Reply, Shard};

/// The time after which membership removes an unresponsive host from the ranking
/// (`docs/design.md`, section 4.11).
const REMOVAL_DELAY: Duration = Duration::from_secs(6);

/// The faults in effect at the moment.
#[derive(Debug, Default)]
pub(super) struct ActiveFaults {
    /// Zones whose hosts cannot reach other zones.
    pub(super) cut_zones: BTreeSet<Zone>,
    /// Hosts that can reach no other host.
    pub(super) cut_hosts: BTreeSet<HostId>,
    /// Hosts that cannot reach the store.
    pub(super) cut_store: BTreeSet<HostId>,
    /// Hosts that have crashed.
    pub(super) crashed: BTreeSet<HostId>,
    /// Hosts that are being drained, which all other hosts have learned.
    pub(super) leaving: BTreeSet<HostId>,
    /// Paused hosts, with the time at which they resume.
    pub(super) paused: HashMap<HostId, Instant>,
    /// When the faults were injected.
    pub(super) since: Instant,
}

/// The simulated network of a run, with the store and the authorities.
#[derive(Debug)]
pub(super) struct Network {
    pub(super) latency: Duration,
    pub(super) zones: BTreeMap<HostId, Zone>,
    pub(super) faults: RefCell<ActiveFaults>,
    /// The percentage of the store's replies that are lost.
    pub(super) loss_percent: Cell<u64>,
    pub(super) store: Rc<FakeStore>,
    pub(super) authorities: RefCell<HashMap<HostId, Rc<Authority>>>,
    pub(super) messages: Cell<u64>,
}

impl Network {
    /// Returns whether messages pass between two hosts.
    fn is_reachable(&self, from: &HostId, to: &HostId) -> bool {
        let faults = self.faults.borrow();
        let (from_zone, to_zone) = (&self.zones[from], &self.zones[to]);
        let is_cut = from_zone != to_zone
            && (faults.cut_zones.contains(from_zone) || faults.cut_zones.contains(to_zone));
        from == to || !(is_cut || faults.cut_hosts.contains(from) || faults.cut_hosts.contains(to))
    }

    /// Waits until `host` is no longer paused.
    pub(super) async fn wait_until_resumed(&self, host: &HostId) {
        let end = self.faults.borrow().paused.get(host).copied();
        if let Some(end) = end {
            sleep_until(end).await;
        }
    }

    /// Delays one message in one direction; never returns if the receiver is unreachable.
    async fn deliver(&self, from: &HostId, to: &HostId) {
        self.wait_until_resumed(from).await;
        if from != to {
            self.messages.set(self.messages.get() + 1);
            sleep(self.latency).await;
        }
        if !self.is_reachable(from, to) {
            std::future::pending::<()>().await;
        }
        self.wait_until_resumed(to).await;
    }

    /// Returns the client with which `from` calls other hosts.
    pub(super) fn peer_client(self: &Rc<Self>, from: &HostId) -> PeerClient<RateExchange> {
        let (network, from) = (Rc::clone(self), from.clone());
        PeerClient::new(move |to, envelope| {
            let (network, from) = (Rc::clone(&network), from.clone());
            Box::pin(async move { network.exchange(&from, &to, envelope).await })
        })
    }

    async fn exchange(&self, from: &HostId, to: &HostId, envelope: Envelope) -> Result<Reply> {
        self.deliver(from, to).await;
        let authority = self.authorities.borrow().get(to).cloned();
        let Some(authority) = authority else {
            bail!(ErrorKind::ConnectionLost);
        };
        let reply = authority.handle(envelope);
        drop(authority);
        self.deliver(to, from).await;
        Ok(reply)
    }

    /// Builds the store handle of one host.
    pub(super) fn store(self: &Rc<Self>, host: &HostId) -> Store {
        let (network, host) = (Rc::clone(self), host.clone());
        Store::new(
            move |request| {
                let (network, host) = (Rc::clone(&network), host.clone());
                Box::pin(async move { network.call_store(&host, request).await })
            },
            |_, _| Box::pin(async { Err(Report::new(ErrorKind::NotSupported)) }),
        )
    }

    async fn call_store(
        &self,
        host: &HostId,
        request: burdockslip_store::Request,
    ) -> Result<burdockslip_store::Reply> {
        self.deliver_to_store(host).await;
        let reply = self.store.apply(request);
        if random_range(0..100) < self.loss_percent.get() {
            std::future::pending::<()>().await;
        }
        self.deliver_to_store(host).await;
        Ok(reply)
    }

    /// Delays one message between a host and the store; never returns if the store is unreachable.
    async fn deliver_to_store(&self, host: &HostId) {
        self.wait_until_resumed(host).await;
        sleep(self.latency).await;
        if self.faults.borrow().cut_store.contains(host) {
            std::future::pending::<()>().await;
        }
    }

    /// Returns all hosts of a zone, as in the platform's host list.
    pub(super) fn hosts(&self, zone: &Zone) -> Vec<HostId> {
        let hosts = self.zones.iter();
        hosts
            .filter(|(_, z)| *z == zone)
            .map(|(h, _)| h.clone())
            .collect()
    }

    /// Returns the hosts of a zone that `viewer` considers live, ordered by their rank for `shard`.
    pub(super) fn rank(&self, viewer: &HostId, zone: &Zone, shard: Shard) -> Vec<HostId> {
        let mut hosts = self.hosts(zone);
        hosts.retain(|host| !self.faults.borrow().leaving.contains(host));
        let is_removed = now().since(self.faults.borrow().since) >= REMOVAL_DELAY;
        if is_removed {
            hosts.retain(|host| self.is_reachable(viewer, host) && !self.is_unresponsive(host));
        }
        hosts.sort_by_key(|host| {
            let text = format!("{host} {}", shard.0);
            xxhash_rust::xxh3::xxh3_64(text.as_bytes())
        });
        hosts
    }

    fn is_unresponsive(&self, host: &HostId) -> bool {
        let faults = self.faults.borrow();
        faults.crashed.contains(host) || faults.paused.get(host).is_some_and(|end| *end > now())
    }
}
