//! Runs one unit on a connection of the pool.

use burdockslip_group::Status;
use burdockslip_runtime::{Instant, now, timeout_at};
use burdockslip_types::{ErrorKind, Mark, Result};
use burdockslip_wire::{TransactionState, close_statements, decode_state, query};
use bytes::{Bytes, BytesMut};
use error_stack::Report;
use futures::SinkExt;
use futures::channel::mpsc;

use super::Holder;
use super::pool::Pooled;
use super::route::{self, Check};
use super::status;
use crate::exchange::{Done, Event, Failed, Run};

/// Size of the parts in which an answer is passed on, in bytes.
const PART_LEN: usize = 64 * 1024;
/// SQLSTATE of a duplicate key.
const UNIQUE_VIOLATION: &str = "23505";

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
    let check = if pinned.is_some() {
        route::check_pinned(holder)?
    } else {
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
    let answer = timeout_at(deadline, converse(holder, &mut connection, &run, is_pinned))
        .await
        .map_err(|_| Failed::sent("deadline exceeded while the database worked"))?
        .map_err(|report| sent(&report))?;
    drop(permit);
    let state = answer.state;
    settle(connection, state, pinned);
    if answer.is_duplicate {
        return Err(Failed::not_sent(ErrorKind::AlreadyRun, ""));
    }
    let mark = confirm(holder, &check, &answer, deadline).await?;
    for part in parts(answer.bytes) {
        events
            .send(Event::Part(part))
            .await
            .map_err(|_| Failed::sent("the endpoint has gone"))?;
    }
    Ok(Done { mark, state })
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
) -> Result<Option<Mark>, Failed> {
    if answer.state != TransactionState::Idle {
        return Ok(None);
    }
    let mark = answer.status.mark;
    route::verify(holder, check, mark, deadline).await?;
    Ok(Some(mark))
}

/// Holds the whole answer to a unit.
struct Answer {
    bytes: Bytes,
    state: TransactionState,
    status: Status,
    is_duplicate: bool,
}

fn not_sent(report: &Report<ErrorKind>) -> Failed {
    Failed::not_sent(*report.current_context(), "")
}

fn sent(report: &Report<ErrorKind>) -> Failed {
    Failed::sent(report.current_context().to_string())
}

/// Returns a clean connection to the pool, or keeps it for an open transaction.
fn settle(connection: Pooled, state: TransactionState, pinned: &mut Option<Pooled>) {
    match state {
        TransactionState::Idle if connection.has_unread() => drop(connection),
        TransactionState::Idle => connection.recycle(),
        TransactionState::Open | TransactionState::Failed => *pinned = Some(connection),
    }
}

/// Sends the unit with all that goes along with it, and reads the answers.
///
/// Inside a transaction prepared statements stay until its end, because
/// closing one also closes the cursors that were opened from it.
async fn converse(
    holder: &Holder,
    connection: &mut Pooled,
    run: &Run,
    is_pinned: bool,
) -> Result<Answer> {
    let marker = run
        .request
        .as_ref()
        .map(|request| marker_statement(holder, run, request));
    let names = if is_pinned {
        connection.names.extend(run.names.iter().cloned());
        &[]
    } else {
        run.names.as_slice()
    };
    let has_own = marker.is_some() && !is_pinned;
    connection
        .write(compose(holder, run, marker.as_deref(), names, has_own))
        .await?;
    let mut is_duplicate = false;
    if has_own {
        connection.read_outcome().await?;
    }
    if marker.is_some() {
        let outcome = connection.read_outcome().await?;
        is_duplicate = outcome
            .error
            .is_some_and(|(code, _)| code == UNIQUE_VIOLATION);
    }
    let (bytes, mut state) = read_answer(connection, run.injected).await?;
    if has_own {
        state = connection.read_outcome().await?.state;
    }
    if !names.is_empty() {
        read_answer(connection, 0).await?;
    }
    let status = status::read(&holder.member, &connection.read_outcome().await?)?;
    if state == TransactionState::Idle {
        close_names(connection).await?;
    }
    Ok(Answer {
        bytes,
        state,
        status,
        is_duplicate,
    })
}

/// Closes the prepared statements of a transaction that has ended.
async fn close_names(connection: &mut Pooled) -> Result<()> {
    let names = std::mem::take(&mut connection.names);
    if names.is_empty() {
        return Ok(());
    }
    let message = close_statements(names.iter().map(String::as_str));
    connection.write(message).await?;
    read_answer(connection, 0).await?;
    Ok(())
}

/// Joins all messages of a unit, so that they cost one round trip.
///
/// A marker outside of a transaction gets one of its own around the unit. If
/// the marker exists, the unit fails with the transaction and does not run.
fn compose(
    holder: &Holder,
    run: &Run,
    marker: Option<&str>,
    names: &[String],
    has_own: bool,
) -> Bytes {
    let mut buf = BytesMut::new();
    if has_own {
        buf.extend_from_slice(&query("BEGIN"));
    }
    if let Some(marker) = marker {
        buf.extend_from_slice(&query(marker));
    }
    buf.extend_from_slice(&run.frames);
    if has_own {
        buf.extend_from_slice(&query("COMMIT"));
    }
    if !names.is_empty() {
        buf.extend_from_slice(&close_statements(names.iter().map(String::as_str)));
    }
    buf.extend_from_slice(&query(&holder.options.status_statement));
    buf.freeze()
}

/// Builds the statement that fails if the request has run before.
fn marker_statement(holder: &Holder, run: &Run, request: &str) -> String {
    let id = format!(
        "'{}/{request}'",
        run.organisation.as_str().replace('\'', "''")
    );
    holder.options.marker_statement.replace("{request}", &id)
}

/// Reads messages up to `ReadyForQuery`, without it and without injected completions.
async fn read_answer(
    connection: &mut Pooled,
    injected: usize,
) -> Result<(Bytes, TransactionState)> {
    let mut buf = BytesMut::new();
    let mut to_drop = injected;
    loop {
        let frame = connection.read_frame().await?;
        match frame.tag() {
            b'Z' => return Ok((buf.freeze(), decode_state(&frame)?)),
            b'1' if to_drop > 0 => to_drop -= 1,
            // Changes of a parameter and notifications belong to the connection.
            b'S' | b'A' => {}
            _ => buf.extend_from_slice(frame.bytes()),
        }
    }
}

/// Splits an answer into parts that fit into one message between hosts.
fn parts(mut bytes: Bytes) -> impl Iterator<Item = Bytes> {
    std::iter::from_fn(move || {
        let len = bytes.len().min(PART_LEN);
        (len > 0).then(|| bytes.split_to(len))
    })
}
