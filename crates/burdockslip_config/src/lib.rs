//! Holds the configuration in force and spreads it over the fleet.
//!
//! Two relays of each zone watch the store, the other hosts follow them, and
//! hosts tell each other of changes; see `docs/design.md`, sections 4.9 and
//! 4.10. The content is opaque here.

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
