//! The coordinator: answers the reports and requests of all hosts.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Changes, Directory, OrganisationConfig};
use burdockslip_failover::{CoordinatorRole, Duty, Permission, Supervisor};
use burdockslip_pace::{ColdLimit, Controller, MemberDemand, PaceGrant, Sighting};
use burdockslip_runtime::{now, sleep, sleep_until, timeout_at};
use burdockslip_session::{Limits as HostLimits, PositionHistory, sightings};
use burdockslip_shares::{Allocator, Limits};
use burdockslip_store::Event;
use burdockslip_types::{
    ErrorKind, GroupName, HostId, LogPosition, MemberName, Organisation, Result, Revision,
};
use error_stack::{bail, ensure};
use tracing::info;

use crate::eviction::LastReports;
use crate::messages::{HostReport, ReportReply};
use crate::pressure::FleetPressure;
use crate::registration::registered;
use crate::relay::{MAX_RELAYED_AGE, SendBudget};

/// How long a request for changes waits for a change.
const FOLLOW_WAIT: Duration = Duration::from_secs(1);

/// The age from which positions are not sent to hosts; reads use positions of up to
/// 1.3 s.
const POSITION_LIMIT: Duration = Duration::from_millis(800);

/// How long an answer is delayed after a change, so that it includes changes that
/// follow in quick succession.
const FOLLOW_PAUSE: Duration = Duration::from_millis(15);

/// The size up to which a reply with changes is sent at once, in bytes. Records of
/// groups and hosts are far smaller, a configuration is larger.
const SMALL_REPLY: usize = 8 << 10;

/// A view of the directory in the form needed to answer reports, cached for an epoch
/// of the directory.
#[derive(Debug, Default)]
struct FleetView {
    epoch: Option<u64>,
    limits: HashMap<Organisation, Limits>,
    hosts: HashSet<HostId>,
    /// The members of paced groups.
    members: Vec<Sighting>,
}

/// Answers the reports of all hosts while this host is the coordinator.
#[derive(Debug, Clone)]
pub(crate) struct Coordinator {
    pub(crate) duty: Duty,
    pub(crate) directory: Directory,
    supervisor: Supervisor,
    permission: Permission,
    cached: Rc<RefCell<Rc<FleetView>>>,
    /// The grants of the tenure with this token.
    allocator: Rc<RefCell<Option<(Revision, Allocator)>>>,
    /// The pace of members in the tenure with this token.
    controller: Rc<RefCell<Option<(Revision, Controller)>>>,
    rate_slack: u32,
    cold: Option<ColdLimit>,
    positions: Rc<PositionHistory>,
    link: Rc<SendBudget>,
    pressure: Rc<FleetPressure>,
    pub(crate) last_reports: Rc<LastReports>,
    /// Whether the last report was answered as an interim coordinator, to log changes.
    is_interim: Rc<Cell<bool>>,
}

impl Coordinator {
    pub(crate) fn new(
        duty: Duty,
        directory: Directory,
        supervisor: Supervisor,
        permission: Permission,
        limits: HostLimits,
        positions: Rc<PositionHistory>,
        link: SendBudget,
    ) -> Self {
        Self {
            duty,
            directory,
            supervisor,
            permission,
            cached: Rc::default(),
            allocator: Rc::default(),
            controller: Rc::default(),
            rate_slack: limits.rate_slack,
            cold: limits.cold,
            positions,
            link: Rc::new(link),
            pressure: Rc::default(),
            last_reports: Rc::default(),
            is_interim: Rc::default(),
        }
    }

    /// Returns the changes after `revision`, as soon as there are any, or none after
    /// `FOLLOW_WAIT`. A host that is not the coordinator relays what it knows.
    ///
    /// Fails with `NoFreshData` if this host is too far behind itself.
    pub(crate) async fn follow(self, revision: Revision) -> Result<Changes> {
        let until = now() + FOLLOW_WAIT;
        loop {
            let seen = self.directory.changed().epoch();
            let changes = self.current_changes(revision)?;
            if !changes.events.is_empty() || changes.keys.is_some() {
                return self.pace(revision, changes).await;
            }
            if until.is_past() {
                return Ok(changes);
            }
            let change = self.directory.changed().changed(seen);
            if timeout_at(until, change).await.is_ok() {
                sleep(FOLLOW_PAUSE).await;
            }
        }
    }

    fn current_changes(&self, revision: Revision) -> Result<Changes> {
        let Some(changes) = self.directory.changes_since(revision) else {
            bail!(ErrorKind::NoFreshData);
        };
        ensure!(changes.age < MAX_RELAYED_AGE, ErrorKind::NoFreshData);
        Ok(changes)
    }

