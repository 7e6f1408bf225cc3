//! Answers the hosts while this one is the coordinator.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Changes, Directory, OrganisationConfig};
use burdockslip_failover::{Duty, Permission, Supervisor};
use burdockslip_runtime::{now, sleep, timeout_at};
use burdockslip_session::PositionHistory;
use burdockslip_shares::{Allocator, Limits};
use burdockslip_types::{
    ErrorKind, GroupName, HostId, LogPosition, Organisation, Result, Revision,
};
use error_stack::{bail, ensure};
use tracing::info;

use crate::messages::{HostReport, ReportReply};
use crate::registration::registered;

/// How long a request for changes waits.
const FOLLOW_WAIT: Duration = Duration::from_secs(1);

/// Positions above this age are not passed on; reads use those of up to 1.3 s.
const POSITION_LIMIT: Duration = Duration::from_millis(800);

/// Collects changes that come together into one answer.
const FOLLOW_PAUSE: Duration = Duration::from_millis(15);

/// Holds what the directory says, in the form that reports need.
#[derive(Debug, Default)]
struct Known {
    epoch: Option<u64>,
    limits: HashMap<Organisation, Limits>,
    hosts: HashSet<HostId>,
}

/// Answers the reports of all hosts while this host holds the duty.
#[derive(Debug, Clone)]
pub(crate) struct Coordinator {
    pub(crate) duty: Duty,
    directory: Directory,
    supervisor: Supervisor,
    permission: Permission,
    cached: Rc<RefCell<Rc<Known>>>,
    /// What was handed out in the tenure with this token.
    allocator: Rc<RefCell<Option<(Revision, Allocator)>>>,
    rate_slack: u32,
    positions: Rc<PositionHistory>,
    /// Whether the last report was answered without the store.
    is_interim: Rc<Cell<bool>>,
}

impl Coordinator {
    pub(crate) fn new(
        duty: Duty,
        directory: Directory,
        supervisor: Supervisor,
        permission: Permission,
        rate_slack: u32,
        positions: Rc<PositionHistory>,
    ) -> Self {
        Self {
            duty,
            directory,
            supervisor,
            permission,
            cached: Rc::default(),
            allocator: Rc::default(),
            rate_slack,
            positions,
            is_interim: Rc::default(),
        }
    }

    /// Returns the changes after `revision`, as soon as there are some.
    pub(crate) async fn follow(self, revision: Revision) -> Result<Changes> {
        let until = now() + FOLLOW_WAIT;
        loop {
            ensure!(self.duty.confirmed_token().is_some(), ErrorKind::Conflict);
            let seen = self.directory.changed().epoch();
            let Some(changes) = self.directory.changes_since(revision) else {
                bail!(ErrorKind::NoFreshData);
            };
            if !changes.events.is_empty() || until.is_past() {
                return Ok(changes);
            }
            let news = self.directory.changed().changed(seen);
            if timeout_at(until, news).await.is_ok() {
                sleep(FOLLOW_PAUSE).await;
            }
        }
    }

    /// Returns the limits and the hosts, which are looked up again after a change only.
    fn known(&self) -> Rc<Known> {
        let epoch = self.directory.changed().epoch();
        let mut cached = self.cached.borrow_mut();
        if cached.epoch != Some(epoch) {
            let configuration = self.directory.configuration().unwrap_or_default();
            let limits = |account: &OrganisationConfig| Limits {
                rate: account.rate,
                burst: account.burst,
            };
            let accounts = configuration.organisations.iter();
            *cached = Rc::new(Known {
                epoch: Some(epoch),
                limits: accounts
                    .map(|(name, account)| (name.clone(), limits(account)))
                    .collect(),
                hosts: registered(&self.directory),
            });
        }
        Rc::clone(&cached)
    }

    /// Returns the positions that hosts can use for some time.
    fn recent_positions(&self) -> Vec<(GroupName, LogPosition, Duration)> {
        let mut positions = self.positions.latest();
        positions.retain(|(_, _, age)| *age < POSITION_LIMIT);
        positions
    }

    /// Takes in a report and returns the grants of the host that sent it.
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
        self.supervisor.report(host.clone(), report.suspects);
        let known = self.known();
        let mut tenure = self.allocator.borrow_mut();
        // Tokens of an earlier tenure are the business of those that came between.
        tenure.take_if(|(token, _)| *token != role.token);
        let (_, allocator) =
            tenure.get_or_insert_with(|| (role.token, Allocator::new(self.rate_slack)));
        let grants = allocator.grant(
            host,
            &report.demands,
            &known.limits,
            &known.hosts,
            role.is_interim,
        );
        let age = self.directory.configuration_age();
        Ok(ReportReply {
            grants,
            configuration: age.map(|age| (self.directory.configuration_revision(), age)),
            suspected: self.supervisor.suspected(),
            permission: self.permission.lease_proof_age(),
            group_proofs: self.permission.group_proof_ages(),
            positions: if report.wants_positions {
                self.recent_positions()
            } else {
                Vec::new()
            },
        })
    }
}
