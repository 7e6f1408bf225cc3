//! Reports to the coordinator.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Directory;
use burdockslip_failover::{GroupReport, keys};
use burdockslip_peer::PeerPool;
use burdockslip_runtime::{Instant, now, random_range, sleep, sleep_until, timeout};
use burdockslip_session::Context;
use burdockslip_shares::DemandScope;
use burdockslip_types::{ErrorKind, GroupName, HostId, MemberName, PeerClient, Revision, Term};
use futures::future::select;
use tracing::{debug, info};

use crate::coordinator::Coordinator;
use crate::messages::{DutyExchange, HostReport, ReportExchange, ReportReply};
use crate::pressure;
use crate::registration::registered;

/// How often a host reports. The reply renews its permissions, which last 900 ms.
const REPORT_PERIOD: Duration = Duration::from_millis(300);

/// The period of reports for each registered host, which applies to large fleets
/// because one host answers all reports.
const REPORT_SPACING: Duration = Duration::from_micros(1_200);

/// The maximum period, so that permissions are renewed in time.
const MAX_REPORT_PERIOD: Duration = Duration::from_millis(420);

/// The minimum time between reports that request tokens or announce newly suspected
/// members.
const URGENT_PERIOD: Duration = Duration::from_millis(8);

/// How often the suspected members and the changes of primaries are compared with the
/// reported ones.
const COMPARE_PERIOD: Duration = Duration::from_millis(100);

/// The most hosts of a fleet in which each of them reports at once that it knows of a
/// change of primary.
const MAX_ANNOUNCING_HOSTS: usize = 60;

/// The timeout of a request to a peer for the record of the coordinator.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// The timeout of a report, so that a lost one does not delay the next.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long commits may be pending before the primary is suspected to have lost its
/// replicas. Commits normally take up to 100 ms.
const COMMIT_LIMIT: Duration = Duration::from_millis(700);

/// What the last report said: the suspected members, and the groups whose primary is being
/// replaced.
type Announced = (Vec<MemberName>, Vec<(GroupName, Term)>);

/// Whether the current coordinator has answered the last report, so that unchanged
/// demands are not sent again.
#[derive(Debug, Default)]
struct Delivery {
    /// The token of the coordinator's tenure: the revision of the duty's record.
    token: Option<Revision>,
    /// Whether the last report was answered.
    is_answered: bool,
}

/// Reports to the coordinator in a loop, and applies the replies.
pub(crate) async fn run(cx: Rc<Context>, host: HostId, coordinator: Coordinator, peers: PeerPool) {
    let client: PeerClient<ReportExchange> = peers.client();
    let mut last_full = None;
    let mut last_error = None;
    let mut delivery = Delivery::default();
    loop {
        let sent = now();
        let seen = cx.tokens_low.epoch();
        let is_coordinator = coordinator.duty.coordinator_role().is_some();
        cx.directory.set_coordinator(is_coordinator);
        cx.permission.set_coordinator(is_coordinator);
        let hosts = cx.directory.count(keys::HOSTS);
        cx.pools.set_host_count(hosts);
        let period = period(hosts);
        cx.limiter.borrow_mut().set_host_count(hosts);
        cx.gate.borrow_mut().set_host_count(hosts);
        let suspects = cx.pools.suspects(COMMIT_LIMIT);
        let changing = cx.permission.changing();
        let announced = (suspects.clone(), changing.clone());
        // Between the regular reports, only urgent demands are sent.
        let is_full = last_full.is_none_or(|at: Instant| at.elapsed() >= period);
        if is_full {
            last_full = Some(sent);
        }
        let token = cx.directory.revision(&keys::duty(cx.directory.era()));
        if token != delivery.token {
            delivery = Delivery {
                token,
                is_answered: false,
            };
        }
        let scope = match (delivery.is_answered, is_full) {
            (false, _) => DemandScope::All,
            (true, true) => DemandScope::Changed,
            (true, false) => DemandScope::Urgent,
        };
        let acknowledged = if scope == DemandScope::All || !changing.is_empty() {
            cx.acknowledged.latest()
        } else {
            cx.acknowledged.take_changes()
        };
        let report = HostReport {
            groups: GroupReport {
                era: cx.directory.era(),
                suspects,
                changing,
                excluding: cx.permission.excluding(),
                acknowledged,
                knowledge: cx.permission.knowledge().filter(|_| is_full),
            },
            demands: cx.limiter.borrow_mut().demands(scope),
            paced: cx.pace_demands(),
            wants_positions: is_full,
            pressure: pressure::take_report(&cx, is_full),
        };
        let outcome = deliver(&coordinator, &host, &client, report).await;
        let error = outcome.as_ref().err().copied();
        if error != last_error {
            info!(coordinator = ?coordinator.duty.holder().map(|host| host.to_string()),
                outcome = ?error, "report to the coordinator");
            last_error = error;
        }
        delivery.is_answered = outcome.is_ok();
        if let Ok(reply) = outcome {
            // The ages are relative to the reply. Subtracted from the earlier moment at
            // which the report was sent, they can only make a proof look older.
            cx.directory.expect_version(reply.version);
            if let Some((revision, age)) = reply.configuration {
                cx.directory.confirm(revision, sent - age);
            }
            if let Some((lease, age)) = reply.permission {
                cx.permission.accept_lease_proof(lease, sent - age);
            }
            for (group, revision, age) in reply.group_proofs {
                cx.permission
                    .accept_group_proof(&group, revision, sent - age);
            }
            for (group, position, age) in reply.positions {
                cx.positions.record(&group, sent - age, position);
            }
            cx.pools.probe_members(&reply.suspected);
            let mut limiter = cx.limiter.borrow_mut();
            limiter.apply(reply.grants);
            if !reply.is_interim {
                limiter.confirm(sent);
            }
            drop(limiter);
            cx.apply_pace(sent, reply.permits.as_deref());
            pressure::apply(&cx, reply.pressure);
        } else {
            cx.limiter.borrow_mut().mark_disconnected();
            cx.apply_pace(sent, None);
            request_coordinator(&cx.directory, &host, &peers).await;
        }
        cx.tokens_granted.notify();
        sleep_until(sent + URGENT_PERIOD).await;
        let next = last_full.unwrap_or(sent) + period;
        wait_until_urgent(&cx, seen, &announced, next).await;
    }
}

