//! Runs one statement at one member and reports what became of it.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Route;
use burdockslip_runtime::{Instant, now, timeout_at};
use burdockslip_statement::{Access, Command, MemberError, MemberReply};
use burdockslip_types::{ErrorKind, LogPosition, MemberName, Organisation};
use burdockslip_upstream::{
    Connection, MemberPool, PooledConnection, PreparedStatement, SessionState,
};
use bytes::Bytes;
use tracing::{debug, info};

use crate::context::{Context, patience};

/// Bounds the preparation of a connection and the start of a transaction,
/// which take no slot at the member, beyond the time to wait for a place.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(50);

/// The part of the objective in which a new connection must be open. Opening
/// takes one of the member's slots, for which it may have to wait.
const CONNECT_PART: f64 = 0.4;

/// Says what a statement runs.
#[derive(Debug, Clone)]
pub(crate) enum Work {
    /// A text, passed on unchanged.
    Direct(Bytes),
    /// A prepared statement with its arguments.
    Prepared(PreparedStatement, Bytes),
}

/// Holds a statement that is to run.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: Bytes,
    pub(crate) work: Work,
    pub(crate) access: Access,
    pub(crate) route: Rc<Route>,
    pub(crate) organisation: Organisation,
    pub(crate) state: Rc<SessionState>,
    /// The position of the session's last commit, if the class reads its own writes.
    pub(crate) own: Option<LogPosition>,
    pub(crate) started: Instant,
}

/// Holds a reply with what is logged about it.
#[derive(Debug)]
pub(crate) struct Served {
    pub(crate) reply: MemberReply,
    pub(crate) member: MemberName,
    /// The position that the member's log had to hold.
    pub(crate) floor: Option<LogPosition>,
}

/// Says why there is no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lost {
    /// The statement was not sent.
    NotSent(ErrorKind),
    /// The connection broke after the statement was sent.
    Broken,
    /// The time ran out after the statement was sent.
    TimedOut,
}

impl Job {
    /// Returns the request id for log lines.
    pub(crate) fn id(&self) -> &str {
        std::str::from_utf8(&self.id).unwrap_or("?")
    }

    /// Returns the moment at which the statement's time runs out.
    pub(crate) fn deadline(&self) -> Instant {
        self.started + self.route.timeout
    }

    /// Returns the moment until which the statement may wait for a place.
    pub(crate) fn patience(&self) -> Instant {
        self.started + patience(&self.route)
    }

    /// Returns the client's text, for statements that are passed on as they are.
    pub(crate) fn text(&self) -> Bytes {
        match &self.work {
            Work::Direct(text) | Work::Prepared(_, text) => text.clone(),
        }
    }

    /// Returns the moment by which a new connection must be open.
    fn connected_by(&self) -> Instant {
        let span = self.route.latency_objective.mul_f64(CONNECT_PART);
        (self.started + span).min(self.deadline())
    }

    /// Returns the moment by which a connection must be ready for the statement.
    pub(crate) fn prepared_by(&self) -> Instant {
        self.patience()
            .max(now() + PREPARE_TIMEOUT)
            .min(self.deadline())
    }

