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
/// pressure; it grows by half in each further one.
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
const INITIAL_WORK: f64 = 0.02;

/// The growth of the expected work in a period, which forgets exceptionally quick answers.
const WORK_GROWTH: f64 = 1.05;

/// How long a period is prolonged to see that many.
const MAX_PERIOD: Duration = Duration::from_millis(1_800);

/// The least room, as a part of the most work that was answered. A resource that refuses
/// everything for a moment is used again soon.
const LEAST_ROOM: f64 = 0.2;

/// The least room of a resource that has not answered yet, as a part of the offered work.
const LEAST_OFFERED: f64 = 0.05;

/// The part of the most answered work below which the room grows fast.
const FAR: f64 = 0.7;

/// The part of the sent work below which what was answered says nothing about the room.
const BLIND: f64 = 0.05;

/// The fraction of refused answers from which less is sent while nothing is known about the
/// room. Some still stem from the time before.
const BLIND_OVERLOADED: f64 = 0.5;

/// The growth of the room in a period while nothing is known about it.
const BLIND_GROWTH: f64 = 1.0;

/// What is left of the most answered work after a period.
const BEST_DECAY: f64 = 0.97;

/// The statements of a rank in the current period, and what it offers.
#[derive(Debug)]
struct Counts {
    /// The sum of the current period.
    current: Observation,
    /// The average number of statements offered in a period.
    offered: f64,
    /// The expected work of a statement in seconds: the mean time to an answer in the
    /// recent period in which it was shortest.
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
    /// The most work answered in a period, which is slowly forgotten.
    best: f64,
    /// Whether the resource refused everything when the room was last lowered, which does
    /// not tell how much it serves.
    is_blind: bool,
    /// Whether no statement was offered in the last period.
    is_idle: bool,
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
            best: 0.0,
            is_blind: false,
            is_idle: false,
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
        let span = self.decided.elapsed();
        if span >= PERIOD && (self.sample() >= MIN_SAMPLE || span >= MAX_PERIOD) {
            self.decided = now();
            self.holdback = self.next_holdback(span.div_duration_f64(PERIOD));
        }
        self.holdback
    }

    /// Returns the statements that are held back according to the last decision.
    pub const fn holdback(&self) -> Option<Holdback> {
        self.holdback
    }

    /// Returns whether no statement was offered for a while.
    pub const fn is_idle(&self) -> bool {
        self.is_idle
    }

    /// Forgets the counts of the current period.
    pub fn restart(&mut self) {
        self.ranks.clear();
        self.decided = now();
    }

    /// Returns the number of statements sent in the current period.
    fn sample(&self) -> u32 {
        let sent = self.ranks.values().map(|counts| counts.current.sent());
        sent.fold(0, u32::saturating_add)
    }

    /// Decides after a period that was longer by a factor of `periods`.
    fn next_holdback(&mut self, periods: f64) -> Option<Holdback> {
        let sample = self.sample();
        let mut work = Work::default();
        self.is_idle = true;
        for counts in self.ranks.values_mut() {
            let rank = counts.current.rank;
            let current = std::mem::replace(&mut counts.current, Observation::new(rank));
            if current.answered >= MIN_SAMPLE {
                let mean = current.time.as_secs_f64() / f64::from(current.answered);
                counts.work = mean.min(counts.work * WORK_GROWTH);
            }
            let work_of = |number: u32| counts.work * f64::from(number) / periods;
            work.sent += work_of(current.sent());
            work.refused += work_of(current.refused);
            work.late += work_of(current.late);
            let offered = f64::from(current.sent().saturating_add(current.held)) / periods;
            self.is_idle &= offered == 0.0;
            counts.offered += NEWEST_WEIGHT * (offered - counts.offered);
        }
        if self.is_idle {
            self.ranks.clear();
            return None;
        }
        let offered: Vec<_> = self
            .ranks
            .iter()
            .map(|(rank, counts)| (*rank, counts.offered * counts.work))
            .collect();
        // Too few statements show no pressure, and more of them have to be sent to see it.
        let is_limited = if sample < MIN_SAMPLE {
            self.widen(periods)
        } else {
            self.adjust_room(&work, periods)
        };
        if !is_limited {
            return None;
        }
        let total: f64 = offered.iter().map(|(_, work)| work).sum();
        let least = (self.best * LEAST_ROOM).max(total * LEAST_OFFERED);
        self.room = self.room.max(least);
        let holdback = Holdback::divide(self.room, &offered);
        self.is_blind &= holdback.is_some();
        holdback
    }

    /// Adjusts the room to what was answered of the work sent. Returns whether the
    /// room is limited.
    fn adjust_room(&mut self, work: &Work, periods: f64) -> bool {
        let was_settling = std::mem::take(&mut self.is_settling);
        let late_part = LATE_WEIGHT * work.late / work.sent;
        let pressure = work.refused / work.sent + late_part;
        let answered = work.sent - work.refused;
        self.best = answered.max(self.best * BEST_DECAY);
        let overloaded = if self.is_blind {
            BLIND_OVERLOADED
        } else {
            OVERLOADED
        };
        if pressure > overloaded {
            if !was_settling {
                self.answered = answered;
                self.is_blind = answered < work.sent * BLIND;
                self.room = answered * (1.0 - late_part.min(MAX_LATE_CUT));
                self.is_settling = true;
            }
            self.growth = GROWTH;
        } else if self.is_blind || pressure <= STEADY {
            return self.widen(periods);
        }
        self.holdback.is_some() || self.is_settling
    }

    /// Widens the room after a period without pressure. Returns whether it is limited.
    fn widen(&mut self, periods: f64) -> bool {
        let Some(holdback) = self.holdback else {
            return false;
        };
        let growth = if self.is_blind {
            BLIND_GROWTH
        } else if self.room < self.best * FAR {
            MAX_GROWTH
        } else {
            self.growth
        };
        self.room *= (1.0 + growth).powf(periods);
        self.growth = (self.growth * 1.5).min(MAX_GROWTH);
        // Where only what is beyond the usual waits, more room is not tried at the cost of
        // others.
        if holdback.rank.is_excess() {
            self.room = self.room.min(self.answered * EXCESS_PART);
        }
        true
    }
}
