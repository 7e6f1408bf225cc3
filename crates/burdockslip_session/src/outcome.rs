//! Sends a statement to a member and evaluates the outcome.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Route;
use burdockslip_dispatch::Rank;
use burdockslip_runtime::{Instant, now, timeout_at};
use burdockslip_statement::{Access, Command, MemberError, MemberReply};
use burdockslip_types::{ErrorKind, LogPosition, MemberName, Organisation};
use burdockslip_upstream::{
    Connection, MemberPool, PooledConnection, PreparedStatement, SessionState,
};
use bytes::Bytes;
use tracing::{debug, info, warn};

use crate::context::{Context, wait_limit};
use crate::{evacuation, pacing, pressure};

/// The minimum time for setting up a connection or starting a transaction, even if
/// the wait limit of the statement expires earlier. These commands take no slot at
/// the member.
const SETUP_TIMEOUT: Duration = Duration::from_millis(50);

/// The fraction of the latency objective within which a new connection must be open.
/// Opening takes one of the member's slots and may have to wait for one.
const CONNECT_FRACTION: f64 = 0.4;

/// What a statement executes.
#[derive(Debug, Clone)]
pub(crate) enum Work {
    /// A text, forwarded unchanged.
    Direct(Bytes),
    /// A prepared statement with its arguments.
    Prepared(PreparedStatement, Bytes),
}

/// A statement to run, with the context that it needs.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: Bytes,
    pub(crate) work: Work,
    pub(crate) access: Access,
    pub(crate) route: Rc<Route>,
    pub(crate) organisation: Organisation,
    /// The order in which the operation gives way to others.
    pub(crate) rank: Rank,
    pub(crate) state: Rc<SessionState>,
    /// The position of the session's last commit, if the route guarantees that
    /// sessions read their own writes.
    pub(crate) last_commit: Option<LogPosition>,
    pub(crate) started: Instant,
    /// Whether anything that the client asked for was sent to a member.
    pub(crate) was_sent: Cell<bool>,
}

/// A reply, with the member and floor that are logged for it.
#[derive(Debug)]
pub(crate) struct ServedReply {
    pub(crate) reply: MemberReply,
    pub(crate) member: MemberName,
    /// The position that the member's log had to have reached; `None` at the primary.
    pub(crate) floor: Option<LogPosition>,
    /// For a commit that wrote, the last position that the member had reported before.
    pub(crate) preceding: Option<LogPosition>,
}

/// Why there is no reply to a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// The statement was not sent.
    NotSent(ErrorKind),
    /// The connection was lost after the statement was sent.
    Broken,
    /// The statement was sent and timed out.
    TimedOut,
}

impl Job {
    /// Returns the request id for log lines.
    pub(crate) fn id(&self) -> &str {
        std::str::from_utf8(&self.id).unwrap_or("?")
    }

    /// Returns when the statement times out.
    pub(crate) fn deadline(&self) -> Instant {
        self.started + self.route.timeout
    }

    /// Returns until when the statement may wait for a member and a connection.
    pub(crate) fn wait_until(&self) -> Instant {
        self.started + wait_limit(&self.route)
    }

    /// Returns the text to forward: the statement, or the arguments of a prepared
    /// statement.
    pub(crate) fn text(&self) -> Bytes {
        match &self.work {
            Work::Direct(text) | Work::Prepared(_, text) => text.clone(),
        }
    }

    /// Returns the deadline for opening a new connection.
    fn connect_deadline(&self) -> Instant {
        let span = self.route.latency_objective.mul_f64(CONNECT_FRACTION);
        (self.started + span).min(self.deadline())
    }

    /// Returns the deadline for setting up a connection for the statement.
    pub(crate) fn setup_deadline(&self) -> Instant {
        self.wait_until()
            .max(now() + SETUP_TIMEOUT)
            .min(self.deadline())
    }

    fn prepared(&self) -> Option<&PreparedStatement> {
        match &self.work {
            Work::Direct(_) => None,
            Work::Prepared(statement, _) => Some(statement),
        }
    }

    fn command(&self, name: Option<Bytes>, floor: Option<LogPosition>) -> Command {
        match (&self.work, name) {
            (Work::Prepared(_, arguments), Some(name)) => Command::Execute {
                id: self.id.clone(),
                name,
                arguments: arguments.clone(),
                floor,
            },
            (Work::Direct(text) | Work::Prepared(_, text), _) => Command::Forward {
                id: self.id.clone(),
                text: text.clone(),
                floor,
            },
        }
    }
}

