//! Keeps the directory up to date.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{now, random_range, sleep, timeout};
use burdockslip_store::{Event, Watch};
use burdockslip_types::{ErrorKind, Result};
use error_stack::Report;
use futures::StreamExt;
use tracing::{info, warn};

use crate::directory::Shared;

/// The age at which a host asks the store itself, because no peer has confirmed
/// the configuration. Three attempts fit in before requests are refused.
const CONFIRM_AGE: Duration = Duration::from_millis(1_500);

/// The age at which the host asks on which the others rely.
const LEADING_AGE: Duration = Duration::from_millis(500);

/// How often the age is looked at.
const CONFIRM_TICK: Duration = Duration::from_millis(100);

/// How soon a failed confirmation is repeated.
const CONFIRM_RETRY: Duration = Duration::from_millis(250);

/// Bounds a call; a slow store takes up to about 0.5 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Pauses between attempts to read the store, in milliseconds.
const RETRY_MS: (u64, u64) = (100, 300);

/// How long a watch may stay silent before everything is read again. A watch
/// whose connection went dead shows no error.
const WATCH_SILENCE: Duration = Duration::from_secs(14);

/// Reads the store and applies its changes, again and again.
pub(crate) async fn watch(shared: Rc<Shared>) {
    let mut is_reachable = true;
    loop {
        let outcome = load(&shared).await;
        match outcome {
            Ok(watch) => {
                if !is_reachable {
                    info!("store reachable again");
                }
                is_reachable = true;
                apply(&shared, watch).await;
            }
            Err(error) => {
                if is_reachable {
                    warn!(?error, "store unreachable, serving from known state");
                }
                is_reachable = false;
                let (least, most) = RETRY_MS;
                sleep(Duration::from_millis(random_range(least..most))).await;
            }
        }
    }
}

async fn load(shared: &Shared) -> Result<Watch> {
    let sent = now();
    let page = within(CALL_TIMEOUT, shared.store.range("")).await?;
    let revision = page.revision;
    shared.replace(page.entries);
    shared.confirm(sent);
    within(CALL_TIMEOUT, shared.store.watch("", revision)).await
}

async fn apply(shared: &Shared, mut watch: Watch) {
    loop {
        match timeout(WATCH_SILENCE, watch.next()).await {
            Ok(Some(Ok(Event::Put(entry)))) => shared.put(entry),
            Ok(Some(Ok(Event::Delete(key, revision)))) => shared.delete(&key, revision),
            Ok(Some(Ok(Event::Progress(_)))) => {}
            Ok(Some(Err(error))) => {
                info!(?error, "watch broke, reading the store again");
                return;
            }
            Ok(None) | Err(_) => {
                info!("watch ended, reading the store again");
                return;
            }
        }
    }
}

/// Confirms the configuration with reads that see every acknowledged change.
pub(crate) async fn confirm(shared: Rc<Shared>) {
    loop {
        let limit = if shared.is_leading.get() {
            LEADING_AGE
        } else {
            CONFIRM_AGE
        };
        if shared.age().is_some_and(|age| age < limit) {
            sleep(CONFIRM_TICK).await;
            continue;
        }
        let sent = now();
        let key = shared.schema.configuration;
        match within(CALL_TIMEOUT, shared.store.range(key)).await {
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

async fn within<T>(span: Duration, call: impl Future<Output = Result<T>>) -> Result<T> {
    match timeout(span, call).await {
        Ok(result) => result,
        Err(_) => Err(Report::new(ErrorKind::StoreUnavailable).attach("no answer in time")),
    }
}
