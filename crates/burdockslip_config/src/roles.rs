//! Decides what a host watches and follows, by its rank in its zone.

use std::collections::BTreeMap;
use std::rc::Rc;

use burdockslip_runtime::{Task, spawn};
use burdockslip_types::HostId;
use futures::StreamExt;

use crate::config::Shared;
use crate::{Section, follow, relay};

/// Names the role in rendezvous hashing.
const ROLE: &str = "burdockslip/relay";

/// Counts the relays of a zone.
const RELAYS: usize = 2;

/// Starts and stops the tasks of the host's roles as the view changes.
pub(crate) async fn run(shared: Rc<Shared>) {
    let mut changes = shared.membership.changes();
    let mut followed: BTreeMap<HostId, Task<()>> = BTreeMap::new();
    let mut watches: Vec<Task<()>> = Vec::new();
    loop {
        let (is_relay, targets) = choose(&shared);
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

/// Returns whether this host is a relay, and the hosts to follow: the relays
/// of its zone and, for a relay, one relay of each other zone.
fn choose(shared: &Shared) -> (bool, Vec<HostId>) {
    let view = shared.membership.view();
    let own = shared.membership.local_peer();
    let mut relays = view.rank(ROLE, &own.zone);
    relays.truncate(RELAYS);
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
