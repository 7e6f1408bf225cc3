//! Connects the rate limits with the catalogue and the host list.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use burdockslip_catalogue::Catalogue;
use burdockslip_limits::{
    Authority, Envelope, FleetView, Limit, Limiter, Permit, RateExchange, Reply, Settings, Tokens,
};
use burdockslip_membership::{ListedHost, Membership};
use burdockslip_runtime::Instant;
use burdockslip_store::Store;
use burdockslip_types::{ErrorKind, HostId, Organisation, PeerClient, Result, Zone};
use error_stack::Report;
use futures::FutureExt;

/// Runs the limiter and the authority of a host once a catalogue is known.
pub(crate) struct HostRates {
    membership: Membership,
    store: Store,
    link: PeerClient<RateExchange>,
    catalogue: RefCell<Rc<Catalogue>>,
    listed: RefCell<HashMap<Zone, Vec<HostId>>>,
    running: RefCell<Option<Running>>,
}

/// Holds the parts that depend on the list of zones.
struct Running {
    zones: Vec<Zone>,
    limiter: Limiter,
    authority: Rc<Authority>,
}

impl HostRates {
    pub(crate) fn new(
        membership: Membership,
        store: Store,
        link: PeerClient<RateExchange>,
    ) -> Rc<Self> {
        Rc::new(Self {
            membership,
            store,
            link,
            catalogue: RefCell::default(),
            listed: RefCell::default(),
            running: RefCell::default(),
        })
    }

    /// Takes over a list of hosts; all of them must pledge in a store outage.
    pub(crate) fn set_listed(&self, listed: &[ListedHost]) {
        let mut zones: HashMap<Zone, Vec<HostId>> = HashMap::new();
        for entry in listed {
            let hosts = zones.entry(entry.peer.zone.clone()).or_default();
            hosts.push(entry.peer.host.clone());
        }
        self.listed.replace(zones);
    }

    /// Takes over a catalogue; another list of zones divides all rates anew.
    pub(crate) fn set_catalogue(self: &Rc<Self>, catalogue: &Rc<Catalogue>) {
        self.catalogue.replace(Rc::clone(catalogue));
        let zones: Vec<Zone> = catalogue.zones().cloned().collect();
        let is_same = self
            .running
            .borrow()
            .as_ref()
            .is_some_and(|running| running.zones == zones);
        if is_same || zones.is_empty() {
            return;
        }
        let fleet_view = self.fleet_view(zones.clone());
        let authority = Rc::new(Authority::spawn(
            fleet_view.clone(),
            Settings::default(),
            self.store.clone(),
            self.link.clone(),
        ));
        let limiter = Limiter::new(fleet_view, Settings::default(), self.link_to(&authority));
        self.running.replace(Some(Running {
            zones,
            limiter,
            authority,
        }));
    }

    /// Returns a link that answers requests to this host without the network.
    fn link_to(&self, authority: &Rc<Authority>) -> PeerClient<RateExchange> {
        let own = self.membership.local_peer().host.clone();
        let (authority, link) = (Rc::clone(authority), self.link.clone());
        PeerClient::new(move |host, envelope| {
            if host == own {
                let reply = authority.handle(envelope);
                return async move { Ok(reply) }.boxed_local();
            }
            let link = link.clone();
            async move { link.call(&host, envelope).await }.boxed_local()
        })
    }

    fn fleet_view(self: &Rc<Self>, zones: Vec<Zone>) -> FleetView {
        let own = self.membership.local_peer().clone();
        let (limits, shares, lists) = (Rc::clone(self), Rc::clone(self), Rc::clone(self));
        let membership = self.membership.clone();
        let ordered = zones.clone();
        FleetView {
            host: own.host,
            zone: own.zone,
            zones,
            limit_of: Rc::new(move |organisation| limits.limit(organisation)),
            zone_shares: Rc::new(move |organisation| shares.shares(organisation, &ordered)),
            zone_hosts: Rc::new(move |zone| {
                let listed = lists.listed.borrow();
                listed.get(zone).cloned().unwrap_or_default()
            }),
            ranked_hosts: Rc::new(move |zone, shard| {
                membership.view().rank(&format!("rates/{}", shard.0), zone)
            }),
        }
    }

    fn limit(&self, organisation: &Organisation) -> Option<Limit> {
        let catalogue = self.catalogue.borrow();
        let entry = catalogue.organisation(organisation.as_str())?;
        Some(Limit::new(u64::from(entry.rate), u64::from(entry.burst)))
    }

    /// Returns the percentages of an organisation's limit in the order of `zones`.
    fn shares(&self, organisation: &Organisation, zones: &[Zone]) -> Vec<u32> {
        let catalogue = self.catalogue.borrow();
        let Some(entry) = catalogue.organisation(organisation.as_str()) else {
            return Vec::new();
        };
        if entry.shares.is_empty() {
            return Vec::new();
        }
        let share = |zone| entry.shares.get(zone).copied().unwrap_or_default();
        zones.iter().map(share).collect()
    }

    /// Answers another host.
    pub(crate) fn handle(&self, envelope: Envelope) -> Reply {
        let running = self.running.borrow();
        running.as_ref().map_or(Reply::NotOwner, |running| {
            running.authority.handle(envelope)
        })
    }

    /// Waits for a token of an organisation.
    ///
    /// # Errors
    ///
    /// Returns `RateExceeded` or `ConfigMissing`; the attached text names the
    /// limit and the time after which a retry can succeed.
    pub(crate) async fn admit(
        &self,
        organisation: Organisation,
        deadline: Instant,
    ) -> Result<Permit> {
        let limiter = self.running.borrow().as_ref().map(|r| r.limiter.clone());
        let limiter = limiter.ok_or_else(|| Report::new(ErrorKind::ConfigMissing))?;
        let admitted = limiter.admit(&organisation, Tokens::ONE, deadline).await;
        admitted.map_err(|rejection| {
            Report::new(rejection.kind()).attach(format!(
                "limit={:?} retry_after_ms={}",
                rejection.limit,
                rejection.retry_after.as_millis()
            ))
        })
    }

    /// Hands the authority over.
    pub(crate) async fn drain(&self) {
        let authority = self
            .running
            .borrow()
            .as_ref()
            .map(|running| Rc::clone(&running.authority));
        if let Some(authority) = authority {
            authority.drain().await;
        }
    }
}
