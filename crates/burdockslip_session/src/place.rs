//! Chooses the member that runs a statement.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Consistency, Route};
use burdockslip_runtime::{Instant, random_range, sleep};
use burdockslip_statement::Access;
use burdockslip_types::{ErrorKind, LogPosition, MemberName};
use burdockslip_upstream::MemberPool;

use crate::context::{Context, wait_limit};
use crate::outcome::Job;
use crate::{position, pressure, receipt};

/// The factor on the cost of the primary for reads that a replica can also serve,
/// because only the primary can serve writes.
const PRIMARY_WEIGHT: f64 = 1.6;

/// The cost of opening a connection, in milliseconds. Opening takes a slot of the
/// member for about 12 ms, which also delays other statements.
const CONNECT_COST_MS: f64 = 30.0;

/// The cost of a member in another availability zone, in milliseconds: a round trip
/// takes about 2 ms longer, and traffic between zones is charged.
const ZONE_COST_MS: f64 = 5.0;

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
/// it is not about to exit.
pub(crate) fn primary(cx: &Context, route: &Route) -> Option<Target> {
    let name = cx.permission.primary(&route.group)?;
    let draining_for = cx.directory.draining_for(&name);
    if draining_for.is_some_and(|span| span > DRAINING_LIMIT) {
        return None;
    }
    let member = cx.directory.member(&name)?;
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
/// Returns `NoPrimary` if there is no usable primary within the wait limit.
pub(crate) async fn wait_until_servable(
    cx: &Context,
    route: &Route,
    access: Access,
    started: Instant,
) -> Result<(), ErrorKind> {
    let until = started + wait_limit(route);
    while needs_primary(route, access) && !has_usable_primary(cx, route, access) {
        if until.is_past() {
            return Err(ErrorKind::NoPrimary);
        }
        sleep(PRIMARY_PAUSE).await;
    }
    Ok(())
}

const fn needs_primary(route: &Route, access: Access) -> bool {
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
        let jitter = f64::from(u32::try_from(random_range(least..most)).unwrap_or(100));
        cost(cx, target, job) * weight * jitter
    };
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
    let best = scored.min_by(|(left, _), (right, _)| left.total_cmp(right));
    best.map(|(_, target)| target)
}

fn replicas(cx: &Context, job: &Job, floor: LogPosition, tried: &[MemberName]) -> Vec<Target> {
    let primary = cx.permission.primary(&job.route.group);
    let mut targets: Vec<_> = cx
        .directory
        .members(&job.route.group)
        .into_iter()
        .filter(|member| Some(&member.name) != primary.as_ref() && !member.is_draining)
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

/// Estimates the time until the member replies, in milliseconds, plus fixed costs
/// for opening a connection and for another zone.
fn cost(cx: &Context, target: &Target, job: &Job) -> f64 {
    let in_flight = u32::try_from(target.pool.health.in_flight()).unwrap_or(u32::MAX);
    let slots = f64::from(target.pool.member().slots.max(1));
    let queue = 1.0 + f64::from(in_flight) / slots;
    let connect_cost = if target.pool.has_idle(&job.organisation) {
        0.0
    } else {
        CONNECT_COST_MS
    };
    let zone_cost = if target.pool.member().zone == cx.zone {
        0.0
    } else {
        ZONE_COST_MS
    };
    target.pool.health.latency_ms() * queue + connect_cost + zone_cost
}

/// Returns the error for a statement for which no member could be chosen.
pub(crate) fn refusal_kind(cx: &Context, job: &Job) -> ErrorKind {
    if cx.permission.primary(&job.route.group).is_none() {
        ErrorKind::NoPrimary
    } else {
        ErrorKind::QueueFull
    }
}
