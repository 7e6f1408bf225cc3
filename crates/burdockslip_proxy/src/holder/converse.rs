//! Exchanges the messages of one unit with a database.

use burdockslip_group::MemberStatus;
use burdockslip_types::Result;
use burdockslip_wire::{TransactionState, close_statements, decode_state, query};
use bytes::{Bytes, BytesMut};

use super::Holder;
use super::pool::Pooled;
use super::release::Release;
use super::status;
use crate::exchange::Run;

/// SQLSTATE of a duplicate key.
const UNIQUE_VIOLATION: &str = "23505";

/// Says how the database answered a unit.
pub(super) struct Answer {
    /// The transaction state after the unit.
    pub(super) state: TransactionState,
    /// The database's status after the unit.
    pub(super) status: MemberStatus,
    /// Whether the request identifier was there already, so that the unit did not run.
    pub(super) is_duplicate: bool,
}

/// Sends the unit with all that goes along with it, and reads the answers.
///
/// Inside a transaction prepared statements stay until its end, because
/// closing one also closes the cursors that were opened from it.
pub(super) async fn converse(
    holder: &Holder,
    connection: &mut Pooled,
    run: &Run,
    is_pinned: bool,
    release: &mut Release<'_>,
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
    connection.is_busy = true;
    connection
        .write(compose(holder, run, marker.as_deref(), names, has_own))
        .await?;
    let mut is_duplicate = false;
    if has_own {
        connection.read_result().await?;
    }
    if marker.is_some() {
        let outcome = connection.read_result().await?;
        is_duplicate = outcome
            .error
            .is_some_and(|(code, _)| code == UNIQUE_VIOLATION);
    }
    let mut state = relay_answer(connection, run.injected, release).await?;
    if has_own {
        state = connection.read_result().await?.state;
    }
    if !names.is_empty() {
        skip_answer(connection).await?;
    }
    let status = status::read(&holder.member, &connection.read_result().await?)?;
    connection.is_busy = false;
    if state == TransactionState::Idle {
        close_names(connection).await?;
    }
    Ok(Answer {
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
    skip_answer(connection).await?;
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

/// Passes messages up to `ReadyForQuery` on, without it and without injected completions.
async fn relay_answer(
    connection: &mut Pooled,
    injected: usize,
    release: &mut Release<'_>,
) -> Result<TransactionState> {
    let mut to_drop = injected;
    loop {
        let frame = connection.read_frame().await?;
        match frame.tag() {
            b'Z' => return decode_state(&frame),
            b'1' if to_drop > 0 => to_drop -= 1,
            // Changes of a parameter and notifications belong to the connection.
            b'S' | b'A' => {}
            _ => release.push(&frame).await?,
        }
    }
}

/// Reads messages that nobody needs, up to `ReadyForQuery`.
async fn skip_answer(connection: &mut Pooled) -> Result<()> {
    while connection.read_frame().await?.tag() != b'Z' {}
    Ok(())
}
