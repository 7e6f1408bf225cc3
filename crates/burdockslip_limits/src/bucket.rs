//! Implements the token bucket of one organisation in one zone.

use std::time::Duration;

use burdockslip_runtime::Instant;

use crate::{Rate, Tokens};

/// Holds tokens that accrue over time, up to a capacity.
#[derive(Debug, Clone)]
pub struct Bucket {
    level: Tokens,
    capacity: Tokens,
    updated: Instant,
}

impl Bucket {
    /// Builds an empty bucket.
    ///
    /// A bucket starts empty because a predecessor may have granted the whole
    /// burst just before (`docs/design.md`, section 4.7).
    pub fn new(capacity: Tokens, now: Instant) -> Self {
        Self {
            level: Tokens::default(),
            capacity,
            updated: now,
        }
    }

    /// Returns the tokens as of the last refill.
    pub fn level(&self) -> Tokens {
        self.level
    }

    /// Returns when the bucket was last refilled.
    pub fn updated(&self) -> Instant {
        self.updated
    }

    /// Changes the capacity and drops what is above it.
    pub fn resize(&mut self, capacity: Tokens) {
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Adds the tokens that accrued at `rate` since the last refill, and `extra`.
    pub fn refill(&mut self, rate: Rate, extra: Tokens, now: Instant) {
        let gained = rate.tokens_in(now.since(self.updated)) + extra;
        self.level = (self.level + gained).min(self.capacity);
        self.updated = self.updated.max(now);
    }

    /// Takes up to `wanted`, in whole tokens.
    pub fn take(&mut self, wanted: Tokens) -> Tokens {
        let taken = wanted.min(self.level.floor());
        self.level = self.level - taken;
        taken
    }

    /// Returns the time until `wanted` is available at `rate`.
    pub fn wait_for(&self, wanted: Tokens, rate: Rate) -> Duration {
        rate.time_for(wanted.min(self.capacity) - self.level)
    }
}
