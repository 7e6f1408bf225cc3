//! The proxy: serves clients, pools database connections and runs requests.
//!
//! Each host is an endpoint, which serves its clients, and the holder of some
//! databases: it owns the pooled connections to them. Requests go from the client's
//! endpoint to the holder of the database. See `docs/design.md`, section 2.

mod conversation;
mod counter;
mod endpoint;
mod exchange;
mod holder;
mod hooks;
mod host;
mod in_force;
mod options;
mod placement;
mod proxy;
mod stamp;

pub use hooks::{Admit, ConfigAge, Hooks, IsReady, RecordRequest};
pub use in_force::ActiveConfig;
pub use options::Options;
pub use proxy::Proxy;
