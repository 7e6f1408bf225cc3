//! Stand-ins of the platform's store and of the databases, for tests and examples.
//!
//! They are small fakes, not simulators: each one implements the part of the
//! published protocol of the system it replaces that the project uses, and can
//! inject failures.

pub mod database;
mod relay;
mod store_server;

pub use relay::Relay;
pub use store_server::StoreServer;
