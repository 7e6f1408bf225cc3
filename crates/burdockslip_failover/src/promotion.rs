//! Replaces the primary of a group.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Directory, Member};
use burdockslip_runtime::{Instant, now, sleep, timeout};
use burdockslip_statement::{Command, MemberStatus};
use burdockslip_store::{Compare, Entry, LeaseId, Operation, Txn, with_timeout};
use burdockslip_types::{ErrorKind, GroupName, HostId, MemberName, Result, Revision, Term};
use burdockslip_upstream::Pools;
use error_stack::{Report, bail, ensure};
use futures::future::{LocalBoxFuture, join_all};
use tracing::{info, warn};

use crate::records::{self, GroupRecord, Stamp, keys};
use crate::roster::merge;
use crate::{AcknowledgedCommit, Duty, Restoration, Tenure, Withdrawals};

/// The timeout of a control command to a member.
pub(crate) const CONTROL_TIMEOUT: Duration = Duration::from_millis(400);

/// The timeout of a call to the store.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// The timeout of a promotion order to the platform, well below the safety margin
/// of the duty's lease, so that no order is in flight when the lease ends.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);

/// The number of consecutive orders that may fail immediately with an error before
/// this host leaves the duty to another one, which may reach the platform.
const MAX_FAILED_ORDERS: u32 = 3;

/// The pause between attempts, and between status queries to the new primary.
const STEP_PAUSE: Duration = Duration::from_millis(40);

/// The pause between checks of the reports of hosts.
const WITHDRAWAL_PAUSE: Duration = Duration::from_millis(10);

/// How long the chosen member may take to become primary.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The TTL of the fence, the lease behind all permissions.
const FENCE_TTL: Duration = Duration::from_mins(10);

/// The platform's answer to a promotion order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionReply {
    /// The platform promotes the member.
    Accepted,
    /// The member cannot be promoted.
    Refused,
}

/// Orders the platform to promote a member of a group. The revision is the fencing
/// token of the coordinator's tenure.
pub type PromoteFn =
    Rc<dyn Fn(GroupName, MemberName, Revision) -> LocalBoxFuture<'static, Result<PromotionReply>>>;

/// What a change of primary needs.
#[derive(Clone)]
pub(crate) struct Promotion {
    pub(crate) directory: Directory,
    pub(crate) pools: Pools,
    pub(crate) duty: Duty,
    pub(crate) promote: PromoteFn,
    /// The number of consecutive orders that failed.
    pub(crate) failed_orders: Rc<Cell<u32>>,
    /// The number of group records that this host has written.
    pub(crate) written: Rc<Cell<u64>>,
    /// What hosts knew before the store was restored.
    pub(crate) restoration: Rc<RefCell<Restoration>>,
    /// Which hosts know of the changes in progress.
    pub(crate) withdrawals: Rc<RefCell<Withdrawals>>,
    /// The last commit of each group that hosts have reported to have acknowledged.
    pub(crate) acknowledged: Rc<RefCell<HashMap<GroupName, AcknowledgedCommit>>>,
}

impl Promotion {
    /// Replaces the primary of the group record in `entry`, or finishes a change that
    /// an earlier coordinator started.
    pub(crate) async fn run(&self, group: &GroupName, entry: Entry, reason: &str) -> Result<()> {
        let started = now();
        let record = GroupRecord::read(&entry.value)?;
        let old = record.primary.clone();
        info!(%group, primary = %old, term = record.term.0, reason, "change of primary started");
        let held = record
            .held
            .map_or(record.term, |held| held.max(record.term))
            .next();
        let mut record = GroupRecord {
            held: Some(held),
            ..record
        };
        record.join(&self.directory.members(group));
        let mut revision = self.write(group, &record, entry.revision).await?;
        self.withdraw_permissions().await?;
        let fenced = now();
        let fence = self.directory.revision(keys::FENCE);
        info!(%group, record = revision.0, held = held.0, fence = fence.map(|fence| fence.0),
            "permissions withdrawn");
        let choice = self
            .choose_member(group, &mut record, &mut revision, held, fenced)
            .await?;
        let chosen = choice.member;
        let term = self.order_promotion(group, &chosen, record.term).await?;
        self.wait_until_withdrawn(group, held, choice.expiry).await;
        let mut record = GroupRecord {
            primary: chosen.name.clone(),
            address: chosen.address,
            term,
            held: None,
            lost: Vec::new(),
            ..record
        };
        record.join(&self.directory.members(group));
        let revision = self.write(group, &record, revision).await?;
        self.withdrawals.borrow_mut().finish(group);
        info!(
            %group,
            old = %old,
            primary = %chosen.name,
            term = term.0,
            record = revision.0,
            took_ms = started.elapsed().as_millis(),
            "change of primary finished"
        );
        let mut others = self.roster(&record, group);
        others.retain(|member| !record.is_primary(member));
        self.resume(&others, term).await;
        Ok(())
    }

