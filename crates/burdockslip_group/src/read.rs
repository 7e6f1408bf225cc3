//! Chooses the member for a read and validates the read afterwards.

use std::pin::pin;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, random_range, timeout_at};
use burdockslip_types::{ErrorKind, LogIndex, LogPosition, MemberName, Result, Zone};
use error_stack::bail;
use futures::future::{Either, select};

use crate::ReadPolicy;
use crate::shared::Shared;
use crate::view::View;

/// The number of failed waits in a row after which most reads no longer wait
/// for a replica.
const FAILED_WAIT_LIMIT: u32 = 8;

/// After that, one in this many reads still waits, to detect that replicas have
/// caught up.
const PROBE_RATIO: u64 = 16;

/// The conditions that a member must meet to serve a read.
#[derive(Debug, Clone)]
pub struct ReadRequirements {
    /// The floor of the session: the highest confirmed position that it has read
    /// or written. The member must hold it.
    pub floor: LogPosition,
    /// The maximum age of the data that the class allows; `Duration::MAX` allows
    /// any age.
    pub max_age: Duration,
    /// The zone in which replicas are preferred.
    pub zone: Zone,
    /// The time until which the read may wait for a member.
    pub deadline: Instant,
}

/// The member chosen for a read, and what is known about its data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadChoice {
    /// The member.
    pub member: MemberName,
    /// Whether the member is the primary.
    pub is_primary: bool,
    /// A position at or past the floor that the member is known to hold.
    pub position: LogPosition,
    /// An upper bound of the age of the data when the member was chosen;
    /// `Duration::MAX` if it is not known.
    pub age: Duration,
    /// When the data becomes older than the class allows. A read that the
    /// primary answers later is confirmed by a majority again.
    pub fresh_until: Instant,
}

impl Shared {
    pub(crate) async fn choose_read(&self, required: &ReadRequirements) -> Result<ReadChoice> {
        let started = now();
        if let Some(choice) = self.pick_replica(required) {
            return Ok(choice);
        }
        let until = required.deadline.min(started + self.replica_wait());
        if !until.is_past() {
            let choice = self.wait_for(until, || self.pick_replica(required)).await;
            self.count_wait(choice.is_some());
            if let Some(choice) = choice {
                return Ok(choice);
            }
        }
        let pick = || {
            self.pick_primary(required, started)
                .or_else(|| self.pick_replica(required))
        };
        match self.wait_for(required.deadline, pick).await {
            Some(choice) => Ok(choice),
            None => bail!(self.read_error()),
        }
    }

    /// Requests polls of the members until one can be chosen or `until` passes.
    async fn wait_for(
        &self,
        until: Instant,
        pick: impl Fn() -> Option<ReadChoice>,
    ) -> Option<ReadChoice> {
        loop {
            let changed = self.view_changed.listen();
            let choice = pick();
            if choice.is_some() || until.is_past() {
                return choice;
            }
            self.poll_requested.notify();
            // The next iteration picks again after a change and after the timeout.
            let _ = timeout_at(until, changed).await;
        }
    }

    /// Returns how long a read waits for a replica.
    ///
    /// While such waits fail, for example because all replicas lag far behind,
    /// only one in `PROBE_RATIO` reads waits.
    fn replica_wait(&self) -> Duration {
        let skips_wait =
            self.failed_waits.get() >= FAILED_WAIT_LIMIT && random_range(0..PROBE_RATIO) != 0;
        if skips_wait || self.settings.policy == ReadPolicy::PrimaryOnly {
            return Duration::ZERO;
        }
        self.settings.timing.replica_wait
    }

    fn count_wait(&self, is_served: bool) {
        let count = self.failed_waits.get().saturating_add(1);
        self.failed_waits.set(if is_served { 0 } else { count });
    }

    pub(crate) async fn check_read(
        &self,
        choice: &ReadChoice,
        after: LogPosition,
        deadline: Instant,
    ) -> Result<()> {
        // Within one term a member's log only grows, so the state that was read
        // lies between the two positions. Across terms a suffix may have been
        // discarded.
        if after.term != choice.position.term || after < choice.position {
            self.poll_requested.notify();
            bail!(ErrorKind::OutcomeUnknown);
        }
        let is_late = choice.is_primary && choice.fresh_until.is_past();
        if !is_late && self.view.borrow().confirmed().contains(after) {
            return Ok(());
        }
        // Queries a majority after the read. For a late read at the primary this
        // also proves that no other primary acknowledged a write before the read.
        let confirm = pin!(self.confirm(after, deadline));
        if is_late {
            return confirm.await;
        }
        match select(confirm, pin!(self.wait_confirmed(after))).await {
            Either::Left((result, _)) => result,
            Either::Right(((), _)) => Ok(()),
        }
    }

