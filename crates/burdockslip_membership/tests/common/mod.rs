//! An in-memory network of hosts with a latency of 1 ms and partitions.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_membership::{Membership, Peer};
use burdockslip_runtime::sleep;
use burdockslip_types::{ErrorKind, HostId, PeerClient, Zone};
use error_stack::Report;
use futures::FutureExt;

#[derive(Clone, Default)]
pub(crate) struct Net {
    state: Rc<RefCell<State>>,
}

#[derive(Default)]
struct State {
    hosts: BTreeMap<HostId, Membership>,
    addresses: BTreeMap<HostId, HostId>,
    partitioned: BTreeSet<HostId>,
}

pub(crate) fn peer(number: usize, zones: usize) -> Peer {
    Peer {
        host: HostId::from(format!("host-{number:03}")),
        zone: Zone::from(format!("zone-{}", number % zones)),
        address: address(number),
    }
}

pub(crate) fn address(number: usize) -> SocketAddr {
    let number = u16::try_from(number).expect("tests use few hosts");
    SocketAddr::from(([127, 0, 0, 1], 10_000 + number))
}

impl Net {
    /// Starts `count` hosts whose seeds are the addresses of the first two.
    pub(crate) fn start(count: usize, zones: usize) -> Self {
        let net = Self::default();
        for number in 0..count {
            net.spawn(number, zones);
        }
        net
    }

    pub(crate) fn spawn(&self, number: usize, zones: usize) -> Membership {
        let local = peer(number, zones);
        let host = local.host.clone();
        let seeds = vec![address(0), address(1)];
        let membership = Membership::spawn(local.clone(), seeds, self.client(&host));
        let mut state = self.state.borrow_mut();
        let alias = HostId::from(local.address.to_string());
        state.addresses.insert(alias, host.clone());
        state.hosts.insert(host, membership.clone());
        membership
    }

    fn client(&self, from: &HostId) -> PeerClient<burdockslip_membership::Gossip> {
        let (net, from) = (self.clone(), from.clone());
        PeerClient::new(move |to, request| {
            let (net, from) = (net.clone(), from.clone());
            async move {
                sleep(Duration::from_millis(1)).await;
                let Some(target) = net.reach(&from, &to) else {
                    // A network that drops packets reports no error at once.
                    sleep(Duration::from_mins(1)).await;
                    return Err(Report::new(ErrorKind::ConnectionLost));
                };
                let reply = target.handle(request);
                sleep(Duration::from_millis(1)).await;
                Ok(reply)
            }
            .boxed_local()
        })
    }

    fn reach(&self, from: &HostId, to: &HostId) -> Option<Membership> {
        let state = self.state.borrow();
        let to = state.addresses.get(to).unwrap_or(to);
        let is_separated = state.partitioned.contains(from) != state.partitioned.contains(to);
        state.hosts.get(to).filter(|_| !is_separated).cloned()
    }

    /// Removes a host that does not announce its shutdown.
    pub(crate) fn kill(&self, number: usize) {
        let gone = self.state.borrow_mut().hosts.remove(&peer(number, 1).host);
        drop(gone);
    }

    /// Separates `hosts` from all others; replaces the previous partition.
    pub(crate) fn partition(&self, hosts: impl Iterator<Item = usize>) {
        self.state.borrow_mut().partitioned = hosts.map(|number| peer(number, 1).host).collect();
    }

    pub(crate) fn host(&self, number: usize) -> Membership {
        self.state.borrow().hosts[&peer(number, 1).host].clone()
    }

    pub(crate) fn hosts(&self) -> Vec<Membership> {
        self.state.borrow().hosts.values().cloned().collect()
    }

    /// Returns whether all hosts see exactly `count` live hosts.
    pub(crate) fn all_see(&self, count: usize) -> bool {
        let mut hosts = self.hosts().into_iter();
        hosts.all(|host| host.view().live().count() == count)
    }

    /// Waits until all hosts see `count` live hosts; returns whether they did.
    pub(crate) async fn converge(&self, count: usize, limit: Duration) -> bool {
        let step = Duration::from_millis(250);
        let mut waited = Duration::ZERO;
        while waited < limit {
            if self.all_see(count) {
                return true;
            }
            sleep(step).await;
            waited += step;
        }
        false
    }
}
