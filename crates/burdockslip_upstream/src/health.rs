//! The health of a member as seen by this host.

use std::cell::Cell;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::LogPosition;

/// The weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// The weight of a new sample in the moving average of failed statements.
const FAILURE_WEIGHT: f64 = 0.1;

/// The time constant, in seconds, with which this average decays while there are no samples.
const FAILURE_DECAY: f64 = 5.0;

/// The assumed latency of a member that has not replied yet, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 20.0;

/// How long reads avoid a member whose log had not reached a required position.
/// In normal operation, replicas lag by tens of milliseconds.
const BEHIND_AVOIDANCE: Duration = Duration::from_millis(60);

/// How long reads avoid a member that rejected a statement because its queue was full.
const BUSY_AVOIDANCE: Duration = Duration::from_millis(40);

/// The health of a member as seen by this host.
#[derive(Debug)]
pub struct Health {
    answered: Cell<Instant>,
    in_flight: Cell<usize>,
    waiting_since: Cell<Option<Instant>>,
    committing_since: Cell<Option<Instant>>,
    commits: Cell<usize>,
    suspected_since: Cell<Option<Instant>>,
    avoided_until: Cell<Option<Instant>>,
    latency: Cell<f64>,
    position: Cell<Option<LogPosition>>,
    /// The moving average of failed statements, and when it was last updated.
    failed: Cell<(f64, Instant)>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            answered: Cell::new(now()),
            in_flight: Cell::new(0),
            waiting_since: Cell::new(None),
            committing_since: Cell::new(None),
            commits: Cell::new(0),
            suspected_since: Cell::new(None),
            avoided_until: Cell::new(None),
            latency: Cell::new(INITIAL_LATENCY_MS),
            position: Cell::new(None),
            failed: Cell::new((0.0, now())),
        }
    }
}

impl Health {
    /// Records that a statement is being sent; `is_commit` is true if it can
    /// commit a write.
    pub fn record_sent(&self, is_commit: bool) {
        if self.in_flight.replace(self.in_flight.get() + 1) == 0 {
            self.waiting_since.set(Some(now()));
        }
        if is_commit && self.commits.replace(self.commits.get() + 1) == 0 {
            self.committing_since.set(Some(now()));
        }
    }

    /// Records that a statement ended, with a reply or without.
    pub fn record_ended(&self, is_commit: bool, is_answered: bool) {
        let in_flight = self.in_flight.get().saturating_sub(1);
        self.in_flight.set(in_flight);
        let restart = (in_flight > 0).then(now);
        if is_answered || in_flight == 0 {
            self.waiting_since.set(restart);
        }
        if is_commit {
            let commits = self.commits.get().saturating_sub(1);
            self.commits.set(commits);
            if is_answered || commits == 0 {
                self.committing_since.set((commits > 0).then(now));
            }
        }
    }

    /// Records a reply of the member, with the position of its log if known. The
    /// member is no longer suspected.
    pub fn record_answer(&self, position: Option<LogPosition>) {
        self.answered.set(now());
        self.suspected_since.set(None);
        if position.is_some() {
            self.position.set(position);
        }
    }

    /// Adds the latency of a completed statement to the moving average.
    pub fn record_latency(&self, latency: Duration) {
        let sample = latency.as_secs_f64() * 1000.0;
        let average = self.latency.get();
        self.latency
            .set(average + LATENCY_WEIGHT * (sample - average));
    }

    /// Adds to the moving average whether a statement failed at the member.
    pub fn record_failure(&self, has_failed: bool) {
        let average = self.failed_fraction();
        let sample = f64::from(u8::from(has_failed));
        let average = average + FAILURE_WEIGHT * (sample - average);
        self.failed.set((average, now()));
    }

    /// Returns the fraction of statements that failed at the member lately.
    pub fn failed_fraction(&self) -> f64 {
        let (average, updated) = self.failed.get();
        average * (-updated.elapsed().as_secs_f64() / FAILURE_DECAY).exp()
    }

    /// Marks the member as suspected, because it could not be reached.
    pub fn mark_suspected(&self) {
        if self.suspected_since.get().is_none() {
            self.suspected_since.set(Some(now()));
        }
    }

    /// Returns whether the member is suspected to be unreachable from this host.
    pub fn is_suspected(&self) -> bool {
        self.suspected_since.get().is_some()
    }

    /// Makes reads avoid the member for a short time, because its log is behind.
    pub fn mark_behind(&self) {
        self.avoided_until.set(Some(now() + BEHIND_AVOIDANCE));
    }

    /// Makes reads avoid the member for a short time, because its queue is full.
    pub fn mark_busy(&self) {
        self.avoided_until.set(Some(now() + BUSY_AVOIDANCE));
    }

    /// Returns whether reads should currently prefer other members.
    pub fn is_avoided(&self) -> bool {
        self.avoided_until
            .get()
            .is_some_and(|until| !until.is_past())
    }

    /// Returns the number of statements of this host that are in flight to the member.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the moving average of the latency, in milliseconds.
    pub fn latency_ms(&self) -> f64 {
        self.latency.get()
    }

    /// Returns the last known position of the member's log.
    pub fn position(&self) -> Option<LogPosition> {
        self.position.get()
    }

    /// Returns the time since the last reply of the member, or since the start if there is none.
    pub fn since_last_answer(&self) -> Duration {
        self.answered.get().elapsed()
    }

    /// Returns how long statements have been in flight without any reply, or
    /// `None` if none are in flight.
    pub fn unanswered_for(&self) -> Option<Duration> {
        let since = self.waiting_since.get()?.max(self.answered.get());
        Some(since.elapsed())
    }

    /// Returns how long commits have been in flight without a reply to any of
    /// them, or `None` if none are in flight.
    pub fn commits_stalled_for(&self) -> Option<Duration> {
        self.committing_since.get().map(Instant::elapsed)
    }
}
