//! Replaces the primary of a group.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Directory, Member};
use burdockslip_runtime::{Instant, now, sleep, sleep_until, timeout};
use burdockslip_statement::{Command, MemberStatus};
use burdockslip_store::{Compare, Entry, Operation, Txn, with_timeout};
use burdockslip_types::{ErrorKind, GroupName, MemberName, Result, Revision, Term};
use burdockslip_upstream::Pools;
use error_stack::{Report, bail, ensure};
use futures::future::{LocalBoxFuture, join, join_all};
use tracing::{info, warn};

use crate::records::{self, GroupRecord, keys};
use crate::roster::{join as join_names, merge};
use crate::{Duty, PERMISSION_TTL, Tenure};

/// Added to the TTL of permissions, because the clocks of hosts run at slightly
/// different rates.
const PERMISSION_MARGIN: Duration = Duration::from_millis(50);

/// How long a change of primary waits for members before it logs a warning.
const WAIT_WARNING: Duration = Duration::from_secs(5);

/// The timeout of a control command to a member.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(400);

/// The timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// The timeout of a promotion order to the platform, well below the safety margin
/// of the duty's lease, so that no order is in flight when the lease ends.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);

/// The number of consecutive orders that may fail immediately with an error before
/// this host leaves the duty to another one, which may reach the platform.
const MAX_FAILED_ORDERS: u32 = 3;

