//! Assigns the roles of a host: whether it is a relay, and whom it follows.

use std::collections::BTreeMap;
use std::rc::Rc;

use burdockslip_runtime::{Task, spawn};
use burdockslip_types::HostId;
use futures::StreamExt;

use crate::config::Shared;
use crate::{Section, follow, relay};

/// The rendezvous key by which the hosts of a zone are ranked as relays.
const ROLE: &str = "burdockslip/relay";

/// The number of relays in a zone.
const RELAYS_PER_ZONE: usize = 2;

/// Starts and stops the watch and follow tasks as the host list changes.
pub(crate) async fn run(shared: Rc<Shared>) {
    let mut changes = shared.membership.changes();
    let mut followed: BTreeMap<HostId, Task<()>> = BTreeMap::new();
    let mut watches: Vec<Task<()>> = Vec::new();
    loop {
        let (is_relay, targets) = choose_targets(&shared);
        shared.is_relay.set(is_relay);
        if !is_relay {
            watches.clear();
        } else if watches.is_empty() {
            let sections = Section::ALL.into_iter();
            watches.extend(sections.map(|s| spawn(relay::run(Rc::clone(&shared), s))));
        }
        followed.retain(|host, _| targets.contains(host));
        for host in targets {
            followed
                .entry(host)
                .or_insert_with_key(|host| spawn(follow::run(Rc::clone(&shared), host.clone())));
        }
        if changes.next().await.is_none() {
            return;
        }
    }
}

/// Returns whether this host is a relay, and the hosts to follow.
///
/// These are the other relays of its zone and, for a relay, one relay of each
/// other zone.
fn choose_targets(shared: &Shared) -> (bool, Vec<HostId>) {
    let view = shared.membership.view();
    let own = shared.membership.local_peer();
    let mut relays = view.rank(ROLE, &own.zone);
    relays.truncate(RELAYS_PER_ZONE);
    let position = relays.iter().position(|host| *host == own.host);
    relays.retain(|host| *host != own.host);
    if let Some(position) = position {
        // The two relays of a zone follow different relays of the others.
        for zone in view.zones().filter(|zone| **zone != own.zone) {
            let ranked = view.rank(ROLE, zone);
            let target = ranked.get(position).or_else(|| ranked.first());
            relays.extend(target.cloned());
        }
    }
    (position.is_some(), relays)
}
