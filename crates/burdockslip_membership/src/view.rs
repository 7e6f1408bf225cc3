//! A consistent snapshot of the host list, with rendezvous hashing.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use burdockslip_types::{HostId, Zone};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Peer, State};

/// An immutable snapshot of the host list; a change of the list creates a new one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    pub(crate) live: BTreeMap<HostId, Peer>,
    pub(crate) leaving: BTreeMap<HostId, Peer>,
    pub(crate) by_zone: BTreeMap<Zone, Vec<HostId>>,
    pub(crate) known_zones: BTreeSet<Zone>,
}

impl View {
    /// Groups `peers` by state and zone.
    pub(crate) fn build<'a>(
        peers: impl Iterator<Item = (&'a Peer, State)>,
        known_zones: BTreeSet<Zone>,
    ) -> Self {
        let mut view = Self {
            known_zones,
            ..Self::default()
        };
        for (peer, state) in peers {
            match state {
                State::Live | State::Suspect => {
                    let hosts = view.by_zone.entry(peer.zone.clone()).or_default();
                    hosts.push(peer.host.clone());
                    view.live.insert(peer.host.clone(), peer.clone());
                }
                State::Leaving => {
                    view.leaving.insert(peer.host.clone(), peer.clone());
                }
                State::Gone => {}
            }
        }
        view
    }

    /// Returns the live hosts, without those that are leaving.
    pub fn live(&self) -> impl Iterator<Item = &Peer> {
        self.live.values()
    }

    /// Returns the hosts that are shutting down; they must get no new work.
    pub fn leaving(&self) -> impl Iterator<Item = &Peer> {
        self.leaving.values()
    }

    /// Returns whether a host is live and not leaving.
    pub fn is_live(&self, host: &HostId) -> bool {
        self.live.contains_key(host)
    }

    /// Returns a live or leaving host, or `None` if it is neither.
    pub fn peer(&self, host: &HostId) -> Option<&Peer> {
        self.live.get(host).or_else(|| self.leaving.get(host))
    }

    /// Returns the address of a live or leaving host.
    pub fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.peer(host).map(|peer| peer.address)
    }

    /// Returns the zones that have at least one live host.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.by_zone.keys()
    }

    /// Returns all zones that were ever seen, with or without live hosts.
    ///
    /// A majority of zones is a majority of these.
    pub fn known_zones(&self) -> &BTreeSet<Zone> {
        &self.known_zones
    }

    /// Returns the live hosts of a zone, ordered by name.
    pub fn hosts_in(&self, zone: &Zone) -> &[HostId] {
        self.by_zone.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Returns the live hosts of `zone` by their rendezvous rank for `key`,
    /// highest first, or those of all zones if `zone` has no live host.
    pub fn rank(&self, key: &str, zone: &Zone) -> Vec<HostId> {
        match self.by_zone.get(zone) {
            Some(hosts) => rank(key, hosts.iter()),
            None => self.rank_all(key),
        }
    }

    /// Returns the live hosts of all zones by their rank for `key`, highest first.
    pub fn rank_all(&self, key: &str) -> Vec<HostId> {
        rank(key, self.live.keys())
    }

    /// Returns the first host of [`rank`](Self::rank) without sorting the
    /// others, or `None` if no host is live.
    pub fn top_ranked(&self, key: &str, zone: &Zone) -> Option<HostId> {
        let seed = seed(key);
        let best = match self.by_zone.get(zone) {
            Some(hosts) => hosts.iter().max_by_key(|host| weight(seed, host)),
            None => self.live.keys().max_by_key(|host| weight(seed, host)),
        };
        best.cloned()
    }
}

fn rank<'a>(key: &str, hosts: impl Iterator<Item = &'a HostId>) -> Vec<HostId> {
    let seed = seed(key);
    let mut order: Vec<_> = hosts.map(|host| (weight(seed, host), host)).collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    order.into_iter().map(|(_, host)| host.clone()).collect()
}

fn seed(key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), 0)
}

/// Returns the weight of a host in rendezvous hashing; the highest ranks first.
fn weight(seed: u64, host: &HostId) -> u64 {
    xxh3_64_with_seed(host.as_str().as_bytes(), seed)
}
