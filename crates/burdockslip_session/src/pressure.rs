//! Refuses operations for which there is no room, and reports what became of the others.
//!
//! See `docs/design/order-under-pressure.md`.

use std::time::Duration;

use burdockslip_directory::{Consistency, Route};
use burdockslip_dispatch::{Answer, Claim, Rank};
use burdockslip_runtime::{Instant, random_range};
use burdockslip_statement::{Access, MemberError, MemberReply};
use burdockslip_types::{ErrorKind, MemberName};
use burdockslip_upstream::MemberPool;

use crate::context::Context;
use crate::outcome::Job;
use crate::place::Target;

/// The fraction of the latency objective from which an answer counts as late. The other
/// half is left to the further statements of a transaction and to the way to the client.
const LATE_FRACTION: f64 = 0.5;

/// Refuses an operation that has no chance at this host or at any member that may serve it.
///
/// This comes before the operation takes a token, a connection or a member's time.
///
/// # Errors
///
/// Returns `QueueFull`, which proves that nothing ran.
pub(crate) fn check(
    cx: &Context,
    route: &Route,
    access: Access,
    rank: Rank,
) -> Result<(), ErrorKind> {
    if !cx.pressure.is_on() {
        return Ok(());
    }
    if !cx.pressure.admits_here(rank, shortest_objective(cx, route)) {
        cx.metrics.count_pressure_refusal("host", &rank.label());
        return Err(ErrorKind::QueueFull);
    }
    if !cx.pressure.admits(&candidates(cx, route, access), rank) {
        cx.metrics.count_pressure_refusal("member", &rank.label());
        return Err(ErrorKind::QueueFull);
    }
    Ok(())
}

/// Returns whether a new session of a route can be served at this host.
pub(crate) fn admits_session(cx: &Context, route: &Route) -> bool {
    let rank = Rank::of_priority(route.priority);
    let is_admitted =
        !cx.pressure.is_on() || cx.pressure.admits_here(rank, shortest_objective(cx, route));
    if !is_admitted {
        cx.metrics.count_pressure_refusal("host", &rank.label());
    }
    is_admitted
}

/// Returns the members that may serve an operation.
fn candidates(cx: &Context, route: &Route, access: Access) -> Vec<MemberName> {
    let primary = cx.permission.primary(&route.group);
    let is_bounded = matches!(route.consistency, Consistency::Bounded { .. });
    if access == Access::Write || !is_bounded {
        return primary.into_iter().collect();
    }
    let members = cx.directory.members(&route.group).into_iter();
    members
        .filter(|member| !member.is_draining || Some(&member.name) == primary.as_ref())
        .filter(|member| !cx.pools.pool(member).health.is_suspected())
        .map(|member| member.name.clone())
        .collect()
}

/// Returns the shortest latency objective of all routes, which a busy host misses first.
fn shortest_objective(cx: &Context, route: &Route) -> Duration {
    let configuration = cx.directory.configuration();
    let shortest = configuration.and_then(|configuration| {
        let routes = configuration.routes.values();
        routes.map(|route| route.latency_objective).min()
    });
    shortest.unwrap_or(route.latency_objective)
}

/// Removes the targets under pressure that a read should leave alone, unless none would
/// be left. A read that was sent to another member before is not repeated there.
pub(crate) fn retain_calm(cx: &Context, job: &Job, targets: &mut Vec<Target>, is_repeated: bool) {
    if !cx.pressure.is_on() {
        return;
    }
    let is_pressed = |target: &Target| cx.pressure.is_pressed(&target.pool.member().name);
    if is_repeated {
        targets.retain(|target| !is_pressed(target));
        return;
    }
    let mut calm = targets.clone();
    calm.retain(|target| {
        let held = cx.pressure.held(&target.pool.member().name, job.rank);
        random_range(0..1_000) >= u64::from(held)
    });
    if !calm.is_empty() {
        *targets = calm;
    }
}

/// Returns whether a read should leave the primary to statements that only it can serve.
pub(crate) fn spares_primary(
    cx: &Context,
    job: &Job,
    primary: &Target,
    replicas: &[Target],
) -> bool {
    let limit = job.route.latency_objective.mul_f64(LATE_FRACTION);
    let replicas = replicas.iter().map(|target| {
        let pool = &target.pool;
        (pool.member().name.clone(), latency(pool))
    });
    let primary = &primary.pool.member().name;
    cx.pressure.is_on()
        && cx
            .pressure
            .spares_primary(primary, replicas, job.rank, limit)
}

/// Returns whether a read that failed with `last` at the members in `tried` should not be
/// sent again: they are under pressure and have refused it.
pub(crate) fn forbids_repeat(cx: &Context, tried: &[MemberName], last: Option<ErrorKind>) -> bool {
    let is_pressed = |member: &MemberName| cx.pressure.is_pressed(member);
    cx.pressure.is_on() && last == Some(ErrorKind::QueueFull) && tried.iter().any(is_pressed)
}

/// Counts a connection that a member did not open: without a free slot or connection it
/// refuses, or opens it too late.
pub(crate) fn record_unopened(cx: &Context, pool: &MemberPool, job: &Job, kind: ErrorKind) {
    let answer = match kind {
        ErrorKind::QueueFull => Answer::Refused,
        ErrorKind::ConnectionLost if !pool.health.is_suspected() => Answer::Late,
        _ => return,
    };
    cx.pressure.record(&pool.member().name, job.rank, answer);
}

/// Returns what a statement needs of the connections to a member.
pub(crate) fn claim(pool: &MemberPool, job: &Job) -> Claim {
    Claim {
        rank: job.rank,
        organisation: job.organisation.clone(),
        latest: job.wait_until(),
        cost: latency(pool),
    }
}

/// Returns the average latency of a member.
fn latency(pool: &MemberPool) -> Duration {
    Duration::from_secs_f64(pool.health.latency_ms().max(0.0) / 1_000.0)
}

/// Counts what became of a statement that was sent to a member.
pub(crate) fn record(
    cx: &Context,
    pool: &MemberPool,
    job: &Job,
    sent: Instant,
    reply: &MemberReply,
) {
    if !cx.pressure.is_on() {
        return;
    }
    let after = sent.elapsed();
    let answer = match reply.result {
        Ok(_) if after > job.route.latency_objective.mul_f64(LATE_FRACTION) => Some(Answer::Late),
        Ok(_) => Some(Answer::InTime(after)),
        Err(MemberError::Busy) => Some(Answer::Refused),
        Err(_) => None,
    };
    match answer {
        Some(Answer::Refused) => pool.window.narrow(),
        Some(Answer::InTime(_)) => pool.window.widen(),
        _ => {}
    }
    if let Some(answer) = answer {
        cx.pressure.record(&pool.member().name, job.rank, answer);
    }
    pool.wake_next();
}
