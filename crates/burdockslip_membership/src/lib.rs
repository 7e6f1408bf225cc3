//! The host list of the fleet: which hosts are live, and their rank for a key.
//!
//! Hosts ping each other and propagate state changes by gossip; see
//! `docs/design.md`, section 4.11.

mod listed;
mod membership;
mod message;
mod record;
mod rumors;
mod table;
mod view;

pub use listed::{LISTED_HOSTS_PREFIX, ListedHost};
pub use membership::{Membership, Traffic};
pub use message::{Gossip, Ping, Reply, Request, Sync};
pub use record::{Peer, Record, Rumor, State};
pub use view::View;
