//! Measures the mechanisms on fake groups and the paused clock.

mod commits;
mod failover;
mod reads;

pub use commits::{CommitCost, measure_commits};
pub use failover::{FailoverFault, FailoverSetup, Phases, measure_failover};
pub use reads::{ReadLoad, ReadResults, measure_reads};
