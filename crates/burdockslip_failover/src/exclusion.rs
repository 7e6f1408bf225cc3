//! Takes members that are gone off the roster of a group.
//!
//! Invariant: while a member is not on the roster, no client is told that a commit is kept
//! which only that member and the primary hold. A member that is silent may still receive,
//! and the primary counts it. So hosts pass on the commits of a group with excluded
//! members only after a member on the roster has shown that it holds them. The group's
//! record says so before the member leaves the roster, and the member leaves only after
//! every host that may have a permission has reported that it knows this record; see
//! `docs/platform.md`, "Members that are gone".

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Member;
use burdockslip_runtime::{now, sleep};
use burdockslip_statement::{Command, MemberStatus};
use burdockslip_store::{Entry, with_timeout};
use burdockslip_types::{ErrorKind, GroupName, HostId, MemberName, Result, Revision};
use error_stack::{Report, bail};
use futures::future::join_all;
use tracing::info;

use crate::OrderGate;
use crate::promotion::{Promotion, STORE_TIMEOUT};
use crate::records::{GroupRecord, keys};
use crate::roster::{is_registered, join as join_names};

/// The number of status queries in a row that an absent member has to leave
/// unanswered before its exclusion begins.
const STATUS_ATTEMPTS: usize = 3;

/// The pause between these queries.
const ATTEMPT_PAUSE: Duration = Duration::from_secs(1);

/// The timeout of a status query to a member.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an update waits until all hosts know of an exclusion. The next update waits
/// again.
const KNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(3);

/// The pause between checks of what hosts have reported.
const KNOWLEDGE_PAUSE: Duration = Duration::from_millis(50);

impl Promotion {
    /// Adds the members that have registered to the roster of a group whose primary is not
    /// being replaced.
    pub(crate) async fn join_roster(&self, group: &GroupName, entry: Entry) -> Result<()> {
        let record = GroupRecord::read(&entry.value)?;
        let mut next = record.clone();
        next.join(&self.present(group));
        if next != record {
            self.write(group, &next, entry.revision).await?;
            next.log(group, &[]);
        }
        Ok(())
    }

    /// Excludes members that are gone from a group whose primary is not being replaced.
    /// Returns the absent members that have to stay on the roster.
    pub(crate) async fn update_roster(
        &self,
        group: &GroupName,
        entry: Entry,
    ) -> Result<Vec<MemberName>> {
        let record = GroupRecord::read(&entry.value)?;
        let present = self.present(group);
        let mut next = record.clone();
        next.join(&present);
        let absent = next.absent(&present);
        let gone = self.find_unresponsive(&record, &absent).await;
        next.exclude_only(&gone);
        let is_new = |member: &Member| !record.excludes(member);
        if !next.lost.is_empty() || next.excluded.iter().any(is_new) {
            if self.is_log_held(&next, &present).await {
                next.lost.clear();
            } else {
                next.excluded.retain(|member| record.excludes(member));
            }
        }
        let mut revision = entry.revision;
        if next != record {
            revision = self.write(group, &next, revision).await?;
            next.log(group, &[]);
        }
        if !next.leaving().is_empty() {
            self.finish_exclusion(group, &mut next, revision).await?;
        }
        let is_kept =
            |member: &&Rc<Member>| next.roster.iter().any(|known| known.name == member.name);
        let kept = absent.iter().filter(is_kept).map(|member| &member.name);
        let lost = next.lost.iter().map(|member| &member.name);
        Ok(kept.chain(lost).cloned().collect())
    }

    /// Takes excluded members off the roster of the record at `revision`, once all hosts know
    /// that they are excluded, unless one of them is back.
    async fn finish_exclusion(
        &self,
        group: &GroupName,
        record: &mut GroupRecord,
        revision: Revision,
    ) -> Result<()> {
        self.wait_until_known(group, revision).await?;
        let present = self.present(group);
        let is_back = |member: &Member| is_registered(member, &present);
        if !record.excluded.iter().any(is_back) && self.is_log_held(record, &present).await {
            let leaving = record.leaving();
            record
                .roster
                .retain(|member| !leaving.contains(&member.name));
            self.write(group, record, revision).await?;
            record.log(group, &leaving);
        }
        Ok(())
    }

