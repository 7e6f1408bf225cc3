//! Chooses the member that replaces a primary.
//!
//! Invariant: the chosen member has every commit that a client was told is kept. The old
//! primary acknowledges a commit as soon as one replica has it, and hosts pass an
//! acknowledgement on only while they may use the old primary. So either the old primary
//! has stepped down and the chosen member has its whole log; or all replicas on the roster
//! were stopped, the permissions of all hosts have expired since, and the replicas were
//! asked again after that. A replica that restarts or joins later lets the old primary
//! acknowledge more, but to nobody. See `docs/platform.md`, "Promotion".

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Member;
use burdockslip_runtime::{Instant, now, sleep};
use burdockslip_statement::{Command, MemberStatus};
use burdockslip_store::with_timeout;
use burdockslip_types::{GroupName, LogPosition, MemberName, Result, Revision, Term, Zone};
use futures::future::{Either, join, select};
use tracing::{info, warn};

use crate::candidates::newest_member;
use crate::promotion::{Promotion, STORE_TIMEOUT};
use crate::records::GroupRecord;
use crate::roster::join as join_names;
use crate::{AcknowledgedCommit, OrderGate};

/// How long a change of primary waits for members before it logs a warning.
const WAIT_WARNING: Duration = Duration::from_secs(5);

/// The pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(40);

/// How often the old primary is contacted while permissions expire.
const EXPIRY_PAUSE: Duration = Duration::from_millis(200);

/// The member to promote.
#[derive(Debug)]
pub(crate) struct Choice {
    pub(crate) member: Rc<Member>,
    /// When no host uses the old primary any more.
    pub(crate) expiry: Instant,
}

/// The members that a round contacts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Contact {
    /// The old primary if it is not suspected, then the replicas, so that these receive
    /// its whole log. A suspected primary would only delay the replies of the replicas.
    PrimaryFirst,
    /// The old primary and the replicas at the same time.
    All,
    /// The replicas only.
    Replicas,
}

/// The replies of the members of a group.
struct Round {
    primary: Vec<Rc<Member>>,
    replicas: Vec<Rc<Member>>,
    statuses: HashMap<MemberName, MemberStatus>,
    /// The members that are cold, and therefore slow as a primary.
    cold: HashSet<MemberName>,
    held: Term,
    /// Whether a replica has lost its log, which may have held commits that only the old
    /// primary has as well.
    is_log_lost: bool,
    /// The position of a commit that a client was told is kept.
    acknowledged: Option<LogPosition>,
    /// The availability zones that are evacuated.
    evacuated: Vec<Zone>,
    ended: Instant,
}

impl Promotion {
    /// Stops the members of a group and chooses the one to promote; `fenced` is when the
    /// permissions of all hosts were withdrawn.
    ///
    /// Neither a timeout nor the reports of hosts can replace the reply of a replica: it
    /// may be partitioned together with the primary and with hosts that still use it.
    pub(crate) async fn choose_member(
        &self,
        group: &GroupName,
        record: &mut GroupRecord,
        revision: &mut Revision,
        held: Term,
        fenced: Instant,
    ) -> Result<Choice> {
        let started = now();
        let mut has_warned = false;
        let mut contact = Contact::PrimaryFirst;
        let mut gate = OrderGate::new(fenced);
        loop {
            self.tenure()?;
            let began = now();
            self.record_lost_logs(group, record, revision).await?;
            let roster = self.roster(record, group);
            gate.check_roster(&roster);
            let has_expired = gate.has_expired();
            let needs_reload = gate.needs_reload();
            let reload = async { needs_reload && self.reload_members().await };
            let round = self.run_round(group, record, &roster, held, contact);
            let (round, is_reloaded) = join(round, reload).await;
            if is_reloaded {
                gate.record_reload(began);
            }
            round.log(group, has_expired);
            if let Some(member) = round.promoted(record.term) {
                info!(%group, member = %member.name, "member already promoted by an earlier order");
                let expiry = gate.expiry_after(round.ended);
                return Ok(Choice { member, expiry });
            }
            let is_unchanged = self.roster(record, group) == roster;
            if let Some(member) = round.heir()
                && is_unchanged
                && round.holds_acknowledged(group, &member)
                && self
                    .are_still_stopped(&round.primary, Term::default())
                    .await
            {
                let expiry = gate.expiry_after(round.ended);
                return Ok(Choice { member, expiry });
            }
            if round.is_whole() && is_unchanged {
                let expiry = gate.record_stopped(roster, round.ended);
                if has_expired
                    && !gate.needs_reload()
                    && let Some(member) = round.best(&round.replicas)
                    && self.are_still_stopped(&round.replicas, held).await
                {
                    if round.holds_acknowledged(group, &member) {
                        return Ok(Choice { member, expiry });
                    }
                    // The old primary may still return with its log.
                    contact = Contact::All;
                    sleep(ROUND_PAUSE).await;
                    continue;
                }
                contact = self.wait_for_expiry(group, &round, &mut gate, expiry).await;
                continue;
            }
            contact = Contact::All;
            if started.elapsed() > WAIT_WARNING && !has_warned {
                has_warned = true;
                warn!(%group, primary = %record.primary,
                    missing = %join_names(round.missing()),
                    lost = %join_names(record.lost.iter().map(|member| &member.name)),
                    "promotion waits until the primary or the missing members answer");
            }
            sleep(ROUND_PAUSE).await;
        }
    }

