//! The roster of a group: the members whose logs may contain acknowledged commits.
//!
//! The platform lists only the members that it can reach. A member behind a
//! partition is not listed, yet it may still receive commits that a primary on its
//! side acknowledges. So it stays on the roster until its log is no longer needed;
//! see `docs/platform.md`, "Promotion".

use std::rc::Rc;

use burdockslip_directory::Member;
use burdockslip_statement::Command;
use burdockslip_types::{GroupName, MemberName, Result};
use tracing::info;

use crate::promotion::Promotion;
use crate::records::{GroupRecord, keys};

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

/// Returns whether a registered member is not on the roster of a record in its newest run,
/// or is excluded.
pub(crate) fn lacks(record: &GroupRecord, registered: &[Rc<Member>]) -> bool {
    let is_listed = |member: &Rc<Member>| {
        let mut runs = record.roster.iter();
        runs.any(|known| has_same_log(known, member) && !is_newer(member, known))
    };
    let is_back = |excluded: &Member| registered.iter().any(|member| succeeds(member, excluded));
    !registered.iter().all(is_listed) || record.excluded.iter().any(is_back)
}

/// Returns whether the roster of a record consists of the registered members, and no run
/// of them is lost.
pub(crate) fn is_current(record: &GroupRecord, registered: &[Rc<Member>]) -> bool {
    let has_record = |member: &Member| is_registered(member, registered);
    !lacks(record, registered) && record.roster.iter().all(has_record) && record.lost.is_empty()
}

fn has_same_log(known: &Member, member: &Member) -> bool {
    known.address == member.address || known.name == member.name
}

/// Returns whether a member is the same run as a known one, or a newer one with its log.
pub(crate) fn succeeds(member: &Member, known: &Member) -> bool {
    has_same_log(known, member) && member.born >= known.born
}

/// Returns whether a member's record is newer than its entry in the roster: the
/// member has restarted or is about to leave.
fn is_newer(member: &Member, known: &Member) -> bool {
    let is_leaving = member.is_draining && !known.is_draining;
    known.born < member.born || known.born == member.born && is_leaving
}

pub(crate) fn is_registered(member: &Member, registered: &[Rc<Member>]) -> bool {
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

    /// Resumes replicas that were left stopped because an earlier change of primary
    /// did not resume all of them. Returns whether all replicas have answered that
    /// they receive.
    ///
    /// A change stops replicas at the term after the old primary's, which is that of the new
    /// one unless another change came between.
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
            status.is_some_and(|status| !status.is_primary && status.held >= record.term)
        };
        let stopped: Vec<_> = replicas.iter().filter(is_stopped).cloned().collect();
        if !stopped.is_empty() && record.is_stable() {
            let names = stopped.iter().map(|member| &member.name);
            info!(%group, replicas = %join(names), "resuming replicas that were left stopped");
            self.resume(&stopped, record.term).await;
        }
        Ok(stopped.is_empty() && statuses.len() == replicas.len())
    }
}
