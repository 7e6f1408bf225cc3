//! Repeats calls to a store that does not answer.

use std::time::Duration;

use burdockslip_runtime::{random_range, sleep};
use burdockslip_store::{Page, Store};
use burdockslip_types::{ErrorKind, Result};
use error_stack::Report;

/// Bounds the attempts of one call: with the waits between them an outage of
/// about 15 s is bridged, and an operator is told about a longer one.
pub(crate) const ATTEMPTS: u32 = 6;

/// Gives the wait after the first attempt, doubled after each further one.
const FIRST_WAIT: Duration = Duration::from_millis(500);

/// Waits before the next attempt, with jitter against operators in step.
pub(crate) async fn pause(attempt: u32) {
    let wait = FIRST_WAIT * 2_u32.pow(attempt.min(6));
    let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    sleep(Duration::from_millis(random_range(millis / 2..millis + 1))).await;
}

/// Returns whether an error leaves open what became of a call.
pub(crate) fn is_unanswered(report: &Report<ErrorKind>) -> bool {
    matches!(
        report.current_context(),
        ErrorKind::StoreUnavailable | ErrorKind::ConnectionLost | ErrorKind::DeadlineExceeded
    )
}

/// Reads a prefix, repeated while the store does not answer.
pub(crate) async fn range(store: &Store, prefix: &str) -> Result<Page> {
    let mut attempt = 0;
    loop {
        match store.range(prefix).await {
            Err(report) if is_unanswered(&report) && attempt + 1 < ATTEMPTS => {
                pause(attempt).await;
                attempt += 1;
            }
            result => return result,
        }
    }
}