    /// Returns the members that leave several queries unanswered. Those that are about to
    /// leave and those whose exclusion has begun are queried once.
    async fn find_unresponsive(
        &self,
        record: &GroupRecord,
        absent: &[Rc<Member>],
    ) -> Vec<Rc<Member>> {
        let is_expected = |member: &Rc<Member>| member.is_draining || record.excludes(member);
        let mut unresponsive = self.query(absent.to_vec()).await;
        for _ in 1..STATUS_ATTEMPTS {
            if unresponsive.iter().all(is_expected) {
                break;
            }
            sleep(ATTEMPT_PAUSE).await;
            unresponsive = self.query(unresponsive).await;
        }
        unresponsive
    }

    /// Returns the members that do not answer.
    async fn query(&self, members: Vec<Rc<Member>>) -> Vec<Rc<Member>> {
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

    /// Returns whether a replica that is not excluded holds everything that the primary
    /// held when this was called.
    ///
    /// It covers the commits that hosts have passed on without a receipt. Without such a
    /// replica no commit could be passed on, either.
    async fn is_log_held(&self, record: &GroupRecord, present: &[Rc<Member>]) -> bool {
        let (primary, mut replicas): (Vec<_>, Vec<_>) = present
            .iter()
            .cloned()
            .partition(|member| record.has_primary_log(member));
        replicas.retain(|member| record.can_confirm(member));
        let leads = |status: &&MemberStatus| status.is_primary && status.term == record.term;
        let primary = self.control_all(&primary, &Command::Status).await;
        let Some(last) = primary.values().find(leads).map(|status| status.received) else {
            return false;
        };
        let replicas = self.control_all(&replicas, &Command::Status).await;
        let holds =
            |status: &MemberStatus| status.received.term == last.term && status.received >= last;
        replicas.values().any(holds)
    }

    /// Waits until every host that may have a permission knows the record of a group at
    /// `revision`.
    ///
    /// Hosts report what they know. One that has restarted since may follow a peer that
    /// lags behind, so the fence has to be newer than the record: no permission is based
    /// on the new fence without the record.
    async fn wait_until_known(&self, group: &GroupName, revision: Revision) -> Result<()> {
        let fence = self.directory.record(keys::FENCE);
        if fence.is_none_or(|fence| fence.revision < revision) {
            self.withdraw_permissions().await?;
        }
        let fenced = now();
        let expiry = OrderGate::new(fenced).expiry_after(fenced);
        while fenced.elapsed() < KNOWLEDGE_TIMEOUT {
            sleep(KNOWLEDGE_PAUSE).await;
            let is_known = || self.withdrawals.borrow().know_record(group, revision);
            if expiry.is_past() && is_known() {
                // Hosts may have registered without an event of the watch so far.
                with_timeout(STORE_TIMEOUT, self.directory.refresh(keys::HOSTS)).await?;
                self.record_registered();
                if is_known() {
                    return Ok(());
                }
            }
        }
        let missing = self.withdrawals.borrow().lacking_record(group, revision);
        let names: Vec<_> = missing.iter().map(HostId::as_str).collect();
        let text = format!(
            "hosts that do not know of the exclusion: {}",
            names.join(" ")
        );
        bail!(Report::new(ErrorKind::NoFreshData).attach(text))
    }
}

impl GroupRecord {
    /// Returns the members on the roster that are not registered, without the primary.
    fn absent(&self, registered: &[Rc<Member>]) -> Vec<Rc<Member>> {
        let absent = self
            .roster
            .iter()
            .filter(|member| !is_registered(member, registered) && !self.is_primary(member));
        absent.cloned().map(Rc::new).collect()
    }

    /// Excludes the members in `gone`, and no other members on the roster.
    fn exclude_only(&mut self, gone: &[Rc<Member>]) {
        let roster = &self.roster;
        let is_listed = |member: &Member| roster.iter().any(|known| known.is_same_run(member));
        self.excluded.retain(|member| !is_listed(member));
        self.excluded
            .extend(gone.iter().map(|member| Member::clone(member)));
    }

    /// Returns the members that are excluded but still on the roster.
    fn leaving(&self) -> Vec<MemberName> {
        let leaving = self.roster.iter().filter(|member| self.excludes(member));
        leaving.map(|member| member.name.clone()).collect()
    }

    fn log(&self, group: &GroupName, gone: &[MemberName]) {
        let roster = self.roster.iter().map(|member| &member.name);
        let excluded = self.excluded.iter().map(|member| &member.name);
        let lost = self.lost.iter().map(|member| &member.name);
        info!(%group, roster = %join_names(roster), excluded = %join_names(excluded),
            lost = %join_names(lost), gone = %join_names(gone), "roster changed");
    }
}
