//! Finds how many statements one resource can serve from how it answers.

use std::collections::BTreeMap;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};

use crate::holdback::Holdback;
use crate::{Observation, Rank};

/// The time between two decisions. All hosts report at least once in it.
const PERIOD: Duration = Duration::from_millis(450);

/// The fraction of refused and late answers up to which nothing changes.
const STEADY: f64 = 0.02;

/// The fraction of refused and late answers from which less is sent.
const OVERLOADED: f64 = 0.06;

/// How much a late answer counts in comparison with a refused one: it was still of use.
const LATE_WEIGHT: f64 = 0.3;

/// The most by which the room is lowered below what is answered, for late answers. A queue
/// that makes all answers late empties with a small part less.
const MAX_LATE_CUT: f64 = 0.12;

/// The growth of the number of statements that may be sent in the first period without
/// pressure; it doubles in each further one.
const GROWTH: f64 = 0.04;

/// The largest growth in a period.
const MAX_GROWTH: f64 = 0.25;

/// The part of the work answered under pressure up to which operations beyond the usual of
/// their organisation are let in.
const EXCESS_PART: f64 = 0.9;

/// The weight of the newest period in the averages of the offered statements.
const NEWEST_WEIGHT: f64 = 0.6;

/// The least number of statements in a period that shows anything.
const MIN_SAMPLE: u32 = 4;

/// The expected work of a statement before one was answered, in seconds.
const INITIAL_WORK: f64 = 0.01;

/// The growth of the expected work in a period, which forgets an exceptionally quick answer.
const WORK_GROWTH: f64 = 1.05;

/// After how many periods without any statement the resource is forgotten.
const MAX_IDLE_PERIODS: u32 = 7;

/// The statements of a rank in the current period, and what it offers.
#[derive(Debug)]
struct Counts {
    /// The sum of the current period.
    current: Observation,
    /// The average number of statements offered in a period.
    offered: f64,
    /// The expected work of a statement in seconds: its quickest recent answer.
    work: f64,
}

/// The work of the statements of a period, in seconds.
#[derive(Debug, Default)]
struct Work {
    sent: f64,
    refused: f64,
    late: f64,
}

/// Regulates the statements to one resource: a member, or a host's processor time.
///
/// Answers load: a demand of several times what the resource serves.
#[derive(Debug)]
pub struct Regulator {
    ranks: BTreeMap<Rank, Counts>,
    decided: Instant,
    holdback: Option<Holdback>,
    /// The work that may be sent in a period, in seconds.
    room: f64,
    growth: f64,
    /// The work answered in a period when the room was last lowered.
    answered: f64,
    /// Whether the last decision lowered the room. Hosts learn of it during the next
    /// period, whose answers say nothing about it.
    is_settling: bool,
    idle_periods: u32,
}

impl Default for Regulator {
    fn default() -> Self {
        Self {
            ranks: BTreeMap::new(),
            decided: now(),
            holdback: None,
            room: 0.0,
            growth: GROWTH,
            answered: 0.0,
            is_settling: false,
            idle_periods: 0,
        }
    }
}

impl Regulator {
    /// Adds what became of statements.
    pub fn record(&mut self, observation: Observation) {
        let rank = observation.rank;
        let counts = self.ranks.entry(rank).or_insert_with(|| Counts {
            current: Observation::new(rank),
            offered: 0.0,
            work: INITIAL_WORK,
        });
        counts.current.add(observation);
    }

    /// Returns the statements that are held back, after a decision if it is time for one.
    pub fn decide(&mut self) -> Option<Holdback> {
        if self.decided.elapsed() >= PERIOD {
            self.decided = now();
            self.holdback = self.next_holdback();
        }
        self.holdback
    }

    /// Returns the statements that are held back according to the last decision.
    pub const fn holdback(&self) -> Option<Holdback> {
        self.holdback
    }

    /// Returns whether nothing is held back and no statement was counted for some periods.
    pub const fn is_idle(&self) -> bool {
        self.holdback.is_none() && self.idle_periods >= MAX_IDLE_PERIODS
    }

    /// Forgets the counts of the current period.
    pub fn restart(&mut self) {
        self.ranks.clear();
        self.decided = now();
    }

    fn next_holdback(&mut self) -> Option<Holdback> {
        let mut work = Work::default();
        let mut sample = 0_u32;
        for counts in self.ranks.values_mut() {
            let rank = counts.current.rank;
            let current = std::mem::replace(&mut counts.current, Observation::new(rank));
            sample = sample.saturating_add(current.sent());
            work.sent += counts.work * f64::from(current.sent());
            work.refused += counts.work * f64::from(current.refused);
            work.late += counts.work * f64::from(current.late);
            let offered = f64::from(current.sent().saturating_add(current.held));
            counts.offered += NEWEST_WEIGHT * (offered - counts.offered);
            counts.work *= WORK_GROWTH;
            if let Some(quickest) = current.quickest {
                counts.work = counts.work.min(quickest.as_secs_f64());
            }
        }
        self.idle_periods = if sample > 0 { 0 } else { self.idle_periods + 1 };
        if self.idle_periods >= MAX_IDLE_PERIODS {
            self.ranks.clear();
            return None;
        }
        if sample < MIN_SAMPLE {
            return self.holdback;
        }
        if !self.adjust_room(&work) {
            return None;
        }
        let offered: Vec<_> = self
            .ranks
            .iter()
            .map(|(rank, counts)| (*rank, counts.offered * counts.work))
            .collect();
        Holdback::divide(self.room, &offered)
    }

    /// Adjusts the room to what was answered of the work sent. Returns whether the
    /// room is limited.
    fn adjust_room(&mut self, work: &Work) -> bool {
        let was_settling = std::mem::take(&mut self.is_settling);
        let late_part = LATE_WEIGHT * work.late / work.sent;
        let pressure = work.refused / work.sent + late_part;
        if pressure > OVERLOADED {
            if !was_settling {
                self.answered = work.sent - work.refused;
                self.room = self.answered * (1.0 - late_part.min(MAX_LATE_CUT));
                self.is_settling = true;
            }
            self.growth = GROWTH;
        } else if self.holdback.is_none() {
            return false;
        } else if pressure <= STEADY {
            self.room *= 1.0 + self.growth;
            // Only what is beyond the usual waits: more room is not tried at the cost of others.
            if self
                .holdback
                .is_some_and(|holdback| holdback.rank.is_excess())
            {
                self.room = self.room.min(self.answered * EXCESS_PART);
            }
            self.growth = (self.growth * 1.5).min(MAX_GROWTH);
        }
        true
    }
}
