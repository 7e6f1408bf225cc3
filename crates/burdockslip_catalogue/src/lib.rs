//! The catalogue that operators write: its schema, checks, lookups, diff and merge.
//!
//! It configures zones, database groups, classes, routes and organisations. See
//! `docs/operators.md` for the reference of its fields.

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
