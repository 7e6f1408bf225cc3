//! Decides which organisation's request a database runs next.
//!
//! One queue per database makes fairness global; see `docs/design.md`,
//! section 4.8.

mod calendar;
mod lane;
mod lengths;
mod measure;
mod policy;
mod queue;

pub use measure::{Deployment, Fairness, Load, StatementKind, measure_fairness};
pub use policy::{Order, Policy, Settings, Sharing};
pub use queue::{Dropped, FairQueue, Ready, Workload};
