//! Reports to the coordinator and follows what it passes on.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Directory, Relay};
use burdockslip_failover::keys;
use burdockslip_peer::PeerPool;
use burdockslip_runtime::{Instant, now, random_range, sleep, sleep_until, timeout};
use burdockslip_session::Context;
use burdockslip_shares::DemandScope;
use burdockslip_types::{ErrorKind, HostId, MemberName, PeerClient, Revision};
use error_stack::{bail, ensure};
use futures::FutureExt;
use futures::future::select;
use tracing::{debug, info};

use crate::coordinator::Coordinator;
use crate::messages::{DutyExchange, FollowExchange, HostReport, ReportExchange, ReportReply};
use crate::registration::registered;

/// How often a host reports. Permissions last 900 ms, and the answer renews them.
const REPORT_PERIOD: Duration = Duration::from_millis(300);

/// Spaces the reports of large fleets, for each host, since one host answers them all.
const REPORT_SPACING: Duration = Duration::from_micros(1_200);

/// Bounds the period, so that permissions are renewed in time.
const MAX_REPORT_PERIOD: Duration = Duration::from_millis(420);

/// Spaces reports for more tokens and about members that are newly suspected.
const URGENT_PERIOD: Duration = Duration::from_millis(8);

/// How often the suspected members are compared with those reported.
const NEWS_PERIOD: Duration = Duration::from_millis(100);

/// Bounds the question to a peer for the coordinator.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Bounds a report, so that one that is lost does not delay the next.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long commits may hang before the primary is suspected to have lost its
/// replicas. Ordinary commits take up to 100 ms.
const COMMIT_LIMIT: Duration = Duration::from_millis(700);

/// Holds whom the last report reached, so that nothing is told twice.
#[derive(Debug, Default)]
struct Delivered {
    /// The revision of the duty's record, which tells one coordinator from the next.
    term: Option<Revision>,
    /// Whether the last report was answered.
    is_told: bool,
}

/// Returns the function that gets changes from the coordinator.
pub(crate) fn relay(coordinator: Coordinator, host: HostId, peers: &PeerPool) -> Relay {
    let link: PeerClient<FollowExchange> = peers.client();
    Rc::new(move |revision| {
        let holder = coordinator.duty.holder();
        let is_own = holder.as_ref() == Some(&host);
        let link = link.clone();
        async move {
            let Some(holder) = holder else {
                bail!(ErrorKind::NoPrimary);
            };
            ensure!(!is_own, ErrorKind::Conflict);
            link.call(&holder, revision).await
        }
        .boxed_local()
    })
}

