//! Decides which record of a group to bring back after the store was restored.
//!
//! Invariant: the restored roster has every member whose log may hold a commit that a
//! client was told is kept. Either all hosts that may have acted on a later record than the
//! copy's have said which one they knew, or the roster has everyone that any of them knew;
//! see `docs/design/store-era.md`.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Member;
use burdockslip_statement::{Command, MemberStatus};
use burdockslip_types::{GroupName, HostId, MemberName, Result, Revision, domain};
use tracing::info;

use crate::promotion::Promotion;
use crate::records::GroupRecord;
use crate::roster::{join as join_names, merge};
use crate::withdrawals::HOST_SPAN;

domain! {
    /// What a host knew of the groups before the store was restored.
    pub struct Knowledge {
        /// The era of the store that the host knows.
        pub era: u64,
        /// The latest era before it in which the host had the whole store.
        pub before: Option<u64>,
        /// The versions that the host knew of records that are not settled.
        pub records: Vec<(GroupName, GroupRecord)>,
    }
}

/// What to do with a group whose record is not settled in the store's era.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Hosts may know a later record.
    Wait,
    /// The group has never had a record.
    Adopt,
    /// This record is brought back.
    Restore(GroupRecord),
}

/// Collects what hosts knew before the store was restored.
#[derive(Debug, Default)]
pub struct Restoration {
    hosts: HashMap<HostId, Knowledge>,
}

impl Restoration {
    /// Forgets all reports, at the end of a tenure and at the start of an era.
    pub fn clear(&mut self) {
        self.hosts.clear();
    }

    /// Records what a host has reported to know. What it reported before counts as well: it
    /// may have restarted since.
    pub fn record(&mut self, host: HostId, mut knowledge: Knowledge) {
        let known = self.hosts.remove(&host);
        let known = known.filter(|known| known.era == knowledge.era);
        for record in known.into_iter().flat_map(|known| known.records) {
            if !knowledge.records.contains(&record) {
                knowledge.records.push(record);
            }
        }
        self.hosts.insert(host, knowledge);
    }

    /// Decides about the group whose record in the restored store is `copy`.
    ///
    /// `hosts` are those that may have a permission, and `waited` is the time since the
    /// `era` became known.
    pub fn decide(
        &self,
        group: &GroupName,
        copy: Option<&GroupRecord>,
        hosts: &[HostId],
        era: u64,
        waited: Duration,
    ) -> Decision {
        let reports: Vec<_> = hosts
            .iter()
            .filter_map(|host| self.hosts.get(host))
            .filter(|knowledge| knowledge.era == era)
            .collect();
        let has_all = !hosts.is_empty() && reports.len() == hosts.len();
        let is_new = |knowledge: &&Knowledge| knowledge.before.is_none();
        if has_all && copy.is_none() && reports.iter().all(is_new) {
            return Decision::Adopt;
        }
        let saw_last_era =
            |knowledge: &&Knowledge| knowledge.before.is_some_and(|before| before + 1 == era);
        let is_complete = has_all && reports.iter().all(saw_last_era);
        let has_most = reports.len() * 2 >= hosts.len() && !hosts.is_empty();
        if !is_complete && (waited < HOST_SPAN || !has_most) {
            return Decision::Wait;
        }
        let reported = reports.iter().flat_map(|knowledge| &knowledge.records);
        let reported = reported.filter(|(name, _)| name == group);
        let versions: Vec<_> = reported.map(|(_, record)| record).chain(copy).collect();
        let Some(newest) = versions.iter().max_by_key(|record| record.stamp) else {
            return Decision::Adopt;
        };
        let mut restored = GroupRecord::clone(newest);
        if !is_complete {
            include_everyone(&mut restored, &versions);
        }
        Decision::Restore(restored)
    }
}

/// Makes the next change of primary wait for all members of any version.
fn include_everyone(record: &mut GroupRecord, versions: &[&GroupRecord]) {
    for version in versions {
        let known = version.roster.iter().chain(&version.excluded);
        let known: Vec<_> = known.cloned().map(Rc::new).collect();
        record.roster = merge(&record.roster, &known);
        for member in &version.lost {
            if !record.lost.contains(member) {
                record.lost.push(member.clone());
            }
        }
    }
    record.excluded.clear();
}

/// Returns whether the members of a group show that no later change of primary than the
/// record's has begun: all of them answer, the primary leads in the known term, and nobody
/// is stopped or in a later term.
pub(crate) fn confirms(record: &GroupRecord, statuses: &HashMap<MemberName, MemberStatus>) -> bool {
    let confirms = |member: &Member| {
        let status = statuses.get(&member.name);
        status.is_some_and(|status| {
            let leads = record.is_primary(member);
            status.is_primary == leads
                && (!leads || status.term == record.term)
                && status.term <= record.term
                && status.held <= record.term
        })
    };
    record.roster.iter().any(|member| record.is_primary(member))
        && record.roster.iter().all(confirms)
}

impl Promotion {
    /// Writes the record of a group that is brought back, over the copy's at `known`.
    ///
    /// Unless the members confirm it, it is written as an unfinished change of primary,
    /// which finds out who leads.
    pub(crate) async fn restore(
        &self,
        group: &GroupName,
        mut record: GroupRecord,
        known: Revision,
    ) -> Result<()> {
        record.join(&self.directory.members(group));
        let roster: Vec<_> = record.roster.iter().cloned().map(Rc::new).collect();
        let is_confirmed = record.is_stable()
            && confirms(&record, &self.control_all(&roster, &Command::Status).await);
        if !is_confirmed {
            record.held = Some(record.held.unwrap_or_default().max(record.term));
        }
        self.write(group, &record, known).await?;
        let roster = record.roster.iter().map(|member| &member.name);
        let excluded = record.excluded.iter().map(|member| &member.name);
        info!(
            %group,
            primary = %record.primary,
            term = record.term.0,
            written_by = record.stamp.token.0,
            is_confirmed,
            roster = %join_names(roster),
            excluded = %join_names(excluded),
            "group record brought back"
        );
        Ok(())
    }
}
