//! What the answers of a member say about its pace.

use std::time::Duration;

use burdockslip_runtime::{Instant, now};

use crate::MemberDemand;
use crate::message::to_rate;

/// The time between two verdicts, unless there are too few answers.
const SAMPLE_SPAN: Duration = Duration::from_millis(150);

/// The most time between two verdicts with at least one answer.
const MAX_SPAN: Duration = Duration::from_millis(400);

/// The answers after which a sample is large enough.
const MIN_ANSWERS: f64 = 3.0;

/// The fraction of statements refused as busy from which a member is overloaded.
const BUSY_FRACTION: f64 = 0.05;

/// The fraction of failed statements from which a member gets less.
const FAILED_FRACTION: f64 = 0.25;

/// The factor on the latency of the other members, and the milliseconds beyond it, from
/// which a member is slow.
const SLOW_FACTOR: f64 = 2.0;
const SLOW_MARGIN_MS: f64 = 5.0;

/// What a sample of answers shows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Verdict {
    /// The member answers as fast as the others.
    Healthy,
    /// It answers, but with this latency in milliseconds, well above that of the others.
    Slow(f64),
    /// It refuses statements because it is busy, or fails them: this fraction.
    Overloaded(f64),
}

/// A verdict on a sample of answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Sample {
    pub(crate) verdict: Verdict,
    /// The statements that were answered in a second.
    pub(crate) throughput: f64,
}

/// Collects the answers of a member from all hosts until there are enough of them.
#[derive(Debug)]
pub(crate) struct Feedback {
    since: Instant,
    answered: f64,
    busy: f64,
    failed: f64,
    /// The sums of the latencies of the member and of the others, in milliseconds, with
    /// a weight for each answer.
    latency: f64,
    peers: f64,
}

impl Feedback {
    pub(crate) fn new() -> Self {
        Self {
            since: now(),
            answered: 0.0,
            busy: 0.0,
            failed: 0.0,
            latency: 0.0,
            peers: 0.0,
        }
    }

    /// Adds what a host reports.
    pub(crate) fn record(&mut self, demand: &MemberDemand) {
        let answered = f64::from(demand.answered);
        self.answered += answered;
        self.busy += f64::from(demand.busy);
        self.failed += f64::from(demand.failed);
        self.latency += answered * to_rate(demand.latency);
        self.peers += answered * to_rate(demand.peers);
    }

    /// Returns what the answers show and starts the next sample, if there are enough.
    pub(crate) fn take_sample(&mut self) -> Option<Sample> {
        let total = self.answered + self.busy + self.failed;
        let elapsed = self.since.elapsed();
        let is_due = total >= MIN_ANSWERS && elapsed >= SAMPLE_SPAN;
        if !is_due && (elapsed < MAX_SPAN || total < 1.0) {
            return None;
        }
        let latency = self.latency / self.answered.max(1.0);
        let peers = self.peers / self.answered.max(1.0);
        let is_overloaded =
            self.busy > total * BUSY_FRACTION || self.failed > total * FAILED_FRACTION;
        let throughput = self.answered / elapsed.as_secs_f64();
        let refused = (self.busy + self.failed) / total;
        *self = Self::new();
        let verdict = if is_overloaded {
            Verdict::Overloaded(refused)
        } else if latency > peers * SLOW_FACTOR + SLOW_MARGIN_MS {
            Verdict::Slow(latency)
        } else {
            Verdict::Healthy
        };
        Some(Sample {
            verdict,
            throughput,
        })
    }
}
