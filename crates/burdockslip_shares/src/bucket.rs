//! Keeps the bucket of one organisation at the coordinator.

use burdockslip_runtime::{Instant, now};

/// Fills at a rate up to a burst and hands out tokens.
#[derive(Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    /// Builds an empty bucket, because an earlier coordinator may have handed
    /// out everything.
    pub(crate) fn empty() -> Self {
        Self {
            tokens: 0.0,
            filled: now(),
        }
    }

    /// Fills the bucket for the time that has passed.
    pub(crate) fn fill(&mut self, rate: f64, burst: f64) {
        let span = self.filled.elapsed().as_secs_f64();
        self.filled = now();
        self.tokens = (self.tokens + span * rate).min(burst);
    }

    /// Hands out up to `wanted` whole tokens.
    pub(crate) fn take(&mut self, wanted: f64) -> f64 {
        let taken = wanted.min(self.tokens).floor().max(0.0);
        self.tokens -= taken;
        taken
    }
}
