//! A local copy of the store: the configuration, the members of database groups and
//! the records of the hosts.
//!
//! The directory tracks the age of its configuration, since a withdrawn key must
//! stop working even on a host that receives no updates; see `docs/platform.md`,
//! "Keys".

mod changes;
mod cold;
mod configuration;
mod directory;
mod era;
mod evacuation;
mod follow;
mod history;
mod known_member;
mod member;
mod recency;

pub use changes::{Changes, Relay};
pub use configuration::{Configuration, Consistency, GroupConfig, OrganisationConfig, Route};
pub use directory::{Directory, KEY_VALIDITY, Schema};
pub use member::{Member, MemberRecord, Role};
