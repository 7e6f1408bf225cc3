//! The roster of a group: the members whose logs may contain acknowledged commits.
//!
//! The platform lists only the members that it can reach. A member behind a
//! partition is not listed, yet it may still receive commits that a primary on its
//! side acknowledges. So it stays on the roster until its log is no longer needed;
//! see `docs/platform.md`, "Promotion".

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Member;
use burdockslip_runtime::sleep;
use burdockslip_statement::{Command, MemberStatus};
use burdockslip_store::Entry;
use burdockslip_types::{ErrorKind, GroupName, MemberName, Result};
use futures::future::join_all;
use tracing::info;

use crate::promotion::Promotion;
use crate::records::{GroupRecord, keys};

/// The number of status queries in a row that an absent member has to leave
/// unanswered before it is considered gone.
const STATUS_ATTEMPTS: usize = 3;

/// The pause between these queries.
const ATTEMPT_PAUSE: Duration = Duration::from_secs(1);

/// The timeout of a status query to a member.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// Adds the registered members to a roster. Of two runs at the same address, the
/// one that started last is kept.
///
/// A member that crashed restarts at the same address with its log, but under a
/// new name, and the record of its earlier run may still be listed.
pub(crate) fn merge(roster: &[Member], registered: &[Rc<Member>]) -> Vec<Member> {
    let mut merged = roster.to_vec();
    for member in registered {
        match merged.iter_mut().find(|known| has_same_log(known, member)) {
            Some(known) if is_newer(member, known) => known.clone_from(member),
            Some(_) => {}
            None => merged.push(Member::clone(member)),
        }
    }
    merged
}

/// Returns whether the roster consists of the newest run of every registered
/// member and of no other members.
pub(crate) fn is_current(roster: &[Member], registered: &[Rc<Member>]) -> bool {
    let is_listed = |member: &Rc<Member>| {
        let mut runs = roster.iter().filter(|known| has_same_log(known, member));
        runs.any(|known| !is_newer(member, known))
    };
    registered.iter().all(is_listed)
        && roster
            .iter()
            .all(|member| is_registered(member, registered))
}

fn has_same_log(known: &Member, member: &Member) -> bool {
    known.address == member.address || known.name == member.name
}

/// Returns whether a member's record is newer than its entry in the roster: the
/// member has restarted or is about to leave.
fn is_newer(member: &Member, known: &Member) -> bool {
    let is_leaving = member.is_draining && !known.is_draining;
    known.born < member.born || known.born == member.born && is_leaving
}

fn is_registered(member: &Member, registered: &[Rc<Member>]) -> bool {
    registered.iter().any(|other| other.name == member.name)
}

/// Formats member names for log lines.
pub(crate) fn join<'a>(names: impl IntoIterator<Item = &'a MemberName>) -> String {
    let names: Vec<_> = names.into_iter().map(MemberName::as_str).collect();
    names.join(" ")
}

impl Promotion {
    /// Returns the members that have to be considered in a change of primary: those
    /// on the roster and those that have registered since it was written.
    pub(crate) fn roster(&self, record: &GroupRecord, group: &GroupName) -> Vec<Rc<Member>> {
        let registered = self.directory.members(group);
        let roster = merge(&record.roster, &registered);
        roster.into_iter().map(Rc::new).collect()
    }

    /// Returns the members that are considered present.
    ///
    /// A member that was about to leave is gone once its record is deleted. Any
    /// other member is kept for some time without a record, which may only have
    /// expired.
    pub(crate) fn present(&self, group: &GroupName) -> Vec<Rc<Member>> {
        let mut members = self.directory.members(group);
        members.retain(|member| !member.is_draining || self.directory.is_listed(&member.name));
        members
    }

