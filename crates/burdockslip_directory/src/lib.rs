//! Follows the configuration, the members and the system's own records in the store.
//!
//! The directory proves how old its knowledge of the configuration is, since
//! a withdrawn key must stop working on a host that hears nothing; see
//! `docs/platform.md`, "Keys".

mod configuration;
mod directory;
mod follow;
mod member;

pub use configuration::{Configuration, Consistency, GroupConfig, OrganisationConfig, Route};
pub use directory::{Changes, Directory, KEY_VALIDITY, Relay, Schema};
pub use member::{Member, Role};
