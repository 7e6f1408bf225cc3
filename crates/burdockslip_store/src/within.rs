//! Bounds calls in time.

use std::time::Duration;

use burdockslip_runtime::timeout;
use burdockslip_types::{ErrorKind, Result};
use error_stack::Report;

/// Gives up a call that has no answer after `span`; it may still take effect.
///
/// # Errors
///
/// Returns `StoreUnavailable` if the time ran out, or the error of the call.
pub async fn with_timeout<T>(span: Duration, call: impl Future<Output = Result<T>>) -> Result<T> {
    match timeout(span, call).await {
        Ok(result) => result,
        Err(_) => Err(Report::new(ErrorKind::StoreUnavailable).attach("no answer in time")),
    }
}