    /// Writes the first record of a group, with the member that acts as its primary.
    pub(crate) async fn adopt(&self, group: &GroupName) -> Result<()> {
        let members = self.directory.members(group);
        let statuses = self.control_all(&members, &Command::Status).await;
        let leader = statuses
            .iter()
            .filter(|(_, status)| status.is_primary)
            .max_by_key(|(_, status)| status.term);
        let leader = leader.and_then(|(name, status)| {
            let member = members.iter().find(|member| member.name == *name)?;
            Some((member, status))
        });
        let Some((member, status)) = leader else {
            bail!(Report::new(ErrorKind::NoPrimary).attach("no member acts as primary"));
        };
        let primary = &member.name;
        let record = GroupRecord {
            primary: primary.clone(),
            address: member.address,
            term: status.term,
            roster: merge(&[], &members),
            excluded: Vec::new(),
            lost: Vec::new(),
            held: None,
            stamp: Stamp::default(),
        };
        self.write(group, &record, Revision(0)).await?;
        info!(%group, %primary, term = status.term.0, "primary adopted");
        Ok(())
    }

    /// Creates the fence, the lease behind all permissions, if there is none or if it
    /// has ended.
    pub(crate) async fn ensure_fence(&self) -> Result<()> {
        let store = self.directory.store();
        if let Some(entry) = self.directory.record(keys::FENCE) {
            let lease = records::decode(&entry.value)?;
            if !with_timeout(STORE_TIMEOUT, store.keep_lease(lease))
                .await?
                .is_zero()
            {
                return Ok(());
            }
        }
        self.replace_fence().await
    }

    /// Returns whether the fence is from an earlier era of the store.
    pub(crate) fn has_outdated_fence(&self) -> bool {
        let entry = self.directory.record(keys::FENCE);
        let lease = entry.and_then(|entry| records::decode::<LeaseId>(&entry.value).ok());
        lease.is_some_and(|lease| lease.era() != self.directory.era())
    }

    pub(crate) async fn withdraw_permissions(&self) -> Result<()> {
        let store = self.directory.store();
        if let Some(entry) = self.directory.record(keys::FENCE) {
            with_timeout(
                STORE_TIMEOUT,
                store.revoke_lease(records::decode(&entry.value)?),
            )
            .await?;
        }
        self.replace_fence().await
    }

    async fn replace_fence(&self) -> Result<()> {
        let lease =
            with_timeout(STORE_TIMEOUT, self.directory.store().grant_lease(FENCE_TTL)).await?;
        let known = self.directory.record(keys::FENCE);
        let known = known.map_or(Revision(0), |entry| entry.revision);
        self.put(keys::FENCE, records::encode(&lease)?, known)
            .await?;
        Ok(())
    }

    pub(crate) async fn write(
        &self,
        group: &GroupName,
        record: &GroupRecord,
        known: Revision,
    ) -> Result<Revision> {
        let count = self.written.get();
        self.written.set(count + 1);
        let token = self.tenure()?.token;
        let stamp = Stamp { token, count };
        let stamped = GroupRecord {
            stamp,
            ..record.clone()
        };
        self.put(&keys::group(group), records::encode(&stamped)?, known)
            .await
    }

    /// Writes a record if it still has the revision `known` and this host still holds
    /// the duty.
    async fn put(&self, key: &str, value: Vec<u8>, known: Revision) -> Result<Revision> {
        let tenure = self.tenure()?;
        let reply = with_timeout(
            STORE_TIMEOUT,
            self.directory.store().txn(Txn {
                compares: vec![
                    Compare::Revision(keys::duty(tenure.token.era()), tenure.token),
                    Compare::Revision(key.to_owned(), known),
                ],
                operations: vec![Operation::Put(key.to_owned(), value.clone(), None)],
            }),
        )
        .await;
        let is_applied = matches!(&reply, Ok(reply) if reply.is_applied);
        if !is_applied {
            // This write or another one may have been applied without an event of
            // the watch so far; the next attempt needs the current revision. All records
            // are read: whoever knows the fence must know those of groups before it.
            with_timeout(STORE_TIMEOUT, self.directory.refresh(keys::ROOT)).await?;
        }
        let reply = reply?;
        ensure!(is_applied, ErrorKind::Conflict);
        self.directory.apply(Entry {
            key: key.to_owned(),
            value,
            revision: reply.revision,
        });
        Ok(reply.revision)
    }

    pub(crate) fn tenure(&self) -> Result<Tenure> {
        let lost = || Report::new(ErrorKind::Conflict).attach("duty lost");
        self.duty.tenure().ok_or_else(lost)
    }

