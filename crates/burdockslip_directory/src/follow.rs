//! The tasks that keep the directory up to date.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{now, random_range, sleep, timeout};
use burdockslip_store::{Event, Watch, with_timeout};
use burdockslip_types::{ErrorKind, Result};
use error_stack::Report;
use futures::StreamExt;
use tracing::{debug, info, warn};

use crate::directory::Shared;

/// The age of the configuration at which a host confirms it at the store itself,
/// because no peer has. A change of the coordinator takes less, and this leaves time
/// for two attempts before requests are rejected.
const CONFIRM_AGE: Duration = Duration::from_millis(2_200);

/// The age at which the coordinator confirms the configuration. It is lower, because
/// the other hosts rely on it.
const COORDINATOR_CONFIRM_AGE: Duration = Duration::from_millis(500);

/// How often the age is checked.
const CONFIRM_TICK: Duration = Duration::from_millis(100);

/// The pause after a failed confirmation.
const CONFIRM_RETRY: Duration = Duration::from_millis(800);

/// The span over which the hosts of a fleet spread their reads of a restored store, in
/// milliseconds. Nobody takes the duty before.
const RELOAD_SPREAD_MS: u64 = 600;

/// The pause after a read that does not confirm the configuration, because the store was
/// restored and its copy may be older.
const REWRITE_PAUSE: Duration = Duration::from_millis(250);

/// The timeout of a call to the store; a slow store takes up to about 0.5 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The pause after the first failed attempt to read the store, doubled after each
/// further one. The back-off is needed because rejected calls are charged, too.
const FIRST_RETRY: Duration = Duration::from_millis(150);

/// The maximum of this pause, so that a recovered store is noticed soon.
const MAX_RETRY: Duration = Duration::from_millis(900);

/// The timeout of a request to peers, which may ask two of them in turn. A peer
/// answers within 1 s even without changes.
const RELAY_TIMEOUT: Duration = Duration::from_secs(4);

/// How long the store is watched before a peer is tried again.
const RELAY_PAUSE: Duration = Duration::from_secs(1);

/// How long a watch may deliver no event before the whole store is read again. A
/// watch on a dead connection reports no error.
const WATCH_SILENCE: Duration = Duration::from_secs(14);

/// How often the coordinator checks whether its watch misses changes.
const WATCH_CHECK: Duration = Duration::from_millis(250);

/// Loads the store and applies its changes, in a loop.
///
/// Changes are received from a peer as long as one forwards them; otherwise every
/// host would need a call to the store for each change.
pub(crate) async fn watch(shared: Rc<Shared>) {
    let mut is_reachable = true;
    let mut pause = FIRST_RETRY;
    loop {
        if shared.eras.was_loaded() && !shared.is_loaded() {
            sleep(Duration::from_millis(random_range(0..RELOAD_SPREAD_MS))).await;
        }
        match load(&shared).await {
            Ok(()) => {
                pause = FIRST_RETRY;
                if !is_reachable {
                    info!("store reachable again");
                }
                is_reachable = true;
                apply_changes(&shared).await;
            }
            Err(error) => {
                if is_reachable {
                    warn!(?error, "store unreachable, serving from known state");
                }
                is_reachable = false;
                follow_peer(&shared).await;
                let spread = u32::try_from(random_range(75..125)).unwrap_or(100);
                sleep(pause * spread / 100).await;
                pause = (pause * 2).min(MAX_RETRY);
            }
        }
    }
}

async fn load(shared: &Shared) -> Result<()> {
    let sent = now();
    let page = with_timeout(CALL_TIMEOUT, shared.store.range("")).await?;
    shared.replace(page.entries, page.revision);
    if !shared.is_loaded() {
        return Err(outdated());
    }
    shared.recency.record_newest(sent);
    shared.confirm(sent);
    Ok(())
}

/// Applies changes until some may have been missed.
async fn apply_changes(shared: &Shared) {
    loop {
        // Without a leader only its record is watched. While a fleet starts, every
        // host registers, and each answer of a watch of the whole store would cost
        // a call.
        let prefix = follow_peer(shared).await;
        if !shared.is_loaded() {
            info!("store came back from an older copy, reloading it");
            return;
        }
        let opened = shared.store.watch(prefix, shared.applied.get());
        let outcome = match with_timeout(CALL_TIMEOUT, opened).await {
            Ok(watch) => follow_store(shared, watch, prefix).await,
            Err(error) => Err(error),
        };
        if let Err(error) = outcome {
            info!(?error, "watch failed, reloading the store");
            return;
        }
    }
}

