//! Opens transactions at members.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Consistency;
use burdockslip_runtime::{Instant, Task, now, sleep, spawn};
use burdockslip_statement::{Access, Command, TransactionStatus};
use burdockslip_types::{ErrorKind, LogPosition, MemberName};
use burdockslip_upstream::PooledConnection;
use tracing::{debug, info};

use crate::context::Context;
use crate::evacuation;
use crate::outcome::{self, Job, SendError, error_kind};
use crate::pacing;
use crate::place::{self, Target};

/// The pause before another attempt to choose a member.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// How old an eagerly opened transaction at a replica may be when its first
/// statement runs. It must not exceed the margin that is subtracted from the
/// maximum age of reads (`AGE_MARGIN` in `freshness.rs`).
const EAGER_MAX_AGE: Duration = Duration::from_millis(100);

/// A transaction that is open at a member.
#[derive(Debug)]
pub(crate) struct MemberTransaction {
    pub(crate) connection: PooledConnection,
    /// The position that the member's log had to have reached when the transaction
    /// was opened; `None` at the primary.
    pub(crate) floor: Option<LogPosition>,
}

/// A transaction that is being opened before its first statement arrives.
///
/// Opening a connection takes longer than most statements, so it starts while the
/// response to `BEGIN` is on its way to the client.
#[derive(Debug)]
pub(crate) struct EagerBegin {
    task: Task<Result<MemberTransaction, ErrorKind>>,
    started: Instant,
}

impl EagerBegin {
    /// Starts to open a transaction in the background.
    pub(crate) fn spawn(cx: &Rc<Context>, job: Rc<Job>, access: Access) -> Self {
        let cx = Rc::clone(cx);
        Self {
            task: spawn(async move { begin(&cx, &job, access).await }),
            started: now(),
        }
    }

    /// Waits for the transaction. Returns `None` if it could not be opened, if it is
    /// too old, or if the member may no longer be used as primary.
    pub(crate) async fn finish(self, cx: &Context, job: &Job) -> Option<MemberTransaction> {
        let begun = match self.task.await? {
            Ok(begun) => begun,
            Err(kind) => {
                debug!(id = job.id(), outcome = ?kind, "eager transaction not opened");
                return None;
            }
        };
        let is_usable = match begun.floor {
            Some(_) => self.started.elapsed() < EAGER_MAX_AGE,
            None => outcome::is_confirmed_primary(cx, job, &begun.connection),
        };
        let member = begun.connection.member();
        let is_usable = is_usable && evacuation::check(cx, member, begun.floor.is_none()).is_ok();
        if !is_usable {
            debug!(
                id = job.id(),
                age_ms = self.started.elapsed().as_millis(),
                "eager transaction discarded"
            );
        }
        // Dropping the connection rolls back a discarded transaction.
        is_usable.then_some(begun)
    }
}

/// Chooses a member and opens a transaction there, retrying until the wait limit.
pub(crate) async fn begin(
    cx: &Rc<Context>,
    job: &Rc<Job>,
    access: Access,
) -> Result<MemberTransaction, ErrorKind> {
    let mut tried = Vec::new();
    let mut last = None;
    loop {
        let kind = if let Some(target) = choose(cx, job, access, &tried) {
            tried.push(target.pool.member().name.clone());
            match begin_at(cx, job, access, &target).await {
                Ok(connection) => {
                    return Ok(MemberTransaction {
                        connection,
                        floor: target.floor,
                    });
                }
                Err(kind) => kind,
            }
        } else {
            tried.clear();
            place::refusal_kind(cx, job)
        };
        let is_exhausted = || pacing::is_primary_exhausted(cx, &job.route, job.started);
        let is_refused = kind == ErrorKind::QueueFull
            && place::needs_primary(&job.route, access)
            && is_exhausted();
        if job.wait_until().is_past() || is_refused {
            return Err(kind);
        }
        // Log only changes of the error: there is an attempt every few milliseconds.
        if last.replace(kind) != Some(kind) {
            info!(id = job.id(), outcome = ?kind, ?tried,
                after_ms = job.started.elapsed().as_millis(),
                "transaction not opened, trying again");
        }
        sleep(RETRY_PAUSE).await;
    }
}

fn choose(cx: &Rc<Context>, job: &Rc<Job>, access: Access, tried: &[MemberName]) -> Option<Target> {
    let may_be_replica = matches!(job.route.consistency, Consistency::Bounded { .. });
    if access == Access::Read && may_be_replica {
        place::choose(cx, job, tried)
    } else {
        let target = place::primary(cx, &job.route)?;
        (!target.pool.health.is_suspected()).then_some(target)
    }
}

async fn begin_at(
    cx: &Context,
    job: &Job,
    access: Access,
    target: &Target,
) -> Result<PooledConnection, ErrorKind> {
    let kind = |error| match error {
        SendError::NotSent(kind) => kind,
        SendError::Broken | SendError::TimedOut => ErrorKind::ConnectionLost,
    };
    let mut connection = outcome::acquire(cx, &target.pool, job)
        .await
        .map_err(kind)?;
    outcome::set_up(cx, &mut connection, job)
        .await
        .map_err(kind)?;
    if target.floor.is_none() && !outcome::is_confirmed_primary(cx, job, &connection) {
        return Err(ErrorKind::NoPrimary);
    }
    evacuation::check(cx, connection.member(), target.floor.is_none()).map_err(kind)?;
    let begin = Command::Begin {
        access,
        floor: target.floor,
    };
    let reply = outcome::send(cx, &mut connection, job, begin, false)
        .await
        .map_err(kind)?;
    match reply.result {
        Ok(_) if reply.state == TransactionStatus::Open => Ok(connection),
        Ok(_) => Err(ErrorKind::Internal),
        Err(error) => {
            outcome::return_if_idle(connection, &reply);
            Err(error_kind(error))
        }
    }
}
