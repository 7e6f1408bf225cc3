//! Runs single writes.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::sleep;
use burdockslip_statement::MemberError;
use burdockslip_types::ErrorKind;
use tracing::info;

use crate::context::Context;
use crate::outcome::{self, Job, Lost, Served};
use crate::place;

/// Pauses before the primary is looked for again.
const PAUSE: Duration = Duration::from_millis(10);

/// Runs a write at the primary; it is sent once.
///
/// Only an answer that proves that the write did not run lets it be sent again.
pub(crate) async fn run(cx: &Rc<Context>, job: &Rc<Job>) -> Result<Served, ErrorKind> {
    let mut known = None;
    loop {
        let last = match attempt(cx, job).await {
            Ok(served) => match served.reply.result {
                Err(MemberError::Busy) => return Err(ErrorKind::QueueFull),
                Err(failure) if failure.did_not_run() => outcome::kind_of(failure),
                _ => return Ok(served),
            },
            Err(Lost::NotSent(kind)) => kind,
            Err(Lost::Broken | Lost::TimedOut) => return Err(ErrorKind::OutcomeUnknown),
        };
        if job.patience().is_past() {
            return Err(last);
        }
        if known.replace(last) != Some(last) {
            info!(id = job.id(), outcome = ?last, after_ms = job.started.elapsed().as_millis(),
                "write not sent, looking for the primary again");
        }
        sleep(PAUSE).await;
    }
}

async fn attempt(cx: &Rc<Context>, job: &Rc<Job>) -> Result<Served, Lost> {
    let place = place::primary(cx, &job.route).ok_or(Lost::NotSent(ErrorKind::NoPrimary))?;
    if place.pool.health.is_suspected() {
        return Err(Lost::NotSent(ErrorKind::NoPrimary));
    }
    let mut lent = outcome::lend(&place.pool, job).await?;
    let reply = outcome::run(cx, &mut lent, job, None).await?;
    outcome::settle(lent, &reply);
    Ok(Served {
        reply,
        member: place.pool.member().name.clone(),
        floor: None,
    })
}
