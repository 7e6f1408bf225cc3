//! Divides the rates of organisations among the hosts.
//!
//! The coordinator grants each host a fraction of every organisation's rate
//! and burst. Fractions of all hosts add up to one at most, so no window holds
//! more than rate × window + burst; see `docs/platform.md`, "Rates".

mod allocator;
mod local;
mod message;

pub use allocator::{Allocator, GRANT_MEMORY};
pub use local::{LocalRates, Refusal};
pub use message::{Demand, Grant};
