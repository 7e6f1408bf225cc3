//! Chooses the member that serves a read and checks the read afterwards.

use std::pin::pin;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, random_range, timeout_at};
use burdockslip_types::{ErrorKind, LogIndex, LogPosition, MemberName, Result, Zone};
use error_stack::bail;
use futures::future::{Either, select};

use crate::ReadPolicy;
use crate::shared::Shared;
use crate::view::View;

/// The number of waits in vain after which most reads no longer wait.
const VAIN_LIMIT: u32 = 8;

/// One in this many reads waits all the same, to notice that replicas are back.
const PROBE_SHARE: u64 = 16;

/// States what a read needs.
#[derive(Debug, Clone)]
pub struct ReadRequirements {
    /// The confirmed position that the session has seen or written.
    pub floor: LogPosition,
    /// The age that the class allows; `Duration::MAX` allows any age.
    pub max_age: Duration,
    /// The zone in which replicas are preferred.
    pub zone: Zone,
    /// The moment until which the read may wait for a member.
    pub deadline: Instant,
}

/// Names the member that serves a read and the conditions under which it does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadChoice {
    /// The member.
    pub member: MemberName,
    /// Whether the member is the primary.
    pub is_primary: bool,
    /// A position that the member is known to hold, at or past the floor.
    pub position: LogPosition,
    /// The age of the data at the moment of the choice.
    pub age: Duration,
    /// The moment at which the data becomes older than the class allows. A read
    /// that the primary answers later is confirmed once more.
    pub fresh_until: Instant,
}

impl Shared {
    pub(crate) async fn choose_read(&self, need: &ReadRequirements) -> Result<ReadChoice> {
        let started = now();
        if let Some(choice) = self.pick_replica(need) {
            return Ok(choice);
        }
        let until = need.deadline.min(started + self.replica_wait());
        if !until.is_past() {
            let choice = self.wait_for(until, || self.pick_replica(need)).await;
            self.count_wait(choice.is_some());
            if let Some(choice) = choice {
                return Ok(choice);
            }
        }
        let pick = || {
            self.pick_primary(need, started)
                .or_else(|| self.pick_replica(need))
        };
        match self.wait_for(need.deadline, pick).await {
            Some(choice) => Ok(choice),
            None => bail!(self.read_refusal()),
        }
    }

    /// Asks the members for newer reports until one can be chosen.
    async fn wait_for(
        &self,
        until: Instant,
        pick: impl Fn() -> Option<ReadChoice>,
    ) -> Option<ReadChoice> {
        loop {
            let changed = self.changed.listen();
            let choice = pick();
            if choice.is_some() || until.is_past() {
                return choice;
            }
            self.wanted.notify();
            // Both outcomes lead to another look at the members.
            let _ = timeout_at(until, changed).await;
        }
    }

    /// Returns how long a read waits for a replica. While such waits are in
    /// vain, as when all replicas lag far behind, only a few reads wait.
    fn replica_wait(&self) -> Duration {
        let is_vain = self.vain_waits.get() >= VAIN_LIMIT && random_range(0..PROBE_SHARE) != 0;
        if is_vain || self.settings.policy == ReadPolicy::PrimaryOnly {
            return Duration::ZERO;
        }
        self.settings.timing.replica_wait
    }

    fn count_wait(&self, is_served: bool) {
        let count = self.vain_waits.get().saturating_add(1);
        self.vain_waits.set(if is_served { 0 } else { count });
    }

    pub(crate) async fn check_read(
        &self,
        choice: &ReadChoice,
        after: LogPosition,
        deadline: Instant,
    ) -> Result<()> {
        // Within one term a member's log only grows, so the data lies between
        // the two positions; across terms a suffix may have been discarded.
        if after.term != choice.position.term || after < choice.position {
            self.wanted.notify();
            bail!(ErrorKind::OutcomeUnknown);
        }
        let is_late = choice.is_primary && choice.fresh_until.is_past();
        if !is_late && self.view.borrow().confirmed().contains(after) {
            return Ok(());
        }
        // Asks a majority after the read. For a late read at the primary this
        // also proves that no other primary acknowledged a write before it.
        let confirm = pin!(self.confirm(after, deadline));
        if is_late {
            return confirm.await;
        }
        match select(confirm, pin!(self.learn_confirmed(after))).await {
            Either::Left((result, _)) => result,
            Either::Right(((), _)) => Ok(()),
        }
    }

