//! Decides, runs, confirms and releases one unit.

use burdockslip_runtime::{Instant, now, timeout_at};
use burdockslip_types::{ErrorKind, LogPosition, Result};
use burdockslip_wire::TransactionState;
use error_stack::Report;
use futures::channel::mpsc;

use super::Holder;
use super::converse::{Answer, converse};
use super::pool::Pooled;
use super::release::Release;
use super::route::{self, Check};
use crate::exchange::{Done, EXPIRED, Event, Failed, Run};

/// Runs `run` and passes its answer on.
///
/// A transaction leaves its connection in `pinned`, where the next unit of the
/// same conversation finds it.
pub(super) async fn execute(
    holder: &Holder,
    pinned: &mut Option<Pooled>,
    run: Run,
    events: &mut mpsc::Sender<Event>,
) -> Result<Done, Failed> {
    let deadline = now() + run.remaining;
    check_rate(holder, &run, pinned.is_some())?;
    let mut check = if pinned.is_some() {
        route::check_pinned(holder)?
    } else {
        // Waits before it takes a slot, so that writes without a primary do
        // not keep reads from this member.
        route::admit(holder, &run, deadline).await?
    };
    let permit = holder
        .gate
        .acquire(&run.organisation, run.priority, deadline)
        .await
        .map_err(|report| not_sent(&report))?;
    let (mut connection, is_pinned) = match pinned.take() {
        Some(connection) => (connection, true),
        None => (take(holder, deadline).await?, false),
    };
    if !is_pinned && route::is_outdated(holder, &check) {
        check = route::admit(holder, &run, deadline).await?;
    }
    let mut release = Release::new(holder, &run, &check, is_pinned, events);
    let conversation = converse(holder, &mut connection, &run, is_pinned, &mut release);
    let answer = timeout_at(deadline, conversation)
        .await
        .map_err(|_| Failed::sent("deadline exceeded while the database worked"))?
        .map_err(|report| sent(&report))?;
    drop(permit);
    let state = answer.state;
    return_connection(connection, state, pinned);
    let mark = confirm(holder, &check, &answer, deadline).await?;
    if answer.is_duplicate {
        return Err(Failed::not_sent(ErrorKind::AlreadyRun, ""));
    }
    release.finish().await.map_err(|report| sent(&report))?;
    Ok(Done { mark, state })
}

/// Checks on arrival that the permission of the request has not expired.
///
/// A host that resumes after a pause would otherwise spend tokens that the
/// authority has granted again since.
fn check_rate(holder: &Holder, run: &Run, is_pinned: bool) -> Result<(), Failed> {
    let is_valid = match &run.proof {
        Some(proof) => holder.stamps.is_valid(proof),
        None => is_pinned,
    };
    if is_valid {
        Ok(())
    } else {
        Err(Failed::not_sent(ErrorKind::RateExceeded, EXPIRED))
    }
}

/// Takes a connection from the pool.
async fn take(holder: &Holder, deadline: Instant) -> Result<Pooled, Failed> {
    let taken = holder.pool.take(deadline).await;
    taken.map_err(|report| not_sent(&report))
}

/// Confirms the mark of an answer, unless a transaction is still open: what it
/// has read counts only when its end is confirmed.
async fn confirm(
    holder: &Holder,
    check: &Check,
    answer: &Answer,
    deadline: Instant,
) -> Result<Option<LogPosition>, Failed> {
    if answer.state != TransactionState::Idle {
        return Ok(None);
    }
    let mark = answer.status.position;
    route::verify(holder, check, mark, deadline).await?;
    Ok(Some(mark))
}

fn not_sent(report: &Report<ErrorKind>) -> Failed {
    Failed::not_sent(*report.current_context(), "")
}

fn sent(report: &Report<ErrorKind>) -> Failed {
    Failed::sent(report.current_context().to_string())
}

/// Returns a clean connection to the pool, or keeps it for an open transaction.
fn return_connection(connection: Pooled, state: TransactionState, pinned: &mut Option<Pooled>) {
    match state {
        TransactionState::Idle if connection.has_unread() => drop(connection),
        TransactionState::Idle => connection.recycle(),
        TransactionState::Open | TransactionState::Failed => *pinned = Some(connection),
    }
}
