//! Holds statements to members that start, recover or are cold to the pace that the
//! coordinator permits.
//!
//! See `docs/design/member-pace.md`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Directory, Member, Route};
use burdockslip_pace::{
    Admission, ColdLimit, Condition, Gate, MemberDemand, Outcome, PaceGrant, Rules, Sighting,
};
use burdockslip_runtime::{Instant, now, timeout_at};
use burdockslip_statement::{MemberError, MemberReply};
use burdockslip_types::{ErrorKind, MemberName};
use tracing::debug;

use crate::context::{Context, wait_limit};
use crate::outcome::{Job, SendError};
use crate::place;

/// How long a statement waits before it looks for a permit again after the coordinator
/// had none.
const DENIED_PAUSE: Duration = Duration::from_millis(100);

/// Returns what is known of the run of a member, or `None` if its group is not paced.
fn sighting(directory: &Directory, member: &Member, limit: Option<ColdLimit>) -> Option<Sighting> {
    let configuration = directory.configuration()?;
    let cold_rate = configuration
        .groups
        .get(&member.group)
        .and_then(|group| group.cold_rate);
    let rules = Rules::new(cold_rate, limit)?;
    Some(Sighting {
        member: member.name.clone(),
        born: member.born,
        slots: member.slots,
        cold_until: directory.cold_until(&member.name),
        seen: directory.seen_at(&member.name),
        rules,
    })
}

/// Returns what is known of the members of all paced groups.
pub fn sightings(directory: &Directory, limit: Option<ColdLimit>) -> Vec<Sighting> {
    let members = directory.all_members();
    members
        .iter()
        .filter_map(|member| sighting(directory, member, limit))
        .collect()
}

/// Removes a statement from those that wait for permits when it is dropped.
struct WaitGuard<'a> {
    gate: &'a RefCell<Gate>,
    member: MemberName,
    count: u32,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.gate.borrow_mut().end_wait(&self.member, self.count);
    }
}

impl Context {
    pub(crate) fn sighting(&self, member: &Member) -> Option<Sighting> {
        sighting(&self.directory, member, self.limits.cold)
    }

    /// Returns what the host reports to the coordinator about paced members.
    pub fn pace_demands(&self) -> Vec<MemberDemand> {
        let names = self.gate.borrow().members();
        let latency = |name: MemberName| (name.clone(), self.peer_latency(&name));
        let latencies: HashMap<_, _> = names.into_iter().map(latency).collect();
        let peers = |name: &MemberName| latencies.get(name).copied().unwrap_or_default();
        self.gate.borrow_mut().demands(peers)
    }

    /// Applies the coordinator's answer to a report that was sent at `sent`; `None` if it
    /// grants no permits because another coordinator may exist.
    pub fn apply_pace(&self, sent: Instant, grants: Option<&[PaceGrant]>) {
        let mut gate = self.gate.borrow_mut();
        let Some(grants) = grants else {
            gate.mark_disconnected();
            return;
        };
        for grant in grants {
            let member = self.directory.member(&grant.member);
            let member = member.filter(|member| member.born == grant.born);
            if let Some(sighting) = member.and_then(|member| self.sighting(&member)) {
                gate.record_listed(&sighting);
            }
        }
        let permits = gate.apply(sent, grants);
        if permits > 0 {
            self.metrics.count_pace_permits(u64::from(permits));
        }
    }

    /// Returns the mean latency of the other members of a member's group, in milliseconds.
    fn peer_latency(&self, name: &MemberName) -> f64 {
        let Some(member) = self.directory.member(name) else {
            return 0.0;
        };
        let mut peers = self.directory.members(&member.group);
        peers.retain(|peer| peer.name != *name && !self.is_paced(peer));
        let latencies = peers
            .iter()
            .map(|peer| self.pools.pool(peer).health.latency_ms());
        let count = u32::try_from(peers.len()).unwrap_or(u32::MAX);
        latencies.sum::<f64>() / f64::from(count.max(1))
    }

    fn is_paced(&self, member: &Member) -> bool {
        let sighting = self.sighting(member);
        sighting.is_some_and(|known| self.gate.borrow().condition(&known) != Condition::Free)
    }
}

/// Returns whether a statement could be sent to a member now, as far as its pace is
/// concerned; one that cannot counts as demand.
pub(crate) fn has_permit(cx: &Context, member: &Member) -> bool {
    let Some(sighting) = cx.sighting(member) else {
        return true;
    };
    let mut gate = cx.gate.borrow_mut();
    let has_permit = gate.has_permit(&sighting);
    if !has_permit {
        gate.record_demand(&sighting);
        if gate.is_urgent() {
            cx.tokens_low.notify();
        }
    }
    has_permit
}

