//! Chooses the member that runs a statement.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Consistency, Route};
use burdockslip_runtime::random_range;
use burdockslip_types::{ErrorKind, LogPosition, MemberName};
use burdockslip_upstream::MemberPool;

use crate::context::Context;
use crate::outcome::Job;
use crate::position;

/// Makes the primary less attractive for reads that a replica can serve, since
/// only it can serve writes.
const PRIMARY_WEIGHT: f64 = 1.6;

/// Stands for the cost of opening a connection, in milliseconds. It takes a
/// slot of the member for about 12 ms, which delays others, too.
const CONNECT_COST_MS: f64 = 30.0;

/// Stands for the cost of a member in another availability zone, in
/// milliseconds: a round trip takes about 2 ms more, and its bytes are charged.
const ZONE_COST_MS: f64 = 5.0;

/// Spreads the choice, in percent, so that hosts do not all pick the same member.
const SPREAD_PERCENT: (u64, u64) = (100, 130);

/// The age at which a host asks for the position of a primary itself, because
/// the coordinator has not told one; reads use positions of up to 1.3 s.
const REFRESH_AGE: Duration = Duration::from_millis(900);

/// Holds a member with the position that its log must hold.
#[derive(Debug, Clone)]
pub(crate) struct Place {
    pub(crate) pool: Rc<MemberPool>,
    pub(crate) floor: Option<LogPosition>,
}

/// Returns the primary of the statement's group if it may be used.
pub(crate) fn primary(cx: &Context, route: &Route) -> Option<Place> {
    let name = cx.permission.primary(&route.group)?;
    let member = cx.directory.member(&name)?;
    Some(Place {
        pool: cx.pools.pool(&member),
        floor: None,
    })
}

/// Chooses the member for a read, apart from those in `tried`.
pub(crate) fn choose(cx: &Rc<Context>, job: &Rc<Job>, tried: &[MemberName]) -> Option<Place> {
    let primary = primary(cx, &job.route).filter(|place| !is_tried(place, tried));
    let Consistency::Bounded { staleness, .. } = job.route.consistency else {
        return primary;
    };
    let age = cx.positions.age(&job.route.group);
    if age.is_none_or(|age| age > REFRESH_AGE) {
        position::refresh(cx, &job.route, &job.organisation);
    }
    let floor = cx.positions.floor(&job.route.group, staleness, job.own);
    let replicas = floor
        .map(|floor| replicas(cx, job, floor, tried))
        .unwrap_or_default();
    let score = |place: &Place, weight: f64| {
        let (least, most) = SPREAD_PERCENT;
        let spread = f64::from(u32::try_from(random_range(least..most)).unwrap_or(100));
        cost(cx, place, job) * weight * spread
    };
    let scored = replicas
        .into_iter()
        .map(|place| (score(&place, 1.0), place))
        .chain(primary.map(|place| (score(&place, PRIMARY_WEIGHT), place)));
    let best = scored.min_by(|(left, _), (right, _)| left.total_cmp(right));
    best.map(|(_, place)| place)
}

fn replicas(cx: &Context, job: &Job, floor: LogPosition, tried: &[MemberName]) -> Vec<Place> {
    let leader = cx.permission.primary(&job.route.group);
    let mut places: Vec<_> = cx
        .directory
        .members(&job.route.group)
        .into_iter()
        .filter(|member| Some(&member.name) != leader.as_ref() && !member.is_draining)
        .map(|member| Place {
            pool: cx.pools.pool(&member),
            floor: Some(floor),
        })
        .filter(|place| !is_tried(place, tried) && !place.pool.health.is_suspected())
        .collect();
    let is_passed_over = |place: &Place| {
        let pool = &place.pool;
        pool.health.is_avoided() || pool.is_paused() && !pool.has_idle(&job.organisation)
    };
    if !places.iter().all(is_passed_over) {
        places.retain(|place| !is_passed_over(place));
    }
    places
}

fn is_tried(place: &Place, tried: &[MemberName]) -> bool {
    tried.contains(&place.pool.member().name)
}

/// Estimates the time until the member answers, in milliseconds.
fn cost(cx: &Context, place: &Place, job: &Job) -> f64 {
    let running = u32::try_from(place.pool.health.in_flight()).unwrap_or(u32::MAX);
    let slots = f64::from(place.pool.member().slots.max(1));
    let queue = 1.0 + f64::from(running) / slots;
    let connect = if place.pool.has_idle(&job.organisation) {
        0.0
    } else {
        CONNECT_COST_MS
    };
    let distance = if place.pool.member().zone == cx.zone {
        0.0
    } else {
        ZONE_COST_MS
    };
    place.pool.health.latency_ms() * queue + connect + distance
}

/// Says why no member could be chosen.
pub(crate) fn refusal(cx: &Context, job: &Job) -> ErrorKind {
    if cx.permission.primary(&job.route.group).is_none() {
        ErrorKind::NoPrimary
    } else {
        ErrorKind::QueueFull
    }
}
