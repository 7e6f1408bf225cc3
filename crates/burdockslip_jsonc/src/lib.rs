//! Reads JSON with comments and reports all faults of a document together.
//!
//! Settings and the catalogue share it. Each fault has the path, the line and
//! column, what was seen and what is wanted, so that an operator corrects a
//! file in one pass.

mod document;
mod fault;
mod field;

pub use document::{Document, Location};
pub use fault::{Fault, Faults};
pub use field::{Field, Object, is_name};
