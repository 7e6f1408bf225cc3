//! Moves primaries out of evacuated availability zones; see `docs/design/evacuation.md`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Member;
use burdockslip_runtime::{Instant, now};
use burdockslip_statement::{Command, MemberStatus};
use burdockslip_types::{ErrorKind, GroupName, LogPosition};
use futures::future::join_all;

use crate::promotion::{CONTROL_TIMEOUT, Promotion};

/// The pause after a change of primary before an evacuation starts the next one. A change
/// may end inside the zone, if only a member there holds everything.
const SETTLE_PAUSE: Duration = Duration::from_secs(2);

/// The times of the last changes of primary, so that evacuations do not repeat them without
/// a pause.
#[derive(Debug, Default)]
pub struct Settling {
    changed: RefCell<HashMap<GroupName, Instant>>,
}

impl Settling {
    /// Records that the primary of a group has changed.
    pub fn record(&self, group: &GroupName) {
        self.changed.borrow_mut().insert(group.clone(), now());
    }

    /// Returns whether an evacuation may replace the primary of a group.
    pub fn is_over(&self, group: &GroupName) -> bool {
        let changed = self.changed.borrow();
        changed
            .get(group)
            .is_none_or(|at| at.elapsed() >= SETTLE_PAUSE)
    }

    /// Forgets all changes, at the end of a tenure.
    pub fn clear(&self) {
        self.changed.borrow_mut().clear();
    }
}

/// What a member said when it was asked for its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogAnswer {
    /// It has received everything up to the position.
    Received(LogPosition),
    /// It is too busy to answer.
    Busy,
    /// It did not answer.
    Silent,
}

impl LogAnswer {
    /// Returns whether a member may hold everything that the primary had answered before.
    ///
    /// A busy member is alive, and a silent primary is no reason to wait: the change of
    /// primary itself finds out what its members hold.
    pub fn may_hold(self, primary: Self) -> bool {
        match (self, primary) {
            (Self::Silent, _) => false,
            (Self::Received(held), Self::Received(known)) => held >= known,
            _ => true,
        }
    }
}

impl Promotion {
    /// Returns whether one of `successors` may hold everything that the primary held when
    /// this was called.
    ///
    /// Without this check, a change of primary while replicas lag would end at another
    /// member inside the zone.
    pub(crate) async fn can_evacuate(
        &self,
        primary: &Rc<Member>,
        successors: &[Rc<Member>],
    ) -> bool {
        let known = self.ask(primary).await;
        let answers = join_all(successors.iter().map(|member| self.ask(member))).await;
        answers.into_iter().any(|answer| answer.may_hold(known))
    }

    async fn ask(&self, member: &Rc<Member>) -> LogAnswer {
        let status = self.pools.control(member, Command::Status, CONTROL_TIMEOUT);
        match status.await {
            Ok(MemberStatus { received, .. }) => LogAnswer::Received(received),
            Err(error) if *error.current_context() == ErrorKind::QueueFull => LogAnswer::Busy,
            Err(_) => LogAnswer::Silent,
        }
    }
}
