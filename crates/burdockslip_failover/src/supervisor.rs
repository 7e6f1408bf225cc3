//! Supervises the groups while this host is the coordinator.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Directory, Member};
use burdockslip_runtime::{Instant, Task, now, sleep, spawn};
use burdockslip_store::Entry;
use burdockslip_types::{GroupName, HostId, MemberName, Result, Revision};
use burdockslip_upstream::Pools;
use tracing::{debug, info, warn};

use crate::evacuation::Settling;
use crate::promotion::{PromoteFn, Promotion};
use crate::records::{GroupRecord, keys};
use crate::{Decision, Duty, GroupReport, Verdict, Votes, rivalry, roster, successors};

/// How often the groups are checked.
const TICK: Duration = Duration::from_millis(60);

/// How often the fence, the lease behind all permissions, is checked, in ticks.
const FENCE_TICKS: u32 = 8;

/// How often the registered hosts are recorded, by every host.
const REGISTERED_PERIOD: Duration = Duration::from_millis(500);

/// How long a change of primary may take to replace the fence, which takes four
/// calls to the store.
const FENCE_SPAN: Duration = Duration::from_secs(3);

/// The pause between updates of a group. Each update occupies a slot of the primary
/// and of each replica.
const UPDATE_PAUSE: Duration = Duration::from_secs(1);

/// The pause after a change or an update that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The pause between two checks whether a primary can leave an evacuated availability zone,
/// each of which occupies a slot of its members.
const EVACUATION_PAUSE: Duration = Duration::from_millis(250);

struct Shared {
    promotion: Promotion,
    votes: RefCell<Votes>,
    /// Whether most hosts did not report at the last check, to log changes.
    is_minority: Cell<bool>,
    /// The changes of primary in progress, with their start.
    changes: RefCell<HashMap<GroupName, (Instant, Task<()>)>>,
    /// The additions to rosters in progress; a change of primary cancels that of its group.
    joins: RefCell<HashMap<GroupName, Task<()>>>,
    /// The roster updates in progress; an addition or a change of primary cancels that of
    /// its group.
    updates: RefCell<HashMap<GroupName, Task<()>>>,
    /// The checks whether primaries can leave evacuated zones; a change of primary cancels
    /// that of its group.
    evacuations: RefCell<HashMap<GroupName, Task<()>>>,
    settling: Settling,
    /// The groups whose replicas have all reported in this tenure that they receive.
    receiving: RefCell<HashSet<GroupName>>,
}

/// Replaces lost primaries and keeps rosters up to date; clones share the state.
#[derive(Clone)]
pub struct Supervisor {
    shared: Rc<Shared>,
    _running: Rc<Task<()>>,
}

impl Supervisor {
    /// Starts the supervision, which is idle while another host holds the duty.
    pub fn spawn(directory: Directory, pools: Pools, duty: Duty, promote: PromoteFn) -> Self {
        let shared = Rc::new(Shared {
            promotion: Promotion {
                directory,
                pools,
                duty,
                promote,
                failed_orders: Rc::default(),
                written: Rc::default(),
                restoration: Rc::default(),
                withdrawals: Rc::default(),
                acknowledged: Rc::default(),
            },
            votes: RefCell::default(),
            is_minority: Cell::default(),
            changes: RefCell::default(),
            joins: RefCell::default(),
            updates: RefCell::default(),
            evacuations: RefCell::default(),
            settling: Settling::default(),
            receiving: RefCell::default(),
        });
        Self {
            _running: Rc::new(spawn(run(Rc::clone(&shared)))),
            shared,
        }
    }

    /// Records what a host has reported.
    pub fn report(&self, host: HostId, report: GroupReport) {
        let promotion = &self.shared.promotion;
        let mut withdrawals = promotion.withdrawals.borrow_mut();
        if report.era == promotion.directory.era() {
            withdrawals.record_report(&host, report.changing);
            withdrawals.record_known(&host, report.excluding);
        } else {
            // It may act on records that the restored store does not have.
            withdrawals.record_report(&host, Vec::new());
        }
        if let Some(knowledge) = report.knowledge {
            let mut restoration = promotion.restoration.borrow_mut();
            restoration.record(host.clone(), knowledge);
        }
        let mut acknowledged = promotion.acknowledged.borrow_mut();
        for (group, commit) in report.acknowledged {
            let known = acknowledged.entry(group).or_insert(commit);
            *known = commit.max(*known);
        }
        self.shared.votes.borrow_mut().record(host, report.suspects);
    }

