//! The relay task, which watches one section in the store.

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

/// How long a watch may be silent before it is treated as broken; the store
/// sends a progress notification in each period.
const MAX_SILENCE: Duration = PROGRESS_PERIOD.saturating_mul(4);

/// The minimum delay between attempts to watch the store; the actual delay is
/// random, up to twice as long.
const MIN_RETRY_MILLIS: u64 = 500;

/// Watches `section` until the task is dropped, and retries after errors.
pub(crate) async fn run(shared: Rc<Shared>, section: Section) {
    loop {
        if let Err(error) = watch(&shared, section).await {
            debug!(?section, error = %error.current_context(), "store watch failed, retrying");
        }
        let pause = random_range(MIN_RETRY_MILLIS..MIN_RETRY_MILLIS * 2);
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Reads the section and applies its changes until the watch fails.
async fn watch(shared: &Rc<Shared>, section: Section) -> Result<()> {
    let mut proven_at = now();
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
            shared.freshness.borrow_mut().record_store(at);
        }
    };
    confirm(proven_at);
    let mut watch = shared.store.watch(section.prefix(), after).await?;
    loop {
        let first = timeout(MAX_SILENCE, watch.next())
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
        shared.update(section, |content| content.apply_events(events));
        if has_progress {
            // A progress notification is requested only after the previous one
            // has arrived, so it proves the state at the time of that arrival. It
            // does not prove the present state, because it may itself be old.
            confirm(proven_at);
            proven_at = arrived;
        }
    }
}
