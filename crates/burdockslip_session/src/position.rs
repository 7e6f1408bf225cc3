//! Queries primaries for their log positions.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Route;
use burdockslip_dispatch::Rank;
use burdockslip_runtime::{now, spawn, timeout};
use burdockslip_statement::{Access, Command};
use burdockslip_types::Organisation;
use bytes::Bytes;
use tracing::debug;

use crate::context::Context;
use crate::outcome::{self, Job, SendError, Work};
use crate::pacing;
use crate::place::{self, Target};

/// The timeout of a position query.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(300);

impl Context {
    /// Queries the positions of all groups whose last known position is older than
    /// `limit`. The coordinator sends the positions to other hosts.
    pub fn refresh_positions(self: &Rc<Self>, limit: Duration) {
        let Some(configuration) = self.directory.configuration() else {
            return;
        };
        // Members require an organisation in the handshake; which one does not matter.
        let Some(organisation) = configuration.organisations.keys().min() else {
            return;
        };
        for group in configuration.groups.keys() {
            let mut routes = configuration.routes.values();
            let route = routes.find(|route| route.group == *group);
            if let Some(route) = route
                && self.positions.age(group).is_none_or(|age| age > limit)
            {
                refresh(self, route, organisation);
            }
        }
    }
}

/// Queries the primary of the route's group for its position in the background,
/// unless a query for the group is already running.
///
/// The query is an empty transaction, which takes no slot at the member and leaves
/// the state of the connection unchanged.
pub(crate) fn refresh(cx: &Rc<Context>, route: &Rc<Route>, organisation: &Organisation) {
    let group = route.group.clone();
    let Some(target) = place::primary(cx, route) else {
        return;
    };
    if cx.refresh_tasks.borrow().contains_key(&group) {
        return;
    }
    let job = Job {
        id: Bytes::from_static(b"-"),
        work: Work::Direct(Bytes::new()),
        access: Access::Read,
        route: Rc::clone(route),
        organisation: organisation.clone(),
        rank: Rank::of_priority(0),
        state: Rc::default(),
        last_commit: None,
        started: now(),
        was_sent: Cell::default(),
    };
    let context = Rc::clone(cx);
    let name = group.clone();
    let task = spawn(async move {
        let outcome = timeout(REFRESH_TIMEOUT, query_position(&context, &target, &job)).await;
        if !matches!(outcome, Ok(Ok(()))) {
            debug!(group = %name, ?outcome, "position query failed");
        }
        context.refresh_tasks.borrow_mut().remove(&name);
    });
    cx.refresh_tasks.borrow_mut().insert(group, task);
}

async fn query_position(cx: &Context, target: &Target, job: &Job) -> Result<(), SendError> {
    let mut connection = outcome::acquire(cx, &target.pool, job).await?;
    pacing::take_permits(cx, target.pool.member(), job, 1).await?;
    let begin = Command::Begin {
        access: Access::Read,
        floor: None,
    };
    outcome::send_unqueued(cx, &mut connection, job, begin).await?;
    pacing::take_permits(cx, target.pool.member(), job, 1).await?;
    let reply = outcome::send_unqueued(cx, &mut connection, job, Command::Rollback).await?;
    outcome::return_if_idle(connection, &reply);
    Ok(())
}
