//! A local copy of the store: the configuration, the members of database groups and
//! the records of the hosts.
//!
//! The directory tracks the age of its configuration, since a withdrawn key must
//! stop working even on a host that receives no updates; see `docs/platform.md`,
//! "Keys".

mod cold;
mod configuration;
mod directory;
mod era;
mod evacuation;
mod follow;
mod known_member;
mod member;
mod recency;

pub use configuration::{Configuration, Consistency, GroupConfig, OrganisationConfig, Route};
pub use directory::{Changes, Directory, KEY_VALIDITY, Relay, Schema};
pub use member::{Member, MemberRecord, Role};
