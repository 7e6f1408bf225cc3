//! Takes changes from other hosts and tells them of changes.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, random_range, sleep, spawn, timeout};
use burdockslip_types::{ErrorKind, HostId, Result, Revision};
use error_stack::{Report, bail};
use tracing::debug;

use crate::config::{MAX_WAIT, Shared};
use crate::{Change, ChangeNotice, Cursor, Follow, Reply, Request, Section, Update};

/// Bounds the wait for an answer beyond the time it is held back.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Spaces the attempts after a failure.
const RETRY_PERIOD: Duration = Duration::from_millis(500);

/// Spaces the comparisons with any host, which find changes on every path.
const COMPARE_PERIOD: Duration = Duration::from_secs(5);

/// Marks a zone as unheard of; without faults its relays are heard of within
/// two answers that wait 2 s each.
const STALE_AFTER: Duration = Duration::from_secs(10);

/// Spaces the comparisons while some zone is not heard of.
const SEARCH_PERIOD: Duration = Duration::from_secs(1);

/// Ends the use of a host as bridge, in case the relays reach its zone again.
const BRIDGE_LIFE: Duration = Duration::from_mins(5);

/// Spaces the comparisons of a host that has nothing yet.
const START_PERIOD: Duration = Duration::from_millis(250);

/// Counts the hosts that are told of a change at once.
const PUSH_COUNT: usize = 3;

/// Returns whether a fetch found something new.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Changed,
    Same,
}

/// Follows one host for as long as the task lives.
pub(crate) async fn run(shared: Rc<Shared>, host: HostId) {
    loop {
        let start = now();
        let outcome = fetch(&shared, &host, MAX_WAIT).await;
        let is_early = start.elapsed() < MAX_WAIT / 2;
        match outcome {
            Ok(Outcome::Changed) => {}
            Ok(Outcome::Same) if !is_early => {}
            Ok(Outcome::Same) => sleep(RETRY_PERIOD).await,
            Err(error) => {
                debug!(%host, error = %error.current_context(), "cannot follow");
                sleep(RETRY_PERIOD).await;
            }
        }
    }
}

/// Compares with one host after the other, chosen at random, so that changes
/// pass wherever a path exists.
pub(crate) async fn compare(shared: Rc<Shared>) {
    loop {
        let bridge = shared.bridge.borrow().clone();
        let stale = stale_hosts(&shared);
        let is_known = shared.known.borrow().age().is_some();
        let period = match (is_known, bridge.is_some() || !stale.is_empty()) {
            (false, _) => START_PERIOD,
            (true, true) => SEARCH_PERIOD,
            (true, false) => COMPARE_PERIOD,
        };
        let millis = u64::try_from(period.as_millis()).unwrap_or(0);
        let pause = random_range(millis / 2..millis + millis / 2);
        sleep(Duration::from_millis(pause)).await;
        if let Some(bridge) = bridge {
            cross(&shared, bridge).await;
        } else if let Some(host) = pick(stale, 1).pop() {
            cross(&shared, Bridge::new(host)).await;
        }
        if let Some(host) = others(&shared, 1).pop() {
            // An unreachable host is one of many.
            let _ = fetch(&shared, &host, Duration::ZERO).await;
        }
    }
}

/// Names a host that connects with a zone which the relays do not reach.
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

/// Compares with a host of a zone that was not heard of, and keeps to it for
/// some time if it answers.
async fn cross(shared: &Rc<Shared>, bridge: Bridge) {
    let outcome = fetch(shared, &bridge.host, Duration::ZERO).await;
    let is_kept = outcome.is_ok() && bridge.found.elapsed() < BRIDGE_LIFE;
    shared.bridge.replace(is_kept.then_some(bridge));
}

/// Returns the live hosts of the zones that were not heard of for long.
fn stale_hosts(shared: &Shared) -> Vec<HostId> {
    shared.refresh();
    let view = shared.membership.view();
    let known = shared.known.borrow();
    let zones = view
        .zones()
        .filter(|zone| known.is_stale(zone, STALE_AFTER));
    let hosts = zones.flat_map(|zone| view.hosts_in(zone));
    let own = &shared.membership.local_peer().host;
    hosts.filter(|host| *host != own).cloned().collect()
}

/// Tells some hosts of a change at once.
pub(crate) fn push(shared: &Rc<Shared>) {
    let mut hosts = others(shared, PUSH_COUNT);
    hosts.extend(shared.bridge.borrow().iter().map(|b| b.host.clone()));
    for host in hosts {
        let shared = Rc::clone(shared);
        let request = shared.changed_message();
        spawn(async move {
            shared.count_sent(&request);
            // A host that is not reached hears of it from another one.
            let _ = timeout(CALL_TIMEOUT, shared.client.call(&host, request)).await;
        })
        .detach();
    }
}

/// Takes the change that another host announced, unless one is being taken.
pub(crate) fn catch_up(shared: &Rc<Shared>, notice: ChangeNotice) {
    if !shared.is_behind(&notice.revisions) || shared.fetching.replace(true) {
        return;
    }
    let shared = Rc::clone(shared);
    spawn(async move {
        // Another host will offer the change if this one fails.
        let _ = fetch(&shared, &notice.from, Duration::ZERO).await;
        shared.fetching.set(false);
    })
    .detach();
}

/// Returns up to `count` live hosts other than this one, chosen at random.
fn others(shared: &Shared, count: usize) -> Vec<HostId> {
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

/// Asks `host` for the next change and takes it in, in parts if need be.
async fn fetch(shared: &Rc<Shared>, host: &HostId, max_wait: Duration) -> Result<Outcome> {
    let mut staged: Option<Change> = None;
    let mut refused: Option<Section> = None;
    loop {
        let sent = now();
        let revisions = revisions(shared, refused);
        let request = Follow {
            revisions: revisions.clone(),
            cursor: cursor(staged.as_ref()),
            max_wait,
        };
        let update = ask(shared, host, request).await?;
        let Some(part) = update.change else {
            shared.known.borrow_mut().merge(&update.freshness, sent);
            return Ok(Outcome::Same);
        };
        let change = join(staged.take(), part)?;
        if change.continue_after.is_some() {
            staged = Some(change);
            continue;
        }
        let (section, target) = (change.section, change.revision);
        shared.update(section, |content| content.apply(change));
        if shared.revision(section) >= target {
            shared.known.borrow_mut().merge(&update.freshness, sent);
            return Ok(Outcome::Changed);
        }
        if refused.is_some() {
            bail!(ErrorKind::Protocol);
        }
        // A patch did not fit. Either another host was faster, or contents
        // differ and the whole section must replace them.
        let is_same = revisions.contains(&(section, shared.revision(section)));
        refused = is_same.then_some(section);
    }
}

/// Returns the revisions that this host has, or none for a refused section.
fn revisions(shared: &Shared, refused: Option<Section>) -> Vec<(Section, Revision)> {
    let mut revisions = shared.revisions();
    for (section, revision) in &mut revisions {
        if refused == Some(*section) {
            *revision = Revision(0);
        }
    }
    revisions
}

async fn ask(shared: &Shared, host: &HostId, follow: Follow) -> Result<Update> {
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

/// Appends a part to what has arrived, or starts again if the sender has
/// changed in between; a part that does not go on would repeat for ever.
fn join(staged: Option<Change>, part: Change) -> Result<Change> {
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
