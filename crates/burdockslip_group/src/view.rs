//! A watcher's view of the members of its group.

use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{LogIndex, LogPosition, MemberName, Term};

use crate::confirmed::ConfirmedPositions;
use crate::samples::{Sample, Samples};
use crate::{MemberStatus, Observation};

/// The newest report of one member.
#[derive(Debug, Clone)]
pub(crate) struct MemberReport {
    pub(crate) status: MemberStatus,
    /// When the member was queried, or an earlier time if the report came
    /// through another watcher.
    pub(crate) asked: Instant,
}

/// The reports of all members and the state derived from them.
#[derive(Debug)]
pub(crate) struct View {
    names: Vec<MemberName>,
    reports: Vec<Option<MemberReport>>,
    /// When each member last answered this watcher itself.
    answered: Vec<Instant>,
    /// When an active primary last answered this watcher itself.
    primary_answered: Instant,
    confirmed: ConfirmedPositions,
    samples: Samples,
}

impl View {
    pub(crate) fn new(names: Vec<MemberName>) -> Self {
        let count = names.len();
        Self {
            names,
            reports: vec![None; count],
            answered: vec![now(); count],
            primary_answered: now(),
            confirmed: ConfirmedPositions::default(),
            samples: Samples::default(),
        }
    }

    /// Returns the number of members that form a majority.
    pub(crate) fn majority(&self) -> usize {
        self.names.len() / 2 + 1
    }

    pub(crate) fn index(&self, name: &MemberName) -> Option<usize> {
        self.names.iter().position(|n| n == name)
    }

    /// Returns the newest report of a member.
    pub(crate) fn report(&self, index: usize) -> Option<&MemberReport> {
        self.reports.get(index)?.as_ref()
    }

    /// Records a member's answer to a query of this watcher.
    pub(crate) fn record_answer(&mut self, index: usize, asked: Instant, status: MemberStatus) {
        self.answered[index] = now();
        self.record_report(index, asked, status);
        if self.is_active_primary(index) {
            self.primary_answered = now();
        }
    }

    /// Records a report, which may have come through another watcher, unless a
    /// newer one is known.
    pub(crate) fn record_report(&mut self, index: usize, asked: Instant, status: MemberStatus) {
        let slot = &mut self.reports[index];
        if slot.as_ref().is_some_and(|old| old.asked > asked) {
            return;
        }
        *slot = Some(MemberReport { status, asked });
        self.derive_confirmed();
        self.derive_sample();
    }

    /// Records reports that another watcher sent at `sent` or later, so that
    /// the query times computed from their ages are never too late.
    pub(crate) fn merge(&mut self, observations: Vec<Observation>, sent: Instant) {
        for observation in observations {
            if let Some(index) = self.index(&observation.status.member) {
                self.record_report(index, sent - observation.age, observation.status);
            }
        }
    }

    /// Records a position that a majority holds.
    pub(crate) fn record_confirmed(&mut self, position: LogPosition) {
        self.confirmed.record(position);
    }

    /// Records a sample that another watcher took.
    pub(crate) fn record_sample(&mut self, sample: Sample) {
        self.samples.record(sample);
    }

    /// Returns the reports together with their ages.
    pub(crate) fn observations(&self) -> Vec<Observation> {
        let time = now();
        self.reports
            .iter()
            .flatten()
            .map(|report| Observation {
                status: report.status.clone(),
                age: time.since(report.asked),
            })
            .collect()
    }

    /// Returns the highest term that a majority is known to have reached.
    ///
    /// The reports may be old, so a majority may have promised a higher term
    /// since.
    pub(crate) fn majority_term(&self) -> Term {
        let mut terms: Vec<_> = self
            .reports
            .iter()
            .flatten()
            .map(|r| r.status.term)
            .collect();
        terms.sort_unstable_by(|a, b| b.cmp(a));
        terms.get(self.majority() - 1).copied().unwrap_or_default()
    }

    /// Returns the highest term promised by any member.
    pub(crate) fn highest_term(&self) -> Term {
        let terms = self.reports.iter().flatten().map(|r| r.status.term);
        terms.max().unwrap_or_default()
    }

    /// Returns whether the member is an active primary: it has written the first
    /// entry of its term, and no majority is known to have promised a higher one.
    pub(crate) fn is_active_primary(&self, index: usize) -> bool {
        let term = self.majority_term();
        self.report(index).is_some_and(|report| {
            let status = &report.status;
            status.is_primary && status.position.term == status.term && status.term >= term
        })
    }

    /// Returns the index and term of the primary whose term is confirmed, unless
    /// a majority has promised a higher term.
    pub(crate) fn primary(&self) -> Option<(usize, Term)> {
        let term = self.confirmed.newest()?.term;
        if self.majority_term() > term {
            return None;
        }
        let index = (0..self.names.len()).find(|&index| {
            self.report(index)
                .is_some_and(|r| r.status.is_primary && r.status.term == term)
        })?;
        Some((index, term))
    }

    /// Returns the time since the member last answered this watcher.
    pub(crate) fn silence(&self, index: usize) -> Duration {
        self.answered[index].elapsed()
    }

    /// Returns the time since an active primary last answered this watcher.
    pub(crate) fn primary_silence(&self) -> Duration {
        self.primary_answered.elapsed()
    }

    pub(crate) fn confirmed(&self) -> &ConfirmedPositions {
        &self.confirmed
    }

    pub(crate) fn samples(&self) -> &Samples {
        &self.samples
    }

    /// Records the highest position that a majority holds in the term that it
    /// has promised.
    ///
    /// The reports may be from different times. A member that held an entry
    /// while its promised term was the entry's term reports the entry to every
    /// later promoter, so the entry stays confirmed.
    fn derive_confirmed(&mut self) {
        let term = self.majority_term();
        let mut indexes: Vec<LogIndex> = self
            .reports
            .iter()
            .flatten()
            .filter(|r| r.status.term == term && r.status.position.term == term)
            .map(|r| r.status.position.index)
            .collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(&index) = indexes.get(self.majority() - 1) {
            self.confirmed.record(LogPosition { term, index });
        }
    }

    /// Records a sample for the latest time after which a majority reported the
    /// same term.
    ///
    /// Every write acknowledged before that time was held by a majority, which
    /// has a member in common with the majority that reported. The highest
    /// reported position is therefore at or past that write.
    fn derive_sample(&mut self) {
        let term = self.majority_term();
        let mut reports: Vec<_> = self
            .reports
            .iter()
            .flatten()
            .filter(|r| r.status.term == term)
            .collect();
        reports.sort_unstable_by_key(|r| std::cmp::Reverse(r.asked));
        let Some(newest) = reports.get(..self.majority()) else {
            return;
        };
        let positions = newest.iter().map(|r| r.status.position);
        if let (Some(oldest), Some(position)) = (newest.last(), positions.max()) {
            self.samples.record(Sample {
                at: oldest.asked,
                term,
                position,
            });
        }
    }
}
