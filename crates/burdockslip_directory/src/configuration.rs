//! Defines the configuration in force.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_types::{GroupName, Organisation, RouteName};

/// Says which commits a read on a route has to see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Every acknowledged commit.
    Strong,
    /// Commits older than the bound, and those of the same session if `is_session` is set.
    Bounded {
        /// The greatest age of the data.
        staleness: Duration,
        /// Whether a session reads its own commits.
        is_session: bool,
    },
}

/// Holds what a database name stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The database name that clients connect to.
    pub name: RouteName,
    /// The database group that serves it.
    pub group: GroupName,
    /// The commits that a read has to see.
    pub consistency: Consistency,
    /// The limit of one statement.
    pub timeout: Duration,
    /// The latency objective of a whole operation.
    pub latency_objective: Duration,
    /// The priority; zero is the highest.
    pub priority: u8,
    /// Whether callers need no key.
    pub is_open: bool,
}

/// Holds a database group as the operator defines it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupConfig {
    /// The name of the group.
    pub name: GroupName,
    /// The connections that a member accepts from all hosts together.
    pub connections: usize,
}

/// Holds an organisation with its limits.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationConfig {
    /// The name of the organisation.
    pub name: Organisation,
    /// Operations a second over all hosts.
    pub rate: f64,
    /// Operations that may come at once over all hosts.
    pub burst: f64,
}

/// Holds one version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// The version that the operator gave it.
    pub version: u64,
    /// The routes by database name.
    pub routes: HashMap<String, Rc<Route>>,
    /// The database groups.
    pub groups: HashMap<GroupName, GroupConfig>,
    /// The organisations.
    pub organisations: HashMap<Organisation, OrganisationConfig>,
    /// The organisation of each key.
    pub keys: HashMap<String, Organisation>,
    /// The time after which an idle transaction is rolled back, if there is a limit.
    pub transaction_idle: Option<Duration>,
}
