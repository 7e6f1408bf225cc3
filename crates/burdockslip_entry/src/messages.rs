//! The messages between hosts and the coordinator.

use std::time::Duration;

use burdockslip_directory::Changes;
use burdockslip_dispatch::{PressureReply, PressureReport};
use burdockslip_failover::{GroupReport, Reach};
use burdockslip_pace::{MemberDemand, PaceGrant};
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
    /// What the host would send to paced members, and how they answered.
    pub paced: Vec<MemberDemand>,
    /// Whether the host requests the log positions of primaries.
    pub wants_positions: bool,
    /// The answers of members and the operations that arrived; empty while statements are
    /// not served by priority.
    pub pressure: PressureReport,
}

/// The coordinator's reply to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportReply {
    /// The tokens and the fractions of the organisations' rates granted to the host.
    pub grants: Vec<Grant>,
    /// The permits for each paced member; `None` if another coordinator may exist.
    pub permits: Option<Vec<PaceGrant>>,
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
    /// Whether another coordinator may exist, because the tenure of this one has expired.
    /// The reply then does not extend the time for which the host may use its share.
    pub is_interim: bool,
    /// The log positions of primaries, and how long ago they were queried.
    pub positions: Vec<(GroupName, LogPosition, Duration)>,
    /// The members under pressure, and the organisations beyond their usual; `None` for
    /// reports between the regular ones.
    pub pressure: Option<PressureReply>,
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
/// operation of an organisation, and tells how many it has refused by itself since the
/// last question. The reply is the time for which the organisation is out of tokens, or
/// `None` if the operation may run.
#[derive(Debug)]
pub(crate) struct AdmitExchange;

impl Exchange for AdmitExchange {
    type Request = (Organisation, u32);
    type Reply = Option<Duration>;
    const NAME: &'static str = "admit";
}

/// The exchange in which a host gives tokens back to the relay that admitted operations
/// which were not sent to a member.
#[derive(Debug)]
pub(crate) struct ReturnExchange;

impl Exchange for ReturnExchange {
    type Request = Vec<(Organisation, u32)>;
    type Reply = ();
    const NAME: &'static str = "return";
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

/// The exchange in which a host that does not hear the coordinator asks another one what
/// it hears.
#[derive(Debug)]
pub(crate) struct ReachExchange;

impl Exchange for ReachExchange {
    type Request = ();
    type Reply = Reach;
    const NAME: &'static str = "reach";
}

/// The exchange in which a host asks another one for the revision of its configuration,
/// and how long ago the store confirmed that it is the newest one.
#[derive(Debug)]
pub(crate) struct ConfirmExchange;

impl Exchange for ConfirmExchange {
    type Request = ();
    type Reply = Option<(Revision, Duration)>;
    const NAME: &'static str = "confirm";
}