/// The pause between attempts, and between status queries to the new primary.
const STEP_PAUSE: Duration = Duration::from_millis(40);

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
        let record = GroupRecord {
            held: Some(held),
            roster: merge(&record.roster, &self.directory.members(group)),
            ..record
        };
        let revision = self.write(group, &record, entry.revision).await?;
        self.withdraw_permissions().await?;
        let fenced = now();
        let (chosen, suspended) = self.choose_member(group, &record, held).await?;
        let term = self.order_promotion(group, &chosen, record.term).await?;
        sleep_until(fenced.max(suspended) + PERMISSION_TTL + PERMISSION_MARGIN).await;
        let record = GroupRecord {
            primary: chosen.name.clone(),
            address: chosen.address,
            term,
            roster: merge(&record.roster, &self.directory.members(group)),
            held: None,
        };
        self.write(group, &record, revision).await?;
        info!(
            %group,
            old = %old,
            primary = %chosen.name,
            term = term.0,
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
            held: None,
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

    async fn withdraw_permissions(&self) -> Result<()> {
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
        self.put(&keys::group(group), records::encode(record)?, known)
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
                    Compare::Revision(keys::DUTY.to_owned(), tenure.token),
                    Compare::Revision(key.to_owned(), known),
                ],
                operations: vec![Operation::Put(key.to_owned(), value.clone(), None)],
            }),
        )
        .await;
        let is_applied = matches!(&reply, Ok(reply) if reply.is_applied);
        if !is_applied {
            // This write or another one may have been applied without an event of
            // the watch so far; the next attempt needs the current revision.
            with_timeout(STORE_TIMEOUT, self.directory.refresh(key)).await?;
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

    fn tenure(&self) -> Result<Tenure> {
        let lost = || Report::new(ErrorKind::Conflict).attach("duty lost");
        self.duty.tenure().ok_or_else(lost)
    }

    /// Stops the members and chooses the one with the newest log. Returns it with
    /// the moment at which the members had answered that they are stopped.
    ///
    /// The old primary acknowledges a commit as soon as one replica has it. So
    /// either every replica on the roster has to answer, or the old primary has to
    /// have stepped down with a log that contains everything. Neither a timeout nor
    /// the reports of hosts can replace the answer of a replica: it may be
    /// partitioned together with the primary and with hosts that still use it.
    async fn choose_member(
        &self,
        group: &GroupName,
        record: &GroupRecord,
        held: Term,
    ) -> Result<(Rc<Member>, Instant)> {
        let started = now();
        let mut has_warned = false;
        let mut is_waiting = false;
        let mut is_refreshed = false;
        loop {
            self.tenure()?;
            let roster = self.roster(record, group);
            let (primary, replicas): (Vec<_>, Vec<_>) = roster
                .iter()
                .cloned()
                .partition(|member| record.is_primary(member));
            let stop = self.stop(record, &primary, &replicas, is_waiting);
            let statuses = if is_refreshed {
                stop.await
            } else {
                let (statuses, refreshed) = join(stop, self.refresh_members()).await;
                is_refreshed = refreshed;
                statuses
            };
            let stopped = now();
            if let Some(promoted) = find_promoted(&replicas, &statuses, record.term) {
                info!(%group, member = %promoted.name, "member already promoted by an earlier order");
                return Ok((promoted, stopped));
            }
            let missing: Vec<_> = replicas
                .iter()
                .filter(|member| !is_stopped(member, &statuses, held))
                .map(|member| &member.name)
                .collect();
            let is_whole = missing.is_empty() && !replicas.is_empty();
            let has_stepped_down = has_stepped_down(&primary, &statuses);
            let candidates = if is_whole {
                &replicas
            } else {
                &[primary.clone(), replicas.clone()].concat()
            };
            let best = best(candidates, &statuses);
            info!(%group, held = held.0, answered = statuses.len(), of = candidates.len(),
                missing = %join_names(missing.iter().copied()),
                best = best.as_ref().map(|member| member.name.as_str()),
                is_whole, has_stepped_down, positions = %positions(&statuses),
                "replicas stopped");
            let best = best.filter(|_| is_whole || has_stepped_down);
            let relied_on = if is_whole { &replicas } else { &primary };
            if let Some(best) = best
                && self.roster(record, group) == roster
                && self
                    .are_still_stopped(relied_on, is_whole.then_some(held))
                    .await
            {
                return Ok((best, stopped));
            }
            is_waiting = true;
            if started.elapsed() > WAIT_WARNING && !has_warned {
                has_warned = true;
                warn!(%group, primary = %record.primary,
                    missing = %join_names(missing.iter().copied()),
                    "promotion waits until the primary or the missing members answer");
            }
            sleep(STEP_PAUSE).await;
        }
    }

    /// Reloads the members' records, since a member that joined while the watch
    /// delivered no events may hold acknowledged commits. Returns whether they were
    /// read.
    async fn refresh_members(&self) -> bool {
        let refresh = self.directory.refresh(self.directory.members_prefix());
        match with_timeout(STORE_TIMEOUT, refresh).await {
            Ok(()) => true,
            Err(error) => {
                info!(?error, "reload of the members failed");
                false
            }
        }
    }

    /// Returns whether the members still report that they are stopped or have stepped
    /// down. A member that restarts receives, or leads, again.
    async fn are_still_stopped(&self, members: &[Rc<Member>], held: Option<Term>) -> bool {
        let statuses = self.control_all(members, &Command::Status).await;
        members
            .iter()
            .all(|member| is_stopped(member, &statuses, held.unwrap_or_default()))
    }

    /// Demotes the old primary and stops the replicas; returns the status of those
    /// that answered.
    ///
    /// A reachable primary is demoted first, so that its replicas receive its whole
    /// log. An unresponsive one would only delay the answers of the replicas, so it
    /// is not contacted until these turn out to be insufficient.
    async fn stop(
        &self,
        record: &GroupRecord,
        primary: &[Rc<Member>],
        replicas: &[Rc<Member>],
        is_waiting: bool,
    ) -> HashMap<MemberName, MemberStatus> {
        let held = record.held.unwrap_or_default();
        let command = Command::Suspend(held);
        let is_suspected = |member: &Rc<Member>| self.pools.pool(member).health.is_suspected();
        let (mut statuses, stopped) = if is_waiting {
            join(
                self.step_down(primary, held),
                self.control_all(replicas, &command),
            )
            .await
        } else if primary.iter().any(is_suspected) {
            (HashMap::new(), self.control_all(replicas, &command).await)
        } else {
            let statuses = self.step_down(primary, held).await;
            (statuses, self.control_all(replicas, &command).await)
        };
        // A primary of an earlier term may not have learned of the current one. One
        // of a later term was promoted by an earlier attempt and must stay.
        let is_outdated = |member: &&Rc<Member>| {
            let status = stopped.get(&member.name);
            status.is_some_and(|status| status.is_primary && status.term <= record.term)
        };
        let outdated: Vec<_> = replicas.iter().filter(is_outdated).cloned().collect();
        self.control_all(&outdated, &Command::Demote(held)).await;
        statuses.extend(stopped);
        statuses
    }

    /// Demotes the old primary if it is still reachable; returns its status if it is
    /// a replica afterwards.
    async fn step_down(
        &self,
        primary: &[Rc<Member>],
        term: Term,
    ) -> HashMap<MemberName, MemberStatus> {
        let mut statuses = self.control_all(primary, &Command::Demote(term)).await;
        statuses.retain(|_, status| !status.is_primary);
        statuses
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

/// Returns whether a member reported that it is a replica and that it receives from
/// no primary with a term below `held`.
fn is_stopped(member: &Member, statuses: &HashMap<MemberName, MemberStatus>, held: Term) -> bool {
    let status = statuses.get(&member.name);
    status.is_some_and(|status| !status.is_primary && status.held >= held)
}

/// Returns the member that an earlier order has promoted to a term after `old`, if
/// any; of several, the one with the highest term.
fn find_promoted(
    members: &[Rc<Member>],
    statuses: &HashMap<MemberName, MemberStatus>,
    old: Term,
) -> Option<Rc<Member>> {
    members
        .iter()
        .filter_map(|member| Some((member, statuses.get(&member.name)?)))
        .filter(|(_, status)| status.is_primary && status.term > old)
        .max_by_key(|(_, status)| status.term)
        .map(|(member, _)| Rc::clone(member))
}

/// Returns whether the old primary has stepped down with a log at least as new as
/// that of every other member. After a restart that lost its log, it lacks commits
/// that its replicas have.
fn has_stepped_down(primary: &[Rc<Member>], statuses: &HashMap<MemberName, MemberStatus>) -> bool {
    let newest = statuses.values().map(|status| status.received).max();
    primary
        .iter()
        .filter_map(|member| statuses.get(&member.name))
        .any(|status| Some(status.received) >= newest)
}

/// Formats the log positions of members for log lines.
fn positions(statuses: &HashMap<MemberName, MemberStatus>) -> String {
    let mut positions: Vec<_> = statuses
        .iter()
        .map(|(name, status)| format!("{name}={}", status.received))
        .collect();
    positions.sort();
    positions.join(" ")
}

/// Chooses the replica with the newest log; among equals, one that is not about to
/// leave. A member that leads already is no candidate, since its promotion would
/// change nothing.
fn best(
    members: &[Rc<Member>],
    statuses: &HashMap<MemberName, MemberStatus>,
) -> Option<Rc<Member>> {
    members
        .iter()
        .filter_map(|member| Some((member, statuses.get(&member.name)?)))
        .filter(|(_, status)| !status.is_primary)
        .max_by_key(|(member, status)| (status.received, !member.is_draining))
        .map(|(member, _)| Rc::clone(member))
}
