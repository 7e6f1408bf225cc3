//! Tracks the longest lane in constant time.

use crate::lane::LaneId;

/// The lanes grouped by length.
///
/// A length changes by one at a time, so the longest lane is found without a search.
#[derive(Debug, Default)]
pub(crate) struct Lengths {
    by_length: Vec<Vec<LaneId>>,
    /// The length of each lane and its index in `by_length[length]`.
    positions: Vec<(usize, usize)>,
    max_length: usize,
}

impl Lengths {
    /// Adds an empty lane with the next id.
    pub(crate) fn add_lane(&mut self) {
        self.positions.push((0, 0));
        let lane = self.positions.len() - 1;
        self.insert(lane, 0);
    }

    /// Returns the length of `lane`.
    pub(crate) fn get(&self, lane: LaneId) -> usize {
        self.positions[lane].0
    }

    /// Returns the lane with the most entries.
    pub(crate) fn longest(&self) -> Option<LaneId> {
        self.by_length.get(self.max_length)?.last().copied()
    }

    /// Increments the length of `lane`.
    pub(crate) fn grow(&mut self, lane: LaneId) {
        let length = self.remove(lane) + 1;
        self.insert(lane, length);
        self.max_length = self.max_length.max(length);
    }

    /// Decrements the length of `lane`.
    pub(crate) fn shrink(&mut self, lane: LaneId) {
        let length = self.remove(lane).saturating_sub(1);
        self.insert(lane, length);
        if self.by_length[self.max_length].is_empty() {
            self.max_length = self.max_length.saturating_sub(1);
        }
    }

    fn remove(&mut self, lane: LaneId) -> usize {
        let (length, index) = self.positions[lane];
        let lanes = &mut self.by_length[length];
        lanes.swap_remove(index);
        if let Some(&moved) = lanes.get(index) {
            self.positions[moved].1 = index;
        }
        length
    }

    fn insert(&mut self, lane: LaneId, length: usize) {
        if self.by_length.len() <= length {
            self.by_length.resize_with(length + 1, Vec::new);
        }
        self.positions[lane] = (length, self.by_length[length].len());
        self.by_length[length].push(lane);
    }
}
