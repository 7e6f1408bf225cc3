//! Finds how many statements of a host a member can run at a time.

use std::cell::Cell;

/// How much one answer in time widens the window, divided by its width.
const WIDEN: f64 = 0.25;

/// The factor on the window for a refusal.
const NARROW: f64 = 0.7;

/// The number of statements that a host may have in flight to a member, found from its
/// answers: a refusal narrows the window, answers in time widen it.
#[derive(Debug)]
pub struct Window {
    width: Cell<f64>,
    limit: f64,
}

impl Window {
    /// Creates a window that is as wide as the member has slots.
    pub fn new(slots: u32) -> Self {
        let limit = f64::from(slots.max(1));
        Self {
            width: Cell::new(limit),
            limit,
        }
    }

    /// Returns whether one more statement may be sent beside `in_flight` others.
    pub fn has_room(&self, in_flight: usize) -> bool {
        let in_flight = f64::from(u32::try_from(in_flight).unwrap_or(u32::MAX));
        in_flight + 1.0 <= self.width.get()
    }

    /// Returns the number of statements that may be in flight.
    pub const fn width(&self) -> f64 {
        self.width.get()
    }

    /// Widens the window after an answer in time.
    pub fn widen(&self) {
        let width = self.width.get();
        self.width.set((width + WIDEN / width).min(self.limit));
    }

    /// Narrows the window after a refusal. One statement may always be sent, or nothing
    /// would widen it again.
    pub fn narrow(&self) {
        self.width.set((self.width.get() * NARROW).max(1.0));
    }
}
