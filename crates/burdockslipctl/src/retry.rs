//! Retries calls to a store that does not respond.

use std::time::Duration;

use burdockslip_runtime::{random_range, sleep};
use burdockslip_store::{Page, Store};
use burdockslip_types::{ErrorKind, Result};
use error_stack::Report;

/// The maximum number of attempts of one call.
///
/// With the waits between them, the attempts bridge an outage of about 15 s; a
/// longer one is reported to the operator.
pub(crate) const MAX_ATTEMPTS: u32 = 6;

/// The wait after the first attempt; it doubles with each further attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Waits before the next attempt, with jitter so that operators do not retry in lockstep.
pub(crate) async fn back_off(attempt: u32) {
    let wait = INITIAL_BACKOFF * 2_u32.pow(attempt.min(6));
    let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    sleep(Duration::from_millis(random_range(millis / 2..millis + 1))).await;
}

/// Returns whether the store gave no response, so that the call may or may not
/// have taken effect.
pub(crate) fn is_unanswered(report: &Report<ErrorKind>) -> bool {
    matches!(
        report.current_context(),
        ErrorKind::StoreUnavailable | ErrorKind::ConnectionLost | ErrorKind::DeadlineExceeded
    )
}

/// Reads the entries under `prefix`, retrying while the store does not respond.
pub(crate) async fn range(store: &Store, prefix: &str) -> Result<Page> {
    let mut attempt = 0;
    loop {
        match store.range(prefix).await {
            Err(report) if is_unanswered(&report) && attempt + 1 < MAX_ATTEMPTS => {
                back_off(attempt).await;
                attempt += 1;
            }
            result => return result,
        }
    }
}