/// Acquires a connection from the pool of a member.
pub(crate) async fn acquire(
    cx: &Context,
    pool: &Rc<MemberPool>,
    job: &Job,
) -> Result<PooledConnection, SendError> {
    pacing::wait_for_permit(cx, pool.member(), job).await?;
    let wait_until = job.wait_until();
    let deadline = job.connect_deadline();
    let was_paused = pool.is_paused();
    let connection = if cx.pressure.is_on() {
        let claim = pressure::claim(pool, job);
        pool.acquire_in_turn(&claim, &job.state, deadline).await
    } else {
        pool.acquire(&job.organisation, &job.state, wait_until, deadline)
            .await
    };
    if let Ok(Some(waited)) = connection.as_ref().map(PooledConnection::waited) {
        cx.metrics.record_turn(&job.rank.label(), waited);
    }
    connection.map_err(|report| {
        debug!(id = job.id(), member = %pool.member().name, error = ?report, "no connection available");
        let kind = *report.current_context();
        // While opening is paused, or before it begins, the member is not asked.
        if !was_paused && (pool.is_paused() || kind == ErrorKind::ConnectionLost) {
            pressure::record_unopened(cx, pool, job, kind);
        }
        SendError::NotSent(kind)
    })
}

/// Runs a statement outside transactions.
///
/// Without a floor, the member must be the primary, and this host must have the
/// permission to use it.
pub(crate) async fn run(
    cx: &Context,
    connection: &mut PooledConnection,
    job: &Job,
    floor: Option<LogPosition>,
) -> Result<MemberReply, SendError> {
    let name = set_up(cx, connection, job).await?;
    // The permission may have expired while the connection was set up.
    if floor.is_none() && !is_confirmed_primary(cx, job, connection) {
        return Err(SendError::NotSent(ErrorKind::NoPrimary));
    }
    evacuation::check(cx, connection.member(), floor.is_none())?;
    let command = job.command(name, floor);
    send(cx, connection, job, command, job.access == Access::Write).await
}

/// Runs a statement of an open transaction. It needs no floor, because the whole
/// transaction runs at one member, whose log was checked at its start.
pub(crate) async fn run_in_transaction(
    cx: &Context,
    connection: &mut PooledConnection,
    job: &Job,
) -> Result<MemberReply, SendError> {
    let name = set_up(cx, connection, job).await?;
    let command = job.command(name, None);
    send(cx, connection, job, command, false).await
}

/// Prepares a connection for a command of the job: sets the session variables to those that
/// were acknowledged to the client, prepares the statement, whose name is returned, and takes
/// the permit for the command.
///
/// Every command of a client needs this, also one without data such as `COMMIT`: the client
/// may have set variables since its last statement, and pooled connections have those of
/// other sessions.
pub(crate) async fn set_up(
    cx: &Context,
    connection: &mut PooledConnection,
    job: &Job,
) -> Result<Option<Bytes>, SendError> {
    let commands = connection.setup_commands(&job.state, job.prepared());
    pacing::take_permits(cx, connection.member(), job, commands).await?;
    let applied = connection.apply_session(&job.state, job.prepared());
    let Ok(Ok(name)) = timeout_at(job.setup_deadline(), applied).await else {
        return Err(SendError::NotSent(ErrorKind::ConnectionLost));
    };
    pacing::take_permits(cx, connection.member(), job, 1).await?;
    Ok(name)
}

/// Returns whether the member is the primary of the group and this host has the
/// permission to use it.
pub(crate) fn is_confirmed_primary(cx: &Context, job: &Job, connection: &PooledConnection) -> bool {
    cx.permission.primary(&job.route.group).as_ref() == Some(&connection.member().name)
}

/// Sends a statement of a client and records the outcome in the health of the member.
pub(crate) async fn send(
    cx: &Context,
    connection: &mut PooledConnection,
    job: &Job,
    command: Command,
    is_commit: bool,
) -> Result<MemberReply, SendError> {
    send_until(cx, connection, job, command, is_commit, job.deadline()).await
}

