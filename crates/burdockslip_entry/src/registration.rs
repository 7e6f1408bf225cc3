//! Registers the host in the store while it lives, and finds other hosts.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_directory::Directory;
use burdockslip_failover::{Registration, keys};
use burdockslip_runtime::sleep;
use burdockslip_store::{Entry, LeaseId, Operation, Txn, with_timeout};
use burdockslip_types::{HostId, Result};
use tracing::{info, warn};

/// How long the registration outlives a host that was killed.
const LEASE_TTL: Duration = Duration::from_secs(5);

/// How often the lease is renewed; two renewals fit into it. With all hosts
/// together these are most of the calls to the store.
const RENEW_PERIOD: Duration = Duration::from_secs(2);

/// Bounds a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pauses after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Keeps the host registered.
pub(crate) async fn run(directory: Directory, host: HostId, own: Registration) {
    loop {
        let lease = match register(&directory, &host, &own).await {
            Ok(lease) => lease,
            Err(error) => {
                warn!(?error, "host not registered");
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        info!(lease = lease.0, "host registered");
        keep(&directory, lease).await;
        info!(lease = lease.0, "registration ended");
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

async fn keep(directory: &Directory, lease: LeaseId) {
    loop {
        sleep(RENEW_PERIOD).await;
        match with_timeout(CALL_TIMEOUT, directory.store().keep_lease(lease)).await {
            Ok(left) if left.is_zero() => return,
            Ok(_) => {}
            // The lease may still be alive; only the store can say that it ended.
            Err(error) => info!(lease = lease.0, ?error, "registration not renewed"),
        }
    }
}

/// Returns the hosts that are registered.
pub(crate) fn registered(directory: &Directory) -> HashSet<HostId> {
    let entries = directory.records(keys::HOSTS);
    let name = |key: &str| key.strip_prefix(keys::HOSTS).map(HostId::from);
    entries
        .iter()
        .filter_map(|entry| name(&entry.key))
        .collect()
}

/// Returns where a host is reached.
pub(crate) fn address(directory: &Directory, host: &HostId) -> Option<SocketAddr> {
    let entry = directory.record(&format!("{}{host}", keys::HOSTS))?;
    Registration::read(&entry.value).ok().map(|own| own.address)
}
