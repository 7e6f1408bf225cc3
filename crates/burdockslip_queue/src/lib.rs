//! Decides which organisation's request a database runs next.
//!
//! One queue per database makes fairness global; see `docs/design.md`,
//! section 4.8.

mod calendar;
mod lane;
mod lengths;
mod policy;
mod queue;

pub use policy::{Order, Policy, Settings, Sharing};
pub use queue::{Dropped, FairQueue, Ready, Workload};
