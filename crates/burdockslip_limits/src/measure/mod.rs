//! Simulates the rate limiter and alternative policies under load and faults, on the paused clock.

mod baseline;
mod checker;
mod fleet;
mod network;
mod report;
mod store;

pub use checker::{Admission, over_admission};
pub use fleet::{Deployment, Fault, RatePolicy, Spread};
pub use report::{RateFigures, measure_rates};
