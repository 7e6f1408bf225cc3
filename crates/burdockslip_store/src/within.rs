//! Timeouts for calls.

use std::time::Duration;

use burdockslip_runtime::timeout;
use burdockslip_types::{ErrorKind, Result};
use error_stack::Report;

/// Drops `call` if it has not completed after `span`; it may still take effect.
///
/// # Errors
///
/// Returns `StoreUnavailable` on a timeout, or the error of the call.
pub async fn with_timeout<T>(span: Duration, call: impl Future<Output = Result<T>>) -> Result<T> {
    match timeout(span, call).await {
        Ok(result) => result,
        Err(_) => Err(Report::new(ErrorKind::StoreUnavailable).attach("no answer in time")),
    }
}