    /// Waits until `position` is known to be confirmed, by this watcher's queries
    /// or through another watcher.
    async fn wait_confirmed(&self, position: LogPosition) {
        loop {
            let changed = self.view_changed.listen();
            if self.view.borrow().confirmed().contains(position) {
                return;
            }
            // Never fails: the sender lives as long as this watcher.
            let _ = changed.await;
        }
    }

    fn read_error(&self) -> ErrorKind {
        match self.view.borrow().primary() {
            Some(_) => ErrorKind::NoFreshData,
            None => ErrorKind::NoPrimary,
        }
    }

    /// Picks at random one of the nearest replicas that qualify.
    ///
    /// Replicas in the requested zone come first, then those in this host's zone,
    /// then all others. Without the second step, two hosts that hold connections
    /// to replicas outside of the requested zone could redirect a read to each
    /// other in turn.
    fn pick_replica(&self, required: &ReadRequirements) -> Option<ReadChoice> {
        let view = self.view.borrow();
        let choices = self.candidates(&view).filter_map(|index| {
            let choice = self.replica_choice(&view, index, required)?;
            let zone = &self.members[index].zone;
            Some((*zone != required.zone, *zone != self.settings.zone, choice))
        });
        let mut choices: Vec<_> = choices.collect();
        let nearest = choices
            .iter()
            .map(|&(not_preferred, not_local, _)| (not_preferred, not_local))
            .min()?;
        choices.retain(|&(not_preferred, not_local, _)| (not_preferred, not_local) == nearest);
        let index = random_range(0..choices.len() as u64);
        let (_, _, choice) = choices.swap_remove(usize::try_from(index).ok()?);
        Some(choice)
    }

    /// Returns the replicas that the policy allows.
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
        required: &ReadRequirements,
    ) -> Option<ReadChoice> {
        let status = &view.report(index)?.status;
        let position = status.position;
        let is_alive = view.silence(index) <= self.settings.timing.suspect_after;
        if status.is_leaving
            || !is_alive
            || position < required.floor
            || !is_releasable(view, position)
        {
            return None;
        }
        let fresh_at = view.samples().fresh_at(position);
        let age = fresh_at.map_or(Duration::MAX, Instant::elapsed);
        let fresh_until = fresh_at.unwrap_or(Instant::START) + required.max_age;
        (age <= required.max_age).then(|| ReadChoice {
            member: self.members[index].name.clone(),
            is_primary: false,
            position,
            age,
            fresh_until,
        })
    }

    /// Picks the primary if a majority confirmed its term recently enough.
    ///
    /// A confirmation that was requested after the read arrived suffices for
    /// every class: the primary then holds every write that was acknowledged
    /// before the read.
    fn pick_primary(&self, required: &ReadRequirements, started: Instant) -> Option<ReadChoice> {
        let view = self.view.borrow();
        let (index, term) = view.primary()?;
        let fresh_at = view.samples().term_at(term)?;
        let age = fresh_at.elapsed();
        let is_leaving = view.report(index).is_none_or(|r| r.status.is_leaving);
        let is_fresh = age <= required.max_age || fresh_at >= started;
        if is_leaving || required.floor.term > term || !is_fresh {
            return None;
        }
        let first = LogPosition {
            term,
            index: LogIndex::default(),
        };
        Some(ReadChoice {
            member: self.members[index].name.clone(),
            is_primary: true,
            position: first.max(required.floor),
            age,
            fresh_until: fresh_at + required.max_age,
        })
    }
}

/// Returns whether `position` is confirmed or can still be confirmed because it
/// belongs to the term of the confirmed primary.
///
/// Neither is true for the unconfirmed suffix of a former primary that returns
/// after a promotion.
fn is_releasable(view: &View, position: LogPosition) -> bool {
    let confirmed = view.confirmed();
    let is_current = confirmed
        .newest()
        .is_some_and(|newest| newest.term == position.term);
    confirmed.contains(position) || is_current
}
