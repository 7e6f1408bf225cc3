//! Divides the rates of organisations among the hosts.
//!
//! The coordinator keeps one bucket for each organisation and hands out its
//! tokens. It also tells each host the fraction of the rate that the host may
//! use by itself while it cannot reach the coordinator; see
//! `docs/platform.md`, "Rates".

mod allocator;
mod bucket;
mod local;
mod message;

pub use allocator::{Allocator, GRANT_LIFETIME, Limits};
pub use local::{Admission, DemandScope, LocalLimiter, Refusal};
pub use message::{Demand, Grant};
