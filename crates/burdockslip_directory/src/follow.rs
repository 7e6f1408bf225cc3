//! Keeps the directory up to date.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{now, random_range, sleep, timeout};
use burdockslip_store::{Event, Watch, with_timeout};
use burdockslip_types::{ErrorKind, Result};
use error_stack::Report;
use futures::StreamExt;
use tracing::{debug, info, warn};

use crate::directory::Shared;

/// The age at which a host asks the store itself, because no peer has confirmed
/// the configuration. Three attempts fit in before requests are refused.
const CONFIRM_AGE: Duration = Duration::from_millis(1_500);

/// The age at which the host asks on which the others rely.
const LEADING_AGE: Duration = Duration::from_millis(500);

/// How often the age is looked at.
const CONFIRM_TICK: Duration = Duration::from_millis(100);

/// How soon a failed confirmation is repeated.
const CONFIRM_RETRY: Duration = Duration::from_millis(800);

/// Bounds a call; a slow store takes up to about 0.5 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Pauses after the first attempt to read the store that failed; each further
/// one doubles it. Refused calls are charged like others.
const FIRST_RETRY: Duration = Duration::from_millis(150);

/// Bounds the pause, so that a store that is back is noticed soon.
const MAX_RETRY: Duration = Duration::from_millis(900);

/// Bounds the wait for a peer, which answers within 1 s even without changes.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_400);

/// How long the store is watched before a peer is asked again.
const RELAY_PAUSE: Duration = Duration::from_secs(1);

/// How long a watch may stay silent before everything is read again. A watch
/// whose connection went dead shows no error.
const WATCH_SILENCE: Duration = Duration::from_secs(14);

/// Reads the store and applies its changes, again and again.
///
/// Changes come from a peer while there is one that passes them on, because
/// each change would cost a call of every host otherwise.
pub(crate) async fn watch(shared: Rc<Shared>) {
    let mut is_reachable = true;
    let mut pause = FIRST_RETRY;
    loop {
        match load(&shared).await {
            Ok(()) => {
                pause = FIRST_RETRY;
                if !is_reachable {
                    info!("store reachable again");
                }
                is_reachable = true;
                apply(&shared).await;
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
    shared.confirm(sent);
    Ok(())
}

/// Applies changes until some may have been missed.
async fn apply(shared: &Shared) {
    loop {
        // Without a leader only its record is watched, because every host
        // registers while a fleet starts, and each answer of a watch costs a call.
        let prefix = follow_peer(shared).await;
        let opened = shared.store.watch(prefix, shared.applied.get());
        let outcome = match with_timeout(CALL_TIMEOUT, opened).await {
            Ok(watch) => follow_store(shared, watch, prefix).await,
            Err(error) => Err(error),
        };
        if let Err(error) = outcome {
            info!(?error, "watch broke, reading the store again");
            return;
        }
    }
}

/// Applies what a peer passes on, until it does not; returns the prefix of the
/// keys that have to be watched then.
async fn follow_peer(shared: &Shared) -> &'static str {
    let relay = shared.relay.borrow().clone();
    let Some((relay, leader)) = relay.filter(|_| shared.is_loaded()) else {
        return "";
    };
    loop {
        match with_timeout(RELAY_TIMEOUT, relay(shared.applied.get())).await {
            Ok(changes) => {
                for event in changes.events {
                    apply_event(shared, event);
                }
                shared
                    .applied
                    .set(shared.applied.get().max(changes.revision));
            }
            Err(report) => {
                debug!(error = ?report, "peer passes nothing on");
                let has_no_leader = *report.current_context() == ErrorKind::NoPrimary;
                return if has_no_leader { leader } else { "" };
            }
        }
    }
}

/// Applies the changes of a watch, until a peer may pass them on. A watch of a
/// part of the store does not say up to where everything is known.
async fn follow_store(shared: &Shared, mut watch: Watch, prefix: &str) -> Result<()> {
    let until = now() + RELAY_PAUSE;
    loop {
        let wait = if shared.is_coordinator.get() {
            WATCH_SILENCE
        } else {
            until.remaining()
        };
        match timeout(wait, watch.next()).await {
            Ok(Some(Ok(Event::Progress(_)))) if !prefix.is_empty() => {}
            Ok(Some(Ok(event))) => {
                apply_event(shared, event);
                if !prefix.is_empty() {
                    return Ok(());
                }
            }
            Ok(Some(Err(error))) => return Err(error),
            Ok(None) => return Err(Report::new(ErrorKind::StoreUnavailable).attach("watch ended")),
            Err(_) if shared.is_coordinator.get() => {
                return Err(Report::new(ErrorKind::StoreUnavailable).attach("watch silent"));
            }
            Err(_) => return Ok(()),
        }
    }
}

fn apply_event(shared: &Shared, event: Event) {
    match event {
        Event::Put(entry) => shared.put(entry),
        Event::Delete(key, revision) => shared.delete(&key, revision),
        Event::Progress(revision) => shared.advance(revision),
    }
}

/// Confirms the configuration with reads that see every acknowledged change.
pub(crate) async fn confirm(shared: Rc<Shared>) {
    loop {
        let limit = if shared.is_coordinator.get() {
            LEADING_AGE
        } else {
            CONFIRM_AGE
        };
        // The first load confirms, too, and without it there is nothing to keep up.
        if !shared.is_loaded() || shared.age().is_some_and(|age| age < limit) {
            sleep(CONFIRM_TICK).await;
            continue;
        }
        let sent = now();
        let key = shared.schema.configuration;
        match with_timeout(CALL_TIMEOUT, shared.store.range(key)).await {
            Ok(page) => {
                page.entries.into_iter().for_each(|entry| shared.put(entry));
                shared.confirm(sent);
            }
            Err(error) => {
                let age_ms = shared.age().map(|age| age.as_millis());
                warn!(?error, age_ms, "configuration not confirmed");
                sleep(CONFIRM_RETRY).await;
            }
        }
    }
}
