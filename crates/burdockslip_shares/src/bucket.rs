//! Keeps the bucket of one organisation at the coordinator.

use burdockslip_runtime::{Instant, now};

/// The tokens at the start, in seconds of the rate. Together with the tokens
/// that hosts hold this stays within a tenth of a window's limit.
const START_SECONDS: f64 = 0.25;

/// Fills at a rate up to a burst and hands out tokens.
#[derive(Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    /// Builds a nearly empty bucket, because an earlier coordinator may have
    /// handed out everything.
    pub(crate) fn new(rate: f64) -> Self {
        Self {
            tokens: rate * START_SECONDS,
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