/// Sends a command that takes no slot at the member, such as the start of a transaction.
pub(crate) async fn send_unqueued(
    cx: &Context,
    connection: &mut PooledConnection,
    job: &Job,
    command: Command,
) -> Result<MemberReply, SendError> {
    send_until(cx, connection, job, command, false, job.setup_deadline()).await
}

async fn send_until(
    cx: &Context,
    connection: &mut PooledConnection,
    job: &Job,
    command: Command,
    is_commit: bool,
    until: Instant,
) -> Result<MemberReply, SendError> {
    let pool = Rc::clone(connection.pool());
    let sent = now();
    let known = pool.health.position();
    pool.health.record_sent(is_commit);
    job.was_sent.set(true);
    // Other commands take no slot, so that their answers say nothing about the room.
    let takes_slot = matches!(command, Command::Forward { .. } | Command::Execute { .. });
    let outcome = timeout_at(until, connection.call(command)).await;
    pool.health
        .record_ended(is_commit, matches!(outcome, Ok(Ok(_))));
    let error = match outcome {
        Ok(Ok(reply)) if is_emptied_primary(cx, job, &pool, known, &reply) => {
            pool.health.mark_suspected();
            SendError::Broken
        }
        Ok(Ok(reply)) => {
            pool.health.record_answer(reply.position);
            pacing::record(cx, pool.member(), sent, Ok(&reply));
            record_reply(cx, &pool, job, sent, &reply);
            if takes_slot {
                pressure::record(cx, &pool, job, sent, &reply);
            }
            return Ok(reply);
        }
        Ok(Err(_)) => SendError::Broken,
        Err(_) => SendError::TimedOut,
    };
    pacing::record(cx, pool.member(), sent, Err(error));
    info!(id = job.id(), member = %pool.member().name, reason = ?error,
        after_ms = sent.elapsed().as_millis(), "statement not answered");
    Err(error)
}

/// Returns whether the primary holds less than it had reported before the command was sent.
/// It has started again without its log, and what it answers may lack commits.
fn is_emptied_primary(
    cx: &Context,
    job: &Job,
    pool: &MemberPool,
    known: Option<LogPosition>,
    reply: &MemberReply,
) -> bool {
    let member = &pool.member().name;
    let term = cx.permission.recorded_term(&job.route.group, member);
    // Positions of earlier terms may have been rolled back by another primary.
    let known = known.filter(|known| Some(known.term) == term);
    let has_shrunk = reply.position.is_some() && reply.position < known;
    if has_shrunk {
        warn!(id = job.id(), %member, ?known, position = ?reply.position,
            "primary holds less than before, its answer is not used");
    }
    has_shrunk
}

fn record_reply(cx: &Context, pool: &MemberPool, job: &Job, sent: Instant, reply: &MemberReply) {
    match reply.result {
        Ok(_) => {
            pool.health.record_latency(sent.elapsed());
            pool.health.record_failure(false);
        }
        Err(MemberError::Failed) => pool.health.record_failure(true),
        Err(MemberError::Busy) => pool.health.mark_busy(),
        Err(MemberError::Behind) => pool.health.mark_behind(),
        Err(_) => {}
    }
    let group = &job.route.group;
    let member = &pool.member().name;
    let position = reply
        .position
        .and_then(|position| cx.permission.confirm_position(group, member, position));
    if let Some(position) = position {
        cx.positions.record(group, sent, position);
    }
}

/// Returns the connection to its pool if it is not in a transaction; closes it
/// otherwise.
pub(crate) fn return_if_idle(connection: PooledConnection, reply: &MemberReply) {
    if Connection::is_reusable(reply) {
        connection.return_to_pool();
    }
}

/// Maps the error of a member to the error that the client gets.
pub(crate) const fn error_kind(error: MemberError) -> ErrorKind {
    match error {
        MemberError::Busy | MemberError::TooManyConnections => ErrorKind::QueueFull,
        MemberError::Behind => ErrorKind::NoFreshData,
        MemberError::ReadOnly => ErrorKind::NoPrimary,
        MemberError::WrongMember => ErrorKind::ConnectionLost,
        MemberError::UnknownStatement => ErrorKind::UnknownStatement,
        MemberError::Failed => ErrorKind::StatementFailed,
        MemberError::Timeout => ErrorKind::StatementTimeout,
        MemberError::Aborted => ErrorKind::TransactionAborted,
        MemberError::Other => ErrorKind::OutcomeUnknown,
    }
}
