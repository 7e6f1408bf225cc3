//! The pace of members that start or recover, and the limit on what cold members get.
//!
//! The coordinator raises the rate of statements to such a member as its answers allow,
//! and divides it into permits with a short lifetime; hosts send it nothing without one.
//! Nothing here does I/O. See `docs/design/member-pace.md`.

mod bucket;
mod controller;
mod feedback;
mod gate;
mod message;
mod ramp;
mod rules;
mod sighting;

pub use controller::Controller;
pub use gate::{Admission, Condition, Gate, Outcome};
pub use message::{MemberDemand, PaceGrant};
pub use rules::{Budget, ColdLimit, PERMIT_LIFETIME, Rules};
pub use sighting::Sighting;
