//! Selects the changes that a gossip message propagates.

use std::collections::{BTreeMap, BTreeSet};

use burdockslip_types::HostId;

/// The maximum number of records in one message.
///
/// At about 45 bytes each and 6 messages a second, they stay below a third of
/// the bandwidth budget of a host for control messages.
pub(crate) const RUMOR_LIMIT: usize = 20;

/// Recent changes, ordered by how often each was sent.
#[derive(Default)]
pub(crate) struct Rumors {
    order: BTreeSet<(u32, HostId)>,
    counts: BTreeMap<HostId, u32>,
}

impl Rumors {
    /// Queues the record of `host` for propagation, with its send count reset.
    pub(crate) fn add(&mut self, host: HostId) {
        if let Some(count) = self.counts.insert(host.clone(), 0) {
            self.order.remove(&(count, host.clone()));
        }
        self.order.insert((0, host));
    }

    /// Returns the hosts whose records go into the next message, least often
    /// sent first, and drops those that were sent often enough.
    ///
    /// `hosts` is the number of live hosts.
    pub(crate) fn take(&mut self, hosts: usize) -> Vec<HostId> {
        // A change usually reaches all hosts within this many gossip rounds;
        // table synchronisation repairs the rest.
        let limit = hosts.max(2).ilog2() + 1;
        let chosen: Vec<_> = self.order.iter().take(RUMOR_LIMIT).cloned().collect();
        for (count, host) in &chosen {
            self.order.remove(&(*count, host.clone()));
            if count + 1 < limit {
                self.order.insert((count + 1, host.clone()));
                self.counts.insert(host.clone(), count + 1);
            } else {
                self.counts.remove(host);
            }
        }
        chosen.into_iter().map(|(_, host)| host).collect()
    }
}
