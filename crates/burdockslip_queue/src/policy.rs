//! The policies of the queue and its limits.

use std::time::Duration;

use burdockslip_types::domain;

domain! {
    /// How organisations share the slots of a database.
    #[derive(Copy, Default)]
    pub enum Sharing {
        /// All requests form one queue; the baseline for measurements.
        Fifo,
        /// Each organisation runs one request in turn.
        RoundRobin,
        /// Deficit round robin: execution time is proportional to weight.
        #[default]
        Deficit,
    }

    /// The order of requests within one organisation.
    #[derive(Copy, Default)]
    pub enum Order {
        /// The oldest request first.
        Arrival,
        /// The earliest deadline first.
        Deadline,
        /// The highest priority first, then the earliest deadline.
        #[default]
        Priority,
    }

    /// A scheduling policy.
    #[derive(Copy, Default)]
    pub struct Policy {
        /// How organisations share the slots.
        pub sharing: Sharing,
        /// The order of requests within an organisation.
        pub order: Order,
    }

    /// The policy and the limits of a queue.
    pub struct Settings {
        /// The scheduling policy.
        pub policy: Policy,
        /// The maximum number of waiting requests of one organisation.
        pub lane_limit: usize,
        /// The maximum number of waiting requests in total.
        pub total_limit: usize,
        /// The maximum time in the queue, after which a request is dropped.
        pub max_delay: Duration,
        /// The execution time that an organisation of weight one receives per round.
        pub quantum: Duration,
        /// The maximum execution time that an idle organisation accumulates for later use.
        pub idle_credit: Duration,
    }
}

impl Default for Settings {
    /// Returns settings for a database with two or three slots.
    ///
    /// The quantum times the largest weight stays below the cost of one
    /// statement, so that a lane runs one request per visit. With a quantum of
    /// 1 ms, a lane of weight 90 ran for 90 ms without interruption, and the p99
    /// of the others was 9 times that of a run without overload. A small quantum
    /// costs no extra steps, because a lane in debt skips rounds.
    ///
    /// The idle credit lets the bursts of an organisation within its share run
    /// before the backlog of another. Without it, the worst p99 under overload
    /// was 10 times that of a run without overload; with 100 ms, it was at most
    /// 1.4 times (`examples/fairness.rs`, 20 seeds).
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