/// Reports again and again, and applies the grants that come back.
pub(crate) async fn run(cx: Rc<Context>, host: HostId, coordinator: Coordinator, peers: PeerPool) {
    let link: PeerClient<ReportExchange> = peers.client();
    let mut complete = None;
    let mut failed = None;
    let mut suspected = Vec::new();
    let mut delivered = Delivered::default();
    loop {
        let sent = now();
        let seen = cx.tokens_low.epoch();
        let is_coordinator = coordinator.duty.coordinator_role().is_some();
        cx.directory.set_coordinator(is_coordinator);
        cx.permission.set_coordinator(is_coordinator);
        let hosts = registered(&cx.directory).len();
        cx.pools.set_host_count(hosts);
        let period = period(hosts);
        cx.rates.borrow_mut().set_host_count(hosts);
        let suspects = cx.pools.suspects(COMMIT_LIMIT);
        suspected.clone_from(&suspects);
        // Between the regular reports only what is urgent is sent.
        let is_full = complete.is_none_or(|at: Instant| at.elapsed() >= period);
        if is_full {
            complete = Some(sent);
        }
        let term = cx.directory.record(keys::DUTY).map(|entry| entry.revision);
        if term != delivered.term {
            delivered = Delivered {
                term,
                is_told: false,
            };
        }
        let scope = match (delivered.is_told, is_full) {
            (false, _) => DemandScope::All,
            (true, true) => DemandScope::Changed,
            (true, false) => DemandScope::Urgent,
        };
        let report = HostReport {
            suspects,
            demands: cx.rates.borrow_mut().demands(scope),
            wants_positions: is_full,
        };
        let outcome = deliver(&coordinator, &host, &link, report).await;
        let error = outcome.as_ref().err().copied();
        if error != failed {
            info!(coordinator = ?coordinator.duty.holder().map(|host| host.to_string()),
                outcome = ?error, "report to the coordinator");
            failed = error;
        }
        delivered.is_told = outcome.is_ok();
        if let Ok(verdict) = outcome {
            // What held some time before the answer held that long before the report, too.
            if let Some((revision, age)) = verdict.configuration {
                cx.directory.confirm(revision, sent - age);
            }
            if let Some((lease, age)) = verdict.permission {
                cx.permission.accept_lease_proof(lease, sent - age);
            }
            for (group, term, age) in verdict.group_proofs {
                cx.permission.accept_group_proof(&group, term, sent - age);
            }
            for (group, mark, age) in verdict.positions {
                cx.positions.record(&group, sent - age, mark);
            }
            cx.pools.probe_members(&verdict.suspected);
            cx.rates.borrow_mut().apply(verdict.grants);
        } else {
            cx.rates.borrow_mut().mark_disconnected();
            ask_for_coordinator(&cx.directory, &host, &peers).await;
        }
        cx.tokens_granted.notify();
        sleep_until(sent + URGENT_PERIOD).await;
        let next = complete.unwrap_or(sent) + period;
        wait_news(&cx, seen, &suspected, next).await;
    }
}

/// Asks a random peer who is coordinator. A host that the store turns away
/// would not learn of a new one else.
async fn ask_for_coordinator(directory: &Directory, host: &HostId, peers: &PeerPool) {
    let mut hosts: Vec<_> = registered(directory)
        .into_iter()
        .filter(|known| known != host)
        .collect();
    if hosts.is_empty() {
        return;
    }
    let last = u64::try_from(hosts.len()).unwrap_or(1);
    let peer = hosts.swap_remove(usize::try_from(random_range(0..last)).unwrap_or_default());
    let link: PeerClient<DutyExchange> = peers.client();
    match timeout(ASK_TIMEOUT, link.call(&peer, ())).await {
        Ok(Ok(Some(entry))) => {
            let is_new = directory
                .record(keys::DUTY)
                .is_none_or(|known| known.revision < entry.revision);
            if is_new {
                info!(%peer, revision = entry.revision.0, "coordinator learned from a peer");
                directory.apply(entry);
            }
        }
        outcome => debug!(%peer, ?outcome, "peer does not know the coordinator"),
    }
}

/// Returns how often hosts report in a fleet of `hosts`.
fn period(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    (REPORT_SPACING.saturating_mul(hosts)).clamp(REPORT_PERIOD, MAX_REPORT_PERIOD)
}

/// Waits until there is something urgent to report, or `until` at most.
async fn wait_news(cx: &Context, seen: u64, known: &[MemberName], until: Instant) {
    while !until.is_past() {
        let pause = sleep(NEWS_PERIOD.min(until.remaining()));
        select(Box::pin(cx.tokens_low.changed(seen)), pause).await;
        let has_news = cx.tokens_low.epoch() != seen || cx.pools.suspects(COMMIT_LIMIT) != known;
        if has_news {
            return;
        }
    }
}

async fn deliver(
    coordinator: &Coordinator,
    host: &HostId,
    link: &PeerClient<ReportExchange>,
    report: HostReport,
) -> Result<ReportReply, ErrorKind> {
    let Some(holder) = coordinator.duty.holder() else {
        return Err(ErrorKind::NoPrimary);
    };
    if holder == *host {
        let verdict = coordinator.answer(host, report);
        return verdict.map_err(|report| *report.current_context());
    }
    match timeout(REPORT_TIMEOUT, link.call(&holder, report)).await {
        Ok(Ok(verdict)) => Ok(verdict),
        Ok(Err(report)) => Err(*report.current_context()),
        Err(_) => Err(ErrorKind::ConnectionLost),
    }
}
