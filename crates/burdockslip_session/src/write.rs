//! Runs writes outside transactions.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::sleep;
use burdockslip_statement::MemberError;
use burdockslip_types::ErrorKind;
use tracing::info;

use crate::acknowledge;
use crate::context::Context;
use crate::outcome::{self, Job, SendError, ServedReply};
use crate::place;

/// The pause before the primary is looked up again.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Runs a write at the primary.
///
/// It is sent again only if it was not sent before, or if the reply proves that it
/// did not run.
pub(crate) async fn run(cx: &Rc<Context>, job: &Rc<Job>) -> Result<ServedReply, ErrorKind> {
    let mut logged = None;
    loop {
        let last = match attempt(cx, job).await {
            Ok(served) => match served.reply.result {
                Err(MemberError::Busy) => return Err(ErrorKind::QueueFull),
                Err(error) if error.did_not_run() => outcome::error_kind(error),
                Err(_) => return Ok(served),
                Ok(_) => {
                    acknowledge::confirm(cx, job, &served).await?;
                    return Ok(served);
                }
            },
            Err(SendError::NotSent(kind)) => kind,
            Err(SendError::Broken | SendError::TimedOut) => return Err(ErrorKind::OutcomeUnknown),
        };
        if job.wait_until().is_past() {
            return Err(last);
        }
        if logged.replace(last) != Some(last) {
            info!(id = job.id(), outcome = ?last, after_ms = job.started.elapsed().as_millis(),
                "write not sent, looking for the primary again");
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn attempt(cx: &Rc<Context>, job: &Rc<Job>) -> Result<ServedReply, SendError> {
    let target = place::primary(cx, &job.route).ok_or(SendError::NotSent(ErrorKind::NoPrimary))?;
    if target.pool.health.is_suspected() {
        return Err(SendError::NotSent(ErrorKind::NoPrimary));
    }
    let mut connection = outcome::acquire(cx, &target.pool, job).await?;
    let preceding = target.pool.health.position();
    let reply = outcome::run(cx, &mut connection, job, None).await?;
    outcome::return_if_idle(connection, &reply);
    Ok(ServedReply {
        reply,
        member: target.pool.member().name.clone(),
        floor: None,
        preceding,
    })
}
