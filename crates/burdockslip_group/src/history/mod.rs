//! Records the operations of clients and checks them against the guarantees
//! (`docs/design.md`, section 1.2).

mod check;
mod record;

pub use check::{Violation, ViolationKind, check};
pub use record::{Access, History, Operation, Outcome, Recorder};
