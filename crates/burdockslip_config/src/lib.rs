//! The configuration in force and its distribution to all hosts of the fleet.
//!
//! Two relays in each zone watch the store, the other hosts of the zone follow
//! the relays, and hosts notify each other of changes; see `docs/design.md`,
//! sections 4.9 and 4.10. This crate does not interpret the content.

mod config;
mod content;
mod follow;
mod knowledge;
mod message;
mod patch;
pub mod propagation;
mod relay;
mod roles;
mod section;

pub use config::{Config, Traffic};
pub use message::{
    Change, ChangeNotice, Cursor, Distribution, Entry, Follow, Freshness, Patch, Reply, Request,
    Update, ZoneAge,
};
pub use section::Section;