    /// Writes the record of the change again if a member has started again without its
    /// log, so that the next coordinator does not take the empty log for a whole one.
    async fn record_lost_logs(
        &self,
        group: &GroupName,
        record: &mut GroupRecord,
        revision: &mut Revision,
    ) -> Result<()> {
        let mut next = record.clone();
        next.join(&self.directory.members(group));
        if next.lost != record.lost {
            *revision = self.write(group, &next, *revision).await?;
            let names = next.lost.iter().map(|member| &member.name);
            warn!(%group, lost = %join_names(names), "member has started again without its log");
            *record = next;
        }
        Ok(())
    }

    /// Waits until no host uses the old primary, or until it has stepped down; returns the
    /// members to contact next.
    async fn wait_for_expiry(
        &self,
        group: &GroupName,
        round: &Round,
        gate: &mut OrderGate,
        expiry: Instant,
    ) -> Contact {
        if gate.has_expired() {
            sleep(ROUND_PAUSE).await;
            return Contact::Replicas;
        }
        let withdrawn = Box::pin(self.wait_until_withdrawn(group, round.held, expiry));
        let stepped_down = Box::pin(self.wait_for_step_down(round));
        match select(withdrawn, stepped_down).await {
            Either::Left(_) => {
                gate.record_withdrawn(now());
                Contact::Replicas
            }
            Either::Right(_) => Contact::All,
        }
    }

    /// Contacts the old primary until it has stepped down, and stops replicas again that
    /// have restarted.
    async fn wait_for_step_down(&self, round: &Round) {
        let stop = Command::Suspend(round.held);
        loop {
            sleep(EXPIRY_PAUSE).await;
            let calls = join(
                self.step_down(&round.primary, round.held),
                self.control_all(&round.replicas, &stop),
            );
            let (primary, _) = calls.await;
            if !primary.is_empty() {
                return;
            }
        }
    }

    /// Reloads the members' records, since a member that joined while the watch
    /// delivered no events may hold acknowledged commits. Returns whether they were
    /// read.
    async fn reload_members(&self) -> bool {
        let refresh = self.directory.refresh(self.directory.members_prefix());
        match with_timeout(STORE_TIMEOUT, refresh).await {
            Ok(()) => true,
            Err(error) => {
                info!(?error, "reload of the members failed");
                false
            }
        }
    }

    /// Returns whether replicas still report that they are stopped, or an old primary
    /// that it is a replica. A replica that restarts receives again.
    async fn are_still_stopped(&self, members: &[Rc<Member>], held: Term) -> bool {
        let statuses = self.control_all(members, &Command::Status).await;
        members
            .iter()
            .all(|member| is_stopped(member, &statuses, held))
    }

