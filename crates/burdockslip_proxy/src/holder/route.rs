//! Decides whether this member may run a unit, before and after.

use std::time::Duration;

use burdockslip_group::{ReadChoice, ReadRequirements};
use burdockslip_runtime::Instant;
use burdockslip_types::{ErrorKind, LogPosition, MemberName};

use super::Holder;
use crate::exchange::{Access, Failed, Run};

/// Ages below this are proved after the read instead of before it.
///
/// A confirmation takes about a round trip between zones, so a stricter class
/// would never find one that is recent enough.
const PROVED_AFTER: Duration = Duration::from_millis(200);

/// Says how the answer to a unit is checked.
pub(super) enum Check {
    /// The mark after the unit must be confirmed by a majority asked afterwards.
    Confirm,
    /// The mark after a read must fit the choice of the member.
    Read(ReadChoice),
}

/// Decides whether this member runs the unit.
///
/// # Errors
///
/// Names the member to ask instead, or says that none can serve.
pub(super) async fn admit(holder: &Holder, run: &Run, deadline: Instant) -> Result<Check, Failed> {
    let is_strict = run.max_age.is_some_and(|age| age < PROVED_AFTER);
    if run.access == Access::Write || is_strict {
        let primary = holder
            .group
            .wait_primary(deadline)
            .await
            .map_err(|report| Failed::not_sent(*report.current_context(), ""))?;
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
        .map_err(|report| Failed::not_sent(*report.current_context(), ""))?;
    redirect_unless(holder, &choice.member).map(|()| Check::Read(choice))
}

/// Returns whether a check made before the unit waited in the queue no longer holds.
pub(super) fn is_outdated(holder: &Holder, check: &Check) -> bool {
    match check {
        Check::Confirm => holder
            .group
            .primary()
            .is_ok_and(|primary| primary.member != holder.member),
        Check::Read(choice) => choice.fresh_until.is_past(),
    }
}

/// Checks that a transaction still runs at the primary.
///
/// # Errors
///
/// Returns `NoPrimary` if the primary was replaced or is not confirmed any
/// more; the transaction cannot commit then.
pub(super) fn check_pinned(holder: &Holder) -> Result<Check, Failed> {
    let primary = holder
        .group
        .primary()
        .map_err(|report| Failed::not_sent(*report.current_context(), ""))?;
    if primary.member == holder.member {
        Ok(Check::Confirm)
    } else {
        Err(Failed::not_sent(
            ErrorKind::NoPrimary,
            "primary was replaced",
        ))
    }
}

/// Waits until the data that an answer reflects cannot be lost any more.
///
/// # Errors
///
/// Returns `OutcomeUnknown`.
pub(super) async fn verify(
    holder: &Holder,
    check: &Check,
    mark: LogPosition,
    deadline: Instant,
) -> Result<(), Failed> {
    let verified = match check {
        Check::Confirm => holder.group.confirm(mark, deadline).await,
        Check::Read(choice) => holder.group.check_read(choice, mark, deadline).await,
    };
    verified.map_err(|_| Failed::sent("not confirmed by a majority"))
}

fn redirect_unless(holder: &Holder, member: &MemberName) -> Result<(), Failed> {
    if *member == holder.member {
        return Ok(());
    }
    Err(Failed {
        redirect: Some(member.clone()),
        ..Failed::not_sent(ErrorKind::NoPrimary, "another member serves the request")
    })
}
