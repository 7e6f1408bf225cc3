//! Chooses the member that runs a statement.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Consistency, Role, Route};
use burdockslip_runtime::{Instant, random_range, sleep};
use burdockslip_statement::Access;
use burdockslip_types::{ErrorKind, LogPosition, MemberName};
use burdockslip_upstream::MemberPool;

use crate::context::{Context, wait_limit};
use crate::outcome::Job;
use crate::{evacuation, pacing, position, pressure, receipt};

/// The factor on the cost of the primary for reads that a replica can also serve,
/// because only the primary can serve writes.
const PRIMARY_WEIGHT: f64 = 1.6;

/// The cost of opening a connection, in milliseconds. Opening takes a slot of the
/// member for about 12 ms, which also delays other statements.
const CONNECT_COST_MS: f64 = 30.0;

/// The cost of a failed answer beside the time until it arrives, in milliseconds: the
/// client may have to send its operation again.
const FAILURE_COST_MS: f64 = 100.0;

/// The fraction of answers that counts as successful at least.
const MIN_SUCCESS: f64 = 0.05;

/// The random factor on costs, in percent, so that hosts do not all choose the same
/// member.
const JITTER_PERCENT: (u64, u64) = (100, 130);

/// The age of the last known position above which a host queries the primary
/// itself, because the coordinator has not sent a newer one. Reads use positions up
/// to 1.3 s old.
const REFRESH_AGE: Duration = Duration::from_millis(900);

/// How long a primary is used after its planned end became known. A member that leaves
/// must get nothing 7 s after its report, and a host with silent connections learns of
/// the report up to 4.5 s later. The coordinator usually replaces it long before.
const DRAINING_LIMIT: Duration = Duration::from_secs(2);

/// The pause before the primary is looked up again.
const PRIMARY_PAUSE: Duration = Duration::from_millis(10);

/// A member chosen for a statement, with the position that its log must have reached;
/// the floor is `None` at the primary.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) pool: Rc<MemberPool>,
    pub(crate) floor: Option<LogPosition>,
}

/// Returns the primary of the route's group if this host has the permission to use it and
/// it is neither about to exit nor in an availability zone that must get nothing more.
pub(crate) fn primary(cx: &Context, route: &Route) -> Option<Target> {
    let name = cx.permission.primary(&route.group)?;
    let draining_for = cx.directory.draining_for(&name);
    if draining_for.is_some_and(|span| span > DRAINING_LIMIT) {
        return None;
    }
    let member = cx.directory.member(&name)?;
    if !cx.may_start(&member, Role::Primary) {
        return None;
    }
    Some(Target {
        pool: cx.pools.pool(&member),
        floor: None,
    })
}

/// Waits until an operation can be served, which is at once unless it needs a primary
/// that is not usable.
///
/// This comes before the operation takes a token: during a change of primary the
/// attempts of all clients would otherwise use up the rates of their organisations.
///
/// # Errors
///
/// Returns `NoPrimary` if there is no usable primary within the wait limit, and at once if
/// only members of evacuated zones could run the operation. Returns `QueueFull` if the
/// primary is paced and has no room left.
pub(crate) async fn wait_until_servable(
    cx: &Context,
    route: &Route,
    access: Access,
    started: Instant,
) -> Result<(), ErrorKind> {
    if evacuation::excludes(cx, route, access) {
        return Err(ErrorKind::NoPrimary);
    }
    let until = started + wait_limit(route);
    while needs_primary(route, access) && !has_usable_primary(cx, route, access) {
        if until.is_past() {
            return Err(ErrorKind::NoPrimary);
        }
        sleep(PRIMARY_PAUSE).await;
    }
    if needs_primary(route, access) && pacing::is_primary_exhausted(cx, route, started) {
        return Err(ErrorKind::QueueFull);
    }
    Ok(())
}

pub(crate) const fn needs_primary(route: &Route, access: Access) -> bool {
    matches!(access, Access::Write) || matches!(route.consistency, Consistency::Strong)
}

fn has_usable_primary(cx: &Context, route: &Route, access: Access) -> bool {
    let is_stalled = access == Access::Write && receipt::is_stalled(cx, &route.group);
    !is_stalled && primary(cx, route).is_some_and(|target| !target.pool.health.is_suspected())
}

