//! Keeps the host registered in the store, and looks up other hosts.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Directory;
use burdockslip_failover::{Permission, Registration, keys};
use burdockslip_runtime::{now, sleep, timeout_at};
use burdockslip_store::{Entry, LeaseId, Operation, Txn, with_timeout};
use burdockslip_types::{ErrorKind, HostId, Result};
use error_stack::ensure;
use tracing::{info, warn};

/// The TTL of the registration's lease. The coordinator removes the registration of a
/// host that has ended sooner; the lease ends that of one that ends while there is no
/// coordinator.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// How often the lease is renewed, twice within its TTL.
const RENEW_PERIOD: Duration = Duration::from_secs(12);

/// The timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause after a failed registration.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Keeps the host registered until the task is dropped.
pub(crate) async fn run(
    directory: Directory,
    permission: Permission,
    host: HostId,
    own: Registration,
) {
    let mut lease = None;
    loop {
        match register(&directory, &host, &own, lease).await {
            Ok(used) => {
                info!(lease = used.0, "host registered");
                permission.set_registered(Some(now()));
                lease = renew_until_lost(&directory, &host, used)
                    .await
                    .then_some(used);
                permission.set_registered(None);
                info!(lease = used.0, "host registration lost");
            }
            Err(error) => {
                warn!(?error, "host registration failed");
                lease = None;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Writes the record of the host under `lease`, or under a new lease.
async fn register(
    directory: &Directory,
    host: &HostId,
    own: &Registration,
    lease: Option<LeaseId>,
) -> Result<LeaseId> {
    let store = directory.store();
    let lease = match lease {
        Some(lease) => lease,
        None => with_timeout(CALL_TIMEOUT, store.grant_lease(LEASE_TTL)).await?,
    };
    let key = key(host);
    let value = own.write()?;
    let reply = with_timeout(
        CALL_TIMEOUT,
        store.txn(Txn {
            compares: Vec::new(),
            operations: vec![Operation::Put(key.clone(), value.clone(), Some(lease))],
        }),
    )
    .await?;
    ensure!(reply.is_applied, ErrorKind::Conflict);
    directory.apply(Entry {
        key,
        value,
        revision: reply.revision,
    });
    Ok(lease)
}

/// Renews the lease until the record is gone. Returns whether the lease may still be
/// used: the coordinator removes the record of a host that it does not hear.
async fn renew_until_lost(directory: &Directory, host: &HostId, lease: LeaseId) -> bool {
    let mut next = now() + RENEW_PERIOD;
    loop {
        let seen = directory.changed().epoch();
        if directory.record(&key(host)).is_none() {
            return true;
        }
        let _ = timeout_at(next, directory.changed().changed(seen)).await;
        if !next.is_past() {
            continue;
        }
        next = now() + RENEW_PERIOD;
        match with_timeout(CALL_TIMEOUT, directory.store().keep_lease(lease)).await {
            Ok(left) if left.is_zero() => return false,
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

/// Returns the key of a host's registration.
fn key(host: &HostId) -> String {
    format!("{}{host}", keys::HOSTS)
}

/// Registered hosts with their records.
type Hosts = Vec<(HostId, Registration)>;

/// The registered hosts, decoded once for each state of the directory.
#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    directory: Directory,
    /// The epoch of the directory at which the hosts were decoded.
    epoch: Rc<Cell<Option<u64>>>,
    cached: Rc<RefCell<Rc<Hosts>>>,
}

impl Fleet {
    pub(crate) fn new(directory: Directory) -> Self {
        Self {
            directory,
            epoch: Rc::default(),
            cached: Rc::default(),
        }
    }

    /// Returns the registered hosts with their records.
    pub(crate) fn hosts(&self) -> Rc<Hosts> {
        let epoch = Some(self.directory.changed().epoch());
        if self.epoch.replace(epoch) != epoch {
            *self.cached.borrow_mut() = Rc::new(registrations(&self.directory));
        }
        Rc::clone(&self.cached.borrow())
    }
}

fn registrations(directory: &Directory) -> Hosts {
    let entries = directory.records(keys::HOSTS);
    let read = |entry: &Entry| {
        let name = entry.key.strip_prefix(keys::HOSTS)?;
        Some((HostId::from(name), Registration::read(&entry.value).ok()?))
    };
    entries.iter().filter_map(read).collect()
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

/// Returns the address at which peers connect to a host.
pub(crate) fn address(directory: &Directory, host: &HostId) -> Option<SocketAddr> {
    let entry = directory.record(&key(host))?;
    Registration::read(&entry.value)
        .ok()
        .map(|record| record.address)
}
