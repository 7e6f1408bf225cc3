//! Defines the operators' catalogue: its schema, checks, lookups, difference and merge.
//!
//! See `docs/operators.md` for the reference of its fields.

mod catalogue;
mod check;
mod diff;
mod entries;
mod merge;
mod read;
mod span;

pub use burdockslip_jsonc::{Fault, Faults, Location};
pub use catalogue::{Catalogue, MAX_BYTES, SCHEMA_VERSION};
pub use diff::Change;
pub use entries::{
    Access, ClassEntry, GroupEntry, MemberEntry, OrganisationEntry, RouteEntry, ZoneEntry,
};
pub use merge::{Conflict, MergeError};
