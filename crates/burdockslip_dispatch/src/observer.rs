//! Counts what becomes of statements between two reports.

use std::collections::BTreeMap;
use std::time::Duration;

use burdockslip_types::MemberName;

use crate::{Observation, Rank};

/// What became of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It was answered after this time, soon enough for its latency objective.
    InTime(Duration),
    /// It was answered late.
    Late,
    /// It was refused because the queue was full.
    Refused,
    /// It was held back.
    Held,
}

/// The counts of a host since its last report.
#[derive(Debug, Default)]
pub struct Observer {
    counts: BTreeMap<(MemberName, Rank), Observation>,
}

impl Observer {
    /// Counts a statement to a member.
    pub fn record(&mut self, member: &MemberName, rank: Rank, answer: Answer) {
        let key = (member.clone(), rank);
        let counts = self
            .counts
            .entry(key)
            .or_insert_with(|| Observation::new(rank));
        counts.add(Observation::of(rank, answer));
    }

    /// Removes and returns all counts, or only those that show pressure.
    ///
    /// Counts of calm members are needed only for comparison with others, and take bytes.
    pub fn take(&mut self, is_watched: bool) -> Vec<(MemberName, Vec<Observation>)> {
        let mut members: Vec<(MemberName, Vec<Observation>)> = Vec::new();
        for ((member, _), observation) in std::mem::take(&mut self.counts) {
            if !is_watched && !observation.shows_pressure() {
                continue;
            }
            match members.last_mut() {
                Some((last, observations)) if *last == member => observations.push(observation),
                _ => members.push((member, vec![observation])),
            }
        }
        members
    }
}
