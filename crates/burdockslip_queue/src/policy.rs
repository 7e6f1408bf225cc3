//! Defines the policies of the queue and its bounds.

use std::time::Duration;

use burdockslip_types::domain;

domain! {
    /// Selects how organisations share the slots of a database.
    #[derive(Copy, Default)]
    pub enum Sharing {
        /// Runs requests in one common line, the baseline.
        Fifo,
        /// Gives every organisation one request in turn.
        RoundRobin,
        /// Gives every organisation execution time in proportion to its weight.
        #[default]
        Deficit,
    }

    /// Selects the order of requests of one organisation.
    #[derive(Copy, Default)]
    pub enum Order {
        /// Runs the oldest request first.
        Arrival,
        /// Runs the request with the earliest deadline first.
        Deadline,
        /// Runs the highest priority first, then the earliest deadline.
        #[default]
        Priority,
    }

    /// Combines the sharing between organisations with the order within one.
    #[derive(Copy, Default)]
    pub struct Policy {
        /// The sharing between organisations.
        pub sharing: Sharing,
        /// The order within an organisation.
        pub order: Order,
    }

    /// Holds the policy and the bounds of a queue.
    pub struct Settings {
        /// The policy.
        pub policy: Policy,
        /// The most requests that one organisation may have waiting.
        pub lane_limit: usize,
        /// The most requests that may wait in total.
        pub total_limit: usize,
        /// The longest time in the queue, after which a request is handed back.
        pub max_delay: Duration,
        /// The execution time that a weight of one receives in each round.
        pub quantum: Duration,
        /// The execution time that an organisation may save up below its share.
        pub idle_credit: Duration,
    }
}

impl Default for Settings {
    /// Returns bounds for a database with two or three slots.
    ///
    /// The quantum times the largest weight stays below the cost of one
    /// statement, so that a lane is served one request per visit. With 1 ms,
    /// a weight of 90 gave one lane 90 ms at a stretch and the p99 of others
    /// was 9 times that of a run without the overload. A small quantum costs
    /// no extra steps, since rounds in debt are skipped.
    ///
    /// The savings keep the bursts of an organisation within its share ahead
    /// of a backlog: without them the worst p99 under overload was 10 times
    /// that of a run without it, with 100 ms at most 1.4 times
    /// (`examples/fairness.rs`, 20 seeds).
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            lane_limit: 1_000,
            total_limit: 20_000,
            max_delay: Duration::from_secs(2),
            quantum: Duration::from_micros(10),
            idle_credit: Duration::from_millis(100),
        }
    }
}
