//! Receipts of commits by replicas, for groups with excluded members.
//!
//! A primary acknowledges a commit as soon as any replica has received it, and that may be
//! one for which no promotion waits. So the host asks the replicas on the group's roster
//! until one of them holds the commit; see `docs/platform.md`, "Members that are gone".

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Member, Role};
use burdockslip_runtime::{Signal, Task, now, sleep, spawn, timeout_at};
use burdockslip_types::{ErrorKind, GroupName, LogPosition, MemberName, Organisation, Result};
use burdockslip_upstream::SessionState;
use tracing::{debug, info, warn};

use crate::context::Context;
use crate::outcome::Job;
use crate::progress::ReceiptProgress;

/// The timeout of a status query, including the time until a connection is open.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// The pause after a query that showed no receipt; doubled up to `MAX_PAUSE`.
const MIN_PAUSE: Duration = Duration::from_millis(5);

/// The longest pause between two queries.
const MAX_PAUSE: Duration = Duration::from_millis(40);

/// The receipts of a group's commits.
#[derive(Debug)]
struct GroupReceipts {
    progress: ReceiptProgress,
    /// The task that queries replicas while commits wait.
    task: Option<Task<()>>,
}

/// The receipts of all groups.
#[derive(Debug, Default)]
pub(crate) struct Receipts {
    groups: RefCell<HashMap<GroupName, GroupReceipts>>,
    changed: Signal,
}

impl Receipts {
    /// Returns whether a replica has shown that it holds `position`.
    fn cover(&self, group: &GroupName, position: LogPosition) -> bool {
        let groups = self.groups.borrow();
        let known = groups.get(group);
        known.is_some_and(|known| known.progress.covers(position))
    }

    fn wanted(&self, group: &GroupName) -> Option<LogPosition> {
        self.groups.borrow().get(group)?.progress.wanted()
    }

    fn record(&self, group: &GroupName, received: LogPosition) {
        if let Some(known) = self.groups.borrow_mut().get_mut(group) {
            known.progress.record(received);
        }
        self.changed.notify();
    }
}

/// Returns whether commits of a group do not get receipts, so that the outcome of further
/// writes would be unknown to their clients.
pub(crate) fn is_stalled(cx: &Context, group: &GroupName) -> bool {
    let groups = cx.receipts.groups.borrow();
    let known = groups.get(group);
    known.is_some_and(|known| known.task.is_some() && known.progress.is_stalled())
}

/// Waits until a replica on the roster holds a commit, or the group needs no receipts.
///
/// # Errors
///
/// Returns `OutcomeUnknown` if `primary`, which acknowledged the commit, is being replaced,
/// or if no replica holds the commit before the statement times out.
pub(crate) async fn wait(
    cx: &Rc<Context>,
    job: &Job,
    primary: &MemberName,
    position: Option<LogPosition>,
) -> Result<(), ErrorKind> {
    let group = &job.route.group;
    let Some(position) = position else {
        warn!(id = job.id(), %primary, "commit without a position, receipt not confirmed");
        return Err(ErrorKind::OutcomeUnknown);
    };
    let started = now();
    request(cx, group, &job.organisation, position);
    loop {
        let seen = cx.receipts.changed.epoch();
        if cx.receipts.cover(group, position) || cx.permission.confirming_replicas(group).is_none()
        {
            return Ok(());
        }
        let is_replaced = cx.permission.recorded_primary(group).as_ref() != Some(primary);
        if is_replaced || job.deadline().is_past() {
            info!(id = job.id(), %primary, %position, is_replaced,
                after_ms = started.elapsed().as_millis(),
                "acknowledgement withheld, no replica on the roster shows that it holds the commit");
            return Err(ErrorKind::OutcomeUnknown);
        }
        // The loop checks the deadline.
        let _ = timeout_at(job.deadline(), cx.receipts.changed.changed(seen)).await;
    }
}

/// Has the replicas of a group asked until one of them holds `position`.
fn request(
    cx: &Rc<Context>,
    group: &GroupName,
    organisation: &Organisation,
    position: LogPosition,
) {
    let mut groups = cx.receipts.groups.borrow_mut();
    let known = groups
        .entry(group.clone())
        .or_insert_with(|| GroupReceipts {
            progress: ReceiptProgress::new(position),
            task: None,
        });
    known.progress.want(position);
    if known.task.is_none() && !known.progress.is_complete() {
        let task = ask_until_held(Rc::clone(cx), group.clone(), organisation.clone());
        known.task = Some(spawn(task));
    }
}

async fn ask_until_held(cx: Rc<Context>, group: GroupName, organisation: Organisation) {
    let mut pause = MIN_PAUSE;
    let mut turn = 0_usize;
    while let Some(wanted) = cx.receipts.wanted(&group) {
        let Some(mut replicas) = cx.permission.confirming_replicas(&group) else {
            break;
        };
        replicas.retain(|member| !cx.pools.pool(member).health.is_suspected());
        // Those in evacuated zones are asked only if there are no others.
        let is_outside = |member: &Rc<Member>| cx.may_start(member, Role::Replica);
        if replicas.iter().any(is_outside) {
            replicas.retain(is_outside);
        }
        let received = match replicas.len() {
            0 => None,
            count => query(&cx, &replicas[turn % count], &organisation).await,
        };
        turn = turn.wrapping_add(1);
        if let Some(received) = received {
            cx.receipts.record(&group, received);
            // The commit belongs to a primary that has been replaced.
            if received.term > wanted.term {
                break;
            }
            if cx.receipts.wanted(&group) != Some(wanted) {
                pause = MIN_PAUSE;
                continue;
            }
        }
        sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
    if let Some(known) = cx.receipts.groups.borrow_mut().get_mut(&group) {
        known.task = None;
    }
    cx.receipts.changed.notify();
}

/// Returns the position that a replica has received, or `None` if it does not answer or
/// is no replica.
async fn query(
    cx: &Context,
    replica: &Rc<Member>,
    organisation: &Organisation,
) -> Option<LogPosition> {
    let pool = cx.pools.pool(replica);
    let until = now() + QUERY_TIMEOUT;
    let state = SessionState::default();
    let connection = pool.acquire(organisation, &state, until, until).await;
    let status = match connection {
        Ok(connection) => cx.pools.status(connection, until.remaining()).await,
        Err(error) => Err(error),
    };
    match status {
        Ok(status) => (!status.is_primary).then_some(status.received),
        Err(error) => {
            debug!(replica = %replica.name, ?error, "receipt not confirmed");
            None
        }
    }
}
