//! Keeps the host registered in the store, and looks up other hosts.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Directory;
use burdockslip_failover::{Registration, keys};
use burdockslip_runtime::sleep;
use burdockslip_store::{Entry, LeaseId, Operation, Txn, with_timeout};
use burdockslip_types::{HostId, Result};
use tracing::{info, warn};

/// The TTL of the registration's lease: how long a host that was killed stays
/// registered.
const LEASE_TTL: Duration = Duration::from_secs(5);

/// How often the lease is renewed, twice within its TTL. These renewals make up most
/// of the fleet's calls to the store.
const RENEW_PERIOD: Duration = Duration::from_secs(2);

/// The timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause after a failed registration.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Keeps the host registered until the task is dropped.
pub(crate) async fn run(directory: Directory, host: HostId, own: Registration) {
    loop {
        let lease = match register(&directory, &host, &own).await {
            Ok(lease) => lease,
            Err(error) => {
                warn!(?error, "host registration failed");
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        info!(lease = lease.0, "host registered");
        renew_until_expired(&directory, lease).await;
        info!(lease = lease.0, "host registration expired");
    }
}

async fn register(directory: &Directory, host: &HostId, own: &Registration) -> Result<LeaseId> {
    let store = directory.store();
    let lease = with_timeout(CALL_TIMEOUT, store.grant_lease(LEASE_TTL)).await?;
    let key = format!("{}{host}", keys::HOSTS);
    let value = own.write()?;
    let reply = with_timeout(
        CALL_TIMEOUT,
        store.txn(Txn {
            compares: Vec::new(),
            operations: vec![Operation::Put(key.clone(), value.clone(), Some(lease))],
        }),
    )
    .await?;
    directory.apply(Entry {
        key,
        value,
        revision: reply.revision,
    });
    Ok(lease)
}

async fn renew_until_expired(directory: &Directory, lease: LeaseId) {
    loop {
        sleep(RENEW_PERIOD).await;
        match with_timeout(CALL_TIMEOUT, directory.store().keep_lease(lease)).await {
            Ok(left) if left.is_zero() => return,
            Ok(_) => {}
            // The lease may still be alive: only an answer of the store proves that
            // it has ended.
            Err(error) => info!(
                lease = lease.0,
                ?error,
                "renewal of the registration failed"
            ),
        }
    }
}

/// Returns the names of the registered hosts.
pub(crate) fn registered(directory: &Directory) -> HashSet<HostId> {
    let entries = directory.records(keys::HOSTS);
    let name = |key: &str| key.strip_prefix(keys::HOSTS).map(HostId::from);
    entries
        .iter()
        .filter_map(|entry| name(&entry.key))
        .collect()
}

/// The registered hosts, decoded once for each state of the directory.
#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    directory: Directory,
    cached: Rc<RefCell<(Option<u64>, Rc<Vec<(HostId, Registration)>>)>>,
}

impl Fleet {
    pub(crate) fn new(directory: Directory) -> Self {
        Self {
            directory,
            cached: Rc::default(),
        }
    }

    /// Returns the registered hosts with their records.
    pub(crate) fn hosts(&self) -> Rc<Vec<(HostId, Registration)>> {
        let epoch = self.directory.changed().epoch();
        let mut cached = self.cached.borrow_mut();
        if cached.0 != Some(epoch) {
            *cached = (Some(epoch), Rc::new(registrations(&self.directory)));
        }
        Rc::clone(&cached.1)
    }
}

fn registrations(directory: &Directory) -> Vec<(HostId, Registration)> {
    let entries = directory.records(keys::HOSTS);
    let read = |entry: &Entry| {
        let name = entry.key.strip_prefix(keys::HOSTS)?;
        Some((HostId::from(name), Registration::read(&entry.value).ok()?))
    };
    entries.iter().filter_map(read).collect()
}

/// Returns the address at which peers connect to a host.
pub(crate) fn address(directory: &Directory, host: &HostId) -> Option<SocketAddr> {
    let entry = directory.record(&format!("{}{host}", keys::HOSTS))?;
    Registration::read(&entry.value)
        .ok()
        .map(|record| record.address)
}
