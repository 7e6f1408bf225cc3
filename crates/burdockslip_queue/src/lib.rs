//! A fair queue that selects the organisation whose request a database runs next.
//!
//! There is one queue per database, so fairness extends over all hosts; see
//! `docs/design.md`, section 4.8.

mod calendar;
mod lane;
mod lengths;
mod measure;
mod policy;
mod queue;

pub use measure::{Deployment, Fairness, Load, StatementKind, measure_fairness};
pub use policy::{Order, Policy, Settings, Sharing};
pub use queue::{Dropped, FairQueue, Ready, Workload};
