//! Records what clients did and saw, and checks it against the guarantees
//! (`docs/design.md`, section 1.2).

mod check;
mod record;

pub use check::{Violation, ViolationKind, check};
pub use record::{Access, History, Operation, Outcome, Recorder};
