//! The progress of the receipts of a group's commits.

use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::LogPosition;

/// How long commits may wait while replicas show no progress before further writes are
/// refused. Replicas receive commits within some milliseconds.
const STALL_LIMIT: Duration = Duration::from_millis(250);

/// What replicas have shown to hold, and what commits wait for.
#[derive(Debug)]
pub struct ReceiptProgress {
    /// The highest position that a replica has shown to hold.
    received: LogPosition,
    /// The highest position that a commit waits for.
    wanted: LogPosition,
    /// When a replica last showed that it holds more, or the first commit began to wait.
    advanced: Instant,
}

impl ReceiptProgress {
    /// Creates the progress of a group whose first commit waits for `wanted`.
    pub fn new(wanted: LogPosition) -> Self {
        Self {
            received: LogPosition::default(),
            wanted,
            advanced: now(),
        }
    }

    /// Records that a commit waits for a position.
    pub fn want(&mut self, position: LogPosition) {
        if self.is_complete() {
            self.advanced = now();
        }
        self.wanted = self.wanted.max(position);
    }

    /// Records that a replica has shown that it holds a position.
    pub fn record(&mut self, received: LogPosition) {
        if received > self.received {
            self.received = received;
            self.advanced = now();
        }
    }

    /// Returns whether a replica has shown that it holds a position. The log of a later
    /// term may have continued from an earlier one.
    pub fn covers(&self, position: LogPosition) -> bool {
        self.received.term == position.term && self.received >= position
    }

    /// Returns whether no commit waits.
    pub fn is_complete(&self) -> bool {
        self.covers(self.wanted)
    }

    /// Returns the position that commits wait for, if any.
    pub fn wanted(&self) -> Option<LogPosition> {
        (!self.is_complete()).then_some(self.wanted)
    }

    /// Returns whether commits wait although replicas have shown no progress for a while.
    pub fn is_stalled(&self) -> bool {
        !self.is_complete() && self.advanced.elapsed() > STALL_LIMIT
    }
}
