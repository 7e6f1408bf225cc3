//! Fetches changes from other hosts and notifies them of changes.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, random_range, sleep, spawn, timeout};
use burdockslip_types::{ErrorKind, HostId, Result, Revision};
use error_stack::{Report, bail};
use tracing::debug;

use crate::config::{MAX_WAIT, Shared};
use crate::{Change, ChangeNotice, Cursor, Follow, Reply, Request, Section, Update};

/// How long to wait for a reply, in addition to its intended delay.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay before the next request after a failure.
const RETRY_PERIOD: Duration = Duration::from_millis(500);

/// The average interval of anti-entropy with random hosts, which propagates
/// changes over any path that exists.
const ANTI_ENTROPY_PERIOD: Duration = Duration::from_secs(5);

/// The age after which the information from a zone is stale. Without faults, it
/// arrives within two replies, each delayed by up to 2 s.
const STALE_AFTER: Duration = Duration::from_secs(10);

/// The average interval of anti-entropy while a zone is stale or a bridge is in
/// use.
const SEARCH_PERIOD: Duration = Duration::from_secs(1);

/// How long a host is used as a bridge, in case the relays reach its zone again.
const BRIDGE_LIFE: Duration = Duration::from_mins(5);

/// The average interval of anti-entropy before the first configuration of known
/// age.
const START_PERIOD: Duration = Duration::from_millis(250);

/// The number of random hosts that are notified of a change.
const PUSH_FANOUT: usize = 3;

/// Whether a fetch changed the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Changed,
    Unchanged,
}

/// Follows one host until the task is dropped.
pub(crate) async fn run(shared: Rc<Shared>, host: HostId) {
    loop {
        let start = now();
        let outcome = fetch(&shared, &host, MAX_WAIT).await;
        let is_early = start.elapsed() < MAX_WAIT / 2;
        match outcome {
            Ok(Outcome::Changed) => {}
            Ok(Outcome::Unchanged) if !is_early => {}
            Ok(Outcome::Unchanged) => sleep(RETRY_PERIOD).await,
            Err(error) => {
                debug!(%host, error = %error.current_context(), "cannot fetch changes, retrying");
                sleep(RETRY_PERIOD).await;
            }
        }
    }
}

/// Fetches changes from one random host after another, so that changes
/// propagate over any path that exists.
///
/// While the information from a zone is stale, hosts of that zone are tried too,
/// as a possible bridge.
pub(crate) async fn anti_entropy(shared: Rc<Shared>) {
    loop {
        let bridge = shared.bridge.borrow().clone();
        let stale = stale_hosts(&shared);
        let has_age = shared.freshness.borrow().age().is_some();
        let period = match (has_age, bridge.is_some() || !stale.is_empty()) {
            (false, _) => START_PERIOD,
            (true, true) => SEARCH_PERIOD,
            (true, false) => ANTI_ENTROPY_PERIOD,
        };
        let millis = u64::try_from(period.as_millis()).unwrap_or(0);
        let pause = random_range(millis / 2..millis + millis / 2);
        sleep(Duration::from_millis(pause)).await;
        if let Some(bridge) = bridge {
            try_bridge(&shared, bridge).await;
        } else if let Some(host) = pick(stale, 1).pop() {
            try_bridge(&shared, Bridge::new(host)).await;
        }
        if let Some(host) = random_hosts(&shared, 1).pop() {
            // A failure does not matter; the next round tries another host.
            let _ = fetch(&shared, &host, Duration::ZERO).await;
        }
    }
}

/// A host of a zone that the relays do not reach but this host does.
#[derive(Debug, Clone)]
pub(crate) struct Bridge {
    host: HostId,
    found: Instant,
}

impl Bridge {
    fn new(host: HostId) -> Self {
        Self { host, found: now() }
    }
}

/// Fetches from a host of a stale zone and, if it answers, keeps it as bridge
/// for up to [`BRIDGE_LIFE`].
async fn try_bridge(shared: &Rc<Shared>, bridge: Bridge) {
    let outcome = fetch(shared, &bridge.host, Duration::ZERO).await;
    let is_kept = outcome.is_ok() && bridge.found.elapsed() < BRIDGE_LIFE;
    shared.bridge.replace(is_kept.then_some(bridge));
}

/// Returns the live hosts of the zones whose information is stale.
fn stale_hosts(shared: &Shared) -> Vec<HostId> {
    shared.refresh();
    let view = shared.membership.view();
    let freshness = shared.freshness.borrow();
    let zones = view
        .zones()
        .filter(|zone| freshness.is_stale(zone, STALE_AFTER));
    let hosts = zones.flat_map(|zone| view.hosts_in(zone));
    let own = &shared.membership.local_peer().host;
    hosts.filter(|host| *host != own).cloned().collect()
}

