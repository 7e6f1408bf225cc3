//! Reads JSON with comments and reports all faults of a document together.
//!
//! The settings and the catalogue are read with it. Each fault has a path, a
//! line and column, what was found and what is expected, so that an operator
//! can correct a file in one pass.

mod document;
mod fault;
mod field;

pub use document::{Document, Location};
pub use fault::{Fault, Faults};
pub use field::{Field, Object, is_name};
