//! Serves clients, owns database connections and runs requests.
//!
//! Each host is an endpoint for its clients and a holder for some databases;
//! see `docs/design.md`, section 2.

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