    /// Demotes the old primary and stops the replicas, as far as `contact` includes them.
    async fn run_round(
        &self,
        group: &GroupName,
        record: &GroupRecord,
        roster: &[Rc<Member>],
        held: Term,
        contact: Contact,
    ) -> Round {
        let (primary, replicas): (Vec<_>, Vec<_>) = roster
            .iter()
            .cloned()
            .partition(|member| record.has_primary_log(member));
        let command = Command::Suspend(held);
        let is_suspected = |member: &Rc<Member>| self.pools.pool(member).health.is_suspected();
        let (mut statuses, stopped) = match contact {
            Contact::All => {
                join(
                    self.step_down(&primary, held),
                    self.control_all(&replicas, &command),
                )
                .await
            }
            Contact::PrimaryFirst if !primary.iter().any(is_suspected) => {
                let statuses = self.step_down(&primary, held).await;
                (statuses, self.control_all(&replicas, &command).await)
            }
            Contact::PrimaryFirst | Contact::Replicas => {
                (HashMap::new(), self.control_all(&replicas, &command).await)
            }
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
        let acknowledged = self.acknowledged.borrow().get(group).copied();
        let unproven = unproven(record, &statuses, acknowledged);
        let is_unproven = |member: &Member| unproven.iter().any(|run| run.name == member.name);
        let (primary, replicas): (Vec<_>, Vec<_>) = roster
            .iter()
            .cloned()
            .partition(|member| record.is_primary(member) && !is_unproven(member));
        let members = roster.iter().map(|member| &member.name);
        let cold = members.filter(|name| self.directory.cold_until(name).is_some());
        Round {
            cold: cold.cloned().collect(),
            is_log_lost: unproven.iter().any(|run| !record.is_primary(run)),
            acknowledged: acknowledged.map(|commit| commit.lowest),
            primary,
            replicas,
            statuses,
            held,
            evacuated: self.directory.evacuated_zones(),
            ended: now(),
        }
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
}

impl Round {
    /// Returns the replicas that have not reported that they are stopped.
    fn missing(&self) -> impl Iterator<Item = &MemberName> {
        let replicas = self.replicas.iter();
        let missing = replicas.filter(|member| !is_stopped(member, &self.statuses, self.held));
        missing.map(|member| &member.name)
    }

    /// Returns whether all replicas have reported that they are stopped, and none has lost
    /// its log.
    fn is_whole(&self) -> bool {
        !self.replicas.is_empty() && !self.is_log_lost && self.missing().next().is_none()
    }

    /// Returns whether the old primary has stepped down with a log at least as new as
    /// that of every other member. After a restart that lost its log, it lacks commits
    /// that its replicas have.
    fn has_stepped_down(&self) -> bool {
        let newest = self.statuses.values().map(|status| status.received).max();
        self.primary
            .iter()
            .filter_map(|member| self.statuses.get(&member.name))
            .any(|status| Some(status.received) >= newest)
    }

    /// Returns a member that has the whole log of the old primary, which has stepped
    /// down.
    ///
    /// While all replicas reply and one of them holds the commits known to be acknowledged,
    /// the old primary itself is no candidate: it may be about to leave.
    fn heir(&self) -> Option<Rc<Member>> {
        if !self.has_stepped_down() {
            return None;
        }
        let newest = self.statuses.values().map(|status| status.received).max();
        let all = [self.primary.clone(), self.replicas.clone()].concat();
        let best_replica = self.best(&self.replicas);
        let is_enough =
            best_replica.is_some_and(|member| self.received(&member) >= self.acknowledged);
        let candidates = if self.is_whole() && is_enough {
            &self.replicas
        } else {
            &all
        };
        let heir = self.best(candidates)?;
        (self.received(&heir) == newest).then_some(heir)
    }

    /// Returns whether a member holds the commits that are known to be acknowledged. If it
    /// does not, some log is not whole although its member is taken for one that kept it.
    fn holds_acknowledged(&self, group: &GroupName, member: &Member) -> bool {
        let received = self.received(member);
        let holds_all = received >= self.acknowledged;
        if !holds_all {
            info!(%group, member = %member.name, ?received, acknowledged = ?self.acknowledged,
                "best member lacks acknowledged commits, not promoted");
        }
        holds_all
    }

    fn best(&self, members: &[Rc<Member>]) -> Option<Rc<Member>> {
        let status = |member: &Member| self.statuses.get(&member.name).copied();
        let is_cold = |member: &Member| self.cold.contains(&member.name);
        newest_member(members, status, &self.evacuated, is_cold)
    }

    /// Returns the position that a member has reported in this round.
    fn received(&self, member: &Member) -> Option<LogPosition> {
        let status = self.statuses.get(&member.name);
        status.map(|status| status.received)
    }

    /// Returns the replica that an earlier order has promoted to a term after `old`, if
    /// any; of several, the one with the highest term.
    fn promoted(&self, old: Term) -> Option<Rc<Member>> {
        self.replicas
            .iter()
            .filter_map(|member| Some((member, self.statuses.get(&member.name)?)))
            .filter(|(_, status)| status.is_primary && status.term > old)
            .max_by_key(|(_, status)| status.term)
            .map(|(member, _)| Rc::clone(member))
    }

    fn log(&self, group: &GroupName, has_expired: bool) {
        let mut positions: Vec<_> = self
            .statuses
            .iter()
            .map(|(name, status)| format!("{name}={}", status.received))
            .collect();
        positions.sort();
        info!(%group, held = self.held.0, answered = self.statuses.len(),
            of = self.primary.len() + self.replicas.len(),
            missing = %join_names(self.missing()),
            is_whole = self.is_whole(), has_stepped_down = self.has_stepped_down(), has_expired,
            positions = %positions.join(" "),
            "replicas stopped");
    }
}

/// Returns the runs that ended and whose next runs have not shown that they hold the log.
///
/// A member that starts again under its name usually holds nothing. One that holds as much
/// as any other member, and as much as the primary had reported with the last acknowledged
/// commit, has kept its log or received it since. If neither is known, nothing shows it.
fn unproven(
    record: &GroupRecord,
    statuses: &HashMap<MemberName, MemberStatus>,
    acknowledged: Option<AcknowledgedCommit>,
) -> Vec<Member> {
    let is_lost = |name: &MemberName| record.lost.iter().any(|run| run.name == *name);
    let others = statuses.iter().filter(|(name, _)| !is_lost(name));
    let newest = others.map(|(_, status)| status.received).max();
    let known = newest.max(acknowledged.map(|commit| commit.highest));
    let is_proven = |run: &Member| {
        let status = statuses.get(&run.name);
        known.is_some() && status.map(|status| status.received) >= known
    };
    let unproven = record.lost.iter().filter(|run| !is_proven(run));
    unproven.cloned().collect()
}

/// Returns whether a member reported that it is a replica and that it receives from
/// no primary with a term below `held`.
fn is_stopped(member: &Member, statuses: &HashMap<MemberName, MemberStatus>, held: Term) -> bool {
    let status = statuses.get(&member.name);
    status.is_some_and(|status| !status.is_primary && status.held >= held)
}