    fn statement(&self) -> Option<&PreparedStatement> {
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

/// Lends a connection to a member.
pub(crate) async fn lend(pool: &Rc<MemberPool>, job: &Job) -> Result<PooledConnection, Lost> {
    let patience = job.patience();
    let deadline = job.connected_by();
    let lent = pool
        .acquire(&job.organisation, &job.state, patience, deadline)
        .await;
    lent.map_err(|report| {
        debug!(id = job.id(), member = %pool.member().name, error = ?report, "no connection");
        Lost::NotSent(*report.current_context())
    })
}

/// Runs a statement outside of transactions on a lent connection.
///
/// Without a floor only the primary may answer, and only while this host has
/// the permission to use it.
pub(crate) async fn run(
    cx: &Context,
    lent: &mut PooledConnection,
    job: &Job,
    floor: Option<LogPosition>,
) -> Result<MemberReply, Lost> {
    let name = adopt(lent, job).await?;
    // The permission may have ended while the connection was made ready.
    if floor.is_none() && !may_use(cx, job, lent) {
        return Err(Lost::NotSent(ErrorKind::NoPrimary));
    }
    let command = job.command(name, floor);
    send(cx, lent, job, command, job.access == Access::Write).await
}

/// Runs a statement of a transaction, which sees one log throughout.
pub(crate) async fn run_pinned(
    cx: &Context,
    lent: &mut PooledConnection,
    job: &Job,
) -> Result<MemberReply, Lost> {
    let name = adopt(lent, job).await?;
    let command = job.command(name, None);
    send(cx, lent, job, command, false).await
}

/// Gives the connection the session's values and its prepared statement.
async fn adopt(lent: &mut PooledConnection, job: &Job) -> Result<Option<Bytes>, Lost> {
    match timeout_at(
        job.prepared_by(),
        lent.apply_session(&job.state, job.statement()),
    )
    .await
    {
        Ok(Ok(name)) => Ok(name),
        Ok(Err(_)) | Err(_) => Err(Lost::NotSent(ErrorKind::ConnectionLost)),
    }
}

/// Returns whether the member is the group's primary and may be used.
pub(crate) fn may_use(cx: &Context, job: &Job, lent: &PooledConnection) -> bool {
    cx.permission.primary(&job.route.group).as_ref() == Some(&lent.member().name)
}

/// Sends a statement of a client and notes what its answer tells about the member.
pub(crate) async fn send(
    cx: &Context,
    lent: &mut PooledConnection,
    job: &Job,
    command: Command,
    is_commit: bool,
) -> Result<MemberReply, Lost> {
    send_until(cx, lent, job, command, is_commit, job.deadline()).await
}

/// Sends a command that takes no slot at the member, such as the start of a transaction.
pub(crate) async fn send_quick(
    cx: &Context,
    lent: &mut PooledConnection,
    job: &Job,
    command: Command,
) -> Result<MemberReply, Lost> {
    send_until(cx, lent, job, command, false, job.prepared_by()).await
}

async fn send_until(
    cx: &Context,
    lent: &mut PooledConnection,
    job: &Job,
    command: Command,
    is_commit: bool,
    until: Instant,
) -> Result<MemberReply, Lost> {
    let pool = Rc::clone(lent.pool());
    let sent = now();
    pool.health.record_sent(is_commit);
    let outcome = timeout_at(until, lent.call(command)).await;
    pool.health
        .record_ended(is_commit, matches!(outcome, Ok(Ok(_))));
    let lost = match outcome {
        Ok(Ok(reply)) => {
            pool.health.record_answer(reply.position);
            note(cx, &pool, job, sent, &reply);
            return Ok(reply);
        }
        Ok(Err(_)) => Lost::Broken,
        Err(_) => Lost::TimedOut,
    };
    info!(id = job.id(), member = %pool.member().name, reason = ?lost,
        after_ms = sent.elapsed().as_millis(), "statement not answered");
    Err(lost)
}

fn note(cx: &Context, pool: &MemberPool, job: &Job, sent: Instant, reply: &MemberReply) {
    match reply.result {
        Ok(_) => pool.health.record_latency(sent.elapsed()),
        Err(MemberError::Busy) => pool.health.mark_busy(),
        Err(MemberError::Behind) => pool.health.mark_behind(),
        Err(_) => {}
    }
    let group = &job.route.group;
    let member = &pool.member().name;
    let mark = reply
        .position
        .and_then(|mark| cx.permission.confirm_mark(group, member, mark));
    if let Some(mark) = mark {
        cx.positions.record(group, sent, mark);
    }
}

/// Gives a connection back if it is outside of transactions, else closes it.
pub(crate) fn settle(lent: PooledConnection, reply: &MemberReply) {
    if Connection::is_reusable(reply) {
        lent.return_to_pool();
    }
}

/// Maps a member's failure to the error that the client gets.
pub(crate) const fn kind_of(failure: MemberError) -> ErrorKind {
    match failure {
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
