//! The `status` command, which shows the revision in force on each host.

use std::fmt;

use burdockslip_store::Store;
use burdockslip_types::{Result, Revision};
use serde::Serialize;

use crate::{ExitStatus, Fetch, HostView, Outcome, document, poll_hosts};

/// The status of all hosts.
#[derive(Debug, Serialize)]
struct Fleet {
    /// The revision that last changed the catalogue.
    catalogue: Revision,
    hosts: Vec<HostView>,
}

impl fmt::Display for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "catalogue revision {}, {} hosts",
            self.catalogue,
            self.hosts.len()
        )?;
        self.hosts.iter().try_for_each(|view| write!(f, "\n{view}"))
    }
}

/// Requests the status of all listed hosts; `port` is that of admin endpoints
/// of hosts that list none.
///
/// # Errors
///
/// Returns `StoreUnavailable` if the store does not respond.
pub async fn status(store: &Store, fetch: &Fetch, port: u16) -> Result<Outcome> {
    let catalogue = document::read(store).await?.revision;
    let hosts = poll_hosts(store, fetch, port).await?;
    let is_behind = |view: &HostView| view.revision().is_none_or(|found| found < catalogue);
    let status = if hosts.iter().any(is_behind) {
        ExitStatus::Incomplete
    } else {
        ExitStatus::Success
    };
    Ok(Outcome::new(status, &Fleet { catalogue, hosts }))
}
