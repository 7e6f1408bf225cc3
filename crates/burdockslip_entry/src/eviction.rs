//! Removes the registrations of hosts that have ended.
//!
//! Registrations have long leases, because their renewals would be most of a large
//! fleet's calls to the store. The coordinator, to which all hosts report, removes
//! those of silent hosts sooner; see `docs/platform.md`, "Registration".

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Directory;
use burdockslip_failover::{Duty, keys};
use burdockslip_runtime::{Instant, now, sleep};
use burdockslip_store::{Compare, Entry, Operation, Txn, with_timeout};
use burdockslip_types::{HostId, Revision};
use tracing::info;

/// How long after its last report a host is considered to have ended.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(6);

/// How often the coordinator looks for silent hosts.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// The most registrations that are removed in one call; each takes two of the 32
/// entries that a transaction of the platform's store may have.
const MAX_REMOVED: usize = 16;

/// The timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// When each host was last heard of.
#[derive(Debug, Default)]
pub struct LastReports {
    hosts: RefCell<HashMap<HostId, (Revision, Instant)>>,
}

impl LastReports {
    /// Records a report of a host.
    pub fn record(&self, host: &HostId) {
        if let Some(known) = self.hosts.borrow_mut().get_mut(host) {
            known.1 = now();
        }
    }

    /// Forgets all hosts, at the start of a tenure.
    pub fn clear(&self) {
        self.hosts.borrow_mut().clear();
    }

    /// Returns the hosts that have been silent for [`SILENCE_LIMIT`], with the revision
    /// of their registrations. A new registration counts as a report.
    ///
    /// `registered` lists the other hosts. If at least half of all hosts are silent, the coordinator is more likely to be
    /// cut off than they are to have ended, and the result is empty.
    pub fn silent(&self, registered: &[(HostId, Revision)]) -> Vec<(HostId, Revision)> {
        let mut hosts = self.hosts.borrow_mut();
        hosts.retain(|host, _| registered.iter().any(|(known, _)| known == host));
        for (host, revision) in registered {
            let known = hosts.entry(host.clone()).or_insert((*revision, now()));
            if known.0 != *revision {
                *known = (*revision, now());
            }
        }
        let is_silent =
            |(_, (_, at)): &(&HostId, &(Revision, Instant))| at.elapsed() >= SILENCE_LIMIT;
        let silent: Vec<_> = hosts
            .iter()
            .filter(is_silent)
            .map(|(host, (revision, _))| (host.clone(), *revision))
            .collect();
        // The coordinator itself is one more host, which is not silent.
        if silent.len() * 2 < hosts.len() + 1 {
            silent
        } else {
            Vec::new()
        }
    }
}

/// Removes the registrations of silent hosts while this host is the coordinator.
pub(crate) async fn run(directory: Directory, duty: Duty, host: HostId, reports: Rc<LastReports>) {
    loop {
        sleep(CHECK_PERIOD).await;
        if duty.tenure().is_none() {
            reports.clear();
            continue;
        }
        let mut silent = reports.silent(&registered(&directory, &host));
        silent.truncate(MAX_REMOVED);
        if !silent.is_empty() {
            remove(&directory, silent).await;
        }
    }
}

/// Returns the other registered hosts and the revisions of their registrations.
fn registered(directory: &Directory, own: &HostId) -> Vec<(HostId, Revision)> {
    let entries = directory.records(keys::HOSTS);
    let read = |entry: &Entry| {
        let name = entry.key.strip_prefix(keys::HOSTS)?;
        (name != own.as_str()).then(|| (HostId::from(name), entry.revision))
    };
    entries.iter().filter_map(read).collect()
}

async fn remove(directory: &Directory, silent: Vec<(HostId, Revision)>) {
    let key = |host: &HostId| format!("{}{host}", keys::HOSTS);
    let compares = silent
        .iter()
        .map(|(host, revision)| Compare::Revision(key(host), *revision));
    let operations = silent.iter().map(|(host, _)| Operation::Delete(key(host)));
    let txn = Txn {
        compares: compares.collect(),
        operations: operations.collect(),
    };
    let outcome = with_timeout(CALL_TIMEOUT, directory.store().txn(txn)).await;
    let names: Vec<_> = silent.iter().map(|(host, _)| host.as_str()).collect();
    info!(
        hosts = names.join(" "),
        is_applied = outcome.is_ok_and(|reply| reply.is_applied),
        "registrations of silent hosts removed"
    );
}
