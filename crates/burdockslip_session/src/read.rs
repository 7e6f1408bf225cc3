//! Runs reads outside transactions.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, Task, now, sleep, sleep_until, spawn};
use burdockslip_statement::{MemberError, MemberReply};
use burdockslip_types::{ErrorKind, LogPosition, MemberName};
use futures::future::{Either, select};
use futures::stream::{FuturesUnordered, StreamExt};
use tracing::info;

use crate::context::Context;
use crate::outcome::{self, Job, SendError, ServedReply, error_kind};
use crate::place::{self, Target};
use crate::pressure;

/// The pause before members that were already tried are considered again.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// The fraction of the latency objective after which the read is also sent to a
/// second member.
const HEDGE_FRACTION: f64 = 0.5;

/// The maximum number of attempts of a read.
const MAX_ATTEMPTS: usize = 5;

struct Attempt {
    member: MemberName,
    floor: Option<LogPosition>,
    result: Result<MemberReply, SendError>,
}

/// Runs a read at one member after another until one replies.
///
/// Reads can be repeated, because they change nothing and only the first reply is
/// used.
pub(crate) async fn run(cx: &Rc<Context>, job: &Rc<Job>) -> Result<ServedReply, ErrorKind> {
    let mut tried = Vec::new();
    let mut attempts = 0;
    let mut running: FuturesUnordered<Task<Attempt>> = FuturesUnordered::new();
    let mut last = None;
    loop {
        if attempts < MAX_ATTEMPTS
            && let Some(target) = place::choose(cx, job, &tried)
        {
            attempts += 1;
            tried.push(target.pool.member().name.clone());
            running.push(spawn(attempt(Rc::clone(cx), Rc::clone(job), target)));
        } else if running.is_empty() {
            let is_final = pressure::forbids_repeat(cx, &tried, last);
            if is_final || job.wait_until().is_past() || attempts >= MAX_ATTEMPTS {
                return Err(last.unwrap_or_else(|| place::refusal_kind(cx, job)));
            }
            sleep(RETRY_PAUSE).await;
            tried.clear();
            continue;
        }
        let is_last = attempts >= MAX_ATTEMPTS || running.len() > 1;
        let Some(attempt) = next_attempt(&mut running, job, is_last).await? else {
            info!(id = job.id(), waited_ms = job.started.elapsed().as_millis(),
                members = ?tried, "read not answered, asking another member");
            continue;
        };
        match evaluate(job, attempt) {
            Ok(served) => {
                running.into_iter().for_each(Task::detach);
                return Ok(served);
            }
            Err(kind) => last = Some(kind),
        }
    }
}

/// Waits for an attempt to end. Returns `None` when it is time for a hedged attempt
/// at another member.
async fn next_attempt(
    running: &mut FuturesUnordered<Task<Attempt>>,
    job: &Job,
    is_last: bool,
) -> Result<Option<Attempt>, ErrorKind> {
    let until = if is_last {
        job.deadline()
    } else {
        hedge_deadline(job)
    };
    match select(running.next(), sleep_until(until)).await {
        Either::Left((Some(Some(attempt)), _)) => Ok(Some(attempt)),
        Either::Left(_) => Err(ErrorKind::Internal),
        Either::Right(_) if is_last => Err(ErrorKind::StatementTimeout),
        Either::Right(_) => Ok(None),
    }
}

fn hedge_deadline(job: &Job) -> Instant {
    let wait = job.route.latency_objective.mul_f64(HEDGE_FRACTION);
    (job.started + wait)
        .max(now() + wait.mul_f64(0.5))
        .min(job.deadline())
}

async fn attempt(cx: Rc<Context>, job: Rc<Job>, target: Target) -> Attempt {
    let result = try_target(&cx, &job, &target).await;
    Attempt {
        member: target.pool.member().name.clone(),
        floor: target.floor,
        result,
    }
}

async fn try_target(cx: &Context, job: &Job, target: &Target) -> Result<MemberReply, SendError> {
    let mut connection = outcome::acquire(cx, &target.pool, job).await?;
    let reply = outcome::run(cx, &mut connection, job, target.floor).await?;
    outcome::return_if_idle(connection, &reply);
    Ok(reply)
}

/// Returns the reply if it ends the read, otherwise the error of the attempt.
fn evaluate(job: &Job, attempt: Attempt) -> Result<ServedReply, ErrorKind> {
    let kind = match attempt.result {
        Ok(reply) => match reply.result {
            Ok(_) | Err(MemberError::Timeout) => {
                return Ok(ServedReply {
                    reply,
                    member: attempt.member,
                    floor: attempt.floor,
                    preceding: None,
                });
            }
            Err(error) => error_kind(error),
        },
        Err(SendError::NotSent(kind)) => kind,
        Err(SendError::Broken) => ErrorKind::ConnectionLost,
        Err(SendError::TimedOut) => ErrorKind::StatementTimeout,
    };
    info!(id = job.id(), member = %attempt.member, outcome = ?kind,
        after_ms = job.started.elapsed().as_millis(), "read tried elsewhere");
    Err(kind)
}
