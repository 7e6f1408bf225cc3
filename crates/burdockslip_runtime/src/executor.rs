//! Starts the `monoio` runtime of a process.

use std::future::Future;

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs `future` to its end on `monoio` with the epoll driver.
///
/// The driver is named explicitly because hosts forbid `io_uring`
/// (`docs/design.md`, section 1.6).
///
/// # Panics
///
/// Panics if the operating system refuses the epoll instance, since nothing
/// can run then.
pub fn block_on<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the operating system must grant an epoll instance")
        .block_on(future)
}
