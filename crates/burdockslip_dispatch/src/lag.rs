//! Measures how long ready tasks wait for processor time.

use std::time::Duration;

/// The weight of the newest sample in the average.
const NEWEST_WEIGHT: f64 = 0.15;

/// The average delay of the runtime's timers.
///
/// A timer fires late if other tasks or processes use the processor, so its delay is that
/// of every ready task.
#[derive(Debug, Default)]
pub struct TimerLag {
    seconds: f64,
}

impl TimerLag {
    /// Adds a sample: a timer for `planned` fired after `actual`.
    pub fn record(&mut self, planned: Duration, actual: Duration) {
        let sample = actual.saturating_sub(planned).as_secs_f64();
        self.seconds += NEWEST_WEIGHT * (sample - self.seconds);
    }

    /// Returns the average delay.
    pub fn average(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}
