//! Holds what a watcher knows about the members of its group.

use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{LogIndex, LogPosition, MemberName, Term};

use crate::confirmed::ConfirmedMarks;
use crate::samples::{Sample, Samples};
use crate::{MemberStatus, Observation};

/// Holds the newest report of one member.
#[derive(Debug, Clone)]
pub(crate) struct Report {
    /// The report.
    pub(crate) status: MemberStatus,
    /// The moment at which the member was asked, or an earlier one if the
    /// report came through another watcher.
    pub(crate) asked: Instant,
}

/// Holds the reports of all members and what follows from them.
#[derive(Debug)]
pub(crate) struct View {
    names: Vec<MemberName>,
    reports: Vec<Option<Report>>,
    /// When each member last answered this watcher itself.
    answered: Vec<Instant>,
    /// When a working primary last answered this watcher itself.
    working: Instant,
    confirmed: ConfirmedMarks,
    samples: Samples,
}

impl View {
    pub(crate) fn new(names: Vec<MemberName>) -> Self {
        let count = names.len();
        Self {
            names,
            reports: vec![None; count],
            answered: vec![now(); count],
            working: now(),
            confirmed: ConfirmedMarks::default(),
            samples: Samples::default(),
        }
    }

    /// Returns the number of members that form a majority.
    pub(crate) fn majority(&self) -> usize {
        self.names.len() / 2 + 1
    }

    /// Returns the index of a member.
    pub(crate) fn index(&self, name: &MemberName) -> Option<usize> {
        self.names.iter().position(|n| n == name)
    }

    /// Returns the newest report of a member.
    pub(crate) fn report(&self, index: usize) -> Option<&Report> {
        self.reports.get(index)?.as_ref()
    }

    /// Records an answer that a member gave to this watcher.
    pub(crate) fn answer(&mut self, index: usize, asked: Instant, status: MemberStatus) {
        self.answered[index] = now();
        self.learn(index, asked, status);
        if self.is_working(index) {
            self.working = now();
        }
    }

    /// Records a report, which may have come through another watcher.
    pub(crate) fn learn(&mut self, index: usize, asked: Instant, status: MemberStatus) {
        let slot = &mut self.reports[index];
        if slot.as_ref().is_some_and(|old| old.asked > asked) {
            return;
        }
        *slot = Some(Report { status, asked });
        self.derive_confirmed();
        self.derive_sample();
    }

    /// Records reports that another watcher sent at `sent` or later.
    pub(crate) fn merge(&mut self, observations: Vec<Observation>, sent: Instant) {
        for observation in observations {
            if let Some(index) = self.index(&observation.status.member) {
                self.learn(index, sent - observation.age, observation.status);
            }
        }
    }

    /// Records a position that another watcher found confirmed.
    pub(crate) fn confirm(&mut self, position: LogPosition) {
        self.confirmed.record(position);
    }

    /// Records a sample that another watcher took.
    pub(crate) fn record(&mut self, sample: Sample) {
        self.samples.record(sample);
    }

    /// Lists the reports with their ages.
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

    /// Returns the highest term that a majority is known to have promised, or
    /// one that a majority has already passed.
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

    /// Returns whether the member is a primary that no majority has replaced
    /// and whose first entry is written.
    pub(crate) fn is_working(&self, index: usize) -> bool {
        let term = self.majority_term();
        self.report(index).is_some_and(|report| {
            let status = &report.status;
            status.is_primary && status.position.term == status.term && status.term >= term
        })
    }

    /// Returns the index and term of the primary whose term is confirmed.
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

    /// Returns the time since a working primary last answered this watcher.
    pub(crate) fn primary_silence(&self) -> Duration {
        self.working.elapsed()
    }

    /// Returns the confirmed positions.
    pub(crate) fn confirmed(&self) -> &ConfirmedMarks {
        &self.confirmed
    }

    /// Returns the samples that bound the age of replicas.
    pub(crate) fn samples(&self) -> &Samples {
        &self.samples
    }

    /// Finds the position that a majority holds in the term that it has promised.
    ///
    /// The reports may be of different times: a member that held an entry in
    /// its term shows it to every later promoter, so the fact stays true.
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

    /// Finds the latest moment after which a majority reported the same term.
    ///
    /// Every write acknowledged before that moment was held by a majority,
    /// which shares a member with this one; the highest position covers it.
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
