//! Registers the host in the store while it lives.

use std::time::Duration;

use burdockslip_directory::Directory;
use burdockslip_failover::{Registration, keys};
use burdockslip_runtime::{sleep, timeout};
use burdockslip_store::{Entry, LeaseId, Operation, Txn};
use burdockslip_types::{ErrorKind, HostId, Result};
use error_stack::Report;
use tracing::{info, warn};

/// How long the registration outlives a host that was killed.
const LEASE_TTL: Duration = Duration::from_secs(5);

/// How often the lease is renewed.
const RENEW_PERIOD: Duration = Duration::from_millis(1_500);

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
    let lease = within(store.grant_lease(LEASE_TTL)).await?;
    let key = format!("{}{host}", keys::HOSTS);
    let value = own.write()?;
    let reply = within(store.txn(Txn {
        compares: Vec::new(),
        operations: vec![Operation::Put(key.clone(), value.clone(), Some(lease))],
    }))
    .await?;
    directory.learn(Entry {
        key,
        value,
        revision: reply.revision,
    });
    Ok(lease)
}

async fn keep(directory: &Directory, lease: LeaseId) {
    loop {
        sleep(RENEW_PERIOD).await;
        match within(directory.store().keep_lease(lease)).await {
            Ok(left) if left.is_zero() => return,
            Ok(_) => {}
            // The lease may still be alive; only the store can say that it ended.
            Err(error) => info!(lease = lease.0, ?error, "registration not renewed"),
        }
    }
}

async fn within<T>(call: impl Future<Output = Result<T>>) -> Result<T> {
    match timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(Report::new(ErrorKind::StoreUnavailable).attach("no answer in time")),
    }
}
