//! Runs one unit: checks, queueing, execution, confirmation and the answer.

use burdockslip_runtime::{Instant, now, timeout_at};
use burdockslip_types::{ErrorKind, LogPosition, Result};
use burdockslip_wire::TransactionState;
use error_stack::Report;
use futures::channel::mpsc;

use super::Holder;
use super::converse::{UnitOutcome, run_unit};
use super::pool::PooledConnection;
use super::release::ResponseBuffer;
use super::route::{self, Check};
use crate::exchange::{Done, Event, Failure, PERMISSION_EXPIRED, RunUnit};

/// Runs one unit and forwards its answer to the endpoint.
///
/// While a transaction is open, its connection stays in `pinned` for the next
/// unit of the same conversation.
pub(super) async fn execute(
    holder: &Holder,
    pinned: &mut Option<PooledConnection>,
    run: RunUnit,
    events: &mut mpsc::Sender<Event>,
) -> Result<Done, Failure> {
    let deadline = now() + run.remaining;
    check_permission(holder, &run, pinned.is_some())?;
    let mut check = if pinned.is_some() {
        route::check_pinned(holder)?
    } else {
        // Waits for a primary before taking a slot. Otherwise, writes that
        // wait for a primary would block reads from this member.
        route::check_member(holder, &run, deadline).await?
    };
    let slot = holder
        .queue
        .acquire(&run.organisation, run.priority, deadline)
        .await
        .map_err(|report| not_sent(&report))?;
    let (mut connection, is_pinned) = match pinned.take() {
        Some(connection) => (connection, true),
        None => (take(holder, deadline).await?, false),
    };
    if !is_pinned && route::is_outdated(holder, &check) {
        check = route::check_member(holder, &run, deadline).await?;
    }
    let mut response = ResponseBuffer::new(holder, &run, &check, is_pinned, events);
    let running = run_unit(holder, &mut connection, &run, is_pinned, &mut response);
    let outcome = timeout_at(deadline, running)
        .await
        .map_err(|_| Failure::sent("deadline exceeded while the database worked"))?
        .map_err(|report| sent(&report))?;
    drop(slot);
    let state = outcome.state;
    return_connection(connection, state, pinned);
    let position = confirm_position(holder, &check, &outcome, deadline).await?;
    if outcome.is_duplicate {
        return Err(Failure::not_sent(ErrorKind::AlreadyRun, ""));
    }
    response.flush().await.map_err(|report| sent(&report))?;
    Ok(Done { position, state })
}

/// Checks that the permission of the request has not expired on arrival.
///
/// Without this check, a host that resumes after a pause could spend tokens
/// that the rate authority has granted to others in the meantime.
fn check_permission(holder: &Holder, run: &RunUnit, is_pinned: bool) -> Result<(), Failure> {
    let is_valid = match &run.proof {
        Some(proof) => holder.stamps.is_valid(proof),
        None => is_pinned,
    };
    if is_valid {
        Ok(())
    } else {
        Err(Failure::not_sent(
            ErrorKind::RateExceeded,
            PERMISSION_EXPIRED,
        ))
    }
}

/// Takes a connection from the pool, or opens a new one.
async fn take(holder: &Holder, deadline: Instant) -> Result<PooledConnection, Failure> {
    let taken = holder.pool.take(deadline).await;
    taken.map_err(|report| not_sent(&report))
}

/// Waits until a majority has confirmed the log position after the unit, and
/// returns it.
///
/// Returns `None` while a transaction is open: its reads are confirmed together
/// with its end.
async fn confirm_position(
    holder: &Holder,
    check: &Check,
    outcome: &UnitOutcome,
    deadline: Instant,
) -> Result<Option<LogPosition>, Failure> {
    if outcome.state != TransactionState::Idle {
        return Ok(None);
    }
    let position = outcome.status.position;
    route::verify(holder, check, position, deadline).await?;
    Ok(Some(position))
}

fn not_sent(report: &Report<ErrorKind>) -> Failure {
    Failure::not_sent(*report.current_context(), "")
}

fn sent(report: &Report<ErrorKind>) -> Failure {
    Failure::sent(report.current_context().to_string())
}

/// Returns a connection to the pool, or keeps it for an open transaction.
///
/// A connection with unread bytes is closed.
fn return_connection(
    connection: PooledConnection,
    state: TransactionState,
    pinned: &mut Option<PooledConnection>,
) {
    match state {
        TransactionState::Idle if connection.has_unread() => drop(connection),
        TransactionState::Idle => connection.recycle(),
        TransactionState::Open | TransactionState::Failed => *pinned = Some(connection),
    }
}
