//! Pools of connections to members, and the health of members as seen by this host.
//!
//! A connection belongs to one organisation, because its handshake names the
//! organisation to the member; see `docs/platform.md`, "Connections".

mod connection;
mod framed;
mod health;
mod member_pool;

mod pacer;
mod pools;
mod settings;
mod turns;

pub use connection::{Connection, PreparedStatement, SessionState};
pub use framed::{Framed, ReceiveBudget};
pub use health::Health;
pub use member_pool::{MemberPool, PooledConnection};
pub use pacer::ConnectPacer;
pub use pools::Pools;
pub use settings::{configure_socket, connect};
