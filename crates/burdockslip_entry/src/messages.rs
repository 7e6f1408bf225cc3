//! The messages between hosts and the coordinator.

use std::time::Duration;

use burdockslip_directory::Changes;
use burdockslip_failover::GroupReport;
use burdockslip_shares::{Demand, Grant};
use burdockslip_store::{Entry, LeaseId};
use burdockslip_types::{Exchange, GroupName, LogPosition, MemberName, Organisation, Revision};
use serde::{Deserialize, Serialize};

/// A report of a host to the coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// The state of the host that concerns primaries and their replacement.
    pub groups: GroupReport,
    /// The demand of the host for operations of each organisation.
    pub demands: Vec<Demand>,
    /// Whether the host requests the log positions of primaries.
    pub wants_positions: bool,
}

/// The coordinator's reply to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportReply {
    /// The tokens and the fractions of the organisations' rates granted to the host.
    pub grants: Vec<Grant>,
    /// The version of the coordinator's configuration, zero if it has none.
    pub version: u64,
    /// The revision of the coordinator's configuration, and how long ago the store
    /// confirmed that it is the newest one.
    pub configuration: Option<(Revision, Duration)>,
    /// The members that some hosts cannot reach, and that this host should probe.
    pub suspected: Vec<MemberName>,
    /// The lease behind all permissions, and how long ago it was proved to be alive.
    pub permission: Option<(LeaseId, Duration)>,
    /// The groups whose members confirmed the primary, with the revision of the record
    /// and how long ago they did; empty while the store provides proofs.
    pub group_proofs: Vec<(GroupName, Revision, Duration)>,
    /// The log positions of primaries, and how long ago they were queried.
    pub positions: Vec<(GroupName, LogPosition, Duration)>,
}

/// The exchange for reports to the coordinator.
#[derive(Debug)]
pub struct ReportExchange;

impl Exchange for ReportExchange {
    type Request = HostReport;
    type Reply = ReportReply;
    const NAME: &'static str = "report";
}

/// The exchange in which hosts receive changes of the store from the coordinator.
#[derive(Debug)]
pub(crate) struct FollowExchange;

impl Exchange for FollowExchange {
    type Request = Revision;
    type Reply = Changes;
    const NAME: &'static str = "follow";
}

/// The exchange in which a host asks the relay of its availability zone to admit an
/// operation of an organisation.
#[derive(Debug)]
pub(crate) struct AdmitExchange;

impl Exchange for AdmitExchange {
    type Request = Organisation;
    type Reply = bool;
    const NAME: &'static str = "admit";
}

/// The exchange in which a host requests the record of the duty, which names the
/// coordinator, from a peer.
#[derive(Debug)]
pub(crate) struct DutyExchange;

impl Exchange for DutyExchange {
    type Request = ();
    type Reply = Option<Entry>;
    const NAME: &'static str = "duty";
}
