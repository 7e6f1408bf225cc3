//! Passes the acknowledgements of commits on to clients.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{now, sleep};
use burdockslip_types::{ErrorKind, MemberName};
use tracing::info;

use crate::context::Context;
use crate::outcome::{Job, ServedReply};
use crate::receipt;

/// The pause between checks of the permission.
const CHECK_PAUSE: Duration = Duration::from_millis(10);

/// Waits until a commit that a primary has acknowledged can be acknowledged to the client.
///
/// A promotion is ordered only after all permissions to use the old primary have expired,
/// and then of a member whose log holds what was acknowledged until then. So the
/// permission has to be valid after the acknowledgement of the member: a member that
/// restarts or joins during the promotion may let the old primary acknowledge commits
/// which its successor lacks. See `docs/platform.md`, "The old primary". A group with
/// excluded members also needs the receipt of a replica that is not excluded, and the
/// permission after that.
///
/// # Errors
///
/// Returns `OutcomeUnknown` if the primary is being replaced, or if the permission is not
/// renewed or the receipt not confirmed before the statement times out.
pub(crate) async fn confirm(
    cx: &Rc<Context>,
    job: &Job,
    served: &ServedReply,
) -> Result<(), ErrorKind> {
    let (group, member) = (&job.route.group, &served.member);
    wait_for_permission(cx, job, member).await?;
    let position = served.reply.position;
    if cx.permission.confirming_replicas(group).is_some() {
        let receipt = receipt::wait(cx, job, member, position).await;
        cx.metrics.count_receipt(receipt.is_ok());
        receipt?;
        wait_for_permission(cx, job, member).await?;
    }
    if let (Some(preceding), Some(position)) = (served.preceding, position) {
        cx.acknowledged.record(group, preceding, position);
    }
    Ok(())
}

/// Waits until this host may use `member` as the primary.
async fn wait_for_permission(
    cx: &Context,
    job: &Job,
    member: &MemberName,
) -> Result<(), ErrorKind> {
    let group = &job.route.group;
    let acknowledged = now();
    while cx.permission.primary(group).as_ref() != Some(member) {
        let is_replaced = cx.permission.recorded_primary(group).as_ref() != Some(member);
        if is_replaced || job.deadline().is_past() {
            info!(id = job.id(), %member, is_replaced, after_ms = acknowledged.elapsed().as_millis(),
                "acknowledgement withheld, primary not confirmed");
            return Err(ErrorKind::OutcomeUnknown);
        }
        sleep(CHECK_PAUSE).await;
    }
    Ok(())
}
