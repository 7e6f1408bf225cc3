//! The configuration of routes, database groups and organisations.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_types::{GroupName, Organisation, RouteName};

/// The commits that a read on a route has to see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Every acknowledged commit.
    Strong,
    /// Every commit older than the bound, and those of the same session if
    /// `is_session` is set.
    Bounded {
        /// The maximum age of the data.
        staleness: Duration,
        /// Whether a session sees its own commits.
        is_session: bool,
    },
}

/// A database name that clients connect to, with the group that serves it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The database name that clients connect to.
    pub name: RouteName,
    /// The database group that serves it.
    pub group: GroupName,
    /// The commits that a read has to see.
    pub consistency: Consistency,
    /// The timeout of a statement.
    pub timeout: Duration,
    /// The latency objective of a whole operation.
    pub latency_objective: Duration,
    /// The priority of its operations; zero is the highest.
    pub priority: u8,
    /// Whether clients may connect without a key.
    pub is_open: bool,
}

/// The settings of a database group.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupConfig {
    /// The name of the group.
    pub name: GroupName,
    /// The maximum number of connections that a member accepts from all hosts
    /// together.
    pub connections: usize,
    /// The statements a second that a member can run while it is cold; `None` if the
    /// operators do not say.
    pub cold_rate: Option<f64>,
}

/// The limits of an organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationConfig {
    /// The name of the organisation.
    pub name: Organisation,
    /// The rate in operations per second, over all hosts together.
    pub rate: f64,
    /// The size of a burst in operations, over all hosts together.
    pub burst: f64,
}

/// A version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// The version number, set by the operator.
    pub version: u64,
    /// The routes by database name.
    pub routes: HashMap<String, Rc<Route>>,
    /// The database groups.
    pub groups: HashMap<GroupName, GroupConfig>,
    /// The organisations that have limits.
    pub organisations: HashMap<Organisation, OrganisationConfig>,
    /// The organisation that each key belongs to.
    pub keys: HashMap<String, Organisation>,
    /// How long a transaction may be idle before it is rolled back; `None` if there is
    /// no limit.
    pub transaction_idle: Option<Duration>,
}
