//! Holds the state that all sessions of a host share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use burdockslip_keys::TokenSecrets;
use burdockslip_peer::PeerPool;
use burdockslip_types::{GroupName, HostId, MemberName, Zone};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::endpoint::Sessions;
use crate::holder::Holder;
use crate::in_force::InForce;
use crate::options::Options;

/// Holds the state that all sessions of a host share.
pub(crate) struct Host {
    pub(crate) options: Rc<Options>,
    pub(crate) secrets: TokenSecrets,
    pub(crate) peers: PeerPool,
    pub(crate) sessions: Sessions,
    pub(crate) is_draining: Cell<bool>,
    in_force: RefCell<Rc<InForce>>,
    holders: RefCell<HashMap<MemberName, Rc<Holder>>>,
    primaries: RefCell<HashMap<GroupName, MemberName>>,
}

impl Host {
    pub(crate) fn new(
        options: Rc<Options>,
        secrets: TokenSecrets,
        peers: PeerPool,
        in_force: Rc<InForce>,
    ) -> Self {
        Self {
            options,
            secrets,
            peers,
            sessions: Sessions::default(),
            is_draining: Cell::new(false),
            in_force: RefCell::new(in_force),
            holders: RefCell::default(),
            primaries: RefCell::default(),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn in_force(&self) -> Rc<InForce> {
        Rc::clone(&self.in_force.borrow())
    }

    /// Puts a configuration in force.
    pub(crate) fn set_in_force(&self, in_force: Rc<InForce>) {
        self.in_force.replace(in_force);
    }

    /// Returns the holder of a member on this host, opening it if needed.
    pub(crate) fn holder(&self, group: &GroupName, member: &MemberName) -> Option<Rc<Holder>> {
        if let Some(holder) = self.holders.borrow().get(member) {
            return Some(Rc::clone(holder));
        }
        let in_force = self.in_force();
        let entry = in_force.catalogue.group(group.as_str())?;
        let database = entry.members.get(member)?;
        let holder = Holder::open(entry, database, &self.options);
        self.holders
            .borrow_mut()
            .insert(member.clone(), Rc::clone(&holder));
        Some(holder)
    }

    /// Returns the host that holds the connections of a member: the highest
    /// ranked in the member's zone, or of all if that zone has none.
    pub(crate) fn holder_host(&self, member: &MemberName, zone: &Zone) -> HostId {
        if self.options.is_direct {
            return self.options.host.clone();
        }
        let in_force = self.in_force();
        let is_in_zone = in_force.hosts.values().any(|entry| entry.zone == *zone);
        in_force
            .hosts
            .iter()
            .filter(|(_, entry)| !is_in_zone || entry.zone == *zone)
            .map(|(host, _)| host)
            .max_by_key(|host| rank(member, host))
            .unwrap_or(&self.options.host)
            .clone()
    }

    /// Returns the member that was last known as the group's primary.
    pub(crate) fn primary(&self, group: &GroupName) -> Option<MemberName> {
        if let Some(member) = self.primaries.borrow().get(group) {
            return Some(member.clone());
        }
        let in_force = self.in_force();
        let entry = in_force.catalogue.group(group.as_str())?;
        entry.members.keys().next().cloned()
    }

    /// Remembers the member that a holder named as primary.
    pub(crate) fn set_primary(&self, group: &GroupName, member: MemberName) {
        self.primaries.borrow_mut().insert(group.clone(), member);
    }
}

/// Returns the weight of a host for a member in rendezvous hashing.
fn rank(member: &MemberName, host: &HostId) -> u64 {
    let seed = xxh3_64_with_seed(member.as_str().as_bytes(), 0);
    xxh3_64_with_seed(host.as_str().as_bytes(), seed)
}

impl fmt::Debug for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Host").field(&self.options.host).finish()
    }
}
