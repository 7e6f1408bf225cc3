//! The `monoio` runtime of a process.

use std::future::Future;

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs `future` to completion on `monoio` with the epoll driver.
///
/// The driver is named explicitly because hosts forbid `io_uring`
/// (`docs/design.md`, section 1.6).
///
/// # Panics
///
/// Panics if the operating system does not grant an epoll instance, without
/// which nothing can run.
pub fn block_on<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the operating system must grant an epoll instance")
        .block_on(future)
}
