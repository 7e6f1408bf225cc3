//! The token bucket of one paced member.

use burdockslip_runtime::{Instant, now};

/// A token bucket whose rate and capacity are passed in.
#[derive(Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    refilled: Instant,
}

impl Bucket {
    pub(crate) fn new(tokens: f64) -> Self {
        Self {
            tokens,
            refilled: now(),
        }
    }

    /// Removes all tokens.
    pub(crate) fn empty(&mut self) {
        *self = Self::new(0.0);
    }

    /// Adds the tokens accrued since the last refill, up to `capacity`.
    pub(crate) fn refill(&mut self, rate: f64, capacity: f64) {
        let elapsed = self.refilled.elapsed().as_secs_f64();
        self.refilled = now();
        self.tokens = (self.tokens + elapsed * rate).min(capacity);
    }

    /// Returns the number of whole tokens.
    pub(crate) const fn available(&self) -> f64 {
        self.tokens.floor().max(0.0)
    }

    /// Removes and returns up to `wanted` whole tokens.
    pub(crate) const fn take(&mut self, wanted: f64) -> f64 {
        let taken = wanted.floor().max(0.0).min(self.available());
        self.tokens -= taken;
        taken
    }
}
