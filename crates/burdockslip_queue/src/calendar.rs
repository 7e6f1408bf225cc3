//! A calendar queue of the lanes with waiting requests, sorted by round.

use std::collections::{BTreeMap, VecDeque};

use crate::lane::LaneId;

/// The lanes that are due in each round.
///
/// A lane in debt is inserted at the round in which its credit becomes positive
/// again, so that the rounds before do not visit it. The number of distinct
/// rounds depends on the largest debt and not on the number of organisations, so
/// a decision costs the same for 8 and for 10,000 organisations.
#[derive(Debug)]
pub(crate) struct Calendar {
    rounds: BTreeMap<u64, VecDeque<LaneId>>,
    current: u64,
}

/// The number of the first round, large enough that a new lane starts with the
/// full idle credit.
const INITIAL_ROUND: u64 = 1 << 40;

impl Default for Calendar {
    fn default() -> Self {
        Self {
            rounds: BTreeMap::new(),
            current: INITIAL_ROUND,
        }
    }
}

impl Calendar {
    /// Returns the current round.
    pub(crate) fn current(&self) -> u64 {
        self.current
    }

    /// Appends `lane` to the lanes of `round`.
    pub(crate) fn insert(&mut self, round: u64, lane: LaneId) {
        self.rounds.entry(round).or_default().push_back(lane);
    }

    /// Returns the next lane and advances to its round.
    pub(crate) fn first(&mut self) -> Option<LaneId> {
        let (round, lanes) = self.rounds.first_key_value()?;
        self.current = self.current.max(*round);
        lanes.front().copied()
    }

    /// Removes the lane that [`Calendar::first`] returned.
    pub(crate) fn remove_first(&mut self) {
        if let Some(mut entry) = self.rounds.first_entry() {
            entry.get_mut().pop_front();
            if entry.get().is_empty() {
                entry.remove();
            }
        }
    }
}
