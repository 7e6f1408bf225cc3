//! Runs reads outside of transactions.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, Task, now, sleep, sleep_until, spawn};
use burdockslip_statement::{MemberError, MemberReply};
use burdockslip_types::{ErrorKind, LogPosition, MemberName};
use futures::future::{Either, select};
use futures::stream::{FuturesUnordered, StreamExt};
use tracing::info;

use crate::context::Context;
use crate::outcome::{self, Job, Lost, Served, kind_of};
use crate::place::{self, Place};

/// Pauses before all members are considered again.
const PAUSE: Duration = Duration::from_millis(10);

/// The part of the objective after which a second member is asked.
const HEDGE_PART: f64 = 0.5;

/// Bounds the members that a read asks.
const MAX_ATTEMPTS: usize = 5;

struct Attempt {
    member: MemberName,
    floor: Option<LogPosition>,
    result: Result<MemberReply, Lost>,
}

/// Runs a read at one member after the other until one answers.
///
/// Reads may be repeated: they change nothing, and an answer that comes twice
/// is used once.
pub(crate) async fn run(cx: &Rc<Context>, job: &Rc<Job>) -> Result<Served, ErrorKind> {
    let mut tried = Vec::new();
    let mut attempts = 0;
    let mut running: FuturesUnordered<Task<Attempt>> = FuturesUnordered::new();
    let mut last = None;
    loop {
        if attempts < MAX_ATTEMPTS
            && let Some(place) = place::choose(cx, job, &tried)
        {
            attempts += 1;
            tried.push(place.pool.member().name.clone());
            running.push(spawn(attempt(Rc::clone(cx), Rc::clone(job), place)));
        } else if running.is_empty() {
            if job.patience().is_past() || attempts >= MAX_ATTEMPTS {
                return Err(last.unwrap_or_else(|| place::refusal(cx, job)));
            }
            sleep(PAUSE).await;
            tried.clear();
            continue;
        }
        let is_last = attempts >= MAX_ATTEMPTS || running.len() > 1;
        let Some(attempt) = next(&mut running, job, is_last).await? else {
            info!(id = job.id(), waited_ms = job.started.elapsed().as_millis(),
                members = ?tried, "read not answered, asking another member");
            continue;
        };
        match judge(job, attempt) {
            Ok(served) => {
                running.into_iter().for_each(Task::detach);
                return Ok(served);
            }
            Err(kind) => last = Some(kind),
        }
    }
}

/// Waits for an attempt to end; `None` means that another member may be asked.
async fn next(
    running: &mut FuturesUnordered<Task<Attempt>>,
    job: &Job,
    is_last: bool,
) -> Result<Option<Attempt>, ErrorKind> {
    let until = if is_last {
        job.deadline()
    } else {
        hedge_at(job)
    };
    match select(running.next(), sleep_until(until)).await {
        Either::Left((Some(Some(attempt)), _)) => Ok(Some(attempt)),
        Either::Left(_) => Err(ErrorKind::Internal),
        Either::Right(_) if is_last => Err(ErrorKind::StatementTimeout),
        Either::Right(_) => Ok(None),
    }
}

fn hedge_at(job: &Job) -> Instant {
    let wait = job.route.latency_objective.mul_f64(HEDGE_PART);
    (job.started + wait)
        .max(now() + wait.mul_f64(0.5))
        .min(job.deadline())
}

async fn attempt(cx: Rc<Context>, job: Rc<Job>, place: Place) -> Attempt {
    let result = try_place(&cx, &job, &place).await;
    Attempt {
        member: place.pool.member().name.clone(),
        floor: place.floor,
        result,
    }
}

async fn try_place(cx: &Context, job: &Job, place: &Place) -> Result<MemberReply, Lost> {
    let mut lent = outcome::lend(&place.pool, job).await?;
    let reply = outcome::run(cx, &mut lent, job, place.floor).await?;
    outcome::settle(lent, &reply);
    Ok(reply)
}

/// Decides whether an attempt ends the read; else returns why it did not.
fn judge(job: &Job, attempt: Attempt) -> Result<Served, ErrorKind> {
    let kind = match attempt.result {
        Ok(reply) => match reply.result {
            Ok(_) | Err(MemberError::Timeout) => {
                return Ok(Served {
                    reply,
                    member: attempt.member,
                    floor: attempt.floor,
                });
            }
            Err(failure) => kind_of(failure),
        },
        Err(Lost::NotSent(kind)) => kind,
        Err(Lost::Broken) => ErrorKind::ConnectionLost,
        Err(Lost::TimedOut) => ErrorKind::StatementTimeout,
    };
    info!(id = job.id(), member = %attempt.member, outcome = ?kind,
        after_ms = job.started.elapsed().as_millis(), "read tried elsewhere");
    Err(kind)
}
