//! Offers one consistent state of the host list.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use burdockslip_types::{HostId, Zone};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Peer, State};

/// Holds one state of the host list; changes make a new one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    pub(crate) live: BTreeMap<HostId, Peer>,
    pub(crate) leaving: BTreeMap<HostId, Peer>,
    pub(crate) by_zone: BTreeMap<Zone, Vec<HostId>>,
    pub(crate) known_zones: BTreeSet<Zone>,
}

impl View {
    /// Builds a view from peers and their states.
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

    /// Returns the live hosts; those that leave are not among them.
    pub fn live(&self) -> impl Iterator<Item = &Peer> {
        self.live.values()
    }

    /// Returns the hosts that are shutting down; they get no new work.
    pub fn leaving(&self) -> impl Iterator<Item = &Peer> {
        self.leaving.values()
    }

    /// Returns whether a host is live and not leaving.
    pub fn is_live(&self, host: &HostId) -> bool {
        self.live.contains_key(host)
    }

    /// Returns a host, live or leaving.
    pub fn peer(&self, host: &HostId) -> Option<&Peer> {
        self.live.get(host).or_else(|| self.leaving.get(host))
    }

    /// Returns the address of a host, live or leaving.
    pub fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.peer(host).map(|peer| peer.address)
    }

    /// Returns the zones that have live hosts.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.by_zone.keys()
    }

    /// Returns all zones ever heard of, which majorities of zones count.
    pub fn known_zones(&self) -> &BTreeSet<Zone> {
        &self.known_zones
    }

    /// Returns the live hosts of a zone in the order of their names.
    pub fn hosts_in(&self, zone: &Zone) -> &[HostId] {
        self.by_zone.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Ranks the live hosts of `zone` for `key`, best first; of all zones if
    /// this one has no live host.
    pub fn rank(&self, key: &str, zone: &Zone) -> Vec<HostId> {
        match self.by_zone.get(zone) {
            Some(hosts) => rank(key, hosts.iter()),
            None => self.rank_all(key),
        }
    }

    /// Ranks the live hosts of all zones for `key`, best first.
    pub fn rank_all(&self, key: &str) -> Vec<HostId> {
        rank(key, self.live.keys())
    }

    /// Returns the best-ranked host as [`rank`](Self::rank) does, without
    /// sorting the others.
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

/// Returns the weight of a host in rendezvous hashing, the highest wins.
fn weight(seed: u64, host: &HostId) -> u64 {
    xxh3_64_with_seed(host.as_str().as_bytes(), seed)
}