/// Returns whether the pace of the primary leaves no room for another operation within
/// the time that it may wait.
pub(crate) fn is_primary_exhausted(cx: &Context, route: &Route, started: Instant) -> bool {
    let Some(target) = place::primary(cx, route) else {
        return false;
    };
    let left = (started + wait_limit(route)).remaining();
    let sighting = cx.sighting(target.pool.member());
    sighting.is_some_and(|known| cx.gate.borrow().is_hopeless(&known, left))
}

/// Waits until there is a permit for a statement, before a connection is acquired for it.
pub(crate) async fn wait_for_permit(
    cx: &Context,
    member: &Rc<Member>,
    job: &Job,
) -> Result<(), SendError> {
    let has_permit = |sighting: &Sighting| cx.gate.borrow_mut().has_permit(sighting);
    match cx.sighting(member) {
        Some(sighting) if !has_permit(&sighting) => {
            admit(cx, member, job, 1, job.wait_until(), |gate, sighting| {
                if gate.has_permit(sighting) {
                    Admission::Granted
                } else {
                    Admission::Wait
                }
            })
            .await
        }
        _ => Ok(()),
    }
}

/// Takes permits for `count` commands to a member, waiting for them if necessary.
///
/// This has to come immediately before the commands are sent, and before the permission
/// to use a primary is checked.
///
/// # Errors
///
/// Returns `NotSent` if the pace of the member leaves no room for them in time.
pub(crate) async fn take_permits(
    cx: &Context,
    member: &Rc<Member>,
    job: &Job,
    count: u32,
) -> Result<(), SendError> {
    if count == 0 {
        return Ok(());
    }
    if let Some(sighting) = cx.sighting(member) {
        cx.gate.borrow_mut().record_demand(&sighting);
    }
    let take = |gate: &mut Gate, sighting: &Sighting| gate.take(sighting, count);
    admit(cx, member, job, count, job.wait_until(), take).await
}

/// Takes permits for commands that nobody waits for, if there are enough.
pub(crate) fn try_permits(cx: &Context, member: &Member, count: u32) -> bool {
    let Some(sighting) = cx.sighting(member) else {
        return true;
    };
    cx.gate.borrow_mut().take(&sighting, count) == Admission::Granted
}

async fn admit(
    cx: &Context,
    member: &Rc<Member>,
    job: &Job,
    count: u32,
    until: Instant,
    attempt: impl Fn(&mut Gate, &Sighting) -> Admission,
) -> Result<(), SendError> {
    loop {
        let seen = cx.tokens_granted.epoch();
        let Some(sighting) = cx.sighting(member) else {
            return Ok(());
        };
        let admission = attempt(&mut cx.gate.borrow_mut(), &sighting);
        if admission == Admission::Granted {
            return Ok(());
        }
        let is_hopeless = cx.gate.borrow().is_hopeless(&sighting, until.remaining());
        if admission == Admission::Refused || is_hopeless || until.is_past() {
            debug!(id = job.id(), member = %member.name, "refused by the pace of the member");
            cx.metrics.count_pace_refusal(&member.group);
            return Err(SendError::NotSent(ErrorKind::QueueFull));
        }
        cx.gate.borrow_mut().begin_wait(&sighting, count);
        let _guard = WaitGuard {
            gate: &cx.gate,
            member: sighting.member.clone(),
            count,
        };
        let mut pause = until;
        if cx.gate.borrow().is_denied(&sighting) {
            // The coordinator has just answered, so the next regular report is early enough.
            pause = until.min(now() + DENIED_PAUSE);
        } else {
            cx.tokens_low.notify();
        }
        // The loop checks the deadline.
        let _ = timeout_at(pause, cx.tokens_granted.changed(seen)).await;
    }
}

/// Records how a command to a member ended, for the coordinator if the member is paced.
pub(crate) fn record(
    cx: &Context,
    member: &Member,
    sent: Instant,
    result: Result<&MemberReply, SendError>,
) {
    let outcome = match result.map(|reply| &reply.result) {
        Ok(Ok(_)) => Outcome::Answered(sent.elapsed()),
        Ok(Err(MemberError::Busy)) => Outcome::Busy,
        Ok(Err(MemberError::Failed | MemberError::Timeout)) | Err(_) => Outcome::Failed,
        Ok(Err(_)) => return,
    };
    cx.gate.borrow_mut().record_outcome(&member.name, outcome);
}
