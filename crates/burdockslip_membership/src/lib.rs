//! Knows the hosts of the fleet, which of them live, and how they rank.
//!
//! Hosts ping each other and exchange what changed; see `docs/design.md`,
//! section 4.11.

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