    /// Records the hosts that are registered according to the directory.
    pub(crate) fn record_registered(&self) {
        let entries = self.directory.records(keys::HOSTS);
        let name = |entry: &Entry| entry.key.strip_prefix(keys::HOSTS).map(HostId::from);
        let hosts = entries.iter().filter_map(name);
        self.withdrawals.borrow_mut().record_registered(hosts);
    }

    /// Waits until no host uses the old primary of a group: until all permissions have
    /// expired, or all hosts have reported that they know of the change.
    pub(crate) async fn wait_until_withdrawn(
        &self,
        group: &GroupName,
        held: Term,
        expiry: Instant,
    ) {
        if expiry.is_past() {
            return;
        }
        let is_complete = || self.withdrawals.borrow().is_complete(group, held);
        while !expiry.is_past() {
            if is_complete() {
                // Hosts may have registered without an event of the watch so far.
                let refresh = self.directory.refresh(keys::HOSTS);
                if with_timeout(STORE_TIMEOUT, refresh).await.is_ok() {
                    self.record_registered();
                    if is_complete() {
                        info!(%group, held = held.0, "all hosts know of the change of primary");
                        return;
                    }
                }
            }
            sleep(WITHDRAWAL_PAUSE.min(expiry.remaining())).await;
        }
        let unconfirmed = self.withdrawals.borrow().unconfirmed(group, held);
        let names: Vec<_> = unconfirmed.iter().map(HostId::as_str).collect();
        info!(%group, held = held.0, unconfirmed = names.join(" "), "all permissions have expired");
    }

    /// Sends a control command to members concurrently; returns the status of those
    /// that answered.
    pub(crate) async fn control_all(
        &self,
        members: &[Rc<Member>],
        command: &Command,
    ) -> HashMap<MemberName, MemberStatus> {
        let calls = members.iter().map(|member| async move {
            let status = self
                .pools
                .control(member, command.clone(), CONTROL_TIMEOUT)
                .await;
            (member, status)
        });
        let mut statuses = HashMap::new();
        for (member, status) in join_all(calls).await {
            match status {
                Ok(status) => {
                    statuses.insert(member.name.clone(), status);
                }
                Err(error) => {
                    info!(member = %member.name, ?command, ?error, "control command failed");
                }
            }
        }
        statuses
    }

    /// Orders the promotion of a member and waits until it leads in a term after
    /// `old`; returns this term.
    async fn order_promotion(
        &self,
        group: &GroupName,
        chosen: &Rc<Member>,
        old: Term,
    ) -> Result<Term> {
        let tenure = self.tenure()?;
        let order = (self.promote)(group.clone(), chosen.name.clone(), tenure.token);
        let mut is_answered = true;
        match timeout(ORDER_TIMEOUT, order).await {
            Ok(Ok(PromotionReply::Accepted)) => {}
            Ok(Ok(PromotionReply::Refused)) => {
                bail!(Report::new(ErrorKind::NoPrimary).attach("promotion refused"));
            }
            Ok(Err(error)) => {
                self.set_failed_orders(self.failed_orders.get() + 1);
                return Err(error);
            }
            // The order may have been executed; the member's term will show it.
            Err(_) => {
                is_answered = false;
                warn!(%group, member = %chosen.name, "promotion order timed out");
            }
        }
        let deadline = now() + PROMOTION_TIMEOUT;
        while !deadline.is_past() {
            let status = self
                .pools
                .control(chosen, Command::Status, CONTROL_TIMEOUT)
                .await;
            if let Ok(status) = status
                && status.is_primary
                && status.term > old
            {
                self.failed_orders.set(0);
                return Ok(status.term);
            }
            sleep(STEP_PAUSE).await;
        }
        if !is_answered {
            self.set_failed_orders(MAX_FAILED_ORDERS);
        }
        bail!(Report::new(ErrorKind::NoPrimary).attach("promoted member does not lead"))
    }

    /// Sets the number of consecutive failed orders, and leaves the duty to another
    /// host after too many.
    fn set_failed_orders(&self, count: u32) {
        self.failed_orders.set(count);
        if count >= MAX_FAILED_ORDERS {
            warn!(
                count,
                "promotion orders fail from this host, leaving the duty to others"
            );
            self.failed_orders.set(0);
            self.duty.step_aside();
        }
    }

    /// Resumes members as replicas of the primary of `term`.
    pub(crate) async fn resume(&self, members: &[Rc<Member>], term: Term) {
        for command in [Command::Resume, Command::Demote(term)] {
            // The next coordinator may have stopped the replicas again.
            if self.tenure().is_err() {
                return;
            }
            self.control_all(members, &command).await;
        }
    }
}
