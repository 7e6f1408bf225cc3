//! Reports to the coordinator, and answers reports while this host is it.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Account, Changes, Directory, Relay};
use burdockslip_failover::{Duty, Permission, Registration, Supervisor, keys};
use burdockslip_peer::PeerPool;
use burdockslip_runtime::{Instant, now, random_range, sleep, sleep_until, timeout, timeout_at};
use burdockslip_session::Context;
use burdockslip_shares::{Allocator, Demand, Grant, Limits};
use burdockslip_store::{Entry, LeaseId};
use burdockslip_types::{
    ErrorKind, Exchange, HostId, Link, MemberName, Organisation, Result, Revision,
};
use error_stack::{bail, ensure};
use futures::FutureExt;
use futures::future::select;
use serde::{Deserialize, Serialize};
use tracing::{debug, info};

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

/// How long a request for changes waits.
const FOLLOW_WAIT: Duration = Duration::from_secs(1);

/// Collects changes that come together into one answer.
const FOLLOW_PAUSE: Duration = Duration::from_millis(15);

/// Tells the coordinator what a host sees and wants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The members that the host cannot reach.
    pub suspects: Vec<MemberName>,
    /// What the host wants of the organisations' rates.
    pub demands: Vec<Demand>,
}

/// Tells a host what it may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// The tokens and fractions of the organisations' rates.
    pub grants: Vec<Grant>,
    /// The newest configuration and how long ago the store said so.
    pub configuration: Option<(Revision, Duration)>,
    /// The members that some hosts cannot reach and that this host should look at.
    pub doubtful: Vec<MemberName>,
    /// The lease behind permissions and how long ago it was alive.
    pub permission: Option<(LeaseId, Duration)>,
}

/// Carries reports to the coordinator.
#[derive(Debug)]
pub struct ReportExchange;

impl Exchange for ReportExchange {
    type Request = Report;
    type Reply = Verdict;
    const NAME: &'static str = "report";
}

/// Carries changes of the store from the coordinator.
#[derive(Debug)]
pub(crate) struct FollowExchange;

impl Exchange for FollowExchange {
    type Request = Revision;
    type Reply = Changes;
    const NAME: &'static str = "follow";
}

/// Asks a peer for the record of who is coordinator.
#[derive(Debug)]
pub(crate) struct DutyExchange;

impl Exchange for DutyExchange {
    type Request = ();
    type Reply = Option<Entry>;
    const NAME: &'static str = "duty";
}

/// Holds what the directory says, in the form that reports need.
#[derive(Debug, Default)]
struct Known {
    epoch: Option<u64>,
    limits: HashMap<Organisation, Limits>,
    hosts: HashSet<HostId>,
}

/// Answers the reports of all hosts while this host holds the duty.
#[derive(Debug, Clone)]
pub(crate) struct Coordinator {
    duty: Duty,
    directory: Directory,
    supervisor: Supervisor,
    permission: Permission,
    cached: Rc<RefCell<Rc<Known>>>,
    allocator: Rc<RefCell<(Revision, Allocator)>>,
}

impl Coordinator {
    pub(crate) fn new(
        duty: Duty,
        directory: Directory,
        supervisor: Supervisor,
        permission: Permission,
    ) -> Self {
        Self {
            duty,
            directory,
            supervisor,
            permission,
            cached: Rc::default(),
            allocator: Rc::default(),
        }
    }

    /// Returns the changes after `revision`, as soon as there are some.
    pub(crate) async fn follow(self, revision: Revision) -> Result<Changes> {
        let until = now() + FOLLOW_WAIT;
        loop {
            ensure!(self.duty.leadership().is_some(), ErrorKind::Conflict);
            let seen = self.directory.changed().epoch();
            let Some(changes) = self.directory.changes_since(revision) else {
                bail!(ErrorKind::NoFreshData);
            };
            if !changes.events.is_empty() || until.is_past() {
                return Ok(changes);
            }
            let news = self.directory.changed().changed(seen);
            if timeout_at(until, news).await.is_ok() {
                sleep(FOLLOW_PAUSE).await;
            }
        }
    }

    /// Returns the limits and the hosts, which are looked up again after a change only.
    fn known(&self) -> Rc<Known> {
        let epoch = self.directory.changed().epoch();
        let mut cached = self.cached.borrow_mut();
        if cached.epoch != Some(epoch) {
            let configuration = self.directory.configuration().unwrap_or_default();
            let limits = |account: &Account| Limits {
                rate: account.rate,
                burst: account.burst,
            };
            let accounts = configuration.accounts.iter();
            *cached = Rc::new(Known {
                epoch: Some(epoch),
                limits: accounts
                    .map(|(name, account)| (name.clone(), limits(account)))
                    .collect(),
                hosts: registered(&self.directory),
            });
        }
        Rc::clone(&cached)
    }

