//! Sends the messages of one unit to a database and reads the responses.

use burdockslip_group::MemberStatus;
use burdockslip_types::Result;
use burdockslip_wire::{TransactionState, close_statements, decode_state, query};
use bytes::{Bytes, BytesMut};

use super::Holder;
use super::pool::PooledConnection;
use super::release::ResponseBuffer;
use super::status;
use crate::exchange::RunUnit;

/// SQLSTATE of a duplicate key.
const UNIQUE_VIOLATION: &str = "23505";

/// The result of a unit that has run to its end.
pub(super) struct UnitOutcome {
    /// The transaction state after the unit.
    pub(super) state: TransactionState,
    /// The status that the database reported after the unit.
    pub(super) status: MemberStatus,
    /// Whether the request identifier was already recorded, so that the unit did not run.
    pub(super) is_duplicate: bool,
}

/// Sends a unit together with its marker, cleanup and status statements, and
/// forwards the response to the unit itself.
///
/// Prepared statements of a transaction stay open until its end, because
/// closing a statement also closes the cursors that were opened from it.
pub(super) async fn run_unit(
    holder: &Holder,
    connection: &mut PooledConnection,
    run: &RunUnit,
    is_pinned: bool,
    response: &mut ResponseBuffer<'_>,
) -> Result<UnitOutcome> {
    let marker = run
        .request
        .as_ref()
        .map(|request| marker_statement(holder, run, request));
    let names = if is_pinned {
        connection.statements.extend(run.statements.iter().cloned());
        &[]
    } else {
        run.statements.as_slice()
    };
    let opens_transaction = marker.is_some() && !is_pinned;
    connection.is_busy = true;
    connection
        .write(build_messages(
            holder,
            run,
            marker.as_deref(),
            names,
            opens_transaction,
        ))
        .await?;
    let mut is_duplicate = false;
    if opens_transaction {
        connection.read_result().await?;
    }
    if marker.is_some() {
        let outcome = connection.read_result().await?;
        is_duplicate = outcome
            .error
            .is_some_and(|(code, _)| code == UNIQUE_VIOLATION);
    }
    let mut state = forward_response(connection, run.injected, response).await?;
    if opens_transaction {
        state = connection.read_result().await?.state;
    }
    if !names.is_empty() {
        skip_response(connection).await?;
    }
    let status = status::read(&holder.member, &connection.read_result().await?)?;
    connection.is_busy = false;
    if state == TransactionState::Idle {
        close_transaction_statements(connection).await?;
    }
    Ok(UnitOutcome {
        state,
        status,
        is_duplicate,
    })
}

/// Closes the prepared statements of a transaction that has ended.
async fn close_transaction_statements(connection: &mut PooledConnection) -> Result<()> {
    let names = std::mem::take(&mut connection.statements);
    if names.is_empty() {
        return Ok(());
    }
    let message = close_statements(names.iter().map(String::as_str));
    connection.write(message).await?;
    skip_response(connection).await?;
    Ok(())
}

/// Concatenates all messages of a unit, so that they take one round trip.
///
/// Outside of a transaction, the marker and the unit are wrapped in one. If the
/// marker already exists, inserting it aborts this transaction and the unit
/// does not run.
fn build_messages(
    holder: &Holder,
    run: &RunUnit,
    marker: Option<&str>,
    names: &[String],
    opens_transaction: bool,
) -> Bytes {
    let mut buf = BytesMut::new();
    if opens_transaction {
        buf.extend_from_slice(&query("BEGIN"));
    }
    if let Some(marker) = marker {
        buf.extend_from_slice(&query(marker));
    }
    buf.extend_from_slice(&run.frames);
    if opens_transaction {
        buf.extend_from_slice(&query("COMMIT"));
    }
    if !names.is_empty() {
        buf.extend_from_slice(&close_statements(names.iter().map(String::as_str)));
    }
    buf.extend_from_slice(&query(&holder.options.status_statement));
    buf.freeze()
}

/// Builds the statement that records the request identifier and fails if it is already recorded.
fn marker_statement(holder: &Holder, run: &RunUnit, request: &str) -> String {
    let id = format!(
        "'{}/{request}'",
        run.organisation.as_str().replace('\'', "''")
    );
    holder.options.marker_statement.replace("{request}", &id)
}

/// Forwards messages up to `ReadyForQuery`, leaving out that message itself and
/// the first `injected` `ParseComplete` messages.
async fn forward_response(
    connection: &mut PooledConnection,
    injected: usize,
    response: &mut ResponseBuffer<'_>,
) -> Result<TransactionState> {
    let mut to_skip = injected;
    loop {
        let frame = connection.read_frame().await?;
        match frame.tag() {
            b'Z' => return decode_state(&frame),
            b'1' if to_skip > 0 => to_skip -= 1,
            // `ParameterStatus` and `NotificationResponse` concern the pooled
            // connection, not the client.
            b'S' | b'A' => {}
            _ => response.push(&frame).await?,
        }
    }
}

/// Reads and discards messages up to `ReadyForQuery`.
async fn skip_response(connection: &mut PooledConnection) -> Result<()> {
    while connection.read_frame().await?.tag() != b'Z' {}
    Ok(())
}
