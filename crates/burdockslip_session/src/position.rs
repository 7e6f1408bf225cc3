//! Asks primaries for the positions of their logs.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Route;
use burdockslip_runtime::{now, spawn, timeout};
use burdockslip_statement::{Access, Command};
use burdockslip_types::Organisation;
use bytes::Bytes;
use tracing::debug;

use crate::context::Context;
use crate::outcome::{self, Job, Lost, Work};
use crate::place::{self, Place};

/// Bounds the question for a position.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(300);

impl Context {
    /// Asks for the positions of all groups that are older than `limit`, for
    /// hosts that rely on this one.
    pub fn refresh_positions(self: &Rc<Self>, limit: Duration) {
        let Some(configuration) = self.directory.configuration() else {
            return;
        };
        // Members want the name of an organisation; any one will do.
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

/// Asks the primary of a route's group for its position, once at a time for
/// each group.
///
/// An empty transaction takes no slot and leaves the connection as it was.
pub(crate) fn refresh(cx: &Rc<Context>, route: &Rc<Route>, organisation: &Organisation) {
    let group = route.group.clone();
    let Some(place) = place::primary(cx, route) else {
        return;
    };
    if cx.refreshing.borrow().contains_key(&group) {
        return;
    }
    let job = Job {
        id: Bytes::from_static(b"-"),
        work: Work::Direct(Bytes::new()),
        access: Access::Read,
        route: Rc::clone(route),
        organisation: organisation.clone(),
        state: Rc::default(),
        own: None,
        started: now(),
    };
    let context = Rc::clone(cx);
    let name = group.clone();
    let task = spawn(async move {
        let outcome = timeout(REFRESH_TIMEOUT, ask(&context, &place, &job)).await;
        if !matches!(outcome, Ok(Ok(()))) {
            debug!(group = %name, ?outcome, "position not learned");
        }
        context.refreshing.borrow_mut().remove(&name);
    });
    cx.refreshing.borrow_mut().insert(group, task);
}

async fn ask(cx: &Context, place: &Place, job: &Job) -> Result<(), Lost> {
    let mut lent = outcome::lend(&place.pool, job).await?;
    let begin = Command::Begin {
        access: Access::Read,
        floor: None,
    };
    outcome::send_quick(cx, &mut lent, job, begin).await?;
    let reply = outcome::send_quick(cx, &mut lent, job, Command::Rollback).await?;
    outcome::settle(lent, &reply);
    Ok(())
}