    /// Returns the members that some hosts cannot reach, and that the others should
    /// probe.
    pub fn suspected(&self) -> Vec<MemberName> {
        self.shared.votes.borrow().suspected()
    }
}

impl fmt::Debug for Supervisor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Supervisor")
    }
}

async fn run(shared: Rc<Shared>) {
    let mut ticks = 0_u32;
    let mut registered_at = None;
    let mut era = shared.promotion.directory.era();
    loop {
        sleep(TICK).await;
        let known = std::mem::replace(&mut era, shared.promotion.directory.era());
        if known != era {
            shared.promotion.withdrawals.borrow_mut().start_era();
            shared.end_tenure();
        }
        if registered_at.is_none_or(|at: Instant| at.elapsed() >= REGISTERED_PERIOD) {
            registered_at = Some(now());
            shared.promotion.record_registered();
        }
        if shared.promotion.duty.tenure().is_none() {
            shared.end_tenure();
            continue;
        }
        if shared.leave_minority() {
            continue;
        }
        let is_due = ticks.is_multiple_of(FENCE_TICKS) || shared.promotion.has_outdated_fence();
        if is_due
            && !shared.is_replacing_fence()
            && let Err(error) = shared.promotion.ensure_fence().await
        {
            info!(?error, "check of the permission lease failed");
        }
        ticks = ticks.wrapping_add(1);
        let Some(configuration) = shared.promotion.directory.configuration() else {
            continue;
        };
        for group in configuration.groups.keys() {
            shared.check_group(group);
        }
    }
}

impl Shared {
    /// Ends all work and forgets what hosts have reported.
    fn end_tenure(&self) {
        self.changes.borrow_mut().clear();
        self.joins.borrow_mut().clear();
        self.updates.borrow_mut().clear();
        self.evacuations.borrow_mut().clear();
        self.settling.clear();
        self.receiving.borrow_mut().clear();
        self.votes.borrow_mut().reset();
        self.promotion.withdrawals.borrow_mut().end_tenure();
        self.promotion.restoration.borrow_mut().clear();
    }

    /// Returns whether a change of primary may be replacing the fence. A change that
    /// runs for longer is waiting for members and has replaced the fence before.
    fn is_replacing_fence(&self) -> bool {
        let changes = self.changes.borrow();
        changes
            .values()
            .any(|(started, _)| started.elapsed() < FENCE_SPAN)
    }

    /// Leaves the duty if most hosts do not report and a rival hears clearly more of them.
    /// Cut off from the coordinator, they have only their shares of the rates, and no
    /// lost primary can be replaced.
    fn leave_minority(&self) -> bool {
        let registered = self.promotion.directory.count(keys::HOSTS);
        let (is_minority, heard) = {
            let mut votes = self.votes.borrow_mut();
            (votes.is_minority(registered), votes.heard())
        };
        let was_minority = self.is_minority.replace(is_minority);
        if !is_minority {
            return false;
        }
        let rival = self.promotion.duty.rival();
        match rivalry::judge(registered, heard, rival.as_ref().map(|rival| rival.heard)) {
            Verdict::Stay => {
                if !was_minority {
                    info!(
                        registered,
                        heard, "most hosts do not report, keeping the duty"
                    );
                }
                false
            }
            Verdict::Leave => {
                warn!(
                    registered,
                    heard,
                    ?rival,
                    "most hosts do not report, leaving the duty"
                );
                self.votes.borrow_mut().reset();
                self.promotion.duty.step_aside();
                true
            }
        }
    }

