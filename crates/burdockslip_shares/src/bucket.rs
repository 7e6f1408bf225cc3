//! The coordinator's token bucket of one organisation.

use burdockslip_runtime::{Instant, now};

/// The initial tokens, as seconds of the rate. Together with the tokens that
/// hosts hold they stay within a tenth of the limit of a window.
const INITIAL_SECONDS: f64 = 0.25;

/// A token bucket whose rate and capacity are passed in at each refill.
#[derive(Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    refilled: Instant,
}

impl Bucket {
    /// Creates a bucket that was nearly empty at `since`, when this coordinator took
    /// over, because the previous one may have granted all tokens.
    ///
    /// Nothing was granted since to an organisation that is first seen later, so the next
    /// refill adds the tokens of the whole time.
    pub(crate) fn new(rate: f64, since: Instant) -> Self {
        Self {
            tokens: rate * INITIAL_SECONDS,
            refilled: since,
        }
    }

    /// Adds the tokens accrued since the last refill, up to `burst`.
    pub(crate) fn refill(&mut self, rate: f64, burst: f64) {
        let elapsed = self.refilled.elapsed().as_secs_f64();
        self.refilled = now();
        self.tokens = (self.tokens + elapsed * rate).min(burst);
    }

    /// Removes and returns up to `wanted` whole tokens.
    pub(crate) fn take(&mut self, wanted: f64) -> f64 {
        let granted = wanted.min(self.tokens).floor().max(0.0);
        self.tokens -= granted;
        granted
    }
}
