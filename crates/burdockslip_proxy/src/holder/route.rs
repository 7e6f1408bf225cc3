//! Decides whether this member may run a unit, and checks its result afterwards.

use std::time::Duration;

use burdockslip_group::{ReadChoice, ReadRequirements};
use burdockslip_runtime::Instant;
use burdockslip_types::{ErrorKind, LogPosition, MemberName};

use super::Holder;
use crate::exchange::{Access, Failure, RunUnit};

/// Reads with a smaller `max_age` are confirmed after the read, at the primary,
/// instead of before it.
///
/// A confirmation takes about one round trip between zones, so for such a read
/// an earlier confirmation would never be recent enough.
const CONFIRM_AFTER_READ: Duration = Duration::from_millis(200);

/// How the answer to a unit is checked before it is sent to the client.
pub(super) enum Check {
    /// A majority, asked after the unit has run, must confirm the log position after it.
    Confirm,
    /// The log position after a read must satisfy the conditions under which
    /// the member was chosen.
    Read(ReadChoice),
}

/// Checks that this member may run the unit, waiting for a primary if needed.
///
/// # Errors
///
/// Returns a failure with `redirect` set if another member has to run the
/// unit, or the reason why no member can.
pub(super) async fn check_member(
    holder: &Holder,
    run: &RunUnit,
    deadline: Instant,
) -> Result<Check, Failure> {
    let is_strict = run.max_age.is_some_and(|age| age < CONFIRM_AFTER_READ);
    if run.access == Access::Write || is_strict {
        let primary = holder
            .group
            .wait_primary(deadline)
            .await
            .map_err(|report| Failure::not_sent(*report.current_context(), ""))?;
        return redirect_unless(holder, &primary.member).map(|()| Check::Confirm);
    }
    let need = ReadRequirements {
        floor: run.floor.or(holder.group.confirmed()).unwrap_or_default(),
        max_age: run.max_age.unwrap_or(Duration::MAX),
        zone: run.zone.clone(),
        deadline,
    };
    let choice = holder
        .group
        .choose_read(&need)
        .await
        .map_err(|report| Failure::not_sent(*report.current_context(), ""))?;
    redirect_unless(holder, &choice.member).map(|()| Check::Read(choice))
}

/// Returns whether a check made before the unit waited in the queue is stale.
pub(super) fn is_outdated(holder: &Holder, check: &Check) -> bool {
    match check {
        Check::Confirm => holder
            .group
            .primary()
            .is_ok_and(|primary| primary.member != holder.member),
        Check::Read(choice) => choice.fresh_until.is_past(),
    }
}

/// Checks that this member, which runs an open transaction, is still the primary.
///
/// # Errors
///
/// Returns `NoPrimary` if the primary was replaced or is no longer confirmed;
/// the transaction cannot commit then.
pub(super) fn check_pinned(holder: &Holder) -> Result<Check, Failure> {
    let primary = holder
        .group
        .primary()
        .map_err(|report| Failure::not_sent(*report.current_context(), ""))?;
    if primary.member == holder.member {
        Ok(Check::Confirm)
    } else {
        Err(Failure::not_sent(
            ErrorKind::NoPrimary,
            "primary was replaced",
        ))
    }
}

/// Waits until the data that an answer reflects can no longer be lost.
///
/// # Errors
///
/// Returns `OutcomeUnknown` if it is not confirmed by the deadline.
pub(super) async fn verify(
    holder: &Holder,
    check: &Check,
    position: LogPosition,
    deadline: Instant,
) -> Result<(), Failure> {
    let verified = match check {
        Check::Confirm => holder.group.confirm(position, deadline).await,
        Check::Read(choice) => holder.group.check_read(choice, position, deadline).await,
    };
    verified.map_err(|_| Failure::sent("not confirmed by a majority"))
}

fn redirect_unless(holder: &Holder, member: &MemberName) -> Result<(), Failure> {
    if *member == holder.member {
        return Ok(());
    }
    Err(Failure {
        redirect: Some(member.clone()),
        ..Failure::not_sent(ErrorKind::NoPrimary, "another member serves the request")
    })
}
