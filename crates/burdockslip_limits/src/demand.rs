//! Estimates the recent arrivals per second.

use std::time::Duration;

use burdockslip_runtime::Instant;

use crate::{Rate, Tokens};

/// Counts arrivals in the current and the previous window.
///
/// The estimate weighs the previous window by the part of it that still lies
/// within one window's length. A maximum of the two was tried first: summed
/// over many hosts with few requests each it came to several times the demand,
/// and zones then refused to lend what they did not use.
#[derive(Debug)]
pub(crate) struct Demand {
    window: Duration,
    start: Instant,
    current: Tokens,
    /// The count of the previous window, none before the first has ended.
    previous: Option<Tokens>,
}

impl Demand {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window,
            start: Instant::START,
            current: Tokens::default(),
            previous: None,
        }
    }

    /// Counts tokens that were asked for just now.
    pub(crate) fn note(&mut self, tokens: Tokens, now: Instant) {
        self.advance(now);
        self.current += tokens;
    }

    /// Returns the estimate.
    pub(crate) fn rate(&mut self, now: Instant) -> Rate {
        self.advance(now);
        let age = now.since(self.start);
        match self.previous {
            // A short start would exaggerate the first request.
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
