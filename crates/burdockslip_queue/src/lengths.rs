//! Finds the longest lane without a search.

use crate::lane::LaneId;

/// Groups lanes by their length; lengths change by one at a time.
#[derive(Debug, Default)]
pub(crate) struct Lengths {
    groups: Vec<Vec<LaneId>>,
    /// The length of each lane and its place in the group.
    places: Vec<(usize, usize)>,
    longest: usize,
}

impl Lengths {
    /// Adds the next lane, with length zero.
    pub(crate) fn add_lane(&mut self) {
        self.places.push((0, 0));
        let lane = self.places.len() - 1;
        self.enter(lane, 0);
    }

    /// Returns the length of `lane`.
    pub(crate) fn get(&self, lane: LaneId) -> usize {
        self.places[lane].0
    }

    /// Returns the lane with the most entries.
    pub(crate) fn longest(&self) -> Option<LaneId> {
        self.groups.get(self.longest)?.last().copied()
    }

    /// Records that `lane` grew by one entry.
    pub(crate) fn grow(&mut self, lane: LaneId) {
        let length = self.leave(lane) + 1;
        self.enter(lane, length);
        self.longest = self.longest.max(length);
    }

    /// Records that `lane` lost one entry.
    pub(crate) fn shrink(&mut self, lane: LaneId) {
        let length = self.leave(lane).saturating_sub(1);
        self.enter(lane, length);
        if self.groups[self.longest].is_empty() {
            self.longest = self.longest.saturating_sub(1);
        }
    }

    fn leave(&mut self, lane: LaneId) -> usize {
        let (length, place) = self.places[lane];
        let group = &mut self.groups[length];
        group.swap_remove(place);
        if let Some(&moved) = group.get(place) {
            self.places[moved].1 = place;
        }
        length
    }

    fn enter(&mut self, lane: LaneId, length: usize) {
        if self.groups.len() <= length {
            self.groups.resize_with(length + 1, Vec::new);
        }
        self.places[lane] = (length, self.groups[length].len());
        self.groups[length].push(lane);
    }
}
