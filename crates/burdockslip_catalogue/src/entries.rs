//! Defines the entries of the catalogue.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_types::{ClassName, GroupName, MemberName, RouteName, Zone, domain};

use crate::span;

domain! {
    /// Describes an availability zone.
    pub struct ZoneEntry {
        /// Who answers for the entry.
        pub owner: String,
    }

    /// Describes an organisation and its limits.
    pub struct OrganisationEntry {
        /// Who answers for the entry.
        pub owner: String,
        /// The requests per second over all hosts.
        pub rate: u32,
        /// The requests that may come at once over all hosts.
        pub burst: u32,
        /// The weight in fair queues, relative to other organisations.
        pub weight: u32,
        /// The routes that the organisation may use besides the open ones.
        pub routes: Vec<RouteName>,
        /// The percentage of rate and burst that each zone gets, for every zone; they add up to 100.
        pub shares: BTreeMap<Zone, u32>,
    }

    /// Describes a route, which clients select as the database of their connection.
    pub struct RouteEntry {
        /// Who answers for the entry.
        pub owner: String,
        /// The database group behind the route.
        pub group: GroupName,
        /// Whether every organisation may use the route.
        pub is_open: bool,
        /// The classes allowed on the route, at least one; the first is the default.
        pub classes: Vec<ClassName>,
    }

    /// Says whether requests of a class change data.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum Access {
        /// The class only reads; replicas may serve it.
        Read,
        /// The class may write; only the primary serves it.
        Write,
    }

    /// Describes a class of requests and its guarantees.
    pub struct ClassEntry {
        /// Who answers for the entry.
        pub owner: String,
        /// Whether requests read or write.
        pub access: Access,
        /// The worth to the business from 0 to 100; higher goes first.
        pub priority: u32,
        /// The maximum age of data that a read may return; `None` allows any age.
        #[serde(with = "span::optional")]
        pub max_age: Option<Duration>,
        /// The time within which a request must start and finish.
        #[serde(with = "span")]
        pub deadline: Duration,
        /// Whether a request may run more than once; writes that are not are never retried.
        pub repeatable: bool,
        /// How long a host serves the class while it cannot confirm its configuration.
        #[serde(with = "span")]
        pub offline_limit: Duration,
    }

    /// Describes a database group.
    pub struct GroupEntry {
        /// Who answers for the entry.
        pub owner: String,
        /// The database user name used upstream.
        pub user: String,
        /// The database name used upstream.
        pub database: String,
        /// The members, in different zones.
        pub members: BTreeMap<MemberName, Rc<MemberEntry>>,
    }

    /// Describes a member of a database group.
    pub struct MemberEntry {
        /// The availability zone in which the member runs.
        pub zone: Zone,
        /// The address of the database.
        pub address: SocketAddr,
        /// The connections that all hosts together may open.
        pub connections: u32,
        /// The statements that run concurrently.
        pub slots: u32,
    }
}

impl RouteEntry {
    /// Returns the class of requests that name none; a checked route has one.
    pub fn default_class(&self) -> Option<&ClassName> {
        self.classes.first()
    }
}