/// Applies the changes that a peer forwards until it fails. Returns the prefix of
/// the keys that have to be watched at the store from then on.
async fn follow_peer(shared: &Shared) -> &'static str {
    let relay = shared.relay.borrow().clone();
    let Some((relay, leader_key)) = relay.filter(|_| shared.eras.was_loaded()) else {
        return "";
    };
    loop {
        match with_timeout(RELAY_TIMEOUT, relay(shared.applied.get())).await {
            Ok(changes) => {
                if !shared.apply_changes(changes) {
                    info!("peer follows another era of the store");
                    return "";
                }
            }
            Err(report) => {
                debug!(error = ?report, "peer forwards no changes");
                let has_no_leader = *report.current_context() == ErrorKind::NoPrimary;
                return if has_no_leader { leader_key } else { "" };
            }
        }
    }
}

/// Applies the changes of a watch until it is time to try a peer again. Fails if the
/// watch is dead.
///
/// The progress of a watch of a part of the store is ignored: it does not mean that
/// all changes up to its revision have been applied.
async fn follow_store(shared: &Shared, mut watch: Watch, prefix: &str) -> Result<()> {
    let opened = now();
    let mut heard = opened;
    let until = opened + RELAY_PAUSE;
    let mut has_news = false;
    loop {
        if !shared.is_loaded() {
            return Err(outdated());
        }
        let is_coordinator = shared.is_coordinator.get();
        let wait = if has_news {
            Duration::ZERO
        } else if is_coordinator {
            WATCH_CHECK
        } else {
            until.remaining()
        };
        match timeout(wait, watch.next()).await {
            Ok(Some(Ok(Event::Progress(_)))) if !prefix.is_empty() => {}
            Ok(Some(Ok(event))) => {
                let revision = event.revision();
                let is_complete = matches!(event, Event::Progress(_));
                let known = shared.changed.epoch();
                shared.apply_event(event);
                if !prefix.is_empty() {
                    // Such a watch starts from the same revision again, with changes that
                    // have been applied, and the last one counts.
                    has_news |= shared.changed.epoch() != known;
                    continue;
                }
                shared.recency.record_received(revision);
                // Before it, changes of the time before the watch may still be missing.
                if is_complete {
                    shared.recency.record_newest(opened);
                }
                heard = now();
            }
            Ok(Some(Err(error))) => return Err(error),
            Ok(None) => return Err(dead_watch("watch ended")),
            Err(_) if has_news => return Ok(()),
            Err(_) if shared.recency.is_behind() => {
                return Err(dead_watch("watch misses changes that a read has shown"));
            }
            Err(_) if !is_coordinator => return Ok(()),
            Err(_) if heard.elapsed() > WATCH_SILENCE => return Err(dead_watch("watch timed out")),
            Err(_) => {}
        }
    }
}

fn outdated() -> Report<ErrorKind> {
    dead_watch("store came back from an older copy")
}

fn dead_watch(reason: &'static str) -> Report<ErrorKind> {
    Report::new(ErrorKind::StoreUnavailable).attach(reason)
}

/// Confirms the configuration in a loop, with reads that see every acknowledged
/// change.
pub(crate) async fn confirm(shared: Rc<Shared>) {
    loop {
        let limit = if shared.is_coordinator.get() {
            COORDINATOR_CONFIRM_AGE
        } else {
            CONFIRM_AGE
        };
        // The first load of the store confirms the configuration, too; there is
        // nothing to confirm before it.
        if !shared.is_loaded() || shared.configuration_age().is_some_and(|age| age < limit) {
            sleep(CONFIRM_TICK).await;
            continue;
        }
        let sent = now();
        let key = shared.schema.configuration;
        match with_timeout(CALL_TIMEOUT, shared.store.range(key)).await {
            Ok(page) => {
                let is_current = shared.enter_era(page.revision);
                page.entries.into_iter().for_each(|entry| shared.put(entry));
                if is_current {
                    shared.recency.record_read(page.revision, sent);
                }
                if !is_current || !shared.confirm(sent) {
                    sleep(REWRITE_PAUSE).await;
                }
            }
            Err(error) => {
                let age_ms = shared.configuration_age().map(|age| age.as_millis());
                warn!(?error, age_ms, "configuration not confirmed");
                sleep(CONFIRM_RETRY).await;
            }
        }
    }
}
