//! Estimates the recent demand for tokens per second.

use std::time::Duration;

use burdockslip_runtime::Instant;

use crate::{Rate, Tokens};

/// A sliding-window estimate from the counts of the current and the previous window.
///
/// The previous window is weighted by the part of it that lies within one
/// window's length before now. The maximum of both windows is not suitable:
/// summed over many hosts with few requests each, it amounted to several times
/// the demand, and zones refused to lend rate that they did not use.
#[derive(Debug)]
pub(crate) struct DemandEstimator {
    window: Duration,
    start: Instant,
    current: Tokens,
    /// The count of the previous window; `None` until the first window has ended.
    previous: Option<Tokens>,
}

impl DemandEstimator {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window,
            start: Instant::START,
            current: Tokens::default(),
            previous: None,
        }
    }

    /// Adds tokens that were requested at `now`.
    pub(crate) fn record(&mut self, tokens: Tokens, now: Instant) {
        self.advance(now);
        self.current += tokens;
    }

    /// Returns the estimated demand per second.
    pub(crate) fn rate(&mut self, now: Instant) -> Rate {
        self.advance(now);
        let age = now.since(self.start);
        match self.previous {
            // Dividing by a very short time would overestimate the demand after the first request.
            None => per_second(self.current, age.max(self.window / 4)),
            Some(previous) => {
                let rest = self.window.saturating_sub(age);
                let carried = Tokens(previous.0 / micros(self.window).max(1) * micros(rest));
                per_second(carried + self.current, self.window)
            }
        }
    }

    fn advance(&mut self, now: Instant) {
        let age = now.since(self.start);
        if age >= self.window * 2 {
            let is_new = self.current == Tokens(0) && self.previous.is_none();
            self.previous = (!is_new).then_some(Tokens(0));
            self.current = Tokens(0);
            self.start = now;
        } else if age >= self.window {
            self.previous = Some(std::mem::take(&mut self.current));
            self.start = self.start + self.window;
        }
    }
}

fn per_second(tokens: Tokens, span: Duration) -> Rate {
    Rate(tokens.0 / micros(span).max(1))
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
