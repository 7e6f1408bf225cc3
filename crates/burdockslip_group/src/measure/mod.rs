//! Measures the mechanisms on fake groups and the paused clock.

mod commits;
mod failover;
mod reads;

pub use commits::{CommitCost, measure_commits};
pub use failover::{FailoverFault, FailoverSizes, Phases, measure_failover};
pub use reads::{ReadLoad, ReadShare, measure_reads};
