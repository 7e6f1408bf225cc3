//! Fakes the paths between hosts and to the store, with cuts, pauses and lost answers.

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

/// The time after which a silent host is removed from the ranking (`docs/design.md`, section 4.11).
const REMOVAL: Duration = Duration::from_secs(6);

/// Holds what is broken at the moment.
#[derive(Debug, Default)]
pub(super) struct Cuts {
    /// Zones whose hosts cannot reach other zones.
    pub(super) zones: BTreeSet<Zone>,
    /// Hosts that can reach no other host.
    pub(super) hosts: BTreeSet<HostId>,
    /// Hosts that cannot reach the store.
    pub(super) store: BTreeSet<HostId>,
    /// Hosts that have crashed.
    pub(super) dead: BTreeSet<HostId>,
    /// Hosts that are being drained, which all others know.
    pub(super) leaving: BTreeSet<HostId>,
    /// Hosts that do nothing until a time.
    pub(super) paused: HashMap<HostId, Instant>,
    /// When the cuts were made.
    pub(super) since: Instant,
}

/// Connects the hosts of a run.
#[derive(Debug)]
pub(super) struct Network {
    pub(super) latency: Duration,
    pub(super) zones: BTreeMap<HostId, Zone>,
    pub(super) cuts: RefCell<Cuts>,
    /// The share of store answers that are lost, in percent.
    pub(super) loss: Cell<u64>,
    pub(super) store: Rc<FakeStore>,
    pub(super) authorities: RefCell<HashMap<HostId, Rc<Authority>>>,
    pub(super) messages: Cell<u64>,
}

impl Network {
    /// Returns whether messages pass between two hosts.
    fn is_open(&self, from: &HostId, to: &HostId) -> bool {
        let cuts = self.cuts.borrow();
        let (near, far) = (&self.zones[from], &self.zones[to]);
        let is_cut = near != far && (cuts.zones.contains(near) || cuts.zones.contains(far));
        from == to || !(is_cut || cuts.hosts.contains(from) || cuts.hosts.contains(to))
    }

    /// Waits while `host` is paused.
    pub(super) async fn resume(&self, host: &HostId) {
        let end = self.cuts.borrow().paused.get(host).copied();
        if let Some(end) = end {
            sleep_until(end).await;
        }
    }

    /// Carries one message in one direction; a cut path swallows it.
    async fn carry(&self, from: &HostId, to: &HostId) {
        self.resume(from).await;
        if from != to {
            self.messages.set(self.messages.get() + 1);
            sleep(self.latency).await;
        }
        if !self.is_open(from, to) {
            std::future::pending::<()>().await;
        }
        self.resume(to).await;
    }

    /// Builds the link of one host.
    pub(super) fn link(self: &Rc<Self>, from: &HostId) -> PeerClient<RateExchange> {
        let (network, from) = (Rc::clone(self), from.clone());
        PeerClient::new(move |to, envelope| {
            let (network, from) = (Rc::clone(&network), from.clone());
            Box::pin(async move { network.exchange(&from, &to, envelope).await })
        })
    }

    async fn exchange(&self, from: &HostId, to: &HostId, envelope: Envelope) -> Result<Reply> {
        self.carry(from, to).await;
        let authority = self.authorities.borrow().get(to).cloned();
        let Some(authority) = authority else {
            bail!(ErrorKind::ConnectionLost);
        };
        let reply = authority.handle(envelope);
        drop(authority);
        self.carry(to, from).await;
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
        self.reach_store(host).await;
        let reply = self.store.apply(request);
        if random_range(0..100) < self.loss.get() {
            std::future::pending::<()>().await;
        }
        self.reach_store(host).await;
        Ok(reply)
    }

    async fn reach_store(&self, host: &HostId) {
        self.resume(host).await;
        sleep(self.latency).await;
        if self.cuts.borrow().store.contains(host) {
            std::future::pending::<()>().await;
        }
    }

    /// Lists all hosts of a zone, as the platform's list shows them.
    pub(super) fn hosts(&self, zone: &Zone) -> Vec<HostId> {
        let hosts = self.zones.iter();
        hosts
            .filter(|(_, z)| *z == zone)
            .map(|(h, _)| h.clone())
            .collect()
    }

    /// Ranks the hosts of a zone that `viewer` considers live.
    pub(super) fn rank(&self, viewer: &HostId, zone: &Zone, shard: Shard) -> Vec<HostId> {
        let mut hosts = self.hosts(zone);
        hosts.retain(|host| !self.cuts.borrow().leaving.contains(host));
        let is_removed = now().since(self.cuts.borrow().since) >= REMOVAL;
        if is_removed {
            hosts.retain(|host| self.is_open(viewer, host) && !self.is_silent(host));
        }
        hosts.sort_by_key(|host| {
            let text = format!("{host} {}", shard.0);
            xxhash_rust::xxh3::xxh3_64(text.as_bytes())
        });
        hosts
    }

    fn is_silent(&self, host: &HostId) -> bool {
        let cuts = self.cuts.borrow();
        cuts.dead.contains(host) || cuts.paused.get(host).is_some_and(|end| *end > now())
    }
}