/// Requests the record of the coordinator from a random peer. A host whose calls the
/// store rejects would not learn of a new coordinator otherwise.
async fn request_coordinator(directory: &Directory, host: &HostId, peers: &PeerPool) {
    let mut hosts: Vec<_> = registered(directory)
        .into_iter()
        .filter(|known| known != host)
        .collect();
    if hosts.is_empty() {
        return;
    }
    let last = u64::try_from(hosts.len()).unwrap_or(1);
    let peer = hosts.swap_remove(usize::try_from(random_range(0..last)).unwrap_or_default());
    let client: PeerClient<DutyExchange> = peers.client();
    match timeout(REQUEST_TIMEOUT, client.call(&peer, ())).await {
        Ok(Ok(Some(entry))) => {
            let is_new = directory
                .revision(&entry.key)
                .is_none_or(|known| known < entry.revision);
            if is_new {
                info!(%peer, revision = entry.revision.0, "received the coordinator from a peer");
                directory.apply(entry);
            }
        }
        outcome => debug!(%peer, ?outcome, "peer did not name a coordinator"),
    }
}

/// Returns the period of reports in a fleet of `hosts` hosts.
fn period(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    (REPORT_SPACING.saturating_mul(hosts)).clamp(REPORT_PERIOD, MAX_REPORT_PERIOD)
}

/// Waits until there is something urgent to report, at most until `until`.
async fn wait_until_urgent(cx: &Context, seen: u64, known: &Announced, until: Instant) {
    // In large fleets the regular reports of all hosts keep the coordinator busy.
    let announces_changes = cx.directory.count(keys::HOSTS) <= MAX_ANNOUNCING_HOSTS;
    while !until.is_past() {
        let pause = sleep(COMPARE_PERIOD.min(until.remaining()));
        select(Box::pin(cx.tokens_low.changed(seen)), pause).await;
        let is_urgent = cx.tokens_low.epoch() != seen
            || cx.pools.suspects(COMMIT_LIMIT) != known.0
            || announces_changes && cx.permission.changing() != known.1;
        if is_urgent {
            return;
        }
    }
}

async fn deliver(
    coordinator: &Coordinator,
    host: &HostId,
    client: &PeerClient<ReportExchange>,
    report: HostReport,
) -> Result<ReportReply, ErrorKind> {
    let Some(holder) = coordinator.duty.holder() else {
        return Err(ErrorKind::NoPrimary);
    };
    if holder == *host {
        let reply = coordinator.answer(host, report);
        return reply.map_err(|report| *report.current_context());
    }
    match timeout(REPORT_TIMEOUT, client.call(&holder, report)).await {
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(report)) => Err(*report.current_context()),
        Err(_) => Err(ErrorKind::ConnectionLost),
    }
}
