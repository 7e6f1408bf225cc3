//! Watches one section in the store.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{now, random_range, sleep, timeout};
use burdockslip_store::{Event, PROGRESS_PERIOD};
use burdockslip_types::{ErrorKind, Result};
use error_stack::{Report, bail};
use futures::{FutureExt, StreamExt};
use tracing::{debug, warn};

use crate::Section;
use crate::config::Shared;

/// Bounds the silence of a watch, which gives notice each period.
const SILENCE: Duration = PROGRESS_PERIOD.saturating_mul(4);

/// Spaces the attempts to reach a store that is down.
const RETRY_MILLIS: u64 = 500;

/// Watches `section` for as long as the task lives.
pub(crate) async fn run(shared: Rc<Shared>, section: Section) {
    loop {
        if let Err(error) = watch(&shared, section).await {
            debug!(?section, error = %error.current_context(), "watch broke");
        }
        let pause = random_range(RETRY_MILLIS..RETRY_MILLIS * 2);
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Reads the section and takes in its changes until the watch breaks.
async fn watch(shared: &Rc<Shared>, section: Section) -> Result<()> {
    let mut heard = now();
    let page = shared.store.range(section.prefix()).await?;
    let after = page.revision;
    if shared
        .update(section, |content| content.load(page))
        .is_none()
    {
        warn!(?section, %after, "store is behind the configuration in force");
        bail!(ErrorKind::StoreUnavailable);
    }
    let confirm = |at| {
        if section == Section::Catalogue {
            shared.known.borrow_mut().confirm(at);
        }
    };
    confirm(heard);
    let mut watch = shared.store.watch(section.prefix(), after).await?;
    loop {
        let first = timeout(SILENCE, watch.next())
            .await
            .map_err(|_| Report::new(ErrorKind::StoreUnavailable))?;
        let arrived = now();
        let mut events = Vec::new();
        let mut has_progress = false;
        let mut next = first;
        while let Some(event) = next {
            let event = event?;
            has_progress |= matches!(event, Event::Progress(_));
            events.push(event);
            next = watch.next().now_or_never().flatten();
        }
        if events.is_empty() {
            bail!(ErrorKind::StoreUnavailable);
        }
        shared.update(section, |content| content.watch(events));
        if has_progress {
            // A notice was asked for after the one before it arrived, so it
            // proves the state at that moment; it may itself be old.
            confirm(heard);
            heard = arrived;
        }
    }
}
