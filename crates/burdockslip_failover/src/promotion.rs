//! Replaces the primary of one group.

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

/// Added to the permissions' span for differences of clocks' rates.
const PERMISSION_MARGIN: Duration = Duration::from_millis(50);

/// How long a change waits for members before this is logged as a warning.
const WAIT_WARNING: Duration = Duration::from_secs(5);

/// Bounds a control command to a member.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(400);

/// Bounds a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Bounds the order to the platform, well below the margin of the duty.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);

/// Orders in a row that fail at once before the duty is left to another host,
/// which may reach the platform.
const MAX_FAILED_ORDERS: u32 = 3;

/// Pauses between attempts and between looks at the new primary.
const STEP_PAUSE: Duration = Duration::from_millis(40);

/// How long the chosen member may take to lead.
const LEAD_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long the lease behind all permissions lasts without renewals.
const FENCE_TTL: Duration = Duration::from_mins(10);

/// Reports what became of an order to promote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionReply {
    /// The member is to lead.
    Accepted,
    /// The member cannot lead.
    Refused,
}

/// Orders the platform to promote a member, as the holder of a duty.
pub type PromoteFn =
    Rc<dyn Fn(GroupName, MemberName, Revision) -> LocalBoxFuture<'static, Result<PromotionReply>>>;

/// Holds what a change of primary needs.
#[derive(Clone)]
pub(crate) struct Promotion {
    pub(crate) directory: Directory,
    pub(crate) pools: Pools,
    pub(crate) duty: Duty,
    pub(crate) promote: PromoteFn,
    /// The orders in a row that could not be placed.
    pub(crate) failed_orders: Rc<Cell<u32>>,
}

impl Promotion {
    /// Replaces the primary in `entry`, or finishes what another holder began.
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
        let (chosen, suspended) = self.choose(group, &record, held).await?;
        let term = self.lead(group, &chosen, record.term).await?;
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

