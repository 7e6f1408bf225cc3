//! Bounds the age of replicas by positions that were known at past moments.

use std::collections::VecDeque;

use burdockslip_runtime::Instant;
use burdockslip_types::{LogPosition, Term};

/// Bounds the number of samples. Dropping one makes an age bound larger, never
/// smaller; at ten samples a second the newest 256 cover 25 s exactly.
const SAMPLE_LIMIT: usize = 512;

/// States that at a moment no term above `term` had acknowledged a write and
/// every acknowledged write was at or before `position`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Sample {
    /// The moment at which the majority was asked, or an earlier one.
    pub(crate) at: Instant,
    /// The term that a majority had promised.
    pub(crate) term: Term,
    /// A position at or past every write acknowledged by then.
    pub(crate) position: LogPosition,
}

/// Holds samples ordered by time.
#[derive(Debug, Clone, Default)]
pub(crate) struct Samples(VecDeque<Sample>);

impl Samples {
    /// Adds a sample and returns whether it is the newest.
    pub(crate) fn record(&mut self, sample: Sample) -> bool {
        let index = self.0.partition_point(|s| s.at <= sample.at);
        let is_newest = index == self.0.len();
        if let Some(last) = index.checked_sub(1).and_then(|i| self.0.get_mut(i))
            && last.position == sample.position
            && last.term == sample.term
        {
            // The later of two equal statements implies the earlier one.
            *last = sample;
            return is_newest;
        }
        self.0.insert(index, sample);
        if self.0.len() > SAMPLE_LIMIT {
            self.thin_out();
        }
        is_newest
    }

    /// Returns the latest moment up to which a replica at `position` holds every
    /// acknowledged write.
    pub(crate) fn fresh_at(&self, position: LogPosition) -> Option<Instant> {
        self.0
            .iter()
            .rev()
            .find(|s| s.position <= position)
            .map(|s| s.at)
    }

    /// Returns the last moment at which `term` was confirmed by a majority.
    pub(crate) fn term_at(&self, term: Term) -> Option<Instant> {
        self.0.iter().rev().find(|s| s.term == term).map(|s| s.at)
    }

    /// Returns the newest sample.
    pub(crate) fn newest(&self) -> Option<Sample> {
        self.0.back().copied()
    }

    /// Drops every second sample of the older half.
    fn thin_out(&mut self) {
        let mut index = 0;
        self.0.retain(|_| {
            index += 1;
            index > SAMPLE_LIMIT / 2 || index % 2 == 0
        });
    }
}
