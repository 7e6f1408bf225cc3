//! A fake database group and a fake network, both in memory.
//!
//! Members keep their promised terms and logs over a restart and replicate
//! asynchronously. Tests can partition, pause, kill and slow them. Everything
//! uses the clock and the random numbers of `burdockslip_runtime`.

mod cluster;
mod database;
mod network;
mod node;
mod replication;
mod session;

pub use cluster::{Cluster, ClusterSettings};
pub use database::{Database, DatabaseSettings, ReadReply};
pub use network::Network;
pub use node::{AppliedWrite, Record};
pub use session::{ServedRead, Session};
