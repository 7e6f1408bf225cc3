//! Which members may be used while availability zones are evacuated.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Member, Role, Route};
use burdockslip_statement::Access;
use burdockslip_types::ErrorKind;

use crate::context::Context;
use crate::outcome::SendError;
use crate::place;

/// The part of the bound for which a primary is used that nothing else can replace so far.
/// A change of primary takes about a second, and another one if the coordinator changes.
const PRIMARY_FRACTION: f64 = 0.5;

/// The part of the bound after which open transactions are rolled back. The rest is for
/// statements that are on their way.
const TRANSACTION_FRACTION: f64 = 0.8;

/// How long members of an evacuated availability zone may be used; see
/// `docs/design/evacuation.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvacuationBound {
    bound: Duration,
}

impl EvacuationBound {
    /// Creates the limits for a bound on the time from the acknowledgement of a request to
    /// the last statement in its zone. Without a bound, requests are served at once.
    pub fn new(bound: Option<Duration>) -> Self {
        Self {
            bound: bound.unwrap_or_default(),
        }
    }

    /// Returns whether a statement or transaction may start at a member in its `role`, whose
    /// zone is evacuated for `age`.
    pub fn may_start(self, role: Role, age: Option<Duration>) -> bool {
        match (age, role) {
            (None, _) => true,
            (Some(_), Role::Replica) => false,
            (Some(age), Role::Primary) => age < self.bound.mul_f64(PRIMARY_FRACTION),
        }
    }

    /// Returns the time that is left for open transactions at a member whose zone is
    /// evacuated for `age`; `None` if it is not limited.
    pub fn time_left(self, age: Option<Duration>) -> Option<Duration> {
        let limit = self.bound.mul_f64(TRANSACTION_FRACTION);
        age.map(|age| limit.saturating_sub(age))
    }
}

impl Context {
    /// Returns whether a statement or transaction may start at a member in its `role`.
    pub(crate) fn may_start(&self, member: &Member, role: Role) -> bool {
        let age = self.directory.evacuated_for(&member.zone);
        self.evacuation.may_start(role, age)
    }

    /// Returns the time that is left for an open transaction at a member, or `None` if it
    /// is not limited.
    pub(crate) fn time_left(&self, member: &Member) -> Option<Duration> {
        let age = self.directory.evacuated_for(&member.zone);
        self.evacuation.time_left(age)
    }
}

/// Checks directly before a statement is sent whether it may start at a member; `is_primary`
/// is the role in which the member was chosen.
pub(crate) fn check(cx: &Context, member: &Member, is_primary: bool) -> Result<(), SendError> {
    let role = if is_primary {
        Role::Primary
    } else {
        Role::Replica
    };
    if cx.may_start(member, role) {
        Ok(())
    } else {
        Err(SendError::NotSent(ErrorKind::NoPrimary))
    }
}

/// Returns whether it is known that no member can run an operation: its primary, and for
/// reads that replicas serve every other member, stands in an evacuated zone. While the
/// primary is being replaced this is not known.
pub(crate) fn excludes(cx: &Context, route: &Route, access: Access) -> bool {
    if !cx.directory.is_evacuating() {
        return false;
    }
    let primary = cx.permission.recorded_primary(&route.group);
    let primary = primary.and_then(|name| cx.directory.member(&name));
    if primary.is_none_or(|primary| cx.may_start(&primary, Role::Primary)) {
        return false;
    }
    let members = || cx.directory.members(&route.group);
    let is_excluded = |member: &Rc<Member>| !cx.may_start(member, Role::Replica);
    place::needs_primary(route, access) || members().iter().all(is_excluded)
}
