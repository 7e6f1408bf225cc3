//! The clock, tasks and random numbers that all other crates use.
//!
//! Code runs either on `monoio` with its epoll driver or, in tests and in the
//! `measure` example, on a paused executor whose clock advances only when
//! every task waits. See `docs/design.md`, section 3.

mod clock;
mod executor;
pub mod paused;
mod random;
mod readable;
mod signal;
mod task;

pub use clock::{Elapsed, Instant, Sleep, now, sleep, sleep_until, timeout, timeout_at};
pub use executor::block_on;
pub use random::{random_bytes, random_range, random_u64};
pub use readable::readable;
pub use signal::{Changed, Signal};
pub use task::{Task, spawn, yield_now};
