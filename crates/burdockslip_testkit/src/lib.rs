//! Offers stand-ins of the platform and of the databases, for tests and examples.
//!
//! They are small fakes at the interfaces, not a simulator: each one speaks
//! the published protocol of what it replaces and can be told to fail.

pub mod database;
mod relay;
mod store_server;

pub use relay::Relay;
pub use store_server::StoreServer;
