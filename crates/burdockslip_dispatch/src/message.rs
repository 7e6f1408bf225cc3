//! What hosts and the coordinator tell each other about pressure.

use std::time::Duration;

use burdockslip_types::{MemberName, Organisation, domain};

use crate::{Answer, Holdback, Rank};

domain! {
    /// What became of the statements of a rank since the last report.
    #[derive(Copy)]
    pub struct Observation {
        /// The rank of the statements.
        pub rank: Rank,
        /// The number answered in time for their latency objective.
        pub answered: u32,
        /// The number answered late.
        pub late: u32,
        /// The number refused because the queue was full.
        pub refused: u32,
        /// The number held back.
        pub held: u32,
        /// The sum of the times to the answers in time.
        pub time: Duration,
    }

    /// The part of a host's report that concerns pressure.
    #[derive(Default)]
    pub struct PressureReport {
        /// The answers of members.
        pub members: Vec<(MemberName, Vec<Observation>)>,
        /// The number of operations of each organisation that arrived.
        pub arrivals: Vec<(Organisation, u32)>,
    }

    /// The part of the coordinator's reply that concerns pressure.
    #[derive(Default)]
    pub struct PressureReply {
        /// Whether hosts report all answers of all members.
        pub is_watched: bool,
        /// The statements to be held back from members under pressure.
        pub members: Vec<(MemberName, Holdback)>,
        /// The organisations beyond their usual, with the fraction of their operations
        /// that is beyond it, in thousandths.
        pub excess: Vec<(Organisation, u32)>,
    }
}

impl Observation {
    /// Creates an observation of no statements.
    pub const fn new(rank: Rank) -> Self {
        Self {
            rank,
            answered: 0,
            late: 0,
            refused: 0,
            held: 0,
            time: Duration::ZERO,
        }
    }

    /// Returns the observation of one statement.
    pub const fn of(rank: Rank, answer: Answer) -> Self {
        let mut one = Self::new(rank);
        match answer {
            Answer::InTime(after) => {
                one.answered = 1;
                one.time = after;
            }
            Answer::Late => one.late = 1,
            Answer::Refused => one.refused = 1,
            Answer::Held => one.held = 1,
        }
        one
    }

    /// Adds what became of further statements.
    pub fn add(&mut self, other: Self) {
        self.answered = self.answered.saturating_add(other.answered);
        self.late = self.late.saturating_add(other.late);
        self.refused = self.refused.saturating_add(other.refused);
        self.held = self.held.saturating_add(other.held);
        self.time = self.time.saturating_add(other.time);
    }

    /// Returns whether a statement was refused or answered late.
    pub const fn shows_pressure(self) -> bool {
        self.late > 0 || self.refused > 0
    }

    /// Returns the number of statements that were sent.
    pub const fn sent(self) -> u32 {
        self.answered + self.late + self.refused
    }
}