    fn check_group(self: &Rc<Self>, group: &GroupName) {
        if self.changes.borrow().contains_key(group) {
            return;
        }
        let entry = self.promotion.directory.record(&keys::group(group));
        let record = entry.as_ref().map(|entry| GroupRecord::read(&entry.value));
        let era = self.promotion.directory.era();
        let is_settled = |record: &Result<GroupRecord>| {
            let known = record.as_ref().ok();
            known.is_some_and(|record| record.is_settled(era))
        };
        if era > 0 && !record.as_ref().is_some_and(is_settled) {
            let copy = record.as_ref().and_then(|record| record.as_ref().ok());
            self.restore(group, entry, copy);
            return;
        }
        let Some((entry, record)) = entry.zip(record) else {
            self.start_change(group, None, "no record");
            return;
        };
        let record = match record {
            Ok(record) => record,
            Err(error) => {
                warn!(%group, ?error, "group record unreadable");
                return;
            }
        };
        if let Some(reason) = self.replacement_reason(&record) {
            self.start_change(group, Some(entry), reason);
            return;
        }
        self.check_evacuation(group, &record, &entry);
        let present = self.promotion.present(group);
        if roster::lacks(&record, &present) {
            self.start_join(group, entry);
            return;
        }
        let is_current = roster::is_current(&record, &present);
        if !is_current || !self.receiving.borrow().contains(group) {
            self.start_update(group, entry);
        }
    }

    /// Spawns a task that replaces the primary of a group if it stands in an evacuated zone
    /// and a member elsewhere can lead, unless one is running for the group.
    fn check_evacuation(self: &Rc<Self>, group: &GroupName, record: &GroupRecord, entry: &Entry) {
        let directory = &self.promotion.directory;
        if !directory.is_evacuating()
            || self.evacuations.borrow().contains_key(group)
            || !self.settling.is_over(group)
        {
            return;
        }
        let members = directory.members(group);
        let mut successors = successors(record, &members, &directory.evacuated_zones());
        successors.retain(|member| self.is_reachable(member));
        let Some(primary) = directory.member(&record.primary) else {
            return;
        };
        if successors.is_empty() {
            return;
        }
        let (shared, name, entry) = (Rc::clone(self), group.clone(), entry.clone());
        let task = spawn(async move {
            if !shared.promotion.can_evacuate(&primary, &successors).await {
                debug!(group = %name, "no member outside of evacuated zones holds the log");
                sleep(EVACUATION_PAUSE).await;
            } else if shared.promotion.directory.revision(&keys::group(&name))
                == Some(entry.revision)
            {
                shared.start_change(&name, Some(entry), "availability zone is evacuated");
            }
            shared.evacuations.borrow_mut().remove(&name);
        });
        self.evacuations.borrow_mut().insert(group.clone(), task);
    }

    fn is_reachable(&self, member: &Rc<Member>) -> bool {
        let hosts = self.promotion.directory.count(keys::HOSTS);
        let is_suspected = self.promotion.pools.pool(member).health.is_suspected();
        !is_suspected && !self.votes.borrow().is_lost(&member.name, hosts)
    }

    /// Spawns a task that brings back the record of a group after the store was restored, or
    /// waits for what hosts know of it.
    fn restore(
        self: &Rc<Self>,
        group: &GroupName,
        entry: Option<Entry>,
        copy: Option<&GroupRecord>,
    ) {
        let directory = &self.promotion.directory;
        let waited = directory
            .era_since()
            .map_or(Duration::ZERO, Instant::elapsed);
        let hosts = self.promotion.withdrawals.borrow().hosts();
        let restoration = self.promotion.restoration.borrow();
        let era = directory.era();
        let decision = restoration.decide(group, copy, &hosts, era, waited);
        drop(restoration);
        let record = match decision {
            Decision::Wait => return,
            Decision::Adopt if entry.is_none() => {
                self.start_change(group, None, "no record");
                return;
            }
            Decision::Adopt => {
                warn!(%group, "group record unreadable");
                return;
            }
            Decision::Restore(record) => record,
        };
        let known = entry.map_or(Revision(0), |entry| entry.revision);
        let (shared, name) = (Rc::clone(self), group.clone());
        let task = spawn(async move {
            if let Err(error) = shared.promotion.restore(&name, record, known).await {
                info!(group = %name, ?error, "group record not brought back");
                sleep(RETRY_PAUSE).await;
            }
            shared.changes.borrow_mut().remove(&name);
        });
        let change = (now(), task);
        self.changes.borrow_mut().insert(group.clone(), change);
    }

