//! Defines what hosts and the coordinator tell each other.

use std::time::Duration;

use burdockslip_directory::Changes;
use burdockslip_shares::{Demand, Grant};
use burdockslip_store::{Entry, LeaseId};
use burdockslip_types::{Exchange, GroupName, LogPosition, MemberName, Revision, Term};
use serde::{Deserialize, Serialize};

/// Tells the coordinator what a host sees and wants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// The members that the host cannot reach.
    pub suspects: Vec<MemberName>,
    /// What the host wants of the organisations' rates.
    pub demands: Vec<Demand>,
    /// Whether the host wants the positions of primaries.
    pub wants_positions: bool,
}

/// Tells a host what it may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportReply {
    /// The tokens and fractions of the organisations' rates.
    pub grants: Vec<Grant>,
    /// The newest configuration and how long ago the store said so.
    pub configuration: Option<(Revision, Duration)>,
    /// The members that some hosts cannot reach and that this host should look at.
    pub suspected: Vec<MemberName>,
    /// The lease behind permissions and how long ago it was alive.
    pub permission: Option<(LeaseId, Duration)>,
    /// Groups whose replicas follow the term, and how long ago they said so,
    /// while the store gives no proof.
    pub group_proofs: Vec<(GroupName, Term, Duration)>,
    /// Positions of primaries and how long ago they were asked for.
    pub positions: Vec<(GroupName, LogPosition, Duration)>,
}

/// Carries reports to the coordinator.
#[derive(Debug)]
pub struct ReportExchange;

impl Exchange for ReportExchange {
    type Request = HostReport;
    type Reply = ReportReply;
    const NAME: &'static str = "report";
}

/// Carries changes of the store from the coordinator.
#[derive(Debug)]
pub(crate) struct FollowExchange;

impl Exchange for FollowExchange {
    type Request = Revision;
    type Reply = Changes;
    const NAME: &'static str = "follow";
}

/// Asks a peer for the record of who is coordinator.
#[derive(Debug)]
pub(crate) struct DutyExchange;

impl Exchange for DutyExchange {
    type Request = ();
    type Reply = Option<Entry>;
    const NAME: &'static str = "duty";
}
