//! Samples of the log position at past times, which bound the age of replicas.

use std::collections::VecDeque;

use burdockslip_runtime::Instant;
use burdockslip_types::{LogPosition, Term};

/// The maximum number of samples. Dropping a sample can only make an age bound
/// larger, never smaller. At ten samples a second the newest 256, of which none
/// is dropped, cover 25 s.
const SAMPLE_LIMIT: usize = 512;

/// The fact that at time `at` no write had been acknowledged in a term above
/// `term`, and that every acknowledged write was at or before `position`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Sample {
    /// When the majority was queried, or an earlier time.
    pub(crate) at: Instant,
    /// The term that a majority had promised.
    pub(crate) term: Term,
    /// A position at or past every write acknowledged by `at`.
    pub(crate) position: LogPosition,
}

/// The recent samples, ordered by time.
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
            // Of two samples that differ only in time, the later implies the earlier.
            *last = sample;
            return is_newest;
        }
        self.0.insert(index, sample);
        if self.0.len() > SAMPLE_LIMIT {
            self.thin_out();
        }
        is_newest
    }

    /// Returns the latest time for which a replica at `position` is known to hold
    /// every write acknowledged until then.
    pub(crate) fn fresh_at(&self, position: LogPosition) -> Option<Instant> {
        self.0
            .iter()
            .rev()
            .find(|s| s.position <= position)
            .map(|s| s.at)
    }

    /// Returns the time of the newest sample of `term`, at which no later term had
    /// acknowledged a write.
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
