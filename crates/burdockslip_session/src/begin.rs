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
use crate::outcome::{self, Job, Lost, kind_of};
use crate::place::{self, Place};

/// Pauses before a place is looked for again.
const PAUSE: Duration = Duration::from_millis(10);

/// How long a transaction that was opened ahead may wait at a replica for its
/// first statement; it has to be within the margin of the age of reads.
const EAGER_LIMIT: Duration = Duration::from_millis(100);

/// Holds a transaction that is open at a member.
#[derive(Debug)]
pub(crate) struct MemberTransaction {
    pub(crate) lent: PooledConnection,
    /// The position that the member's log had to hold at the start.
    pub(crate) floor: Option<LogPosition>,
}

/// Opens a transaction while its client gets the answer to `BEGIN` and thinks,
/// because opening a connection takes longer than most statements.
#[derive(Debug)]
pub(crate) struct EagerBegin {
    task: Task<Result<MemberTransaction, ErrorKind>>,
    started: Instant,
}

impl EagerBegin {
    /// Starts to open a transaction.
    pub(crate) fn spawn(cx: &Rc<Context>, job: Rc<Job>, access: Access) -> Self {
        let cx = Rc::clone(cx);
        Self {
            task: spawn(async move { begin(&cx, &job, access).await }),
            started: now(),
        }
    }

    /// Waits for the transaction; `None` if there is none or it is too old to
    /// be used for the first statement.
    pub(crate) async fn finish(self, cx: &Context, job: &Job) -> Option<MemberTransaction> {
        let begun = match self.task.await? {
            Ok(begun) => begun,
            Err(kind) => {
                debug!(id = job.id(), outcome = ?kind, "transaction not opened ahead");
                return None;
            }
        };
        let is_usable = match begun.floor {
            Some(_) => self.started.elapsed() < EAGER_LIMIT,
            None => outcome::may_use(cx, job, &begun.lent),
        };
        if !is_usable {
            debug!(
                id = job.id(),
                age_ms = self.started.elapsed().as_millis(),
                "transaction opened ahead not used"
            );
        }
        // Dropping the connection rolls back what was opened.
        is_usable.then_some(begun)
    }
}

/// Chooses a member and opens a transaction there.
pub(crate) async fn begin(
    cx: &Rc<Context>,
    job: &Rc<Job>,
    access: Access,
) -> Result<MemberTransaction, ErrorKind> {
    let mut tried = Vec::new();
    let mut last = None;
    loop {
        let kind = if let Some(place) = choose(cx, job, access, &tried) {
            tried.push(place.pool.member().name.clone());
            match begin_at(cx, job, access, &place).await {
                Ok(lent) => {
                    return Ok(MemberTransaction {
                        lent,
                        floor: place.floor,
                    });
                }
                Err(kind) => kind,
            }
        } else {
            tried.clear();
            place::refusal(cx, job)
        };
        if job.patience().is_past() {
            return Err(kind);
        }
        // An attempt every few milliseconds would fill the log.
        if last.replace(kind) != Some(kind) {
            info!(id = job.id(), outcome = ?kind, ?tried,
                after_ms = job.started.elapsed().as_millis(),
                "transaction not opened, trying again");
        }
        sleep(PAUSE).await;
    }
}

fn choose(cx: &Rc<Context>, job: &Rc<Job>, access: Access, tried: &[MemberName]) -> Option<Place> {
    let may_be_replica = matches!(job.route.consistency, Consistency::Bounded { .. });
    if access == Access::Read && may_be_replica {
        place::choose(cx, job, tried)
    } else {
        let place = place::primary(cx, &job.route)?;
        (!place.pool.health.is_suspected()).then_some(place)
    }
}

async fn begin_at(
    cx: &Context,
    job: &Job,
    access: Access,
    place: &Place,
) -> Result<PooledConnection, ErrorKind> {
    let lost = |lost| match lost {
        Lost::NotSent(kind) => kind,
        Lost::Broken | Lost::TimedOut => ErrorKind::ConnectionLost,
    };
    let mut lent = outcome::lend(&place.pool, job).await.map_err(lost)?;
    if place.floor.is_none() && !outcome::may_use(cx, job, &lent) {
        return Err(ErrorKind::NoPrimary);
    }
    let begin = Command::Begin {
        access,
        floor: place.floor,
    };
    let reply = outcome::send(cx, &mut lent, job, begin, false)
        .await
        .map_err(lost)?;
    match reply.result {
        Ok(_) if reply.state == TransactionStatus::Open => Ok(lent),
        Ok(_) => Err(ErrorKind::Internal),
        Err(failure) => {
            outcome::settle(lent, &reply);
            Err(kind_of(failure))
        }
    }
}
