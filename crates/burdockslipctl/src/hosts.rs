//! Reads the platform's list of hosts and asks them for their status.

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

/// Gives the port of the admin endpoint of a host that lists no other.
pub const DEFAULT_ADMIN_PORT: u16 = 7401;

/// Bounds the hosts that are asked at once.
const CONCURRENCY: usize = 64;

/// Gets the status of a host from its admin endpoint, over the network or from a fake.
pub type Fetch = Rc<dyn Fn(SocketAddr) -> LocalBoxFuture<'static, Result<String>>>;

domain! {
    /// Holds the part of a host's entry that only this program reads.
    struct AdminEntry {
        /// The address of the admin endpoint, if it differs from the default port.
        admin: Option<SocketAddr>,
    }

    /// Holds what the program learned about a host.
    pub struct HostView {
        /// The name of the host.
        pub host: HostId,
        /// What the platform lists, if it could be read.
        pub listed: Option<ListedHost>,
        /// What the host says, or `None` if it cannot be reached.
        pub status: Option<HostStatus>,
        /// Why the host cannot be reached.
        pub error: Option<String>,
    }
}

impl HostView {
    /// Returns the revision in force, or `None` if the host cannot be reached.
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

/// Reads the host list and asks every host for its status.
///
/// # Errors
///
/// Returns `StoreUnavailable` if the list cannot be read.
pub async fn poll(store: &Store, fetch: &Fetch, port: u16) -> Result<Vec<HostView>> {
    let page = retry::range(store, LISTED_HOSTS_PREFIX).await?;
    let asked = page.entries.into_iter().map(|entry| {
        let fetch = Rc::clone(fetch);
        async move { ask(&entry.key, &entry.value, &fetch, port).await }
    });
    let mut views: Vec<_> = stream::iter(asked)
        .buffer_unordered(CONCURRENCY)
        .collect()
        .await;
    views.sort();
    Ok(views)
}

async fn ask(key: &str, value: &[u8], fetch: &Fetch, port: u16) -> HostView {
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
