//! Chooses the changes that a message passes on.

use std::collections::{BTreeMap, BTreeSet};

use burdockslip_types::HostId;

/// Bounds the records of one message; at about 45 bytes each and 6 messages
/// a second they stay below a third of the control budget.
pub(crate) const RUMOR_LIMIT: usize = 20;

/// Orders recent changes by how often each was passed on.
#[derive(Default)]
pub(crate) struct Rumors {
    order: BTreeSet<(u32, HostId)>,
    counts: BTreeMap<HostId, u32>,
}

impl Rumors {
    /// Starts to pass on the record of `host`.
    pub(crate) fn add(&mut self, host: HostId) {
        if let Some(count) = self.counts.insert(host.clone(), 0) {
            self.order.remove(&(count, host.clone()));
        }
        self.order.insert((0, host));
    }

    /// Returns the hosts whose records go into the next message, those first
    /// that were passed on least, and forgets those passed on often enough.
    pub(crate) fn take(&mut self, hosts: usize) -> Vec<HostId> {
        // The number of rounds in which a change reaches all hosts; comparisons
        // of tables repair the rest.
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
