//! Paces the opening of connections to one member.

use std::cell::Cell;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, random_range};

/// The time over which the rate of openings is averaged.
const RATE_SPAN: Duration = Duration::from_secs(4);

/// Stands for the openings before the start: a host that starts knows no rate,
/// and together such hosts would keep more connections than a member has.
const INITIAL_WEIGHT: f64 = 4.0;

/// How long a connection of a host that opens many is kept at least, so that
/// the statements of one session follow each other on it.
const MIN_HOLD: Duration = Duration::from_millis(100);

/// Pauses openings after the first refusal; each further one doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(60);

/// Bounds the pause, so that connections that a member gets back are used soon.
/// Members hold those of a host that lost power for 3 s.
const MAX_PAUSE: Duration = Duration::from_millis(480);

/// Spreads the pauses of hosts, in percent.
const SPREAD_PERCENT: (u64, u64) = (75, 125);

/// Measures the openings of connections to a member and holds them back while
/// the member has none left.
#[derive(Debug)]
pub struct ConnectPacer {
    /// Openings of the recent past, each weighed less the longer it is ago.
    weight: Cell<f64>,
    weighed: Cell<Instant>,
    pause: Cell<Duration>,
    until: Cell<Option<Instant>>,
}

impl Default for ConnectPacer {
    fn default() -> Self {
        Self {
            weight: Cell::new(INITIAL_WEIGHT),
            weighed: Cell::new(now()),
            pause: Cell::new(FIRST_PAUSE),
            until: Cell::new(None),
        }
    }
}

impl ConnectPacer {
    /// Notes that a connection was opened.
    pub fn record_success(&self) {
        self.weight.set(self.decayed() + 1.0);
        self.weighed.set(now());
        self.pause.set(FIRST_PAUSE);
    }

    /// Notes that the member has no connection left, and holds openings back.
    pub fn record_refusal(&self) {
        let (least, most) = SPREAD_PERCENT;
        let spread = u32::try_from(random_range(least..most)).unwrap_or(100);
        let pause = self.pause.get();
        self.until.set(Some(now() + pause * spread / 100));
        self.pause.set((pause * 2).min(MAX_PAUSE));
    }

    /// Returns whether openings are held back.
    pub fn is_paused(&self) -> bool {
        self.until.get().is_some_and(|until| !until.is_past())
    }

    /// Returns how long an idle connection is kept, `limit` at most, so that a
    /// host keeps as many thousandths of a connection as `share` on average.
    /// While the member has none left, they are wanted elsewhere.
    pub fn idle_timeout(&self, share: usize, limit: Duration) -> Duration {
        if self.is_paused() {
            return MIN_HOLD;
        }
        let rate = self.decayed() / RATE_SPAN.as_secs_f64();
        let share = f64::from(u32::try_from(share).unwrap_or(u32::MAX)) / 1_000.0;
        let span = share / rate.max(f64::EPSILON);
        Duration::try_from_secs_f64(span).map_or(limit, |span| span.clamp(MIN_HOLD, limit))
    }

    fn decayed(&self) -> f64 {
        let age = self.weighed.get().elapsed().as_secs_f64();
        self.weight.get() * (-age / RATE_SPAN.as_secs_f64()).exp()
    }
}