    /// Takes in a report and returns the grants of the host that sent it.
    pub(crate) fn answer(&self, host: &HostId, report: Report) -> Result<Verdict> {
        let Some(token) = self.duty.leadership() else {
            bail!(ErrorKind::Conflict);
        };
        self.supervisor.report(host.clone(), report.suspects);
        let known = self.known();
        let mut allocator = self.allocator.borrow_mut();
        if allocator.0 != token {
            *allocator = (token, Allocator::default());
        }
        let grants = allocator
            .1
            .grant(host, &report.demands, &known.limits, &known.hosts);
        let age = self.directory.age();
        Ok(Verdict {
            grants,
            configuration: age.map(|age| (self.directory.revision(), age)),
            doubtful: self.supervisor.suspected(),
            permission: self.permission.vouch(),
        })
    }
}

/// Returns the hosts that are registered.
pub(crate) fn registered(directory: &Directory) -> HashSet<HostId> {
    let entries = directory.records(keys::HOSTS);
    let name = |key: &str| key.strip_prefix(keys::HOSTS).map(HostId::from);
    entries
        .iter()
        .filter_map(|entry| name(&entry.key))
        .collect()
}

/// Returns where a host is reached.
pub(crate) fn address(directory: &Directory, host: &HostId) -> Option<std::net::SocketAddr> {
    let entry = directory.record(&format!("{}{host}", keys::HOSTS))?;
    Registration::read(&entry.value).ok().map(|own| own.address)
}

/// Returns the function that gets changes from the coordinator.
pub(crate) fn relay(coordinator: Coordinator, host: HostId, peers: &PeerPool) -> Relay {
    let link: Link<FollowExchange> = peers.link();
    Rc::new(move |revision| {
        let holder = coordinator.duty.holder().filter(|holder| *holder != host);
        let link = link.clone();
        async move {
            let Some(holder) = holder else {
                bail!(ErrorKind::NoPrimary);
            };
            link.call(&holder, revision).await
        }
        .boxed_local()
    })
}

/// Reports again and again, and applies the grants that come back.
pub(crate) async fn report(
    cx: Rc<Context>,
    host: HostId,
    coordinator: Coordinator,
    peers: PeerPool,
) {
    let link: Link<ReportExchange> = peers.link();
    let mut complete = None;
    let mut failed = None;
    let mut suspected = Vec::new();
    loop {
        let sent = now();
        let seen = cx.starved.epoch();
        let is_leading = coordinator.duty.tenure().is_some();
        cx.directory.set_leading(is_leading);
        cx.permission.set_leading(is_leading);
        let hosts = registered(&cx.directory).len();
        cx.pools.set_hosts(hosts);
        let period = period(hosts);
        cx.rates.borrow_mut().set_hosts(hosts);
        let suspects = cx.pools.suspects(COMMIT_LIMIT);
        suspected.clone_from(&suspects);
        // Between the regular reports only what is urgent is sent.
        let is_full = complete.is_none_or(|at: Instant| at.elapsed() >= period);
        if is_full {
            complete = Some(sent);
        }
        let demands = cx.rates.borrow_mut().demands(is_full);
        let report = Report { suspects, demands };
        let outcome = deliver(&coordinator, &host, &link, report).await;
        let error = outcome.as_ref().err().copied();
        if error != failed {
            info!(coordinator = ?coordinator.duty.holder().map(|host| host.to_string()),
                outcome = ?error, "report to the coordinator");
            failed = error;
        }
        if let Ok(verdict) = outcome {
            // What held some time before the answer held that long before the report, too.
            if let Some((revision, age)) = verdict.configuration {
                cx.directory.confirm(revision, sent - age);
            }
            if let Some((lease, age)) = verdict.permission {
                cx.permission.accept(lease, sent - age);
            }
            cx.pools.check(&verdict.doubtful);
            cx.rates.borrow_mut().apply(verdict.grants);
        } else {
            cx.rates.borrow_mut().lose_coordinator();
            ask_for_coordinator(&cx.directory, &host, &peers).await;
        }
        cx.granted.notify();
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
    let link: Link<DutyExchange> = peers.link();
    match timeout(ASK_TIMEOUT, link.call(&peer, ())).await {
        Ok(Ok(Some(entry))) => {
            let is_new = directory
                .record(keys::DUTY)
                .is_none_or(|known| known.revision < entry.revision);
            if is_new {
                info!(%peer, revision = entry.revision.0, "coordinator learned from a peer");
                directory.learn(entry);
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
        select(Box::pin(cx.starved.changed(seen)), pause).await;
        let has_news = cx.starved.epoch() != seen || cx.pools.suspects(COMMIT_LIMIT) != known;
        if has_news {
            return;
        }
    }
}

async fn deliver(
    coordinator: &Coordinator,
    host: &HostId,
    link: &Link<ReportExchange>,
    report: Report,
) -> Result<Verdict, ErrorKind> {
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