    /// Spawns a task that adds registered members to the roster, unless one is running for
    /// the group. An update may take seconds, in which they already receive commits.
    fn start_join(self: &Rc<Self>, group: &GroupName, entry: Entry) {
        if self.joins.borrow().contains_key(group) {
            return;
        }
        self.updates.borrow_mut().remove(group);
        let (shared, name) = (Rc::clone(self), group.clone());
        let task = spawn(async move {
            if let Err(error) = shared.promotion.join_roster(&name, entry).await {
                info!(group = %name, ?error, "members not added to the roster");
                sleep(RETRY_PAUSE).await;
            }
            shared.joins.borrow_mut().remove(&name);
        });
        self.joins.borrow_mut().insert(group.clone(), task);
    }

    /// Spawns a task that updates the roster and resumes stopped replicas, unless one
    /// is running for the group.
    fn start_update(self: &Rc<Self>, group: &GroupName, entry: Entry) {
        if self.updates.borrow().contains_key(group) {
            return;
        }
        let (shared, name) = (Rc::clone(self), group.clone());
        let task = spawn(async move {
            match shared.run_update(&name, entry).await {
                Ok(true) => {}
                Ok(false) => sleep(UPDATE_PAUSE).await,
                Err(error) => {
                    info!(group = %name, ?error, "roster update failed");
                    sleep(RETRY_PAUSE).await;
                }
            }
            shared.updates.borrow_mut().remove(&name);
        });
        self.updates.borrow_mut().insert(group.clone(), task);
    }

    /// Updates the roster and resumes stopped replicas once; returns whether nothing
    /// is left to do.
    async fn run_update(&self, group: &GroupName, entry: Entry) -> Result<bool> {
        let updated = self.promotion.update_roster(group, entry).await;
        // A member that cannot leave yet does not keep replicas stopped.
        let is_receiving = self.promotion.resume_stopped(group).await?;
        let kept = updated?;
        if !kept.is_empty() {
            debug!(%group, kept = %roster::join(&kept), "absent members stay on the roster");
        }
        if is_receiving {
            self.receiving.borrow_mut().insert(group.clone());
        }
        Ok(is_receiving && kept.is_empty())
    }

    /// Returns the reason for which the primary has to be replaced, if there is one.
    fn replacement_reason(&self, record: &GroupRecord) -> Option<&'static str> {
        if !record.is_stable() {
            return Some("unfinished change");
        }
        let Some(primary) = self.promotion.directory.member(&record.primary) else {
            return Some("primary gone");
        };
        if record.has_lost_primary() || record.is_emptied(&primary) {
            return Some("primary started again without its log");
        }
        if primary.is_draining {
            return Some("primary leaves");
        }
        let (against, total) = self.votes.borrow().count(&record.primary);
        let hosts = self.promotion.directory.count(keys::HOSTS);
        if total > 0 && self.votes.borrow().is_lost(&record.primary, hosts) {
            info!(primary = %record.primary, against, total, hosts,
                "primary unreachable for most hosts");
            return Some("primary unreachable");
        }
        None
    }

    /// Spawns a task that replaces the primary, or that writes the first record of the
    /// group if there is none.
    fn start_change(
        self: &Rc<Self>,
        group: &GroupName,
        entry: Option<Entry>,
        reason: &'static str,
    ) {
        // A concurrent update could resume replicas that the change stops.
        self.joins.borrow_mut().remove(group);
        self.updates.borrow_mut().remove(group);
        self.receiving.borrow_mut().remove(group);
        self.evacuations.borrow_mut().remove(group);
        let (shared, name) = (Rc::clone(self), group.clone());
        let task = spawn(async move {
            let outcome = match entry {
                Some(entry) => shared.promotion.run(&name, entry, reason).await,
                None => shared.promotion.adopt(&name).await,
            };
            match outcome {
                Ok(()) if shared.promotion.directory.is_evacuating() => {
                    shared.settling.record(&name);
                }
                Ok(()) => {}
                Err(error) => {
                    info!(group = %name, reason, ?error, "change of primary failed");
                    sleep(RETRY_PAUSE).await;
                }
            }
            shared.changes.borrow_mut().remove(&name);
        });
        let change = (now(), task);
        self.changes.borrow_mut().insert(group.clone(), change);
    }
}
