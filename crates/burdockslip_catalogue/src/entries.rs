//! The entries of the catalogue.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_types::{ClassName, GroupName, MemberName, RouteName, Zone, domain};

use crate::span;

domain! {
    /// An availability zone.
    pub struct ZoneEntry {
        /// Who answers for the entry.
        pub owner: String,
    }

    /// An organisation, with its limits and the routes that it may use.
    pub struct OrganisationEntry {
        /// Who answers for the entry.
        pub owner: String,
        /// The rate limit over all hosts, in requests per second.
        pub rate: u32,
        /// The number of requests that may arrive at once over all hosts.
        pub burst: u32,
        /// The weight in fair queues, relative to that of other organisations.
        pub weight: u32,
        /// The routes that the organisation may use in addition to the open ones.
        pub routes: Vec<RouteName>,
        /// The percentage of the rate and burst that each zone gets. The
        /// percentages add up to 100; a zone that is not listed gets none.
        pub shares: BTreeMap<Zone, u32>,
    }

    /// A route, which clients select as the database name of their connection.
    pub struct RouteEntry {
        /// Who answers for the entry.
        pub owner: String,
        /// The database group that serves the route.
        pub group: GroupName,
        /// Whether every organisation may use the route.
        pub is_open: bool,
        /// The classes allowed on the route, at least one; the first is the default.
        pub classes: Vec<ClassName>,
    }

    /// Whether requests of a class may change data.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum Access {
        /// The class only reads; replicas may serve it.
        Read,
        /// The class may write; only the primary serves it.
        Write,
    }

    /// A class of requests and its guarantees.
    pub struct ClassEntry {
        /// Who answers for the entry.
        pub owner: String,
        /// Whether requests read or write.
        pub access: Access,
        /// The priority from 0 to 100; requests with a higher one are served first.
        pub priority: u32,
        /// The maximum age of data that a read may return; `None` allows any age.
        #[serde(with = "span::optional")]
        pub max_age: Option<Duration>,
        /// The time within which a request must have finished, including its wait.
        #[serde(with = "span")]
        pub deadline: Duration,
        /// Whether a request may run more than once. Writes that may not are never retried.
        pub repeatable: bool,
        /// How long a host continues to serve the class while it cannot confirm
        /// its configuration.
        #[serde(with = "span")]
        pub offline_limit: Duration,
    }

    /// A database group: one primary and its replicas.
    pub struct GroupEntry {
        /// Who answers for the entry.
        pub owner: String,
        /// The user name with which hosts connect to the members.
        pub user: String,
        /// The database to which hosts connect at the members.
        pub database: String,
        /// The members, each in a different zone.
        pub members: BTreeMap<MemberName, Rc<MemberEntry>>,
    }

    /// A member of a database group.
    pub struct MemberEntry {
        /// The availability zone in which the member runs.
        pub zone: Zone,
        /// The address of the database server.
        pub address: SocketAddr,
        /// The maximum number of connections that all hosts together may open.
        pub connections: u32,
        /// The maximum number of statements that run concurrently.
        pub slots: u32,
    }
}

impl RouteEntry {
    /// Returns the class of requests that name none, or `None` if the route lists
    /// no classes, which a parsed catalogue rules out.
    pub fn default_class(&self) -> Option<&ClassName> {
        self.classes.first()
    }
}