/// Chooses the member with the lowest cost for a read, except for those in `tried`.
pub(crate) fn choose(cx: &Rc<Context>, job: &Rc<Job>, tried: &[MemberName]) -> Option<Target> {
    let primary = primary(cx, &job.route).filter(|target| !is_tried(target, tried));
    let Consistency::Bounded { staleness, .. } = job.route.consistency else {
        return primary;
    };
    let age = cx.positions.age(&job.route.group);
    if age.is_none_or(|age| age > REFRESH_AGE) {
        position::refresh(cx, &job.route, &job.organisation);
    }
    let floor = cx
        .positions
        .floor(&job.route.group, staleness, job.last_commit);
    let replicas = floor
        .map(|floor| replicas(cx, job, floor, tried))
        .unwrap_or_default();
    let score = |target: &Target, weight: f64| {
        let (least, most) = JITTER_PERCENT;
        let percent = f64::from(u32::try_from(random_range(least..most)).unwrap_or(100));
        let distance = cx.locality.distance(&target.pool.member().zone);
        let way = distance.cost_ms(job.route.latency_objective);
        cost(cx, target, job) * weight * percent / 100.0 + way
    };
    // The zone of an evacuated primary gets only what no replica elsewhere can serve.
    let is_outside = |target: &Target| cx.may_start(target.pool.member(), Role::Replica);
    let primary = primary.filter(|target| replicas.is_empty() || is_outside(target));
    let primary = primary.filter(|primary| !pressure::spares_primary(cx, job, primary, &replicas));
    let primary_name = primary
        .as_ref()
        .map(|target| target.pool.member().name.clone());
    let mut targets: Vec<_> = replicas.into_iter().chain(primary).collect();
    pressure::retain_calm(cx, job, &mut targets, !tried.is_empty());
    let scored = targets.into_iter().map(|target| {
        let is_primary = Some(&target.pool.member().name) == primary_name.as_ref();
        let weight = if is_primary { PRIMARY_WEIGHT } else { 1.0 };
        (score(&target, weight), target)
    });
    let mut scored: Vec<_> = scored.collect();
    scored.sort_by(|(left, _), (right, _)| left.total_cmp(right));
    // If all members are paced, the read waits at the best one.
    let has_permit = |(_, target): &(f64, Target)| pacing::has_permit(cx, target.pool.member());
    let index = scored.iter().position(has_permit).unwrap_or_default();
    let best = scored.into_iter().nth(index);
    best.map(|(_, target)| target)
}

fn replicas(cx: &Context, job: &Job, floor: LogPosition, tried: &[MemberName]) -> Vec<Target> {
    let primary = cx.permission.primary(&job.route.group);
    let mut targets: Vec<_> = cx
        .directory
        .members(&job.route.group)
        .into_iter()
        .filter(|member| Some(&member.name) != primary.as_ref() && !member.is_draining)
        .filter(|member| cx.may_start(member, Role::Replica))
        .map(|member| Target {
            pool: cx.pools.pool(&member),
            floor: Some(floor),
        })
        .filter(|target| !is_tried(target, tried) && !target.pool.health.is_suspected())
        .collect();
    let is_avoided = |target: &Target| {
        let pool = &target.pool;
        pool.health.is_avoided() || pool.is_paused() && !pool.has_idle(&job.organisation)
    };
    if !targets.iter().all(is_avoided) {
        targets.retain(|target| !is_avoided(target));
    }
    targets
}

fn is_tried(target: &Target, tried: &[MemberName]) -> bool {
    tried.contains(&target.pool.member().name)
}

/// Estimates the time until the member replies, in milliseconds, plus a fixed cost for
/// opening a connection.
fn cost(cx: &Context, target: &Target, job: &Job) -> f64 {
    let in_flight = u32::try_from(target.pool.health.in_flight()).unwrap_or(u32::MAX);
    let slots = f64::from(target.pool.member().slots.max(1));
    let queue = 1.0 + f64::from(in_flight) / slots;
    let connect_cost = if target.pool.has_idle(&job.organisation) {
        0.0
    } else {
        CONNECT_COST_MS
    };
    let latency = target.pool.health.latency_ms() * queue;
    latency + connect_cost + failure_cost(cx, target, latency)
}

/// Estimates the time lost to failed answers, after which a read is sent to another member.
fn failure_cost(cx: &Context, target: &Target, latency: f64) -> f64 {
    if cx.sighting(target.pool.member()).is_none() {
        return 0.0;
    }
    let failed = target.pool.health.failed_fraction();
    failed * (FAILURE_COST_MS + latency / (1.0 - failed).max(MIN_SUCCESS))
}

/// Returns the error for a statement for which no member could be chosen.
pub(crate) fn refusal_kind(cx: &Context, job: &Job) -> ErrorKind {
    if cx.permission.primary(&job.route.group).is_none()
        || evacuation::excludes(cx, &job.route, job.access)
    {
        ErrorKind::NoPrimary
    } else {
        ErrorKind::QueueFull
    }
}