    /// Waits until `position` is known to be confirmed, also through other watchers.
    async fn learn_confirmed(&self, position: LogPosition) {
        loop {
            let changed = self.changed.listen();
            if self.view.borrow().confirmed().contains(position) {
                return;
            }
            // The sender lives as long as this watcher.
            let _ = changed.await;
        }
    }

    fn read_refusal(&self) -> ErrorKind {
        match self.view.borrow().primary() {
            Some(_) => ErrorKind::NoFreshData,
            None => ErrorKind::NoPrimary,
        }
    }

    /// Picks one of the nearest replicas that qualify.
    ///
    /// Replicas of this host's zone come before those of third zones, so that
    /// two holders do not pass a read of another zone back and forth.
    fn pick_replica(&self, need: &ReadRequirements) -> Option<ReadChoice> {
        let view = self.view.borrow();
        let choices = self.candidates(&view).filter_map(|index| {
            let choice = self.replica_choice(&view, index, need)?;
            let zone = &self.members[index].zone;
            Some((*zone != need.zone, *zone != self.settings.zone, choice))
        });
        let mut choices: Vec<_> = choices.collect();
        let nearest = choices
            .iter()
            .map(|&(far, foreign, _)| (far, foreign))
            .min()?;
        choices.retain(|&(far, foreign, _)| (far, foreign) == nearest);
        let index = random_range(0..choices.len() as u64);
        let (_, _, choice) = choices.swap_remove(usize::try_from(index).ok()?);
        Some(choice)
    }

    /// Lists the replicas that the policy allows.
    fn candidates(&self, view: &View) -> impl Iterator<Item = usize> {
        let is_replica = |&index: &usize| {
            let status = view.report(index).map(|r| &r.status);
            status.is_some_and(|s| !s.is_primary)
        };
        let replicas: Vec<_> = (0..self.members.len()).filter(is_replica).collect();
        let count = match self.settings.policy {
            ReadPolicy::AnyReplica => replicas.len(),
            ReadPolicy::FixedReplica => 1,
            ReadPolicy::PrimaryOnly => 0,
        };
        replicas.into_iter().take(count)
    }

    fn replica_choice(
        &self,
        view: &View,
        index: usize,
        need: &ReadRequirements,
    ) -> Option<ReadChoice> {
        let status = &view.report(index)?.status;
        let position = status.position;
        let is_alive = view.silence(index) <= self.settings.timing.suspect_after;
        if status.is_leaving || !is_alive || position < need.floor || !is_releasable(view, position)
        {
            return None;
        }
        let fresh_at = view.samples().fresh_at(position);
        let age = fresh_at.map_or(Duration::MAX, Instant::elapsed);
        let fresh_until = fresh_at.unwrap_or(Instant::START) + need.max_age;
        (age <= need.max_age).then(|| ReadChoice {
            member: self.members[index].name.clone(),
            is_primary: false,
            position,
            age,
            fresh_until,
        })
    }

    /// Picks the primary if a majority confirmed its term recently enough.
    ///
    /// A confirmation asked for since the read arrived is enough for every
    /// class: the primary then holds all that was acknowledged before.
    fn pick_primary(&self, need: &ReadRequirements, started: Instant) -> Option<ReadChoice> {
        let view = self.view.borrow();
        let (index, term) = view.primary()?;
        let fresh_at = view.samples().term_at(term)?;
        let age = fresh_at.elapsed();
        let is_leaving = view.report(index).is_none_or(|r| r.status.is_leaving);
        let is_fresh = age <= need.max_age || fresh_at >= started;
        if is_leaving || need.floor.term > term || !is_fresh {
            return None;
        }
        let first = LogPosition {
            term,
            index: LogIndex::default(),
        };
        Some(ReadChoice {
            member: self.members[index].name.clone(),
            is_primary: true,
            position: first.max(need.floor),
            age,
            fresh_until: fresh_at + need.max_age,
        })
    }
}

/// Returns whether reads at `position` can be released: the position is confirmed or
/// will be, because it belongs to the term of the confirmed primary. A primary
/// that returns after a promotion holds positions for which neither is true.
fn is_releasable(view: &View, position: LogPosition) -> bool {
    let confirmed = view.confirmed();
    let is_current = confirmed
        .newest()
        .is_some_and(|newest| newest.term == position.term);
    confirmed.contains(position) || is_current
}
