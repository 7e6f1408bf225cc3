//! Reads the platform's list of hosts and asks them for their status.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use burdockslip_store::Store;
use burdockslip_telemetry::HostStatus;
use burdockslip_types::{HostId, Result, Revision, Zone, domain};
use futures::future::LocalBoxFuture;
use futures::stream::{self, StreamExt};

use crate::retry;

/// Starts the store keys of the platform's host list (`docs/design.md`, section 3.3).
pub const HOSTS_PREFIX: &str = "platform/hosts/";

/// Gives the port of the admin endpoint of a host that lists no other.
pub const DEFAULT_ADMIN_PORT: u16 = 7401;

/// Bounds the hosts that are asked at once.
const CONCURRENCY: usize = 64;

/// Gets the status of a host from its admin endpoint, over the network or from a fake.
pub type Fetch = Rc<dyn Fn(SocketAddr) -> LocalBoxFuture<'static, Result<String>>>;

domain! {
    /// Says whether a host takes new work.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum HostState {
        /// The host works.
        Live,
        /// The host is about to stop.
        Leaving,
    }

    /// Holds what the platform lists of a host.
    pub struct HostRecord {
        /// The availability zone.
        pub zone: Zone,
        /// The address for other hosts.
        pub address: SocketAddr,
        /// The address of the admin endpoint, if it differs from the default port.
        pub admin: Option<SocketAddr>,
        /// Whether the host takes new work.
        pub state: HostState,
    }

    /// Holds what the program learned about a host.
    pub struct HostView {
        /// The name of the host.
        pub host: HostId,
        /// What the platform lists, if it could be read.
        pub record: Option<HostRecord>,
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
        if let Some(record) = &self.record {
            let state = match record.state {
                HostState::Live => "live",
                HostState::Leaving => "leaving",
            };
            write!(f, " zone {} {state}", record.zone)?;
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
    let page = retry::range(store, HOSTS_PREFIX).await?;
    let asked = page.entries.into_iter().map(|entry| {
        let host = entry.key.strip_prefix(HOSTS_PREFIX).unwrap_or_default();
        let host = HostId::from(host);
        let fetch = Rc::clone(fetch);
        async move { ask(host, &entry.value, &fetch, port).await }
    });
    let mut views: Vec<_> = stream::iter(asked)
        .buffer_unordered(CONCURRENCY)
        .collect()
        .await;
    views.sort();
    Ok(views)
}

async fn ask(host: HostId, value: &[u8], fetch: &Fetch, port: u16) -> HostView {
    let mut view = HostView {
        host,
        record: None,
        status: None,
        error: None,
    };
    let record: HostRecord = match serde_json::from_slice(value) {
        Ok(record) => record,
        Err(error) => {
            view.error = Some(format!("the platform's entry is malformed: {error}"));
            return view;
        }
    };
    let default = SocketAddr::new(record.address.ip(), port);
    let address = record.admin.unwrap_or(default);
    view.record = Some(record);
    match fetch(address).await {
        Ok(body) => match serde_json::from_str(&body) {
            Ok(status) => view.status = Some(status),
            Err(error) => view.error = Some(format!("its status is malformed: {error}")),
        },
        Err(report) => view.error = Some(format!("{report} at {address}")),
    }
    view
}
