//! Reads the platform's list of hosts and requests their status.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use burdockslip_membership::{LISTED_HOSTS_PREFIX, ListedHost};
use burdockslip_store::Store;
use burdockslip_telemetry::HostStatus;
use burdockslip_types::{HostId, Result, Revision, domain};
use futures::future::LocalBoxFuture;
use futures::stream::{self, StreamExt};

use crate::retry;

/// The port of the admin endpoint of a host whose entry lists none.
pub const DEFAULT_ADMIN_PORT: u16 = 7401;

/// The maximum number of status requests in flight.
const MAX_IN_FLIGHT: usize = 64;

/// Requests `/status` of the admin endpoint at an address and returns the body;
/// tests replace it by a fake.
pub type Fetch = Rc<dyn Fn(SocketAddr) -> LocalBoxFuture<'static, Result<String>>>;

domain! {
    /// The part of a host's entry that only this program reads.
    struct AdminEntry {
        /// The address of the admin endpoint; `None` means the address of the
        /// host with the default port.
        admin: Option<SocketAddr>,
    }

    /// A host and its status as seen by this program.
    pub struct HostView {
        /// The name of the host.
        pub host: HostId,
        /// The platform's entry of the host, or `None` if it is malformed.
        pub listed: Option<ListedHost>,
        /// The status that the host reported, or `None` if the request failed.
        pub status: Option<HostStatus>,
        /// Why there is no status.
        pub error: Option<String>,
    }
}

impl HostView {
    /// Returns the revision in force on the host, or `None` if the request for
    /// its status failed.
    pub fn revision(&self) -> Option<Revision> {
        self.status.as_ref().map(|status| status.revision)
    }
}

impl fmt::Display for HostView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.host)?;
        if let Some(listed) = &self.listed {
            let state = if listed.is_leaving { "leaving" } else { "live" };
            write!(f, " zone {} {state}", listed.peer.zone)?;
        }
        if let Some(revision) = self.revision() {
            write!(f, " revision {revision}")?;
        }
        match &self.error {
            Some(error) => write!(f, " unreachable: {error}"),
            None => Ok(()),
        }
    }
}

/// Reads the host list and requests the status of every host.
///
/// # Errors
///
/// Returns `StoreUnavailable` if the list cannot be read.
pub async fn poll_hosts(store: &Store, fetch: &Fetch, port: u16) -> Result<Vec<HostView>> {
    let page = retry::range(store, LISTED_HOSTS_PREFIX).await?;
    let requests = page.entries.into_iter().map(|entry| {
        let fetch = Rc::clone(fetch);
        async move { poll_host(&entry.key, &entry.value, &fetch, port).await }
    });
    let mut views: Vec<_> = stream::iter(requests)
        .buffer_unordered(MAX_IN_FLIGHT)
        .collect()
        .await;
    views.sort();
    Ok(views)
}

async fn poll_host(key: &str, value: &[u8], fetch: &Fetch, port: u16) -> HostView {
    let mut view = HostView {
        host: HostId::from(key.strip_prefix(LISTED_HOSTS_PREFIX).unwrap_or_default()),
        listed: None,
        status: None,
        error: None,
    };
    let listed = ListedHost::parse(key, value);
    let entry = serde_json::from_slice::<AdminEntry>(value);
    let (Ok(listed), Ok(entry)) = (listed, entry) else {
        view.error = Some("the platform's entry is malformed".to_owned());
        return view;
    };
    let default = SocketAddr::new(listed.peer.address.ip(), port);
    let address = entry.admin.unwrap_or(default);
    view.listed = Some(listed);
    match fetch(address).await {
        Ok(body) => match serde_json::from_str(&body) {
            Ok(status) => view.status = Some(status),
            Err(error) => view.error = Some(format!("its status is malformed: {error}")),
        },
        Err(report) => view.error = Some(format!("{report} at {address}")),
    }
    view
}
