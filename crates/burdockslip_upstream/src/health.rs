//! Keeps what this host knows about the state of a member.

use std::cell::Cell;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::LogPosition;

/// Weighs a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// Stands for the latency of a member that has not answered yet, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 20.0;

/// How long a member that lacked a position is passed over for reads. Replicas
/// lag by tens of milliseconds in ordinary operation.
const BEHIND_PAUSE: Duration = Duration::from_millis(60);

/// How long a member that turned a statement away is passed over for reads.
const BUSY_PAUSE: Duration = Duration::from_millis(40);

/// Keeps the state of a member as seen by this host.
#[derive(Debug)]
pub struct Health {
    heard: Cell<Instant>,
    running: Cell<usize>,
    waiting_since: Cell<Option<Instant>>,
    writing_since: Cell<Option<Instant>>,
    writing: Cell<usize>,
    suspected: Cell<Option<Instant>>,
    avoided: Cell<Option<Instant>>,
    latency: Cell<f64>,
    mark: Cell<Option<LogPosition>>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            heard: Cell::new(now()),
            running: Cell::new(0),
            waiting_since: Cell::new(None),
            writing_since: Cell::new(None),
            writing: Cell::new(0),
            suspected: Cell::new(None),
            avoided: Cell::new(None),
            latency: Cell::new(INITIAL_LATENCY_MS),
            mark: Cell::new(None),
        }
    }
}

impl Health {
    /// Notes that a statement was sent.
    pub fn record_sent(&self, is_commit: bool) {
        if self.running.replace(self.running.get() + 1) == 0 {
            self.waiting_since.set(Some(now()));
        }
        if is_commit && self.writing.replace(self.writing.get() + 1) == 0 {
            self.writing_since.set(Some(now()));
        }
    }

    /// Notes that a statement ended, with an answer or without.
    pub fn record_ended(&self, is_commit: bool, is_answered: bool) {
        let running = self.running.get().saturating_sub(1);
        self.running.set(running);
        let restart = (running > 0).then(now);
        if is_answered || running == 0 {
            self.waiting_since.set(restart);
        }
        if is_commit {
            let writing = self.writing.get().saturating_sub(1);
            self.writing.set(writing);
            if is_answered || writing == 0 {
                self.writing_since.set((writing > 0).then(now));
            }
        }
    }

    /// Notes an answer of the member.
    pub fn record_answer(&self, mark: Option<LogPosition>) {
        self.heard.set(now());
        self.suspected.set(None);
        if mark.is_some() {
            self.mark.set(mark);
        }
    }

    /// Notes the latency of a statement that was answered.
    pub fn record_latency(&self, latency: Duration) {
        let sample = latency.as_secs_f64() * 1000.0;
        let known = self.latency.get();
        self.latency.set(known + LATENCY_WEIGHT * (sample - known));
    }

    /// Notes that the member could not be reached.
    pub fn mark_suspected(&self) {
        if self.suspected.get().is_none() {
            self.suspected.set(Some(now()));
        }
    }

    /// Returns whether the member is thought to be unreachable from here.
    pub fn is_suspected(&self) -> bool {
        self.suspected.get().is_some()
    }

    /// Passes the member over for reads for a short time, because its log lacks a position.
    pub fn mark_behind(&self) {
        self.avoided.set(Some(now() + BEHIND_PAUSE));
    }

    /// Passes the member over for reads for a short time, because its queue is full.
    pub fn mark_busy(&self) {
        self.avoided.set(Some(now() + BUSY_PAUSE));
    }

    /// Returns whether reads should go to other members for now.
    pub fn is_avoided(&self) -> bool {
        self.avoided.get().is_some_and(|until| !until.is_past())
    }

    /// Returns the statements of this host that the member is running.
    pub fn in_flight(&self) -> usize {
        self.running.get()
    }

    /// Returns the average latency in milliseconds.
    pub fn latency_ms(&self) -> f64 {
        self.latency.get()
    }

    /// Returns the last known position of the member's log.
    pub fn position(&self) -> Option<LogPosition> {
        self.mark.get()
    }

    /// Returns the time since the member last answered.
    pub fn since_last_answer(&self) -> Duration {
        self.heard.get().elapsed()
    }

    /// Returns how long statements have been waiting without any answer.
    pub fn unanswered_for(&self) -> Option<Duration> {
        let since = self.waiting_since.get()?.max(self.heard.get());
        Some(since.elapsed())
    }

    /// Returns how long commits have been waiting without any commit ending.
    pub fn commits_stalled_for(&self) -> Option<Duration> {
        self.writing_since.get().map(Instant::elapsed)
    }
}
