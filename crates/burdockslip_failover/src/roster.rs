//! Keeps the roster of a group: the members whose logs may hold acknowledged commits.
//!
//! The platform lists the members that it hears of. A member behind a partition
//! is not listed and may still receive what a primary on its side acknowledges,
//! so it stays on the roster until its log is no longer needed; see
//! `docs/platform.md`, "Promotion".

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

/// How often an absent member has to be silent before it is gone.
const LOOKS: usize = 3;

/// Pauses between these looks.
const LOOK_PAUSE: Duration = Duration::from_secs(1);

/// Bounds a question to a member.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// Adds the registered members to a roster; of two runs at one address the one
/// that started last counts.
///
/// A member that crashed comes back at its address with its log, under another
/// name, and the record of its earlier run may still turn up.
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

/// Returns whether the roster names the newest run of every registered member
/// and no other member.
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

/// Returns whether a member's record says more than the roster: it started again
/// or is about to leave.
fn is_newer(member: &Member, known: &Member) -> bool {
    let is_leaving = member.is_draining && !known.is_draining;
    known.born < member.born || known.born == member.born && is_leaving
}

fn is_registered(member: &Member, registered: &[Rc<Member>]) -> bool {
    registered.iter().any(|other| other.name == member.name)
}

/// Renders names for log lines.
pub(crate) fn join<'a>(names: impl IntoIterator<Item = &'a MemberName>) -> String {
    let names: Vec<_> = names.into_iter().map(MemberName::as_str).collect();
    names.join(" ")
}

impl Promotion {
    /// Returns the members that have to answer before a primary is replaced:
    /// those on the roster and those that have registered since.
    pub(crate) fn roster(&self, record: &GroupRecord, group: &GroupName) -> Vec<Rc<Member>> {
        let registered = self.directory.members(group);
        let roster = merge(&record.roster, &registered);
        roster.into_iter().map(Rc::new).collect()
    }

    /// Returns the members that are there as far as is known. One that was about
    /// to leave is gone with its record; the record of another one may lapse.
    pub(crate) fn present(&self, group: &GroupName) -> Vec<Rc<Member>> {
        let mut members = self.directory.members(group);
        members.retain(|member| !member.is_draining || self.directory.is_listed(&member.name));
        members
    }

    /// Brings the roster of a group without a change up to date: members that
    /// have registered join, members that are gone leave. Returns the absent
    /// members that have to stay.
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
        let gone = self.gone(&record, absent, &present).await;
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

    /// Lets replicas receive again that an unfinished release has left stopped.
    /// Returns whether all replicas have answered that they receive.
    pub(crate) async fn resume_stopped(&self, group: &GroupName) -> Result<bool> {
        let Some(entry) = self.directory.record(&keys::group(group)) else {
            return Ok(false);
        };
        let record = GroupRecord::read(&entry.value)?;
        let mut replicas = self.present(group);
        replicas.retain(|member| !record.is_primary(member));
        let statuses = self.ask(&replicas, &Command::Status).await;
        let is_stopped = |member: &&Rc<Member>| {
            let status = statuses.get(&member.name);
            status.is_some_and(|status| !status.is_primary && status.held > record.term)
        };
        let stopped: Vec<_> = replicas.iter().filter(is_stopped).cloned().collect();
        if !stopped.is_empty() && record.is_stable() {
            let names = stopped.iter().map(|member| &member.name);
            info!(%group, replicas = %join(names), "replicas were left stopped");
            self.resume(&stopped, record.term).await;
        }
        Ok(stopped.is_empty() && statuses.len() == replicas.len())
    }

    /// Returns the absent members whose logs are no longer needed: they give no
    /// answer, and a replica holds all that the primary held after that.
    ///
    /// One that was about to leave is asked once. Another one may only be slow, so
    /// that it is asked several times.
    async fn gone(
        &self,
        record: &GroupRecord,
        absent: Vec<Rc<Member>>,
        present: &[Rc<Member>],
    ) -> Vec<MemberName> {
        let mut silent = self.silent(absent).await;
        for _ in 1..LOOKS {
            if silent.iter().all(|member| member.is_draining) {
                break;
            }
            sleep(LOOK_PAUSE).await;
            silent = self.silent(silent).await;
        }
        if silent.is_empty() {
            return Vec::new();
        }
        let (primary, replicas): (Vec<_>, Vec<_>) = present
            .iter()
            .cloned()
            .partition(|member| record.is_primary(member));
        // The primary is asked after the absent members and before the replicas,
        // so that the replicas hold all that only an absent member could have had.
        let primary = self.ask(&primary, &Command::Status).await;
        let leads = |status: &&MemberStatus| status.is_primary && status.term == record.term;
        let Some(last) = primary.values().find(leads).map(|status| status.received) else {
            return Vec::new();
        };
        let replicas = self.ask(&replicas, &Command::Status).await;
        if replicas.values().any(|status| status.received >= last) {
            silent.iter().map(|member| member.name.clone()).collect()
        } else {
            Vec::new()
        }
    }

    async fn silent(&self, members: Vec<Rc<Member>>) -> Vec<Rc<Member>> {
        let looks = members
            .into_iter()
            .map(|member| async move { (!self.is_running(&member).await).then_some(member) });
        join_all(looks).await.into_iter().flatten().collect()
    }

    async fn is_running(&self, member: &Rc<Member>) -> bool {
        let answer = self
            .pools
            .control(member, Command::Status, STATUS_TIMEOUT)
            .await;
        // A member that is too busy to answer runs; another one at its address does not count.
        answer.map_or_else(
            |error| *error.current_context() == ErrorKind::QueueFull,
            |_| true,
        )
    }
}
