//! Limits how fast connections to a member are opened and how long idle ones are kept.

use std::cell::Cell;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, random_range};

/// The time constant with which the rate of opened connections is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// The assumed number of recently opened connections at the start. A host that
/// starts has not measured a rate yet; with an initial value of zero, several
/// such hosts would together keep more connections than a member has.
const INITIAL_OPENINGS: f64 = 4.0;

/// The minimum time for which an idle connection is kept, even by a host that
/// opens many, so that successive statements of a session can reuse it.
const MIN_IDLE: Duration = Duration::from_millis(100);

/// The pause after the first refused connection; each further refusal doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(60);

/// The maximum pause, so that connections that become free at a member are used
/// soon. A member keeps the connections of a host that lost power for 3 s.
const MAX_PAUSE: Duration = Duration::from_millis(480);

/// The jitter of the pauses, in percent, so that hosts do not retry at the same time.
const JITTER_PERCENT: (u64, u64) = (75, 125);

/// Measures how often connections to a member are opened, and pauses opening
/// while the member has no connection left.
#[derive(Debug)]
pub struct ConnectPacer {
    /// The number of connections opened in the recent past, decaying exponentially with age.
    openings: Cell<f64>,
    updated: Cell<Instant>,
    next_pause: Cell<Duration>,
    paused_until: Cell<Option<Instant>>,
}

impl Default for ConnectPacer {
    fn default() -> Self {
        Self {
            openings: Cell::new(INITIAL_OPENINGS),
            updated: Cell::new(now()),
            next_pause: Cell::new(FIRST_PAUSE),
            paused_until: Cell::new(None),
        }
    }
}

impl ConnectPacer {
    /// Records that a connection was opened, and resets the pause.
    pub fn record_success(&self) {
        self.openings.set(self.decayed_openings() + 1.0);
        self.updated.set(now());
        self.next_pause.set(FIRST_PAUSE);
    }

    /// Records that the member has no connection left, and pauses opening.
    pub fn record_refusal(&self) {
        let (least, most) = JITTER_PERCENT;
        let jitter = u32::try_from(random_range(least..most)).unwrap_or(100);
        let pause = self.next_pause.get();
        self.paused_until.set(Some(now() + pause * jitter / 100));
        self.next_pause.set((pause * 2).min(MAX_PAUSE));
    }

    /// Returns whether opening connections is paused.
    pub fn is_paused(&self) -> bool {
        self.paused_until
            .get()
            .is_some_and(|until| !until.is_past())
    }

    /// Returns how long an idle connection is kept, at most `limit`, so that this
    /// host keeps `share` thousandths of a connection on average.
    ///
    /// While the member has no connection left, the minimum is returned, because
    /// other hosts need the connections.
    pub fn idle_timeout(&self, share: usize, limit: Duration) -> Duration {
        if self.is_paused() {
            return MIN_IDLE;
        }
        let rate = self.decayed_openings() / RATE_WINDOW.as_secs_f64();
        let share = f64::from(u32::try_from(share).unwrap_or(u32::MAX)) / 1_000.0;
        let timeout = share / rate.max(f64::EPSILON);
        Duration::try_from_secs_f64(timeout).map_or(limit, |timeout| timeout.clamp(MIN_IDLE, limit))
    }

    fn decayed_openings(&self) -> f64 {
        let age = self.updated.get().elapsed().as_secs_f64();
        self.openings.get() * (-age / RATE_WINDOW.as_secs_f64()).exp()
    }
}
