//! Keeps the lanes that wait for service, sorted by the round in which each is due.

use std::collections::{BTreeMap, VecDeque};

use crate::lane::LaneId;

/// Holds the lanes of each round.
///
/// A lane in debt is filed under the round that pays its debt instead of being
/// visited in every round before. The number of distinct rounds depends on the
/// largest debt and not on the number of organisations, so a decision costs
/// the same for 8 and for 10,000 of them.
#[derive(Debug)]
pub(crate) struct Calendar {
    rounds: BTreeMap<u64, VecDeque<LaneId>>,
    current: u64,
}

/// The first round, late enough that a new lane starts with all its savings.
const FIRST_ROUND: u64 = 1 << 40;

impl Default for Calendar {
    fn default() -> Self {
        Self {
            rounds: BTreeMap::new(),
            current: FIRST_ROUND,
        }
    }
}

impl Calendar {
    /// Returns the round being served.
    pub(crate) fn current(&self) -> u64 {
        self.current
    }

    /// Files `lane` behind the others of `round`.
    pub(crate) fn insert(&mut self, round: u64, lane: LaneId) {
        self.rounds.entry(round).or_default().push_back(lane);
    }

    /// Returns the lane that is next, and moves on to its round.
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