/// Notifies some random hosts and the bridge of a change.
pub(crate) fn push_notices(shared: &Rc<Shared>) {
    let mut hosts = random_hosts(shared, PUSH_FANOUT);
    hosts.extend(shared.bridge.borrow().iter().map(|b| b.host.clone()));
    for host in hosts {
        let shared = Rc::clone(shared);
        let request = shared.changed_message();
        spawn(async move {
            shared.count_sent(&request);
            // An unreachable host learns of the change from another one.
            let _ = timeout(CALL_TIMEOUT, shared.client.call(&host, request)).await;
        })
        .detach();
    }
}

/// Fetches the change that another host announced, unless such a fetch is in
/// flight.
pub(crate) fn catch_up(shared: &Rc<Shared>, notice: ChangeNotice) {
    if !shared.is_behind(&notice.revisions) || shared.is_fetching.replace(true) {
        return;
    }
    let shared = Rc::clone(shared);
    spawn(async move {
        // If this fails, the change arrives from another host.
        let _ = fetch(&shared, &notice.from, Duration::ZERO).await;
        shared.is_fetching.set(false);
    })
    .detach();
}

/// Returns up to `count` live hosts other than this one, chosen at random.
fn random_hosts(shared: &Shared, count: usize) -> Vec<HostId> {
    let view = shared.membership.view();
    let own = &shared.membership.local_peer().host;
    let hosts = view.live().map(|peer| &peer.host);
    let hosts = hosts.filter(|host| *host != own).cloned().collect();
    pick(hosts, count)
}

fn pick(mut hosts: Vec<HostId>, count: usize) -> Vec<HostId> {
    let mut chosen = Vec::new();
    while chosen.len() < count && !hosts.is_empty() {
        let index = random_range(0..hosts.len() as u64);
        let index = usize::try_from(index).unwrap_or(0);
        chosen.push(hosts.swap_remove(index));
    }
    chosen
}

/// Requests the next change from `host` and applies it once all its parts have
/// arrived.
async fn fetch(shared: &Rc<Shared>, host: &HostId, max_wait: Duration) -> Result<Outcome> {
    let mut staged: Option<Change> = None;
    let mut mismatched: Option<Section> = None;
    loop {
        let sent = now();
        let revisions = revisions(shared, mismatched);
        let request = Follow {
            revisions: revisions.clone(),
            cursor: cursor(staged.as_ref()),
            max_wait,
        };
        let update = request_update(shared, host, request).await?;
        let Some(part) = update.change else {
            shared.freshness.borrow_mut().merge(&update.freshness, sent);
            return Ok(Outcome::Unchanged);
        };
        let change = append_part(staged.take(), part)?;
        if change.continue_after.is_some() {
            staged = Some(change);
            continue;
        }
        let (section, target) = (change.section, change.revision);
        shared.update(section, |content| content.apply(change));
        if shared.revision(section) >= target {
            shared.freshness.borrow_mut().merge(&update.freshness, sent);
            return Ok(Outcome::Changed);
        }
        if mismatched.is_some() {
            bail!(ErrorKind::Protocol);
        }
        // A patch did not apply. Either the section has changed since the
        // request, or the contents differ although the revisions agree, and the
        // whole section must be replaced.
        let is_same = revisions.contains(&(section, shared.revision(section)));
        mismatched = is_same.then_some(section);
    }
}

/// Returns the revisions that this host has, or zero for `mismatched`, so that
/// the whole section is sent.
fn revisions(shared: &Shared, mismatched: Option<Section>) -> Vec<(Section, Revision)> {
    let mut revisions = shared.revisions();
    for (section, revision) in &mut revisions {
        if mismatched == Some(*section) {
            *revision = Revision(0);
        }
    }
    revisions
}

async fn request_update(shared: &Shared, host: &HostId, follow: Follow) -> Result<Update> {
    let limit = follow.max_wait + CALL_TIMEOUT;
    let request = Request::Follow(follow);
    shared.count_sent(&request);
    let reply = timeout(limit, shared.client.call(host, request))
        .await
        .map_err(|_| Report::new(ErrorKind::ConnectionLost))??;
    shared.count_received(&reply);
    match reply {
        Reply::Update(update) => Ok(update),
        Reply::Done => bail!(ErrorKind::Protocol),
    }
}

fn cursor(staged: Option<&Change>) -> Option<Cursor> {
    let staged = staged?;
    Some(Cursor {
        section: staged.section,
        target: staged.revision,
        after: staged.continue_after.clone()?,
    })
}

/// Appends a part to those that have arrived, or starts over if the sender has
/// reached another revision in between.
///
/// Returns an error for a part that makes no progress, because the fetch would
/// never end.
fn append_part(staged: Option<Change>, part: Change) -> Result<Change> {
    let is_same = |staged: &Change| {
        (staged.section, staged.revision, staged.is_full)
            == (part.section, part.revision, part.is_full)
    };
    match staged {
        Some(mut staged) if is_same(&staged) => {
            if part.continue_after.is_some() && part.continue_after <= staged.continue_after {
                bail!(ErrorKind::Protocol);
            }
            staged.puts.extend(part.puts);
            staged.patches.extend(part.patches);
            staged.deletes.extend(part.deletes);
            staged.continue_after = part.continue_after;
            Ok(staged)
        }
        _ => Ok(part),
    }
}