    /// Records the first known primary of a group.
    pub(crate) async fn adopt(&self, group: &GroupName) -> Result<()> {
        let members = self.directory.members(group);
        let statuses = self.ask(&members, &Command::Status).await;
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

    /// Creates the lease behind all permissions if it is missing or has ended.
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

    /// Writes a record if it is unchanged and this host still holds the duty.
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
            // The write may have been done, or another one, and the watch may be
            // silent: the next attempt needs the present revision.
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

    /// Stops the members and picks the one that holds most.
    ///
    /// The old primary acknowledges a commit as soon as one replica has it. So
    /// either every replica on the roster has to answer, or the old primary has
    /// stepped down and its log holds everything. No time bound and no report of
    /// hosts can stand for a replica that does not answer: it may be cut off
    /// together with the primary and hosts that go on using it.
    async fn choose(
        &self,
        group: &GroupName,
        record: &GroupRecord,
        held: Term,
    ) -> Result<(Rc<Member>, Instant)> {
        let begun = now();
        let mut is_warned = false;
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
            if let Some(leader) = leader(&replicas, &statuses, record.term) {
                info!(%group, member = %leader.name, "member was promoted before");
                return Ok((leader, stopped));
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
            let counted = if is_whole { &replicas } else { &primary };
            if let Some(best) = best
                && self.roster(record, group) == roster
                && self
                    .are_still_stopped(counted, is_whole.then_some(held))
                    .await
            {
                return Ok((best, stopped));
            }
            is_waiting = true;
            if begun.elapsed() > WAIT_WARNING && !is_warned {
                is_warned = true;
                warn!(%group, primary = %record.primary,
                    missing = %join_names(missing.iter().copied()),
                    "no promotion until the primary or these members answer");
            }
            sleep(STEP_PAUSE).await;
        }
    }

    /// Reads the members' records, since a member that joined while the watch was
    /// silent may hold acknowledged commits; returns whether they were read.
    async fn refresh_members(&self) -> bool {
        let refresh = self.directory.refresh(self.directory.members_prefix());
        match with_timeout(STORE_TIMEOUT, refresh).await {
            Ok(()) => true,
            Err(error) => {
                info!(?error, "members not read again");
                false
            }
        }
    }

    /// Returns whether members that were stopped, or have stepped down, still say
    /// so: one that restarts receives, or leads, again.
    async fn are_still_stopped(&self, members: &[Rc<Member>], held: Option<Term>) -> bool {
        let statuses = self.ask(members, &Command::Status).await;
        members
            .iter()
            .all(|member| is_stopped(member, &statuses, held.unwrap_or_default()))
    }

    /// Ends the writes of the old primary and stops the replicas; returns the
    /// status of those that answered.
    ///
    /// A reachable primary comes first, so that its replicas get all that it has.
    /// One that is silent would only delay the answers of the replicas; it is
    /// asked once these do not suffice.
    async fn stop(
        &self,
        record: &GroupRecord,
        primary: &[Rc<Member>],
        replicas: &[Rc<Member>],
        is_waiting: bool,
    ) -> HashMap<MemberName, MemberStatus> {
        let held = record.held.unwrap_or_default();
        let command = Command::Suspend(held);
        let is_silent = |member: &Rc<Member>| self.pools.pool(member).health.is_suspected();
        let (mut statuses, stopped) = if is_waiting {
            join(self.step_down(primary, held), self.ask(replicas, &command)).await
        } else if primary.iter().any(is_silent) {
            (HashMap::new(), self.ask(replicas, &command).await)
        } else {
            let statuses = self.step_down(primary, held).await;
            (statuses, self.ask(replicas, &command).await)
        };
        // A primary of an earlier term may not have heard of the present one. One
        // of a later term was promoted by an earlier attempt.
        let is_outdated = |member: &&Rc<Member>| {
            let status = stopped.get(&member.name);
            status.is_some_and(|status| status.is_primary && status.term <= record.term)
        };
        let outdated: Vec<_> = replicas.iter().filter(is_outdated).cloned().collect();
        self.ask(&outdated, &Command::Demote(held)).await;
        statuses.extend(stopped);
        statuses
    }

    /// Ends the writes of an old primary that is still reachable; returns its
    /// status if it is a replica now.
    async fn step_down(
        &self,
        primary: &[Rc<Member>],
        term: Term,
    ) -> HashMap<MemberName, MemberStatus> {
        let mut statuses = self.ask(primary, &Command::Demote(term)).await;
        statuses.retain(|_, status| !status.is_primary);
        statuses
    }

    pub(crate) async fn ask(
        &self,
        members: &[Rc<Member>],
        command: &Command,
    ) -> HashMap<MemberName, MemberStatus> {
        let asks = members.iter().map(|member| async move {
            let status = self
                .pools
                .control(member, command.clone(), CONTROL_TIMEOUT)
                .await;
            (member, status)
        });
        let mut statuses = HashMap::new();
        for (member, status) in join_all(asks).await {
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

    /// Orders the promotion and waits until the member leads.
    async fn lead(&self, group: &GroupName, chosen: &Rc<Member>, old: Term) -> Result<Term> {
        let tenure = self.tenure()?;
        let order = (self.promote)(group.clone(), chosen.name.clone(), tenure.token);
        let mut is_answered = true;
        match timeout(ORDER_TIMEOUT, order).await {
            Ok(Ok(PromotionReply::Accepted)) => {}
            Ok(Ok(PromotionReply::Refused)) => {
                bail!(Report::new(ErrorKind::NoPrimary).attach("promotion refused"));
            }
            Ok(Err(error)) => {
                self.note_failed_orders(self.failed_orders.get() + 1);
                return Err(error);
            }
            // The order may have been carried out; the member's term tells.
            Err(_) => {
                is_answered = false;
                warn!(%group, member = %chosen.name, "promotion not answered in time");
            }
        }
        let deadline = now() + LEAD_TIMEOUT;
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
            self.note_failed_orders(MAX_FAILED_ORDERS);
        }
        bail!(Report::new(ErrorKind::NoPrimary).attach("promoted member does not lead"))
    }

    /// Leaves the duty to another host if orders cannot be placed from here.
    fn note_failed_orders(&self, count: u32) {
        self.failed_orders.set(count);
        if count >= MAX_FAILED_ORDERS {
            warn!(
                count,
                "promotions cannot be ordered from here, duty left to others"
            );
            self.failed_orders.set(0);
            self.duty.step_aside();
        }
    }

    /// Lets members follow the primary of `term`.
    pub(crate) async fn resume(&self, members: &[Rc<Member>], term: Term) {
        for command in [Command::Resume, Command::Demote(term)] {
            // A next holder may have stopped the replicas again.
            if self.tenure().is_err() {
                return;
            }
            self.ask(members, &command).await;
        }
    }
}

/// Returns whether a member said that it is a replica which does not receive
/// below the term `held`.
fn is_stopped(member: &Member, statuses: &HashMap<MemberName, MemberStatus>, held: Term) -> bool {
    let status = statuses.get(&member.name);
    status.is_some_and(|status| !status.is_primary && status.held >= held)
}

/// Returns the member that an earlier holder of the duty has promoted, if any;
/// of several, the last one.
fn leader(
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

/// Returns whether the old primary has stepped down with a log that holds
/// everything; one that lost its log on a restart lacks what its replicas have.
fn has_stepped_down(primary: &[Rc<Member>], statuses: &HashMap<MemberName, MemberStatus>) -> bool {
    let newest = statuses.values().map(|status| status.received).max();
    primary
        .iter()
        .filter_map(|member| statuses.get(&member.name))
        .any(|status| Some(status.received) >= newest)
}

/// Renders the positions of members for log lines.
fn positions(statuses: &HashMap<MemberName, MemberStatus>) -> String {
    let mut positions: Vec<_> = statuses
        .iter()
        .map(|(name, status)| format!("{name}={}", status.received))
        .collect();
    positions.sort();
    positions.join(" ")
}

/// Picks the member with the newest log; among equals one that stays. A
/// promotion of a member that leads already would change nothing.
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