    /// Waits for the turn of a large reply on the link, and includes what changed
    /// meanwhile.
    async fn pace(&self, revision: Revision, changes: Changes) -> Result<Changes> {
        let bytes = size(&changes);
        if bytes <= SMALL_REPLY {
            return Ok(changes);
        }
        let turn = self.link.reserve(bytes);
        if turn.is_past() {
            return Ok(changes);
        }
        sleep_until(turn).await;
        self.current_changes(revision)
    }

    /// Returns the limits and the hosts, computed anew only after a change of the
    /// directory.
    fn fleet_view(&self) -> Rc<FleetView> {
        let epoch = self.directory.changed().epoch();
        let mut cached = self.cached.borrow_mut();
        if cached.epoch != Some(epoch) {
            let configuration = self.directory.configuration().unwrap_or_default();
            let limits = |config: &OrganisationConfig| Limits {
                rate: config.rate,
                burst: config.burst,
            };
            let organisations = configuration.organisations.iter();
            *cached = Rc::new(FleetView {
                epoch: Some(epoch),
                limits: organisations
                    .map(|(name, config)| (name.clone(), limits(config)))
                    .collect(),
                hosts: registered(&self.directory),
                members: sightings(&self.directory, self.cold),
            });
        }
        Rc::clone(&cached)
    }

    /// Returns the positions that are recent enough to be used by hosts for a while.
    fn recent_positions(&self) -> Vec<(GroupName, LogPosition, Duration)> {
        let mut positions = self.positions.latest();
        positions.retain(|(_, _, age)| *age < POSITION_LIMIT);
        positions
    }

    /// Processes a report and returns the reply for the host that sent it.
    ///
    /// Fails with `Conflict` if this host is not the coordinator.
    pub(crate) fn answer(&self, host: &HostId, report: HostReport) -> Result<ReportReply> {
        let Some(role) = self.duty.coordinator_role() else {
            bail!(ErrorKind::Conflict);
        };
        if self.is_interim.replace(role.is_interim) != role.is_interim {
            info!(
                fence = role.token.0,
                is_interim = role.is_interim,
                "grounds for answering reports changed"
            );
        }
        let HostReport {
            groups,
            demands,
            paced,
            wants_positions,
            pressure,
        } = report;
        let view = self.fleet_view();
        let permits = self.permits(host, &role, &paced, &groups.suspects, &view);
        self.supervisor.report(host.clone(), groups);
        self.last_reports.record(host);
        let mut allocator_slot = self.allocator.borrow_mut();
        // The grants of an earlier tenure are obsolete: other coordinators have
        // made grants since.
        allocator_slot.take_if(|(token, _)| *token != role.token);
        let (_, allocator) =
            allocator_slot.get_or_insert_with(|| (role.token, Allocator::new(self.rate_slack)));
        let grants = allocator.grant(host, &demands, &view.limits, &view.hosts, role.is_interim);
        // What other hosts have confirmed is not passed on, because the receiver takes it for
        // contact with the store and goes on using its share of the rates.
        let age = self.directory.contact_age();
        let configuration = self.directory.configuration();
        Ok(ReportReply {
            grants,
            permits,
            version: configuration.map_or(0, |known| known.version),
            configuration: age.map(|age| (self.directory.configuration_revision(), age)),
            suspected: self.supervisor.suspected(),
            permission: self.permission.lease_proof_age(),
            group_proofs: self.permission.group_proof_ages(),
            is_interim: role.is_interim,
            pressure: wants_positions.then(|| self.pressure.answer(role.token, pressure)),
            positions: if wants_positions {
                self.recent_positions()
            } else {
                Vec::new()
            },
        })
    }
}

impl Coordinator {
    /// Returns the permits for paced members, or `None` if another coordinator may exist,
    /// which hands out permits as well.
    fn permits(
        &self,
        host: &HostId,
        role: &CoordinatorRole,
        demands: &[MemberDemand],
        suspects: &[MemberName],
        view: &FleetView,
    ) -> Option<Vec<PaceGrant>> {
        if role.is_interim {
            return None;
        }
        if view.members.is_empty() {
            return Some(Vec::new());
        }
        let mut slot = self.controller.borrow_mut();
        slot.take_if(|(token, _)| *token != role.token);
        let (_, controller) = slot.get_or_insert_with(|| (role.token, Controller::default()));
        Some(controller.grant(host, demands, suspects, &view.members))
    }
}

/// Returns roughly how many bytes changes take on the link.
fn size(changes: &Changes) -> usize {
    let event = |event: &Event| match event {
        Event::Put(entry) => entry.key.len() + entry.value.len(),
        Event::Delete(key, _) => key.len(),
        Event::Progress(_) => 0,
    };
    let keys = changes.keys.iter().flatten().map(String::len);
    changes.events.iter().map(event).chain(keys).sum()
}
