//! The rate limiter of a host, configured by the catalogue and the host list.

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

/// The limiter and the rate authority of a host, started with the first catalogue.
///
/// The authority grants tokens to hosts; the limiter spends them on requests.
pub(crate) struct HostRates {
    membership: Membership,
    store: Store,
    client: PeerClient<RateExchange>,
    catalogue: RefCell<Rc<Catalogue>>,
    listed: RefCell<HashMap<Zone, Vec<HostId>>>,
    active: RefCell<Option<ActiveLimits>>,
}

/// The parts that depend on the list of zones and are replaced with it.
struct ActiveLimits {
    zones: Vec<Zone>,
    limiter: Limiter,
    authority: Rc<Authority>,
}

impl HostRates {
    pub(crate) fn new(
        membership: Membership,
        store: Store,
        client: PeerClient<RateExchange>,
    ) -> Rc<Self> {
        Rc::new(Self {
            membership,
            store,
            client,
            catalogue: RefCell::default(),
            listed: RefCell::default(),
            active: RefCell::default(),
        })
    }

    /// Replaces the list of hosts. In a store outage, the authority needs a pledge
    /// from all of them.
    pub(crate) fn set_listed(&self, listed: &[ListedHost]) {
        let mut zones: HashMap<Zone, Vec<HostId>> = HashMap::new();
        for entry in listed {
            let hosts = zones.entry(entry.peer.zone.clone()).or_default();
            hosts.push(entry.peer.host.clone());
        }
        self.listed.replace(zones);
    }

    /// Replaces the catalogue. If its list of zones differs, the limiter and the
    /// authority are recreated, because all rates are divided between the zones.
    pub(crate) fn set_catalogue(self: &Rc<Self>, catalogue: &Rc<Catalogue>) {
        self.catalogue.replace(Rc::clone(catalogue));
        let zones: Vec<Zone> = catalogue.zones().cloned().collect();
        let is_same = self
            .active
            .borrow()
            .as_ref()
            .is_some_and(|active| active.zones == zones);
        if is_same || zones.is_empty() {
            return;
        }
        let fleet_view = self.fleet_view(zones.clone());
        let authority = Rc::new(Authority::spawn(
            fleet_view.clone(),
            Settings::default(),
            self.store.clone(),
            self.client.clone(),
        ));
        let limiter = Limiter::new(fleet_view, Settings::default(), self.client_for(&authority));
        self.active.replace(Some(ActiveLimits {
            zones,
            limiter,
            authority,
        }));
    }

    /// Returns a client that passes requests for this host directly to `authority`.
    fn client_for(&self, authority: &Rc<Authority>) -> PeerClient<RateExchange> {
        let own = self.membership.local_peer().host.clone();
        let (authority, client) = (Rc::clone(authority), self.client.clone());
        PeerClient::new(move |host, envelope| {
            if host == own {
                let reply = authority.handle(envelope);
                return async move { Ok(reply) }.boxed_local();
            }
            let client = client.clone();
            async move { client.call(&host, envelope).await }.boxed_local()
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

    /// Returns the percentages of an organisation's limit in the order of `zones`,
    /// or nothing if the catalogue does not set them.
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

    /// Handles a request from another host; without a catalogue, this host owns no
    /// rates.
    pub(crate) fn handle(&self, envelope: Envelope) -> Reply {
        let active = self.active.borrow();
        active
            .as_ref()
            .map_or(Reply::NotOwner, |active| active.authority.handle(envelope))
    }

    /// Waits for a token within the rate of an organisation.
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
        let limiter = self.active.borrow().as_ref().map(|r| r.limiter.clone());
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

    /// Hands the rate authority over to another host.
    pub(crate) async fn drain(&self) {
        let authority = self
            .active
            .borrow()
            .as_ref()
            .map(|active| Rc::clone(&active.authority));
        if let Some(authority) = authority {
            authority.drain().await;
        }
    }
}