    /// Updates the roster of a group whose primary is not being replaced: adds
    /// members that have registered and removes members that are gone. Returns the
    /// absent members that have to stay on the roster.
    pub(crate) async fn update_roster(
        &self,
        group: &GroupName,
        entry: Entry,
    ) -> Result<Vec<MemberName>> {
        let record = GroupRecord::read(&entry.value)?;
        let present = self.present(group);
        let mut roster = merge(&record.roster, &present);
        let absent: Vec<_> = roster
            .iter()
            .filter(|member| !is_registered(member, &present) && !record.is_primary(member))
            .cloned()
            .map(Rc::new)
            .collect();
        let mut kept: Vec<_> = absent.iter().map(|member| member.name.clone()).collect();
        let gone = self.find_obsolete(&record, absent, &present).await;
        kept.retain(|name| !gone.contains(name));
        roster.retain(|member| !gone.contains(&member.name));
        if roster != record.roster {
            let record = GroupRecord { roster, ..record };
            self.write(group, &record, entry.revision).await?;
            let names = record.roster.iter().map(|member| &member.name);
            info!(%group, roster = %join(names), gone = %join(&gone), "roster changed");
        }
        Ok(kept)
    }

    /// Resumes replicas that were left stopped because an earlier change of primary
    /// did not resume all of them. Returns whether all replicas have answered that
    /// they receive.
    pub(crate) async fn resume_stopped(&self, group: &GroupName) -> Result<bool> {
        let Some(entry) = self.directory.record(&keys::group(group)) else {
            return Ok(false);
        };
        let record = GroupRecord::read(&entry.value)?;
        let mut replicas = self.present(group);
        replicas.retain(|member| !record.is_primary(member));
        let statuses = self.control_all(&replicas, &Command::Status).await;
        let is_stopped = |member: &&Rc<Member>| {
            let status = statuses.get(&member.name);
            status.is_some_and(|status| !status.is_primary && status.held > record.term)
        };
        let stopped: Vec<_> = replicas.iter().filter(is_stopped).cloned().collect();
        if !stopped.is_empty() && record.is_stable() {
            let names = stopped.iter().map(|member| &member.name);
            info!(%group, replicas = %join(names), "resuming replicas that were left stopped");
            self.resume(&stopped, record.term).await;
        }
        Ok(stopped.is_empty() && statuses.len() == replicas.len())
    }

    /// Returns the absent members whose logs are no longer needed: they do not
    /// answer, and a replica has received everything that the primary contained
    /// after they were queried.
    ///
    /// A member that was about to leave is queried once. Any other member may only
    /// be slow, so it is queried several times.
    async fn find_obsolete(
        &self,
        record: &GroupRecord,
        absent: Vec<Rc<Member>>,
        present: &[Rc<Member>],
    ) -> Vec<MemberName> {
        let mut unresponsive = self.find_unresponsive(absent).await;
        for _ in 1..STATUS_ATTEMPTS {
            if unresponsive.iter().all(|member| member.is_draining) {
                break;
            }
            sleep(ATTEMPT_PAUSE).await;
            unresponsive = self.find_unresponsive(unresponsive).await;
        }
        if unresponsive.is_empty() {
            return Vec::new();
        }
        let (primary, replicas): (Vec<_>, Vec<_>) = present
            .iter()
            .cloned()
            .partition(|member| record.is_primary(member));
        // The primary is queried after the absent members and before the replicas.
        // So a replica that has reached the primary's position contains every
        // commit that was acknowledged on the strength of an absent member alone.
        let primary = self.control_all(&primary, &Command::Status).await;
        let leads = |status: &&MemberStatus| status.is_primary && status.term == record.term;
        let Some(last) = primary.values().find(leads).map(|status| status.received) else {
            return Vec::new();
        };
        let replicas = self.control_all(&replicas, &Command::Status).await;
        if replicas.values().any(|status| status.received >= last) {
            unresponsive
                .iter()
                .map(|member| member.name.clone())
                .collect()
        } else {
            Vec::new()
        }
    }

    async fn find_unresponsive(&self, members: Vec<Rc<Member>>) -> Vec<Rc<Member>> {
        let checks = members
            .into_iter()
            .map(|member| async move { (!self.is_running(&member).await).then_some(member) });
        join_all(checks).await.into_iter().flatten().collect()
    }

    async fn is_running(&self, member: &Rc<Member>) -> bool {
        let status = self
            .pools
            .control(member, Command::Status, STATUS_TIMEOUT)
            .await;
        // A member that is too busy to answer is running. Any other error, such as
        // that of another member at its address, counts as not running.
        status.map_or_else(
            |error| *error.current_context() == ErrorKind::QueueFull,
            |_| true,
        )
    }
}
