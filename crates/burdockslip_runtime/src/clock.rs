//! The monotonic clock, timers and timeouts.

use std::future::Future;
use std::ops::{Add, Sub};
use std::pin::Pin;
use std::sync::OnceLock;
use std::task::{Context, Poll};
use std::time::Duration;

use futures::future::{Either, select};
use rustix::time::{ClockId, clock_gettime};

use crate::paused;

/// A moment on the monotonic clock of this process.
///
/// Instants of different processes cannot be compared; see "stamp" in
/// `docs/design.md`, section 3.2.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Instant(Duration);

impl Instant {
    /// The moment at which the clock started.
    pub const START: Self = Self(Duration::ZERO);

    /// Returns the time from `earlier` to this moment, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time that has passed since this moment.
    pub fn elapsed(self) -> Duration {
        now().since(self)
    }

    /// Returns the time left until this moment, or zero if it has passed.
    pub fn remaining(self) -> Duration {
        self.since(now())
    }

    /// Returns whether this moment has been reached.
    pub fn is_past(self) -> bool {
        now() >= self
    }

    /// Returns the whole microseconds since the clock started.
    pub fn micros(self) -> u64 {
        u64::try_from(self.0.as_micros()).unwrap_or(u64::MAX)
    }

    /// Restores an instant from [`Instant::micros`] of the same process.
    pub const fn from_micros(micros: u64) -> Self {
        Self(Duration::from_micros(micros))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs))
    }
}

static START: OnceLock<Duration> = OnceLock::new();

/// Returns the time since the machine booted, including time spent suspended.
///
/// With a clock that stops while the machine is suspended, leases and
/// permissions would seem younger than they are afterwards.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Returns the current time of the clock in use on this thread.
pub fn now() -> Instant {
    if let Some(time) = paused::current_time() {
        return time;
    }
    let now = since_boot();
    Instant(now.saturating_sub(*START.get_or_init(|| now)))
}

/// Waits for `span`.
pub fn sleep(span: Duration) -> Sleep {
    sleep_until(now() + span)
}

/// Waits until `deadline`.
pub fn sleep_until(deadline: Instant) -> Sleep {
    if paused::is_active() {
        Sleep(Kind::Paused(deadline))
    } else {
        Sleep(Kind::Real(Box::pin(monoio::time::sleep(
            deadline.remaining(),
        ))))
    }
}

/// Completes when its deadline is reached.
#[derive(Debug)]
pub struct Sleep(Kind);

#[derive(Debug)]
enum Kind {
    Paused(Instant),
    Real(Pin<Box<monoio::time::Sleep>>),
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        match &mut self.0 {
            Kind::Real(sleep) => sleep.as_mut().poll(cx),
            Kind::Paused(deadline) if now() >= *deadline => Poll::Ready(()),
            Kind::Paused(deadline) => {
                paused::wake_at(*deadline, cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

/// The error of a future that did not complete before its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

/// Runs `future` for at most `span`.
///
/// # Errors
///
/// Returns [`Elapsed`] on a timeout; the future is dropped then.
pub async fn timeout<F: Future>(span: Duration, future: F) -> Result<F::Output, Elapsed> {
    timeout_at(now() + span, future).await
}

/// Runs `future` until `deadline` at the latest.
///
/// # Errors
///
/// Returns [`Elapsed`] if the deadline passed; the future is dropped then.
pub async fn timeout_at<F: Future>(deadline: Instant, future: F) -> Result<F::Output, Elapsed> {
    let future = std::pin::pin!(future);
    match select(future, sleep_until(deadline)).await {
        Either::Left((output, _)) => Ok(output),
        Either::Right(((), _)) => Err(Elapsed),
    }
}
